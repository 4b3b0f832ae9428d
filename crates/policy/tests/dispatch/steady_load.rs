//! Requests that all find room.

use super::*;

#[test]
fn requests_spread_over_engines_instead_of_piling_up() {
    let mut world = World::new();
    for n in 0..4 {
        world.put(at(0), engine(&format!("e{n}"), "addis-a"));
    }

    let mut counts = HashMap::new();
    for _ in 0..16 {
        let id = world
            .sent_to(at(10), generation(at(10)))
            .expect("there is room");
        *counts.entry(id).or_insert(0) += 1;
    }

    assert!(counts.values().all(|count| *count == 4), "{counts:?}");
}

#[test]
fn an_engine_nearby_is_preferred_until_it_is_clearly_busier() {
    let mut world = World::new();
    world.put(at(0), engine("near", "addis-a"));
    world.put(at(0), engine("far", "mekelle-a"));

    let first = world.sent_to(at(10), generation(at(10)));
    let second = world.sent_to(at(10), generation(at(10)));

    assert_eq!(first.as_deref(), Some("near"));
    assert_eq!(second.as_deref(), Some("far"));
}

#[test]
fn a_request_stays_in_its_home_regions() {
    let mut world = World::new();
    world.put(at(0), engine("near", "addis-a"));
    world.put(at(0), engine("far", "mekelle-a"));
    let mut demand = generation(at(10));
    demand.route_regions = vec!["mekelle".into()];
    let mut nowhere = demand.clone();
    nowhere.workspace_regions = vec!["addis".into()];

    assert_eq!(world.sent_to(at(10), demand).as_deref(), Some("far"));
    assert!(matches!(
        world.offer(at(10), nowhere),
        DispatchDecision::Refuse(refused) if refused.reason == RefusalReason::NoUpstream
    ));
}
