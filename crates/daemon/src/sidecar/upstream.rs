//! Runs a granted request on the upstream.

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
    context::{InProgress, Post, SidecarContext},
    gatekeeper::Permit,
};
use crate::{
    fleet::dissemination::report_crash,
    http::{copy_request_headers, Answer},
    inner::note_crash,
};
use balsamjunction_settings::ValueKey;

/// The version that an engine answered with, or is asked to answer with.
pub const VERSION_HEADER: &str = "x-model-version";
/// The request that an upstream answers; services that echo it are checked.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// An upstream on the same host that does not accept in this time is down.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// A granted request.
pub struct Run {
    /// What the entry said.
    pub envelope: Envelope,
    /// The upstream's place in the declaration.
    pub post: Post,
    /// The version that the request is pinned to.
    pub version: Option<SmolStr>,
    /// When the caller stops waiting for the first byte.
    pub deadline: Moment,
}

/// Why a run brought no answer.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// The request's fate.
    pub outcome: Outcome,
    /// Why it did not run.
    pub refusal: Option<Refusal>,
}

/// A request as it goes to the upstream.
pub struct Outgoing<'a> {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// The caller's headers.
    pub headers: &'a HeaderMap,
    /// The body.
    pub body: BoxBody,
}

/// Sends a granted request and checks the head of the answer.
pub async fn send(
    context: &Arc<SidecarContext>,
    client: &Client,
    run: &Run,
    outgoing: Outgoing<'_>,
    permit: Permit,
) -> Result<Running, Failure> {
    let started = context.clock.now();
    let url = format!("http://{}{}", context.settings.upstream, outgoing.path);
    let mut request = copy_request_headers(outgoing.headers, client.request(outgoing.method, url))
        .insert_header((REQUEST_ID_HEADER, run.envelope.request.to_string()))
        .timeout(run.deadline.saturating_sub(started));
    if let Some(version) = &run.version {
        request = request.insert_header((VERSION_HEADER, version.as_str()));
    }
    match request.send_body(outgoing.body).await {
        Ok(answer) => check(context, run, answer, permit, started),
        Err(e) => Err(failed(context, client, run, &e, permit).await),
    }
}

async fn failed(
    context: &Arc<SidecarContext>,
    client: &Client,
    run: &Run,
    e: &SendRequestError,
    permit: Permit,
) -> Failure {
    debug!("{}: upstream failed: {e}", run.envelope.request);
    match e {
        _ if balsamjunction_client::never_connected(e) => {
            permit.finish(RunOutcome::Crashed);
            Failure {
                outcome: Outcome::NotRun,
                refusal: Some(Refusal::UpstreamDown),
            }
        }
        SendRequestError::Timeout => {
            permit.finish(RunOutcome::Failed);
            Failure {
                outcome: Outcome::Unknown,
                refusal: None,
            }
        }
        _ => {
            permit.finish(RunOutcome::Crashed);
            blame(context.clone(), client.clone(), run.envelope.fingerprint).await;
            Failure {
                outcome: Outcome::Unknown,
                refusal: None,
            }
        }
    }
}

fn check(
    context: &Arc<SidecarContext>,
    run: &Run,
    answer: Answer,
    permit: Permit,
    started: Moment,
) -> Result<Running, Failure> {
    let header = |name: &str| answer.headers().get(name).and_then(|v| v.to_str().ok());
    let other_version =
        header(VERSION_HEADER).is_some_and(|v| run.version.as_deref().is_some_and(|w| v != w));
    let request = run.envelope.request.to_string();
    let other_request = header(REQUEST_ID_HEADER).is_some_and(|id| id != request);
    if other_version || other_request {
        warn!("{request}: upstream answered with another version or request");
        permit.finish(RunOutcome::Failed);
        return Err(Failure {
            outcome: Outcome::Unknown,
            refusal: None,
        });
    }
    Ok(Running {
        context: context.clone(),
        fingerprint: run.envelope.fingerprint,
        crash_limit: run.post.pool_value(ValueKey::CrashLimit),
        first_byte: context.clock.now().saturating_sub(started),
        answer,
        permit: Some(permit),
        _in_progress: InProgress::start(context.clone()),
    })
}

/// An answer whose body is on its way; holds the place on the upstream until it ends.
pub struct Running {
    context: Arc<SidecarContext>,
    fingerprint: u64,
    crash_limit: u64,
    first_byte: Moment,
    /// The upstream's answer.
    pub answer: Answer,
    permit: Option<Permit>,
    _in_progress: InProgress,
}

impl Running {
    fn ended(&mut self) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let troubled = self.answer.status() == StatusCode::SERVICE_UNAVAILABLE
            || self.answer.status() == StatusCode::TOO_MANY_REQUESTS;
        permit.finish(match troubled {
            true => RunOutcome::Failed,
            false => RunOutcome::Served {
                first_byte: self.first_byte,
            },
        });
        self.context
            .state
            .record_success(self.fingerprint, self.crash_limit);
    }

    fn broke(&mut self, e: &PayloadError) {
        warn!("answer of upstream broke off: {e}");
        if let Some(permit) = self.permit.take() {
            permit.finish(RunOutcome::Crashed);
        }
        let client = balsamjunction_client::new(self.context.settings.peer.outbound_ip);
        actix_rt::spawn(blame(self.context.clone(), client, self.fingerprint));
    }
}

impl Stream for Running {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = Pin::new(&mut self.answer).poll_next(cx);
        match &polled {
            Poll::Ready(None) => self.ended(),
            Poll::Ready(Some(Err(e))) => self.broke(e),
            _ => {}
        }
        polled
    }
}

/// Blames a request for the upstream's crash, unless the upstream still accepts connections.
async fn blame(context: Arc<SidecarContext>, client: Client, fingerprint: u64) {
    if accepts(context.settings.upstream).await {
        return;
    }
    let host = &context.settings.peer.host;
    let started = context.clock.started_s();
    let crash = Crash {
        fingerprint,
        upstream: format_smolstr!("{host}/{started}/{}", context.next_crash()),
    };
    note_crash(&context.state, &context.state.audit, crash.clone());
    let Some(post) = context.post() else {
        return;
    };
    let upstreams = post.fleet.pools.get(&post.pool).map(|pool| &pool.upstreams);
    let addresses: Vec<SocketAddr> = upstreams
        .into_iter()
        .flatten()
        .filter(|upstream| upstream.host != *host)
        .map(|upstream| upstream.sidecar)
        .collect();
    report_crash(&client, &addresses, &crash).await;
}

async fn accepts(address: SocketAddr) -> bool {
    let connect = TcpStream::connect(address);
    let connected = actix_rt::time::timeout(PROBE_TIMEOUT, connect).await;
    matches!(connected, Ok(Ok(_)))
}
