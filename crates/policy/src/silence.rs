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

/// The times that the upstreams of one service took to begin their responses, smoothed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTimes {
    smoothed: Option<Smoothed>,
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
