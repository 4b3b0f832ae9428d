//! Gateways fail and parts are lost while the change is on its way; the members of the tree do not change.

use balsamjunction_lab::experiment::dissemination::{
    relay::simulate,
    scenario::{Fault, FaultKind, Scenario},
    FAULT_AT,
};
use balsamjunction_policy::Moment;

use crate::bounds::{last_gateway, CHANGE, COPIES_BETWEEN_REGIONS, IN_FORCE};

/// Multiple of the time without faults in which the last gateway has the change when one gateway fails: a second
/// download from the beginning would take as much.
const FAULT_RATIO: u32 = 2;
/// Percentage of parts that are lost.
const LOSS_PERCENT: u32 = 5;
/// Multiple of the time without losses in which the last gateway has the change: a lost part costs the time limit of a
/// request, about eight times what a part takes, and one part in twenty is lost on each level of the tree.
const LOSS_RATIO: u32 = 4;

fn fleets() -> impl Iterator<Item = Scenario> {
    [24, 100, 300]
        .into_iter()
        .map(|gateways| Scenario::new(gateways, 3, CHANGE))
}

/// Returns when the last gateway has the change after `gateway` fails.
fn last_after(scenario: &Scenario, gateway: usize, kind: FaultKind) -> Moment {
    let mut scenario = scenario.clone();
    scenario.faults.push(Fault {
        at: FAULT_AT,
        gateway,
        kind,
    });
    let last = simulate(&scenario).last(&scenario);
    last.unwrap_or_else(|| panic!("some never have it, {scenario:?}"))
}

#[test]
fn all_have_the_change_although_the_root_of_a_region_is_killed_halfway() {
    for scenario in fleets() {
        let root = scenario.root_without_reader().expect("a root");

        let last = last_after(&scenario, root, FaultKind::Killed);

        assert!(last <= last_gateway(&scenario) * FAULT_RATIO, "{last:?}");
        assert!(last <= IN_FORCE, "{last:?}");
    }
}

#[test]
fn all_have_the_change_although_the_root_of_a_region_no_longer_responds() {
    for scenario in fleets() {
        let root = scenario.root_without_reader().expect("a root");

        let last = last_after(&scenario, root, FaultKind::Frozen);

        assert!(last <= last_gateway(&scenario) * FAULT_RATIO, "{last:?}");
        assert!(last <= IN_FORCE, "{last:?}");
    }
}

#[test]
fn all_have_the_change_although_the_root_of_a_region_restarts_halfway() {
    for scenario in fleets() {
        let root = scenario.root_without_reader().expect("a root");

        let last = last_after(&scenario, root, FaultKind::Restarted);

        assert!(last <= last_gateway(&scenario) * FAULT_RATIO, "{last:?}");
        assert!(last <= IN_FORCE, "{last:?}");
    }
}

#[test]
fn all_have_the_change_although_a_reader_is_killed_halfway() {
    for scenario in fleets() {
        for reader in scenario.readers.clone() {
            let last = last_after(&scenario, reader, FaultKind::Killed);

            assert!(last <= last_gateway(&scenario) * FAULT_RATIO, "{last:?}");
            assert!(last <= IN_FORCE, "{last:?}");
        }
    }
}

#[test]
fn all_have_the_change_although_a_reader_no_longer_responds() {
    for scenario in fleets() {
        for reader in scenario.readers.clone() {
            let last = last_after(&scenario, reader, FaultKind::Frozen);

            assert!(last <= last_gateway(&scenario) * FAULT_RATIO, "{last:?}");
            assert!(last <= IN_FORCE, "{last:?}");
        }
    }
}

// Guards against gateways that move up the tree at each lost part, until all pull from other regions: that took 12
// copies over a link between regions.
#[test]
fn all_have_the_change_although_parts_are_lost() {
    for scenario in fleets() {
        for seed in 1..=6 {
            let scenario = Scenario {
                loss_percent: LOSS_PERCENT,
                seed,
                ..scenario.clone()
            };

            let outcome = simulate(&scenario);

            let last = outcome.last(&scenario);
            let last = last.expect("all gateways have the change");
            let bound = last_gateway(&scenario) * LOSS_RATIO;
            assert!(last <= bound, "{last:?} of {bound:?}, {scenario:?}");
            let copies = outcome.most_copies_between_regions(&scenario);
            let bound = COPIES_BETWEEN_REGIONS * 2.0;
            assert!(copies <= bound, "{copies}, {scenario:?}");
        }
    }
}

#[test]
fn all_have_the_change_although_a_tenth_of_the_gateways_is_killed_halfway() {
    for mut scenario in fleets() {
        let gateways = (5..scenario.gateways).step_by(10);
        let fault = |gateway| Fault {
            at: FAULT_AT,
            gateway,
            kind: FaultKind::Killed,
        };
        scenario.faults.extend(gateways.map(fault));

        let last = simulate(&scenario).last(&scenario);

        let last = last.expect("all that live have the change");
        assert!(last <= last_gateway(&scenario) * FAULT_RATIO, "{last:?}");
    }
}
