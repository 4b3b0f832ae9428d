//! Weights that are named while engines serve the version before.

use super::*;

fn name(world: &mut World, now: Moment, version: u64) {
    world.change(
        now,
        Subject::Version(MODEL.into()),
        Some(Fact::Version(version)),
    );
}

#[test]
fn an_engine_without_the_model_gets_nothing() {
    let mut world = World::new();
    let mut empty = engine("empty", "addis-a");
    empty.models = Some(Vec::new());
    world.put(at(0), empty);

    assert!(world.sent(at(10), generation(at(10))).is_none());
}

#[test]
fn the_version_before_serves_until_its_time_is_over() {
    let mut world = World::new();
    world.put(at(0), engine("old", "addis-a"));
    name(&mut world, at(1_000), 2);

    let early = world.sent(at(2_000), generation(at(2_000)));
    world.configure(&[], 1);
    let late = world.sent(at(8_100), generation(at(8_100)));

    assert!(early.is_some() && late.is_none());
}

// Guards against requests that are sent to engines of an overdue version until the next news or tick.
#[test]
fn the_time_of_the_version_before_ends_without_any_news() {
    let mut world = World::new();
    world.put(at(0), engine("old", "addis-a"));
    name(&mut world, at(1_000), 2);

    let early = world.sent(at(7_999), generation(at(7_999)));
    let late = world.sent(at(8_000), generation(at(8_000)));

    assert!(early.is_some() && late.is_none());
}

// Guards against requests that are sent in time to a busy engine and begin there on an overdue version.
#[test]
fn what_is_expected_to_begin_after_the_time_of_its_version_is_not_sent() {
    let mut world = World::new();
    world.put(at(0), engine("old", "addis-a"));
    name(&mut world, at(1_000), 2);
    let patient = |now| RequestRequirements {
        first_event_deadline: now + Moment::from_secs(3),
        prompt_tokens: 8_000.0,
        ..generation(now)
    };

    let idle = world.sent(at(7_000), patient(at(7_000)));
    for _ in 0..3 {
        world.sent(at(7_990), patient(at(7_990)));
    }
    let behind_others = world.sent(at(7_990), patient(at(7_990)));

    assert!(idle.is_some_and(|chosen| chosen.expected_ms < 600.0));
    assert_eq!(behind_others, None);
}

// Guards against a version that gets all of its time from a late learning on.
#[test]
fn a_version_that_is_learned_late_gives_no_more_time() {
    let mut world = World::new();
    world.put(at(900), engine("old", "addis-a"));
    let change = Change {
        subject: Subject::Version(MODEL.into()),
        revision: 9,
        fact: Some(Fact::Version(2)),
        known_ms: 0,
    };
    let proof = Proof {
        at: 9,
        asked: at(2_190),
    };

    world.replica.apply(at(2_200), vec![change], proof);
    world.configure(&[], 1);
    let early = world.sent(at(7_899), generation(at(7_899)));
    let late = world.sent(at(7_900), generation(at(7_900)));

    assert!(early.is_some() && late.is_none());
}

/// Makes what a process knows that finds version 2 by its first look at the facts, at `now`; whoever
/// told it has known the version for `known_ms`.
fn find_version(world: &mut World, now: Moment, known_ms: u64) {
    let table = world.directory.table.clone().expect("it is configured");
    let found = |revision, subject, fact| Change {
        subject,
        revision,
        fact: Some(fact),
        known_ms,
    };
    let old = engine("old", "addis-a");
    let facts = vec![
        found(
            1,
            Subject::Declaration,
            Fact::Declaration(table.declaration.clone()),
        ),
        found(2, Subject::Version(MODEL.into()), Fact::Version(2)),
        found(3, Subject::Upstream(old.id.clone()), Fact::Upstream(old)),
    ];
    let proof = Proof {
        at: 3,
        asked: now - at(10),
    };
    world.replica = Replica::default();
    world.replica.apply(now, facts, proof);
    world.configure(&[], 1);
}

/// By when requests must begin on the version before the found one.
fn begin_by(world: &mut World, now: Moment) -> Option<Moment> {
    let chosen = world.sent(now, generation(now));
    let upstream = chosen.expect("it is sent").upstream;
    world
        .dispatcher
        .served_version(upstream, MODEL)?
        .start_deadline
}

// VERSION on plume-nominale-grown: a first look that came late moved the time that counts from the start.
#[test]
fn a_version_that_is_found_at_the_start_binds_from_the_start_however_late_it_is_found() {
    for found_at in [60_100, 60_900, 61_500] {
        let mut world = World::started_at(at(60_000));

        find_version(&mut world, at(found_at), 0);

        let begin_by = begin_by(&mut world, at(found_at + 10));
        assert_eq!(begin_by, Some(at(60_000) + BEGIN_WITHIN_AT_START));
    }
}

// Guards against a process that is held to times before it has given up what it found overdue.
#[test]
fn a_version_that_somebody_has_known_for_long_binds_at_once() {
    let mut world = World::started_at(at(60_000));

    find_version(&mut world, at(60_100), BEGIN_WITHIN.as_millis() as u64);

    let sent = world.sent(at(60_110), generation(at(60_110)));
    assert_eq!(sent, None);
}

// Guards against requests that are written to an upstream which closed while a connection was made.
#[test]
fn what_closes_between_choice_and_connection_gets_nothing() {
    let mut world = World::new();
    world.put(at(0), engine("old", "addis-a"));
    world.put(at(0), engine("leaves", "mekelle-a"));
    name(&mut world, at(1_000), 2);
    let demand = generation(at(7_950));
    let chosen = [(); 2].map(|()| {
        let chosen = world.sent(at(7_950), demand.clone());
        chosen.expect("it is sent").upstream
    });

    let before = chosen.map(|key| world.dispatcher.may_serve(at(7_960), key, &demand));
    let overdue = chosen.map(|key| world.dispatcher.may_serve(at(8_000), key, &demand));
    let mut leaves = engine("leaves", "mekelle-a");
    leaves.state = UpstreamState::Draining;
    world.put(at(7_970), leaves);
    let drained: Vec<_> = chosen
        .into_iter()
        .filter(|key| !world.dispatcher.may_serve(at(7_980), *key, &demand))
        .map(|key| world.id(key))
        .collect();

    assert_eq!((before, overdue), ([true; 2], [false; 2]));
    assert_eq!(drained, ["leaves"]);
}

#[test]
fn a_version_that_overtakes_another_does_not_give_more_time() {
    let mut world = World::new();
    world.put(at(0), engine("old", "addis-a"));
    name(&mut world, at(1_000), 2);
    name(&mut world, at(4_000), 3);

    world.configure(&[], 1);

    assert!(world.sent(at(8_100), generation(at(8_100))).is_none());
}

#[test]
fn what_was_broken_off_once_goes_to_an_engine_that_has_turned() {
    let mut world = World::new();
    world.put(at(0), engine("old", "addis-a"));
    let mut turned = engine("turned", "mekelle-a");
    turned.models = Some(vec![HeldModel {
        name: MODEL.into(),
        version: 2,
    }]);
    world.put(at(0), turned);
    name(&mut world, at(1_000), 2);
    let mut demand = generation(at(1_100));
    demand.tried = vec![UpstreamKey::default()];

    assert_eq!(world.sent_to(at(1_100), demand).as_deref(), Some("turned"));
}

#[test]
fn streams_that_break_at_a_turn_are_no_failures_of_the_engine() {
    let mut world = World::new();
    world.put(at(0), engine("e1", "addis-a"));
    let status = |turning| EngineStatus {
        address: engine("e1", "addis-a").address,
        service: "deck-model".into(),
        born_ms: 1,
        serving: Some((MODEL.into(), 1)),
        turning,
        pace_percent: 100,
    };
    let sent: Vec<_> = (0..4)
        .filter_map(|_| world.sent(at(0), generation(at(0))))
        .collect();

    world.configure(&[status(true)], 1);
    let while_turning = world.sent(at(11), generation(at(11)));
    for chosen in sent {
        world
            .dispatcher
            .record_outcome(at(20), chosen.upstream, 900.0, AttemptOutcome::Failed);
    }
    world.configure(&[status(false)], 1);
    world.put(at(400), engine("e2", "mekelle-a"));
    world.configure(&[status(false)], 1);

    assert!(while_turning.is_none());
    assert_eq!(
        world.sent_to(at(410), generation(at(410))).as_deref(),
        Some("e1")
    );
}
