//! The daemon's command line.

use std::{ffi::OsString, path::PathBuf};

use lexopt::{Arg, Parser, ValueExt};
use smol_str::SmolStr;

use crate::error::DaemonError;

/// The text printed by `--help`.
pub const HELP: &str = "\
Routes requests to upstreams and distributes weights to hosts.

Usage: balsamjunctiond <entry|sidecar|gateway|stager> --settings FILE [--set FIELD=VALUE]... [--log LEVEL]

Options:
  --settings FILE    settings of this process, JSON with comments
  --set FIELD=VALUE  overrides a field of the settings; may be repeated
  --log LEVEL        error, warn, info (default), debug or trace
  --help             prints this help

Examples:
  balsamjunctiond entry --settings /etc/balsamjunction/entry.jsonc
  balsamjunctiond sidecar --settings sidecar.jsonc --set upstream=10.0.0.7:8000

Exit codes: 0 after a graceful stop, 1 on failure, 2 on a usage error.";

/// The parsed command line; its values are not validated yet.
#[derive(Debug, Default)]
pub struct Args {
    /// `entry`, `sidecar`, `gateway` or `stager`.
    pub role: Option<SmolStr>,
    /// Path of the settings file.
    pub settings: Option<PathBuf>,
    /// Arguments of `--set`, each `field=value`.
    pub overrides: Vec<SmolStr>,
    /// Argument of `--log`; absent for the default level.
    pub log: Option<SmolStr>,
}

/// Parses the command line without the program name.
pub fn parse(args: impl Iterator<Item = OsString>) -> Result<Args, DaemonError> {
    let mut parser = Parser::from_iter(args);
    let mut parsed = Args::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => parsed.settings = Some(parser.value()?.into()),
            Arg::Long("set") => parsed.overrides.push(parser.value()?.string()?.into()),
            Arg::Long("log") => parsed.log = Some(parser.value()?.string()?.into()),
            Arg::Long("help") | Arg::Short('h') => return Err(DaemonError::Help),
            Arg::Value(role) if parsed.role.is_none() => parsed.role = Some(role.string()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(parsed)
}
