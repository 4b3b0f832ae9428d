//! What the platform publishes, in the product's own terms.
//!
//! [`Replica`] holds one process's copy of the published facts, with the revision up to which it is
//! complete and the age of the proof. [`Directory`] is the lookup form that requests are served from.
//! Both are free of I/O and of the platform's names; `platform/` translates. See docs/DESIGN.md,
//! "Beliefs".

mod declaration;
mod fact;
mod lookup;
mod replica;

pub use crate::{
    declaration::{
        CallerLimits, Declaration, EngineProfile, Origin, Route, RouteKind, ServedModel, Service,
        Target, Workspace,
    },
    fact::{Fact, LoadedModel, Subject, UpstreamRecord, UpstreamState},
    lookup::{ApiKeyOwner, Directory, RouteTable, TargetVersion},
    replica::{
        ApplySummary, Change, Replica, ReplicaPull, ReplicaUpdate, StoredFact, Verification,
        VerificationAge,
    },
};
