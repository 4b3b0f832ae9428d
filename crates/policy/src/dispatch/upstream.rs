//! What an entry knows of one upstream.

use balsamjunction_directory::{Service, UpstreamRecord};
use balsamjunction_protocol::mesh::EngineStatus;
use smol_str::SmolStr;

use super::{
    availability::{Availability, Unavailable},
    AttemptOutcome, Entries, UpstreamCondition,
};
use crate::{estimate::Occupancy, sliding_window::SlidingWindowCounter, Moment};

/// What others have at an upstream is believed for this long after it was seen. Were it to fade at
/// once, the upstream of which least is known would always seem the emptiest.
const OTHERS_HELD_S: f64 = 1.0;
/// After that it loses half of its weight in this time.
const OTHERS_HALF_LIFE_S: f64 = 0.7;
/// Part of its rate of failures that an upstream keeps with each outcome.
const FAILURE_MEMORY: f64 = 0.75;
/// Rate of failures above which an upstream is left out.
const FAILURE_BOUND: f64 = 0.4;
/// First time for which an upstream is left out; it doubles with each further one.
const FIRST_SUSPENSION: Moment = Moment::from_millis(500);
/// Longest time for which an upstream is left out.
const LONGEST_SUSPENSION: Moment = Moment::from_secs(4);
/// Part of what is known of an upstream's pace that it keeps with each first event.
const PACE_MEMORY: f64 = 0.9;
/// Bounds of how much slower than published an upstream is taken to be by what is seen of it.
const SLOWDOWN_RANGE: (f64, f64) = (0.8, 8.0);
/// What is seen of an upstream's pace loses half of its weight in this time, so that one that was
/// slow is tried again.
const PACE_HALF_LIFE_S: f64 = 2.0;
/// Expected times below this say nothing about the pace, in milliseconds.
const LEAST_CALIBRATION_MS: f64 = 20.0;
/// Part of the cold rate that one entry may send to an upstream that is not known to be cold, which
/// may become cold at any moment.
const WARM_PART: f64 = 0.7;
/// Time after its start within which an entry hears of all others; where all start at once, the first
/// exchanges find few that know anybody.
const ALL_KNOWN_AFTER: Moment = Moment::from_secs(2);
/// Window of the bound on cold upstreams.
const COLD_WINDOW: Moment = Moment::from_secs(1);

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// What it registered.
    pub record: UpstreamRecord,
    /// Whether it takes new work at all.
    pub standing: Availability,
    /// Whether it takes other weights now.
    pub turning: bool,
    /// Requests of this entry that run or wait there.
    pub own_requests: usize,
    own_unread: f64,
    others: f64,
    others_seen: Moment,
    cold_until: Moment,
    cold_per_s: f64,
    cold_share: f64,
    taste_ms: f64,
    /// For which generation of entries, and for which bound, the two hold.
    shared_as: Option<(u64, f64)>,
    sends: SlidingWindowCounter,
    failures: f64,
    suspended_until: Moment,
    suspension: Moment,
    slowdown: f64,
    slowdown_seen: Moment,
    reported_slowdown: f64,
    serving: Option<(SmolStr, u64)>,
}

impl Upstream {
    /// An upstream that nothing is known of.
    pub fn new(record: UpstreamRecord) -> Self {
        Self {
            record,
            standing: Availability::default(),
            turning: false,
            own_requests: 0,
            own_unread: 0.0,
            others: 0.0,
            others_seen: Moment::ZERO,
            cold_until: Moment::ZERO,
            cold_per_s: 0.0,
            cold_share: 1.0,
            taste_ms: 0.0,
            shared_as: None,
            sends: SlidingWindowCounter::new(COLD_WINDOW),
            failures: 0.0,
            suspended_until: Moment::ZERO,
            suspension: FIRST_SUSPENSION,
            slowdown: 1.0,
            slowdown_seen: Moment::ZERO,
            reported_slowdown: 1.0,
            serving: None,
        }
    }

    /// Takes over a record that was learned at `learned`, and what the sidecar says.
    pub fn update(
        &mut self,
        record: &UpstreamRecord,
        learned: Moment,
        service: &Service,
        status: Option<&EngineStatus>,
    ) {
        let cold = Moment::from_millis(record.cold_remaining_ms);
        self.cold_until = self.cold_until.max(learned + cold);
        self.cold_per_s = service.cold_per_s;
        self.record = record.clone();
        let turning = status.is_some_and(|status| status.turning);
        if self.turning && !turning {
            // What broke off at the turn says nothing about the engine.
            self.failures = 0.0;
            self.suspended_until = Moment::ZERO;
        }
        self.turning = turning;
        let percent = status.map_or(100, |status| status.pace_percent);
        self.reported_slowdown = (f64::from(percent) / 100.0).max(1.0);
        self.serving = status.and_then(|status| status.serving.clone());
    }

    /// The version of a model that it holds, by the newer of what it and its sidecar say.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let held = self.record.models.iter().flatten();
        let held = held.filter(|m| m.name == model).map(|m| m.version).max();
        let serving = self.serving.as_ref().filter(|(name, _)| name == model);
        held.max(serving.map(|(_, version)| *version))
    }

    /// Whether it is left out unless no other is there.
    pub fn suspended(&self, now: Moment) -> bool {
        now < self.suspended_until
    }

    /// What keeps requests from it, if anything does.
    pub fn condition(&self, now: Moment) -> UpstreamCondition {
        match self.standing.closed(now) {
            Some(Unavailable::Unlisted | Unavailable::Replaced) => {
                return UpstreamCondition::OutOfService
            }
            Some(Unavailable::Leaving) => return UpstreamCondition::Leaving,
            Some(Unavailable::BackingOff(_)) => return UpstreamCondition::BackingOff,
            None => {}
        }
        if self.turning {
            return UpstreamCondition::Switching;
        }
        if self.suspended(now) {
            return UpstreamCondition::Ejected;
        }
        match now < self.cold_until {
            true => UpstreamCondition::Cold,
            false => UpstreamCondition::InUse,
        }
    }

    /// Whether the bound on cold upstreams lets this entry send another request.
    ///
    /// An entry that has just started, at `started`, does not know all others yet, so it sends as if
    /// they were many.
    pub fn may_send(&mut self, now: Moment, started: Moment) -> bool {
        if self.cold_per_s <= 0.0 {
            return true;
        }
        let share = match now < self.cold_until {
            true if now < started + ALL_KNOWN_AFTER => self.cold_share.min(1.0),
            true => self.cold_share,
            false => (self.cold_per_s * WARM_PART).max(1.0),
        };
        (self.sends.count(now) as f64) + 1.0 <= share
    }

    /// Takes over with whom this entry shares the upstream; `generation` grows whenever these change.
    pub fn take_share(&mut self, entries: &Entries, generation: u64) {
        let shared_as = Some((generation, self.cold_per_s));
        if std::mem::replace(&mut self.shared_as, shared_as) == shared_as {
            return;
        }
        self.cold_share = entries.share(&self.record.id, self.cold_per_s);
        self.taste_ms = entries.taste_ms(&self.record.id);
    }

    /// By how much this entry likes it less than another that looks the same, in milliseconds.
    pub fn taste_ms(&self) -> f64 {
        self.taste_ms
    }

    /// What runs and waits there, as far as is known.
    pub fn occupancy(&self, now: Moment) -> Occupancy {
        let age = now.saturating_sub(self.others_seen).as_secs_f64();
        let faded = (age - OTHERS_HELD_S).max(0.0) / OTHERS_HALF_LIFE_S;
        let others = self.others * 0.5_f64.powf(faded);
        Occupancy {
            requests: self.own_requests as f64 + others,
            pending_prompt_tokens: self.own_unread,
            slowdown: self.seen_slowdown(now).max(self.reported_slowdown),
        }
    }

    fn seen_slowdown(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.slowdown_seen).as_secs_f64();
        1.0 + (self.slowdown - 1.0) * 0.5_f64.powf(age / PACE_HALF_LIFE_S)
    }

    /// Counts a request as sent.
    pub fn begin(&mut self, now: Moment, prompt_tokens: f64) {
        self.own_requests += 1;
        self.own_unread += prompt_tokens;
        self.sends.add(now);
    }

    /// Takes over how many requests run and wait there, of all entries.
    pub fn load(&mut self, now: Moment, requests: u32) {
        self.others = (f64::from(requests) - self.own_requests as f64).max(0.0);
        self.others_seen = now;
    }

    /// Notes that a prompt was read.
    pub fn prompt_read(&mut self, prompt_tokens: f64) {
        self.own_unread = (self.own_unread - prompt_tokens).max(0.0);
    }

    /// Learns how slow the upstream is from a first event that came after `took_ms`, where
    /// `published_ms` would be usual.
    pub fn calibrate(&mut self, now: Moment, took_ms: f64, published_ms: f64) {
        if published_ms < LEAST_CALIBRATION_MS || self.turning {
            return;
        }
        let (least, most) = SLOWDOWN_RANGE;
        let seen = (took_ms / published_ms).clamp(least, most);
        let before = self.seen_slowdown(now);
        self.slowdown = PACE_MEMORY * before + (1.0 - PACE_MEMORY) * seen;
        self.slowdown_seen = now;
    }

    /// Notes what came of a request.
    pub fn end(&mut self, now: Moment, unread: f64, ending: AttemptOutcome) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.prompt_read(unread);
        match ending {
            AttemptOutcome::Served => {
                self.failures *= FAILURE_MEMORY;
                self.suspension = FIRST_SUSPENSION;
            }
            AttemptOutcome::Cancelled => {}
            AttemptOutcome::Rejected => {
                // It is taken to be full until its load is seen again.
                let slots = f64::from(self.record.slots);
                self.others = self.others.max(slots - self.own_requests as f64);
                self.others_seen = now;
            }
            AttemptOutcome::Failed if self.turning => {}
            AttemptOutcome::Misdirected => {
                // One that starts again under the same id has another start, and is another upstream here.
                self.standing.replace();
            }
            AttemptOutcome::Unreachable => self.suspend(now),
            AttemptOutcome::Failed => {
                self.failures = FAILURE_MEMORY * self.failures + (1.0 - FAILURE_MEMORY);
                if self.failures > FAILURE_BOUND {
                    self.suspend(now);
                }
            }
        }
    }

    fn suspend(&mut self, now: Moment) {
        if self.suspended(now) {
            return;
        }
        self.suspended_until = now + self.suspension;
        self.suspension = (self.suspension * 2).min(LONGEST_SUSPENSION);
    }
}
