//! Sends a request to upstreams, one after another, until one responds or no further attempt is allowed.

use std::{sync::Arc, time::Duration};

use actix_web::{http::StatusCode, HttpResponse};
use balsamjunction_directory::{RouteKind, UpstreamRecord};
use balsamjunction_platform::headers;
use balsamjunction_policy::{
    crash_suspects::RefusedPart,
    dispatch::{
        AttemptOutcome, DispatchRefusal, RefusalReason, RequestRequirements, ServedVersion,
    },
    Moment,
};
use balsamjunction_protocol::mesh::PromptPart;
use bytes::Bytes;
use derive_more::Display;
use futures_util::{future, FutureExt};
use http_body_util::Full;
use hyper::{
    header::{HeaderName, HeaderValue},
    Request,
};
use smol_str::SmolStr;

use super::{
    admission::InProgress,
    api_key::{self, KeyRejection},
    caller_request::CallerRequest,
    context::{GatewayContext, InFlightRequest},
    crash_evidence::BrokenAttempt,
    next_attempt::{NextAttempt, SecondCopy},
    pending::{self, PendingAttempt, PendingResult},
    response::{self, FinalResponse, ResponseReason, ResponseRelay},
    send::{self, SendError, UpstreamResponse},
};
use crate::{events::Event, mesh::SuspectList};

/// Upstreams that are tried for one request, including those that never received it.
const MAX_UPSTREAMS_TRIED: u32 = 5;
/// Retry-after for a request that no upstream has run.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Short, since other processes accept the callers that a stopping process rejects.
pub const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The result of one attempt.
enum AttemptResult {
    /// A valid response, which may be a server error.
    Response(Box<UpstreamResponse>, InFlightRequest),
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// What of a request crashes upstreams.
#[derive(Clone, Copy, Debug, Display)]
enum CrashingCause {
    #[display("the request")]
    Request,
    #[display("part {_0} of the prompt")]
    Part(PromptPart),
}

/// What happens next to a request.
enum Step {
    /// The wait for an upstream ended.
    Ended(PendingAttempt, PendingResult),
    /// The request was sent to another upstream, could not be sent to it, or no further one may be tried.
    Started(Result<Option<PendingAttempt>, Failure>),
    /// Every upstream that has the request has been silent for too long.
    Silent,
    /// A second copy may be due.
    Assess,
}

/// One request and its attempts at upstreams.
pub struct RequestAttempts {
    /// The state that all requests share.
    pub context: Arc<GatewayContext>,
    /// The request.
    pub request: Arc<CallerRequest>,
    /// What constrains its upstream.
    pub requirements: RequestRequirements,
    upstreams_tried: u32,
    /// Number of upstreams that run the request or may have run it.
    run_count: u32,
    /// Whether an upstream has received the request, even if it only rejected it.
    reached_upstream: bool,
    /// Whether it was found that the request does not crash upstreams, or may test whether it does.
    admitted: bool,
    /// Whether a retry was taken from the budget and not yet used to send the request to an upstream.
    retry_reserved: bool,
    /// The copy that is sent because the first upstream is slow.
    pub second_copy: SecondCopy,
    /// Whether another upstream was selected before the request was sent, because the first one was slow.
    pub reselected: bool,
}

/// Serves an admitted request.
pub async fn serve(
    context: Arc<GatewayContext>,
    request: CallerRequest,
    in_progress: InProgress,
) -> HttpResponse {
    context.count_request(&request.service);
    let mut attempts = RequestAttempts::new(context, Arc::new(request));
    let remaining = attempts.remaining_time();
    let shared = attempts.context.clone();
    let result = tokio::select! {
        biased;
        // A timeout drops the current attempt, which closes its connection.
        result = actix_rt::time::timeout(remaining, attempts.obtain_response(None)) => Some(result),
        () = shared.stop_signal.wait_until_exiting() => None,
    };
    let failure = match result {
        Some(Ok(Ok((response, in_flight)))) => {
            return response::relay_response(ResponseRelay::new(
                attempts,
                *response,
                in_flight,
                in_progress,
            ))
            .await;
        }
        Some(Ok(Err(failure))) => failure,
        Some(Err(_)) => attempts.timeout_failure(),
        None => attempts.build_failure(ResponseReason::Stopping, RETRY_AFTER),
    };
    response::build_local_response(
        &attempts.context,
        &FinalResponse {
            id: &attempts.request.id,
            route: &attempts.request.route.name,
            status: failure.status,
            reason: failure.reason,
            retry_after: failure.retry_after,
            arrived_at: attempts.request.arrived_at,
            version: None,
            limited: failure.limited.as_ref(),
            refused_part: failure.refused_part,
            at_most_once: attempts.request.runs_at_most_once(),
        },
    )
}

/// The response to a request that no upstream has served.
pub struct Failure {
    status: StatusCode,
    reason: ResponseReason,
    retry_after: Option<Duration>,
    /// Id of the upstream whose limit allows a request first, if limits are the reason.
    limited: Option<SmolStr>,
    /// The part of the prompt that crashes upstreams, if that is the reason.
    refused_part: Option<PromptPart>,
}

impl RequestAttempts {
    fn new(context: Arc<GatewayContext>, request: Arc<CallerRequest>) -> Self {
        let keeps_prompts = context.keeps_prompts(&request.service);
        let requirements = request.requirements(keeps_prompts);
        Self {
            context,
            request,
            requirements,
            upstreams_tried: 0,
            run_count: 0,
            reached_upstream: false,
            admitted: false,
            retry_reserved: false,
            second_copy: SecondCopy::None,
            reselected: false,
        }
    }

    /// Returns the time until the request times out.
    pub fn remaining_time(&self) -> Duration {
        self.request.deadline().saturating_sub(self.context.now())
    }

    fn timeout_failure(&self) -> Failure {
        if self.run_count == 0 && self.upstreams_tried == 0 {
            return not_run_failure(ResponseReason::Overload, RETRY_AFTER);
        }
        Failure {
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: ResponseReason::TimedOut,
            retry_after: None,
            limited: None,
            refused_part: None,
        }
    }

    /// Tries upstreams until one responds or no further attempt is allowed.
    ///
    /// An upstream that is silent for too long is not given up: another one is tried as well, and the first response
    /// counts. See docs/ROUTING.md, "Silence". `resume_after` is the id of the last event that the caller has
    /// received, if a stream is resumed.
    pub async fn obtain_response(
        &mut self,
        resume_after: Option<&SmolStr>,
    ) -> Result<(Box<UpstreamResponse>, InFlightRequest), Failure> {
        let mut pending = Vec::new();
        let mut next = NextAttempt::Start;
        loop {
            let step = tokio::select! {
                biased;
                (attempt, result) = pending::next_result(&mut pending) =>
                    Step::Ended(attempt, result),
                step = self.next_step(&next, resume_after) => step,
            };
            next = match step {
                Step::Ended(attempt, result) => {
                    let second_copy = attempt.second_copy;
                    let recalled = matches!(result, PendingResult::Overdue(_));
                    let result = self.conclude(attempt, result);
                    if recalled {
                        // Requests are recalled together, and all of them must leave their upstreams before this one
                        // takes time for another.
                        tokio::task::yield_now().await;
                    }
                    if let Some(response) = self.select_response(result, &pending)? {
                        self.record_first_response(second_copy, &pending);
                        return Ok(response);
                    }
                    self.next_after_silence(&pending)
                }
                Step::Started(Ok(Some(attempt))) => {
                    pending.push(attempt);
                    self.next_after_silence(&pending)
                }
                Step::Started(Ok(None)) if self.may_try_another() => NextAttempt::Start,
                Step::Started(Ok(None)) if pending.is_empty() => {
                    return Err(self.build_failure(ResponseReason::TurnedAway, RETRY_AFTER));
                }
                Step::Started(Ok(None)) => NextAttempt::Never,
                Step::Started(Err(failure)) if pending.is_empty() => return Err(failure),
                Step::Started(Err(_)) => self.next_after_refusal(&pending),
                Step::Silent => self.replace_silent(&mut pending),
                Step::Assess => self.next_after_silence(&pending),
            };
        }
    }

    async fn next_step(&mut self, next: &NextAttempt, resume_after: Option<&SmolStr>) -> Step {
        match next {
            NextAttempt::Start => Step::Started(self.start_attempt(resume_after).await),
            NextAttempt::AfterSilence(at) => {
                actix_rt::time::sleep(at.saturating_sub(self.context.now())).await;
                Step::Silent
            }
            NextAttempt::AssessAt(at) => {
                actix_rt::time::sleep(at.saturating_sub(self.context.now())).await;
                Step::Assess
            }
            NextAttempt::Never => future::pending().await,
        }
    }

    /// Returns the response, if it is final; fails if no upstream that has the request is left and none may be tried.
    fn select_response(
        &mut self,
        result: AttemptResult,
        pending: &[PendingAttempt],
    ) -> Result<Option<(Box<UpstreamResponse>, InFlightRequest)>, Failure> {
        match result {
            AttemptResult::Response(response, in_flight) => {
                let server_error = response.inner.status().is_server_error();
                if server_error && (!pending.is_empty() || self.reserve_repeat()) {
                    return Ok(None);
                }
                for superseded in pending {
                    let detail = "another upstream responded first".to_owned();
                    self.log_failed_attempt(&superseded.upstream, "superseded", detail);
                }
                Ok(Some((response, in_flight)))
            }
            _ if !pending.is_empty() => Ok(None),
            AttemptResult::NotRun if self.may_try_another() => Ok(None),
            AttemptResult::NotRun => {
                Err(self.build_failure(ResponseReason::TurnedAway, RETRY_AFTER))
            }
            AttemptResult::Unknown if self.reserve_repeat() => Ok(None),
            AttemptResult::Unknown => {
                Err(self.build_failure(ResponseReason::BrokenResponse, RETRY_AFTER))
            }
        }
    }

    pub fn may_try_another(&self) -> bool {
        self.upstreams_tried < MAX_UPSTREAMS_TRIED
    }

    /// Whether the request's kind and its route allow another run beside those that may have begun.
    pub fn may_run_again(&self) -> bool {
        self.request.route.repeatable() && self.run_count < self.request.route.max_attempts
    }

    /// Reserves a retry for a request that may have run; returns whether its kind, its route and the retry
    /// budget allow another run.
    pub fn reserve_repeat(&mut self) -> bool {
        self.may_run_again() && self.reserve_retry()
    }

    /// Reserves a retry from the budget, unless an unused one is reserved; returns whether one is reserved.
    pub fn reserve_retry(&mut self) -> bool {
        self.retry_reserved =
            self.retry_reserved || self.context.spend_retry(&self.request.service);
        self.retry_reserved
    }

    fn refusal_failure(&self, refusal: &DispatchRefusal) -> Failure {
        let reason = match refusal.reason {
            RefusalReason::NoUpstream => ResponseReason::NoUpstream,
            RefusalReason::Overload => ResponseReason::Overload,
            RefusalReason::BackingOff => ResponseReason::UpstreamsBackingOff,
            RefusalReason::Limited => ResponseReason::UpstreamsLimited,
        };
        let limited = refusal.limited;
        Failure {
            limited: limited.and_then(|key| self.context.upstream_id(key)),
            ..self.build_failure(reason, refusal.retry_after)
        }
    }

    fn refused_part_failure(&self, refused: RefusedPart) -> Failure {
        let retry_after = refused.retry_after.max(RETRY_AFTER);
        Failure {
            refused_part: Some(refused.part),
            ..self.build_failure(ResponseReason::PromptCrashesUpstreams, retry_after)
        }
    }

    fn build_failure(&self, reason: ResponseReason, retry_after: Duration) -> Failure {
        if self.run_count == 0 {
            return not_run_failure(reason, retry_after);
        }
        Failure {
            status: StatusCode::BAD_GATEWAY,
            reason,
            retry_after: None,
            limited: None,
            refused_part: None,
        }
    }

    /// Selects an upstream and sends the request to it; returns `None` if it turned out that it cannot be sent there.
    async fn start_attempt(
        &mut self,
        resume_after: Option<&SmolStr>,
    ) -> Result<Option<PendingAttempt>, Failure> {
        self.check_may_run()?;
        let assigned = self
            .context
            .assign_upstream(self.requirements.clone())
            .await;
        let mut in_flight = assigned.map_err(|refusal| self.refusal_failure(&refusal))?;
        if in_flight
            .queueing()
            .is_some_and(|queueing| queueing.queued_ms > 0)
        {
            // The key may have been revoked while the request waited, or one of its parts found to crash upstreams.
            self.check_may_run()?;
        }
        let Some(upstream) = in_flight.upstream_record() else {
            self.record_tried(&in_flight);
            return Ok(None);
        };
        let model = self.requirements.model.clone();
        let served = model.and_then(|model| {
            let served = in_flight.served_version(&model)?;
            Some((model, served))
        });
        self.log_send(&in_flight, &upstream, served.as_ref());
        let started = self.context.now();
        let tcp = match send::connect(upstream.address).await {
            Ok(tcp) => {
                in_flight.record_connection(started, true);
                tcp
            }
            Err(e) => {
                // Other failures tell nothing of the time that the path takes, but of the upstream.
                match e.is_connect_timeout() {
                    true => in_flight.record_connection(started, false),
                    false => in_flight.mark_upstream_away(),
                }
                in_flight.set_outcome(AttemptOutcome::Unreachable);
                self.record_tried(&in_flight);
                self.log_failed_attempt(&upstream, "unreachable", e.to_string());
                return Ok(None);
            }
        };
        self.record_tried(&in_flight);
        if let Some(cause) = self.crashing_cause() {
            let detail = format!("{cause} turned out to crash upstreams");
            self.log_failed_attempt(&upstream, "not-sent", detail);
            return Ok(None);
        }
        if self.reselects(&in_flight, &upstream) {
            return Ok(None);
        }
        if !in_flight.may_be_sent(&self.requirements) {
            let detail =
                "the upstream became unavailable or limited while the connection was opened"
                    .to_owned();
            self.log_failed_attempt(&upstream, "not-sent", detail);
            return Ok(None);
        }
        // The request may have waited for the upstream and its connection.
        self.verify_api_key()?;
        let expected_ms = in_flight.expected_ms().max(0.0) as u64;
        self.check_time_until_exit(Duration::from_millis(expected_ms))?;
        // Each upstream that receives the request after the first counts as a retry, even if earlier ones
        // rejected the request.
        if self.reached_upstream && !self.reserve_retry() {
            return Err(self.build_failure(ResponseReason::TurnedAway, RETRY_AFTER));
        }
        self.reached_upstream = true;
        self.retry_reserved = false;
        self.run_count += 1;
        let rank = in_flight.queueing().map(|queueing| queueing.rank);
        let req = self.build_request(&upstream, resume_after, rank);
        Ok(Some(PendingAttempt {
            upstream,
            sent_at: self.context.now(),
            silent: false,
            second_copy: self.take_second_copy(),
            in_flight,
            served,
            response: send::send(tcp, req).boxed_local(),
        }))
    }

    /// Returns what of an admitted request has turned out to crash upstreams since; absent if it may be sent.
    fn crashing_cause(&self) -> Option<CrashingCause> {
        let cluster_view = &self.context.cluster_view;
        let request = [self.request.fingerprint_as_part()];
        if let Some(_fingerprint) = cluster_view.refused_part(SuspectList::Requests, &request) {
            return Some(CrashingCause::Request);
        }
        let parts = &self.request.prompt_parts;
        let part = cluster_view.refused_part(SuspectList::Parts, parts)?;
        Some(CrashingCause::Part(part))
    }

    /// Excludes an upstream from the further attempts.
    fn record_tried(&mut self, in_flight: &InFlightRequest) {
        self.requirements.tried.push(in_flight.upstream_key());
        self.upstreams_tried += 1;
    }

    /// Refuses a request that must not run, or no longer, before it is sent.
    fn check_may_run(&mut self) -> Result<(), Failure> {
        match self.admitted {
            true => self.check_still_admitted()?,
            false => self.admit()?,
        }
        self.admitted = true;
        self.verify_api_key()?;
        self.check_time_until_exit(Duration::ZERO)
    }

    /// Refuses a request whose API key may have been revoked since its arrival, or assigned to another workspace.
    fn verify_api_key(&self) -> Result<(), Failure> {
        let request = &self.request;
        let (directory, current) = self.context.directory_for_keys();
        let verified = match &directory.route_table {
            Some(table) => api_key::verify_again(
                table,
                current,
                &request.route,
                request.api_key.as_deref(),
                request.api_key_owner.as_deref(),
            ),
            None => Err(KeyRejection::Outdated),
        };
        match verified {
            Ok(()) => Ok(()),
            Err(KeyRejection::Unknown) if self.run_count == 0 => Err(Failure {
                status: StatusCode::UNAUTHORIZED,
                reason: ResponseReason::UnknownKey,
                retry_after: None,
                limited: None,
                refused_part: None,
            }),
            Err(KeyRejection::Unknown) => {
                Err(self.build_failure(ResponseReason::UnknownKey, RETRY_AFTER))
            }
            Err(KeyRejection::Outdated) => {
                Err(self.build_failure(ResponseReason::StaleFacts, RETRY_AFTER))
            }
        }
    }

    /// Refuses a request that crashes upstreams, unless it is to test whether it still does.
    fn admit(&self) -> Result<(), Failure> {
        let cluster_view = &self.context.cluster_view;
        let request = [self.request.fingerprint_as_part()];
        cluster_view
            .admit(SuspectList::Requests, &request)
            .map_err(|refused| {
                let retry_after = refused.retry_after.max(RETRY_AFTER);
                self.build_failure(ResponseReason::CrashesUpstreams, retry_after)
            })?;
        cluster_view
            .admit(SuspectList::Parts, &self.request.prompt_parts)
            .map_err(|refused| self.refused_part_failure(refused))
    }

    /// Refuses an admitted request that has turned out to crash upstreams since, also by the test that it is.
    fn check_still_admitted(&self) -> Result<(), Failure> {
        match self.crashing_cause() {
            None => Ok(()),
            Some(CrashingCause::Request) => {
                Err(self.build_failure(ResponseReason::CrashesUpstreams, RETRY_AFTER))
            }
            Some(CrashingCause::Part(part)) => {
                let retry_after = RETRY_AFTER;
                Err(self.refused_part_failure(RefusedPart { part, retry_after }))
            }
        }
    }

    /// Refuses a request that a stopping process may leave without a complete response, if the next upstream is
    /// expected to respond after `expected`.
    fn check_time_until_exit(&self, expected: Duration) -> Result<(), Failure> {
        let request = &self.request;
        let may_pass_on = self.context.stop_signal.may_pass_on(
            self.context.now(),
            expected,
            request.deadline(),
            request.interruptible(),
        );
        match may_pass_on {
            true => Ok(()),
            false => Err(self.build_failure(ResponseReason::Stopping, STOPPING_RETRY_AFTER)),
        }
    }

    fn log_send(
        &self,
        in_flight: &InFlightRequest,
        upstream: &UpstreamRecord,
        served: Option<&(SmolStr, ServedVersion)>,
    ) {
        let start_deadline = served.and_then(|(_, served)| served.start_deadline);
        let now = self.context.now();
        let stated = in_flight.stated_service_time();
        if let Some(stated) = stated {
            let age = &self.context.metrics.mesh.service_time_age;
            age.observe(stated.age.as_secs_f64());
        }
        self.context.cluster_view.events.emit(&Event::Sent {
            id: self.request.id.clone(),
            upstream: upstream.id.clone(),
            attempt: self.upstreams_tried + 1,
            expected_ms: in_flight.expected_ms() as u64,
            path_ms: Some(in_flight.path_ms() as u64).filter(|ms| *ms > 0),
            version: served.map(|(_, served)| served.version),
            begin_within_ms: start_deadline
                .map(|deadline| deadline.saturating_sub(now).as_millis() as u64),
            instead_of: in_flight.instead_of(),
            queueing: in_flight.queueing(),
            service_time_percent: stated.map(|stated| stated.percent),
            service_time_age_ms: stated.map(|stated| stated.age.as_millis() as u64),
            saved_tokens: in_flight.expected_saving().map(|s| s.tokens as u64),
            saved_ms: in_flight.expected_saving().map(|s| s.ms as u64),
            once: self.request.runs_at_most_once(),
        });
    }

    /// Determines the result of an attempt, and records what it shows of its upstream.
    fn conclude(&mut self, attempt: PendingAttempt, result: PendingResult) -> AttemptResult {
        let PendingAttempt {
            upstream,
            sent_at,
            mut in_flight,
            ..
        } = attempt;
        let result = match result {
            PendingResult::Response(response) => {
                in_flight.record_head(sent_at);
                self.classify_response(response, in_flight, &upstream, sent_at)
            }
            PendingResult::Overdue(overdue_for) => {
                let waited = self.context.now().saturating_sub(sent_at);
                self.cancel_overdue(&mut in_flight, &upstream, waited, overdue_for)
            }
            PendingResult::Broken(e) => {
                if matches!(e, SendError::Broken(_)) && !in_flight.is_switching() {
                    in_flight.mark_upstream_away();
                    self.report_crash(&upstream, false);
                    self.report_break(&upstream, BrokenAttempt::WITHOUT_HEAD);
                }
                in_flight.set_outcome(AttemptOutcome::Failed);
                self.log_failed_attempt(&upstream, "unknown", e.to_string());
                AttemptResult::Unknown
            }
        };
        match &result {
            AttemptResult::NotRun => self.run_count -= 1,
            AttemptResult::Response(response, _) if response.inner.status().is_success() => {
                let took = self.context.now().saturating_sub(sent_at);
                self.context
                    .record_response_time(&self.request.service, took);
            }
            AttemptResult::Response(..) | AttemptResult::Unknown => {}
        }
        result
    }

    /// Cancels a request that has waited at an upstream until its version is overdue.
    ///
    /// Most engines drop a waiting request when its connection closes. It may have started meanwhile, so its
    /// route decides whether it is sent elsewhere. See docs/ROUTING.md, "Versions".
    ///
    /// The first event's deadline restarts now: the next upstream has not caused the delay, and refusing
    /// the request would leave its caller unsure whether it has run.
    fn cancel_overdue(
        &mut self,
        in_flight: &mut InFlightRequest,
        upstream: &UpstreamRecord,
        waited: Duration,
        overdue_for: Duration,
    ) -> AttemptResult {
        in_flight.set_outcome(AttemptOutcome::Cancelled);
        self.requirements.first_event_deadline =
            self.request.first_event_deadline(self.context.now());
        let metrics = &self.context.metrics.mesh;
        metrics.cancelled_requests.inc();
        metrics.recall_delay.observe(overdue_for.as_secs_f64());
        let detail = format!(
            "cancelled {} ms after it was sent, {} ms after the moment of the recall",
            waited.as_millis(),
            overdue_for.as_millis()
        );
        self.log_failed_attempt(upstream, "recalled", detail);
        AttemptResult::Unknown
    }

    /// Decides whether a response is this upstream's response to this request, and records what it reports.
    fn classify_response(
        &mut self,
        response: UpstreamResponse,
        mut in_flight: InFlightRequest,
        upstream: &UpstreamRecord,
        sent_at: Moment,
    ) -> AttemptResult {
        self.record_leaving(&response, &in_flight, upstream);
        self.record_backoff(&response, &in_flight, upstream);
        self.record_limit(&response, upstream, sent_at);
        if self.answers_another_request(&response) {
            in_flight.set_outcome(AttemptOutcome::Failed);
            self.log_failed_attempt(
                upstream,
                "unknown",
                "response to another request".to_owned(),
            );
            return AttemptResult::Unknown;
        }
        if let Some(load) = response.header(headers::LOAD).and_then(headers::parse_load) {
            in_flight.record_load(&load);
        }
        let status = response.inner.status();
        let misdirected = status == hyper::StatusCode::MISDIRECTED_REQUEST;
        if misdirected || response.header(headers::NOT_RUN).is_some() {
            in_flight.set_outcome(match misdirected {
                true => AttemptOutcome::Misdirected,
                false => AttemptOutcome::Rejected,
            });
            self.log_failed_attempt(upstream, "not-run", format!("status {status}"));
            return AttemptResult::NotRun;
        }
        if response.header(headers::SIGNATURE).is_none() {
            in_flight.set_outcome(AttemptOutcome::Failed);
            self.log_failed_attempt(
                upstream,
                "unknown",
                format!("status {status} without the server signature"),
            );
            return AttemptResult::Unknown;
        }
        self.count_overdue_response(&response);
        in_flight.set_outcome(match status.is_server_error() {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Cancelled,
        });
        if status.is_server_error() {
            self.log_failed_attempt(upstream, "failed", format!("status {status}"));
        }
        AttemptResult::Response(Box::new(response), in_flight)
    }

    /// Counts a response on an overdue version: its request should have been cancelled before it started.
    fn count_overdue_response(&self, response: &UpstreamResponse) {
        let model = self.requirements.model.as_ref();
        if let Some((model, version)) = model.zip(response.version()) {
            if self.context.is_overdue(model, version) {
                self.context.metrics.mesh.overdue_answers.inc();
            }
        }
    }

    fn build_request(
        &self,
        upstream: &UpstreamRecord,
        resume_after: Option<&SmolStr>,
        rank: Option<u8>,
    ) -> Request<Full<Bytes>> {
        let request = &self.request;
        let mut req = Request::new(Full::new(request.body.clone()));
        *req.method_mut() = request.method.clone();
        if let Ok(uri) = request.path_and_query.parse() {
            *req.uri_mut() = uri;
        }
        *req.headers_mut() = request.headers.clone();
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                req.headers_mut()
                    .insert(HeaderName::from_static(name), value);
            }
        };
        set("connection", "close");
        set(headers::EXPECT_UPSTREAM, &upstream.id);
        let remaining = self.remaining_time();
        let requested_timeout = request.requested_timeout.unwrap_or(request.timeout);
        set(
            headers::DEADLINE_MS,
            &remaining
                .min(requested_timeout)
                .as_millis()
                .max(1)
                .to_string(),
        );
        if let Some(owner) = &request.api_key_owner {
            set(headers::WORKSPACE, &owner.workspace);
        }
        if request.route.kind == RouteKind::Streaming {
            let priority = rank.unwrap_or(self.requirements.priority).min(9);
            set(headers::PRIORITY, &priority.to_string());
        }
        if let Some(id) = resume_after {
            set(headers::LAST_EVENT_ID, id);
        }
        req
    }

    /// Logs a failed attempt.
    pub fn log_failed_attempt(
        &self,
        upstream: &UpstreamRecord,
        ending: &'static str,
        detail: String,
    ) {
        self.context
            .cluster_view
            .events
            .emit(&Event::AttemptFailed {
                id: self.request.id.clone(),
                upstream: upstream.id.clone(),
                ending,
                detail,
                once: self.request.runs_at_most_once(),
            });
    }
}

fn not_run_failure(reason: ResponseReason, retry_after: Duration) -> Failure {
    Failure {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason,
        retry_after: Some(retry_after),
        limited: None,
        refused_part: None,
    }
}
