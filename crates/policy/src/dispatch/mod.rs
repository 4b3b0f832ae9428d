//! Selects the upstream for each request, and decides which requests wait and which are refused.
//!
//! An entry sends requests directly to upstreams. [`Dispatcher`] keeps the state of each upstream: its
//! own requests there, the load by others as reported in responses, failures, and whether the upstream is
//! cold. See docs/ROUTING.md.

mod availability;
mod contended_services;
pub mod contention;
mod path_delay;
mod path_observation;
mod pool;
mod rate_limit;
mod second_copy;
mod service_time;
mod shares;
mod upstream;
mod versions;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use balsamjunction_directory::{Directory, UpstreamRecord, UpstreamState};
use balsamjunction_protocol::mesh::EngineStatus;
use slotmap::{new_key_type, SlotMap};
use smol_str::SmolStr;

use self::{
    contention::{Contention, ContentionMode, FirstEventObservation},
    path_delay::PathDelays,
    pool::{Candidate, Pool},
    service_time::Persistence,
    upstream::Upstream,
    versions::PublishedVersions,
};
pub use self::{
    path_delay::PathSample,
    path_observation::PathObservation,
    second_copy::{AwaitedResponse, SecondCopyDecision},
    service_time::{LoadReport, StatedServiceTime},
    shares::{Entries, SharingEntry},
};
use crate::{
    prompt_cache::{Observation, Prefix, PromptCache, SentPrompt},
    stated_limits::{StatedLimits, UpstreamId},
    Moment,
};

new_key_type! {
    /// Identifies an upstream in a [`Dispatcher`].
    pub struct UpstreamKey;
    /// Identifies a waiting request in a [`Dispatcher`].
    pub struct WaitKey;
}

/// The properties of a request that constrain its upstream and its order in the queue.
#[derive(Clone, Debug, Default)]
pub struct RequestRequirements {
    /// The requested service.
    pub service: SmolStr,
    /// The requested model, if the service is an engine.
    pub model: Option<SmolStr>,
    /// Length of its prompt in tokens.
    pub prompt_tokens: f64,
    /// Zero is the most urgent.
    pub priority: u8,
    /// Its rank at a contended service; zero is the most urgent. See [`contention::rank`].
    pub rank: u8,
    /// Regions that its route allows; empty for all.
    pub route_regions: Vec<SmolStr>,
    /// Regions that its workspace allows; empty for all.
    pub workspace_regions: Vec<SmolStr>,
    /// The time by which the caller should receive the first event.
    pub first_event_deadline: Moment,
    /// The target latency from which that time follows.
    pub target_latency: Moment,
    /// The time by which the caller leaves if it has received nothing.
    pub caller_leaves_at: Moment,
    /// Upstreams to which it was already sent, and which are excluded.
    pub tried: Vec<UpstreamKey>,
    /// The prefixes of its prompt; absent unless its service has the setting `prompt_cache`.
    pub prefixes: Option<Arc<[Prefix]>>,
}

impl RequestRequirements {
    fn allows(&self, region: &SmolStr) -> bool {
        let allowed = |regions: &[SmolStr]| regions.is_empty() || regions.contains(region);
        allowed(&self.route_regions) && allowed(&self.workspace_regions)
    }
}

/// The decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchDecision {
    /// Send it to the upstream, where it is already counted.
    Send(SelectedUpstream),
    /// Wait; [`Dispatcher::poll`] returns its decision later.
    Wait(WaitKey),
    /// Refuse it.
    Refuse(DispatchRefusal),
}

/// The upstream selected for a request, with the estimates at that time.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedUpstream {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Expected time from the selection to the first event, in milliseconds.
    pub expected_ms: f64,
    /// The same at the declared speed of the upstream, in milliseconds.
    pub nominal_ms: f64,
    /// When it was selected.
    pub assigned_at: Moment,
    /// The upstream that would have been selected if its limit allowed another request.
    pub instead_of: Option<UpstreamKey>,
    /// The part of `expected_ms` that observations add to the estimate from the load, at a contended service.
    pub unseen_wait_ms: f64,
    /// The part of `expected_ms` for the path's delay, which its connection and the request both meet.
    pub path_ms: f64,
    /// The delay that its connection showed, in milliseconds; zero before there is one.
    pub connection_delay_ms: f64,
    /// The target latency of the request.
    pub target_latency: Moment,
    /// How the request came to be sent, if its service is contended.
    pub queueing: Option<Queueing>,
    /// The prefixes of its prompt with the expected saving, for services with `prompt_cache`.
    pub prompt: Option<Box<SentPrompt>>,
}

/// How a request to a contended service came to be sent, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Queueing {
    /// Its rank; zero is the most urgent.
    pub rank: u8,
    /// How long it waited in the queue.
    pub waited: Moment,
    /// Requests that still waited when it was sent.
    pub waiting: usize,
    /// Requests that this entry had in flight at the service.
    pub in_flight: usize,
    /// The largest number of them.
    pub window: f64,
}

impl SelectedUpstream {
    /// The number of tokens that the upstream is expected to read of a prompt with `prompt_tokens`.
    pub fn unread_tokens(&self, prompt_tokens: f64) -> f64 {
        let saved = self.prompt.as_ref().map_or(0.0, |p| p.saving.tokens);
        (prompt_tokens - saved).max(0.0)
    }

    /// Expected time to the first event without the path's delay, in milliseconds.
    fn expected_at_upstream_ms(&self) -> f64 {
        self.expected_ms - self.path_ms
    }

    /// The part of a time to the first event that the upstream took.
    ///
    /// The request meets up to the delay that its connection met, so that part of the time may be either's. It is
    /// divided as the estimate says, so that the upstream seems neither slower nor faster for it.
    fn time_at_upstream_ms(&self, took_ms: f64) -> f64 {
        if self.connection_delay_ms <= 0.0 {
            return took_ms;
        }
        let most = (took_ms - self.connection_delay_ms).max(0.0);
        let least = (most - self.connection_delay_ms).max(0.0);
        self.expected_at_upstream_ms().clamp(least, most)
    }
}

/// Why a request is refused, and when the caller should retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchRefusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Estimated time until there is capacity.
    pub retry_after: Moment,
    /// The upstream whose limit allows a request first, if limits are the reason.
    pub limited: Option<UpstreamKey>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, strum::Display, strum::IntoStaticStr, PartialEq, Eq, Hash)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No upstream of the service may serve it.
    NoUpstream,
    /// No upstream has the capacity to meet its deadline.
    Overload,
    /// Every upstream that may serve it asked for a backoff (Retry-After).
    #[strum(serialize = "resting")]
    BackingOff,
    /// Every upstream that may serve it states a limit (Server-Limit) that is used up, or asked for a backoff.
    Limited,
}

/// The outcome of one attempt to serve a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream responded.
    Served,
    /// The upstream rejected it without running it, because it is full or leaving.
    Rejected,
    /// Another upstream uses the address, or the upstream serves other weights.
    Misdirected,
    /// No connection could be established.
    Unreachable,
    /// The response was an error, was incomplete, or timed out.
    Failed,
    /// The caller disconnected.
    Cancelled,
}

/// The settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// The data centre of this process.
    pub data_centre: SmolStr,
    /// The region of each data centre.
    pub regions: HashMap<SmolStr, SmolStr>,
    /// How long after a version is published requests are still sent to engines with older ones.
    pub old_version_send_window: Moment,
    /// How long after a version is published requests may still start on engines with older ones.
    pub old_version_start_window: Moment,
    /// When this process started.
    pub started: Moment,
    /// How long after the start of this process requests may start on engines with versions older than
    /// the one that the first read of the facts finds.
    pub startup_start_window: Moment,
    /// Whether services are treated as contended.
    pub contention: ContentionMode,
    /// Number of prompt tokens that one upstream keeps after a request, by service. Services that are
    /// missing keep none.
    pub prompt_cache: HashMap<SmolStr, u32>,
}

/// Whether an upstream receives requests, for status pages.
#[derive(
    Clone, Copy, Debug, strum::Display, strum::EnumIter, PartialEq, Eq, Hash, PartialOrd, Ord,
)]
#[strum(serialize_all = "kebab-case")]
pub enum UpstreamCondition {
    /// It is not listed as ready, was replaced, or its data centre is evacuated.
    #[strum(serialize = "closed")]
    OutOfService,
    /// It has reported that it is leaving.
    Leaving,
    /// It asked for a backoff (Retry-After).
    #[strum(serialize = "resting")]
    BackingOff,
    /// It states a limit on the requests from all entries together (Server-Limit).
    Limited,
    /// It is switching to other weights.
    #[strum(serialize = "turning")]
    Switching,
    /// It failed repeatedly and is ejected for some time.
    #[strum(serialize = "suspended")]
    Ejected,
    /// It started recently, and the rate of requests to it is limited.
    Cold,
    /// It receives requests.
    InUse,
}

/// A snapshot of an upstream, for senders and status pages.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// Its record in the registry.
    pub record: UpstreamRecord,
    /// Number of requests of this entry that run or wait there.
    pub own_requests: usize,
    /// Whether it is switching to other weights, which aborts its running requests.
    pub switching: bool,
}

/// The version of a model that an upstream serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServedVersion {
    /// The version.
    pub version: u64,
    /// The time by which requests must have started on it, if a newer version is published.
    pub start_deadline: Option<Moment>,
}

/// The state that an entry keeps of all upstreams, and the requests that wait for one.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    /// Upstreams that are missing from the registry, those missing longest first.
    missing: VecDeque<(UpstreamId, UpstreamKey)>,
    pools: HashMap<SmolStr, Pool>,
    /// The state of contended services, by name.
    contended: HashMap<SmolStr, Contention>,
    /// Of the services whose upstreams have stated a relative service time.
    persistence: HashMap<SmolStr, Persistence>,
    waiting: SlotMap<WaitKey, WaitingRequest>,
    published: PublishedVersions,
    paths: PathDelays,
    prompt_cache: PromptCache,
    entries: Entries,
    /// Increases whenever `entries` changes.
    entries_generation: u64,
    /// When the facts were last known to be the latest.
    facts_verified_at: Moment,
}

#[derive(Debug)]
struct WaitingRequest {
    request: RequestRequirements,
    since: Moment,
}

/// Longest time for which a request waits for capacity before it is refused. A caller that is refused
/// early can be served elsewhere or retry.
const MAX_WAIT: Moment = Moment::from_millis(45);
/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Moment = Moment::from_millis(150);
/// Longest backoff that is granted to an upstream: a day. A longer one is more likely a fault of the
/// upstream than its intention.
const MAX_BACKOFF: Moment = Moment::from_secs(24 * 3_600);
/// Backoff of an upstream whose Retry-After cannot be parsed: the shortest whole number of seconds.
const DEFAULT_BACKOFF: Moment = Moment::from_secs(1);
/// Limit that is assumed if an upstream states one that cannot be read, in requests per second. An upstream
/// that states a limit needs relief, and others can serve the requests.
pub const UNREADABLE_LIMIT_PER_S: f64 = 1.0;
/// Upstreams missing from the registry that are remembered, so that one that reappears keeps its state: it
/// is still leaving, backing off or cold. The largest fleet replaces fewer in an hour.
const MAX_MISSING: usize = 1_024;
/// Retry-After of a refusal without any upstream: about the time in which one is registered again.
const NO_UPSTREAM_RETRY_AFTER: Moment = Moment::from_millis(700);

/// The refusal of a request that no upstream may serve.
const NO_UPSTREAM: DispatchRefusal = DispatchRefusal {
    reason: RefusalReason::NoUpstream,
    retry_after: NO_UPSTREAM_RETRY_AFTER,
    limited: None,
};

impl SelectedUpstream {
    fn new(now: Moment, request: &RequestRequirements, best: &Candidate) -> Self {
        Self {
            upstream: best.upstream,
            expected_ms: best.expected_ms,
            nominal_ms: best.nominal_ms,
            assigned_at: now,
            instead_of: best.instead_of,
            unseen_wait_ms: best.unseen_wait_ms,
            path_ms: best.path_ms,
            connection_delay_ms: 0.0,
            target_latency: request.target_latency,
            queueing: None,
            prompt: best.prompt.clone().map(Box::new),
        }
    }
}

impl Dispatcher {
    /// Creates a dispatcher without upstreams.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            prompt_cache: PromptCache::new(&settings.prompt_cache),
            settings,
            upstreams: SlotMap::with_key(),
            by_id: HashMap::new(),
            missing: VecDeque::new(),
            pools: HashMap::new(),
            contended: HashMap::new(),
            persistence: HashMap::new(),
            waiting: SlotMap::with_key(),
            published: PublishedVersions::default(),
            paths: PathDelays::default(),
            entries: Entries::default(),
            entries_generation: 0,
            facts_verified_at: Moment::MAX,
        }
    }

    /// Sets when the facts were last known to be the latest. Older facts do not show that an upstream is warm. Unless it
    /// is called, they always do.
    pub fn set_facts_verified_at(&mut self, verified_at: Moment) {
        self.facts_verified_at = verified_at;
    }

    /// Records that an upstream refused or broke a connection, so that it may have restarted.
    pub fn mark_away(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.mark_away();
        }
    }

    /// Applies the directory and the engine states that sidecars report.
    ///
    /// `entries` share the limits of each upstream. Returns whether the publication time of any version
    /// changed, and with it the start deadlines of requests that were already sent.
    pub fn configure(
        &mut self,
        directory: &Directory,
        engines: &[EngineStatus],
        entries: Entries,
    ) -> bool {
        if self.entries != entries {
            self.entries = entries;
            self.entries_generation += 1;
        }
        let Some(table) = &directory.route_table else {
            return false;
        };
        let reported: HashMap<SocketAddr, &EngineStatus> =
            engines.iter().map(|s| (s.address, s)).collect();
        for upstream in self.upstreams.values_mut() {
            upstream.availability.listed = false;
        }
        let mut listed = HashMap::new();
        let mut members: HashMap<SmolStr, Vec<UpstreamKey>> = HashMap::new();
        for (record, received_at) in &directory.upstreams {
            let Some(service) = table.declaration.service(&record.service) else {
                continue;
            };
            let id = (record.id.clone(), record.started_at_ms);
            let existing = self.by_id.remove(&id).or_else(|| self.take_missing(&id));
            let key =
                existing.unwrap_or_else(|| self.upstreams.insert(Upstream::new(record.clone())));
            let reported = reported.get(&record.address);
            let status = reported
                .filter(|s| s.started_at_ms == record.started_at_ms)
                .copied();
            // The engine restarted and has another id now, but the registry still lists the old one.
            let restarted = reported.is_some_and(|s| s.started_at_ms > record.started_at_ms);
            let evacuated = directory
                .evacuated_data_centres
                .contains(&record.data_centre);
            if let Some(upstream) = self.upstreams.get_mut(key) {
                upstream.update(record, *received_at, service, status);
                upstream.availability.listed = record.state == UpstreamState::Ready && !evacuated;
                upstream.availability.restarted = restarted;
                upstream.set_evacuated(evacuated);
            }
            listed.insert(id, key);
            members.entry(record.service.clone()).or_default().push(key);
        }
        for keys in members.values() {
            for key in keys {
                if let Some(upstream) = self.upstreams.get_mut(*key) {
                    upstream.update_share(&self.entries, self.entries_generation, keys.len());
                }
            }
        }
        self.missing
            .extend(std::mem::replace(&mut self.by_id, listed));
        while self.missing.len() > MAX_MISSING {
            let oldest = self.missing.pop_front();
            oldest.and_then(|(_, key)| self.upstreams.remove(key));
        }
        self.prompt_cache
            .retain(|key| self.upstreams.contains_key(key));
        let upstreams = &self.upstreams;
        let records = upstreams.values().map(|upstream| &upstream.record);
        let data_centres: HashSet<&SmolStr> = records.map(|record| &record.data_centre).collect();
        self.paths.retain(
            |key| upstreams.contains_key(key),
            |name| data_centres.contains(name),
        );
        // The publication time of a version found at the start is unknown. It is chosen so that the start
        // deadline of older versions is `startup_start_window` after the start.
        let start_deadline = self.settings.started + self.settings.startup_start_window;
        let initial_published_at =
            start_deadline.saturating_sub(self.settings.old_version_start_window);
        let times_changed = self.published.update(directory, initial_published_at);
        self.pools = table
            .declaration
            .services
            .iter()
            .map(|service| {
                let members = members.remove(&service.name).unwrap_or_default();
                let subset = self.subset_of(&members);
                let pool = Pool::new(service, members, subset);
                (service.name.clone(), pool)
            })
            .collect();
        self.configure_contention(&table.declaration);
        let pools = &self.pools;
        self.persistence
            .retain(|service, _| pools.contains_key(service));
        times_changed
    }

    /// The members of a pool that this entry prefers.
    fn subset_of(&self, members: &[UpstreamKey]) -> Vec<UpstreamKey> {
        let existing = members
            .iter()
            .filter_map(|key| Some((self.upstreams.get(*key)?, *key)));
        let local = existing.filter(|(u, _)| u.record.data_centre == self.settings.data_centre);
        let with_ids = local.map(|(upstream, key)| (upstream.record.id.clone(), key));
        self.entries.subset(with_ids.collect())
    }

    /// Applies the limits that upstreams state on the requests from all entries together.
    pub fn set_limits(&mut self, now: Moment, limits: &StatedLimits) {
        for upstream in self.upstreams.values_mut() {
            let id = (upstream.record.id.clone(), upstream.record.started_at_ms);
            upstream.set_limit(now, limits.get(&id), &self.entries);
        }
    }

    /// Whether the upstream's limit lets a request be sent, now that its connection is established.
    ///
    /// The request took its place when it was assigned, unless the limit was learned or lowered since.
    pub fn confirm_send(&mut self, now: Moment, selected: &SelectedUpstream) -> bool {
        let upstream = self.upstreams.get_mut(selected.upstream);
        upstream.is_some_and(|upstream| upstream.confirm_send(now, selected.assigned_at))
    }

    /// Removes an upstream from the missing ones, since the registry lists it again.
    fn take_missing(&mut self, id: &UpstreamId) -> Option<UpstreamKey> {
        let index = self.missing.iter().position(|(missing, _)| missing == id)?;
        self.missing.remove(index).map(|(_, key)| key)
    }

    /// Records that a response from an upstream's address states that its sender is leaving. Returns
    /// whether this was not known before.
    ///
    /// If the sender is not the upstream that the request was sent to (`misdirected`), the other upstreams
    /// listed at the address are marked instead.
    pub fn mark_leaving(&mut self, key: UpstreamKey, misdirected: bool) -> bool {
        let Some(address) = self.upstreams.get(key).map(|u| u.record.address) else {
            return false;
        };
        let mut changed = false;
        for (other, upstream) in &mut self.upstreams {
            let affected = match misdirected {
                true => other != key && upstream.record.address == address,
                false => other == key,
            };
            changed |= affected && upstream.availability.mark_leaving();
        }
        changed
    }

    /// Starts a backoff that an upstream asked for (Retry-After), and returns its duration.
    ///
    /// `requested` is the duration that it sent, or `None` if that cannot be parsed.
    pub fn back_off(&mut self, now: Moment, key: UpstreamKey, requested: Option<Moment>) -> Moment {
        let backoff = requested.map_or(DEFAULT_BACKOFF, |requested| requested.min(MAX_BACKOFF));
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.availability.back_off_until(now + backoff);
        }
        backoff
    }

    /// The version of `model` that an upstream serves, or `None` if it registers no version of it.
    pub fn served_version(&self, key: UpstreamKey, model: &str) -> Option<ServedVersion> {
        let version = self.upstreams.get(key)?.served_version(model)?;
        Some(ServedVersion {
            version,
            start_deadline: self.start_deadline(model, version),
        })
    }

    /// Whether a request may still be sent to the upstream selected for it.
    ///
    /// This is checked once a connection is established, which may take long enough for the upstream to
    /// become unavailable.
    pub fn may_serve(&self, now: Moment, key: UpstreamKey, request: &RequestRequirements) -> bool {
        let upstream = self.upstreams.get(key);
        let pool = self.pools.get(&request.service);
        let cx = self.selection_context(now);
        upstream
            .is_some_and(|upstream| pool.is_some_and(|p| p.may_serve(&cx, key, upstream, request)))
    }

    /// Whether a request is still expected to start before the start deadline of its upstream's version, now that its
    /// connection is established.
    ///
    /// The request is taken to be on its way for as long as the connection took, or the path's delay if that is longer.
    pub fn starts_in_time(
        &self,
        now: Moment,
        selected: &SelectedUpstream,
        request: &RequestRequirements,
    ) -> bool {
        let upstream = self.upstreams.get(selected.upstream);
        let transit = now.saturating_sub(selected.assigned_at);
        let transit = transit.max(self.path_delay(now, selected.upstream));
        let expected_ms = selected.expected_at_upstream_ms() + transit.as_secs_f64() * 1e3;
        let cx = self.selection_context(now);
        upstream.is_some_and(|upstream| pool::starts_in_time(&cx, upstream, request, expected_ms))
    }

    /// The time by which requests must have started on a version, if a newer one is published.
    pub fn start_deadline(&self, model: &str, version: u64) -> Option<Moment> {
        let superseded_at = self.published.superseded_at(model, version)?;
        Some(superseded_at + self.settings.old_version_start_window)
    }

    /// Number of upstreams by condition. An upstream with several conditions counts only in the first one,
    /// in the order of the variants.
    pub fn count_by_condition(&self, now: Moment) -> HashMap<UpstreamCondition, usize> {
        let mut counts = HashMap::new();
        let listed = self.pools.values().flat_map(|pool| pool.members());
        for upstream in listed.filter_map(|key| self.upstreams.get(*key)) {
            *counts.entry(upstream.condition(now)).or_default() += 1;
        }
        counts
    }

    /// A snapshot of an upstream, or `None` if it is no longer remembered.
    pub fn view(&self, key: UpstreamKey) -> Option<UpstreamView> {
        let upstream = self.upstreams.get(key)?;
        Some(UpstreamView {
            record: upstream.record.clone(),
            own_requests: upstream.own_requests,
            switching: upstream.switching,
        })
    }

    /// Decides about a request that has just arrived or is to be retried.
    pub fn submit(&mut self, now: Moment, request: RequestRequirements) -> DispatchDecision {
        if self.contended.contains_key(&request.service) {
            return self.submit_contended(now, request);
        }
        match self.evaluate(now, &request, now) {
            Evaluation::Send(selected) => {
                self.record_send(now, &request, &selected);
                DispatchDecision::Send(selected)
            }
            Evaluation::Wait => {
                let since = now;
                DispatchDecision::Wait(self.waiting.insert(WaitingRequest { request, since }))
            }
            Evaluation::Refuse(refusal) => DispatchDecision::Refuse(refusal),
        }
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel_wait(&mut self, key: WaitKey) {
        self.waiting.remove(key);
    }

    /// Whether any request waits, so that [`Self::poll`] must be called again soon.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the decisions about requests that need not wait any longer. Call it after every change, and
    /// every few milliseconds while any request waits.
    pub fn poll(&mut self, now: Moment) -> Vec<(WaitKey, DispatchDecision)> {
        let mut decisions = self.poll_contended(now);
        let contended = &self.contended;
        let mut order: Vec<(u8, Moment, WaitKey)> = self
            .waiting
            .iter()
            .filter(|(_, w)| !contended.contains_key(&w.request.service))
            .map(|(key, w)| (w.request.priority, w.since, key))
            .collect();
        order.sort();
        for (_, since, key) in order {
            let Some(waiting) = self.waiting.get(key) else {
                continue;
            };
            let request = waiting.request.clone();
            let decision = match self.evaluate(now, &request, since) {
                Evaluation::Send(selected) => {
                    self.record_send(now, &request, &selected);
                    DispatchDecision::Send(selected)
                }
                Evaluation::Wait => continue,
                Evaluation::Refuse(refusal) => DispatchDecision::Refuse(refusal),
            };
            self.waiting.remove(key);
            decisions.push((key, decision));
        }
        decisions
    }

    /// Selects the upstream for a request, or tells why none may serve it now.
    fn select(
        &mut self,
        now: Moment,
        request: &RequestRequirements,
    ) -> Result<Candidate, DispatchRefusal> {
        let Some(pool) = self.pools.get(&request.service) else {
            return Err(NO_UPSTREAM);
        };
        let contention = self.contended.get(&request.service);
        let cx = pool::SelectionContext {
            now,
            settings: &self.settings,
            published: &self.published,
            entry_count: self.entries.count(),
            facts_verified_at: self.facts_verified_at,
            unseen_wait_ms: contention.map(|state| state.unseen_wait_ms(now)),
            paths: &self.paths,
            prompt_cache: &self.prompt_cache,
        };
        pool.select(&cx, &mut self.upstreams, request)
            .ok_or_else(|| {
                let first = pool.earliest_return(&cx, &self.upstreams, request);
                first.map_or(NO_UPSTREAM, |first| DispatchRefusal {
                    reason: match first.limited {
                        Some(_) => RefusalReason::Limited,
                        None => RefusalReason::BackingOff,
                    },
                    retry_after: first.at.saturating_sub(now),
                    limited: first.limited,
                })
            })
    }

    fn evaluate(
        &mut self,
        now: Moment,
        request: &RequestRequirements,
        since: Moment,
    ) -> Evaluation {
        let best = match self.select(now, request) {
            Ok(best) => best,
            Err(refusal) => return Evaluation::Refuse(refusal),
        };
        if best.fits {
            return Evaluation::Send(SelectedUpstream::new(now, request, &best));
        }
        let waited = now.saturating_sub(since);
        if waited < MAX_WAIT {
            return Evaluation::Wait;
        }
        let excess = Moment::from_secs_f64(best.excess_ms.max(0.0) / 1e3);
        let first = self.earliest_return(now, request);
        let until_capacity = first.map_or(excess, |first| excess.min(first.at.saturating_sub(now)));
        Evaluation::Refuse(DispatchRefusal {
            reason: RefusalReason::Overload,
            retry_after: until_capacity.max(MIN_RETRY_AFTER),
            limited: None,
        })
    }

    /// The inputs of a selection that does not depend on the load.
    fn selection_context(&self, now: Moment) -> pool::SelectionContext<'_> {
        pool::SelectionContext {
            now,
            settings: &self.settings,
            published: &self.published,
            entry_count: self.entries.count(),
            facts_verified_at: self.facts_verified_at,
            unseen_wait_ms: None,
            paths: &self.paths,
            prompt_cache: &self.prompt_cache,
        }
    }

    /// The earliest time at which a backoff or a limit lets an upstream serve a request.
    fn earliest_return(&self, now: Moment, request: &RequestRequirements) -> Option<pool::Return> {
        let pool = self.pools.get(&request.service)?;
        let cx = self.selection_context(now);
        pool.earliest_return(&cx, &self.upstreams, request)
    }

    fn record_send(
        &mut self,
        now: Moment,
        request: &RequestRequirements,
        selected: &SelectedUpstream,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(selected.upstream) {
            upstream.record_send(now, selected.unread_tokens(request.prompt_tokens));
        }
        if let Some(prompt) = &selected.prompt {
            self.prompt_cache
                .record_send(now, selected.upstream, prompt);
        }
    }

    /// Records the load that a response reports.
    pub fn record_load(&mut self, now: Moment, key: UpstreamKey, report: LoadReport) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.record_load(now, report);
        let Some(percent) = report.service_time_percent else {
            return;
        };
        let service = upstream.record.service.clone();
        let persistence = self.persistence.entry(service.clone()).or_default();
        upstream.service_time.record(now, percent, persistence);
        let time_constant = persistence.time_constant();
        let members = self.pools.get(&service).map_or(&[][..], Pool::members);
        for member in members {
            if let Some(upstream) = self.upstreams.get_mut(*member) {
                upstream.service_time.set_time_constant(time_constant);
            }
        }
    }

    /// Whether any upstream of a service has stated its relative service time since this process started.
    pub fn reports_service_time(&self, service: &str) -> bool {
        self.persistence.contains_key(service)
    }

    /// Records that the first event of a request arrived `took_ms` after it was assigned, so its prompt has
    /// been read. `prompt_tokens` are those that it counted for ([`SelectedUpstream::unread_tokens`]).
    /// Returns what the time shows about the upstream's cache of prompts.
    pub fn record_first_event(
        &mut self,
        now: Moment,
        selected: &SelectedUpstream,
        prompt_tokens: f64,
        took_ms: f64,
    ) -> Observation {
        let key = selected.upstream;
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return Observation::None;
        };
        upstream.record_prompt_read(prompt_tokens);
        let mut nominal_ms = selected.nominal_ms;
        let mut observation = Observation::None;
        let took_ms = selected.time_at_upstream_ms(took_ms);
        let expected_ms = selected.expected_at_upstream_ms();
        let estimated_ms = expected_ms - selected.unseen_wait_ms;
        if let Some(prompt) = &selected.prompt {
            let cache = &mut self.prompt_cache;
            observation = cache.record_first_event(now, key, prompt, expected_ms, took_ms);
            nominal_ms = prompt.nominal_ms(nominal_ms, expected_ms, observation);
        }
        upstream.calibrate(now, took_ms, nominal_ms);
        let service = upstream.record.service.clone();
        let observed = FirstEventObservation {
            took_ms,
            estimated_ms,
            target_ms: selected.target_latency.as_secs_f64() * 1e3,
            in_flight: self.in_flight(&service),
        };
        if let Some(state) = self.contended.get_mut(&service) {
            state.record_first_event(now, observed);
        }
        observation
    }

    /// Records that a request no longer occupies the upstream. `unread_tokens` is what its prompt counted
    /// for ([`SelectedUpstream::unread_tokens`]) if no event arrived, otherwise zero.
    pub fn record_outcome(
        &mut self,
        now: Moment,
        key: UpstreamKey,
        unread_tokens: f64,
        outcome: AttemptOutcome,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.record_outcome(now, unread_tokens, outcome);
        }
    }
}

/// A decision before the request is counted or added to the queue.
enum Evaluation {
    Send(SelectedUpstream),
    Wait,
    Refuse(DispatchRefusal),
}
