//! Admission: unit cases, and random histories against a simple oracle.

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

/// Serves requests one after the other, `each` apart.
fn serve(gate: &mut Gate, count: u32, each: u64) {
    for n in 0..count {
        let now = ms(u64::from(n) * each);
        let (key, _) = gate.submit(now, arrival("w"));
        gate.finish(now + ms(each), key, served(each));
    }
}

/// Serves as many requests at once as the gate lets run, until its limit no longer rises.
fn warm_up(gate: &mut Gate) {
    serve(gate, 3, 10);
    for _ in 0..10 {
        let together = gate.load().limit;
        let keys: Vec<_> = (0..together)
            .map(|_| gate.submit(ms(0), arrival("w")).0)
            .collect();
        for key in keys {
            gate.finish(ms(10), key, served(10));
        }
    }
}

#[test]
fn a_fresh_upstream_gets_no_more_than_the_cold_limit() {
    let mut gate = Gate::new(config(8, 10));

    let (_, first) = gate.submit(ms(0), arrival("w"));
    let (_, second) = gate.submit(ms(0), arrival("w"));

    assert!(matches!(first[..], [GateAction::Grant(_)]));
    assert!(second.is_empty());
    assert_eq!(gate.load().running, 1);
}

#[test]
fn the_limit_rises_only_after_the_warm_up_answers() {
    let mut gate = Gate::new(config(8, 10));

    serve(&mut gate, 2, 10);
    let during = gate.load().limit;
    serve(&mut gate, 3, 10);

    assert_eq!(during, 1);
    assert!(gate.load().limit > 1);
}

#[test]
fn slow_answers_bring_the_cold_limit_back_without_any_notice() {
    let mut gate = Gate::new(config(8, 10));
    warm_up(&mut gate);
    let warm = gate.load().limit;

    serve(&mut gate, 2, 100);

    assert_eq!(warm, 8);
    assert_eq!(gate.load().limit, 1);
}

#[test]
fn a_cold_upstream_stays_cold_while_its_answers_stay_slow() {
    let mut gate = Gate::new(config(8, 10));
    warm_up(&mut gate);

    serve(&mut gate, 12, 100);

    assert_eq!(gate.load().limit, 1);
}

#[test]
fn a_crash_brings_the_cold_limit_back() {
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
    let hasty = Arrival {
        deadline: ms(2_150),
        ..arrival("w")
    };

    let (_, actions) = gate.submit(ms(2_000), hasty);

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
    let late = Arrival {
        deadline: ms(50),
        ..arrival("w")
    };
    gate.submit(ms(0), late);

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
fn draining_refuses_what_waits_and_leaves_what_runs() {
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
    let (key, held) = gate.submit(ms(0), arrival("w"));

    let actions = gate.set_close_reason(ms(1), None);

    assert!(held.is_empty());
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
    let mut owners = BTreeMap::new();
    for _ in 0..100 {
        for (workspace, cost) in [("dear", 10), ("cheap", 1)] {
            let one = Arrival {
                cost,
                ..arrival(workspace)
            };
            owners.insert(gate.submit(ms(0), one).0, (workspace, cost));
        }
    }
    let mut spent: BTreeMap<&str, u32> = BTreeMap::new();
    for _ in 0..55 {
        let actions = gate.finish(ms(0), running, RunOutcome::Abandoned);
        let [GateAction::Grant(next)] = actions[..] else {
            panic!("one grant is expected, not {actions:?}");
        };
        let (workspace, cost) = owners[&next];
        *spent.entry(workspace).or_default() += cost;
        running = next;
    }

    assert_eq!(spent["dear"], spent["cheap"]);
}

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        workspace: u8,
        cost: u32,
        patience: u64,
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
            .prop_map(|(workspace, cost, patience)| Step::Arrive { workspace, cost, patience }),
        4 => (any::<usize>(), 0_u8..4).prop_map(|(which, how)| Step::Finish { which, how }),
        1 => any::<usize>().prop_map(|which| Step::Abandon { which }),
        1 => Just(Step::Tick),
        1 => (0_u8..4).prop_map(Step::Close),
        1 => (1_u32..6, 0_usize..8).prop_map(|(warm, queue)| Step::Configure { warm, queue }),
    ]
}

/// What an onlooker knows: who runs, who waits until when, and the bounds in force.
#[derive(Default)]
struct Onlooker {
    running: Vec<RequestKey>,
    waiting: BTreeMap<RequestKey, Moment>,
    ended: Vec<RequestKey>,
    closed: Option<CloseReason>,
    highest_warm: u32,
}

impl Onlooker {
    fn watch(&mut self, now: Moment, actions: &[GateAction]) {
        for action in actions {
            match action {
                GateAction::Grant(key) => {
                    let deadline = self.waiting.remove(key);
                    assert!(deadline.is_some(), "granted twice or after its end");
                    assert!(deadline > Some(now), "granted after its deadline");
                    assert!(self.closed.is_none(), "granted while closed");
                    self.running.push(*key);
                }
                GateAction::Refuse { request, .. } => {
                    assert!(!self.running.contains(request), "refused while it ran");
                    assert!(!self.ended.contains(request), "refused after its end");
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
    fn any_history_keeps_the_limit_and_gives_each_request_one_verdict(
        steps in proptest::collection::vec(step(), 1..120)
    ) {
        let mut gate = Gate::new(config(4, 6));
        let mut seen = Onlooker { highest_warm: 4, ..Onlooker::default() };
        for (n, step) in steps.into_iter().enumerate() {
            let now = ms(n as u64 * 10);
            match step {
                Step::Arrive { workspace, cost, patience } => {
                    let deadline = now + ms(patience);
                    let one = Arrival { cost, deadline, ..arrival(&format!("w{workspace}")) };
                    let (key, actions) = gate.submit(now, one);
                    seen.waiting.insert(key, deadline);
                    seen.watch(now, &actions);
                }
                Step::Finish { which, how } if !seen.running.is_empty() => {
                    let key = seen.running.remove(which % seen.running.len());
                    let finish = match how {
                        0 => RunOutcome::Failed,
                        1 => RunOutcome::Crashed,
                        _ => served(10),
                    };
                    let actions = gate.finish(now, key, finish);
                    seen.watch(now, &actions);
                    seen.ended.push(key);
                }
                Step::Abandon { which } if !seen.waiting.is_empty() => {
                    let keys: Vec<_> = seen.waiting.keys().copied().collect();
                    let key = keys[which % keys.len()];
                    seen.waiting.remove(&key);
                    let actions = gate.finish(now, key, RunOutcome::Abandoned);
                    seen.watch(now, &actions);
                    seen.ended.push(key);
                }
                Step::Close(how) => {
                    let closed = [None, Some(CloseReason::Draining), Some(CloseReason::NoVersion), Some(CloseReason::Switching)];
                    seen.closed = closed[how as usize];
                    let actions = gate.set_close_reason(now, seen.closed);
                    seen.watch(now, &actions);
                }
                Step::Configure { warm, queue } => {
                    seen.highest_warm = seen.highest_warm.max(warm);
                    let actions = gate.configure(now, config(warm, queue));
                    seen.watch(now, &actions);
                }
                _ => {
                    let actions = gate.tick(now);
                    seen.watch(now, &actions);
                    prop_assert!(seen.waiting.values().all(|deadline| *deadline > now));
                }
            }
            let load = gate.load();
            prop_assert_eq!(load.running as usize, seen.running.len());
            prop_assert_eq!(load.waiting as usize, seen.waiting.len());
            prop_assert!(load.running <= seen.highest_warm);
            let idle = seen.closed.is_none() && load.running < load.limit && load.waiting > 0;
            prop_assert!(!idle, "a place stays free while somebody waits");
        }
    }
}
