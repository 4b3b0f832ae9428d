//! The gateway: receives callers' requests and forwards them directly to the upstreams that are registered in
//! the store. See docs/DESIGN.md, "Gateway".

mod admission;
mod api_key;
mod attempts;
mod caller_request;
mod callers;
mod context;
mod crash_evidence;
mod event_stream;
mod identity;
mod lifecycle;
mod next_attempt;
mod pending;
mod reader;
mod reported_state;
mod response;
mod send;

use std::{collections::HashMap, future, net::TcpListener, sync::Arc, time::Duration};

use actix_http::{error::DispatchError, HttpService, KeepAlive};
use actix_server::Server;
use actix_service::{fn_service, map_config, IntoServiceFactory, ServiceFactoryExt};
use actix_web::{
    dev::AppConfig,
    web::{self, Data},
    App, HttpResponse, HttpServer,
};
use balsamjunction_platform::Store;
use balsamjunction_policy::{
    dispatch::{contention::ContentionMode, DispatchSettings, Dispatcher},
    retry_window::RetryWindowSettings,
};
use balsamjunction_protocol::mesh::{MemberRecord, ProcessRole};
use balsamjunction_settings::{read_gateway, ContentionSetting, GatewaySettings};
use smol_str::SmolStr;
use tokio::net::TcpStream;

use self::{callers::CallerStream, context::GatewayContext};
use crate::{
    clock::Clock,
    error::DaemonError,
    events::{Event, EventLog},
    mesh::{self, ClusterView, Documents, Downloader, PeerClient},
    metrics::{Metrics, RefreshGauges},
    process,
    reload::{reload_loop, Seeds, SettingsFile},
};

/// Fraction of the time limit for a version change in which requests may still be sent to the previous
/// version. The rest covers the propagation of the change and requests that wait at an engine.
const OLD_VERSION_SEND_FRACTION: f64 = 0.88;
/// Fraction of that time limit within which requests must have started on the previous version. The rest
/// covers late notifications, late timers, and the transit of a connection's close to the engine.
const OLD_VERSION_START_FRACTION: f64 = 0.96;
/// Fraction of `contact_after` (the time from its start after which a process must meet time limits) within
/// which requests must have started on versions older than the one found at the start. The rest covers the
/// first read of the facts.
const STARTUP_START_FRACTION: f64 = 0.8;
/// Time for which the rest of a rejected body is discarded before the connection closes, so that the caller
/// reads the rejection.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Runs a gateway until it receives a stop signal and has drained.
pub async fn serve(settings: GatewaySettings, file: SettingsFile) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let caller_listener = callers::listen(settings.listen)?;
    let readiness_listener = process::listen(settings.readiness_listen)?;
    let inner_listener = process::listen(settings.mesh.inner_listen)?;
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
        own_member_record(&settings, clock),
        settings.contact_after,
    ));
    let client = balsamjunction_client::new_client(settings.mesh.outbound_ip);
    let context = Arc::new(GatewayContext::new(
        &settings,
        cluster_view.clone(),
        metrics.clone(),
        new_dispatcher(&settings, clock),
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
    let client = PeerClient::new(client, metrics.clone());
    let documents = Arc::new(Documents::new(cluster_view.clone()));
    let downloader = Downloader {
        cluster_view: cluster_view.clone(),
        documents: documents.clone(),
        client: client.clone(),
        regions: settings.regions.clone(),
        metrics: metrics.clone(),
    };
    actix_rt::spawn(downloader.run());
    let own_address = settings.mesh.inner_advertise;
    let seeds = &settings.mesh.seeds;
    let asks_peers_first = !seeds.is_empty() && !seeds.contains(&own_address);
    actix_rt::spawn(mesh::read_store_loop(
        asks_peers_first,
        cluster_view.clone(),
        store,
        client.clone(),
        documents.clone(),
        metrics.clone(),
    ));
    actix_rt::spawn(mesh::refresh_facts_loop(
        cluster_view.clone(),
        client.clone(),
    ));
    actix_rt::spawn(mesh::push_target_versions(
        cluster_view.clone(),
        client.clone(),
    ));
    actix_rt::spawn(mesh::push_limits_loop(cluster_view.clone(), client.clone()));
    actix_rt::spawn(mesh::push_crash_evidence_loop(
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
    actix_rt::spawn(context::follow_limits(context.clone()));
    actix_rt::spawn(context::poll_waiting_loop(context.clone()));
    actix_rt::spawn(callers::expire_loop(context.clone()));

    let gauges: Arc<dyn RefreshGauges> = context.clone();
    let inner_data = (
        Data::from(cluster_view),
        Data::new(metrics),
        Data::from(gauges),
        Data::from(documents),
    );
    let metrics_data = (inner_data.1.clone(), inner_data.2.clone());
    let inner_server = HttpServer::new(move || {
        App::new()
            .app_data(inner_data.0.clone())
            .app_data(inner_data.1.clone())
            .app_data(inner_data.2.clone())
            .app_data(inner_data.3.clone())
            .configure(mesh::http::routes)
            .configure(mesh::http::document_routes)
    })
    .workers(1)
    .max_connections(process::MAX_INNER_CONNECTIONS)
    .disable_signals()
    .listen(inner_listener)?
    .run();
    let readiness_context = context.clone();
    let readiness_server = HttpServer::new(move || {
        App::new()
            .app_data(Data::from(readiness_context.clone()))
            .default_service(web::to(check_readiness))
    })
    .workers(1)
    .max_connections(process::MAX_PROBE_CONNECTIONS)
    .disable_signals()
    .listen(readiness_listener)?
    .run();
    let caller_server = serve_callers(&context, caller_listener)?;
    for server in [inner_server, readiness_server, caller_server] {
        actix_rt::spawn(server);
    }
    mesh::http::serve_metrics(metrics_listener, metrics_data)?;
    lifecycle::run_until_stopped(&context, settings.grace).await
}

/// Serves callers; the time limits of their connections are the account's, see [`callers`].
fn serve_callers(
    context: &Arc<GatewayContext>,
    listener: TcpListener,
) -> Result<Server, DaemonError> {
    let context = context.clone();
    let max_connections = context.callers.max_connections();
    let server = Server::build()
        .workers(1)
        .max_concurrent_connections(max_connections)
        .disable_signals()
        .listen("callers", listener, move || {
            let app = App::new()
                .app_data(Data::from(context.clone()))
                .default_service(web::to(admission::handle));
            let app = app
                .into_factory()
                .map_err(|e: actix_web::Error| e.error_response());
            let http = HttpService::build()
                .keep_alive(KeepAlive::Os)
                .client_request_timeout(Duration::ZERO)
                .client_disconnect_timeout(DISCARD_TIMEOUT)
                .h1_allow_half_closed(false)
                .on_connect_ext(|stream: &CallerStream, extensions| {
                    if let Some(connection) = stream.connection() {
                        extensions.insert(connection);
                    }
                })
                .h1(map_config(app, |()| AppConfig::default()));
            let callers = context.callers.clone();
            fn_service(move |tcp: TcpStream| {
                let peer = tcp.peer_addr().ok();
                let stream = CallerStream::new(tcp, &callers);
                future::ready(Ok::<_, DispatchError>((stream, peer)))
            })
            .and_then(http)
        })?;
    Ok(server.run())
}

async fn check_readiness(context: Data<GatewayContext>) -> HttpResponse {
    match context.is_ready() {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn own_member_record(settings: &GatewaySettings, clock: Clock) -> MemberRecord {
    MemberRecord {
        host: settings.mesh.host.clone(),
        role: ProcessRole::Entry,
        data_centre: settings.mesh.data_centre.clone(),
        address: settings.mesh.inner_advertise,
        incarnation: clock.started_unix_ms(),
        heartbeat: 0,
        leaving: false,
        reads_store: false,
        engine: None,
    }
}

fn new_dispatcher(settings: &GatewaySettings, clock: Clock) -> Dispatcher {
    let regions: HashMap<SmolStr, SmolStr> = settings.regions.clone();
    Dispatcher::new(DispatchSettings {
        data_centre: settings.mesh.data_centre.clone(),
        regions,
        old_version_send_window: settings.version_within.mul_f64(OLD_VERSION_SEND_FRACTION),
        old_version_start_window: settings.version_within.mul_f64(OLD_VERSION_START_FRACTION),
        started: clock.started_at(),
        startup_start_window: settings.contact_after.mul_f64(STARTUP_START_FRACTION),
        contention: match settings.contention {
            ContentionSetting::Auto => ContentionMode::Auto,
            ContentionSetting::On => ContentionMode::On,
            ContentionSetting::Off => ContentionMode::Off,
        },
        prompt_cache: settings.prompt_cache.clone(),
    })
}
