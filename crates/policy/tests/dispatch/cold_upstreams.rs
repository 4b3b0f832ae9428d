//! Upstreams that have just started, and entries that share what these bear.

use super::*;

#[test]
fn entries_share_what_a_cold_engine_bears_in_a_second() {
    let mut world = World::new();
    let mut cold = engine("cold", "addis-a");
    cold.cold_remaining_ms = 3_000;
    world.put(at(10_000), cold);
    world.configure(&[], 4);

    let mut sent = 0;
    for n in 0..200 {
        let now = at(10_000 + 5 * n);
        if let Some(chosen) = world.sent(now, generation(now)) {
            world
                .dispatcher
                .record_outcome(now, chosen.upstream, 900.0, AttemptOutcome::Served);
            sent += 1;
        }
    }

    // 28 in a second for all four entries together.
    assert_eq!(sent, 7);
}

/// Requests that each of `entries` sends to each cold engine within a second, together, while each
/// has 40 to send; an entry knows `known` of them.
fn sends_to_each(entries: usize, known: usize, engines: usize, now: Moment) -> Vec<usize> {
    let mut sends = vec![0; engines];
    for own in 0..entries {
        let mut world = World::new();
        for n in 0..engines {
            let mut cold = engine(&format!("cold{n:03}"), "addis-a");
            cold.cold_remaining_ms = 3_000;
            world.put(now, cold);
        }
        let mut among = entries_among(own, entries);
        for names in [&mut among.all, &mut among.local] {
            names.retain(|name| *name == among.own || known == entries);
        }
        world.configure_among(&[], among);
        for n in 0..40 {
            let at = now + at(25 * n);
            let Some(chosen) = world.sent(at, generation(at)) else {
                continue;
            };
            let id = world.id(chosen.upstream);
            let number: usize = id.trim_start_matches("cold").parse().expect("a number");
            sends[number] += 1;
            world
                .dispatcher
                .record_outcome(at, chosen.upstream, 900.0, AttemptOutcome::Served);
        }
    }
    sends
}

/// What a cold engine bears in a second by the platform's rule, at 28 a second.
const BORNE: usize = 28 * 3 / 2 + 5;

// FAILBACK after a loss of power: entries that had just started took the whole of what a cold engine
// bears, since each knew itself only, and all chose the same engine.
#[test]
fn entries_that_all_start_again_do_not_flood_a_cold_engine() {
    for (entries, engines) in [(13, 38), (35, 24)] {
        let sends = sends_to_each(entries, 1, engines, at(100));

        let most = sends.iter().max().copied().unwrap_or(0);
        assert!(most <= BORNE, "{entries} entries: {sends:?}");
    }
}

// FAILBACK at a large fleet: each entry might send one request, however many entries there are.
#[test]
fn more_entries_than_a_cold_engine_bears_requests_do_not_send_one_each() {
    let sends = sends_to_each(100, 100, 1, at(10_000));

    assert!(sends[0] > 0 && sends[0] <= 28, "{sends:?}");
}
