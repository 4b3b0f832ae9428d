//! A process's copy of the published facts.
//!
//! The source has a single revision counter. A replica contains every change up to
//! [`Replica::revision`], and knows when that was last verified: a change with a later revision cannot
//! have been acknowledged before the query that verified it was sent.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::fact::{Fact, Subject};

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
}

/// States that a copy was complete up to a revision at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verification {
    /// The revision up to which the copy was complete.
    pub revision: u64,
    /// When the query that verified it was sent, on the clock of this process.
    pub queried_at: Duration,
}

/// Age of a peer's last verification.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerificationAge {
    /// The revision up to which the peer is complete.
    #[serde(rename = "at")]
    pub revision: u64,
    /// Time since that was verified, in milliseconds.
    pub age_ms: u64,
}

/// Asks a peer for newer facts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPull {
    /// The revision up to which the sender is complete.
    #[serde(rename = "at")]
    pub revision: u64,
}

/// A peer's changes after the requested revision, or its complete copy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaUpdate {
    /// The revision up to which the peer is complete.
    #[serde(rename = "at")]
    pub revision: u64,
    /// Time since the peer's copy was last verified complete, in milliseconds.
    pub age_ms: u64,
    /// Whether `changes` are the complete copy instead of the newer changes only.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The changes, ordered by revision.
    pub changes: Vec<Change>,
}

/// Effect of applying changes to a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ApplySummary {
    /// Number of facts that were added, changed or removed, or whose known times changed.
    pub changed: usize,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    fact: Fact,
    known_since: Duration,
    not_before: Option<Duration>,
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
    revision: u64,
    verified_at: Option<Duration>,
    last_failed_read: Option<Duration>,
    entries: BTreeMap<Subject, Entry>,
    /// The latest removals with their revisions.
    removals: VecDeque<(Subject, u64)>,
    /// Highest revision of a removal that is no longer in `removals`.
    forgotten_revision: u64,
}

impl Replica {
    /// The revision up to which every change is known; zero if nothing is known.
    pub fn revision(&self) -> u64 {
        self.revision
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
            revision: e.revision,
            known_since: e.known_since,
            not_before: e.not_before,
        })
    }

    /// Records that a query to the source, sent at `queried_at`, got no response.
    ///
    /// Nothing is acknowledged while the source is down, so a change that is found after an outage
    /// counts as published after its end. If only this process was disconnected, peers have an
    /// earlier time for the change.
    pub fn record_failed_read(&mut self, queried_at: Duration) {
        self.last_failed_read = self.last_failed_read.max(Some(queried_at));
    }

    /// Applies changes that follow the known revision, and the verification received with them.
    ///
    /// Changes that are older than the stored facts are ignored, so responses may arrive out of order.
    pub fn apply(
        &mut self,
        now: Duration,
        changes: Vec<Change>,
        verification: Verification,
    ) -> ApplySummary {
        let mut summary = ApplySummary::default();
        for change in changes {
            summary.changed += usize::from(self.put(now, change));
        }
        self.mark_verified(verification);
        summary
    }

    /// Replaces the facts by a complete copy, verified by `verification`.
    ///
    /// `min_revision` is the lowest revision of the copy's parts. Facts up to that revision which the
    /// copy does not contain are removed; newer ones are kept.
    pub fn replace(
        &mut self,
        now: Duration,
        changes: Vec<Change>,
        min_revision: u64,
        verification: Verification,
    ) -> ApplySummary {
        let mut summary = ApplySummary::default();
        let listed: Vec<Subject> = changes.iter().map(|c| c.subject.clone()).collect();
        let missing: Vec<Subject> = self
            .entries
            .iter()
            .filter(|(subject, e)| e.revision <= min_revision && !listed.contains(subject))
            .map(|(subject, _)| subject.clone())
            .collect();
        for subject in missing {
            let change = Change {
                subject,
                revision: min_revision,
                fact: None,
                known_for_ms: 0,
            };
            summary.changed += usize::from(self.put(now, change));
        }
        for change in changes {
            summary.changed += usize::from(self.put(now, change));
        }
        self.mark_verified(verification);
        summary
    }

    /// Records that the copy was verified complete. A verification of a lower revision than the known
    /// one is ignored.
    pub fn mark_verified(&mut self, verification: Verification) {
        if verification.revision < self.revision {
            return;
        }
        self.revision = verification.revision;
        self.verified_at = self.verified_at.max(Some(verification.queried_at));
    }

    /// Age of the latest verification, to send to peers; absent before the first one.
    pub fn verification_age(&self, now: Duration) -> Option<VerificationAge> {
        let age = now.saturating_sub(self.verified_at?);
        Some(VerificationAge {
            revision: self.revision,
            age_ms: age.as_millis() as u64,
        })
    }

    /// Adopts a peer's verification if it is of the revision that this copy has.
    ///
    /// The age counts back from `requested_at`, when the request for it was sent.
    pub fn adopt_verification(&mut self, requested_at: Duration, verification: VerificationAge) {
        if verification.revision == self.revision {
            let queried_at =
                requested_at.saturating_sub(Duration::from_millis(verification.age_ms));
            self.mark_verified(Verification {
                revision: verification.revision,
                queried_at,
            });
        }
    }

    /// Applies one change, and returns whether it changed a fact or the times known of it.
    fn put(&mut self, now: Duration, change: Change) -> bool {
        let known_since = now.saturating_sub(Duration::from_millis(change.known_for_ms));
        if let Some(stored) = self.entries.get_mut(&change.subject) {
            if stored.revision == change.revision {
                stored.known_since = stored.known_since.min(known_since);
                let previous = stored.not_before;
                stored.not_before = previous.map(|not_before| not_before.min(known_since));
                return stored.not_before != previous;
            }
            if stored.revision > change.revision {
                return false;
            }
        }
        let stored = self.entries.get(&change.subject);
        let removals = self.removals.iter().rev();
        let mut removals = removals.filter(|(subject, _)| *subject == change.subject);
        if removals
            .next()
            .is_some_and(|(_, revision)| *revision >= change.revision)
        {
            return false;
        }
        let Some(fact) = change.fact else {
            let existed = self.entries.remove(&change.subject).is_some();
            if existed {
                self.remember_removal(change.subject, change.revision);
            }
            return existed;
        };
        if let (Some(stored), Fact::Declaration(new)) = (stored, &fact) {
            // A configuration is never replaced by a lower version, whatever its revision.
            if matches!(&stored.fact, Fact::Declaration(old) if old.version > new.version) {
                return false;
            }
        }
        let unchanged = stored.is_some_and(|e| e.fact == fact);
        let known_since = match stored {
            Some(e) if unchanged => e.known_since.min(known_since),
            _ => known_since,
        };
        let last_read = self.verified_at.map(|verified| {
            self.last_failed_read
                .map_or(verified, |failed| failed.max(verified))
        });
        let not_before = last_read.map(|read| read.min(known_since));
        let not_before = match stored {
            Some(e) if unchanged => e.not_before.min(not_before),
            _ => not_before,
        };
        let entry = Entry {
            revision: change.revision,
            fact,
            known_since,
            not_before,
        };
        self.entries.insert(change.subject, entry);
        !unchanged
    }

    fn remember_removal(&mut self, subject: Subject, revision: u64) {
        self.removals.push_back((subject, revision));
        if self.removals.len() > MAX_REMOVALS {
            if let Some((_, revision)) = self.removals.pop_front() {
                self.forgotten_revision = self.forgotten_revision.max(revision);
            }
        }
    }

    /// The changes that a peer which is complete up to `pull.revision` is missing.
    ///
    /// Target versions are always included, since the peer may have received them later than this
    /// process. Absent before the first verification.
    pub fn update_for(&self, now: Duration, pull: &ReplicaPull) -> Option<ReplicaUpdate> {
        let verified_at = self.verified_at?;
        let complete = pull.revision == 0 || pull.revision < self.forgotten_revision;
        let is_newer = |revision: u64| complete || revision > pull.revision;
        let mut changes: Vec<Change> = self
            .entries
            .iter()
            .filter(|(_, e)| is_newer(e.revision) || matches!(e.fact, Fact::Version(_)))
            .map(|(subject, e)| Change {
                subject: subject.clone(),
                revision: e.revision,
                fact: Some(e.fact.clone()),
                known_for_ms: now.saturating_sub(e.known_since).as_millis() as u64,
            })
            .collect();
        if !complete {
            let removals = self
                .removals
                .iter()
                .filter(|(_, revision)| is_newer(*revision));
            changes.extend(removals.map(|(subject, revision)| Change {
                subject: subject.clone(),
                revision: *revision,
                fact: None,
                known_for_ms: 0,
            }));
        }
        changes.sort_by_key(|change| change.revision);
        Some(ReplicaUpdate {
            revision: self.revision,
            age_ms: now.saturating_sub(verified_at).as_millis() as u64,
            complete,
            changes,
        })
    }

    /// Applies changes after `base_revision` that a peer pushed without a request.
    ///
    /// Returns nothing if they do not follow the known revision directly; they are not applied then.
    /// The facts are valid, but do not verify that this copy is complete: the notification may have
    /// been delayed.
    pub fn apply_notification(
        &mut self,
        now: Duration,
        base_revision: u64,
        update: ReplicaUpdate,
    ) -> Option<ApplySummary> {
        if self.verified_at.is_none() || self.revision < base_revision || update.complete {
            return None;
        }
        if update.revision <= self.revision {
            return Some(ApplySummary::default());
        }
        let mut summary = ApplySummary::default();
        for change in update.changes {
            summary.changed += usize::from(self.put(now, change));
        }
        self.revision = update.revision;
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
        let verification = Verification {
            revision: update.revision,
            queried_at: queried_at.saturating_sub(age),
        };
        if update.revision < self.revision {
            // The peer is behind, but may have received the facts that both have earlier.
            let mut summary = ApplySummary::default();
            for change in update.changes {
                let stored = self.entries.get(&change.subject);
                if stored.is_some_and(|stored| stored.revision == change.revision) {
                    summary.changed += usize::from(self.put(now, change));
                }
            }
            return summary;
        }
        match update.complete {
            true => self.replace(now, update.changes, update.revision, verification),
            false => self.apply(now, update.changes, verification),
        }
    }
}
