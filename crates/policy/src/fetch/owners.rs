//! Assigns to each chunk the hosts that fetch it first.

use std::collections::HashSet;

use balsamjunction_protocol::MemberDocument;
use smol_str::SmolStr;

use crate::rendezvous;

/// The owners of every chunk, by chunk number.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    /// The host that fetches the chunk from the origin.
    pub fleet: Vec<SmolStr>,
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
        let replace = |old: &mut Vec<SmolStr>, new: Vec<SmolStr>| {
            for (old, new) in old.iter_mut().zip(new) {
                if !live.contains(old) {
                    *old = new;
                }
            }
        };
        replace(&mut self.fleet, fresh.fleet);
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
        let fleet: Vec<SmolStr> = fleet.iter().map(|n| live[*n].host.clone()).collect();
        let mut local = fleet.clone();
        for (chunk, owner) in owned_elsewhere.into_iter().zip(local_owners) {
            local[chunk] = SmolStr::new(local_names[owner]);
        }
        Self { fleet, local }
    }
}
