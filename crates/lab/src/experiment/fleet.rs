//! Fleets of the sizes that the experiments run.

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

/// Workspaces of an experiment.
pub const WORKSPACES: usize = 10;

/// A pool of engines, one of booking services and a single engine, on three data centres.
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

/// Every workspace sends to both large pools.
pub fn mixed_load(engine_rate: f64, service_rate: f64, tokens: u32) -> Vec<Workload> {
    let mut plans = Vec::new();
    for n in 0..WORKSPACES {
        let workspace = format_smolstr!("workspace-{n}");
        plans.push(Workload {
            workspace: workspace.clone(),
            pool: "deck-model".into(),
            tokens: Some(tokens),
            requests_per_second: engine_rate / WORKSPACES as f64,
            deadline: Duration::from_secs(10),
        });
        plans.push(Workload {
            workspace,
            pool: "order-desk".into(),
            tokens: None,
            requests_per_second: service_rate / WORKSPACES as f64,
            deadline: Duration::from_secs(10),
        });
    }
    plans
}

/// One run on an upstream, by the upstream's own record.
#[derive(Clone, Debug)]
pub struct Run {
    /// What ran: the caller's id or idempotency key.
    pub id: SmolStr,
    /// The system's name for the request.
    pub request: SmolStr,
    /// When it started, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// All runs on the upstream of a host.
pub fn runs(bench: &Bench, host: &Host) -> Result<Vec<Run>, LabError> {
    let ledger = bench.ledger(host);
    if !ledger.exists() {
        return Ok(Vec::new());
    }
    let text = std::fs::read_to_string(ledger)?;
    let parse = |line: &str| {
        let mut words = line.split(' ');
        Some(Run {
            id: words.next()?.into(),
            request: words.next()?.into(),
            at_ms: words.next()?.parse().ok()?,
        })
    };
    Ok(text.lines().filter_map(parse).collect())
}

/// All runs on the upstreams of a pool.
pub fn pool_runs(bench: &Bench, pool: &str) -> Result<Vec<Run>, LabError> {
    let mut all = Vec::new();
    for host in bench.pool(pool) {
        all.extend(runs(bench, &host)?);
    }
    Ok(all)
}

/// How many keys of a pool ran more than once.
pub fn doubled(bench: &Bench, pool: &str) -> Result<u64, LabError> {
    let mut counts: HashMap<SmolStr, u64> = HashMap::new();
    for run in pool_runs(bench, pool)? {
        *counts.entry(run.id).or_default() += 1;
    }
    Ok(counts.values().filter(|count| **count > 1).count() as u64)
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// Waits while load runs.
pub async fn pass(seconds: f64) {
    actix_rt::time::sleep(Duration::from_secs_f64(seconds)).await;
}
