//! Messages between processes that discover each other through seeds.

use std::net::SocketAddr;

use balsamjunction_directory::{
    Declaration, DeclarationId, Digest, Part, ReplicaPull, ReplicaUpdate, VerificationAge,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::EnumIter;

/// A part of a prompt, by the hash that callers state for it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{_0:x}")]
#[serde(transparent)]
pub struct PromptPart(pub u64);

/// The role of a process in the cluster.
#[derive(
    Clone, Copy, Debug, strum::Display, EnumIter, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ProcessRole {
    /// Accepts callers' requests and routes them.
    Entry,
    /// Stages model weights for one engine.
    Sidecar,
}

/// The membership record of one process, written by that process only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the host that the process runs on.
    pub host: SmolStr,
    /// Role of the process.
    pub role: ProcessRole,
    /// The data centre of the host.
    pub data_centre: SmolStr,
    /// Address of its inner interface.
    pub address: SocketAddr,
    /// Increases with every start of the process.
    pub incarnation: u64,
    /// Heartbeat counter; increases while the process runs.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether the process is about to stop.
    #[serde(default)]
    pub leaving: bool,
    /// For an entry: whether it can read the store.
    #[serde(default)]
    pub reads_store: bool,
    /// For a sidecar: the state of its engine.
    #[serde(default)]
    pub engine: Option<EngineStatus>,
}

/// A compact reference to a member record, with the latest heartbeat that the sender has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHeartbeat {
    /// Hash of the record without its heartbeat.
    pub key: u64,
    /// The heartbeat counter.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
}

/// The state of an engine, as its sidecar reports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine's listening address.
    pub address: SocketAddr,
    /// The service that the engine belongs to.
    pub service: SmolStr,
    /// Start time of the engine, in milliseconds since the Unix epoch.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// The model and version that the engine serves; absent if it serves none.
    pub serving: Option<(SmolStr, u64)>,
    /// Whether the engine is switching to other weights now.
    #[serde(rename = "turning")]
    pub switching: bool,
    /// Service time relative to the typical one; above 100 for a slow engine.
    #[serde(rename = "pace_percent", default = "usual_pace")]
    pub service_time_percent: u32,
}

/// The typical service time, for messages that do not state it.
fn usual_pace() -> u32 {
    100
}

/// Asks a peer to exchange cluster views.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Protocol version of the sender.
    pub v: u16,
    /// The sender's own record, or the records that the peer reported as unknown.
    pub members: Vec<MemberRecord>,
    /// Digest of the set of members that the sender considers live.
    pub member_digest: u64,
    /// Members that the sender considers live. Present if the sender wants the peer's view in return.
    #[serde(rename = "views", default)]
    pub live_members: Option<Vec<MemberHeartbeat>>,
    /// Asks for newer facts. Present if the sender's own are not fresh.
    #[serde(default)]
    pub pull: Option<ReplicaPull>,
    /// Limits of upstreams that the sender knows. Present if the sender wants those of the peer in return.
    #[serde(default)]
    pub limits: Option<Vec<LimitReport>>,
    /// Digest of the sender's observations of crashes. Present if the sender wants those of the peer.
    #[serde(default)]
    pub crash_digest: Option<u64>,
    /// The same for identical requests.
    #[serde(default)]
    pub request_crash_digest: Option<u64>,
    /// Whether the response is to contain a [`WeightsUpdate`].
    #[serde(rename = "weights", default)]
    pub include_weights: bool,
    /// Whether the sender accepts a compressed response.
    #[serde(default)]
    pub accepts_compressed: bool,
}

/// A peer's response to a [`SyncRequest`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// The peer's own record and, if the request has `live_members`, the records missing from them.
    pub members: Vec<MemberRecord>,
    /// Members of which the peer has seen a later heartbeat than the sender.
    #[serde(rename = "pulses", default)]
    pub heartbeats: Vec<MemberHeartbeat>,
    /// Keys in the sender's `live_members` that the peer does not know.
    #[serde(rename = "lacks", default)]
    pub unknown_keys: Vec<u64>,
    /// Whether peer and sender consider the same members live.
    #[serde(default)]
    pub same_members: bool,
    /// When the peer's facts were last verified complete; absent if they never were.
    #[serde(rename = "proof", default)]
    pub verification: Option<VerificationAge>,
    /// Newer facts, if they were requested and the peer has any.
    #[serde(default)]
    pub update: Option<ReplicaUpdate>,
    /// Limits of upstreams that the peer knows, if the request has `limits`.
    #[serde(default)]
    pub limits: Vec<LimitReport>,
    /// Observations of crashes, if the request has a digest that differs from the peer's.
    #[serde(default)]
    pub crash_evidence: Option<CrashEvidence>,
    /// The same for identical requests.
    #[serde(default)]
    pub request_crash_evidence: Option<CrashEvidence>,
    /// Facts for sidecars, if they were requested and the peer has them.
    #[serde(default)]
    pub weights: Option<WeightsUpdate>,
}

/// The facts that a sidecar needs to provide its engine with weights.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsUpdate {
    /// Time since the peer's facts were last verified complete, in milliseconds.
    pub age_ms: u64,
    /// Target version of each model.
    #[serde(rename = "wanted")]
    pub target_versions: Vec<(SmolStr, u64)>,
    /// IP address and port of the origin of weights.
    pub origin: Option<SmolStr>,
    /// Bandwidth of the origin's link, in kilobits per second; zero if unknown.
    #[serde(default)]
    pub origin_kbit_s: u32,
    /// Pairs of a service of engines and a model that its engines may load.
    #[serde(rename = "models")]
    pub service_models: Vec<(SmolStr, SmolStr)>,
    /// The version of the configuration that declares the origin and the models; zero if the sender does not tell.
    #[serde(default)]
    pub configuration: u64,
}

impl WeightsUpdate {
    /// Keeps what a later configuration declares, if this update is of an earlier one: a store that was restored from an
    /// older copy may lack the later one.
    pub fn keep_later_services(&mut self, known: &Self) {
        if (1..known.configuration).contains(&self.configuration) {
            self.configuration = known.configuration;
            self.origin.clone_from(&known.origin);
            self.origin_kbit_s = known.origin_kbit_s;
            self.service_models.clone_from(&known.service_models);
        }
    }

    /// Adds the models of a configuration's services, and sets the origin if one is declared.
    pub fn add_services(&mut self, declaration: &Declaration) {
        self.configuration = declaration.version;
        for service in &declaration.services {
            let models = service.engine.iter().flat_map(|engine| &engine.models);
            let pairs = models.map(|m| (service.name.clone(), m.name.clone()));
            self.service_models.extend(pairs);
        }
        if let Some(origin) = declaration.origin() {
            self.origin = Some(origin.address.clone());
            self.origin_kbit_s = origin.link_kbit_s;
        }
    }
}

/// Pushes changed facts to a peer without waiting for its next pull.
///
/// It does not verify that the receiver's facts are complete, since it may be delivered late.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeNotification {
    /// Protocol version of the sender.
    pub v: u16,
    /// The revision that the changes follow.
    #[serde(rename = "since")]
    pub base_revision: u64,
    /// The store's era of that revision.
    #[serde(default)]
    pub base_era: u64,
    /// The changes after `base_revision`.
    pub update: ReplicaUpdate,
}

/// A limit on the requests to an upstream from all entries together, as an entry observed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Id of the upstream.
    pub upstream: SmolStr,
    /// Start time of the upstream, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// The limit in requests per second; absent if it has ended.
    pub per_s: Option<f64>,
    /// Time since the upstream stated this, in milliseconds.
    pub age_ms: u64,
    /// Increases with each change of the limit that an entry observed after one it knew.
    #[serde(default)]
    pub revision: u64,
}

/// Pushes limits of upstreams to a peer without waiting for the next exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotification {
    /// Protocol version of the sender.
    pub v: u16,
    /// The limits.
    pub limits: Vec<LimitReport>,
}

/// A part of a prompt that was at an upstream when the upstream's connections broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The part.
    pub part: PromptPart,
    /// Number of parts before it in the prompt.
    pub position: u16,
    /// Whether the upstream had begun to respond.
    pub began: bool,
    /// Time since the connection broke, in milliseconds.
    pub age_ms: u64,
}

/// The parts of prompts that were at one incarnation of an upstream when its connections broke.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Id of the upstream.
    pub upstream: SmolStr,
    /// Start time of the upstream, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// The parts.
    pub sightings: Vec<Sighting>,
}

/// A part of a prompt to which an upstream responded without a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundPart {
    /// The part.
    pub part: PromptPart,
    /// Time since the latest such response, in milliseconds.
    pub age_ms: u64,
}

/// Observations from which each entry concludes which parts of prompts, or which requests, crash upstreams.
///
/// In observations of requests, the fingerprint of a request is its only part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// What was at upstreams when their connections broke.
    pub crashes: Vec<CrashReport>,
    /// Parts among these that are known to be sound.
    pub sound: Vec<SoundPart>,
    /// Parts that the sender refuses since upstreams respond to requests without them.
    pub refused: Vec<PromptPart>,
    /// Refused parts that a request of the sender tests at this moment, so that no other entry does.
    #[serde(default)]
    pub testing: Vec<PromptPart>,
}

/// Pushes observations of crashes to a peer without waiting for the next exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashEvidenceNotification {
    /// Protocol version of the sender.
    pub v: u16,
    /// Observations of the sender itself about parts of prompts.
    pub evidence: CrashEvidence,
    /// The same about identical requests.
    #[serde(default)]
    pub requests: CrashEvidence,
}

/// Requests the next part of a configuration; see docs/design/dissemination.md.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Protocol version of the sender.
    pub v: u16,
    /// The configuration.
    pub id: DeclarationId,
    /// Configurations that the sender has, so that the difference from one of them is enough.
    pub held: Vec<Digest>,
    /// Checksum of the encoding of which the sender has the beginning; absent if it has nothing yet.
    pub checksum: Option<u64>,
    /// Number of bytes that the sender has.
    pub offset: u32,
    /// Most bytes of the part.
    pub max_bytes: u32,
}

/// The response to a [`PartRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartResponse {
    /// The part; it begins at zero if the responder has another encoding. Absent if it does not have the part yet.
    pub part: Option<Part>,
    /// Time that the responder waited for the part, in milliseconds.
    #[serde(default)]
    pub waited_ms: u64,
}
