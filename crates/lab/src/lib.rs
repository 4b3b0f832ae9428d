//! Stand-ins, load generation and experiments for balsamjunction.
//!
//! Experiments run the daemons, the stand-ins and the emulated network between them as separate
//! processes.
//! See docs/LAB.md.

pub mod bench;
pub mod cli;
pub mod error;
pub mod experiment;
pub mod load;
pub mod options;
pub mod standin;

use std::ffi::OsString;

use crate::{error::LabError, options::Command};

/// Runs a command; returns whether all requirements that it checks were met.
pub fn run(args: impl Iterator<Item = OsString>) -> Result<bool, LabError> {
    let command = Command::from_args(cli::parse(args)?)?;
    let log = simplelog::ConfigBuilder::new()
        .add_filter_allow_str("balsamjunction")
        .build();
    simplelog::WriteLogger::init(log::LevelFilter::Warn, log, std::io::stderr())?;
    let system = actix_rt::System::new();
    match command {
        Command::Standin(standin) => system
            .block_on(options::run_standin(standin))
            .map(|()| true),
        Command::Experiment(experiment, json) => system.block_on(experiment::run(experiment, json)),
    }
}
