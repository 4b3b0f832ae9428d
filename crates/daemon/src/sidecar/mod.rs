//! The sidecar: the gate of one upstream, and the host's part in distributing weights.

mod carry;
mod chunks;
mod context;
mod gatekeeper;
mod once_run;
mod pacing;
mod upstream;
mod weights;

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use actix::{Actor, Addr};
use actix_web::{
    web::{self, Data},
    App, HttpServer,
};
use balsamjunction_protocol::paths;
use balsamjunction_settings::SidecarSettings;
use log::{info, warn};

use self::{
    context::SidecarContext,
    pacing::Pacing,
    weights::{FleetChanged, Weights},
};
use crate::{
    audit::{Audit, Record},
    clock::Clock,
    error::DaemonError,
    fleet::{Disseminator, FleetState, Refresh},
    inner::{self, Inner},
    metrics::Metrics,
    process,
};

/// How often waiting requests are checked against their deadlines, and the process against pauses.
const TURN: Duration = Duration::from_millis(20);
/// Pause before beliefs are read again after a failure.
const RENEW_RETRY: Duration = Duration::from_millis(200);

/// Runs a sidecar until it is told to stop.
pub async fn serve(settings: SidecarSettings) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let peers = process::listen(settings.peer.inner_listen)?;
    let audit = Arc::new(Audit::new(clock));
    let metrics = Arc::new(Metrics::default());
    let state = Arc::new(FleetState::new(
        settings.peer.clone(),
        audit.clone(),
        metrics.clone(),
    ));
    let host = settings.peer.host.clone();
    let outbound_ip = settings.peer.outbound_ip;
    let context = Arc::new(SidecarContext::new(settings, state.clone(), clock));
    let pacing = Arc::new(Pacing::new(context.clone()));
    let disseminator = Disseminator::new(state.clone(), clock).start();
    let weights = Weights::new(context.clone(), pacing.clone()).start();
    actix_rt::spawn(follow_fleet(context.clone(), weights));
    actix_rt::spawn(watch(context.clone(), disseminator.clone()));

    let inner = Data::new(Inner {
        state,
        disseminator,
        audit: audit.clone(),
        metrics,
        report: context.clone(),
    });
    let served = context.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(inner.clone())
            .app_data(Data::from(served.clone()))
            .app_data(Data::from(pacing.clone()))
            .app_data(Data::new(balsamjunction_client::new(outbound_ip)))
            .configure(inner::routes)
            .configure(weights::http::routes)
            .route(paths::CLOSE_KEY, web::post().to(once_run::close_key))
            .default_service(web::to(carry::handle))
    })
    .workers(1)
    .disable_signals()
    .keep_alive(balsamjunction_client::SERVER_IDLE_LIMIT)
    .h1_allow_half_closed(false)
    .listen(peers)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    info!("sidecar {host} stands before {}", context.settings.upstream);
    audit.record(Record::process(&host, "sidecar", "started"));

    process::stop_signal().await?;
    info!("sidecar {host} drains");
    context.lifecycle.stop();
    context.gate.set_draining(true);
    process::drain(|| context.in_progress.load(Ordering::Acquire), &[handle]).await;
    audit.record(Record::process(&host, "sidecar", "stopped"));
    Ok(())
}

async fn follow_fleet(context: Arc<SidecarContext>, weights: Addr<Weights>) {
    let mut changes = context.state.subscribe();
    loop {
        context.follow();
        weights.do_send(FleetChanged);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Watches deadlines and pauses; after a pause, everything is read again before work goes on.
async fn watch(context: Arc<SidecarContext>, disseminator: Addr<Disseminator>) {
    loop {
        if context.turn() {
            warn!("this process stood still; no work is taken until its beliefs are read again");
        }
        context.gate.tick();
        publish_load(&context);
        if context.beliefs_stale() && !renew(&disseminator).await {
            actix_rt::time::sleep(RENEW_RETRY).await;
            continue;
        }
        context.beliefs_renewed();
        actix_rt::time::sleep(TURN).await;
    }
}

async fn renew(disseminator: &Addr<Disseminator>) -> bool {
    disseminator.send(Refresh).await.unwrap_or(false)
}

fn publish_load(context: &SidecarContext) {
    let load = context.gate.load();
    let metrics = &context.state.metrics;
    metrics.running.set(i64::from(load.running));
    metrics.waiting.set(i64::from(load.waiting));
    metrics.limit.set(i64::from(load.limit));
}
