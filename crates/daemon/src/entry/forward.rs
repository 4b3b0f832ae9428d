//! Sends a request to upstreams until it has an outcome.

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
use balsamjunction_settings::{fleet::Place, Fleet, ValueKey};
use log::{debug, info, warn};
use smol_str::SmolStr;

use super::{
    answer::{carry, Flight},
    body::Body,
    call::Call,
    context::{EntryContext, InProgress, Target},
};
use crate::{
    http::{copy_request_headers, Answer},
    metrics::RequestLabels,
    problem::{self, Given},
};

/// A sidecar answers at the deadline; its answer needs this long to get here.
const ANSWER_GRACE: Duration = Duration::from_millis(100);
/// Advice to callers when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How an attempt ended.
enum AttemptEnd {
    /// The upstream answers.
    Answered(Box<Answer>, Flight),
    /// The sidecar says what became of it.
    Refused(Reply),
    /// No sidecar's word; what is known by how the connection failed.
    Lost(Outcome),
}

/// One request on its way through this entry.
struct Carriage<'a> {
    context: &'a Arc<EntryContext>,
    client: &'a Client,
    fleet: &'a Fleet,
    revision: u64,
    call: Call,
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
    let in_progress = InProgress::start(context.clone());
    let id = RequestId::new();
    let snapshot = context.state.snapshot();
    let Some(in_force) = snapshot.in_force.as_ref() else {
        return refuse(&context, "", id, Refusal::NotReady);
    };
    if context.lifecycle.stopping() {
        return refuse(&context, "", id, Refusal::Draining);
    }
    let call = match Call::read(&req, &in_force.fleet, id) {
        Ok(call) => call,
        Err(refusal) => return refuse(&context, "", id, refusal),
    };
    let started = context.clock.now();
    let mut body = match Body::read(&req, payload).await {
        Ok(body) => body,
        Err(e) => {
            debug!("{id}: body was not read: {e}");
            return refuse(&context, &call.pool, id, Refusal::BadRequest);
        }
    };
    let fingerprint = body.fingerprint(req.method().as_str(), &call.path);
    let carriage = Carriage {
        context: &context,
        client: &client,
        fleet: &in_force.fleet,
        revision: snapshot.revision(),
        call,
        method: req.method().clone(),
        headers: req.headers(),
        started,
        fingerprint,
    };
    carriage.run(&mut body, in_progress).await
}

fn refuse(context: &EntryContext, pool: &str, id: RequestId, refusal: Refusal) -> HttpResponse {
    count(context, pool, Outcome::NotRun, Some(refusal));
    problem::answer(&Given {
        request: id,
        outcome: Outcome::NotRun,
        refusal: Some(refusal),
        retry_after: Some(RETRY_AFTER),
    })
}

fn count(context: &EntryContext, pool: &str, outcome: Outcome, refusal: Option<Refusal>) {
    let labels = RequestLabels {
        pool: pool.to_owned(),
        outcome: outcome.to_string(),
        refusal: refusal.map_or_else(String::new, |r| r.to_string()),
    };
    context.state.metrics.requests.get_or_create(&labels).inc();
}

impl Carriage<'_> {
    fn remaining(&self) -> Duration {
        let deadline = self.started + self.call.deadline;
        deadline.saturating_sub(self.context.clock.now())
    }

    fn crash_limit(&self) -> u64 {
        let place = Place::pool(&self.call.pool);
        self.fleet.value(ValueKey::CrashLimit, &place)
    }

    async fn run(&self, body: &mut Body, in_progress: InProgress) -> HttpResponse {
        self.context.earn_retry(self.fleet, &self.call.pool);
        let mut tried: Vec<SmolStr> = Vec::new();
        let mut number = 1;
        let mut revisit = false;
        loop {
            if self
                .context
                .state
                .reaches_crash_limit(self.fingerprint, self.crash_limit())
            {
                return self.give(Outcome::NotRun, Some(Refusal::CrashesUpstreams), None);
            }
            let Some(flight) = self.choose(&tried, revisit) else {
                return self.give(Outcome::NotRun, Some(Refusal::NoUpstream), None);
            };
            tried.push(flight.target().host.clone());
            let end = self.attempt(number, flight, body).await;
            revisit = matches!(end, AttemptEnd::Lost(_));
            let (outcome, refusal, retry_after) = match end {
                AttemptEnd::Answered(answer, flight) => {
                    return self.carry(*answer, flight, in_progress);
                }
                AttemptEnd::Refused(reply) => {
                    let retry_after = Duration::from_millis(reply.retry_after_ms);
                    (reply.outcome, reply.refusal, Some(retry_after))
                }
                AttemptEnd::Lost(outcome) => {
                    let unreached = outcome == Outcome::NotRun;
                    (outcome, unreached.then_some(Refusal::NoUpstream), None)
                }
            };
            let attempt = Attempt {
                number,
                outcome,
                refusal,
                repeatable: self.call.repeatable,
                keyed: self.call.once.is_some(),
                body_buffered: body.kept(),
                remaining: self.remaining(),
            };
            if self.context.next_step(&self.call.pool, &attempt) == NextStep::Abort {
                return self.give(outcome, refusal, retry_after);
            }
            self.context.state.metrics.retries.inc();
            number += 1;
        }
    }

    /// With nobody left to try, only a lost attempt is worth a second visit; a refusal stands.
    fn choose(&self, tried: &[SmolStr], revisit: bool) -> Option<Flight> {
        let target = match &self.call.once {
            Some(once) => self
                .context
                .owner_of(self.fleet, &self.call.pool, &once.key)?,
            None => {
                let affinity = self.call.affinity;
                let wanted = SelectionConstraints { tried, affinity };
                let fresh = self.context.choose(&self.call.pool, &wanted);
                let wanted = SelectionConstraints {
                    tried: &[],
                    affinity,
                };
                let again = || self.context.choose(&self.call.pool, &wanted);
                fresh.or_else(|| revisit.then(again).flatten())?
            }
        };
        Some(Flight::new(self.context.clone(), target))
    }

    fn envelope(&self, attempt: u32, target: &Target) -> Envelope {
        Envelope {
            v: PROTOCOL_VERSION,
            request: self.call.id,
            attempt,
            workspace: self.call.workspace.clone(),
            priority: self.call.priority,
            remaining_ms: self.remaining().as_millis() as u64,
            cost: self.call.cost,
            once: self.call.once.clone(),
            fingerprint: self.fingerprint,
            revision: self.revision,
            lateness_percent: self.context.lateness_percent(target),
        }
    }

    async fn attempt(&self, number: u32, flight: Flight, body: &mut Body) -> AttemptEnd {
        let envelope = match header::to_header(&self.envelope(number, flight.target())) {
            Ok(envelope) => envelope,
            Err(e) => {
                warn!("{}: {e}", self.call.id);
                return AttemptEnd::Lost(Outcome::NotRun);
            }
        };
        let sent = self.context.clock.now();
        let sidecar = flight.target().sidecar;
        let url = format!("http://{sidecar}{}{}", paths::CARRY, self.call.path);
        let request = self.client.request(self.method.clone(), url);
        let request = copy_request_headers(self.headers, request)
            .insert_header((ENVELOPE, envelope))
            .timeout(self.remaining() + ANSWER_GRACE);
        match request.send_body(body.send()).await {
            Ok(answer) => self.check(number, sent, flight, answer),
            Err(e) => self.lost(flight, &e),
        }
    }

    fn lost(&self, flight: Flight, e: &SendRequestError) -> AttemptEnd {
        debug!("{}: {} was lost: {e}", self.call.id, flight.target().host);
        flight.feedback(Feedback::Failed);
        AttemptEnd::Lost(match balsamjunction_client::never_connected(e) {
            true => Outcome::NotRun,
            false => Outcome::Unknown,
        })
    }

    /// Takes an answer only if it is the one to this attempt.
    fn check(&self, number: u32, sent: Moment, flight: Flight, answer: Answer) -> AttemptEnd {
        let value = answer.headers().get(REPLY);
        let reply: Option<Reply> =
            value.and_then(|value| header::from_header(value.to_str().ok()?).ok());
        let Some(reply) = reply else {
            warn!(
                "{}: {} sent no reply header",
                self.call.id,
                flight.target().host
            );
            flight.feedback(Feedback::Failed);
            return AttemptEnd::Lost(Outcome::Unknown);
        };
        if reply.request != self.call.id || reply.attempt != number {
            warn!(
                "{}: {} answered request {} instead",
                self.call.id,
                flight.target().host,
                reply.request
            );
            flight.feedback(Feedback::Failed);
            return AttemptEnd::Lost(Outcome::Unknown);
        }
        self.context.suspect(flight.target(), reply.revision);
        let feedback = match reply.refusal {
            Some(Refusal::UpstreamDown) => Feedback::Failed,
            None if reply.outcome != Outcome::Ran => Feedback::Failed,
            _ => Feedback::Responded {
                load: reply.load,
                elapsed: self.context.clock.now().saturating_sub(sent),
                upstream_time: Duration::from_micros(reply.held_us),
            },
        };
        flight.feedback(feedback);
        if reply.outcome == Outcome::Ran && reply.refusal.is_none() {
            return AttemptEnd::Answered(Box::new(answer), flight);
        }
        AttemptEnd::Refused(reply)
    }

    fn carry(&self, answer: Answer, flight: Flight, in_progress: InProgress) -> HttpResponse {
        let elapsed = self.context.clock.now().saturating_sub(self.started);
        let metrics = &self.context.state.metrics;
        metrics.first_byte.observe(elapsed.as_secs_f64());
        count(self.context, &self.call.pool, Outcome::Ran, None);
        debug!("{}: {} answers", self.call.id, flight.target().host);
        carry(answer, flight, self.call.id, in_progress)
    }

    fn give(
        &self,
        outcome: Outcome,
        refusal: Option<Refusal>,
        retry_after: Option<Duration>,
    ) -> HttpResponse {
        count(self.context, &self.call.pool, outcome, refusal);
        info!(
            "{}: {} of workspace {} gets {outcome}, {}",
            self.call.id,
            self.call.pool,
            self.call.workspace,
            refusal.map_or_else(|| "its answer was lost".to_owned(), |r| r.to_string()),
        );
        problem::answer(&Given {
            request: self.call.id,
            outcome,
            refusal,
            retry_after: retry_after.filter(|t| !t.is_zero()).or(Some(RETRY_AFTER)),
        })
    }
}
