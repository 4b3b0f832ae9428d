//! Reloads settings while the process runs.
//!
//! The file is read again on SIGHUP and checked every second, since it may also change without a signal.
//! Addresses of other processes take effect at once; listen addresses need a restart.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use balsamjunction_settings::FaultReport;
use smol_str::SmolStr;
use tokio::signal::unix::{signal, SignalKind};

use crate::{
    error::DaemonError,
    events::{Event, EventLog},
    sync::lock,
};

/// How often the file is checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The source of the settings.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    /// Path of the file.
    pub path: PathBuf,
    /// Fields and values that the command line overrides.
    pub overrides: Vec<(SmolStr, SmolStr)>,
}

/// Addresses of the entries to contact first, as in the settings in force.
#[derive(Clone, Debug, Default)]
pub struct Seeds(Arc<Mutex<Vec<SocketAddr>>>);

impl Seeds {
    /// Creates the list from the settings at the start.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self(Arc::new(Mutex::new(seeds)))
    }

    /// The present seeds.
    pub fn get(&self) -> Vec<SocketAddr> {
        lock(&self.0).clone()
    }

    /// Replaces the seeds.
    pub fn set(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.0) = seeds;
    }
}

/// Parses the content of a settings file with overrides and returns its seeds.
pub type ParseSeeds = fn(&[u8], &[(SmolStr, SmolStr)]) -> Result<Vec<SocketAddr>, FaultReport>;

/// Replaces the seeds whenever the file changes; invalid settings leave the previous seeds in force.
pub async fn reload_loop(
    file: SettingsFile,
    host: SmolStr,
    seeds: Seeds,
    events: Arc<EventLog>,
    parse: ParseSeeds,
) -> Result<(), DaemonError> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut last_read = fs::read(&file.path).unwrap_or_default();
    loop {
        // The timeout is the common case: most changes come without a signal.
        let signalled = actix_rt::time::timeout(CHECK_INTERVAL, hangup.recv())
            .await
            .is_ok();
        let detail = match fs::read(&file.path) {
            Ok(buf) if buf == last_read && !signalled => continue,
            Ok(buf) => match parse(&buf, &file.overrides) {
                Ok(parsed) => {
                    last_read = buf;
                    let detail = format!("seeds {parsed:?}");
                    seeds.set(parsed);
                    detail
                }
                Err(report) => {
                    last_read = buf;
                    let name = file.path.display().to_string();
                    let faults: Vec<_> = report.lines(&name).map(|l| l.to_string()).collect();
                    format!("refused: {}", faults.join("; "))
                }
            },
            Err(e) => format!("refused: {e}"),
        };
        events.emit(&Event::Process {
            change: "reloaded",
            host: host.clone(),
            detail,
        });
    }
}
