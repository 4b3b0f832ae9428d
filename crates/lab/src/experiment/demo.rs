//! The whole system at work: ten workspaces, a new version, a data centre out and back.

use serde::Serialize;

use super::{
    fleet::{doubled, mixed_load, pass, small_fleet},
    Outcome,
};
use crate::{
    bench::{spec::DATA_CENTRES, Bench},
    error::LabError,
    load::{Driver, Summary},
};

/// What the demonstration saw.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Demo {
    #[serde(flatten)]
    summary: Summary,
    doubled: u64,
    promises_held: bool,
}

impl Outcome for Demo {
    fn promises_held(&self) -> bool {
        self.promises_held
    }
}

/// Runs the demonstration; `talk` tells what happens as it happens.
pub async fn run(seconds: u64, talk: bool) -> Result<Demo, LabError> {
    let say = |text: &str| {
        if talk {
            println!("{text}");
        }
    };
    say("starting 16 upstreams with their sidecars, 3 entries and the platform's stand-ins");
    let mut bench = Bench::start(small_fleet()).await?;
    let quarter = seconds as f64 / 4.0;
    say("ten workspaces send to deck-model and order-desk");
    let driver = Driver::start(mixed_load(60.0, 30.0, 20), bench.caller_addresses(), 1);
    pass(quarter).await;
    say("version v2 of deck-model is declared");
    bench.spec_mut().pools[0].version = Some("v2".into());
    bench.publish().await?;
    pass(quarter).await;
    say("data centre mekelle-a is taken out of service");
    bench.spec_mut().out_of_service.insert(DATA_CENTRES[2].name);
    bench.publish().await?;
    pass(quarter).await;
    say("data centre mekelle-a returns");
    bench.spec_mut().out_of_service.clear();
    bench.publish().await?;
    pass(quarter).await;
    let seen = driver.finish().await;
    let mut turned = 0;
    for host in bench.pool("deck-model") {
        let status = bench.status(&host).await?;
        turned += u64::from(status.versions.serving.as_deref() == Some("v2"));
    }
    say(&format!("{turned} of 12 engines of deck-model serve v2"));
    let summary = Summary::of(&seen);
    let doubled = doubled(&bench, "order-desk")?;
    let promises_held = summary.lost == 0
        && summary.cut == 0
        && summary.mixed_versions == 0
        && doubled == 0
        && turned == 12;
    Ok(Demo {
        summary,
        doubled,
        promises_held,
    })
}
