//! Experiments. Most start a bench, change or disturb it under load, and report what callers,
//! upstreams and status interfaces observed; `slopes` and `dissemination` run in this process alone.

pub mod config;
pub mod demo;
pub mod dissemination;
pub mod fairness;
pub mod fleet;
pub mod once;
pub mod overhead;
pub mod slopes;
pub mod weights;
pub mod zone;

use serde::Serialize;

use crate::{error::LabError, options::Experiment};

/// The report of an experiment; its fields are the keys of the printed JSON.
pub trait ExperimentReport: Serialize {
    /// Whether all requirements that the experiment checks were met.
    fn requirements_met(&self) -> bool;

    /// The report as a table, for reports that have rows.
    fn table(&self) -> Option<String> {
        None
    }
}

/// Runs an experiment and prints its report; returns whether all requirements were met.
pub async fn run(experiment: Experiment, json: bool) -> Result<bool, LabError> {
    match experiment {
        Experiment::Demo { seconds } => print_report(&demo::run(seconds, !json).await?, json),
        Experiment::Dissemination(options) => print_report(&dissemination::run(options)?, json),
        Experiment::Slopes => print_report(&slopes::run()?, json),
        Experiment::Overhead => print_report(&overhead::run().await?, json),
        Experiment::Weights {
            hosts,
            seed,
            policy,
            fault,
        } => print_report(&weights::run(hosts, seed, policy, fault).await?, json),
        Experiment::Zone {
            policy,
            seed,
            seconds,
        } => print_report(&zone::run(policy, seed, seconds).await?, json),
        Experiment::Fairness {
            seed,
            policy,
            seconds,
        } => print_report(&fairness::run(seed, policy, seconds).await?, json),
        Experiment::Once { seed, keys } => print_report(&once::run(seed, keys).await?, json),
        Experiment::Config { seed, hosts } => print_report(&config::run(seed, hosts).await?, json),
    }
}

fn print_report<T: ExperimentReport>(report: &T, json: bool) -> Result<bool, LabError> {
    let value = serde_json::to_value(report)?;
    if json {
        println!("{value}");
        return Ok(report.requirements_met());
    }
    if let Some(table) = report.table() {
        print!("{table}");
        return Ok(report.requirements_met());
    }
    for (key, value) in value.as_object().into_iter().flatten() {
        println!("{key:>28}  {value}");
    }
    Ok(report.requirements_met())
}
