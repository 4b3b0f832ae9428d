//! Requests at upstreams that turn out to be slow: a second copy of one that may be repeated, and another upstream for
//! one that has not been sent yet.
//!
//! Applies only to services whose upstreams state a relative service time. See docs/design/service-time.md.

use super::{
    pool::{Candidate, CALLER_ROUND_TRIP_MS},
    service_time::StatedServiceTime,
    Dispatcher, RequestRequirements, SelectedUpstream, UpstreamKey,
};
use crate::Moment;

/// An upstream counts as slow if its service time is at least this multiple of that of the best other one. Smaller
/// differences cost less than a second request.
const SLOW_FACTOR: f64 = 1.5;
/// Time reserved for a second copy, as a multiple of its expected time: about half of all requests take longer than
/// expected.
const RESERVED_FACTOR: f64 = 2.0;
/// Interval at which an upstream is assessed again once a second copy would be due. Values change every few hundred
/// milliseconds.
const ASSESSMENT_INTERVAL: Moment = Moment::from_millis(10);

/// A request without a response.
#[derive(Clone, Debug)]
pub struct AwaitedResponse<'a> {
    /// The upstream that has the request, and the estimates when it was selected.
    pub selected: &'a SelectedUpstream,
    /// When the request was sent.
    pub sent_at: Moment,
    /// Time within which upstreams of the service usually respond; zero if that is unknown.
    pub usual: Moment,
}

/// Whether a second copy of a request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SecondCopyDecision {
    /// Now, because the upstream of the first is slow.
    Send,
    /// Not before this time, at which the decision is made again.
    AssessAt(Moment),
    /// Not at all: a second one would be too late, or the service does not support it.
    Never,
}

impl Dispatcher {
    /// Decides whether a second copy is sent of a request that may be repeated, while its first upstream still has time
    /// to respond.
    ///
    /// It is due once the rest of the target latency only just suffices for it. The upstream of the first must be slow,
    /// by what it stated or by the time that the request has taken, and the best other one must not be.
    pub fn decide_second_copy(
        &mut self,
        now: Moment,
        awaited: &AwaitedResponse<'_>,
        request: &RequestRequirements,
    ) -> SecondCopyDecision {
        if request.model.is_some() || !self.reports_service_time(&request.service) {
            return SecondCopyDecision::Never;
        }
        let key = awaited.selected.upstream;
        let Some((other, other_slowdown)) = self.best_other(now, key, request) else {
            return SecondCopyDecision::Never;
        };
        let deadline = request.first_event_deadline;
        let deadline = deadline.saturating_sub(from_ms(CALLER_ROUND_TRIP_MS));
        let due_at = deadline.saturating_sub(from_ms(RESERVED_FACTOR * other.expected_ms));
        if now < due_at {
            return SecondCopyDecision::AssessAt(due_at);
        }
        if now + from_ms(other.expected_ms) > deadline {
            return SecondCopyDecision::Never;
        }
        let slow_from = SLOW_FACTOR * other_slowdown;
        // What is expected of a plain service is a guess, so a request is overdue only if it also takes longer than usual.
        let expected = from_ms(slow_from * awaited.selected.nominal_ms);
        let overdue_after = expected.max(awaited.usual.mul_f64(SLOW_FACTOR));
        let stated_slow = self.slowdown(now, key) >= slow_from;
        let overdue = now.saturating_sub(awaited.sent_at) >= overdue_after;
        match other.fits && (stated_slow || overdue) {
            true => SecondCopyDecision::Send,
            false => SecondCopyDecision::AssessAt(now + ASSESSMENT_INTERVAL),
        }
    }

    /// Whether a request should be sent to another upstream than the one selected, now that its connection is
    /// established; returns the value that the decision is based on.
    ///
    /// That is so if the selected upstream has stated since the selection that it is slow, and another one is not.
    pub fn find_slow_since_selection(
        &mut self,
        now: Moment,
        selected: &SelectedUpstream,
        request: &RequestRequirements,
    ) -> Option<StatedServiceTime> {
        let stated = self.stated_service_time(now, selected.upstream)?;
        if now.saturating_sub(stated.age) <= selected.assigned_at {
            return None;
        }
        let (other, other_slowdown) = self.best_other(now, selected.upstream, request)?;
        let slow = self.slowdown(now, selected.upstream) >= SLOW_FACTOR * other_slowdown;
        (other.fits && slow).then_some(stated)
    }

    /// Returns the relative service time that an upstream stated last; `None` if it never stated one.
    pub fn stated_service_time(&self, now: Moment, key: UpstreamKey) -> Option<StatedServiceTime> {
        self.upstreams.get(key)?.service_time.stated(now)
    }

    /// The upstream that would be selected if neither `key` nor those already tried could be, and its slowdown.
    fn best_other(
        &mut self,
        now: Moment,
        key: UpstreamKey,
        request: &RequestRequirements,
    ) -> Option<(Candidate, f64)> {
        let mut request = request.clone();
        request.tried.push(key);
        let other = self.select(now, &request).ok()?;
        let slowdown = self.slowdown(now, other.upstream);
        Some((other, slowdown))
    }

    fn slowdown(&self, now: Moment, key: UpstreamKey) -> f64 {
        let upstream = self.upstreams.get(key);
        upstream.map_or(1.0, |upstream| upstream.slowdown(now))
    }
}

fn from_ms(ms: f64) -> Moment {
    Moment::from_secs_f64(ms.max(0.0) / 1e3)
}
