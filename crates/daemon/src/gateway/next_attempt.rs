//! Decides when a request is sent to another upstream beside those that have it, since they are silent for too long or
//! slow, or instead of one that is slow. See docs/ROUTING.md, "Silence" and "Slow upstreams".

use std::time::Duration;

use balsamjunction_directory::{RouteKind, UpstreamRecord};
use balsamjunction_policy::{dispatch::SecondCopyDecision, Moment};
use strum::IntoStaticStr;

use super::{attempts::RequestAttempts, context::InFlightRequest, pending::PendingAttempt};
use crate::{events::Event, metrics::StateLabels};

/// Shortest silence of a streaming upstream, before its first event or between events, after which another one is
/// tried as well; engines that are not overloaded pause for a few hundred milliseconds at most.
const MIN_STREAM_SILENCE: Duration = Duration::from_millis(1_500);
/// Lower bound of the same for an upstream of a plain service.
const MIN_SILENCE: Duration = Duration::from_millis(300);
/// Multiple of the route's target latency after which another upstream of a plain service is tried as well.
const SILENCE_LATENCY_FACTOR: u32 = 3;
/// Time until another upstream is tried again for a silent one, after the retry budget or the dispatcher allowed none.
pub const NEXT_ATTEMPT_INTERVAL: Duration = Duration::from_millis(250);

/// When the next upstream is tried.
pub enum NextAttempt {
    /// Now.
    Start,
    /// Once those that have the request have been silent until a time.
    AfterSilence(Moment),
    /// It is decided at a time whether a second copy is sent.
    AssessAt(Moment),
    /// Not while an upstream that has the request may still respond.
    Never,
}

/// What is done about a silent upstream, for the log and the metrics.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum SilenceDecision {
    /// Another upstream is tried; the silent one may still respond first.
    TriesAnother,
    /// The request may be sent to no further upstream.
    NoAttempt,
    /// No retry is left in the budget.
    NoRetry,
}

/// The second copy of a request whose first upstream is slow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SecondCopy {
    /// None was decided on.
    #[default]
    None,
    /// The next attempt is a second copy.
    Due,
    /// One was sent, or could not be.
    Done,
}

/// What became of second copies, for the log and the metrics.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
enum SecondCopyState {
    /// It is sent.
    Sent,
    /// It was due, but no retry is left in the budget.
    NoRetry,
    /// It responded first.
    Won,
    /// The upstream of the first copy responded first.
    Wasted,
}

impl RequestAttempts {
    /// Decides when another upstream is tried beside those in `pending`.
    pub fn next_after_silence(&mut self, pending: &[PendingAttempt]) -> NextAttempt {
        let Some(silent_at) = self.silent_at(pending) else {
            return NextAttempt::Start;
        };
        match self.decide_second_copy(pending) {
            SecondCopyDecision::Send if self.start_second_copy(pending) => NextAttempt::Start,
            SecondCopyDecision::AssessAt(at) if at < silent_at => NextAttempt::AssessAt(at),
            _ => NextAttempt::AfterSilence(silent_at),
        }
    }

    /// Decides when another upstream is tried, since the last attempt to do so was refused.
    pub fn next_after_refusal(&mut self, pending: &[PendingAttempt]) -> NextAttempt {
        let retry_at = self.context.now() + NEXT_ATTEMPT_INTERVAL;
        let second_copy_refused = self.second_copy == SecondCopy::Due;
        if second_copy_refused {
            self.second_copy = SecondCopy::Done;
        }
        // The first upstream of a second copy is not silent yet.
        let silent_at = self.silent_at(pending).filter(|_| second_copy_refused);
        NextAttempt::AfterSilence(silent_at.unwrap_or(retry_at))
    }

    /// When the upstreams in `pending` will all have been silent for too long; `None` if there are none.
    fn silent_at(&self, pending: &[PendingAttempt]) -> Option<Moment> {
        let limit = self.silence_limit();
        pending.iter().map(|attempt| attempt.sent_at + limit).max()
    }

    fn decide_second_copy(&self, pending: &[PendingAttempt]) -> SecondCopyDecision {
        let [first] = pending else {
            return SecondCopyDecision::Never;
        };
        let allowed = self.request.route.kind == RouteKind::Idempotent
            && self.second_copy == SecondCopy::None
            && self.may_run_again()
            && self.may_try_another();
        if !allowed {
            return SecondCopyDecision::Never;
        }
        let service = &self.request.service;
        let usual = self.context.usual_response_time(service);
        first
            .in_flight
            .decide_second_copy(first.sent_at, usual, &self.requirements)
    }

    /// Reserves a retry for a second copy; returns whether there is one.
    fn start_second_copy(&mut self, pending: &[PendingAttempt]) -> bool {
        let (second_copy, state) = match self.reserve_retry() {
            true => (SecondCopy::Due, SecondCopyState::Sent),
            false => (SecondCopy::Done, SecondCopyState::NoRetry),
        };
        self.second_copy = second_copy;
        self.count_second_copy(state);
        let now = self.context.now();
        for first in pending {
            let stated = first.in_flight.stated_service_time();
            self.context.cluster_view.events.emit(&Event::SecondCopy {
                id: self.request.id.clone(),
                upstream: first.upstream.id.clone(),
                waited_ms: now.saturating_sub(first.sent_at).as_millis() as u64,
                service_time_percent: stated.map(|stated| stated.percent),
                service_time_age_ms: stated.map(|stated| stated.age.as_millis() as u64),
                decision: state.into(),
            });
        }
        second_copy == SecondCopy::Due
    }

    /// Whether the attempt that is sent now is a second copy.
    pub fn take_second_copy(&mut self) -> bool {
        let due = self.second_copy == SecondCopy::Due;
        if due {
            self.second_copy = SecondCopy::Done;
        }
        due
    }

    /// Counts which copy of a request responded first, if two were sent.
    pub fn record_first_response(&self, from_second_copy: bool, pending: &[PendingAttempt]) {
        if from_second_copy {
            self.count_second_copy(SecondCopyState::Won);
        } else if pending.iter().any(|attempt| attempt.second_copy) {
            self.count_second_copy(SecondCopyState::Wasted);
        }
    }

    fn count_second_copy(&self, state: SecondCopyState) {
        let state: &'static str = state.into();
        let state = state.to_owned();
        let copies = &self.context.metrics.mesh.second_copies;
        copies.get_or_create(&StateLabels { state }).inc();
    }

    /// Whether a request that runs once is sent to another upstream, since the selected one stated meanwhile that it is
    /// slow. The other one need not be available any more, so the selected one is not excluded, and this happens once.
    pub fn reselects(&mut self, in_flight: &InFlightRequest, upstream: &UpstreamRecord) -> bool {
        if self.reselected || !self.request.runs_at_most_once() || !self.may_try_another() {
            return false;
        }
        let Some(slow) = in_flight.find_slow_since_selection(&self.requirements) else {
            return false;
        };
        self.reselected = true;
        let key = in_flight.upstream_key();
        self.requirements.tried.retain(|tried| *tried != key);
        self.context.metrics.mesh.reselections.inc();
        let detail = format!(
            "the upstream stated a relative service time of {}, {} ms ago, while the connection was opened",
            slow.percent,
            slow.age.as_millis()
        );
        self.log_failed_attempt(upstream, "not-sent", detail);
        true
    }

    /// Decides whether another upstream is tried, since those that have the request are silent.
    pub fn replace_silent(&mut self, pending: &mut [PendingAttempt]) -> NextAttempt {
        let decision = self.decide_on_silence();
        let now = self.context.now();
        for attempt in pending {
            if attempt.mark_silent() {
                let silent_for = now.saturating_sub(attempt.sent_at);
                self.log_silence(Some(&attempt.upstream), silent_for, false, decision);
            }
        }
        match decision {
            SilenceDecision::TriesAnother => NextAttempt::Start,
            SilenceDecision::NoAttempt => NextAttempt::Never,
            SilenceDecision::NoRetry => NextAttempt::AfterSilence(now + NEXT_ATTEMPT_INTERVAL),
        }
    }

    /// Decides whether another upstream is tried for a silent one; reserves a retry for it.
    ///
    /// The first event's deadline restarts now, so that only an upstream that is expected to begin in time is tried.
    pub fn decide_on_silence(&mut self) -> SilenceDecision {
        if !self.may_run_again() || !self.may_try_another() {
            return SilenceDecision::NoAttempt;
        }
        if !self.reserve_retry() {
            return SilenceDecision::NoRetry;
        }
        self.requirements.first_event_deadline =
            self.request.first_event_deadline(self.context.now());
        SilenceDecision::TriesAnother
    }

    /// Logs and counts an upstream that has sent nothing for too long.
    pub fn log_silence(
        &self,
        upstream: Option<&UpstreamRecord>,
        silent_for: Duration,
        began: bool,
        decision: SilenceDecision,
    ) {
        let decision: &'static str = decision.into();
        let state = decision.to_owned();
        let silences = &self.context.metrics.mesh.silences;
        silences.get_or_create(&StateLabels { state }).inc();
        self.context
            .cluster_view
            .events
            .emit(&Event::UpstreamSilent {
                id: self.request.id.clone(),
                upstream: upstream.map(|u| u.id.clone()).unwrap_or_default(),
                silent_ms: silent_for.as_millis() as u64,
                began,
                decision,
            });
    }

    /// Returns how long an upstream may be silent before its response until another one is tried as well.
    fn silence_limit(&self) -> Duration {
        let floor = self.min_silence();
        self.context.silence_limit(&self.request.service, floor)
    }

    /// Returns the shortest silence of an upstream after which another one is tried as well.
    pub fn min_silence(&self) -> Duration {
        let target_latency = Duration::from_millis(self.request.route.target_latency_ms);
        match self.request.route.kind {
            RouteKind::Streaming => MIN_STREAM_SILENCE,
            _ => MIN_SILENCE.max(target_latency * SILENCE_LATENCY_FACTOR),
        }
    }
}
