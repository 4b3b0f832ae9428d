//! The state machine that moves one engine from version to version.
//!
//! The engine fetches and loads the new version while the old one serves; only the switch itself interrupts
//! service. Hosts switch in a fixed order, so that part of the pool always serves. See docs/WEIGHTS.md.

use smol_str::SmolStr;
use strum::{Display, IntoStaticStr};

use crate::{rendezvous, Moment};

/// Time after which an order that the engine did not carry out is repeated.
const ORDER_RETRY_INTERVAL: Moment = Moment::from_millis(500);

/// The stages of an upgrade.
#[derive(Clone, Copy, Debug, Default, Display, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum UpgradeStage {
    /// The engine serves the target version, or there is none.
    #[default]
    Settled,
    /// Chunks of the target version are missing.
    Fetching,
    /// The engine loads the target version while it serves the old one.
    Loading,
    /// The engine waits for other hosts to switch first.
    Waiting,
    /// The running requests on the old version finish.
    Draining,
    /// The engine switches to the target version.
    Switching,
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpgradeEvent {
    /// The declaration has a new target version, or none.
    TargetChanged(Option<SmolStr>),
    /// All chunks of a version are stored and verified.
    ChunksComplete(SmolStr),
    /// The engine reported its versions.
    EngineReported {
        /// The version that it serves.
        serving: Option<SmolStr>,
        /// The version that it has loaded and can switch to.
        loaded: Option<SmolStr>,
    },
    /// The engine does not respond.
    EngineUnreachable,
    /// The engine accepted (`true`) or refused the last order.
    OrderResult(bool),
    /// Whether all hosts that switch before this one have switched.
    MaySwitch(bool),
    /// The number of requests that run on the engine.
    RunningRequests(u32),
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpgradeAction {
    /// Fetch a version, and stop fetching any other one.
    Fetch(SmolStr),
    /// Order the engine to load a version while it serves the old one.
    OrderLoad(SmolStr),
    /// Order the engine to switch to a loaded version.
    OrderSwitch(SmolStr),
    /// Admit no more requests; waiting requests stay in the queue.
    HoldRequests,
    /// Admit requests again, starting at the cold limit, and pin them to this version.
    AdmitRequests(SmolStr),
    /// Refuse requests, since the engine serves no version.
    RefuseRequests,
}

/// The upgrade of one engine.
#[derive(Debug, Default)]
pub struct Upgrade {
    target: Option<SmolStr>,
    /// The last version of which all chunks were stored.
    complete: Option<SmolStr>,
    serving: Option<SmolStr>,
    stage: UpgradeStage,
    /// When the last order was sent; `None` if the next one may be sent at once.
    ordered_at: Option<Moment>,
    running: u32,
    /// Whether requests are admitted.
    admitting: bool,
    /// Whether the engine has reported its versions at least once.
    engine_seen: bool,
}

impl Upgrade {
    /// The current stage.
    pub fn stage(&self) -> UpgradeStage {
        self.stage
    }

    /// The version that the engine serves.
    pub fn serving(&self) -> Option<&SmolStr> {
        self.serving.as_ref()
    }

    /// The target version.
    pub fn target(&self) -> Option<&SmolStr> {
        self.target.as_ref()
    }

    /// Whether this host has switched to `version`; its successor in the switch order asks for this.
    pub fn has_switched_to(&self, version: &str) -> bool {
        self.serving.as_deref() == Some(version)
    }

    /// Applies an event and returns the actions that follow from it.
    pub fn handle(&mut self, now: Moment, event: UpgradeEvent) -> Vec<UpgradeAction> {
        match event {
            UpgradeEvent::TargetChanged(version) => self.set_target(version),
            UpgradeEvent::ChunksComplete(version) => self.on_chunks_complete(now, version),
            UpgradeEvent::EngineReported { serving, loaded } => {
                self.on_engine_reported(now, serving, loaded)
            }
            UpgradeEvent::EngineUnreachable => self.on_engine_unreachable(),
            UpgradeEvent::OrderResult(accepted) => self.on_order_result(accepted),
            UpgradeEvent::MaySwitch(allowed) => self.on_may_switch(now, allowed),
            UpgradeEvent::RunningRequests(running) => self.on_running_requests(now, running),
        }
    }

    fn set_target(&mut self, version: Option<SmolStr>) -> Vec<UpgradeAction> {
        if version == self.target {
            return Vec::new();
        }
        self.target = version;
        self.ordered_at = None;
        let mut actions = self.resume_if_held();
        actions.extend(self.restart());
        actions
    }

    /// Admits requests again if the upgrade is abandoned while they are held.
    fn resume_if_held(&mut self) -> Vec<UpgradeAction> {
        let requests_held = matches!(self.stage, UpgradeStage::Draining | UpgradeStage::Switching);
        match &self.serving {
            Some(serving) if requests_held => {
                self.admitting = true;
                vec![UpgradeAction::AdmitRequests(serving.clone())]
            }
            _ => Vec::new(),
        }
    }

    /// Starts an upgrade to the target version, once the engine has reported what it serves.
    fn restart(&mut self) -> Vec<UpgradeAction> {
        if !self.engine_seen {
            self.stage = UpgradeStage::Settled;
            return Vec::new();
        }
        let Some(target) = self.target.clone() else {
            self.stage = UpgradeStage::Settled;
            return Vec::new();
        };
        if self.serving.as_ref() == Some(&target) {
            self.stage = UpgradeStage::Settled;
            return Vec::new();
        }
        if self.complete.as_ref() == Some(&target) {
            self.stage = UpgradeStage::Loading;
            return Vec::new();
        }
        self.stage = UpgradeStage::Fetching;
        vec![UpgradeAction::Fetch(target)]
    }

    fn on_chunks_complete(&mut self, now: Moment, version: SmolStr) -> Vec<UpgradeAction> {
        self.complete = Some(version.clone());
        if self.target.as_ref() != Some(&version) || self.stage != UpgradeStage::Fetching {
            return Vec::new();
        }
        self.stage = UpgradeStage::Loading;
        self.order_load(now)
    }

    fn order_load(&mut self, now: Moment) -> Vec<UpgradeAction> {
        let Some(target) = self.take_due_order(now) else {
            return Vec::new();
        };
        vec![UpgradeAction::OrderLoad(target)]
    }

    /// The target version if an order may be sent now, which is then recorded as sent.
    fn take_due_order(&mut self, now: Moment) -> Option<SmolStr> {
        let due = self
            .ordered_at
            .is_none_or(|at| now.saturating_sub(at) >= ORDER_RETRY_INTERVAL);
        if !due {
            return None;
        }
        self.ordered_at = Some(now);
        self.target.clone()
    }

    fn on_engine_reported(
        &mut self,
        now: Moment,
        serving: Option<SmolStr>,
        loaded: Option<SmolStr>,
    ) -> Vec<UpgradeAction> {
        self.engine_seen = true;
        let changed = serving != self.serving;
        self.serving = serving.clone();
        if serving.is_none() {
            let mut actions = self.refuse();
            actions.extend(self.advance(now, loaded));
            return actions;
        }
        if serving == self.target {
            self.stage = UpgradeStage::Settled;
            self.ordered_at = None;
        }
        let requests_held = matches!(self.stage, UpgradeStage::Draining | UpgradeStage::Switching);
        let mut actions = Vec::new();
        if let Some(version) = serving.filter(|_| !requests_held && (changed || !self.admitting)) {
            self.admitting = true;
            actions.push(UpgradeAction::AdmitRequests(version));
        }
        actions.extend(self.advance(now, loaded));
        actions
    }

    fn refuse(&mut self) -> Vec<UpgradeAction> {
        if std::mem::replace(&mut self.admitting, false) {
            return vec![UpgradeAction::RefuseRequests];
        }
        Vec::new()
    }

    /// Advances the stage according to the version that the engine has loaded.
    fn advance(&mut self, now: Moment, loaded: Option<SmolStr>) -> Vec<UpgradeAction> {
        let ready = loaded.is_some() && loaded == self.target;
        match self.stage {
            UpgradeStage::Settled if self.target.is_some() && self.serving != self.target => {
                self.restart()
            }
            UpgradeStage::Loading if ready => {
                self.stage = UpgradeStage::Waiting;
                self.ordered_at = None;
                Vec::new()
            }
            UpgradeStage::Loading => self.order_load(now),
            UpgradeStage::Waiting | UpgradeStage::Draining | UpgradeStage::Switching if !ready => {
                // The engine restarted and lost the loaded version.
                let mut actions = self.resume_if_held();
                self.stage = UpgradeStage::Loading;
                actions.extend(self.order_load(now));
                actions
            }
            UpgradeStage::Switching => self.order_switch(now),
            _ => Vec::new(),
        }
    }

    fn order_switch(&mut self, now: Moment) -> Vec<UpgradeAction> {
        let Some(target) = self.take_due_order(now) else {
            return Vec::new();
        };
        vec![UpgradeAction::OrderSwitch(target)]
    }

    fn on_engine_unreachable(&mut self) -> Vec<UpgradeAction> {
        self.serving = None;
        self.refuse()
    }

    fn on_order_result(&mut self, accepted: bool) -> Vec<UpgradeAction> {
        if !accepted && self.stage == UpgradeStage::Switching {
            self.ordered_at = None;
        }
        Vec::new()
    }

    fn on_may_switch(&mut self, now: Moment, allowed: bool) -> Vec<UpgradeAction> {
        if self.stage != UpgradeStage::Waiting || !(allowed || self.serving.is_none()) {
            return Vec::new();
        }
        self.stage = UpgradeStage::Draining;
        let mut actions = vec![UpgradeAction::HoldRequests];
        actions.extend(self.on_running_requests(now, self.running));
        actions
    }

    fn on_running_requests(&mut self, now: Moment, running: u32) -> Vec<UpgradeAction> {
        self.running = running;
        if self.stage != UpgradeStage::Draining || running > 0 {
            return Vec::new();
        }
        self.stage = UpgradeStage::Switching;
        self.ordered_at = None;
        self.order_switch(now)
    }
}

/// The host that must have switched before `host` may switch, or `None` if it may switch at once.
///
/// For each version the hosts have a fixed pseudorandom order. They are divided into as many lanes as hosts
/// may switch at once, and each host waits only for the previous one in its lane.
pub fn switch_predecessor(
    version: &str,
    host: &str,
    hosts: &[SmolStr],
    parallel_percent: u64,
) -> Option<SmolStr> {
    let ranked = rendezvous::rank(version.as_bytes(), hosts.iter().map(SmolStr::as_str));
    let lanes = (hosts.len() as u64 * parallel_percent / 100).max(1) as usize;
    let position = ranked.iter().position(|other| *other == host)?;
    let predecessor = position.checked_sub(lanes)?;
    ranked.get(predecessor).map(|name| SmolStr::new(*name))
}
