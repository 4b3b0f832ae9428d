//! The stager: delivers the target version of the weights to the engine on its host, and serves chunks to
//! other hosts. See docs/WEIGHTS.md, "Stagers".

mod chunk_cache;
mod fetch;
mod http;
mod state;
mod upgrade;

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_web::{web::Data, App, HttpServer};
use balsamjunction_protocol::mesh::{EngineStatus, MemberRecord, ProcessRole};
use balsamjunction_settings::{read_stager, StagerSettings};
use tokio::sync::mpsc;

use self::{
    chunk_cache::ChunkCache,
    http::{Uploads, WeightsUpdateQueue},
    state::{SharedState, Stager},
};
use crate::{
    clock::Clock,
    error::DaemonError,
    events::{Event, EventLog},
    mesh::{self, ClusterView},
    metrics::{Metrics, RefreshGauges},
    process,
    reload::{reload_loop, Seeds, SettingsFile},
};

/// Time that running uploads get to complete when the process stops.
const UPLOAD_DRAIN_TIME: Duration = Duration::from_millis(300);

/// Share of the link that chunks may use in each direction; the rest is for live requests of the engine.
const BULK_LINK_SHARE: f64 = 0.9;

/// Runs a stager until the process receives a stop signal.
pub async fn serve(settings: StagerSettings, file: SettingsFile) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let inner_listener = process::listen(settings.mesh.inner_listen)?;
    let metrics_listener = settings
        .mesh
        .metrics_listen
        .map(process::listen)
        .transpose()?;
    let events = Arc::new(EventLog::start(clock));
    let metrics = Arc::new(Metrics::for_mesh());
    let own = build_member_record(&settings, clock);
    let cluster_view = Arc::new(ClusterView::new(clock, events.clone(), own, Duration::ZERO));
    let chunk_cache = Arc::new(ChunkCache::default());
    let client = balsamjunction_client::new_client(settings.mesh.outbound_ip);
    events.emit(&Event::Process {
        change: "started",
        host: settings.mesh.host.clone(),
        detail: format!("stager of the engine at {}", settings.engine),
    });

    let bulk_bytes_per_s = (settings.link_bytes_per_s as f64 * BULK_LINK_SHARE) as u64;
    let (updates_tx, updates_rx) = mpsc::unbounded_channel();
    let gauges: Arc<dyn RefreshGauges> = cluster_view.clone();
    let data = (
        Data::from(cluster_view.clone()),
        Data::from(chunk_cache.clone()),
        Data::new(Uploads::new(clock, bulk_bytes_per_s)),
        Data::new(metrics.clone()),
        Data::new(WeightsUpdateQueue(updates_tx)),
        Data::from(gauges),
    );
    let metrics_data = (data.3.clone(), data.5.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.0.clone())
            .app_data(data.1.clone())
            .app_data(data.2.clone())
            .app_data(data.3.clone())
            .app_data(data.4.clone())
            .app_data(data.5.clone())
            .configure(mesh::http::routes)
            .configure(http::configure_routes)
    })
    .workers(1)
    .max_connections(process::MAX_INNER_CONNECTIONS)
    .disable_signals()
    .listen(inner_listener)?
    .run();
    actix_rt::spawn(server);
    mesh::http::serve_metrics(metrics_listener, metrics_data)?;

    let seeds = Seeds::new(settings.mesh.seeds.clone());
    let host = settings.mesh.host.clone();
    actix_rt::spawn(reload_loop(
        file,
        host,
        seeds.clone(),
        events,
        |buf, overrides| Ok(read_stager(buf, overrides)?.mesh.seeds),
    ));
    let shared = SharedState {
        seeds,
        cluster_view,
        chunk_cache,
        metrics,
        client,
        bulk_bytes_per_s,
    };
    let stager = Rc::new(Stager::new(&settings, shared));
    actix_rt::spawn(state::receive_updates_loop(stager.clone(), updates_rx));
    actix_rt::spawn(state::report_loop(stager.clone()));
    actix_rt::spawn(state::refresh_loop(stager.clone()));
    actix_rt::spawn(upgrade::fetch_loop(stager.clone()));
    actix_rt::spawn(upgrade::fetch_owned_chunks_loop(stager.clone()));
    actix_rt::spawn(upgrade::switch_loop(stager.clone()));

    process::wait_for_stop_signal().await?;
    stager
        .cluster_view
        .with_members(|members, _| members.mark_leaving());
    stager.notify_entries().await;
    actix_rt::time::sleep(UPLOAD_DRAIN_TIME).await;
    Ok(())
}

fn build_member_record(settings: &StagerSettings, clock: Clock) -> MemberRecord {
    MemberRecord {
        host: settings.mesh.host.clone(),
        role: ProcessRole::Sidecar,
        data_centre: settings.mesh.data_centre.clone(),
        address: settings.mesh.inner_advertise,
        incarnation: clock.started_unix_ms(),
        heartbeat: 0,
        leaving: false,
        reads_store: false,
        engine: Some(EngineStatus {
            address: settings.engine,
            service: settings.service.clone(),
            started_at_ms: 0,
            serving: None,
            switching: false,
            service_time_percent: 100,
        }),
    }
}
