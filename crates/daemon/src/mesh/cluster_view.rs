//! The facts and the members that a process knows.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use balsamjunction_directory::{
    ApplySummary, Change, Directory, Replica, ReplicaUpdate, Verification, VerificationAge,
};
use balsamjunction_policy::{crash::CrashList, membership::Membership, Moment};
use balsamjunction_protocol::{
    mesh::{EngineStatus, MemberRecord, ProcessRole, WeightsUpdate},
    Crash,
};
use strum::IntoEnumIterator;
use tokio::sync::{watch, Notify};

use crate::{
    clock::Clock,
    events::{Event, EventLog},
    metrics::{MeshMetrics, Metrics, RefreshGauges, StateLabels},
    sync::lock,
};

/// Crashes after which a request is not run any more.
const CRASH_LIMIT: u64 = 3;

/// What this process believes, shared by its threads.
pub struct ClusterView {
    /// The clock on which ages are counted.
    pub clock: Clock,
    /// Where changes of belief are told.
    pub events: Arc<EventLog>,
    replica: Mutex<Replica>,
    directory: Mutex<Arc<Directory>>,
    members: Mutex<Membership>,
    crashes: Mutex<CrashList>,
    changes: watch::Sender<u64>,
    behind: Notify,
}

impl ClusterView {
    /// Knows nothing but this process itself.
    pub fn new(clock: Clock, events: Arc<EventLog>, own: MemberRecord) -> Self {
        Self {
            clock,
            events,
            replica: Mutex::default(),
            directory: Mutex::default(),
            members: Mutex::new(Membership::new(own)),
            crashes: Mutex::default(),
            changes: watch::channel(0).0,
            behind: Notify::new(),
        }
    }

    /// The facts in lookup form.
    pub fn directory(&self) -> Arc<Directory> {
        lock(&self.directory).clone()
    }

    /// Gives every change of facts or of what sidecars say.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// The revision up to which facts are known.
    pub fn revision(&self) -> u64 {
        lock(&self.replica).revision()
    }

    /// How long ago the facts were proved; nothing if they never were.
    pub fn facts_age(&self) -> Option<Duration> {
        let proved = lock(&self.replica).verified_at()?;
        Some(self.clock.now().saturating_sub(proved))
    }

    /// The version of the configuration in force; zero if none is known.
    pub fn configuration_version(&self) -> u64 {
        let directory = self.directory();
        let table = directory.route_table.as_ref();
        table.map_or(0, |table| table.declaration.version)
    }

    /// Takes changes that follow what is known.
    pub fn apply(&self, changes: Vec<Change>, proof: Verification, source: &str) {
        self.update(source, |replica, now| replica.apply(now, changes, proof));
    }

    /// Takes a whole listing, of which the first page was complete at `proof.at`.
    pub fn replace(&self, changes: Vec<Change>, proof: Verification, source: &str) {
        self.update(source, |replica, now| {
            replica.replace(now, changes, proof.revision, proof)
        });
    }

    /// Takes a peer's answer to a question that was sent at `asked`.
    pub fn merge_peer_update(&self, asked: Moment, update: ReplicaUpdate, source: &str) {
        self.update(source, |replica, now| {
            replica.apply_update(now, asked, update)
        });
    }

    /// Notes that nothing beyond what is known existed when the question was sent.
    pub fn mark_verified(&self, proof: Verification) {
        lock(&self.replica).mark_verified(proof);
    }

    /// Notes that a question to the store that was sent at `asked` got no answer.
    pub fn record_failed_query(&self, asked: Moment) {
        lock(&self.replica).record_failed_read(asked);
    }

    /// How old the proof of the facts is, for peers.
    pub fn verification_age(&self) -> Option<VerificationAge> {
        lock(&self.replica).verification_age(self.clock.now())
    }

    /// Takes over a peer's proof that was told at `told`, which spares a call to the store.
    pub fn adopt_verification(&self, told: Moment, proof: Option<VerificationAge>) {
        if let Some(proof) = proof {
            lock(&self.replica).adopt_verification(told, proof);
        }
    }

    /// Takes changes after `since` that a peer told unasked.
    pub fn receive_changes(&self, since: u64, update: ReplicaUpdate) {
        self.update("peer's news", |replica, now| {
            let heard = replica.apply_notification(now, since, update);
            if heard.is_none() {
                self.behind.notify_one();
            }
            heard.unwrap_or_default()
        });
    }

    /// Waits until a peer told changes that do not join what is known.
    pub async fn wait_until_behind(&self) {
        self.behind.notified().await;
    }

    fn update(&self, source: &str, change: impl FnOnce(&mut Replica, Moment) -> ApplySummary) {
        let now = self.clock.now();
        let (absorbed, revision, before) = {
            let mut replica = lock(&self.replica);
            let absorbed = change(&mut replica, now);
            if absorbed.changed == 0 {
                return;
            }
            let mut directory = lock(&self.directory);
            let next = Arc::new(Directory::from_replica(&replica, &directory));
            let before = std::mem::replace(&mut *directory, next);
            (absorbed, replica.revision(), before)
        };
        if self.report_new_versions(now, &before) {
            // A peer may have learned of it sooner.
            self.behind.notify_one();
        }
        self.events.emit(&Event::ClusterViewChanged {
            source: source.to_owned(),
            revision,
            configuration: self.configuration_version(),
            changed: absorbed.changed,
        });
        self.notify();
    }

    /// Writes a line for each version that was named since `before`; tells whether there is any.
    fn report_new_versions(&self, now: Moment, before: &Directory) -> bool {
        let age = |at: Moment| now.saturating_sub(at).as_millis() as u64;
        let directory = self.directory();
        let named = directory.target_versions.iter().filter(|(model, wanted)| {
            let old = before.target_versions.get(*model);
            old.is_none_or(|old| old.version != wanted.version)
        });
        let mut any = false;
        for (model, wanted) in named {
            any = true;
            self.events.emit(&Event::VersionPublished {
                model: model.clone(),
                version: wanted.version,
                known_ms: age(wanted.known_since),
                since_ms: wanted.not_before.map(age),
            });
        }
        any
    }

    /// What a peer lacks that is complete up to its own revision.
    pub fn update_for_pull(
        &self,
        pull: &balsamjunction_directory::ReplicaPull,
    ) -> Option<ReplicaUpdate> {
        lock(&self.replica).update_for(self.clock.now(), pull)
    }

    /// What sidecars need to know.
    pub fn weights_update(&self) -> Option<WeightsUpdate> {
        let age = self.facts_age()?;
        let directory = self.directory();
        let declaration = &directory.route_table.as_ref()?.declaration;
        let mut wanted: Vec<_> = directory
            .target_versions
            .iter()
            .map(|(model, wanted)| (model.clone(), wanted.version))
            .collect();
        wanted.sort();
        let mut news = WeightsUpdate {
            age_ms: age.as_millis() as u64,
            target_versions: wanted,
            ..WeightsUpdate::default()
        };
        news.add_services(declaration);
        Some(news)
    }

    /// Uses the view of the other processes.
    pub fn with_members<T>(&self, f: impl FnOnce(&mut Membership, Moment) -> T) -> T {
        f(&mut lock(&self.members), self.clock.now())
    }

    /// Takes what another process tells of members.
    pub fn merge_members(&self, records: Vec<MemberRecord>) {
        let engines = self.engine_statuses();
        self.with_members(|members, now| members.merge_records(now, records));
        if self.engine_statuses() != engines {
            self.notify();
        }
    }

    /// What sidecars say of their engines.
    pub fn engine_statuses(&self) -> Vec<EngineStatus> {
        let mut engines = self.with_members(|members, now| {
            let sidecars = members.live(now, ProcessRole::Sidecar);
            sidecars
                .filter_map(|record| record.engine.clone())
                .collect::<Vec<_>>()
        });
        engines.sort_by_key(|status| status.address);
        engines
    }

    /// Notes crashes; gives those that are news.
    pub fn record_crashes(&self, crashes: Vec<Crash>) -> Vec<Crash> {
        let mut list = lock(&self.crashes);
        let news = crashes.into_iter().filter(|crash| list.add(crash.clone()));
        news.collect()
    }

    /// Clears a request that was served after all.
    pub fn mark_served(&self, fingerprint: u64) {
        lock(&self.crashes).record_success(fingerprint, CRASH_LIMIT);
    }

    /// Whether a request has crashed so many upstreams that it must not run again.
    pub fn crashes_upstreams(&self, fingerprint: u64) -> bool {
        lock(&self.crashes).reaches_limit(fingerprint, CRASH_LIMIT)
    }

    /// Sets the gauges of facts and members.
    fn refresh_gauges(&self, metrics: &MeshMetrics) {
        if let Some(age) = self.facts_age() {
            metrics.facts_age.set(age.as_secs_f64());
        }
        for role in ProcessRole::iter() {
            let up = self.with_members(|members, now| members.live(now, role).count());
            let state = role.to_string();
            let gauge = metrics.members.get_or_create(&StateLabels { state });
            gauge.set(up as i64);
        }
        for (model, wanted) in &self.directory().target_versions {
            let state = format!("wanted-{model}");
            let gauge = metrics.weights.get_or_create(&StateLabels { state });
            gauge.set(wanted.version as i64);
        }
        let own = self.with_members(|members, _| members.own().engine.clone());
        if let Some((model, version)) = own.and_then(|engine| engine.serving) {
            let state = format!("serving-{model}");
            let gauge = metrics.weights.get_or_create(&StateLabels { state });
            gauge.set(version as i64);
        }
    }

    fn notify(&self) {
        self.changes.send_modify(|n| *n += 1);
    }
}

impl RefreshGauges for ClusterView {
    fn refresh(&self, metrics: &Metrics) {
        self.refresh_gauges(&metrics.mesh);
        self.events.refresh(metrics);
    }
}
