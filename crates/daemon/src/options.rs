//! Validates the command line and the settings file.

use std::{fs, path::PathBuf};

use balsamjunction_settings::{
    process::{suggest_role, ROLES},
    read_entry, read_gateway, read_sidecar, read_stager, EntrySettings, FaultReport,
    GatewaySettings, SidecarSettings, StagerSettings,
};
use log::LevelFilter;
use smol_str::SmolStr;

use crate::{cli::Args, error::DaemonError, reload::SettingsFile};

/// The role of the process and its settings.
#[derive(Debug)]
pub enum Role {
    /// Accepts requests of callers and forwards them to sidecars.
    Entry(Box<EntrySettings>),
    /// Reverse proxy of one upstream.
    Sidecar(Box<SidecarSettings>),
    /// Accepts requests of callers and forwards them to upstreams that a store publishes.
    Gateway(Box<GatewaySettings>),
    /// Delivers weights to one engine; a store publishes their versions.
    Stager(Box<StagerSettings>),
}

/// The validated options of the daemon.
#[derive(Debug)]
pub struct Options {
    /// The role and its settings.
    pub role: Role,
    /// Source of the settings, for reloads.
    pub file: SettingsFile,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
}

impl Options {
    /// Validates the command line and reads the settings file.
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
        let log_level = parse_log_level(args.log)?;
        let file = SettingsFile {
            path: path.clone(),
            overrides: overrides.clone(),
        };
        let buf = fs::read(&path).map_err(|source| DaemonError::ReadSettings {
            path: path.clone(),
            source,
        })?;
        let role = match role.as_str() {
            "entry" => Role::Entry(Box::new(with_path(path, read_entry(&buf, &overrides))?)),
            "gateway" => Role::Gateway(Box::new(with_path(path, read_gateway(&buf, &overrides))?)),
            "stager" => Role::Stager(Box::new(with_path(path, read_stager(&buf, &overrides))?)),
            _ => Role::Sidecar(Box::new(with_path(path, read_sidecar(&buf, &overrides))?)),
        };
        Ok(Self {
            role,
            file,
            log_level,
        })
    }
}

fn with_path<T>(path: PathBuf, read: Result<T, FaultReport>) -> Result<T, DaemonError> {
    read.map_err(|report| DaemonError::Settings { path, report })
}

fn split_overrides(overrides: &[SmolStr]) -> Result<Vec<(SmolStr, SmolStr)>, DaemonError> {
    let split = |text: &SmolStr| match text.split_once('=') {
        Some((name, value)) => Ok((name.into(), value.into())),
        None => Err(DaemonError::Override { text: text.clone() }),
    };
    overrides.iter().map(split).collect()
}

fn parse_log_level(level: Option<SmolStr>) -> Result<LevelFilter, DaemonError> {
    let Some(level) = level else {
        return Ok(LevelFilter::Info);
    };
    level.parse().map_err(|_| DaemonError::LogLevel { level })
}
