//! What all threads of an entry share.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
};

use actix::Addr;
use balsamjunction_policy::{
    election,
    owner::{key_hosts, select_owner},
    retry::{next_step, Attempt, NextStep, RetryBudget},
    router::{Feedback, Router, SelectionConstraints, SelectionPolicy, UpstreamKey},
};
use balsamjunction_protocol::{MemberState, PeerStatus};
use balsamjunction_settings::{fleet::LookupContext, Fleet, ValueKey};
use log::warn;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::{format_smolstr, SmolStr};

use crate::{
    audit::{Action, Record, Verdict},
    clock::Clock,
    fleet::{Disseminator, FleetState, PullFrom},
    inner::Report,
    process::Lifecycle,
    sync::lock,
};

/// What all threads of an entry share.
pub struct EntryContext {
    /// What this process believes about the fleet.
    pub state: Arc<FleetState>,
    /// The clock.
    pub clock: Clock,
    /// Whether new work is taken.
    pub lifecycle: Lifecycle,
    /// Requests whose answer is not complete.
    pub in_progress: AtomicUsize,
    disseminator: Addr<Disseminator>,
    router: Mutex<Router>,
    budgets: Mutex<HashMap<SmolStr, RetryBudget>>,
}

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub struct Target {
    /// The upstream in the router's arena.
    pub key: UpstreamKey,
    /// Its host.
    pub host: SmolStr,
    /// Its sidecar.
    pub sidecar: std::net::SocketAddr,
}

impl EntryContext {
    /// A context without upstreams.
    pub fn new(
        state: Arc<FleetState>,
        disseminator: Addr<Disseminator>,
        clock: Clock,
        choice: SelectionPolicy,
    ) -> Self {
        let rng = Pcg64Mcg::from_rng(&mut rand::rng());
        let peer = &state.peer;
        let router = Router::new(peer.host.clone(), peer.data_centre.clone(), choice, rng);
        Self {
            state,
            clock,
            lifecycle: Lifecycle::default(),
            in_progress: AtomicUsize::new(0),
            disseminator,
            router: Mutex::new(router),
            budgets: Mutex::default(),
        }
    }

    /// Chooses an upstream of a pool.
    pub fn choose(&self, pool: &str, wanted: &SelectionConstraints<'_>) -> Option<Target> {
        let mut router = lock(&self.router);
        let key = router.choose(self.clock.now(), pool, wanted)?;
        target(&router, key)
    }

    /// The upstream that owns an idempotency key.
    pub fn owner_of(&self, fleet: &Fleet, pool: &SmolStr, key: &str) -> Option<Target> {
        let hosts = key_hosts(fleet, pool, fleet.pools.get(pool)?);
        let host = select_owner(key, &hosts)?;
        let mut router = lock(&self.router);
        let upstream = match router.on_host(&host) {
            Some(upstream) => upstream,
            None => router.add_outside_subset(self.clock.now(), fleet, &host)?,
        };
        router.begin_attempt(upstream);
        target(&router, upstream)
    }

    /// Notes what came of an attempt.
    pub fn feedback(&self, target: &Target, feedback: Feedback) {
        let ejected = lock(&self.router).record_feedback(self.clock.now(), target.key, feedback);
        if !ejected {
            return;
        }
        warn!("upstream {} is left out for a while", target.host);
        self.state.metrics.ejections.inc();
        self.state.audit.record(Record {
            who: self.state.peer.host.clone(),
            action: Action::Ejection,
            from: "used".into(),
            to: format_smolstr!("{} left out", target.host),
            verdict: Verdict::Accepted,
            why: "it failed repeatedly".into(),
        });
    }

    /// How late answers of an upstream are because of the links, 100 for not at all.
    pub fn lateness_percent(&self, target: &Target) -> u32 {
        let router = lock(&self.router);
        router
            .get(target.key)
            .map_or(100, |view| view.lateness_percent())
    }

    /// Notes that a request no longer occupies an upstream.
    pub fn end(&self, target: &Target) {
        lock(&self.router).end_attempt(target.key);
    }

    /// Notes the first attempt of a request.
    pub fn earn_retry(&self, fleet: &Fleet, pool: &SmolStr) {
        let percent = fleet.value(ValueKey::RetryPercent, &LookupContext::for_pool(pool));
        let mut budgets = lock(&self.budgets);
        budgets.entry(pool.clone()).or_default().deposit(percent);
    }

    /// Decides what follows an attempt.
    pub fn next_step(&self, pool: &SmolStr, attempt: &Attempt) -> NextStep {
        let mut budgets = lock(&self.budgets);
        next_step(attempt, budgets.entry(pool.clone()).or_default())
    }

    /// Asks a peer that seems to have a newer declaration.
    pub fn suspect(&self, target: &Target, revision: u64) {
        if revision > self.state.revision() {
            let peer = target.sidecar;
            self.disseminator.do_send(PullFrom { peer });
        }
    }

    fn configure(&self) {
        let snapshot = self.state.snapshot();
        let Some(in_force) = &snapshot.in_force else {
            return;
        };
        let leaving: Vec<SmolStr> = snapshot
            .members
            .members
            .iter()
            .filter(|m| m.state == MemberState::Leaving)
            .map(|m| m.host.clone())
            .collect();
        let mut router = lock(&self.router);
        router.configure(self.clock.now(), &in_force.fleet, &leaving);
    }
}

fn target(router: &Router, key: UpstreamKey) -> Option<Target> {
    let view = router.get(key)?;
    Some(Target {
        key,
        host: view.host.clone(),
        sidecar: view.sidecar,
    })
}

/// Keeps the router in step with declaration and members.
pub async fn follow_fleet(context: Arc<EntryContext>) {
    let mut changes = context.state.subscribe();
    loop {
        context.configure();
        if changes.changed().await.is_err() {
            return;
        }
    }
}

impl Report for EntryContext {
    fn status(&self) -> PeerStatus {
        let snapshot = self.state.snapshot();
        let peer = &self.state.peer;
        let members = &snapshot.members.members;
        PeerStatus {
            host: peer.host.clone(),
            data_centre: peer.data_centre.clone(),
            role: "entry".into(),
            revision: snapshot.revision(),
            generation: snapshot.members.generation,
            ready: snapshot.in_force.is_some() && !self.lifecycle.stopping(),
            reader: election::is_reader(members, &peer.data_centre, &peer.host),
            service_calls: self.state.metrics.service_calls.get(),
            ..PeerStatus::default()
        }
    }
}

/// Counts a request as in progress until it is dropped.
pub struct InProgress(Arc<EntryContext>);

impl InProgress {
    /// Starts counting.
    pub fn start(context: Arc<EntryContext>) -> Self {
        context.in_progress.fetch_add(1, Ordering::AcqRel);
        Self(context)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
