//! Fleets of the sizes that the experiments run.

use std::{collections::HashMap, path::Path, time::Duration};

use smol_str::{format_smolstr, SmolStr};

use crate::{
    bench::{
        spec::{BenchSpec, EngineSpec, PoolSpec, FAST},
        Bench,
    },
    error::LabError,
    load::Plan,
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
        network: Some(FAST),
        ..BenchSpec::default()
    }
}

/// Every workspace sends to both large pools.
pub fn mixed_load(engine_rate: f64, service_rate: f64, tokens: u32) -> Vec<Plan> {
    let mut plans = Vec::new();
    for n in 0..WORKSPACES {
        let workspace = format_smolstr!("workspace-{n}");
        plans.push(Plan {
            workspace: workspace.clone(),
            pool: "deck-model".into(),
            tokens: Some(tokens),
            rate: engine_rate / WORKSPACES as f64,
            deadline: Duration::from_secs(10),
        });
        plans.push(Plan {
            workspace,
            pool: "order-desk".into(),
            tokens: None,
            rate: service_rate / WORKSPACES as f64,
            deadline: Duration::from_secs(10),
        });
    }
    plans
}

/// How often each id ran, by the upstreams' own record.
pub fn runs(ledger: &Path) -> Result<HashMap<SmolStr, u64>, LabError> {
    let mut runs = HashMap::new();
    if !ledger.exists() {
        return Ok(runs);
    }
    for line in std::fs::read_to_string(ledger)?.lines() {
        *runs.entry(SmolStr::new(line)).or_default() += 1;
    }
    Ok(runs)
}

/// How many keys of a pool ran more than once.
pub fn doubled(bench: &Bench, pool: &str) -> Result<u64, LabError> {
    let runs = runs(&bench.ledger(pool))?;
    Ok(runs.values().filter(|count| **count > 1).count() as u64)
}

/// Waits while load runs.
pub async fn pass(seconds: f64) {
    actix_rt::time::sleep(Duration::from_secs_f64(seconds)).await;
}
