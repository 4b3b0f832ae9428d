//! How entries share upstreams: which subset each entry prefers, and how much it may send to a cold upstream.
//!
//! Entries decide independently. Each prefers a subset of the upstreams in its data centre, so that few
//! other entries send there and its knowledge of their load is nearly exact. It may still send to any
//! other upstream. See docs/ROUTING.md, "Subsets".

use smol_str::SmolStr;

use super::UpstreamKey;
use crate::{rendezvous, stated_limits::StatedLimit, Moment};

/// Largest tie-break offset, in milliseconds. Without it, entries with equally little information would
/// all select the same upstream.
const MAX_TIE_BREAK_MS: f64 = 5.0;
/// Entries that may hold a share of a limit beyond one for each request per second. Each holder can send one
/// request more than its share in any window, so their number is bounded; with more than one holder, an
/// upstream is still used while one of them has no callers or has stopped.
const EXTRA_LIMIT_HOLDERS: f64 = 2.5;
/// Time without a response of a limited upstream after which another entry may send it requests, and the time
/// after which the turn passes to the next one.
const CONFIRMATION_INTERVAL: Moment = Moment::from_secs(10);

/// The entries known to this entry, itself included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entries {
    /// The name of this entry.
    pub own: SmolStr,
    /// All entries that may be running, sorted; those that have been silent for long included, since they may
    /// run in another partition.
    pub all: Vec<SharingEntry>,
    /// The names of the live entries in its data centre, sorted.
    pub local: Vec<SmolStr>,
}

/// An entry that may send to the same upstreams.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SharingEntry {
    /// Its name.
    pub host: SmolStr,
    /// The data centre that it is in.
    pub data_centre: SmolStr,
}

impl Entries {
    /// Whether this entry knows no other one.
    pub fn is_alone(&self) -> bool {
        self.all.iter().all(|entry| entry.host == self.own)
    }

    /// Number of entries that share the limits of each upstream, at least one.
    pub fn count(&self) -> usize {
        self.all.len().max(1)
    }

    /// The subset of the upstreams in its data centre that this entry prefers. The subsets of different
    /// entries are disjoint.
    pub fn subset(&self, mut nearby: Vec<(SmolStr, UpstreamKey)>) -> Vec<UpstreamKey> {
        nearby.sort();
        let ids: Vec<&str> = nearby.iter().map(|(id, _)| id.as_str()).collect();
        let local: Vec<&str> = self.local.iter().map(SmolStr::as_str).collect();
        let owners = rendezvous::balanced_owners_of(&ids, &local);
        let owned = nearby.into_iter().zip(owners);
        owned
            .filter(|(_, owner)| local[*owner] == self.own)
            .map(|((_, key), _)| key)
            .collect()
    }

    /// Offset in milliseconds that this entry adds to the cost of an upstream, to break ties between
    /// upstreams of equal cost differently at each entry.
    pub fn tie_break_ms(&self, upstream: &str) -> f64 {
        let weight = rendezvous::weight(self.own.as_bytes(), upstream);
        MAX_TIE_BREAK_MS * weight as f64 / u64::MAX as f64
    }

    /// Requests per second that this entry may send to an upstream in `data_centre` whose stated limit for all
    /// entries together is `limit`.
    ///
    /// An even part of a low limit would be less than one request in a window, and all entries could send
    /// theirs in the same one. Hence only the entries that rank first for the upstream hold a share; those in
    /// its data centre rank before all others, since they prefer it and may send it all their requests.
    ///
    /// If the upstream has not confirmed the limit for a while, the holders have no requests for it, and the
    /// others would never learn that the limit has ended. Then the others, in turn, hold a share as well.
    pub fn limit_share(
        &self,
        upstream: &str,
        data_centre: &str,
        limit: StatedLimit,
        now: Moment,
    ) -> f64 {
        let rank = |entry: &SharingEntry| {
            let weight = rendezvous::weight(upstream.as_bytes(), &entry.host);
            (entry.data_centre == data_centre, weight)
        };
        let own = self.all.iter().find(|entry| entry.host == self.own);
        let Some(own) = own.map(rank) else {
            return 0.0;
        };
        let higher_ranked = self.all.iter().filter(|entry| rank(entry) > own).count();
        let entries = self.all.len();
        let holders = ((limit.per_s + EXTRA_LIMIT_HOLDERS) as usize).min(entries);
        let unconfirmed_for = now.saturating_sub(limit.confirmed_at).as_secs_f64();
        let turn = (unconfirmed_for / CONFIRMATION_INTERVAL.as_secs_f64()) as usize;
        let is_its_turn =
            || turn > 0 && higher_ranked - holders == (turn - 1) % (entries - holders);
        match higher_ranked < holders || is_its_turn() {
            true => limit.per_s / holders as f64,
            false => 0.0,
        }
    }

    /// Requests per second that this entry may send to an upstream which can handle `per_s` from all
    /// entries together, if it does not know all entries and assumes that there are `assumed` of them, or as many
    /// as it knows if those are more.
    ///
    /// Those that rank first among the assumed ones send one request each. The rank is that of [`Self::rate_share`], so
    /// that entries which know all others and entries which do not send no more together than the first ones alone.
    pub fn assumed_rate_share(&self, upstream: &str, per_s: f64, assumed: usize) -> f64 {
        if assumed <= self.count() {
            return self.rate_share(upstream, per_s);
        }
        let even = per_s / assumed as f64;
        let weight = rendezvous::weight(upstream.as_bytes(), &self.own);
        let higher_ranked = 1.0 - weight as f64 / u64::MAX as f64;
        match even >= 1.0 {
            true => even,
            false if higher_ranked < even => 1.0,
            false => 0.0,
        }
    }

    /// Requests per second that this entry may send to an upstream which can handle `per_s` from all
    /// entries together.
    ///
    /// If there are more entries than `per_s`, those that rank first for the upstream send one each and
    /// the others send none.
    pub fn rate_share(&self, upstream: &str, per_s: f64) -> f64 {
        let even = per_s / self.count() as f64;
        if even >= 1.0 {
            return even;
        }
        let rank = |entry| (rendezvous::weight(upstream.as_bytes(), entry), entry);
        let own = rank(self.own.as_str());
        let all = self.all.iter().map(|entry| entry.host.as_str());
        let higher_ranked = all.filter(|entry| rank(entry) > own).count();
        match (higher_ranked as f64) + 1.0 <= per_s.max(1.0) {
            true => 1.0,
            false => 0.0,
        }
    }
}
