//! Errors that end an experiment or a stand-in.

use std::{io, net::SocketAddr, path::PathBuf};

use derive_more::{Display, Error, From};
use smol_str::SmolStr;

/// An error of the lab. Errors of usage name the option or command to correct.
#[derive(Debug, Display, Error, From)]
pub enum LabError {
    /// Not an error: the user requested the help text.
    #[display("help requested")]
    Help,
    /// The command line cannot be parsed.
    #[display("{_0}; run balsamjunction-lab --help")]
    Arguments(lexopt::Error),
    /// The command or stand-in does not exist.
    #[display("command \"{command}\" does not exist; run balsamjunction-lab --help")]
    #[from(ignore)]
    Command {
        /// The name as given by the user.
        command: SmolStr,
    },
    /// An option has an invalid value.
    #[display("option {option} has the invalid value \"{value}\"; use {expected}")]
    #[from(ignore)]
    Value {
        /// The name of the option, such as `--seed`.
        option: &'static str,
        /// The value as given by the user.
        value: SmolStr,
        /// A description of valid values.
        expected: &'static str,
    },
    /// A required option or positional argument is absent.
    #[display("required argument {option} is missing; run balsamjunction-lab --help")]
    #[from(ignore)]
    Missing {
        /// The name of the option, such as `--seed`.
        option: &'static str,
    },
    /// An executable of the system has not been built.
    #[display("program {} does not exist; build it with cargo build --workspace", path.display())]
    #[from(ignore)]
    NotBuilt {
        /// The path at which it was expected.
        path: PathBuf,
    },
    /// A listening socket cannot be opened.
    #[display("cannot listen on {address}: {source}")]
    #[from(ignore)]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A started process did not become ready in time.
    #[display("process {name} was not ready after {seconds} s; see its log at {}", log.display())]
    #[from(ignore)]
    NotReady {
        /// The name of the process in the bench.
        name: SmolStr,
        /// Time waited, in seconds.
        seconds: u64,
        /// Path of its log.
        log: PathBuf,
    },
    /// A condition was not met in time.
    #[display("timed out after {seconds} s waiting for {what}")]
    #[from(ignore)]
    Timeout {
        /// The condition, as a noun phrase.
        what: &'static str,
        /// Time waited, in seconds.
        seconds: u64,
    },
    /// A control call to a stand-in failed.
    #[display("call to {url} failed: {why}")]
    #[from(ignore)]
    Control {
        /// The URL of the call.
        url: String,
        /// The cause.
        why: String,
    },
    /// An input or output operation failed.
    #[display("{_0}")]
    Io(io::Error),
    /// JSON cannot be encoded or decoded.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A plot cannot be drawn or written.
    #[display("cannot write the plot {}: {why}", path.display())]
    #[from(ignore)]
    Plot {
        /// The file to write.
        path: PathBuf,
        /// The cause.
        why: String,
    },
    /// A signal cannot be sent.
    #[display("cannot send a signal: {_0}")]
    Signal(nix::Error),
    /// The logger cannot be initialised.
    #[display("cannot initialise the logger: {_0}")]
    Log(log::SetLoggerError),
}

impl LabError {
    /// The exit code: 2 for invalid usage or an executable that is not built, 1 for any other error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Arguments(_)
            | Self::Command { .. }
            | Self::Value { .. }
            | Self::Missing { .. }
            | Self::NotBuilt { .. } => 2,
            _ => 1,
        }
    }
}
