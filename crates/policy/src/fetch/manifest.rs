//! Whom to ask for a manifest.

use balsamjunction_protocol::MemberDocument;

use super::Source;
use crate::rendezvous;

/// Questions to peers after which a host asks the origin itself.
const PATIENT_QUESTIONS: u32 = 40;

/// Whom to ask for a version's manifest, for the `asked`th time.
///
/// One host of the fleet asks the origin and one of each data centre asks that host; the others ask
/// a peer nearby at random, so that the manifest doubles its holders with each round.
pub fn manifest_source(
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
    let nearest = rendezvous::owner(version.as_bytes(), near.iter().map(|m| m.host.as_str()));
    if first == Some(host) || asked > PATIENT_QUESTIONS {
        return Source::Origin;
    }
    let target = if nearest == Some(host) {
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
