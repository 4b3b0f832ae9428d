//! Keeps bulk transfers below what live traffic leaves of a link.

use crate::Moment;

/// Live answers may be this much later than in quiet times before bulk yields.
const TOLERATED: f64 = 1.2;
/// Part of the allowance that remains after a late live answer.
const YIELD_FACTOR: f64 = 0.7;
/// Part of the allowance that bulk gains back per second.
const RECOVERY_PER_S: f64 = 0.2;
/// Bulk never stops entirely, so that a burst ends even under lasting load.
const LEAST_SHARE: f64 = 0.2;
/// Yielding again sooner would punish one queue twice.
const YIELD_INTERVAL: Moment = Moment::from_millis(200);
/// Credit that may be saved, in time at the full allowance.
const BURST: Moment = Moment::from_millis(20);

/// A token bucket whose rate falls when live answers are late.
#[derive(Clone, Debug)]
pub struct Pacer {
    allowance: f64,
    share: f64,
    credit: f64,
    updated: Moment,
    yielded: Moment,
}

impl Pacer {
    /// Allows at most `allowance` bytes a second.
    pub fn new(now: Moment, allowance: u64) -> Self {
        Self {
            allowance: allowance as f64,
            share: 1.0,
            credit: 0.0,
            updated: now,
            yielded: Moment::ZERO,
        }
    }

    /// Changes the allowance in bytes a second.
    pub fn set_max_rate(&mut self, now: Moment, allowance: u64) {
        self.refill(now);
        self.allowance = allowance as f64;
    }

    /// Bytes a second now.
    pub fn rate(&self) -> f64 {
        self.allowance * self.share
    }

    fn refill(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.share = (self.share + RECOVERY_PER_S * passed).min(1.0);
        let most = self.allowance * BURST.as_secs_f64();
        self.credit = (self.credit + self.rate() * passed).min(most);
    }

    /// Takes `bytes` and tells how long to wait before sending them.
    pub fn reserve(&mut self, now: Moment, bytes: usize) -> Moment {
        self.refill(now);
        self.credit -= bytes as f64;
        if self.credit >= 0.0 {
            return Moment::ZERO;
        }
        Moment::from_secs_f64(-self.credit / self.rate())
    }

    /// Notes how late a live answer was, relative to quiet times.
    pub fn record_live_delay(&mut self, now: Moment, ratio: f64) {
        if ratio <= TOLERATED || now.saturating_sub(self.yielded) < YIELD_INTERVAL {
            return;
        }
        self.refill(now);
        self.share = (self.share * YIELD_FACTOR).max(LEAST_SHARE);
        self.yielded = now;
    }
}
