//! Small stand-ins for what the system serves and stands on, each a process of its own.
//!
//! Their protocols are those of docs/PLATFORM.md; paths below `/lab/` exist for experiments only.

pub mod document;
pub mod engine;
pub mod fabric;
pub mod ledger;
pub mod origin;
pub mod platform;
pub mod service;

use std::net::SocketAddr;

use actix_web::dev::Server;

/// Idle connections stay open longer than any client keeps them.
pub use balsamjunction_client::SERVER_IDLE_LIMIT as IDLE_LIMIT;

use crate::error::LabError;

/// Opens a port for a stand-in.
pub fn listen(address: SocketAddr) -> Result<std::net::TcpListener, LabError> {
    std::net::TcpListener::bind(address).map_err(|source| LabError::Listen { address, source })
}

/// Runs a stand-in's server until the process is ended.
pub async fn run(server: Server) -> Result<(), LabError> {
    server.await.map_err(LabError::Io)
}
