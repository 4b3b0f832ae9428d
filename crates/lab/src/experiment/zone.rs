//! A data centre leaves and returns under load.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::{
    fleet::{doubled, mixed_load, pass, runs, small_fleet, unix_ms},
    Outcome,
};
use crate::{
    bench::{control::get_json, spec::DATA_CENTRES, Bench},
    error::LabError,
    load::{summary::p99_time_to_first_byte, Driver, Observation, Summary},
    options::ZonePolicy,
    standin::engine::EngineCounts,
};

/// Warming up, before anything is measured.
const WARM_UP_SECONDS: f64 = 12.0;
/// New work may reach the data centre for this long after the declaration.
const MAX_NEW_WORK_SECONDS: f64 = 2.0;
/// The p99 with the data centre out, relative to before.
const MAX_P99_RATIO: f64 = 1.2;

/// What was seen while a data centre left and returned; durations in seconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Zone {
    requests: u64,
    lost: u64,
    doubled: u64,
    cut: u64,
    not_run: u64,
    unknown: u64,
    new_work_after_out_seconds: f64,
    p99_before: f64,
    p99_during: f64,
    p99_after: f64,
    cold_overload: u64,
}

impl Outcome for Zone {
    fn promises_held(&self) -> bool {
        self.lost == 0
            && self.doubled == 0
            && self.cut == 0
            && self.cold_overload == 0
            && self.new_work_after_out_seconds <= MAX_NEW_WORK_SECONDS
            && self.p99_during <= MAX_P99_RATIO * self.p99_before
    }
}

/// Runs the experiment; each of its three parts takes `seconds`.
pub async fn run(policy: ZonePolicy, seed: u64, seconds: u64) -> Result<Zone, LabError> {
    let mut spec = small_fleet();
    spec.policy.two_choices = policy == ZonePolicy::Gate;
    spec.policy.gate = policy == ZonePolicy::Gate;
    let mut bench = Bench::start(spec).await?;
    let leaving = DATA_CENTRES[(seed % DATA_CENTRES.len() as u64) as usize];
    let part = seconds as f64;
    let driver = Driver::start(mixed_load(100.0, 30.0, 20), bench.caller_addresses(), seed);
    pass(WARM_UP_SECONDS).await;
    let before = Instant::now();
    pass(part).await;
    bench.spec_mut().out_of_service.insert(leaving.name);
    let (out, out_ms) = (Instant::now(), unix_ms());
    bench.publish().await?;
    pass(part).await;
    bench.spec_mut().out_of_service.clear();
    let (back, back_ms) = (Instant::now(), unix_ms());
    bench.publish().await?;
    pass(part).await;
    let seen = driver.finish().await;

    let summary = Summary::of(&seen);
    let mut last_new_work = 0;
    let mut cold_overload = 0;
    for host in &bench.upstreams {
        let counts: EngineCounts = match host.pool.as_deref() {
            Some("order-desk") => EngineCounts::default(),
            _ => get_json(host.service, "/lab/counts").await?,
        };
        cold_overload += counts.cold_overload;
        if host.data_centre == leaving {
            let during = runs(&bench, host)?.into_iter().map(|run| run.at_ms);
            let during = during.filter(|at| (out_ms..back_ms).contains(at));
            last_new_work = during.max().unwrap_or(0).max(last_new_work);
        }
    }
    let new_work = Duration::from_millis(last_new_work.saturating_sub(out_ms));
    Ok(Zone {
        requests: summary.requests,
        lost: summary.lost,
        doubled: doubled(&bench, "order-desk")?,
        cut: summary.cut,
        not_run: summary.not_run,
        unknown: summary.unknown,
        new_work_after_out_seconds: new_work.as_secs_f64(),
        p99_before: engine_p99(&seen, before, out),
        p99_during: engine_p99(&seen, out, back),
        p99_after: engine_p99(&seen, back, Instant::now()),
        cold_overload,
    })
}

fn engine_p99(seen: &[Observation], from: Instant, to: Instant) -> f64 {
    let between = |one: &&Observation| one.sent_at >= from && one.sent_at < to;
    let engines = |one: &&Observation| one.request.pool == "deck-model";
    p99_time_to_first_byte(seen.iter().filter(between).filter(engines))
}
