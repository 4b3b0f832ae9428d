//! Sends a request to upstreams, with retries, until it has an outcome.

use std::{sync::Arc, time::Duration};

use actix_web::{
    http::{header::HeaderMap, Method},
    web::{Data, Payload},
    HttpRequest, HttpResponse,
};
use awc::{error::SendRequestError, Client};
use balsamjunction_policy::{
    retry::{Attempt, NextStep},
    router::{Feedback, SelectionConstraints},
    Moment,
};
use balsamjunction_protocol::{
    header::{self, ENVELOPE, REPLY},
    paths, Envelope, Outcome, Refusal, Reply, RequestId, PROTOCOL_VERSION,
};
use balsamjunction_settings::{fleet::LookupContext, Fleet, ValueKey};
use log::{debug, info, warn};
use smol_str::SmolStr;

use super::{
    body::RequestBody,
    context::{EntryContext, InProgressGuard, Target},
    request::CallerRequest,
    response::{build_response, InFlightRequest},
};
use crate::{
    http::{copy_request_headers, UpstreamResponse},
    metrics::RequestLabels,
    problem::{self, ProblemResponse},
};

/// A sidecar responds by the deadline at the latest; this allows for the time its response takes to arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(100);
/// Value of `retry-after` if the sidecar sent none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The result of an attempt.
enum AttemptResult {
    /// The upstream responded.
    Response(Box<UpstreamResponse>, InFlightRequest),
    /// The sidecar reported the outcome instead of a response of the upstream.
    Refused(Reply),
    /// No reply of a sidecar; the outcome follows from how the connection failed.
    Lost(Outcome),
}

/// One request of a caller while this entry forwards it.
struct ForwardedRequest<'a> {
    context: &'a Arc<EntryContext>,
    client: &'a Client,
    fleet: &'a Fleet,
    revision: u64,
    request: CallerRequest,
    method: Method,
    headers: &'a HeaderMap,
    started: Moment,
    fingerprint: u64,
}

/// Handles every request of callers.
pub async fn handle(
    req: HttpRequest,
    payload: Payload,
    context: Data<EntryContext>,
    client: Data<Client>,
) -> HttpResponse {
    let context = context.into_inner();
    let in_progress = InProgressGuard::start(context.clone());
    let id = RequestId::new();
    let snapshot = context.state.snapshot();
    let Some(in_force) = snapshot.in_force.as_ref() else {
        return refuse(&context, "", id, Refusal::NotReady);
    };
    if context.lifecycle.is_stopping() {
        return refuse(&context, "", id, Refusal::Draining);
    }
    let request = match CallerRequest::read(&req, &in_force.fleet, id) {
        Ok(request) => request,
        Err(refusal) => return refuse(&context, "", id, refusal),
    };
    let started = context.clock.now();
    let mut body = match RequestBody::read(&req, payload).await {
        Ok(body) => body,
        Err(e) => {
            debug!("{id}: the request body could not be read: {e}");
            return refuse(&context, &request.pool, id, Refusal::BadRequest);
        }
    };
    let fingerprint = body.fingerprint(req.method().as_str(), &request.path);
    let forwarded = ForwardedRequest {
        context: &context,
        client: &client,
        fleet: &in_force.fleet,
        revision: snapshot.revision(),
        request,
        method: req.method().clone(),
        headers: req.headers(),
        started,
        fingerprint,
    };
    forwarded.run(&mut body, in_progress).await
}

fn refuse(context: &EntryContext, pool: &str, id: RequestId, refusal: Refusal) -> HttpResponse {
    count_outcome(context, pool, Outcome::NotRun, Some(refusal));
    problem::build_response(&ProblemResponse {
        request: id,
        outcome: Outcome::NotRun,
        refusal: Some(refusal),
        retry_after: Some(DEFAULT_RETRY_AFTER),
    })
}

fn count_outcome(context: &EntryContext, pool: &str, outcome: Outcome, refusal: Option<Refusal>) {
    let labels = RequestLabels {
        pool: pool.to_owned(),
        outcome: outcome.to_string(),
        refusal: refusal.map_or_else(String::new, |r| r.to_string()),
    };
    context.state.metrics.requests.get_or_create(&labels).inc();
}

impl ForwardedRequest<'_> {
    fn remaining(&self) -> Duration {
        let deadline = self.started + self.request.deadline;
        deadline.saturating_sub(self.context.clock.now())
    }

    fn crash_limit(&self) -> u64 {
        let lookup = LookupContext::for_pool(&self.request.pool);
        self.fleet.value(ValueKey::CrashLimit, &lookup)
    }

    async fn run(&self, body: &mut RequestBody, in_progress: InProgressGuard) -> HttpResponse {
        self.context
            .deposit_retry_budget(self.fleet, &self.request.pool);
        let mut tried: Vec<SmolStr> = Vec::new();
        let mut number = 1;
        let mut allow_tried = false;
        loop {
            if self
                .context
                .state
                .reaches_crash_limit(self.fingerprint, self.crash_limit())
            {
                return self.problem_response(
                    Outcome::NotRun,
                    Some(Refusal::CrashesUpstreams),
                    None,
                );
            }
            let Some(in_flight) = self.choose_target(&tried, allow_tried) else {
                return self.problem_response(Outcome::NotRun, Some(Refusal::NoUpstream), None);
            };
            tried.push(in_flight.target().host.clone());
            let result = self.send_attempt(number, in_flight, body).await;
            allow_tried = matches!(result, AttemptResult::Lost(_));
            let (outcome, refusal, retry_after) = match result {
                AttemptResult::Response(response, in_flight) => {
                    return self.forward_response(*response, in_flight, in_progress);
                }
                AttemptResult::Refused(reply) => {
                    let retry_after = Duration::from_millis(reply.retry_after_ms);
                    (reply.outcome, reply.refusal, Some(retry_after))
                }
                AttemptResult::Lost(outcome) => {
                    let not_reached = outcome == Outcome::NotRun;
                    (outcome, not_reached.then_some(Refusal::NoUpstream), None)
                }
            };
            let attempt = Attempt {
                number,
                outcome,
                refusal,
                repeatable: self.request.repeatable,
                keyed: self.request.idempotency_key.is_some(),
                body_buffered: body.is_buffered(),
                remaining: self.remaining(),
            };
            if self.context.next_step(&self.request.pool, &attempt) == NextStep::Abort {
                return self.problem_response(outcome, refusal, retry_after);
            }
            self.context.state.metrics.retries.inc();
            number += 1;
        }
    }

    /// Chooses an upstream that was not tried yet.
    ///
    /// If there is none, an upstream is tried again only after a lost attempt; a refusal is final.
    fn choose_target(&self, tried: &[SmolStr], allow_tried: bool) -> Option<InFlightRequest> {
        let target = match &self.request.idempotency_key {
            Some(key) => self
                .context
                .owner_of_key(self.fleet, &self.request.pool, &key.key)?,
            None => {
                let affinity = self.request.affinity;
                let constraints = SelectionConstraints { tried, affinity };
                let untried = self
                    .context
                    .choose_upstream(&self.request.pool, &constraints);
                let constraints = SelectionConstraints {
                    tried: &[],
                    affinity,
                };
                let any = || {
                    self.context
                        .choose_upstream(&self.request.pool, &constraints)
                };
                untried.or_else(|| allow_tried.then(any).flatten())?
            }
        };
        Some(InFlightRequest::new(self.context.clone(), target))
    }

    fn envelope(&self, attempt: u32, target: &Target) -> Envelope {
        Envelope {
            v: PROTOCOL_VERSION,
            request: self.request.id,
            attempt,
            workspace: self.request.workspace.clone(),
            priority: self.request.priority,
            remaining_ms: self.remaining().as_millis() as u64,
            cost: self.request.cost,
            idempotency_key: self.request.idempotency_key.clone(),
            fingerprint: self.fingerprint,
            revision: self.revision,
            lateness_percent: self.context.lateness_percent(target),
        }
    }

    async fn send_attempt(
        &self,
        number: u32,
        in_flight: InFlightRequest,
        body: &mut RequestBody,
    ) -> AttemptResult {
        let envelope = match header::to_header(&self.envelope(number, in_flight.target())) {
            Ok(envelope) => envelope,
            Err(e) => {
                warn!("{}: {e}", self.request.id);
                return AttemptResult::Lost(Outcome::NotRun);
            }
        };
        let sent = self.context.clock.now();
        let sidecar = in_flight.target().sidecar;
        let url = format!(
            "http://{sidecar}{}{}",
            paths::PROXY_PREFIX,
            self.request.path
        );
        let upstream_request = self.client.request(self.method.clone(), url);
        let upstream_request = copy_request_headers(self.headers, upstream_request)
            .insert_header((ENVELOPE, envelope))
            .timeout(self.remaining() + RESPONSE_GRACE);
        match upstream_request.send_body(body.take_for_attempt()).await {
            Ok(response) => self.check_response(number, sent, in_flight, response),
            Err(e) => self.handle_send_error(in_flight, &e),
        }
    }

    fn handle_send_error(&self, in_flight: InFlightRequest, e: &SendRequestError) -> AttemptResult {
        debug!(
            "{}: attempt on {} failed: {e}",
            self.request.id,
            in_flight.target().host
        );
        in_flight.record_feedback(Feedback::Failed);
        AttemptResult::Lost(match balsamjunction_client::failed_to_connect(e) {
            true => Outcome::NotRun,
            false => Outcome::Unknown,
        })
    }

    /// Accepts a response only if its reply belongs to this attempt.
    fn check_response(
        &self,
        number: u32,
        sent: Moment,
        in_flight: InFlightRequest,
        response: UpstreamResponse,
    ) -> AttemptResult {
        let value = response.headers().get(REPLY);
        let reply: Option<Reply> =
            value.and_then(|value| header::from_header(value.to_str().ok()?).ok());
        let Some(reply) = reply else {
            warn!(
                "{}: the response of {} has no valid reply header",
                self.request.id,
                in_flight.target().host
            );
            in_flight.record_feedback(Feedback::Failed);
            return AttemptResult::Lost(Outcome::Unknown);
        };
        if reply.request != self.request.id || reply.attempt != number {
            warn!(
                "{}: the reply of {} is for another attempt or request ({})",
                self.request.id,
                in_flight.target().host,
                reply.request
            );
            in_flight.record_feedback(Feedback::Failed);
            return AttemptResult::Lost(Outcome::Unknown);
        }
        self.context
            .pull_if_newer(in_flight.target(), reply.revision);
        let feedback = match reply.refusal {
            Some(Refusal::UpstreamDown) => Feedback::Failed,
            None if reply.outcome != Outcome::Ran => Feedback::Failed,
            _ => Feedback::Responded {
                load: reply.load,
                elapsed: self.context.clock.now().saturating_sub(sent),
                upstream_time: Duration::from_micros(reply.elapsed_us),
            },
        };
        in_flight.record_feedback(feedback);
        if reply.outcome == Outcome::Ran && reply.refusal.is_none() {
            return AttemptResult::Response(Box::new(response), in_flight);
        }
        AttemptResult::Refused(reply)
    }

    fn forward_response(
        &self,
        response: UpstreamResponse,
        in_flight: InFlightRequest,
        in_progress: InProgressGuard,
    ) -> HttpResponse {
        let elapsed = self.context.clock.now().saturating_sub(self.started);
        let metrics = &self.context.state.metrics;
        metrics.first_byte.observe(elapsed.as_secs_f64());
        count_outcome(self.context, &self.request.pool, Outcome::Ran, None);
        debug!("{}: {} responded", self.request.id, in_flight.target().host);
        build_response(response, in_flight, self.request.id, in_progress)
    }

    fn problem_response(
        &self,
        outcome: Outcome,
        refusal: Option<Refusal>,
        retry_after: Option<Duration>,
    ) -> HttpResponse {
        count_outcome(self.context, &self.request.pool, outcome, refusal);
        info!(
            "{}: pool {}, workspace {}: {outcome}, {}",
            self.request.id,
            self.request.pool,
            self.request.workspace,
            refusal.map_or_else(|| "response lost".to_owned(), |r| r.to_string()),
        );
        problem::build_response(&ProblemResponse {
            request: self.request.id,
            outcome,
            refusal,
            retry_after: retry_after
                .filter(|t| !t.is_zero())
                .or(Some(DEFAULT_RETRY_AFTER)),
        })
    }
}
