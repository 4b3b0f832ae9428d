//! The former way, so that the comparison is made with a model that shows what was measured.

use balsamjunction_lab::experiment::dissemination::{push, relay, scenario::Scenario};

use crate::bounds::COPIES_BETWEEN_REGIONS;

/// Size of the whole declaration of the measured day, in bytes.
const DECLARATION: usize = 300_000;

#[test]
fn pushes_fill_the_links_between_regions_and_delay_small_changes() {
    let scenario = Scenario::new(24, 3, DECLARATION);

    let (pushed, relayed) = (push::simulate(&scenario), relay::simulate(&scenario));

    assert!(pushed.most_copies_between_regions(&scenario) > 3.0 * COPIES_BETWEEN_REGIONS);
    assert!(relayed.most_copies_between_regions(&scenario) <= COPIES_BETWEEN_REGIONS);
    let small_change = relayed.small_change.expect("all gateways know it");
    assert!(pushed
        .small_change
        .is_none_or(|time| time > small_change * 10));
}
