//! What processes that find each other through seeds tell each other.

use std::net::SocketAddr;

use balsamjunction_directory::{Declaration, ReplicaPull, ReplicaUpdate, VerificationAge};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumIter};

use crate::Crash;

/// What a process does.
#[derive(Clone, Copy, Debug, Display, EnumIter, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ProcessRole {
    /// Takes callers' requests.
    Entry,
    /// Brings weights to one engine.
    Sidecar,
}

/// One process of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its host.
    pub host: SmolStr,
    /// What it does.
    pub role: ProcessRole,
    /// The data centre in which it stands.
    pub data_centre: SmolStr,
    /// Its inner address.
    pub address: SocketAddr,
    /// Grows with every start of the process.
    pub incarnation: u64,
    /// Grows while the process runs.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether it is about to stop.
    #[serde(default)]
    pub leaving: bool,
    /// For an entry: whether the store answers it.
    #[serde(default)]
    pub reads_store: bool,
    /// For a sidecar: what it knows of its engine.
    #[serde(default)]
    pub engine: Option<EngineStatus>,
}

/// A process as its teller knows it, in a few bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHeartbeat {
    /// Equal for records that differ in their beats only.
    pub key: u64,
    /// The beat.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
}

/// What a sidecar knows of its engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Where the engine listens.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: SmolStr,
    /// Start of the engine, in milliseconds since the Unix epoch.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// The model and version that it serves, if it serves one.
    pub serving: Option<(SmolStr, u64)>,
    /// Whether it takes other weights now.
    #[serde(rename = "turning")]
    pub switching: bool,
    /// How long its work takes, in hundredths of what is usual.
    #[serde(rename = "pace_percent", default = "usual_pace")]
    pub service_time_percent: u32,
}

fn usual_pace() -> u32 {
    100
}

/// Exchanges views with a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Protocol version of the sender.
    pub v: u16,
    /// The sender, or those that the peer lacks.
    pub members: Vec<MemberRecord>,
    /// Equal for equal sets of live members.
    pub member_digest: u64,
    /// Whom the sender believes to be up, if it wants to hear whom the peer does.
    #[serde(rename = "views", default)]
    pub live_members: Option<Vec<MemberHeartbeat>>,
    /// Asks for newer facts, if the sender's own are not fresh.
    #[serde(default)]
    pub pull: Option<ReplicaPull>,
    /// Asks for what a sidecar needs to know.
    #[serde(rename = "weights", default)]
    pub include_weights: bool,
}

/// A peer's view.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// The peer itself, and whom else the sender lacks, if it wants to hear that.
    pub members: Vec<MemberRecord>,
    /// Members whose later beats the peer has heard of.
    #[serde(rename = "pulses", default)]
    pub heartbeats: Vec<MemberHeartbeat>,
    /// Keys of the sender's views that the peer does not know.
    #[serde(rename = "lacks", default)]
    pub unknown_keys: Vec<u64>,
    /// Whether the peer believes the same processes to be up as the sender.
    #[serde(default)]
    pub same_members: bool,
    /// How old the peer's facts are.
    #[serde(rename = "proof", default)]
    pub verification: Option<VerificationAge>,
    /// Newer facts, if they were asked for and the peer has any.
    #[serde(default)]
    pub update: Option<ReplicaUpdate>,
    /// What a sidecar needs to know, if it was asked for and the peer knows it.
    #[serde(default)]
    pub weights: Option<WeightsUpdate>,
}

/// What a sidecar needs to know of the facts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsUpdate {
    /// How long ago the peer's facts were proved, in milliseconds.
    pub age_ms: u64,
    /// Wanted versions by model.
    #[serde(rename = "wanted")]
    pub target_versions: Vec<(SmolStr, u64)>,
    /// The origin of weights.
    pub origin: Option<SmolStr>,
    /// What the origin's link carries, in kilobits a second; zero if that is not known.
    #[serde(default)]
    pub origin_kbit_s: u32,
    /// The model of each service of engines.
    #[serde(rename = "models")]
    pub service_models: Vec<(SmolStr, SmolStr)>,
}

impl WeightsUpdate {
    /// Adds the models of a configuration's services, and its origin.
    pub fn add_services(&mut self, declaration: &Declaration) {
        for service in &declaration.services {
            let served = service.engine.iter().flat_map(|engine| &engine.models);
            let named = served.map(|m| (service.name.clone(), m.name.clone()));
            self.service_models.extend(named);
        }
        if let Some(origin) = declaration.origin() {
            self.origin = Some(origin.address.clone());
            self.origin_kbit_s = origin.link_kbit_s;
        }
    }
}

/// Tells a peer at once of facts that have changed.
///
/// It proves nothing about the present, since it may have been on its way for long.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeNotification {
    /// Protocol version of the sender.
    pub v: u16,
    /// The revision that the changes follow.
    #[serde(rename = "since")]
    pub base_revision: u64,
    /// The changes.
    pub update: ReplicaUpdate,
}

/// Tells a peer at once of requests that broke upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashNotification {
    /// Protocol version of the sender.
    pub v: u16,
    /// The crashes.
    pub crashes: Vec<Crash>,
}
