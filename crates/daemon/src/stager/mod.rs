//! The stager: brings the wanted version of the weights to the engine on its host, and hands chunks
//! on to other hosts. See docs/WEIGHTS.md, "Stagers".

mod fetch;
mod holdings;
mod http;
mod reach;
mod state;

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_web::{web::Data, App, HttpServer};
use balsamjunction_protocol::mesh::{EngineStatus, MemberRecord, ProcessRole};
use balsamjunction_settings::{read_stager, StagerSettings};
use tokio::sync::mpsc;

use self::{
    holdings::Holdings,
    http::{NewsQueue, Uploads},
    state::{Shared, Stager},
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

/// Peers that have begun a chunk get this long to take the rest of it.
const LAST_UPLOADS: Duration = Duration::from_millis(300);

/// Part of the link that chunks may use each way; the rest is for live requests of the engine.
const BULK_PART: f64 = 0.9;

/// Runs a stager until it is told to stop.
pub async fn serve(settings: StagerSettings, file: SettingsFile) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let inner = process::listen(settings.mesh.inner_listen)?;
    let metrics_listener = settings
        .mesh
        .metrics_listen
        .map(process::listen)
        .transpose()?;
    let events = Arc::new(EventLog::start(clock));
    let metrics = Arc::new(Metrics::for_mesh());
    let own = member_record(&settings, clock);
    let cluster_view = Arc::new(ClusterView::new(clock, events.clone(), own));
    let holdings = Arc::new(Holdings::default());
    let client = balsamjunction_client::new_client(None);
    events.emit(&Event::Process {
        change: "started",
        host: settings.mesh.host.clone(),
        detail: format!("stager of the engine at {}", settings.engine),
    });

    let bulk_rate = (settings.link_bytes_per_s as f64 * BULK_PART) as u64;
    let (news_tx, news_rx) = mpsc::unbounded_channel();
    let gauges: Arc<dyn RefreshGauges> = cluster_view.clone();
    let data = (
        Data::from(cluster_view.clone()),
        Data::from(holdings.clone()),
        Data::new(Uploads::new(clock, bulk_rate)),
        Data::new(metrics.clone()),
        Data::new(NewsQueue(news_tx)),
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
            .configure(http::routes)
    })
    .workers(1)
    .disable_signals()
    .listen(inner)?
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
    let shared = Shared {
        seeds,
        cluster_view,
        holdings,
        metrics,
        client,
        bulk_rate,
    };
    let stager = Rc::new(Stager::new(&settings, shared));
    actix_rt::spawn(state::pushed_news_loop(stager.clone(), news_rx));
    actix_rt::spawn(state::report_loop(stager.clone()));
    actix_rt::spawn(state::news_loop(stager.clone()));
    actix_rt::spawn(reach::fetch_loop(stager.clone()));
    actix_rt::spawn(reach::own_chunks_loop(stager.clone()));
    actix_rt::spawn(reach::turn_loop(stager.clone()));

    process::wait_for_stop_signal().await?;
    stager
        .cluster_view
        .with_members(|members, _| members.mark_leaving());
    stager.tell_entries().await;
    actix_rt::time::sleep(LAST_UPLOADS).await;
    Ok(())
}

fn member_record(settings: &StagerSettings, clock: Clock) -> MemberRecord {
    MemberRecord {
        host: settings.mesh.host.clone(),
        role: ProcessRole::Sidecar,
        data_centre: settings.mesh.data_centre.clone(),
        address: settings.mesh.inner_listen,
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
