//! Compares requests through the system with direct requests to the same upstream, in one run.

use std::{net::SocketAddr, time::Duration, time::Instant};

use serde::Serialize;
use smol_str::format_smolstr;

use super::ExperimentReport;
use crate::{
    bench::{
        spec::{BenchSpec, EngineSpec, PoolSpec},
        Bench,
    },
    error::LabError,
    load::{caller::RequestOutcome, summary::quantile, Caller, Observation, Operation, Request},
};

/// Concurrent callers; each has one request in flight.
const CALLERS: usize = 10;
/// Requests of each caller with each target, over all phases.
const ROUNDS: usize = 300;
/// Requests of each caller with each target before the measurement.
const WARM_UP_ROUNDS: usize = 20;
/// Phases, each with direct and with proxied requests, so that changes in the load of the machine
/// affect both alike.
const PHASES: usize = 4;
/// Concurrent streams while memory and the processor time for each token are measured.
const STREAMS: usize = 500;
/// Tokens of each stream.
const TOKENS_PER_STREAM: u32 = 100;
/// Required upper bound of proxied latency relative to direct latency.
const MAX_LATENCY_RATIO: f64 = 1.1;
/// Required upper bound of the resident memory of a daemon.
const MAX_DAEMON_BYTES: u64 = 128 * 1024 * 1024;

/// Latency in seconds, memory in bytes and processor time. Direct requests go to the upstream,
/// the others through an entry and a sidecar.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct OverheadReport {
    direct_p50: f64,
    #[serde(rename = "through_p50")]
    proxied_p50: f64,
    direct_p99: f64,
    #[serde(rename = "through_p99")]
    proxied_p99: f64,
    /// Difference of the median latencies, proxied less direct, at a service time of zero.
    added_p50_at_zero: f64,
    /// Proxied requests a second at a service time of zero.
    requests_per_second: f64,
    /// Proxied requests for each second of processor time of the entry, at a service time of zero.
    requests_per_entry_core_second: f64,
    /// Processor time of the entry for each token that it forwards, in microseconds.
    entry_us_per_token: f64,
    daemon_cpu_seconds: f64,
    daemon_peak_bytes: u64,
    failed: u64,
}

impl ExperimentReport for OverheadReport {
    fn requirements_met(&self) -> bool {
        self.failed == 0
            && self.proxied_p50 <= MAX_LATENCY_RATIO * self.direct_p50
            && self.proxied_p99 <= MAX_LATENCY_RATIO * self.direct_p99
            && self.daemon_peak_bytes < MAX_DAEMON_BYTES
    }
}

#[derive(Clone, Copy)]
enum Target {
    /// An upstream.
    Direct(SocketAddr),
    /// An entry and the pool to request from it.
    Proxied(SocketAddr, &'static str),
}

/// Runs the experiment.
pub async fn run() -> Result<OverheadReport, LabError> {
    let mut timed = PoolSpec::services("timed", 1, 20);
    let mut instant = PoolSpec::services("instant", 1, 0);
    timed.repeatable = true;
    instant.repeatable = true;
    let engine = EngineSpec {
        token_interval_ms: 20,
        cold_capacity: STREAMS as u32,
        ..EngineSpec::default()
    };
    let mut bench = Bench::start(BenchSpec {
        entries: 1,
        pools: vec![timed, instant, PoolSpec::engines("streams", 4, engine)],
        defaults: serde_json::json!({
            "max_concurrency": 1000,
            "cold_concurrency": 200,
            "queue_length": 1000,
        }),
        ..BenchSpec::default()
    })
    .await?;
    let entry = bench.caller_addresses()[0];
    let timed = bench.pool("timed")[0].service;
    let instant = bench.pool("instant")[0].service;

    // The callers reuse their connections in all phases, as real callers do.
    let callers: Vec<Caller> = (0..CALLERS).map(|_| Caller::default()).collect();
    let mut direct = Vec::new();
    let mut proxied = Vec::new();
    send_rounds(&callers, Target::Direct(timed), WARM_UP_ROUNDS).await;
    send_rounds(&callers, Target::Proxied(entry, "timed"), WARM_UP_ROUNDS).await;
    for _ in 0..PHASES {
        direct.extend(send_rounds(&callers, Target::Direct(timed), ROUNDS / PHASES).await);
        proxied
            .extend(send_rounds(&callers, Target::Proxied(entry, "timed"), ROUNDS / PHASES).await);
    }
    let direct_instant = send_rounds(&callers, Target::Direct(instant), ROUNDS).await;
    let entry_id = bench.processes().pid("entry-0");
    let cpu_before = cpu_seconds(entry_id)?;
    let started = Instant::now();
    let proxied_instant =
        send_rounds(&callers, Target::Proxied(entry, "instant"), ROUNDS * 4).await;
    let elapsed = started.elapsed().as_secs_f64();
    let entry_cpu = cpu_seconds(entry_id)? - cpu_before;
    let cpu_before = cpu_seconds(entry_id)?;
    let streams = run_streams(entry).await;
    let stream_cpu = cpu_seconds(entry_id)? - cpu_before;

    let latency = |observations: &[Observation], q| {
        quantile(
            observations
                .iter()
                .map(|observation| observation.total_time),
            q,
        )
    };
    let mut failed = 0;
    for observations in [
        &direct,
        &proxied,
        &direct_instant,
        &proxied_instant,
        &streams,
    ] {
        failed += observations
            .iter()
            .filter(|observation| observation.outcome != RequestOutcome::Ran)
            .count() as u64;
    }
    let mut peak = 0;
    let mut cpu = 0.0;
    for name in ["entry-0", "timed-0", "instant-0", "streams-0", "streams-1"] {
        let id = bench.processes().pid(name);
        peak = peak.max(peak_bytes(id)?);
        cpu += cpu_seconds(id)?;
    }
    Ok(OverheadReport {
        direct_p50: latency(&direct, 0.5),
        proxied_p50: latency(&proxied, 0.5),
        direct_p99: latency(&direct, 0.99),
        proxied_p99: latency(&proxied, 0.99),
        added_p50_at_zero: latency(&proxied_instant, 0.5) - latency(&direct_instant, 0.5),
        requests_per_second: proxied_instant.len() as f64 / elapsed,
        requests_per_entry_core_second: proxied_instant.len() as f64 / entry_cpu,
        entry_us_per_token: stream_cpu * 1e6 / (STREAMS as f64 * f64::from(TOKENS_PER_STREAM)),
        daemon_cpu_seconds: cpu,
        daemon_peak_bytes: peak,
        failed,
    })
}

async fn send_rounds(callers: &[Caller], target: Target, rounds: usize) -> Vec<Observation> {
    let callers = callers.iter().enumerate().map(|(n, caller)| async move {
        let mut observations = Vec::new();
        for round in 0..rounds {
            let pool = match target {
                Target::Direct(_) => "",
                Target::Proxied(_, pool) => pool,
            };
            let request = Request {
                id: format_smolstr!("{n}-{round}"),
                pool: pool.into(),
                workspace: format_smolstr!("workspace-{n}"),
                operation: Operation::Call { key: None },
                deadline: Duration::from_secs(10),
            };
            observations.push(match target {
                Target::Direct(upstream) => caller.send_direct(upstream, &request).await,
                Target::Proxied(entry, _) => caller.send(entry, &request).await,
            });
        }
        observations
    });
    let observations = futures_util::future::join_all(callers).await;
    observations.into_iter().flatten().collect()
}

/// Runs [`STREAMS`] concurrent streams to their end; each takes about two seconds.
async fn run_streams(entry: SocketAddr) -> Vec<Observation> {
    let caller = Caller::default();
    let streams = (0..STREAMS).map(|n| {
        let caller = caller.clone();
        async move {
            let request = Request {
                id: format_smolstr!("stream-{n}"),
                pool: "streams".into(),
                workspace: "streams".into(),
                operation: Operation::Generate {
                    tokens: TOKENS_PER_STREAM,
                    crash: false,
                },
                deadline: Duration::from_secs(30),
            };
            caller.send(entry, &request).await
        }
    });
    futures_util::future::join_all(streams).await
}

/// Unit of `utime` and `stime` in /proc: hundredths of a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of `utime` among the fields after the name of the process in /proc/ID/stat; `stime` is next.
const UTIME_FIELD: usize = 11;

/// Processor time that a process has used, in user and system mode; 0 without an ID.
pub fn cpu_seconds(id: Option<u32>) -> Result<f64, LabError> {
    let Some(id) = id else {
        return Ok(0.0);
    };
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse().ok()).unwrap_or(0.0);
    Ok((ticks(UTIME_FIELD) + ticks(UTIME_FIELD + 1)) / TICKS_PER_SECOND)
}

/// Peak resident memory of a process; 0 without an ID.
pub fn peak_bytes(id: Option<u32>) -> Result<u64, LabError> {
    match id {
        Some(id) => read_memory_field(&format!("/proc/{id}/status"), "VmHWM:"),
        None => Ok(0),
    }
}

/// Current resident memory of this process.
pub fn resident_bytes() -> Result<u64, LabError> {
    read_memory_field("/proc/self/status", "VmRSS:")
}

fn read_memory_field(file: &str, field: &str) -> Result<u64, LabError> {
    let status = std::fs::read_to_string(file)?;
    let line = status.lines().find(|line| line.starts_with(field));
    let kilobytes = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    Ok(kilobytes.unwrap_or(0) * 1024)
}
