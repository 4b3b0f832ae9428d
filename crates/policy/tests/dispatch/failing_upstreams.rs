//! Upstreams that fail, are slow, or are no longer what the list says.

use super::*;

#[test]
fn one_that_fails_again_and_again_is_left_out_and_tried_later() {
    let mut world = World::new();
    world.put(at(0), plain("d1"));
    world.put(at(0), plain("d2"));
    let mut bad = None;
    for n in 0..8 {
        let now = at(10 * n);
        let chosen = world.sent(now, order(now)).expect("there is room");
        let bad = *bad.get_or_insert(chosen.upstream);
        let ending = match chosen.upstream == bad {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Served,
        };
        world
            .dispatcher
            .record_outcome(now, chosen.upstream, 0.0, ending);
    }
    let bad = world.id(bad.expect("something was sent"));

    let soon: Vec<_> = (0..4)
        .filter_map(|_| world.sent_to(at(200), order(at(200))))
        .collect();
    let mut later = Vec::new();
    for _ in 0..4 {
        later.extend(world.sent_to(at(9_000), order(at(9_000))));
    }

    assert!(!soon.contains(&bad));
    assert!(later.contains(&bad));
}

#[test]
fn the_only_one_is_tried_even_while_it_fails() {
    let mut world = World::new();
    world.put(at(0), plain("d1"));
    let chosen = world.sent(at(0), order(at(0))).expect("there is room");
    world
        .dispatcher
        .record_outcome(at(0), chosen.upstream, 0.0, AttemptOutcome::Unreachable);

    assert!(world.sent(at(10), order(at(10))).is_some());
}

#[test]
fn an_engine_that_has_started_again_gets_nothing_until_the_list_says_so() {
    let mut world = World::new();
    let old = engine("old", "addis-a");
    world.put(at(0), old.clone());
    let status = EngineStatus {
        address: old.address,
        service: old.service.clone(),
        born_ms: 2,
        serving: Some((MODEL.into(), 1)),
        turning: false,
        pace_percent: 100,
    };

    world.configure(std::slice::from_ref(&status), 1);
    let before = world.offer(at(2), generation(at(2)));
    let again = UpstreamRecord {
        id: "new".into(),
        born_ms: 2,
        ..old.clone()
    };
    world.put(at(3), again);
    world.change(at(3), Subject::Upstream(old.id), None);
    world.configure(&[status], 1);
    let after = world.sent_to(at(4), generation(at(4)));

    assert!(matches!(
        before,
        DispatchDecision::Refuse(refused) if refused.reason == RefusalReason::NoUpstream
    ));
    assert_eq!(after.as_deref(), Some("new"));
}

#[test]
fn one_whose_address_another_has_gets_nothing_more() {
    let mut world = World::new();
    world.put(at(0), plain("gone"));
    let sent = world.sent(at(1), order(at(1))).expect("it looks well");

    world
        .dispatcher
        .record_outcome(at(2), sent.upstream, 0.0, AttemptOutcome::Misdirected);
    let soon = world.sent(at(3), order(at(3)));
    world.configure(&[], 1);
    let later = world.sent(at(5_000), order(at(5_000)));
    let again = UpstreamRecord {
        born_ms: 2,
        ..plain("gone")
    };
    world.put(at(5_001), again);
    let new = world.sent(at(5_002), order(at(5_002)));

    assert_eq!((soon, later), (None, None));
    assert!(new.is_some());
}

#[test]
fn a_slow_engine_gets_less_by_its_own_report() {
    let mut world = World::new();
    let mut slow = engine("slow", "addis-a");
    slow.address = "10.0.0.2:80".parse().expect("an address");
    world.put(at(0), slow.clone());
    world.put(at(0), engine("usual", "addis-a"));
    let status = EngineStatus {
        address: slow.address,
        service: slow.service,
        born_ms: 1,
        serving: Some((MODEL.into(), 1)),
        turning: false,
        pace_percent: 400,
    };
    world.configure(&[status], 1);

    let ids: Vec<_> = (0..3)
        .filter_map(|_| world.sent_to(at(2), generation(at(2))))
        .collect();

    assert_eq!(ids, ["usual", "usual", "usual"]);
}
