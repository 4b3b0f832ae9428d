//! Which upstream serves a request, which requests wait, and which are refused.
//!
//! An entry sends requests straight to upstreams. [`Dispatcher`] keeps what it knows of each of them:
//! its own requests there, what answers say of the load by others, failures, and how cold it is. See
//! docs/ROUTING.md.

mod availability;
mod pool;
mod shares;
mod upstream;
mod versions;

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

use balsamjunction_directory::{Directory, UpstreamRecord, UpstreamState};
use balsamjunction_protocol::mesh::EngineStatus;
use slotmap::{new_key_type, SlotMap};
use smol_str::SmolStr;

pub use self::shares::Entries;
use self::{pool::Pool, upstream::Upstream, versions::PublishedVersions};
use crate::Moment;

new_key_type! {
    /// An upstream in the dispatcher's arena.
    pub struct UpstreamKey;
    /// A request that waits in the dispatcher.
    pub struct WaitKey;
}

/// What a request needs of an upstream.
#[derive(Clone, Debug, Default)]
pub struct RequestRequirements {
    /// The service that it goes to.
    pub service: SmolStr,
    /// The model that it asks for, if it is for an engine.
    pub model: Option<SmolStr>,
    /// Length of its prompt in tokens.
    pub prompt_tokens: f64,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Regions to which the route confines it; empty for all.
    pub route_regions: Vec<SmolStr>,
    /// Regions to which its workspace confines it; empty for all.
    pub workspace_regions: Vec<SmolStr>,
    /// When its first event is wanted.
    pub first_event_deadline: Moment,
    /// Upstreams that have had it.
    pub tried: Vec<UpstreamKey>,
}

impl RequestRequirements {
    fn allows(&self, region: &SmolStr) -> bool {
        let allowed = |homes: &[SmolStr]| homes.is_empty() || homes.contains(region);
        allowed(&self.route_regions) && allowed(&self.workspace_regions)
    }
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchDecision {
    /// It is sent to the upstream, on which it already counts.
    Send(SelectedUpstream),
    /// It waits; [`Dispatcher::poll`] gives its verdict.
    Wait(WaitKey),
    /// It is not served.
    Refuse(DispatchRefusal),
}

/// Where a request is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedUpstream {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// When its first event is expected, from now, in milliseconds.
    pub expected_ms: f64,
    /// The same for an upstream of the published pace, in milliseconds.
    pub nominal_ms: f64,
}

/// Why a request is not served, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// After this time there will be room, as far as can be told.
    pub retry_after: Moment,
}

/// Why a request is not served.
#[derive(Clone, Copy, Debug, strum::Display, strum::IntoStaticStr, PartialEq, Eq, Hash)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No upstream of the service may take it.
    NoUpstream,
    /// Every upstream is too busy for the wanted time.
    Overload,
    /// Every upstream that may take the request has said that it wants nothing for a while.
    #[strum(serialize = "resting")]
    BackingOff,
}

/// What came of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It was answered.
    Served,
    /// The upstream says that it did not run it, being full or about to leave.
    Rejected,
    /// Another upstream has the address, or it has other weights.
    Misdirected,
    /// No connection could be made.
    Unreachable,
    /// The answer was a failure, broke off, or did not come in time.
    Failed,
    /// The caller left.
    Cancelled,
}

/// How this process stands to the others and to time.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// The data centre of this process.
    pub data_centre: SmolStr,
    /// The region of each data centre.
    pub regions: HashMap<SmolStr, SmolStr>,
    /// How long after a version was named requests are still sent to engines of older ones.
    pub old_version_send_window: Moment,
    /// How long after a version was named requests may still begin at engines of older ones.
    pub old_version_start_window: Moment,
    /// When this process started.
    pub started: Moment,
    /// How long after the start requests may begin at engines of versions that are older than the one
    /// which the first look at the facts finds.
    pub startup_start_window: Moment,
}

/// Whether an upstream gets requests, for status pages.
#[derive(
    Clone, Copy, Debug, strum::Display, strum::EnumIter, PartialEq, Eq, Hash, PartialOrd, Ord,
)]
#[strum(serialize_all = "kebab-case")]
pub enum UpstreamCondition {
    /// It leaves, or its data centre is evacuated.
    #[strum(serialize = "closed")]
    OutOfService,
    /// It has said itself that it leaves.
    Leaving,
    /// It has said that it wants nothing for a while.
    #[strum(serialize = "resting")]
    BackingOff,
    /// It takes other weights now.
    #[strum(serialize = "turning")]
    Switching,
    /// It failed repeatedly and is left out for a while.
    #[strum(serialize = "suspended")]
    Ejected,
    /// It was started a short while ago.
    Cold,
    /// It gets requests.
    InUse,
}

/// A view of an upstream, for senders and for status pages.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// What it registered.
    pub record: UpstreamRecord,
    /// The requests of this entry there.
    pub own_requests: usize,
    /// Whether it takes other weights now, which breaks off what runs there.
    pub switching: bool,
}

/// The version of a model at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServedVersion {
    /// The version.
    pub version: u64,
    /// By when requests must have begun on it, if a newer one is named.
    pub start_deadline: Option<Moment>,
}

/// What an entry knows of all upstreams.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
    /// Upstreams that the list names no longer, the longest gone first.
    lapsed: VecDeque<(UpstreamId, UpstreamKey)>,
    pools: HashMap<SmolStr, Pool>,
    waiting: SlotMap<WaitKey, Waiting>,
    named: PublishedVersions,
    entries: Entries,
    entries_generation: u64,
}

/// An upstream's id, and its start in milliseconds since the Unix epoch.
type UpstreamId = (SmolStr, u64);

#[derive(Debug)]
struct Waiting {
    demand: RequestRequirements,
    since: Moment,
}

/// Longest time for which a request waits for room before it is refused; callers that are refused
/// at once can be served elsewhere or come back.
const MAX_WAIT: Moment = Moment::from_millis(45);
/// Shortest time after which a refused caller is asked to come back.
const LEAST_RETRY_AFTER: Moment = Moment::from_millis(150);
/// Longest time for which an upstream is left alone by its own word; a day, beyond which a fault of
/// the upstream is likelier than its wish.
const LONGEST_REST: Moment = Moment::from_secs(24 * 3_600);
/// How long an upstream is left alone whose time cannot be read; the shortest whole number of seconds.
const UNREADABLE_REST: Moment = Moment::from_secs(1);
/// Upstreams that left the list and are remembered, since one that only lapsed comes back as it was:
/// it still leaves, rests or is cold. The largest fleet replaces fewer in an hour.
const MAX_LAPSED: usize = 1_024;
/// A refusal for want of any upstream: about the time in which one is registered anew.
const NO_UPSTREAM_RETRY_AFTER: Moment = Moment::from_millis(700);

impl Dispatcher {
    /// Knows no upstream.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            settings,
            upstreams: SlotMap::with_key(),
            by_id: HashMap::new(),
            lapsed: VecDeque::new(),
            pools: HashMap::new(),
            waiting: SlotMap::with_key(),
            named: PublishedVersions::default(),
            entries: Entries::default(),
            entries_generation: 0,
        }
    }

    /// Takes over what is published, and what sidecars say of their engines.
    ///
    /// `entries` are those that share each upstream's bounds. Tells whether the times of
    /// versions have changed, by which requests that were sent must begin.
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
        let Some(table) = &directory.table else {
            return false;
        };
        let told: HashMap<SocketAddr, &EngineStatus> =
            engines.iter().map(|s| (s.address, s)).collect();
        for upstream in self.upstreams.values_mut() {
            upstream.standing.listed = false;
        }
        let mut found = HashMap::new();
        let mut members: HashMap<SmolStr, Vec<UpstreamKey>> = HashMap::new();
        for (record, learned) in &directory.upstreams {
            let Some(service) = table.declaration.service(&record.service) else {
                continue;
            };
            let id = (record.id.clone(), record.born_ms);
            let known = self.by_id.remove(&id).or_else(|| self.back_from_lapse(&id));
            let key = known.unwrap_or_else(|| self.upstreams.insert(Upstream::new(record.clone())));
            let told = told.get(&record.address);
            let status = told.filter(|s| s.born_ms == record.born_ms).copied();
            // The engine has started again, and the list does not say so yet. Its id is another one now.
            let started_again = told.is_some_and(|s| s.born_ms > record.born_ms);
            let evacuated = directory.evacuated.contains(&record.data_centre);
            if let Some(upstream) = self.upstreams.get_mut(key) {
                upstream.update(record, *learned, service, status);
                upstream.standing.listed = record.state == UpstreamState::Ready && !evacuated;
                upstream.standing.started_again = started_again;
                upstream.take_share(&self.entries, self.entries_generation);
            }
            found.insert(id, key);
            members.entry(record.service.clone()).or_default().push(key);
        }
        self.lapsed
            .extend(std::mem::replace(&mut self.by_id, found));
        while self.lapsed.len() > MAX_LAPSED {
            let oldest = self.lapsed.pop_front();
            oldest.and_then(|(_, key)| self.upstreams.remove(key));
        }
        // When a version was named that is found at the start is not known; it is given the time by which
        // requests must have begun on older ones.
        let begin_by = self.settings.started + self.settings.startup_start_window;
        let found_since = begin_by.saturating_sub(self.settings.old_version_start_window);
        let times_changed = self.named.note(directory, found_since);
        self.pools = table
            .declaration
            .services
            .iter()
            .map(|service| {
                let members = members.remove(&service.name).unwrap_or_default();
                let part = self.part_of(&members);
                let pool = Pool::new(service, members, part);
                (service.name.clone(), pool)
            })
            .collect();
        times_changed
    }

    /// The members of a pool that this entry prefers.
    fn part_of(&self, members: &[UpstreamKey]) -> Vec<UpstreamKey> {
        let known = members
            .iter()
            .filter_map(|key| Some((self.upstreams.get(*key)?, *key)));
        let near = known.filter(|(u, _)| u.record.data_centre == self.settings.data_centre);
        let named = near.map(|(upstream, key)| (upstream.record.id.clone(), key));
        self.entries.part(named.collect())
    }

    /// An upstream that is back in the list.
    fn back_from_lapse(&mut self, id: &UpstreamId) -> Option<UpstreamKey> {
        let at = self.lapsed.iter().position(|(lapsed, _)| lapsed == id)?;
        self.lapsed.remove(at).map(|(_, key)| key)
    }

    /// Notes that an answer from an upstream's address says that its sender leaves; tells whether that
    /// is news.
    ///
    /// If it came from another one than was asked (`misdirected`), it is about whichever else is
    /// listed at the address.
    pub fn mark_leaving(&mut self, key: UpstreamKey, misdirected: bool) -> bool {
        let Some(address) = self.upstreams.get(key).map(|u| u.record.address) else {
            return false;
        };
        let mut news = false;
        for (other, upstream) in &mut self.upstreams {
            let meant = match misdirected {
                true => other != key && upstream.record.address == address,
                false => other == key,
            };
            news |= meant && upstream.standing.leave();
        }
        news
    }

    /// Notes that an upstream has said that it wants nothing for a while; gives the time for which it is
    /// left alone.
    ///
    /// `asked` is the time that it said, or nothing if that cannot be read.
    pub fn back_off(&mut self, now: Moment, key: UpstreamKey, asked: Option<Moment>) -> Moment {
        let pause = asked.map_or(UNREADABLE_REST, |asked| asked.min(LONGEST_REST));
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.standing.rest(now + pause);
        }
        pause
    }

    /// What a request for `model` finds at an upstream; nothing if the upstream names no version of it.
    pub fn served_version(&self, key: UpstreamKey, model: &str) -> Option<ServedVersion> {
        let version = self.upstreams.get(key)?.version_of(model)?;
        Some(ServedVersion {
            version,
            start_deadline: self.start_deadline(model, version),
        })
    }

    /// Whether a request that was to go to an upstream may still do so.
    ///
    /// It is asked once a connection is made, which may take long enough for the upstream to leave.
    pub fn may_serve(&self, now: Moment, key: UpstreamKey, demand: &RequestRequirements) -> bool {
        let upstream = self.upstreams.get(key);
        let pool = self.pools.get(&demand.service);
        let cx = pool::Context {
            now,
            settings: &self.settings,
            named: &self.named,
            entries: self.entries.count(),
        };
        upstream.is_some_and(|upstream| pool.is_some_and(|p| p.may_serve(&cx, upstream, demand)))
    }

    /// By when requests must have begun on a version, if a newer one is named.
    pub fn start_deadline(&self, model: &str, version: u64) -> Option<Moment> {
        let overtaken = self.named.overtaken_at(model, version)?;
        Some(overtaken + self.settings.old_version_start_window)
    }

    /// How many upstreams are in each state; one that is in several counts in the first that applies.
    pub fn count_by_condition(&self, now: Moment) -> HashMap<UpstreamCondition, usize> {
        let mut census = HashMap::new();
        let listed = self.pools.values().flat_map(|pool| pool.members());
        for upstream in listed.filter_map(|key| self.upstreams.get(*key)) {
            *census.entry(upstream.condition(now)).or_default() += 1;
        }
        census
    }

    /// An upstream, unless it is gone.
    pub fn view(&self, key: UpstreamKey) -> Option<UpstreamView> {
        let upstream = self.upstreams.get(key)?;
        Some(UpstreamView {
            record: upstream.record.clone(),
            own_requests: upstream.own_requests,
            switching: upstream.turning,
        })
    }

    /// Decides about a request that has just come, or is to be sent again.
    pub fn submit(&mut self, now: Moment, demand: RequestRequirements) -> DispatchDecision {
        match self.decide(now, &demand, now) {
            Evaluation::Send(chosen) => {
                self.begin(now, &demand, &chosen);
                DispatchDecision::Send(chosen)
            }
            Evaluation::Wait => {
                let since = now;
                DispatchDecision::Wait(self.waiting.insert(Waiting { demand, since }))
            }
            Evaluation::Refuse(refused) => DispatchDecision::Refuse(refused),
        }
    }

    /// Forgets a request that waits; its caller has left.
    pub fn cancel_wait(&mut self, key: WaitKey) {
        self.waiting.remove(key);
    }

    /// Whether any request waits, so that [`Self::poll`] must be called again soon.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Gives the verdicts of requests that waited; call after every change and every few
    /// milliseconds while any request waits.
    pub fn poll(&mut self, now: Moment) -> Vec<(WaitKey, DispatchDecision)> {
        let mut order: Vec<(u8, Moment, WaitKey)> = self
            .waiting
            .iter()
            .map(|(key, w)| (w.demand.priority, w.since, key))
            .collect();
        order.sort();
        let mut verdicts = Vec::new();
        for (_, since, key) in order {
            let Some(waiting) = self.waiting.get(key) else {
                continue;
            };
            let demand = waiting.demand.clone();
            let verdict = match self.decide(now, &demand, since) {
                Evaluation::Send(chosen) => {
                    self.begin(now, &demand, &chosen);
                    DispatchDecision::Send(chosen)
                }
                Evaluation::Wait => continue,
                Evaluation::Refuse(refused) => DispatchDecision::Refuse(refused),
            };
            self.waiting.remove(key);
            verdicts.push((key, verdict));
        }
        verdicts
    }

    fn decide(&mut self, now: Moment, demand: &RequestRequirements, since: Moment) -> Evaluation {
        let none = DispatchRefusal {
            reason: RefusalReason::NoUpstream,
            retry_after: NO_UPSTREAM_RETRY_AFTER,
        };
        let Some(pool) = self.pools.get(&demand.service) else {
            return Evaluation::Refuse(none);
        };
        let cx = pool::Context {
            now,
            settings: &self.settings,
            named: &self.named,
            entries: self.entries.count(),
        };
        let Some(best) = pool.best(&cx, &mut self.upstreams, demand) else {
            let back = pool.first_back(&cx, &self.upstreams, demand);
            return Evaluation::Refuse(back.map_or(none, |back| DispatchRefusal {
                reason: RefusalReason::BackingOff,
                retry_after: back.saturating_sub(now),
            }));
        };
        if best.fits {
            return Evaluation::Send(SelectedUpstream {
                upstream: best.upstream,
                expected_ms: best.expected_ms,
                nominal_ms: best.published_ms,
            });
        }
        let waited = now.saturating_sub(since);
        if waited < MAX_WAIT {
            return Evaluation::Wait;
        }
        let excess = Moment::from_secs_f64(best.excess_ms.max(0.0) / 1e3);
        let back = pool.first_back(&cx, &self.upstreams, demand);
        let room = back.map_or(excess, |back| excess.min(back.saturating_sub(now)));
        Evaluation::Refuse(DispatchRefusal {
            reason: RefusalReason::Overload,
            retry_after: room.max(LEAST_RETRY_AFTER),
        })
    }

    fn begin(&mut self, now: Moment, demand: &RequestRequirements, chosen: &SelectedUpstream) {
        if let Some(upstream) = self.upstreams.get_mut(chosen.upstream) {
            upstream.begin(now, demand.prompt_tokens);
        }
    }

    /// Notes the load that an answer shows: requests that run and wait at the upstream.
    pub fn record_load(&mut self, now: Moment, key: UpstreamKey, running: u32, waiting: u32) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.load(now, running + waiting);
        }
    }

    /// Notes that a request's prompt was read: its first event came after `took_ms`.
    pub fn record_first_event(
        &mut self,
        now: Moment,
        chosen: &SelectedUpstream,
        prompt_tokens: f64,
        took_ms: f64,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(chosen.upstream) {
            upstream.prompt_read(prompt_tokens);
            upstream.calibrate(now, took_ms, chosen.nominal_ms);
        }
    }

    /// Notes that a request no longer occupies the upstream. `unread` is its prompt, if no event
    /// has come.
    pub fn record_outcome(
        &mut self,
        now: Moment,
        key: UpstreamKey,
        unread: f64,
        ending: AttemptOutcome,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.end(now, unread, ending);
        }
    }
}

enum Evaluation {
    Send(SelectedUpstream),
    Wait,
    Refuse(DispatchRefusal),
}
