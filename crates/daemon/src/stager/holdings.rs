//! Chunks that this host has checked, of the last few versions.

use std::{collections::VecDeque, sync::Mutex};

use balsamjunction_platform::Manifest;
use balsamjunction_protocol::ChunkMap;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use crate::sync::lock;

/// Versions that are kept: the one that serves, the one that comes, and one that overtakes it.
const MAX_VERSIONS: usize = 3;

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionId {
    /// The model.
    pub model: SmolStr,
    /// The version of its weights.
    pub version: u64,
}

struct Held {
    id: VersionId,
    manifest: Manifest,
    chunks: Vec<Option<Bytes>>,
    drawing: ChunkMap,
}

/// Checked chunks, shared with the threads that send them.
#[derive(Default)]
pub struct Holdings {
    versions: Mutex<VecDeque<Held>>,
}

/// Whether a chunk is the one that the manifest names.
pub fn is_whole(manifest: &Manifest, chunk: usize, buf: &[u8]) -> bool {
    let digest = Sha256::digest(buf);
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    manifest
        .digests
        .get(chunk)
        .is_some_and(|expected| expected.eq_ignore_ascii_case(&hex))
}

impl Holdings {
    /// Starts to hold a version; the lowest one goes.
    pub fn open(&self, id: &VersionId, manifest: Manifest) {
        let mut versions = lock(&self.versions);
        if versions.iter().any(|held| held.id == *id) {
            return;
        }
        let chunks = vec![None; manifest.digests.len()];
        versions.push_back(Held {
            id: id.clone(),
            manifest,
            drawing: ChunkMap::empty(chunks.len()),
            chunks,
        });
        if versions.len() > MAX_VERSIONS {
            let lowest = (0..versions.len()).min_by_key(|n| versions[*n].id.version);
            lowest.and_then(|n| versions.remove(n));
        }
    }

    /// Forgets a version whose manifest is not trusted any more.
    pub fn close(&self, id: &VersionId) {
        lock(&self.versions).retain(|held| held.id != *id);
    }

    fn with<T>(&self, id: &VersionId, f: impl FnOnce(&mut Held) -> T) -> Option<T> {
        let mut versions = lock(&self.versions);
        versions.iter_mut().find(|held| held.id == *id).map(f)
    }

    /// The manifest of a version, if it is known.
    pub fn manifest(&self, id: &VersionId) -> Option<Manifest> {
        self.with(id, |held| held.manifest.clone())
    }

    /// Length of a version's chunks in bytes; zero if its manifest is not known.
    pub fn chunk_bytes(&self, id: &VersionId) -> usize {
        let bytes = self.with(id, |held| held.manifest.chunk_bytes);
        bytes.map_or(0, |bytes| bytes as usize)
    }

    /// Chunks of a version that are held, and how many it has; nothing if its manifest is not known.
    pub fn progress(&self, id: &VersionId) -> Option<(usize, usize)> {
        self.with(id, |held| {
            let chunks = &held.chunks;
            (chunks.iter().flatten().count(), chunks.len())
        })
    }

    /// Whether every chunk of a version is held.
    pub fn complete(&self, id: &VersionId) -> bool {
        self.progress(id).is_some_and(|(held, all)| held == all)
    }

    /// Keeps a chunk if it is whole; tells whether it was.
    pub fn put(&self, id: &VersionId, chunk: usize, buf: Bytes) -> bool {
        let Some(manifest) = self.manifest(id) else {
            return false;
        };
        if !is_whole(&manifest, chunk, &buf) {
            return false;
        }
        self.with(id, |held| held.chunks[chunk] = Some(buf))
            .is_some()
    }

    /// A chunk, if it is held.
    pub fn get(&self, id: &VersionId, chunk: usize) -> Option<Bytes> {
        self.with(id, |held| held.chunks.get(chunk).cloned().flatten())?
    }

    /// Notes which chunks of a version this host is at work to draw from the origin.
    pub fn set_drawing(&self, id: &VersionId, drawing: ChunkMap) {
        self.with(id, |held| held.drawing = drawing);
    }

    /// Which chunks of a version this host is at work to draw from the origin.
    pub fn drawing(&self, id: &VersionId) -> ChunkMap {
        self.with(id, |held| held.drawing.clone())
            .unwrap_or_default()
    }

    /// Which chunks of a version are held.
    pub fn map(&self, id: &VersionId) -> ChunkMap {
        let map = self.with(id, |held| {
            let mut map = ChunkMap::empty(held.chunks.len());
            for (chunk, _) in held.chunks.iter().enumerate().filter(|(_, c)| c.is_some()) {
                map.set(chunk);
            }
            map
        });
        map.unwrap_or_default()
    }
}
