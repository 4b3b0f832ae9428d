//! One workspace sends ten times the load of each other workspace to an overloaded pool behind three
//! entries.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use serde_json::json;
use smol_str::{format_smolstr, SmolStr};

use super::{
    fleet::{sleep_seconds, WORKSPACES},
    ExperimentReport,
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

/// Request rate of the heavy workspace relative to each other workspace.
const HEAVY_FACTOR: f64 = 10.0;
/// Requests a second of each other workspace; more than an equal share of the pool's capacity.
const LIGHT_RATE: f64 = 25.0;
/// Load before requests are counted, while concurrency limits rise and queues fill.
const WARM_UP_SECONDS: f64 = 5.0;
/// Required lower bound of the requests served for each workspace, relative to an equal share.
const MIN_SHARE: f64 = 0.95;

/// The distribution of served requests over workspaces.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FairnessReport {
    workspaces: usize,
    /// Requests served for the least served workspace, relative to an equal share.
    #[serde(rename = "least_share")]
    min_share: f64,
    /// Jain's fairness index of the requests served for each workspace.
    jain: f64,
    heavy_factor: f64,
    /// Requests served a second, of all workspaces together.
    served_per_second: f64,
    lost: u64,
}

impl ExperimentReport for FairnessReport {
    fn requirements_met(&self) -> bool {
        self.min_share >= MIN_SHARE && self.lost == 0
    }
}

/// Runs the experiment.
pub async fn run(seed: u64, policy: QueuePolicy, seconds: u64) -> Result<FairnessReport, LabError> {
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
    let workloads = (0..WORKSPACES).map(|n| Workload {
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
    let driver = Driver::start(workloads.collect(), bench.caller_addresses(), seed);
    sleep_seconds(WARM_UP_SECONDS).await;
    let first = driver.completed();
    sleep_seconds(seconds as f64).await;
    let end = driver.completed();
    let observations = driver.finish().await;
    let mut served: BTreeMap<SmolStr, f64> = BTreeMap::new();
    for observation in &observations[first..end] {
        let count = served
            .entry(observation.request.workspace.clone())
            .or_default();
        *count += f64::from(u8::from(observation.outcome == RequestOutcome::Ran));
    }
    let total: f64 = served.values().sum();
    let squares: f64 = served.values().map(|count| count * count).sum();
    let lowest = served.values().copied().fold(f64::INFINITY, f64::min);
    let workspaces = served.len();
    let lost = observations.iter().filter(|observation| {
        matches!(
            observation.outcome,
            RequestOutcome::Lost | RequestOutcome::Invalid
        )
    });
    Ok(FairnessReport {
        workspaces,
        min_share: lowest / (total / workspaces as f64),
        jain: total * total / (workspaces as f64 * squares),
        heavy_factor: HEAVY_FACTOR,
        served_per_second: total / seconds as f64,
        lost: lost.count() as u64,
    })
}
