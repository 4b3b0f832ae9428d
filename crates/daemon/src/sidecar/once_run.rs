//! Runs requests that may run at most once, apart from the connection that asked for them.

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
    carry::{upstream_path, Ended, Visit},
    context::{InProgress, SidecarContext},
    upstream::{Outgoing, Running},
};
use crate::{
    client,
    inner::{check_version, message, InnerError},
};

/// The whole body is held, so that the run does not depend on the connection that brought it.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Longer answers are passed through once and not kept for resends.
const MAX_KEPT_BYTES: usize = 64 * 1024;
/// Pieces of an answer that may wait for a slow caller.
const PIECES_AHEAD: usize = 16;
/// An earlier owner that does not answer in this time counts as unreachable.
const CLOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// An answer that resends get again.
#[derive(Clone, Debug)]
pub struct KeptAnswer {
    status: StatusCode,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

impl StoredResponse for KeptAnswer {
    fn size_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(n, v)| n.as_str().len() + v.len()).sum();
        headers + self.body.len()
    }
}

type Piece = Result<Bytes, actix_web::error::PayloadError>;

/// The head of an answer and the pieces that follow.
struct Head {
    response: HttpResponse<()>,
    pieces: mpsc::Receiver<Piece>,
}

/// Handles a request with an idempotency key.
pub async fn handle(visit: Visit, req: &HttpRequest, payload: Payload) -> HttpResponse {
    let Some(once) = visit.envelope.idempotency_key.clone() else {
        return visit.refuse(Outcome::NotRun, Some(Refusal::BadRequest), None);
    };
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(refusal) => return visit.refuse(Outcome::NotRun, Some(refusal), None),
    };
    if let Err((outcome, refusal)) = settle_ownership(&visit, &once).await {
        return visit.refuse(outcome, Some(refusal), None);
    }
    let now = visit.context.clock.now();
    let verdict = visit
        .context
        .once()
        .begin(now, &once.key, once.created_at_ms);
    let (outcome, refusal) = match verdict {
        OnceVerdict::Run => return run(visit, once, req, body).await,
        OnceVerdict::Replay(kept) => return replay(&visit, kept),
        OnceVerdict::InProgress => (Outcome::Unknown, Refusal::KeyInProgress),
        OnceVerdict::ResponseNotStored => (Outcome::Ran, Refusal::AnswerNotKept),
        OnceVerdict::Unknown => (Outcome::Unknown, Refusal::KeyUnknown),
        OnceVerdict::Closed => (Outcome::Unknown, Refusal::NotKeyOwner),
        OnceVerdict::Full => (Outcome::NotRun, Refusal::Overloaded),
    };
    visit.refuse(outcome, Some(refusal), None)
}

async fn read_body(mut payload: Payload) -> Result<Bytes, Refusal> {
    let mut buf = BytesMut::new();
    while let Some(piece) = payload.next().await {
        let piece = piece.map_err(|_| Refusal::BadRequest)?;
        if buf.len() + piece.len() > MAX_BODY_BYTES {
            return Err(Refusal::BodyTooLarge);
        }
        buf.extend_from_slice(&piece);
    }
    Ok(buf.freeze())
}

/// Makes sure that no other sidecar has run or will run the key.
async fn settle_ownership(visit: &Visit, once: &IdempotencyKey) -> Result<(), (Outcome, Refusal)> {
    let context = &visit.context;
    if visit.envelope.revision > context.state.revision() {
        return Err((Outcome::NotRun, Refusal::NotReady));
    }
    let window = visit.post.pool_value(ValueKey::RepeatWindowMs);
    let window = std::time::Duration::from_millis(window);
    let owners = context
        .owners()
        .owners(context.clock.now(), &once.key, window);
    let Some(owners) = owners else {
        return Err((Outcome::NotRun, Refusal::Draining));
    };
    if owners.current != context.settings.peer.host {
        return Err((Outcome::NotRun, Refusal::NotKeyOwner));
    }
    for earlier in owners.earlier {
        close_at(visit, once, &earlier).await?;
    }
    Ok(())
}

async fn close_at(
    visit: &Visit,
    once: &IdempotencyKey,
    host: &SmolStr,
) -> Result<(), (Outcome, Refusal)> {
    // Until the earlier owner has spoken, the key may have run there: the fate is unknown.
    let unreachable = (Outcome::Unknown, Refusal::KeyOwnerUnreachable);
    let Some((_, upstream)) = visit.post.fleet.upstream_on_host(host) else {
        return Err(unreachable);
    };
    let request = CloseKeyRequest {
        v: PROTOCOL_VERSION,
        key: once.clone(),
    };
    let address = upstream.sidecar;
    let answer: Result<CloseKeyResponse, _> = client::call(
        &visit.client,
        address,
        paths::CLOSE_KEY,
        &request,
        CLOSE_TIMEOUT,
    )
    .await;
    match answer {
        Ok(CloseKeyResponse { closed: true }) => Ok(()),
        Ok(CloseKeyResponse { closed: false }) => Err((Outcome::Unknown, Refusal::KeyUnknown)),
        Err(e) => {
            debug!("earlier owner {host} was not asked: {e}");
            Err(unreachable)
        }
    }
}

/// Gives a key up to its new owner.
pub async fn close_key(
    context: Data<SidecarContext>,
    body: Bytes,
) -> Result<HttpResponse, InnerError> {
    let request: CloseKeyRequest = header::from_bytes(&body)?;
    check_version(request.v)?;
    let now = context.clock.now();
    let key = &request.key;
    let answer = context.once().close(now, &key.key, key.created_at_ms);
    let closed = answer == CloseResult::Closed;
    message(&CloseKeyResponse { closed })
}

fn replay(visit: &Visit, kept: KeptAnswer) -> HttpResponse {
    let mut response = HttpResponse::build(kept.status);
    for header in kept.headers {
        response.append_header(header);
    }
    if let Ok(value) = header::to_header(&visit.reply(Outcome::Ran, None)) {
        response.insert_header((REPLY, value));
    }
    response.body(kept.body)
}

/// Runs the request in a task of its own: a caller that leaves must not leave its key half run.
async fn run(visit: Visit, once: IdempotencyKey, req: &HttpRequest, body: Bytes) -> HttpResponse {
    let (tx, rx) = oneshot::channel();
    let detached = Detached {
        in_progress: InProgress::start(visit.context.clone()),
        method: req.method().clone(),
        path: upstream_path(req).to_owned(),
        headers: req.headers().clone(),
        body,
        key: once.key,
    };
    let visit = Rc::new(visit);
    actix_rt::spawn(detached.run(visit.clone(), tx));
    match rx.await {
        Ok(Ok(head)) => {
            let pieces = tokio_stream(head.pieces);
            head.response
                .set_body(actix_web::body::BodyStream::new(pieces))
                .map_into_boxed_body()
        }
        Ok(Err(Ended::Refused(r))) => {
            visit.refuse(Outcome::NotRun, Some(r.refusal), Some(r.retry_after))
        }
        Ok(Err(Ended::Failed(f))) => visit.refuse(f.outcome, f.refusal, None),
        Err(_) => visit.refuse(Outcome::Unknown, None, None),
    }
}

fn tokio_stream(rx: mpsc::Receiver<Piece>) -> impl futures_util::Stream<Item = Piece> {
    futures_util::stream::unfold(rx, |mut rx| async move {
        let piece = rx.recv().await?;
        Some((piece, rx))
    })
}

struct Detached {
    in_progress: InProgress,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    key: SmolStr,
}

impl Detached {
    async fn run(self, visit: Rc<Visit>, head: oneshot::Sender<Result<Head, Ended>>) {
        let outgoing = Outgoing {
            method: self.method,
            path: &self.path,
            headers: &self.headers,
            body: actix_web::body::BoxBody::new(self.body),
        };
        let running = match visit.run_on_upstream(outgoing).await {
            Ok(running) => running,
            Err(ended) => {
                let end = match &ended {
                    Ended::Failed(failure) if failure.outcome != Outcome::NotRun => {
                        OnceOutcome::Unknown
                    }
                    _ => OnceOutcome::NotRun,
                };
                // The table must know before the caller does, or a resend could overtake it.
                note_end(&visit, &self.key, end);
                let _ = head.send(Err(ended));
                return;
            }
        };
        let (tx, pieces) = mpsc::channel(PIECES_AHEAD);
        let response = visit.answer_head(&running).finish().drop_body();
        let _ = head.send(Ok(Head { response, pieces }));
        let end = pass_through(&visit, running, &tx).await;
        note_end(&visit, &self.key, end);
        drop((tx, self.in_progress));
    }
}

fn note_end(visit: &Visit, key: &SmolStr, end: OnceOutcome<KeptAnswer>) {
    let now = visit.context.clock.now();
    visit.context.once().end(now, key, end);
}

/// Passes the answer on, keeps it if it is short, and reads it to its end in any case.
async fn pass_through(
    visit: &Visit,
    mut running: Running,
    tx: &mpsc::Sender<Piece>,
) -> OnceOutcome<KeptAnswer> {
    let status = running.answer.status();
    let kept_headers = running.answer.headers().iter();
    let headers = kept_headers
        .filter(|(name, _)| name.as_str() == "content-type" || name.as_str().starts_with("x-"))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    let mut body = BytesMut::new();
    let mut too_long = false;
    loop {
        match running.try_next().await {
            Ok(Some(piece)) => {
                too_long |= body.len() + piece.len() > MAX_KEPT_BYTES;
                if !too_long {
                    body.extend_from_slice(&piece);
                }
                let _ = tx.send(Ok(piece)).await;
            }
            Ok(None) => break,
            Err(e) => {
                warn!("{}: keyed answer broke off: {e}", visit.envelope.request);
                let _ = tx.send(Err(e)).await;
                return OnceOutcome::Unknown;
            }
        }
    }
    let kept = KeptAnswer {
        status,
        headers,
        body: body.freeze(),
    };
    OnceOutcome::Ran((!too_long).then_some(kept))
}
