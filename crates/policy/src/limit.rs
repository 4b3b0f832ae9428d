//! How many requests an upstream bears now.

use crate::Moment;

/// A first byte this many times later than the best counts as slow.
const SLOW_FACTOR: f64 = 3.0;
/// Differences below this are scheduling noise, not a cold upstream.
const SLOW_FLOOR: Moment = Moment::from_millis(20);
/// An answer within this factor of the best shows a warm upstream.
const WARM_FACTOR: f64 = 2.0;
/// Slow answers in a row after which the upstream counts as cold.
const SLOW_STREAK: u32 = 2;
/// The best time drifts up by this factor per answer, so that a lasting change becomes normal.
const BEST_DRIFT: f64 = 1.02;

/// The bounds between which a limit moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// Requests that a cold upstream bears.
    pub cold: u32,
    /// Requests that a warm upstream bears.
    pub warm: u32,
    /// Answers that a cold upstream gives before it may be warm.
    pub warm_up_responses: u32,
    /// Whether slower answers mean a cold upstream, as they do for engines.
    pub detect_slowdown: bool,
}

/// A concurrency limit that starts cold, rises with measured service and falls on trouble.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    bounds: LimitBounds,
    limit: f64,
    best: Option<f64>,
    slow_streak: u32,
    answers: u32,
    threshold: f64,
}

impl ConcurrencyLimit {
    /// A cold limit.
    pub fn new(bounds: LimitBounds) -> Self {
        Self {
            bounds,
            limit: f64::from(bounds.cold),
            best: None,
            slow_streak: 0,
            answers: 0,
            threshold: f64::INFINITY,
        }
    }

    /// Requests that may run at once.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Replaces the bounds; a limit above them falls at once, one below rises by service.
    pub fn configure(&mut self, bounds: LimitBounds) {
        self.bounds = bounds;
        self.limit = self
            .limit
            .clamp(f64::from(bounds.cold), f64::from(bounds.warm));
    }

    /// Notes an answer whose first byte took `first_byte`. Tells whether the upstream turned cold.
    pub fn record_success(&mut self, first_byte: Moment, running: u32) -> bool {
        let sample = first_byte.as_secs_f64();
        let best = self.best.unwrap_or(sample);
        let slow = sample > best * SLOW_FACTOR && sample > best + SLOW_FLOOR.as_secs_f64();
        self.best = Some(if sample < best {
            sample
        } else {
            (best * BEST_DRIFT).min(sample)
        });
        if self.bounds.detect_slowdown && slow {
            self.slow_streak += 1;
            if self.slow_streak >= SLOW_STREAK && self.current() > self.bounds.cold {
                self.reset_to_cold();
                return true;
            }
            return false;
        }
        self.slow_streak = 0;
        self.answers = self.answers.saturating_add(1);
        let warm = !self.bounds.detect_slowdown
            || sample <= best * WARM_FACTOR
            || sample <= best + SLOW_FLOOR.as_secs_f64();
        if warm
            && self.answers > self.bounds.warm_up_responses
            && 2 * (running + 1) >= self.current()
        {
            self.raise();
        }
        false
    }

    /// Halves the limit after an answer that shows trouble.
    pub fn record_failure(&mut self) {
        self.limit = (self.limit / 2.0).max(f64::from(self.bounds.cold));
        self.threshold = self.limit;
    }

    /// Returns to the cold limit.
    pub fn reset_to_cold(&mut self) {
        self.limit = f64::from(self.bounds.cold);
        self.slow_streak = 0;
        self.answers = 0;
        self.threshold = f64::INFINITY;
    }

    /// One more per answer, and past the last trouble about one more per round of answers.
    fn raise(&mut self) {
        let step = match self.limit < self.threshold {
            true => 1.0,
            false => 1.0 / self.limit,
        };
        self.limit = (self.limit + step).min(f64::from(self.bounds.warm));
    }
}
