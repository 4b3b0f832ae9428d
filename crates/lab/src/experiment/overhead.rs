//! Through the system against straight to the stand-in, in one run.

use std::{net::SocketAddr, time::Duration, time::Instant};

use serde::Serialize;
use smol_str::format_smolstr;

use super::Outcome;
use crate::{
    bench::{
        spec::{BenchSpec, EngineSpec, PoolSpec},
        Bench,
    },
    error::LabError,
    load::{caller::RequestOutcome, summary::quantile, Caller, Observation, Operation, Request},
};

/// Callers that send one request after the other.
const CALLERS: usize = 10;
/// Requests of each caller in one part.
const ROUNDS: usize = 300;
/// Requests of each caller before anything is measured.
const WARM_UP_ROUNDS: usize = 20;
/// Parts, alternating between direct and through, so that both see the same machine.
const PARTS: usize = 4;
/// Streams that are open at once for the memory figure.
const STREAMS: usize = 500;
/// Tokens of each stream.
const TOKENS: u32 = 100;
/// The stated bound of the ratio between through and direct.
const MAX_RATIO: f64 = 1.1;
/// The stated bound of a daemon's memory.
const MAX_BYTES: u64 = 128 * 1024 * 1024;

/// The figures of the overhead experiment, in seconds and bytes.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Overhead {
    direct_p50: f64,
    through_p50: f64,
    direct_p99: f64,
    through_p99: f64,
    /// Added median time with a service time of zero.
    added_p50_at_zero: f64,
    /// Requests a second at a service time of zero.
    requests_per_second: f64,
    /// Requests a second of processor time of the entry.
    requests_per_entry_core_second: f64,
    /// Processor time of the entry for each token that it passes on, in microseconds.
    entry_us_per_token: f64,
    daemon_cpu_seconds: f64,
    daemon_peak_bytes: u64,
    failed: u64,
}

impl Outcome for Overhead {
    fn promises_held(&self) -> bool {
        self.failed == 0
            && self.through_p50 <= MAX_RATIO * self.direct_p50
            && self.through_p99 <= MAX_RATIO * self.direct_p99
            && self.daemon_peak_bytes < MAX_BYTES
    }
}

#[derive(Clone, Copy)]
enum Way {
    Direct(SocketAddr),
    Through(SocketAddr, &'static str),
}

/// Runs the experiment.
pub async fn run() -> Result<Overhead, LabError> {
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

    // Callers keep their connections over all parts, as callers do.
    let callers: Vec<Caller> = (0..CALLERS).map(|_| Caller::default()).collect();
    let mut direct = Vec::new();
    let mut through = Vec::new();
    send(&callers, Way::Direct(timed), WARM_UP_ROUNDS).await;
    send(&callers, Way::Through(entry, "timed"), WARM_UP_ROUNDS).await;
    for _ in 0..PARTS {
        direct.extend(send(&callers, Way::Direct(timed), ROUNDS / PARTS).await);
        through.extend(send(&callers, Way::Through(entry, "timed"), ROUNDS / PARTS).await);
    }
    let bare = send(&callers, Way::Direct(instant), ROUNDS).await;
    let entry_id = bench.processes().pid("entry-0");
    let cpu_before = cpu_seconds(entry_id)?;
    let started = Instant::now();
    let loaded = send(&callers, Way::Through(entry, "instant"), ROUNDS * 4).await;
    let elapsed = started.elapsed().as_secs_f64();
    let entry_cpu = cpu_seconds(entry_id)? - cpu_before;
    let cpu_before = cpu_seconds(entry_id)?;
    let streams = open_streams(entry).await;
    let stream_cpu = cpu_seconds(entry_id)? - cpu_before;

    let p = |seen: &[Observation], q| quantile(seen.iter().map(|one| one.total_time), q);
    let mut failed = 0;
    for seen in [&direct, &through, &bare, &loaded, &streams] {
        failed += seen
            .iter()
            .filter(|one| one.outcome != RequestOutcome::Ran)
            .count() as u64;
    }
    let mut peak = 0;
    let mut cpu = 0.0;
    for name in ["entry-0", "timed-0", "instant-0", "streams-0", "streams-1"] {
        let id = bench.processes().pid(name);
        peak = peak.max(peak_bytes(id)?);
        cpu += cpu_seconds(id)?;
    }
    Ok(Overhead {
        direct_p50: p(&direct, 0.5),
        through_p50: p(&through, 0.5),
        direct_p99: p(&direct, 0.99),
        through_p99: p(&through, 0.99),
        added_p50_at_zero: p(&loaded, 0.5) - p(&bare, 0.5),
        requests_per_second: loaded.len() as f64 / elapsed,
        requests_per_entry_core_second: loaded.len() as f64 / entry_cpu,
        entry_us_per_token: stream_cpu * 1e6 / (STREAMS as f64 * f64::from(TOKENS)),
        daemon_cpu_seconds: cpu,
        daemon_peak_bytes: peak,
        failed,
    })
}

async fn send(callers: &[Caller], way: Way, rounds: usize) -> Vec<Observation> {
    let callers = callers.iter().enumerate().map(|(n, caller)| async move {
        let mut seen = Vec::new();
        for round in 0..rounds {
            let pool = match way {
                Way::Direct(_) => "",
                Way::Through(_, pool) => pool,
            };
            let request = Request {
                id: format_smolstr!("{n}-{round}"),
                pool: pool.into(),
                workspace: format_smolstr!("workspace-{n}"),
                operation: Operation::Call { key: None },
                deadline: Duration::from_secs(10),
            };
            seen.push(match way {
                Way::Direct(upstream) => caller.send_direct(upstream, &request).await,
                Way::Through(entry, _) => caller.send(entry, &request).await,
            });
        }
        seen
    });
    let seen = futures_util::future::join_all(callers).await;
    seen.into_iter().flatten().collect()
}

/// Opens many streams at once, each of about two seconds.
async fn open_streams(entry: SocketAddr) -> Vec<Observation> {
    let caller = Caller::default();
    let streams = (0..STREAMS).map(|n| {
        let caller = caller.clone();
        async move {
            let request = Request {
                id: format_smolstr!("stream-{n}"),
                pool: "streams".into(),
                workspace: "streams".into(),
                operation: Operation::Generate {
                    tokens: TOKENS,
                    crash: false,
                },
                deadline: Duration::from_secs(30),
            };
            caller.send(entry, &request).await
        }
    });
    futures_util::future::join_all(streams).await
}

/// Ticks of `utime` and `stime` in /proc are hundredths of a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Place of `utime` among the fields that follow the process's name in /proc/ID/stat.
const UTIME_FIELD: usize = 11;

/// Processor time of a process.
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

/// The most memory that a process has held.
pub fn peak_bytes(id: Option<u32>) -> Result<u64, LabError> {
    match id {
        Some(id) => memory(&format!("/proc/{id}/status"), "VmHWM:"),
        None => Ok(0),
    }
}

/// The memory that this process holds now.
pub fn resident_bytes() -> Result<u64, LabError> {
    memory("/proc/self/status", "VmRSS:")
}

fn memory(file: &str, field: &str) -> Result<u64, LabError> {
    let status = std::fs::read_to_string(file)?;
    let line = status.lines().find(|line| line.starts_with(field));
    let kilobytes = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    Ok(kilobytes.unwrap_or(0) * 1024)
}
