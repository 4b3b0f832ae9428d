//! From whom gateways pull a document.

use std::collections::{BTreeMap, HashMap, HashSet};

use balsamjunction_policy::relay::{sources, RelayMember, FANOUT, MAX_SOURCES};
use proptest::prelude::*;

/// Returns `gateways` gateways in `regions` regions; those in `readers` read the store.
pub fn members(gateways: usize, regions: usize, readers: &[usize]) -> Vec<RelayMember> {
    let member = |n: usize| RelayMember {
        host: format!("edge-{n}").into(),
        region: format!("region-{}", n % regions).into(),
        address: format!("10.0.{}.{}:7000", n / 250, n % 250 + 1)
            .parse()
            .expect("an address"),
        reads_store: readers.contains(&n),
    };
    (0..gateways).map(member).collect()
}

/// Returns how many gateways have each gateway as their first source, apart for those of its own region and of others.
fn first_sources(key: &[u8], members: &[RelayMember]) -> BTreeMap<usize, (usize, usize)> {
    let by_address: HashMap<_, _> = members.iter().map(|m| m.address).zip(0..).collect();
    let mut pulled: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
    for member in members.iter().filter(|m| !m.reads_store) {
        let source = by_address[&sources(key, &member.host, members)[0]];
        let counts = pulled.entry(source).or_default();
        match members[source].region == member.region {
            true => counts.0 += 1,
            false => counts.1 += 1,
        }
    }
    pulled
}

#[test]
fn each_region_without_a_reader_pulls_one_copy_from_another_region() {
    for gateways in [14, 24, 100, 300] {
        let members = members(gateways, 3, &[0, 3]);

        let pulled = first_sources(b"digest", &members);

        let remote: usize = pulled.values().map(|(_, remote)| remote).sum();
        assert_eq!(remote, 2, "{gateways} gateways");
        assert!(pulled.values().all(|(_, remote)| *remote <= 1));
        assert!(pulled.values().all(|(local, _)| *local <= FANOUT));
    }
}

#[test]
fn the_first_sources_lead_from_every_gateway_to_a_reader() {
    let members = members(300, 3, &[0, 1]);
    let by_address: HashMap<_, _> = members.iter().map(|m| (m.address, m)).collect();

    for member in &members {
        let mut at = member;
        let mut steps = 0;
        while !at.reads_store {
            at = by_address[&sources(b"digest", &at.host, &members)[0]];
            steps += 1;
            assert!(steps <= 7, "{} has no path to a reader", member.host);
        }
    }
}

// Guards against two gateways that wait for each other when the root of their region does not respond.
#[test]
fn gateways_try_those_that_follow_them_only_after_other_regions() {
    let members = members(24, 3, &[0, 3]);
    let region: HashMap<_, _> = members
        .iter()
        .map(|m| (m.address, m.region.clone()))
        .collect();
    let local: Vec<_> = members.iter().filter(|m| m.region == "region-1").collect();
    let mut waits_for: HashSet<_> = HashSet::new();

    for member in &local {
        let sources = sources(b"digest", &member.host, &members);
        let before_others = sources.iter().take_while(|s| region[*s] == member.region);
        waits_for.extend(before_others.map(|source| (member.address, *source)));
    }

    assert!(!waits_for.is_empty());
    assert!(waits_for
        .iter()
        .all(|(a, b)| !waits_for.contains(&(*b, *a))));
}

#[test]
fn a_process_that_is_no_member_yet_begins_with_the_readers() {
    let members = members(6, 3, &[4]);

    let sources = sources(b"digest", "edge-9", &members);

    assert_eq!(sources[0], members[4].address);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(52), ..ProptestConfig::default() })]

    #[test]
    fn sources_are_bounded_distinct_and_never_own(
        key in any::<[u8; 32]>(),
        gateways in 1..80usize,
        regions in 1..7usize,
        readers in proptest::collection::vec(0..80usize, 0..4),
        own in 0..80usize,
    ) {
        let members = members(gateways, regions, &readers);
        let own = own % gateways;

        let list = sources(&key, &members[own].host, &members);

        prop_assert!(list.len() <= MAX_SOURCES);
        prop_assert!(list.len() >= (gateways - 1).min(3));
        prop_assert!(!list.contains(&members[own].address));
        let distinct: HashSet<_> = list.iter().collect();
        prop_assert_eq!(distinct.len(), list.len());
    }

    // Guards against lists that are filled by a region whose gateways all wait for one that failed.
    #[test]
    fn a_reader_is_among_the_sources_of_every_gateway(
        key in any::<[u8; 32]>(),
        gateways in 2..80usize,
        regions in 1..7usize,
        reader in 0..80usize,
        own in 0..80usize,
    ) {
        let (reader, own) = (reader % gateways, own % gateways);
        prop_assume!(reader != own);
        let members = members(gateways, regions, &[reader]);

        let list = sources(&key, &members[own].host, &members);

        prop_assert!(list.contains(&members[reader].address));
    }
}
