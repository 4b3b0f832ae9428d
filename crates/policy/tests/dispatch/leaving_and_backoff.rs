//! Upstreams whose responses state that they are leaving or ask for a backoff.

use super::*;

/// Registers two plain upstreams, sends one request, and returns the key and id of its upstream.
fn register_two_and_send(cluster: &mut TestCluster) -> (UpstreamKey, SmolStr) {
    cluster.register(millis(0), plain_record("d1"));
    cluster.register(millis(0), plain_record("d2"));
    let selected = cluster
        .try_send(millis(1), plain_request(millis(1)))
        .expect("there is capacity");
    (selected.upstream, cluster.upstream_id(selected.upstream))
}

/// Sends up to `count` requests and returns the ids of their upstreams.
fn send_many(cluster: &mut TestCluster, now: Moment, count: usize) -> Vec<SmolStr> {
    (0..count)
        .filter_map(|_| cluster.try_send_id(now, plain_request(now)))
        .collect()
}

// Guards against new requests to an upstream that reported that it is leaving while the registry still lists
// it as ready.
#[test]
fn an_upstream_that_reported_leaving_is_unavailable_even_if_listed_as_ready() {
    let mut cluster = TestCluster::new();
    let (key, id) = register_two_and_send(&mut cluster);

    let changed = [(); 2].map(|()| cluster.dispatcher.mark_leaving(key, false));
    let allowed_after_connect =
        cluster
            .dispatcher
            .may_serve(millis(3), key, &plain_request(millis(1)));
    let sends = send_many(&mut cluster, millis(4), 12);
    cluster.register(millis(5), plain_record(&id));
    let sends_after_update = send_many(&mut cluster, millis(6_000), 12);

    assert_eq!(changed, [true, false]);
    assert!(!allowed_after_connect);
    assert!(!sends.is_empty() && !sends.contains(&id));
    assert!(!sends_after_update.contains(&id));
}

// Guards against a leaving upstream that receives requests again because its record was missing from the
// registry for a while.
#[test]
fn an_upstream_missing_from_the_registry_keeps_its_state_when_it_reappears() {
    let mut cluster = TestCluster::new();
    let (key, id) = register_two_and_send(&mut cluster);
    cluster.dispatcher.mark_leaving(key, false);

    cluster.apply_change(millis(10), Subject::Upstream(id.clone()), None);
    cluster.register(millis(900), plain_record(&id));
    let after_reappearance = send_many(&mut cluster, millis(901), 8);
    let restarted = UpstreamRecord {
        born_ms: 2,
        ..plain_record(&id)
    };
    cluster.register(millis(5_000), restarted);
    let after_restart = send_many(&mut cluster, millis(5_001), 8);

    assert!(!after_reappearance.contains(&id));
    assert!(after_restart.contains(&id));
}

// Guards against memory use that grows with every upstream that was ever registered.
#[test]
fn upstreams_missing_from_the_registry_are_removed_eventually() {
    let mut cluster = TestCluster::new();
    for n in 0..1_200 {
        let id = format!("d{n}");
        cluster.register(millis(n), plain_record(&id));
        cluster.apply_change(millis(n), Subject::Upstream(id.into()), None);
    }
    cluster.register(millis(2_000), plain_record("d1150"));

    let sent = cluster.try_send(millis(2_001), plain_request(millis(2_001)));
    let counts = cluster.dispatcher.count_by_condition(millis(2_001));

    assert!(sent.is_some());
    assert_eq!(counts.values().sum::<usize>(), 1);
}

// Guards against marking the wrong upstream: the one that the request was sent to no longer exists, and the
// one that uses its address now is leaving.
#[test]
fn a_misdirected_response_marks_its_sender_as_leaving() {
    let mut cluster = TestCluster::new();
    let (key, id) = register_two_and_send(&mut cluster);
    let other = match id.as_str() {
        "d1" => "d2",
        _ => "d1",
    };

    let changed = cluster.dispatcher.mark_leaving(key, true);
    let sends = send_many(&mut cluster, millis(4), 12);

    assert!(changed);
    assert!(sends.contains(&id) && !sends.iter().any(|sent| sent == other));
}

// Guards against requests to an upstream during its backoff (Retry-After), including one that was selected
// before and has no connection yet.
#[test]
fn an_upstream_receives_nothing_until_its_backoff_ends() {
    let mut cluster = TestCluster::new();
    let (key, id) = register_two_and_send(&mut cluster);

    let backoff = cluster
        .dispatcher
        .back_off(millis(10), key, Some(millis(2_000)));
    // A shorter backoff does not end a longer one.
    cluster
        .dispatcher
        .back_off(millis(20), key, Some(millis(100)));
    let allowed_after_connect =
        cluster
            .dispatcher
            .may_serve(millis(12), key, &plain_request(millis(1)));
    let during_backoff = send_many(&mut cluster, millis(2_009), 12);
    cluster
        .dispatcher
        .record_outcome(millis(2_009), key, 0.0, AttemptOutcome::Rejected);
    let after = send_many(&mut cluster, millis(9_000), 12);

    assert_eq!(backoff, millis(2_000));
    assert!(!allowed_after_connect);
    assert!(!during_backoff.is_empty() && !during_backoff.contains(&id));
    assert!(after.contains(&id));
}

// Guards against callers that wait for capacity that cannot become free, or retry before it can.
#[test]
fn with_all_upstreams_in_backoff_a_request_is_refused_until_the_first_backoff_ends() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), plain_record("d1"));
    cluster.register(millis(0), plain_record("d2"));
    // Enough requests to use both upstreams.
    let sent = (0..12).filter_map(|_| cluster.try_send(millis(1), plain_request(millis(1))));
    let keys: BTreeSet<_> = sent.map(|selected| selected.upstream).collect();

    for (key, backoff) in keys.iter().zip([3_000, 1_500]) {
        cluster
            .dispatcher
            .back_off(millis(10), *key, Some(millis(backoff)));
    }
    let decision = cluster.submit(millis(100), plain_request(millis(100)));

    let DispatchDecision::Refuse(refusal) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::BackingOff);
    assert_eq!(refusal.retry_after, millis(1_410));
}

#[test]
fn a_waiting_request_is_refused_when_the_last_upstream_starts_a_backoff() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), plain_record("d1"));
    let first = cluster
        .try_send(millis(1), plain_request(millis(1)))
        .expect("there is capacity");
    while cluster
        .try_send(millis(1), plain_request(millis(1)))
        .is_some()
    {}
    let DispatchDecision::Wait(wait_key) = cluster.submit(millis(2), plain_request(millis(2)))
    else {
        panic!("the request does not wait");
    };

    cluster
        .dispatcher
        .back_off(millis(5), first.upstream, Some(millis(2_000)));
    let decisions = cluster.dispatcher.poll(millis(5));

    assert_eq!(decisions.len(), 1);
    let (key, decision) = &decisions[0];
    assert_eq!(*key, wait_key);
    assert!(
        matches!(decision, DispatchDecision::Refuse(r) if r.reason == RefusalReason::BackingOff)
    );
}

#[test]
fn backoffs_that_are_too_long_or_cannot_be_parsed_are_bounded() {
    let mut cluster = TestCluster::new();
    let (key, _) = register_two_and_send(&mut cluster);

    let unparsable = cluster.dispatcher.back_off(millis(10), key, None);
    let endless = cluster
        .dispatcher
        .back_off(millis(10), key, Some(Moment::MAX));

    assert_eq!(unparsable, millis(1_000));
    assert_eq!(endless, Moment::from_secs(24 * 3_600));
}
