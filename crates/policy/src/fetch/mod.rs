//! Which chunk of a version is fetched next, and from whom.
//!
//! Each chunk has one owner per data centre, and among those one owner for the whole fleet, which
//! alone draws it from the origin. See docs/DESIGN.md, "Weights".

mod manifest;
mod owners;
mod source_selection;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use balsamjunction_protocol::{ChunkMap, HaveAnswer, MemberDocument, MemberState};
use rand::{seq::SliceRandom, Rng};
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;

pub use self::manifest::choose_manifest_source;
use self::owners::Owners;
use crate::Moment;

/// Chunks that one host fetches from peers at once.
const PARALLEL_FROM_PEERS: usize = 8;
/// Chunks that one host fetches from the origin at once. All hosts share the origin's link, so more
/// would only delay the first whole chunk, and with it everybody who waits for it.
const PARALLEL_FROM_ORIGIN: usize = 1;
/// Owners of a chunk begin to draw it this long after the owner of the one before, if the origin's rate is
/// not known. The origin takes few connections; with 32 KiB in 26 ms on a link of 10 Mbit/s, 64 owners
/// never hold more than 40.
const USUAL_ORIGIN_SPACING: Moment = Moment::from_millis(11);
/// Part of the time that the origin needs for a chunk after which the next one is begun, so that its link
/// is never idle and chunks still come one after the other instead of all at the end.
const ORIGIN_SPACING_PART: f64 = 0.9;
/// The longest time between two chunks of the origin that makes sense.
const MOST_ORIGIN_SPACING: Moment = Moment::from_millis(200);
/// Chunks that one host fetches at once if all come from the origin.
const PARALLEL_DIRECT: usize = 4;
/// Chunks that one host fetches at once from one peer.
const PARALLEL_PER_SOURCE: usize = 2;
/// How long an answer about held chunks is used before the peer is asked again.
const PROBE_INTERVAL: Moment = Moment::from_millis(100);
/// Probes that run at once.
const MAX_PROBES: usize = 8;
/// A peer nearby that has not said by then what it holds is not waited for.
const SURVEY_LIMIT: Moment = Moment::from_millis(250);
/// Time for which a source that failed is passed over.
const AVOID_FAILED: Moment = Moment::from_secs(2);
/// Mean time for which a busy source is not asked, spread by half. It sends a chunk of 32 KiB in 39 ms at
/// nine tenths of a link of 7.6 Mbit/s.
const AVOID_BUSY: Moment = Moment::from_millis(100);
/// Time for which a source that sent a corrupt chunk is passed over.
const AVOID_CORRUPT: Moment = Moment::from_secs(60);
/// Time after which a chunk that nobody is known to hold is drawn by another host than its owner. The
/// owner may be up and at work on something else.
const HEDGE_AFTER: Moment = Moment::from_millis(1_200);
/// An owner that has said so lately does not draw a chunk; what it said longer ago may be outdated.
const OWNER_NEWS_LIFE: Moment = Moment::from_millis(400);
/// Time for which chunks are left to a host that says that it is at work to draw them. A copy of 2 MB takes
/// 1.7 s on an origin's link of 10 Mbit/s.
const DRAWING_PATIENCE: Moment = Moment::from_millis(3_000);
/// Time after which the next rank takes over an owner's chunk that does not come.
const OWNER_PATIENCE: Moment = Moment::from_secs(2);

/// Where a chunk comes from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The origin of weights.
    Origin,
    /// A sidecar that holds the chunk.
    Peer {
        /// Its host.
        host: SmolStr,
        /// Its inner address.
        address: SocketAddr,
    },
}

/// How chunks reach a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distribution {
    /// By owners, as described above.
    Owners,
    /// Only the chunks that this host draws from the origin for all others. A host that is at work on
    /// another version owes the fleet these all the same.
    OwnChunks,
    /// Every host draws every chunk from the origin; the baseline of measurements.
    Direct,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchAction {
    /// Fetch a chunk.
    Fetch {
        /// The chunk's number.
        chunk: usize,
        /// From whom.
        source: Source,
    },
    /// Ask a peer which chunks it holds.
    Probe {
        /// The peer's host.
        host: SmolStr,
        /// Its inner address.
        address: SocketAddr,
    },
}

/// How a fetch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchFailure {
    /// The source did not send the chunk.
    Unavailable,
    /// The chunk does not have its hash.
    Corrupt,
    /// The source sends to as many others as it may keep waiting.
    Busy,
}

/// Who takes part in a burst.
#[derive(Clone, Debug)]
pub struct Participants {
    /// This host.
    pub host: SmolStr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// All live hosts of the pool, this one included.
    pub members: Vec<MemberDocument>,
}

#[derive(Clone, Debug, Default)]
struct PeerView {
    held: ChunkMap,
    drawing: ChunkMap,
    uploads: u32,
    asked: Option<Moment>,
    answered: Option<Moment>,
    asking: bool,
    fetching: usize,
    avoid_until: Moment,
    busy_until: Moment,
}

/// The fetch plan of one version on one host.
#[derive(Debug)]
pub struct FetchPlan {
    version: SmolStr,
    distribution: Distribution,
    host: SmolStr,
    data_centre: SmolStr,
    peers: HashMap<SmolStr, (SocketAddr, SmolStr)>,
    views: HashMap<SmolStr, PeerView>,
    owners: Owners,
    order: Vec<usize>,
    held: Vec<bool>,
    missing: usize,
    fetching: HashSet<usize>,
    from_origin: usize,
    probes: usize,
    origin_avoid_until: Moment,
    origin_spacing: Moment,
    started: Moment,
    last_progress: Moment,
    rng: Pcg64Mcg,
}

impl FetchPlan {
    /// A plan for a version of `chunks` chunks, of which none is held.
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
            order,
            held: vec![false; chunks],
            missing: chunks,
            fetching: HashSet::new(),
            from_origin: 0,
            probes: 0,
            origin_avoid_until: Moment::ZERO,
            origin_spacing: USUAL_ORIGIN_SPACING,
            started: now,
            last_progress: now,
            rng,
        };
        plan.set_participants(participants);
        plan
    }

    /// Spaces draws from the origin by the time that it takes for a chunk of `chunk_bytes` bytes on a
    /// link of `kbit_s` kilobits a second; zero if that is not known.
    pub fn with_origin_rate(mut self, chunk_bytes: usize, kbit_s: u32) -> Self {
        if kbit_s > 0 {
            let seconds = chunk_bytes as f64 * 8.0 / 1e3 / f64::from(kbit_s);
            let spacing = Moment::from_secs_f64(seconds * ORIGIN_SPACING_PART);
            self.origin_spacing = spacing.min(MOST_ORIGIN_SPACING);
        }
        self
    }

    /// The version that is fetched.
    pub fn version(&self) -> &SmolStr {
        &self.version
    }

    /// Chunks not held yet.
    pub fn missing_count(&self) -> usize {
        self.missing
    }

    /// Chunks not held yet that this plan is to fetch.
    pub fn outstanding_count(&self) -> usize {
        match self.distribution {
            Distribution::Owners | Distribution::Direct => self.missing,
            Distribution::OwnChunks => self.owed_chunks().count(),
        }
    }

    fn owed_chunks(&self) -> impl Iterator<Item = usize> + '_ {
        let owed = self
            .missing_with_owners()
            .filter(|(_, owner)| **owner == self.host);
        owed.map(|(chunk, _)| chunk)
    }

    /// Chunks that this host is to draw from the origin for all, and does not hold yet.
    pub fn missing_owned(&self) -> ChunkMap {
        let mut map = ChunkMap::empty(self.held.len());
        self.owed_chunks().for_each(|chunk| map.set(chunk));
        map
    }

    /// How many chunks are held.
    pub fn stored_count(&self) -> usize {
        self.held.len() - self.missing
    }

    /// Whether a chunk is among those that this plan is to fetch.
    fn wants(&self, chunk: usize) -> bool {
        !self.held[chunk]
            && !self.fetching.contains(&chunk)
            && (self.distribution != Distribution::OwnChunks
                || self.owners.fleet[chunk] == self.host)
    }

    /// Chunks not held yet, each with the host that draws it from the origin.
    pub fn missing_with_owners(&self) -> impl Iterator<Item = (usize, &SmolStr)> {
        let lacking = self.held.iter().enumerate().filter(|(_, held)| !**held);
        lacking.filter_map(|(chunk, _)| Some((chunk, self.owners.fleet.get(chunk)?)))
    }

    /// The chunks that are held.
    pub fn stored_map(&self) -> ChunkMap {
        let mut map = ChunkMap::empty(self.held.len());
        for (chunk, _) in self.held.iter().enumerate().filter(|(_, held)| **held) {
            map.set(chunk);
        }
        map
    }

    /// Takes over a newer membership list.
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
        let fresh = Owners::assign(&self.version, self.held.len(), &self.data_centre, &live);
        let names: HashSet<&SmolStr> = live.iter().map(|m| &m.host).collect();
        self.owners.replace_gone(fresh, &names);
        self.put_owned_first();
    }

    /// Others wait for the chunks that this host owns, the fleet's before the data centre's.
    fn put_owned_first(&mut self) {
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

    /// What to do now; call again after every event and about every 20 ms.
    pub fn next_actions(&mut self, now: Moment) -> Vec<FetchAction> {
        let mut actions = Vec::new();
        let mut blocked = Vec::new();
        let nearby = self.held_nearby(now);
        for n in 0..self.order.len() {
            if self.is_full() {
                break;
            }
            let chunk = self.order[n];
            if !self.wants(chunk) {
                continue;
            }
            let luck = self.rng.random();
            match self.source_of(now, chunk, &nearby, luck) {
                Some(source) => {
                    self.start(chunk, &source);
                    actions.push(FetchAction::Fetch { chunk, source });
                }
                None => blocked.push(chunk),
            }
        }
        if !self.is_full() {
            self.probe(now, &blocked, &mut actions);
        }
        self.order.retain(|chunk| !self.held[*chunk]);
        actions
    }

    fn is_full(&self) -> bool {
        let from_peers = self.fetching.len() - self.from_origin;
        match self.distribution {
            Distribution::Owners | Distribution::OwnChunks => from_peers >= PARALLEL_FROM_PEERS,
            Distribution::Direct => self.from_origin >= PARALLEL_DIRECT,
        }
    }

    fn start(&mut self, chunk: usize, source: &Source) {
        self.fetching.insert(chunk);
        match source {
            Source::Origin => self.from_origin += 1,
            Source::Peer { host, .. } => {
                self.views.entry(host.clone()).or_default().fetching += 1;
            }
        }
    }

    fn probe(&mut self, now: Moment, blocked: &[usize], actions: &mut Vec<FetchAction>) {
        let mut wanted: Vec<SmolStr> = Vec::new();
        for chunk in blocked {
            let expected = self.expected_holder(*chunk).clone();
            if !wanted.contains(&expected) {
                wanted.push(expected);
            }
        }
        let local = self.peers.iter();
        let local = local.filter(|(_, (_, data_centre))| *data_centre == self.data_centre);
        wanted.extend(local.map(|(host, _)| host.clone()));
        let stalled = now.saturating_sub(self.last_progress.max(self.started)) > OWNER_PATIENCE;
        if stalled || self.hedging(now) {
            wanted.extend(self.peers.keys().cloned());
        }
        // Sorted first, so that a seed decides alone.
        wanted.sort_unstable();
        wanted.shuffle(&mut self.rng);
        for host in wanted {
            if self.probes >= MAX_PROBES {
                return;
            }
            let Some((address, _)) = self.peers.get(&host) else {
                continue;
            };
            let view = self.views.entry(host.clone()).or_default();
            let due = view
                .asked
                .is_none_or(|asked| now.saturating_sub(asked) >= PROBE_INTERVAL);
            if view.asking || !due || now < view.avoid_until {
                continue;
            }
            view.asking = true;
            view.asked = Some(now);
            self.probes += 1;
            let address = *address;
            actions.push(FetchAction::Probe { host, address });
        }
    }

    /// Notes what a peer holds; nothing if it did not answer.
    pub fn record_probe(&mut self, now: Moment, host: &SmolStr, answer: Option<HaveAnswer>) {
        self.probes = self.probes.saturating_sub(1);
        let view = self.views.entry(host.clone()).or_default();
        view.asking = false;
        match answer {
            Some(answer) => {
                view.answered = Some(now);
                self.record_peer_state(host, answer);
            }
            None => view.avoid_until = now + AVOID_FAILED,
        }
    }

    /// Notes what a peer holds and sends, as it says with every chunk.
    pub fn record_peer_state(&mut self, host: &SmolStr, answer: HaveAnswer) {
        let view = self.views.entry(host.clone()).or_default();
        view.held = answer.map;
        view.drawing = answer.drawing;
        view.uploads = answer.uploads;
    }

    /// Notes a chunk that arrived and has its hash.
    pub fn record_arrival(&mut self, now: Moment, chunk: usize, source: &Source) {
        self.release(chunk, source);
        if !std::mem::replace(&mut self.held[chunk], true) {
            self.missing -= 1;
        }
        self.last_progress = now;
    }

    /// Notes a fetch that failed, and passes its source over for a while.
    pub fn record_failure(
        &mut self,
        now: Moment,
        chunk: usize,
        source: &Source,
        failure: FetchFailure,
    ) {
        self.release(chunk, source);
        let avoid = match failure {
            FetchFailure::Unavailable => AVOID_FAILED,
            FetchFailure::Corrupt => AVOID_CORRUPT,
            FetchFailure::Busy => AVOID_BUSY.mul_f64(self.rng.random_range(0.5..1.5)),
        };
        match source {
            Source::Origin => {
                // The origin has no substitute, so it is only given time to breathe.
                let pause = Moment::from_millis(self.rng.random_range(50..250));
                self.origin_avoid_until = now + pause;
            }
            Source::Peer { host, .. } => {
                let view = self.views.entry(host.clone()).or_default();
                match failure {
                    FetchFailure::Busy => view.busy_until = now + avoid,
                    FetchFailure::Unavailable | FetchFailure::Corrupt => {
                        view.avoid_until = now + avoid;
                    }
                }
            }
        }
    }

    fn release(&mut self, chunk: usize, source: &Source) {
        if !self.fetching.remove(&chunk) {
            return;
        }
        match source {
            Source::Origin => self.from_origin -= 1,
            Source::Peer { host, .. } => {
                let view = self.views.entry(host.clone()).or_default();
                view.fetching = view.fetching.saturating_sub(1);
            }
        }
    }
}
