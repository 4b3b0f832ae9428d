//! Everything that ends the daemon.

use std::{io, net::SocketAddr, path::PathBuf};

use balsamjunction_settings::FaultReport;
use derive_more::{Display, Error, From};
use smol_str::SmolStr;

/// An error that ends the daemon. Each message tells the operator what to do.
#[derive(Debug, Display, Error, From)]
pub enum DaemonError {
    /// Not an error: the user asked for help.
    #[display("help was asked for")]
    Help,
    /// The command line cannot be understood.
    #[display("{_0}; run balsamjunctiond --help")]
    Arguments(lexopt::Error),
    /// The role is not one of the daemon's.
    #[display("role \"{role}\" does not exist; {}", match suggestion {
        Some(name) => format!("did you mean \"{name}\"?"),
        None => "use entry or sidecar".to_owned(),
    })]
    #[from(ignore)]
    Role {
        /// What was written.
        role: SmolStr,
        /// The nearest role.
        suggestion: Option<String>,
    },
    /// An option that must be given is absent.
    #[display("option {option} is missing; run balsamjunctiond --help")]
    #[from(ignore)]
    MissingOption {
        /// The option.
        option: &'static str,
    },
    /// An override is not of the form `field=value`.
    #[display("override \"{text}\" is not of the form field=value")]
    #[from(ignore)]
    Override {
        /// What was written.
        text: SmolStr,
    },
    /// The log level does not exist.
    #[display("log level \"{level}\" does not exist; use error, warn, info, debug or trace")]
    #[from(ignore)]
    LogLevel {
        /// What was written.
        level: SmolStr,
    },
    /// The settings file cannot be read.
    #[display("settings file {} cannot be read: {source}", path.display())]
    #[from(ignore)]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The settings have faults.
    #[display("settings were not applied\n{}", report.lines(&path.display().to_string()).collect::<Vec<_>>().join("\n"))]
    #[from(ignore)]
    Settings {
        /// The file.
        path: PathBuf,
        /// Its faults.
        #[error(not(source))]
        report: FaultReport,
    },
    /// A port cannot be opened.
    #[display("cannot listen on {address}: {source}; free the port or change the settings")]
    #[from(ignore)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The log cannot be started.
    #[display("log cannot be started: {_0}")]
    Log(log::SetLoggerError),
    /// A server ended by itself.
    #[display("server ended: {_0}")]
    Server(io::Error),
}

impl DaemonError {
    /// 2 for bad use, 1 for everything else.
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
