//! In-memory cache of verified chunks of the last few versions.

use std::{collections::VecDeque, sync::Mutex};

use balsamjunction_platform::Manifest;
use balsamjunction_policy::{fetch::OriginState, Moment};
use balsamjunction_protocol::ChunkMap;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use crate::sync::lock;

/// Most versions in the cache: the one in service, the next one, and one that supersedes it.
const MAX_VERSIONS: usize = 3;

/// Time for which a version counts as wanted by a peer that asked for its chunks. Peers ask every 100 ms.
const DEMAND_LIFETIME: Moment = Moment::from_millis(1_000);

/// Identifies a version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionId {
    /// Name of the model.
    pub model: SmolStr,
    /// The version of its weights.
    pub version: u64,
}

struct CachedVersion {
    id: VersionId,
    manifest: Manifest,
    chunks: Vec<Option<Bytes>>,
    fetching_from_origin: ChunkMap,
    /// Chunks of which a response of the origin is awaited.
    in_flight: Vec<bool>,
}

/// A version of which a peer asks for chunks.
struct Demand {
    id: VersionId,
    at: Moment,
}

/// Verified chunks, shared with the server threads.
#[derive(Default)]
pub struct ChunkCache {
    versions: Mutex<VecDeque<CachedVersion>>,
    demands: Mutex<VecDeque<Demand>>,
    origin: Mutex<OriginState>,
}

/// Whether the SHA-256 digest of a chunk is the one in the manifest.
pub fn matches_digest(manifest: &Manifest, chunk: usize, buf: &[u8]) -> bool {
    let digest = Sha256::digest(buf);
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    manifest
        .digests
        .get(chunk)
        .is_some_and(|expected| expected.eq_ignore_ascii_case(&hex))
}

impl ChunkCache {
    /// Adds a version without chunks; evicts the lowest version if there are too many.
    pub fn insert_version(&self, id: &VersionId, manifest: Manifest) {
        let mut versions = lock(&self.versions);
        if versions.iter().any(|cached| cached.id == *id) {
            return;
        }
        let chunks = vec![None; manifest.digests.len()];
        versions.push_back(CachedVersion {
            id: id.clone(),
            manifest,
            fetching_from_origin: ChunkMap::empty(chunks.len()),
            in_flight: vec![false; chunks.len()],
            chunks,
        });
        if versions.len() > MAX_VERSIONS {
            let lowest = (0..versions.len()).min_by_key(|n| versions[*n].id.version);
            lowest.and_then(|n| versions.remove(n));
        }
    }

    /// Records that a peer asks for chunks of a version.
    pub fn record_demand(&self, now: Moment, id: VersionId) {
        let mut demands = lock(&self.demands);
        demands.retain(|demand| demand.id != id);
        demands.push_back(Demand { id, at: now });
        if demands.len() > MAX_VERSIONS {
            demands.pop_front();
        }
    }

    /// The versions of which peers asked for chunks lately.
    pub fn demanded_versions(&self, now: Moment) -> Vec<VersionId> {
        let demands = lock(&self.demands);
        let recent = demands
            .iter()
            .filter(|demand| now.saturating_sub(demand.at) < DEMAND_LIFETIME);
        recent.map(|demand| demand.id.clone()).collect()
    }

    /// Whether a version is cached or can be added without being evicted at once.
    pub fn has_room_for(&self, id: &VersionId) -> bool {
        let versions = lock(&self.versions);
        let higher = versions
            .iter()
            .filter(|cached| cached.id.version > id.version);
        higher.count() < MAX_VERSIONS
    }

    /// What this host knows of the origin.
    pub fn origin_state(&self) -> OriginState {
        *lock(&self.origin)
    }

    /// Adds what a fetch has learned of the origin.
    pub fn update_origin_state(&self, state: OriginState) {
        let mut known = lock(&self.origin);
        known.failed_at = known.failed_at.max(state.failed_at);
        known.responded_at = known.responded_at.max(state.responded_at);
    }

    /// Removes a version with its chunks, because its manifest is no longer trusted.
    pub fn remove_version(&self, id: &VersionId) {
        lock(&self.versions).retain(|cached| cached.id != *id);
    }

    fn with_version<T>(
        &self,
        id: &VersionId,
        f: impl FnOnce(&mut CachedVersion) -> T,
    ) -> Option<T> {
        let mut versions = lock(&self.versions);
        versions.iter_mut().find(|cached| cached.id == *id).map(f)
    }

    /// The manifest of a version, if the version is cached.
    pub fn manifest(&self, id: &VersionId) -> Option<Manifest> {
        self.with_version(id, |cached| cached.manifest.clone())
    }

    /// Length of the longest chunk of a version in bytes; zero if the version is not cached.
    pub fn max_chunk_bytes(&self, id: &VersionId) -> usize {
        let bytes = self.with_version(id, |cached| cached.manifest.max_chunk_bytes());
        bytes.unwrap_or(0)
    }

    /// Number of cached chunks and of all chunks of a version; `None` if the version is not cached.
    pub fn chunk_counts(&self, id: &VersionId) -> Option<(usize, usize)> {
        self.with_version(id, |cached| {
            let chunks = &cached.chunks;
            (chunks.iter().flatten().count(), chunks.len())
        })
    }

    /// Whether every chunk of a version is cached.
    pub fn is_complete(&self, id: &VersionId) -> bool {
        self.chunk_counts(id)
            .is_some_and(|(cached, all)| cached == all)
    }

    /// Caches a chunk if its digest matches; returns whether it was cached.
    pub fn put(&self, id: &VersionId, chunk: usize, buf: Bytes) -> bool {
        let Some(manifest) = self.manifest(id) else {
            return false;
        };
        if !matches_digest(&manifest, chunk, &buf) {
            return false;
        }
        self.with_version(id, |cached| cached.chunks[chunk] = Some(buf))
            .is_some()
    }

    /// Returns a chunk, if it is cached.
    pub fn get(&self, id: &VersionId, chunk: usize) -> Option<Bytes> {
        self.with_version(id, |cached| cached.chunks.get(chunk).cloned().flatten())?
    }

    /// Records the chunks of a version that this host is fetching from the origin.
    pub fn set_fetching_from_origin(&self, id: &VersionId, fetching_from_origin: ChunkMap) {
        self.with_version(id, |cached| {
            cached.fetching_from_origin = fetching_from_origin
        });
    }

    /// Records whether a response of the origin with a chunk is awaited.
    pub fn set_in_flight(&self, id: &VersionId, chunk: usize, in_flight: bool) {
        self.with_version(id, |cached| {
            if let Some(entry) = cached.in_flight.get_mut(chunk) {
                *entry = in_flight;
            }
        });
    }

    /// Chunks of which a response of the origin is awaited.
    pub fn in_flight(&self, id: &VersionId) -> ChunkMap {
        let map = self.with_version(id, |cached| {
            let mut map = ChunkMap::empty(cached.in_flight.len());
            let chunks = cached.in_flight.iter().enumerate();
            let awaited = chunks.filter(|(_, in_flight)| **in_flight);
            awaited.for_each(|(chunk, _)| map.set(chunk));
            map
        });
        map.unwrap_or_default()
    }

    /// Chunks of a version that this host is fetching from the origin.
    pub fn fetching_from_origin(&self, id: &VersionId) -> ChunkMap {
        self.with_version(id, |cached| cached.fetching_from_origin.clone())
            .unwrap_or_default()
    }

    /// Map of the cached chunks of a version; empty if the version is not cached.
    pub fn chunk_map(&self, id: &VersionId) -> ChunkMap {
        let map = self.with_version(id, |cached| {
            let mut map = ChunkMap::empty(cached.chunks.len());
            for (chunk, _) in cached
                .chunks
                .iter()
                .enumerate()
                .filter(|(_, c)| c.is_some())
            {
                map.set(chunk);
            }
            map
        });
        map.unwrap_or_default()
    }
}
