//! Paths of the inner HTTP interface, which is not exposed to callers.

/// Prefix of requests that a sidecar proxies to its upstream.
pub const PROXY_PREFIX: &str = "/carry";
/// Pulls the fleet declaration and the membership list from a peer.
pub const PULL: &str = "/peer/pull";
/// Announces a newer declaration or membership list to a peer.
pub const ANNOUNCE: &str = "/peer/announce";
/// Reports a request that crashed an upstream.
pub const CRASH: &str = "/peer/crash";
/// Exchanges cluster views between processes that discover each other through seeds.
pub const SYNC: &str = "/mesh/sync";
/// Pushes changes of facts from entries that read the store to all other entries.
pub const CHANGES: &str = "/mesh/changes";
/// Requests a part of a configuration from an entry that was discovered through seeds.
pub const MESH_PART: &str = "/mesh/part";
/// Pushes target versions from an entry to sidecars.
pub const WEIGHTS_UPDATE: &str = "/mesh/news";
/// Reports which parts of prompts, and which requests, were at upstreams that crashed, to entries that were discovered through seeds.
pub const MESH_CRASH_EVIDENCE: &str = "/mesh/crash-evidence";
/// Reports limits that upstreams stated to entries that were discovered through seeds.
pub const MESH_LIMITS: &str = "/mesh/limits";
/// Prefix of one chunk of a model: `/mesh/chunk/{model}/{version}/{chunk}`.
pub const MODEL_CHUNK: &str = "/mesh/chunk";
/// Prefix of the map of chunks that a sidecar stores: `/mesh/have/{model}/{version}`.
pub const MODEL_CHUNK_MAP: &str = "/mesh/have";
/// Closes an idempotency key at an earlier owner.
pub const CLOSE_KEY: &str = "/once/close";
/// Queries which chunks of a version a sidecar stores.
pub const CHUNK_MAP: &str = "/weights/have";
/// Prefix of one chunk: `/weights/chunk/{version}/{index}`.
pub const CHUNK: &str = "/weights/chunk";
/// Prefix of a manifest: `/weights/manifest/{version}`.
pub const MANIFEST: &str = "/weights/manifest";
/// Status of the process, for operators.
pub const STATUS: &str = "/status";
/// Audit log of the process, for operators.
pub const AUDIT: &str = "/audit";
/// Metrics in the OpenMetrics text format.
pub const METRICS: &str = "/metrics";
/// Liveness probe: returns 200 while the process runs.
pub const LIVE: &str = "/health/live";
/// Readiness probe: returns 200 while the process accepts new requests.
pub const READY: &str = "/health/ready";
