//! Experiments: each starts a bench, does something to it, and reports what was seen from outside.

pub mod demo;
pub mod fleet;
pub mod overhead;

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
        Experiment::Overhead => report(&overhead::run().await?, json),
        _ => Err(LabError::Command {
            command: "x".into(),
        }),
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
