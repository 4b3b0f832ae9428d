//! Start and stop of the process, shared by all roles.

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

/// Connections to the address for other processes. Each process of the largest deployment to design for, 2,700
/// hosts, contacts a few others at a time and keeps a connection for 10 s at most.
pub const MAX_INNER_CONNECTIONS: usize = 512;
/// Connections to the addresses for readiness checks and metrics, which a few balancers and collectors use.
pub const MAX_PROBE_CONNECTIONS: usize = 64;
/// Length of the accept queue of a listening socket.
pub const BACKLOG: i32 = 4096;
/// Time after which a graceful stop no longer waits for running requests.
const MAX_DRAIN: Duration = Duration::from_secs(300);
/// How often a graceful stop checks for running requests.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Starts logging to standard error; standard output is for the audit trail and structured log lines.
pub fn init_logging(level: LevelFilter) -> Result<(), DaemonError> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("balsamjunction")
        .build();
    Ok(WriteLogger::init(level, config, std::io::stderr())?)
}

/// Binds a listen address. Called before anything else starts, so that an address in use ends the
/// process at once.
pub fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).map_err(|source| DaemonError::Listen { address, source })
}

/// Whether the process accepts new work.
#[derive(Debug, Default)]
pub struct Lifecycle {
    stopping: AtomicBool,
}

impl Lifecycle {
    /// Whether a stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Requests a stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop_signal() -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits until `in_progress` returns zero, for at most `MAX_DRAIN`, then stops the servers.
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
