//! Splits the command line into positional arguments and options, without checking their values.

use std::{collections::BTreeMap, ffi::OsString};

use lexopt::{Arg, Parser, ValueExt};
use smol_str::SmolStr;

use crate::error::LabError;

/// The text that `--help` prints.
pub const HELP: &str = "\
Runs the system against emulated dependencies (stand-ins) and measures it.

Usage: balsamjunction-lab <COMMAND> [OPTIONS] [--json]

Experiments:
  demo                          ten workspaces, a new version, a data centre taken out and returned
  weights --hosts N --seed S    distributes a new version to N hosts
          [--policy owners|direct] [--fault none|kill|corrupt|stall|version-change]
  zone --seed S                 takes a data centre out and back under load
          [--policy gate|baseline]
  fairness --seed S             one workspace sends ten times the load of each other
          [--policy drr|fifo]
  once --seed S                 resends requests with idempotency keys under faults
  config --seed S               publishes declarations during an outage, stale reads and restarts
  dissemination [--gateways N,N] [--regions N] [--bytes N] [--whole-bytes N] [--seed S]
          [--host-kbit N] [--region-kbit N] [--loss PERCENT] [--svg FILE]
          [--fault none|kill-reader|kill-root|freeze-root]
                                simulates how a large declaration reaches all gateways
  slopes                        measures the cost of decisions by fleet size
  overhead                      compares requests through the system with direct requests

Stand-ins:
  standin engine|service|origin|document|fabric --listen IP:PORT ...

Options:
  --json      print one JSON object as the last line
  --seconds N duration of the load phase of an experiment
  --keys N    number of idempotency keys that the experiment `once` sends
  --help      print this help

Examples:
  balsamjunction-lab demo
  balsamjunction-lab weights --hosts 24 --seed 1 --json

Exit codes: 0 if all requirements are met, 1 on an unmet requirement or an error, 2 on invalid usage.";

/// Options that take no value.
const FLAGS: [&str; 1] = ["json"];

/// The command line, split but not checked.
#[derive(Debug, Default)]
pub struct Args {
    /// Positional arguments, in their order.
    pub positional: Vec<SmolStr>,
    /// Values of options by name without `--`; the value of a flag is empty.
    pub options: BTreeMap<String, SmolStr>,
}

/// Splits the command line, without the name of the program. Only the last value of a repeated option counts.
pub fn parse(args: impl Iterator<Item = OsString>) -> Result<Args, LabError> {
    let mut parser = Parser::from_iter(args);
    let mut parsed = Args::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Err(LabError::Help),
            Arg::Long(name) => {
                let name = name.to_owned();
                let value = match FLAGS.contains(&name.as_str()) {
                    true => SmolStr::default(),
                    false => parser.value()?.string()?.into(),
                };
                parsed.options.insert(name, value);
            }
            Arg::Value(value) => parsed.positional.push(value.string()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(parsed)
}
