//! Publishes declarations during an outage of the configuration service, stale reads and restarts of
//! sidecars.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use balsamjunction_protocol::{paths, PeerStatus};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde_json::json;
use smol_str::SmolStr;

use super::{
    fleet::sleep_seconds,
    overhead::{cpu_seconds, peak_bytes},
    ExperimentReport,
};
use crate::{
    bench::{
        control::get_json,
        spec::{BenchSpec, PoolSpec, FAST_LINKS},
        Bench, Host,
    },
    error::LabError,
    load::summary::quantile,
    standin::document::{CallCounts, DocumentFaults},
};

/// Required upper bound of the 99th percentile of the time until all daemons apply a declaration.
const MAX_IN_FORCE_SECONDS: f64 = 6.0;
/// Declarations published in each of the phases without an outage.
const REVISIONS: usize = 8;
/// Interval between queries of the daemons' revisions.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Idle time over which calls to the configuration service and processor time are counted.
const IDLE_SECONDS: f64 = 12.0;
/// Duration of the outage of the configuration service.
const OUTAGE_SECONDS: f64 = 3.0;

/// Times until declarations were in force, reverted declarations, and the cost of idle daemons.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ConfigReport {
    hosts: usize,
    revisions: usize,
    in_force_p99_seconds: f64,
    /// Observations of a daemon with a lower revision than it had before.
    reverted: u64,
    /// Calls a second to the configuration service while idle; a waiting watch counts as one call.
    service_calls_per_second: f64,
    waiting_watches: u64,
    /// Mean processor time of a daemon while idle, in percent of a core.
    idle_core_percent: f64,
    /// Highest peak of resident memory of all daemons.
    daemon_peak_bytes: u64,
}

impl ExperimentReport for ConfigReport {
    fn requirements_met(&self) -> bool {
        self.reverted == 0 && self.in_force_p99_seconds <= MAX_IN_FORCE_SECONDS
    }
}

/// Tracks the revisions that daemons apply.
struct RevisionTracker {
    /// Highest revision observed, by host.
    highest: BTreeMap<SmolStr, u64>,
    /// Time until each declaration was in force on all daemons.
    in_force_times: Vec<Duration>,
    reverted: u64,
}

/// Runs the experiment with `hosts` sidecars and three entries.
pub async fn run(seed: u64, hosts: usize) -> Result<ConfigReport, LabError> {
    let mut bench = Bench::start(BenchSpec {
        pools: vec![PoolSpec::services("order-desk", hosts, 1)],
        network: Some(FAST_LINKS),
        ..BenchSpec::default()
    })
    .await?;
    let mut tracker = RevisionTracker {
        highest: BTreeMap::new(),
        in_force_times: Vec::new(),
        reverted: 0,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut revisions = 0;

    for _ in 0..REVISIONS {
        revisions += 1;
        publish_change(&mut bench, &mut rng).await?;
        tracker.wait_in_force(&bench, Instant::now()).await?;
    }
    let cpu_before = daemon_cpu_seconds(&mut bench)?;
    let (calls, waiting) = idle_calls(&bench).await?;
    let idle_cores = (daemon_cpu_seconds(&mut bench)? - cpu_before) / IDLE_SECONDS;
    let daemons = (bench.upstreams.len() + bench.entries.len()) as f64;
    let peak_memory = daemon_peak_bytes(&mut bench)?;

    // A declaration is published during the outage; a restarted sidecar must receive its declaration from
    // peers.
    let down = DocumentFaults {
        down: true,
        ..DocumentFaults::default()
    };
    bench.set_config_faults(down).await?;
    revisions += 1;
    publish_change(&mut bench, &mut rng).await?;
    restart_random_sidecar(&mut bench, &mut rng).await?;
    tracker.poll(&bench).await;
    sleep_seconds(OUTAGE_SECONDS).await;
    tracker.poll(&bench).await;
    bench.set_config_faults(DocumentFaults::default()).await?;
    tracker.wait_in_force(&bench, Instant::now()).await?;

    // With stale reads, the service returns the first declaration; a restarted sidecar must not revert to it.
    let stale = DocumentFaults {
        stale: true,
        ..DocumentFaults::default()
    };
    for _ in 0..REVISIONS {
        bench.set_config_faults(stale).await?;
        restart_random_sidecar(&mut bench, &mut rng).await?;
        tracker.poll(&bench).await;
        bench.set_config_faults(DocumentFaults::default()).await?;
        revisions += 1;
        publish_change(&mut bench, &mut rng).await?;
        tracker.wait_in_force(&bench, Instant::now()).await?;
    }
    Ok(ConfigReport {
        hosts,
        revisions,
        in_force_p99_seconds: quantile(tracker.in_force_times.iter().copied(), 0.99),
        reverted: tracker.reverted,
        service_calls_per_second: calls,
        waiting_watches: waiting,
        idle_core_percent: 100.0 * idle_cores / daemons,
        daemon_peak_bytes: peak_memory,
    })
}

fn daemon_pids(bench: &mut Bench) -> Vec<Option<u32>> {
    let hosts: Vec<Host> = bench
        .upstreams
        .iter()
        .chain(&bench.entries)
        .cloned()
        .collect();
    hosts
        .iter()
        .map(|host| bench.processes().pid(&host.name))
        .collect()
}

fn daemon_cpu_seconds(bench: &mut Bench) -> Result<f64, LabError> {
    daemon_pids(bench).into_iter().map(cpu_seconds).sum()
}

fn daemon_peak_bytes(bench: &mut Bench) -> Result<u64, LabError> {
    let peaks: Result<Vec<u64>, _> = daemon_pids(bench).into_iter().map(peak_bytes).collect();
    Ok(peaks?.into_iter().max().unwrap_or(0))
}

async fn publish_change(bench: &mut Bench, rng: &mut Pcg64Mcg) -> Result<u64, LabError> {
    let deadline = rng.random_range(1_000..60_000);
    bench.spec_mut().defaults = json!({"deadline_ms": deadline});
    bench.publish().await
}

async fn idle_calls(bench: &Bench) -> Result<(f64, u64), LabError> {
    let before: CallCounts = get_json(bench.config_address(), "/lab/calls").await?;
    sleep_seconds(IDLE_SECONDS).await;
    let after: CallCounts = get_json(bench.config_address(), "/lab/calls").await?;
    let per_second = (after.calls - before.calls) as f64 / IDLE_SECONDS;
    Ok((per_second, after.waiting))
}

async fn restart_random_sidecar(bench: &mut Bench, rng: &mut Pcg64Mcg) -> Result<(), LabError> {
    let hosts = bench.upstreams.clone();
    let host = &hosts[rng.random_range(0..hosts.len())];
    bench.processes().kill(&host.name)?;
    bench.processes().restart(&host.name)?;
    bench.wait_host_ready(host).await
}

impl RevisionTracker {
    /// Queries every daemon once; returns the lowest revision in force, or 0 if a daemon is not ready.
    async fn poll(&mut self, bench: &Bench) -> u64 {
        let hosts: Vec<&Host> = bench.upstreams.iter().chain(&bench.entries).collect();
        let statuses = hosts
            .iter()
            .map(|host| get_json::<PeerStatus>(host.private, paths::STATUS));
        let statuses = futures_util::future::join_all(statuses).await;
        let mut lowest = u64::MAX;
        for (host, status) in hosts.iter().zip(statuses) {
            let Some(status) = status.ok().filter(|status| status.ready) else {
                lowest = 0;
                continue;
            };
            let highest = self.highest.entry(host.name.clone()).or_default();
            self.reverted += u64::from(status.revision < *highest);
            *highest = status.revision.max(*highest);
            lowest = lowest.min(status.revision);
        }
        lowest
    }

    /// Waits until the last published declaration is in force on all daemons.
    async fn wait_in_force(&mut self, bench: &Bench, started_at: Instant) -> Result<(), LabError> {
        let target_revision = bench.revision();
        while self.poll(bench).await < target_revision {
            if started_at.elapsed().as_secs_f64() > 10.0 * MAX_IN_FORCE_SECONDS {
                let seconds = started_at.elapsed().as_secs();
                let what = "a declaration to be in force on all daemons";
                return Err(LabError::Timeout { what, seconds });
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        self.in_force_times.push(started_at.elapsed());
        Ok(())
    }
}
