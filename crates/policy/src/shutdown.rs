//! Decides which requests a stopping gateway still accepts and passes on.
//!
//! The process is killed at the end of its grace period, and a request that is still at an upstream then ends
//! without a complete response. One that may be repeated can be sent to another gateway; one that may run only once
//! is lost to its caller. See docs/ROUTING.md, "Planned stops".

use crate::Moment;

/// Minimum time from the stop signal to the exit: the load balancer checks readiness once a second and
/// removes a process after two failed checks.
const MIN_DRAIN: Moment = Moment::from_millis(3_200);
/// Time from the stop signal after which new requests are rejected. The load balancer sends no new callers by then, and
/// a request that arrives on an open connection could outlast this process.
const REJECT_AFTER: Moment = Moment::from_millis(2_900);
/// Time before the end of the grace period at which the process exits by itself.
const EXIT_MARGIN: Moment = Moment::from_millis(300);
/// Time before the end of the grace period at which requests without a response are answered by the process itself.
const LAST_RESPONSES_MARGIN: Moment = Moment::from_millis(700);

/// What an interrupted run of a request means for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruptible {
    /// It may run again elsewhere, or a stream may be resumed there.
    Repeatable,
    /// It must not run again, and its response is short.
    Once,
    /// It must not run again, and its response is a stream that may last until its time limit.
    StreamedOnce,
}

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    signalled_at: Moment,
    grace: Moment,
}

impl Shutdown {
    /// A stop that was signalled at `signalled_at`, `grace` before the process is killed.
    pub fn new(signalled_at: Moment, grace: Moment) -> Self {
        Self {
            signalled_at,
            grace,
        }
    }

    /// Whether a request that arrives now is rejected.
    pub fn rejects_arrivals(&self, now: Moment) -> bool {
        now >= self.signalled_at + REJECT_AFTER
    }

    /// When requests without a response are answered by the process itself.
    pub fn last_responses_at(&self) -> Moment {
        self.signalled_at + self.grace.saturating_sub(LAST_RESPONSES_MARGIN)
    }

    /// Whether the process may exit now; `idle` tells that no request is in progress.
    pub fn may_exit(&self, now: Moment, idle: bool) -> bool {
        let waited = now.saturating_sub(self.signalled_at);
        waited >= self.grace.saturating_sub(EXIT_MARGIN) || (waited >= MIN_DRAIN && idle)
    }

    /// Whether a request may be passed on to an upstream now, which is expected to respond after `expected`.
    ///
    /// One whose time limit `deadline` lies before the last responses ends in time in any case.
    pub fn may_pass_on(
        &self,
        now: Moment,
        expected: Moment,
        deadline: Moment,
        request: Interruptible,
    ) -> bool {
        let last_responses_at = self.last_responses_at();
        if deadline <= last_responses_at {
            return true;
        }
        let likely = now + expected <= last_responses_at;
        match request {
            Interruptible::Repeatable => likely,
            Interruptible::Once => likely && !self.rejects_arrivals(now),
            Interruptible::StreamedOnce => false,
        }
    }
}
