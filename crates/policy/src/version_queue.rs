//! Which of several wanted versions is fetched next.

use std::{collections::HashMap, hash::Hash};

use crate::Moment;

/// A version of which nothing came is left alone for this long if another one is wanted, too.
const LEAVE_STALLED: Moment = Moment::from_secs(2);
/// A version whose manifest has not come for this long is left alone. A busy origin may take a second
/// for it, and a fleet of which a part went back to the older version lacks owners in both.
const MANIFEST_PATIENCE: Moment = Moment::from_millis(1_500);
/// Part of its chunks from which on a version is finished before a newer one is begun. There is time
/// for both one after the other, and the newer one may not come at all.
const FINISH_FROM: f64 = 0.2;

/// The order of fetches where versions overtake each other.
///
/// The newest version goes first. One that is well begun is finished all the same, and an older one
/// goes on while the newest does not come, for instance because its origin is down.
#[derive(Clone, Debug)]
pub struct VersionQueue<V> {
    stalled: HashMap<V, Moment>,
    without_manifest: HashMap<V, Moment>,
}

impl<V> Default for VersionQueue<V> {
    fn default() -> Self {
        Self {
            stalled: HashMap::new(),
            without_manifest: HashMap::new(),
        }
    }
}

impl<V: Clone + Eq + Hash> VersionQueue<V> {
    /// Notes that nothing comes of a version.
    pub fn mark_stalled(&mut self, now: Moment, version: &V) {
        self.stalled.insert(version.clone(), now + LEAVE_STALLED);
    }

    /// Notes that the manifest of a version was asked for and did not come.
    pub fn record_missing_manifest(&mut self, now: Moment, version: &V) {
        let since = *self.without_manifest.entry(version.clone()).or_insert(now);
        if now.saturating_sub(since) > MANIFEST_PATIENCE {
            self.without_manifest.remove(version);
            self.mark_stalled(now, version);
        }
    }

    fn left_alone(&self, now: Moment, version: &V) -> bool {
        self.stalled.get(version).is_some_and(|until| now < *until)
    }

    /// The next of the versions that are `missing`, which are sorted from the newest to the oldest.
    pub fn next_version<'v>(&self, now: Moment, missing: &'v [V]) -> Option<&'v V> {
        let ready = missing.iter().find(|v| !self.left_alone(now, v));
        ready.or(missing.first())
    }

    /// Whether the fetch of a version, of which `held` of `all` chunks are there, gives way to
    /// another one that is `missing`.
    pub fn should_yield(
        &self,
        now: Moment,
        version: &V,
        missing: &[V],
        held: usize,
        all: usize,
    ) -> bool {
        let begun = held as f64 >= FINISH_FROM * all as f64;
        !begun
            && self
                .next_version(now, missing)
                .is_some_and(|next| next != version)
    }
}

/// Of versions that are `wanted`, sorted from the newest to the oldest, those still to be fetched: none that
/// is older than one that is held whole.
///
/// An older one would take the place of a newer one among the few that are kept.
pub fn versions_to_fetch<V>(mut wanted: Vec<V>, held: impl Fn(&V) -> bool) -> Vec<V> {
    let newer = wanted.iter().take_while(|version| !held(version)).count();
    wanted.truncate(newer);
    wanted
}
