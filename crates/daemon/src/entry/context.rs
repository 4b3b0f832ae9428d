//! State shared by all threads of an entry.

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
    audit::{AuditRecord, ChangeKind, Verdict},
    clock::Clock,
    fleet::{Disseminator, FleetState, PullFrom},
    inner::StatusProvider,
    process::Lifecycle,
    sync::lock,
};

/// State shared by all threads of an entry.
pub struct EntryContext {
    /// The fleet state as this process knows it.
    pub state: Arc<FleetState>,
    /// The clock of this process.
    pub clock: Clock,
    /// Whether new requests are accepted.
    pub lifecycle: Lifecycle,
    /// Number of requests whose response is not complete.
    pub in_progress: AtomicUsize,
    disseminator: Addr<Disseminator>,
    router: Mutex<Router>,
    retry_budgets: Mutex<HashMap<SmolStr, RetryBudget>>,
}

/// The upstream that an attempt is sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key of the upstream in the router.
    pub key: UpstreamKey,
    /// Host of the upstream.
    pub host: SmolStr,
    /// Address of the upstream's sidecar.
    pub sidecar: std::net::SocketAddr,
}

impl EntryContext {
    /// A context without a declaration and upstreams.
    pub fn new(
        state: Arc<FleetState>,
        disseminator: Addr<Disseminator>,
        clock: Clock,
        selection: SelectionPolicy,
    ) -> Self {
        let rng = Pcg64Mcg::from_rng(&mut rand::rng());
        let peer = &state.peer;
        let router = Router::new(peer.host.clone(), peer.data_centre.clone(), selection, rng);
        Self {
            state,
            clock,
            lifecycle: Lifecycle::default(),
            in_progress: AtomicUsize::new(0),
            disseminator,
            router: Mutex::new(router),
            retry_budgets: Mutex::default(),
        }
    }

    /// Chooses an upstream of a pool and counts an attempt on it; `None` if no upstream is available.
    pub fn choose_upstream(
        &self,
        pool: &str,
        constraints: &SelectionConstraints<'_>,
    ) -> Option<Target> {
        let mut router = lock(&self.router);
        let key = router.choose(self.clock.now(), pool, constraints)?;
        target_of(&router, key)
    }

    /// Finds the upstream that owns an idempotency key and counts an attempt on it.
    pub fn owner_of_key(&self, fleet: &Fleet, pool: &SmolStr, key: &str) -> Option<Target> {
        let hosts = key_hosts(fleet, pool, fleet.pools.get(pool)?);
        let host = select_owner(key, &hosts)?;
        let mut router = lock(&self.router);
        let upstream = match router.on_host(&host) {
            Some(upstream) => upstream,
            None => router.add_outside_subset(self.clock.now(), fleet, &host)?,
        };
        router.begin_attempt(upstream);
        target_of(&router, upstream)
    }

    /// Records the outcome of an attempt; the router may eject the upstream.
    pub fn record_feedback(&self, target: &Target, feedback: Feedback) {
        let ejected = lock(&self.router).record_feedback(self.clock.now(), target.key, feedback);
        if !ejected {
            return;
        }
        warn!("upstream {} is ejected for a while", target.host);
        self.state.metrics.ejections.inc();
        self.state.audit.record(AuditRecord {
            actor: self.state.peer.host.clone(),
            kind: ChangeKind::Ejection,
            from: "used".into(),
            to: format_smolstr!("{} left out", target.host),
            verdict: Verdict::Accepted,
            reason: "it failed repeatedly".into(),
        });
    }

    /// Lateness of an upstream's responses that the links cause, in percent; 100 means on time.
    pub fn lateness_percent(&self, target: &Target) -> u32 {
        let router = lock(&self.router);
        router
            .get(target.key)
            .map_or(100, |view| view.lateness_percent())
    }

    /// Records that an attempt no longer occupies its upstream.
    pub fn end_attempt(&self, target: &Target) {
        lock(&self.router).end_attempt(target.key);
    }

    /// Credits the retry budget of a pool for the first attempt of a request.
    pub fn deposit_retry_budget(&self, fleet: &Fleet, pool: &SmolStr) {
        let percent = fleet.value(ValueKey::RetryPercent, &LookupContext::for_pool(pool));
        let mut retry_budgets = lock(&self.retry_budgets);
        retry_budgets
            .entry(pool.clone())
            .or_default()
            .deposit(percent);
    }

    /// Decides whether an attempt is followed by a retry; a retry draws on the pool's retry budget.
    pub fn next_step(&self, pool: &SmolStr, attempt: &Attempt) -> NextStep {
        let mut retry_budgets = lock(&self.retry_budgets);
        next_step(attempt, retry_budgets.entry(pool.clone()).or_default())
    }

    /// Pulls from the sidecar of `target` if the revision that it reported is newer than the one in force.
    pub fn pull_if_newer(&self, target: &Target, revision: u64) {
        if revision > self.state.revision() {
            let peer = target.sidecar;
            self.disseminator.do_send(PullFrom { peer });
        }
    }

    fn configure_router(&self) {
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

fn target_of(router: &Router, key: UpstreamKey) -> Option<Target> {
    let view = router.get(key)?;
    Some(Target {
        key,
        host: view.host.clone(),
        sidecar: view.sidecar,
    })
}

/// Reconfigures the router whenever the declaration or the membership list changes.
pub async fn apply_fleet_changes(context: Arc<EntryContext>) {
    let mut changes = context.state.subscribe();
    loop {
        context.configure_router();
        if changes.changed().await.is_err() {
            return;
        }
    }
}

impl StatusProvider for EntryContext {
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
            ready: snapshot.in_force.is_some() && !self.lifecycle.is_stopping(),
            reader: election::is_reader(members, &peer.data_centre, &peer.host),
            service_calls: self.state.metrics.service_calls.get(),
            ..PeerStatus::default()
        }
    }
}

/// Counts a request as in progress until it is dropped.
pub struct InProgressGuard(Arc<EntryContext>);

impl InProgressGuard {
    /// Increments the count of requests in progress.
    pub fn start(context: Arc<EntryContext>) -> Self {
        context.in_progress.fetch_add(1, Ordering::AcqRel);
        Self(context)
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
