//! Limits bulk transfers to the bandwidth of a link that live traffic leaves free.

use crate::Moment;

/// Delay of live responses, relative to quiet times, above which bulk transfers slow down.
const MAX_DELAY_RATIO: f64 = 1.2;
/// Factor by which the rate falls after a delayed live response.
const BACKOFF_FACTOR: f64 = 0.7;
/// Fraction of the maximum rate that is regained per second.
const RECOVERY_PER_S: f64 = 0.2;
/// Smallest fraction of the maximum rate, so that a burst completes even under lasting load.
const MIN_RATE_FRACTION: f64 = 0.2;
/// Shortest time between two reductions of the rate; shorter ones would count the same queue twice.
const MIN_REDUCTION_INTERVAL: Moment = Moment::from_millis(200);
/// Capacity of the token bucket, in time at the maximum rate.
const BURST: Moment = Moment::from_millis(20);

/// A token bucket whose rate falls when live responses are delayed.
#[derive(Clone, Debug)]
pub struct Pacer {
    /// In bytes per second.
    max_rate: f64,
    /// The current rate as a fraction of `max_rate`.
    fraction: f64,
    /// In bytes; negative while reserved bytes have not been sent.
    credit: f64,
    updated: Moment,
    last_reduced: Moment,
}

impl Pacer {
    /// Creates a pacer that starts at its maximum rate of `max_rate` bytes per second.
    pub fn new(now: Moment, max_rate: u64) -> Self {
        Self {
            max_rate: max_rate as f64,
            fraction: 1.0,
            credit: 0.0,
            updated: now,
            last_reduced: Moment::ZERO,
        }
    }

    /// Changes the maximum rate, in bytes per second.
    pub fn set_max_rate(&mut self, now: Moment, max_rate: u64) {
        self.refill(now);
        self.max_rate = max_rate as f64;
    }

    /// The current rate in bytes per second.
    pub fn rate(&self) -> f64 {
        self.max_rate * self.fraction
    }

    fn refill(&mut self, now: Moment) {
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.fraction = (self.fraction + RECOVERY_PER_S * elapsed_s).min(1.0);
        let capacity = self.max_rate * BURST.as_secs_f64();
        self.credit = (self.credit + self.rate() * elapsed_s).min(capacity);
    }

    /// Reserves `bytes` and returns how long to wait before sending them.
    pub fn reserve(&mut self, now: Moment, bytes: usize) -> Moment {
        self.refill(now);
        self.credit -= bytes as f64;
        if self.credit >= 0.0 {
            return Moment::ZERO;
        }
        Moment::from_secs_f64(-self.credit / self.rate())
    }

    /// Records the delay of a live response, as a multiple of that in quiet times.
    pub fn record_live_delay(&mut self, now: Moment, ratio: f64) {
        if ratio <= MAX_DELAY_RATIO
            || now.saturating_sub(self.last_reduced) < MIN_REDUCTION_INTERVAL
        {
            return;
        }
        self.refill(now);
        self.fraction = (self.fraction * BACKOFF_FACTOR).max(MIN_RATE_FRACTION);
        self.last_reduced = now;
    }
}
