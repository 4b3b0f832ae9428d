//! The delay of the path to each upstream beyond the usual one, as connections show it.
//!
//! A connection is accepted by the host, not by the process behind it, so the time that it takes shows the path and
//! nothing of the upstream's load. A path between two data centres carries the requests to all upstreams there, so that
//! what one upstream shows counts for the others. See docs/ROUTING.md, "Estimates".

use std::collections::HashMap;

use slotmap::SecondaryMap;
use smol_str::SmolStr;

use super::UpstreamKey;
use crate::Moment;

/// Smallest delay that counts, in milliseconds. Less may be the time until this process handles an established
/// connection, which all paths share.
const MIN_DELAY_MS: f64 = 50.0;
/// Time for which a delay counts in full after it was observed.
const DELAY_HOLD: Moment = Moment::from_millis(500);
/// After that time, it decays with this half-life, so that a path that nothing is sent across is tried again.
const DELAY_HALF_LIFE: Moment = Moment::from_secs(1);
/// Longest time that a connection is taken to need usually, in milliseconds: about the round trip between the regions
/// that are furthest apart. So a path that is full when the first connection crosses it is not taken for a long one.
const MAX_USUAL_MS: f64 = 150.0;
/// Period over which the shortest time is the usual one; the period before it counts as well. Links are full for
/// less time than that.
const USUAL_PERIOD: Moment = Moment::from_secs(300);

/// A connection that was attempted, by which a path is observed.
#[derive(Clone, Copy, Debug)]
pub struct PathSample {
    /// When the attempt began.
    pub started: Moment,
    /// When it succeeded or was given up.
    pub ended: Moment,
    /// Whether it succeeded; if it was given up, the path takes at least that long.
    pub connected: bool,
}

impl PathSample {
    fn took_ms(&self) -> f64 {
        to_ms(self.ended.saturating_sub(self.started))
    }
}

/// The delays of the paths from this entry's data centre.
#[derive(Debug, Default)]
pub struct PathDelays {
    data_centres: HashMap<SmolStr, DataCentrePath>,
    upstreams: SecondaryMap<UpstreamKey, Delay>,
}

/// A delay beyond the usual time, as a sample showed it.
#[derive(Clone, Copy, Debug)]
struct Delay {
    started: Moment,
    ended: Moment,
    ms: f64,
}

impl Delay {
    fn at(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.ended).saturating_sub(DELAY_HOLD);
        let half_lives = age.as_secs_f64() / DELAY_HALF_LIFE.as_secs_f64();
        self.ms * 0.5_f64.powf(half_lives)
    }
}

/// What is common to the paths to all upstreams of one data centre.
#[derive(Debug, Default)]
struct DataCentrePath {
    usual: UsualTime,
    latest: Option<Delay>,
    /// The delays seen since the last sample without one.
    filling: Option<Filling>,
    /// The time in which the path was last full for several upstreams. What they showed then was the common path, so
    /// its end is the end for each of them.
    filled: Option<(Moment, Moment)>,
}

/// A time in which samples of a data centre show delays.
#[derive(Clone, Copy, Debug)]
struct Filling {
    since: Moment,
    first: UpstreamKey,
    several: bool,
}

impl PathDelays {
    /// Adds a connection to an upstream, and returns the delay that it shows, in milliseconds.
    pub fn record(&mut self, key: UpstreamKey, data_centre: &SmolStr, sample: PathSample) -> f64 {
        let present = self.delay_ms(sample.ended, key, data_centre);
        let path = self.data_centres.entry(data_centre.clone()).or_default();
        if sample.connected {
            path.usual.record(sample.ended, sample.took_ms());
        }
        let mut delay = path.delay_of(sample);
        if !sample.connected {
            delay.ms = delay.ms.max(present);
        }
        self.add(key, data_centre, delay);
        delay.ms
    }

    fn add(&mut self, key: UpstreamKey, data_centre: &SmolStr, delay: Delay) {
        if let Some(path) = self.data_centres.get_mut(data_centre) {
            path.record(key, delay);
        }
        let latest = self.upstreams.get(key);
        if latest.is_none_or(|latest| latest.is_before(&delay)) {
            self.upstreams.insert(key, delay);
        }
    }

    /// Adds the time from a request to the head of its response, which the path cannot exceed. It contains the work of
    /// the upstream, so it shows the end of a delay and never a delay.
    pub fn record_response(&mut self, key: UpstreamKey, data_centre: &SmolStr, sample: PathSample) {
        let present = self.delay_ms(sample.ended, key, data_centre);
        let Some(path) = self.data_centres.get(data_centre) else {
            return;
        };
        let delay = path.delay_of(sample);
        if delay.ms < present {
            self.add(key, data_centre, delay);
        }
    }

    /// The delay of the path to an upstream beyond the usual one, in milliseconds; zero if none was observed.
    pub fn delay_ms(&self, now: Moment, key: UpstreamKey, data_centre: &str) -> f64 {
        let path = self.data_centres.get(data_centre);
        let common = path.and_then(|path| path.latest);
        let filled = path.and_then(|path| path.filled);
        let own = self.upstreams.get(key).filter(|own| {
            filled.is_none_or(|(since, until)| own.started < since || own.started > until)
        });
        let at = |delay: Option<&Delay>| delay.map_or(0.0, |delay| delay.at(now));
        at(common.as_ref()).max(at(own))
    }

    /// Removes what is known of upstreams and data centres that no longer exist.
    pub fn retain(
        &mut self,
        upstream_exists: impl Fn(UpstreamKey) -> bool,
        data_centre_exists: impl Fn(&SmolStr) -> bool,
    ) {
        self.upstreams.retain(|key, _| upstream_exists(key));
        self.data_centres.retain(|name, _| data_centre_exists(name));
    }
}

impl Delay {
    /// Whether `other` shows the path as it was later. What is sent later across a path arrives later, so of two
    /// samples the one that began later tells, even if it ended first; and so a host that does not respond says nothing
    /// of a path that others' connections cross meanwhile.
    fn is_before(&self, other: &Delay) -> bool {
        (self.started, other.ms) < (other.started, self.ms)
    }
}

impl DataCentrePath {
    fn delay_of(&self, sample: PathSample) -> Delay {
        let beyond = sample.took_ms() - self.usual.ms();
        Delay {
            started: sample.started,
            ended: sample.ended,
            ms: if beyond < MIN_DELAY_MS { 0.0 } else { beyond },
        }
    }

    fn record(&mut self, key: UpstreamKey, delay: Delay) {
        if self.latest.is_some_and(|latest| !latest.is_before(&delay)) {
            return;
        }
        self.latest = Some(delay);
        if delay.ms > 0.0 {
            let filling = self.filling.get_or_insert(Filling {
                since: delay.started,
                first: key,
                several: false,
            });
            filling.several |= filling.first != key;
        } else if let Some(filling) = self.filling.take() {
            if filling.several {
                self.filled = Some((filling.since, delay.started));
            }
        }
    }
}

/// The shortest time of the present period and of the one before it.
#[derive(Debug, Default)]
struct UsualTime {
    period_started: Moment,
    shortest_ms: Option<f64>,
    shortest_before_ms: Option<f64>,
}

impl UsualTime {
    fn record(&mut self, now: Moment, took_ms: f64) {
        if now.saturating_sub(self.period_started) >= USUAL_PERIOD {
            self.period_started = now;
            self.shortest_before_ms = self.shortest_ms.take().or(self.shortest_before_ms);
        }
        self.shortest_ms = Some(self.shortest_ms.map_or(took_ms, |ms| ms.min(took_ms)));
    }

    fn ms(&self) -> f64 {
        let times = [self.shortest_ms, self.shortest_before_ms];
        times.into_iter().flatten().fold(MAX_USUAL_MS, f64::min)
    }
}

fn to_ms(time: Moment) -> f64 {
    time.as_secs_f64() * 1e3
}
