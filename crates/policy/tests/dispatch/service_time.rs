//! Upstreams that state how long work takes on their host at the moment.

use proptest::prelude::*;

use super::*;

/// A cluster with plain upstreams `p0` and `p1`, and their keys.
fn two_plain_upstreams() -> (TestCluster, [UpstreamKey; 2]) {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), plain_record("p0"));
    cluster.register(millis(0), plain_record("p1"));
    let keys = ["p0", "p1"].map(|id| key_of(&mut cluster, "order-desk", id));
    (cluster, keys)
}

/// Finds an upstream's key by sending requests until it is selected.
fn key_of(cluster: &mut TestCluster, service: &str, id: &str) -> UpstreamKey {
    let mut tried = Vec::new();
    loop {
        let mut request = match service {
            "order-desk" => plain_request(millis(0)),
            _ => engine_request(millis(0)),
        };
        request.tried = tried.clone();
        let selected = cluster
            .try_send(millis(0), request)
            .expect("the upstream is registered");
        let key = selected.upstream;
        let cancelled = AttemptOutcome::Cancelled;
        cluster
            .dispatcher
            .record_outcome(millis(0), key, 900.0, cancelled);
        if cluster.upstream_id(key) == id {
            return key;
        }
        tried.push(key);
    }
}

fn state(cluster: &mut TestCluster, now: Moment, key: UpstreamKey, percent: u32) {
    let report = load_report(0, 0, Some(percent));
    cluster.dispatcher.record_load(now, key, report);
}

fn expected_ms(cluster: &mut TestCluster, now: Moment, request: RequestRequirements) -> f64 {
    let selected = cluster.try_send(now, request).expect("there is capacity");
    let cancelled = AttemptOutcome::Cancelled;
    cluster
        .dispatcher
        .record_outcome(now, selected.upstream, 900.0, cancelled);
    selected.expected_ms
}

// Guards against selecting an upstream that has just stated that it is slow.
#[test]
fn an_upstream_that_states_that_it_is_slow_is_avoided_until_the_value_is_old() {
    let (mut cluster, keys) = two_plain_upstreams();
    let usual = cluster.try_send_id(millis(0), plain_request(millis(0)));
    let preferred = keys[usize::from(usual.as_deref() == Some("p1"))];

    state(&mut cluster, millis(100), preferred, 250);
    let soon = cluster
        .try_send(millis(110), plain_request(millis(110)))
        .expect("there is capacity");
    let later = cluster
        .try_send(millis(5_000), plain_request(millis(5_000)))
        .expect("there is capacity");

    assert_ne!(soon.upstream, preferred);
    assert_eq!(later.upstream, preferred);
}

#[test]
fn an_engine_that_states_that_it_is_slow_is_avoided() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("e0", "addis-a"));
    cluster.register(millis(0), engine_record("e1", "addis-a"));
    let slow = key_of(&mut cluster, "deck-model", "e0");

    state(&mut cluster, millis(100), slow, 250);
    let selected = (0..2).map(|_| cluster.try_send(millis(110), engine_request(millis(110))));
    let selected: Vec<_> = selected.flatten().map(|s| s.upstream).collect();

    assert!(
        selected.len() == 2 && !selected.contains(&slow),
        "{selected:?}"
    );
}

// Guards against a change for upstreams that state no service time.
#[test]
fn a_load_without_a_service_time_leaves_estimates_and_the_service_as_they_were() {
    let (mut cluster, keys) = two_plain_upstreams();
    let before = expected_ms(&mut cluster, millis(100), plain_request(millis(100)));

    for key in keys {
        let report = load_report(0, 0, None);
        cluster.dispatcher.record_load(millis(100), key, report);
    }

    let after = expected_ms(&mut cluster, millis(100), plain_request(millis(100)));
    assert_eq!(before, after);
    assert!(!cluster.dispatcher.reports_service_time("order-desk"));
    state(&mut cluster, millis(200), keys[0], 100);
    assert!(cluster.dispatcher.reports_service_time("order-desk"));
    assert!(!cluster.dispatcher.reports_service_time("deck-model"));
}

// Guards against refusing requests because every upstream is slow.
#[test]
fn requests_are_sent_although_all_upstreams_are_slow() {
    let (mut cluster, keys) = two_plain_upstreams();

    for key in keys {
        state(&mut cluster, millis(100), key, 10_000);
    }

    let selected = cluster.try_send(millis(110), plain_request(millis(110)));
    assert!(selected.is_some_and(|s| s.expected_ms <= 8.0 * 20.0));
}

// Guards against a false value that keeps an upstream out of use, or that a whole pool would wait for.
#[test]
fn observed_times_correct_a_false_service_time() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), plain_record("p0"));
    let key = key_of(&mut cluster, "order-desk", "p0");
    state(&mut cluster, millis(0), key, 10_000);
    let uncorrected = expected_ms(&mut cluster, millis(1), plain_request(millis(1)));

    for n in 1..=60 {
        let now = millis(20 * n);
        let selected = cluster
            .try_send(now, plain_request(now))
            .expect("there is capacity");
        state(&mut cluster, now, key, 10_000);
        cluster
            .dispatcher
            .record_first_event(now, &selected, 0.0, 20.0);
        let served = AttemptOutcome::Served;
        cluster.dispatcher.record_outcome(now, key, 0.0, served);
    }

    let corrected = expected_ms(&mut cluster, millis(1_200), plain_request(millis(1_200)));
    assert!(uncorrected > 100.0, "{uncorrected}");
    assert!(corrected < 30.0, "{corrected}");
}

/// Time for which a stated value of 250 raises the expected time by at least 20%, after 60 values of that upstream,
/// 50 ms apart, that changed every `change_ms`.
fn avoided_for_ms(change_ms: u64) -> u64 {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), plain_record("p0"));
    let key = key_of(&mut cluster, "order-desk", "p0");
    for n in 0..60 {
        let at = 50 * n;
        let percent = match (at / change_ms) % 2 {
            0 => 250,
            _ => 100,
        };
        state(&mut cluster, millis(at), key, percent);
    }
    let last = 3_000;
    state(&mut cluster, millis(last), key, 250);
    let elapsed = (0..20_000).step_by(10);
    let slow = elapsed.filter(|after| {
        let now = millis(last + after);
        expected_ms(&mut cluster, now, plain_request(now)) > 24.0
    });
    slow.max().unwrap_or(0)
}

// Guards against a fixed time constant: values of a service that change fast would be believed for too long, and those
// of one that change slowly for too short a time.
#[test]
fn how_long_a_value_is_believed_is_learned_from_how_fast_values_change() {
    let avoided = [100, 600, 3_000].map(avoided_for_ms);

    assert!(avoided.is_sorted(), "{avoided:?}");
    assert!(avoided[0] < 300, "{avoided:?}");
    assert!((400..2_500).contains(&avoided[1]), "{avoided:?}");
    assert!(avoided[2] > 2_500, "{avoided:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(35),
        ..ProptestConfig::default()
    })]

    /// Any history of stated and observed times keeps the estimate within the bounds of a slowdown, and the upstream in
    /// use.
    #[test]
    fn any_history_keeps_the_estimate_within_its_bounds(
        events in prop::collection::vec((0u64..3_000, any::<u32>(), 0.0..1e6f64), 1..60),
    ) {
        let mut cluster = TestCluster::new();
        cluster.register(millis(0), plain_record("p0"));
        let key = key_of(&mut cluster, "order-desk", "p0");
        let mut now = millis(1);
        for (wait_ms, percent, took_ms) in events {
            now += millis(wait_ms);
            let selected = cluster
                .try_send(now, plain_request(now))
                .expect("there is capacity");
            prop_assert!((0.8 * 20.0..=8.0 * 20.0).contains(&selected.expected_ms));
            state(&mut cluster, now, key, percent);
            let dispatcher = &mut cluster.dispatcher;
            dispatcher.record_first_event(now, &selected, 0.0, took_ms);
            dispatcher.record_outcome(now, key, 0.0, AttemptOutcome::Served);
        }
    }
}
