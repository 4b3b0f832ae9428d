//! Nothing fails.

use balsamjunction_lab::experiment::dissemination::{
    network::Sharing,
    relay::simulate,
    scenario::{Scenario, SMALL_BYTES},
};
use balsamjunction_policy::Moment;

use crate::bounds::{
    last_gateway, small_message, CHANGE, COPIES_BETWEEN_REGIONS, COPIES_SERVED, IN_FORCE,
};

/// Fleets of 24, 100 and 300 gateways in three regions, with the readers in two regions and in one.
fn fleets() -> impl Iterator<Item = Scenario> {
    let sizes = [24, 100, 300].into_iter();
    sizes.flat_map(|gateways| {
        [vec![0, 1], vec![0, 3]].map(|readers| Scenario {
            readers,
            ..Scenario::new(gateways, 3, CHANGE)
        })
    })
}

#[test]
fn the_last_gateway_has_the_change_in_the_time_that_depth_and_pace_allow() {
    for scenario in fleets() {
        let last = simulate(&scenario).last(&scenario);

        let last = last.expect("all gateways have the change");
        let bound = last_gateway(&scenario);
        assert!(last <= bound, "{last:?} of {bound:?}, {scenario:?}");
        assert!(last <= IN_FORCE, "{last:?}, {scenario:?}");
    }
}

// Guards against a download that takes more than half of a link that it has for itself. The link is slow, so that pauses
// and not round trips determine the time.
#[test]
fn a_download_takes_at_least_twice_the_time_of_the_link() {
    let mut scenario = Scenario {
        readers: vec![0],
        ..Scenario::new(2, 1, CHANGE)
    };
    scenario.links.host_rate = 2_000_000;

    let last = simulate(&scenario).last(&scenario);

    let link = CHANGE as f64 * 8.0 / scenario.links.host_rate as f64;
    let last = last.expect("both gateways have the change").as_secs_f64();
    assert!(last >= link * 2.0, "{last} s, the link takes {link} s");
}

// Guards against a change that fills the links between regions, one copy for each gateway.
#[test]
fn a_link_between_regions_carries_about_one_copy() {
    for scenario in fleets() {
        let outcome = simulate(&scenario);

        let copies = outcome.most_copies_between_regions(&scenario);
        assert!(copies <= COPIES_BETWEEN_REGIONS, "{copies}, {scenario:?}");
    }
}

#[test]
fn no_gateway_serves_more_than_those_below_it_and_one_region() {
    for scenario in fleets() {
        let outcome = simulate(&scenario);

        let copies = outcome.most_copies_served(&scenario);
        assert!(copies <= COPIES_SERVED, "{copies}, {scenario:?}");
    }
}

// Guards against small changes that wait for a large one: 5.5 s in a fleet of 24 gateways that had no disruption.
#[test]
fn small_messages_wait_for_one_part_of_each_receiver_at_most() {
    for scenario in fleets() {
        for sharing in [Sharing::InOrder, Sharing::Fair] {
            let mut scenario = scenario.clone();
            scenario.links.sharing = sharing;

            let outcome = simulate(&scenario);

            let bound = small_message(&scenario);
            let small_change = outcome.small_change.expect("all gateways know it");
            assert!(outcome.probe_max <= bound, "{outcome:?} {scenario:?}");
            assert!(
                small_change <= bound,
                "{small_change:?} of {bound:?}, {scenario:?}"
            );
        }
    }
}

// Guards against a simulation in which small messages meet no large ones: their bound would say nothing.
#[test]
fn some_small_messages_meet_parts() {
    let mut scenario = Scenario::new(24, 3, CHANGE);
    scenario.links.sharing = Sharing::InOrder;

    let outcome = simulate(&scenario);

    let alone = scenario.links.latency + Moment::from_micros(3 * SMALL_BYTES as u64 * 8 / 26);
    assert!(outcome.probe_max > alone * 2, "{:?}", outcome.probe_max);
}

#[test]
fn the_same_seed_gives_the_same_outcome() {
    let scenario = Scenario {
        loss_percent: 5,
        ..Scenario::new(24, 3, CHANGE)
    };

    let (first, second) = (simulate(&scenario), simulate(&scenario));

    assert_eq!(first.received, second.received);
    assert_eq!(first.between_regions, second.between_regions);
}
