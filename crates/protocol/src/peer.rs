//! What processes tell each other about the fleet: declarations, members, crashes, weights.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumString};

use crate::request::LoadReport;

/// A fleet declaration as published, with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDocument {
    /// Grows with every accepted declaration.
    pub revision: u64,
    /// Who published it, as the configuration service says.
    #[serde(default)]
    pub author: SmolStr,
    /// JSON with comments, at most one mebibyte.
    pub text: String,
}

/// Whether a member takes part.
#[derive(
    Clone, Copy, Debug, Default, Display, EnumString, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The host is up.
    #[default]
    Live,
    /// The host will stop soon and takes no new work.
    Leaving,
}

/// One process of the system in the membership list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDocument {
    /// The host's name.
    pub host: SmolStr,
    /// The data centre in which it stands.
    pub data_centre: SmolStr,
    /// IP number and port of its inner interface.
    pub address: SmolStr,
    /// Whether it takes part.
    #[serde(default)]
    pub state: MemberState,
}

/// The membership list with its generation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersDocument {
    /// Grows with every change of the list.
    pub generation: u64,
    /// The members, in no particular order.
    pub members: Vec<MemberDocument>,
}

/// A request that an upstream died of.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// The upstream that crashed.
    pub upstream: SmolStr,
}

/// Asks a peer for what is newer than what the sender has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Protocol version of the sender.
    pub v: u16,
    /// Highest declaration revision of the sender.
    pub revision: u64,
    /// Highest membership generation of the sender.
    pub generation: u64,
    /// Digest of the crashes that the sender knows.
    #[serde(default)]
    pub crash_digest: u64,
}

/// What the peer has that is newer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Present if newer than asked.
    #[serde(default)]
    pub fleet: Option<FleetDocument>,
    /// Present if newer than asked.
    #[serde(default)]
    pub members: Option<MembersDocument>,
    /// The peer's own highest revision.
    pub revision: u64,
    /// The peer's own highest generation.
    #[serde(default)]
    pub generation: u64,
    /// Crashes that the peer knows, if its digest is another.
    #[serde(default)]
    pub crashes: Vec<Crash>,
}

/// Tells a peer what the sender has; a peer that is behind pulls.
///
/// Only numbers travel here: a document of hundreds of kilobytes reaches a peer once, however many
/// others tell it.
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

/// One bit per chunk of a version, least significant bit first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkMap(pub Vec<u8>);

impl ChunkMap {
    /// An empty map for `chunks` chunks.
    pub fn empty(chunks: usize) -> Self {
        Self(vec![0; chunks.div_ceil(8)])
    }

    /// Whether the chunk is held.
    pub fn has(&self, chunk: usize) -> bool {
        self.0
            .get(chunk / 8)
            .is_some_and(|byte| byte & (1 << (chunk % 8)) != 0)
    }

    /// Marks every chunk that `other` holds.
    pub fn merge(&mut self, other: &Self) {
        for (byte, more) in self.0.iter_mut().zip(&other.0) {
            *byte |= more;
        }
    }

    /// Marks the chunk as held.
    pub fn set(&mut self, chunk: usize) {
        if let Some(byte) = self.0.get_mut(chunk / 8) {
            *byte |= 1 << (chunk % 8);
        }
    }
}

/// Asks a sidecar what it holds of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkMapRequest {
    /// Protocol version of the sender.
    pub v: u16,
    /// The version.
    pub version: SmolStr,
}

/// What a sidecar holds of a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkMapResponse {
    /// Empty if the sidecar does not know the version.
    pub map: ChunkMap,
    /// Whether the sidecar has switched its engine to the version.
    #[serde(default)]
    pub serving: bool,
    /// Chunks that the sidecar sends now.
    #[serde(default)]
    pub uploads: u32,
    /// Chunks that the sidecar is at work to draw from the origin.
    #[serde(rename = "drawing", default)]
    pub fetching_from_origin: ChunkMap,
}

/// Asks an earlier owner of an idempotency key to give it up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseKeyRequest {
    /// Protocol version of the sender.
    pub v: u16,
    /// The key.
    pub key: crate::IdempotencyKey,
}

/// Whether an earlier owner gave a key up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseKeyResponse {
    /// False if a request with the key ran, runs or may have run.
    pub closed: bool,
}

/// Progress of a version on one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStatus {
    /// The version that the engine serves.
    pub serving: Option<SmolStr>,
    /// The version that the declaration wants.
    #[serde(rename = "wanted")]
    pub target: Option<SmolStr>,
    /// Stage of the turnover towards the wanted version.
    pub stage: SmolStr,
    /// Chunks held and verified of the wanted version.
    #[serde(rename = "chunks_held")]
    pub chunks_stored: u32,
    /// Chunks of the wanted version; zero until its manifest is known.
    pub chunks_total: u32,
    /// Bytes drawn from the origin since the process started.
    pub origin_bytes: u64,
    /// Bytes drawn from peers since the process started.
    pub peer_bytes: u64,
}

/// What a process does now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The host's name.
    pub host: SmolStr,
    /// The data centre in which it stands.
    pub data_centre: SmolStr,
    /// `entry` or `sidecar`.
    pub role: SmolStr,
    /// The pool that a sidecar serves.
    #[serde(default)]
    pub pool: Option<SmolStr>,
    /// Declaration revision in force.
    pub revision: u64,
    /// Generation of the membership list.
    pub generation: u64,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether it is one of the readers of the configuration service.
    pub reader: bool,
    /// A sidecar's load.
    #[serde(default)]
    pub load: LoadReport,
    /// A sidecar's weights.
    #[serde(default)]
    pub versions: VersionStatus,
    /// Calls that this process made to the configuration service.
    #[serde(default)]
    pub service_calls: u64,
}
