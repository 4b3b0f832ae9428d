//! Keyed requests, sent again through every entry while sidecars, services and links fail.

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
    fleet::{pass, pool_runs},
    Outcome,
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

/// Callers that send at once.
const CALLERS: usize = 48;
/// Sends of one key, until one gives the answer.
const MAX_SENDS: usize = 4;
/// Pause of a caller before it sends a key again.
const RESEND_PAUSE: Duration = Duration::from_millis(150);
/// Time that callers wait for the first byte.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Mean pause of a caller between keys, so that faults strike all along.
const KEY_PAUSE: Duration = Duration::from_millis(150);
/// Quiet time between two faults, in seconds.
const QUIET_SECONDS: f64 = 1.5;

/// What became of the keys.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Once {
    keys: usize,
    sends: u64,
    faults: u64,
    ran_twice: u64,
    false_not_run: u64,
    /// Keys that ended `unknown`.
    unknown: u64,
    /// Part of the keys whose caller got the answer.
    available: f64,
    lost: u64,
}

impl Outcome for Once {
    fn promises_held(&self) -> bool {
        self.ran_twice == 0 && self.false_not_run == 0 && self.lost == 0
    }
}

#[derive(Default)]
struct Book {
    sends: u64,
    answered: usize,
    unknown: u64,
    lost: u64,
    not_run: Vec<SmolStr>,
}

impl Book {
    fn note(&mut self, seen: Observation) {
        self.sends += 1;
        match seen.outcome {
            RequestOutcome::Ran => self.answered += 1,
            RequestOutcome::NotRun => self.not_run.extend(seen.request_id),
            RequestOutcome::Invalid | RequestOutcome::Lost => self.lost += 1,
            RequestOutcome::Unknown | RequestOutcome::Cut => {}
        }
    }
}

#[derive(Clone)]
struct Sender {
    entries: Vec<SocketAddr>,
    book: Rc<RefCell<Book>>,
    next: Rc<Cell<usize>>,
    keys: usize,
}

/// Runs the experiment.
pub async fn run(seed: u64, keys: usize) -> Result<Once, LabError> {
    let mut bench = Bench::start(BenchSpec {
        pools: vec![PoolSpec::services("booking-desk", 3, 5)],
        network: Some(FAST_LINKS),
        ..BenchSpec::default()
    })
    .await?;
    let sender = Sender {
        entries: bench.caller_addresses(),
        book: Rc::default(),
        next: Rc::default(),
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
    while sender.next.get() < keys {
        pass(QUIET_SECONDS * rng.random_range(0.3..1.0)).await;
        break_something(&mut bench, &mut rng).await?;
        faults += 1;
    }
    for caller in callers {
        // A caller that panicked shows as keys without an answer.
        let _ = caller.await;
    }
    judge(&bench, &sender, faults)
}

fn judge(bench: &Bench, sender: &Sender, faults: u64) -> Result<Once, LabError> {
    let mut counts: HashMap<SmolStr, u64> = HashMap::new();
    let mut requests: HashSet<SmolStr> = HashSet::new();
    for run in pool_runs(bench, "booking-desk")? {
        *counts.entry(run.id).or_default() += 1;
        requests.insert(run.request);
    }
    let book = sender.book.borrow();
    let false_not_run = book.not_run.iter().filter(|id| requests.contains(*id));
    Ok(Once {
        keys: sender.keys,
        sends: book.sends,
        faults,
        ran_twice: counts.values().filter(|count| **count > 1).count() as u64,
        false_not_run: false_not_run.count() as u64,
        unknown: book.unknown,
        available: book.answered as f64 / sender.keys as f64,
        lost: book.lost,
    })
}

impl Sender {
    async fn run(self, mut rng: Pcg64Mcg) {
        let caller = Caller::default();
        while self.next.get() < self.keys {
            let number = self.next.replace(self.next.get() + 1);
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
            let seen = caller.send(entry, &request).await;
            last = seen.outcome;
            self.book.borrow_mut().note(seen);
            if last == RequestOutcome::Ran {
                return;
            }
            actix_rt::time::sleep(RESEND_PAUSE).await;
        }
        if last != RequestOutcome::NotRun {
            self.book.borrow_mut().unknown += 1;
        }
    }
}

/// Breaks one thing for a short while and mends it.
async fn break_something(bench: &mut Bench, rng: &mut Pcg64Mcg) -> Result<(), LabError> {
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
            pass(0.2).await;
            bench.processes().restart(&host.name)?;
        }
        1 => {
            bench.processes().kill(&upstream)?;
            pass(0.3).await;
            bench.processes().restart(&upstream)?;
        }
        2 => freeze(bench, &host.name, rng.random_range(0.3..3.0)).await?,
        3 => freeze(bench, &upstream, rng.random_range(0.3..2.0)).await?,
        4 => harm(bench, fault(FaultKind::Cut, Some(entry)), 0.8).await?,
        5 => harm(bench, fault(FaultKind::Stall, Some(entry)), 2.0).await?,
        _ => harm(bench, fault(FaultKind::Cross, None), 1.0).await?,
    }
    Ok(())
}

async fn freeze(bench: &mut Bench, name: &str, seconds: f64) -> Result<(), LabError> {
    bench.processes().signal(name, Signal::SIGSTOP)?;
    pass(seconds).await;
    bench.processes().signal(name, Signal::SIGCONT)
}

async fn harm(bench: &Bench, fault: Fault, seconds: f64) -> Result<(), LabError> {
    bench.set_faults(&[fault]).await?;
    pass(seconds).await;
    bench.set_faults(&[]).await
}
