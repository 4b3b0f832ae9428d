//! The daemon's command line.

use std::{ffi::OsString, path::PathBuf};

use lexopt::{Arg, Parser, ValueExt};
use smol_str::SmolStr;

use crate::error::DaemonError;

/// Printed by `--help`.
pub const HELP: &str = "\
Carries requests to upstreams and weights to hosts.

Usage: balsamjunctiond <entry|sidecar|gateway|stager> --settings FILE [--set FIELD=VALUE]... [--log LEVEL]

Options:
  --settings FILE    settings of this process, JSON with comments
  --set FIELD=VALUE  replaces a field of the settings; may be repeated
  --log LEVEL        error, warn, info (default), debug or trace
  --help             this page

Examples:
  balsamjunctiond entry --settings /etc/balsamjunction/entry.jsonc
  balsamjunctiond sidecar --settings sidecar.jsonc --set upstream=10.0.0.7:8000

Exit codes: 0 after a graceful stop, 1 on failure, 2 on bad use.";

/// What was written on the command line, unchecked.
#[derive(Debug, Default)]
pub struct Args {
    /// `entry`, `sidecar`, `gateway` or `stager`.
    pub role: Option<SmolStr>,
    /// The settings file.
    pub settings: Option<PathBuf>,
    /// `field=value` pairs.
    pub overrides: Vec<SmolStr>,
    /// The log level.
    pub log: Option<SmolStr>,
}

/// Splits the command line.
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
