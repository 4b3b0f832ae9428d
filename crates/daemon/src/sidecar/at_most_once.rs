//! Runs requests that may run at most once, independently of the caller's connection.

use std::rc::Rc;

use actix_web::{
    http::{
        header::{HeaderMap, HeaderName, HeaderValue},
        Method, StatusCode,
    },
    web::{Bytes, BytesMut, Data, Payload},
    HttpRequest, HttpResponse,
};
use balsamjunction_policy::once::{CloseResult, OnceOutcome, OnceVerdict, StoredResponse};
use balsamjunction_protocol::{
    header::{self, REPLY},
    paths, CloseKeyRequest, CloseKeyResponse, IdempotencyKey, Outcome, Refusal, PROTOCOL_VERSION,
};
use balsamjunction_settings::ValueKey;
use futures_util::{StreamExt, TryStreamExt};
use log::{debug, warn};
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use super::{
    context::{InProgressGuard, SidecarContext},
    proxy::{upstream_path, RequestContext, RunError},
    upstream::{ResponseStream, UpstreamRequest},
};
use crate::{
    client,
    inner::{check_protocol_version, message_response, InnerError},
};

/// The request body is buffered completely, so that the run does not depend on the connection it
/// arrived on.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Longer responses are forwarded but not stored for resends.
const MAX_CACHED_RESPONSE_BYTES: usize = 64 * 1024;
/// Body frames of a response that are buffered for a slow caller.
const MAX_BUFFERED_FRAMES: usize = 16;
/// An earlier owner that does not respond within this time is considered unreachable.
const CLOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// A stored response, which is replayed to resends of the same key.
#[derive(Clone, Debug)]
pub struct CachedResponse {
    status: StatusCode,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

impl StoredResponse for CachedResponse {
    fn size_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(n, v)| n.as_str().len() + v.len()).sum();
        headers + self.body.len()
    }
}

type BodyFrame = Result<Bytes, actix_web::error::PayloadError>;

/// The head of a response and the body frames that follow it.
struct ResponseHead {
    response: HttpResponse<()>,
    frames: mpsc::Receiver<BodyFrame>,
}

/// Handles a request with an idempotency key.
pub async fn handle(request: RequestContext, req: &HttpRequest, payload: Payload) -> HttpResponse {
    let Some(key) = request.envelope.idempotency_key.clone() else {
        return request.refuse(Outcome::NotRun, Some(Refusal::BadRequest), None);
    };
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(refusal) => return request.refuse(Outcome::NotRun, Some(refusal), None),
    };
    if let Err((outcome, refusal)) = ensure_sole_owner(&request, &key).await {
        return request.refuse(outcome, Some(refusal), None);
    }
    let now = request.context.clock.now();
    let verdict = request
        .context
        .once_table()
        .begin(now, &key.key, key.created_at_ms);
    let (outcome, refusal) = match verdict {
        OnceVerdict::Run => return run(request, key, req, body).await,
        OnceVerdict::Replay(cached) => return replay(&request, cached),
        OnceVerdict::InProgress => (Outcome::Unknown, Refusal::KeyInProgress),
        OnceVerdict::ResponseNotStored => (Outcome::Ran, Refusal::AnswerNotKept),
        OnceVerdict::Unknown => (Outcome::Unknown, Refusal::KeyUnknown),
        OnceVerdict::Closed => (Outcome::Unknown, Refusal::NotKeyOwner),
        OnceVerdict::Full => (Outcome::NotRun, Refusal::Overloaded),
    };
    request.refuse(outcome, Some(refusal), None)
}

async fn read_body(mut payload: Payload) -> Result<Bytes, Refusal> {
    let mut buf = BytesMut::new();
    while let Some(frame) = payload.next().await {
        let frame = frame.map_err(|_| Refusal::BadRequest)?;
        if buf.len() + frame.len() > MAX_BODY_BYTES {
            return Err(Refusal::BodyTooLarge);
        }
        buf.extend_from_slice(&frame);
    }
    Ok(buf.freeze())
}

/// Ensures that no other sidecar has run or will run the key.
async fn ensure_sole_owner(
    request: &RequestContext,
    key: &IdempotencyKey,
) -> Result<(), (Outcome, Refusal)> {
    let context = &request.context;
    if request.envelope.revision > context.state.revision() {
        return Err((Outcome::NotRun, Refusal::NotReady));
    }
    let window = request.assignment.pool_value(ValueKey::RepeatWindowMs);
    let window = std::time::Duration::from_millis(window);
    let owners = context
        .owner_history()
        .owners(context.clock.now(), &key.key, window);
    let Some(owners) = owners else {
        return Err((Outcome::NotRun, Refusal::Draining));
    };
    if owners.current != context.settings.peer.host {
        return Err((Outcome::NotRun, Refusal::NotKeyOwner));
    }
    for earlier in owners.earlier {
        close_key_at(request, key, &earlier).await?;
    }
    Ok(())
}

async fn close_key_at(
    request: &RequestContext,
    key: &IdempotencyKey,
    host: &SmolStr,
) -> Result<(), (Outcome, Refusal)> {
    // Until the earlier owner responds, the key may have run there, so the outcome is unknown.
    let unreachable = (Outcome::Unknown, Refusal::KeyOwnerUnreachable);
    let Some((_, upstream)) = request.assignment.fleet.upstream_on_host(host) else {
        return Err(unreachable);
    };
    let close_request = CloseKeyRequest {
        v: PROTOCOL_VERSION,
        key: key.clone(),
    };
    let address = upstream.sidecar;
    let response: Result<CloseKeyResponse, _> = client::call(
        &request.client,
        address,
        paths::CLOSE_KEY,
        &close_request,
        CLOSE_TIMEOUT,
    )
    .await;
    match response {
        Ok(CloseKeyResponse { closed: true }) => Ok(()),
        Ok(CloseKeyResponse { closed: false }) => Err((Outcome::Unknown, Refusal::KeyUnknown)),
        Err(e) => {
            debug!("earlier owner {host} did not respond: {e}");
            Err(unreachable)
        }
    }
}

/// Closes a key at the request of its new owner.
pub async fn close_key(
    context: Data<SidecarContext>,
    body: Bytes,
) -> Result<HttpResponse, InnerError> {
    let close_request: CloseKeyRequest = header::from_bytes(&body)?;
    check_protocol_version(close_request.v)?;
    let now = context.clock.now();
    let key = &close_request.key;
    let result = context.once_table().close(now, &key.key, key.created_at_ms);
    let closed = result == CloseResult::Closed;
    message_response(&CloseKeyResponse { closed })
}

fn replay(request: &RequestContext, cached: CachedResponse) -> HttpResponse {
    let mut response = HttpResponse::build(cached.status);
    for header in cached.headers {
        response.append_header(header);
    }
    if let Ok(value) = header::to_header(&request.build_reply(Outcome::Ran, None)) {
        response.insert_header((REPLY, value));
    }
    response.body(cached.body)
}

/// Runs the request in its own task, so that a run is completed even if the caller disconnects.
async fn run(
    request: RequestContext,
    key: IdempotencyKey,
    req: &HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let (tx, rx) = oneshot::channel();
    let detached_run = DetachedRun {
        in_progress: InProgressGuard::start(request.context.clone()),
        method: req.method().clone(),
        path: upstream_path(req).to_owned(),
        headers: req.headers().clone(),
        body,
        key: key.key,
    };
    let request = Rc::new(request);
    actix_rt::spawn(detached_run.run(request.clone(), tx));
    match rx.await {
        Ok(Ok(head)) => {
            let frames = frame_stream(head.frames);
            head.response
                .set_body(actix_web::body::BodyStream::new(frames))
                .map_into_boxed_body()
        }
        Ok(Err(RunError::Refused(refused))) => request.refuse(
            Outcome::NotRun,
            Some(refused.refusal),
            Some(refused.retry_after),
        ),
        Ok(Err(RunError::Failed(failure))) => {
            request.refuse(failure.outcome, failure.refusal, None)
        }
        Err(_) => request.refuse(Outcome::Unknown, None, None),
    }
}

fn frame_stream(rx: mpsc::Receiver<BodyFrame>) -> impl futures_util::Stream<Item = BodyFrame> {
    futures_util::stream::unfold(rx, |mut rx| async move {
        let frame = rx.recv().await?;
        Some((frame, rx))
    })
}

struct DetachedRun {
    in_progress: InProgressGuard,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    key: SmolStr,
}

impl DetachedRun {
    async fn run(
        self,
        request: Rc<RequestContext>,
        head: oneshot::Sender<Result<ResponseHead, RunError>>,
    ) {
        let upstream_request = UpstreamRequest {
            method: self.method,
            path: &self.path,
            headers: &self.headers,
            body: actix_web::body::BoxBody::new(self.body),
        };
        let stream = match request.run_on_upstream(upstream_request).await {
            Ok(stream) => stream,
            Err(error) => {
                let outcome = match &error {
                    RunError::Failed(failure) if failure.outcome != Outcome::NotRun => {
                        OnceOutcome::Unknown
                    }
                    _ => OnceOutcome::NotRun,
                };
                // Recorded before the caller is notified; otherwise a resend could arrive first.
                record_outcome(&request, &self.key, outcome);
                let _ = head.send(Err(error));
                return;
            }
        };
        let (tx, frames) = mpsc::channel(MAX_BUFFERED_FRAMES);
        let response = request.response_head(&stream).finish().drop_body();
        let _ = head.send(Ok(ResponseHead { response, frames }));
        let outcome = forward_response(&request, stream, &tx).await;
        record_outcome(&request, &self.key, outcome);
        drop((tx, self.in_progress));
    }
}

fn record_outcome(request: &RequestContext, key: &SmolStr, outcome: OnceOutcome<CachedResponse>) {
    let now = request.context.clock.now();
    request.context.once_table().end(now, key, outcome);
}

/// Forwards the response, reading it to its end even if the caller has disconnected; the outcome holds the
/// response if it is short enough to store.
async fn forward_response(
    request: &RequestContext,
    mut stream: ResponseStream,
    tx: &mpsc::Sender<BodyFrame>,
) -> OnceOutcome<CachedResponse> {
    let status = stream.response.status();
    let response_headers = stream.response.headers().iter();
    let headers = response_headers
        .filter(|(name, _)| name.as_str() == "content-type" || name.as_str().starts_with("x-"))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    let mut body = BytesMut::new();
    let mut too_long = false;
    loop {
        match stream.try_next().await {
            Ok(Some(frame)) => {
                too_long |= body.len() + frame.len() > MAX_CACHED_RESPONSE_BYTES;
                if !too_long {
                    body.extend_from_slice(&frame);
                }
                let _ = tx.send(Ok(frame)).await;
            }
            Ok(None) => break,
            Err(e) => {
                warn!(
                    "{}: response to a request with an idempotency key was interrupted: {e}",
                    request.envelope.request
                );
                let _ = tx.send(Err(e)).await;
                return OnceOutcome::Unknown;
            }
        }
    }
    let cached = CachedResponse {
        status,
        headers,
        body: body.freeze(),
    };
    OnceOutcome::Ran((!too_long).then_some(cached))
}
