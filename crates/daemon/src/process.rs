//! What both roles do at their start and end.

use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use actix_web::dev::ServerHandle;
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use tokio::signal::unix::{signal, SignalKind};

use crate::error::DaemonError;

/// Connections that may wait to be accepted.
pub const BACKLOG: i32 = 4096;
/// After this time a graceful stop gives up on requests that do not end.
const MAX_DRAIN: Duration = Duration::from_secs(300);
/// How often a graceful stop looks whether requests are left.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Starts logging to standard error; standard output belongs to the audit trail.
pub fn init_logging(level: LevelFilter) -> Result<(), DaemonError> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("balsamjunction")
        .build();
    Ok(WriteLogger::init(level, config, std::io::stderr())?)
}

/// Opens a port before anything else is started, so that a clash ends the process at once.
pub fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).map_err(|source| DaemonError::Listen { address, source })
}

/// Whether the process takes new work.
#[derive(Debug, Default)]
pub struct Lifecycle {
    stopping: AtomicBool,
}

impl Lifecycle {
    /// Whether a stop was asked for.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Asks for a stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }
}

/// Waits until the process is told to stop.
pub async fn wait_for_stop_signal() -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits until `in_progress` gives zero, then stops the servers.
pub async fn drain(in_progress: impl Fn() -> usize, servers: &[ServerHandle]) {
    let mut waited = Duration::ZERO;
    while in_progress() > 0 && waited < MAX_DRAIN {
        actix_rt::time::sleep(DRAIN_POLL).await;
        waited += DRAIN_POLL;
    }
    for server in servers {
        server.stop(true).await;
    }
}
