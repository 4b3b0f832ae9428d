//! From whom a gateway pulls a document.

use std::{cmp::Reverse, net::SocketAddr};

use smol_str::SmolStr;

use crate::rendezvous;

/// Number of gateways of a region that pull a document from the same gateway while none fails.
pub const FANOUT: usize = 3;
/// Maximum number of sources of a gateway.
pub const MAX_SOURCES: usize = 8;
/// Maximum number of sources that precede a gateway in its region's tree, so that sources in other regions remain where
/// the whole tree above it fails.
const MAX_PRECEDING: usize = 5;
/// Number of sources reserved for gateways that follow a gateway in its region's tree; these may have the document while
/// all links to other regions are down.
const RESERVED_FOLLOWING: usize = 1;

/// A gateway that may have a document or need it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayMember {
    /// The name of its host, which is unique.
    pub host: SmolStr,
    /// Its region.
    pub region: SmolStr,
    /// Where it serves parts.
    pub address: SocketAddr,
    /// Whether it is an elected reader of the store, and therefore among the first to have a document.
    pub reads_store: bool,
}

/// Returns the sources of the gateway `own` for the document `key`, in the order in which they are tried.
///
/// The gateways of a region form a tree of [`FANOUT`] by rendezvous rank. Its roots are the readers in the region; where
/// there are none, the gateway that ranks first is the root, and pulls from a reader elsewhere. After a gateway's parent
/// come its other ancestors and the other gateways that precede it, then readers and other gateways of other regions.
/// Gateways that follow it in the tree come last, since two that take each other for the source would both wait.
pub fn sources(key: &[u8], own: &str, members: &[RelayMember]) -> Vec<SocketAddr> {
    let Some(own) = members.iter().find(|m| m.host == own) else {
        return addresses(None, ranked(key, members.iter()).into_iter());
    };
    let (local, remote): (Vec<_>, Vec<_>) = members.iter().partition(|m| m.region == own.region);
    let local = ranked(key, local.into_iter());
    let rank = local.iter().position(|m| m.host == own.host).unwrap_or(0);
    let (preceding, following) = match own.reads_store {
        // Readers wait for no one in particular: each is a root.
        true => local.split_at(local.partition_point(|m| m.reads_store)),
        false => local.split_at(rank),
    };
    let roots = local.iter().filter(|m| m.reads_store).count().max(1);
    let mut ancestors = Vec::new();
    let mut position = rank;
    while position >= roots {
        position = (position - roots) / FANOUT;
        ancestors.push(local[position]);
    }
    let tree_sources = addresses(Some(own), ancestors.iter().chain(preceding).copied());
    let tree_sources = &tree_sources[..tree_sources.len().min(MAX_PRECEDING)];
    let remote_sources = addresses(Some(own), remote_order(key, own, &remote, members));
    let available = MAX_SOURCES - RESERVED_FOLLOWING - tree_sources.len();
    let remote_sources = remote_sources.into_iter().take(available);
    let mut result: Vec<SocketAddr> = tree_sources.to_vec();
    result.extend(remote_sources);
    for address in addresses(Some(own), following.iter().copied()) {
        if !result.contains(&address) && result.len() < MAX_SOURCES {
            result.push(address);
        }
    }
    result
}

/// Returns `members` by rank for `key`, readers first.
fn ranked<'m>(key: &[u8], members: impl Iterator<Item = &'m RelayMember>) -> Vec<&'m RelayMember> {
    let mut ranked: Vec<_> = members.collect();
    ranked.sort_by_cached_key(|m| {
        let weight = rendezvous::weight(key, &m.host);
        (!m.reads_store, Reverse((weight, m.host.clone())))
    });
    ranked
}

/// Returns the gateways of other regions in the order in which `own` tries them.
///
/// It begins with the reader that serves the region: regions without a reader are spread evenly over the readers. The
/// others are ranked for the region, so that regions spread over them as well.
fn remote_order<'m>(
    key: &[u8],
    own: &RelayMember,
    remote: &[&'m RelayMember],
    members: &[RelayMember],
) -> impl Iterator<Item = &'m RelayMember> {
    let reader = reader_of_region(key, &own.region, members);
    let mut regional_key = key.to_vec();
    regional_key.extend_from_slice(own.region.as_bytes());
    let mut order = ranked(&regional_key, remote.iter().copied());
    if let Some(position) = order.iter().position(|m| reader == Some(&m.host)) {
        order[..=position].rotate_right(1);
    }
    order.into_iter()
}

/// Returns the reader from which the root of `region` pulls; none if the region has readers, or there are none.
fn reader_of_region<'m>(
    key: &[u8],
    region: &SmolStr,
    members: &'m [RelayMember],
) -> Option<&'m SmolStr> {
    let mut readers: Vec<&SmolStr> = Vec::new();
    let mut regions: Vec<&SmolStr> = members.iter().map(|m| &m.region).collect();
    for member in members.iter().filter(|m| m.reads_store) {
        readers.push(&member.host);
        regions.retain(|r| **r != member.region);
    }
    regions.sort_unstable();
    regions.dedup();
    let position = regions.iter().position(|r| *r == region)?;
    let keys: Vec<Vec<u8>> = regions
        .iter()
        .map(|region| [key, region.as_bytes()].concat())
        .collect();
    readers.sort_unstable();
    let readers: Vec<&str> = readers.iter().map(|host| host.as_str()).collect();
    let owner = *rendezvous::balanced_owners_of(&keys, &readers).get(position)?;
    let host = readers[owner];
    members.iter().map(|m| &m.host).find(|h| *h == host)
}

/// Returns the addresses of `members` without `own` and without duplicates.
fn addresses<'m>(
    own: Option<&RelayMember>,
    members: impl Iterator<Item = &'m RelayMember>,
) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for member in members {
        let is_own = own.is_some_and(|o| o.host == member.host || o.address == member.address);
        if !is_own && !addresses.contains(&member.address) {
            addresses.push(member.address);
        }
    }
    addresses
}
