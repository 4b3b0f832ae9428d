//! The gateway: takes callers' requests and sends them straight to the upstreams that a store
//! publishes. See docs/DESIGN.md, "Gateway".

mod admission;
mod answer;
mod call;
mod context;
mod events_stream;
mod lifecycle;
mod run;
mod send;

use std::{collections::HashMap, sync::Arc};

use actix_web::{
    web::{self, Data},
    App, HttpResponse, HttpServer,
};
use balsamjunction_platform::Store;
use balsamjunction_policy::{
    dispatch::{DispatchSettings, Dispatcher},
    retry_window::RetryWindowSettings,
};
use balsamjunction_protocol::mesh::{MemberRecord, ProcessRole};
use balsamjunction_settings::{read_gateway, GatewaySettings};
use smol_str::SmolStr;

use self::context::GatewayContext;
use crate::{
    clock::Clock,
    error::DaemonError,
    events::{Event, EventLog},
    mesh::{self, ClusterView},
    metrics::{Metrics, RefreshGauges},
    process::{self, BACKLOG},
    reload::{reload_loop, Seeds, SettingsFile},
};

/// Part of the time for a change of version for which requests may still find the version before.
/// The rest is for the news to travel and for requests that wait at the engine.
const OLD_VERSION_PART: f64 = 0.88;
/// Part of that time within which requests must have begun at engines of the version before. The
/// rest covers late news, late timers, and the way of a closed connection to the engine.
const BEGIN_PART: f64 = 0.96;
/// Part of the time until a process that has started is held to times, within which requests must
/// have begun at engines of versions before the one that it found. The rest is for its first look
/// at the facts.
const FOUND_VERSION_PART: f64 = 0.8;

/// Runs a gateway until it is told to stop.
pub async fn serve(settings: GatewaySettings, file: SettingsFile) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let callers = process::listen(settings.listen)?;
    let readiness = process::listen(settings.readiness_listen)?;
    let inner = process::listen(settings.mesh.inner_listen)?;
    let metrics_listener = settings
        .mesh
        .metrics_listen
        .map(process::listen)
        .transpose()?;
    let events = Arc::new(EventLog::start(clock));
    let metrics = Arc::new(Metrics::for_mesh());
    let cluster_view = Arc::new(ClusterView::new(
        clock,
        events.clone(),
        member_record(&settings, clock),
    ));
    let client = balsamjunction_client::new_client(None);
    let context = Arc::new(GatewayContext::new(
        &settings,
        cluster_view.clone(),
        metrics.clone(),
        dispatcher(&settings, clock),
        RetryWindowSettings {
            window: settings.retry_window,
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
        },
    ));
    events.emit(&Event::Process {
        change: "started",
        host: settings.mesh.host.clone(),
        detail: format!("gateway on {}", settings.listen),
    });

    let store = Store::new(client.clone(), settings.mesh.store);
    actix_rt::spawn(mesh::read_store_loop(
        cluster_view.clone(),
        store,
        client.clone(),
    ));
    actix_rt::spawn(mesh::refresh_facts_loop(
        cluster_view.clone(),
        client.clone(),
    ));
    actix_rt::spawn(mesh::push_target_versions(
        cluster_view.clone(),
        client.clone(),
    ));
    let seeds = Seeds::new(settings.mesh.seeds.clone());
    let host = settings.mesh.host.clone();
    actix_rt::spawn(reload_loop(
        file,
        host,
        seeds.clone(),
        events,
        |buf, overrides| Ok(read_gateway(buf, overrides)?.mesh.seeds),
    ));
    actix_rt::spawn(mesh::exchange_loop(cluster_view.clone(), client, seeds));
    actix_rt::spawn(context::follow_cluster_view(context.clone()));
    actix_rt::spawn(context::grant_loop(context.clone()));

    let gauges: Arc<dyn RefreshGauges> = context.clone();
    let inner_data = (
        Data::from(cluster_view),
        Data::new(metrics),
        Data::from(gauges),
    );
    let metrics_data = (inner_data.1.clone(), inner_data.2.clone());
    let inner_server = HttpServer::new(move || {
        App::new()
            .app_data(inner_data.0.clone())
            .app_data(inner_data.1.clone())
            .app_data(inner_data.2.clone())
            .configure(mesh::http::routes)
    })
    .workers(1)
    .disable_signals()
    .listen(inner)?
    .run();
    let asked = context.clone();
    let readiness_server = HttpServer::new(move || {
        App::new()
            .app_data(Data::from(asked.clone()))
            .default_service(web::to(ready))
    })
    .workers(1)
    .disable_signals()
    .listen(readiness)?
    .run();
    let served = context.clone();
    let caller_server = HttpServer::new(move || {
        App::new()
            .app_data(Data::from(served.clone()))
            .default_service(web::to(admission::handle))
    })
    .workers(1)
    .backlog(BACKLOG as u32)
    .disable_signals()
    .keep_alive(balsamjunction_client::SERVER_IDLE_LIMIT)
    .h1_allow_half_closed(false)
    .listen(callers)?
    .run();
    for server in [inner_server, readiness_server, caller_server] {
        actix_rt::spawn(server);
    }
    mesh::http::serve_metrics(metrics_listener, metrics_data)?;
    lifecycle::run_until_stopped(&context, settings.grace).await
}

async fn ready(context: Data<GatewayContext>) -> HttpResponse {
    match context.ready() {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn member_record(settings: &GatewaySettings, clock: Clock) -> MemberRecord {
    MemberRecord {
        host: settings.mesh.host.clone(),
        role: ProcessRole::Entry,
        data_centre: settings.mesh.data_centre.clone(),
        address: settings.mesh.inner_listen,
        incarnation: clock.started_unix_ms(),
        heartbeat: 0,
        leaving: false,
        reads_store: false,
        engine: None,
    }
}

fn dispatcher(settings: &GatewaySettings, clock: Clock) -> Dispatcher {
    let regions: HashMap<SmolStr, SmolStr> = settings.regions.clone();
    Dispatcher::new(DispatchSettings {
        data_centre: settings.mesh.data_centre.clone(),
        regions,
        old_version_send_window: settings.version_within.mul_f64(OLD_VERSION_PART),
        old_version_start_window: settings.version_within.mul_f64(BEGIN_PART),
        started: clock.started_at(),
        startup_start_window: settings.contact_after.mul_f64(FOUND_VERSION_PART),
    })
}
