//! The command line and the settings file, checked once into what the daemon runs with.

use std::{fs, path::PathBuf};

use balsamjunction_settings::{
    process::{suggest_role, ROLES},
    read_entry, read_gateway, read_sidecar, read_stager, EntrySettings, FaultReport,
    GatewaySettings, SidecarSettings, StagerSettings,
};
use log::LevelFilter;
use smol_str::SmolStr;

use crate::{cli::Args, error::DaemonError, reload::SettingsFile};

/// The role of the process with its settings.
#[derive(Debug)]
pub enum Role {
    /// Takes callers' requests.
    Entry(Box<EntrySettings>),
    /// Stands before one upstream.
    Sidecar(Box<SidecarSettings>),
    /// Takes callers' requests where a store publishes upstreams, and sends straight to them.
    Gateway(Box<GatewaySettings>),
    /// Brings weights to one engine where a store publishes versions.
    Stager(Box<StagerSettings>),
}

/// Everything that the daemon runs with.
#[derive(Debug)]
pub struct Options {
    /// Role and settings.
    pub role: Role,
    /// Where the settings came from.
    pub file: SettingsFile,
    /// Least severe messages that are logged.
    pub log_level: LevelFilter,
}

impl Options {
    /// Checks the command line and reads the settings.
    pub fn from_args(args: Args) -> Result<Self, DaemonError> {
        let role = args.role.ok_or(DaemonError::MissingOption {
            option: "entry, sidecar, gateway or stager",
        })?;
        if !ROLES.contains(&role.as_str()) {
            let suggestion = suggest_role(&role);
            return Err(DaemonError::Role { role, suggestion });
        }
        let path = args.settings.ok_or(DaemonError::MissingOption {
            option: "--settings",
        })?;
        let overrides = split_overrides(&args.overrides)?;
        let log_level = log_level(args.log)?;
        let file = SettingsFile {
            path: path.clone(),
            overrides: overrides.clone(),
        };
        let buf = fs::read(&path).map_err(|source| DaemonError::ReadSettings {
            path: path.clone(),
            source,
        })?;
        let role = match role.as_str() {
            "entry" => Role::Entry(Box::new(located(path, read_entry(&buf, &overrides))?)),
            "gateway" => Role::Gateway(Box::new(located(path, read_gateway(&buf, &overrides))?)),
            "stager" => Role::Stager(Box::new(located(path, read_stager(&buf, &overrides))?)),
            _ => Role::Sidecar(Box::new(located(path, read_sidecar(&buf, &overrides))?)),
        };
        Ok(Self {
            role,
            file,
            log_level,
        })
    }
}

fn located<T>(path: PathBuf, read: Result<T, FaultReport>) -> Result<T, DaemonError> {
    read.map_err(|report| DaemonError::Settings { path, report })
}

fn split_overrides(overrides: &[SmolStr]) -> Result<Vec<(SmolStr, SmolStr)>, DaemonError> {
    let split = |text: &SmolStr| match text.split_once('=') {
        Some((name, value)) => Ok((name.into(), value.into())),
        None => Err(DaemonError::Override { text: text.clone() }),
    };
    overrides.iter().map(split).collect()
}

fn log_level(level: Option<SmolStr>) -> Result<LevelFilter, DaemonError> {
    let Some(level) = level else {
        return Ok(LevelFilter::Info);
    };
    level.parse().map_err(|_| DaemonError::LogLevel { level })
}
