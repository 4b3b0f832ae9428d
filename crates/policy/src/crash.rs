//! Requests that crash each upstream that runs them.

use std::collections::{HashMap, HashSet, VecDeque};

use balsamjunction_protocol::Crash;
use smol_str::SmolStr;

use crate::rendezvous::weight;

/// Crash records that are remembered and spread; the oldest go first.
const MAX_RECORDS: usize = 256;

/// Crashes by fingerprint of the requests that ran at the time.
///
/// Everything that ran on an upstream when it crashed is suspect. A suspect that is served
/// elsewhere afterwards is cleared, so that only the cause gathers crashes.
#[derive(Debug, Default)]
pub struct CrashList {
    order: VecDeque<Crash>,
    upstreams: HashMap<u64, HashSet<SmolStr>>,
    counts: HashMap<u64, u32>,
}

impl CrashList {
    /// Notes a crash; tells whether it was news.
    pub fn add(&mut self, crash: Crash) -> bool {
        let upstreams = self.upstreams.entry(crash.fingerprint).or_default();
        if !upstreams.insert(crash.upstream.clone()) {
            return false;
        }
        *self.counts.entry(crash.fingerprint).or_default() += 1;
        self.order.push_back(crash);
        if self.order.len() > MAX_RECORDS {
            self.drop_oldest();
        }
        true
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        let Some(upstreams) = self.upstreams.get_mut(&oldest.fingerprint) else {
            return;
        };
        upstreams.remove(&oldest.upstream);
        if upstreams.is_empty() {
            self.upstreams.remove(&oldest.fingerprint);
            self.counts.remove(&oldest.fingerprint);
        }
    }

    /// Clears a suspect that an upstream has served since.
    pub fn record_success(&mut self, fingerprint: u64, crash_limit: u64) {
        if self.reaches_limit(fingerprint, crash_limit) || !self.counts.contains_key(&fingerprint) {
            return;
        }
        self.counts.insert(fingerprint, 0);
    }

    /// Whether a request has crashed so many upstreams that it must not run again.
    pub fn reaches_limit(&self, fingerprint: u64, crash_limit: u64) -> bool {
        let count = self.counts.get(&fingerprint);
        count.is_some_and(|count| u64::from(*count) >= crash_limit)
    }

    /// Equal for lists with the same records, so that peers compare before they send.
    pub fn digest(&self) -> u64 {
        let hash = |crash: &Crash| weight(&crash.fingerprint.to_le_bytes(), &crash.upstream);
        self.order.iter().map(hash).fold(0, |sum, one| sum ^ one)
    }

    /// The records, oldest first, for peers.
    pub fn records(&self) -> Vec<Crash> {
        self.order.iter().cloned().collect()
    }
}
