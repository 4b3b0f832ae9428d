//! The internal HTTP interface of entries and sidecars: peers, health, metrics and audit trail.

use std::sync::Arc;

use actix::Addr;
use actix_web::{
    http::{header::CONTENT_TYPE, StatusCode},
    web::{self, Bytes, Data, ServiceConfig},
    HttpResponse, ResponseError,
};
use balsamjunction_protocol::{
    header, paths, Announcement, Crash, PeerStatus, ProtocolError, PullRequest, PROTOCOL_VERSION,
};
use derive_more::{Display, Error, From};
use serde::Serialize;

use crate::{
    audit::{AuditRecord, AuditTrail, ChangeKind, Verdict},
    fleet::{dissemination::EmptyResponse, Disseminator, FleetState, PullFrom},
    metrics::Metrics,
};

/// Longest request body of a peer, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Shortest body that is compressed. Most exchanges are shorter, and cost less time than bytes.
const MIN_COMPRESSED_BYTES: usize = 4 * 1024;
/// Media type of messages between processes.
const MESSAGE_TYPE: &str = "application/msgpack";
/// Media type of the OpenMetrics format.
pub(crate) const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Provides the status of the process; each role implements it.
pub trait StatusProvider: Send + Sync {
    /// The present status of the process.
    fn status(&self) -> PeerStatus;
}

/// State that the handlers of the internal interface share.
pub struct InnerContext {
    /// The fleet state of this process.
    pub state: Arc<FleetState>,
    /// Disseminates changes of the fleet state.
    pub disseminator: Addr<Disseminator>,
    /// The audit trail.
    pub audit: Arc<AuditTrail>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Provides the status of the process.
    pub status_provider: Arc<dyn StatusProvider>,
}

/// Why an internal request failed.
#[derive(Debug, Display, Error, From)]
pub enum InnerError {
    /// The message cannot be encoded or decoded, or has another protocol version.
    #[display("{_0}")]
    Protocol(ProtocolError),
    /// The metrics cannot be encoded.
    #[display("cannot encode metrics: {_0}")]
    Metrics(std::fmt::Error),
}

impl ResponseError for InnerError {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::Protocol(_) => StatusCode::BAD_REQUEST,
            Self::Metrics(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// Encodes a message as the body of a successful response.
pub fn message_response<T: Serialize>(message: &T) -> Result<HttpResponse, InnerError> {
    compact_response(message, false)
}

/// Does the same as [`message_response`], and compresses a long body for a peer that accepts it.
pub fn compact_response<T: Serialize>(
    message: &T,
    accepts_compressed: bool,
) -> Result<HttpResponse, InnerError> {
    let body = header::to_bytes(message)?;
    let mut response = HttpResponse::Ok();
    response.insert_header((CONTENT_TYPE, MESSAGE_TYPE));
    if !accepts_compressed || body.len() < MIN_COMPRESSED_BYTES {
        return Ok(response.body(body));
    }
    response.insert_header((header::ENCODING, header::DEFLATED));
    Ok(response.body(header::compress(&body)?))
}

/// Returns an error if a peer has another protocol version.
pub fn check_protocol_version(theirs: u16) -> Result<(), InnerError> {
    if theirs == PROTOCOL_VERSION {
        return Ok(());
    }
    let ours = PROTOCOL_VERSION;
    Err(ProtocolError::UnsupportedVersion { theirs, ours }.into())
}

/// Registers the routes that entries and sidecars share; needs [`InnerContext`] as data.
pub fn configure_routes(cfg: &mut ServiceConfig) {
    cfg.app_data(web::PayloadConfig::new(MAX_MESSAGE_BYTES))
        .route(paths::PULL, web::post().to(pull))
        .route(paths::ANNOUNCE, web::post().to(receive_announcement))
        .route(paths::CRASH, web::post().to(receive_crash))
        .route(paths::STATUS, web::get().to(get_status))
        .route(paths::AUDIT, web::get().to(get_audit))
        .route(paths::METRICS, web::get().to(get_metrics))
        .route(paths::LIVE, web::get().to(HttpResponse::Ok))
        .route(paths::READY, web::get().to(get_readiness));
}

async fn pull(inner: Data<InnerContext>, body: Bytes) -> Result<HttpResponse, InnerError> {
    let request: PullRequest = header::from_bytes(&body)?;
    check_protocol_version(request.v)?;
    let body = header::to_compressed(&inner.state.pull_response(&request))?;
    Ok(HttpResponse::Ok()
        .insert_header((CONTENT_TYPE, MESSAGE_TYPE))
        .body(body))
}

async fn receive_announcement(
    inner: Data<InnerContext>,
    body: Bytes,
) -> Result<HttpResponse, InnerError> {
    let announcement: Announcement = header::from_bytes(&body)?;
    check_protocol_version(announcement.v)?;
    let snapshot = inner.state.snapshot();
    let behind = announcement.revision > snapshot.revision()
        || announcement.generation > snapshot.members.generation;
    if let (true, Ok(peer)) = (behind, announcement.from.parse()) {
        inner.disseminator.do_send(PullFrom { peer });
    }
    message_response(&EmptyResponse {})
}

async fn receive_crash(inner: Data<InnerContext>, body: Bytes) -> Result<HttpResponse, InnerError> {
    let crash: Crash = header::from_bytes(&body)?;
    record_crash(&inner.state, &inner.audit, crash);
    message_response(&EmptyResponse {})
}

/// Adds a crash to the fleet state, and to the audit trail unless it was known.
pub fn record_crash(state: &FleetState, audit: &AuditTrail, crash: Crash) {
    if !state.record_crash(crash.clone()) {
        return;
    }
    audit.record(AuditRecord {
        actor: crash.upstream.clone(),
        kind: ChangeKind::Crash,
        from: "".into(),
        to: smol_str::format_smolstr!("{:016x}", crash.fingerprint),
        verdict: Verdict::Accepted,
        reason: "the upstream crashed while it ran this request".into(),
    });
}

async fn get_status(inner: Data<InnerContext>) -> HttpResponse {
    HttpResponse::Ok().json(inner.status_provider.status())
}

async fn get_audit(inner: Data<InnerContext>) -> HttpResponse {
    HttpResponse::Ok().json(inner.audit.entries())
}

async fn get_metrics(inner: Data<InnerContext>) -> Result<HttpResponse, InnerError> {
    let text = inner.metrics.encode()?;
    Ok(HttpResponse::Ok()
        .insert_header((CONTENT_TYPE, OPENMETRICS))
        .body(text))
}

async fn get_readiness(inner: Data<InnerContext>) -> HttpResponse {
    if inner.status_provider.status().ready {
        return HttpResponse::Ok().finish();
    }
    HttpResponse::ServiceUnavailable().finish()
}
