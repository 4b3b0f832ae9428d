//! Sends granted requests to the upstream and streams the responses.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use actix_web::{
    body::BoxBody,
    error::PayloadError,
    http::{header::HeaderMap, Method, StatusCode},
    web::Bytes,
};
use awc::{error::SendRequestError, Client};
use balsamjunction_policy::{gate::RunOutcome, Moment};
use balsamjunction_protocol::{Crash, Envelope, Outcome, Refusal};
use futures_util::Stream;
use log::{debug, warn};
use smol_str::{format_smolstr, SmolStr};
use tokio::net::TcpStream;

use super::{
    admission::Permit,
    context::{Assignment, InProgressGuard, SidecarContext},
};
use crate::{
    fleet::dissemination::report_crash,
    http::{copy_request_headers, UpstreamResponse},
    inner::record_crash,
};
use balsamjunction_settings::ValueKey;

/// In a request, the version that the engine must use; in a response, the version that it used.
pub const VERSION_HEADER: &str = "x-model-version";
/// The request ID; checked in the responses of services that echo it.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// An upstream, which is on the same host, is down if it does not accept a connection in this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Checks whether an upstream that broke a connection still accepts others, before it counts as alive.
const CRASH_CHECKS: u32 = 4;
/// Interval between these checks.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A request that admission control has granted.
pub struct GrantedRequest {
    /// The envelope sent by the entry.
    pub envelope: Envelope,
    /// The pool to which the declaration assigns the upstream.
    pub assignment: Assignment,
    /// The version that the request is pinned to; absent if the upstream serves no version.
    pub version: Option<SmolStr>,
    /// The time at which the caller stops waiting for the first byte.
    pub deadline: Moment,
}

/// A run that failed without a response.
#[derive(Clone, Copy, Debug)]
pub struct RunFailure {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why it did not run; absent if that is unknown.
    pub refusal: Option<Refusal>,
}

/// The HTTP request that is sent to the upstream.
pub struct UpstreamRequest<'a> {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// The caller's headers.
    pub headers: &'a HeaderMap,
    /// The body.
    pub body: BoxBody,
}

/// Sends a granted request and checks the head of the response.
pub async fn send(
    context: &Arc<SidecarContext>,
    client: &Client,
    granted: &GrantedRequest,
    upstream_request: UpstreamRequest<'_>,
    permit: Permit,
) -> Result<ResponseStream, RunFailure> {
    let started = context.clock.now();
    let url = format!(
        "http://{}{}",
        context.settings.upstream, upstream_request.path
    );
    let mut request = copy_request_headers(
        upstream_request.headers,
        client.request(upstream_request.method, url),
    )
    .insert_header((REQUEST_ID_HEADER, granted.envelope.request.to_string()))
    .timeout(granted.deadline.saturating_sub(started));
    if let Some(version) = &granted.version {
        request = request.insert_header((VERSION_HEADER, version.as_str()));
    }
    match request.send_body(upstream_request.body).await {
        Ok(response) => check_response(context, granted, response, permit, started),
        Err(e) => Err(handle_send_error(context, client, granted, &e, permit).await),
    }
}

async fn handle_send_error(
    context: &Arc<SidecarContext>,
    client: &Client,
    granted: &GrantedRequest,
    e: &SendRequestError,
    permit: Permit,
) -> RunFailure {
    debug!(
        "{}: request to the upstream failed: {e}",
        granted.envelope.request
    );
    match e {
        _ if balsamjunction_client::failed_to_connect(e) => {
            permit.finish(RunOutcome::Crashed);
            RunFailure {
                outcome: Outcome::NotRun,
                refusal: Some(Refusal::UpstreamDown),
            }
        }
        SendRequestError::Timeout => {
            permit.finish(RunOutcome::Failed);
            RunFailure {
                outcome: Outcome::Unknown,
                refusal: None,
            }
        }
        _ => {
            permit.finish(RunOutcome::Crashed);
            record_crash_if_down(
                context.clone(),
                client.clone(),
                granted.envelope.fingerprint,
            )
            .await;
            RunFailure {
                outcome: Outcome::Unknown,
                refusal: None,
            }
        }
    }
}

fn check_response(
    context: &Arc<SidecarContext>,
    granted: &GrantedRequest,
    response: UpstreamResponse,
    permit: Permit,
    started: Moment,
) -> Result<ResponseStream, RunFailure> {
    let status = response.status().as_u16();
    if !balsamjunction_client::is_final_status(status) {
        let request = granted.envelope.request;
        warn!("{request}: the upstream responded with status {status}, which is not that of a final response");
        permit.finish(RunOutcome::Failed);
        return Err(RunFailure {
            outcome: Outcome::Unknown,
            refusal: None,
        });
    }
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    let other_version =
        header(VERSION_HEADER).is_some_and(|v| granted.version.as_deref().is_some_and(|w| v != w));
    let request = granted.envelope.request.to_string();
    let other_request = header(REQUEST_ID_HEADER).is_some_and(|id| id != request);
    if other_version || other_request {
        warn!("{request}: the upstream responded with a different version or request ID");
        permit.finish(RunOutcome::Failed);
        return Err(RunFailure {
            outcome: Outcome::Unknown,
            refusal: None,
        });
    }
    Ok(ResponseStream {
        context: context.clone(),
        fingerprint: granted.envelope.fingerprint,
        crash_limit: granted.assignment.pool_value(ValueKey::CrashLimit),
        first_byte: context.clock.now().saturating_sub(started),
        response,
        permit: Some(permit),
        _in_progress: InProgressGuard::start(context.clone()),
    })
}

/// A response whose body is being streamed; keeps the concurrency slot until the body ends.
pub struct ResponseStream {
    context: Arc<SidecarContext>,
    fingerprint: u64,
    crash_limit: u64,
    first_byte: Moment,
    /// The upstream's response.
    pub response: UpstreamResponse,
    permit: Option<Permit>,
    _in_progress: InProgressGuard,
}

impl ResponseStream {
    fn finish(&mut self) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let is_overloaded = self.response.status() == StatusCode::SERVICE_UNAVAILABLE
            || self.response.status() == StatusCode::TOO_MANY_REQUESTS;
        permit.finish(match is_overloaded {
            true => RunOutcome::Failed,
            false => RunOutcome::Served {
                first_byte: self.first_byte,
            },
        });
        self.context
            .state
            .record_success(self.fingerprint, self.crash_limit);
    }

    fn abort(&mut self, e: &PayloadError) {
        warn!("response of the upstream was interrupted: {e}");
        if let Some(permit) = self.permit.take() {
            permit.finish(RunOutcome::Crashed);
        }
        let client = balsamjunction_client::new_client(self.context.settings.peer.outbound_ip);
        actix_rt::spawn(record_crash_if_down(
            self.context.clone(),
            client,
            self.fingerprint,
        ));
    }
}

impl Stream for ResponseStream {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = Pin::new(&mut self.response).poll_next(cx);
        match &polled {
            Poll::Ready(None) => self.finish(),
            Poll::Ready(Some(Err(e))) => self.abort(e),
            _ => {}
        }
        polled
    }
}

/// Records and reports a crash caused by a request, unless the upstream continues to accept connections.
async fn record_crash_if_down(context: Arc<SidecarContext>, client: Client, fingerprint: u64) {
    if continues_to_accept_connections(context.settings.upstream).await {
        return;
    }
    let host = &context.settings.peer.host;
    let started = context.clock.started_unix_s();
    let crash = Crash {
        fingerprint,
        upstream: format_smolstr!("{host}/{started}/{}", context.next_crash_number()),
    };
    record_crash(&context.state, &context.state.audit, crash.clone());
    let Some(assignment) = context.assignment() else {
        return;
    };
    let upstreams = assignment
        .fleet
        .pools
        .get(&assignment.pool)
        .map(|pool| &pool.upstreams);
    let addresses: Vec<SocketAddr> = upstreams
        .into_iter()
        .flatten()
        .filter(|upstream| upstream.host != *host)
        .map(|upstream| upstream.sidecar)
        .collect();
    report_crash(&client, &addresses, &crash).await;
}

/// Whether an upstream accepts connections in all of several checks. A process that exits closes the connections
/// of its requests some milliseconds before it stops to accept new ones.
async fn continues_to_accept_connections(address: SocketAddr) -> bool {
    for _ in 1..CRASH_CHECKS {
        if !accepts_connections(address).await {
            return false;
        }
        actix_rt::time::sleep(CRASH_CHECK_INTERVAL).await;
    }
    accepts_connections(address).await
}

async fn accepts_connections(address: SocketAddr) -> bool {
    let connect = TcpStream::connect(address);
    let connected = actix_rt::time::timeout(CONNECT_TIMEOUT, connect).await;
    matches!(connected, Ok(Ok(_)))
}
