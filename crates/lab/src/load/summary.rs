//! What many callers saw, counted.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::caller::{Observation, RequestOutcome};

/// Counts of fates.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Summary {
    /// All requests.
    pub requests: u64,
    /// Whole answers.
    pub ran: u64,
    /// Answers `not-run`.
    pub not_run: u64,
    /// Answers `unknown`.
    pub unknown: u64,
    /// No answer, or one that was not whole or not the caller's own without saying so.
    pub lost: u64,
    /// Answers that broke off.
    pub cut: u64,
    /// Whole answers from more than one version.
    pub mixed_versions: u64,
}

impl Summary {
    /// Counts what was seen.
    pub fn of(seen: &[Observation]) -> Self {
        let mut summary = Self::default();
        for one in seen {
            summary.requests += 1;
            summary.mixed_versions += u64::from(one.versions.len() > 1);
            match one.outcome {
                RequestOutcome::Ran => summary.ran += 1,
                RequestOutcome::NotRun => summary.not_run += 1,
                RequestOutcome::Unknown => summary.unknown += 1,
                RequestOutcome::Cut => summary.cut += 1,
                RequestOutcome::Lost | RequestOutcome::Invalid => summary.lost += 1,
            }
        }
        summary
    }
}

/// A quantile of some durations in seconds; zero if there are none.
pub fn quantile(durations: impl Iterator<Item = Duration>, quantile: f64) -> f64 {
    // A minute at three digits, which is finer than the machine's noise.
    let histogram = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3);
    let mut histogram = histogram.expect("the bounds are fixed and valid");
    for duration in durations {
        histogram.saturating_record(duration.as_micros() as u64);
    }
    histogram.value_at_quantile(quantile) as f64 / 1e6
}

/// The p99 time to the first byte of whole answers, in seconds.
pub fn p99_time_to_first_byte<'a>(seen: impl Iterator<Item = &'a Observation>) -> f64 {
    let ran = seen.filter(|one| one.outcome == RequestOutcome::Ran);
    quantile(ran.map(|one| one.time_to_first_byte), 0.99)
}
