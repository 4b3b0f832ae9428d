//! State of a stager: the report of its engine, the target versions and the members of the system.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use awc::Client;
use balsamjunction_client::ClientOptions;
use balsamjunction_directory::{Fact, Subject};
use balsamjunction_platform::{
    store::{CONFIGURATION_PREFIX, VERSIONS_PREFIX},
    Engine, EngineReport, PlatformError, Store, WeightOrigin, STAGING_IDLE_LIMIT,
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

use super::chunk_cache::{ChunkCache, VersionId};
use crate::{
    events::Event,
    mesh::{self, ClusterView, ExchangePurpose, PeerClient},
    metrics::Metrics,
    reload::Seeds,
};

/// How often the report of the engine, which is on the same host, is requested.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Mean time between exchanges with an entry, with a jitter of half of it in both directions.
const REFRESH_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum time between requests for all members, whose responses take a dozen bytes per member. A member
/// is suspected after 2.5 s without a heartbeat.
const MIN_MEMBERS_INTERVAL: Duration = Duration::from_millis(600);
/// A weights update that is older than this is stale, and the store is read instead.
const MAX_UPDATE_AGE: Duration = Duration::from_millis(2_500);
/// Time limit of the notification of entries before a switch. Entries that it does not reach in time
/// receive the state from their peers.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(120);
/// An origin that does not accept a connection within this time counts as unreachable. While it is, four hosts try it;
/// with a second for each attempt, its return would be noticed too late.
const ORIGIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Changes of the relative service time of an engine below this many percentage points are not reported.
const SERVICE_TIME_STEP_PERCENT: u32 = 20;
/// The version that engines serve before any is published.
const INITIAL_VERSION: u64 = 1;

/// The state of a stager process, shared by its loops.
pub struct Stager {
    /// Settings of the mesh: this host and how it reaches the others.
    pub settings: MeshSettings,
    /// Name of the service that the engine belongs to.
    pub service: SmolStr,
    /// Time within which engines must switch to a newer version.
    pub version_within: Duration,
    /// The members of the system, as known to this process.
    pub cluster_view: Arc<ClusterView>,
    /// Verified chunks.
    pub chunk_cache: Arc<ChunkCache>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Client of the engine on this host.
    pub engine: Engine,
    /// HTTP client for peers and the origin.
    pub client: Client,
    /// The same for calls of the mesh.
    peer_client: PeerClient,
    /// HTTP client for the origin.
    origin_client: Client,
    /// Limits the rate of fetched chunks.
    pub pacer: RefCell<Pacer>,
    seeds: Seeds,
    store: Store,
    /// When all members were last requested.
    members_requested_at: Cell<Moment>,
    report: RefCell<Option<EngineReport>>,
    /// The last weights update, and when it was last verified.
    update: RefCell<Option<(WeightsUpdate, Moment)>>,
    /// Target versions in ascending order, and since when each is known.
    targets: RefCell<Vec<(VersionId, Moment)>>,
    /// The version that is being fetched, if any.
    pub fetching: RefCell<Option<VersionId>>,
    /// Whether the engine is about to switch or is switching.
    pub switching: Cell<bool>,
}

/// Objects that a stager shares with the servers of its process.
pub struct SharedState {
    /// Entries to contact first.
    pub seeds: Seeds,
    /// The members of the system, as known to this process.
    pub cluster_view: Arc<ClusterView>,
    /// Verified chunks.
    pub chunk_cache: Arc<ChunkCache>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// HTTP client for peers, the engine and the store.
    pub client: Client,
    /// Most bytes a second at which chunks are fetched.
    pub bulk_bytes_per_s: u64,
}

impl Stager {
    /// Creates a stager without a report and without target versions.
    pub fn new(settings: &StagerSettings, shared: SharedState) -> Self {
        let client = shared.client;
        let peer_client = PeerClient::new(client.clone(), shared.metrics.clone());
        Self {
            pacer: RefCell::new(Pacer::new(
                shared.cluster_view.clock.now(),
                shared.bulk_bytes_per_s,
            )),
            settings: settings.mesh.clone(),
            seeds: shared.seeds,
            service: settings.service.clone(),
            version_within: settings.version_within,
            cluster_view: shared.cluster_view,
            chunk_cache: shared.chunk_cache,
            metrics: shared.metrics,
            engine: Engine::new(
                client.clone(),
                balsamjunction_client::new_client_with(ClientOptions {
                    idle_limit: STAGING_IDLE_LIMIT,
                    ..ClientOptions::default()
                }),
                balsamjunction_client::new_client_with(ClientOptions {
                    reset_on_close: true,
                    ..ClientOptions::default()
                }),
                settings.engine,
            ),
            origin_client: balsamjunction_client::new_client_with(ClientOptions {
                connect_timeout: ORIGIN_CONNECT_TIMEOUT,
                ..ClientOptions::default()
            }),
            store: Store::new(client.clone(), settings.mesh.store),
            client,
            peer_client,
            members_requested_at: Cell::new(Moment::ZERO),
            report: RefCell::default(),
            update: RefCell::default(),
            targets: RefCell::default(),
            fetching: RefCell::default(),
            switching: Cell::new(false),
        }
    }

    /// The current reading of the clock of the process.
    pub fn now(&self) -> Moment {
        self.cluster_view.clock.now()
    }

    /// The last report of the engine; `None` if the last request for one failed.
    pub fn report(&self) -> Option<EngineReport> {
        self.report.borrow().clone()
    }

    /// The model of the service of the engine; `None` until an update was received.
    pub fn model(&self) -> Option<SmolStr> {
        let update = self.update.borrow();
        let (update, _) = update.as_ref()?;
        let mut models = update.service_models.iter();
        let (_, model) = models.find(|(service, _)| *service == self.service)?;
        Some(model.clone())
    }

    /// The version of a model that the engine serves; `None` if it does not serve the model.
    pub fn serving_version(&self, model: &str) -> Option<u64> {
        let report = self.report.borrow();
        let models = report.as_ref().map(|r| &r.models);
        let mut loaded = models.into_iter().flatten();
        loaded
            .find(|loaded| loaded.name == model)
            .map(|loaded| loaded.version)
    }

    /// Target versions that are not older than the version that the engine serves, newest first.
    pub fn target_versions(&self) -> Vec<VersionId> {
        let targets = self.targets.borrow();
        let Some((newest, _)) = targets.last() else {
            return Vec::new();
        };
        let serving = self.serving_version(&newest.model).unwrap_or(0);
        let current = targets.iter().rev().filter(|(id, _)| id.version >= serving);
        current.map(|(id, _)| id.clone()).collect()
    }

    /// Target versions that are not completely fetched, newest first.
    pub fn missing_versions(&self) -> Vec<VersionId> {
        versions_to_fetch(self.target_versions(), |id| {
            self.chunk_cache.is_complete(id)
        })
    }

    /// Versions of which other hosts may need the chunks that this host owns: the newest one, and older ones that a peer
    /// asked for lately. A host that has restarted does not know those from an update.
    pub fn versions_for_others(&self) -> Vec<VersionId> {
        let mut versions: Vec<VersionId> = self.missing_versions().into_iter().take(1).collect();
        let newest = self.targets.borrow().last().map(|(id, _)| id.clone());
        for id in self.chunk_cache.demanded_versions(self.now()) {
            let is_older = newest
                .as_ref()
                .is_some_and(|newest| newest.model == id.model && newest.version > id.version);
            if is_older && self.chunk_cache.has_room_for(&id) && !self.chunk_cache.is_complete(&id)
            {
                versions.push(id);
            }
        }
        versions
    }

    /// Whether a version is being fetched.
    pub fn is_fetching(&self, id: &VersionId) -> bool {
        self.fetching.borrow().as_ref() == Some(id)
    }

    /// Start of the engine in milliseconds since the Unix epoch; `None` if it does not report.
    pub fn engine_started_at_ms(&self) -> Option<u64> {
        Some(self.report.borrow().as_ref()?.started_at_ms)
    }

    /// Since when a version is known that is newer than the one that the engine serves.
    ///
    /// If several versions were published in quick succession, the time of the first of them counts.
    pub fn outdated_since(&self, model: &str) -> Option<Moment> {
        let serving = self.serving_version(model).unwrap_or(0);
        let targets = self.targets.borrow();
        let mut newer = targets.iter().filter(|(id, _)| id.version > serving);
        newer.next().map(|(_, since)| *since)
    }

    /// Client of the origin of the weights, if its address is known.
    pub fn origin(&self) -> Option<WeightOrigin> {
        let update = self.update.borrow();
        let address: SocketAddr = update.as_ref()?.0.origin.as_ref()?.parse().ok()?;
        Some(WeightOrigin::new(self.origin_client.clone(), address))
    }

    /// Capacity of the link of the origin in kilobits a second; zero if unknown.
    pub fn origin_kbit_s(&self) -> u32 {
        let update = self.update.borrow();
        update
            .as_ref()
            .map_or(0, |(update, _)| update.origin_kbit_s)
    }

    /// Live stagers of the same service in all data centres, this one included, ordered by host.
    pub fn service_members(&self) -> Vec<MemberDocument> {
        let mut service_members: Vec<MemberDocument> =
            self.cluster_view.with_members(|members, now| {
                let own = members.own().clone();
                let others = members.live(now, ProcessRole::Sidecar).cloned();
                let is_same_service = |record: &MemberRecord| {
                    let engine = record.engine.as_ref();
                    engine.is_some_and(|engine| engine.service == self.service)
                };
                let others = others.filter(is_same_service);
                std::iter::once(own)
                    .chain(others)
                    .map(build_member_document)
                    .collect()
            });
        service_members.sort_by(|a, b| a.host.cmp(&b.host));
        service_members
    }

    /// Number of live engines of the service, and of those that are switching, this one not counted among the latter.
    pub fn switching_engines(&self) -> (usize, usize) {
        self.cluster_view.with_members(|members, now| {
            let engines = members
                .live(now, ProcessRole::Sidecar)
                .filter_map(|record| record.engine.as_ref())
                .filter(|engine| engine.service == self.service);
            let own = usize::from(self.report.borrow().is_some());
            engines.fold((own, 0), |(all, switching), engine| {
                (all + 1, switching + usize::from(engine.switching))
            })
        })
    }

    /// Notifies all entries before the engine switches, so that they send it no more requests and do not
    /// count requests that the switch aborts as failures.
    pub async fn notify_switch(&self) {
        self.switching.set(true);
        self.cluster_view.with_members(|members, _| {
            members.set_engine(|engine| !std::mem::replace(&mut engine.switching, true))
        });
        let notified = actix_rt::time::timeout(NOTIFY_TIMEOUT, self.notify_entries()).await;
        if notified.is_err() {
            debug!("not every entry was notified of the switch in time");
        }
    }

    fn apply_report(&self, report: EngineReport) -> bool {
        let model = self.model();
        let serving = model.and_then(|model| {
            let loaded = report.models.iter().find(|loaded| loaded.name == model)?;
            Some((model, loaded.version))
        });
        let switching = self.switching.get() || report.order_in_progress;
        let started_at_ms = report.started_at_ms;
        let service_time_percent = (report.service_time_ratio * 100.0).round() as u32;
        *self.report.borrow_mut() = Some(report);
        self.cluster_view.with_members(|members, _| {
            members.set_engine(|engine| {
                let previous = engine.clone();
                engine.started_at_ms = started_at_ms;
                engine.serving = serving;
                engine.switching = switching;
                // Small changes do not justify a message to every entry.
                if engine.service_time_percent.abs_diff(service_time_percent)
                    >= SERVICE_TIME_STEP_PERCENT
                {
                    engine.service_time_percent = service_time_percent;
                }
                *engine != previous
            })
        })
    }

    /// Sends the state of the engine to all entries.
    pub async fn notify_entries(&self) {
        let entries: Vec<SocketAddr> = self.cluster_view.with_members(|members, now| {
            members.increment_heartbeat();
            let entries = members.live(now, ProcessRole::Entry);
            entries.map(|record| record.address).collect()
        });
        let notifications = entries.into_iter().map(|address| async move {
            let exchanged = mesh::exchange_once(
                &self.cluster_view,
                &self.peer_client,
                address,
                ExchangePurpose::Weights,
            )
            .await;
            if let Err(e) = exchanged {
                debug!("cannot notify {address}: {e}");
            }
        });
        futures_util::future::join_all(notifications).await;
    }

    /// Refreshes members and target versions from an entry, or from the store if no entry responds.
    async fn refresh(&self) {
        let target = self.cluster_view.with_members(|members, now| {
            members.increment_heartbeat();
            members.expire(now);
            let seeds = self.seeds.get();
            members.exchange_target(now, ProcessRole::Entry, &seeds, &mut rand::rng())
        });
        let queried_at = self.now();
        if let Some(address) = target {
            let exchange = mesh::exchange_once(
                &self.cluster_view,
                &self.peer_client,
                address,
                ExchangePurpose::Weights,
            );
            match exchange.await {
                Ok(response) => {
                    if !response.same_members {
                        self.refresh_members(address).await;
                    }
                    if let Some(update) = response.weights {
                        let age = Duration::from_millis(update.age_ms);
                        self.apply_update(update, queried_at.saturating_sub(age));
                    }
                }
                Err(e) => debug!("cannot exchange state with {address}: {e}"),
            }
        }
        let verified_at = self.update.borrow().as_ref().map(|(_, at)| *at);
        let age = verified_at.map(|at| self.now().saturating_sub(at));
        if age.is_none_or(|age| age > MAX_UPDATE_AGE) {
            match self.read_store().await {
                Ok(update) => self.apply_update(update, queried_at),
                Err(e) => debug!("cannot read the store: {e}"),
            }
        }
    }

    /// Requests all members from an entry whose members differ, at most once per [`MIN_MEMBERS_INTERVAL`].
    async fn refresh_members(&self, address: SocketAddr) {
        let now = self.now();
        if now.saturating_sub(self.members_requested_at.get()) < MIN_MEMBERS_INTERVAL {
            return;
        }
        self.members_requested_at.set(now);
        let exchanged = mesh::exchange_once(
            &self.cluster_view,
            &self.peer_client,
            address,
            ExchangePurpose::Members,
        )
        .await;
        if let Err(e) = exchanged {
            debug!("cannot request all members from {address}: {e}");
        }
    }

    /// Reads the target versions directly from the store, and the services unless they are known: the configuration that
    /// declares them is long.
    async fn read_store(&self) -> Result<WeightsUpdate, PlatformError> {
        let mut update = match self.update.borrow().as_ref() {
            Some((known, _)) => WeightsUpdate {
                target_versions: Vec::new(),
                ..known.clone()
            },
            None => WeightsUpdate::default(),
        };
        let declaration = match update.service_models.is_empty() {
            true => self.store.list_all(CONFIGURATION_PREFIX).await?.0,
            false => Vec::new(),
        };
        for change in declaration {
            if let Some(Fact::Declaration(declaration)) = change.fact {
                update.add_services(&declaration);
            }
        }
        let (versions, _) = self.store.list_all(VERSIONS_PREFIX).await?;
        for change in versions {
            if let (Subject::Version(model), Some(Fact::Version(version))) =
                (change.subject, change.fact)
            {
                update.target_versions.push((model, version));
            }
        }
        Ok(update)
    }

    /// Applies a weights update that was verified at `verified_at`; neither a target version nor the configuration of the
    /// services goes back.
    fn apply_update(&self, mut update: WeightsUpdate, verified_at: Moment) {
        let is_older = self
            .update
            .borrow()
            .as_ref()
            .is_some_and(|(_, at)| *at > verified_at);
        if is_older || update.service_models.is_empty() {
            return;
        }
        if let Some((known, _)) = self.update.borrow().as_ref() {
            update.keep_later_services(known);
        }
        *self.update.borrow_mut() = Some((update, verified_at));
        let Some(model) = self.model() else {
            return;
        };
        let published = self.update.borrow().as_ref().and_then(|(update, _)| {
            let mut target_versions = update.target_versions.iter();
            target_versions
                .find(|(name, _)| *name == model)
                .map(|(_, v)| *v)
        });
        let version = published.unwrap_or(INITIAL_VERSION);
        let id = VersionId { model, version };
        let mut targets = self.targets.borrow_mut();
        let is_newer = targets
            .last()
            .is_none_or(|(old, _)| old.model != id.model || old.version < id.version);
        if is_newer {
            self.cluster_view.events.emit(&Event::Weights {
                model: id.model.clone(),
                version,
                step: "wanted",
                detail: String::new(),
            });
            // A version that is found at the start may be due at any moment, so it counts as known for the
            // whole time allowed.
            let assumed_age = match targets.is_empty() {
                true => self.version_within,
                false => Duration::ZERO,
            };
            targets.retain(|(old, _)| old.model == id.model);
            targets.push((id, self.now().saturating_sub(assumed_age)));
        }
    }
}

fn build_member_document(record: MemberRecord) -> MemberDocument {
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

/// Requests the report of the engine periodically, and notifies entries of every change.
pub async fn report_loop(stager: Rc<Stager>) {
    loop {
        match stager.engine.report().await {
            Ok(report) => {
                if stager.apply_report(report) {
                    stager.notify_entries().await;
                }
            }
            Err(e) => {
                debug!("cannot get the report of the engine: {e}");
                *stager.report.borrow_mut() = None;
            }
        }
        actix_rt::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Applies weights updates that entries push.
pub async fn receive_updates_loop(stager: Rc<Stager>, mut rx: UnboundedReceiver<WeightsUpdate>) {
    while let Some(update) = rx.recv().await {
        let age = Duration::from_millis(update.age_ms);
        let verified_at = stager.now().saturating_sub(age);
        stager.apply_update(update, verified_at);
    }
}

/// Refreshes members and target versions periodically.
pub async fn refresh_loop(stager: Rc<Stager>) {
    loop {
        stager.refresh().await;
        let jitter = rand::rng().random_range(0.5..1.5);
        actix_rt::time::sleep(REFRESH_INTERVAL.mul_f64(jitter)).await;
    }
}
