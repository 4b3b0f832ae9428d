//! The origin of weights.

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

use super::server::{query, reply, serve};
use crate::error::LabError;

/// Chunks of every version.
pub const CHUNK_COUNT: usize = 16;
/// Length of every chunk in bytes.
pub const CHUNK_BYTES: usize = 4_096;

/// The bytes of a chunk, which differ from version to version.
pub fn chunk(version: u64, chunk: usize) -> Bytes {
    let seed = format!("{version}/{chunk}");
    let digest = Sha256::digest(seed.as_bytes());
    let all = digest.iter().copied().cycle().take(CHUNK_BYTES);
    Bytes::from(all.collect::<Vec<u8>>())
}

fn digest(buf: &[u8]) -> String {
    let digest = Sha256::digest(buf);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[derive(Debug, Default)]
struct Counters {
    chunks: AtomicU64,
    corrupt_next_manifest: AtomicBool,
    down: AtomicBool,
}

/// The origin.
#[derive(Clone)]
pub struct Origin {
    /// Where it listens.
    pub address: SocketAddr,
    counters: Arc<Counters>,
}

impl Origin {
    /// Starts an origin that has every version.
    pub async fn start() -> Result<Self, LabError> {
        let counters = Arc::new(Counters::default());
        let served = counters.clone();
        let address = serve(move |req| {
            let counters = served.clone();
            async move {
                if counters.down.load(Ordering::Acquire) {
                    return Ok(reply(503, ""));
                }
                let version = query(&req, "version").and_then(|v| v.parse().ok());
                let version: u64 = version.unwrap_or(1);
                let path = req.uri().path();
                let Some(model) = path.strip_prefix("/manifest/") else {
                    counters.chunks.fetch_add(1, Ordering::AcqRel);
                    let number = query(&req, "quantity").and_then(|n| n.parse().ok());
                    return Ok(reply(200, chunk(version, number.unwrap_or(0))));
                };
                let mut digests: Vec<String> = (0..CHUNK_COUNT)
                    .map(|n| digest(&chunk(version, n)))
                    .collect();
                if counters.corrupt_next_manifest.swap(false, Ordering::AcqRel) {
                    digests[0] = digest(b"another chunk");
                }
                let manifest = json!({
                    "model": model, "version": version, "chunkBytes": CHUNK_BYTES,
                    "layers": 4, "digests": digests,
                });
                Ok(reply(200, manifest.to_string()))
            }
            .boxed_local()
        })
        .await?;
        Ok(Self { address, counters })
    }

    /// Chunks sent so far.
    pub fn chunks_sent(&self) -> u64 {
        self.counters.chunks.load(Ordering::Acquire)
    }

    /// Spoils the next manifest.
    pub fn corrupt_next_manifest(&self) {
        self.counters
            .corrupt_next_manifest
            .store(true, Ordering::Release);
    }

    /// Takes the origin away, or brings it back.
    pub fn set_down(&self, down: bool) {
        self.counters.down.store(down, Ordering::Release);
    }
}
