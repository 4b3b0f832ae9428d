//! Estimates which upstreams still cache which prompt prefixes, and what sending a request there saves.
//!
//! Each gateway keeps its own estimate from the requests that it sends and the first events that it
//! observes. Only services with the setting `prompt_cache` have one. See
//! docs/design/prompt-beginnings.md.

use std::{collections::HashMap, sync::Arc};

use balsamjunction_directory::EngineProfile;
use slotmap::SecondaryMap;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    dispatch::UpstreamKey,
    estimate::{self, Occupancy},
    rendezvous, Moment,
};

/// Prefixes of one prompt that are considered; callers choose the parts, so their number is bounded.
pub const MAX_PREFIXES: usize = 32;
/// Prefixes that are remembered over all upstreams of a service: about 5 MB, where hosts of gateways have
/// 112 MB or more.
pub const MAX_ENTRIES: usize = 65_536;
/// Prefixes that are remembered at one upstream. At 100,000 tokens and prompts of 1,000, an upstream keeps
/// about 100 prompts, each with a few prefixes.
pub const MAX_ENTRIES_PER_UPSTREAM: usize = 1_024;
/// Prefixes that are remembered at one upstream, however many upstreams the service has.
const MIN_ENTRIES_PER_UPSTREAM: usize = 16;
/// A prefix that was sent but has shown no first event counts for this long. Longer waits are usually
/// failures, whose prompts may never have been read.
const UNCONFIRMED_TIME: Moment = Moment::from_secs(2);
/// Age beyond which a prefix is assumed to be gone, whatever was read since. What an upstream does on its
/// own, such as evicting idle prefixes, is not reported.
const MAX_AGE: Moment = Moment::from_secs(600);
/// Upper bound of the saving that is weighed, in milliseconds. It stays below the penalty of a last resort
/// (10 s), so that no saving makes an ejected upstream preferable.
pub const MAX_SAVING_MS: f64 = 2_000.0;
/// A saving counts in full while at least this fraction of the slots is free, and then decreases linearly
/// to zero. Requests with a hot prefix thus move on before its upstream is full.
const FREE_FRACTION_FOR_FULL_SAVING: f64 = 0.5;
/// Probability that a prefix is still cached, by the tokens read since in eighths of twice the capacity,
/// before any observation. A cache that evicts the least recently used keeps all up to its capacity; the
/// numbers allow for what other gateways sent there.
const SURVIVAL_PRIOR: [f64; 8] = [0.95, 0.9, 0.85, 0.75, 0.4, 0.2, 0.1, 0.05];
/// Probability before any observation that a prefix is cached at its home, the upstream that all gateways
/// derive for it, although this gateway has not sent it there.
const HOME_PRIOR: f64 = 0.3;
/// Weight of one observation in a learned probability or lateness: the last 20 or so count.
const LEARNING_RATE: f64 = 0.05;
/// Bounds of one observed fraction of a saving. Time to the first event varies by more than the saving, so
/// a single observation must not decide; the bounds are symmetric around one half.
const FRACTION_RANGE: (f64, f64) = (-1.0, 2.0);
/// Bounds of one observed ratio of actual to expected time to the first event.
const LATENESS_RANGE: (f64, f64) = (0.1, 8.0);
/// Weight of all earlier observations when one is added to a regression: the last 64 or so count.
const REGRESSION_DECAY: f64 = 1.0 - 1.0 / 64.0;
/// Sum of squared deviations of expected savings, as fractions of the expected time, that speaks for the
/// estimates before any observation. With 0.06, a few late events ended the effect of sound estimates.
const REGRESSION_PRIOR: f64 = 0.3;
/// Requests without any prefix that are added to those counted, so that the first few do not decide.
const COUNTED_PRIOR: f64 = 30.0;
/// Fraction of a prefix's even share of requests that is assumed at any one upstream. Placement gathers most
/// prefixes at a few upstreams, so others receive fewer requests with them.
const EVEN_SHARE_FRACTION: f64 = 0.25;
/// Number of recent requests from which the shares of prefixes are counted.
const MAX_COUNTED: f64 = 1_024.0;
/// Prefixes whose shares are counted. A prefix with a share that matters is among the first of them.
const MAX_COUNTED_PREFIXES: usize = 4_096;
/// Savings below this cannot be told from variation, in milliseconds.
const MIN_OBSERVABLE_MS: f64 = 5.0;

/// The prefix of a prompt that ends with one of the parts that the caller states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of the model and of all parts up to the last one of the prefix.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Returns the prefixes of a prompt from its parts in order, each with its own length in tokens. `None` if
/// there are none. Prefixes beyond `prompt_tokens` or [`MAX_PREFIXES`] are left out.
pub fn prefixes(
    model: Option<&str>,
    prompt_tokens: f64,
    parts: impl IntoIterator<Item = (u64, u32)>,
) -> Option<Arc<[Prefix]>> {
    let mut hash = xxh3_64_with_seed(model.unwrap_or_default().as_bytes(), 0);
    let mut tokens = 0_u32;
    let mut prefixes = Vec::new();
    for (id, own_tokens) in parts.into_iter().take(MAX_PREFIXES) {
        hash = xxh3_64_with_seed(&id.to_le_bytes(), hash);
        tokens = tokens.saturating_add(own_tokens);
        if f64::from(tokens) > prompt_tokens {
            break;
        }
        prefixes.push(Prefix { hash, tokens });
    }
    (!prefixes.is_empty()).then(|| prefixes.into())
}

/// Where the estimate for a prefix comes from, and the learned probability that applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Basis {
    /// This gateway sent it there; the value selects the probability by the tokens read since.
    Sent(usize),
    /// The upstream is the home of the prefix.
    Home,
}

/// What a request is expected to save at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedSaving {
    /// Tokens of its prompt that need not be read.
    pub tokens: f64,
    /// Time that is subtracted from the cost of the upstream, in milliseconds.
    pub ms: f64,
    /// Time to read the tokens that the estimates find cached, in milliseconds, whatever observed times show.
    reading_ms: f64,
    /// Time to read the longest prefix with a learned probability, in milliseconds.
    full_ms: f64,
    basis: Option<Basis>,
}

/// The prefixes of a request that was sent to an upstream, with the estimates at that time.
#[derive(Clone, Debug, PartialEq)]
pub struct SentPrompt {
    /// What was expected to be saved.
    pub saving: ExpectedSaving,
    service: SmolStr,
    prefixes: Arc<[Prefix]>,
    version: u64,
    /// Tokens that the request adds to the memory of the upstream, its response included.
    added_tokens: f64,
    /// Rate at which other gateways were estimated to add tokens there, per second.
    foreign_tokens_per_s: f64,
}

impl SentPrompt {
    /// The time to the first event at the declared speed of the upstream, from which its speed is derived:
    /// without the reading that a hit saved. `expected_ms` is `nominal_ms` at its estimated speed.
    pub fn nominal_ms(&self, nominal_ms: f64, expected_ms: f64, observed: Observation) -> f64 {
        match observed {
            Observation::Hit => {
                let saved = self.saving.full_ms / expected_ms.max(f64::EPSILON);
                nominal_ms * (1.0 - saved).max(0.0)
            }
            Observation::Miss | Observation::None => nominal_ms,
        }
    }
}

/// What the first event of a request shows about its prefix.
#[derive(Clone, Copy, Debug, strum::Display, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Observation {
    /// Nothing: no saving was expected, or it is too short to be told from variation.
    None,
    /// The prefix was cached.
    Hit,
    /// The prefix was not cached.
    Miss,
}

/// The state of an upstream on which a saving depends.
#[derive(Clone, Copy, Debug)]
pub struct CacheTarget {
    /// The upstream.
    pub key: UpstreamKey,
    /// The version of the requested model that it serves; zero if none is known.
    pub version: u64,
    /// Its estimated load.
    pub occupancy: Occupancy,
    /// Requests of this gateway that run or wait there.
    pub own_requests: usize,
    /// Number of its slots.
    pub slots: u32,
    /// Whether it started recently.
    pub cold: bool,
}

/// The estimates for all services that have the setting.
#[derive(Debug, Default)]
pub struct PromptCache {
    services: HashMap<SmolStr, ServiceCache>,
}

/// A request for which savings are estimated.
#[derive(Debug)]
pub struct Lookup<'a> {
    cache: &'a ServiceCache,
    model: &'a EngineProfile,
    service: &'a SmolStr,
    prefixes: &'a Arc<[Prefix]>,
    prompt_tokens: f64,
    home: Option<UpstreamKey>,
}

#[derive(Debug)]
struct ServiceCache {
    /// Tokens that one upstream keeps.
    capacity: f64,
    upstreams: SecondaryMap<UpstreamKey, UpstreamCache>,
    /// Learned probabilities by the tokens read since, in eighths of twice the capacity.
    survival: [f64; SURVIVAL_PRIOR.len()],
    /// Learned probability that a prefix is cached at its home.
    at_home: f64,
    times: TimeRegression,
    shares: PrefixShares,
}

/// Learns how the time to the first event depends on the expected time without a saving and on the expected
/// saving: `actual / expected = lateness - trust * saving / expected`.
///
/// Under load, actual times are a multiple of the expected ones, so a hit cannot be told from the expected
/// time alone.
#[derive(Debug, Default)]
struct TimeRegression {
    weight: f64,
    sum_saving: f64,
    sum_saving_squared: f64,
    sum_time: f64,
    sum_product: f64,
}

/// The share of each shared prefix in the recent requests of this gateway.
#[derive(Debug, Default)]
struct PrefixShares {
    requests: f64,
    counts: HashMap<u64, f64>,
    /// Moving average of the tokens that a request adds to the memory of its upstream.
    added_tokens: Option<f64>,
}

#[derive(Debug, Default)]
struct UpstreamCache {
    entries: HashMap<u64, Entry>,
    /// The latest version of the weights with which it read a prompt of this gateway.
    version: u64,
    /// Tokens that the upstream has added to its memory with this version until `counted_at`.
    added_tokens: f64,
    counted_at: Moment,
    foreign_tokens_per_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// `UpstreamCache::added_tokens` when the prefix was last used.
    added_tokens: f64,
    used_at: Moment,
    /// The version of the weights with which it was read.
    version: u64,
    /// Whether a first event has shown that it was read.
    confirmed: bool,
}

impl PromptCache {
    /// Creates the estimates for the services in `capacities`, which maps them to the tokens that one of
    /// their upstreams keeps.
    pub fn new(capacities: &HashMap<SmolStr, u32>) -> Self {
        let services = capacities.iter().map(|(service, capacity)| {
            let cache = ServiceCache {
                capacity: f64::from(*capacity).max(1.0),
                upstreams: SecondaryMap::new(),
                survival: SURVIVAL_PRIOR,
                at_home: HOME_PRIOR,
                times: TimeRegression::default(),
                shares: PrefixShares::default(),
            };
            (service.clone(), cache)
        });
        Self {
            services: services.collect(),
        }
    }

    /// Prepares the estimates for a request; `None` unless its service has the setting. `candidates` are
    /// the ids of the upstreams that may be its home.
    pub fn lookup<'a, 'm>(
        &'a self,
        service: &'a SmolStr,
        model: &'a EngineProfile,
        prompt_tokens: f64,
        prefixes: &'a Arc<[Prefix]>,
        candidates: impl FnOnce() -> Vec<(UpstreamKey, &'m str)>,
    ) -> Option<Lookup<'a>> {
        let cache = self.services.get(service)?;
        // The last part belongs to the request or its session, so no other gateway has sent it.
        let shared = prefixes.len().checked_sub(2).map(|n| prefixes[n]);
        let home = shared.and_then(|shared| {
            let hash = shared.hash.to_le_bytes();
            let ranked = candidates().into_iter();
            let home = ranked.max_by_key(|(_, id)| (rendezvous::weight(&hash, id), *id));
            home.map(|(key, _)| key)
        });
        Some(Lookup {
            cache,
            model,
            service,
            prefixes,
            prompt_tokens,
            home,
        })
    }

    /// Records that a request was sent to an upstream.
    pub fn record_send(&mut self, now: Moment, key: UpstreamKey, sent: &SentPrompt) {
        let Some(service) = self.services.get_mut(&sent.service) else {
            return;
        };
        service.shares.count(&sent.prefixes, sent.added_tokens);
        let Some(upstream) = service.upstream_mut(key) else {
            return;
        };
        upstream.advance(now, sent.version);
        upstream.foreign_tokens_per_s = sent.foreign_tokens_per_s;
        for prefix in sent.prefixes.iter() {
            let entry = upstream.new_entry(now, sent.version);
            let existing = upstream.entries.entry(prefix.hash).or_insert(entry);
            if !existing.is_valid(now, sent.version) {
                *existing = entry;
            }
        }
        service.evict(key);
    }

    /// Records that the first event of a request arrived `took_ms` after it was sent, where `expected_ms`
    /// was expected without a saving. Returns what that shows.
    pub fn record_first_event(
        &mut self,
        now: Moment,
        key: UpstreamKey,
        sent: &SentPrompt,
        expected_ms: f64,
        took_ms: f64,
    ) -> Observation {
        let Some(service) = self.services.get_mut(&sent.service) else {
            return Observation::None;
        };
        let observation = service.learn(&sent.saving, expected_ms, took_ms);
        if let Some(upstream) = service.upstream_mut(key) {
            upstream.advance(now, sent.version);
            upstream.added_tokens += sent.added_tokens;
            if observation == Observation::Miss {
                upstream.added_tokens += sent.saving.tokens;
            }
            for prefix in sent.prefixes.iter() {
                let entry = Entry {
                    confirmed: true,
                    ..upstream.new_entry(now, sent.version)
                };
                let existing = upstream.entries.entry(prefix.hash).or_insert(entry);
                // A response to an older version does not end what was read with the newer one.
                if existing.version <= sent.version {
                    *existing = entry;
                }
            }
        }
        service.evict(key);
        observation
    }

    /// Removes the state of upstreams that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(UpstreamKey) -> bool) {
        for service in self.services.values_mut() {
            service.upstreams.retain(|key, _| exists(key));
        }
    }

    /// Number of prefixes that are remembered for a service, over all of its upstreams.
    pub fn entry_count(&self, service: &str) -> usize {
        let upstreams = self.services.get(service).map(|s| s.upstreams.values());
        upstreams
            .into_iter()
            .flatten()
            .map(|u| u.entries.len())
            .sum()
    }
}

impl Lookup<'_> {
    /// Estimates what the request saves at an upstream.
    pub fn saving(&self, now: Moment, target: &CacheTarget) -> ExpectedSaving {
        let cache = self.cache;
        let upstream = cache.upstreams.get(target.key);
        let added = upstream.map_or(0.0, |upstream| upstream.added_by(now));
        // An upstream that this gateway has never sent a prompt is assumed to have served others for long.
        let read_tokens = match upstream {
            _ if target.cold => 0.0,
            None => cache.capacity,
            Some(upstream) if upstream.version == target.version => added.min(cache.capacity),
            Some(_) => 0.0,
        };
        let last = self.prefixes.len().saturating_sub(1);
        let is_home = self.home == Some(target.key);
        let (mut tokens, mut before, mut probability) = (0.0, 0.0, 1.0_f64);
        // The tokens up to the last prefix with a learned probability, and that.
        let mut observable = (0.0, None);
        for (n, prefix) in self.prefixes.iter().enumerate() {
            let entry = upstream.and_then(|u| u.entries.get(&prefix.hash));
            let sent = entry.filter(|entry| entry.is_valid(now, target.version));
            let sent = sent.and_then(|entry| cache.eighth(added - entry.added_tokens));
            let basis = match sent {
                Some(eighth) => Some(Basis::Sent(eighth)),
                None => (is_home && n + 1 == last).then_some(Basis::Home),
            };
            let learned = basis.map_or(0.0, |basis| cache.probability(basis));
            let widespread = match n < last {
                true => cache.probability_anywhere(prefix, read_tokens),
                false => 0.0,
            };
            // Without observations of its own, a prefix is cached at most as probably as the one that it
            // continues.
            probability = match basis {
                Some(_) => learned.max(widespread.min(probability)),
                None => widespread.min(probability),
            };
            // The last token is always read, since the first event follows from it.
            let until = f64::from(prefix.tokens).min(self.prompt_tokens - 1.0);
            let until = until.max(before);
            tokens += (until - before) * probability;
            before = until;
            if basis.is_some() {
                observable = (until, basis);
            }
        }
        let slots = f64::from(target.slots.max(1));
        let free = 1.0 - target.occupancy.requests / slots;
        let usable = (free / FREE_FRACTION_FOR_FULL_SAVING).clamp(0.0, 1.0);
        let ms_per_token =
            target.occupancy.slowdown.max(0.1) / self.model.prefill_tokens_per_ms.max(0.001);
        let (observable_tokens, basis) = observable;
        let reading_ms = tokens * ms_per_token;
        let trust = cache.times.trust();
        ExpectedSaving {
            tokens: tokens * trust,
            ms: (reading_ms * trust * usable).min(MAX_SAVING_MS),
            reading_ms,
            full_ms: observable_tokens * ms_per_token,
            basis,
        }
    }

    /// Describes the request as sent to an upstream with the saving estimated for it.
    pub fn sent(&self, target: &CacheTarget, saving: ExpectedSaving) -> SentPrompt {
        let model = self.model;
        let occupancy = &target.occupancy;
        let others = (occupancy.requests - target.own_requests as f64).max(0.0);
        let passes = model.mean_output_tokens / f64::from(model.steps_per_pass.max(1));
        let reading_ms = model.mean_prompt_tokens / model.prefill_tokens_per_ms.max(0.001);
        let request_ms =
            reading_ms + passes * estimate::pass_duration_ms(model, occupancy.requests.max(1.0));
        let tokens = model.mean_prompt_tokens + model.mean_output_tokens;
        SentPrompt {
            saving,
            service: self.service.clone(),
            prefixes: self.prefixes.clone(),
            version: target.version,
            added_tokens: (self.prompt_tokens - saving.tokens).max(0.0) + model.mean_output_tokens,
            foreign_tokens_per_s: others * tokens / request_ms.max(1.0) * 1e3,
        }
    }
}

impl ServiceCache {
    /// The class of the learned probability that a prefix is still cached after `added` tokens; `None` if it
    /// is certainly gone.
    fn eighth(&self, added: f64) -> Option<usize> {
        let eighths = SURVIVAL_PRIOR.len();
        let fill = added.max(0.0) / (2.0 * self.capacity);
        let eighth = (fill * eighths as f64) as usize;
        (eighth < eighths).then_some(eighth)
    }

    /// The probability that a shared prefix is cached at an upstream because many requests have it: that one
    /// of them is among the requests that added the last `read_tokens` tokens there.
    fn probability_anywhere(&self, prefix: &Prefix, read_tokens: f64) -> f64 {
        let mean = self.shares.added_tokens;
        let requests = mean.map_or(0.0, |mean| read_tokens / mean.max(1.0));
        1.0 - (-EVEN_SHARE_FRACTION * self.shares.share(prefix) * requests).exp()
    }

    fn probability(&self, basis: Basis) -> f64 {
        match basis {
            Basis::Sent(eighth) => self.survival[eighth],
            Basis::Home => self.at_home,
        }
    }

    /// The state of an upstream, which is created if need be; `None` if the key is of an earlier upstream.
    fn upstream_mut(&mut self, key: UpstreamKey) -> Option<&mut UpstreamCache> {
        if !self.upstreams.contains_key(key) {
            self.upstreams.entry(key)?.or_default();
            // The share of every upstream became smaller.
            let keys: Vec<UpstreamKey> = self.upstreams.keys().collect();
            for key in keys {
                self.evict(key);
            }
        }
        self.upstreams.get_mut(key)
    }

    /// Removes the least recently used quarter of the prefixes at an upstream that has too many.
    fn evict(&mut self, key: UpstreamKey) {
        let share = MAX_ENTRIES / self.upstreams.len().max(1);
        let max = share.clamp(MIN_ENTRIES_PER_UPSTREAM, MAX_ENTRIES_PER_UPSTREAM);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if upstream.entries.len() <= max {
            return;
        }
        let mut times: Vec<(Moment, u64)> = upstream
            .entries
            .iter()
            .map(|(hash, entry)| (entry.used_at, *hash))
            .collect();
        times.sort_unstable();
        let excess = times.len() - max * 3 / 4;
        for (_, hash) in &times[..excess] {
            upstream.entries.remove(hash);
        }
    }

    /// Learns from the time to the first event whether the prefix was cached.
    fn learn(&mut self, saving: &ExpectedSaving, expected_ms: f64, took_ms: f64) -> Observation {
        if expected_ms < MIN_OBSERVABLE_MS {
            return Observation::None;
        }
        let lateness = self.times.lateness();
        let (min, max) = LATENESS_RANGE;
        let time = (took_ms / expected_ms).clamp(min, max);
        self.times.add(saving.reading_ms / expected_ms, time);
        let Some(basis) = saving.basis else {
            return Observation::None;
        };
        if saving.full_ms < MIN_OBSERVABLE_MS {
            return Observation::None;
        }
        let (min, max) = FRACTION_RANGE;
        let saved_ms = lateness * expected_ms - took_ms;
        let fraction = (saved_ms / saving.full_ms).clamp(min, max);
        // The longer the rest of the time, the less one observation shows.
        let signal = (saving.full_ms / expected_ms.max(1.0)).min(1.0);
        let probability = match basis {
            Basis::Sent(eighth) => &mut self.survival[eighth],
            Basis::Home => &mut self.at_home,
        };
        let learned = *probability + LEARNING_RATE * signal * (fraction - *probability);
        *probability = learned.clamp(0.0, 1.0);
        match fraction > 0.5 {
            true => Observation::Hit,
            false => Observation::Miss,
        }
    }
}

impl TimeRegression {
    /// Adds an observation; both values are fractions of the expected time.
    fn add(&mut self, saving: f64, time: f64) {
        let sums = [
            (&mut self.weight, 1.0),
            (&mut self.sum_saving, saving),
            (&mut self.sum_saving_squared, saving * saving),
            (&mut self.sum_time, time),
            (&mut self.sum_product, saving * time),
        ];
        for (sum, value) in sums {
            *sum = *sum * REGRESSION_DECAY + value;
        }
    }

    /// How much of the expected savings shows in the times, from zero to one.
    fn trust(&self) -> f64 {
        if self.weight < 1.0 {
            return 1.0;
        }
        let (saving, time) = (self.sum_saving / self.weight, self.sum_time / self.weight);
        let squares = (self.sum_saving_squared - self.weight * saving * saving).max(0.0);
        let products = self.sum_product - self.weight * saving * time;
        let slope = (REGRESSION_PRIOR - products) / (REGRESSION_PRIOR + squares);
        slope.clamp(0.0, 1.0)
    }

    /// Ratio of actual to expected time without a saving.
    fn lateness(&self) -> f64 {
        if self.weight < 1.0 {
            return 1.0;
        }
        (self.sum_time + self.trust() * self.sum_saving) / self.weight
    }
}

impl PrefixShares {
    fn share(&self, prefix: &Prefix) -> f64 {
        let count = self.counts.get(&prefix.hash).copied().unwrap_or(0.0);
        count / (self.requests + COUNTED_PRIOR)
    }

    /// Counts a request. Its last prefix belongs to itself or its session.
    fn count(&mut self, prefixes: &[Prefix], added_tokens: f64) {
        let mean = self.added_tokens.get_or_insert(added_tokens);
        *mean += LEARNING_RATE * (added_tokens - *mean);
        self.requests += 1.0;
        let shared = prefixes.len().saturating_sub(1);
        for prefix in &prefixes[..shared] {
            if self.counts.len() < MAX_COUNTED_PREFIXES || self.counts.contains_key(&prefix.hash) {
                *self.counts.entry(prefix.hash).or_default() += 1.0;
            }
        }
        if self.requests > MAX_COUNTED {
            // Counts of one are dropped, so that rare prefixes make room.
            self.requests /= 2.0;
            self.counts.retain(|_, count| {
                *count /= 2.0;
                *count > 0.5
            });
        }
    }
}

impl UpstreamCache {
    fn added_by(&self, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.added_tokens + elapsed * self.foreign_tokens_per_s
    }

    /// Counts what was added until `now`, and starts again if the version is a new one.
    fn advance(&mut self, now: Moment, version: u64) {
        if self.version < version {
            *self = Self {
                version,
                ..Self::default()
            };
        }
        self.added_tokens = match self.counted_at {
            Moment::ZERO => 0.0,
            _ => self.added_by(now),
        };
        self.counted_at = self.counted_at.max(now);
    }

    fn new_entry(&self, now: Moment, version: u64) -> Entry {
        Entry {
            added_tokens: self.added_tokens,
            used_at: now,
            version,
            confirmed: false,
        }
    }
}

impl Entry {
    fn is_valid(&self, now: Moment, version: u64) -> bool {
        let age = now.saturating_sub(self.used_at);
        let max_age = match self.confirmed {
            true => MAX_AGE,
            false => UNCONFIRMED_TIME,
        };
        self.version == version && age < max_age
    }
}
