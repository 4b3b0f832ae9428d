//! What the platform gives, behind traits, so that other platforms can be put in.
//!
//! The HTTP implementations speak the published protocols of docs/PLATFORM.md.

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

/// A call to the platform that failed.
#[derive(Debug, Display, Error, From)]
pub enum PlatformError {
    /// The platform did not answer.
    #[display("platform does not answer: {_0}")]
    Send(#[error(not(source))] awc::error::SendRequestError),
    /// The answer broke off.
    #[display("answer of platform broke off: {_0}")]
    Payload(#[error(not(source))] awc::error::PayloadError),
    /// The answer has the wrong form.
    #[display("answer of platform cannot be read: {_0}")]
    Json(serde_json::Error),
    /// The platform refused.
    #[display("platform answered with status {status}")]
    #[from(ignore)]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The stream ended before the promised length.
    #[display("chunk has {found} bytes instead of {expected}")]
    #[from(ignore)]
    Length {
        /// Bytes that came.
        found: usize,
        /// Bytes that were promised.
        expected: usize,
    },
}

/// What a call to the platform gives.
pub type PlatformResult<'a, T> = LocalBoxFuture<'a, Result<T, PlatformError>>;

/// The read-and-watch configuration service.
pub trait ConfigSource {
    /// Waits up to `wait` for a revision above `after`; nothing if none came.
    fn watch(&self, after: u64, wait: Duration) -> PlatformResult<'_, Option<FleetDocument>>;
}

/// The lagging list of live and leaving hosts.
pub trait Membership {
    /// Waits up to `wait` for a generation above `after`; nothing if none came.
    fn watch(&self, after: u64, wait: Duration) -> PlatformResult<'_, Option<MembersDocument>>;
}

/// The origin of weights.
pub trait WeightStore {
    /// The manifest of a version.
    fn manifest(&self, version: &str) -> PlatformResult<'_, Manifest>;
    /// One chunk of a version, unchecked.
    fn chunk(&self, version: &str, chunk: usize) -> PlatformResult<'_, Bytes>;
}

/// The orders that engines take.
pub trait Engine {
    /// What the engine says of itself.
    fn state(&self) -> PlatformResult<'_, EngineState>;
    /// Orders the engine to load a version beside the one that serves.
    fn load(&self, order: EngineOrder) -> PlatformResult<'_, ()>;
    /// Orders the engine to switch to a loaded version.
    fn switch(&self, order: EngineOrder) -> PlatformResult<'_, ()>;
}
