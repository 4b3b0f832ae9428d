//! Messages of the platform's published protocols. See docs/PLATFORM.md.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What a version consists of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version's name.
    pub version: SmolStr,
    /// Length of all chunks together.
    pub bytes: u64,
    /// Length of each chunk but the last.
    pub chunk_bytes: u32,
    /// BLAKE3 hash of each chunk in hexadecimal.
    pub chunks: Vec<SmolStr>,
}

impl Manifest {
    /// Length of one chunk.
    pub fn chunk_length(&self, chunk: usize) -> usize {
        let start = chunk as u64 * u64::from(self.chunk_bytes);
        (self.bytes.saturating_sub(start)).min(u64::from(self.chunk_bytes)) as usize
    }
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The version that serves.
    pub serving: Option<SmolStr>,
    /// The version that is loaded beside it.
    pub loaded: Option<SmolStr>,
    /// Changes with every start of the engine.
    #[serde(rename = "boot")]
    pub boot_id: SmolStr,
}

/// An order to an engine, fenced and with an end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The version.
    pub version: SmolStr,
    /// Fencing number; an engine that compares refuses a lower one.
    pub fence: u64,
    /// Milliseconds since the Unix epoch after which the order must not be carried out.
    pub not_after_ms: u64,
    /// Base address from which the engine reads manifest and chunks.
    #[serde(default)]
    pub weights: Option<SmolStr>,
}
