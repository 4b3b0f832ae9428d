//! Decides which chunk of a version is fetched next, and from which source.
//!
//! Each chunk has one owner per data centre. One of these also owns the chunk for the whole fleet, and is
//! the only host that fetches it from the origin. See docs/DESIGN.md, "Weights".

mod manifest;
mod origin;
mod owners;
mod source_selection;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddr,
};

use balsamjunction_protocol::{ChunkMap, ChunkMapResponse, MemberDocument, MemberState};
use rand::{seq::SliceRandom, Rng};
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;

pub use self::{manifest::choose_manifest_source, origin::OriginState};
use self::{
    origin::{Schedule, ORIGIN_PROBES, RETRY_INTERVAL},
    owners::Owners,
};
use crate::Moment;

/// Chunks that one host fetches from peers in parallel.
const MAX_PEER_FETCHES: usize = 8;
/// Chunks that one host fetches from the origin in parallel. All hosts share the origin's link, so more
/// would only delay the first complete chunk, and with it every host that waits for it.
const MAX_ORIGIN_FETCHES: usize = 1;
/// Time between the starts of successive chunks at the origin, if its rate is not known. The origin accepts
/// few connections; with 32 KiB in 26 ms on a link of 10 Mbit/s, 64 owners never open more than 40.
const DEFAULT_ORIGIN_SPACING: Moment = Moment::from_millis(11);
/// Fraction of the transfer time of a chunk after which the origin starts the next one, so that its link is
/// never idle and chunks still complete one after the other instead of all at the end.
const ORIGIN_SPACING_FRACTION: f64 = 0.9;
/// Longest useful time between the starts of two chunks at the origin.
const MAX_ORIGIN_SPACING: Moment = Moment::from_millis(200);
/// Chunks that one host fetches in parallel if all come from the origin.
const MAX_DIRECT_FETCHES: usize = 4;
/// Chunks that one host fetches from one peer in parallel.
const MAX_FETCHES_PER_PEER: usize = 2;
/// How long a report of stored chunks is used before the peer is probed again.
const PROBE_INTERVAL: Moment = Moment::from_millis(100);
/// Probes that run in parallel.
const MAX_PROBES: usize = 8;
/// Time to wait for the first reports of all peers in the own data centre.
const SURVEY_TIMEOUT: Moment = Moment::from_millis(250);
/// Time for which a source that failed is not used.
const FAILED_BACKOFF: Moment = Moment::from_secs(2);
/// Mean time for which a busy source is not used; the actual time is up to half shorter or longer. Such a
/// source sends a chunk of 32 KiB in 39 ms at nine tenths of a link of 7.6 Mbit/s.
const BUSY_BACKOFF: Moment = Moment::from_millis(100);
/// Time for which a source that sent a corrupt chunk is not used.
const CORRUPT_BACKOFF: Moment = Moment::from_secs(60);
/// Time after which a host fetches a chunk that is stored only in other data centres although another host of its own
/// one owns it there.
const HEDGE_DELAY: Moment = Moment::from_millis(1_200);
/// Time after the start in which an owner that reports that it is not fetching its chunk is not replaced. It may learn
/// of the version up to 450 ms later than this host, and has to fetch the manifest.
const START_GRACE: Moment = Moment::from_millis(700);
/// Time by which each further host waits before it replaces the ones that precede it. Within it, they report that they
/// do so themselves: reports are requested every 100 ms.
const TAKEOVER_STEP: Moment = Moment::from_millis(250);
/// Time without a report after which an owner counts as lost.
const UNKNOWN_TIMEOUT: Moment = Moment::from_millis(1_000);
/// Age up to which an owner's report that it is not fetching a chunk counts; an older one may be outdated.
const OWNER_REPORT_LIFETIME: Moment = Moment::from_millis(400);
/// Time for which a chunk is left to a host that reports that it is fetching it, while other chunks arrive. A copy of
/// 2 MB takes 1.7 s on an origin's link of 10 Mbit/s.
const MAX_OWNER_FETCH_TIME: Moment = Moment::from_millis(3_000);
/// The same while nothing arrives, since the origin is likely unreachable for all: more requests would only be
/// duplicates once it is back.
const MAX_IDLE_FETCH_TIME: Moment = Moment::from_millis(8_000);
/// Time without progress after which the next host in rank fetches an owner's chunk.
const OWNER_TIMEOUT: Moment = Moment::from_secs(2);

/// The source of a chunk or manifest.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The origin of weights.
    Origin,
    /// A sidecar on another host.
    Peer {
        /// Its host.
        host: SmolStr,
        /// Its inner address.
        address: SocketAddr,
    },
}

/// How chunks are distributed to hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distribution {
    /// By owners, as described in the module documentation.
    Owners,
    /// Only the chunks that this host fetches from the origin for the fleet. A host that is fetching another
    /// version still has to provide these.
    OwnChunks,
    /// Every host fetches every chunk from the origin; the baseline of measurements.
    Direct,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchAction {
    /// Fetch a chunk.
    Fetch {
        /// The chunk's number.
        chunk: usize,
        /// The source to fetch it from.
        source: Source,
    },
    /// Ask a peer which chunks it stores.
    Probe {
        /// The peer's host.
        host: SmolStr,
        /// Its inner address.
        address: SocketAddr,
    },
}

/// What a host knows of the owner of a chunk that it lacks.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum OwnerState {
    /// This host is the owner.
    Own,
    /// It is not among the live hosts.
    Gone,
    /// It failed to respond or sent a corrupt chunk.
    Avoided,
    /// It has not reported yet.
    Unknown,
    /// It reports that it stores the chunk.
    Stores,
    /// It reports that it fetches the chunk from the origin.
    Fetches,
    /// It reports neither.
    Idle,
}

/// How a fetch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchFailure {
    /// The source did not send the chunk.
    Unavailable,
    /// The chunk does not match its hash.
    Corrupt,
    /// The upload queue of the source is full.
    Busy,
}

/// The hosts that fetch a version from each other.
#[derive(Clone, Debug)]
pub struct Participants {
    /// This host.
    pub host: SmolStr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// All live hosts of the pool, this one included.
    pub members: Vec<MemberDocument>,
}

/// The state of a peer, as it last reported it and as this host uses it.
#[derive(Clone, Debug, Default)]
struct PeerView {
    stored: ChunkMap,
    /// Chunks that the peer is to fetch from the origin.
    origin_fetches: ChunkMap,
    uploads: u32,
    probed_at: Option<Moment>,
    responded_at: Option<Moment>,
    probing: bool,
    /// Since when the peer reports that it fetches the same chunks from the origin.
    origin_fetches_since: Option<Moment>,
    /// Chunks that this host is fetching from the peer.
    active_fetches: usize,
    avoid_until: Moment,
    busy_until: Moment,
}

/// The plan by which one host fetches one version.
#[derive(Debug)]
pub struct FetchPlan {
    version: SmolStr,
    distribution: Distribution,
    host: SmolStr,
    data_centre: SmolStr,
    /// The address and data centre of each live peer, by host.
    peers: HashMap<SmolStr, (SocketAddr, SmolStr)>,
    views: HashMap<SmolStr, PeerView>,
    owners: Owners,
    /// The live hosts for which `owners` was computed, with their data centres.
    assigned_to: Vec<(SmolStr, SmolStr)>,
    /// Number of times that `owners` was computed.
    assignments: u64,
    /// Since when all hosts that precede this one at a chunk are lost.
    lost_since: HashMap<usize, Moment>,
    /// Chunks that this host fetches from the origin in place of their owners.
    replacing: HashSet<usize>,
    /// The chunks in the order in which they are fetched.
    order: Vec<usize>,
    stored: Vec<bool>,
    missing: usize,
    active_fetches: HashSet<usize>,
    active_origin_fetches: usize,
    /// Chunks that this host is fetching from the origin, by this plan or by another one of the same version.
    in_flight: ChunkMap,
    active_probes: usize,
    origin_avoid_until: Moment,
    origin_spacing: Moment,
    origin: OriginState,
    schedule: Schedule,
    started: Moment,
    last_progress: Moment,
    rng: Pcg64Mcg,
}

impl FetchPlan {
    /// Creates a plan for a version of `chunks` chunks, none of which is stored.
    pub fn new(
        now: Moment,
        version: SmolStr,
        chunks: usize,
        distribution: Distribution,
        participants: Participants,
        mut rng: Pcg64Mcg,
    ) -> Self {
        let mut order: Vec<usize> = (0..chunks).collect();
        order.shuffle(&mut rng);
        let mut plan = Self {
            version,
            distribution,
            host: participants.host.clone(),
            data_centre: participants.data_centre.clone(),
            peers: HashMap::new(),
            views: HashMap::new(),
            owners: Owners::default(),
            assigned_to: Vec::new(),
            assignments: 0,
            lost_since: HashMap::new(),
            replacing: HashSet::new(),
            order,
            stored: vec![false; chunks],
            missing: chunks,
            active_fetches: HashSet::new(),
            active_origin_fetches: 0,
            in_flight: ChunkMap::empty(chunks),
            active_probes: 0,
            origin_avoid_until: Moment::ZERO,
            origin_spacing: DEFAULT_ORIGIN_SPACING,
            origin: OriginState::default(),
            schedule: Schedule::new(now, chunks),
            started: now,
            last_progress: now,
            rng,
        };
        plan.set_participants(participants);
        plan
    }

    /// Spaces fetches from the origin by the transfer time of a chunk of `chunk_bytes` bytes on a link of
    /// `kbit_s` kilobits per second; zero if the rate is not known.
    pub fn with_origin_rate(mut self, chunk_bytes: usize, kbit_s: u32) -> Self {
        if kbit_s > 0 {
            let seconds = chunk_bytes as f64 * 8.0 / 1e3 / f64::from(kbit_s);
            let spacing = Moment::from_secs_f64(seconds * ORIGIN_SPACING_FRACTION);
            self.origin_spacing = spacing.min(MAX_ORIGIN_SPACING);
        }
        self
    }

    /// Starts with what the host knows of the origin from earlier fetches.
    pub fn with_origin_state(mut self, state: OriginState) -> Self {
        self.origin = state;
        self
    }

    /// What the host knows of the origin.
    pub fn origin_state(&self) -> OriginState {
        self.origin
    }

    /// The version that the plan fetches.
    pub fn version(&self) -> &SmolStr {
        &self.version
    }

    /// Number of times that owners were computed: once, and once for each change of the live hosts.
    pub fn assignment_count(&self) -> u64 {
        self.assignments
    }

    /// Number of chunks that are not stored yet.
    pub fn missing_count(&self) -> usize {
        self.missing
    }

    /// Number of chunks that are not stored yet and that this plan is to fetch.
    pub fn outstanding_count(&self) -> usize {
        match self.distribution {
            Distribution::Owners | Distribution::Direct => self.missing,
            Distribution::OwnChunks => self.missing_owned_chunks().count(),
        }
    }

    fn missing_owned_chunks(&self) -> impl Iterator<Item = usize> + '_ {
        let owned = self
            .missing_with_owners()
            .filter(|(_, owner)| **owner == self.host);
        owned.map(|(chunk, _)| chunk)
    }

    /// The chunks that this host is to fetch from the origin for the fleet, as their owner or in place of one, and does
    /// not store yet.
    pub fn missing_owned(&self) -> ChunkMap {
        let mut map = ChunkMap::empty(self.stored.len());
        let replacing = self.replacing.iter().copied();
        let replacing = replacing.filter(|chunk| !self.stored[*chunk]);
        self.missing_owned_chunks()
            .chain(replacing)
            .for_each(|chunk| map.set(chunk));
        map
    }

    /// Number of chunks of the version.
    pub fn chunk_count(&self) -> usize {
        self.stored.len()
    }

    /// Number of chunks that are stored.
    pub fn stored_count(&self) -> usize {
        self.stored.len() - self.missing
    }

    /// Records the chunks that this host is fetching from the origin, by this plan or by an earlier one of the same version
    /// that has ended.
    pub fn set_in_flight(&mut self, chunks: ChunkMap) {
        self.in_flight = chunks;
    }

    /// Number of chunks that this host is fetching from the origin.
    fn origin_fetch_count(&self) -> usize {
        let in_flight = (0..self.stored.len()).filter(|chunk| self.in_flight.has(*chunk));
        in_flight.count().max(self.active_origin_fetches)
    }

    /// Whether this plan is to fetch a chunk and is not fetching it already.
    fn needs(&self, chunk: usize) -> bool {
        !self.stored[chunk]
            && !self.active_fetches.contains(&chunk)
            && !self.in_flight.has(chunk)
            && (self.distribution != Distribution::OwnChunks
                || self.owners.fleet[chunk] == self.host)
    }

    /// The chunks that are not stored yet, each with the host that fetches it from the origin.
    pub fn missing_with_owners(&self) -> impl Iterator<Item = (usize, &SmolStr)> {
        let missing = self
            .stored
            .iter()
            .enumerate()
            .filter(|(_, stored)| !**stored);
        missing.filter_map(|(chunk, _)| Some((chunk, self.owners.fleet.get(chunk)?)))
    }

    /// Since when no chunk has arrived.
    pub fn waiting_since(&self) -> Moment {
        self.last_progress
    }

    /// The chunks that are not stored yet, each with its owner and what this host knows of it.
    pub fn missing_with_owner_states(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (usize, &SmolStr, OwnerState)> {
        self.missing_with_owners()
            .map(move |(chunk, owner)| (chunk, owner, self.owner_state(now, chunk)))
    }

    /// The chunks that are stored.
    pub fn stored_map(&self) -> ChunkMap {
        let mut map = ChunkMap::empty(self.stored.len());
        for (chunk, _) in self
            .stored
            .iter()
            .enumerate()
            .filter(|(_, stored)| **stored)
        {
            map.set(chunk);
        }
        map
    }

    /// Applies a newer list of members.
    pub fn set_participants(&mut self, participants: Participants) {
        let mut live: Vec<&MemberDocument> = participants
            .members
            .iter()
            .filter(|m| m.state == MemberState::Live || m.host == self.host)
            .collect();
        live.sort_by(|a, b| a.host.cmp(&b.host));
        self.peers = live
            .iter()
            .filter(|m| m.host != self.host)
            .filter_map(|m| {
                let address = m.address.parse().ok()?;
                Some((m.host.clone(), (address, m.data_centre.clone())))
            })
            .collect();
        let assigned_to = self.assigned_to.iter();
        let is_assigned = assigned_to
            .map(|(host, dc)| (host, dc))
            .eq(live.iter().map(|m| (&m.host, &m.data_centre)));
        if is_assigned {
            return;
        }
        let live_hosts = live.iter().map(|m| (m.host.clone(), m.data_centre.clone()));
        self.assigned_to = live_hosts.collect();
        self.assignments += 1;
        let fresh = Owners::assign(&self.version, self.stored.len(), &self.data_centre, &live);
        let names: HashSet<&SmolStr> = live.iter().map(|m| &m.host).collect();
        self.owners.replace_missing(fresh, &names);
        self.order_owned_first();
    }

    /// Sorts chunks that this host owns first, since other hosts wait for them: those that it owns for the
    /// fleet, then those for its data centre.
    fn order_owned_first(&mut self) {
        let owners = &self.owners;
        let host = &self.host;
        self.order.sort_by_key(|chunk| {
            if owners.fleet.get(*chunk) == Some(host) {
                return 0;
            }
            if owners.local.get(*chunk) == Some(host) {
                return 1;
            }
            2
        });
    }

    /// Returns the actions to start now. Call it after every event and about every 20 ms.
    pub fn next_actions(&mut self, now: Moment) -> Vec<FetchAction> {
        let mut actions = Vec::new();
        let mut blocked = Vec::new();
        self.replace_lost_owners(now);
        let nearby = self.stored_nearby(now);
        for n in 0..self.order.len() {
            if self.fetch_limit_reached() {
                break;
            }
            let chunk = self.order[n];
            if !self.needs(chunk) {
                continue;
            }
            let draw = self.rng.random();
            match self.select_source(now, chunk, &nearby, draw) {
                Some(source) => {
                    self.record_start(chunk, &source);
                    actions.push(FetchAction::Fetch { chunk, source });
                }
                None => blocked.push(chunk),
            }
        }
        self.probe_predecessors(now, &mut actions);
        if !self.fetch_limit_reached() {
            self.probe(now, &blocked, &mut actions);
        }
        self.order.retain(|chunk| !self.stored[*chunk]);
        actions
    }

    fn fetch_limit_reached(&self) -> bool {
        let from_peers = self.active_fetches.len() - self.active_origin_fetches;
        match self.distribution {
            Distribution::Owners | Distribution::OwnChunks => from_peers >= MAX_PEER_FETCHES,
            Distribution::Direct => self.active_origin_fetches >= MAX_DIRECT_FETCHES,
        }
    }

    fn record_start(&mut self, chunk: usize, source: &Source) {
        self.active_fetches.insert(chunk);
        match source {
            Source::Origin => self.active_origin_fetches += 1,
            Source::Peer { host, .. } => {
                self.views.entry(host.clone()).or_default().active_fetches += 1;
            }
        }
    }

    fn probe(&mut self, now: Moment, blocked: &[usize], actions: &mut Vec<FetchAction>) {
        let mut targets: Vec<SmolStr> = Vec::new();
        for chunk in blocked {
            let expected = self.expected_holder(*chunk).clone();
            if !targets.contains(&expected) {
                targets.push(expected);
            }
        }
        let local = self.peers.iter();
        let local = local.filter(|(_, (_, data_centre))| *data_centre == self.data_centre);
        targets.extend(local.map(|(host, _)| host.clone()));
        let stalled = now.saturating_sub(self.last_progress.max(self.started)) > OWNER_TIMEOUT;
        if stalled || self.may_hedge(now) {
            targets.extend(self.peers.keys().cloned());
        }
        // Sorted first, so that the order depends on the seed alone.
        targets.sort_unstable();
        targets.shuffle(&mut self.rng);
        for host in targets {
            if !self.start_probe(now, &host, MAX_PROBES, actions) {
                return;
            }
        }
    }

    /// Probes the hosts that precede this one at missing chunks: whether it replaces them depends on their reports, also
    /// while it fetches as many chunks as it may.
    fn probe_predecessors(&mut self, now: Moment, actions: &mut Vec<FetchAction>) {
        if self.distribution != Distribution::Owners {
            return;
        }
        let mut hosts: BTreeSet<SmolStr> = BTreeSet::new();
        for chunk in (0..self.stored.len()).filter(|chunk| !self.stored[*chunk]) {
            for host in self.predecessors(chunk).into_iter().flatten() {
                hosts.insert(host.clone());
                // As long as this one is not lost, the state of the further ones does not matter.
                if !self.is_lost(now, host, chunk) {
                    break;
                }
            }
        }
        for host in hosts {
            if !self.start_probe(now, &host, 2 * MAX_PROBES, actions) {
                return;
            }
        }
    }

    /// Probes a host if that is due; returns whether fewer than `max_probes` run.
    fn start_probe(
        &mut self,
        now: Moment,
        host: &SmolStr,
        max_probes: usize,
        actions: &mut Vec<FetchAction>,
    ) -> bool {
        if self.active_probes >= max_probes {
            return false;
        }
        let Some((address, _)) = self.peers.get(host) else {
            return true;
        };
        let view = self.views.entry(host.clone()).or_default();
        let due = view
            .probed_at
            .is_none_or(|at| now.saturating_sub(at) >= PROBE_INTERVAL);
        if !view.probing && due && now >= view.avoid_until {
            view.probing = true;
            view.probed_at = Some(now);
            self.active_probes += 1;
            actions.push(FetchAction::Probe {
                host: host.clone(),
                address: *address,
            });
        }
        true
    }

    /// Records the response to a probe, or `None` if the peer did not respond.
    pub fn record_probe(
        &mut self,
        now: Moment,
        host: &SmolStr,
        response: Option<ChunkMapResponse>,
    ) {
        self.active_probes = self.active_probes.saturating_sub(1);
        let view = self.views.entry(host.clone()).or_default();
        view.probing = false;
        match response {
            Some(response) => {
                let asked_at = view.probed_at.unwrap_or(now);
                if let Some(age_ms) = response.origin_age_ms {
                    // The age is of a time after the request. Counted from the response instead, each host that passes
                    // it on would make it younger, and an unreachable origin would seem to respond for ever.
                    let at = asked_at.saturating_sub(Moment::from_millis(age_ms.into()));
                    self.record_origin_response(now, at);
                }
                self.record_peer_state(now, host, response);
            }
            None => view.avoid_until = now + FAILED_BACKOFF,
        }
    }

    /// Records what a peer stores and sends, as it also reports with every chunk.
    pub fn record_peer_state(&mut self, now: Moment, host: &SmolStr, report: ChunkMapResponse) {
        let view = self.views.entry(host.clone()).or_default();
        let is_fetching = (0..self.stored.len()).any(|n| report.fetching_from_origin.has(n));
        view.responded_at = Some(now);
        view.origin_fetches_since = match is_fetching {
            true if report.fetching_from_origin == view.origin_fetches => {
                view.origin_fetches_since.or(Some(now))
            }
            true => Some(now),
            false => None,
        };
        view.stored = report.map;
        view.origin_fetches = report.fetching_from_origin;
        view.uploads = report.uploads;
    }

    /// Records a chunk that is stored already.
    pub fn record_stored(&mut self, chunk: usize) {
        if !std::mem::replace(&mut self.stored[chunk], true) {
            self.missing -= 1;
        }
    }

    /// Records a chunk that arrived and matches its hash.
    pub fn record_arrival(&mut self, now: Moment, chunk: usize, source: &Source) {
        self.record_end(chunk, source);
        self.record_stored(chunk);
        self.last_progress = now;
        if *source == Source::Origin {
            self.record_origin_response(now, now);
        }
    }

    /// Records that a chunk arrived from the origin at `at`. If it did not respond before, the missing chunks are
    /// scheduled anew from now on.
    fn record_origin_response(&mut self, now: Moment, at: Moment) {
        let was_down = self.origin.is_down();
        self.origin.record_response(at);
        if was_down && !self.origin.is_down() {
            let known = self.known_chunks();
            self.schedule.restart(now, |chunk| !known.has(chunk));
            self.origin_avoid_until = now;
        }
    }

    /// The chunks that are stored, here or at a peer.
    fn known_chunks(&self) -> ChunkMap {
        let mut known = self.stored_map();
        self.views
            .values()
            .for_each(|view| known.merge(&view.stored));
        known
    }

    /// Whether this host is one of those that find out when the origin is back: it fetches one of the first chunks that
    /// no host is known to store.
    fn probes_origin(&self) -> bool {
        let known = self.known_chunks();
        let missing = (0..self.stored.len()).filter(|chunk| !known.has(*chunk));
        missing
            .take(ORIGIN_PROBES)
            .any(|chunk| self.owners.fleet[chunk] == self.host || self.replacing.contains(&chunk))
    }

    /// Records a failed fetch, and avoids its source for some time.
    pub fn record_failure(
        &mut self,
        now: Moment,
        chunk: usize,
        source: &Source,
        failure: FetchFailure,
    ) {
        self.record_end(chunk, source);
        let backoff = match failure {
            FetchFailure::Unavailable => FAILED_BACKOFF,
            FetchFailure::Corrupt => CORRUPT_BACKOFF,
            FetchFailure::Busy => BUSY_BACKOFF.mul_f64(self.rng.random_range(0.5..1.5)),
        };
        match source {
            Source::Origin => {
                // The origin has no substitute, so fetches from it are only delayed briefly.
                let delay = Moment::from_millis(self.rng.random_range(50..150));
                self.origin_avoid_until = now + delay;
                self.origin.failed_at = Some(now);
                if !self.probes_origin() {
                    let delay = RETRY_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
                    self.origin_avoid_until = now + delay;
                }
            }
            Source::Peer { host, .. } => {
                let view = self.views.entry(host.clone()).or_default();
                match failure {
                    FetchFailure::Busy => view.busy_until = now + backoff,
                    FetchFailure::Unavailable | FetchFailure::Corrupt => {
                        view.avoid_until = now + backoff;
                    }
                }
            }
        }
    }

    fn record_end(&mut self, chunk: usize, source: &Source) {
        if !self.active_fetches.remove(&chunk) {
            return;
        }
        match source {
            Source::Origin => self.active_origin_fetches -= 1,
            Source::Peer { host, .. } => {
                let view = self.views.entry(host.clone()).or_default();
                view.active_fetches = view.active_fetches.saturating_sub(1);
            }
        }
    }
}
