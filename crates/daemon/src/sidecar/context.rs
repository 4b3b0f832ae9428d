//! What all parts of a sidecar share.

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
    chunks::ChunkStore,
    gatekeeper::{Gatekeeper, VersionGate},
    once_run::KeptAnswer,
};
use crate::{clock::Clock, fleet::FleetState, inner::Report, process::Lifecycle, sync::lock};

/// After a gap of this length nothing that was believed before it is acted on.
const BELIEF_LEASE: Moment = Moment::from_secs(2);

/// The upstream's place in the declaration.
#[derive(Clone, Debug)]
pub struct Post {
    /// The pool that the upstream belongs to.
    pub pool: SmolStr,
    /// What stands behind the pool.
    pub kind: PoolKind,
    /// The declaration.
    pub fleet: Arc<Fleet>,
}

impl Post {
    /// The value that holds for the whole pool.
    pub fn pool_value(&self, key: ValueKey) -> u64 {
        self.fleet.value(key, &LookupContext::for_pool(&self.pool))
    }

    /// A workspace's weight.
    pub fn weight_of(&self, workspace: &str) -> u32 {
        let place = LookupContext::for_workspace(workspace);
        self.fleet.value(ValueKey::WorkspaceWeight, &place) as u32
    }
}

/// What all parts of a sidecar share.
pub struct SidecarContext {
    /// The settings.
    pub settings: SidecarSettings,
    /// What this process believes about the fleet.
    pub state: Arc<FleetState>,
    /// The clock.
    pub clock: Clock,
    /// Whether new work is taken.
    pub lifecycle: Lifecycle,
    /// Requests whose answer is not complete.
    pub in_progress: AtomicUsize,
    /// Admission.
    pub gate: Arc<Gatekeeper>,
    /// Weights held for the engine and for peers.
    pub chunks: ChunkStore,
    once: Mutex<OnceTable<KeptAnswer>>,
    owners: Mutex<OwnerHistory>,
    post: Mutex<Option<Post>>,
    versions: Mutex<VersionStatus>,
    last_turn_us: AtomicU64,
    stale: AtomicBool,
    crashes: AtomicU64,
}

impl SidecarContext {
    /// A context that knows no declaration yet.
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
            started_ms: clock.started_ms(),
            started: clock.now(),
        };
        Self {
            gate: Arc::new(Gatekeeper::new(clock, config, settings.gate)),
            settings,
            state,
            clock,
            lifecycle: Lifecycle::default(),
            in_progress: AtomicUsize::new(0),
            chunks: ChunkStore::default(),
            once: Mutex::new(OnceTable::new(once)),
            owners: Mutex::default(),
            post: Mutex::default(),
            versions: Mutex::default(),
            last_turn_us: AtomicU64::new(clock.now().as_micros() as u64),
            stale: AtomicBool::new(false),
            crashes: AtomicU64::new(0),
        }
    }

    /// The upstream's place in the declaration, once known.
    pub fn post(&self) -> Option<Post> {
        lock(&self.post).clone()
    }

    /// The at-most-once table.
    pub fn once(&self) -> MutexGuard<'_, OnceTable<KeptAnswer>> {
        lock(&self.once)
    }

    /// The owners of keys, now and until lately.
    pub fn owners(&self) -> MutexGuard<'_, OwnerHistory> {
        lock(&self.owners)
    }

    /// Progress of weights, for operators.
    pub fn versions(&self) -> MutexGuard<'_, VersionStatus> {
        lock(&self.versions)
    }

    /// Counts the crashes of the upstream.
    pub fn next_crash(&self) -> u64 {
        self.crashes.fetch_add(1, Ordering::AcqRel)
    }

    /// Takes over the declaration and the membership list.
    pub fn follow(&self) {
        let snapshot = self.state.snapshot();
        let Some(in_force) = &snapshot.in_force else {
            return;
        };
        let fleet = in_force.fleet.clone();
        let host = &self.settings.peer.host;
        let Some((pool_name, upstream)) = fleet.upstream_on_host(host) else {
            *lock(&self.post) = None;
            self.gate.set_draining(true);
            return;
        };
        let place = fleet.lookup_context(pool_name, upstream);
        let pool = &fleet.pools[pool_name];
        self.gate
            .configure(self.gate_config(&fleet, &place, pool.kind));
        let mut members = snapshot.members.members.iter();
        let leaving = members.any(|m| m.host == *host && m.state == MemberState::Leaving);
        let in_service = fleet.in_service(pool_name, upstream);
        let window = fleet.value(ValueKey::RepeatWindowMs, &place);
        self.once().set_repeat_window(Moment::from_millis(window));
        let hosts = key_hosts(&fleet, pool_name, pool);
        self.owners().update(self.clock.now(), hosts);
        if pool.kind == PoolKind::Service {
            self.gate.set_version(VersionGate::Open);
        }
        let stopping = self.lifecycle.stopping();
        self.gate.set_draining(!in_service || leaving || stopping);
        *lock(&self.post) = Some(Post {
            pool: pool_name.clone(),
            kind: pool.kind,
            fleet: fleet.clone(),
        });
    }

    fn gate_config(&self, fleet: &Fleet, place: &LookupContext, kind: PoolKind) -> GateConfig {
        let value = |key| fleet.value(key, place);
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

    /// Notes a turn of the watch loop; tells whether the process stood still before it.
    pub fn turn(&self) -> bool {
        let paused = self.overslept();
        if paused {
            self.stale.store(true, Ordering::Release);
        }
        let now = self.clock.now().as_micros() as u64;
        self.last_turn_us.store(now, Ordering::Release);
        paused
    }

    fn overslept(&self) -> bool {
        let last = Moment::from_micros(self.last_turn_us.load(Ordering::Acquire));
        self.clock.now().saturating_sub(last) > BELIEF_LEASE
    }

    /// Whether the process stood still and has not read again what it believes.
    pub fn beliefs_stale(&self) -> bool {
        self.stale.load(Ordering::Acquire) || self.overslept()
    }

    /// Notes that everything was read again.
    pub fn beliefs_renewed(&self) {
        self.stale.store(false, Ordering::Release);
    }
}

impl Report for SidecarContext {
    fn status(&self) -> PeerStatus {
        let snapshot = self.state.snapshot();
        let peer = &self.settings.peer;
        let members = &snapshot.members.members;
        let post = self.post();
        PeerStatus {
            host: peer.host.clone(),
            data_centre: peer.data_centre.clone(),
            role: "sidecar".into(),
            ready: post.is_some() && !self.gate.draining() && !self.beliefs_stale(),
            pool: post.map(|post| post.pool),
            revision: snapshot.revision(),
            generation: snapshot.members.generation,
            reader: election::is_reader(members, &peer.data_centre, &peer.host),
            load: self.gate.load(),
            versions: self.versions().clone(),
            service_calls: self.state.metrics.service_calls.get(),
        }
    }
}

/// Counts a request as in progress until it is dropped.
pub struct InProgress(Arc<SidecarContext>);

impl InProgress {
    /// Starts counting.
    pub fn start(context: Arc<SidecarContext>) -> Self {
        context.in_progress.fetch_add(1, Ordering::AcqRel);
        Self(context)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
