//! Facts that the platform publishes, in the product's own terms.
//!
//! [`Replica`] is a process's copy of the published facts, with the revision up to which it is
//! complete and the time at which that was verified. [`Directory`] is the indexed form that is used to
//! route requests. Neither does I/O or depends on the platform's names, which `platform/` translates.
//! See docs/DESIGN.md, "Cluster view".

mod declaration;
mod document;
mod fact;
mod lookup;
mod replica;

pub use crate::{
    declaration::{
        CallerLimits, Declaration, EngineProfile, Origin, Route, RouteKind, ServedModel, Service,
        Target, Workspace,
    },
    document::{
        DeclarationId, Digest, DocumentError, Download, Encoding, Part, Progress,
        MAX_DECODED_BYTES, MAX_ENCODED_BYTES, MAX_ITEMS,
    },
    fact::{Fact, LoadedModel, Subject, UpstreamRecord, UpstreamState},
    lookup::{ApiKeyOwner, Directory, RouteTable, TargetVersion},
    replica::{
        ApplySummary, Change, Position, Replica, ReplicaPull, ReplicaUpdate, StoredFact,
        Verification, VerificationAge,
    },
};
