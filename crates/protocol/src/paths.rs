//! Paths of the inner HTTP interface, which callers never reach.

/// Prefix below which a sidecar carries requests to its upstream.
pub const PROXY_PREFIX: &str = "/carry";
/// Pull of the fleet declaration and the membership list from a peer.
pub const PULL: &str = "/peer/pull";
/// Announcement of a newer declaration or list to a peer.
pub const ANNOUNCE: &str = "/peer/announce";
/// Report of a request that crashed an upstream.
pub const CRASH: &str = "/peer/crash";
/// Exchange of views between processes that find each other through seeds.
pub const SYNC: &str = "/mesh/sync";
/// Changes of facts, from entries that read the store to all others.
pub const CHANGES: &str = "/mesh/changes";
/// News of versions, from an entry to sidecars.
pub const WEIGHTS_UPDATE: &str = "/mesh/news";
/// Report of requests that broke upstreams, among entries.
pub const MESH_CRASHES: &str = "/mesh/broken";
/// Prefix of one chunk: `/mesh/chunk/{model}/{version}/{chunk}`.
pub const MODEL_CHUNK: &str = "/mesh/chunk";
/// Prefix of what a sidecar holds: `/mesh/have/{model}/{version}`.
pub const MODEL_CHUNK_MAP: &str = "/mesh/have";
/// Closing of an idempotency key at an earlier owner.
pub const CLOSE_KEY: &str = "/once/close";
/// Which chunks of a version a sidecar holds.
pub const CHUNK_MAP: &str = "/weights/have";
/// Prefix of one chunk: `/weights/chunk/{version}/{index}`.
pub const CHUNK: &str = "/weights/chunk";
/// Prefix of a manifest: `/weights/manifest/{version}`.
pub const MANIFEST: &str = "/weights/manifest";
/// What a process does now, for operators.
pub const STATUS: &str = "/status";
/// The audit trail, for operators.
pub const AUDIT: &str = "/audit";
/// Metrics in the OpenMetrics text format.
pub const METRICS: &str = "/metrics";
/// Answers 200 while the process runs.
pub const LIVE: &str = "/health/live";
/// Answers 200 while the process takes new work.
pub const READY: &str = "/health/ready";
