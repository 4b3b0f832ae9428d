//! Fetches target versions of the weights to this host and switches its engine to them.

mod events;
pub mod http;
mod weights_client;

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
    events::{EnginePolled, FetchCompleted, HandleUpgradeEvent, ManifestReceived, ProbeCompleted},
    weights_client::WeightsClient,
};
use super::{
    admission::VersionAdmission,
    context::{Assignment, SidecarContext},
    pacing::TransferPacing,
};
use crate::{
    audit::{AuditRecord, ChangeKind, Verdict},
    platform::{engine_http::HttpEngine, store_http::HttpWeightStore, PlatformError, WeightStore},
};

/// Interval at which the fetch plan is queried for its next actions.
const FETCH_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the state of the engine is polled during an upgrade.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Poll intervals from one poll of the engine to the next while no upgrade is in progress.
const IDLE_POLL_TICKS: u32 = 5;
/// Time after which an engine must no longer execute an order.
const ORDER_LIFETIME: Duration = Duration::from_secs(5);
/// Delay before a manifest is requested again.
const MANIFEST_RETRY_DELAY: Duration = Duration::from_millis(30);

/// The actor that fetches target versions and upgrades the engine to them.
pub struct WeightsActor {
    client: Rc<WeightsClient>,
    upgrade: Upgrade,
    plan: Option<FetchPlan>,
    engine_boot_id: SmolStr,
    querying_predecessor: bool,
    polling_engine: bool,
    idle_ticks: u32,
}

impl WeightsActor {
    /// Creates the actor; it is not started yet.
    pub fn new(context: Arc<SidecarContext>, pacing: Arc<TransferPacing>) -> Self {
        let settings = &context.settings;
        let http_client = balsamjunction_client::new_client(settings.peer.outbound_ip);
        let origin = settings.origin.map(|address| {
            Box::new(HttpWeightStore::new(http_client.clone(), address)) as Box<dyn WeightStore>
        });
        let engine = Box::new(HttpEngine::new(http_client.clone(), settings.upstream));
        let weights_client = WeightsClient {
            origin,
            engine,
            http_client,
            pacing,
            context,
        };
        Self {
            client: Rc::new(weights_client),
            upgrade: Upgrade::default(),
            plan: None,
            engine_boot_id: SmolStr::default(),
            querying_predecessor: false,
            polling_engine: false,
            idle_ticks: 0,
        }
    }

    fn engine_assignment(&self) -> Option<Assignment> {
        let assignment = self.client.context.assignment();
        assignment.filter(|assignment| assignment.kind == PoolKind::Engine)
    }

    fn handle_event(&mut self, event: UpgradeEvent, ctx: &mut Context<Self>) {
        let now = self.client.context.clock.now();
        for action in self.upgrade.handle(now, event) {
            self.perform(action, ctx);
        }
        self.publish_status();
    }

    fn perform(&mut self, action: UpgradeAction, ctx: &mut Context<Self>) {
        let admission = &self.client.context.admission;
        match action {
            UpgradeAction::Fetch(version) => self.start_fetch(version, ctx),
            UpgradeAction::OrderLoad(version) => self.send_order(version, EngineCommand::Load, ctx),
            UpgradeAction::OrderSwitch(version) => {
                self.send_order(version, EngineCommand::Switch, ctx)
            }
            UpgradeAction::HoldRequests => admission.set_version(VersionAdmission::Switching),
            UpgradeAction::RefuseRequests => admission.set_version(VersionAdmission::None),
            UpgradeAction::AdmitRequests(version) => {
                let old = self.client.context.version_status().serving.clone();
                // Requests are pinned to the published version, so it is published before they are admitted.
                self.publish_status();
                admission.set_version(VersionAdmission::Open);
                self.record_version_switch(old, version);
            }
        }
    }

    fn record_version_switch(&self, old: Option<SmolStr>, new: SmolStr) {
        let old = old.unwrap_or_else(|| "nothing".into());
        if old == new {
            return;
        }
        let host = &self.client.context.settings.peer.host;
        info!("engine on {host} serves {new}");
        self.client.context.state.audit.record(AuditRecord {
            actor: host.clone(),
            kind: ChangeKind::Version,
            from: old,
            to: new,
            verdict: Verdict::Accepted,
            reason: "the engine switched".into(),
        });
    }

    /// Publishes the state of the upgrade to operators and to the request path.
    fn publish_status(&self) {
        let mut versions = self.client.context.version_status();
        versions.serving = self.upgrade.serving().cloned();
        versions.target = self.upgrade.target().cloned();
        versions.stage = SmolStr::new_static(self.upgrade.stage().into());
        if let Some(plan) = &self.plan {
            let total = versions.chunks_total;
            versions.chunks_stored = total.saturating_sub(plan.missing_count() as u32);
        }
    }

    fn start_fetch(&mut self, version: SmolStr, ctx: &mut Context<Self>) {
        self.plan = None;
        let serving = self.upgrade.serving().cloned();
        let keep: Vec<&SmolStr> = serving.iter().chain([&version]).collect();
        self.client.context.chunk_store.retain_versions(&keep);
        {
            let mut versions = self.client.context.version_status();
            versions.chunks_total = 0;
            versions.chunks_stored = 0;
        }
        info!("version {version} is the new target version");
        self.find_manifest(version, ctx);
    }

    fn find_manifest(&mut self, version: SmolStr, ctx: &mut Context<Self>) {
        let client = self.client.clone();
        let addr = ctx.address();
        let search = async move {
            let mut attempts = 0;
            while client.is_target(&version) {
                attempts += 1;
                match client.find_manifest(&version, attempts).await {
                    Some(manifest) => {
                        addr.do_send(ManifestReceived(manifest));
                        return;
                    }
                    None => actix_rt::time::sleep(MANIFEST_RETRY_DELAY).await,
                }
            }
        };
        ctx.spawn(search.into_actor(self));
    }

    fn participants(&self, assignment: &Assignment) -> Participants {
        let peer = &self.client.context.settings.peer;
        Participants {
            host: peer.host.clone(),
            data_centre: peer.data_centre.clone(),
            members: self.client.context.pool_members(assignment),
        }
    }

    fn fetch_tick(&mut self, ctx: &mut Context<Self>) {
        if self.upgrade.stage() == UpgradeStage::Settled {
            return;
        }
        let now = self.client.context.clock.now();
        if let Some(plan) = &mut self.plan {
            let actions = plan.next_actions(now);
            let chunk_store = &self.client.context.chunk_store;
            chunk_store.set_fetching_from_origin(plan.version(), plan.missing_owned());
            for action in actions {
                let client = self.client.clone();
                let addr = ctx.address();
                let version = plan.version().clone();
                match action {
                    FetchAction::Fetch { chunk, source } => {
                        let fetch = async move {
                            let fetched = client.fetch_chunk(&version, chunk, &source).await;
                            let log_error =
                                |e: &PlatformError| debug!("chunk {chunk} was not received: {e}");
                            let received = fetched.inspect_err(log_error).ok();
                            addr.do_send(FetchCompleted {
                                version,
                                chunk,
                                source,
                                received,
                            });
                        };
                        actix_rt::spawn(fetch);
                    }
                    FetchAction::Probe { host, address } => {
                        let probe = async move {
                            let response = client.query_chunk_map(address, &version).await;
                            addr.do_send(ProbeCompleted { host, response });
                        };
                        actix_rt::spawn(probe);
                    }
                }
            }
        }
        let running = self.client.context.admission.load().running;
        self.handle_event(UpgradeEvent::RunningRequests(running), ctx);
    }

    fn engine_tick(&mut self, ctx: &mut Context<Self>) {
        if self.engine_assignment().is_none() || self.client.context.is_state_stale() {
            return;
        }
        self.query_predecessor(ctx);
        self.idle_ticks += 1;
        let idle =
            self.upgrade.stage() == UpgradeStage::Settled && self.idle_ticks < IDLE_POLL_TICKS;
        if self.polling_engine || idle {
            return;
        }
        self.idle_ticks = 0;
        self.polling_engine = true;
        let client = self.client.clone();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            let state = client.engine.state().await;
            let log_error = |e: &PlatformError| debug!("engine did not respond: {e}");
            addr.do_send(EnginePolled(state.inspect_err(log_error).ok()));
        });
    }

    /// Asks the host that switches before this one whether it serves the target version.
    fn query_predecessor(&mut self, ctx: &mut Context<Self>) {
        if self.upgrade.stage() != UpgradeStage::Waiting || self.querying_predecessor {
            return;
        }
        let (Some(assignment), Some(target)) =
            (self.engine_assignment(), self.upgrade.target().cloned())
        else {
            return;
        };
        let members = self.client.context.pool_members(&assignment);
        let hosts: Vec<SmolStr> = members.iter().map(|m| m.host.clone()).collect();
        let percent = assignment.pool_value(ValueKey::TurnoverPercent);
        let host = &self.client.context.settings.peer.host;
        let Some(predecessor) = switch_predecessor(&target, host, &hosts, percent) else {
            self.handle_event(UpgradeEvent::MaySwitch(true), ctx);
            return;
        };
        let address = members.iter().find(|m| m.host == predecessor);
        let Some(address) = address.and_then(|m| m.address.parse().ok()) else {
            return;
        };
        self.querying_predecessor = true;
        let client = self.client.clone();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            let response = client.query_chunk_map(address, &target).await;
            // A host that does not respond serves no old version either, so this one need not wait for it.
            let may_switch = response.is_none_or(|response| response.serving);
            addr.do_send(HandleUpgradeEvent(UpgradeEvent::MaySwitch(may_switch)));
        });
    }

    fn send_order(&mut self, version: SmolStr, command: EngineCommand, ctx: &mut Context<Self>) {
        let context = &self.client.context;
        if context.is_state_stale() {
            return;
        }
        let fence = FencingToken::new(context.state.revision(), context.clock.started_unix_s());
        let not_after = context.clock.unix_ms() + ORDER_LIFETIME.as_millis() as u64;
        let listen = context.settings.peer.inner_listen;
        let order = EngineOrder {
            version,
            fence: fence.value(),
            not_after_ms: not_after,
            weights: Some(format_smolstr!("http://{listen}/weights")),
        };
        let client = self.client.clone();
        let addr = ctx.address();
        actix_rt::spawn(async move {
            let result = match command {
                EngineCommand::Load => client.engine.load(order).await,
                EngineCommand::Switch => client.engine.switch(order).await,
            };
            if let Err(e) = &result {
                warn!("engine did not accept the {command:?} order: {e}");
            }
            addr.do_send(HandleUpgradeEvent(UpgradeEvent::OrderResult(
                result.is_ok(),
            )));
        });
    }
}

#[derive(Clone, Copy, Debug)]
enum EngineCommand {
    Load,
    Switch,
}

impl Actor for WeightsActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(FETCH_INTERVAL, |actor, ctx| actor.fetch_tick(ctx));
        ctx.run_interval(ENGINE_POLL_INTERVAL, |actor, ctx| actor.engine_tick(ctx));
        ctx.notify(FleetChanged);
    }
}
