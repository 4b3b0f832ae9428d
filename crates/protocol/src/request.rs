//! Metadata of one request that an entry and a sidecar exchange.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumString, IntoStaticStr};
use uuid::Uuid;

use crate::{ProtocolError, PROTOCOL_VERSION};

/// Id of a request, shared by all of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub Uuid);

impl RequestId {
    /// Generates a UUIDv7.
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

/// Whether a request ran, as far as is known. Every response states it.
#[derive(
    Clone, Copy, Debug, Display, EnumString, IntoStaticStr, PartialEq, Eq, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream ran the request, and this is its response.
    Ran,
    /// No upstream ran any part of the request.
    NotRun,
    /// The request may have run; its response was lost.
    Unknown,
}

/// Priority of a request among the requests of the same workspace.
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
    /// Used if the caller sets no priority.
    #[default]
    Normal,
    /// Served when no other request of the workspace is waiting.
    Low,
}

/// A caller's idempotency key, for a request that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The key as the caller sent it, prefixed with its workspace.
    pub key: SmolStr,
    /// Creation time of the key in milliseconds since the Unix epoch, if the key is a UUIDv7.
    #[serde(rename = "born_ms")]
    pub created_at_ms: Option<u64>,
}

/// Metadata of one attempt, sent by an entry to a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub v: u16,
    /// Id of the request.
    pub request: RequestId,
    /// Number of this attempt, starting from one.
    pub attempt: u32,
    /// The caller's workspace.
    pub workspace: SmolStr,
    /// Priority of the request within its workspace.
    #[serde(default)]
    pub priority: Priority,
    /// Milliseconds until the caller's deadline.
    pub remaining_ms: u64,
    /// Estimated cost of the request, in the pool's cost units (tokens for engines).
    pub cost: u32,
    /// Present if the request may run at most once.
    #[serde(rename = "once", default)]
    pub idempotency_key: Option<IdempotencyKey>,
    /// Hash of the method, the path and the start of the body; equal for repeats of a request.
    pub fingerprint: u64,
    /// Revision of the declaration with which the entry chose this sidecar.
    pub revision: u64,
    /// Recent duration of the sidecar's responses relative to uncongested links; 100 without delay.
    #[serde(default)]
    pub lateness_percent: u32,
}

impl Envelope {
    /// Returns the envelope, or an error if its protocol version is not supported.
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
    /// The queue is full, or the workspace has used up its fair share of the queue.
    Overloaded,
    /// The request cannot finish before its deadline.
    DeadlineTooClose,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The data centre or upstream is out of service, or the process is stopping.
    Draining,
    /// The upstream serves no version yet, or not the requested one.
    VersionUnavailable,
    /// The upstream does not accept connections.
    UpstreamDown,
    /// The same request has crashed upstreams.
    CrashesUpstreams,
    /// A request with this idempotency key is running.
    KeyInProgress,
    /// A request with this idempotency key failed, and may have run.
    KeyUnknown,
    /// A request with this idempotency key ran, but its response was not stored.
    AnswerNotKept,
    /// This sidecar does not own the idempotency key.
    NotKeyOwner,
    /// An earlier owner of the idempotency key, which may have run the request, cannot be reached.
    KeyOwnerUnreachable,
    /// The body of a request with an idempotency key is too large to be buffered until it has run.
    BodyTooLarge,
    /// No upstream of the pool can be reached.
    NoUpstream,
    /// The pool is not declared.
    UnknownPool,
    /// A header of the request is malformed.
    BadRequest,
    /// The sidecar has not received a fleet declaration yet.
    NotReady,
}

/// Load of an upstream, as observed by its sidecar.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running on the upstream.
    pub running: u32,
    /// Requests queued at the sidecar.
    pub waiting: u32,
    /// Current concurrency limit.
    pub limit: u32,
}

/// Metadata of a response, sent by a sidecar to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub v: u16,
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why the sidecar refused the request; absent if it did not.
    #[serde(default)]
    pub refusal: Option<Refusal>,
    /// Milliseconds to wait before a retry; zero if the sidecar suggests no delay.
    #[serde(default)]
    pub retry_after_ms: u64,
    /// Load of the upstream.
    #[serde(default)]
    pub load: LoadReport,
    /// Microseconds from the arrival of the request at the sidecar to this reply.
    #[serde(rename = "held_us", default)]
    pub elapsed_us: u64,
    /// Revision of the sidecar's declaration.
    #[serde(default)]
    pub revision: u64,
}
