//! Whom to ask for a manifest.

use balsamjunction_protocol::MemberDocument;

use super::Source;
use crate::rendezvous;

/// Questions to peers after which the first host of a data centre asks the origin itself. The host
/// that is to ask for the fleet may not have heard of the version yet.
const FIRST_PATIENT_QUESTIONS: u32 = 3;
/// Questions for which each further host of the data centre waits longer than the one before it.
const QUESTIONS_PER_RANK: u32 = 10;
/// Questions after which any host asks the origin.
const MOST_PATIENT_QUESTIONS: u32 = 40;

/// Whom to ask for a version's manifest, for the `asked`th time.
///
/// One host of the fleet asks the origin and one of each data centre asks that host; the others ask
/// a peer nearby at random, so that the manifest doubles its holders with each round. Where it does
/// not come, the hosts of a data centre ask the origin one after the other: a manifest is short, and
/// nothing can be fetched before it is there.
pub fn choose_manifest_source(
    version: &str,
    host: &str,
    data_centre: &str,
    members: &[MemberDocument],
    asked: u32,
    luck: u64,
) -> Source {
    let names = members.iter().map(|m| m.host.as_str());
    let first = rendezvous::owner(version.as_bytes(), names);
    let near: Vec<&MemberDocument> = members
        .iter()
        .filter(|m| m.data_centre == data_centre)
        .collect();
    let order = rendezvous::rank(version.as_bytes(), near.iter().map(|m| m.host.as_str()));
    let rank = order.iter().position(|name| *name == host).unwrap_or(0);
    let patience = FIRST_PATIENT_QUESTIONS + QUESTIONS_PER_RANK * rank as u32;
    if first == Some(host) || asked > patience.min(MOST_PATIENT_QUESTIONS) {
        return Source::Origin;
    }
    let target = if rank == 0 {
        members.iter().find(|m| Some(m.host.as_str()) == first)
    } else {
        let others: Vec<_> = near.into_iter().filter(|m| m.host != host).collect();
        others
            .get((luck % others.len().max(1) as u64) as usize)
            .copied()
    };
    let peer = target.and_then(|m| {
        let address = m.address.parse().ok()?;
        let host = m.host.clone();
        Some(Source::Peer { host, address })
    });
    peer.unwrap_or(Source::Origin)
}
