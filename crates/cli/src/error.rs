//! Everything that ends a command.

use std::{io, net::SocketAddr, path::PathBuf};

use balsamjunction_protocol::ProtocolError;
use balsamjunction_settings::FaultReport;
use derive_more::{Display, Error, From};
use smol_str::SmolStr;

/// An error of a command. Each message tells the operator what to do.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// Not an error: the user asked for help.
    #[display("help was asked for")]
    Help,
    /// The command line cannot be understood.
    #[display("balsamjunction: {_0}; run balsamjunction --help")]
    Arguments(lexopt::Error),
    /// The command does not exist.
    #[display("balsamjunction: command \"{command}\" does not exist; {}", match suggestion {
        Some(name) => format!("did you mean \"{name}\"?"),
        None => "run balsamjunction --help".to_owned(),
    })]
    #[from(ignore)]
    UnknownCommand {
        /// What was written.
        command: SmolStr,
        /// The nearest command.
        suggestion: Option<String>,
    },
    /// Something that must be given is absent.
    #[display("balsamjunction: {what} is missing; run balsamjunction --help")]
    #[from(ignore)]
    MissingArgument {
        /// What is absent.
        what: &'static str,
    },
    /// An address has the wrong form.
    #[display("balsamjunction: \"{value}\" is no IP number and port such as 10.0.0.7:7000")]
    #[from(ignore)]
    InvalidAddress {
        /// What was written.
        value: SmolStr,
    },
    /// No log line names the request.
    #[display("balsamjunction: no line names request {id}; give the logs of every entry that may have had it")]
    #[from(ignore)]
    RequestNotFound {
        /// The request.
        id: SmolStr,
    },
    /// A file cannot be read.
    #[display("balsamjunction: {} cannot be read: {source}", path.display())]
    #[from(ignore)]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A declaration has faults; each is a line that editors can jump to.
    #[display("{}", report.lines(&path.display().to_string()).collect::<Vec<_>>().join("\n"))]
    #[from(ignore)]
    InvalidDeclaration {
        /// The file.
        path: PathBuf,
        /// Its faults.
        #[error(not(source))]
        report: FaultReport,
    },
    /// The host is not declared.
    #[display("balsamjunction: host \"{host}\" is not declared in {}; {}", path.display(), match suggestion {
        Some(name) => format!("did you mean \"{name}\"?"),
        None => "see its \"upstreams\"".to_owned(),
    })]
    #[from(ignore)]
    UnknownHost {
        /// What was written.
        host: SmolStr,
        /// The declaration.
        path: PathBuf,
        /// The nearest host.
        suggestion: Option<String>,
    },
    /// A process does not answer.
    #[display(
        "balsamjunction: {address} does not answer: {why}; check that its inner address was given"
    )]
    #[from(ignore)]
    Unreachable {
        /// The process.
        address: SocketAddr,
        /// Why.
        why: SmolStr,
    },
    /// The entry has no declaration yet.
    #[display("balsamjunction: {address} has no declaration yet; check the configuration service")]
    #[from(ignore)]
    NoDeclaration {
        /// The entry.
        address: SocketAddr,
    },
    /// A message cannot be read or written.
    #[display("balsamjunction: {_0}")]
    Protocol(ProtocolError),
    /// JSON cannot be read or written.
    #[display("balsamjunction: {_0}")]
    Json(serde_json::Error),
    /// The answer cannot be written.
    #[display("balsamjunction: {_0}")]
    Io(io::Error),
}

impl CliError {
    /// 2 for bad use, 1 for everything else.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Arguments(_)
            | Self::UnknownCommand { .. }
            | Self::MissingArgument { .. }
            | Self::InvalidAddress { .. } => 2,
            _ => 1,
        }
    }
}
