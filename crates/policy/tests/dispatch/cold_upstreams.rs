//! Cold upstreams, and the rate limit that entries share for them.

use super::*;

#[test]
fn entries_share_the_rate_limit_of_a_cold_engine() {
    let mut cluster = TestCluster::new();
    let mut cold = engine_record("cold", "addis-a");
    cold.cold_remaining_ms = 3_000;
    cluster.register(millis(10_000), cold);
    cluster.configure(&[], 4);

    let mut sent = 0;
    for n in 0..200 {
        let now = millis(10_000 + 5 * n);
        if let Some(selected) = cluster.try_send(now, engine_request(now)) {
            cluster.dispatcher.record_outcome(
                now,
                selected.upstream,
                900.0,
                AttemptOutcome::Served,
            );
            sent += 1;
        }
    }

    // The limit is 28 per second for all four entries together.
    assert_eq!(sent, 7);
}

/// Number of requests that all `entries` together send to each cold engine within a second, from `now` on.
/// Each entry has 40 to send and knows itself only, unless `known` equals `entries`.
fn sends_per_engine(entries: usize, known: usize, engines: usize, now: Moment) -> Vec<usize> {
    let mut sends = vec![0; engines];
    for own in 0..entries {
        let mut cluster = TestCluster::new();
        for n in 0..engines {
            let mut cold = engine_record(&format!("cold{n:03}"), "addis-a");
            cold.cold_remaining_ms = 3_000;
            cluster.register(now, cold);
        }
        let mut visible = test_entries(own, entries);
        let own = visible.own.clone();
        let is_known = |name: &SmolStr| *name == own || known == entries;
        visible.all.retain(|entry| is_known(&entry.host));
        visible.local.retain(is_known);
        cluster.configure_entries(&[], visible);
        for n in 0..40 {
            let time = now + millis(25 * n);
            let Some(selected) = cluster.try_send(time, engine_request(time)) else {
                continue;
            };
            let id = cluster.upstream_id(selected.upstream);
            let number: usize = id.trim_start_matches("cold").parse().expect("a number");
            sends[number] += 1;
            cluster.dispatcher.record_outcome(
                time,
                selected.upstream,
                900.0,
                AttemptOutcome::Served,
            );
        }
    }
    sends
}

/// Requests that a cold engine can handle in a second by the platform's rule, at a rate of 28 per second.
const MAX_COLD_REQUESTS: usize = 28 * 3 / 2 + 5;

// Guards against overload of a cold engine after a power failure: each entry that had just started knew
// itself only, used the whole rate limit of a cold engine, and selected the same engine as the others.
#[test]
fn entries_that_restart_together_do_not_overload_a_cold_engine() {
    for (entries, engines) in [(13, 38), (35, 24)] {
        let sends = sends_per_engine(entries, 1, engines, millis(100));

        let most = sends.iter().max().copied().unwrap_or(0);
        assert!(most <= MAX_COLD_REQUESTS, "{entries} entries: {sends:?}");
    }
}

// Guards against one request from each entry, which exceeded the limit in a fleet with many entries.
#[test]
fn more_entries_than_the_cold_rate_do_not_send_one_request_each() {
    let sends = sends_per_engine(100, 100, 1, millis(10_000));

    assert!(sends[0] > 0 && sends[0] <= 28, "{sends:?}");
}

// Guards against requests that count from their selection while a cold engine counts them from when they are sent: two of
// each gateway arrived within a second if the connection of the first one took long.
#[test]
fn slow_connections_do_not_bring_two_requests_into_one_second() {
    let mut sent = Vec::new();
    for own in 0..35 {
        let mut cluster = TestCluster::new();
        let mut cold = engine_record("cold", "addis-a");
        cold.cold_remaining_ms = 3_000;
        cluster.register(millis(10_000), cold);
        cluster.configure_entries(&[], test_entries(own, 35));
        for (selected_at, delay) in [(10_000, 300), (11_000, 0)] {
            let now = millis(selected_at);
            let Some(selected) = cluster.try_send(now, engine_request(now)) else {
                continue;
            };
            let now = now + millis(delay);
            if cluster.dispatcher.confirm_send(now, &selected) {
                sent.push(now);
            }
        }
    }

    let window = millis(10_300)..millis(11_300);
    let sent = sent.iter().filter(|at| window.contains(at)).count();

    assert!(sent > 0 && sent <= MAX_COLD_REQUESTS, "{sent} requests");
}
