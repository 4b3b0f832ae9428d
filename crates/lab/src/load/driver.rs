//! Open-loop load: requests come at their own times, however slow the answers are.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::task::JoinHandle;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol_str::{format_smolstr, SmolStr};
use uuid::Uuid;

use super::caller::{Caller, Observation, Operation, Request};

/// Requests of one kind from one workspace.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The workspace.
    pub workspace: SmolStr,
    /// The pool.
    pub pool: SmolStr,
    /// Tokens to generate; absent for calls of a plain service with a key.
    pub tokens: Option<u32>,
    /// Requests a second.
    pub requests_per_second: f64,
    /// Time until the caller stops waiting for the first byte.
    pub deadline: Duration,
}

/// Load that runs until it is stopped.
pub struct Driver {
    seen: Rc<RefCell<Vec<Observation>>>,
    open: Rc<Cell<usize>>,
    stop: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Driver {
    /// Starts all plans over the given entries.
    pub fn start(plans: Vec<Workload>, entries: Vec<SocketAddr>, seed: u64) -> Self {
        let mut driver = Self {
            seen: Rc::default(),
            open: Rc::default(),
            stop: Rc::default(),
            tasks: Vec::new(),
        };
        for (n, plan) in plans.into_iter().enumerate() {
            let stream = Stream {
                plan,
                entries: entries.clone(),
                rng: Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000_003) + n as u64),
                number: n,
                caller: Caller::default(),
                seen: driver.seen.clone(),
                open: driver.open.clone(),
                stop: driver.stop.clone(),
            };
            driver.tasks.push(actix_rt::spawn(stream.run()));
        }
        driver
    }

    /// How many requests have ended.
    pub fn completed(&self) -> usize {
        self.seen.borrow().len()
    }

    /// Sends no more, waits for open requests and gives what was seen.
    pub async fn finish(self) -> Vec<Observation> {
        self.stop.set(true);
        for task in self.tasks {
            // A stream that panicked has no more requests.
            let _ = task.await;
        }
        while self.open.get() > 0 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        self.seen.take()
    }
}

struct Stream {
    plan: Workload,
    entries: Vec<SocketAddr>,
    rng: Pcg64Mcg,
    number: usize,
    caller: Caller,
    seen: Rc<RefCell<Vec<Observation>>>,
    open: Rc<Cell<usize>>,
    stop: Rc<Cell<bool>>,
}

impl Stream {
    async fn run(mut self) {
        let mut due = Instant::now();
        let mut count = 0;
        while !self.stop.get() {
            let gap =
                -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / self.plan.requests_per_second;
            due += Duration::from_secs_f64(gap);
            actix_rt::time::sleep_until(due.into()).await;
            let request = self.request(count);
            let entry = self.entries[self.rng.random_range(0..self.entries.len())];
            count += 1;
            self.spawn(entry, request);
        }
    }

    fn request(&mut self, count: usize) -> Request {
        let id = format_smolstr!("{}-{}-{count}", self.plan.workspace, self.number);
        let task = match self.plan.tokens {
            Some(tokens) => Operation::Generate {
                tokens,
                crash: false,
            },
            None => Operation::Call {
                key: Some(format_smolstr!("{}", Uuid::now_v7())),
            },
        };
        Request {
            id,
            pool: self.plan.pool.clone(),
            workspace: self.plan.workspace.clone(),
            task,
            deadline: self.plan.deadline,
        }
    }

    fn spawn(&self, entry: SocketAddr, request: Request) {
        let caller = self.caller.clone();
        let seen = self.seen.clone();
        let open = self.open.clone();
        open.set(open.get() + 1);
        actix_rt::spawn(async move {
            let one = caller.send(entry, &request).await;
            seen.borrow_mut().push(one);
            open.set(open.get() - 1);
        });
    }
}
