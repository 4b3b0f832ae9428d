//! HTTP endpoints for other processes and for operators.

use std::{net::TcpListener, sync::Arc};

use actix_web::{
    http::header::CONTENT_TYPE,
    web::{self, Bytes, Data, ServiceConfig},
    App, HttpResponse, HttpServer,
};
use balsamjunction_directory::Position;
use balsamjunction_protocol::{
    header,
    mesh::{
        ChangeNotification, CrashEvidenceNotification, LimitNotification, PartRequest, SyncRequest,
        SyncResponse,
    },
    paths,
};

use super::{peer_client::observe_change_ages, ClusterView, Documents};
use crate::{
    error::DaemonError,
    fleet::dissemination::EmptyResponse,
    inner::{
        check_protocol_version, compact_response, message_response, InnerError, MAX_MESSAGE_BYTES,
        OPENMETRICS,
    },
    metrics::{Metrics, RefreshGauges},
    process::MAX_PROBE_CONNECTIONS,
};

/// Adds the route of [`Documents`], which it requires as application data.
pub fn document_routes(cfg: &mut ServiceConfig) {
    cfg.route(paths::MESH_PART, web::post().to(handle_part));
}

/// Adds the routes; they require [`ClusterView`], [`Metrics`] and [`Gauges`] as application data.
pub fn routes(cfg: &mut ServiceConfig) {
    cfg.app_data(web::PayloadConfig::new(MAX_MESSAGE_BYTES))
        .route(paths::SYNC, web::post().to(handle_sync))
        .route(paths::CHANGES, web::post().to(handle_changes))
        .route(
            paths::MESH_CRASH_EVIDENCE,
            web::post().to(handle_crash_evidence),
        )
        .route(paths::MESH_LIMITS, web::post().to(handle_limits))
        .route(paths::METRICS, web::get().to(serve_current_metrics))
        .route(paths::LIVE, web::get().to(HttpResponse::Ok));
}

/// Serves the metrics, and nothing else, on a separate listener; does nothing without one.
pub fn serve_metrics(
    listener: Option<TcpListener>,
    data: (Data<Arc<Metrics>>, Data<dyn RefreshGauges>),
) -> Result<(), DaemonError> {
    let Some(listener) = listener else {
        return Ok(());
    };
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.0.clone())
            .app_data(data.1.clone())
            .route(paths::METRICS, web::get().to(serve_current_metrics))
    });
    let server = server.workers(1).max_connections(MAX_PROBE_CONNECTIONS);
    let server = server.disable_signals().listen(listener)?;
    actix_rt::spawn(server.run());
    Ok(())
}

async fn handle_sync(
    cluster_view: Data<ClusterView>,
    body: Bytes,
) -> Result<HttpResponse, InnerError> {
    let mut request: SyncRequest = header::from_bytes(&body)?;
    check_protocol_version(request.v)?;
    cluster_view.merge_members(std::mem::take(&mut request.members));
    let limits = request.limits.as_ref().map(|limits| {
        cluster_view.merge_limits(limits);
        cluster_view.limit_reports()
    });
    let peer_heartbeats = request.live_members.as_deref();
    let (records, heartbeats, unknown_keys, same_members) =
        cluster_view.with_members(|members, now| {
            let unknown_keys = peer_heartbeats
                .map(|peer_heartbeats| members.merge_heartbeats(now, peer_heartbeats));
            let updates =
                peer_heartbeats.map(|peer_heartbeats| members.updates_for(now, peer_heartbeats));
            let (records, heartbeats) =
                updates.unwrap_or_else(|| (vec![members.own().clone()], Vec::new()));
            let same_members = members.digest(now) == request.member_digest;
            (
                records,
                heartbeats,
                unknown_keys.unwrap_or_default(),
                same_members,
            )
        });
    let pull = request.pull.as_ref();
    let mut response = SyncResponse {
        members: records,
        heartbeats,
        unknown_keys,
        same_members,
        verification: cluster_view.verification_age(),
        limits: limits.unwrap_or_default(),
        crash_evidence: None,
        request_crash_evidence: None,
        update: pull.and_then(|pull| cluster_view.update_for(pull)),
        weights: request
            .include_weights
            .then(|| cluster_view.weights_update())
            .flatten(),
    };
    cluster_view.add_crash_evidence(&request, &mut response);
    compact_response(&response, request.accepts_compressed)
}

async fn handle_changes(
    cluster_view: Data<ClusterView>,
    metrics: Data<Arc<Metrics>>,
    body: Bytes,
) -> Result<HttpResponse, InnerError> {
    let notification: ChangeNotification = header::from_bytes(&body)?;
    check_protocol_version(notification.v)?;
    let base = Position {
        era: notification.base_era,
        revision: notification.base_revision,
    };
    observe_change_ages(&metrics.mesh, cluster_view.position(), &notification.update);
    cluster_view.apply_notification(base, notification.update);
    message_response(&EmptyResponse {})
}

async fn handle_part(documents: Data<Documents>, body: Bytes) -> Result<HttpResponse, InnerError> {
    let request: PartRequest = header::from_bytes(&body)?;
    check_protocol_version(request.v)?;
    message_response(&documents.serve(&request).await)
}

async fn handle_crash_evidence(
    cluster_view: Data<ClusterView>,
    body: Bytes,
) -> Result<HttpResponse, InnerError> {
    let notification: CrashEvidenceNotification = header::from_bytes(&body)?;
    check_protocol_version(notification.v)?;
    cluster_view.merge_crash_notification(&notification);
    message_response(&EmptyResponse {})
}

async fn handle_limits(
    cluster_view: Data<ClusterView>,
    body: Bytes,
) -> Result<HttpResponse, InnerError> {
    let notification: LimitNotification = header::from_bytes(&body)?;
    check_protocol_version(notification.v)?;
    cluster_view.merge_limits(&notification.limits);
    message_response(&EmptyResponse {})
}

async fn serve_current_metrics(
    metrics: Data<Arc<Metrics>>,
    gauges: Data<dyn RefreshGauges>,
) -> Result<HttpResponse, InnerError> {
    gauges.refresh(&metrics);
    let text = metrics.encode()?;
    Ok(HttpResponse::Ok()
        .insert_header((CONTENT_TYPE, OPENMETRICS))
        .body(text))
}
