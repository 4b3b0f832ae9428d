//! The inner HTTP interface that both roles share: peers, health, metrics, audit.

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
    audit::{Action, Audit, Record, Verdict},
    fleet::{dissemination::EmptyResponse, Disseminator, FleetState, PullFrom},
    metrics::Metrics,
};

/// The longest message of a peer.
pub(crate) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// The media type of messages between processes.
const MESSAGE_TYPE: &str = "application/msgpack";
/// The media type of OpenMetrics.
pub(crate) const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What the process says of itself; each role has its own.
pub trait Report: Send + Sync {
    /// What the process does now.
    fn status(&self) -> PeerStatus;
}

/// What the shared routes need.
pub struct Inner {
    /// What this process believes about the fleet.
    pub state: Arc<FleetState>,
    /// Spreads news further.
    pub disseminator: Addr<Disseminator>,
    /// The audit trail.
    pub audit: Arc<Audit>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The role's own report.
    pub report: Arc<dyn Report>,
}

/// An inner request that cannot be answered.
#[derive(Debug, Display, Error, From)]
pub enum InnerError {
    /// The message cannot be read or written.
    #[display("{_0}")]
    Protocol(ProtocolError),
    /// Metrics cannot be written.
    #[display("metrics cannot be written: {_0}")]
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

/// Writes a message as an answer.
pub fn message<T: Serialize>(message: &T) -> Result<HttpResponse, InnerError> {
    let body = header::to_bytes(message)?;
    Ok(HttpResponse::Ok()
        .insert_header((CONTENT_TYPE, MESSAGE_TYPE))
        .body(body))
}

/// Refuses a peer of another protocol version.
pub fn check_version(theirs: u16) -> Result<(), InnerError> {
    if theirs == PROTOCOL_VERSION {
        return Ok(());
    }
    let ours = PROTOCOL_VERSION;
    Err(ProtocolError::Version { theirs, ours }.into())
}

/// Adds the shared routes.
pub fn routes(cfg: &mut ServiceConfig) {
    cfg.app_data(web::PayloadConfig::new(MAX_MESSAGE_BYTES))
        .route(paths::PULL, web::post().to(pull))
        .route(paths::ANNOUNCE, web::post().to(announced))
        .route(paths::CRASH, web::post().to(crash))
        .route(paths::STATUS, web::get().to(status))
        .route(paths::AUDIT, web::get().to(audit))
        .route(paths::METRICS, web::get().to(metrics))
        .route(paths::LIVE, web::get().to(HttpResponse::Ok))
        .route(paths::READY, web::get().to(ready));
}

async fn pull(inner: Data<Inner>, body: Bytes) -> Result<HttpResponse, InnerError> {
    let request: PullRequest = header::from_bytes(&body)?;
    check_version(request.v)?;
    let body = header::to_compressed(&inner.state.pull_response(&request))?;
    Ok(HttpResponse::Ok()
        .insert_header((CONTENT_TYPE, MESSAGE_TYPE))
        .body(body))
}

async fn announced(inner: Data<Inner>, body: Bytes) -> Result<HttpResponse, InnerError> {
    let news: Announcement = header::from_bytes(&body)?;
    check_version(news.v)?;
    let snapshot = inner.state.snapshot();
    let behind =
        news.revision > snapshot.revision() || news.generation > snapshot.members.generation;
    if let (true, Ok(peer)) = (behind, news.from.parse()) {
        inner.disseminator.do_send(PullFrom { peer });
    }
    message(&EmptyResponse {})
}

async fn crash(inner: Data<Inner>, body: Bytes) -> Result<HttpResponse, InnerError> {
    let crash: Crash = header::from_bytes(&body)?;
    note_crash(&inner.state, &inner.audit, crash);
    message(&EmptyResponse {})
}

/// Notes a crash and records it if it is news.
pub fn note_crash(state: &FleetState, audit: &Audit, crash: Crash) {
    if !state.record_crash(crash.clone()) {
        return;
    }
    audit.record(Record {
        who: crash.upstream.clone(),
        action: Action::Crash,
        from: "".into(),
        to: smol_str::format_smolstr!("{:016x}", crash.fingerprint),
        verdict: Verdict::Accepted,
        why: "the upstream broke while it ran this request".into(),
    });
}

async fn status(inner: Data<Inner>) -> HttpResponse {
    HttpResponse::Ok().json(inner.report.status())
}

async fn audit(inner: Data<Inner>) -> HttpResponse {
    HttpResponse::Ok().json(inner.audit.entries())
}

async fn metrics(inner: Data<Inner>) -> Result<HttpResponse, InnerError> {
    let text = inner.metrics.encode()?;
    Ok(HttpResponse::Ok()
        .insert_header((CONTENT_TYPE, OPENMETRICS))
        .body(text))
}

async fn ready(inner: Data<Inner>) -> HttpResponse {
    if inner.report.status().ready {
        return HttpResponse::Ok().finish();
    }
    HttpResponse::ServiceUnavailable().finish()
}
