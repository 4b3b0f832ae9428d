//! The operators' tool: validates and explains declarations, and shows the state of a running fleet.

pub mod cli;
pub mod command;
pub mod error;
pub mod fleet_client;
pub mod options;

use std::{ffi::OsString, io::Write};

use crate::{error::CliError, options::Options};

/// Parses the command line, runs the command and writes its output to `out`.
pub fn run(args: impl Iterator<Item = OsString>, out: &mut dyn Write) -> Result<(), CliError> {
    let options = Options::from_args(cli::parse(args)?)?;
    command::run(&options, out)
}
