//! Settings that change while the process runs.
//!
//! The file is read again on SIGHUP, and looked at every second, since it may also change without a
//! signal. What names another process is taken over at once; ports need a restart.

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
    events::{Event, Events},
    sync::lock,
};

/// How often the file is looked at.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Where the settings came from.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    /// The file.
    pub path: PathBuf,
    /// Fields that the command line replaces.
    pub overrides: Vec<(SmolStr, SmolStr)>,
}

/// The entries to meet first, as the settings name them now.
#[derive(Clone, Debug, Default)]
pub struct Seeds(Arc<Mutex<Vec<SocketAddr>>>);

impl Seeds {
    /// Begins with the seeds of the start.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self(Arc::new(Mutex::new(seeds)))
    }

    /// The seeds of now.
    pub fn get(&self) -> Vec<SocketAddr> {
        lock(&self.0).clone()
    }

    /// Takes over other seeds.
    pub fn set(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.0) = seeds;
    }
}

/// Reads settings; gives the seeds in them.
pub type ReadSeeds = fn(&[u8], &[(SmolStr, SmolStr)]) -> Result<Vec<SocketAddr>, FaultReport>;

/// Takes over seeds whenever the file changes; settings with faults leave the old ones in force.
pub async fn reload_loop(
    file: SettingsFile,
    host: SmolStr,
    seeds: Seeds,
    events: Arc<Events>,
    read: ReadSeeds,
) -> Result<(), DaemonError> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut known = fs::read(&file.path).unwrap_or_default();
    loop {
        // The timeout is the usual case: most changes come without a signal.
        let signalled = actix_rt::time::timeout(LOOK_INTERVAL, hangup.recv())
            .await
            .is_ok();
        let detail = match fs::read(&file.path) {
            Ok(buf) if buf == known && !signalled => continue,
            Ok(buf) => match read(&buf, &file.overrides) {
                Ok(read) => {
                    known = buf;
                    let detail = format!("seeds {read:?}");
                    seeds.set(read);
                    detail
                }
                Err(report) => {
                    known = buf;
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
