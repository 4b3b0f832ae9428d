//! This entry's share of the limit that an upstream states on the requests from all entries together.

use crate::Moment;

/// Time for which an unused share accumulates. Short, so that entries that were idle do not add up to a burst.
const BURST: Moment = Moment::from_millis(250);
/// Tolerance of the comparison of a number of tokens, which is a sum of small fractions.
const TOKEN_TOLERANCE: f64 = 1e-9;

/// A token bucket, which contains the requests that this entry may send at once.
#[derive(Clone, Debug)]
pub struct RateLimit {
    limit_per_s: f64,
    share_per_s: f64,
    tokens: f64,
    refilled_at: Moment,
    /// When the limit was learned or lowered last.
    tightened_at: Moment,
}

impl RateLimit {
    /// Creates an empty bucket for a limit above zero that was learned at `now`; the share is zero until it is set.
    pub fn new(now: Moment, limit_per_s: f64) -> Self {
        Self {
            limit_per_s,
            share_per_s: 0.0,
            tokens: 0.0,
            refilled_at: now,
            tightened_at: now,
        }
    }

    /// Changes the limit for all entries together.
    pub fn set_limit(&mut self, now: Moment, limit_per_s: f64) {
        if limit_per_s < self.limit_per_s {
            self.tightened_at = now;
        }
        self.limit_per_s = limit_per_s;
    }

    /// Changes this entry's share, in requests per second. Tokens beyond what the new share accumulates are
    /// dropped.
    pub fn set_share(&mut self, now: Moment, share_per_s: f64) {
        self.refill(now);
        self.share_per_s = share_per_s;
        self.tokens = self.tokens.min(self.capacity());
    }

    fn capacity(&self) -> f64 {
        (self.share_per_s * BURST.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.share_per_s).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes the token of one request; returns whether there was one.
    pub fn try_take(&mut self, now: Moment) -> bool {
        self.refill(now);
        let available = self.tokens >= 1.0 - TOKEN_TOLERANCE;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// When this entry may send its next request, or `None` if it may send one at `now`.
    ///
    /// An entry without a share cannot tell when others send theirs, so this is the mean time between two
    /// requests of all entries.
    pub fn exhausted_until(&self, now: Moment) -> Option<Moment> {
        if self.share_per_s <= 0.0 {
            return Some(now + Moment::from_secs_f64(1.0 / self.limit_per_s));
        }
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let missing = 1.0 - self.tokens - elapsed * self.share_per_s;
        (missing > TOKEN_TOLERANCE).then(|| now + Moment::from_secs_f64(missing / self.share_per_s))
    }

    /// Whether a request that was assigned at `assigned_at` may be sent now.
    ///
    /// One that was assigned before the limit was learned or lowered has taken no token yet and takes one now.
    pub fn confirm(&mut self, now: Moment, assigned_at: Moment) -> bool {
        assigned_at > self.tightened_at || self.try_take(now)
    }
}
