//! Declarations, reader election, dissemination, crash records, order of upgrades and fencing tokens.

use std::collections::BTreeSet;

use balsamjunction_policy::{
    crash::CrashList,
    declaration::{DeclarationState, OfferOutcome},
    dissemination::{notification_targets, pull_target},
    election::{elect_readers, is_reader, READERS_PER_DATA_CENTRE},
    fence::FencingToken,
    pace::Pacer,
    pause::PauseDetector,
    rendezvous::{balanced_owners, owner},
    upgrade::switch_predecessor,
    Moment,
};
use balsamjunction_protocol::{Crash, FleetDocument, MemberDocument, MemberState, MembersDocument};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::{format_smolstr, SmolStr};

fn document(revision: u64, text: &str) -> FleetDocument {
    FleetDocument {
        revision,
        author: "operator".into(),
        text: text.to_owned(),
    }
}

const VALID: &str = r#"{"data_centres": {}, "pools": {}}"#;

fn members(count: usize, data_centres: usize) -> Vec<MemberDocument> {
    (0..count)
        .map(|n| MemberDocument {
            host: format_smolstr!("h{n}"),
            data_centre: format_smolstr!("dc{}", n % data_centres),
            address: format_smolstr!("10.0.0.1:{}", 1_000 + n),
            state: MemberState::Live,
        })
        .collect()
}

#[test]
fn a_lower_revision_never_replaces_a_higher_one() {
    let mut declarations = DeclarationState::default();
    declarations.offer_declaration(document(5, VALID));

    let offer = declarations.offer_declaration(document(4, VALID));

    assert!(matches!(offer, OfferOutcome::Stale { current: 5 }));
    assert_eq!(declarations.revision(), 5);
}

#[test]
fn an_invalid_declaration_is_rejected_and_the_last_one_stays_in_force() {
    let mut declarations = DeclarationState::default();
    declarations.offer_declaration(document(1, VALID));

    let offer = declarations.offer_declaration(document(2, r#"{"pools": {}}"#));
    let again = declarations.offer_declaration(document(2, r#"{"pools": {}}"#));
    let next = declarations.offer_declaration(document(3, VALID));

    assert!(matches!(offer, OfferOutcome::Invalid(_)));
    assert!(matches!(again, OfferOutcome::AlreadyRejected));
    assert!(matches!(next, OfferOutcome::Accepted { from: 1 }));
}

#[test]
fn of_two_texts_with_one_revision_the_first_stays_in_force() {
    let mut declarations = DeclarationState::default();
    declarations.offer_declaration(document(1, VALID));

    let offer = declarations.offer_declaration(document(
        1,
        r#"{"data_centres": {}, "pools": {}, "workspaces": ["a"]}"#,
    ));

    assert!(matches!(offer, OfferOutcome::Conflict));
    let in_force = declarations.in_force().expect("revision 1 is in force");
    assert_eq!(in_force.document.text, VALID);
}

#[test]
fn an_older_membership_list_is_ignored() {
    let mut declarations = DeclarationState::default();
    let list = |generation| MembersDocument {
        generation,
        members: members(2, 1),
    };

    assert!(declarations.offer_members(list(3)));
    assert!(!declarations.offer_members(list(2)));
    assert_eq!(declarations.members().generation, 3);
}

#[test]
fn each_data_centre_elects_its_own_readers() {
    let members = members(60, 3);

    for n in 0..3 {
        let data_centre = format!("dc{n}");
        let readers = elect_readers(&members, &data_centre);
        let inside = |host: &SmolStr| {
            members
                .iter()
                .any(|m| m.host == *host && m.data_centre == data_centre)
        };
        assert_eq!(readers.len(), READERS_PER_DATA_CENTRE);
        assert!(readers.iter().all(inside));
    }
}

#[test]
fn a_dead_reader_is_replaced_and_the_others_stay() {
    let mut members = members(30, 1);
    let before = elect_readers(&members, "dc0");

    members.retain(|m| m.host != before[0]);
    let after = elect_readers(&members, "dc0");

    assert!(after.contains(&before[1]));
    assert!(!after.contains(&before[0]));
    assert_eq!(after.len(), READERS_PER_DATA_CENTRE);
}

#[test]
fn without_a_membership_list_every_process_reads() {
    assert!(is_reader(&[], "dc0", "h0"));
}

#[test]
fn updates_reach_thousands_of_processes_by_notifications_and_a_few_pulls() {
    let members = members(3_770, 22);
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut updated: BTreeSet<usize> = BTreeSet::from([0]);
    let mut pending = vec![0];
    let index = |m: &MemberDocument| m.host[1..].parse::<usize>().expect("hosts are numbered");

    let mut notifications = 0;
    while let Some(n) = pending.pop() {
        let process = &members[n];
        for target in notification_targets(&members, &process.host, &process.data_centre, &mut rng)
        {
            notifications += 1;
            if updated.insert(index(target)) {
                pending.push(index(target));
            }
        }
    }
    let after_notifications = updated.len();
    let mut rounds = 0;
    while updated.len() < members.len() {
        rounds += 1;
        for (n, process) in members.iter().enumerate() {
            let target = pull_target(&members, &process.host, &process.data_centre, &mut rng);
            if target.is_some_and(|target| updated.contains(&index(target))) {
                updated.insert(n);
            }
        }
    }

    assert!(
        after_notifications > 3_700,
        "notifications alone reach {after_notifications}"
    );
    assert!(notifications <= 6 * members.len());
    assert!(rounds <= 4, "{rounds} rounds of pulls, one a second");
}

fn crash(fingerprint: u64, upstream: &str) -> Crash {
    Crash {
        fingerprint,
        upstream: upstream.into(),
    }
}

#[test]
fn a_request_is_refused_after_its_second_crash() {
    let mut list = CrashList::default();

    list.add(crash(1, "a/0"));
    let after_one = list.reaches_limit(1, 2);
    list.add(crash(1, "b/0"));

    assert!(!after_one);
    assert!(list.reaches_limit(1, 2));
}

#[test]
fn a_crash_reported_twice_counts_once() {
    let mut list = CrashList::default();

    list.add(crash(1, "a/0"));
    let added = list.add(crash(1, "a/0"));

    assert!(!added);
    assert!(!list.reaches_limit(1, 2));
}

#[test]
fn a_suspect_that_is_served_is_cleared() {
    let mut list = CrashList::default();
    list.add(crash(1, "a/0"));

    list.record_success(1, 2);
    list.add(crash(1, "b/0"));

    assert!(!list.reaches_limit(1, 2));
}

#[test]
fn crash_records_stay_bounded() {
    let mut list = CrashList::default();

    for n in 0..10_000 {
        list.add(crash(n, "a/0"));
    }

    assert!(list.records().len() <= 256);
    assert!(list.reaches_limit(9_999, 1));
    assert!(!list.reaches_limit(0, 1));
}

#[test]
fn a_newer_declaration_outranks_a_later_start() {
    let old_declaration_new_start = FencingToken::new(4, 2_000);
    let new_declaration_old_start = FencingToken::new(5, 1_000);
    let same_declaration_new_start = FencingToken::new(5, 2_000);

    assert!(old_declaration_new_start < new_declaration_old_start);
    assert!(new_declaration_old_start < same_declaration_new_start);
}

#[test]
fn a_gap_longer_than_the_lease_is_detected_once() {
    let mut watch = PauseDetector::new(Moment::from_secs(2));

    let pauses = [0, 1, 5, 6].map(|s| watch.tick(Moment::from_secs(s)));

    assert_eq!(pauses, [false, false, true, false]);
}

#[test]
fn bulk_transfers_keep_to_their_rate() {
    let mut pacer = Pacer::new(Moment::ZERO, 1_000_000);
    let mut now = Moment::ZERO;

    for _ in 0..1_000 {
        now += pacer.reserve(now, 1_000);
    }

    let rate = 1_000_000.0 / now.as_secs_f64();
    assert!(
        (980_000.0..=1_040_000.0).contains(&rate),
        "{rate} bytes a second"
    );
}

#[test]
fn bulk_transfers_slow_down_for_late_live_responses_and_recover() {
    let mut pacer = Pacer::new(Moment::ZERO, 1_000_000);

    pacer.record_live_delay(Moment::from_secs(1), 1.5);
    let slowed_down = pacer.rate();
    pacer.reserve(Moment::from_secs(10), 1);

    assert!(slowed_down < 750_000.0);
    assert_eq!(pacer.rate(), 1_000_000.0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn balanced_owners_never_exceed_the_even_share(keys in 1_usize..400, nodes in 1_usize..40) {
        let names: Vec<String> = (0..nodes).map(|n| format!("h{n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let owners = balanced_owners("v", keys, &names);
        let max_owned = (0..nodes).map(|n| owners.iter().filter(|o| **o == n).count()).max();
        prop_assert_eq!(owners.len(), keys);
        prop_assert!(max_owned <= Some(keys.div_ceil(nodes)));
    }

    #[test]
    fn an_owner_changes_only_if_it_leaves(nodes in 2_usize..30, removed in 0_usize..30, key: u64) {
        let names: Vec<String> = (0..nodes).map(|n| format!("h{n}")).collect();
        let removed = &names[removed % nodes];
        let key = key.to_le_bytes();
        let before = owner(&key, names.iter().map(String::as_str));
        let remaining = names.iter().filter(|name| *name != removed);
        let after = owner(&key, remaining.map(String::as_str));
        prop_assert!(before == after || before == Some(removed.as_str()));
    }

    #[test]
    fn upgrades_in_order_finish_and_never_exceed_the_share(
        count in 1_usize..60,
        percent in 1_u64..=50,
    ) {
        let hosts: Vec<SmolStr> = (0..count).map(|n| format_smolstr!("h{n}")).collect();
        let concurrent = (count as u64 * percent / 100).max(1) as usize;
        let mut done: BTreeSet<SmolStr> = BTreeSet::new();
        let mut rounds = 0;
        while done.len() < count {
            let may_switch = |host: &&SmolStr| {
                let before = switch_predecessor("v", host, &hosts, percent);
                !done.contains(*host) && before.is_none_or(|before| done.contains(&before))
            };
            let switching: Vec<SmolStr> = hosts.iter().filter(may_switch).cloned().collect();
            prop_assert!(!switching.is_empty(), "no host may switch");
            prop_assert!(switching.len() <= concurrent);
            done.extend(switching);
            rounds += 1;
        }
        prop_assert!(rounds <= count.div_ceil(concurrent));
    }
}
