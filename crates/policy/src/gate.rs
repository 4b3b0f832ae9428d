//! Admission control at the sidecar, which alone decides what its upstream runs.
//!
//! Several entries with stale load reports cannot jointly enforce a concurrency limit; a single
//! process beside the upstream can. See docs/DESIGN.md, "Admission".

use balsamjunction_protocol::{LoadReport, Priority, Refusal};
use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::{
    limit::{ConcurrencyLimit, LimitBounds},
    queue::{Discipline, WaitQueue},
    Moment,
};

pub use crate::queue::RequestKey;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_GAIN: f64 = 0.1;
/// Minimum `retry_after`, so that refused callers do not retry at once.
const MIN_RETRY_AFTER: Moment = Moment::from_millis(100);
/// Maximum `retry_after`, since the load may change meanwhile.
const MAX_RETRY_AFTER: Moment = Moment::from_secs(10);

/// Settings of a gate, from the declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateConfig {
    /// Bounds of the upstream's concurrency limit.
    pub bounds: LimitBounds,
    /// Maximum number of waiting requests.
    pub queue_length: usize,
    /// Order in which waiting requests are served.
    pub discipline: Discipline,
}

/// A request submitted to the gate.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Workspace that sent the request.
    pub workspace: SmolStr,
    /// Weight of the workspace; [`crate::queue::DEFAULT_WEIGHT`] for an equal share.
    pub weight: u32,
    /// Priority among the requests of the workspace.
    pub priority: Priority,
    /// Expected cost in the pool's cost units.
    pub cost: u32,
    /// Time at which the caller stops waiting.
    pub deadline: Moment,
}

/// Outcome of a granted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The upstream responded.
    Served {
        /// Time from the grant to the first byte of the response.
        first_byte: Moment,
    },
    /// The upstream reported overload, timed out, or sent a response that does not belong to the
    /// request.
    Failed,
    /// The upstream refused or broke the connection.
    Crashed,
    /// The caller disconnected, or nothing was sent; no evidence about the upstream.
    Abandoned,
}

/// Action that the sidecar must take for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// Run the request now.
    Grant(RequestKey),
    /// Respond now that the request did not run.
    Refuse {
        /// Request to refuse.
        request: RequestKey,
        /// Reason for the refusal.
        refusal: Refusal,
        /// Delay after which the caller may retry.
        retry_after: Moment,
    },
}

/// Reason why the gate grants no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The host, its data centre or the process is draining: requests are refused.
    Draining,
    /// The engine serves no version: requests are refused.
    NoVersion,
    /// The engine is switching versions: waiting requests stay in the queue.
    Switching,
}

#[derive(Debug)]
struct Request {
    workspace: SmolStr,
    deadline: Moment,
    running: bool,
    started: Moment,
}

/// Admission control for one upstream.
#[derive(Debug)]
pub struct Gate {
    config: GateConfig,
    limit: ConcurrencyLimit,
    queue: WaitQueue,
    requests: SlotMap<RequestKey, Request>,
    running: u32,
    mean_service_s: f64,
    close_reason: Option<CloseReason>,
}

impl Gate {
    /// Creates an open gate for a cold upstream.
    pub fn new(config: GateConfig) -> Self {
        Self {
            config,
            limit: ConcurrencyLimit::new(config.bounds),
            queue: WaitQueue::new(config.discipline),
            requests: SlotMap::with_key(),
            running: 0,
            mean_service_s: 0.0,
            close_reason: None,
        }
    }

    /// Returns the load to report to entries.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.queue.len() as u32,
            limit: self.limit.current(),
        }
    }

    /// Returns why the gate is closed, or `None` if it is open.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason
    }

    /// Applies new settings from the declaration.
    pub fn configure(&mut self, now: Moment, config: GateConfig) -> Vec<GateAction> {
        self.config = config;
        self.limit.configure(config.bounds);
        self.grant_waiting(now)
    }

    /// Opens the gate (`None`) or closes it. Closing refuses the waiting requests, except for
    /// [`CloseReason::Switching`].
    pub fn set_close_reason(
        &mut self,
        now: Moment,
        close_reason: Option<CloseReason>,
    ) -> Vec<GateAction> {
        self.close_reason = close_reason;
        match close_reason {
            None => self.grant_waiting(now),
            Some(CloseReason::Switching) => Vec::new(),
            Some(CloseReason::Draining) => self.refuse_waiting(Refusal::Draining),
            Some(CloseReason::NoVersion) => self.refuse_waiting(Refusal::VersionUnavailable),
        }
    }

    /// Returns to the cold limit, after the upstream restarted or switched versions.
    pub fn reset_to_cold(&mut self) {
        self.limit.reset_to_cold();
    }

    /// Submits a request, which is granted, queued or refused at once.
    pub fn submit(&mut self, now: Moment, arrival: Arrival) -> (RequestKey, Vec<GateAction>) {
        let request = self.requests.insert(Request {
            workspace: arrival.workspace.clone(),
            deadline: arrival.deadline,
            running: false,
            started: now,
        });
        let mut actions = Vec::new();
        if let Some(refusal) = self.immediate_refusal(now, &arrival) {
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
        actions.extend(self.grant_waiting(now));
        (request, actions)
    }

    fn must_wait(&self) -> bool {
        self.close_reason.is_some()
            || !self.queue.is_empty()
            || self.running >= self.limit.current()
    }

    fn immediate_refusal(&self, now: Moment, arrival: &Arrival) -> Option<Refusal> {
        match self.close_reason {
            Some(CloseReason::Draining) => return Some(Refusal::Draining),
            Some(CloseReason::NoVersion) => return Some(Refusal::VersionUnavailable),
            Some(CloseReason::Switching) | None => {}
        }
        if now >= arrival.deadline {
            return Some(Refusal::DeadlinePassed);
        }
        let expected = self.expected_wait(arrival) + Moment::from_secs_f64(self.mean_service_s);
        (now + expected > arrival.deadline).then_some(Refusal::DeadlineTooClose)
    }

    /// Estimates how long the request would wait behind those of its own workspace, at the workspace's
    /// share of the limit.
    fn expected_wait(&self, arrival: &Arrival) -> Moment {
        if !self.must_wait() {
            return Moment::ZERO;
        }
        let own_waiting = self.queue.waiting_in(&arrival.workspace);
        let mut weights = f64::from(self.queue.active_weight());
        if own_waiting == 0 {
            weights += f64::from(arrival.weight);
        }
        let rounds = (own_waiting as f64 + 1.0) * weights / f64::from(arrival.weight.max(1));
        let ahead = rounds.min(self.queue.len() as f64 + 1.0);
        Moment::from_secs_f64(ahead * self.mean_service_s / f64::from(self.limit.current().max(1)))
    }

    /// Records that a granted request ended, or that a waiting one was abandoned.
    pub fn finish(
        &mut self,
        now: Moment,
        request: RequestKey,
        outcome: RunOutcome,
    ) -> Vec<GateAction> {
        let Some(ended) = self.requests.remove(request) else {
            return Vec::new();
        };
        if !ended.running {
            self.queue.remove(request, &ended.workspace);
            return Vec::new();
        }
        self.running -= 1;
        match outcome {
            RunOutcome::Served { first_byte } => {
                self.record_service_time(now.saturating_sub(ended.started));
                self.limit.record_success(first_byte, self.running);
            }
            RunOutcome::Failed => self.limit.record_failure(),
            RunOutcome::Crashed => self.limit.reset_to_cold(),
            RunOutcome::Abandoned => {}
        }
        self.grant_waiting(now)
    }

    fn record_service_time(&mut self, service_time: Moment) {
        let sample = service_time.as_secs_f64();
        if self.mean_service_s == 0.0 {
            self.mean_service_s = sample;
        }
        self.mean_service_s += SERVICE_TIME_GAIN * (sample - self.mean_service_s);
    }

    /// Refuses waiting requests whose deadline has passed, and grants others if there is room.
    pub fn tick(&mut self, now: Moment) -> Vec<GateAction> {
        let expired: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, r)| !r.running && r.deadline <= now)
            .map(|(key, _)| key)
            .collect();
        let mut actions = Vec::new();
        for request in expired {
            let workspace = self.requests[request].workspace.clone();
            self.queue.remove(request, &workspace);
            actions.push(self.refuse(request, Refusal::DeadlinePassed));
        }
        actions.extend(self.grant_waiting(now));
        actions
    }

    fn grant_waiting(&mut self, now: Moment) -> Vec<GateAction> {
        let mut actions = Vec::new();
        while self.close_reason.is_none() && self.running < self.limit.current() {
            let Some(request) = self.queue.pop() else {
                break;
            };
            let granted = &mut self.requests[request];
            if granted.deadline <= now {
                actions.push(self.refuse(request, Refusal::DeadlinePassed));
                continue;
            }
            granted.running = true;
            granted.started = now;
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

    /// Estimates the time in which the current queue will be served.
    fn retry_after(&self) -> Moment {
        let rounds = self.queue.len() as f64 / f64::from(self.limit.current().max(1));
        let wait = Moment::from_secs_f64(rounds * self.mean_service_s);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
