//! The tool's command line, split but unchecked.

use std::ffi::OsString;

use lexopt::{Arg, Parser, ValueExt};
use smol_str::SmolStr;

use crate::error::CliError;

/// Printed by `--help`.
pub const HELP: &str = "\
Checks and explains fleet declarations, and shows what the fleet does.

Usage: balsamjunction <COMMAND> [--json]

Commands:
  check FILE                               every fault of a declaration, with its place
  diff OLD NEW                             what changes from one declaration to the next
  explain FILE --host H [--workspace W]    the values that hold, and what gave them
  explain-request ID FILE...               what became of a request, from log files
  status --entry IP:PORT                   what every process does now
  audit --entry IP:PORT                    the audit trail of a process
  weights --entry IP:PORT [--watch]        which host serves and fetches which version

Options:
  --json   one JSON object, for programs
  --watch  redraw until every host serves its version
  --help   this page

IP:PORT is the inner address of an entry or sidecar.

Examples:
  balsamjunction check fleet.jsonc
  balsamjunction explain fleet.jsonc --host deck-model-3 --workspace selam
  balsamjunction weights --entry 10.0.0.7:7000 --watch
  balsamjunction explain-request 9c41d07be2a35f68 edge-*.log

Exit codes: 0 if all is well, 1 on faults or failure, 2 on bad use.";

/// What was written on the command line.
#[derive(Debug, Default)]
pub struct Args {
    /// The command and its files.
    pub positionals: Vec<SmolStr>,
    /// The host to explain.
    pub host: Option<SmolStr>,
    /// The workspace to explain.
    pub workspace: Option<SmolStr>,
    /// The process to ask.
    pub entry: Option<SmolStr>,
    /// Whether to answer in JSON.
    pub json: bool,
    /// Whether to redraw until all is done.
    pub watch: bool,
}

/// Splits the command line.
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
            Arg::Long("entry") => parsed.entry = Some(parser.value()?.string()?.into()),
            Arg::Value(word) => parsed.positionals.push(word.string()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(parsed)
}
