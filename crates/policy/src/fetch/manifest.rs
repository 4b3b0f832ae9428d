//! Selects the source of a manifest.

use balsamjunction_protocol::MemberDocument;

use super::Source;
use crate::rendezvous;

/// Attempts at peers after which the first-ranked host of a data centre requests the manifest from the
/// origin. The host that fetches it for the fleet may not know the version yet.
const FIRST_RANK_ATTEMPTS: u32 = 3;
/// Additional attempts of each further host of the data centre, compared with the host ranked before it.
const ATTEMPTS_PER_RANK: u32 = 10;
/// Attempts after which any host requests the manifest from the origin.
const MAX_ATTEMPTS: u32 = 40;

/// Selects the source of a version's manifest, after `attempts` failed ones; `draw` is a random number.
///
/// One host of the fleet requests the manifest from the origin, and one of each data centre requests it from
/// that host. The others ask a random peer in their data centre, so that the number of hosts with the
/// manifest doubles in each round. If the manifest does not arrive, the hosts of a data centre fall back
/// to the origin one after the other: a manifest is small, and no chunk can be fetched before it.
pub fn choose_manifest_source(
    version: &str,
    host: &str,
    data_centre: &str,
    members: &[MemberDocument],
    attempts: u32,
    draw: u64,
) -> Source {
    let names = members.iter().map(|m| m.host.as_str());
    let first = rendezvous::owner(version.as_bytes(), names);
    let local: Vec<&MemberDocument> = members
        .iter()
        .filter(|m| m.data_centre == data_centre)
        .collect();
    let order = rendezvous::rank(version.as_bytes(), local.iter().map(|m| m.host.as_str()));
    let rank = order.iter().position(|name| *name == host).unwrap_or(0);
    let max_attempts = FIRST_RANK_ATTEMPTS + ATTEMPTS_PER_RANK * rank as u32;
    if first == Some(host) || attempts > max_attempts.min(MAX_ATTEMPTS) {
        return Source::Origin;
    }
    let target = if rank == 0 {
        members.iter().find(|m| Some(m.host.as_str()) == first)
    } else {
        let others: Vec<_> = local.into_iter().filter(|m| m.host != host).collect();
        others
            .get((draw % others.len().max(1) as u64) as usize)
            .copied()
    };
    let peer = target.and_then(|m| {
        let address = m.address.parse().ok()?;
        let host = m.host.clone();
        Some(Source::Peer { host, address })
    });
    peer.unwrap_or(Source::Origin)
}
