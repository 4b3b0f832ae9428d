//! Which upstream owns an idempotency key, now and until lately.

use std::collections::VecDeque;

use balsamjunction_settings::{Fleet, Pool};
use smol_str::SmolStr;

use crate::{rendezvous, Moment};

/// Declarations whose owners are remembered.
const MAX_EARLIER: usize = 8;

/// Everyone who may hold something about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOwners {
    /// Runs the key now.
    pub current: SmolStr,
    /// Owned the key within the repeat window, newest first, without `current`.
    pub earlier: Vec<SmolStr>,
}

/// The hosts that share a pool's keys, over the last declarations.
#[derive(Debug, Default)]
pub struct OwnerHistory {
    current: Vec<SmolStr>,
    earlier: VecDeque<(Moment, Vec<SmolStr>)>,
}

/// The hosts among which a pool's keys are shared: the declared ones in service.
///
/// The declaration decides, not the membership list, since two processes that see different
/// members would pick different owners.
pub fn key_hosts(fleet: &Fleet, name: &SmolStr, pool: &Pool) -> Vec<SmolStr> {
    let upstreams = pool.upstreams.iter();
    let in_service = upstreams.filter(|upstream| fleet.in_service(name, upstream));
    in_service.map(|upstream| upstream.host.clone()).collect()
}

/// The owner of `key` among `hosts`.
pub fn select_owner(key: &str, hosts: &[SmolStr]) -> Option<SmolStr> {
    rendezvous::owner(key.as_bytes(), hosts.iter().map(SmolStr::as_str)).map(SmolStr::new)
}

impl OwnerHistory {
    /// Takes over the hosts of a newer declaration.
    pub fn update(&mut self, now: Moment, hosts: Vec<SmolStr>) {
        if hosts == self.current {
            return;
        }
        let old = std::mem::replace(&mut self.current, hosts);
        if old.is_empty() {
            return;
        }
        self.earlier.push_front((now, old));
        self.earlier.truncate(MAX_EARLIER);
    }

    /// The owners of a key; none if no host is in service.
    pub fn owners(&self, now: Moment, key: &str, repeat_window: Moment) -> Option<KeyOwners> {
        let current = select_owner(key, &self.current)?;
        let mut earlier = Vec::new();
        for (until, hosts) in &self.earlier {
            if now.saturating_sub(*until) > repeat_window {
                break;
            }
            let Some(owner) = select_owner(key, hosts) else {
                continue;
            };
            if owner != current && !earlier.contains(&owner) {
                earlier.push(owner);
            }
        }
        Some(KeyOwners { current, earlier })
    }
}
