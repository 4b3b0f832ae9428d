//! Validates the command line.

use std::{net::SocketAddr, path::PathBuf};

use balsamjunction_settings::reader::closest_match;
use smol_str::SmolStr;

use crate::{cli::Args, error::CliError};

/// Names of the commands.
const COMMANDS: [&str; 7] = [
    "check",
    "diff",
    "explain",
    "explain-request",
    "status",
    "audit",
    "weights",
];

/// Where to find the declaration that is in force.
#[derive(Clone, Debug)]
pub enum ActiveDeclaration {
    /// A file.
    File(PathBuf),
    /// The inner address of an entry or sidecar, which is asked for it.
    Process(SocketAddr),
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Validates a declaration, lists every fault and warning, and shows what it would change.
    Check {
        /// Path of the declaration.
        file: PathBuf,
        /// The active declaration to compare it with, if any.
        active: Option<ActiveDeclaration>,
    },
    /// Lists the changes between two declarations.
    Diff {
        /// Path of the old declaration.
        old: PathBuf,
        /// Path of the new declaration.
        new: PathBuf,
    },
    /// Shows the effective values of a host and their sources.
    Explain {
        /// Path of the declaration.
        file: PathBuf,
        /// The host to look the values up for.
        host: SmolStr,
        /// The workspace to look the values up for, if any.
        workspace: Option<SmolStr>,
    },
    /// Shows the timeline of a request and explains its outcome.
    ExplainRequest {
        /// ID of the request.
        id: SmolStr,
        /// Log files of the processes that may have handled it.
        files: Vec<PathBuf>,
    },
    /// Shows the state of every process.
    Status {
        /// Inner address of the entry or sidecar to query.
        entry: SocketAddr,
    },
    /// Shows the audit trail of a process.
    Audit {
        /// Inner address of the entry or sidecar to query.
        entry: SocketAddr,
    },
    /// Shows which version each host serves and fetches.
    Weights {
        /// Inner address of the entry or sidecar to query.
        entry: SocketAddr,
        /// Whether to redraw until every host serves its target version.
        watch: bool,
    },
}

/// The validated command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// The command with its arguments.
    pub command: Command,
    /// Whether to print JSON.
    pub json: bool,
}

impl Options {
    /// Validates the arguments.
    pub fn from_args(args: Args) -> Result<Self, CliError> {
        let json = args.json;
        let mut positionals = args.positionals.clone().into_iter();
        let name = positionals.next().ok_or(CliError::MissingArgument {
            argument: "COMMAND",
        })?;
        let mut next_positional = |argument| match positionals.next() {
            Some(path) => Ok(PathBuf::from(path.as_str())),
            None => Err(CliError::MissingArgument { argument }),
        };
        let command = match name.as_str() {
            "check" => Command::Check {
                file: next_positional("FILE")?,
                active: parse_active(args.active, args.entry)?,
            },
            "diff" => Command::Diff {
                old: next_positional("OLD")?,
                new: next_positional("NEW")?,
            },
            "explain" => Command::Explain {
                file: next_positional("FILE")?,
                host: args
                    .host
                    .ok_or(CliError::MissingArgument { argument: "--host" })?,
                workspace: args.workspace,
            },
            "explain-request" => {
                let id = next_positional("ID")?;
                let files: Vec<PathBuf> = std::iter::once(next_positional("FILE")?)
                    .chain(
                        positionals
                            .by_ref()
                            .map(|path| PathBuf::from(path.as_str())),
                    )
                    .collect();
                Command::ExplainRequest {
                    id: id.to_string_lossy().into(),
                    files,
                }
            }
            "status" => Command::Status {
                entry: parse_address(args.entry)?,
            },
            "audit" => Command::Audit {
                entry: parse_address(args.entry)?,
            },
            "weights" => Command::Weights {
                entry: parse_address(args.entry)?,
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
            Some(extra) => Err(lexopt::Error::UnexpectedArgument(extra.as_str().into()).into()),
            None => Ok(Self { command, json }),
        }
    }
}

/// Parses the values of `--active` and `--entry`, of which at most one may be given.
fn parse_active(
    file: Option<SmolStr>,
    entry: Option<SmolStr>,
) -> Result<Option<ActiveDeclaration>, CliError> {
    match (file, entry) {
        (Some(_), Some(_)) => Err(CliError::ConflictingArguments {
            first: "--active",
            second: "--entry",
        }),
        (Some(file), None) => Ok(Some(ActiveDeclaration::File(PathBuf::from(file.as_str())))),
        (None, None) => Ok(None),
        (None, entry) => parse_address(entry).map(|a| Some(ActiveDeclaration::Process(a))),
    }
}

/// Parses the value of `--entry`.
fn parse_address(entry: Option<SmolStr>) -> Result<SocketAddr, CliError> {
    let value = entry.ok_or(CliError::MissingArgument {
        argument: "--entry",
    })?;
    value
        .parse()
        .map_err(|_| CliError::InvalidAddress { value })
}
