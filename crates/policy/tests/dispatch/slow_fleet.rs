//! A fleet of entries and upstreams whose speed changes, in virtual time: how many requests begin at an upstream while it
//! is slow, and how long they take.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;

/// Time of a request's work at the nominal speed.
const WORK_MS: f64 = 15.0;
/// Time within which responses should arrive.
const TARGET_MS: f64 = 120.0;
/// One way between an entry and an upstream, with the time to open a connection.
const TRANSIT: Moment = Moment::from_millis(1);
const SLOW_PERCENT: u32 = 250;
const UPSTREAMS: usize = 3;
const SLOTS: usize = 6;
/// Requests of all entries per second.
const REQUESTS_PER_S: f64 = 70.0;
const DURATION: Moment = Moment::from_secs(120);

/// What upstreams state.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Statement {
    /// Nothing.
    Missing,
    True,
    /// Every second upstream states this value.
    False(u32),
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    entries: usize,
    statement: Statement,
    /// Fraction of the time for which an upstream is slow.
    slow_fraction: f64,
    /// Interval at which it is drawn again whether it is slow.
    change: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    refused: usize,
    /// Fraction of the requests sent that began at an upstream while it was slow.
    at_slow: f64,
    mean_ms: f64,
    late: f64,
}

const MANY: Scenario = Scenario {
    entries: 24,
    statement: Statement::True,
    slow_fraction: 0.15,
    change: Moment::from_millis(600),
};

/// An upstream with a queue; the work of a request takes as long as the speed at its start says.
struct SimulatedUpstream {
    key: UpstreamKey,
    /// When each slot is free again.
    slots: [Moment; SLOTS],
    percents: Vec<u32>,
}

impl SimulatedUpstream {
    fn percent(&self, now: Moment, change: Moment) -> u32 {
        let index = (now.as_micros() / change.as_micros()) as usize;
        self.percents.get(index).copied().unwrap_or(100)
    }

    /// Starts a request as soon as a slot is free; returns when it starts.
    fn start(&mut self, now: Moment, change: Moment) -> (Moment, Moment) {
        let slot = self.slots.iter().enumerate().min_by_key(|(_, free)| **free);
        let index = slot.map_or(0, |(index, _)| index);
        let begins = now.max(self.slots[index]);
        let factor = f64::from(self.percent(begins, change)) / 100.0;
        let ends = begins + Moment::from_secs_f64(WORK_MS * factor / 1e3);
        self.slots[index] = ends;
        (begins, ends)
    }

    fn busy(&self, now: Moment) -> u32 {
        self.slots.iter().filter(|free| **free > now).count() as u32
    }
}

enum Message {
    Arrival,
    Response {
        entry: usize,
        upstream: usize,
        selected: SelectedUpstream,
    },
}

struct Fleet {
    scenario: Scenario,
    entries: Vec<TestCluster>,
    upstreams: Vec<SimulatedUpstream>,
    messages: std::collections::BTreeMap<(Moment, u64), Message>,
    sequence: u64,
    rng: Pcg64Mcg,
    outcome: Outcome,
    begun_at_slow: usize,
    took_ms: Vec<f64>,
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let entry = |n| {
            let mut cluster = TestCluster::new();
            for id in 0..UPSTREAMS {
                cluster.register(millis(0), plain_record(&format!("p{id}")));
            }
            cluster.configure_entries(&[], test_entries(n, scenario.entries));
            cluster
        };
        let mut entries: Vec<_> = (0..scenario.entries).map(entry).collect();
        let draws = (DURATION.as_micros() / scenario.change.as_micros()) as usize + 2;
        let upstreams = keys_of(&mut entries[0]).map(|key| SimulatedUpstream {
            key,
            slots: [Moment::ZERO; SLOTS],
            percents: (0..draws)
                .map(|_| match rng.random_bool(scenario.slow_fraction) {
                    true => SLOW_PERCENT,
                    false => 100,
                })
                .collect(),
        });
        Self {
            scenario,
            entries,
            upstreams: upstreams.collect(),
            messages: std::collections::BTreeMap::new(),
            sequence: 0,
            rng,
            outcome: Outcome::default(),
            begun_at_slow: 0,
            took_ms: Vec::new(),
        }
    }

    fn push(&mut self, at: Moment, message: Message) {
        self.sequence += 1;
        self.messages.insert((at, self.sequence), message);
    }

    fn run(mut self) -> Outcome {
        self.push(Moment::ZERO, Message::Arrival);
        while let Some(((now, _), message)) = self.messages.pop_first() {
            match message {
                Message::Arrival => {
                    if now < DURATION {
                        self.send(now);
                        let wait = -self.rng.random_range(f64::EPSILON..1.0f64).ln();
                        let next = now + Moment::from_secs_f64(wait / REQUESTS_PER_S);
                        self.push(next, Message::Arrival);
                    }
                }
                Message::Response {
                    entry,
                    upstream,
                    selected,
                } => self.receive(now, entry, upstream, &selected),
            }
        }
        let count = self.took_ms.len().max(1);
        let late = self.took_ms.iter().filter(|ms| **ms > TARGET_MS).count();
        Outcome {
            at_slow: self.begun_at_slow as f64 / count as f64,
            mean_ms: self.took_ms.iter().sum::<f64>() / count as f64,
            late: late as f64 / count as f64,
            ..self.outcome
        }
    }

    fn report(&self, now: Moment, upstream: usize) -> LoadReport {
        let percent = match self.scenario.statement {
            Statement::Missing => None,
            Statement::False(percent) if upstream.is_multiple_of(2) => Some(percent),
            _ => Some(self.upstreams[upstream].percent(now, self.scenario.change)),
        };
        load_report(self.upstreams[upstream].busy(now), 0, percent)
    }

    fn send(&mut self, now: Moment) {
        let entry = self.rng.random_range(0..self.entries.len());
        let mut request = plain_request(now);
        request.first_event_deadline = now + Moment::from_secs_f64(TARGET_MS / 1e3);
        let Some(selected) = self.entries[entry].try_send(now, request) else {
            self.outcome.refused += 1;
            return;
        };
        let mut upstreams = self.upstreams.iter();
        let upstream = upstreams.position(|upstream| upstream.key == selected.upstream);
        let upstream = upstream.expect("all entries use the same keys");
        let change = self.scenario.change;
        let (begins, ends) = self.upstreams[upstream].start(now + TRANSIT, change);
        self.begun_at_slow +=
            usize::from(self.upstreams[upstream].percent(begins, change) == SLOW_PERCENT);
        let at = ends + TRANSIT;
        self.push(
            at,
            Message::Response {
                entry,
                upstream,
                selected,
            },
        );
    }

    fn receive(&mut self, now: Moment, entry: usize, upstream: usize, selected: &SelectedUpstream) {
        let took_ms = (now - selected.assigned_at).as_secs_f64() * 1e3;
        self.took_ms.push(took_ms);
        let report = self.report(now - TRANSIT, upstream);
        let dispatcher = &mut self.entries[entry].dispatcher;
        dispatcher.record_load(now, selected.upstream, report);
        dispatcher.record_first_event(now, selected, 0.0, took_ms);
        let served = AttemptOutcome::Served;
        dispatcher.record_outcome(now, selected.upstream, 0.0, served);
    }
}

/// The keys of the upstreams, which are the same for all entries.
fn keys_of(cluster: &mut TestCluster) -> impl Iterator<Item = UpstreamKey> {
    let mut request = plain_request(millis(0));
    while let Some(selected) = cluster.try_send(millis(0), request.clone()) {
        let cancelled = AttemptOutcome::Cancelled;
        cluster
            .dispatcher
            .record_outcome(millis(0), selected.upstream, 0.0, cancelled);
        request.tried.push(selected.upstream);
    }
    assert_eq!(request.tried.len(), UPSTREAMS);
    request.tried.into_iter()
}

fn run(scenario: Scenario) -> Outcome {
    let outcome = Fleet::new(scenario, 1).run();
    println!("{scenario:?}: {outcome:?}");
    outcome
}

// Guards against a service time that helps nobody, or harms, where each gateway sees it rarely.
#[test]
fn fewer_requests_begin_at_upstreams_that_state_that_they_are_slow() {
    for (entries, most) in [(1, 0.6), (14, 0.8), (24, 0.9), (35, 0.95), (200, 1.05)] {
        let [with, without] = [Statement::True, Statement::Missing].map(|statement| {
            run(Scenario {
                entries,
                statement,
                ..MANY
            })
        });

        assert!(
            with.at_slow < without.at_slow * most && with.refused == 0,
            "{entries}: {with:?} against {without:?}"
        );
        assert!(with.mean_ms < without.mean_ms * 1.03, "{entries}");
    }
}

// Guards against refusals and against times that are worse than without the service time.
#[test]
fn a_service_time_does_no_harm_when_all_are_slow_or_it_flips_or_is_false() {
    let all_slow = Scenario {
        slow_fraction: 1.0,
        ..MANY
    };
    let flipping = Scenario {
        slow_fraction: 0.5,
        change: millis(10),
        ..MANY
    };
    let false_values = [10, 1_000, 10_000].map(|percent| Scenario {
        statement: Statement::False(percent),
        ..MANY
    });
    for scenario in [&[all_slow, flipping][..], &false_values].concat() {
        for entries in [1, 14, 35, 200] {
            let with = run(Scenario {
                entries,
                ..scenario
            });
            let without = run(Scenario {
                entries,
                statement: Statement::Missing,
                ..scenario
            });

            assert_eq!(with.refused, 0, "{scenario:?}");
            assert!(
                with.mean_ms <= without.mean_ms * 1.15,
                "{scenario:?}: {with:?} against {without:?}"
            );
            assert!(
                with.late <= without.late + 0.002,
                "{scenario:?}: {with:?} against {without:?}"
            );
        }
    }
}
