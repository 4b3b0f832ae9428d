//! Adaptive concurrency limit of an upstream.

use crate::Moment;

/// A first byte that takes this many times the best time counts as slow.
const SLOW_FACTOR: f64 = 3.0;
/// Slowdowns below this are scheduling noise, not a sign of a cold upstream.
const MIN_SLOWDOWN: Moment = Moment::from_millis(20);
/// A first byte within this factor of the best time indicates a warm upstream.
const WARM_FACTOR: f64 = 2.0;
/// Consecutive slow responses after which the upstream counts as cold.
const SLOW_STREAK: u32 = 2;
/// Factor by which the best time grows per response, so that a lasting change becomes the new best.
const BEST_DRIFT: f64 = 1.02;

/// Bounds of a concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// Concurrent requests that a cold upstream can handle.
    pub cold: u32,
    /// Concurrent requests that a warm upstream can handle.
    pub warm: u32,
    /// Responses of a cold upstream before the limit may rise.
    pub warm_up_responses: u32,
    /// Whether slower responses indicate a cold upstream, as they do for engines.
    pub detect_slowdown: bool,
}

/// Concurrency limit that starts at the cold bound, rises with successful responses and falls on
/// failures.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    bounds: LimitBounds,
    limit: f64,
    best_first_byte_s: Option<f64>,
    slow_streak: u32,
    responses: u32,
    slow_start_threshold: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit at the cold bound.
    pub fn new(bounds: LimitBounds) -> Self {
        Self {
            bounds,
            limit: f64::from(bounds.cold),
            best_first_byte_s: None,
            slow_streak: 0,
            responses: 0,
            slow_start_threshold: f64::INFINITY,
        }
    }

    /// Returns how many requests may run concurrently.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Replaces the bounds and clamps the limit to them at once; towards a higher warm bound it rises
    /// only with successful responses.
    pub fn configure(&mut self, bounds: LimitBounds) {
        self.bounds = bounds;
        self.limit = self
            .limit
            .clamp(f64::from(bounds.cold), f64::from(bounds.warm));
    }

    /// Records a response whose first byte took `first_byte`; returns whether this reset the limit to the
    /// cold bound.
    pub fn record_success(&mut self, first_byte: Moment, running: u32) -> bool {
        let sample = first_byte.as_secs_f64();
        let best = self.best_first_byte_s.unwrap_or(sample);
        let slow = sample > best * SLOW_FACTOR && sample > best + MIN_SLOWDOWN.as_secs_f64();
        self.best_first_byte_s = Some(if sample < best {
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
        self.responses = self.responses.saturating_add(1);
        let warm = !self.bounds.detect_slowdown
            || sample <= best * WARM_FACTOR
            || sample <= best + MIN_SLOWDOWN.as_secs_f64();
        if warm
            && self.responses > self.bounds.warm_up_responses
            && 2 * (running + 1) >= self.current()
        {
            self.increase();
        }
        false
    }

    /// Halves the limit after a failure, but not below the cold bound.
    pub fn record_failure(&mut self) {
        self.limit = (self.limit / 2.0).max(f64::from(self.bounds.cold));
        self.slow_start_threshold = self.limit;
    }

    /// Returns the limit to the cold bound.
    pub fn reset_to_cold(&mut self) {
        self.limit = f64::from(self.bounds.cold);
        self.slow_streak = 0;
        self.responses = 0;
        self.slow_start_threshold = f64::INFINITY;
    }

    /// Raises the limit by one per response, and above the limit after the last failure by about one per
    /// round of responses.
    fn increase(&mut self) {
        let step = match self.limit < self.slow_start_threshold {
            true => 1.0,
            false => 1.0 / self.limit,
        };
        self.limit = (self.limit + step).min(f64::from(self.bounds.warm));
    }
}
