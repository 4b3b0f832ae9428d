//! Everything that ends an experiment or a stand-in.

use std::{io, net::SocketAddr, path::PathBuf};

use derive_more::{Display, Error, From};
use smol_str::SmolStr;

/// An error of the lab. Each message tells the user what to do.
#[derive(Debug, Display, Error, From)]
pub enum LabError {
    /// Not an error: the user asked for help.
    #[display("help was asked for")]
    Help,
    /// The command line cannot be understood.
    #[display("{_0}; run balsamjunction-lab --help")]
    Arguments(lexopt::Error),
    /// The command does not exist.
    #[display("command \"{command}\" does not exist; run balsamjunction-lab --help")]
    #[from(ignore)]
    Command {
        /// What was written.
        command: SmolStr,
    },
    /// An option has a value that does not fit.
    #[display("option {option} is \"{value}\"; use {expected}")]
    #[from(ignore)]
    Value {
        /// The option.
        option: &'static str,
        /// What was written.
        value: SmolStr,
        /// What fits.
        expected: &'static str,
    },
    /// An option that must be given is absent.
    #[display("option {option} is missing; run balsamjunction-lab --help")]
    #[from(ignore)]
    Missing {
        /// The option.
        option: &'static str,
    },
    /// A program of the system has not been built.
    #[display("program {} does not exist; build it with cargo build --workspace", path.display())]
    #[from(ignore)]
    NotBuilt {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// A port cannot be opened.
    #[display("cannot listen on {address}: {source}")]
    #[from(ignore)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A process did not come up.
    #[display("process {name} is not ready after {seconds} s; its log is {}", log.display())]
    #[from(ignore)]
    NotReady {
        /// The process.
        name: SmolStr,
        /// How long it was waited for.
        seconds: u64,
        /// Where its log is.
        log: PathBuf,
    },
    /// Something that was waited for did not happen.
    #[display("{what} did not happen within {seconds} s")]
    #[from(ignore)]
    Waited {
        /// What was waited for.
        what: &'static str,
        /// How long it was waited for.
        seconds: u64,
    },
    /// A control call to a stand-in failed.
    #[display("call to {url} failed: {why}")]
    #[from(ignore)]
    Control {
        /// What was called.
        url: String,
        /// Why.
        why: String,
    },
    /// Input or output failed.
    #[display("{_0}")]
    Io(io::Error),
    /// A message cannot be read or written.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A signal cannot be sent.
    #[display("signal cannot be sent: {_0}")]
    Signal(nix::Error),
    /// The log cannot be started.
    #[display("log cannot be started: {_0}")]
    Log(log::SetLoggerError),
}

impl LabError {
    /// 2 for bad use, 1 for everything else.
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
