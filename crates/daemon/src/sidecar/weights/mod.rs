//! Brings wanted versions to this host and its engine.

mod events;
pub mod http;
mod link;

pub use self::events::FleetChanged;

use std::{rc::Rc, sync::Arc, time::Duration};

use actix::{Actor, AsyncContext, Context, WrapFuture};
use balsamjunction_policy::{
    fence::FencingToken,
    fetch::{FetchAction, FetchPlan, Participants},
    upgrade::{switch_predecessor, Upgrade, UpgradeAction, UpgradeEvent, UpgradeStage},
};
use balsamjunction_protocol::platform::EngineOrder;
use balsamjunction_settings::{PoolKind, ValueKey};
use log::{debug, info, warn};
use smol_str::{format_smolstr, SmolStr};

use self::{
    events::{EngineSeen, Event, Fetched, ManifestKnown, Probed},
    link::Link,
};
use super::{
    context::{Post, SidecarContext},
    gatekeeper::VersionGate,
    pacing::Pacing,
};
use crate::{
    audit::{Action, Record, Verdict},
    platform::{engine_http::EngineHttp, store_http::StoreHttp, PlatformError, WeightStore},
};

/// How often the fetch plan is asked for what to do.
const FETCH_TURN: Duration = Duration::from_millis(10);
/// How often the engine is asked for its state during a turnover.
const ENGINE_TURN: Duration = Duration::from_millis(50);
/// Turns that are left out between questions while nothing is under way.
const IDLE_TURNS: u32 = 5;
/// An engine must not carry an order out later than this.
const ORDER_LIFETIME: Duration = Duration::from_secs(5);
/// Pause before a manifest is asked for again.
const MANIFEST_RETRY: Duration = Duration::from_millis(30);

/// The actor that brings wanted versions to this host and its engine.
pub struct Weights {
    link: Rc<Link>,
    turnover: Upgrade,
    plan: Option<FetchPlan>,
    boot: SmolStr,
    asking_turn: bool,
    polling: bool,
    idle_turns: u32,
}

impl Weights {
    /// An actor that has not started.
    pub fn new(context: Arc<SidecarContext>, pacing: Arc<Pacing>) -> Self {
        let settings = &context.settings;
        let client = balsamjunction_client::new_client(settings.peer.outbound_ip);
        let origin = settings.origin.map(|address| {
            Box::new(StoreHttp::new(client.clone(), address)) as Box<dyn WeightStore>
        });
        let engine = Box::new(EngineHttp::new(client.clone(), settings.upstream));
        let link = Link {
            origin,
            engine,
            client,
            pacing,
            context,
        };
        Self {
            link: Rc::new(link),
            turnover: Upgrade::default(),
            plan: None,
            boot: SmolStr::default(),
            asking_turn: false,
            polling: false,
            idle_turns: 0,
        }
    }

    fn engine_post(&self) -> Option<Post> {
        let post = self.link.context.post();
        post.filter(|post| post.kind == PoolKind::Engine)
    }

    fn handle_event(&mut self, event: UpgradeEvent, ctx: &mut Context<Self>) {
        let now = self.link.context.clock.now();
        for action in self.turnover.handle(now, event) {
            self.act(action, ctx);
        }
        self.publish();
    }

    fn act(&mut self, action: UpgradeAction, ctx: &mut Context<Self>) {
        let gate = &self.link.context.gate;
        match action {
            UpgradeAction::Fetch(version) => self.start_fetch(version, ctx),
            UpgradeAction::OrderLoad(version) => self.order(version, Order::Load, ctx),
            UpgradeAction::OrderSwitch(version) => self.order(version, Order::Switch, ctx),
            UpgradeAction::HoldRequests => gate.set_version(VersionGate::Switching),
            UpgradeAction::RefuseRequests => gate.set_version(VersionGate::None),
            UpgradeAction::AdmitRequests(version) => {
                let old = self.link.context.versions().serving.clone();
                // Requests are pinned to what is published here, so it comes before they flow.
                self.publish();
                gate.set_version(VersionGate::Open);
                self.audit_version(old, version);
            }
        }
    }

    fn audit_version(&self, old: Option<SmolStr>, new: SmolStr) {
        let old = old.unwrap_or_else(|| "nothing".into());
        if old == new {
            return;
        }
        let host = &self.link.context.settings.peer.host;
        info!("engine on {host} serves {new}");
        self.link.context.state.audit.record(Record {
            who: host.clone(),
            action: Action::Version,
            from: old,
            to: new,
            verdict: Verdict::Accepted,
            why: "the engine switched".into(),
        });
    }

    /// Shows operators and the request path where the turnover stands.
    fn publish(&self) {
        let mut versions = self.link.context.versions();
        versions.serving = self.turnover.serving().cloned();
        versions.target = self.turnover.target().cloned();
        versions.stage = SmolStr::new_static(self.turnover.stage().into());
        if let Some(plan) = &self.plan {
            let total = versions.chunks_total;
            versions.chunks_stored = total.saturating_sub(plan.missing_count() as u32);
        }
    }

    fn start_fetch(&mut self, version: SmolStr, ctx: &mut Context<Self>) {
        self.plan = None;
        let serving = self.turnover.serving().cloned();
        let keep: Vec<&SmolStr> = serving.iter().chain([&version]).collect();
        self.link.context.chunks.retain(&keep);
        {
            let mut versions = self.link.context.versions();
            versions.chunks_total = 0;
            versions.chunks_stored = 0;
        }
        info!("version {version} is wanted");
        self.ask_manifest(version, ctx);
    }

    fn ask_manifest(&mut self, version: SmolStr, ctx: &mut Context<Self>) {
        let link = self.link.clone();
        let addr = ctx.address();
        let ask = async move {
            let mut asked = 0;
            while link.wanted(&version) {
                asked += 1;
                match link.find_manifest(&version, asked).await {
                    Some(manifest) => {
                        addr.do_send(ManifestKnown(manifest));
                        return;
                    }
                    None => actix_rt::time::sleep(MANIFEST_RETRY).await,
                }
            }
        };
        ctx.spawn(ask.into_actor(self));
    }

    fn participants(&self, post: &Post) -> Participants {
        let peer = &self.link.context.settings.peer;
        Participants {
            host: peer.host.clone(),
            data_centre: peer.data_centre.clone(),
            members: self.link.context.pool_members(post),
        }
    }

    fn fetch_turn(&mut self, ctx: &mut Context<Self>) {
        if self.turnover.stage() == UpgradeStage::Settled {
            return;
        }
        let now = self.link.context.clock.now();
        if let Some(plan) = &mut self.plan {
            for action in plan.next_actions(now) {
                let link = self.link.clone();
                let addr = ctx.address();
                let version = plan.version().clone();
                match action {
                    FetchAction::Fetch { chunk, source } => {
                        let fetch = async move {
                            let fetched = link.fetch(&version, chunk, &source).await;
                            let missed =
                                |e: &PlatformError| debug!("chunk {chunk} did not come: {e}");
                            let arrival = fetched.inspect_err(missed).ok();
                            addr.do_send(Fetched {
                                version,
                                chunk,
                                source,
                                arrival,
                            });
                        };
                        actix_rt::spawn(fetch);
                    }
                    FetchAction::Probe { host, address } => {
                        let probe = async move {
                            let answer = link.have(address, &version).await;
                            addr.do_send(Probed { host, answer });
                        };
                        actix_rt::spawn(probe);
                    }
                }
            }
        }
        let running = self.link.context.gate.load().running;
        self.handle_event(UpgradeEvent::RunningRequests(running), ctx);
    }

    fn engine_turn(&mut self, ctx: &mut Context<Self>) {
        if self.engine_post().is_none() || self.link.context.beliefs_stale() {
            return;
        }
        self.ask_for_turn(ctx);
        self.idle_turns += 1;
        let idle = self.turnover.stage() == UpgradeStage::Settled && self.idle_turns < IDLE_TURNS;
        if self.polling || idle {
            return;
        }
        self.idle_turns = 0;
        self.polling = true;
        let link = self.link.clone();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            let state = link.engine.state().await;
            let silent = |e: &PlatformError| debug!("engine does not answer: {e}");
            addr.do_send(EngineSeen(state.inspect_err(silent).ok()));
        });
    }

    /// Asks the host that switches before this one whether it has.
    fn ask_for_turn(&mut self, ctx: &mut Context<Self>) {
        if self.turnover.stage() != UpgradeStage::Waiting || self.asking_turn {
            return;
        }
        let (Some(post), Some(wanted)) = (self.engine_post(), self.turnover.target().cloned())
        else {
            return;
        };
        let members = self.link.context.pool_members(&post);
        let hosts: Vec<SmolStr> = members.iter().map(|m| m.host.clone()).collect();
        let percent = post.pool_value(ValueKey::TurnoverPercent);
        let host = &self.link.context.settings.peer.host;
        let Some(before) = switch_predecessor(&wanted, host, &hosts, percent) else {
            self.handle_event(UpgradeEvent::MaySwitch(true), ctx);
            return;
        };
        let address = members.iter().find(|m| m.host == before);
        let Some(address) = address.and_then(|m| m.address.parse().ok()) else {
            return;
        };
        self.asking_turn = true;
        let link = self.link.clone();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            let answer = link.have(address, &wanted).await;
            // A host that is gone cannot serve the old version either; waiting for it helps nobody.
            let may = answer.is_none_or(|answer| answer.serving);
            addr.do_send(Event(UpgradeEvent::MaySwitch(may)));
        });
    }

    fn order(&mut self, version: SmolStr, order: Order, ctx: &mut Context<Self>) {
        let context = &self.link.context;
        if context.beliefs_stale() {
            return;
        }
        let fence = FencingToken::new(context.state.revision(), context.clock.started_s());
        let not_after = context.clock.unix_ms() + ORDER_LIFETIME.as_millis() as u64;
        let listen = context.settings.peer.inner_listen;
        let message = EngineOrder {
            version,
            fence: fence.value(),
            not_after_ms: not_after,
            weights: Some(format_smolstr!("http://{listen}/weights")),
        };
        let link = self.link.clone();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            let taken = match order {
                Order::Load => link.engine.load(message).await,
                Order::Switch => link.engine.switch(message).await,
            };
            if let Err(e) = &taken {
                warn!("engine did not take the order to {order:?}: {e}");
            }
            addr.do_send(Event(UpgradeEvent::OrderResult(taken.is_ok())));
        });
    }
}

#[derive(Clone, Copy, Debug)]
enum Order {
    Load,
    Switch,
}

impl Actor for Weights {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(FETCH_TURN, |actor, ctx| actor.fetch_turn(ctx));
        ctx.run_interval(ENGINE_TURN, |actor, ctx| actor.engine_turn(ctx));
        ctx.notify(FleetChanged);
    }
}
