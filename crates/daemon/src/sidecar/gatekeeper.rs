//! Runs the gate: requests wait here until they are granted or refused.

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

/// A request that did not run.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Why.
    pub refusal: Refusal,
    /// When the caller may come again.
    pub retry_after: Duration,
}

type Verdict = Result<(), Refused>;

struct Inside {
    gate: Gate,
    waiters: HashMap<RequestKey, oneshot::Sender<Verdict>>,
    draining: bool,
    version: VersionGate,
}

/// Whether the engine's version lets requests through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionGate {
    /// A version serves, or the pool has none.
    Open,
    /// The engine switches; requests wait.
    Switching,
    /// The engine serves nothing; requests are refused.
    None,
}

/// The gate of this sidecar's upstream.
pub struct Gatekeeper {
    clock: Clock,
    inside: Mutex<Inside>,
    enabled: bool,
}

impl Gatekeeper {
    /// A gate that refuses until the version and the declaration are known.
    ///
    /// A gate that is not `enabled` grants everything at once; measurements use it as a baseline.
    pub fn new(clock: Clock, config: GateConfig, enabled: bool) -> Self {
        let inside = Inside {
            gate: Gate::new(config),
            waiters: HashMap::new(),
            draining: false,
            version: VersionGate::None,
        };
        Self {
            clock,
            inside: Mutex::new(inside),
            enabled,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inside> {
        lock(&self.inside)
    }

    /// The load as entries learn it.
    pub fn load(&self) -> LoadReport {
        self.lock().gate.load()
    }

    /// Applies new values of the declaration.
    pub fn configure(&self, config: GateConfig) {
        let mut inside = self.lock();
        let actions = inside.gate.configure(self.clock.now(), config);
        inside.apply(actions);
    }

    /// Takes the upstream out of service or back; it comes back cold.
    pub fn set_draining(&self, draining: bool) {
        let mut inside = self.lock();
        if inside.draining && !draining {
            inside.gate.reset_to_cold();
        }
        inside.draining = draining;
        inside.update_closed(self.clock.now());
    }

    /// Follows the engine's version; a version starts cold.
    pub fn set_version(&self, version: VersionGate) {
        let mut inside = self.lock();
        if inside.version != version && version == VersionGate::Open {
            inside.gate.reset_to_cold();
        }
        inside.version = version;
        inside.update_closed(self.clock.now());
    }

    /// Whether no new work is taken because the upstream leaves.
    pub fn draining(&self) -> bool {
        self.lock().draining
    }

    /// Starts again from the cold limit.
    pub fn reset_to_cold(&self) {
        self.lock().gate.reset_to_cold();
    }

    /// Refuses requests whose deadline has passed.
    pub fn tick(&self) {
        let mut inside = self.lock();
        let actions = inside.gate.tick(self.clock.now());
        inside.apply(actions);
    }

    /// Waits until the request may run.
    pub async fn admit(self: &Arc<Self>, arrival: Arrival) -> Result<Permit, Refused> {
        let (tx, rx) = oneshot::channel();
        let key = {
            let mut inside = self.lock();
            let (key, actions) = inside.gate.submit(self.clock.now(), arrival);
            inside.waiters.insert(key, tx);
            inside.apply(actions);
            key
        };
        let permit = Permit {
            keeper: self.clone(),
            key: Some(key),
        };
        if !self.enabled {
            return Ok(permit);
        }
        match rx.await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(refused)) => Err(refused),
            Err(_) => Err(Refused {
                refusal: Refusal::Overloaded,
                retry_after: Duration::ZERO,
            }),
        }
    }

    fn finish(&self, key: RequestKey, finish: RunOutcome) {
        let mut inside = self.lock();
        inside.waiters.remove(&key);
        let actions = inside.gate.finish(self.clock.now(), key, finish);
        inside.apply(actions);
    }
}

impl Inside {
    fn update_closed(&mut self, now: Duration) {
        let closed = match (self.draining, self.version) {
            (true, _) => Some(CloseReason::Draining),
            (false, VersionGate::None) => Some(CloseReason::NoVersion),
            (false, VersionGate::Switching) => Some(CloseReason::Switching),
            (false, VersionGate::Open) => None,
        };
        if closed == self.gate.close_reason() {
            return;
        }
        let actions = self.gate.set_close_reason(now, closed);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            let (key, verdict) = match action {
                GateAction::Grant(key) => (key, Ok(())),
                GateAction::Refuse {
                    request,
                    refusal,
                    retry_after,
                } => {
                    let refused = Refused {
                        refusal,
                        retry_after,
                    };
                    (request, Err(refused))
                }
            };
            if let Some(waiter) = self.waiters.remove(&key) {
                // A waiter that is gone gives its place back when its permit is dropped.
                let _ = waiter.send(verdict);
            }
        }
    }
}

/// A place on the upstream; given back when dropped.
pub struct Permit {
    keeper: Arc<Gatekeeper>,
    key: Option<RequestKey>,
}

impl Permit {
    /// Gives the place back and says how the run ended.
    pub fn finish(mut self, finish: RunOutcome) {
        if let Some(key) = self.key.take() {
            self.keeper.finish(key, finish);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            self.keeper.finish(key, RunOutcome::Abandoned);
        }
    }
}
