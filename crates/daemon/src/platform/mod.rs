//! Services of the platform behind traits, so that other platforms can be supported.
//!
//! The HTTP implementations use the published protocols of docs/PLATFORM.md.

pub mod config_http;
pub mod engine_http;
pub mod store_http;

use std::time::Duration;

use balsamjunction_protocol::{
    platform::{EngineOrder, EngineState, Manifest},
    FleetDocument, MembersDocument,
};
use bytes::Bytes;
use derive_more::{Display, Error, From};
use futures_util::future::LocalBoxFuture;

/// Why a call to the platform failed.
#[derive(Debug, Display, Error, From)]
pub enum PlatformError {
    /// The platform did not respond.
    #[display("no response from the platform: {_0}")]
    Send(#[error(not(source))] awc::error::SendRequestError),
    /// The response was interrupted or too long.
    #[display("response of the platform was interrupted: {_0}")]
    Payload(#[error(not(source))] awc::error::PayloadError),
    /// The response is not the expected JSON.
    #[display("response of the platform cannot be decoded: {_0}")]
    Json(serde_json::Error),
    /// The platform responded with an error status.
    #[display("the platform responded with status {status}")]
    #[from(ignore)]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The chunk does not have the length that the manifest states.
    #[display("chunk has {found} bytes instead of {expected}")]
    #[from(ignore)]
    Length {
        /// Bytes received.
        found: usize,
        /// Bytes that the manifest states.
        expected: usize,
    },
}

/// The future that a call to the platform returns.
pub type PlatformResult<'a, T> = LocalBoxFuture<'a, Result<T, PlatformError>>;

/// The configuration service, which publishes the fleet declaration.
pub trait ConfigSource {
    /// Waits up to `wait` for a revision above `after`; `None` if there is none by then.
    fn watch(&self, after: u64, wait: Duration) -> PlatformResult<'_, Option<FleetDocument>>;
}

/// The list of live and leaving hosts, which lags behind their actual state.
pub trait Membership {
    /// Waits up to `wait` for a generation above `after`; `None` if there is none by then.
    fn watch(&self, after: u64, wait: Duration) -> PlatformResult<'_, Option<MembersDocument>>;
}

/// The origin of weights.
pub trait WeightStore {
    /// The manifest of a version.
    fn manifest(&self, version: &str) -> PlatformResult<'_, Manifest>;
    /// One chunk of a version, of at most `max_bytes`; its length and hash are not verified.
    fn chunk(&self, version: &str, chunk: usize, max_bytes: usize) -> PlatformResult<'_, Bytes>;
}

/// A model engine that loads and switches versions of weights on order.
pub trait Engine {
    /// The state that the engine reports.
    fn state(&self) -> PlatformResult<'_, EngineState>;
    /// Orders the engine to load a version in addition to the one that it serves.
    fn load(&self, order: EngineOrder) -> PlatformResult<'_, ()>;
    /// Orders the engine to switch to a loaded version.
    fn switch(&self, order: EngineOrder) -> PlatformResult<'_, ()>;
}
