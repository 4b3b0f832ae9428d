//! Messages of the platform's published protocols. See docs/PLATFORM.md.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The chunks of a version of weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Name of the version.
    pub version: SmolStr,
    /// Total length of all chunks, in bytes.
    pub bytes: u64,
    /// Length of each chunk but the last, in bytes.
    pub chunk_bytes: u32,
    /// BLAKE3 hash of each chunk, in hexadecimal.
    pub chunks: Vec<SmolStr>,
}

impl Manifest {
    /// Length of one chunk in bytes; zero beyond the end.
    pub fn chunk_length(&self, chunk: usize) -> usize {
        let start = chunk as u64 * u64::from(self.chunk_bytes);
        (self.bytes.saturating_sub(start)).min(u64::from(self.chunk_bytes)) as usize
    }
}

/// State of an engine, as reported by the engine itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The version that serves requests; absent if none does.
    pub serving: Option<SmolStr>,
    /// The version that is loaded in addition, ready to be switched to.
    pub loaded: Option<SmolStr>,
    /// Id of this start of the engine.
    #[serde(rename = "boot")]
    pub boot_id: SmolStr,
}

/// An order to an engine, with a fencing token and an expiry time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The version that the order is for.
    pub version: SmolStr,
    /// Fencing token. An engine that supports fencing refuses a lower token than it has seen.
    pub fence: u64,
    /// Expiry in milliseconds since the Unix epoch; later the order must not be executed.
    pub not_after_ms: u64,
    /// Base URL from which the engine reads the manifest and chunks.
    #[serde(default)]
    pub weights: Option<SmolStr>,
}
