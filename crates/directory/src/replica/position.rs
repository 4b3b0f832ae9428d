//! Places in the history of the source.

use serde::{Deserialize, Serialize};

/// A revision of the source. Revisions are given out again when the source is restored from an older copy, which begins
/// a new era, so they order changes only within one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Position {
    /// The era of the source.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}

/// Where the latest known change of a subject stands in the history of the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Provenance {
    /// Where the change was read.
    pub position: Position,
    /// Whether the change may have been made before the era and come with the copy.
    pub copied: bool,
}

impl Provenance {
    /// Whether this is the same change as `other`, as far as can be told.
    pub fn is_same(&self, other: &Self) -> bool {
        let same_revision = self.position.revision == other.position.revision;
        same_revision && (self.position.era == other.position.era || self.older_era_of(other))
    }

    /// Whether the change was made after `other`.
    ///
    /// A change that came with a copy has the revision that it had in the era before, so it is compared with changes of
    /// that era by its revision. It does not undo what was changed there after the copy had been made.
    pub fn is_later(&self, other: &Self) -> bool {
        match self.older_era_of(other) {
            true => self.position.revision > other.position.revision,
            false => self.position > other.position,
        }
    }

    /// Whether the change brings back what `removal` removed: it was made later, or it has the same revision and so is
    /// another change, of a later era.
    pub fn undoes(&self, removal: &Self) -> bool {
        let later_era = self.position.era > removal.position.era;
        let same_revision = self.position.revision == removal.position.revision;
        (later_era && same_revision) || self.is_later(removal)
    }

    /// Whether the changes were read in different eras, but may have been made in the same one.
    fn older_era_of(&self, other: &Self) -> bool {
        let (early, late) = match self.position.era < other.position.era {
            true => (self, other),
            false => (other, self),
        };
        early.position.era != late.position.era && late.copied
    }
}
