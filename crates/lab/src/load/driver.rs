//! An open-loop load generator: requests are sent at random times that do not depend on the responses.

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

/// A stream of requests of one kind from one workspace.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The workspace.
    pub workspace: SmolStr,
    /// The pool.
    pub pool: SmolStr,
    /// Tokens to generate per request; absent for calls of a plain service with an idempotency key.
    pub tokens: Option<u32>,
    /// Average rate; the gaps between requests are exponentially distributed.
    pub requests_per_second: f64,
    /// The deadline that is sent with each request.
    pub deadline: Duration,
}

/// A load generator that runs until it is stopped.
pub struct Driver {
    observations: Rc<RefCell<Vec<Observation>>>,
    in_flight: Rc<Cell<usize>>,
    stop: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Driver {
    /// Starts all workloads; each request goes to a random one of the entries.
    pub fn start(workloads: Vec<Workload>, entries: Vec<SocketAddr>, seed: u64) -> Self {
        let mut driver = Self {
            observations: Rc::default(),
            in_flight: Rc::default(),
            stop: Rc::default(),
            tasks: Vec::new(),
        };
        for (n, workload) in workloads.into_iter().enumerate() {
            let stream = WorkloadStream {
                workload,
                entries: entries.clone(),
                rng: Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000_003) + n as u64),
                number: n,
                caller: Caller::default(),
                observations: driver.observations.clone(),
                in_flight: driver.in_flight.clone(),
                stop: driver.stop.clone(),
            };
            driver.tasks.push(actix_rt::spawn(stream.run()));
        }
        driver
    }

    /// Number of requests that have completed, with any outcome.
    pub fn completed(&self) -> usize {
        self.observations.borrow().len()
    }

    /// Stops sending, waits for the requests in flight and returns all observations.
    pub async fn finish(self) -> Vec<Observation> {
        self.stop.set(true);
        for task in self.tasks {
            // A stream that panicked sends no more requests.
            let _ = task.await;
        }
        while self.in_flight.get() > 0 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        self.observations.take()
    }
}

struct WorkloadStream {
    workload: Workload,
    entries: Vec<SocketAddr>,
    rng: Pcg64Mcg,
    number: usize,
    caller: Caller,
    observations: Rc<RefCell<Vec<Observation>>>,
    in_flight: Rc<Cell<usize>>,
    stop: Rc<Cell<bool>>,
}

impl WorkloadStream {
    async fn run(mut self) {
        let mut send_at = Instant::now();
        let mut count = 0;
        while !self.stop.get() {
            let gap = -self.rng.random_range(f64::EPSILON..1.0_f64).ln()
                / self.workload.requests_per_second;
            send_at += Duration::from_secs_f64(gap);
            actix_rt::time::sleep_until(send_at.into()).await;
            let request = self.next_request(count);
            let entry = self.entries[self.rng.random_range(0..self.entries.len())];
            count += 1;
            self.spawn(entry, request);
        }
    }

    fn next_request(&mut self, count: usize) -> Request {
        let id = format_smolstr!("{}-{}-{count}", self.workload.workspace, self.number);
        let operation = match self.workload.tokens {
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
            pool: self.workload.pool.clone(),
            workspace: self.workload.workspace.clone(),
            operation,
            deadline: self.workload.deadline,
        }
    }

    fn spawn(&self, entry: SocketAddr, request: Request) {
        let caller = self.caller.clone();
        let observations = self.observations.clone();
        let in_flight = self.in_flight.clone();
        in_flight.set(in_flight.get() + 1);
        actix_rt::spawn(async move {
            let observation = caller.send(entry, &request).await;
            observations.borrow_mut().push(observation);
            in_flight.set(in_flight.get() - 1);
        });
    }
}
