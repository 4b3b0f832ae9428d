//! Messages between the system's own processes.
//!
//! Requests travel as plain HTTP; what the processes say to each other about a request rides in one
//! header whose value is a base64 MessagePack map ([`header`]). Maps carry field names, so that an
//! older process skips fields it does not know. See docs/DESIGN.md, "Inner protocol".

pub mod error;
pub mod header;
pub mod mesh;
pub mod paths;
pub mod peer;
pub mod platform;
pub mod request;

pub use crate::{
    error::ProtocolError,
    peer::{
        Announcement, ChunkMap, ChunkMapRequest, ChunkMapResponse, CloseKeyRequest,
        CloseKeyResponse, Crash, FleetDocument, MemberDocument, MemberState, MembersDocument,
        PeerStatus, PullRequest, PullResponse, VersionStatus,
    },
    request::{Envelope, IdempotencyKey, LoadReport, Outcome, Priority, Refusal, Reply, RequestId},
};

/// The protocol version that this build speaks.
pub const PROTOCOL_VERSION: u16 = 1;
