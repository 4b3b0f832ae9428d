//! Which host fetches a chunk first.

use std::collections::HashSet;

use balsamjunction_protocol::MemberDocument;
use smol_str::SmolStr;

use crate::rendezvous;

/// Owners of every chunk, by the chunk's number.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    /// Who draws the chunk from the origin.
    pub fleet: Vec<SmolStr>,
    /// Who fetches the chunk first for the own data centre.
    pub local: Vec<SmolStr>,
}

impl Owners {
    /// Takes over the owners of `fresh` for chunks whose owner is not among the `live`.
    ///
    /// Other chunks stay with their owners, who may be at work on them: a host that joins would begin
    /// anew.
    pub fn replace_gone(&mut self, fresh: Self, live: &HashSet<&SmolStr>) {
        if self.fleet.is_empty() {
            *self = fresh;
            return;
        }
        let keep = |old: &mut Vec<SmolStr>, new: Vec<SmolStr>| {
            for (old, new) in old.iter_mut().zip(new) {
                if !live.contains(old) {
                    *old = new;
                }
            }
        };
        keep(&mut self.fleet, fresh.fleet);
        keep(&mut self.local, fresh.local);
    }

    /// Shares `chunks` chunks of a version evenly over the live hosts.
    ///
    /// The fleet's owner also owns the chunk in its own data centre, so it is sent there once.
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
        let rest: Vec<usize> = (0..fleet.len())
            .filter(|chunk| live[fleet[*chunk]].data_centre != data_centre)
            .collect();
        let spread = rendezvous::balanced_owners(&scope, rest.len(), &local_names);
        let fleet: Vec<SmolStr> = fleet.iter().map(|n| live[*n].host.clone()).collect();
        let mut local = fleet.clone();
        for (chunk, owner) in rest.into_iter().zip(spread) {
            local[chunk] = SmolStr::new(local_names[owner]);
        }
        Self { fleet, local }
    }
}
