//! Which declaration is in force: the highest valid revision, and never an earlier one.

use std::sync::Arc;

use balsamjunction_protocol::{FleetDocument, MembersDocument};
use balsamjunction_settings::{read_fleet, Fleet, Report};

/// What became of an offered declaration.
#[derive(Debug)]
pub enum OfferOutcome {
    /// In force from now on.
    Accepted {
        /// The revision that it replaces; zero if none.
        from: u64,
    },
    /// The same revision is in force.
    AlreadyInForce,
    /// A higher revision is in force.
    Stale {
        /// The revision in force.
        current: u64,
    },
    /// Another text with the revision in force; the first one stays.
    Conflict,
    /// Refused whole; the earlier declaration stays in force.
    Invalid(Report),
    /// The revision was refused before.
    AlreadyRejected,
}

/// A declaration in force, as published and as checked.
#[derive(Clone, Debug)]
pub struct DeclarationInForce {
    /// As published.
    pub document: Arc<FleetDocument>,
    /// As checked.
    pub fleet: Arc<Fleet>,
}

/// The declaration and the membership list of one process.
#[derive(Debug, Default)]
pub struct DeclarationState {
    in_force: Option<DeclarationInForce>,
    members: Arc<MembersDocument>,
    refused: u64,
}

impl DeclarationState {
    /// The declaration in force, if any.
    pub fn in_force(&self) -> Option<&DeclarationInForce> {
        self.in_force.as_ref()
    }

    /// The revision in force; zero if none.
    pub fn revision(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |f| f.document.revision)
    }

    /// The membership list with the highest generation.
    pub fn members(&self) -> &Arc<MembersDocument> {
        &self.members
    }

    /// Offers a declaration from the service or from a peer.
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
        if document.revision <= self.refused {
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
                self.refused = document.revision;
                OfferOutcome::Invalid(report)
            }
        }
    }

    /// Offers a membership list; tells whether it is newer.
    pub fn offer_members(&mut self, members: MembersDocument) -> bool {
        let newer = members.generation > self.members.generation;
        if newer {
            self.members = Arc::new(members);
        }
        newer
    }
}
