//! Messages between the system's own processes.
//!
//! Requests are proxied as plain HTTP. The metadata that processes exchange about a request is in a
//! single header, whose value is a base64-encoded MessagePack map ([`header`]). Maps include field
//! names, so that an older process can skip fields it does not know. See docs/DESIGN.md, "Inner
//! protocol".

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

/// The protocol version that this build implements.
pub const PROTOCOL_VERSION: u16 = 1;
