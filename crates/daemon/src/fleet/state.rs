//! What this process believes about the fleet, shared by its threads.

use std::sync::{Arc, Mutex};

use balsamjunction_policy::{
    crash::CrashList,
    declaration::{DeclarationInForce, DeclarationState, OfferOutcome},
};
use balsamjunction_protocol::{
    Crash, FleetDocument, MembersDocument, PullAnswer, PullRequest, PROTOCOL_VERSION,
};
use balsamjunction_settings::PeerSettings;
use log::{info, warn};
use smol_str::{format_smolstr, SmolStr};
use tokio::sync::watch;

use crate::{
    audit::{Action, Audit, Record, Verdict},
    metrics::Metrics,
    sync::lock,
};

/// One consistent view of declaration and members.
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

/// What this process believes about the fleet.
pub struct FleetState {
    /// Who and where this process is.
    pub peer: PeerSettings,
    /// Records accepted and refused changes.
    pub audit: Arc<Audit>,
    /// Shows the revision in force.
    pub metrics: Arc<Metrics>,
    acceptance: Mutex<DeclarationState>,
    crashes: Mutex<CrashList>,
    changes: watch::Sender<u64>,
}

impl FleetState {
    /// Knows nothing yet.
    pub fn new(peer: PeerSettings, audit: Arc<Audit>, metrics: Arc<Metrics>) -> Self {
        Self {
            peer,
            audit,
            metrics,
            acceptance: Mutex::default(),
            crashes: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// The current view.
    pub fn snapshot(&self) -> Snapshot {
        let acceptance = lock(&self.acceptance);
        Snapshot {
            in_force: acceptance.in_force().cloned(),
            members: acceptance.members().clone(),
        }
    }

    /// The revision in force; zero if none.
    pub fn revision(&self) -> u64 {
        lock(&self.acceptance).revision()
    }

    /// Wakes whenever declaration or members change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Offers a declaration; tells whether it is news.
    pub fn offer(&self, document: FleetDocument, from: &str) -> bool {
        let revision = document.revision;
        let who = if document.author.is_empty() {
            SmolStr::new(from)
        } else {
            format_smolstr!("{} by {from}", document.author)
        };
        let offer = lock(&self.acceptance).offer_declaration(document);
        match offer {
            OfferOutcome::Accepted { from: old } => {
                info!("declaration {revision} is in force, it replaces {old}");
                self.metrics.revision.set(revision as i64);
                self.audit_declaration(who, old, revision, Verdict::Accepted, "valid".into());
                self.changes.send_modify(|n| *n += 1);
                true
            }
            OfferOutcome::Invalid(report) => {
                warn!("declaration {revision} is refused: {report}");
                let current = self.revision();
                let why = format_smolstr!("{report}");
                self.audit_declaration(who, current, revision, Verdict::Refused, why);
                false
            }
            OfferOutcome::Conflict => {
                warn!("declaration {revision} of {who} differs from the one in force");
                let why = "another text with the revision in force".into();
                self.audit_declaration(who, revision, revision, Verdict::Refused, why);
                false
            }
            OfferOutcome::Stale { .. }
            | OfferOutcome::AlreadyInForce
            | OfferOutcome::AlreadyRejected => false,
        }
    }

    fn audit_declaration(&self, who: SmolStr, from: u64, to: u64, verdict: Verdict, why: SmolStr) {
        self.audit.record(Record {
            who,
            action: Action::Declaration,
            from: format_smolstr!("{from}"),
            to: format_smolstr!("{to}"),
            verdict,
            why,
        });
    }

    /// Offers a membership list; tells whether it is news.
    pub fn offer_members(&self, members: MembersDocument) -> bool {
        let newer = lock(&self.acceptance).offer_members(members);
        if newer {
            self.changes.send_modify(|n| *n += 1);
        }
        newer
    }

    /// Notes a crash; tells whether it is news.
    pub fn record_crash(&self, crash: Crash) -> bool {
        lock(&self.crashes).add(crash)
    }

    /// Clears a suspect that was served.
    pub fn record_success(&self, fingerprint: u64, crash_limit: u64) {
        lock(&self.crashes).record_success(fingerprint, crash_limit);
    }

    /// Whether a request crashed too many upstreams.
    pub fn refuses(&self, fingerprint: u64, crash_limit: u64) -> bool {
        lock(&self.crashes).reaches_limit(fingerprint, crash_limit)
    }

    /// What this process tells a peer that asks.
    pub fn pull_response(&self, request: &PullRequest) -> PullAnswer {
        let snapshot = self.snapshot();
        let fleet = snapshot
            .in_force
            .as_ref()
            .filter(|f| f.document.revision > request.revision)
            .map(|f| f.document.as_ref().clone());
        let newer_members = snapshot.members.generation > request.generation;
        let members = newer_members.then(|| snapshot.members.as_ref().clone());
        PullAnswer {
            fleet,
            members,
            revision: snapshot.revision(),
            generation: snapshot.members.generation,
            crashes: self.crashes_unless(request.crash_digest),
        }
    }

    /// The known crashes, if a peer knows others.
    fn crashes_unless(&self, digest: u64) -> Vec<Crash> {
        let crashes = lock(&self.crashes);
        match crashes.digest() == digest {
            true => Vec::new(),
            false => crashes.records(),
        }
    }

    /// What this process asks a peer.
    pub fn pull_request(&self) -> PullRequest {
        let snapshot = self.snapshot();
        PullRequest {
            v: PROTOCOL_VERSION,
            revision: snapshot.revision(),
            generation: snapshot.members.generation,
            crash_digest: lock(&self.crashes).digest(),
        }
    }

    /// Takes over what a peer answered; tells whether any of it is news.
    pub fn apply_pull_response(&self, answer: PullAnswer, from: &str) -> bool {
        for crash in answer.crashes {
            self.record_crash(crash);
        }
        let members = answer.members.is_some_and(|m| self.offer_members(m));
        let fleet = answer.fleet.is_some_and(|f| self.offer(f, from));
        members || fleet
    }
}
