//! The entry: takes callers' requests, chooses upstreams, gives every request its outcome.

mod answer;
mod body;
mod call;
mod context;
mod forward;

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use actix::Actor;
use actix_web::{
    web::{self, Data},
    App, HttpServer,
};
use balsamjunction_policy::router::SelectionPolicy;
use balsamjunction_settings::EntrySettings;
use log::info;

use self::context::EntryContext;
use crate::{
    audit::{Audit, Record},
    clock::Clock,
    error::DaemonError,
    fleet::{Disseminator, FleetState},
    inner::{self, Inner},
    metrics::Metrics,
    process::{self, BACKLOG},
};

/// Runs an entry until it is told to stop.
pub async fn serve(settings: EntrySettings) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let callers = process::listen(settings.listen)?;
    let peers = process::listen(settings.peer.inner_listen)?;
    let audit = Arc::new(Audit::new(clock));
    let metrics = Arc::new(Metrics::default());
    let state = Arc::new(FleetState::new(
        settings.peer.clone(),
        audit.clone(),
        metrics.clone(),
    ));
    let disseminator = Disseminator::new(state.clone(), clock).start();
    let choice = match settings.two_choices {
        true => SelectionPolicy::TwoChoices,
        false => SelectionPolicy::Random,
    };
    let context = EntryContext::new(state.clone(), disseminator.clone(), clock, choice);
    let context = Arc::new(context);
    actix_rt::spawn(context::follow_fleet(context.clone()));

    let inner = Data::new(Inner {
        state,
        disseminator,
        audit: audit.clone(),
        metrics,
        report: context.clone(),
    });
    let inner_server =
        HttpServer::new(move || App::new().app_data(inner.clone()).configure(inner::routes))
            .workers(1)
            .disable_signals()
            .keep_alive(balsamjunction_client::SERVER_IDLE_LIMIT)
            .listen(peers)?
            .run();

    let outbound_ip = settings.peer.outbound_ip;
    let served = context.clone();
    let caller_server = HttpServer::new(move || {
        App::new()
            .app_data(Data::from(served.clone()))
            .app_data(Data::new(balsamjunction_client::new(outbound_ip)))
            .default_service(web::to(forward::handle))
    })
    .workers(settings.workers)
    .backlog(BACKLOG as u32)
    .disable_signals()
    .keep_alive(balsamjunction_client::SERVER_IDLE_LIMIT)
    .client_request_timeout(Duration::from_millis(settings.header_timeout_ms))
    .h1_allow_half_closed(false)
    .listen(callers)?
    .run();

    let handles = [caller_server.handle(), inner_server.handle()];
    actix_rt::spawn(caller_server);
    actix_rt::spawn(inner_server);
    info!(
        "entry {} listens on {}",
        settings.peer.host, settings.listen
    );
    audit.record(Record::process(&settings.peer.host, "entry", "started"));

    process::stop_signal().await?;
    info!("entry {} drains", settings.peer.host);
    context.lifecycle.stop();
    process::drain(|| context.in_progress.load(Ordering::Acquire), &handles).await;
    audit.record(Record::process(&settings.peer.host, "entry", "stopped"));
    Ok(())
}
