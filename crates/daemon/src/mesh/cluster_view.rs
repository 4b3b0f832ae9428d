//! The cluster view: the facts and the members known to a process.

use std::{
    sync::{
        atomic::{AtomicU32, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use balsamjunction_directory::{
    ApplySummary, Change, Declaration, DeclarationId, Digest, Directory, Position, Replica,
    ReplicaUpdate, Verification, VerificationAge,
};
use balsamjunction_policy::{
    crash_suspects::CrashSuspects,
    membership::Membership,
    stated_limits::{StatedLimits, UpstreamId},
    Moment,
};
use balsamjunction_protocol::mesh::{
    EngineStatus, LimitReport, MemberRecord, ProcessRole, WeightsUpdate,
};
use strum::IntoEnumIterator;
use tokio::sync::{watch, Notify};

use super::crash_evidence::SuspectList;
use crate::{
    clock::Clock,
    events::{Event, EventLog},
    metrics::{MeshMetrics, Metrics, RefreshGauges, StateLabels},
    sync::lock,
};

/// Exchanges after a restoration of the store that ask for all facts.
const COMPLETE_PULLS: u32 = 3;

/// The replica of the facts, the members and the recent crashes; shared by the process's threads.
pub struct ClusterView {
    /// The clock that ages and timestamps refer to.
    pub clock: Clock,
    /// The structured log, which receives an event for each change of the view.
    pub events: Arc<EventLog>,
    replica: Mutex<Replica>,
    directory: Mutex<Arc<Directory>>,
    members: Mutex<Membership>,
    pub(super) suspected_parts: Mutex<CrashSuspects>,
    pub(super) suspected_requests: Mutex<CrashSuspects>,
    pub(super) crash_push_needed: Notify,
    limits: Mutex<StatedLimits>,
    limit_changes: watch::Sender<u64>,
    limit_push_needed: Notify,
    changes: watch::Sender<u64>,
    pull_needed: Notify,
    /// The announced configuration whose content is missing.
    wanted_declaration: watch::Sender<Option<DeclarationId>>,
    /// When a peer last responded.
    last_peer_response: Mutex<Option<Moment>>,
    /// Exchanges that should still ask for all facts.
    complete_pulls: AtomicU32,
    restorations: AtomicU64,
}

impl ClusterView {
    /// Creates a view without facts, whose only member is this process.
    ///
    /// `contact_after` is the time after which a process must act on what the others know.
    pub fn new(
        clock: Clock,
        events: Arc<EventLog>,
        own: MemberRecord,
        contact_after: Duration,
    ) -> Self {
        Self {
            suspected_parts: Mutex::new(CrashSuspects::new(contact_after / 2)),
            suspected_requests: Mutex::new(CrashSuspects::of_requests(contact_after / 2)),
            crash_push_needed: Notify::new(),
            clock,
            events,
            replica: Mutex::default(),
            directory: Mutex::default(),
            members: Mutex::new(Membership::new(own)),
            limits: Mutex::default(),
            limit_changes: watch::channel(0).0,
            limit_push_needed: Notify::new(),
            changes: watch::channel(0).0,
            pull_needed: Notify::new(),
            wanted_declaration: watch::channel(None).0,
            last_peer_response: Mutex::default(),
            complete_pulls: AtomicU32::new(0),
            restorations: AtomicU64::new(0),
        }
    }

    /// Returns the facts, indexed for lookup.
    pub fn directory(&self) -> Arc<Directory> {
        lock(&self.directory).clone()
    }

    /// Returns the facts, and the time since the configuration among them was last known to be the latest, or longer.
    ///
    /// Changes are applied by other threads meanwhile. The age is determined first, so that it is never that of a newer
    /// configuration than the returned one.
    pub fn directory_with_age(&self) -> (Arc<Directory>, Option<Duration>) {
        let age = self.declaration_age();
        (self.directory(), age)
    }

    /// Returns a receiver that is notified when the facts or the engine statuses change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the position up to which the facts are complete.
    pub fn position(&self) -> Position {
        lock(&self.replica).position()
    }

    /// Returns the time since the facts were last verified complete; `None` if they never were.
    pub fn facts_age(&self) -> Option<Duration> {
        let verified_at = lock(&self.replica).verified_at()?;
        Some(self.clock.now().saturating_sub(verified_at))
    }

    /// Returns the time since the configuration in force was last known to be the latest; `None` if it never was.
    pub fn declaration_age(&self) -> Option<Duration> {
        let verified_at = lock(&self.replica).declaration_verified_at()?;
        Some(self.clock.now().saturating_sub(verified_at))
    }

    /// Returns a receiver of the announced configuration whose content is missing.
    pub fn subscribe_to_wanted_declaration(&self) -> watch::Receiver<Option<DeclarationId>> {
        self.wanted_declaration.subscribe()
    }

    /// Returns the digests of the latest configurations whose contents are there.
    pub fn held_declarations(&self) -> Vec<Digest> {
        let replica = lock(&self.replica);
        let held = replica.held_declarations();
        held.map(|id| id.digest).collect()
    }

    /// Returns the content of one of the latest configurations.
    pub fn declaration(&self, digest: Digest) -> Option<Arc<Declaration>> {
        lock(&self.replica).declaration(digest).cloned()
    }

    /// Puts the content of the announced configuration in force.
    pub fn supply_declaration(
        &self,
        id: DeclarationId,
        declaration: Arc<Declaration>,
        source: &str,
    ) {
        self.update_replica(source, |replica, now| {
            replica.supply_declaration(now, id, declaration)
        });
    }

    /// Applies changes that were read from the store, which do not verify the facts. Changes of an era that has ended are
    /// ignored.
    pub fn apply_unverified(&self, changes: Vec<Change>, era: u64, source: &str) {
        self.update_replica(source, |replica, now| {
            replica.apply_unverified(now, changes, era)
        });
    }

    /// Records that a peer has responded.
    pub fn record_peer_response(&self) {
        *lock(&self.last_peer_response) = Some(self.clock.now());
    }

    /// Returns the time since a peer last responded; `None` if none has yet.
    pub fn peer_silence(&self) -> Option<Duration> {
        let last = (*lock(&self.last_peer_response))?;
        Some(self.clock.now().saturating_sub(last))
    }

    /// Returns the version of the configuration in force; zero if none is known.
    pub fn configuration_version(&self) -> u64 {
        let directory = self.directory();
        let table = directory.route_table.as_ref();
        table.map_or(0, |table| table.declaration.version)
    }

    /// Applies changes that directly follow the current revision.
    pub fn apply(&self, changes: Vec<Change>, verification: Verification, source: &str) {
        self.update_replica(source, |replica, now| {
            replica.apply(now, changes, verification)
        });
    }

    /// Replaces all facts by a complete listing whose first page was complete at the verified position.
    pub fn replace(&self, changes: Vec<Change>, verification: Verification, source: &str) {
        self.update_replica(source, |replica, now| {
            replica.replace_by_listing(now, changes, verification)
        });
    }

    /// Merges a peer's response to a pull that was sent at `queried_at`.
    pub fn apply_update(&self, queried_at: Moment, update: ReplicaUpdate, source: &str) {
        self.update_replica(source, |replica, now| {
            replica.apply_update(now, queried_at, update)
        });
    }

    /// Records that no newer facts existed when the query was sent.
    pub fn mark_verified(&self, verification: Verification) {
        lock(&self.replica).mark_verified(verification);
    }

    /// Returns the age of the last verification, in the form that is sent to peers.
    pub fn verification_age(&self) -> Option<VerificationAge> {
        lock(&self.replica).verification_age(self.clock.now())
    }

    /// Adopts the verification that a peer reported in response to a query sent at `queried_at`, which
    /// saves a call to the store.
    pub fn adopt_verification(&self, queried_at: Moment, verification: Option<VerificationAge>) {
        if let Some(verification) = verification {
            lock(&self.replica).adopt_verification(queried_at, verification);
        }
    }

    /// Applies changes after `since` that a peer pushed.
    ///
    /// If changes between the current position and `since` are missing, a pull is triggered instead.
    pub fn apply_notification(&self, since: Position, update: ReplicaUpdate) {
        self.update_replica("peer's news", |replica, now| {
            let applied = replica.apply_notification(now, since, update);
            if applied.is_none() {
                self.pull_needed.notify_one();
            }
            applied.unwrap_or_default()
        });
    }

    /// Waits until the facts should be pulled at once: changes before those that a peer pushed are missing,
    /// or an update contained a new target version.
    pub async fn wait_until_pull_needed(&self) {
        self.pull_needed.notified().await;
    }

    fn update_replica(
        &self,
        source: &str,
        change: impl FnOnce(&mut Replica, Moment) -> ApplySummary,
    ) {
        let now = self.clock.now();
        let (summary, position, previous) = {
            let mut replica = lock(&self.replica);
            let known = replica.position();
            let summary = change(&mut replica, now);
            self.note_restoration(known, replica.position(), source);
            let wanted = replica.wanted_declaration();
            self.wanted_declaration
                .send_if_modified(|known| std::mem::replace(known, wanted) != wanted);
            if summary.changed == 0 {
                return;
            }
            let mut directory = lock(&self.directory);
            let next = Arc::new(Directory::from_replica(&replica, &directory));
            let previous = std::mem::replace(&mut *directory, next);
            (summary, replica.position(), previous)
        };
        if self.log_new_target_versions(now, source, &previous) {
            // A peer may know an earlier time at which the version was published.
            self.pull_needed.notify_one();
        }
        self.events.emit(&Event::ClusterViewChanged {
            source: source.to_owned(),
            revision: position.revision,
            era: position.era,
            configuration: self.configuration_version(),
            changed: summary.changed,
        });
        self.notify_subscribers();
    }

    /// Logs that the store was restored, if the position shows it, and asks for all facts of several peers.
    fn note_restoration(&self, known: Position, position: Position, source: &str) {
        if known == Position::default() || known.era == position.era {
            return;
        }
        self.complete_pulls.store(COMPLETE_PULLS, Ordering::Relaxed);
        self.restorations.fetch_add(1, Ordering::Relaxed);
        self.events.emit(&Event::StoreRestored {
            source: source.to_owned(),
            era: position.era,
            previous_era: known.era,
            revision: position.revision,
            previous_revision: known.revision,
        });
    }

    /// Whether the next exchange should ask for all facts of the peer; true for some exchanges after a restoration.
    ///
    /// Peers that learned of the restoration at other times know better which facts came with the copy.
    pub fn take_complete_pull(&self) -> bool {
        let take = |left: u32| left.checked_sub(1);
        let taken = self
            .complete_pulls
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.is_ok()
    }

    /// Drops facts that the store lost with a restoration and that were not published again.
    pub fn drop_unconfirmed(&self) {
        self.update_replica("restored store", |replica, now| {
            replica.drop_unconfirmed(now)
        });
    }

    /// Logs each target version that differs from the one in `previous`, or counts from another time; returns whether any
    /// version differs.
    fn log_new_target_versions(&self, now: Moment, source: &str, previous: &Directory) -> bool {
        let age = |at: Moment| now.saturating_sub(at).as_millis() as u64;
        let directory = self.directory();
        let mut any_changed = false;
        for (model, target) in &directory.target_versions {
            let known = previous.target_versions.get(model);
            let same_version = known.is_some_and(|known| known.version == target.version);
            if same_version && known.is_some_and(|known| known.not_before == target.not_before) {
                continue;
            }
            any_changed |= !same_version;
            self.events.emit(&Event::VersionPublished {
                source: source.to_owned(),
                model: model.clone(),
                version: target.version,
                known_ms: age(target.known_since),
                since_ms: target.not_before.map(age),
            });
        }
        any_changed
    }

    /// Returns the changes that a peer lacks, given the revision up to which its facts are complete.
    pub fn update_for(
        &self,
        pull: &balsamjunction_directory::ReplicaPull,
    ) -> Option<ReplicaUpdate> {
        lock(&self.replica).update_for(self.clock.now(), pull)
    }

    /// Returns the target versions and the declared settings that sidecars need.
    ///
    /// `None` until the facts have been verified and contain a declaration.
    pub fn weights_update(&self) -> Option<WeightsUpdate> {
        let age = self.facts_age()?;
        let directory = self.directory();
        let declaration = &directory.route_table.as_ref()?.declaration;
        let mut targets: Vec<_> = directory
            .target_versions
            .iter()
            .map(|(model, target)| (model.clone(), target.version))
            .collect();
        targets.sort();
        let mut update = WeightsUpdate {
            age_ms: age.as_millis() as u64,
            target_versions: targets,
            ..WeightsUpdate::default()
        };
        update.add_services(declaration);
        Some(update)
    }

    /// Calls `f` with the locked membership table and the current time.
    pub fn with_members<T>(&self, f: impl FnOnce(&mut Membership, Moment) -> T) -> T {
        f(&mut lock(&self.members), self.clock.now())
    }

    /// Merges member records that another process sent.
    pub fn merge_members(&self, records: Vec<MemberRecord>) {
        let engines = self.engine_statuses();
        self.with_members(|members, now| members.merge_records(now, records));
        if self.engine_statuses() != engines {
            self.notify_subscribers();
        }
    }

    /// Returns the statuses of the engines, as reported by live sidecars, ordered by address.
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

    /// Records the limit that a response states, or that it states none, for a request sent at `sent_at`;
    /// returns whether the limit changed.
    pub fn record_limit(&self, sent_at: Moment, upstream: &UpstreamId, per_s: Option<f64>) -> bool {
        let now = self.clock.now();
        let changed = lock(&self.limits).record_response(now, sent_at, upstream, per_s);
        if changed {
            self.limit_changes.send_modify(|n| *n += 1);
            self.limit_push_needed.notify_one();
        }
        changed
    }

    /// Merges limits that another entry observed.
    pub fn merge_limits(&self, reports: &[LimitReport]) {
        let now = self.clock.now();
        let changed = lock(&self.limits).merge(now, reports);
        if changed.is_empty() {
            return;
        }
        self.limit_changes.send_modify(|n| *n += 1);
        for ((upstream, _), per_s) in changed {
            self.events.emit(&Event::UpstreamLimit {
                id: None,
                upstream,
                per_s,
                detail: "another gateway reported it".to_owned(),
            });
        }
    }

    /// Returns the recent limits, in the form that is sent to other entries.
    pub fn limit_reports(&self) -> Vec<LimitReport> {
        let now = self.clock.now();
        let mut limits = lock(&self.limits);
        limits.expire(now);
        limits.reports(now)
    }

    /// Calls `f` with the limits that upstreams state, and the current time.
    pub fn with_limits<T>(&self, f: impl FnOnce(&StatedLimits, Moment) -> T) -> T {
        f(&lock(&self.limits), self.clock.now())
    }

    /// Returns a receiver that is notified when a limit changes.
    pub fn subscribe_to_limits(&self) -> watch::Receiver<u64> {
        self.limit_changes.subscribe()
    }

    /// Waits until a limit that this process observed itself should be pushed to the other entries.
    pub async fn wait_until_limit_push_needed(&self) {
        self.limit_push_needed.notified().await;
    }

    /// Sets the gauges for facts, members and weights.
    fn refresh_gauges(&self, metrics: &MeshMetrics) {
        if let Some(age) = self.facts_age() {
            metrics.facts_age.set(age.as_secs_f64());
        }
        if let Some(age) = self.declaration_age() {
            metrics.declaration_age.set(age.as_secs_f64());
        }
        for role in ProcessRole::iter() {
            let live = self.with_members(|members, now| members.live(now, role).count());
            let state = role.to_string();
            let gauge = metrics.members.get_or_create(&StateLabels { state });
            gauge.set(live as i64);
        }
        for (model, target) in &self.directory().target_versions {
            let state = format!("wanted-{model}");
            let gauge = metrics.weights.get_or_create(&StateLabels { state });
            gauge.set(target.version as i64);
        }
        let restorations = self.restorations.load(Ordering::Relaxed);
        let counted = metrics.store_restorations.get();
        metrics
            .store_restorations
            .inc_by(restorations.saturating_sub(counted));
        let refused = |list: SuspectList| self.refused_count(list) as i64;
        metrics.refused_parts.set(refused(SuspectList::Parts));
        metrics.refused_requests.set(refused(SuspectList::Requests));
        let own = self.with_members(|members, _| members.own().engine.clone());
        if let Some((model, version)) = own.and_then(|engine| engine.serving) {
            let state = format!("serving-{model}");
            let gauge = metrics.weights.get_or_create(&StateLabels { state });
            gauge.set(version as i64);
        }
    }

    fn notify_subscribers(&self) {
        self.changes.send_modify(|n| *n += 1);
    }
}

impl RefreshGauges for ClusterView {
    fn refresh(&self, metrics: &Metrics) {
        self.refresh_gauges(&metrics.mesh);
        self.events.refresh(metrics);
    }
}
