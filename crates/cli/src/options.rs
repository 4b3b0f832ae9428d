//! The command line, checked once.

use std::{net::SocketAddr, path::PathBuf};

use balsamjunction_settings::reader::closest_match;
use smol_str::SmolStr;

use crate::{cli::Args, error::CliError};

/// The names of the commands, for suggestions.
const COMMANDS: [&str; 7] = [
    "check",
    "diff",
    "explain",
    "explain-request",
    "status",
    "audit",
    "weights",
];

/// A command with what it needs.
#[derive(Clone, Debug)]
pub enum Command {
    /// Lists every fault of a declaration.
    Check {
        /// The declaration.
        file: PathBuf,
    },
    /// Shows what changes.
    Diff {
        /// The declaration before.
        old: PathBuf,
        /// The declaration after.
        new: PathBuf,
    },
    /// Shows the values that hold.
    Explain {
        /// The declaration.
        file: PathBuf,
        /// For which host.
        host: SmolStr,
        /// For which workspace.
        workspace: Option<SmolStr>,
    },
    /// Shows what became of a request, and why.
    ExplainRequest {
        /// The request.
        id: SmolStr,
        /// Log files of the processes that may have had it.
        files: Vec<PathBuf>,
    },
    /// Shows what every process does.
    Status {
        /// The process to ask.
        entry: SocketAddr,
    },
    /// Shows the audit trail.
    Audit {
        /// The process to ask.
        entry: SocketAddr,
    },
    /// Shows versions and fetches.
    Weights {
        /// The process to ask.
        entry: SocketAddr,
        /// Whether to redraw until all is done.
        watch: bool,
    },
}

/// Everything that the tool runs with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The command.
    pub command: Command,
    /// Whether to answer in JSON.
    pub json: bool,
}

impl Options {
    /// Checks the command line.
    pub fn from_args(args: Args) -> Result<Self, CliError> {
        let json = args.json;
        let mut positionals = args.positionals.clone().into_iter();
        let name = positionals
            .next()
            .ok_or(CliError::MissingArgument { what: "COMMAND" })?;
        let mut file = |what| match positionals.next() {
            Some(word) => Ok(PathBuf::from(word.as_str())),
            None => Err(CliError::MissingArgument { what }),
        };
        let command = match name.as_str() {
            "check" => Command::Check {
                file: file("FILE")?,
            },
            "diff" => Command::Diff {
                old: file("OLD")?,
                new: file("NEW")?,
            },
            "explain" => Command::Explain {
                file: file("FILE")?,
                host: args
                    .host
                    .ok_or(CliError::MissingArgument { what: "--host" })?,
                workspace: args.workspace,
            },
            "explain-request" => {
                let id = file("ID")?;
                let files: Vec<PathBuf> = std::iter::once(file("FILE")?)
                    .chain(
                        positionals
                            .by_ref()
                            .map(|word| PathBuf::from(word.as_str())),
                    )
                    .collect();
                Command::ExplainRequest {
                    id: id.to_string_lossy().into(),
                    files,
                }
            }
            "status" => Command::Status {
                entry: address(args.entry)?,
            },
            "audit" => Command::Audit {
                entry: address(args.entry)?,
            },
            "weights" => Command::Weights {
                entry: address(args.entry)?,
                watch: args.watch,
            },
            _ => {
                let suggestion = closest_match(&name, COMMANDS.into_iter());
                return Err(CliError::UnknownCommand {
                    command: name,
                    suggestion,
                });
            }
        };
        match positionals.next() {
            Some(word) => Err(lexopt::Error::UnexpectedArgument(word.as_str().into()).into()),
            None => Ok(Self { command, json }),
        }
    }
}

fn address(entry: Option<SmolStr>) -> Result<SocketAddr, CliError> {
    let value = entry.ok_or(CliError::MissingArgument { what: "--entry" })?;
    value
        .parse()
        .map_err(|_| CliError::InvalidAddress { value })
}
