//! A stand-in for the platform's origin of weights.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
};

use bytes::Bytes;
use futures_util::FutureExt;
use serde_json::json;
use sha2::{Digest, Sha256};

use super::server::{build_response, query_param, serve};
use crate::error::LabError;

/// Number of chunks in every version.
pub const CHUNK_COUNT: usize = 16;
/// Length of every chunk in bytes.
pub const CHUNK_BYTES: usize = 4_096;

/// The contents of a chunk, derived from its version and number.
pub fn chunk(version: u64, chunk: usize) -> Bytes {
    let seed = format!("{version}/{chunk}");
    let digest = Sha256::digest(seed.as_bytes());
    let contents = digest.iter().copied().cycle().take(CHUNK_BYTES);
    Bytes::from(contents.collect::<Vec<u8>>())
}

fn hex_digest(buf: &[u8]) -> String {
    let digest = Sha256::digest(buf);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[derive(Debug, Default)]
struct SharedState {
    chunks_sent: AtomicU64,
    corrupt_next_manifest: AtomicBool,
    down: AtomicBool,
}

/// A running origin; clones share its state.
#[derive(Clone)]
pub struct Origin {
    /// The address it listens on.
    pub address: SocketAddr,
    state: Arc<SharedState>,
}

impl Origin {
    /// Starts an origin that serves every version.
    pub async fn start() -> Result<Self, LabError> {
        let state = Arc::new(SharedState::default());
        let shared = state.clone();
        let address = serve(move |req| {
            let state = shared.clone();
            async move {
                if state.down.load(Ordering::Acquire) {
                    return Ok(build_response(503, ""));
                }
                let version = query_param(&req, "version").and_then(|v| v.parse().ok());
                let version: u64 = version.unwrap_or(1);
                let path = req.uri().path();
                let Some(model) = path.strip_prefix("/manifest/") else {
                    state.chunks_sent.fetch_add(1, Ordering::AcqRel);
                    let number = query_param(&req, "quantity").and_then(|n| n.parse().ok());
                    return Ok(build_response(200, chunk(version, number.unwrap_or(0))));
                };
                let mut digests: Vec<String> = (0..CHUNK_COUNT)
                    .map(|n| hex_digest(&chunk(version, n)))
                    .collect();
                if state.corrupt_next_manifest.swap(false, Ordering::AcqRel) {
                    digests[0] = hex_digest(b"another chunk");
                }
                let manifest = json!({
                    "model": model, "version": version, "chunkBytes": CHUNK_BYTES,
                    "layers": 4, "digests": digests,
                });
                Ok(build_response(200, manifest.to_string()))
            }
            .boxed_local()
        })
        .await?;
        Ok(Self { address, state })
    }

    /// Number of chunks sent since the start.
    pub fn chunks_sent(&self) -> u64 {
        self.state.chunks_sent.load(Ordering::Acquire)
    }

    /// Gives the next manifest a wrong digest for its first chunk.
    pub fn corrupt_next_manifest(&self) {
        self.state
            .corrupt_next_manifest
            .store(true, Ordering::Release);
    }

    /// Makes the origin respond with status 503 to every request, or ends that.
    pub fn set_down(&self, down: bool) {
        self.state.down.store(down, Ordering::Release);
    }
}
