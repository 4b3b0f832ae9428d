//! Retry budget over a time window, shared by all entries.

use crate::{sliding_window::SlidingWindowCounter, Moment};

/// Fraction of the limit that is used; the rest covers requests that cross the edge of a window.
const USED_FRACTION: f64 = 0.8;

/// Limit on the attempts of requests beyond the first, summed over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryWindowSettings {
    /// Length of the sliding window; the limit holds in every window of this length.
    pub window: Moment,
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed per window in addition to those.
    pub slack: f64,
}

/// One entry's share of the retry budget of one service.
///
/// Each entry earns retries by its own requests and gets an equal part of the slack. The shares never
/// add up to more than the limit, so entries need not coordinate individual retries.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    settings: RetryWindowSettings,
    slack_available_at: Moment,
    requests: SlidingWindowCounter,
    retries: SlidingWindowCounter,
}

impl WindowedRetryBudget {
    /// Creates a share of the limit in `settings`; none of the slack is used before `slack_available_at`.
    ///
    /// A restarted process knows neither how many retries its predecessor sent in the window nor, at
    /// first, how many other entries share the slack.
    pub fn new(settings: RetryWindowSettings, slack_available_at: Moment) -> Self {
        Self {
            settings,
            slack_available_at,
            requests: SlidingWindowCounter::new(settings.window),
            retries: SlidingWindowCounter::new(settings.window),
        }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Moment) {
        self.requests.add(now);
    }

    /// Returns the number of retries that remain when `entries` entries share the slack.
    pub fn remaining(&mut self, now: Moment, entries: usize) -> usize {
        let earned = self.settings.ratio * self.requests.count(now) as f64;
        let slack = match now < self.slack_available_at {
            true => 0.0,
            false => self.settings.slack / entries.max(1) as f64,
        };
        let limit = (USED_FRACTION * (earned + slack)) as usize;
        limit.saturating_sub(self.retries.count(now))
    }

    /// Takes one retry from the budget; returns whether one remained.
    pub fn try_withdraw(&mut self, now: Moment, entries: usize) -> bool {
        if self.remaining(now, entries) == 0 {
            return false;
        }
        self.retries.add(now);
        true
    }
}
