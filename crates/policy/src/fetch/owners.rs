//! Assigns to each chunk the hosts that fetch it first.

use std::collections::HashSet;

use balsamjunction_protocol::MemberDocument;
use smol_str::SmolStr;

use crate::rendezvous;

/// Hosts per chunk that fetch it from the origin in turn if its owner does not. A host restarts within seconds, so
/// that more than this number of them are rarely lost at the same time.
pub const MAX_SUBSTITUTES: usize = 7;

/// The owners of every chunk, by chunk number.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    /// The host that fetches the chunk from the origin.
    pub fleet: Vec<SmolStr>,
    /// The hosts that fetch the chunk from the origin in place of its owner, in the order in which they do.
    pub substitutes: Vec<Vec<SmolStr>>,
    /// The host that fetches the chunk first in the data centre of this host.
    pub local: Vec<SmolStr>,
}

impl Owners {
    /// Reassigns the chunks whose owner is not `live`, with the owners in `fresh`.
    ///
    /// All other chunks keep their owners, which may already be fetching them; a host that joins would
    /// start over.
    pub fn replace_missing(&mut self, fresh: Self, live: &HashSet<&SmolStr>) {
        if self.fleet.is_empty() {
            *self = fresh;
            return;
        }
        // The substitutes of a lost owner have begun to replace it before it left the list of members, so the first of
        // them is its successor.
        let fleet = self.fleet.iter_mut().zip(&fresh.fleet);
        for (n, (old, new)) in fleet.enumerate() {
            if !live.contains(old) {
                let mut successors = self.substitutes[n].iter();
                *old = successors.find(|s| live.contains(s)).unwrap_or(new).clone();
            }
        }
        self.substitutes = fresh.substitutes;
        for (owner, substitutes) in self.fleet.iter().zip(&mut self.substitutes) {
            substitutes.retain(|host| host != owner);
        }
        let replace = |old: &mut Vec<SmolStr>, new: Vec<SmolStr>| {
            for (old, new) in old.iter_mut().zip(new) {
                if !live.contains(old) {
                    *old = new;
                }
            }
        };
        replace(&mut self.local, fresh.local);
    }

    /// Distributes `chunks` chunks of a version evenly over the live hosts.
    ///
    /// The fleet's owner of a chunk also owns it in its own data centre, so that the chunk is sent there
    /// only once.
    pub fn assign(
        version: &str,
        chunks: usize,
        data_centre: &str,
        live: &[&MemberDocument],
    ) -> Self {
        let names: Vec<&str> = live.iter().map(|m| m.host.as_str()).collect();
        let fleet = rendezvous::balanced_owners(version, chunks, &names);
        let local_names: Vec<&str> = live
            .iter()
            .filter(|m| m.data_centre == data_centre)
            .map(|m| m.host.as_str())
            .collect();
        let scope = format!("{version}@{data_centre}");
        let owned_elsewhere: Vec<usize> = (0..fleet.len())
            .filter(|chunk| live[fleet[*chunk]].data_centre != data_centre)
            .collect();
        let local_owners = rendezvous::balanced_owners(&scope, owned_elsewhere.len(), &local_names);
        let substitutes = (0..fleet.len()).map(|chunk| {
            let key = format!("{version}/{chunk}/next");
            // One more, since the owner may be among them.
            let first = rendezvous::first(key.as_bytes(), &names, MAX_SUBSTITUTES + 1);
            let mut hosts: Vec<SmolStr> = first.into_iter().map(SmolStr::new).collect();
            hosts.retain(|host| *host != live[fleet[chunk]].host);
            hosts
        });
        let substitutes = substitutes.collect();
        let fleet: Vec<SmolStr> = fleet.iter().map(|n| live[*n].host.clone()).collect();
        let mut local = fleet.clone();
        for (chunk, owner) in owned_elsewhere.into_iter().zip(local_owners) {
            local[chunk] = SmolStr::new(local_names[owner]);
        }
        Self {
            fleet,
            substitutes,
            local,
        }
    }
}
