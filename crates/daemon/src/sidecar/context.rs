//! State shared by all parts of a sidecar.

use std::sync::{
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    Arc, Mutex, MutexGuard,
};

use balsamjunction_policy::{
    election,
    gate::GateConfig,
    limit::LimitBounds,
    once::{OnceConfig, OnceTable},
    owner::{key_hosts, OwnerHistory},
    queue::Discipline,
    Moment,
};
use balsamjunction_protocol::{MemberState, PeerStatus, VersionStatus};
use balsamjunction_settings::{
    fleet::{LookupContext, PoolKind},
    Fleet, SidecarSettings, ValueKey,
};
use smol_str::SmolStr;

use super::{
    admission::{AdmissionController, VersionAdmission},
    at_most_once::CachedResponse,
    chunks::ChunkStore,
};
use crate::{
    clock::Clock, fleet::FleetState, inner::StatusProvider, process::Lifecycle, sync::lock,
};

/// After a pause of this length the fleet state is not used until it is read again.
const STATE_LEASE: Moment = Moment::from_secs(2);

/// The pool to which the declaration assigns the upstream of this sidecar.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Name of the pool.
    pub pool: SmolStr,
    /// Whether the upstreams of the pool are engines or services.
    pub kind: PoolKind,
    /// The declaration in force.
    pub fleet: Arc<Fleet>,
}

impl Assignment {
    /// The value of a setting for the whole pool.
    pub fn pool_value(&self, key: ValueKey) -> u64 {
        self.fleet.value(key, &LookupContext::for_pool(&self.pool))
    }

    /// A workspace's weight in fair queueing.
    pub fn workspace_weight(&self, workspace: &str) -> u32 {
        let lookup = LookupContext::for_workspace(workspace);
        self.fleet.value(ValueKey::WorkspaceWeight, &lookup) as u32
    }
}

/// State shared by all parts of a sidecar.
pub struct SidecarContext {
    /// The settings of this process.
    pub settings: SidecarSettings,
    /// The fleet state as this process knows it.
    pub state: Arc<FleetState>,
    /// The clock of this process.
    pub clock: Clock,
    /// Whether new requests are accepted.
    pub lifecycle: Lifecycle,
    /// Number of requests whose response is not complete.
    pub in_progress: AtomicUsize,
    /// Admission control for the upstream.
    pub admission: Arc<AdmissionController>,
    /// Weights stored for the engine and for peers.
    pub chunk_store: ChunkStore,
    once_table: Mutex<OnceTable<CachedResponse>>,
    owner_history: Mutex<OwnerHistory>,
    assignment: Mutex<Option<Assignment>>,
    version_status: Mutex<VersionStatus>,
    last_tick_us: AtomicU64,
    state_stale: AtomicBool,
    crash_count: AtomicU64,
}

impl SidecarContext {
    /// A context without a declaration.
    pub fn new(settings: SidecarSettings, state: Arc<FleetState>, clock: Clock) -> Self {
        let discipline = match settings.fair {
            true => Discipline::Fair,
            false => Discipline::Fifo,
        };
        let config = GateConfig {
            bounds: LimitBounds {
                cold: 1,
                warm: 1,
                warm_up_responses: 0,
                detect_slowdown: false,
            },
            queue_length: 0,
            discipline,
        };
        let once = OnceConfig {
            repeat_window: Moment::from_millis(ValueKey::RepeatWindowMs.built_in_default()),
            started_ms: clock.started_unix_ms(),
            started: clock.now(),
        };
        Self {
            admission: Arc::new(AdmissionController::new(clock, config, settings.gate)),
            settings,
            state,
            clock,
            lifecycle: Lifecycle::default(),
            in_progress: AtomicUsize::new(0),
            chunk_store: ChunkStore::default(),
            once_table: Mutex::new(OnceTable::new(once)),
            owner_history: Mutex::default(),
            assignment: Mutex::default(),
            version_status: Mutex::default(),
            last_tick_us: AtomicU64::new(clock.now().as_micros() as u64),
            state_stale: AtomicBool::new(false),
            crash_count: AtomicU64::new(0),
        }
    }

    /// The pool assignment of the upstream; absent until a declaration assigns it to a pool.
    pub fn assignment(&self) -> Option<Assignment> {
        lock(&self.assignment).clone()
    }

    /// The at-most-once table.
    pub fn once_table(&self) -> MutexGuard<'_, OnceTable<CachedResponse>> {
        lock(&self.once_table)
    }

    /// Current and recent owners of idempotency keys.
    pub fn owner_history(&self) -> MutexGuard<'_, OwnerHistory> {
        lock(&self.owner_history)
    }

    /// Versions of this host and the progress of fetching them, as reported to operators.
    pub fn version_status(&self) -> MutexGuard<'_, VersionStatus> {
        lock(&self.version_status)
    }

    /// Number of the next crash of the upstream, from zero at the start of this process.
    pub fn next_crash_number(&self) -> u64 {
        self.crash_count.fetch_add(1, Ordering::AcqRel)
    }

    /// Applies the current declaration and membership list.
    pub fn apply_fleet_state(&self) {
        let snapshot = self.state.snapshot();
        let Some(in_force) = &snapshot.in_force else {
            return;
        };
        let fleet = in_force.fleet.clone();
        let host = &self.settings.peer.host;
        let Some((pool_name, upstream)) = fleet.upstream_on_host(host) else {
            *lock(&self.assignment) = None;
            self.admission.set_draining(true);
            return;
        };
        let lookup = fleet.lookup_context(pool_name, upstream);
        let pool = &fleet.pools[pool_name];
        self.admission
            .configure(self.gate_config(&fleet, &lookup, pool.kind));
        let mut members = snapshot.members.members.iter();
        let leaving = members.any(|m| m.host == *host && m.state == MemberState::Leaving);
        let in_service = fleet.in_service(pool_name, upstream);
        let window = fleet.value(ValueKey::RepeatWindowMs, &lookup);
        self.once_table()
            .set_repeat_window(Moment::from_millis(window));
        let hosts = key_hosts(&fleet, pool_name, pool);
        self.owner_history().update(self.clock.now(), hosts);
        if pool.kind == PoolKind::Service {
            self.admission.set_version(VersionAdmission::Open);
        }
        let stopping = self.lifecycle.is_stopping();
        self.admission
            .set_draining(!in_service || leaving || stopping);
        *lock(&self.assignment) = Some(Assignment {
            pool: pool_name.clone(),
            kind: pool.kind,
            fleet: fleet.clone(),
        });
    }

    fn gate_config(&self, fleet: &Fleet, lookup: &LookupContext, kind: PoolKind) -> GateConfig {
        let value = |key| fleet.value(key, lookup);
        let warm = value(ValueKey::MaxConcurrency) as u32;
        GateConfig {
            bounds: LimitBounds {
                cold: (value(ValueKey::ColdConcurrency) as u32).min(warm),
                warm,
                warm_up_responses: match kind {
                    PoolKind::Engine => value(ValueKey::WarmUpRequests) as u32,
                    PoolKind::Service => 0,
                },
                detect_slowdown: kind == PoolKind::Engine,
            },
            queue_length: value(ValueKey::QueueLength) as usize,
            discipline: match self.settings.fair {
                true => Discipline::Fair,
                false => Discipline::Fifo,
            },
        }
    }

    /// Records an iteration of the watchdog; returns whether the process was paused before it.
    pub fn tick(&self) -> bool {
        let paused = self.is_lease_expired();
        if paused {
            self.state_stale.store(true, Ordering::Release);
        }
        let now = self.clock.now().as_micros() as u64;
        self.last_tick_us.store(now, Ordering::Release);
        paused
    }

    fn is_lease_expired(&self) -> bool {
        let last = Moment::from_micros(self.last_tick_us.load(Ordering::Acquire));
        self.clock.now().saturating_sub(last) > STATE_LEASE
    }

    /// Whether the process was paused and has not read the fleet state since.
    pub fn is_state_stale(&self) -> bool {
        self.state_stale.load(Ordering::Acquire) || self.is_lease_expired()
    }

    /// Records that the fleet state was read again.
    pub fn mark_state_fresh(&self) {
        self.state_stale.store(false, Ordering::Release);
    }
}

impl StatusProvider for SidecarContext {
    fn status(&self) -> PeerStatus {
        let snapshot = self.state.snapshot();
        let peer = &self.settings.peer;
        let members = &snapshot.members.members;
        let assignment = self.assignment();
        PeerStatus {
            host: peer.host.clone(),
            data_centre: peer.data_centre.clone(),
            role: "sidecar".into(),
            ready: assignment.is_some() && !self.admission.draining() && !self.is_state_stale(),
            pool: assignment.map(|assignment| assignment.pool),
            revision: snapshot.revision(),
            generation: snapshot.members.generation,
            reader: election::is_reader(members, &peer.data_centre, &peer.host),
            load: self.admission.load(),
            versions: self.version_status().clone(),
            service_calls: self.state.metrics.service_calls.get(),
        }
    }
}

/// Counts a request as in progress until it is dropped.
pub struct InProgressGuard(Arc<SidecarContext>);

impl InProgressGuard {
    /// Increments the count of requests in progress.
    pub fn start(context: Arc<SidecarContext>) -> Self {
        context.in_progress.fetch_add(1, Ordering::AcqRel);
        Self(context)
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
