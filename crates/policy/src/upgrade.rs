//! How one engine moves from version to version.
//!
//! Fetching and loading happen beside the old version; only the switch itself interrupts service,
//! and sidecars take turns at it, so that a share of the pool always serves. See docs/WEIGHTS.md.

use smol_str::SmolStr;
use strum::{Display, IntoStaticStr};

use crate::{rendezvous, Moment};

/// An order that an engine did not take is given again after this time.
const ORDER_RETRY: Moment = Moment::from_millis(500);

/// Where a turnover stands.
#[derive(Clone, Copy, Debug, Default, Display, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum UpgradeStage {
    /// The wanted version serves, or none is wanted.
    #[default]
    Settled,
    /// Chunks are missing.
    Fetching,
    /// The engine loads the version beside the one that serves.
    Loading,
    /// Others switch first.
    Waiting,
    /// Requests of the old version finish.
    Draining,
    /// The engine switches.
    Switching,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpgradeEvent {
    /// The declaration wants a version.
    TargetChanged(Option<SmolStr>),
    /// All chunks of a version are held and verified.
    ChunksComplete(SmolStr),
    /// The engine says what it serves and what it has loaded beside it.
    EngineReported {
        /// The version that serves.
        serving: Option<SmolStr>,
        /// The version that is loaded and ready to switch to.
        loaded: Option<SmolStr>,
    },
    /// The engine does not answer.
    EngineUnreachable,
    /// The engine took or refused the last order.
    OrderResult(bool),
    /// Those who switch before this host have switched.
    MaySwitch(bool),
    /// Requests that run on the engine.
    RunningRequests(u32),
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpgradeAction {
    /// Fetch a version; a fetch of another one stops.
    Fetch(SmolStr),
    /// Order the engine to load a version beside the one that serves.
    OrderLoad(SmolStr),
    /// Order the engine to switch to a loaded version.
    OrderSwitch(SmolStr),
    /// Grant no more requests; those that wait keep their places.
    HoldRequests,
    /// Grant requests again, from the cold limit, pinned to this version.
    AdmitRequests(SmolStr),
    /// Refuse requests: the engine serves nothing.
    RefuseRequests,
}

/// The turnover of one engine.
#[derive(Debug, Default)]
pub struct Upgrade {
    wanted: Option<SmolStr>,
    complete: Option<SmolStr>,
    serving: Option<SmolStr>,
    stage: UpgradeStage,
    ordered: Option<Moment>,
    running: u32,
    open: bool,
    engine_seen: bool,
}

impl Upgrade {
    /// Where it stands.
    pub fn stage(&self) -> UpgradeStage {
        self.stage
    }

    /// The version that serves.
    pub fn serving(&self) -> Option<&SmolStr> {
        self.serving.as_ref()
    }

    /// The version that is wanted.
    pub fn target(&self) -> Option<&SmolStr> {
        self.wanted.as_ref()
    }

    /// Whether this host has switched to `version`, as those who wait for their turn ask.
    pub fn has_switched_to(&self, version: &str) -> bool {
        self.serving.as_deref() == Some(version)
    }

    /// Takes an event and gives what to do.
    pub fn handle(&mut self, now: Moment, event: UpgradeEvent) -> Vec<UpgradeAction> {
        match event {
            UpgradeEvent::TargetChanged(version) => self.want(version),
            UpgradeEvent::ChunksComplete(version) => self.completed(now, version),
            UpgradeEvent::EngineReported { serving, loaded } => self.engine(now, serving, loaded),
            UpgradeEvent::EngineUnreachable => self.engine_down(),
            UpgradeEvent::OrderResult(taken) => self.order_done(taken),
            UpgradeEvent::MaySwitch(yes) => self.turn(now, yes),
            UpgradeEvent::RunningRequests(running) => self.drained(now, running),
        }
    }

    fn want(&mut self, version: Option<SmolStr>) -> Vec<UpgradeAction> {
        if version == self.wanted {
            return Vec::new();
        }
        self.wanted = version;
        self.ordered = None;
        let mut actions = self.resume_if_held();
        actions.extend(self.restart());
        actions
    }

    /// A turnover that was abandoned while it held requests lets them go on.
    fn resume_if_held(&mut self) -> Vec<UpgradeAction> {
        let held = matches!(self.stage, UpgradeStage::Draining | UpgradeStage::Switching);
        match &self.serving {
            Some(serving) if held => {
                self.open = true;
                vec![UpgradeAction::AdmitRequests(serving.clone())]
            }
            _ => Vec::new(),
        }
    }

    /// Starts towards the wanted version, once it is known what the engine serves.
    fn restart(&mut self) -> Vec<UpgradeAction> {
        if !self.engine_seen {
            self.stage = UpgradeStage::Settled;
            return Vec::new();
        }
        let Some(wanted) = self.wanted.clone() else {
            self.stage = UpgradeStage::Settled;
            return Vec::new();
        };
        if self.serving.as_ref() == Some(&wanted) {
            self.stage = UpgradeStage::Settled;
            return Vec::new();
        }
        if self.complete.as_ref() == Some(&wanted) {
            self.stage = UpgradeStage::Loading;
            return Vec::new();
        }
        self.stage = UpgradeStage::Fetching;
        vec![UpgradeAction::Fetch(wanted)]
    }

    fn completed(&mut self, now: Moment, version: SmolStr) -> Vec<UpgradeAction> {
        self.complete = Some(version.clone());
        if self.wanted.as_ref() != Some(&version) || self.stage != UpgradeStage::Fetching {
            return Vec::new();
        }
        self.stage = UpgradeStage::Loading;
        self.order_load(now)
    }

    fn order_load(&mut self, now: Moment) -> Vec<UpgradeAction> {
        let Some(wanted) = self.due_order(now) else {
            return Vec::new();
        };
        vec![UpgradeAction::OrderLoad(wanted)]
    }

    /// The wanted version, if an order may be given now.
    fn due_order(&mut self, now: Moment) -> Option<SmolStr> {
        let due = self
            .ordered
            .is_none_or(|at| now.saturating_sub(at) >= ORDER_RETRY);
        if !due {
            return None;
        }
        self.ordered = Some(now);
        self.wanted.clone()
    }

    fn engine(
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
        if serving == self.wanted {
            self.stage = UpgradeStage::Settled;
            self.ordered = None;
        }
        let held = matches!(self.stage, UpgradeStage::Draining | UpgradeStage::Switching);
        let mut actions = Vec::new();
        if let Some(version) = serving.filter(|_| !held && (changed || !self.open)) {
            self.open = true;
            actions.push(UpgradeAction::AdmitRequests(version));
        }
        actions.extend(self.advance(now, loaded));
        actions
    }

    fn refuse(&mut self) -> Vec<UpgradeAction> {
        if std::mem::replace(&mut self.open, false) {
            return vec![UpgradeAction::RefuseRequests];
        }
        Vec::new()
    }

    /// Moves on by what the engine has loaded.
    fn advance(&mut self, now: Moment, loaded: Option<SmolStr>) -> Vec<UpgradeAction> {
        let ready = loaded.is_some() && loaded == self.wanted;
        match self.stage {
            UpgradeStage::Settled if self.wanted.is_some() && self.serving != self.wanted => {
                self.restart()
            }
            UpgradeStage::Loading if ready => {
                self.stage = UpgradeStage::Waiting;
                self.ordered = None;
                Vec::new()
            }
            UpgradeStage::Loading => self.order_load(now),
            UpgradeStage::Waiting | UpgradeStage::Draining | UpgradeStage::Switching if !ready => {
                // The engine restarted and lost what it had loaded.
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
        let Some(wanted) = self.due_order(now) else {
            return Vec::new();
        };
        vec![UpgradeAction::OrderSwitch(wanted)]
    }

    fn engine_down(&mut self) -> Vec<UpgradeAction> {
        self.serving = None;
        self.refuse()
    }

    fn order_done(&mut self, taken: bool) -> Vec<UpgradeAction> {
        if !taken && self.stage == UpgradeStage::Switching {
            self.ordered = None;
        }
        Vec::new()
    }

    fn turn(&mut self, now: Moment, yes: bool) -> Vec<UpgradeAction> {
        if self.stage != UpgradeStage::Waiting || !(yes || self.serving.is_none()) {
            return Vec::new();
        }
        self.stage = UpgradeStage::Draining;
        let mut actions = vec![UpgradeAction::HoldRequests];
        actions.extend(self.drained(now, self.running));
        actions
    }

    fn drained(&mut self, now: Moment, running: u32) -> Vec<UpgradeAction> {
        self.running = running;
        if self.stage != UpgradeStage::Draining || running > 0 {
            return Vec::new();
        }
        self.stage = UpgradeStage::Switching;
        self.ordered = None;
        self.order_switch(now)
    }
}

/// The host that must have switched before `host` may, if any.
///
/// The hosts stand in a fixed random order per version, in as many lanes as may switch at once;
/// each waits only for the one before it in its lane.
pub fn switch_predecessor(
    version: &str,
    host: &str,
    hosts: &[SmolStr],
    at_once_percent: u64,
) -> Option<SmolStr> {
    let ranked = rendezvous::rank(version.as_bytes(), hosts.iter().map(SmolStr::as_str));
    let lanes = (hosts.len() as u64 * at_once_percent / 100).max(1) as usize;
    let place = ranked.iter().position(|other| *other == host)?;
    let before = place.checked_sub(lanes)?;
    ranked.get(before).map(|name| SmolStr::new(*name))
}
