//! Errors that end the daemon.

use std::{io, net::SocketAddr, path::PathBuf};

use balsamjunction_settings::FaultReport;
use derive_more::{Display, Error, From};
use smol_str::SmolStr;

/// An error that ends the daemon. Messages name the remedy where there is one.
#[derive(Debug, Display, Error, From)]
pub enum DaemonError {
    /// Not an error: `--help` was given.
    #[display("help was requested")]
    Help,
    /// The command line cannot be parsed.
    #[display("{_0}; run balsamjunctiond --help")]
    Arguments(lexopt::Error),
    /// The daemon has no such role.
    #[display("role \"{role}\" does not exist; {}", match suggestion {
        Some(name) => format!("did you mean \"{name}\"?"),
        None => "use entry or sidecar".to_owned(),
    })]
    #[from(ignore)]
    Role {
        /// The role as given.
        role: SmolStr,
        /// The role with the most similar name, if one is similar enough.
        suggestion: Option<String>,
    },
    /// A required option is missing.
    #[display("option {option} is missing; run balsamjunctiond --help")]
    #[from(ignore)]
    MissingOption {
        /// Name of the option.
        option: &'static str,
    },
    /// An argument of `--set` is not of the form `field=value`.
    #[display("override \"{text}\" is not of the form field=value")]
    #[from(ignore)]
    Override {
        /// The override as given.
        text: SmolStr,
    },
    /// The log level does not exist.
    #[display("log level \"{level}\" does not exist; use error, warn, info, debug or trace")]
    #[from(ignore)]
    LogLevel {
        /// The level as given.
        level: SmolStr,
    },
    /// The settings file cannot be read.
    #[display("settings file {} cannot be read: {source}", path.display())]
    #[from(ignore)]
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The settings are invalid.
    #[display("settings were not applied\n{}", report.lines(&path.display().to_string()).collect::<Vec<_>>().join("\n"))]
    #[from(ignore)]
    Settings {
        /// Path of the file.
        path: PathBuf,
        /// The errors with their positions in the file.
        #[error(not(source))]
        report: FaultReport,
    },
    /// The process cannot bind a listen address.
    #[display("cannot listen on {address}: {source}; free the port or change the settings")]
    #[from(ignore)]
    Listen {
        /// The listen address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The logger cannot be installed.
    #[display("cannot start logging: {_0}")]
    Log(log::SetLoggerError),
    /// A server or a signal handler failed.
    #[display("server failed: {_0}")]
    Server(io::Error),
}

impl DaemonError {
    /// The exit code: 2 for a usage error, otherwise 1.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Arguments(_)
            | Self::Role { .. }
            | Self::MissingOption { .. }
            | Self::Override { .. }
            | Self::LogLevel { .. } => 2,
            _ => 1,
        }
    }
}
