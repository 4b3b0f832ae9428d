//! Versions that are published while engines serve older ones.

use super::*;

fn publish(cluster: &mut TestCluster, now: Moment, version: u64) {
    cluster.apply_change(
        now,
        Subject::Version(MODEL.into()),
        Some(Fact::Version(version)),
    );
}

#[test]
fn an_engine_without_the_model_receives_nothing() {
    let mut cluster = TestCluster::new();
    let mut empty = engine_record("empty", "addis-a");
    empty.models = Some(Vec::new());
    cluster.register(millis(0), empty);

    assert!(cluster
        .try_send(millis(10), engine_request(millis(10)))
        .is_none());
}

#[test]
fn the_old_version_receives_requests_until_its_send_window_ends() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("old", "addis-a"));
    publish(&mut cluster, millis(1_000), 2);

    let early = cluster.try_send(millis(2_000), engine_request(millis(2_000)));
    cluster.configure(&[], 1);
    let late = cluster.try_send(millis(8_100), engine_request(millis(8_100)));

    assert!(early.is_some() && late.is_none());
}

// Guards against requests that are sent to engines with an overdue version until the next update or tick.
#[test]
fn the_send_window_of_the_old_version_ends_without_an_update() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("old", "addis-a"));
    publish(&mut cluster, millis(1_000), 2);

    let early = cluster.try_send(millis(7_999), engine_request(millis(7_999)));
    let late = cluster.try_send(millis(8_000), engine_request(millis(8_000)));

    assert!(early.is_some() && late.is_none());
}

// Guards against requests that are sent in time to a busy engine and start there on an overdue version.
#[test]
fn a_request_expected_to_start_after_the_deadline_of_its_version_is_not_sent() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("old", "addis-a"));
    publish(&mut cluster, millis(1_000), 2);
    let patient = |now| RequestRequirements {
        first_event_deadline: now + Moment::from_secs(3),
        prompt_tokens: 8_000.0,
        ..engine_request(now)
    };

    let idle = cluster.try_send(millis(7_000), patient(millis(7_000)));
    for _ in 0..3 {
        cluster.try_send(millis(7_990), patient(millis(7_990)));
    }
    let behind_others = cluster.try_send(millis(7_990), patient(millis(7_990)));

    assert!(idle.is_some_and(|selected| selected.expected_ms < 600.0));
    assert_eq!(behind_others, None);
}

// Guards against requests that start on an overdue version since the link to the engine is congested (abay-deck-large).
#[test]
fn a_request_whose_connection_takes_long_is_not_sent_shortly_before_the_start_deadline() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("old", "addis-a"));
    publish(&mut cluster, millis(1_000), 2);
    let request = RequestRequirements {
        first_event_deadline: millis(10_000),
        prompt_tokens: 8_000.0,
        ..engine_request(millis(7_690))
    };
    let selected = cluster.try_send(millis(7_690), request.clone());
    let selected = selected.expect("the engine is idle");

    let dispatcher = &cluster.dispatcher;
    let after_10_ms = dispatcher.starts_in_time(millis(7_700), &selected, &request);
    let after_300_ms = dispatcher.starts_in_time(millis(7_990), &selected, &request);

    // The start deadline is at 8,600 ms, so that 310 ms are left after 300 ms of connecting and as long on the way.
    assert!(selected.expected_ms > 310.0, "{}", selected.expected_ms);
    assert!(after_10_ms && !after_300_ms);
}

// Guards against windows that begin when an entry learns of a version late, instead of when it was published.
#[test]
fn a_version_received_late_does_not_extend_the_windows() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(900), engine_record("old", "addis-a"));
    let change = Change {
        subject: Subject::Version(MODEL.into()),
        revision: 9,
        fact: Some(Fact::Version(2)),
        known_for_ms: 0,
        era: 0,
        copied: false,
        unconfirmed: false,
    };
    let proof = Verification {
        position: Position {
            era: 0,
            revision: 9,
        },
        queried_at: millis(2_190),
    };

    cluster.replica.apply(millis(2_200), vec![change], proof);
    cluster.configure(&[], 1);
    let early = cluster.try_send(millis(7_899), engine_request(millis(7_899)));
    let late = cluster.try_send(millis(7_900), engine_request(millis(7_900)));

    assert!(early.is_some() && late.is_none());
}

/// Replaces the replica by that of a process whose first read of the facts, at `now`, finds version 2. The
/// peer that sent them has known the version for `known_ms`.
fn find_version_at_startup(cluster: &mut TestCluster, now: Moment, known_ms: u64) {
    let table = cluster
        .directory
        .route_table
        .clone()
        .expect("it is configured");
    let found = |revision, subject, fact| Change {
        subject,
        revision,
        fact: Some(fact),
        known_for_ms: known_ms,
        era: 0,
        copied: false,
        unconfirmed: false,
    };
    let old = engine_record("old", "addis-a");
    let facts = vec![
        found(
            1,
            Subject::Declaration,
            Fact::Declaration(table.declaration.clone()),
        ),
        found(2, Subject::Version(MODEL.into()), Fact::Version(2)),
        found(3, Subject::Upstream(old.id.clone()), Fact::Upstream(old)),
    ];
    let proof = Verification {
        position: Position {
            era: 0,
            revision: 3,
        },
        queried_at: now - millis(10),
    };
    cluster.replica = Replica::default();
    cluster.replica.apply(now, facts, proof);
    cluster.configure(&[], 1);
}

/// The start deadline of the version before the one found at startup.
fn start_deadline(cluster: &mut TestCluster, now: Moment) -> Option<Moment> {
    let selected = cluster.try_send(now, engine_request(now));
    let upstream = selected.expect("the request is sent").upstream;
    cluster
        .dispatcher
        .served_version(upstream, MODEL)?
        .start_deadline
}

// Guards against a start deadline that moves when the first read of the facts is late, although it counts
// from the start of the process.
#[test]
fn the_window_of_a_version_found_at_startup_counts_from_the_start_of_the_process() {
    for found_at in [60_100, 60_900, 61_500] {
        let mut cluster = TestCluster::started_at(millis(60_000));

        find_version_at_startup(&mut cluster, millis(found_at), 0);

        let deadline = start_deadline(&mut cluster, millis(found_at + 10));
        assert_eq!(deadline, Some(millis(60_000) + STARTUP_START_WINDOW));
    }
}

// Guards against requests that start on a version which another process has long known to be overdue.
#[test]
fn a_version_that_a_peer_has_known_for_long_ends_the_windows_at_once() {
    let mut cluster = TestCluster::started_at(millis(60_000));

    find_version_at_startup(
        &mut cluster,
        millis(60_100),
        OLD_VERSION_START_WINDOW.as_millis() as u64,
    );

    let sent = cluster.try_send(millis(60_110), engine_request(millis(60_110)));
    assert_eq!(sent, None);
}

// Guards against requests that are written to an upstream which became unavailable while the connection
// was established.
#[test]
fn an_upstream_unavailable_after_selection_receives_nothing() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("old", "addis-a"));
    cluster.register(millis(0), engine_record("leaves", "mekelle-a"));
    publish(&mut cluster, millis(1_000), 2);
    let request = engine_request(millis(7_950));
    let selected = [(); 2].map(|()| {
        let selected = cluster.try_send(millis(7_950), request.clone());
        selected.expect("the request is sent").upstream
    });

    let before = selected.map(|key| cluster.dispatcher.may_serve(millis(7_960), key, &request));
    let overdue = selected.map(|key| cluster.dispatcher.may_serve(millis(8_000), key, &request));
    let mut leaving = engine_record("leaves", "mekelle-a");
    leaving.state = UpstreamState::Draining;
    cluster.register(millis(7_970), leaving);
    let drained: Vec<_> = selected
        .into_iter()
        .filter(|key| !cluster.dispatcher.may_serve(millis(7_980), *key, &request))
        .map(|key| cluster.upstream_id(key))
        .collect();

    assert_eq!((before, overdue), ([true; 2], [false; 2]));
    assert_eq!(drained, ["leaves"]);
}

#[test]
fn a_further_version_does_not_extend_the_windows_of_an_old_one() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("old", "addis-a"));
    publish(&mut cluster, millis(1_000), 2);
    publish(&mut cluster, millis(4_000), 3);

    cluster.configure(&[], 1);

    assert!(cluster
        .try_send(millis(8_100), engine_request(millis(8_100)))
        .is_none());
}

#[test]
fn a_retried_request_goes_to_an_engine_that_has_switched() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("old", "addis-a"));
    let mut switched = engine_record("turned", "mekelle-a");
    switched.models = Some(vec![LoadedModel {
        name: MODEL.into(),
        version: 2,
    }]);
    cluster.register(millis(0), switched);
    publish(&mut cluster, millis(1_000), 2);
    let mut request = engine_request(millis(1_100));
    request.tried = vec![UpstreamKey::default()];

    assert_eq!(
        cluster.try_send_id(millis(1_100), request).as_deref(),
        Some("turned")
    );
}

#[test]
fn streams_aborted_by_a_switch_do_not_count_as_failures_of_the_engine() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("e1", "addis-a"));
    let status = |switching| EngineStatus {
        address: engine_record("e1", "addis-a").address,
        service: "deck-model".into(),
        started_at_ms: 1,
        serving: Some((MODEL.into(), 1)),
        switching,
        service_time_percent: 100,
    };
    let sent: Vec<_> = (0..4)
        .filter_map(|_| cluster.try_send(millis(0), engine_request(millis(0))))
        .collect();

    cluster.configure(&[status(true)], 1);
    let while_switching = cluster.try_send(millis(11), engine_request(millis(11)));
    for selected in sent {
        cluster.dispatcher.record_outcome(
            millis(20),
            selected.upstream,
            900.0,
            AttemptOutcome::Failed,
        );
    }
    cluster.configure(&[status(false)], 1);
    cluster.register(millis(400), engine_record("e2", "mekelle-a"));
    cluster.configure(&[status(false)], 1);

    assert!(while_switching.is_none());
    assert_eq!(
        cluster
            .try_send_id(millis(410), engine_request(millis(410)))
            .as_deref(),
        Some("e1")
    );
}
