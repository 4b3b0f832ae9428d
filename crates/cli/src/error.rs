//! Errors of the commands.

use std::{io, net::SocketAddr, path::PathBuf};

use balsamjunction_protocol::ProtocolError;
use balsamjunction_settings::FaultReport;
use derive_more::{Display, Error, From};
use smol_str::SmolStr;

/// An error that ends a command. Each message tells the operator what to do.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// Not an error: `--help` is given.
    #[display("help requested")]
    Help,
    /// The command line has an unknown flag, a flag without its value or too many arguments.
    #[display("balsamjunction: {_0}; run balsamjunction --help")]
    Arguments(lexopt::Error),
    /// The command does not exist.
    #[display("balsamjunction: command \"{command}\" does not exist; {}", match suggestion {
        Some(name) => format!("did you mean \"{name}\"?"),
        None => "run balsamjunction --help".to_owned(),
    })]
    #[from(ignore)]
    UnknownCommand {
        /// The command as given.
        command: SmolStr,
        /// The most similar command, if any is similar.
        suggestion: Option<String>,
    },
    /// A required argument is missing.
    #[display("balsamjunction: {argument} is missing; run balsamjunction --help")]
    #[from(ignore)]
    MissingArgument {
        /// Name of the argument as in the help.
        argument: &'static str,
    },
    /// Two arguments exclude each other.
    #[display("balsamjunction: {first} and {second} exclude each other; leave one out")]
    #[from(ignore)]
    ConflictingArguments {
        /// The first argument.
        first: &'static str,
        /// The second argument.
        second: &'static str,
    },
    /// The value of `--entry` is not an IP address and port.
    #[display("balsamjunction: \"{value}\" is not an IP address and port such as 10.0.0.7:7000")]
    #[from(ignore)]
    InvalidAddress {
        /// The value as given.
        value: SmolStr,
    },
    /// No log line mentions the request.
    #[display("balsamjunction: no log line mentions request {id}; pass the logs of every entry that may have handled it")]
    #[from(ignore)]
    RequestNotFound {
        /// ID of the request.
        id: SmolStr,
    },
    /// A file cannot be read.
    #[display("balsamjunction: {} cannot be read: {source}", path.display())]
    #[from(ignore)]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A declaration has faults, each printed as a line of the form `FILE:LINE:COLUMN: error: MESSAGE`.
    #[display("{}", report.lines(&path.display().to_string()).collect::<Vec<_>>().join("\n"))]
    #[from(ignore)]
    InvalidDeclaration {
        /// Path of the file.
        path: PathBuf,
        /// The faults.
        #[error(not(source))]
        report: FaultReport,
    },
    /// The value of `--host` is not a host of the declaration.
    #[display("balsamjunction: host \"{host}\" is not declared in {}; {}", path.display(), match suggestion {
        Some(name) => format!("did you mean \"{name}\"?"),
        None => "see its \"upstreams\"".to_owned(),
    })]
    #[from(ignore)]
    UnknownHost {
        /// The host as given.
        host: SmolStr,
        /// Path of the declaration.
        path: PathBuf,
        /// The most similar declared host, if any is similar.
        suggestion: Option<String>,
    },
    /// A process does not answer in time, or its response cannot be received.
    #[display(
        "balsamjunction: {address} does not answer: {reason}; check that this is its inner address"
    )]
    #[from(ignore)]
    Unreachable {
        /// Inner address of the process.
        address: SocketAddr,
        /// The error of the HTTP client.
        reason: SmolStr,
    },
    /// The process has no valid declaration yet.
    #[display("balsamjunction: {address} has no declaration yet; check the configuration service")]
    #[from(ignore)]
    NoDeclaration {
        /// Inner address of the process.
        address: SocketAddr,
    },
    /// A message of the inner protocol cannot be encoded or decoded.
    #[display("balsamjunction: {_0}")]
    Protocol(ProtocolError),
    /// JSON cannot be parsed or written.
    #[display("balsamjunction: {_0}")]
    Json(serde_json::Error),
    /// The output cannot be written.
    #[display("balsamjunction: {_0}")]
    Io(io::Error),
}

impl CliError {
    /// The exit code: 2 for incorrect usage, 1 for any other error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Arguments(_)
            | Self::UnknownCommand { .. }
            | Self::MissingArgument { .. }
            | Self::ConflictingArguments { .. }
            | Self::InvalidAddress { .. } => 2,
            _ => 1,
        }
    }
}
