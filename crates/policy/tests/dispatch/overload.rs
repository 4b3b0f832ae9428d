//! More requests than the engines can start before their deadlines.

use super::*;

/// Sends requests until no more are accepted, and returns how many were sent.
fn send_until_full(cluster: &mut TestCluster, now: Moment) -> usize {
    let mut sent = 0;
    while cluster.try_send(now, engine_request(now)).is_some() {
        sent += 1;
        assert!(sent < 200, "an engine never fills up");
    }
    sent
}

#[test]
fn no_more_requests_are_sent_than_can_start_before_their_deadline() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("e1", "addis-a"));

    let sent = send_until_full(&mut cluster, millis(10));

    // At 20.7 prompt tokens per millisecond, 400 ms are enough to read nine prompts of 900 tokens.
    assert!((4..=9).contains(&sent), "{sent} were sent");
}

#[test]
fn a_request_without_capacity_is_refused_within_an_eighth_of_its_deadline() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("e1", "addis-a"));
    send_until_full(&mut cluster, millis(10));

    let DispatchDecision::Wait(key) = cluster.submit(millis(10), engine_request(millis(10))) else {
        panic!("the request is sent or refused at once");
    };
    let decisions = cluster.dispatcher.poll(millis(10 + 50));

    let refusal = decisions
        .into_iter()
        .find(|(k, _)| *k == key)
        .map(|(_, v)| v);
    assert!(matches!(
        refusal,
        Some(DispatchDecision::Refuse(refusal))
            if refusal.reason == RefusalReason::Overload && refusal.retry_after >= millis(100)
    ));
    assert!(!cluster.dispatcher.has_waiting());
}

#[test]
fn a_waiting_request_is_sent_when_capacity_becomes_free() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("e1", "addis-a"));
    let mut running = Vec::new();
    while let Some(selected) = cluster.try_send(millis(10), engine_request(millis(10))) {
        running.push(selected);
    }
    let decision = cluster.submit(millis(10), engine_request(millis(10)));
    assert!(matches!(decision, DispatchDecision::Wait(_)));

    for selected in &running {
        cluster
            .dispatcher
            .record_first_event(millis(20), selected, 900.0, 100.0);
        cluster.dispatcher.record_outcome(
            millis(20),
            selected.upstream,
            0.0,
            AttemptOutcome::Served,
        );
    }
    let decisions = cluster.dispatcher.poll(millis(20));

    assert!(matches!(decisions[..], [(_, DispatchDecision::Send(_))]));
}

#[test]
fn a_caller_that_disconnects_loses_its_place_in_the_queue() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("e1", "addis-a"));
    send_until_full(&mut cluster, millis(10));
    let DispatchDecision::Wait(key) = cluster.submit(millis(10), engine_request(millis(10))) else {
        panic!("the request does not wait");
    };

    cluster.dispatcher.cancel_wait(key);

    assert!(!cluster.dispatcher.has_waiting());
    assert!(cluster.dispatcher.poll(millis(100)).is_empty());
}

#[test]
fn the_most_urgent_waiting_request_is_sent_first() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("e1", "addis-a"));
    let mut running = Vec::new();
    while let Some(selected) = cluster.try_send(millis(10), engine_request(millis(10))) {
        running.push(selected);
    }
    let mut later = engine_request(millis(10));
    later.priority = 1;
    let mut urgent = engine_request(millis(11));
    urgent.priority = 0;
    let DispatchDecision::Wait(_) = cluster.submit(millis(10), later) else {
        panic!("the request does not wait");
    };
    let DispatchDecision::Wait(urgent) = cluster.submit(millis(11), urgent) else {
        panic!("the request does not wait");
    };

    let ended = running.pop().expect("a request runs");
    cluster
        .dispatcher
        .record_outcome(millis(20), ended.upstream, 900.0, AttemptOutcome::Served);
    let decisions = cluster.dispatcher.poll(millis(20));

    assert_eq!(decisions.first().map(|(key, _)| *key), Some(urgent));
}

// Guards against selecting the engine with the oldest load report, as if it were the least loaded.
#[test]
fn load_by_other_entries_counts_until_its_report_is_old() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("known", "addis-a"));
    cluster.register(millis(0), engine_record("idle", "addis-a"));
    let selected = cluster
        .try_send(millis(0), engine_request(millis(0)))
        .expect("there is capacity");
    let busy = cluster.upstream_id(selected.upstream);

    cluster
        .dispatcher
        .record_load(millis(50), selected.upstream, load_report(16, 6, None));
    cluster
        .dispatcher
        .record_outcome(millis(60), selected.upstream, 900.0, AttemptOutcome::Served);
    let mut later = Vec::new();
    for n in 0..4 {
        let now = millis(800 + n);
        later.extend(cluster.try_send_id(now, engine_request(now)));
    }

    assert!(
        !later.is_empty() && !later.contains(&busy),
        "{later:?} after {busy}"
    );
}
