//! More requests than the engines can begin in time.

use super::*;

/// Sends until nothing more fits, and gives how many were sent.
fn fill(world: &mut World, now: Moment) -> usize {
    let mut sent = 0;
    while world.sent(now, generation(now)).is_some() {
        sent += 1;
        assert!(sent < 200, "an engine never fills up");
    }
    sent
}

#[test]
fn no_more_is_sent_than_can_begin_in_the_wanted_time() {
    let mut world = World::new();
    world.put(at(0), engine("e1", "addis-a"));

    let sent = fill(&mut world, at(10));

    // 400 ms at 20.7 prompt tokens a millisecond read nine prompts of 900 tokens.
    assert!((4..=9).contains(&sent), "{sent} were sent");
}

#[test]
fn what_finds_no_room_is_refused_within_an_eighth_of_its_wanted_time() {
    let mut world = World::new();
    world.put(at(0), engine("e1", "addis-a"));
    fill(&mut world, at(10));

    let DispatchDecision::Wait(key) = world.offer(at(10), generation(at(10))) else {
        panic!("it is neither sent nor refused at once");
    };
    let verdicts = world.dispatcher.poll(at(10 + 50));

    let refused = verdicts
        .into_iter()
        .find(|(k, _)| *k == key)
        .map(|(_, v)| v);
    assert!(matches!(
        refused,
        Some(DispatchDecision::Refuse(refused))
            if refused.reason == RefusalReason::Overload && refused.retry_after >= at(100)
    ));
    assert!(!world.dispatcher.has_waiting());
}

#[test]
fn what_waits_is_sent_when_room_is_made() {
    let mut world = World::new();
    world.put(at(0), engine("e1", "addis-a"));
    let mut running = Vec::new();
    while let Some(chosen) = world.sent(at(10), generation(at(10))) {
        running.push(chosen);
    }
    let waits = world.offer(at(10), generation(at(10)));
    assert!(matches!(waits, DispatchDecision::Wait(_)));

    for chosen in &running {
        world
            .dispatcher
            .record_first_event(at(20), chosen, 900.0, 100.0);
        world
            .dispatcher
            .record_outcome(at(20), chosen.upstream, 0.0, AttemptOutcome::Served);
    }
    let verdicts = world.dispatcher.poll(at(20));

    assert!(matches!(verdicts[..], [(_, DispatchDecision::Send(_))]));
}

#[test]
fn a_caller_that_leaves_gives_up_its_place_in_the_queue() {
    let mut world = World::new();
    world.put(at(0), engine("e1", "addis-a"));
    fill(&mut world, at(10));
    let DispatchDecision::Wait(key) = world.offer(at(10), generation(at(10))) else {
        panic!("it does not wait");
    };

    world.dispatcher.cancel_wait(key);

    assert!(!world.dispatcher.has_waiting());
    assert!(world.dispatcher.poll(at(100)).is_empty());
}

#[test]
fn the_more_urgent_of_those_that_wait_goes_first() {
    let mut world = World::new();
    world.put(at(0), engine("e1", "addis-a"));
    let mut running = Vec::new();
    while let Some(chosen) = world.sent(at(10), generation(at(10))) {
        running.push(chosen);
    }
    let mut later = generation(at(10));
    later.priority = 1;
    let mut urgent = generation(at(11));
    urgent.priority = 0;
    let DispatchDecision::Wait(_) = world.offer(at(10), later) else {
        panic!("it does not wait");
    };
    let DispatchDecision::Wait(urgent) = world.offer(at(11), urgent) else {
        panic!("it does not wait");
    };

    let one = running.pop().expect("something runs");
    world
        .dispatcher
        .record_outcome(at(20), one.upstream, 900.0, AttemptOutcome::Served);
    let verdicts = world.dispatcher.poll(at(20));

    assert_eq!(verdicts.first().map(|(key, _)| *key), Some(urgent));
}

/// The engine of which least is known must not seem the emptiest.
#[test]
fn load_by_other_entries_is_believed_until_it_is_surely_old() {
    let mut world = World::new();
    world.put(at(0), engine("known", "addis-a"));
    world.put(at(0), engine("idle", "addis-a"));
    let chosen = world.sent(at(0), generation(at(0))).expect("there is room");
    let busy = world.id(chosen.upstream);

    world.dispatcher.record_load(at(50), chosen.upstream, 16, 6);
    world
        .dispatcher
        .record_outcome(at(60), chosen.upstream, 900.0, AttemptOutcome::Served);
    let mut later = Vec::new();
    for n in 0..4 {
        let now = at(800 + n);
        later.extend(world.sent_to(now, generation(now)));
    }

    assert!(
        !later.is_empty() && !later.contains(&busy),
        "{later:?} after {busy}"
    );
}
