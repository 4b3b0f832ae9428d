//! Takes a data centre out of service and returns it under load.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::{
    fleet::{count_repeated_runs, mixed_load, read_runs, sleep_seconds, small_fleet, unix_ms},
    ExperimentReport,
};
use crate::{
    bench::{control::get_json, spec::DATA_CENTRES, Bench},
    error::LabError,
    load::{summary::p99_time_to_first_byte, Driver, Observation, Summary},
    options::ZonePolicy,
    standin::engine::EngineCounts,
};

/// Load before the measurement, while engines warm up.
const WARM_UP_SECONDS: f64 = 12.0;
/// Required upper bound of the time after the declaration in which new requests may start in the data centre.
const MAX_NEW_WORK_SECONDS: f64 = 2.0;
/// Required upper bound of the p99 with the data centre out of service, relative to before.
const MAX_P99_RATIO: f64 = 1.2;

/// The outcomes of requests and p99 latencies before, during and after the time without the data
/// centre; durations in seconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ZoneReport {
    requests: u64,
    lost: u64,
    /// Request IDs that ran more than once in the pool order-desk.
    doubled: u64,
    cut: u64,
    not_run: u64,
    unknown: u64,
    /// Time from the declaration to the last start of a request in the data centre.
    new_work_after_out_seconds: f64,
    p99_before: f64,
    p99_during: f64,
    p99_after: f64,
    /// Requests that cold engines received beyond their capacity.
    cold_overload: u64,
}

impl ExperimentReport for ZoneReport {
    fn requirements_met(&self) -> bool {
        self.lost == 0
            && self.doubled == 0
            && self.cut == 0
            && self.cold_overload == 0
            && self.new_work_after_out_seconds <= MAX_NEW_WORK_SECONDS
            && self.p99_during <= MAX_P99_RATIO * self.p99_before
    }
}

/// Runs the experiment; each of its three phases takes `seconds`.
pub async fn run(policy: ZonePolicy, seed: u64, seconds: u64) -> Result<ZoneReport, LabError> {
    let mut spec = small_fleet();
    spec.policy.two_choices = policy == ZonePolicy::Gate;
    spec.policy.gate = policy == ZonePolicy::Gate;
    let mut bench = Bench::start(spec).await?;
    let leaving = DATA_CENTRES[(seed % DATA_CENTRES.len() as u64) as usize];
    let phase = seconds as f64;
    let driver = Driver::start(mixed_load(100.0, 30.0, 20), bench.caller_addresses(), seed);
    sleep_seconds(WARM_UP_SECONDS).await;
    let before_at = Instant::now();
    sleep_seconds(phase).await;
    bench.spec_mut().out_of_service.insert(leaving.name);
    let (out_at, out_ms) = (Instant::now(), unix_ms());
    bench.publish().await?;
    sleep_seconds(phase).await;
    bench.spec_mut().out_of_service.clear();
    let (back_at, back_ms) = (Instant::now(), unix_ms());
    bench.publish().await?;
    sleep_seconds(phase).await;
    let observations = driver.finish().await;

    let summary = Summary::of(&observations);
    let mut last_new_work_ms = 0;
    let mut cold_overload = 0;
    for host in &bench.upstreams {
        let counts: EngineCounts = match host.pool.as_deref() {
            Some("order-desk") => EngineCounts::default(),
            _ => get_json(host.service, "/lab/counts").await?,
        };
        cold_overload += counts.cold_overload;
        if host.data_centre == leaving {
            let start_times = read_runs(&bench, host)?
                .into_iter()
                .map(|run| run.started_ms);
            let start_times =
                start_times.filter(|started_ms| (out_ms..back_ms).contains(started_ms));
            last_new_work_ms = start_times.max().unwrap_or(0).max(last_new_work_ms);
        }
    }
    let new_work = Duration::from_millis(last_new_work_ms.saturating_sub(out_ms));
    Ok(ZoneReport {
        requests: summary.requests,
        lost: summary.lost,
        doubled: count_repeated_runs(&bench, "order-desk")?,
        cut: summary.cut,
        not_run: summary.not_run,
        unknown: summary.unknown,
        new_work_after_out_seconds: new_work.as_secs_f64(),
        p99_before: engine_p99(&observations, before_at, out_at),
        p99_during: engine_p99(&observations, out_at, back_at),
        p99_after: engine_p99(&observations, back_at, Instant::now()),
        cold_overload,
    })
}

fn engine_p99(observations: &[Observation], from: Instant, to: Instant) -> f64 {
    let between =
        |observation: &&Observation| observation.sent_at >= from && observation.sent_at < to;
    let engines = |observation: &&Observation| observation.request.pool == "deck-model";
    p99_time_to_first_byte(observations.iter().filter(between).filter(engines))
}
