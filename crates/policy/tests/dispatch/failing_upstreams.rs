//! Upstreams that fail, are slow, or no longer match the registry.

use super::*;

#[test]
fn an_upstream_that_fails_repeatedly_is_ejected_and_tried_later() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), plain_record("d1"));
    cluster.register(millis(0), plain_record("d2"));
    let mut failing = None;
    for n in 0..8 {
        let now = millis(10 * n);
        let selected = cluster
            .try_send(now, plain_request(now))
            .expect("there is capacity");
        let failing = *failing.get_or_insert(selected.upstream);
        let outcome = match selected.upstream == failing {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Served,
        };
        cluster
            .dispatcher
            .record_outcome(now, selected.upstream, 0.0, outcome);
    }
    let failing = cluster.upstream_id(failing.expect("a request was sent"));

    let soon: Vec<_> = (0..4)
        .filter_map(|_| cluster.try_send_id(millis(200), plain_request(millis(200))))
        .collect();
    let mut later = Vec::new();
    for _ in 0..4 {
        later.extend(cluster.try_send_id(millis(9_000), plain_request(millis(9_000))));
    }

    assert!(!soon.contains(&failing));
    assert!(later.contains(&failing));
}

#[test]
fn the_only_upstream_is_used_even_while_it_is_ejected() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), plain_record("d1"));
    let selected = cluster
        .try_send(millis(0), plain_request(millis(0)))
        .expect("there is capacity");
    cluster.dispatcher.record_outcome(
        millis(0),
        selected.upstream,
        0.0,
        AttemptOutcome::Unreachable,
    );

    assert!(cluster
        .try_send(millis(10), plain_request(millis(10)))
        .is_some());
}

#[test]
fn an_engine_that_restarted_receives_nothing_until_the_registry_is_updated() {
    let mut cluster = TestCluster::new();
    let old = engine_record("old", "addis-a");
    cluster.register(millis(0), old.clone());
    let status = EngineStatus {
        address: old.address,
        service: old.service.clone(),
        born_ms: 2,
        serving: Some((MODEL.into(), 1)),
        turning: false,
        pace_percent: 100,
    };

    cluster.configure(std::slice::from_ref(&status), 1);
    let before = cluster.submit(millis(2), engine_request(millis(2)));
    let restarted = UpstreamRecord {
        id: "new".into(),
        born_ms: 2,
        ..old.clone()
    };
    cluster.register(millis(3), restarted);
    cluster.apply_change(millis(3), Subject::Upstream(old.id), None);
    cluster.configure(&[status], 1);
    let after = cluster.try_send_id(millis(4), engine_request(millis(4)));

    assert!(matches!(
        before,
        DispatchDecision::Refuse(refusal) if refusal.reason == RefusalReason::NoUpstream
    ));
    assert_eq!(after.as_deref(), Some("new"));
}

#[test]
fn an_upstream_whose_address_was_taken_over_receives_nothing_more() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), plain_record("gone"));
    let selected = cluster
        .try_send(millis(1), plain_request(millis(1)))
        .expect("the upstream is available");

    cluster.dispatcher.record_outcome(
        millis(2),
        selected.upstream,
        0.0,
        AttemptOutcome::Misdirected,
    );
    let soon = cluster.try_send(millis(3), plain_request(millis(3)));
    cluster.configure(&[], 1);
    let later = cluster.try_send(millis(5_000), plain_request(millis(5_000)));
    let restarted = UpstreamRecord {
        born_ms: 2,
        ..plain_record("gone")
    };
    cluster.register(millis(5_001), restarted);
    let after_restart = cluster.try_send(millis(5_002), plain_request(millis(5_002)));

    assert_eq!((soon, later), (None, None));
    assert!(after_restart.is_some());
}

#[test]
fn a_slow_engine_receives_fewer_requests_by_its_own_report() {
    let mut cluster = TestCluster::new();
    let mut slow = engine_record("slow", "addis-a");
    slow.address = "10.0.0.2:80".parse().expect("an address");
    cluster.register(millis(0), slow.clone());
    cluster.register(millis(0), engine_record("usual", "addis-a"));
    let status = EngineStatus {
        address: slow.address,
        service: slow.service,
        born_ms: 1,
        serving: Some((MODEL.into(), 1)),
        turning: false,
        pace_percent: 400,
    };
    cluster.configure(&[status], 1);

    let ids: Vec<_> = (0..3)
        .filter_map(|_| cluster.try_send_id(millis(2), engine_request(millis(2))))
        .collect();

    assert_eq!(ids, ["usual", "usual", "usual"]);
}
