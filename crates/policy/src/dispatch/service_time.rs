//! The relative service time that upstreams state: how long work takes on their host at the moment.
//!
//! A value holds for some hundred milliseconds only, and a gateway sees it only in responses. [`ServiceTime`] keeps the
//! last value of one upstream and estimates the present one from its age; [`Persistence`] learns from all upstreams of a
//! service how long a deviation from nominal lasts. See docs/design/service-time.md.

use super::upstream::SLOWDOWN_RANGE;
use crate::Moment;

/// Time constants that [`Persistence`] compares, in milliseconds. Values that persist for less than the shortest one
/// are out of date when a response arrives; those that persist for more than the longest one hardly decay between
/// responses.
const TIME_CONSTANTS_MS: [f64; 9] = [
    50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, 6_400.0, 12_800.0,
];
/// Index of the time constant that is used before any value was seen to change or to persist.
const INITIAL_TIME_CONSTANT: usize = 3;
/// Squared error, for each step away from the initial time constant, that the first pairs of values must outweigh, so
/// that a single pair does not decide.
const PRIOR_ERROR: f64 = 0.05;
/// Weight of the previous squared errors when a pair of values is added: about the last 30 pairs count.
const ERROR_DECAY: f64 = 0.97;
/// Smallest deviation from nominal from which persistence is learned. The decay of a smaller one cannot be told from
/// noise.
const MIN_DEVIATION: f64 = 0.1;
/// Bounds of the ratio between observed and stated service time. It must be able to cancel any stated value, so that
/// observed times correct an upstream whose statements are false.
const CORRECTION_RANGE: (f64, f64) = (1.0 / SLOWDOWN_RANGE.1, SLOWDOWN_RANGE.1);

/// The load that a response reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests of all entries that run there.
    pub running: u32,
    /// Requests of all entries that wait there.
    pub waiting: u32,
    /// Service time relative to nominal in percent, if the upstream states it.
    pub service_time_percent: Option<u32>,
}

impl LoadReport {
    /// The requests of all entries that run or wait there.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// A relative service time as an upstream stated it, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedServiceTime {
    /// The value in percent of nominal, limited to what is applied.
    pub percent: u32,
    /// Time since it was seen.
    pub age: Moment,
}

/// A relative service time and when it was seen.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Stated {
    /// A multiple of the nominal service time, within [`SLOWDOWN_RANGE`].
    value: f64,
    seen_at: Moment,
}

/// The relative service time of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    stated: Option<Stated>,
    time_constant_s: f64,
}

impl ServiceTime {
    /// Records a stated value, and adds what it shows of the previous one to `persistence`.
    pub fn record(&mut self, now: Moment, percent: u32, persistence: &mut Persistence) {
        let (min, max) = SLOWDOWN_RANGE;
        let value = (f64::from(percent) / 100.0).clamp(min, max);
        if let Some(previous) = self.stated {
            let elapsed = now.saturating_sub(previous.seen_at);
            persistence.record(previous.value, value, elapsed);
        }
        self.stated = Some(Stated {
            value,
            seen_at: now,
        });
    }

    /// Sets the time constant with which the value decays towards nominal.
    pub fn set_time_constant(&mut self, time_constant: Moment) {
        self.time_constant_s = time_constant.as_secs_f64();
    }

    /// Returns the present value as a multiple of the nominal service time; `None` if none was ever stated.
    pub fn estimate(&self, now: Moment) -> Option<f64> {
        let stated = self.stated?;
        let age = now.saturating_sub(stated.seen_at).as_secs_f64();
        let remaining = (-age / self.time_constant_s.max(f64::EPSILON)).exp();
        Some(1.0 + (stated.value - 1.0) * remaining)
    }

    /// Returns the last stated value and its age.
    pub fn stated(&self, now: Moment) -> Option<StatedServiceTime> {
        let stated = self.stated?;
        Some(StatedServiceTime {
            percent: (stated.value * 100.0).round() as u32,
            age: now.saturating_sub(stated.seen_at),
        })
    }

    /// Returns the observed slowdown with the stated service time applied; unchanged if none was ever stated.
    pub fn apply(&self, now: Moment, observed: f64) -> f64 {
        let (min, max) = SLOWDOWN_RANGE;
        self.estimate(now)
            .map_or(observed, |stated| (observed * stated).clamp(min, max))
    }

    /// Returns the slowdown that an observed time shows beyond what the upstream stated with the same response.
    /// `ratio` is the observed time as a multiple of the nominal one.
    pub fn unexplained(&self, ratio: f64) -> f64 {
        let (min, max) = match self.stated {
            Some(_) => CORRECTION_RANGE,
            None => SLOWDOWN_RANGE,
        };
        let stated = self.stated.map_or(1.0, |stated| stated.value);
        (ratio / stated).clamp(min, max)
    }
}

/// How long a deviation from the nominal service time lasts at the upstreams of one service.
///
/// Each pair of successive values of an upstream shows how well each time constant would have predicted the second from
/// the first. The one with the smallest squared error over the last pairs is used.
#[derive(Clone, Debug)]
pub struct Persistence {
    errors: [f64; TIME_CONSTANTS_MS.len()],
}

impl Default for Persistence {
    fn default() -> Self {
        Self {
            errors: std::array::from_fn(|n| PRIOR_ERROR * n.abs_diff(INITIAL_TIME_CONSTANT) as f64),
        }
    }
}

impl Persistence {
    /// Records that an upstream stated `later`, a time of `elapsed` after `earlier`; both are multiples of the nominal
    /// service time.
    pub fn record(&mut self, earlier: f64, later: f64, elapsed: Moment) {
        let deviation = earlier - 1.0;
        if deviation.abs() < MIN_DEVIATION || elapsed.is_zero() {
            return;
        }
        let elapsed_ms = elapsed.as_secs_f64() * 1e3;
        for (error, time_constant_ms) in self.errors.iter_mut().zip(TIME_CONSTANTS_MS) {
            let predicted = deviation * (-elapsed_ms / time_constant_ms).exp();
            // Relative to the deviation, so that large ones do not outweigh all others.
            let sample = ((later - 1.0 - predicted) / deviation).clamp(-1.0, 1.0);
            *error = ERROR_DECAY * *error + sample * sample;
        }
    }

    /// Returns the time constant with which values decay towards nominal.
    pub fn time_constant(&self) -> Moment {
        let candidates = self.errors.iter().zip(TIME_CONSTANTS_MS);
        let best = candidates.min_by(|(a, _), (b, _)| a.total_cmp(b));
        let initial = TIME_CONSTANTS_MS[INITIAL_TIME_CONSTANT];
        Moment::from_secs_f64(best.map_or(initial, |(_, ms)| ms) / 1e3)
    }
}
