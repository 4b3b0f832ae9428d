//! The entry's choice of an upstream.
//!
//! Two random choices over a bounded subset, by load that sidecars piggyback on their answers and
//! that loses weight with age. See docs/DESIGN.md, "Routing".

use std::{collections::HashMap, net::SocketAddr};

use balsamjunction_protocol::LoadReport;
use balsamjunction_settings::{Fleet, Pool};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use slotmap::{new_key_type, SlotMap};
use smol_str::SmolStr;

use crate::{rendezvous, Moment};

new_key_type! {
    /// One upstream of one pool.
    pub struct UpstreamKey;
}

/// Upstreams of a pool that one entry uses; 32 bound its state at thousands of engines.
pub const SUBSET_SIZE: usize = 32;
/// A load report loses half of its weight in this time.
const REPORT_HALF_LIFE: Moment = Moment::from_millis(500);
/// Loads that differ by less are even; the trace of a faded report must not decide.
const LOAD_TIE: f64 = 0.02;
/// Added to the load of an upstream in another region.
const OTHER_REGION_LOAD: f64 = 0.25;
/// Failures in a row after which an upstream is left out.
const EJECT_AFTER: u32 = 2;
/// First time for which a failing upstream is left out; doubles with each further ejection.
const FIRST_EJECTION: Moment = Moment::from_millis(250);
/// Longest time for which a failing upstream is left out.
const MAX_EJECTION: Moment = Moment::from_secs(8);
/// How much more load than the least a cached prefix may cost, as a part of the limit.
const AFFINITY_SLACK: f64 = 0.25;

/// Weight of a new answer in the mean times on links.
const LATENESS_GAIN: f64 = 0.2;
/// The quiet time drifts up by this factor per answer, so that a lasting change becomes normal.
const QUIET_DRIFT: f64 = 1.002;

/// How the entry chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// Less loaded of two.
    TwoChoices,
    /// Uniformly random; the baseline of measurements.
    Random,
}

/// An upstream as the entry believes it to be.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// The host's name.
    pub host: SmolStr,
    /// The host's data centre.
    pub data_centre: SmolStr,
    /// The sidecar's inner address.
    pub sidecar: SocketAddr,
    /// Whether it takes new work.
    pub available: bool,
    other_region: bool,
    report: LoadReport,
    reported: Moment,
    in_flight: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Moment,
    lateness: Lateness,
}

/// Time that answers spend on links, now and in quiet times.
#[derive(Clone, Debug, Default)]
struct Lateness {
    elapsed: f64,
    on_links: f64,
    quiet: Option<f64>,
}

impl Lateness {
    fn note(&mut self, elapsed: Moment, upstream_time: Moment) {
        let on_links = elapsed.saturating_sub(upstream_time).as_secs_f64();
        self.elapsed += LATENESS_GAIN * (elapsed.as_secs_f64() - self.elapsed);
        self.on_links += LATENESS_GAIN * (on_links - self.on_links);
        let quiet = self.quiet.unwrap_or(on_links) * QUIET_DRIFT;
        self.quiet = Some(quiet.min(on_links));
    }

    fn percent(&self) -> u32 {
        let late = self.on_links - self.quiet.unwrap_or(self.on_links);
        if late <= 0.0 || self.elapsed <= 0.0 {
            return 100;
        }
        100 + (100.0 * late / (self.elapsed - late).max(f64::EPSILON)).min(1_000.0) as u32
    }
}

impl UpstreamView {
    /// How late answers are because of the links, 100 for not at all.
    pub fn lateness_percent(&self) -> u32 {
        self.lateness.percent()
    }

    /// Load as a part of the limit.
    fn load(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.reported).as_secs_f64();
        let trust = 0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        let reported = f64::from(self.report.running + self.report.waiting) * trust;
        let busy = reported.max(f64::from(self.in_flight));
        let distance = if self.other_region {
            OTHER_REGION_LOAD
        } else {
            0.0
        };
        busy / f64::from(self.report.limit.max(1)) + distance
    }

    fn usable(&self, now: Moment) -> bool {
        self.available && now >= self.ejected_until
    }
}

/// What came of an attempt, as far as the choice of upstreams goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// The sidecar answered, whatever the answer.
    Responded {
        /// The upstream's load.
        load: LoadReport,
        /// From sending the request to the head of the answer.
        elapsed: Moment,
        /// The part of it that the sidecar and its upstream spent.
        upstream_time: Moment,
    },
    /// The sidecar did not answer, or its upstream broke.
    Failed,
}

/// What a choice must respect.
#[derive(Clone, Debug, Default)]
pub struct SelectionConstraints<'a> {
    /// Hosts that this request has tried.
    pub tried: &'a [SmolStr],
    /// Hash of a prompt prefix that some engine may hold in its cache.
    pub affinity: Option<u64>,
}

/// All pools as one entry sees them.
#[derive(Debug)]
pub struct Router {
    host: SmolStr,
    data_centre: SmolStr,
    choice: SelectionPolicy,
    upstreams: SlotMap<UpstreamKey, UpstreamView>,
    pools: HashMap<SmolStr, Vec<UpstreamKey>>,
    by_host: HashMap<SmolStr, UpstreamKey>,
    rng: Pcg64Mcg,
}

impl Router {
    /// A router of the entry on `host`, without upstreams.
    pub fn new(
        host: SmolStr,
        data_centre: SmolStr,
        choice: SelectionPolicy,
        rng: Pcg64Mcg,
    ) -> Self {
        Self {
            host,
            data_centre,
            choice,
            upstreams: SlotMap::with_key(),
            pools: HashMap::new(),
            by_host: HashMap::new(),
            rng,
        }
    }

    /// The upstream with this key.
    pub fn get(&self, key: UpstreamKey) -> Option<&UpstreamView> {
        self.upstreams.get(key)
    }

    /// The upstream on a host.
    pub fn on_host(&self, host: &str) -> Option<UpstreamKey> {
        self.by_host.get(host).copied()
    }

    /// Takes over a declaration; what is known of upstreams that stay is kept.
    ///
    /// `leaving` are hosts that the membership list names as such.
    pub fn configure(&mut self, now: Moment, fleet: &Fleet, leaving: &[SmolStr]) {
        let own_region = fleet.region_of(&self.data_centre).cloned();
        let mut kept = HashMap::new();
        self.pools.clear();
        for (name, pool) in &fleet.pools {
            let mut keys = Vec::new();
            for upstream in self.subset(fleet, name, pool) {
                let region = fleet.region_of(&upstream.data_centre).cloned();
                let available =
                    fleet.in_service(name, upstream) && !leaving.contains(&upstream.host);
                let old = self.by_host.get(&upstream.host).copied();
                let key = old.unwrap_or_else(|| self.upstreams.insert(fresh_view(now, upstream)));
                let view = &mut self.upstreams[key];
                view.data_centre = upstream.data_centre.clone();
                view.sidecar = upstream.sidecar;
                view.other_region = region != own_region;
                view.available = available;
                kept.insert(upstream.host.clone(), key);
                keys.push(key);
            }
            self.pools.insert(name.clone(), keys);
        }
        self.by_host = kept;
        let held: std::collections::HashSet<_> = self.by_host.values().copied().collect();
        self.upstreams.retain(|key, _| held.contains(&key));
    }

    /// The upstreams of a pool that this entry uses: those in service that rank first for it.
    fn subset<'f>(
        &self,
        fleet: &Fleet,
        name: &SmolStr,
        pool: &'f Pool,
    ) -> Vec<&'f balsamjunction_settings::Upstream> {
        let mut upstreams: Vec<_> = pool.upstreams.iter().collect();
        if upstreams.len() <= SUBSET_SIZE {
            return upstreams;
        }
        upstreams.sort_by_cached_key(|upstream| {
            let out = !fleet.in_service(name, upstream);
            let weight = rendezvous::weight(self.host.as_bytes(), &upstream.host);
            (out, std::cmp::Reverse(weight))
        });
        upstreams.truncate(SUBSET_SIZE);
        upstreams
    }

    /// Whether the pool is declared.
    pub fn has_pool(&self, pool: &str) -> bool {
        self.pools.contains_key(pool)
    }

    /// Chooses an upstream for a request; none if no upstream may take it.
    pub fn choose(
        &mut self,
        now: Moment,
        pool: &str,
        wanted: &SelectionConstraints<'_>,
    ) -> Option<UpstreamKey> {
        let keys = self.pools.get(pool)?;
        let untried = |key: &&UpstreamKey| {
            let view = &self.upstreams[**key];
            view.available && !wanted.tried.contains(&view.host)
        };
        let mut candidates: Vec<UpstreamKey> = keys
            .iter()
            .filter(untried)
            .filter(|key| self.upstreams[**key].usable(now))
            .copied()
            .collect();
        if candidates.is_empty() {
            // With everything ejected, a trial beats refusing what might run.
            candidates = keys.iter().filter(untried).copied().collect();
        }
        let chosen = self.pick(now, &candidates, wanted.affinity)?;
        self.upstreams[chosen].in_flight += 1;
        Some(chosen)
    }

    fn pick(
        &mut self,
        now: Moment,
        candidates: &[UpstreamKey],
        affinity: Option<u64>,
    ) -> Option<UpstreamKey> {
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.rng.random_range(0..candidates.len())];
        if self.choice == SelectionPolicy::Random {
            return Some(first);
        }
        let second = candidates[self.rng.random_range(0..candidates.len())];
        let load = |key: UpstreamKey| self.upstreams[key].load(now);
        let lighter = if load(second) + LOAD_TIE < load(first) {
            second
        } else {
            first
        };
        let holder = affinity.and_then(|prefix| self.holder(candidates, prefix));
        match holder {
            Some(holder) if load(holder) <= load(lighter) + AFFINITY_SLACK => Some(holder),
            _ => Some(lighter),
        }
    }

    /// The candidate that earlier requests with this prefix went to.
    fn holder(&self, candidates: &[UpstreamKey], prefix: u64) -> Option<UpstreamKey> {
        let prefix = prefix.to_le_bytes();
        let weight = |key: &UpstreamKey| rendezvous::weight(&prefix, &self.upstreams[*key].host);
        candidates.iter().copied().max_by_key(weight)
    }

    /// Adds the upstream on a host that is declared but not in this entry's subset.
    pub fn add_outside_subset(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        host: &str,
    ) -> Option<UpstreamKey> {
        let (name, upstream) = fleet.upstream_on(host)?;
        let mut view = fresh_view(now, upstream);
        view.available = fleet.in_service(name, upstream);
        let key = self.upstreams.insert(view);
        self.by_host.insert(upstream.host.clone(), key);
        Some(key)
    }

    /// Notes that a request goes to an upstream that was not chosen here, such as a key's owner.
    pub fn begin_attempt(&mut self, key: UpstreamKey) {
        if let Some(view) = self.upstreams.get_mut(key) {
            view.in_flight += 1;
        }
    }

    /// Notes what came of an attempt; `true` if the upstream was ejected for it.
    pub fn record_feedback(&mut self, now: Moment, key: UpstreamKey, feedback: Feedback) -> bool {
        let Some(view) = self.upstreams.get_mut(key) else {
            return false;
        };
        match feedback {
            Feedback::Responded {
                load,
                elapsed,
                upstream_time,
            } => {
                view.report = load;
                view.lateness.note(elapsed, upstream_time);
                view.reported = now;
                view.failures = 0;
                view.ejections = 0;
                false
            }
            Feedback::Failed => view.fail(now),
        }
    }

    /// Notes that a request no longer occupies the upstream.
    pub fn end_attempt(&mut self, key: UpstreamKey) {
        if let Some(view) = self.upstreams.get_mut(key) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }
}

impl UpstreamView {
    fn fail(&mut self, now: Moment) -> bool {
        self.failures += 1;
        let on_trial = self.ejections > 0;
        if self.failures < EJECT_AFTER && !on_trial {
            return false;
        }
        let backoff = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(16));
        self.ejected_until = now + backoff.min(MAX_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        true
    }
}

fn fresh_view(now: Moment, upstream: &balsamjunction_settings::Upstream) -> UpstreamView {
    UpstreamView {
        host: upstream.host.clone(),
        data_centre: upstream.data_centre.clone(),
        sidecar: upstream.sidecar,
        available: false,
        other_region: false,
        report: LoadReport::default(),
        reported: now,
        in_flight: 0,
        failures: 0,
        ejections: 0,
        ejected_until: Moment::ZERO,
        lateness: Lateness::default(),
    }
}
