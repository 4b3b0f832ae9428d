//! What a stager knows: its engine's report, and which version is wanted.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use awc::Client;
use balsamjunction_directory::{Fact, Subject};
use balsamjunction_platform::{
    store::ALL_KEYS_PREFIX, Engine, EngineReport, PlatformError, Store, WeightOrigin,
};
use balsamjunction_policy::{pace::Pacer, version_queue::versions_to_fetch, Moment};
use balsamjunction_protocol::{
    mesh::{MemberRecord, ProcessRole, WeightsUpdate},
    MemberDocument, MemberState,
};
use balsamjunction_settings::{MeshSettings, StagerSettings};
use log::debug;
use rand::Rng;
use smol_str::{format_smolstr, SmolStr};
use tokio::sync::mpsc::UnboundedReceiver;

use super::holdings::{Holdings, VersionId};
use crate::{
    events::Event,
    mesh::{self, ClusterView, ExchangePurpose},
    metrics::Metrics,
    reload::Seeds,
};

/// How often the engine is asked for its report; the engine is on the same host.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Mean time between questions to entries, spread by half to both sides.
const NEWS_INTERVAL: Duration = Duration::from_millis(300);
/// Least time between questions for all members, which cost a dozen bytes a member; a member is suspected
/// after 2.5 s of silence.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(600);
/// News that is older than this is not believed, and the store is read instead.
const NEWS_LIFE: Duration = Duration::from_millis(2_500);
/// An entry that has not heard of a turn after this time hears of it from others.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(120);
/// Changes of an engine's pace below this are not told, in hundredths of the usual.
const PACE_STEP_PERCENT: u32 = 20;
/// The version that engines hold before any is named.
const FIRST_VERSION: u64 = 1;

/// A stager with all that it knows.
pub struct Stager {
    /// This host and its peers.
    pub settings: MeshSettings,
    /// The service that the engine belongs to.
    pub service: SmolStr,
    /// Time in which engines must have changed to a newer version.
    pub version_within: Duration,
    /// Members of the system.
    pub cluster_view: Arc<ClusterView>,
    /// Chunks that are held.
    pub holdings: Arc<Holdings>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The engine on this host.
    pub engine: Engine,
    /// Connections to peers.
    pub client: Client,
    /// Paces chunks that are fetched.
    pub pacer: RefCell<Pacer>,
    seeds: Seeds,
    store: Store,
    /// When an entry was last asked who is up.
    members_asked: Cell<Moment>,
    report: RefCell<Option<EngineReport>>,
    news: RefCell<Option<(WeightsUpdate, Moment)>>,
    wanted: RefCell<Vec<(VersionId, Moment)>>,
    /// The version that is fetched now, if any is.
    pub fetching: RefCell<Option<VersionId>>,
    /// Whether an order was given that the engine has not carried out yet.
    pub turning: Cell<bool>,
}

/// What a stager shares with the rest of its process.
pub struct Shared {
    /// Entries to meet first.
    pub seeds: Seeds,
    /// Members of the system.
    pub cluster_view: Arc<ClusterView>,
    /// Chunks that are held.
    pub holdings: Arc<Holdings>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Connections to peers, to the engine and to the store.
    pub client: Client,
    /// Bytes a second at which chunks may come.
    pub bulk_rate: u64,
}

impl Stager {
    /// A stager that knows nothing yet.
    pub fn new(settings: &StagerSettings, shared: Shared) -> Self {
        let client = shared.client;
        Self {
            pacer: RefCell::new(Pacer::new(
                shared.cluster_view.clock.now(),
                shared.bulk_rate,
            )),
            settings: settings.mesh.clone(),
            seeds: shared.seeds,
            service: settings.service.clone(),
            version_within: settings.version_within,
            cluster_view: shared.cluster_view,
            holdings: shared.holdings,
            metrics: shared.metrics,
            engine: Engine::new(
                client.clone(),
                balsamjunction_client::new_client(None),
                settings.engine,
            ),
            store: Store::new(client.clone(), settings.mesh.store),
            client,
            members_asked: Cell::new(Moment::ZERO),
            report: RefCell::default(),
            news: RefCell::default(),
            wanted: RefCell::default(),
            fetching: RefCell::default(),
            turning: Cell::new(false),
        }
    }

    /// The time.
    pub fn now(&self) -> Moment {
        self.cluster_view.clock.now()
    }

    /// The engine's last report.
    pub fn report(&self) -> Option<EngineReport> {
        self.report.borrow().clone()
    }

    /// The model that the engine serves.
    pub fn model(&self) -> Option<SmolStr> {
        let news = self.news.borrow();
        let (news, _) = news.as_ref()?;
        let mut models = news.service_models.iter();
        let (_, model) = models.find(|(service, _)| *service == self.service)?;
        Some(model.clone())
    }

    /// The version of a model that the engine serves whole.
    pub fn serving(&self, model: &str) -> Option<u64> {
        let report = self.report.borrow();
        let models = report.as_ref().map(|r| &r.models);
        let mut held = models.into_iter().flatten();
        held.find(|held| held.name == model)
            .map(|held| held.version)
    }

    /// Versions that the engine is to serve or may serve meanwhile, newest first.
    pub fn wanted(&self) -> Vec<VersionId> {
        let wanted = self.wanted.borrow();
        let Some((newest, _)) = wanted.last() else {
            return Vec::new();
        };
        let serving = self.serving(&newest.model).unwrap_or(0);
        let current = wanted.iter().rev().filter(|(id, _)| id.version >= serving);
        current.map(|(id, _)| id.clone()).collect()
    }

    /// Wanted versions that are still to be fetched, newest first.
    pub fn missing(&self) -> Vec<VersionId> {
        versions_to_fetch(self.wanted(), |id| self.holdings.complete(id))
    }

    /// Whether a version is the one that is fetched now.
    pub fn fetches(&self, id: &VersionId) -> bool {
        self.fetching.borrow().as_ref() == Some(id)
    }

    /// The engine's start, in milliseconds since the Unix epoch; nothing if it does not report.
    pub fn engine_born(&self) -> Option<u64> {
        Some(self.report.borrow().as_ref()?.started_at_ms)
    }

    /// Since when a version is known that is newer than the one that the engine serves.
    ///
    /// Where several versions came quickly one after the other, the first of them binds.
    pub fn behind_since(&self, model: &str) -> Option<Moment> {
        let serving = self.serving(model).unwrap_or(0);
        let wanted = self.wanted.borrow();
        let mut newer = wanted.iter().filter(|(id, _)| id.version > serving);
        newer.next().map(|(_, since)| *since)
    }

    /// The origin of weights, if one is known.
    pub fn origin(&self) -> Option<WeightOrigin> {
        let news = self.news.borrow();
        let address: SocketAddr = news.as_ref()?.0.origin.as_ref()?.parse().ok()?;
        Some(WeightOrigin::new(self.client.clone(), address))
    }

    /// What the origin's link carries, in kilobits a second; zero if that is not known.
    pub fn origin_kbit_s(&self) -> u32 {
        let news = self.news.borrow();
        news.as_ref().map_or(0, |(news, _)| news.origin_kbit_s)
    }

    /// Stagers of the same service that are up, this one included, in a fixed order.
    pub fn fellows(&self) -> Vec<MemberDocument> {
        let mut fellows: Vec<MemberDocument> = self.cluster_view.with_members(|members, now| {
            let own = members.own().clone();
            let others = members.live(now, ProcessRole::Sidecar).cloned();
            let same = |record: &MemberRecord| {
                let engine = record.engine.as_ref();
                engine.is_some_and(|engine| engine.service == self.service)
            };
            let others = others.filter(same);
            std::iter::once(own).chain(others).map(document).collect()
        });
        fellows.sort_by(|a, b| a.host.cmp(&b.host));
        fellows
    }

    /// Says that the engine turns, to all entries before it does, so that they send it nothing more
    /// and do not take what breaks off for failures.
    pub async fn announce_turn(&self) {
        self.turning.set(true);
        self.cluster_view.with_members(|members, _| {
            members.set_engine(|engine| !std::mem::replace(&mut engine.switching, true))
        });
        let told = actix_rt::time::timeout(ANNOUNCE_LIMIT, self.tell_entries()).await;
        if told.is_err() {
            debug!("not every entry has heard of the turn");
        }
    }

    fn take_report(&self, report: EngineReport) -> bool {
        let model = self.model();
        let serving = model.and_then(|model| {
            let held = report.models.iter().find(|held| held.name == model)?;
            Some((model, held.version))
        });
        let turning = self.turning.get() || report.order_in_progress;
        let born_ms = report.started_at_ms;
        let pace_percent = (report.service_time_ratio * 100.0).round() as u32;
        *self.report.borrow_mut() = Some(report);
        self.cluster_view.with_members(|members, _| {
            members.set_engine(|engine| {
                let before = engine.clone();
                engine.started_at_ms = born_ms;
                engine.serving = serving;
                engine.switching = turning;
                // Small changes are not worth a message to every entry.
                if engine.service_time_percent.abs_diff(pace_percent) >= PACE_STEP_PERCENT {
                    engine.service_time_percent = pace_percent;
                }
                *engine != before
            })
        })
    }

    /// Tells all entries what this stager knows of its engine.
    pub async fn tell_entries(&self) {
        let entries: Vec<SocketAddr> = self.cluster_view.with_members(|members, now| {
            members.increment_heartbeat();
            let entries = members.live(now, ProcessRole::Entry);
            entries.map(|record| record.address).collect()
        });
        let told = entries.into_iter().map(|address| async move {
            let told = mesh::exchange_once(
                &self.cluster_view,
                &self.client,
                address,
                ExchangePurpose::Weights,
            )
            .await;
            if let Err(e) = told {
                debug!("{address} was not told: {e}");
            }
        });
        futures_util::future::join_all(told).await;
    }

    /// Asks an entry, and the store if no entry answers.
    async fn ask(&self) {
        let target = self.cluster_view.with_members(|members, now| {
            members.increment_heartbeat();
            members.expire(now);
            let seeds = self.seeds.get();
            members.exchange_target(now, ProcessRole::Entry, &seeds, &mut rand::rng())
        });
        let asked = self.now();
        if let Some(address) = target {
            let answer = mesh::exchange_once(
                &self.cluster_view,
                &self.client,
                address,
                ExchangePurpose::Weights,
            );
            match answer.await {
                Ok(answer) => {
                    if !answer.same_members {
                        self.learn_members(address).await;
                    }
                    if let Some(news) = answer.weights {
                        let age = Duration::from_millis(news.age_ms);
                        self.take_news(news, asked.saturating_sub(age));
                    }
                }
                Err(e) => debug!("no news from {address}: {e}"),
            }
        }
        let fresh = self.news.borrow().as_ref().map(|(_, at)| *at);
        let age = fresh.map(|at| self.now().saturating_sub(at));
        if age.is_none_or(|age| age > NEWS_LIFE) {
            match self.read_store().await {
                Ok(news) => self.take_news(news, asked),
                Err(e) => debug!("the store was not read: {e}"),
            }
        }
    }

    /// Asks an entry that knows of others who is up, unless that was done a moment ago.
    async fn learn_members(&self, address: SocketAddr) {
        let now = self.now();
        if now.saturating_sub(self.members_asked.get()) < MEMBERS_INTERVAL {
            return;
        }
        self.members_asked.set(now);
        let told = mesh::exchange_once(
            &self.cluster_view,
            &self.client,
            address,
            ExchangePurpose::Members,
        )
        .await;
        if let Err(e) = told {
            debug!("{address} did not tell who is up: {e}");
        }
    }

    /// Reads the versions straight from the store.
    async fn read_store(&self) -> Result<WeightsUpdate, PlatformError> {
        let mut news = WeightsUpdate::default();
        let mut after = None;
        loop {
            let page = self.store.list(ALL_KEYS_PREFIX, after.as_deref()).await?;
            for change in page.changes {
                match (change.subject, change.fact) {
                    (Subject::Version(model), Some(Fact::Version(version))) => {
                        news.target_versions.push((model, version));
                    }
                    (_, Some(Fact::Declaration(declaration))) => {
                        news.add_services(&declaration);
                    }
                    _ => {}
                }
            }
            after = page.next_after;
            if after.is_none() {
                return Ok(news);
            }
        }
    }

    /// Takes over news; a version never goes back.
    fn take_news(&self, news: WeightsUpdate, proved: Moment) {
        let older = self
            .news
            .borrow()
            .as_ref()
            .is_some_and(|(_, at)| *at > proved);
        if older || news.service_models.is_empty() {
            return;
        }
        *self.news.borrow_mut() = Some((news, proved));
        let Some(model) = self.model() else {
            return;
        };
        let named = self.news.borrow().as_ref().and_then(|(news, _)| {
            let mut wanted = news.target_versions.iter();
            wanted.find(|(name, _)| *name == model).map(|(_, v)| *v)
        });
        let version = named.unwrap_or(FIRST_VERSION);
        let id = VersionId { model, version };
        let mut wanted = self.wanted.borrow_mut();
        let newer = wanted
            .last()
            .is_none_or(|(old, _)| old.model != id.model || old.version < id.version);
        if newer {
            self.cluster_view.events.emit(&Event::Weights {
                model: id.model.clone(),
                version,
                step: "wanted",
                detail: String::new(),
            });
            // A version that is found at the start may have to be in force at any moment.
            let before = match wanted.is_empty() {
                true => self.version_within,
                false => Duration::ZERO,
            };
            wanted.retain(|(old, _)| old.model == id.model);
            wanted.push((id, self.now().saturating_sub(before)));
        }
    }
}

fn document(record: MemberRecord) -> MemberDocument {
    MemberDocument {
        host: record.host,
        data_centre: record.data_centre,
        address: format_smolstr!("{}", record.address),
        state: match record.leaving {
            true => MemberState::Leaving,
            false => MemberState::Live,
        },
    }
}

/// Keeps the engine's report fresh, and tells entries of every change.
pub async fn report_loop(stager: Rc<Stager>) {
    loop {
        match stager.engine.report().await {
            Ok(report) => {
                if stager.take_report(report) {
                    stager.tell_entries().await;
                }
            }
            Err(e) => {
                debug!("engine does not report: {e}");
                *stager.report.borrow_mut() = None;
            }
        }
        actix_rt::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Takes news that entries push.
pub async fn pushed_news_loop(stager: Rc<Stager>, mut rx: UnboundedReceiver<WeightsUpdate>) {
    while let Some(news) = rx.recv().await {
        let age = Duration::from_millis(news.age_ms);
        let proved = stager.now().saturating_sub(age);
        stager.take_news(news, proved);
    }
}

/// Keeps members and wanted versions fresh.
pub async fn news_loop(stager: Rc<Stager>) {
    loop {
        stager.ask().await;
        let part = rand::rng().random_range(0.5..1.5);
        actix_rt::time::sleep(NEWS_INTERVAL.mul_f64(part)).await;
    }
}
