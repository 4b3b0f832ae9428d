//! At-most-once execution: unit tests, and random sequences of owner changes, restarts and resends
//! checked against a model.

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
struct Response(u64);

impl StoredResponse for Response {
    fn size_bytes(&self) -> usize {
        8
    }
}

const STARTED_MS: u64 = 1_000_000;
const WINDOW: Moment = Moment::from_secs(60);

fn table() -> OnceTable<Response> {
    table_started(STARTED_MS, Moment::ZERO)
}

fn table_started(started_ms: u64, started: Moment) -> OnceTable<Response> {
    OnceTable::new(OnceConfig {
        repeat_window: WINDOW,
        started_ms,
        started,
    })
}

/// Creation time of a key that is after the table's start for any clock skew.
fn created_after_start() -> Option<u64> {
    Some(STARTED_MS + MAX_CLOCK_SKEW_MS + 1)
}

fn key() -> SmolStr {
    "workspace/key".into()
}

fn secs(seconds: u64) -> Moment {
    Moment::from_secs(seconds)
}

#[test]
fn a_key_runs_once_and_its_response_is_replayed() {
    let mut table = table();

    let first = table.begin(secs(5), &key(), created_after_start());
    let during = table.begin(secs(5), &key(), created_after_start());
    table.end(secs(6), &key(), OnceOutcome::Ran(Some(Response(7))));
    let after = table.begin(secs(7), &key(), created_after_start());

    assert_eq!(first, OnceVerdict::Run);
    assert_eq!(during, OnceVerdict::InProgress);
    assert_eq!(after, OnceVerdict::Replay(Response(7)));
}

#[test]
fn a_key_that_did_not_run_may_run_later() {
    let mut table = table();
    table.begin(secs(5), &key(), created_after_start());

    table.end(secs(6), &key(), OnceOutcome::NotRun);

    assert_eq!(
        table.begin(secs(7), &key(), created_after_start()),
        OnceVerdict::Run
    );
}

#[test]
fn a_key_with_unknown_outcome_never_runs_again() {
    let mut table = table();
    table.begin(secs(5), &key(), created_after_start());

    table.end(secs(6), &key(), OnceOutcome::Unknown);

    assert_eq!(
        table.begin(secs(7), &key(), created_after_start()),
        OnceVerdict::Unknown
    );
}

#[test]
fn a_restarted_table_does_not_run_keys_that_are_older_than_itself() {
    let mut table = table();

    let old = table.begin(secs(1), &key(), Some(STARTED_MS - 1));
    let within_skew = table.begin(
        secs(1),
        &"skew".into(),
        Some(STARTED_MS + MAX_CLOCK_SKEW_MS),
    );

    assert_eq!(old, OnceVerdict::Unknown);
    assert_eq!(within_skew, OnceVerdict::Unknown);
}

#[test]
fn a_key_without_creation_time_waits_for_the_repeat_window_of_a_restarted_table() {
    let mut table = table();

    let early = table.begin(secs(59), &key(), None);
    let late = table.begin(secs(61), &key(), None);

    assert_eq!(early, OnceVerdict::Unknown);
    assert_eq!(late, OnceVerdict::Run);
}

#[test]
fn a_key_older_than_the_window_does_not_run_after_its_removal() {
    let mut table = table();
    table.begin(secs(5), &key(), created_after_start());
    table.end(secs(6), &key(), OnceOutcome::Ran(None));

    let after_removal = table.begin(secs(6) + WINDOW, &key(), created_after_start());

    assert_eq!(after_removal, OnceVerdict::Unknown);
}

#[test]
fn a_closed_key_never_runs_at_its_old_owner() {
    let mut table = table();

    let closed = table.close(secs(5), &key(), created_after_start());

    assert_eq!(closed, CloseResult::Closed);
    assert_eq!(
        table.begin(secs(6), &key(), created_after_start()),
        OnceVerdict::Closed
    );
}

#[test]
fn a_key_that_runs_or_may_have_run_is_not_closed() {
    let mut table = table();
    table.begin(secs(5), &key(), created_after_start());

    let running = table.close(secs(5), &key(), created_after_start());
    let older_than_table = table.close(secs(5), &"old".into(), Some(STARTED_MS - 1));

    assert_eq!(running, CloseResult::Taken);
    assert_eq!(older_than_table, CloseResult::Taken);
}

#[test]
fn earlier_owners_are_listed_until_the_window_has_passed() {
    let mut owners = OwnerHistory::default();
    let hosts = |names: &[&str]| names.iter().map(SmolStr::new).collect::<Vec<_>>();
    owners.update(secs(0), hosts(&["a"]));
    owners.update(secs(10), hosts(&["b"]));

    let within = owners.owners(secs(11), "key", WINDOW).expect("b owns it");
    let past = owners.owners(secs(71), "key", WINDOW).expect("b owns it");

    assert_eq!(
        (within.current.as_str(), within.earlier.as_slice()),
        ("b", &hosts(&["a"])[..])
    );
    assert!(past.earlier.is_empty());
}

const HOSTS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// A caller sends a request with a new key.
    SendNew,
    /// A caller sends a request with an earlier key again.
    Resend(usize),
    /// A run ends: 0 with a response, 1 without having run, 2 with an unknown outcome.
    End(usize, u8),
    /// A sidecar is replaced and loses its table.
    Restart(usize),
    /// A new declaration puts other hosts in service.
    Declare(u8),
    /// A sidecar becomes unreachable for the others, or reachable again.
    ToggleReachable(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::SendNew),
        6 => any::<usize>().prop_map(Step::Resend),
        5 => (any::<usize>(), 0_u8..3).prop_map(|(which, how)| Step::End(which, how)),
        1 => (0..HOSTS).prop_map(Step::Restart),
        1 => (1_u8..8).prop_map(Step::Declare),
        1 => (0..HOSTS).prop_map(Step::ToggleReachable),
    ]
}

/// Sidecars that share a declaration, and how often each key ran.
struct Model {
    now_s: u64,
    tables: Vec<OnceTable<Response>>,
    reachable: Vec<bool>,
    owners: OwnerHistory,
    keys: Vec<(SmolStr, Option<u64>)>,
    running: Vec<(usize, SmolStr)>,
    runs: HashMap<SmolStr, u32>,
    not_run: HashSet<SmolStr>,
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            now_s: 10,
            tables: (0..HOSTS).map(|_| table()).collect(),
            reachable: vec![true; HOSTS],
            owners: OwnerHistory::default(),
            keys: Vec::new(),
            running: Vec::new(),
            runs: HashMap::new(),
            not_run: HashSet::new(),
        };
        model.declare(7);
        model
    }

    fn now(&self) -> Moment {
        secs(self.now_s)
    }

    fn declare(&mut self, set: u8) {
        let hosts = (0..HOSTS).filter(|n| set & (1 << n) != 0);
        let hosts = hosts.map(|n| format_smolstr!("{n}")).collect();
        self.owners.update(self.now(), hosts);
    }

    /// Handles a request with a key as a sidecar does: closes the key at earlier owners, then runs it.
    fn send(&mut self, which: usize) {
        let (key, created_ms) = self.keys[which].clone();
        let Some(owners) = self.owners.owners(self.now(), &key, WINDOW) else {
            return;
        };
        let owner: usize = owners.current.parse().expect("hosts are numbers");
        for earlier in owners.earlier {
            let earlier: usize = earlier.parse().expect("hosts are numbers");
            let now = self.now();
            let closed = self.reachable[earlier]
                && self.tables[earlier].close(now, &key, created_ms) == CloseResult::Closed;
            if !closed {
                return;
            }
        }
        let now = self.now();
        if self.tables[owner].begin(now, &key, created_ms) == OnceVerdict::Run {
            *self.runs.entry(key.clone()).or_default() += 1;
            self.running.push((owner, key));
        }
    }

    fn end(&mut self, which: usize, how: u8) {
        if self.running.is_empty() {
            return;
        }
        let (owner, key) = self.running.remove(which % self.running.len());
        let outcome = match how {
            0 => OnceOutcome::Ran(Some(Response(1))),
            1 => {
                // Nothing reached the upstream, so it does not count as a run.
                *self.runs.entry(key.clone()).or_default() -= 1;
                self.not_run.insert(key.clone());
                OnceOutcome::NotRun
            }
            _ => OnceOutcome::Unknown,
        };
        let now = self.now();
        self.tables[owner].end(now, &key, outcome);
    }

    fn restart(&mut self, host: usize) {
        // Running requests continue at the upstream, but their end is no longer recorded.
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
    fn no_sequence_of_restarts_and_owner_changes_runs_a_key_twice(
        steps in proptest::collection::vec(step(), 1..150)
    ) {
        let mut model = Model::new();
        for step in steps {
            model.now_s += 1;
            match step {
                Step::SendNew => {
                    let created_ms = STARTED_MS + model.now_s * 1_000;
                    model.keys.push((format_smolstr!("k{}", model.keys.len()), Some(created_ms)));
                    model.send(model.keys.len() - 1);
                }
                Step::Resend(which) if !model.keys.is_empty() => {
                    model.send(which % model.keys.len());
                }
                Step::End(which, how) => model.end(which, how),
                Step::Restart(host) => model.restart(host),
                Step::Declare(set) => model.declare(set),
                Step::ToggleReachable(host) => model.reachable[host] = !model.reachable[host],
                Step::Resend(_) => {}
            }
            let repeated = model.runs.iter().find(|(_, runs)| **runs > 1);
            prop_assert!(repeated.is_none(), "{:?} ran twice", repeated);
        }
    }
}
