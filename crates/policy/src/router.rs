//! Selection of an upstream by an entry.
//!
//! Power of two random choices over a bounded subset, by load reports that sidecars attach to their
//! responses and whose weight decays with age. See docs/DESIGN.md, "Routing".

use std::{collections::HashMap, net::SocketAddr};

use balsamjunction_protocol::LoadReport;
use balsamjunction_settings::{Fleet, Pool};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use slotmap::{new_key_type, SlotMap};
use smol_str::SmolStr;

use crate::{rendezvous, Moment};

new_key_type! {
    /// Identifies an upstream of a pool.
    pub struct UpstreamKey;
}

/// Maximum number of upstreams of a pool that one entry uses; 32 bound its state when there are
/// thousands of engines.
pub const SUBSET_SIZE: usize = 32;
/// Time in which a load report loses half of its weight.
const REPORT_HALF_LIFE: Moment = Moment::from_millis(500);
/// Loads that differ by no more than this are equal, so that a decayed report does not decide.
const LOAD_TIE: f64 = 0.02;
/// Penalty added to the load of an upstream in another region.
const OTHER_REGION_PENALTY: f64 = 0.25;
/// Consecutive failures after which an upstream is ejected.
const EJECT_AFTER_FAILURES: u32 = 2;
/// Duration of the first ejection of a failing upstream; doubles with each further ejection.
const MIN_EJECTION: Moment = Moment::from_millis(250);
/// Maximum duration of an ejection.
const MAX_EJECTION: Moment = Moment::from_secs(8);
/// Load, as a fraction of the limit, by which an upstream preferred for a cached prefix may exceed
/// the less loaded of two.
const AFFINITY_SLACK: f64 = 0.25;

/// Weight of a new response in the moving averages of response times and link times.
const LINK_DELAY_GAIN: f64 = 0.2;
/// Factor by which the baseline grows per response, so that a lasting change becomes the baseline.
const BASELINE_DRIFT: f64 = 1.002;

/// Policy by which an entry selects an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The less loaded of two random upstreams.
    TwoChoices,
    /// Uniformly random; the baseline of measurements.
    Random,
}

/// An entry's view of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// Name of the host.
    pub host: SmolStr,
    /// Data centre of the host.
    pub data_centre: SmolStr,
    /// Inner address of the sidecar.
    pub sidecar: SocketAddr,
    /// Whether the upstream is in service and not leaving.
    pub available: bool,
    other_region: bool,
    report: LoadReport,
    reported_at: Moment,
    in_flight: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Moment,
    link_delay: LinkDelay,
}

/// Moving averages of the total and the network time of responses, and the network time of an idle
/// link.
#[derive(Clone, Debug, Default)]
struct LinkDelay {
    mean_elapsed_s: f64,
    mean_on_links_s: f64,
    baseline_s: Option<f64>,
}

impl LinkDelay {
    fn record(&mut self, elapsed: Moment, upstream_time: Moment) {
        let on_links = elapsed.saturating_sub(upstream_time).as_secs_f64();
        self.mean_elapsed_s += LINK_DELAY_GAIN * (elapsed.as_secs_f64() - self.mean_elapsed_s);
        self.mean_on_links_s += LINK_DELAY_GAIN * (on_links - self.mean_on_links_s);
        let baseline = self.baseline_s.unwrap_or(on_links) * BASELINE_DRIFT;
        self.baseline_s = Some(baseline.min(on_links));
    }

    fn percent(&self) -> u32 {
        let delay = self.mean_on_links_s - self.baseline_s.unwrap_or(self.mean_on_links_s);
        if delay <= 0.0 || self.mean_elapsed_s <= 0.0 {
            return 100;
        }
        100 + (100.0 * delay / (self.mean_elapsed_s - delay).max(f64::EPSILON)).min(1_000.0) as u32
    }
}

impl UpstreamView {
    /// Returns the response time as a percentage of what it would be without link congestion; 100 means
    /// no delay.
    pub fn lateness_percent(&self) -> u32 {
        self.link_delay.percent()
    }

    /// Returns the load as a fraction of the limit, plus the penalty for another region.
    fn load(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        let reported = f64::from(self.report.running + self.report.waiting) * weight;
        let busy = reported.max(f64::from(self.in_flight));
        let penalty = if self.other_region {
            OTHER_REGION_PENALTY
        } else {
            0.0
        };
        busy / f64::from(self.report.limit.max(1)) + penalty
    }

    fn is_usable(&self, now: Moment) -> bool {
        self.available && now >= self.ejected_until
    }
}

/// Outcome of an attempt, as far as it affects the selection of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// The sidecar responded, whatever the response.
    Responded {
        /// Load of the upstream.
        load: LoadReport,
        /// Time from sending the request to the head of the response.
        elapsed: Moment,
        /// Part of `elapsed` that the sidecar and its upstream spent.
        upstream_time: Moment,
    },
    /// The sidecar did not respond, or its upstream failed.
    Failed,
}

/// Constraints and preferences for the selection of an upstream.
#[derive(Clone, Debug, Default)]
pub struct SelectionConstraints<'a> {
    /// Hosts to which this request was already sent.
    pub tried: &'a [SmolStr],
    /// Hash of a prompt prefix that an engine may have cached.
    pub affinity: Option<u64>,
}

/// One entry's view of all pools.
#[derive(Debug)]
pub struct Router {
    host: SmolStr,
    data_centre: SmolStr,
    policy: SelectionPolicy,
    upstreams: SlotMap<UpstreamKey, UpstreamView>,
    pools: HashMap<SmolStr, Vec<UpstreamKey>>,
    by_host: HashMap<SmolStr, UpstreamKey>,
    rng: Pcg64Mcg,
}

impl Router {
    /// Creates a router without upstreams for the entry on `host`.
    pub fn new(
        host: SmolStr,
        data_centre: SmolStr,
        policy: SelectionPolicy,
        rng: Pcg64Mcg,
    ) -> Self {
        Self {
            host,
            data_centre,
            policy,
            upstreams: SlotMap::with_key(),
            pools: HashMap::new(),
            by_host: HashMap::new(),
            rng,
        }
    }

    /// Returns the upstream with this key.
    pub fn get(&self, key: UpstreamKey) -> Option<&UpstreamView> {
        self.upstreams.get(key)
    }

    /// Returns the upstream on a host, if this entry uses it.
    pub fn on_host(&self, host: &str) -> Option<UpstreamKey> {
        self.by_host.get(host).copied()
    }

    /// Applies a declaration; the state of upstreams that remain is preserved.
    ///
    /// `leaving` lists the hosts that are leaving according to the membership list.
    pub fn configure(&mut self, now: Moment, fleet: &Fleet, leaving: &[SmolStr]) {
        let own_region = fleet.region_of(&self.data_centre).cloned();
        let mut by_host = HashMap::new();
        self.pools.clear();
        for (name, pool) in &fleet.pools {
            let mut keys = Vec::new();
            for upstream in self.subset(fleet, name, pool) {
                let region = fleet.region_of(&upstream.data_centre).cloned();
                let available =
                    fleet.in_service(name, upstream) && !leaving.contains(&upstream.host);
                let existing = self.by_host.get(&upstream.host).copied();
                let key =
                    existing.unwrap_or_else(|| self.upstreams.insert(new_view(now, upstream)));
                let view = &mut self.upstreams[key];
                view.data_centre = upstream.data_centre.clone();
                view.sidecar = upstream.sidecar;
                view.other_region = region != own_region;
                view.available = available;
                by_host.insert(upstream.host.clone(), key);
                keys.push(key);
            }
            self.pools.insert(name.clone(), keys);
        }
        self.by_host = by_host;
        let in_use: std::collections::HashSet<_> = self.by_host.values().copied().collect();
        self.upstreams.retain(|key, _| in_use.contains(&key));
    }

    /// Returns the upstreams of a pool that this entry uses: the first in its rendezvous ranking, those in
    /// service before the others.
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
            let out_of_service = !fleet.in_service(name, upstream);
            let weight = rendezvous::weight(self.host.as_bytes(), &upstream.host);
            (out_of_service, std::cmp::Reverse(weight))
        });
        upstreams.truncate(SUBSET_SIZE);
        upstreams
    }

    /// Returns whether the pool is declared.
    pub fn has_pool(&self, pool: &str) -> bool {
        self.pools.contains_key(pool)
    }

    /// Selects an upstream for a request and counts the request as in flight; `None` if no upstream may
    /// take it.
    pub fn choose(
        &mut self,
        now: Moment,
        pool: &str,
        constraints: &SelectionConstraints<'_>,
    ) -> Option<UpstreamKey> {
        let keys = self.pools.get(pool)?;
        let untried = |key: &&UpstreamKey| {
            let view = &self.upstreams[**key];
            view.available && !constraints.tried.contains(&view.host)
        };
        let mut candidates: Vec<UpstreamKey> = keys
            .iter()
            .filter(untried)
            .filter(|key| self.upstreams[**key].is_usable(now))
            .copied()
            .collect();
        if candidates.is_empty() {
            // With all upstreams ejected, a probe is better than refusing a request that might run.
            candidates = keys.iter().filter(untried).copied().collect();
        }
        let chosen = self.pick(now, &candidates, constraints.affinity)?;
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
        if self.policy == SelectionPolicy::Random {
            return Some(first);
        }
        let second = candidates[self.rng.random_range(0..candidates.len())];
        let load = |key: UpstreamKey| self.upstreams[key].load(now);
        let less_loaded = if load(second) + LOAD_TIE < load(first) {
            second
        } else {
            first
        };
        let preferred = affinity.and_then(|prefix| self.affinity_owner(candidates, prefix));
        match preferred {
            Some(preferred) if load(preferred) <= load(less_loaded) + AFFINITY_SLACK => {
                Some(preferred)
            }
            _ => Some(less_loaded),
        }
    }

    /// Returns the candidate that requests with this prefix prefer.
    fn affinity_owner(&self, candidates: &[UpstreamKey], prefix: u64) -> Option<UpstreamKey> {
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
        let (name, upstream) = fleet.upstream_on_host(host)?;
        let mut view = new_view(now, upstream);
        view.available = fleet.in_service(name, upstream);
        let key = self.upstreams.insert(view);
        self.by_host.insert(upstream.host.clone(), key);
        Some(key)
    }

    /// Records an attempt at an upstream that [`Router::choose`] did not select, such as a key's owner.
    pub fn begin_attempt(&mut self, key: UpstreamKey) {
        if let Some(view) = self.upstreams.get_mut(key) {
            view.in_flight += 1;
        }
    }

    /// Records the outcome of an attempt; returns whether the upstream was ejected because of it.
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
                view.link_delay.record(elapsed, upstream_time);
                view.reported_at = now;
                view.failures = 0;
                view.ejections = 0;
                false
            }
            Feedback::Failed => view.record_failure(now),
        }
    }

    /// Records the end of an attempt.
    pub fn end_attempt(&mut self, key: UpstreamKey) {
        if let Some(view) = self.upstreams.get_mut(key) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }
}

impl UpstreamView {
    fn record_failure(&mut self, now: Moment) -> bool {
        self.failures += 1;
        let probing = self.ejections > 0;
        if self.failures < EJECT_AFTER_FAILURES && !probing {
            return false;
        }
        let backoff = MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(16));
        self.ejected_until = now + backoff.min(MAX_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        true
    }
}

fn new_view(now: Moment, upstream: &balsamjunction_settings::Upstream) -> UpstreamView {
    UpstreamView {
        host: upstream.host.clone(),
        data_centre: upstream.data_centre.clone(),
        sidecar: upstream.sidecar,
        available: false,
        other_region: false,
        report: LoadReport::default(),
        reported_at: now,
        in_flight: 0,
        failures: 0,
        ejections: 0,
        ejected_until: Moment::ZERO,
        link_delay: LinkDelay::default(),
    }
}
