//! Experiments: each starts a bench, does something to it, and reports what was seen from outside.

pub mod config;
pub mod demo;
pub mod fairness;
pub mod fleet;
pub mod once;
pub mod overhead;
pub mod slopes;
pub mod weights;
pub mod zone;

use serde::Serialize;

use crate::{error::LabError, options::Experiment};

/// The result of an experiment.
pub trait Outcome: Serialize {
    /// Whether every promise that the experiment checks held.
    fn promises_held(&self) -> bool;
}

/// Runs an experiment and prints its report; tells whether every promise held.
pub async fn run(experiment: Experiment, json: bool) -> Result<bool, LabError> {
    match experiment {
        Experiment::Demo { seconds } => report(&demo::run(seconds, !json).await?, json),
        Experiment::Slopes => report(&slopes::run()?, json),
        Experiment::Overhead => report(&overhead::run().await?, json),
        Experiment::Weights {
            hosts,
            seed,
            policy,
            fault,
        } => report(&weights::run(hosts, seed, policy, fault).await?, json),
        Experiment::Zone {
            policy,
            seed,
            seconds,
        } => report(&zone::run(policy, seed, seconds).await?, json),
        Experiment::Fairness {
            seed,
            policy,
            seconds,
        } => report(&fairness::run(seed, policy, seconds).await?, json),
        Experiment::Once { seed, keys } => report(&once::run(seed, keys).await?, json),
        Experiment::Config { seed, hosts } => report(&config::run(seed, hosts).await?, json),
    }
}

fn report<T: Outcome>(outcome: &T, json: bool) -> Result<bool, LabError> {
    let value = serde_json::to_value(outcome)?;
    if json {
        println!("{value}");
        return Ok(outcome.promises_held());
    }
    for (key, value) in value.as_object().into_iter().flatten() {
        println!("{key:>28}  {value}");
    }
    Ok(outcome.promises_held())
}
