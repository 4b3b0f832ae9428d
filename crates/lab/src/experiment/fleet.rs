//! Fleets and workloads that several experiments share, and readers of the upstreams' ledgers.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::json;
use smol_str::{format_smolstr, SmolStr};

use crate::{
    bench::{
        spec::{BenchSpec, EngineSpec, PoolSpec, FAST_LINKS},
        Bench, Host,
    },
    error::LabError,
    load::Workload,
};

/// Number of workspaces that send requests.
pub const WORKSPACES: usize = 10;

/// Three pools over three data centres: twelve engines, three services and a single engine.
pub fn small_fleet() -> BenchSpec {
    BenchSpec {
        pools: vec![
            PoolSpec::engines("deck-model", 12, EngineSpec::default()),
            PoolSpec::services("order-desk", 3, 10),
            PoolSpec::engines("floor-terminal", 1, EngineSpec::default()),
        ],
        network: Some(FAST_LINKS),
        defaults: json!({"cold_concurrency": 2}),
        ..BenchSpec::default()
    }
}

/// Every workspace sends to the two larger pools. Rates are requests a second of all workspaces
/// together.
pub fn mixed_load(engine_rate: f64, service_rate: f64, tokens: u32) -> Vec<Workload> {
    let mut workloads = Vec::new();
    for n in 0..WORKSPACES {
        let workspace = format_smolstr!("workspace-{n}");
        workloads.push(Workload {
            workspace: workspace.clone(),
            pool: "deck-model".into(),
            tokens: Some(tokens),
            requests_per_second: engine_rate / WORKSPACES as f64,
            deadline: Duration::from_secs(10),
        });
        workloads.push(Workload {
            workspace,
            pool: "order-desk".into(),
            tokens: None,
            requests_per_second: service_rate / WORKSPACES as f64,
            deadline: Duration::from_secs(10),
        });
    }
    workloads
}

/// One execution of a request on an upstream, read from the upstream's ledger.
#[derive(Clone, Debug)]
pub struct Run {
    /// The caller's id of the request, or its idempotency key.
    pub id: SmolStr,
    /// The request ID that the system assigned.
    pub request_id: SmolStr,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// Reads all runs on the upstream of a host; none if it has no ledger yet.
pub fn read_runs(bench: &Bench, host: &Host) -> Result<Vec<Run>, LabError> {
    let ledger = bench.ledger(host);
    if !ledger.exists() {
        return Ok(Vec::new());
    }
    let text = std::fs::read_to_string(ledger)?;
    let parse = |line: &str| {
        let mut fields = line.split(' ');
        Some(Run {
            id: fields.next()?.into(),
            request_id: fields.next()?.into(),
            started_ms: fields.next()?.parse().ok()?,
        })
    };
    Ok(text.lines().filter_map(parse).collect())
}

/// Reads all runs on the upstreams of a pool.
pub fn read_pool_runs(bench: &Bench, pool: &str) -> Result<Vec<Run>, LabError> {
    let mut all = Vec::new();
    for host in bench.pool(pool) {
        all.extend(read_runs(bench, &host)?);
    }
    Ok(all)
}

/// Counts the request IDs or keys that ran more than once in a pool.
pub fn count_repeated_runs(bench: &Bench, pool: &str) -> Result<u64, LabError> {
    let mut counts: HashMap<SmolStr, u64> = HashMap::new();
    for run in read_pool_runs(bench, pool)? {
        *counts.entry(run.id).or_default() += 1;
    }
    Ok(counts.values().filter(|count| **count > 1).count() as u64)
}

/// The current time, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// Sleeps while other tasks, such as the load, keep running.
pub async fn sleep_seconds(seconds: f64) {
    actix_rt::time::sleep(Duration::from_secs_f64(seconds)).await;
}
