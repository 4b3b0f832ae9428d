//! One process's copy of the published facts.
//!
//! The source has a single revision counter. A replica knows every change up to [`Replica::at`], and
//! since when that is proved: a later change cannot have been acknowledged before the proof.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::fact::{Fact, Subject};

/// Removals that are remembered, so that peers which are a little behind need no whole copy.
const MAX_REMOVALS: usize = 1_024;

/// One change, in the order of the source's revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// What changed.
    pub subject: Subject,
    /// The source's revision of the change.
    pub revision: u64,
    /// The fact; nothing if it was removed or cannot be read.
    pub fact: Option<Fact>,
    /// How long the sender has known it, in milliseconds; zero if the source itself tells.
    #[serde(rename = "known_ms", default)]
    pub known_for_ms: u64,
}

/// That a copy was complete up to a revision at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verification {
    /// The revision.
    pub revision: u64,
    /// When the proving question was sent, on the clock of this process.
    pub queried_at: Duration,
}

/// How old a peer's proof is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerificationAge {
    /// The revision up to which the peer is complete.
    #[serde(rename = "at")]
    pub revision: u64,
    /// How long ago that was proved, in milliseconds.
    pub age_ms: u64,
}

/// Asks a peer for what is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPull {
    /// The revision up to which the asking process is complete.
    #[serde(rename = "at")]
    pub revision: u64,
}

/// What a peer knows beyond the asked revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaUpdate {
    /// The revision up to which the peer is complete.
    #[serde(rename = "at")]
    pub revision: u64,
    /// How long ago the peer's copy was proved, in milliseconds.
    pub age_ms: u64,
    /// Whether `changes` are the whole copy instead of what is newer.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The changes.
    pub changes: Vec<Change>,
}

/// What a process learned from changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ApplySummary {
    /// Facts that are new, other or gone.
    pub changed: usize,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    fact: Fact,
    learned: Duration,
    since: Option<Duration>,
}

/// A fact, and what is known of its time.
#[derive(Clone, Copy, Debug)]
pub struct StoredFact<'r> {
    /// What it is about.
    pub subject: &'r Subject,
    /// The fact.
    pub fact: &'r Fact,
    /// The source's revision of its last change.
    pub revision: u64,
    /// When it was learned, by this process or by the first one that handed it on: it is at least as
    /// old as that.
    pub known_since: Duration,
    /// The time before which it cannot have been acknowledged, since the source was read then and did
    /// not have it yet. Absent if the process had read nothing before.
    pub not_before: Option<Duration>,
}

/// The facts that a process knows.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    at: u64,
    proved: Option<Duration>,
    unreadable: Option<Duration>,
    entries: BTreeMap<Subject, Entry>,
    removed: VecDeque<(Subject, u64)>,
    forgotten: u64,
}

impl Replica {
    /// The revision up to which every change is known; zero if nothing is known.
    pub fn revision(&self) -> u64 {
        self.at
    }

    /// When the newest proof was asked for.
    pub fn verified_at(&self) -> Option<Duration> {
        self.proved
    }

    /// Every fact with its revision and its times.
    pub fn facts(&self) -> impl Iterator<Item = StoredFact<'_>> {
        self.entries.iter().map(|(subject, e)| StoredFact {
            subject,
            fact: &e.fact,
            revision: e.revision,
            known_since: e.learned,
            not_before: e.since,
        })
    }

    /// Notes that a question to the source which was sent at `asked` got no answer.
    ///
    /// Nothing is acknowledged while the source is down, so a change that is found afterwards is
    /// taken to be younger. If only this process was cut off, peers know better when it was.
    pub fn record_failed_read(&mut self, asked: Duration) {
        self.unreadable = self.unreadable.max(Some(asked));
    }

    /// Takes changes that followed the known revision, and the proof that comes with them.
    ///
    /// Changes that are older than what is known are passed over, so answers may cross.
    pub fn apply(
        &mut self,
        now: Duration,
        changes: Vec<Change>,
        proof: Verification,
    ) -> ApplySummary {
        let mut absorbed = ApplySummary::default();
        for change in changes {
            absorbed.changed += usize::from(self.put(now, change));
        }
        self.mark_verified(proof);
        absorbed
    }

    /// Takes a whole copy that was complete when `proof` was asked for.
    ///
    /// `least` is the lowest revision of the copy's parts; facts that are absent from it and not
    /// newer are gone.
    pub fn replace(
        &mut self,
        now: Duration,
        changes: Vec<Change>,
        least: u64,
        proof: Verification,
    ) -> ApplySummary {
        let mut absorbed = ApplySummary::default();
        let listed: Vec<Subject> = changes.iter().map(|c| c.subject.clone()).collect();
        let gone: Vec<Subject> = self
            .entries
            .iter()
            .filter(|(subject, e)| e.revision <= least && !listed.contains(subject))
            .map(|(subject, _)| subject.clone())
            .collect();
        for subject in gone {
            let change = Change {
                subject,
                revision: least,
                fact: None,
                known_for_ms: 0,
            };
            absorbed.changed += usize::from(self.put(now, change));
        }
        for change in changes {
            absorbed.changed += usize::from(self.put(now, change));
        }
        self.mark_verified(proof);
        absorbed
    }

    /// Notes that the copy was complete; a proof of a lower revision says nothing new.
    pub fn mark_verified(&mut self, proof: Verification) {
        if proof.revision < self.at {
            return;
        }
        self.at = proof.revision;
        self.proved = self.proved.max(Some(proof.queried_at));
    }

    /// How old the proof of this copy is, for peers.
    pub fn verification_age(&self, now: Duration) -> Option<VerificationAge> {
        let age = now.saturating_sub(self.proved?);
        Some(VerificationAge {
            revision: self.at,
            age_ms: age.as_millis() as u64,
        })
    }

    /// Takes over a peer's proof that was told at `told`, if it is of what this copy knows.
    pub fn adopt_verification(&mut self, told: Duration, proof: VerificationAge) {
        if proof.revision == self.at {
            let asked = told.saturating_sub(Duration::from_millis(proof.age_ms));
            self.mark_verified(Verification {
                revision: proof.revision,
                queried_at: asked,
            });
        }
    }

    fn put(&mut self, now: Duration, change: Change) -> bool {
        let learned = now.saturating_sub(Duration::from_millis(change.known_for_ms));
        if let Some(known) = self.entries.get_mut(&change.subject) {
            if known.revision == change.revision {
                known.learned = known.learned.min(learned);
                let before = known.since;
                known.since = before.map(|since| since.min(learned));
                return known.since != before;
            }
            if known.revision > change.revision {
                return false;
            }
        }
        let known = self.entries.get(&change.subject);
        let removed = self.removed.iter().rev();
        let mut removed = removed.filter(|(subject, _)| *subject == change.subject);
        if removed.next().is_some_and(|(_, at)| *at >= change.revision) {
            return false;
        }
        let Some(fact) = change.fact else {
            let existed = self.entries.remove(&change.subject).is_some();
            if existed {
                self.forget(change.subject, change.revision);
            }
            return existed;
        };
        if let (Some(known), Fact::Declaration(new)) = (known, &fact) {
            // A configuration never goes back, whatever revision its source gives it.
            if matches!(&known.fact, Fact::Declaration(old) if old.version > new.version) {
                return false;
            }
        }
        let same = known.is_some_and(|e| e.fact == fact);
        let learned = match known {
            Some(e) if same => e.learned.min(learned),
            _ => learned,
        };
        let read = self
            .proved
            .map(|at| self.unreadable.map_or(at, |no| no.max(at)));
        let since = read.map(|at| at.min(learned));
        let since = match known {
            Some(e) if same => e.since.min(since),
            _ => since,
        };
        let entry = Entry {
            revision: change.revision,
            fact,
            learned,
            since,
        };
        self.entries.insert(change.subject, entry);
        !same
    }

    fn forget(&mut self, subject: Subject, revision: u64) {
        self.removed.push_back((subject, revision));
        if self.removed.len() > MAX_REMOVALS {
            if let Some((_, revision)) = self.removed.pop_front() {
                self.forgotten = self.forgotten.max(revision);
            }
        }
    }

    /// What a peer that is complete up to `pull.at` lacks, and the versions that are wanted: the peer
    /// may know them for less time.
    pub fn update_for(&self, now: Duration, pull: &ReplicaPull) -> Option<ReplicaUpdate> {
        let proved = self.proved?;
        let whole = pull.revision == 0 || pull.revision < self.forgotten;
        let newer = |revision: u64| whole || revision > pull.revision;
        let mut changes: Vec<Change> = self
            .entries
            .iter()
            .filter(|(_, e)| newer(e.revision) || matches!(e.fact, Fact::Version(_)))
            .map(|(subject, e)| Change {
                subject: subject.clone(),
                revision: e.revision,
                fact: Some(e.fact.clone()),
                known_for_ms: now.saturating_sub(e.learned).as_millis() as u64,
            })
            .collect();
        if !whole {
            let removed = self.removed.iter().filter(|(_, at)| newer(*at));
            changes.extend(removed.map(|(subject, revision)| Change {
                subject: subject.clone(),
                revision: *revision,
                fact: None,
                known_for_ms: 0,
            }));
        }
        changes.sort_by_key(|change| change.revision);
        Some(ReplicaUpdate {
            revision: self.at,
            age_ms: now.saturating_sub(proved).as_millis() as u64,
            complete: whole,
            changes,
        })
    }

    /// Takes changes after `since` that a peer told unasked; tells whether they join what is known.
    ///
    /// They hold, but prove nothing: they may have been on their way for long.
    pub fn apply_notification(
        &mut self,
        now: Duration,
        since: u64,
        update: ReplicaUpdate,
    ) -> Option<ApplySummary> {
        if self.proved.is_none() || self.at < since || update.complete {
            return None;
        }
        if update.revision <= self.at {
            return Some(ApplySummary::default());
        }
        let mut absorbed = ApplySummary::default();
        for change in update.changes {
            absorbed.changed += usize::from(self.put(now, change));
        }
        self.at = update.revision;
        Some(absorbed)
    }

    /// Takes a peer's answer to a question that was sent at `asked`.
    ///
    /// The proof is as old as the peer says, counted from before the question was sent.
    pub fn apply_update(
        &mut self,
        now: Duration,
        asked: Duration,
        update: ReplicaUpdate,
    ) -> ApplySummary {
        let age = Duration::from_millis(update.age_ms);
        let proof = Verification {
            revision: update.revision,
            queried_at: asked.saturating_sub(age),
        };
        if update.revision < self.at {
            // The peer lacks something, but may have known for longer what both know.
            let mut absorbed = ApplySummary::default();
            for change in update.changes {
                let known = self.entries.get(&change.subject);
                if known.is_some_and(|known| known.revision == change.revision) {
                    absorbed.changed += usize::from(self.put(now, change));
                }
            }
            return absorbed;
        }
        match update.complete {
            true => self.replace(now, update.changes, update.revision, proof),
            false => self.apply(now, update.changes, proof),
        }
    }
}
