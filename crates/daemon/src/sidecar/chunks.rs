//! Weights stored in memory, since hosts have no disks. See docs/WEIGHTS.md, "Where chunks live".

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
};

use balsamjunction_protocol::{platform::Manifest, ChunkMap};
use bytes::Bytes;
use smol_str::SmolStr;

use crate::sync::lock;

#[derive(Debug)]
struct StoredVersion {
    manifest: Manifest,
    chunks: Vec<Option<Bytes>>,
    /// Chunks that this host is to fetch from the origin for the fleet.
    fetching_from_origin: ChunkMap,
}

/// Manifests and verified chunks, by version.
#[derive(Debug, Default)]
pub struct ChunkStore {
    versions: Mutex<HashMap<SmolStr, StoredVersion>>,
}

impl ChunkStore {
    fn lock(&self) -> MutexGuard<'_, HashMap<SmolStr, StoredVersion>> {
        lock(&self.versions)
    }

    /// Adds a version without chunks; does nothing if the version is stored already.
    pub fn add_version(&self, manifest: Manifest) {
        let mut versions = self.lock();
        versions
            .entry(manifest.version.clone())
            .or_insert_with(|| StoredVersion {
                chunks: vec![None; manifest.chunks.len()],
                manifest,
                fetching_from_origin: ChunkMap::default(),
            });
    }

    /// Removes all versions except `keep`.
    pub fn retain_versions(&self, keep: &[&SmolStr]) {
        self.lock().retain(|version, _| keep.contains(&version));
    }

    /// The manifest of a version, if the version is stored.
    pub fn manifest(&self, version: &str) -> Option<Manifest> {
        self.lock()
            .get(version)
            .map(|stored| stored.manifest.clone())
    }

    /// Stores a chunk if its hash matches the manifest; returns whether it was stored.
    pub fn insert_verified(&self, version: &str, chunk: usize, buf: Bytes) -> bool {
        let hash = blake3::hash(&buf).to_hex();
        let mut versions = self.lock();
        let Some(stored) = versions.get_mut(version) else {
            return false;
        };
        if stored.manifest.chunks.get(chunk).map(SmolStr::as_str) != Some(hash.as_str()) {
            return false;
        }
        stored.chunks[chunk] = Some(buf);
        true
    }

    /// A chunk, if it is stored.
    pub fn get(&self, version: &str, chunk: usize) -> Option<Bytes> {
        let versions = self.lock();
        versions.get(version)?.chunks.get(chunk)?.clone()
    }

    /// Records the chunks of a version that this host is to fetch from the origin for the fleet.
    pub fn set_fetching_from_origin(&self, version: &str, chunks: ChunkMap) {
        if let Some(stored) = self.lock().get_mut(version) {
            stored.fetching_from_origin = chunks;
        }
    }

    /// The chunks of a version that this host is to fetch from the origin for the fleet.
    pub fn fetching_from_origin(&self, version: &str) -> ChunkMap {
        let versions = self.lock();
        let stored = versions.get(version);
        stored.map_or_else(ChunkMap::default, |s| s.fetching_from_origin.clone())
    }

    /// The chunks of a version that are stored; empty if the version is not.
    pub fn chunk_map(&self, version: &str) -> ChunkMap {
        let versions = self.lock();
        let Some(stored) = versions.get(version) else {
            return ChunkMap::default();
        };
        let mut map = ChunkMap::empty(stored.chunks.len());
        for (n, chunk) in stored.chunks.iter().enumerate() {
            if chunk.is_some() {
                map.set(n);
            }
        }
        map
    }
}
