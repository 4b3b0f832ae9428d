//! The processes that route requests and distribute weights: entries, sidecars, gateways and stagers.
//!
//! This package holds I/O only. `balsamjunction-policy` makes the decisions; the modules here pass
//! events to it and execute its actions. See docs/DESIGN.md, "Processes".

pub mod audit;
pub mod cli;
pub mod client;
pub mod clock;
pub mod entry;
pub mod error;
pub mod events;
pub mod fleet;
pub mod gateway;
pub mod http;
pub mod inner;
pub mod mesh;
pub mod metrics;
pub mod options;
pub mod platform;
pub mod problem;
pub mod process;
pub mod reload;
pub mod sidecar;
pub mod stager;
pub mod sync;

use std::ffi::OsString;

use crate::{
    error::DaemonError,
    options::{Options, Role},
};

/// Runs the daemon until it receives a stop signal or fails.
pub fn run(args: impl Iterator<Item = OsString>) -> Result<(), DaemonError> {
    let options = Options::from_args(cli::parse(args)?)?;
    process::init_logging(options.log_level)?;
    match options.role {
        Role::Entry(settings) => actix_rt::System::new().block_on(entry::serve(*settings)),
        Role::Sidecar(settings) => actix_rt::System::new().block_on(sidecar::serve(*settings)),
        Role::Gateway(settings) => {
            actix_rt::System::new().block_on(gateway::serve(*settings, options.file))
        }
        Role::Stager(settings) => {
            actix_rt::System::new().block_on(stager::serve(*settings, options.file))
        }
    }
}
