//! How entries share upstreams: whose an upstream is, and what each may send to a cold one.
//!
//! Entries decide alone. Each prefers a part of the upstreams nearby, so that few others send there and
//! what it knows of their load is nearly exact; the part is no limit. See docs/ROUTING.md, "Parts".

use smol_str::SmolStr;

use super::UpstreamKey;
use crate::rendezvous;

/// Most by which an entry prefers one of two upstreams that look the same, in milliseconds. Entries
/// that know as little as each other would otherwise all choose the same one.
const TASTE_MS: f64 = 5.0;

/// The entries that an entry knows, itself included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entries {
    /// This entry.
    pub own: SmolStr,
    /// All that may be at work, in order.
    pub all: Vec<SmolStr>,
    /// Those in its data centre that are live, in order.
    pub local: Vec<SmolStr>,
}

impl Entries {
    /// How many share each bound.
    pub fn count(&self) -> usize {
        self.all.len().max(1)
    }

    /// The part of upstreams nearby that this entry prefers, none of which has another owner.
    pub fn part(&self, mut nearby: Vec<(SmolStr, UpstreamKey)>) -> Vec<UpstreamKey> {
        nearby.sort();
        let names: Vec<&str> = nearby.iter().map(|(id, _)| id.as_str()).collect();
        let near: Vec<&str> = self.local.iter().map(SmolStr::as_str).collect();
        let owners = rendezvous::balanced_owners_of(&names, &near);
        let owned = nearby.into_iter().zip(owners);
        owned
            .filter(|(_, owner)| near[*owner] == self.own)
            .map(|((_, key), _)| key)
            .collect()
    }

    /// By how much this entry likes an upstream less than another that looks the same, in milliseconds.
    pub fn taste_ms(&self, upstream: &str) -> f64 {
        let weight = rendezvous::weight(self.own.as_bytes(), upstream);
        TASTE_MS * weight as f64 / u64::MAX as f64
    }

    /// Requests that this entry may send in a second to an upstream which bears `per_s` from all
    /// entries together.
    ///
    /// Where there are more entries than that, those that rank first for the upstream send one each.
    pub fn share(&self, upstream: &str, per_s: f64) -> f64 {
        let even = per_s / self.count() as f64;
        if even >= 1.0 {
            return even;
        }
        let rank = |entry| (rendezvous::weight(upstream.as_bytes(), entry), entry);
        let own = rank(self.own.as_str());
        let all = self.all.iter().map(SmolStr::as_str);
        let before = all.filter(|entry| rank(entry) > own).count();
        match (before as f64) + 1.0 <= per_s.max(1.0) {
            true => 1.0,
            false => 0.0,
        }
    }
}
