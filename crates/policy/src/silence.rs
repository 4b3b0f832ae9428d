//! Decides how long an upstream may be silent before the request is also sent to another one.
//!
//! A fixed time cannot tell a dead upstream from one whose queue is long: when all queues of a service are long, it
//! would send every request twice and so lengthen them. [`ResponseTimes`] therefore follows what the upstreams of
//! a service take at present, as TCP follows round-trip times (RFC 6298). See docs/ROUTING.md, "Silence".

use crate::Moment;

/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new sample in the mean deviation.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Mean deviations above the mean from which a silence is unusual.
const DEVIATION_FACTOR: f64 = 4.0;
/// Age of the last sample above which the samples say nothing about the present.
const MAX_SAMPLE_AGE: Moment = Moment::from_secs(3);

/// Fraction of the responses that take at most the usual time.
const USUAL_QUANTILE: f64 = 0.75;
/// Largest relative step of the usual time at one sample. A single long response raises it by 15%.
const USUAL_GAIN: f64 = 0.2;

/// The times that the upstreams of one service took to begin their responses, smoothed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTimes {
    smoothed: Option<Smoothed>,
    usual_s: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Smoothed {
    mean_s: f64,
    deviation_s: f64,
    sampled_at: Moment,
}

impl ResponseTimes {
    /// Records that an upstream began to respond after `took`.
    pub fn record(&mut self, now: Moment, took: Moment) {
        let took_s = took.as_secs_f64();
        let recent = self.smoothed.filter(|s| s.is_recent(now));
        let smoothed = match recent {
            None => Smoothed {
                mean_s: took_s,
                deviation_s: took_s / 2.0,
                sampled_at: now,
            },
            Some(Smoothed {
                mean_s,
                deviation_s,
                ..
            }) => Smoothed {
                mean_s: mean_s + MEAN_GAIN * (took_s - mean_s),
                deviation_s: deviation_s + DEVIATION_GAIN * ((took_s - mean_s).abs() - deviation_s),
                sampled_at: now,
            },
        };
        self.smoothed = Some(smoothed);
        let usual_s = self.usual_s.unwrap_or(took_s);
        // Stochastic approximation of a quantile: the steps balance where the fraction of longer samples is one minus it.
        let step = match took_s > usual_s {
            true => USUAL_QUANTILE,
            false => USUAL_QUANTILE - 1.0,
        };
        self.usual_s = Some(usual_s * (1.0 + USUAL_GAIN * step));
    }

    /// Returns the time within which three of four responses begin, as far as it is known. Unlike
    /// [`Self::silence_limit`], it hardly depends on how long the longest ones take.
    pub fn usual(&self) -> Option<Moment> {
        self.usual_s.map(Moment::from_secs_f64)
    }

    /// Returns the silence after which a request is also sent to another upstream: `floor`, or longer while the
    /// upstreams of the service take longer at present.
    pub fn silence_limit(&self, now: Moment, floor: Moment) -> Moment {
        let recent = self.smoothed.filter(|s| s.is_recent(now));
        let usual = recent.map(|s| s.mean_s + DEVIATION_FACTOR * s.deviation_s);
        usual.map_or(floor, |usual| floor.max(Moment::from_secs_f64(usual)))
    }
}

impl Smoothed {
    fn is_recent(&self, now: Moment) -> bool {
        now.saturating_sub(self.sampled_at) <= MAX_SAMPLE_AGE
    }
}
