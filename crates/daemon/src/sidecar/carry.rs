//! Takes requests of entries through the gate to the upstream.

use std::{sync::Arc, time::Duration};

use actix_web::{
    body::{BodyStream, BoxBody, SizedStream},
    http::header::HeaderMap,
    web::{Data, Payload},
    HttpRequest, HttpResponse, HttpResponseBuilder,
};
use awc::Client;
use balsamjunction_policy::{gate::Arrival, Moment};
use balsamjunction_protocol::{
    header::{self, ENVELOPE, REPLY},
    paths, Envelope, Outcome, ProtocolError, Refusal, Reply, PROTOCOL_VERSION,
};
use balsamjunction_settings::PoolKind;
use futures_util::TryStreamExt;
use log::warn;

use super::{
    context::{InProgress, Post, SidecarContext},
    gatekeeper::Refused,
    once_run,
    pacing::Pacing,
    upstream::{self, Failure, Outgoing, Run, Running},
};
use crate::{
    http::{content_length, copy_headers, BodyLength},
    inner::InnerError,
    problem::{self, Given},
};

/// Advice to callers when the gate has none.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// One request at the sidecar.
pub struct Visit {
    /// What all parts of the sidecar share.
    pub context: Arc<SidecarContext>,
    /// Connections to the upstream and to peers.
    pub client: Client,
    /// What the entry said.
    pub envelope: Envelope,
    /// The upstream's place in the declaration.
    pub post: Post,
    /// When the request came.
    pub arrived: Moment,
}

/// Handles every request of entries.
pub async fn handle(
    req: HttpRequest,
    payload: Payload,
    context: Data<SidecarContext>,
    pacing: Data<Pacing>,
    client: Data<Client>,
) -> Result<HttpResponse, InnerError> {
    let context = context.into_inner();
    let arrived = context.clock.now();
    let envelope = read_envelope(req.headers())?;
    let in_progress = InProgress::start(context.clone());
    pacing.live_delay(envelope.lateness_percent);
    let Some(post) = context.post().filter(|_| !context.beliefs_stale()) else {
        return Ok(refuse_early(&context, &envelope, Refusal::NotReady));
    };
    let visit = Visit {
        context,
        client: client.get_ref().clone(),
        envelope,
        post,
        arrived,
    };
    if visit.crashes_upstreams() {
        return Ok(visit.refuse(Outcome::NotRun, Some(Refusal::CrashesUpstreams), None));
    }
    if visit.envelope.idempotency_key.is_some() {
        return Ok(once_run::handle(visit, &req, payload).await);
    }
    let response = visit.run(&req, payload).await;
    drop(in_progress);
    Ok(response)
}

fn read_envelope(headers: &HeaderMap) -> Result<Envelope, InnerError> {
    let value = headers.get(ENVELOPE).and_then(|value| value.to_str().ok());
    let value = value.ok_or(ProtocolError::MissingHeader { name: ENVELOPE })?;
    Ok(header::from_header::<Envelope>(value)?.check_version()?)
}

/// Path and query as the upstream knows them.
pub fn upstream_path(req: &HttpRequest) -> &str {
    let uri = req.uri().path_and_query().map_or("/", |pq| pq.as_str());
    uri.strip_prefix(paths::PROXY_PREFIX).unwrap_or(uri)
}

fn refuse_early(context: &SidecarContext, envelope: &Envelope, refusal: Refusal) -> HttpResponse {
    let reply = Reply {
        v: PROTOCOL_VERSION,
        request: envelope.request,
        attempt: envelope.attempt,
        outcome: Outcome::NotRun,
        refusal: Some(refusal),
        retry_after_ms: RETRY_AFTER.as_millis() as u64,
        load: context.gate.load(),
        elapsed_us: 0,
        revision: context.state.revision(),
    };
    answer_reply(&reply)
}

/// An answer without an upstream's body.
fn answer_reply(reply: &Reply) -> HttpResponse {
    let mut response = problem::answer(&Given {
        request: reply.request,
        outcome: reply.outcome,
        refusal: reply.refusal,
        retry_after: Some(Duration::from_millis(reply.retry_after_ms)),
    });
    match header::to_header(reply).map(|value| value.parse()) {
        Ok(Ok(value)) => {
            let name = actix_web::http::header::HeaderName::from_static(REPLY);
            response.headers_mut().insert(name, value);
        }
        _ => warn!("{}: reply cannot be written", reply.request),
    }
    response
}

impl Visit {
    fn crashes_upstreams(&self) -> bool {
        let limit = self
            .post
            .pool_value(balsamjunction_settings::ValueKey::CrashLimit);
        self.context.state.refuses(self.envelope.fingerprint, limit)
    }

    /// What the sidecar says with an answer or instead of one.
    pub fn reply(&self, outcome: Outcome, refusal: Option<Refusal>) -> Reply {
        let held = self.context.clock.now().saturating_sub(self.arrived);
        Reply {
            v: PROTOCOL_VERSION,
            request: self.envelope.request,
            attempt: self.envelope.attempt,
            outcome,
            refusal,
            retry_after_ms: 0,
            load: self.context.gate.load(),
            elapsed_us: held.as_micros() as u64,
            revision: self.context.state.revision(),
        }
    }

    /// Answers in place of the upstream.
    pub fn refuse(
        &self,
        outcome: Outcome,
        refusal: Option<Refusal>,
        retry_after: Option<Duration>,
    ) -> HttpResponse {
        let mut reply = self.reply(outcome, refusal);
        reply.retry_after_ms = retry_after.unwrap_or(RETRY_AFTER).as_millis() as u64;
        answer_reply(&reply)
    }

    /// When the caller stops waiting for the first byte.
    pub fn deadline(&self) -> Moment {
        self.arrived + Duration::from_millis(self.envelope.remaining_ms)
    }

    fn arrival(&self) -> Arrival {
        let workspace = self.envelope.workspace.clone();
        Arrival {
            weight: self.post.weight_of(&workspace),
            workspace,
            priority: self.envelope.priority,
            cost: self.envelope.cost,
            deadline: self.deadline(),
        }
    }

    async fn run(&self, req: &HttpRequest, payload: Payload) -> HttpResponse {
        let outgoing = Outgoing {
            method: req.method().clone(),
            path: upstream_path(req),
            headers: req.headers(),
            body: stream_body(req, payload),
        };
        match self.run_on_upstream(outgoing).await {
            Ok(running) => self.answer(running),
            Err(Ended::Refused(r)) => {
                self.refuse(Outcome::NotRun, Some(r.refusal), Some(r.retry_after))
            }
            Err(Ended::Failed(failure)) => self.refuse(failure.outcome, failure.refusal, None),
        }
    }

    /// Waits for a place and runs the request.
    pub async fn run_on_upstream(&self, outgoing: Outgoing<'_>) -> Result<Running, Ended> {
        let permit = self.context.gate.admit(self.arrival()).await?;
        if self.context.beliefs_stale() {
            // The process stood still after the grant; what it granted by may no longer hold.
            return Err(Ended::Refused(Refused {
                refusal: Refusal::NotReady,
                retry_after: RETRY_AFTER,
            }));
        }
        let version = match self.post.kind {
            PoolKind::Engine => self.context.versions().serving.clone(),
            PoolKind::Service => None,
        };
        let run = Run {
            envelope: self.envelope.clone(),
            post: self.post.clone(),
            version,
            deadline: self.deadline(),
        };
        let running = upstream::send(&self.context, &self.client, &run, outgoing, permit).await;
        running.map_err(Ended::Failed)
    }

    /// Starts the answer with the sidecar's word that the request ran.
    pub fn answer_head(&self, running: &Running) -> HttpResponseBuilder {
        let mut response = HttpResponse::build(running.answer.status());
        copy_headers(running.answer.headers(), &mut response);
        if let Ok(value) = header::to_header(&self.reply(Outcome::Ran, None)) {
            response.insert_header((REPLY, value));
        }
        response
    }

    fn answer(&self, running: Running) -> HttpResponse {
        let mut response = self.answer_head(&running);
        match BodyLength::of(&running.answer) {
            BodyLength::None => response.finish(),
            BodyLength::Known(length) => response.body(SizedStream::new(length, running)),
            BodyLength::Unknown => response.body(BodyStream::new(running)),
        }
    }
}

/// Why a request has no answer of the upstream.
pub enum Ended {
    /// The gate refused it.
    Refused(Refused),
    /// The upstream failed.
    Failed(Failure),
}

impl From<Refused> for Ended {
    fn from(refused: Refused) -> Self {
        Self::Refused(refused)
    }
}

fn stream_body(req: &HttpRequest, payload: Payload) -> BoxBody {
    let length = content_length(req.headers());
    let chunked = req.headers().contains_key("transfer-encoding");
    let payload = payload.map_err(actix_web::Error::from);
    match length {
        Some(0) | None if !chunked => BoxBody::new(actix_web::web::Bytes::new()),
        Some(length) => BoxBody::new(SizedStream::new(length, Box::pin(payload))),
        None => BoxBody::new(BodyStream::new(Box::pin(payload))),
    }
}
