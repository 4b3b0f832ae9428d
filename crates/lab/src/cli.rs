//! The lab's command line, split but unchecked.

use std::{collections::BTreeMap, ffi::OsString};

use lexopt::{Arg, Parser, ValueExt};
use smol_str::SmolStr;

use crate::error::LabError;

/// Printed by `--help`.
pub const HELP: &str = "\
Runs the system against stand-ins and measures it.

Usage: balsamjunction-lab <COMMAND> [OPTIONS] [--json]

Experiments:
  demo                          ten workspaces, a new version, a data centre out and back
  weights --hosts N --seed S    a new version reaches N hosts
          [--policy owners|direct] [--fault none|kill|corrupt|stall|version-change]
  zone --seed S                 a data centre leaves and returns under load
          [--policy gate|baseline]
  fairness --seed S             one workspace sends ten times the others' load
          [--policy drr|fifo]
  once --seed S                 resends of keyed requests under faults
  config --seed S               declarations under outage, stale reads and restarts
  slopes                        what decisions cost as the fleet grows
  overhead                      through the system against straight to the stand-in

Stand-ins:
  standin engine|service|origin|document|fabric --listen IP:PORT ...

Options:
  --json      print one JSON object as the last line
  --seconds N length of the loaded part of an experiment
  --keys N    keys that once sends
  --help      this page

Examples:
  balsamjunction-lab demo
  balsamjunction-lab weights --hosts 24 --seed 1 --json

Exit codes: 0 if every promise held, 1 if not, 2 on bad use.";

/// Options without a value.
const FLAGS: [&str; 1] = ["json"];

/// What was written on the command line.
#[derive(Debug, Default)]
pub struct Args {
    /// Words that are no options.
    pub words: Vec<SmolStr>,
    /// Options with their values; flags have an empty one.
    pub options: BTreeMap<String, SmolStr>,
}

/// Splits the command line.
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
            Arg::Value(word) => parsed.words.push(word.string()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(parsed)
}
