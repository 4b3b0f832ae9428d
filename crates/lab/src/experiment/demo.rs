//! A demonstration of the system: load from ten workspaces, a version upgrade, and a data centre taken
//! out and returned.

use serde::Serialize;

use super::{
    fleet::{count_repeated_runs, mixed_load, sleep_seconds, small_fleet},
    ExperimentReport,
};
use crate::{
    bench::{spec::DATA_CENTRES, Bench},
    error::LabError,
    load::{Driver, Summary},
};

/// The outcomes of requests during the demonstration.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DemoReport {
    #[serde(flatten)]
    summary: Summary,
    /// Request IDs that ran more than once in the pool order-desk.
    doubled: u64,
    #[serde(rename = "promises_held")]
    requirements_met: bool,
}

impl ExperimentReport for DemoReport {
    fn requirements_met(&self) -> bool {
        self.requirements_met
    }
}

/// Runs the demonstration; `verbose` prints each step as it starts.
pub async fn run(seconds: u64, verbose: bool) -> Result<DemoReport, LabError> {
    let log_step = |text: &str| {
        if verbose {
            println!("{text}");
        }
    };
    log_step("starting 16 upstreams with sidecars, 3 entries and the stand-ins of the platform");
    let mut bench = Bench::start(small_fleet()).await?;
    let quarter = seconds as f64 / 4.0;
    log_step("starting load from ten workspaces to deck-model and order-desk");
    let driver = Driver::start(mixed_load(60.0, 30.0, 20), bench.caller_addresses(), 1);
    sleep_seconds(quarter).await;
    log_step("declaring version v2 of deck-model");
    bench.spec_mut().pools[0].version = Some("v2".into());
    bench.publish().await?;
    sleep_seconds(quarter).await;
    log_step("taking data centre mekelle-a out of service");
    bench.spec_mut().out_of_service.insert(DATA_CENTRES[2].name);
    bench.publish().await?;
    sleep_seconds(quarter).await;
    log_step("returning data centre mekelle-a to service");
    bench.spec_mut().out_of_service.clear();
    bench.publish().await?;
    sleep_seconds(quarter).await;
    let observations = driver.finish().await;
    let mut upgraded = 0;
    for host in bench.pool("deck-model") {
        let status = bench.status(&host).await?;
        upgraded += u64::from(status.versions.serving.as_deref() == Some("v2"));
    }
    log_step(&format!("{upgraded} of 12 engines of deck-model serve v2"));
    let summary = Summary::of(&observations);
    let doubled = count_repeated_runs(&bench, "order-desk")?;
    let requirements_met = summary.lost == 0
        && summary.cut == 0
        && summary.mixed_versions == 0
        && doubled == 0
        && upgraded == 12;
    Ok(DemoReport {
        summary,
        doubled,
        requirements_met,
    })
}
