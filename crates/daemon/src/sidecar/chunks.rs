//! Weights in memory: hosts have no disks. See docs/WEIGHTS.md, "Where chunks live".

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
};

use balsamjunction_protocol::{platform::Manifest, ChunkMap};
use bytes::Bytes;
use smol_str::SmolStr;

use crate::sync::lock;

#[derive(Debug)]
struct Held {
    manifest: Manifest,
    chunks: Vec<Option<Bytes>>,
}

/// Verified chunks by version.
#[derive(Debug, Default)]
pub struct ChunkStore {
    versions: Mutex<HashMap<SmolStr, Held>>,
}

impl ChunkStore {
    fn lock(&self) -> MutexGuard<'_, HashMap<SmolStr, Held>> {
        lock(&self.versions)
    }

    /// Starts holding a version; nothing changes if it is held.
    pub fn open(&self, manifest: Manifest) {
        let mut versions = self.lock();
        versions
            .entry(manifest.version.clone())
            .or_insert_with(|| Held {
                chunks: vec![None; manifest.chunks.len()],
                manifest,
            });
    }

    /// Drops all versions but these.
    pub fn retain(&self, keep: &[&SmolStr]) {
        self.lock().retain(|version, _| keep.contains(&version));
    }

    /// The manifest of a version.
    pub fn manifest(&self, version: &str) -> Option<Manifest> {
        self.lock().get(version).map(|held| held.manifest.clone())
    }

    /// Keeps a chunk if it has its hash; tells whether it has.
    pub fn put(&self, version: &str, chunk: usize, buf: Bytes) -> bool {
        let hash = blake3::hash(&buf).to_hex();
        let mut versions = self.lock();
        let Some(held) = versions.get_mut(version) else {
            return false;
        };
        if held.manifest.chunks.get(chunk).map(SmolStr::as_str) != Some(hash.as_str()) {
            return false;
        }
        held.chunks[chunk] = Some(buf);
        true
    }

    /// A chunk, if it is held.
    pub fn get(&self, version: &str, chunk: usize) -> Option<Bytes> {
        let versions = self.lock();
        versions.get(version)?.chunks.get(chunk)?.clone()
    }

    /// The chunks of a version that are held.
    pub fn map(&self, version: &str) -> ChunkMap {
        let versions = self.lock();
        let Some(held) = versions.get(version) else {
            return ChunkMap::default();
        };
        let mut map = ChunkMap::empty(held.chunks.len());
        for (n, chunk) in held.chunks.iter().enumerate() {
            if chunk.is_some() {
                map.set(n);
            }
        }
        map
    }
}
