//! Proxies requests from entries to the upstream once they are admitted.

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
    admission::AdmissionRefusal,
    at_most_once,
    context::{Assignment, InProgressGuard, SidecarContext},
    pacing::TransferPacing,
    upstream::{self, GrantedRequest, ResponseStream, RunFailure, UpstreamRequest},
};
use crate::{
    http::{content_length, copy_response_headers, BodyLength},
    inner::InnerError,
    problem::{self, ProblemResponse},
};

/// Value of `retry-after` where admission control gives none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// One request of an entry and what is needed to run it.
pub struct RequestContext {
    /// State shared by all parts of the sidecar.
    pub context: Arc<SidecarContext>,
    /// HTTP client for the upstream and for peers.
    pub client: Client,
    /// The envelope sent by the entry.
    pub envelope: Envelope,
    /// The pool to which the declaration assigns the upstream.
    pub assignment: Assignment,
    /// When the request arrived.
    pub arrived_at: Moment,
}

/// Handles every proxied request of entries.
pub async fn handle(
    req: HttpRequest,
    payload: Payload,
    context: Data<SidecarContext>,
    pacing: Data<TransferPacing>,
    client: Data<Client>,
) -> Result<HttpResponse, InnerError> {
    let context = context.into_inner();
    let arrived_at = context.clock.now();
    let envelope = read_envelope(req.headers())?;
    let in_progress = InProgressGuard::start(context.clone());
    pacing.record_live_delay(envelope.lateness_percent);
    let Some(assignment) = context.assignment().filter(|_| !context.is_state_stale()) else {
        return Ok(refuse_before_admission(
            &context,
            &envelope,
            Refusal::NotReady,
        ));
    };
    let request = RequestContext {
        context,
        client: client.get_ref().clone(),
        envelope,
        assignment,
        arrived_at,
    };
    if request.exceeds_crash_limit() {
        return Ok(request.refuse(Outcome::NotRun, Some(Refusal::CrashesUpstreams), None));
    }
    if request.envelope.idempotency_key.is_some() {
        return Ok(at_most_once::handle(request, &req, payload).await);
    }
    let response = request.run(&req, payload).await;
    drop(in_progress);
    Ok(response)
}

fn read_envelope(headers: &HeaderMap) -> Result<Envelope, InnerError> {
    let value = headers.get(ENVELOPE).and_then(|value| value.to_str().ok());
    let value = value.ok_or(ProtocolError::MissingHeader { name: ENVELOPE })?;
    Ok(header::from_header::<Envelope>(value)?.check_version()?)
}

/// Path and query of the request to the upstream, without the prefix that entries add.
pub fn upstream_path(req: &HttpRequest) -> &str {
    let uri = req.uri().path_and_query().map_or("/", |pq| pq.as_str());
    uri.strip_prefix(paths::PROXY_PREFIX).unwrap_or(uri)
}

fn refuse_before_admission(
    context: &SidecarContext,
    envelope: &Envelope,
    refusal: Refusal,
) -> HttpResponse {
    let reply = Reply {
        v: PROTOCOL_VERSION,
        request: envelope.request,
        attempt: envelope.attempt,
        outcome: Outcome::NotRun,
        refusal: Some(refusal),
        retry_after_ms: DEFAULT_RETRY_AFTER.as_millis() as u64,
        load: context.admission.load(),
        elapsed_us: 0,
        revision: context.state.revision(),
    };
    reply_response(&reply)
}

/// Builds a response that carries `reply` and no body of the upstream.
fn reply_response(reply: &Reply) -> HttpResponse {
    let mut response = problem::build_response(&ProblemResponse {
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
        _ => warn!("{}: the reply header cannot be encoded", reply.request),
    }
    response
}

impl RequestContext {
    fn exceeds_crash_limit(&self) -> bool {
        let limit = self
            .assignment
            .pool_value(balsamjunction_settings::ValueKey::CrashLimit);
        self.context
            .state
            .reaches_crash_limit(self.envelope.fingerprint, limit)
    }

    /// Builds the reply that accompanies a response of the upstream or replaces it.
    pub fn build_reply(&self, outcome: Outcome, refusal: Option<Refusal>) -> Reply {
        let elapsed = self.context.clock.now().saturating_sub(self.arrived_at);
        Reply {
            v: PROTOCOL_VERSION,
            request: self.envelope.request,
            attempt: self.envelope.attempt,
            outcome,
            refusal,
            retry_after_ms: 0,
            load: self.context.admission.load(),
            elapsed_us: elapsed.as_micros() as u64,
            revision: self.context.state.revision(),
        }
    }

    /// Builds the response to a request that has none of the upstream.
    pub fn refuse(
        &self,
        outcome: Outcome,
        refusal: Option<Refusal>,
        retry_after: Option<Duration>,
    ) -> HttpResponse {
        let mut reply = self.build_reply(outcome, refusal);
        reply.retry_after_ms = retry_after.unwrap_or(DEFAULT_RETRY_AFTER).as_millis() as u64;
        reply_response(&reply)
    }

    /// The time at which the caller stops waiting for the first byte.
    pub fn deadline(&self) -> Moment {
        self.arrived_at + Duration::from_millis(self.envelope.remaining_ms)
    }

    fn gate_arrival(&self) -> Arrival {
        let workspace = self.envelope.workspace.clone();
        Arrival {
            weight: self.assignment.workspace_weight(&workspace),
            workspace,
            priority: self.envelope.priority,
            cost: self.envelope.cost,
            deadline: self.deadline(),
        }
    }

    async fn run(&self, req: &HttpRequest, payload: Payload) -> HttpResponse {
        let upstream_request = UpstreamRequest {
            method: req.method().clone(),
            path: upstream_path(req),
            headers: req.headers(),
            body: request_body(req, payload),
        };
        match self.run_on_upstream(upstream_request).await {
            Ok(stream) => self.stream_response(stream),
            Err(RunError::Refused(refused)) => self.refuse(
                Outcome::NotRun,
                Some(refused.refusal),
                Some(refused.retry_after),
            ),
            Err(RunError::Failed(failure)) => self.refuse(failure.outcome, failure.refusal, None),
        }
    }

    /// Waits until the request is admitted and sends it to the upstream.
    pub async fn run_on_upstream(
        &self,
        upstream_request: UpstreamRequest<'_>,
    ) -> Result<ResponseStream, RunError> {
        let permit = self.context.admission.admit(self.gate_arrival()).await?;
        if self.context.is_state_stale() {
            // The process was paused after the grant, so the state that the grant relied on may be outdated.
            return Err(RunError::Refused(AdmissionRefusal {
                refusal: Refusal::NotReady,
                retry_after: DEFAULT_RETRY_AFTER,
            }));
        }
        let version = match self.assignment.kind {
            PoolKind::Engine => self.context.version_status().serving.clone(),
            PoolKind::Service => None,
        };
        let granted = GrantedRequest {
            envelope: self.envelope.clone(),
            assignment: self.assignment.clone(),
            version,
            deadline: self.deadline(),
        };
        let stream = upstream::send(
            &self.context,
            &self.client,
            &granted,
            upstream_request,
            permit,
        )
        .await;
        stream.map_err(RunError::Failed)
    }

    /// Starts the response with the upstream's status and headers, and with a reply that reports the
    /// request as run.
    pub fn response_head(&self, stream: &ResponseStream) -> HttpResponseBuilder {
        let mut response = HttpResponse::build(stream.response.status());
        copy_response_headers(stream.response.headers(), &mut response);
        if let Ok(value) = header::to_header(&self.build_reply(Outcome::Ran, None)) {
            response.insert_header((REPLY, value));
        }
        response
    }

    fn stream_response(&self, stream: ResponseStream) -> HttpResponse {
        let mut response = self.response_head(&stream);
        match BodyLength::from_response(&stream.response) {
            BodyLength::None => response.finish(),
            BodyLength::Known(length) => response.body(SizedStream::new(length, stream)),
            BodyLength::Unknown => response.body(BodyStream::new(stream)),
        }
    }
}

/// Why a request has no response of the upstream.
pub enum RunError {
    /// Admission control refused it.
    Refused(AdmissionRefusal),
    /// It was sent, or should have been, and the upstream failed.
    Failed(RunFailure),
}

impl From<AdmissionRefusal> for RunError {
    fn from(refusal: AdmissionRefusal) -> Self {
        Self::Refused(refusal)
    }
}

fn request_body(req: &HttpRequest, payload: Payload) -> BoxBody {
    let length = content_length(req.headers());
    let chunked = req.headers().contains_key("transfer-encoding");
    let payload = payload.map_err(actix_web::Error::from);
    match length {
        Some(0) | None if !chunked => BoxBody::new(actix_web::web::Bytes::new()),
        Some(length) => BoxBody::new(SizedStream::new(length, Box::pin(payload))),
        None => BoxBody::new(BodyStream::new(Box::pin(payload))),
    }
}
