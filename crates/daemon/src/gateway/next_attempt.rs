//! Decides when a request is sent to another upstream beside those that have it: upstreams that are silent for too long.
//! See docs/ROUTING.md, "Silence".

use std::time::Duration;

use balsamjunction_directory::{RouteKind, UpstreamRecord};
use balsamjunction_policy::Moment;
use strum::IntoStaticStr;

use super::{attempts::RequestAttempts, pending::PendingAttempt};
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

impl RequestAttempts {
    /// Decides when another upstream is tried beside those in `pending`.
    pub fn next_after_silence(&self, pending: &[PendingAttempt]) -> NextAttempt {
        let limit = self.silence_limit();
        let silent_at = pending.iter().map(|attempt| attempt.sent_at + limit).max();
        silent_at.map_or(NextAttempt::Start, NextAttempt::AfterSilence)
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
