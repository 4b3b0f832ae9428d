//! Messages between processes about the fleet: declarations, members, crashes, weights.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumString};

use crate::request::LoadReport;

/// A published fleet declaration with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDocument {
    /// Increases with every accepted declaration.
    pub revision: u64,
    /// Author of the declaration, as reported by the configuration service.
    #[serde(default)]
    pub author: SmolStr,
    /// The declaration: JSON with comments, at most one mebibyte.
    pub text: String,
}

/// Whether a member accepts new requests.
#[derive(
    Clone, Copy, Debug, Default, Display, EnumString, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The host is live.
    #[default]
    Live,
    /// The host will stop soon and accepts no new requests.
    Leaving,
}

/// One process of the system, as listed in the membership list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDocument {
    /// Name of the host.
    pub host: SmolStr,
    /// The data centre of the host.
    pub data_centre: SmolStr,
    /// IP address and port of its inner interface.
    pub address: SmolStr,
    /// Whether it accepts new requests.
    #[serde(default)]
    pub state: MemberState,
}

/// The membership list with its generation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersDocument {
    /// Increases with every change of the list.
    pub generation: u64,
    /// The members, in no particular order.
    pub members: Vec<MemberDocument>,
}

/// A crash of an upstream, attributed to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request; see [`crate::Envelope::fingerprint`].
    pub fingerprint: u64,
    /// The upstream that crashed.
    pub upstream: SmolStr,
}

/// Asks a peer for documents and crashes that the sender does not have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Protocol version of the sender.
    pub v: u16,
    /// Highest declaration revision of the sender.
    pub revision: u64,
    /// Highest membership generation of the sender.
    pub generation: u64,
    /// Digest of the set of crashes that the sender knows.
    #[serde(default)]
    pub crash_digest: u64,
}

/// A peer's response to a [`PullRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullResponse {
    /// The peer's declaration, if its revision is higher than the one in the request.
    #[serde(default)]
    pub fleet: Option<FleetDocument>,
    /// The peer's membership list, if its generation is higher than the one in the request.
    #[serde(default)]
    pub members: Option<MembersDocument>,
    /// The peer's own highest revision.
    pub revision: u64,
    /// The peer's own highest generation.
    #[serde(default)]
    pub generation: u64,
    /// All crashes that the peer knows, if their digest differs from the one in the request.
    #[serde(default)]
    pub crashes: Vec<Crash>,
}

/// Announces the sender's revisions; a peer with lower ones pulls from the sender.
///
/// It contains numbers only, so that a document of hundreds of kilobytes is transferred to a peer
/// once, however many processes announce it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Protocol version of the sender.
    pub v: u16,
    /// Highest declaration revision of the sender.
    pub revision: u64,
    /// Highest membership generation of the sender.
    pub generation: u64,
    /// Inner address of the sender.
    pub from: SmolStr,
}

/// A bitmap of the chunks of a version, least significant bit first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkMap(pub Vec<u8>);

impl ChunkMap {
    /// Creates a map of `chunks` chunks with none marked.
    pub fn empty(chunks: usize) -> Self {
        Self(vec![0; chunks.div_ceil(8)])
    }

    /// Whether the chunk is marked. Chunks beyond the end of the map are not.
    pub fn has(&self, chunk: usize) -> bool {
        self.0
            .get(chunk / 8)
            .is_some_and(|byte| byte & (1 << (chunk % 8)) != 0)
    }

    /// Marks every chunk that is marked in `other`.
    pub fn merge(&mut self, other: &Self) {
        for (byte, other_byte) in self.0.iter_mut().zip(&other.0) {
            *byte |= other_byte;
        }
    }

    /// Marks the chunk. Chunks beyond the end of the map are ignored.
    pub fn set(&mut self, chunk: usize) {
        if let Some(byte) = self.0.get_mut(chunk / 8) {
            *byte |= 1 << (chunk % 8);
        }
    }
}

/// Asks a sidecar which chunks of a version it stores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkMapRequest {
    /// Protocol version of the sender.
    pub v: u16,
    /// Name of the version.
    pub version: SmolStr,
}

/// The chunks of a version that a sidecar stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkMapResponse {
    /// The stored chunks; empty if the sidecar does not know the version.
    pub map: ChunkMap,
    /// Whether the sidecar has switched its engine to the version.
    #[serde(default)]
    pub serving: bool,
    /// Number of chunks that the sidecar is sending to peers.
    #[serde(default)]
    pub uploads: u32,
    /// Chunks that the sidecar is fetching from the origin.
    #[serde(rename = "drawing", default)]
    pub fetching_from_origin: ChunkMap,
    /// Time since a chunk arrived from the origin last, at the sidecar or at one that told it, in milliseconds; absent
    /// if that is not known.
    #[serde(default)]
    pub origin_age_ms: Option<u32>,
}

/// Asks an earlier owner of an idempotency key to release it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseKeyRequest {
    /// Protocol version of the sender.
    pub v: u16,
    /// The key to release.
    pub key: crate::IdempotencyKey,
}

/// Whether an earlier owner released a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseKeyResponse {
    /// False if a request with the key ran, is running or may have run.
    pub closed: bool,
}

/// Progress of the switch to a version on one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStatus {
    /// The version that the engine serves; absent if it serves none.
    pub serving: Option<SmolStr>,
    /// The target version in the declaration.
    #[serde(rename = "wanted")]
    pub target: Option<SmolStr>,
    /// Stage of the upgrade to the target version.
    pub stage: SmolStr,
    /// Stored and verified chunks of the target version.
    #[serde(rename = "chunks_held")]
    pub chunks_stored: u32,
    /// Total chunks of the target version; zero until its manifest is known.
    pub chunks_total: u32,
    /// Bytes fetched from the origin since the process started.
    pub origin_bytes: u64,
    /// Bytes fetched from peers since the process started.
    pub peer_bytes: u64,
}

/// Status of a process, as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the host.
    pub host: SmolStr,
    /// The data centre of the host.
    pub data_centre: SmolStr,
    /// `entry` or `sidecar`.
    pub role: SmolStr,
    /// The pool of a sidecar's upstream; absent for entries.
    #[serde(default)]
    pub pool: Option<SmolStr>,
    /// Revision of the declaration in force.
    pub revision: u64,
    /// Generation of the membership list.
    pub generation: u64,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Whether it is one of the processes that read the configuration service.
    pub reader: bool,
    /// Load of a sidecar's upstream.
    #[serde(default)]
    pub load: LoadReport,
    /// Versions of a sidecar's weights.
    #[serde(default)]
    pub versions: VersionStatus,
    /// Number of calls to the configuration service since the process started.
    #[serde(default)]
    pub service_calls: u64,
}
