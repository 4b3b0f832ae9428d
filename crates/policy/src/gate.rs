//! Admission at the sidecar: the one place that decides what its upstream runs.
//!
//! Several entries with late load reports cannot keep a limit together; one process beside the
//! upstream can. See docs/DESIGN.md, "Admission".

use balsamjunction_protocol::{LoadReport, Priority, Refusal};
use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::{
    limit::{ConcurrencyLimit, LimitBounds},
    queue::{Discipline, WaitQueue},
    Moment,
};

pub use crate::queue::RequestKey;

/// Weight of a new service time in the running mean.
const MEAN_GAIN: f64 = 0.1;
/// Retry advice is never shorter, so that refused callers do not come straight back.
const LEAST_RETRY_AFTER: Moment = Moment::from_millis(100);
/// Retry advice is never longer, since load may change.
const GREATEST_RETRY_AFTER: Moment = Moment::from_secs(10);

/// What the declaration says about a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateConfig {
    /// Limits of the upstream.
    pub bounds: LimitBounds,
    /// Requests that may wait.
    pub queue_length: usize,
    /// Order of service.
    pub discipline: Discipline,
}

/// A request that asks to run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its workspace.
    pub workspace: SmolStr,
    /// The workspace's weight, [`crate::queue::DEFAULT_WEIGHT`] for an even share.
    pub weight: u32,
    /// Order within the workspace.
    pub priority: Priority,
    /// Expected work in the pool's cost units.
    pub cost: u32,
    /// When its caller stops waiting.
    pub deadline: Moment,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The upstream answered; the first byte took this long.
    Served {
        /// From dispatch to the first byte of the answer.
        first_byte: Moment,
    },
    /// The upstream answered that it is in trouble, or too late.
    Failed,
    /// The upstream broke the connection.
    Crashed,
    /// The caller went away, or nothing was sent; says nothing about the upstream.
    Abandoned,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// Run it now.
    Grant(RequestKey),
    /// Answer now that it did not run.
    Refuse {
        /// The request.
        request: RequestKey,
        /// Why.
        refusal: Refusal,
        /// When the caller may come again.
        retry_after: Moment,
    },
}

/// Why no new work is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The host, its data centre or the process is leaving: refuse.
    Draining,
    /// The engine serves no version: refuse.
    NoVersion,
    /// The engine switches versions: waiting requests keep their places.
    Switching,
}

#[derive(Debug)]
struct Request {
    workspace: SmolStr,
    deadline: Moment,
    running: bool,
    started: Moment,
}

/// The gate of one upstream.
#[derive(Debug)]
pub struct Gate {
    config: GateConfig,
    limit: ConcurrencyLimit,
    queue: WaitQueue,
    requests: SlotMap<RequestKey, Request>,
    running: u32,
    mean_service: f64,
    closed: Option<CloseReason>,
}

impl Gate {
    /// A gate before a cold upstream.
    pub fn new(config: GateConfig) -> Self {
        Self {
            config,
            limit: ConcurrencyLimit::new(config.bounds),
            queue: WaitQueue::new(config.discipline),
            requests: SlotMap::with_key(),
            running: 0,
            mean_service: 0.0,
            closed: None,
        }
    }

    /// The load as entries learn it.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.queue.len() as u32,
            limit: self.limit.current(),
        }
    }

    /// Why no new work is taken, if so.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.closed
    }

    /// Applies new values of the declaration.
    pub fn configure(&mut self, now: Moment, config: GateConfig) -> Vec<GateAction> {
        self.config = config;
        self.limit.configure(config.bounds);
        self.grant(now)
    }

    /// Opens or closes the gate. Requests that wait are refused unless the closure is a switch.
    pub fn set_close_reason(
        &mut self,
        now: Moment,
        closed: Option<CloseReason>,
    ) -> Vec<GateAction> {
        self.closed = closed;
        match closed {
            None => self.grant(now),
            Some(CloseReason::Switching) => Vec::new(),
            Some(CloseReason::Draining) => self.refuse_waiting(Refusal::Draining),
            Some(CloseReason::NoVersion) => self.refuse_waiting(Refusal::VersionUnavailable),
        }
    }

    /// Starts again from the cold limit, after the upstream restarted or switched versions.
    pub fn reset_to_cold(&mut self) {
        self.limit.reset_to_cold();
    }

    /// Takes a request in: it is granted, queued, or refused at once.
    pub fn submit(&mut self, now: Moment, arrival: Arrival) -> (RequestKey, Vec<GateAction>) {
        let request = self.requests.insert(Request {
            workspace: arrival.workspace.clone(),
            deadline: arrival.deadline,
            running: false,
            started: now,
        });
        let mut actions = Vec::new();
        if let Some(refusal) = self.refusal_of(now, &arrival) {
            actions.push(self.refuse(request, refusal));
            return (request, actions);
        }
        if self.must_wait() && self.queue.len() >= self.config.queue_length {
            let Some(evicted) = self.queue.evict_for(&arrival.workspace, arrival.weight) else {
                actions.push(self.refuse(request, Refusal::Overloaded));
                return (request, actions);
            };
            actions.push(self.refuse(evicted, Refusal::Overloaded));
        }
        self.queue.push(
            request,
            &arrival.workspace,
            arrival.weight,
            arrival.priority,
            arrival.cost,
        );
        actions.extend(self.grant(now));
        (request, actions)
    }

    fn must_wait(&self) -> bool {
        self.closed.is_some() || !self.queue.is_empty() || self.running >= self.limit.current()
    }

    fn refusal_of(&self, now: Moment, arrival: &Arrival) -> Option<Refusal> {
        match self.closed {
            Some(CloseReason::Draining) => return Some(Refusal::Draining),
            Some(CloseReason::NoVersion) => return Some(Refusal::VersionUnavailable),
            Some(CloseReason::Switching) | None => {}
        }
        if now >= arrival.deadline {
            return Some(Refusal::DeadlinePassed);
        }
        let needed = self.expected_wait(arrival) + Moment::from_secs_f64(self.mean_service);
        (now + needed > arrival.deadline).then_some(Refusal::DeadlineTooClose)
    }

    /// How long the request would wait behind its own workspace's, at that workspace's share.
    fn expected_wait(&self, arrival: &Arrival) -> Moment {
        if !self.must_wait() {
            return Moment::ZERO;
        }
        let own_ahead = self.queue.waiting_in(&arrival.workspace);
        let mut weights = f64::from(self.queue.active_weight());
        if own_ahead == 0 {
            weights += f64::from(arrival.weight);
        }
        let rounds = (own_ahead as f64 + 1.0) * weights / f64::from(arrival.weight.max(1));
        let ahead = rounds.min(self.queue.len() as f64 + 1.0);
        Moment::from_secs_f64(ahead * self.mean_service / f64::from(self.limit.current().max(1)))
    }

    /// Notes that a run ended.
    pub fn finish(
        &mut self,
        now: Moment,
        request: RequestKey,
        finish: RunOutcome,
    ) -> Vec<GateAction> {
        let Some(ended) = self.requests.remove(request) else {
            return Vec::new();
        };
        if !ended.running {
            self.queue.remove(request, &ended.workspace);
            return Vec::new();
        }
        self.running -= 1;
        match finish {
            RunOutcome::Served { first_byte } => {
                self.note_service(now.saturating_sub(ended.started));
                self.limit.record_success(first_byte, self.running);
            }
            RunOutcome::Failed => self.limit.record_failure(),
            RunOutcome::Crashed => self.limit.reset_to_cold(),
            RunOutcome::Abandoned => {}
        }
        self.grant(now)
    }

    fn note_service(&mut self, took: Moment) {
        let sample = took.as_secs_f64();
        if self.mean_service == 0.0 {
            self.mean_service = sample;
        }
        self.mean_service += MEAN_GAIN * (sample - self.mean_service);
    }

    /// Refuses requests whose deadline passed while they waited.
    pub fn tick(&mut self, now: Moment) -> Vec<GateAction> {
        let late: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, r)| !r.running && r.deadline <= now)
            .map(|(key, _)| key)
            .collect();
        let mut actions = Vec::new();
        for request in late {
            let workspace = self.requests[request].workspace.clone();
            self.queue.remove(request, &workspace);
            actions.push(self.refuse(request, Refusal::DeadlinePassed));
        }
        actions.extend(self.grant(now));
        actions
    }

    fn grant(&mut self, now: Moment) -> Vec<GateAction> {
        let mut actions = Vec::new();
        while self.closed.is_none() && self.running < self.limit.current() {
            let Some(request) = self.queue.pop() else {
                break;
            };
            let entry = &mut self.requests[request];
            if entry.deadline <= now {
                actions.push(self.refuse(request, Refusal::DeadlinePassed));
                continue;
            }
            entry.running = true;
            entry.started = now;
            self.running += 1;
            actions.push(GateAction::Grant(request));
        }
        actions
    }

    fn refuse_waiting(&mut self, refusal: Refusal) -> Vec<GateAction> {
        let mut actions = Vec::new();
        while let Some(request) = self.queue.pop() {
            actions.push(self.refuse(request, refusal));
        }
        actions
    }

    fn refuse(&mut self, request: RequestKey, refusal: Refusal) -> GateAction {
        self.requests.remove(request);
        GateAction::Refuse {
            request,
            refusal,
            retry_after: self.retry_after(),
        }
    }

    /// The time in which the queue as it stands is served.
    fn retry_after(&self) -> Moment {
        let rounds = self.queue.len() as f64 / f64::from(self.limit.current().max(1));
        let wait = Moment::from_secs_f64(rounds * self.mean_service);
        wait.clamp(LEAST_RETRY_AFTER, GREATEST_RETRY_AFTER)
    }
}
