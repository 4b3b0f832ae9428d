//! Selects the declaration in force: the highest valid revision, never a lower one than before.

use std::sync::Arc;

use balsamjunction_protocol::{FleetDocument, MembersDocument};
use balsamjunction_settings::{read_fleet, FaultReport, Fleet};

/// Result of offering a declaration.
#[derive(Debug)]
pub enum OfferOutcome {
    /// The declaration is now in force.
    Accepted {
        /// Revision that it replaces; zero if there was none.
        from: u64,
    },
    /// The same revision with the same text is already in force.
    AlreadyInForce,
    /// A higher revision is in force.
    Stale {
        /// Revision in force.
        current: u64,
    },
    /// The revision in force has a different text; the text accepted first stays in force.
    Conflict,
    /// Rejected as a whole; the earlier declaration stays in force.
    Invalid(FaultReport),
    /// This revision or a higher one was rejected before.
    AlreadyRejected,
}

/// The declaration in force, as published and as parsed.
#[derive(Clone, Debug)]
pub struct DeclarationInForce {
    /// The document as published.
    pub document: Arc<FleetDocument>,
    /// The parsed and validated document.
    pub fleet: Arc<Fleet>,
}

/// Accepted declaration and membership list of one process.
#[derive(Debug, Default)]
pub struct DeclarationState {
    in_force: Option<DeclarationInForce>,
    members: Arc<MembersDocument>,
    last_rejected: u64,
}

impl DeclarationState {
    /// Returns the declaration in force, if any.
    pub fn in_force(&self) -> Option<&DeclarationInForce> {
        self.in_force.as_ref()
    }

    /// Returns the revision in force, or zero if there is none.
    pub fn revision(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |f| f.document.revision)
    }

    /// Returns the membership list with the highest generation offered so far.
    pub fn members(&self) -> &Arc<MembersDocument> {
        &self.members
    }

    /// Offers a declaration received from the configuration service or from a peer.
    pub fn offer_declaration(&mut self, document: FleetDocument) -> OfferOutcome {
        let current = self.revision();
        if document.revision < current {
            return OfferOutcome::Stale { current };
        }
        if let Some(in_force) = &self.in_force {
            if document.revision == current {
                let same = document.text == in_force.document.text;
                return if same {
                    OfferOutcome::AlreadyInForce
                } else {
                    OfferOutcome::Conflict
                };
            }
        }
        if document.revision <= self.last_rejected {
            return OfferOutcome::AlreadyRejected;
        }
        match read_fleet(document.text.as_bytes()) {
            Ok(fleet) => {
                self.in_force = Some(DeclarationInForce {
                    document: Arc::new(document),
                    fleet: Arc::new(fleet),
                });
                OfferOutcome::Accepted { from: current }
            }
            Err(report) => {
                self.last_rejected = document.revision;
                OfferOutcome::Invalid(report)
            }
        }
    }

    /// Offers a membership list; returns whether it was newer and has been accepted.
    pub fn offer_members(&mut self, members: MembersDocument) -> bool {
        let newer = members.generation > self.members.generation;
        if newer {
            self.members = Arc::new(members);
        }
        newer
    }
}
