//! The state that an entry keeps of one upstream: load, failures, speed and cold start.

use balsamjunction_directory::{Service, UpstreamRecord};
use balsamjunction_protocol::mesh::EngineStatus;
use smol_str::SmolStr;

use super::{
    availability::{Availability, Unavailable},
    rate_limit::RateLimit,
    service_time::{LoadReport, ServiceTime},
    AttemptOutcome, Entries, UpstreamCondition,
};
use crate::{
    estimate::Occupancy, sliding_window::SlidingWindowCounter, stated_limits::StatedLimit, Moment,
};

/// The load by other entries counts in full for this long after it was reported. If it decayed at once,
/// the upstream with the oldest report would always seem the least loaded.
const OTHER_LOAD_HOLD_S: f64 = 1.0;
/// After that time, the load by other entries decays with this half-life.
const OTHER_LOAD_HALF_LIFE_S: f64 = 0.7;
/// Weight of the previous failure rate when an outcome is added to it.
const FAILURE_RATE_DECAY: f64 = 0.75;
/// Failure rate above which an upstream is ejected.
const MAX_FAILURE_RATE: f64 = 0.4;
/// Duration of the first ejection; it doubles with each further one.
const MIN_EJECTION: Moment = Moment::from_millis(500);
/// Longest duration of an ejection.
const MAX_EJECTION: Moment = Moment::from_secs(4);
/// Weight of the previous slowdown when a first event is added to it.
const SLOWDOWN_DECAY: f64 = 0.9;
/// Bounds of one observed slowdown, as a multiple of the declared service time.
pub const SLOWDOWN_RANGE: (f64, f64) = (0.8, 8.0);
/// The observed slowdown decays with this half-life, so that an upstream that was slow is tried again.
const SLOWDOWN_HALF_LIFE_S: f64 = 2.0;
/// Shortest expected time from which a slowdown is derived, in milliseconds.
const MIN_CALIBRATION_MS: f64 = 20.0;
/// Fraction of the cold rate that one entry may send to an upstream that is not known to be cold, since
/// it may become cold at any moment.
const WARM_RATE_FRACTION: f64 = 0.7;
/// Time after its start by which an entry knows all others. If all start at once, the first exchanges
/// reach few entries that know any others.
const ENTRY_DISCOVERY_TIME: Moment = Moment::from_secs(2);
/// Lowest limit that is applied, in requests per second. An upstream that receives nothing could not state that
/// its limit has ended.
const MIN_LIMIT_PER_S: f64 = 0.1;
/// Window of the rate limit of cold upstreams.
const COLD_WINDOW: Moment = Moment::from_secs(1);
/// Time since the facts were verified after which they no longer show that an upstream is warm; in touch with the
/// store or a peer, they are verified within 1.2 s.
const WARM_FACTS_MAX_AGE: Moment = Moment::from_secs(2);
/// Number of upstreams of a service for each entry that one which knows no others assumes. Fleets have three or four, and
/// which entries draw a place is random, so that some upstreams get more than their mean.
const UPSTREAMS_PER_ASSUMED_ENTRY: usize = 2;
/// Fraction of the cold rate that all entries together may send to an upstream that may be cold, of which some entries
/// may know. The platform allows one and a half times the rate and a few requests.
const POSSIBLY_COLD_RATE_FRACTION: f64 = 1.5;

/// The state of one upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its record in the registry.
    pub record: UpstreamRecord,
    /// Whether it accepts new work.
    pub availability: Availability,
    /// The limit that it states on the requests from all entries together.
    limit: Option<RateLimit>,
    /// Whether its engine is switching to other weights.
    pub switching: bool,
    /// Requests of this entry that run or wait there.
    pub own_requests: usize,
    own_pending_prompt_tokens: f64,
    other_requests: f64,
    other_requests_at: Moment,
    cold_until: Moment,
    /// Requests per second that it can handle from all entries while cold; zero for no limit.
    cold_per_s: f64,
    /// The share of `cold_per_s` that this entry may use.
    cold_share: f64,
    /// The same while it may be cold without the knowledge of this entry.
    possibly_cold_share: f64,
    /// The same while this entry does not know the others either.
    discovery_share: f64,
    /// How long after it was last seen to come back it may be cold.
    cold_start: Moment,
    possibly_cold_until: Moment,
    /// Whether it could not be reached or broke a connection, and has not accepted one since.
    away: bool,
    /// Whether its data centre was evacuated.
    evacuated: bool,
    /// Whether its data centre is back from an evacuation, and nothing was sent to it since.
    returned: bool,
    tie_break_ms: f64,
    /// The generation of entries, the `cold_per_s` and the number of upstreams from which the shares and `tie_break_ms`
    /// were computed.
    share_inputs: Option<(u64, f64, usize)>,
    sends: SlidingWindowCounter,
    /// Exponentially weighted moving average of outcomes, between zero and one.
    failure_rate: f64,
    ejected_until: Moment,
    next_ejection: Moment,
    /// Exponentially weighted moving average, relative to the declared service time.
    observed_slowdown: f64,
    slowdown_observed_at: Moment,
    reported_slowdown: f64,
    /// The relative service time that it states in responses.
    pub service_time: ServiceTime,
    /// The model and version that the sidecar reports.
    reported_version: Option<(SmolStr, u64)>,
}

impl Upstream {
    /// Creates the state of an upstream without any observations.
    pub fn new(record: UpstreamRecord) -> Self {
        Self {
            record,
            availability: Availability::default(),
            limit: None,
            switching: false,
            own_requests: 0,
            own_pending_prompt_tokens: 0.0,
            other_requests: 0.0,
            other_requests_at: Moment::ZERO,
            cold_until: Moment::ZERO,
            cold_per_s: 0.0,
            cold_share: 1.0,
            possibly_cold_share: 1.0,
            discovery_share: 1.0,
            cold_start: Moment::ZERO,
            possibly_cold_until: Moment::ZERO,
            away: false,
            evacuated: false,
            returned: false,
            tie_break_ms: 0.0,
            share_inputs: None,
            sends: SlidingWindowCounter::new(COLD_WINDOW),
            failure_rate: 0.0,
            ejected_until: Moment::ZERO,
            next_ejection: MIN_EJECTION,
            observed_slowdown: 1.0,
            slowdown_observed_at: Moment::ZERO,
            reported_slowdown: 1.0,
            service_time: ServiceTime::default(),
            reported_version: None,
        }
    }

    /// Applies a registry record received at `received_at` and the status from the sidecar, if any.
    pub fn update(
        &mut self,
        record: &UpstreamRecord,
        received_at: Moment,
        service: &Service,
        status: Option<&EngineStatus>,
    ) {
        // What an earlier record said must not outlast it for long: that may have been another writer's.
        self.cold_start = Moment::from_millis(service.cold_start_ms);
        let earlier = self.cold_until.min(received_at + self.cold_start);
        let cold = Moment::from_millis(record.cold_remaining_ms);
        self.cold_until = earlier.max(received_at + cold);
        self.cold_per_s = service.cold_requests_per_s;
        if record.slots != self.record.slots {
            self.other_requests = 0.0;
        }
        if record.address != self.record.address {
            self.availability.mark_moved();
        }
        self.record = record.clone();
        let switching = status.is_some_and(|status| status.switching);
        if self.switching && !switching {
            // Requests that the switch aborted say nothing about the health of the engine.
            self.failure_rate = 0.0;
            self.ejected_until = Moment::ZERO;
        }
        self.switching = switching;
        let percent = status.map_or(100, |status| status.service_time_percent);
        self.reported_slowdown = (f64::from(percent) / 100.0).max(1.0);
        self.reported_version = status.and_then(|status| status.serving.clone());
    }

    /// The version of a model that it serves: the newer of those in its record and from its sidecar.
    pub fn served_version(&self, model: &str) -> Option<u64> {
        let registered = self.record.models.iter().flatten();
        let registered = registered
            .filter(|m| m.name == model)
            .map(|m| m.version)
            .max();
        let reported = self
            .reported_version
            .as_ref()
            .filter(|(name, _)| name == model);
        registered.max(reported.map(|(_, version)| *version))
    }

    /// Whether it is ejected. An ejected upstream is selected only if no other can serve the request.
    pub fn is_ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// The first condition that applies, for status pages.
    pub fn condition(&self, now: Moment) -> UpstreamCondition {
        match self.availability.unavailable(now) {
            Some(Unavailable::Unlisted | Unavailable::Replaced) => {
                return UpstreamCondition::OutOfService
            }
            Some(Unavailable::Leaving) => return UpstreamCondition::Leaving,
            Some(Unavailable::BackingOff(_)) => return UpstreamCondition::BackingOff,
            None => {}
        }
        if self.limit.is_some() {
            return UpstreamCondition::Limited;
        }
        if self.switching {
            return UpstreamCondition::Switching;
        }
        if self.is_ejected(now) {
            return UpstreamCondition::Ejected;
        }
        match now < self.cold_until {
            true => UpstreamCondition::Cold,
            false => UpstreamCondition::InUse,
        }
    }

    /// Records whether its data centre is evacuated. Upstreams may be cold when it is back.
    pub fn set_evacuated(&mut self, evacuated: bool) {
        self.returned |= std::mem::replace(&mut self.evacuated, evacuated) && !evacuated;
    }

    /// Records that it could not be reached, or broke a connection: it may have restarted, and be cold once it accepts
    /// connections again.
    pub fn mark_away(&mut self) {
        self.away = true;
    }

    /// Whether it may be cold although its record does not say so. `facts_verified_at` is when this entry last
    /// knew its record to be the latest.
    fn may_be_cold(&mut self, now: Moment, facts_verified_at: Moment) -> bool {
        if std::mem::take(&mut self.returned) {
            self.possibly_cold_until = now + self.cold_start;
        }
        self.away
            || now < self.possibly_cold_until
            || facts_verified_at.saturating_add(WARM_FACTS_MAX_AGE) <= now
    }

    /// Whether the rate limit of cold upstreams lets this entry send another request.
    ///
    /// An entry that started recently, at `started`, knows neither all others nor what happened to the upstream before.
    pub fn may_send(&mut self, now: Moment, started: Moment, facts_verified_at: Moment) -> bool {
        if self.cold_per_s <= 0.0 {
            return true;
        }
        let discovers = now < started + ENTRY_DISCOVERY_TIME;
        let limit = match (now < self.cold_until, discovers) {
            (true, true) => self.cold_share.min(self.discovery_share).min(1.0),
            (true, false) => self.cold_share,
            (false, true) => self.discovery_share,
            (false, false) if self.may_be_cold(now, facts_verified_at) => self.possibly_cold_share,
            (false, false) => (self.cold_per_s * WARM_RATE_FRACTION).max(1.0),
        };
        (self.sends.count(now) as f64) + 1.0 <= limit
    }

    /// When its limit lets this entry send the next request; `None` if it may send one at `now`.
    ///
    /// An entry that started recently, at `started`, does not know yet with how many others it shares the
    /// limit, so it sends nothing.
    pub fn limited_until(&self, now: Moment, started: Moment) -> Option<Moment> {
        let limit = self.limit.as_ref()?;
        let known_from = started + ENTRY_DISCOVERY_TIME;
        let exhausted_until = limit.exhausted_until(now);
        match now < known_from {
            true => Some(exhausted_until.map_or(known_from, |until| until.max(known_from))),
            false => exhausted_until,
        }
    }

    /// Sets the limit that it states on the requests from all entries together, `None` for none.
    pub fn set_limit(&mut self, now: Moment, stated: Option<StatedLimit>, entries: &Entries) {
        let Some(mut stated) = stated else {
            self.limit = None;
            return;
        };
        stated.per_s = stated.per_s.max(MIN_LIMIT_PER_S);
        let limit = &mut self.limit;
        let limit = limit.get_or_insert_with(|| RateLimit::new(now, stated.per_s));
        limit.set_limit(now, stated.per_s);
        let record = &self.record;
        let share = entries.limit_share(&record.id, &record.data_centre, stated, now);
        limit.set_share(now, share);
    }

    /// Whether its limit lets a request be sent that was assigned at `assigned_at`, before its connection was
    /// established.
    pub fn confirm_send(&mut self, now: Moment, assigned_at: Moment) -> bool {
        // A cold upstream counts requests from when they are sent.
        self.sends.postpone(assigned_at, now);
        if std::mem::take(&mut self.away) {
            self.possibly_cold_until = now + self.cold_start;
        }
        let limit = self.limit.as_mut();
        limit.is_none_or(|limit| limit.confirm(now, assigned_at))
    }

    /// Recomputes the shares of this entry if the entries, the cold rate or the number of the service's upstreams
    /// (`members`) changed; `generation` increases whenever the entries change.
    pub fn update_share(&mut self, entries: &Entries, generation: u64, members: usize) {
        let share_inputs = Some((generation, self.cold_per_s, members));
        if std::mem::replace(&mut self.share_inputs, share_inputs) == share_inputs {
            return;
        }
        let id = &self.record.id;
        let possibly_cold_per_s = self.cold_per_s * POSSIBLY_COLD_RATE_FRACTION;
        self.cold_share = entries.rate_share(id, self.cold_per_s);
        self.possibly_cold_share = entries.rate_share(id, possibly_cold_per_s);
        let assumed = members / UPSTREAMS_PER_ASSUMED_ENTRY;
        self.discovery_share = entries.assumed_rate_share(id, possibly_cold_per_s, assumed);
        if entries.is_alone() {
            self.cold_share = self.cold_share.min(self.discovery_share);
            self.possibly_cold_share = self.discovery_share;
        }
        self.tie_break_ms = entries.tie_break_ms(&self.record.id);
    }

    /// Offset in milliseconds that breaks ties between upstreams of equal cost.
    pub fn tie_break_ms(&self) -> f64 {
        self.tie_break_ms
    }

    /// Estimated load: own requests plus the decayed load by other entries.
    ///
    /// At a contended service, the load by other entries decays to the `usual_load` of its upstreams, in requests per
    /// slot, instead of zero. With many entries a report is often older than a second, and an upstream without a
    /// recent one would seem idle to all of them.
    pub fn occupancy(&self, now: Moment, usual_load: Option<f64>) -> Occupancy {
        let age = now.saturating_sub(self.other_requests_at).as_secs_f64();
        let half_lives = (age - OTHER_LOAD_HOLD_S).max(0.0) / OTHER_LOAD_HALF_LIFE_S;
        let remaining = 0.5_f64.powf(half_lives);
        let usual = usual_load.map_or(0.0, |load| {
            (load * f64::from(self.record.slots) - self.own_requests as f64).max(0.0)
        });
        let other_requests = self.other_requests * remaining + usual * (1.0 - remaining);
        Occupancy {
            requests: self.own_requests as f64 + other_requests,
            pending_prompt_tokens: self.own_pending_prompt_tokens,
            slowdown: self.slowdown(now),
        }
    }

    /// Its service time relative to the declared one: the worst of what first events showed, its sidecar reports and
    /// it states itself.
    pub fn slowdown(&self, now: Moment) -> f64 {
        self.service_time
            .apply(now, self.decayed_slowdown(now))
            .max(self.reported_slowdown)
    }

    /// The load that it reported recently, in requests per slot.
    pub fn reported_load(&self, now: Moment) -> Option<f64> {
        let age = now.saturating_sub(self.other_requests_at).as_secs_f64();
        let requests = self.own_requests as f64 + self.other_requests;
        let slots = f64::from(self.record.slots.max(1));
        (self.other_requests_at > Moment::ZERO && age < OTHER_LOAD_HOLD_S).then(|| requests / slots)
    }

    /// Whether its slots can be used at present: it accepts new work and does not switch its weights.
    pub fn has_slots_in_use(&self) -> bool {
        self.availability.listed && !self.availability.restarted && !self.switching
    }

    fn decayed_slowdown(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.slowdown_observed_at).as_secs_f64();
        1.0 + (self.observed_slowdown - 1.0) * 0.5_f64.powf(age / SLOWDOWN_HALF_LIFE_S)
    }

    /// Records that a request was sent to it.
    pub fn record_send(&mut self, now: Moment, prompt_tokens: f64) {
        self.own_requests += 1;
        self.own_pending_prompt_tokens += prompt_tokens;
        self.sends.add(now);
        if let Some(limit) = &mut self.limit {
            limit.try_take(now);
        }
    }

    /// Records the number of requests of all entries that run and wait there.
    pub fn record_load(&mut self, now: Moment, report: LoadReport) {
        self.other_requests = (f64::from(report.requests()) - self.own_requests as f64).max(0.0);
        self.other_requests_at = now;
    }

    /// Records that the engine has read a prompt of this entry.
    pub fn record_prompt_read(&mut self, prompt_tokens: f64) {
        self.own_pending_prompt_tokens = (self.own_pending_prompt_tokens - prompt_tokens).max(0.0);
    }

    /// Updates the observed slowdown from a first event that arrived after `took_ms`, where `nominal_ms`
    /// was expected without slowdown.
    pub fn calibrate(&mut self, now: Moment, took_ms: f64, nominal_ms: f64) {
        if nominal_ms < MIN_CALIBRATION_MS || self.switching {
            return;
        }
        let sample = self.service_time.unexplained(took_ms / nominal_ms);
        let previous = self.decayed_slowdown(now);
        self.observed_slowdown = SLOWDOWN_DECAY * previous + (1.0 - SLOWDOWN_DECAY) * sample;
        self.slowdown_observed_at = now;
    }

    /// Records the end of a request; `unread_tokens` is its prompt if no event arrived, otherwise zero.
    pub fn record_outcome(&mut self, now: Moment, unread_tokens: f64, outcome: AttemptOutcome) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.record_prompt_read(unread_tokens);
        match outcome {
            AttemptOutcome::Served => {
                self.failure_rate *= FAILURE_RATE_DECAY;
                self.next_ejection = MIN_EJECTION;
            }
            AttemptOutcome::Cancelled => {}
            AttemptOutcome::Rejected => {
                // It counts as full until its load is reported again.
                let slots = f64::from(self.record.slots);
                self.other_requests = self.other_requests.max(slots - self.own_requests as f64);
                self.other_requests_at = now;
            }
            AttemptOutcome::Failed if self.switching => {}
            AttemptOutcome::Misdirected => {
                // A restart under the same id has another start time and is another upstream here.
                self.availability.mark_replaced();
            }
            AttemptOutcome::Unreachable => self.eject(now),
            AttemptOutcome::Failed => {
                self.failure_rate =
                    FAILURE_RATE_DECAY * self.failure_rate + (1.0 - FAILURE_RATE_DECAY);
                if self.failure_rate > MAX_FAILURE_RATE {
                    self.eject(now);
                }
            }
        }
    }

    fn eject(&mut self, now: Moment) {
        if self.is_ejected(now) {
            return;
        }
        self.ejected_until = now + self.next_ejection;
        self.next_ejection = (self.next_ejection * 2).min(MAX_EJECTION);
    }
}
