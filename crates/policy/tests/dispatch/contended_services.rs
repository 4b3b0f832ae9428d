//! Load patterns at a contended service: a burst of the less urgent rank, one rank only, ranks without load.

use balsamjunction_policy::dispatch::{
    contention::{
        order_queue, Contention, ContentionMode, FirstEventObservation, QueuePosition, MAX_WAITING,
    },
    SelectedUpstream,
};
use proptest::prelude::*;

use super::*;

const URGENT: u8 = 0;
const LESS_URGENT: u8 = 2;

/// A cluster with four upstreams of four slots each, and so a window of 16 requests if the service is contended.
fn cluster_with(contention: ContentionMode) -> TestCluster {
    let mut cluster = TestCluster::with_contention(contention);
    for id in ["e-1", "e-2", "e-3", "e-4"] {
        let record = engine_record(id, "addis-a");
        cluster.register(Moment::ZERO, UpstreamRecord { slots: 4, ..record });
    }
    cluster
}

fn contended_cluster() -> TestCluster {
    cluster_with(ContentionMode::On)
}

fn request(now: Moment, rank: u8, target_ms: u64) -> RequestRequirements {
    RequestRequirements {
        rank,
        first_event_deadline: now + millis(target_ms),
        target_latency: millis(target_ms),
        caller_leaves_at: now + millis(3_200),
        ..engine_request(now)
    }
}

fn submit_many(
    cluster: &mut TestCluster,
    now: Moment,
    rank: u8,
    count: usize,
) -> Vec<DispatchDecision> {
    let submit = |_| cluster.dispatcher.submit(now, request(now, rank, 1_000));
    (0..count).map(submit).collect()
}

fn sent(decisions: &[DispatchDecision]) -> Vec<SelectedUpstream> {
    let sent = decisions.iter().filter_map(|decision| match decision {
        DispatchDecision::Send(selected) => Some(selected.clone()),
        DispatchDecision::Wait(_) | DispatchDecision::Refuse(_) => None,
    });
    sent.collect()
}

fn complete(cluster: &mut TestCluster, now: Moment, selected: &SelectedUpstream) {
    cluster
        .dispatcher
        .record_first_event(now, selected, 979.0, 150.0);
    cluster
        .dispatcher
        .record_outcome(now, selected.upstream, 0.0, AttemptOutcome::Served);
}

fn ranks(decisions: &[DispatchDecision]) -> Vec<u8> {
    let sent = sent(decisions).into_iter();
    sent.filter_map(|selected| Some(selected.queueing?.rank))
        .collect()
}

/// Guards against a burst of the less urgent rank that takes every slot before an urgent request arrives.
#[test]
fn an_urgent_request_is_sent_before_a_burst_of_less_urgent_ones_that_waits() {
    let mut cluster = contended_cluster();
    let now = millis(5_000);
    let running = sent(&submit_many(&mut cluster, now, LESS_URGENT, 60));
    let urgent = cluster.dispatcher.submit(now, request(now, URGENT, 400));

    complete(&mut cluster, now + millis(150), &running[0]);
    let decisions = cluster.dispatcher.poll(now + millis(150)).into_iter();
    let decisions: Vec<_> = decisions.map(|(_, decision)| decision).collect();

    assert!(matches!(urgent, DispatchDecision::Wait(_)));
    assert_eq!(ranks(&decisions), [URGENT]);
}

/// Guards against a window that grows without bound while requests wait.
#[test]
fn requests_beyond_the_window_wait() {
    let mut cluster = contended_cluster();
    let now = millis(5_000);

    let decisions = submit_many(&mut cluster, now, URGENT, 30);

    assert_eq!(sent(&decisions).len(), 16);
    let waiting = decisions
        .iter()
        .filter(|decision| matches!(decision, DispatchDecision::Wait(_)));
    assert_eq!(waiting.count(), 14);
}

/// Guards against less urgent requests that are never sent while more urgent ones keep arriving.
#[test]
fn less_urgent_requests_are_sent_while_urgent_ones_wait() {
    let mut cluster = contended_cluster();
    let mut now = millis(5_000);
    let mut running = sent(&submit_many(&mut cluster, now, URGENT, 16));
    let mut sent_ranks = Vec::new();

    for _ in 0..200 {
        now += millis(20);
        let mut decisions = submit_many(&mut cluster, now, URGENT, 1);
        decisions.extend(submit_many(&mut cluster, now, LESS_URGENT, 1));
        complete(&mut cluster, now, &running.remove(0));
        let polled = cluster.dispatcher.poll(now).into_iter();
        decisions.extend(polled.map(|(_, decision)| decision));
        sent_ranks.extend(ranks(&decisions));
        running.extend(sent(&decisions));
    }

    let less_urgent = sent_ranks.iter().filter(|rank| **rank == LESS_URGENT);
    let less_urgent = less_urgent.count();
    // A tenth of the departures, less those before the first request was owed; the urgent ones keep most of the rest.
    assert!(less_urgent >= 15, "{less_urgent} less urgent requests sent");
    assert!(sent_ranks.len() - less_urgent >= 150, "{sent_ranks:?}");
}

/// Guards against a request that is held although its caller will have left before its turn.
#[test]
fn a_request_whose_caller_leaves_before_its_turn_is_refused_at_once() {
    let mut cluster = contended_cluster();
    let now = millis(5_000);
    // One second of departures at this rate lasts longer than any caller waits.
    submit_many(&mut cluster, now, URGENT, 100);

    let decision = cluster
        .dispatcher
        .submit(now + millis(2_000), request(now, LESS_URGENT, 1_000));

    let DispatchDecision::Refuse(refusal) = decision else {
        panic!("expected a refusal, got {decision:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Overload);
    assert!(refusal.retry_after >= millis(150));
}

/// Guards against callers that have left and still hold a place in the queue.
#[test]
fn a_waiting_request_is_refused_when_its_caller_is_about_to_leave() {
    let mut cluster = contended_cluster();
    let now = millis(5_000);
    submit_many(&mut cluster, now, URGENT, 20);

    let decisions = cluster.dispatcher.poll(now + millis(3_201));

    assert_eq!(decisions.len(), 4);
    assert!(decisions
        .iter()
        .all(|(_, decision)| matches!(decision, DispatchDecision::Refuse(_))));
}

/// Guards against the estimate that named a sixth of the time that first events took under load.
#[test]
fn the_expected_time_follows_the_observed_one_within_half_a_second() {
    let mut cluster = contended_cluster();
    let mut now = millis(5_000);
    let mut expected_ms = 0.0;

    // Some 30 first events a second, each 800 ms after its request was sent.
    for _ in 0..15 {
        now += millis(33);
        let decision = cluster.dispatcher.submit(now, request(now, URGENT, 2_000));
        let DispatchDecision::Send(selected) = decision else {
            panic!("expected the request to be sent, got {decision:?}");
        };
        expected_ms = selected.expected_ms;
        let dispatcher = &mut cluster.dispatcher;
        dispatcher.record_first_event(now, &selected, 979.0, 800.0);
        dispatcher.record_outcome(now, selected.upstream, 0.0, AttemptOutcome::Served);
    }

    assert!((400.0..=1_600.0).contains(&expected_ms), "{expected_ms}");
}

/// Guards against a change for deployments whose routes all have one rank.
#[test]
fn a_service_without_ranks_is_not_contended() {
    let mut cluster = cluster_with(ContentionMode::Auto);
    let now = millis(5_000);

    let decision = cluster.dispatcher.submit(now, request(now, URGENT, 400));

    let DispatchDecision::Send(selected) = decision else {
        panic!("expected the request to be sent, got {decision:?}");
    };
    assert_eq!(selected.queueing, None);
}

fn observation(took_ms: f64, in_flight: usize) -> FirstEventObservation {
    FirstEventObservation {
        took_ms,
        estimated_ms: 100.0,
        target_ms: 400.0,
        in_flight,
    }
}

proptest! {
    /// Guards against a window that closes entirely or exceeds its bound, whatever the times to the first event.
    #[test]
    fn the_window_stays_within_its_bounds(
        fair_share in 1.0..200.0_f64,
        observed in prop::collection::vec((0.0..10_000.0_f64, 0..1_000_usize), 1..400),
    ) {
        let mut state = Contention::new(fair_share);
        let mut now = millis(1_000);
        for (took_ms, in_flight) in observed {
            now += millis(20);
            state.record_first_event(now, observation(took_ms, in_flight));
        }
        prop_assert!(state.window() >= (fair_share * 0.8).max(1.0) - 1e-6);
        prop_assert!(state.window() <= fair_share * 4.0 + 1e-6);
        prop_assert!(state.admits(now, 9, 0));
    }

    /// Guards against an order in which a request that can still meet its deadline waits for a late one of its rank.
    #[test]
    fn the_queue_is_ordered_by_rank_then_lateness_then_deadline(
        entries in prop::collection::vec((0..4_u8, any::<bool>(), 0..5_000_u64), 1..MAX_WAITING / 20),
    ) {
        let positions = entries.iter().enumerate();
        let mut queue: Vec<(QueuePosition, usize)> = positions
            .map(|(n, (rank, late, deadline))| {
                let position = QueuePosition {
                    first_attempt: true,
                    rank: *rank,
                    late: *late,
                    deadline: millis(*deadline),
                    since: Moment::ZERO,
                };
                (position, n)
            })
            .collect();
        order_queue(&mut queue, false);
        let keys = queue.iter().map(|(p, _)| (p.rank, p.late, p.deadline));
        prop_assert!(keys.clone().zip(keys.skip(1)).all(|(a, b)| a <= b));
    }
}
