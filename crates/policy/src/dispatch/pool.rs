//! The upstreams of one service, and the choice among them.

use std::collections::HashSet;

use balsamjunction_directory::{EngineModel, Service};
use slotmap::SlotMap;

use super::{
    availability::Unavailable, DispatchSettings, PublishedVersions, RequestRequirements, Upstream,
    UpstreamKey,
};
use crate::{estimate, Moment};

/// What an upstream in another data centre costs more than one nearby, in milliseconds of waiting.
/// Bytes between data centres are dear, and links between regions narrow.
const FAR_PENALTY_MS: f64 = 15.0;
/// What an engine costs more that is about to turn, and so to break off what runs there, in
/// milliseconds of waiting.
const ABOUT_TO_TURN_PENALTY_MS: f64 = 20.0;
/// The same for a request that was broken off before and may not be a second time.
const SECOND_BREAK_PENALTY_MS: f64 = 250.0;
/// What an upstream costs more that must not be chosen while any other can serve.
const LAST_RESORT_PENALTY_MS: f64 = 10_000.0;
/// Time from an entry to a caller and back, by which an event is later there than here.
const WAY_BACK_MS: f64 = 10.0;
/// A request that will be late is still sent to an engine of which this part of slots is free.
const FREE_PART_FOR_LATE: f64 = 0.5;
/// Work of a usual request at a plain service, in milliseconds, until answers tell.
const PLAIN_WORK_MS: f64 = 20.0;

/// The upstreams of one service.
#[derive(Debug)]
pub struct Pool {
    model: Option<EngineModel>,
    max_connections: u32,
    members: Vec<UpstreamKey>,
    part: HashSet<UpstreamKey>,
}

/// What a choice depends on beside the pool.
pub struct Context<'a> {
    /// The time.
    pub now: Moment,
    /// Where this process stands.
    pub settings: &'a DispatchSettings,
    /// When versions were named.
    pub named: &'a PublishedVersions,
    /// Entries that share each upstream's bounds.
    pub entries: usize,
}

/// The best upstream for a request.
#[derive(Clone, Copy, Debug)]
pub struct Best {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Expected time to the first event in milliseconds.
    pub expected_ms: f64,
    /// The same for an upstream of the published pace, in milliseconds.
    pub published_ms: f64,
    /// Whether the request should be sent there now.
    pub fits: bool,
    /// By how much the expected time exceeds the wanted one, in milliseconds.
    pub excess_ms: f64,
}

impl Pool {
    /// The pool of a service with its members, and the part of them that this entry prefers.
    pub fn new(service: &Service, members: Vec<UpstreamKey>, part: Vec<UpstreamKey>) -> Self {
        Self {
            model: service.engine.clone(),
            max_connections: service.max_connections,
            members,
            part: part.into_iter().collect(),
        }
    }

    /// Its members.
    pub fn members(&self) -> &[UpstreamKey] {
        &self.members
    }

    /// The member that would serve a request best, if any may.
    pub fn best(
        &self,
        cx: &Context<'_>,
        upstreams: &mut SlotMap<UpstreamKey, Upstream>,
        demand: &RequestRequirements,
    ) -> Option<Best> {
        let mut best: Option<(f64, Best)> = None;
        for key in &self.members {
            let Some(upstream) = upstreams.get_mut(*key) else {
                continue;
            };
            if demand.tried.contains(key) || !self.may_serve(cx, upstream, demand) {
                continue;
            }
            let candidate = self.rate(cx, *key, upstream, demand);
            if !begins_in_time(cx, upstream, demand, candidate.expected_ms) {
                continue;
            }
            let mut cost = candidate.expected_ms + upstream.taste_ms();
            if !self.part.contains(key) {
                cost += self.unseen_ms();
            }
            if upstream.record.data_centre != cx.settings.data_centre {
                cost += FAR_PENALTY_MS;
            }
            if about_to_turn(cx, upstream, demand) {
                cost += match demand.tried.is_empty() {
                    true => ABOUT_TO_TURN_PENALTY_MS,
                    false => SECOND_BREAK_PENALTY_MS,
                };
            }
            if upstream.suspended(cx.now) {
                cost += LAST_RESORT_PENALTY_MS;
            }
            if !candidate.fits {
                cost += LAST_RESORT_PENALTY_MS;
            }
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// What others are taken to have sent to an engine outside this entry's part that shows in no count:
    /// one usual prompt, in milliseconds of reading.
    fn unseen_ms(&self) -> f64 {
        let model = self.model.as_ref();
        model.map_or(0.0, |m| {
            m.usual_prompt_tokens / m.read_tokens_per_ms.max(f64::EPSILON)
        })
    }

    /// Whether a request may go to a member at all, however busy it is.
    pub fn may_serve(
        &self,
        cx: &Context<'_>,
        upstream: &Upstream,
        demand: &RequestRequirements,
    ) -> bool {
        upstream.standing.closed(cx.now).is_none() && suits(cx, upstream, demand)
    }

    /// When the first member wants work again that rests and could then serve the request.
    pub fn first_back(
        &self,
        cx: &Context<'_>,
        upstreams: &SlotMap<UpstreamKey, Upstream>,
        demand: &RequestRequirements,
    ) -> Option<Moment> {
        let members = self.members.iter().filter_map(|key| upstreams.get(*key));
        let resting = members.filter(|upstream| suits(cx, upstream, demand));
        resting
            .filter_map(|upstream| match upstream.standing.closed(cx.now)? {
                Unavailable::BackingOff(until) => Some(until),
                _ => None,
            })
            .min()
    }

    fn rate(
        &self,
        cx: &Context<'_>,
        key: UpstreamKey,
        upstream: &mut Upstream,
        demand: &RequestRequirements,
    ) -> Best {
        let occupancy = upstream.occupancy(cx.now);
        let slots = f64::from(upstream.record.slots.max(1));
        let expected_ms = match &self.model {
            Some(model) => estimate::first_event_ms(model, &occupancy, demand.prompt_tokens),
            None => {
                let beyond = (occupancy.requests - slots + 1.0).max(0.0);
                occupancy.slowdown * PLAIN_WORK_MS * (1.0 + beyond / slots)
            }
        };
        let left_ms = demand
            .first_event_deadline
            .saturating_sub(cx.now)
            .as_secs_f64()
            * 1e3;
        let in_time = expected_ms + WAY_BACK_MS <= left_ms;
        let idle = occupancy.requests + 1.0 <= slots * (1.0 - FREE_PART_FOR_LATE);
        let room = match self.model {
            Some(_) => in_time || idle,
            None => occupancy.requests < slots,
        };
        let share = (self.max_connections as usize / cx.entries).max(1);
        let allowed =
            upstream.own_requests < share && upstream.may_send(cx.now, cx.settings.started);
        Best {
            upstream: key,
            expected_ms,
            published_ms: expected_ms / occupancy.slowdown.max(0.1),
            fits: room && allowed,
            excess_ms: expected_ms + WAY_BACK_MS - left_ms,
        }
    }
}

/// Whether a request may go to an upstream by where it stands and what it holds.
fn suits(cx: &Context<'_>, upstream: &Upstream, demand: &RequestRequirements) -> bool {
    let region = cx.settings.regions.get(&upstream.record.data_centre);
    let home = region.is_none_or(|region| demand.allows(region));
    home && holds(cx, upstream, demand)
}

/// Whether an upstream has weights on which a request may be sent to it now.
fn holds(cx: &Context<'_>, upstream: &Upstream, demand: &RequestRequirements) -> bool {
    let Some(model) = &demand.model else {
        return true;
    };
    let Some(version) = upstream.version_of(model) else {
        // A service that names no models may serve any.
        return upstream.record.models.is_none();
    };
    let overtaken = cx.named.overtaken_at(model, version);
    !upstream.turning
        && overtaken.is_none_or(|at| cx.now < at + cx.settings.old_version_send_window)
}

/// Whether a request is expected to begin before the time of the upstream's version is over.
fn begins_in_time(
    cx: &Context<'_>,
    upstream: &Upstream,
    demand: &RequestRequirements,
    expected_ms: f64,
) -> bool {
    let Some(model) = &demand.model else {
        return true;
    };
    let version = upstream.version_of(model);
    let overtaken = version.and_then(|version| cx.named.overtaken_at(model, version));
    let begins = cx.now + Moment::from_secs_f64(expected_ms.max(0.0) / 1e3);
    overtaken.is_none_or(|at| begins < at + cx.settings.old_version_start_window)
}

fn about_to_turn(cx: &Context<'_>, upstream: &Upstream, demand: &RequestRequirements) -> bool {
    let Some(model) = &demand.model else {
        return false;
    };
    let version = upstream.version_of(model).unwrap_or(0);
    cx.named.overtaken_at(model, version).is_some()
}
