//! The fleet state of this process, shared by its threads.

use std::sync::{Arc, Mutex};

use balsamjunction_policy::{
    crash::CrashList,
    declaration::{DeclarationInForce, DeclarationState, OfferOutcome},
};
use balsamjunction_protocol::{
    Crash, FleetDocument, MembersDocument, PullRequest, PullResponse, PROTOCOL_VERSION,
};
use balsamjunction_settings::PeerSettings;
use log::{info, warn};
use smol_str::{format_smolstr, SmolStr};
use tokio::sync::watch;

use crate::{
    audit::{AuditRecord, AuditTrail, ChangeKind, Verdict},
    metrics::Metrics,
    sync::lock,
};

/// A consistent snapshot of the declaration and the membership list.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The declaration in force, if any.
    pub in_force: Option<DeclarationInForce>,
    /// The membership list.
    pub members: Arc<MembersDocument>,
}

impl Snapshot {
    /// The revision in force; zero if none.
    pub fn revision(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |f| f.document.revision)
    }
}

/// The fleet state as this process knows it: declaration, membership list and crashes.
pub struct FleetState {
    /// Identity, addresses and peers of this process.
    pub peer: PeerSettings,
    /// The audit trail of accepted and refused changes.
    pub audit: Arc<AuditTrail>,
    /// The metrics, among them the revision in force.
    pub metrics: Arc<Metrics>,
    declaration_state: Mutex<DeclarationState>,
    crashes: Mutex<CrashList>,
    changes: watch::Sender<u64>,
}

impl FleetState {
    /// A state without a declaration, members or crashes.
    pub fn new(peer: PeerSettings, audit: Arc<AuditTrail>, metrics: Arc<Metrics>) -> Self {
        Self {
            peer,
            audit,
            metrics,
            declaration_state: Mutex::default(),
            crashes: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// The current declaration and membership list.
    pub fn snapshot(&self) -> Snapshot {
        let declaration_state = lock(&self.declaration_state);
        Snapshot {
            in_force: declaration_state.in_force().cloned(),
            members: declaration_state.members().clone(),
        }
    }

    /// The revision in force; zero if none.
    pub fn revision(&self) -> u64 {
        lock(&self.declaration_state).revision()
    }

    /// A receiver that is woken whenever the declaration or the membership list changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Offers a declaration received from `from`; returns whether it was put in force.
    pub fn offer_declaration(&self, document: FleetDocument, from: &str) -> bool {
        let revision = document.revision;
        let actor = if document.author.is_empty() {
            SmolStr::new(from)
        } else {
            format_smolstr!("{} by {from}", document.author)
        };
        let offer = lock(&self.declaration_state).offer_declaration(document);
        match offer {
            OfferOutcome::Accepted { from: old } => {
                info!("declaration {revision} is in force and replaces {old}");
                self.metrics.revision.set(revision as i64);
                self.audit_declaration(actor, old, revision, Verdict::Accepted, "valid".into());
                self.changes.send_modify(|n| *n += 1);
                true
            }
            OfferOutcome::Invalid(report) => {
                warn!("declaration {revision} is invalid and was rejected: {report}");
                let current = self.revision();
                let reason = format_smolstr!("{report}");
                self.audit_declaration(actor, current, revision, Verdict::Refused, reason);
                false
            }
            OfferOutcome::Conflict => {
                warn!("declaration {revision} of {actor} conflicts with the one in force");
                let reason = "another text with the revision in force".into();
                self.audit_declaration(actor, revision, revision, Verdict::Refused, reason);
                false
            }
            OfferOutcome::Stale { .. }
            | OfferOutcome::AlreadyInForce
            | OfferOutcome::AlreadyRejected => false,
        }
    }

    fn audit_declaration(
        &self,
        actor: SmolStr,
        from: u64,
        to: u64,
        verdict: Verdict,
        reason: SmolStr,
    ) {
        self.audit.record(AuditRecord {
            actor,
            kind: ChangeKind::Declaration,
            from: format_smolstr!("{from}"),
            to: format_smolstr!("{to}"),
            verdict,
            reason,
        });
    }

    /// Offers a membership list; returns whether it is newer and was accepted.
    pub fn offer_members(&self, members: MembersDocument) -> bool {
        let newer = lock(&self.declaration_state).offer_members(members);
        if newer {
            self.changes.send_modify(|n| *n += 1);
        }
        newer
    }

    /// Records a crash; returns whether it was not known yet.
    pub fn record_crash(&self, crash: Crash) -> bool {
        lock(&self.crashes).add(crash)
    }

    /// Records that a request was served, which may clear its recorded crashes.
    pub fn record_success(&self, fingerprint: u64, crash_limit: u64) {
        lock(&self.crashes).record_success(fingerprint, crash_limit);
    }

    /// Whether a request has crashed so many upstreams that it is refused.
    pub fn reaches_crash_limit(&self, fingerprint: u64, crash_limit: u64) -> bool {
        lock(&self.crashes).reaches_limit(fingerprint, crash_limit)
    }

    /// Builds the response to a peer's pull: whatever is newer than what the peer has.
    pub fn pull_response(&self, request: &PullRequest) -> PullResponse {
        let snapshot = self.snapshot();
        let fleet = snapshot
            .in_force
            .as_ref()
            .filter(|f| f.document.revision > request.revision)
            .map(|f| f.document.as_ref().clone());
        let newer_members = snapshot.members.generation > request.generation;
        let members = newer_members.then(|| snapshot.members.as_ref().clone());
        PullResponse {
            fleet,
            members,
            revision: snapshot.revision(),
            generation: snapshot.members.generation,
            crashes: self.crashes_unless_digest(request.crash_digest),
        }
    }

    /// All recorded crashes, unless the peer's digest shows that it has the same ones.
    fn crashes_unless_digest(&self, digest: u64) -> Vec<Crash> {
        let crashes = lock(&self.crashes);
        match crashes.digest() == digest {
            true => Vec::new(),
            false => crashes.records(),
        }
    }

    /// Builds the pull request to a peer.
    pub fn pull_request(&self) -> PullRequest {
        let snapshot = self.snapshot();
        PullRequest {
            v: PROTOCOL_VERSION,
            revision: snapshot.revision(),
            generation: snapshot.members.generation,
            crash_digest: lock(&self.crashes).digest(),
        }
    }

    /// Applies a peer's response to a pull; returns whether the declaration or the membership list changed.
    pub fn apply_pull_response(&self, response: PullResponse, from: &str) -> bool {
        for crash in response.crashes {
            self.record_crash(crash);
        }
        let members = response.members.is_some_and(|m| self.offer_members(m));
        let fleet = response
            .fleet
            .is_some_and(|f| self.offer_declaration(f, from));
        members || fleet
    }
}
