//! Detection of requests that crash every upstream that runs them.

use std::collections::{HashMap, HashSet, VecDeque};

use balsamjunction_protocol::Crash;
use smol_str::SmolStr;

use crate::rendezvous::weight;

/// Maximum number of crash records that are stored and sent to peers; the oldest are dropped first.
const MAX_RECORDS: usize = 256;

/// Crashes by fingerprint of the requests that were running at the time.
///
/// Every request that was running on an upstream when it crashed is a suspect. A suspect that another
/// upstream serves afterwards is cleared, so that only the request that causes the crashes reaches the
/// limit.
#[derive(Debug, Default)]
pub struct CrashList {
    oldest_first: VecDeque<Crash>,
    upstreams: HashMap<u64, HashSet<SmolStr>>,
    crash_counts: HashMap<u64, u32>,
}

impl CrashList {
    /// Records a crash; returns whether it was not known before.
    pub fn add(&mut self, crash: Crash) -> bool {
        let upstreams = self.upstreams.entry(crash.fingerprint).or_default();
        if !upstreams.insert(crash.upstream.clone()) {
            return false;
        }
        *self.crash_counts.entry(crash.fingerprint).or_default() += 1;
        self.oldest_first.push_back(crash);
        if self.oldest_first.len() > MAX_RECORDS {
            self.drop_oldest();
        }
        true
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.oldest_first.pop_front() else {
            return;
        };
        let Some(upstreams) = self.upstreams.get_mut(&oldest.fingerprint) else {
            return;
        };
        upstreams.remove(&oldest.upstream);
        if upstreams.is_empty() {
            self.upstreams.remove(&oldest.fingerprint);
            self.crash_counts.remove(&oldest.fingerprint);
        }
    }

    /// Clears a suspect that an upstream has served, unless it has already reached the limit.
    pub fn record_success(&mut self, fingerprint: u64, crash_limit: u64) {
        if self.reaches_limit(fingerprint, crash_limit)
            || !self.crash_counts.contains_key(&fingerprint)
        {
            return;
        }
        self.crash_counts.insert(fingerprint, 0);
    }

    /// Returns whether a request has crashed so many upstreams that it must not run again.
    pub fn reaches_limit(&self, fingerprint: u64, crash_limit: u64) -> bool {
        let count = self.crash_counts.get(&fingerprint);
        count.is_some_and(|count| u64::from(*count) >= crash_limit)
    }

    /// Returns a digest that is equal for lists with the same records, so that peers can compare lists
    /// before they send them.
    pub fn digest(&self) -> u64 {
        let hash = |crash: &Crash| weight(&crash.fingerprint.to_le_bytes(), &crash.upstream);
        self.oldest_first
            .iter()
            .map(hash)
            .fold(0, |sum, one| sum ^ one)
    }

    /// Returns the records for peers, oldest first.
    pub fn records(&self) -> Vec<Crash> {
        self.oldest_first.iter().cloned().collect()
    }
}
