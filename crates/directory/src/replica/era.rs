//! What a replica does when its source was restored from an older copy.

use std::{
    collections::{hash_map::DefaultHasher, BTreeMap},
    hash::{Hash, Hasher},
    time::Duration,
};

use super::{ApplySummary, Change, Position, Provenance, Replica};
use crate::fact::{Fact, Subject};

/// Time after the first response of an era in which the source may still lack changes that it had acknowledged.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// Time for which upstreams are kept that the source lost with the restoration. Those that live are registered again by
/// then.
const UPSTREAM_HOLD: Duration = Duration::from_secs(2);
/// The same for evacuations, which operators publish.
const EVACUATION_HOLD: Duration = Duration::from_secs(60);
/// Most changes that are remembered in order to recognize them in a copy.
const MAX_HISTORY: usize = 4_096;

/// The first era of a source, in which it has never been restored.
const FIRST_ERA: u64 = 1;

/// The present era of the source, as one process knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct Era {
    pub number: u64,
    /// When this process learned of it.
    began_at: Duration,
    /// Whether the source may have been restored shortly before.
    restored: bool,
    /// Whether the configuration has been published in it.
    configured: bool,
    /// Facts up to this revision may have come with the copy.
    first_revision: u64,
    /// A hash of the change at each revision after `history_after`.
    history: BTreeMap<u64, u64>,
    history_after: u64,
}

impl Era {
    /// Whether a query sent at this time found all changes that the source had acknowledged.
    ///
    /// Operators publish the configuration again if the copy lacks it, and nothing proves that it does not.
    pub fn is_settled(&self, queried_at: Duration) -> bool {
        !self.restored || self.configured || queried_at >= self.began_at + SETTLING_TIME
    }

    /// Records a change that was accepted.
    pub fn record(&mut self, provenance: Provenance, subject: &Subject, fact: &Fact) {
        let configuration = matches!(fact, Fact::Declaration(_) | Fact::Announced(_));
        self.configured |= !provenance.copied && configuration;
        let revision = provenance.position.revision;
        self.history.insert(revision, hash(subject, Some(fact)));
        while self.history.len() > MAX_HISTORY {
            if let Some((oldest, _)) = self.history.pop_first() {
                self.history_after = self.history_after.max(oldest);
            }
        }
    }

    /// Forgets the changes up to a revision, since not each of them was received.
    pub fn forget_history(&mut self, up_to: u64) {
        self.history_after = self.history_after.max(up_to);
        self.history = self.history.split_off(&(self.history_after + 1));
    }

    /// Whether a change that the first listing of the next era contains was certainly made in that era: this one had
    /// another change at its revision. `known_up_to` is the revision up to which this era was known.
    fn lacks(&self, change: &Change, known_up_to: u64) -> bool {
        let known = change.revision > self.history_after && change.revision <= known_up_to;
        let made = self.history.get(&change.revision);
        known && made != Some(&hash(&change.subject, change.fact.as_ref()))
    }
}

fn hash(subject: &Subject, fact: Option<&Fact>) -> u64 {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    match fact {
        None => 0_u8.hash(&mut hasher),
        Some(Fact::Declaration(declaration)) => declaration.version.hash(&mut hasher),
        Some(Fact::Announced(id)) => id.version.hash(&mut hasher),
        Some(Fact::Version(version)) => version.hash(&mut hasher),
        Some(Fact::Evacuation) => 1_u8.hash(&mut hasher),
        Some(Fact::Upstream(record)) => format!("{record:?}").hash(&mut hasher),
    }
    hasher.finish()
}

/// How long a fact is kept that a restored source lacks. A configuration and a target version stay in force until a higher
/// one is published.
pub(super) fn hold(subject: &Subject) -> Option<Duration> {
    match subject {
        Subject::Upstream(_) => Some(UPSTREAM_HOLD),
        Subject::Evacuation(_) => Some(EVACUATION_HOLD),
        Subject::Declaration | Subject::Version(_) => None,
    }
}

impl Replica {
    /// Decides for each change of a listing whether it was made in the listing's era or came with the copy.
    ///
    /// The first listing of an era may contain both. The earliest change that was certainly made in the era shows that all
    /// later ones were.
    pub(super) fn classify(&self, changes: &mut [Change], position: Position) {
        let known = self.position;
        let certain = |change: &Change| match position.era.checked_sub(known.era) {
            Some(0) => change.revision > self.era.first_revision,
            Some(1) => self.era.lacks(change, known.revision) || self.contradicts(change),
            _ => false,
        };
        let earliest = changes.iter().filter(|change| certain(change));
        let earliest = earliest.map(|change| change.revision).min();
        for change in changes {
            let after_earliest = earliest.is_some_and(|earliest| change.revision >= earliest);
            change.era = position.era;
            change.copied = !after_earliest;
        }
    }

    /// Whether a change cannot have been made in the era that this copy is of: the latest change of its subject there is an
    /// earlier one, or was another one at the same revision.
    fn contradicts(&self, change: &Change) -> bool {
        let stored = self.entries.get(&change.subject);
        let (latest, same_fact) = match (self.announced_as(change), stored) {
            (Some(announced), _) => announced,
            (None, Some(stored)) => (
                stored.provenance.position,
                change.fact.as_ref() == Some(&stored.fact),
            ),
            (None, None) => match self.latest_removal(&change.subject) {
                Some(removed) => (removed.position, change.fact.is_none()),
                None => return false,
            },
        };
        let known = latest.era == self.position.era && change.revision <= self.position.revision;
        let same = change.revision == latest.revision && same_fact;
        known && change.revision >= latest.revision && !same
    }

    /// Begins an era. All facts are kept, unconfirmed, until the source has them again or they are dropped.
    pub(super) fn enter_era(&mut self, now: Duration, position: Position) {
        let first = self.position == Position::default();
        self.era = Era {
            number: position.era,
            began_at: now,
            restored: !first || position.era > FIRST_ERA,
            configured: false,
            first_revision: position.revision,
            history: BTreeMap::new(),
            history_after: position.revision,
        };
        self.revived.clear();
        for entry in self.entries.values_mut() {
            entry.confirmed = false;
        }
    }

    /// Drops facts that the source lost with a restoration and that were not published again.
    ///
    /// Only a verification that was made later shows that they were not. A configuration and a target version stay in
    /// force until a higher one is published.
    pub fn drop_unconfirmed(&mut self, now: Duration) -> ApplySummary {
        let mut summary = ApplySummary::default();
        let began_at = self.era.began_at;
        let verified_at = self.verified_at.unwrap_or_default();
        let lost = self.entries.iter().filter(|(subject, entry)| {
            let hold = hold(subject);
            !entry.confirmed && hold.is_some_and(|hold| verified_at >= began_at + hold)
        });
        let lost: Vec<Subject> = lost.map(|(subject, _)| subject.clone()).collect();
        for subject in lost {
            let change = super::removal(subject, self.position);
            summary.changed += usize::from(self.put(now, change));
        }
        summary
    }
}
