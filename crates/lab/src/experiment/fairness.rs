//! One workspace sends ten times the others' load to an overloaded pool behind three entries.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use serde_json::json;
use smol_str::{format_smolstr, SmolStr};

use super::{
    fleet::{pass, WORKSPACES},
    Outcome,
};
use crate::{
    bench::{
        spec::{BenchSpec, EngineSpec, PolicySpec, PoolSpec},
        Bench,
    },
    error::LabError,
    load::{caller::RequestOutcome, Driver, Workload},
    options::QueuePolicy,
};

/// How much more the heavy workspace sends.
const HEAVY_FACTOR: f64 = 10.0;
/// Requests a second of each other workspace, more than an equal share of the pool's capacity.
const LIGHT_RATE: f64 = 25.0;
/// Load before anything is counted, while limits rise and queues fill.
const WARM_UP_SECONDS: f64 = 5.0;
/// The least share of an equal one that every workspace must get.
const LEAST_SHARE: f64 = 0.95;

/// Who was served how much.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fairness {
    workspaces: usize,
    /// The least served workspace, relative to an equal share.
    least_share: f64,
    /// Jain's index of what workspaces were served.
    jain: f64,
    heavy_factor: f64,
    served_per_second: f64,
    lost: u64,
}

impl Outcome for Fairness {
    fn promises_held(&self) -> bool {
        self.least_share >= LEAST_SHARE && self.lost == 0
    }
}

/// Runs the experiment.
pub async fn run(seed: u64, policy: QueuePolicy, seconds: u64) -> Result<Fairness, LabError> {
    let engine = EngineSpec {
        cold_capacity: 4,
        ..EngineSpec::default()
    };
    let bench = Bench::start(BenchSpec {
        pools: vec![PoolSpec::engines("deck-model", 3, engine)],
        defaults: json!({"max_concurrency": 4, "cold_concurrency": 2, "queue_length": 60}),
        policy: PolicySpec {
            fair: policy == QueuePolicy::Drr,
            ..BenchSpec::default().policy
        },
        ..BenchSpec::default()
    })
    .await?;
    let plans = (0..WORKSPACES).map(|n| Workload {
        workspace: format_smolstr!("workspace-{n}"),
        pool: "deck-model".into(),
        tokens: Some(10),
        requests_per_second: if n == 0 {
            LIGHT_RATE * HEAVY_FACTOR
        } else {
            LIGHT_RATE
        },
        deadline: Duration::from_secs(5),
    });
    let driver = Driver::start(plans.collect(), bench.caller_addresses(), seed);
    pass(WARM_UP_SECONDS).await;
    let from = driver.completed();
    pass(seconds as f64).await;
    let until = driver.completed();
    let seen = driver.finish().await;
    let mut served: BTreeMap<SmolStr, f64> = BTreeMap::new();
    for one in &seen[from..until] {
        let count = served.entry(one.request.workspace.clone()).or_default();
        *count += f64::from(u8::from(one.outcome == RequestOutcome::Ran));
    }
    let total: f64 = served.values().sum();
    let squares: f64 = served.values().map(|count| count * count).sum();
    let least = served.values().copied().fold(f64::INFINITY, f64::min);
    let workspaces = served.len();
    let lost = seen
        .iter()
        .filter(|one| matches!(one.outcome, RequestOutcome::Lost | RequestOutcome::Invalid));
    Ok(Fairness {
        workspaces,
        least_share: least / (total / workspaces as f64),
        jain: total * total / (workspaces as f64 * squares),
        heavy_factor: HEAVY_FACTOR,
        served_per_second: total / seconds as f64,
        lost: lost.count() as u64,
    })
}
