//! What an entry and a sidecar tell each other about one request.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumString, IntoStaticStr};
use uuid::Uuid;

use crate::{ProtocolError, PROTOCOL_VERSION};

/// Names one request over all of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub Uuid);

impl RequestId {
    /// Makes an id that no other process makes.
    pub fn new() -> Self {
        Self(Uuid::now_v7())
    }
}

impl Default for RequestId {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.simple().fmt(f)
    }
}

/// What is known of a request's fate, said on every answer.
#[derive(
    Clone, Copy, Debug, Display, EnumString, IntoStaticStr, PartialEq, Eq, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream ran the request and this is its answer.
    Ran,
    /// No upstream ran any part of the request.
    NotRun,
    /// The request may have run; its answer is lost.
    Unknown,
}

/// The order in which one workspace's own requests are served.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumString,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served before the workspace's other requests.
    High,
    /// The default.
    #[default]
    Normal,
    /// Served when the workspace has nothing else to run.
    Low,
}

/// A caller's key for a request that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The key as the caller sent it, prefixed with its workspace.
    pub key: SmolStr,
    /// Milliseconds since the Unix epoch at which the key was made, if the key is a UUIDv7.
    #[serde(rename = "born_ms")]
    pub created_at_ms: Option<u64>,
}

/// What an entry tells a sidecar about an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub v: u16,
    /// The request.
    pub request: RequestId,
    /// Counts the attempts of the request from one.
    pub attempt: u32,
    /// The caller's workspace.
    pub workspace: SmolStr,
    /// The request's order within its workspace.
    #[serde(default)]
    pub priority: Priority,
    /// Milliseconds until the caller's deadline.
    pub remaining_ms: u64,
    /// Expected work, in the pool's cost units (tokens for engines).
    pub cost: u32,
    /// Present if the request may run at most once.
    #[serde(rename = "once", default)]
    pub idempotency_key: Option<IdempotencyKey>,
    /// Hash of method, path and start of body, equal for repeats of the same request.
    pub fingerprint: u64,
    /// Declaration revision by which the entry chose this sidecar.
    pub revision: u64,
    /// How late the sidecar's answers are because of the links, 100 for not at all.
    #[serde(default)]
    pub lateness_percent: u32,
}

impl Envelope {
    /// Refuses an envelope of another protocol version.
    pub fn check_version(self) -> Result<Self, ProtocolError> {
        if self.v == PROTOCOL_VERSION {
            return Ok(self);
        }
        Err(ProtocolError::UnsupportedVersion {
            theirs: self.v,
            ours: PROTOCOL_VERSION,
        })
    }
}

/// Why a sidecar or an entry did not run a request.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumString,
    IntoStaticStr,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The queue is full, or a fairer share of it belongs to others.
    Overloaded,
    /// The request cannot finish before its deadline.
    DeadlineTooClose,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The data centre or upstream is out of service, or the process is stopping.
    Draining,
    /// The upstream serves no version yet, or not the one asked for.
    VersionUnavailable,
    /// The upstream does not accept connections.
    UpstreamDown,
    /// The same request crashed upstreams before.
    CrashesUpstreams,
    /// A request with this key runs now.
    KeyInProgress,
    /// A request with this key already failed in a way whose effect is unknown.
    KeyUnknown,
    /// The key's answer was not kept; the request ran.
    AnswerNotKept,
    /// This sidecar does not own the key.
    NotKeyOwner,
    /// An earlier owner of the key cannot be asked whether it ran.
    KeyOwnerUnreachable,
    /// The body of a request with a key is too large to be held until it has run.
    BodyTooLarge,
    /// No upstream of the pool can be reached.
    NoUpstream,
    /// The pool is not declared.
    UnknownPool,
    /// A header of the request is malformed.
    BadRequest,
    /// The sidecar does not know the fleet declaration yet.
    NotReady,
}

/// Load of an upstream as its sidecar sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running on the upstream.
    pub running: u32,
    /// Requests waiting at the sidecar.
    pub waiting: u32,
    /// Requests that may run at once now.
    pub limit: u32,
}

/// What a sidecar tells an entry with an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub v: u16,
    /// The request that this answers.
    pub request: RequestId,
    /// The attempt that this answers.
    pub attempt: u32,
    /// The request's fate.
    pub outcome: Outcome,
    /// Why it did not run.
    #[serde(default)]
    pub refusal: Option<Refusal>,
    /// Milliseconds after which a retry is worthwhile.
    #[serde(default)]
    pub retry_after_ms: u64,
    /// The upstream's load.
    #[serde(default)]
    pub load: LoadReport,
    /// Microseconds from the request's arrival at the sidecar to this reply.
    #[serde(rename = "held_us", default)]
    pub elapsed_us: u64,
    /// The sidecar's declaration revision.
    #[serde(default)]
    pub revision: u64,
}
