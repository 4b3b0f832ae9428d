//! Admission control: unit tests, and random event sequences checked against a simple model.

use std::{collections::BTreeMap, time::Duration};

use balsamjunction_policy::{
    gate::{Arrival, CloseReason, Gate, GateAction, GateConfig, RequestKey, RunOutcome},
    limit::LimitBounds,
    queue::Discipline,
    Moment,
};
use balsamjunction_protocol::{Priority, Refusal};
use proptest::prelude::*;

fn config(warm: u32, queue_length: usize) -> GateConfig {
    GateConfig {
        bounds: LimitBounds {
            cold: 1,
            warm,
            warm_up_responses: 2,
            detect_slowdown: true,
        },
        queue_length,
        discipline: Discipline::Fair,
    }
}

fn arrival(workspace: &str) -> Arrival {
    Arrival {
        workspace: workspace.into(),
        weight: 100,
        priority: Priority::Normal,
        cost: 1,
        deadline: Moment::from_secs(3600),
    }
}

fn ms(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn served(first_byte: u64) -> RunOutcome {
    RunOutcome::Served {
        first_byte: ms(first_byte),
    }
}

/// Serves `count` requests one after the other, `service_ms` each.
fn serve(gate: &mut Gate, count: u32, service_ms: u64) {
    for n in 0..count {
        let now = ms(u64::from(n) * service_ms);
        let (key, _) = gate.submit(now, arrival("w"));
        gate.finish(now + ms(service_ms), key, served(service_ms));
    }
}

/// Serves as many concurrent requests as the gate grants, until its limit no longer rises.
fn warm_up(gate: &mut Gate) {
    serve(gate, 3, 10);
    for _ in 0..10 {
        let concurrent = gate.load().limit;
        let keys: Vec<_> = (0..concurrent)
            .map(|_| gate.submit(ms(0), arrival("w")).0)
            .collect();
        for key in keys {
            gate.finish(ms(10), key, served(10));
        }
    }
}

#[test]
fn a_new_upstream_gets_no_more_than_the_cold_limit() {
    let mut gate = Gate::new(config(8, 10));

    let (_, first) = gate.submit(ms(0), arrival("w"));
    let (_, second) = gate.submit(ms(0), arrival("w"));

    assert!(matches!(first[..], [GateAction::Grant(_)]));
    assert!(second.is_empty());
    assert_eq!(gate.load().running, 1);
}

#[test]
fn the_limit_rises_only_after_the_warm_up_responses() {
    let mut gate = Gate::new(config(8, 10));

    serve(&mut gate, 2, 10);
    let during = gate.load().limit;
    serve(&mut gate, 3, 10);

    assert_eq!(during, 1);
    assert!(gate.load().limit > 1);
}

#[test]
fn slow_responses_reset_the_limit_to_cold_without_a_notification() {
    let mut gate = Gate::new(config(8, 10));
    warm_up(&mut gate);
    let warm = gate.load().limit;

    serve(&mut gate, 2, 100);

    assert_eq!(warm, 8);
    assert_eq!(gate.load().limit, 1);
}

#[test]
fn a_cold_upstream_stays_cold_while_its_responses_stay_slow() {
    let mut gate = Gate::new(config(8, 10));
    warm_up(&mut gate);

    serve(&mut gate, 12, 100);

    assert_eq!(gate.load().limit, 1);
}

#[test]
fn a_crash_resets_the_limit_to_cold() {
    let mut gate = Gate::new(config(8, 10));
    warm_up(&mut gate);
    let (key, _) = gate.submit(ms(400), arrival("w"));

    gate.finish(ms(401), key, RunOutcome::Crashed);

    assert_eq!(gate.load().limit, 1);
}

#[test]
fn a_heavy_workspace_cannot_fill_the_queue_against_others() {
    let mut gate = Gate::new(config(1, 4));
    gate.submit(ms(0), arrival("heavy"));
    let heavy: Vec<_> = (0..4)
        .map(|_| gate.submit(ms(0), arrival("heavy")).0)
        .collect();

    let (_, actions) = gate.submit(ms(0), arrival("light"));

    let newest = heavy[3];
    assert!(matches!(
        actions[..],
        [GateAction::Refuse { request, refusal: Refusal::Overloaded, .. }] if request == newest
    ));
}

#[test]
fn a_full_queue_refuses_the_workspace_that_filled_it_at_once() {
    let mut gate = Gate::new(config(1, 2));
    for _ in 0..3 {
        gate.submit(ms(0), arrival("heavy"));
    }

    let (own, actions) = gate.submit(ms(0), arrival("heavy"));

    assert!(matches!(
        actions[..],
        [GateAction::Refuse { request, retry_after, .. }]
            if request == own && retry_after > Duration::ZERO
    ));
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let mut gate = Gate::new(config(1, 100));
    serve(&mut gate, 10, 100);
    for _ in 0..5 {
        gate.submit(ms(2_000), arrival("w"));
    }
    let close_deadline = Arrival {
        deadline: ms(2_150),
        ..arrival("w")
    };

    let (_, actions) = gate.submit(ms(2_000), close_deadline);

    assert!(matches!(
        actions[..],
        [GateAction::Refuse {
            refusal: Refusal::DeadlineTooClose,
            ..
        }]
    ));
}

#[test]
fn a_request_whose_deadline_passes_in_the_queue_is_never_granted() {
    let mut gate = Gate::new(config(1, 10));
    let (running, _) = gate.submit(ms(0), arrival("w"));
    let expiring = Arrival {
        deadline: ms(50),
        ..arrival("w")
    };
    gate.submit(ms(0), expiring);

    let actions = gate.finish(ms(60), running, served(60));

    assert!(matches!(
        actions[..],
        [GateAction::Refuse {
            refusal: Refusal::DeadlinePassed,
            ..
        }]
    ));
}

#[test]
fn draining_refuses_waiting_requests_and_lets_running_ones_finish() {
    let mut gate = Gate::new(config(1, 10));
    gate.submit(ms(0), arrival("w"));
    gate.submit(ms(0), arrival("w"));

    let actions = gate.set_close_reason(ms(1), Some(CloseReason::Draining));

    assert!(matches!(
        actions[..],
        [GateAction::Refuse {
            refusal: Refusal::Draining,
            ..
        }]
    ));
    assert_eq!(gate.load().running, 1);
}

#[test]
fn a_switch_of_versions_keeps_waiting_requests() {
    let mut gate = Gate::new(config(1, 10));
    gate.set_close_reason(ms(0), Some(CloseReason::Switching));
    let (key, queued) = gate.submit(ms(0), arrival("w"));

    let actions = gate.set_close_reason(ms(1), None);

    assert!(queued.is_empty());
    assert_eq!(actions, [GateAction::Grant(key)]);
}

#[test]
fn high_priority_goes_before_normal_within_a_workspace() {
    let mut gate = Gate::new(config(1, 10));
    let (running, _) = gate.submit(ms(0), arrival("w"));
    gate.submit(ms(0), arrival("w"));
    let urgent = Arrival {
        priority: Priority::High,
        ..arrival("w")
    };
    let (urgent, _) = gate.submit(ms(0), urgent);

    let actions = gate.finish(ms(1), running, RunOutcome::Abandoned);

    assert_eq!(actions, [GateAction::Grant(urgent)]);
}

#[test]
fn shares_follow_costs_not_counts() {
    let mut gate = Gate::new(config(1, 1_000));
    let (mut running, _) = gate.submit(ms(0), arrival("starter"));
    let mut submitted = BTreeMap::new();
    for _ in 0..100 {
        for (workspace, cost) in [("expensive", 10), ("cheap", 1)] {
            let one = Arrival {
                cost,
                ..arrival(workspace)
            };
            submitted.insert(gate.submit(ms(0), one).0, (workspace, cost));
        }
    }
    let mut spent: BTreeMap<&str, u32> = BTreeMap::new();
    for _ in 0..55 {
        let actions = gate.finish(ms(0), running, RunOutcome::Abandoned);
        let [GateAction::Grant(next)] = actions[..] else {
            panic!("one grant is expected, not {actions:?}");
        };
        let (workspace, cost) = submitted[&next];
        *spent.entry(workspace).or_default() += cost;
        running = next;
    }

    assert_eq!(spent["expensive"], spent["cheap"]);
}

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        workspace: u8,
        cost: u32,
        timeout_ms: u64,
    },
    Finish {
        which: usize,
        how: u8,
    },
    Abandon {
        which: usize,
    },
    Tick,
    Close(u8),
    Configure {
        warm: u32,
        queue: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u8..4, 1_u32..50, 1_u64..500)
            .prop_map(|(workspace, cost, timeout_ms)| Step::Arrive { workspace, cost, timeout_ms }),
        4 => (any::<usize>(), 0_u8..4).prop_map(|(which, how)| Step::Finish { which, how }),
        1 => any::<usize>().prop_map(|which| Step::Abandon { which }),
        1 => Just(Step::Tick),
        1 => (0_u8..4).prop_map(Step::Close),
        1 => (1_u32..6, 0_usize..8).prop_map(|(warm, queue)| Step::Configure { warm, queue }),
    ]
}

/// Expected state of the gate: running requests, waiting ones with their deadlines, ended ones, and the
/// highest warm bound that was in force.
#[derive(Default)]
struct Model {
    running: Vec<RequestKey>,
    waiting: BTreeMap<RequestKey, Moment>,
    ended: Vec<RequestKey>,
    closed: Option<CloseReason>,
    highest_warm: u32,
}

impl Model {
    fn apply(&mut self, now: Moment, actions: &[GateAction]) {
        for action in actions {
            match action {
                GateAction::Grant(key) => {
                    let deadline = self.waiting.remove(key);
                    assert!(deadline.is_some(), "granted twice or after it ended");
                    assert!(deadline > Some(now), "granted after its deadline");
                    assert!(self.closed.is_none(), "granted while closed");
                    self.running.push(*key);
                }
                GateAction::Refuse { request, .. } => {
                    assert!(!self.running.contains(request), "refused while running");
                    assert!(!self.ended.contains(request), "refused after it ended");
                    self.waiting.remove(request);
                    self.ended.push(*request);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_event_sequence_keeps_the_limit_and_decides_each_request_once(
        steps in proptest::collection::vec(step(), 1..120)
    ) {
        let mut gate = Gate::new(config(4, 6));
        let mut model = Model { highest_warm: 4, ..Model::default() };
        for (n, step) in steps.into_iter().enumerate() {
            let now = ms(n as u64 * 10);
            match step {
                Step::Arrive { workspace, cost, timeout_ms } => {
                    let deadline = now + ms(timeout_ms);
                    let one = Arrival { cost, deadline, ..arrival(&format!("w{workspace}")) };
                    let (key, actions) = gate.submit(now, one);
                    model.waiting.insert(key, deadline);
                    model.apply(now, &actions);
                }
                Step::Finish { which, how } if !model.running.is_empty() => {
                    let key = model.running.remove(which % model.running.len());
                    let finish = match how {
                        0 => RunOutcome::Failed,
                        1 => RunOutcome::Crashed,
                        _ => served(10),
                    };
                    let actions = gate.finish(now, key, finish);
                    model.apply(now, &actions);
                    model.ended.push(key);
                }
                Step::Abandon { which } if !model.waiting.is_empty() => {
                    let keys: Vec<_> = model.waiting.keys().copied().collect();
                    let key = keys[which % keys.len()];
                    model.waiting.remove(&key);
                    let actions = gate.finish(now, key, RunOutcome::Abandoned);
                    model.apply(now, &actions);
                    model.ended.push(key);
                }
                Step::Close(how) => {
                    let closed = [None, Some(CloseReason::Draining), Some(CloseReason::NoVersion), Some(CloseReason::Switching)];
                    model.closed = closed[how as usize];
                    let actions = gate.set_close_reason(now, model.closed);
                    model.apply(now, &actions);
                }
                Step::Configure { warm, queue } => {
                    model.highest_warm = model.highest_warm.max(warm);
                    let actions = gate.configure(now, config(warm, queue));
                    model.apply(now, &actions);
                }
                _ => {
                    let actions = gate.tick(now);
                    model.apply(now, &actions);
                    prop_assert!(model.waiting.values().all(|deadline| *deadline > now));
                }
            }
            let load = gate.load();
            prop_assert_eq!(load.running as usize, model.running.len());
            prop_assert_eq!(load.waiting as usize, model.waiting.len());
            prop_assert!(load.running <= model.highest_warm);
            let idle = model.closed.is_none() && load.running < load.limit && load.waiting > 0;
            prop_assert!(!idle, "capacity is free while a request waits");
        }
    }
}
