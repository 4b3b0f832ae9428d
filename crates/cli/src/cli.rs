//! Splits the command line into flags and positional arguments, without validating them.

use std::ffi::OsString;

use lexopt::{Arg, Parser, ValueExt};
use smol_str::SmolStr;

use crate::error::CliError;

/// Output of `--help`.
pub const HELP: &str = "\
Validates and explains fleet declarations, and shows the state of a running fleet.

Usage: balsamjunction <COMMAND> [--json]

Commands:
  check FILE [--active OLD | --entry IP:PORT]
                                           list every fault and warning of a declaration with its position,
                                           and what it changes in OLD, or in what a process has in force
  diff OLD NEW                             list the changes between two declarations
  explain FILE --host H [--workspace W]    show the effective values and their sources
  explain-request ID FILE...               show the timeline of a request from log files
  status --entry IP:PORT                   show the state of every process
  audit --entry IP:PORT                    show the audit trail of a process
  weights --entry IP:PORT [--watch]        show which version each host serves and fetches

Options:
  --json   print one JSON object, for programs
  --watch  redraw until every host serves its target version
  --help   print this help

IP:PORT is the inner address of an entry or sidecar.

Examples:
  balsamjunction check fleet.jsonc
  balsamjunction check next.jsonc --entry 10.0.0.7:7000
  balsamjunction explain fleet.jsonc --host deck-model-3 --workspace selam
  balsamjunction weights --entry 10.0.0.7:7000 --watch
  balsamjunction explain-request 9c41d07be2a35f68 edge-*.log

Exit codes: 0 on success, 1 on faults or failure, 2 on incorrect usage.";

/// The arguments of the command line, not yet validated.
#[derive(Debug, Default)]
pub struct Args {
    /// Positional arguments: the command, followed by its request ID and files.
    pub positionals: Vec<SmolStr>,
    /// Value of `--host`.
    pub host: Option<SmolStr>,
    /// Value of `--workspace`.
    pub workspace: Option<SmolStr>,
    /// Value of `--active`.
    pub active: Option<SmolStr>,
    /// Value of `--entry`.
    pub entry: Option<SmolStr>,
    /// Whether `--json` is given.
    pub json: bool,
    /// Whether `--watch` is given.
    pub watch: bool,
}

/// Splits the command line; `--help` is returned as [`CliError::Help`].
pub fn parse(args: impl Iterator<Item = OsString>) -> Result<Args, CliError> {
    let mut parser = Parser::from_iter(args);
    let mut parsed = Args::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Err(CliError::Help),
            Arg::Long("json") => parsed.json = true,
            Arg::Long("watch") => parsed.watch = true,
            Arg::Long("host") => parsed.host = Some(parser.value()?.string()?.into()),
            Arg::Long("workspace") => parsed.workspace = Some(parser.value()?.string()?.into()),
            Arg::Long("active") => parsed.active = Some(parser.value()?.string()?.into()),
            Arg::Long("entry") => parsed.entry = Some(parser.value()?.string()?.into()),
            Arg::Value(value) => parsed.positionals.push(value.string()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(parsed)
}
