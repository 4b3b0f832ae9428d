//! A process's copy of the published facts.
//!
//! The source has a single revision counter. A replica contains every change up to
//! [`Replica::position`], and knows when that was last verified: a change with a later revision cannot
//! have been acknowledged before the query that verified it was sent.
//!
//! The source may be restored from an older copy, which begins a new era. See docs/DESIGN.md, "Eras".

mod announced;
mod era;
mod peers;
mod position;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

pub use self::position::{Position, Provenance};
use self::{announced::Announced, era::Era};
use crate::{
    declaration::Declaration,
    document::DeclarationId,
    fact::{Fact, Subject},
};

/// Removals that are remembered, so that peers which are slightly behind need no complete copy.
const MAX_REMOVALS: usize = 1_024;

/// One change of a fact. Changes are ordered by the source's revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Subject of the changed fact.
    pub subject: Subject,
    /// The source's revision of the change.
    pub revision: u64,
    /// The new fact; absent if it was removed or cannot be decoded.
    pub fact: Option<Fact>,
    /// Time for which the sender has known the fact, in milliseconds; zero if read from the source.
    #[serde(rename = "known_ms", default)]
    pub known_for_ms: u64,
    /// The source's era in which the change was read.
    #[serde(default)]
    pub era: u64,
    /// Whether the change may have been made before the era and come with the copy that began it.
    #[serde(default)]
    pub copied: bool,
    /// Whether the source did not have the fact when the sender read it first in the present era.
    #[serde(default)]
    pub unconfirmed: bool,
}

impl Change {
    fn provenance(&self) -> Provenance {
        Provenance {
            position: Position {
                era: self.era,
                revision: self.revision,
            },
            copied: self.copied,
        }
    }
}

/// States that a copy was complete up to a revision at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verification {
    /// The position up to which the copy was complete.
    pub position: Position,
    /// When the query that verified it was sent, on the clock of this process.
    pub queried_at: Duration,
}

/// Age of a peer's last verification.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerificationAge {
    /// The revision up to which the peer is complete.
    #[serde(rename = "at")]
    pub revision: u64,
    /// The source's era of the revision.
    #[serde(default)]
    pub era: u64,
    /// Time since that was verified, in milliseconds.
    pub age_ms: u64,
}

/// Asks a peer for newer facts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPull {
    /// The revision up to which the sender is complete.
    #[serde(rename = "at")]
    pub revision: u64,
    /// The source's era of the revision.
    #[serde(default)]
    pub era: u64,
    /// Whether the sender accepts [`Fact::Announced`] in place of a configuration.
    #[serde(default)]
    pub accepts_announcements: bool,
}

impl ReplicaPull {
    /// Asks for all facts.
    pub fn complete() -> Self {
        Self::from(Position::default())
    }
}

impl From<Position> for ReplicaPull {
    fn from(Position { era, revision }: Position) -> Self {
        Self {
            revision,
            era,
            accepts_announcements: true,
        }
    }
}

/// A peer's changes after the requested revision, or its complete copy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaUpdate {
    /// The revision up to which the peer is complete.
    #[serde(rename = "at")]
    pub revision: u64,
    /// The source's era of the revision.
    #[serde(default)]
    pub era: u64,
    /// Time since the peer's copy was last verified complete, in milliseconds.
    pub age_ms: u64,
    /// Whether `changes` are the complete copy instead of the newer changes only.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The changes, ordered by revision.
    pub changes: Vec<Change>,
}

impl ReplicaUpdate {
    /// The position up to which the peer is complete.
    pub fn position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.revision,
        }
    }
}

/// Effect of applying changes to a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ApplySummary {
    /// Number of facts that were added, changed or removed, or whose known times changed.
    pub changed: usize,
}

#[derive(Clone, Debug)]
struct Entry {
    provenance: Provenance,
    /// Whether the source has had the subject in the present era. If it has not, the subject was lost with the
    /// restoration, and is kept for a while.
    confirmed: bool,
    /// The highest position of a change that confirmed it.
    confirmed_at: Position,
    fact: Fact,
    known_since: Duration,
    not_before: Option<Duration>,
}

/// How a change relates to the stored fact of its subject.
enum Relation {
    Later,
    Same,
    Older,
}

impl Entry {
    fn relation_of(&self, change: &Change) -> Relation {
        let provenance = change.provenance();
        let other_era = provenance.position.era != self.provenance.position.era;
        let fact = change.fact.as_ref();
        let same_fact = fact == Some(&self.fact);
        if provenance.is_same(&self.provenance) {
            // A revision of one era is one change, so another fact at the same revision is of another era.
            return match other_era && fact.is_some() && !same_fact {
                false => Relation::Same,
                true if provenance.position.era > self.provenance.position.era => Relation::Later,
                true => Relation::Older,
            };
        }
        // The stored fact came with the copy, and the change tells when it was published.
        if other_era && same_fact && self.provenance.copied && !provenance.copied {
            return Relation::Same;
        }
        // Versions only increase, so a higher one is later wherever it was read.
        let raised = fact.is_some_and(|fact| is_lower_version(&self.fact, fact));
        match raised || provenance.is_later(&self.provenance) {
            true => Relation::Later,
            false => Relation::Older,
        }
    }

    /// Merges what is known of the same change; returns whether a bound on the time of its publication changed.
    fn merge_same(&mut self, provenance: Provenance, known_since: Duration) -> bool {
        if self.provenance.copied && !provenance.copied {
            self.provenance = provenance;
        }
        let previous = (self.not_before, self.known_since);
        self.known_since = self.known_since.min(known_since);
        match self.not_before {
            Some(not_before) => {
                self.not_before = Some(not_before.min(known_since));
                self.not_before != previous.0
            }
            // Without a lower bound the time counts from which any process has known the fact.
            None => self.known_since != previous.1,
        }
    }
}

/// A fact in a replica, with the bounds on the time of its publication.
#[derive(Clone, Copy, Debug)]
pub struct StoredFact<'r> {
    /// Subject of the fact.
    pub subject: &'r Subject,
    /// Value of the fact.
    pub fact: &'r Fact,
    /// The source's revision of its last change.
    pub revision: u64,
    /// When this process, or the first one that forwarded the fact, received it: the fact is at least
    /// as old as that.
    pub known_since: Duration,
    /// Time before which the fact cannot have been acknowledged, since a read of the source at that
    /// time did not contain it. Absent if the process had not read anything before.
    pub not_before: Option<Duration>,
}

/// A copy of the published facts.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    position: Position,
    era: Era,
    verified_at: Option<Duration>,
    entries: BTreeMap<Subject, Entry>,
    /// The latest removals.
    removals: VecDeque<(Subject, Provenance)>,
    /// Highest position of a removal that is no longer in `removals`.
    forgotten: Position,
    /// Subjects that the source has in the present era, although their removal in an earlier one is known: the copy
    /// revives them, unless they were published again.
    revived: BTreeMap<Subject, Provenance>,
    /// A later configuration than the one among the entries, whose content is not there yet.
    announced: Option<Announced>,
    /// The latest configurations that were there, the one in force last.
    declarations: VecDeque<(DeclarationId, Arc<Declaration>)>,
}

impl Replica {
    /// The position up to which every change is known; zero if nothing is known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// When the query of the latest verification was sent; absent before the first one.
    pub fn verified_at(&self) -> Option<Duration> {
        self.verified_at
    }

    /// Iterates over all facts, ordered by subject.
    pub fn facts(&self) -> impl Iterator<Item = StoredFact<'_>> {
        self.entries.iter().map(|(subject, e)| StoredFact {
            subject,
            fact: &e.fact,
            revision: e.provenance.position.revision,
            known_since: e.known_since,
            not_before: e.not_before,
        })
    }

    /// Applies changes that follow the known position, and the verification received with them.
    ///
    /// Changes that are older than the stored facts are ignored, so responses may arrive out of order. Changes of
    /// another era than the known one are ignored as a whole: one that has ended, or one that only a complete copy
    /// can begin.
    pub fn apply(
        &mut self,
        now: Duration,
        changes: Vec<Change>,
        verification: Verification,
    ) -> ApplySummary {
        let mut summary = ApplySummary::default();
        if verification.position.era != self.position.era {
            return summary;
        }
        for change in changes {
            if !self.is_outdated(&change) {
                summary.changed += usize::from(self.put(now, change));
            }
        }
        self.mark_verified(verification);
        summary
    }

    /// Applies changes that were read from the source by themselves, which verify nothing about the others. Changes of
    /// another era than the known one are ignored.
    pub fn apply_unverified(
        &mut self,
        now: Duration,
        mut changes: Vec<Change>,
        era: u64,
    ) -> ApplySummary {
        let position = Position { era, revision: 0 };
        self.classify(&mut changes, position);
        let verification = Verification {
            position,
            queried_at: Duration::ZERO,
        };
        self.apply(now, changes, verification)
    }

    /// Whether a late response contains a fact that was removed since: this copy is complete up to a later position,
    /// where the source did not have the subject. The content of an announced configuration is missing for another reason.
    fn is_outdated(&self, change: &Change) -> bool {
        if change.subject == Subject::Declaration && self.announced.is_some() {
            return false;
        }
        let position = change.provenance().position;
        self.position.era == self.era.number
            && position.era == self.era.number
            && position <= self.position
            && self
                .entries
                .get(&change.subject)
                .is_none_or(|stored| !stored.confirmed)
    }

    /// Replaces the facts by a complete listing of the source, verified by `verification`.
    ///
    /// The listing's parts are complete at least up to the verified position. Facts up to that position which
    /// the listing does not contain are removed; newer ones are kept. A listing of an era that has ended is ignored,
    /// and the first one of an era removes nothing yet; see [`Self::drop_unconfirmed`].
    pub fn replace_by_listing(
        &mut self,
        now: Duration,
        mut changes: Vec<Change>,
        verification: Verification,
    ) -> ApplySummary {
        self.classify(&mut changes, verification.position);
        let summary = self.replace(now, changes, verification);
        self.era.forget_history(self.position.revision);
        summary
    }

    /// Replaces the facts by a complete copy of a peer or of the source.
    fn replace(
        &mut self,
        now: Duration,
        changes: Vec<Change>,
        verification: Verification,
    ) -> ApplySummary {
        let mut summary = ApplySummary::default();
        let position = verification.position;
        if position.era < self.position.era {
            return summary;
        }
        if position.era > self.position.era {
            self.enter_era(now, position);
        }
        // A complete copy does not show what was removed before it, unless this copy had it.
        self.forgotten = self.forgotten.max(position);
        let listed = changes
            .iter()
            .filter(|change| !change.unconfirmed || era::hold(&change.subject).is_none());
        let listed: Vec<Subject> = listed.map(|change| change.subject.clone()).collect();
        if position >= self.position {
            self.revived.retain(|subject, _| listed.contains(subject));
        }
        let missing: Vec<Subject> = self
            .entries
            .iter()
            .filter(|(subject, e)| {
                e.confirmed && e.confirmed_at <= position && !listed.contains(subject)
            })
            .map(|(subject, _)| subject.clone())
            .collect();
        for subject in missing {
            summary.changed += usize::from(self.put(now, removal(subject, position)));
        }
        for change in changes {
            if !self.is_outdated(&change) || self.was_removed_before_era(&change) {
                summary.changed += usize::from(self.put_as_of(now, change, position));
            }
        }
        self.mark_verified(verification);
        summary
    }

    /// Whether a certain change of the present era brings a subject back that was removed before it, so that this copy
    /// may have taken it for part of the copy.
    fn was_removed_before_era(&self, change: &Change) -> bool {
        let removed = self.latest_removal(&change.subject);
        change.era == self.era.number
            && !change.copied
            && removed.is_some_and(|removed| removed.position.era < self.era.number)
    }

    /// Records that the copy was verified complete. A verification of a lower position than the known
    /// one is ignored.
    ///
    /// Shortly after a restoration, the source may lack changes that it had acknowledged, so a query proves nothing
    /// about these; the time of the last verification does not advance.
    pub fn mark_verified(&mut self, verification: Verification) {
        if verification.position < self.position {
            return;
        }
        self.position = verification.position;
        if self.era.is_settled(verification.queried_at) {
            self.verified_at = self.verified_at.max(Some(verification.queried_at));
        }
    }

    /// Age of the latest verification, to send to peers; absent before the first one.
    pub fn verification_age(&self, now: Duration) -> Option<VerificationAge> {
        let age = now.saturating_sub(self.verified_at?);
        Some(VerificationAge {
            revision: self.position.revision,
            era: self.position.era,
            age_ms: age.as_millis() as u64,
        })
    }

    /// Adopts a peer's verification if it is of the position that this copy has.
    ///
    /// The age counts back from `requested_at`, when the request for it was sent.
    pub fn adopt_verification(&mut self, requested_at: Duration, verification: VerificationAge) {
        let position = Position {
            era: verification.era,
            revision: verification.revision,
        };
        if position == self.position {
            let age = Duration::from_millis(verification.age_ms);
            let queried_at = requested_at.saturating_sub(age);
            self.adopt_verified_at(queried_at);
        }
    }

    /// Advances the time of the last verification to one that a peer has made, which knew whether its era was settled.
    fn adopt_verified_at(&mut self, queried_at: Duration) {
        self.verified_at = self.verified_at.max(Some(queried_at));
    }

    /// Applies one change, and returns whether it changed a fact or the times known of it.
    fn put(&mut self, now: Duration, change: Change) -> bool {
        self.put_as_of(now, change, Position::default())
    }

    /// The same for a change of a complete copy, whose subjects existed at the position `as_of`.
    fn put_as_of(&mut self, now: Duration, change: Change, as_of: Position) -> bool {
        let Some(change) = self.resolve_announcement(now, change, as_of) else {
            return false;
        };
        let provenance = change.provenance();
        let in_era = provenance.position.era == self.era.number;
        let known_since = now.saturating_sub(Duration::from_millis(change.known_for_ms));
        // A removal in an earlier era comes with a copy of the present one only if the source has the subject.
        let removed_before = change.fact.is_none() && provenance.position.era < self.era.number;
        let present = (change.fact.is_some() || removed_before) && !change.unconfirmed;
        if let Some(stored) = self.entries.get_mut(&change.subject) {
            if present {
                stored.confirmed = true;
                stored.confirmed_at = stored.confirmed_at.max(provenance.position);
            }
            match stored.relation_of(&change) {
                Relation::Later => {}
                Relation::Same => return stored.merge_same(provenance, known_since),
                Relation::Older => {
                    // Another fact at the same revision is of another era, so the stored one did not come with a copy.
                    stored.provenance.copied &= !provenance.is_same(&stored.provenance);
                    return false;
                }
            }
        }
        if let Some(removed) = self.latest_removal(&change.subject).copied() {
            let returned =
                present && removed.position.era == self.era.number && removed.position < as_of;
            if !returned && !provenance.undoes(&removed) {
                if present && removed.position.era < self.era.number {
                    self.revived.insert(change.subject, removed);
                }
                return false;
            }
        }
        let listed = self.revived.remove(&change.subject).is_some();
        let stored = self.entries.get(&change.subject);
        let Some(fact) = change.fact else {
            let existed = self.entries.remove(&change.subject).is_some();
            if present {
                let subject = change.subject.clone();
                self.revived.insert(subject, provenance);
            }
            self.remember_removal(change.subject, provenance);
            return existed;
        };
        if in_era {
            self.era.record(provenance, &change.subject, &fact);
        }
        if stored.is_some_and(|stored| is_lower_version(&fact, &stored.fact)) {
            return false;
        }
        let unchanged = stored.is_some_and(|e| e.fact == fact);
        let known_since = match stored {
            Some(e) if unchanged => e.known_since.min(known_since),
            _ => known_since,
        };
        // The first facts of a process come without a time before which they cannot have been published. A read that
        // failed gives none either: the source may have acknowledged changes all the while.
        let not_before = self.verified_at.map(|read| read.min(known_since));
        let not_before = match stored {
            Some(e) if unchanged => e.not_before.min(not_before),
            _ => not_before,
        };
        let confirmed_at = stored.map_or(Position::default(), |stored| stored.confirmed_at);
        let confirmed_at = confirmed_at.max(provenance.position).max(as_of);
        let provenance = match stored {
            // The change that came with the copy is most likely the known one.
            Some(e) if unchanged && provenance.copied => e.provenance,
            _ => provenance,
        };
        let entry = Entry {
            provenance,
            confirmed_at,
            confirmed: !change.unconfirmed
                || listed
                || stored.is_some_and(|stored| stored.confirmed),
            fact,
            known_since,
            not_before,
        };
        if let Fact::Declaration(declaration) = &entry.fact {
            self.record_declaration(declaration.clone(), provenance);
        }
        self.entries.insert(change.subject, entry);
        !unchanged
    }

    fn latest_removal(&self, subject: &Subject) -> Option<&Provenance> {
        let removals = self.removals.iter().rev();
        let mut removals = removals.filter(|(removed, _)| removed == subject);
        removals.next().map(|(_, provenance)| provenance)
    }

    fn remember_removal(&mut self, subject: Subject, provenance: Provenance) {
        self.removals.push_back((subject, provenance));
        if self.removals.len() > MAX_REMOVALS {
            if let Some((_, removed)) = self.removals.pop_front() {
                self.forgotten = self.forgotten.max(removed.position);
            }
        }
    }
}

fn removal(subject: Subject, position: Position) -> Change {
    Change {
        subject,
        revision: position.revision,
        fact: None,
        known_for_ms: 0,
        era: position.era,
        copied: false,
        unconfirmed: false,
    }
}

/// Whether a fact is of a lower version than the stored one, which is never replaced by it, wherever it comes from.
fn is_lower_version(new: &Fact, stored: &Fact) -> bool {
    match (new, stored) {
        (Fact::Declaration(new), Fact::Declaration(stored)) => new.version < stored.version,
        (Fact::Version(new), Fact::Version(stored)) => new < stored,
        _ => false,
    }
}
