//! Configurations that were announced by their id, and whose content is received separately.
//!
//! A configuration is long, and all other facts are short and urgent. So peers tell only that there is a new one, and the
//! copy is complete in all other facts while its content is on the way. See docs/design/dissemination.md.

use std::{sync::Arc, time::Duration};

use super::{ApplySummary, Change, Position, Provenance, Replica};
use crate::{
    declaration::Declaration,
    document::{DeclarationId, Digest},
    fact::{Fact, Subject},
};

/// Configurations that are kept besides the one in force: peers that have one of them need only the difference.
const MAX_EARLIER_DECLARATIONS: usize = 2;

/// A configuration whose content is not there yet.
#[derive(Clone, Debug)]
pub(super) struct Announced {
    id: DeclarationId,
    /// The change that announced it.
    change: Change,
    known_since: Duration,
    /// The position at which the source had it, if a complete copy announced it.
    as_of: Position,
    /// When a query was last sent that found the configuration in force to be the latest.
    current_at: Option<Duration>,
}

impl Announced {
    /// The change, to send to peers.
    pub fn to_change(&self, now: Duration) -> Change {
        Change {
            known_for_ms: now.saturating_sub(self.known_since).as_millis() as u64,
            ..self.change.clone()
        }
    }
}

impl Replica {
    /// The latest configuration, if its content is not there yet.
    pub fn wanted_declaration(&self) -> Option<DeclarationId> {
        self.announced.as_ref().map(|announced| announced.id)
    }

    /// When the query was sent that last verified the configuration in force to be the latest.
    ///
    /// This is [`Self::verified_at`] unless a later configuration was announced whose content is not there yet.
    pub fn declaration_verified_at(&self) -> Option<Duration> {
        match &self.announced {
            Some(announced) => announced.current_at,
            None => self.verified_at,
        }
    }

    /// The ids of the latest configurations that are there, the one in force first.
    pub fn held_declarations(&self) -> impl Iterator<Item = DeclarationId> + '_ {
        self.declarations.iter().rev().map(|(id, _)| *id)
    }

    /// One of the latest configurations.
    pub fn declaration(&self, digest: Digest) -> Option<&Arc<Declaration>> {
        let mut declarations = self.declarations.iter();
        let found = declarations.find(|(id, _)| id.digest == digest);
        found.map(|(_, declaration)| declaration)
    }

    /// Puts the content of the announced configuration in force; does nothing if another one is announced meanwhile.
    pub fn supply_declaration(
        &mut self,
        now: Duration,
        id: DeclarationId,
        declaration: Arc<Declaration>,
    ) -> ApplySummary {
        let Some(announced) = self.announced.take_if(|announced| announced.id == id) else {
            return ApplySummary::default();
        };
        let change = Change {
            fact: Some(Fact::Declaration(declaration)),
            ..announced.to_change(now)
        };
        let changed = self.put_as_of(now, change, announced.as_of);
        ApplySummary {
            changed: usize::from(changed),
        }
    }

    /// Replaces the announcement in a change by the content, if that is there. Otherwise remembers it, if it is later than
    /// the configuration in force, and returns nothing.
    pub(super) fn resolve_announcement(
        &mut self,
        now: Duration,
        change: Change,
        as_of: Position,
    ) -> Option<Change> {
        let Some(Fact::Announced(id)) = change.fact else {
            return Some(change);
        };
        if let Some(declaration) = self.declaration(id.digest) {
            let fact = Some(Fact::Declaration(declaration.clone()));
            return Some(Change { fact, ..change });
        }
        let provenance = change.provenance();
        let stored = self.entries.get(&Subject::Declaration);
        if let Some((Fact::Declaration(declaration), stored)) =
            stored.map(|stored| (&stored.fact, stored.provenance))
        {
            if !is_successor((id.version, provenance), (declaration.version, stored)) {
                return None;
            }
        }
        let known_since = now.saturating_sub(Duration::from_millis(change.known_for_ms));
        let mut current_at = self.verified_at;
        if let Some(known) = &mut self.announced {
            let known_provenance = known.change.provenance();
            if known.id == id {
                known.known_since = known.known_since.min(known_since);
                known.as_of = known.as_of.max(as_of);
                known.change.unconfirmed &= change.unconfirmed;
                let certain = known.change.copied && !change.copied;
                if certain || provenance.is_later(&known_provenance) {
                    known.change.era = change.era;
                    known.change.revision = change.revision;
                    known.change.copied = change.copied;
                }
                return None;
            }
            if !is_successor(
                (id.version, provenance),
                (known.id.version, known_provenance),
            ) {
                return None;
            }
            current_at = known.current_at;
        }
        if provenance.position.era == self.era.number {
            let fact = Fact::Announced(id);
            self.era.record(provenance, &Subject::Declaration, &fact);
        }
        self.announced = Some(Announced {
            id,
            change,
            known_since,
            as_of,
            current_at,
        });
        None
    }

    /// The position of the announced configuration, and whether the change has its content; nothing for another subject,
    /// and if none is announced.
    pub(super) fn announced_as(&self, change: &Change) -> Option<(Position, bool)> {
        let announced = self.announced.as_ref()?;
        if change.subject != Subject::Declaration {
            return None;
        }
        let same = match &change.fact {
            Some(Fact::Declaration(declaration)) => {
                DeclarationId::of(declaration).is_ok_and(|id| id == announced.id)
            }
            _ => false,
        };
        Some((announced.change.provenance().position, same))
    }

    /// The fact as it is sent to peers that accept announcements.
    pub(super) fn announcement_of(&self, fact: &Fact) -> Fact {
        let held = match fact {
            Fact::Declaration(declaration) => {
                let mut held = self.declarations.iter();
                held.find(|(_, held)| Arc::ptr_eq(held, declaration))
            }
            _ => None,
        };
        held.map_or_else(|| fact.clone(), |(id, _)| Fact::Announced(*id))
    }

    /// Remembers the configuration that has come in force; ends the announcement of it, and of an earlier one.
    pub(super) fn record_declaration(
        &mut self,
        declaration: Arc<Declaration>,
        provenance: Provenance,
    ) {
        let version = declaration.version;
        let known = self.declarations.iter();
        let known = known.filter(|(_, held)| Arc::ptr_eq(held, &declaration));
        // One that cannot be encoded is sent as it is.
        let id = match known.map(|(id, _)| *id).next() {
            Some(id) => Some(id),
            None => DeclarationId::of(&declaration).ok(),
        };
        if let Some(id) = id {
            self.declarations.retain(|(held, _)| *held != id);
            self.declarations.push_back((id, declaration));
            if self.declarations.len() > 1 + MAX_EARLIER_DECLARATIONS {
                self.declarations.pop_front();
            }
        }
        self.announced.take_if(|announced| {
            let later = (announced.id.version, announced.change.provenance());
            Some(announced.id) == id || !is_successor(later, (version, provenance))
        });
    }
}

/// Whether a configuration replaces a different one: by its version, or if that is the same by its place in the history.
/// At the same revision it is of a later era, since a revision of one era is one change.
fn is_successor(new: (u64, Provenance), stored: (u64, Provenance)) -> bool {
    match new.0 == stored.0 {
        true => new.1.undoes(&stored.1),
        false => new.0 > stored.0,
    }
}
