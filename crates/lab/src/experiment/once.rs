//! Sends requests with idempotency keys, and resends them through random entries, while sidecars,
//! services and links fail.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use nix::sys::signal::Signal;
use rand::{seq::IndexedRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};
use uuid::Uuid;

use super::{
    fleet::{read_pool_runs, sleep_seconds},
    ExperimentReport,
};
use crate::{
    bench::{
        spec::{BenchSpec, PoolSpec, FAST_LINKS},
        Bench,
    },
    error::LabError,
    load::{caller::RequestOutcome, Caller, Observation, Operation, Request},
    standin::fabric::{Fault, FaultKind},
};

/// Concurrent callers.
const CALLERS: usize = 48;
/// Maximum number of sends of one key; the first response ends them.
const MAX_SENDS: usize = 4;
/// Pause of a caller before it resends a key.
const RESEND_PAUSE: Duration = Duration::from_millis(150);
/// Deadline of each send.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Mean pause of a caller between keys; it spreads the keys over the faults.
const KEY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum time without a fault between two faults.
const MAX_FAULT_PAUSE_SECONDS: f64 = 1.5;

/// The outcomes of keys and their sends.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct OnceReport {
    keys: usize,
    sends: u64,
    faults: u64,
    /// Keys that ran more than once.
    ran_twice: u64,
    /// Sends reported as not run whose request is in the ledger of an upstream.
    false_not_run: u64,
    /// Keys without a response whose last send was not reported as not run.
    unknown: u64,
    /// Fraction of the keys whose caller received the response.
    available: f64,
    /// Sends without a response, or with an invalid one.
    lost: u64,
}

impl ExperimentReport for OnceReport {
    fn requirements_met(&self) -> bool {
        self.ran_twice == 0 && self.false_not_run == 0 && self.lost == 0
    }
}

/// Counts of the sends of all callers.
#[derive(Default)]
struct SendStats {
    sends: u64,
    /// Keys with a complete response.
    answered: usize,
    unknown: u64,
    lost: u64,
    /// Request IDs of sends that were reported as not run.
    not_run: Vec<SmolStr>,
}

impl SendStats {
    fn record(&mut self, observation: Observation) {
        self.sends += 1;
        match observation.outcome {
            RequestOutcome::Ran => self.answered += 1,
            RequestOutcome::NotRun => self.not_run.extend(observation.request_id),
            RequestOutcome::Invalid | RequestOutcome::Lost => self.lost += 1,
            RequestOutcome::Unknown | RequestOutcome::Cut => {}
        }
    }
}

/// A caller; clones share the statistics and the counter of keys.
#[derive(Clone)]
struct Sender {
    entries: Vec<SocketAddr>,
    stats: Rc<RefCell<SendStats>>,
    /// Number of the next key.
    next_key: Rc<Cell<usize>>,
    keys: usize,
}

/// Runs the experiment.
pub async fn run(seed: u64, keys: usize) -> Result<OnceReport, LabError> {
    let mut bench = Bench::start(BenchSpec {
        pools: vec![PoolSpec::services("booking-desk", 3, 5)],
        network: Some(FAST_LINKS),
        ..BenchSpec::default()
    })
    .await?;
    let sender = Sender {
        entries: bench.caller_addresses(),
        stats: Rc::default(),
        next_key: Rc::default(),
        keys,
    };
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(7919) + n as u64);
            actix_rt::spawn(sender.clone().run(rng))
        })
        .collect();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut faults = 0;
    while sender.next_key.get() < keys {
        sleep_seconds(MAX_FAULT_PAUSE_SECONDS * rng.random_range(0.3..1.0)).await;
        inject_random_fault(&mut bench, &mut rng).await?;
        faults += 1;
    }
    for caller in callers {
        // The keys of a caller that panicked count as keys without a response.
        let _ = caller.await;
    }
    summarize(&bench, &sender, faults)
}

fn summarize(bench: &Bench, sender: &Sender, faults: u64) -> Result<OnceReport, LabError> {
    let mut counts: HashMap<SmolStr, u64> = HashMap::new();
    let mut executed: HashSet<SmolStr> = HashSet::new();
    for run in read_pool_runs(bench, "booking-desk")? {
        *counts.entry(run.id).or_default() += 1;
        executed.insert(run.request_id);
    }
    let stats = sender.stats.borrow();
    let false_not_run = stats.not_run.iter().filter(|id| executed.contains(*id));
    Ok(OnceReport {
        keys: sender.keys,
        sends: stats.sends,
        faults,
        ran_twice: counts.values().filter(|count| **count > 1).count() as u64,
        false_not_run: false_not_run.count() as u64,
        unknown: stats.unknown,
        available: stats.answered as f64 / sender.keys as f64,
        lost: stats.lost,
    })
}

impl Sender {
    async fn run(self, mut rng: Pcg64Mcg) {
        let caller = Caller::default();
        while self.next_key.get() < self.keys {
            let number = self.next_key.replace(self.next_key.get() + 1);
            self.send_key(&caller, number, &mut rng).await;
            actix_rt::time::sleep(KEY_PAUSE.mul_f64(rng.random_range(0.0..2.0))).await;
        }
    }

    async fn send_key(&self, caller: &Caller, number: usize, rng: &mut Pcg64Mcg) {
        let key = format_smolstr!("{}", Uuid::now_v7());
        let request = Request {
            id: format_smolstr!("{number}"),
            pool: "booking-desk".into(),
            workspace: format_smolstr!("workspace-{}", number % 10),
            operation: Operation::Call { key: Some(key) },
            deadline: DEADLINE,
        };
        let mut last = RequestOutcome::Lost;
        for _ in 0..MAX_SENDS {
            let entry = *self.entries.choose(rng).expect("the bench has entries");
            let observation = caller.send(entry, &request).await;
            last = observation.outcome;
            self.stats.borrow_mut().record(observation);
            if last == RequestOutcome::Ran {
                return;
            }
            actix_rt::time::sleep(RESEND_PAUSE).await;
        }
        if last != RequestOutcome::NotRun {
            self.stats.borrow_mut().unknown += 1;
        }
    }
}

/// Injects a random fault into a process or link, waits, and removes the fault.
async fn inject_random_fault(bench: &mut Bench, rng: &mut Pcg64Mcg) -> Result<(), LabError> {
    let hosts = bench.pool("booking-desk");
    let host = hosts[rng.random_range(0..hosts.len())].clone();
    let entry = format_smolstr!("entry-{}", rng.random_range(0..3));
    let upstream = format!("{}.upstream", host.name);
    let fault = |kind, from: Option<SmolStr>| Fault {
        kind,
        from,
        to: Some(host.name.clone()),
    };
    match rng.random_range(0..7) {
        0 => {
            bench.processes().kill(&host.name)?;
            sleep_seconds(0.2).await;
            bench.processes().restart(&host.name)?;
        }
        1 => {
            bench.processes().kill(&upstream)?;
            sleep_seconds(0.3).await;
            bench.processes().restart(&upstream)?;
        }
        2 => pause_process(bench, &host.name, rng.random_range(0.3..3.0)).await?,
        3 => pause_process(bench, &upstream, rng.random_range(0.3..2.0)).await?,
        4 => apply_network_fault(bench, fault(FaultKind::Cut, Some(entry)), 0.8).await?,
        5 => apply_network_fault(bench, fault(FaultKind::Stall, Some(entry)), 2.0).await?,
        _ => apply_network_fault(bench, fault(FaultKind::Cross, None), 1.0).await?,
    }
    Ok(())
}

async fn pause_process(bench: &mut Bench, name: &str, seconds: f64) -> Result<(), LabError> {
    bench.processes().signal(name, Signal::SIGSTOP)?;
    sleep_seconds(seconds).await;
    bench.processes().signal(name, Signal::SIGCONT)
}

async fn apply_network_fault(bench: &Bench, fault: Fault, seconds: f64) -> Result<(), LabError> {
    bench.set_faults(&[fault]).await?;
    sleep_seconds(seconds).await;
    bench.set_faults(&[]).await
}
