//! Decides which of several target versions is fetched next.

use std::{collections::HashMap, hash::Hash};

use crate::Moment;

/// Time for which a stalled version is skipped if there is another one to fetch.
const STALLED_BACKOFF: Moment = Moment::from_secs(2);
/// Time without a manifest after which a version counts as stalled. A busy origin may take a second to send
/// it. While part of the fleet returns to an older version, some owners of both versions are missing.
const MANIFEST_TIMEOUT: Moment = Moment::from_millis(1_500);
/// Fraction of stored chunks from which a fetch is finished before that of a newer version starts. There is
/// time for both in sequence, and the newer version may never arrive.
const FINISH_THRESHOLD: f64 = 0.2;

/// Time without a chunk after which a fetch past [`FINISH_THRESHOLD`] yields to that of a newer version after all. Its
/// missing chunks may have no source, while the newer version has one.
const MAX_IDLE_TIME: Moment = Moment::from_millis(300);

/// The order of fetches when a version is superseded before it is complete.
///
/// The newest version has priority. A fetch that has passed [`FINISH_THRESHOLD`] is still finished, and an
/// older version is fetched while the newest one is stalled, for instance because its origin is down.
#[derive(Clone, Debug)]
pub struct VersionQueue<V> {
    /// When the backoff of each stalled version ends.
    stalled_until: HashMap<V, Moment>,
    /// When a manifest was first found missing, by version.
    manifest_missing_since: HashMap<V, Moment>,
    /// Number of stored chunks of each version, as last recorded.
    stored: HashMap<V, usize>,
    origin_is_down: bool,
}

impl<V> Default for VersionQueue<V> {
    fn default() -> Self {
        Self {
            stalled_until: HashMap::new(),
            manifest_missing_since: HashMap::new(),
            stored: HashMap::new(),
            origin_is_down: false,
        }
    }
}

impl<V: Clone + Eq + Hash> VersionQueue<V> {
    /// Records that the fetch of a version makes no progress.
    pub fn mark_stalled(&mut self, now: Moment, version: &V) {
        self.stalled_until
            .insert(version.clone(), now + STALLED_BACKOFF);
    }

    /// Records the number of stored chunks of a version. A stalled one that has more than before can be fetched again.
    pub fn record_stored(&mut self, version: &V, stored: usize) {
        let before = self.stored.insert(version.clone(), stored).unwrap_or(0);
        if stored > before {
            self.stalled_until.remove(version);
        }
    }

    /// Records whether the origin responds. Once it is back, stalled versions can be fetched again.
    pub fn record_origin_state(&mut self, is_down: bool) {
        if self.origin_is_down && !is_down {
            self.stalled_until.clear();
        }
        self.origin_is_down = is_down;
    }

    /// Forgets all versions that are not `missing`.
    pub fn retain(&mut self, missing: &[V]) {
        self.stalled_until.retain(|v, _| missing.contains(v));
        self.manifest_missing_since
            .retain(|v, _| missing.contains(v));
        self.stored.retain(|v, _| missing.contains(v));
    }

    /// Records that the manifest of a version was requested and not received.
    pub fn record_missing_manifest(&mut self, now: Moment, version: &V) {
        let since = *self
            .manifest_missing_since
            .entry(version.clone())
            .or_insert(now);
        if now.saturating_sub(since) > MANIFEST_TIMEOUT {
            self.manifest_missing_since.remove(version);
            self.mark_stalled(now, version);
        }
    }

    fn is_stalled(&self, now: Moment, version: &V) -> bool {
        self.stalled_until
            .get(version)
            .is_some_and(|until| now < *until)
    }

    /// The version to fetch next. `missing` is sorted from the newest to the oldest.
    pub fn next_version<'v>(&self, now: Moment, missing: &'v [V]) -> Option<&'v V> {
        let ready = missing.iter().find(|v| !self.is_stalled(now, v));
        ready.or(missing.first())
    }

    /// Whether the fetch of a version, of which `stored` of `total` chunks are stored, should yield to that
    /// of another `missing` version. The last chunk arrived `idle` ago.
    pub fn should_yield(
        &self,
        now: Moment,
        version: &V,
        missing: &[V],
        (stored, total): (usize, usize),
        idle: Moment,
    ) -> bool {
        let finish = stored as f64 >= FINISH_THRESHOLD * total as f64 && idle < MAX_IDLE_TIME;
        !finish
            && self
                .next_version(now, missing)
                .is_some_and(|next| next != version)
    }
}

/// The versions of `targets`, sorted from the newest to the oldest, that are newer than every complete one.
///
/// An older version would replace a newer one among the few that are stored.
pub fn versions_to_fetch<V>(mut targets: Vec<V>, is_complete: impl Fn(&V) -> bool) -> Vec<V> {
    let newer = targets
        .iter()
        .take_while(|version| !is_complete(version))
        .count();
    targets.truncate(newer);
    targets
}
