//! Random fleets, faults and losses.

use balsamjunction_lab::experiment::dissemination::{
    relay::simulate,
    scenario::{Fault, FaultKind, Scenario},
};
use balsamjunction_policy::Moment;
use proptest::{prelude::*, test_runner::RngSeed};

/// Number of random histories.
const CASES: u32 = 96;

fn fault(gateways: usize) -> impl Strategy<Value = Fault> {
    let kind = prop_oneof![
        Just(FaultKind::Killed),
        Just(FaultKind::Frozen),
        Just(FaultKind::Restarted),
    ];
    // Gateway 0 is a reader that never fails: without one, nobody may have the whole change.
    (1..gateways, 0..3_000u64, kind).prop_map(|(gateway, at, kind)| Fault {
        at: Moment::from_millis(at),
        gateway,
        kind,
    })
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let fleet = (2..60usize, 1..5usize, 1..600_000usize);
    fleet.prop_flat_map(|(gateways, regions, bytes)| {
        let faults = proptest::collection::vec(fault(gateways), 0..12);
        let readers = proptest::collection::vec(1..gateways, 0..3);
        let rates = (5_000_000..50_000_000u64, 5_000_000..50_000_000u64);
        (faults, readers, rates, 0..10u32, any::<u64>()).prop_map(
            move |(faults, readers, (host_rate, region_rate), loss_percent, seed)| {
                let mut scenario = Scenario::new(gateways, regions, bytes);
                scenario.readers = std::iter::once(0).chain(readers).collect();
                scenario.readers.sort_unstable();
                scenario.readers.dedup();
                scenario.links.host_rate = host_rate;
                scenario.links.region_rate = region_rate;
                scenario.faults = faults;
                scenario.loss_percent = loss_percent;
                scenario.seed = seed;
                scenario
            },
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(52), cases: CASES, ..ProptestConfig::default() })]

    // One reader stays; whatever else fails, restarts or is lost, all that live get the change.
    #[test]
    fn all_that_live_have_the_change_in_the_end(scenario in scenario()) {
        let outcome = simulate(&scenario);

        prop_assert!(outcome.last(&scenario).is_some(), "{outcome:?}");
    }
}
