//! What a replica sends to its peers, and what it takes from them.

use std::time::Duration;

use super::{
    removal, ApplySummary, Change, Position, Provenance, Replica, ReplicaPull, ReplicaUpdate,
    Verification,
};
use crate::fact::{Fact, Subject};

impl Replica {
    /// The changes that a peer which is complete up to the position of `pull` is missing.
    ///
    /// Target versions are always included, since the peer may have received them later than this
    /// process. Absent before the first verification, and while this copy has no content of the latest configuration and
    /// the peer accepts no announcement of it.
    pub fn update_for(&self, now: Duration, pull: &ReplicaPull) -> Option<ReplicaUpdate> {
        let verified_at = self.verified_at?;
        if self.announced.is_some() && !pull.accepts_announcements {
            return None;
        }
        let pulled = Position {
            era: pull.era,
            revision: pull.revision,
        };
        let complete =
            pulled.revision == 0 || pulled.era != self.position.era || pulled < self.forgotten;
        let is_newer = |provenance: &Provenance| complete || provenance.position > pulled;
        let mut changes: Vec<Change> = self
            .entries
            .iter()
            .filter(|(_, e)| is_newer(&e.provenance) || matches!(e.fact, Fact::Version(_)))
            .map(|(subject, e)| Change {
                subject: subject.clone(),
                revision: e.provenance.position.revision,
                fact: Some(match pull.accepts_announcements {
                    true => self.announcement_of(&e.fact),
                    false => e.fact.clone(),
                }),
                known_for_ms: now.saturating_sub(e.known_since).as_millis() as u64,
                era: e.provenance.position.era,
                copied: e.provenance.copied,
                unconfirmed: !e.confirmed,
            })
            .collect();
        let announced = self.announced.iter();
        let announced = announced.map(|announced| announced.to_change(now));
        changes.extend(announced.filter(|change| is_newer(&change.provenance())));
        if complete {
            let revived = self.revived.iter();
            changes.extend(
                revived.map(|(subject, removed)| removal(subject.clone(), removed.position)),
            );
        } else {
            let removals = self
                .removals
                .iter()
                .filter(|(_, provenance)| is_newer(provenance));
            changes.extend(
                removals.map(|(subject, provenance)| removal(subject.clone(), provenance.position)),
            );
        }
        changes.sort_by_key(|change| (change.era, change.revision));
        Some(ReplicaUpdate {
            revision: self.position.revision,
            era: self.position.era,
            age_ms: now.saturating_sub(verified_at).as_millis() as u64,
            complete,
            changes,
        })
    }

    /// Applies changes after `base` that a peer pushed without a request.
    ///
    /// Returns nothing if they do not follow the known position directly; they are not applied then.
    /// The facts are valid, but do not verify that this copy is complete: the notification may have
    /// been delayed.
    pub fn apply_notification(
        &mut self,
        now: Duration,
        base: Position,
        update: ReplicaUpdate,
    ) -> Option<ApplySummary> {
        let position = update.position();
        if position.era < self.position.era {
            // The peer, or the message, is of an era that has ended.
            return Some(ApplySummary::default());
        }
        let follows = base.era == self.position.era && position.era == base.era;
        if self.verified_at.is_none() || !follows || self.position < base || update.complete {
            return None;
        }
        if position <= self.position {
            return Some(ApplySummary::default());
        }
        let mut summary = ApplySummary::default();
        for change in update.changes {
            summary.changed += usize::from(self.put(now, change));
        }
        self.position = position;
        // The peer has sent the latest change of each subject only.
        self.era.forget_history(position.revision);
        Some(summary)
    }

    /// Applies a peer's response to a pull that was sent at `queried_at`.
    ///
    /// The age of the peer's verification counts back from `queried_at`, so that the time which the
    /// exchange took does not make it look more recent.
    pub fn apply_update(
        &mut self,
        now: Duration,
        queried_at: Duration,
        update: ReplicaUpdate,
    ) -> ApplySummary {
        let age = Duration::from_millis(update.age_ms);
        let position = update.position();
        let verification = Verification {
            position,
            queried_at: queried_at.saturating_sub(age),
        };
        if position < self.position {
            return self.merge_older(now, update);
        }
        let summary = match update.complete {
            true => self.replace(now, update.changes, verification),
            // Only a complete copy can begin an era.
            false if position.era != self.position.era => return ApplySummary::default(),
            false => self.apply(now, update.changes, verification),
        };
        self.era.forget_history(position.revision);
        self.adopt_verified_at(verification.queried_at);
        summary
    }

    /// Merges what a peer that is behind may know better: when it received the facts that both have, facts of an era
    /// that has ended which the source lost, and which changes were certainly made in the present era.
    fn merge_older(&mut self, now: Duration, update: ReplicaUpdate) -> ApplySummary {
        let mut summary = ApplySummary::default();
        let same_era = update.era == self.position.era;
        for change in update.changes {
            let provenance = change.provenance();
            let stored = self.entries.get(&change.subject);
            let known = match same_era {
                true => {
                    let in_era = provenance.position.era == self.era.number;
                    let certain = in_era && !change.copied && change.fact.is_some();
                    match stored {
                        Some(stored) => certain || provenance.is_same(&stored.provenance),
                        None => certain && self.was_removed_before_era(&change),
                    }
                }
                false => stored.is_some() || !matches!(change.subject, Subject::Upstream(_)),
            };
            if known {
                // Whether the source still has the subject is known better here.
                let change = Change {
                    unconfirmed: true,
                    ..change
                };
                summary.changed += usize::from(self.put(now, change));
            }
        }
        summary
    }
}
