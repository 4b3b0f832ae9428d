//! The retries that all entries may send together, of which each takes its share.

use crate::{sliding_window::SlidingWindowCounter, Moment};

/// Part of the bound that is used; the rest covers requests that cross the edge of a window.
const USED_PART: f64 = 0.8;

/// The bound on arrivals beyond the first of each request, summed over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryWindowSettings {
    /// The window, on which the bound holds at any time.
    pub window: Moment,
    /// Retries for each request in the window.
    pub ratio: f64,
    /// Retries in a window beside those.
    pub slack: f64,
}

/// One entry's share of the retries to one service.
///
/// Each entry adds its own requests to what it may retry, and an even part of the slack. The shares
/// never add up to more than the bound, so entries need not agree on each retry.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    bound: RetryWindowSettings,
    slack_from: Moment,
    requests: SlidingWindowCounter,
    retries: SlidingWindowCounter,
}

impl WindowedRetryBudget {
    /// A share of `bound`, of whose slack nothing is used before `slack_from`.
    ///
    /// A process that has started again does not know what the one before it spent in the window, nor at
    /// first with how many others it shares the slack.
    pub fn new(bound: RetryWindowSettings, slack_from: Moment) -> Self {
        Self {
            bound,
            slack_from,
            requests: SlidingWindowCounter::new(bound.window),
            retries: SlidingWindowCounter::new(bound.window),
        }
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Moment) {
        self.requests.add(now);
    }

    /// Retries that are left, with `entries` to share the slack.
    pub fn remaining(&mut self, now: Moment, entries: usize) -> usize {
        let earned = self.bound.ratio * self.requests.count(now) as f64;
        let slack = match now < self.slack_from {
            true => 0.0,
            false => self.bound.slack / entries.max(1) as f64,
        };
        let bound = (USED_PART * (earned + slack)) as usize;
        bound.saturating_sub(self.retries.count(now))
    }

    /// Takes one retry, if one is left.
    pub fn try_withdraw(&mut self, now: Moment, entries: usize) -> bool {
        if self.remaining(now, entries) == 0 {
            return false;
        }
        self.retries.add(now);
        true
    }
}
