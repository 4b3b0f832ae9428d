//! The sidecar: admission control for one upstream, and weight distribution on its host.

mod admission;
mod at_most_once;
mod chunks;
mod context;
mod pacing;
mod proxy;
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
    pacing::TransferPacing,
    weights::{FleetChanged, WeightsActor},
};
use crate::{
    audit::{AuditRecord, AuditTrail},
    clock::Clock,
    error::DaemonError,
    fleet::{Disseminator, FleetState, Refresh},
    inner::{self, InnerContext},
    metrics::Metrics,
    process,
};

/// Interval at which the deadlines of queued requests and pauses of this process are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before the fleet state is read again after a failed attempt.
const REFRESH_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Runs a sidecar until the process receives a stop signal.
pub async fn serve(settings: SidecarSettings) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let peer_listener = process::listen(settings.peer.inner_listen)?;
    let audit = Arc::new(AuditTrail::new(clock));
    let metrics = Arc::new(Metrics::default());
    let state = Arc::new(FleetState::new(
        settings.peer.clone(),
        audit.clone(),
        metrics.clone(),
    ));
    let host = settings.peer.host.clone();
    let outbound_ip = settings.peer.outbound_ip;
    let context = Arc::new(SidecarContext::new(settings, state.clone(), clock));
    let pacing = Arc::new(TransferPacing::new(context.clone()));
    let disseminator = Disseminator::new(state.clone(), clock).start();
    let weights = WeightsActor::new(context.clone(), pacing.clone()).start();
    actix_rt::spawn(apply_fleet_changes(context.clone(), weights));
    actix_rt::spawn(run_watchdog(context.clone(), disseminator.clone()));

    let inner = Data::new(InnerContext {
        state,
        disseminator,
        audit: audit.clone(),
        metrics,
        status_provider: context.clone(),
    });
    let server_context = context.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(inner.clone())
            .app_data(Data::from(server_context.clone()))
            .app_data(Data::from(pacing.clone()))
            .app_data(Data::new(balsamjunction_client::new_client(outbound_ip)))
            .configure(inner::configure_routes)
            .configure(weights::http::configure_routes)
            .route(paths::CLOSE_KEY, web::post().to(at_most_once::close_key))
            .default_service(web::to(proxy::handle))
    })
    .workers(1)
    .disable_signals()
    .keep_alive(balsamjunction_client::SERVER_IDLE_LIMIT)
    .h1_allow_half_closed(false)
    .listen(peer_listener)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    info!(
        "sidecar {host} serves upstream {}",
        context.settings.upstream
    );
    audit.record(AuditRecord::process(&host, "sidecar", "started"));

    process::wait_for_stop_signal().await?;
    info!("sidecar {host} is draining");
    context.lifecycle.stop();
    context.admission.set_draining(true);
    process::drain(|| context.in_progress.load(Ordering::Acquire), &[handle]).await;
    audit.record(AuditRecord::process(&host, "sidecar", "stopped"));
    Ok(())
}

async fn apply_fleet_changes(context: Arc<SidecarContext>, weights: Addr<WeightsActor>) {
    let mut changes = context.state.subscribe();
    loop {
        context.apply_fleet_state();
        weights.do_send(FleetChanged);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Checks deadlines and detects pauses of this process.
///
/// After a pause the fleet state is read again before any request is admitted.
async fn run_watchdog(context: Arc<SidecarContext>, disseminator: Addr<Disseminator>) {
    loop {
        if context.tick() {
            warn!("process was paused; admitting no requests until the fleet state is read again");
        }
        context.admission.tick();
        update_load_metrics(&context);
        if context.is_state_stale() && !refresh(&disseminator).await {
            actix_rt::time::sleep(REFRESH_RETRY_DELAY).await;
            continue;
        }
        context.mark_state_fresh();
        actix_rt::time::sleep(TICK_INTERVAL).await;
    }
}

async fn refresh(disseminator: &Addr<Disseminator>) -> bool {
    disseminator.send(Refresh).await.unwrap_or(false)
}

fn update_load_metrics(context: &SidecarContext) {
    let load = context.admission.load();
    let metrics = &context.state.metrics;
    metrics.running.set(i64::from(load.running));
    metrics.waiting.set(i64::from(load.waiting));
    metrics.limit.set(i64::from(load.limit));
}
