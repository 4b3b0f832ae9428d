//! Admission control: requests wait here until the gate grants or refuses them.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use balsamjunction_policy::gate::{
    Arrival, CloseReason, Gate, GateAction, GateConfig, RequestKey, RunOutcome,
};
use balsamjunction_protocol::{LoadReport, Refusal};
use tokio::sync::oneshot;

use crate::{clock::Clock, sync::lock};

/// A request that was refused and did not run.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRefusal {
    /// Why it was refused.
    pub refusal: Refusal,
    /// Time after which the caller may try again.
    pub retry_after: Duration,
}

type AdmissionResult = Result<(), AdmissionRefusal>;

struct State {
    gate: Gate,
    waiters: HashMap<RequestKey, oneshot::Sender<AdmissionResult>>,
    draining: bool,
    version: VersionAdmission,
}

/// Whether the version that the engine serves allows requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionAdmission {
    /// The engine serves a version, or the pool has no versions.
    Open,
    /// The engine is switching versions; requests wait.
    Switching,
    /// The engine serves no version; requests are refused.
    None,
}

/// Admission control for this sidecar's upstream.
pub struct AdmissionController {
    clock: Clock,
    state: Mutex<State>,
    enabled: bool,
}

impl AdmissionController {
    /// A controller that refuses requests until the version and the declaration are known.
    ///
    /// Unless `enabled`, it grants every request at once; measurements use this as a baseline.
    pub fn new(clock: Clock, config: GateConfig, enabled: bool) -> Self {
        let state = State {
            gate: Gate::new(config),
            waiters: HashMap::new(),
            draining: false,
            version: VersionAdmission::None,
        };
        Self {
            clock,
            state: Mutex::new(state),
            enabled,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// The load that is reported to entries.
    pub fn load(&self) -> LoadReport {
        self.lock().gate.load()
    }

    /// Applies new values of the declaration.
    pub fn configure(&self, config: GateConfig) {
        let mut state = self.lock();
        let actions = state.gate.configure(self.clock.now(), config);
        state.apply(actions);
    }

    /// Takes the upstream out of service or back into it, where it starts from the cold limit.
    pub fn set_draining(&self, draining: bool) {
        let mut state = self.lock();
        if state.draining && !draining {
            state.gate.reset_to_cold();
        }
        state.draining = draining;
        state.update_close_reason(self.clock.now());
    }

    /// Sets whether the engine's version allows requests; a version starts from the cold limit.
    pub fn set_version(&self, version: VersionAdmission) {
        let mut state = self.lock();
        if state.version != version && version == VersionAdmission::Open {
            state.gate.reset_to_cold();
        }
        state.version = version;
        state.update_close_reason(self.clock.now());
    }

    /// Whether new requests are refused because the upstream leaves service.
    pub fn draining(&self) -> bool {
        self.lock().draining
    }

    /// Resets the concurrency limit to the cold limit.
    pub fn reset_to_cold(&self) {
        self.lock().gate.reset_to_cold();
    }

    /// Refuses requests whose deadline has passed.
    pub fn tick(&self) {
        let mut state = self.lock();
        let actions = state.gate.tick(self.clock.now());
        state.apply(actions);
    }

    /// Waits until the request is granted or refused.
    pub async fn admit(self: &Arc<Self>, arrival: Arrival) -> Result<Permit, AdmissionRefusal> {
        let (tx, rx) = oneshot::channel();
        let key = {
            let mut state = self.lock();
            let (key, actions) = state.gate.submit(self.clock.now(), arrival);
            state.waiters.insert(key, tx);
            state.apply(actions);
            key
        };
        let permit = Permit {
            controller: self.clone(),
            key: Some(key),
        };
        if !self.enabled {
            return Ok(permit);
        }
        match rx.await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(AdmissionRefusal {
                refusal: Refusal::Overloaded,
                retry_after: Duration::ZERO,
            }),
        }
    }

    fn finish(&self, key: RequestKey, outcome: RunOutcome) {
        let mut state = self.lock();
        state.waiters.remove(&key);
        let actions = state.gate.finish(self.clock.now(), key, outcome);
        state.apply(actions);
    }
}

impl State {
    fn update_close_reason(&mut self, now: Duration) {
        let close_reason = match (self.draining, self.version) {
            (true, _) => Some(CloseReason::Draining),
            (false, VersionAdmission::None) => Some(CloseReason::NoVersion),
            (false, VersionAdmission::Switching) => Some(CloseReason::Switching),
            (false, VersionAdmission::Open) => None,
        };
        if close_reason == self.gate.close_reason() {
            return;
        }
        let actions = self.gate.set_close_reason(now, close_reason);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            let (key, result) = match action {
                GateAction::Grant(key) => (key, Ok(())),
                GateAction::Refuse {
                    request,
                    refusal,
                    retry_after,
                } => {
                    let refusal = AdmissionRefusal {
                        refusal,
                        retry_after,
                    };
                    (request, Err(refusal))
                }
            };
            if let Some(waiter) = self.waiters.remove(&key) {
                // If the waiter was cancelled, dropping its permit frees the slot.
                let _ = waiter.send(result);
            }
        }
    }
}

/// A concurrency slot of the upstream, released on drop.
pub struct Permit {
    controller: Arc<AdmissionController>,
    key: Option<RequestKey>,
}

impl Permit {
    /// Releases the slot and records the outcome of the run.
    pub fn finish(mut self, outcome: RunOutcome) {
        if let Some(key) = self.key.take() {
            self.controller.finish(key, outcome);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            self.controller.finish(key, RunOutcome::Abandoned);
        }
    }
}
