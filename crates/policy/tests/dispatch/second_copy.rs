//! Requests at upstreams that turn out to be slow after they were selected.

use balsamjunction_policy::dispatch::{AwaitedResponse, SecondCopyDecision};

use super::*;

/// Target latency of the requests.
const TARGET: Moment = Moment::from_millis(120);

/// A cluster with plain upstreams `p0` and `p1` that state a service time, and a request sent to one of them at `now`.
fn request_in_flight(now: Moment) -> (TestCluster, RequestRequirements, [SelectedUpstream; 2]) {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), plain_record("p0"));
    cluster.register(millis(0), plain_record("p1"));
    let mut request = plain_request(now);
    request.first_event_deadline = now + TARGET;
    let first = cluster
        .try_send(now, request.clone())
        .expect("there is capacity");
    request.tried.push(first.upstream);
    let other = cluster
        .try_send(now, request.clone())
        .expect("there is capacity");
    let cancelled = AttemptOutcome::Cancelled;
    cluster
        .dispatcher
        .record_outcome(now, other.upstream, 0.0, cancelled);
    for selected in [&first, &other] {
        state(&mut cluster, now, selected.upstream, 100);
    }
    (cluster, request, [first, other])
}

fn state(cluster: &mut TestCluster, now: Moment, key: UpstreamKey, percent: u32) {
    let report = load_report(1, 0, Some(percent));
    cluster.dispatcher.record_load(now, key, report);
}

/// Follows the decisions as the gateway does; returns when the second copy is sent.
fn second_copy_at(
    cluster: &mut TestCluster,
    request: &RequestRequirements,
    selected: &SelectedUpstream,
    usual: Moment,
) -> Option<Moment> {
    let sent_at = selected.assigned_at;
    let awaited = AwaitedResponse {
        selected,
        sent_at,
        usual,
    };
    let mut now = sent_at;
    loop {
        let decision = cluster
            .dispatcher
            .decide_second_copy(now, &awaited, request);
        now = match decision {
            SecondCopyDecision::Send => return Some(now),
            SecondCopyDecision::AssessAt(at) if at > now => at,
            SecondCopyDecision::AssessAt(at) => panic!("the time {at:?} is not later"),
            SecondCopyDecision::Never => return None,
        };
    }
}

// Guards against a request that misses its target at a slow upstream although another one could still meet it.
#[test]
fn a_second_copy_is_sent_while_it_can_still_meet_the_target() {
    for percent in [100, 250] {
        let (mut cluster, request, [first, _]) = request_in_flight(millis(1_000));
        state(&mut cluster, millis(1_001), first.upstream, percent);

        let sent = second_copy_at(&mut cluster, &request, &first, Moment::ZERO);

        // The other upstream is expected to take 20 ms, and the caller is 10 ms away.
        let sent = sent.expect("a second copy is sent") - millis(1_000);
        assert!(
            (millis(50)..=millis(90)).contains(&sent),
            "{sent:?} at {percent}"
        );
    }
}

// Guards against a doubled load when no upstream is faster than the first.
#[test]
fn no_second_copy_is_sent_while_all_upstreams_are_slow() {
    for percent in [250, 800] {
        let (mut cluster, request, [first, other]) = request_in_flight(millis(1_000));
        for selected in [&first, &other] {
            state(&mut cluster, millis(1_001), selected.upstream, percent);
        }

        let sent = second_copy_at(&mut cluster, &request, &first, Moment::ZERO);

        assert_eq!(sent, None, "{percent}");
    }
}

// Guards against second copies of every request of a service whose work usually takes about its target latency.
#[test]
fn no_second_copy_is_sent_while_the_first_takes_its_usual_time() {
    let (mut cluster, request, [first, _]) = request_in_flight(millis(1_000));

    let sent = second_copy_at(&mut cluster, &request, &first, millis(75));

    assert_eq!(sent, None);
}

// Guards against a change for services whose upstreams state no service time, and for engines.
#[test]
fn no_second_copy_is_considered_without_a_stated_service_time_or_at_engines() {
    let mut cluster = TestCluster::new();
    for id in ["p0", "p1"] {
        cluster.register(millis(0), plain_record(id));
    }
    for id in ["e0", "e1"] {
        cluster.register(millis(0), engine_record(id, "addis-a"));
    }
    let plain = plain_request(millis(10));
    let engine = engine_request(millis(10));
    let at_plain = cluster.try_send(millis(10), plain.clone());
    let at_engine = cluster.try_send(millis(10), engine.clone());
    let at_plain = at_plain.expect("there is capacity");
    let at_engine = at_engine.expect("there is capacity");
    state(&mut cluster, millis(11), at_engine.upstream, 800);

    for (request, selected) in [(plain, at_plain), (engine, at_engine)] {
        let sent = second_copy_at(&mut cluster, &request, &selected, Moment::ZERO);

        assert_eq!(sent, None, "{}", request.service);
    }
}

// Guards against sending a request that runs once to an upstream that is known to be slow by now.
#[test]
fn a_request_is_sent_elsewhere_only_if_a_later_value_shows_its_upstream_slow_and_another_is_not() {
    let cases = [
        (Some(250), None, true),
        (Some(250), Some(250), false),
        (Some(120), None, false),
        (None, None, false),
    ];
    for (first_percent, other_percent, moved) in cases {
        let (mut cluster, request, [first, other]) = request_in_flight(millis(1_000));
        let stated = [(&first, first_percent), (&other, other_percent)];
        for (selected, percent) in stated {
            if let Some(percent) = percent {
                state(&mut cluster, millis(1_002), selected.upstream, percent);
            }
        }

        let slow = cluster
            .dispatcher
            .find_slow_since_selection(millis(1_003), &first, &request);

        assert_eq!(slow.is_some(), moved, "{first_percent:?} {other_percent:?}");
        if let Some(slow) = slow {
            assert_eq!((slow.percent, slow.age), (250, millis(1)));
        }
    }
}

// Guards against requests that go back and forth: the selection already knew the value.
#[test]
fn a_value_that_the_selection_knew_does_not_move_a_request() {
    let (mut cluster, request, [first, _]) = request_in_flight(millis(1_000));
    state(&mut cluster, millis(1_000), first.upstream, 250);

    let slow = cluster
        .dispatcher
        .find_slow_since_selection(millis(1_003), &first, &request);

    assert_eq!(slow, None);
}
