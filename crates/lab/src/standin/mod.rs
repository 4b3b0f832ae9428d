//! Stand-ins (emulators) for the upstreams and the platform services, each in its own process.
//!
//! They speak the protocols of docs/PLATFORM.md; paths below `/lab/` exist for experiments only. The
//! module [`platform`] has in-process stand-ins for tests.

pub mod document;
pub mod engine;
pub mod fabric;
pub mod ledger;
pub mod origin;
pub mod platform;
pub mod service;

use std::net::SocketAddr;

use actix_web::dev::Server;

/// Stand-ins close idle connections later than any client does.
pub use balsamjunction_client::SERVER_IDLE_LIMIT as IDLE_LIMIT;

use crate::error::LabError;

/// Opens the listening socket of a stand-in.
pub fn listen(address: SocketAddr) -> Result<std::net::TcpListener, LabError> {
    std::net::TcpListener::bind(address).map_err(|source| LabError::Listen { address, source })
}

/// Runs the server of a stand-in until the process is stopped.
pub async fn run(server: Server) -> Result<(), LabError> {
    server.await.map_err(LabError::Io)
}
