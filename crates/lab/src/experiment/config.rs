//! Declarations under an outage of the service, stale reads and restarts.

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
    fleet::pass,
    overhead::{cpu_seconds, peak_bytes},
    Outcome,
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

/// The stated bound for a declaration to be in force everywhere.
const MAX_IN_FORCE_SECONDS: f64 = 6.0;
/// Declarations published in each part.
const REVISIONS: usize = 8;
/// How often daemons are asked for their revision.
const POLL: Duration = Duration::from_millis(20);
/// Time over which calls to the service are counted while nothing happens.
const QUIET_SECONDS: f64 = 12.0;
/// Length of the outage.
const OUTAGE_SECONDS: f64 = 3.0;

/// What became of declarations; durations in seconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Config {
    hosts: usize,
    revisions: usize,
    in_force_p99_seconds: f64,
    reverted: u64,
    /// Calls a second to the service in quiet times, each waiting watch counted as one.
    service_calls_per_second: f64,
    waiting_watches: u64,
    /// Processor time of a daemon in quiet times, in percent of a core, on average.
    idle_core_percent: f64,
    /// The most memory that any daemon has held.
    daemon_peak_bytes: u64,
}

impl Outcome for Config {
    fn promises_held(&self) -> bool {
        self.reverted == 0 && self.in_force_p99_seconds <= MAX_IN_FORCE_SECONDS
    }
}

struct Watcher {
    highest: BTreeMap<SmolStr, u64>,
    took: Vec<Duration>,
    reverted: u64,
}

/// Runs the experiment with `hosts` sidecars and three entries.
pub async fn run(seed: u64, hosts: usize) -> Result<Config, LabError> {
    let mut bench = Bench::start(BenchSpec {
        pools: vec![PoolSpec::services("order-desk", hosts, 1)],
        network: Some(FAST_LINKS),
        ..BenchSpec::default()
    })
    .await?;
    let mut watcher = Watcher {
        highest: BTreeMap::new(),
        took: Vec::new(),
        reverted: 0,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut revisions = 0;

    for _ in 0..REVISIONS {
        revisions += 1;
        change(&mut bench, &mut rng).await?;
        watcher.wait(&bench, Instant::now()).await?;
    }
    let cpu_before = daemon_cpu_seconds(&mut bench)?;
    let (calls, waiting) = quiet_calls(&bench).await?;
    let idle = (daemon_cpu_seconds(&mut bench)? - cpu_before) / QUIET_SECONDS;
    let daemons = (bench.upstreams.len() + bench.entries.len()) as f64;
    let peak = daemon_peak_bytes(&mut bench)?;

    // During the outage, declarations pile up; processes restart and must learn from peers.
    let down = DocumentFaults {
        down: true,
        ..DocumentFaults::default()
    };
    bench.set_config_faults(down).await?;
    revisions += 1;
    change(&mut bench, &mut rng).await?;
    restart_some(&mut bench, &mut rng).await?;
    watcher.look(&bench).await;
    pass(OUTAGE_SECONDS).await;
    watcher.look(&bench).await;
    bench.set_config_faults(DocumentFaults::default()).await?;
    watcher.wait(&bench, Instant::now()).await?;

    // A stale service serves the first declaration; processes restart into it.
    let stale = DocumentFaults {
        stale: true,
        ..DocumentFaults::default()
    };
    for _ in 0..REVISIONS {
        bench.set_config_faults(stale).await?;
        restart_some(&mut bench, &mut rng).await?;
        watcher.look(&bench).await;
        bench.set_config_faults(DocumentFaults::default()).await?;
        revisions += 1;
        change(&mut bench, &mut rng).await?;
        watcher.wait(&bench, Instant::now()).await?;
    }
    Ok(Config {
        hosts,
        revisions,
        in_force_p99_seconds: quantile(watcher.took.iter().copied(), 0.99),
        reverted: watcher.reverted,
        service_calls_per_second: calls,
        waiting_watches: waiting,
        idle_core_percent: 100.0 * idle / daemons,
        daemon_peak_bytes: peak,
    })
}

fn daemon_ids(bench: &mut Bench) -> Vec<Option<u32>> {
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
    daemon_ids(bench).into_iter().map(cpu_seconds).sum()
}

fn daemon_peak_bytes(bench: &mut Bench) -> Result<u64, LabError> {
    let peaks: Result<Vec<u64>, _> = daemon_ids(bench).into_iter().map(peak_bytes).collect();
    Ok(peaks?.into_iter().max().unwrap_or(0))
}

async fn change(bench: &mut Bench, rng: &mut Pcg64Mcg) -> Result<u64, LabError> {
    let deadline = rng.random_range(1_000..60_000);
    bench.spec_mut().defaults = json!({"deadline_ms": deadline});
    bench.publish().await
}

async fn quiet_calls(bench: &Bench) -> Result<(f64, u64), LabError> {
    let before: CallCounts = get_json(bench.config_address(), "/lab/calls").await?;
    pass(QUIET_SECONDS).await;
    let after: CallCounts = get_json(bench.config_address(), "/lab/calls").await?;
    let per_second = (after.calls - before.calls) as f64 / QUIET_SECONDS;
    Ok((per_second, after.waiting))
}

async fn restart_some(bench: &mut Bench, rng: &mut Pcg64Mcg) -> Result<(), LabError> {
    let hosts = bench.upstreams.clone();
    let host = &hosts[rng.random_range(0..hosts.len())];
    bench.processes().kill(&host.name)?;
    bench.processes().restart(&host.name)?;
    bench.wait_host_ready(host).await
}

impl Watcher {
    /// Looks once at every daemon; gives the least revision that is in force.
    async fn look(&mut self, bench: &Bench) -> u64 {
        let hosts: Vec<&Host> = bench.upstreams.iter().chain(&bench.entries).collect();
        let statuses = hosts
            .iter()
            .map(|host| get_json::<PeerStatus>(host.private, paths::STATUS));
        let statuses = futures_util::future::join_all(statuses).await;
        let mut least = u64::MAX;
        for (host, status) in hosts.iter().zip(statuses) {
            let Some(status) = status.ok().filter(|status| status.ready) else {
                least = 0;
                continue;
            };
            let highest = self.highest.entry(host.name.clone()).or_default();
            self.reverted += u64::from(status.revision < *highest);
            *highest = status.revision.max(*highest);
            least = least.min(status.revision);
        }
        least
    }

    /// Waits until the last published declaration is in force everywhere.
    async fn wait(&mut self, bench: &Bench, since: Instant) -> Result<(), LabError> {
        let wanted = bench.revision();
        while self.look(bench).await < wanted {
            if since.elapsed().as_secs_f64() > 10.0 * MAX_IN_FORCE_SECONDS {
                let seconds = since.elapsed().as_secs();
                let what = "a declaration in force everywhere";
                return Err(LabError::Waited { what, seconds });
            }
            actix_rt::time::sleep(POLL).await;
        }
        self.took.push(since.elapsed());
        Ok(())
    }
}
