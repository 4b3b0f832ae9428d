//! The operators' tool: checks and explains declarations, and shows what the fleet does.

pub mod cli;
pub mod command;
pub mod error;
pub mod fleet_client;
pub mod options;

use std::{ffi::OsString, io::Write};

use crate::{error::CliError, options::Options};

/// Runs a command and writes its answer to `out`.
pub fn run(args: impl Iterator<Item = OsString>, out: &mut dyn Write) -> Result<(), CliError> {
    let options = Options::from_args(cli::parse(args)?)?;
    command::run(&options, out)
}
