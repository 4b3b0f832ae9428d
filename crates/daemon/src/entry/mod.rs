//! The entry: accepts requests of callers, selects upstreams and returns an outcome for every request.

mod body;
mod context;
mod forward;
mod request;
mod response;

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
    audit::{AuditRecord, AuditTrail},
    clock::Clock,
    error::DaemonError,
    fleet::{Disseminator, FleetState},
    inner::{self, InnerContext},
    metrics::Metrics,
    process::{self, BACKLOG},
};

/// Runs an entry until the process receives a stop signal.
pub async fn serve(settings: EntrySettings) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let caller_listener = process::listen(settings.listen)?;
    let peer_listener = process::listen(settings.peer.inner_listen)?;
    let audit = Arc::new(AuditTrail::new(clock));
    let metrics = Arc::new(Metrics::default());
    let state = Arc::new(FleetState::new(
        settings.peer.clone(),
        audit.clone(),
        metrics.clone(),
    ));
    let disseminator = Disseminator::new(state.clone(), clock).start();
    let selection = match settings.two_choices {
        true => SelectionPolicy::TwoChoices,
        false => SelectionPolicy::Random,
    };
    let context = EntryContext::new(state.clone(), disseminator.clone(), clock, selection);
    let context = Arc::new(context);
    actix_rt::spawn(context::apply_fleet_changes(context.clone()));

    let inner = Data::new(InnerContext {
        state,
        disseminator,
        audit: audit.clone(),
        metrics,
        status_provider: context.clone(),
    });
    let inner_server = HttpServer::new(move || {
        App::new()
            .app_data(inner.clone())
            .configure(inner::configure_routes)
    })
    .workers(1)
    .disable_signals()
    .keep_alive(balsamjunction_client::SERVER_IDLE_LIMIT)
    .listen(peer_listener)?
    .run();

    let outbound_ip = settings.peer.outbound_ip;
    let server_context = context.clone();
    let caller_server = HttpServer::new(move || {
        App::new()
            .app_data(Data::from(server_context.clone()))
            .app_data(Data::new(balsamjunction_client::new_client(outbound_ip)))
            .default_service(web::to(forward::handle))
    })
    .workers(settings.workers)
    .backlog(BACKLOG as u32)
    .disable_signals()
    .keep_alive(balsamjunction_client::SERVER_IDLE_LIMIT)
    .client_request_timeout(Duration::from_millis(settings.header_timeout_ms))
    .h1_allow_half_closed(false)
    .listen(caller_listener)?
    .run();

    let handles = [caller_server.handle(), inner_server.handle()];
    actix_rt::spawn(caller_server);
    actix_rt::spawn(inner_server);
    info!(
        "entry {} listens on {}",
        settings.peer.host, settings.listen
    );
    audit.record(AuditRecord::process(
        &settings.peer.host,
        "entry",
        "started",
    ));

    process::wait_for_stop_signal().await?;
    info!("entry {} is draining", settings.peer.host);
    context.lifecycle.stop();
    process::drain(|| context.in_progress.load(Ordering::Acquire), &handles).await;
    audit.record(AuditRecord::process(
        &settings.peer.host,
        "entry",
        "stopped",
    ));
    Ok(())
}
