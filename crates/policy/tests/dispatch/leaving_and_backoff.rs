//! Upstreams that say in their answers that they want no more, for good or for a while.

use super::*;

/// Two plain services of which the first has one request; gives its key and its id.
fn one_at_work(world: &mut World) -> (UpstreamKey, SmolStr) {
    world.put(at(0), plain("d1"));
    world.put(at(0), plain("d2"));
    let chosen = world.sent(at(1), order(at(1))).expect("there is room");
    (chosen.upstream, world.id(chosen.upstream))
}

fn ids_of_sends(world: &mut World, now: Moment, count: usize) -> Vec<SmolStr> {
    (0..count)
        .filter_map(|_| world.sent_to(now, order(now)))
        .collect()
}

// DRAIN by an answer: the list still names the upstream ready.
#[test]
fn one_that_has_said_that_it_leaves_is_closed_whatever_the_list_says() {
    let mut world = World::new();
    let (key, id) = one_at_work(&mut world);

    let news = [(); 2].map(|()| world.dispatcher.mark_leaving(key, false));
    let waiting_for_a_connection = world.dispatcher.may_serve(at(3), key, &order(at(1)));
    let sends = ids_of_sends(&mut world, at(4), 12);
    world.put(at(5), plain(&id));
    let sends_after_news = ids_of_sends(&mut world, at(6_000), 12);

    assert_eq!(news, [true, false]);
    assert!(!waiting_for_a_connection);
    assert!(!sends.is_empty() && !sends.contains(&id));
    assert!(!sends_after_news.contains(&id));
}

// DRAIN after a lapse: an entry that goes and comes back made an upstream a new one.
#[test]
fn one_that_lapses_from_the_list_comes_back_as_it_was() {
    let mut world = World::new();
    let (key, id) = one_at_work(&mut world);
    world.dispatcher.mark_leaving(key, false);

    world.change(at(10), Subject::Upstream(id.clone()), None);
    world.put(at(900), plain(&id));
    let lapsed = ids_of_sends(&mut world, at(901), 8);
    let started_again = UpstreamRecord {
        born_ms: 2,
        ..plain(&id)
    };
    world.put(at(5_000), started_again);
    let new = ids_of_sends(&mut world, at(5_001), 8);

    assert!(!lapsed.contains(&id));
    assert!(new.contains(&id));
}

// Guards against memory that grows with every upstream that was ever listed.
#[test]
fn upstreams_that_left_the_list_are_forgotten_in_the_end() {
    let mut world = World::new();
    for n in 0..1_200 {
        let id = format!("d{n}");
        world.put(at(n), plain(&id));
        world.change(at(n), Subject::Upstream(id.into()), None);
    }
    world.put(at(2_000), plain("d1150"));

    let sent = world.sent(at(2_001), order(at(2_001)));
    let census = world.dispatcher.count_by_condition(at(2_001));

    assert!(sent.is_some());
    assert_eq!(census.values().sum::<usize>(), 1);
}

// The upstream that was asked has gone, and the one that has its address now is the one that leaves.
#[test]
fn a_misdirected_answer_closes_the_one_that_gave_it() {
    let mut world = World::new();
    let (key, id) = one_at_work(&mut world);
    let other = match id.as_str() {
        "d1" => "d2",
        _ => "d1",
    };

    let news = world.dispatcher.mark_leaving(key, true);
    let sends = ids_of_sends(&mut world, at(4), 12);

    assert!(news);
    assert!(sends.contains(&id) && !sends.iter().any(|sent| sent == other));
}

// BUDGET by Retry-After: also for what was chosen before, and has no connection yet.
#[test]
fn one_that_rests_gets_nothing_until_its_time_is_over() {
    let mut world = World::new();
    let (key, id) = one_at_work(&mut world);

    let pause = world.dispatcher.back_off(at(10), key, Some(at(2_000)));
    // A shorter time does not end a longer one.
    world.dispatcher.back_off(at(20), key, Some(at(100)));
    let waiting_for_a_connection = world.dispatcher.may_serve(at(12), key, &order(at(1)));
    let in_time = ids_of_sends(&mut world, at(2_009), 12);
    world
        .dispatcher
        .record_outcome(at(2_009), key, 0.0, AttemptOutcome::Rejected);
    let after = ids_of_sends(&mut world, at(9_000), 12);

    assert_eq!(pause, at(2_000));
    assert!(!waiting_for_a_connection);
    assert!(!in_time.is_empty() && !in_time.contains(&id));
    assert!(after.contains(&id));
}

// Callers waited for room that could not come, or came back before it could.
#[test]
fn with_all_at_rest_a_request_is_refused_at_once_until_the_first_is_back() {
    let mut world = World::new();
    world.put(at(0), plain("d1"));
    world.put(at(0), plain("d2"));
    // Enough to reach both.
    let sent = (0..12).filter_map(|_| world.sent(at(1), order(at(1))));
    let keys: BTreeSet<_> = sent.map(|chosen| chosen.upstream).collect();

    for (key, pause) in keys.iter().zip([3_000, 1_500]) {
        world.dispatcher.back_off(at(10), *key, Some(at(pause)));
    }
    let verdict = world.offer(at(100), order(at(100)));

    let DispatchDecision::Refuse(refused) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refused.reason, RefusalReason::BackingOff);
    assert_eq!(refused.retry_after, at(1_410));
}

#[test]
fn what_waits_for_room_is_refused_when_the_last_begins_to_rest() {
    let mut world = World::new();
    world.put(at(0), plain("d1"));
    let first = world.sent(at(1), order(at(1))).expect("there is room");
    while world.sent(at(1), order(at(1))).is_some() {}
    let DispatchDecision::Wait(waits) = world.offer(at(2), order(at(2))) else {
        panic!("nothing waits");
    };

    world
        .dispatcher
        .back_off(at(5), first.upstream, Some(at(2_000)));
    let verdicts = world.dispatcher.poll(at(5));

    assert_eq!(verdicts.len(), 1);
    let (key, verdict) = &verdicts[0];
    assert_eq!(*key, waits);
    assert!(
        matches!(verdict, DispatchDecision::Refuse(r) if r.reason == RefusalReason::BackingOff)
    );
}

#[test]
fn times_that_are_absurd_or_cannot_be_read_are_bounded() {
    let mut world = World::new();
    let (key, _) = one_at_work(&mut world);

    let unreadable = world.dispatcher.back_off(at(10), key, None);
    let endless = world.dispatcher.back_off(at(10), key, Some(Moment::MAX));

    assert_eq!(unreadable, at(1_000));
    assert_eq!(endless, Moment::from_secs(24 * 3_600));
}
