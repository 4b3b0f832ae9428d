//! Current and recent owners of idempotency keys.

use std::collections::VecDeque;

use balsamjunction_settings::{Fleet, Pool};
use smol_str::SmolStr;

use crate::{rendezvous, Moment};

/// Maximum number of earlier sets of hosts that are stored.
const MAX_EARLIER: usize = 8;

/// Hosts that may have state of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOwners {
    /// Host that runs requests with the key now.
    pub current: SmolStr,
    /// Hosts that owned the key within the repeat window, newest first, without `current`.
    pub earlier: Vec<SmolStr>,
}

/// Hosts that own a pool's keys under the current and the last declarations.
#[derive(Debug, Default)]
pub struct OwnerHistory {
    current: Vec<SmolStr>,
    earlier: VecDeque<(Moment, Vec<SmolStr>)>,
}

/// Returns the hosts among which a pool's keys are distributed: those of the declared upstreams in
/// service.
///
/// This depends on the declaration, not on the membership list, since processes with different
/// membership lists would select different owners.
pub fn key_hosts(fleet: &Fleet, name: &SmolStr, pool: &Pool) -> Vec<SmolStr> {
    let upstreams = pool.upstreams.iter();
    let in_service = upstreams.filter(|upstream| fleet.in_service(name, upstream));
    in_service.map(|upstream| upstream.host.clone()).collect()
}

/// Selects the owner of `key` among `hosts`; `None` if `hosts` is empty.
pub fn select_owner(key: &str, hosts: &[SmolStr]) -> Option<SmolStr> {
    rendezvous::owner(key.as_bytes(), hosts.iter().map(SmolStr::as_str)).map(SmolStr::new)
}

impl OwnerHistory {
    /// Applies the hosts of a newer declaration.
    pub fn update(&mut self, now: Moment, hosts: Vec<SmolStr>) {
        if hosts == self.current {
            return;
        }
        let previous = std::mem::replace(&mut self.current, hosts);
        if previous.is_empty() {
            return;
        }
        self.earlier.push_front((now, previous));
        self.earlier.truncate(MAX_EARLIER);
    }

    /// Returns the owners of a key, or `None` if no host is in service.
    pub fn owners(&self, now: Moment, key: &str, repeat_window: Moment) -> Option<KeyOwners> {
        let current = select_owner(key, &self.current)?;
        let mut earlier = Vec::new();
        for (replaced_at, hosts) in &self.earlier {
            if now.saturating_sub(*replaced_at) > repeat_window {
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
