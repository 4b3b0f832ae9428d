//! At most once: unit cases, and random histories of owners, restarts and resends against an oracle.

use std::collections::{HashMap, HashSet};

use balsamjunction_policy::{
    once::{
        CloseResult, OnceConfig, OnceOutcome, OnceTable, OnceVerdict, StoredResponse,
        MAX_CLOCK_SKEW_MS,
    },
    owner::OwnerHistory,
    Moment,
};
use proptest::prelude::*;
use smol_str::{format_smolstr, SmolStr};

#[derive(Clone, Debug, PartialEq, Eq)]
struct Answer(u64);

impl StoredResponse for Answer {
    fn size_bytes(&self) -> usize {
        8
    }
}

const STARTED_MS: u64 = 1_000_000;
const WINDOW: Moment = Moment::from_secs(60);

fn table() -> OnceTable<Answer> {
    table_started(STARTED_MS, Moment::ZERO)
}

fn table_started(started_ms: u64, started: Moment) -> OnceTable<Answer> {
    OnceTable::new(OnceConfig {
        repeat_window: WINDOW,
        started_ms,
        started,
    })
}

/// A birth that certainly lies after the table's start.
fn young() -> Option<u64> {
    Some(STARTED_MS + MAX_CLOCK_SKEW_MS + 1)
}

fn key() -> SmolStr {
    "workspace/key".into()
}

fn at(seconds: u64) -> Moment {
    Moment::from_secs(seconds)
}

#[test]
fn a_key_runs_once_and_its_answer_is_given_again() {
    let mut table = table();

    let first = table.begin(at(5), &key(), young());
    let meanwhile = table.begin(at(5), &key(), young());
    table.end(at(6), &key(), OnceOutcome::Ran(Some(Answer(7))));
    let after = table.begin(at(7), &key(), young());

    assert_eq!(first, OnceVerdict::Run);
    assert_eq!(meanwhile, OnceVerdict::InProgress);
    assert_eq!(after, OnceVerdict::Replay(Answer(7)));
}

#[test]
fn a_key_that_did_not_run_may_run_later() {
    let mut table = table();
    table.begin(at(5), &key(), young());

    table.end(at(6), &key(), OnceOutcome::NotRun);

    assert_eq!(table.begin(at(7), &key(), young()), OnceVerdict::Run);
}

#[test]
fn a_key_whose_fate_is_unknown_never_runs_again() {
    let mut table = table();
    table.begin(at(5), &key(), young());

    table.end(at(6), &key(), OnceOutcome::Unknown);

    assert_eq!(table.begin(at(7), &key(), young()), OnceVerdict::Unknown);
}

#[test]
fn a_restarted_table_does_not_run_keys_that_are_older_than_itself() {
    let mut table = table();

    let old = table.begin(at(1), &key(), Some(STARTED_MS - 1));
    let within_skew = table.begin(at(1), &"skew".into(), Some(STARTED_MS + MAX_CLOCK_SKEW_MS));

    assert_eq!(old, OnceVerdict::Unknown);
    assert_eq!(within_skew, OnceVerdict::Unknown);
}

#[test]
fn a_key_without_birth_waits_out_the_repeat_window_of_a_restarted_table() {
    let mut table = table();

    let early = table.begin(at(59), &key(), None);
    let late = table.begin(at(61), &key(), None);

    assert_eq!(early, OnceVerdict::Unknown);
    assert_eq!(late, OnceVerdict::Run);
}

#[test]
fn a_key_that_outlived_the_window_does_not_run_after_it_was_forgotten() {
    let mut table = table();
    table.begin(at(5), &key(), young());
    table.end(at(6), &key(), OnceOutcome::Ran(None));

    let forgotten = table.begin(at(6) + WINDOW, &key(), young());

    assert_eq!(forgotten, OnceVerdict::Unknown);
}

#[test]
fn a_closed_key_never_runs_at_its_old_owner() {
    let mut table = table();

    let closed = table.close(at(5), &key(), young());

    assert_eq!(closed, CloseResult::Closed);
    assert_eq!(table.begin(at(6), &key(), young()), OnceVerdict::Closed);
}

#[test]
fn a_key_that_runs_or_may_have_run_is_not_given_up() {
    let mut table = table();
    table.begin(at(5), &key(), young());

    let running = table.close(at(5), &key(), young());
    let older_than_table = table.close(at(5), &"old".into(), Some(STARTED_MS - 1));

    assert_eq!(running, CloseResult::Taken);
    assert_eq!(older_than_table, CloseResult::Taken);
}

#[test]
fn earlier_owners_are_named_until_the_window_has_passed() {
    let mut owners = OwnerHistory::default();
    let hosts = |names: &[&str]| names.iter().map(SmolStr::new).collect::<Vec<_>>();
    owners.update(at(0), hosts(&["a"]));
    owners.update(at(10), hosts(&["b"]));

    let within = owners.owners(at(11), "key", WINDOW).expect("b owns it");
    let past = owners.owners(at(71), "key", WINDOW).expect("b owns it");

    assert_eq!(
        (within.current.as_str(), within.earlier.as_slice()),
        ("b", &hosts(&["a"])[..])
    );
    assert!(past.earlier.is_empty());
}

const HOSTS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// A caller makes a key and sends it.
    Fresh,
    /// A caller sends an earlier key again.
    Resend(usize),
    /// A run ends: 0 answered, 1 known not to have run, 2 lost.
    End(usize, u8),
    /// A sidecar is replaced and forgets everything.
    Restart(usize),
    /// The declaration names other hosts.
    Declare(u8),
    /// A sidecar stops or starts being reachable for others.
    Reach(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Fresh),
        6 => any::<usize>().prop_map(Step::Resend),
        5 => (any::<usize>(), 0_u8..3).prop_map(|(which, how)| Step::End(which, how)),
        1 => (0..HOSTS).prop_map(Step::Restart),
        1 => (1_u8..8).prop_map(Step::Declare),
        1 => (0..HOSTS).prop_map(Step::Reach),
    ]
}

/// Sidecars that share a declaration, and a record of what ran.
struct World {
    now_s: u64,
    tables: Vec<OnceTable<Answer>>,
    reachable: Vec<bool>,
    owners: OwnerHistory,
    keys: Vec<(SmolStr, Option<u64>)>,
    running: Vec<(usize, SmolStr)>,
    runs: HashMap<SmolStr, u32>,
    not_run: HashSet<SmolStr>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now_s: 10,
            tables: (0..HOSTS).map(|_| table()).collect(),
            reachable: vec![true; HOSTS],
            owners: OwnerHistory::default(),
            keys: Vec::new(),
            running: Vec::new(),
            runs: HashMap::new(),
            not_run: HashSet::new(),
        };
        world.declare(7);
        world
    }

    fn now(&self) -> Moment {
        at(self.now_s)
    }

    fn declare(&mut self, set: u8) {
        let hosts = (0..HOSTS).filter(|n| set & (1 << n) != 0);
        let hosts = hosts.map(|n| format_smolstr!("{n}")).collect();
        self.owners.update(self.now(), hosts);
    }

    /// The steps that a sidecar takes for a keyed request.
    fn send(&mut self, which: usize) {
        let (key, born) = self.keys[which].clone();
        let Some(owners) = self.owners.owners(self.now(), &key, WINDOW) else {
            return;
        };
        let owner: usize = owners.current.parse().expect("hosts are numbers");
        for earlier in owners.earlier {
            let earlier: usize = earlier.parse().expect("hosts are numbers");
            let now = self.now();
            let closed = self.reachable[earlier]
                && self.tables[earlier].close(now, &key, born) == CloseResult::Closed;
            if !closed {
                return;
            }
        }
        let now = self.now();
        if self.tables[owner].begin(now, &key, born) == OnceVerdict::Run {
            *self.runs.entry(key.clone()).or_default() += 1;
            self.running.push((owner, key));
        }
    }

    fn end(&mut self, which: usize, how: u8) {
        if self.running.is_empty() {
            return;
        }
        let (owner, key) = self.running.remove(which % self.running.len());
        let end = match how {
            0 => OnceOutcome::Ran(Some(Answer(1))),
            1 => {
                // Nothing reached the upstream, so it does not count as a run.
                *self.runs.entry(key.clone()).or_default() -= 1;
                self.not_run.insert(key.clone());
                OnceOutcome::NotRun
            }
            _ => OnceOutcome::Unknown,
        };
        let now = self.now();
        self.tables[owner].end(now, &key, end);
    }

    fn restart(&mut self, host: usize) {
        // What ran goes on at the upstream; nobody is left to note its end.
        self.running.retain(|(owner, _)| *owner != host);
        let started_ms = STARTED_MS + self.now_s * 1_000;
        self.tables[host] = table_started(started_ms, self.now());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_history_of_restarts_and_moving_owners_runs_a_key_twice(
        steps in proptest::collection::vec(step(), 1..150)
    ) {
        let mut world = World::new();
        for step in steps {
            world.now_s += 1;
            match step {
                Step::Fresh => {
                    let born = STARTED_MS + world.now_s * 1_000;
                    world.keys.push((format_smolstr!("k{}", world.keys.len()), Some(born)));
                    world.send(world.keys.len() - 1);
                }
                Step::Resend(which) if !world.keys.is_empty() => {
                    world.send(which % world.keys.len());
                }
                Step::End(which, how) => world.end(which, how),
                Step::Restart(host) => world.restart(host),
                Step::Declare(set) => world.declare(set),
                Step::Reach(host) => world.reachable[host] = !world.reachable[host],
                Step::Resend(_) => {}
            }
            let twice = world.runs.iter().find(|(_, runs)| **runs > 1);
            prop_assert!(twice.is_none(), "{:?} ran twice", twice);
        }
    }
}
