//! The upstreams of one service, and the selection among them.

use std::collections::HashSet;

use balsamjunction_directory::{EngineProfile, Service};
use slotmap::SlotMap;

use super::{
    availability::Unavailable, path_delay::PathDelays, DispatchSettings, PublishedVersions,
    RequestRequirements, Upstream, UpstreamCondition, UpstreamKey,
};
use crate::{
    estimate,
    prompt_cache::{CacheTarget, ExpectedSaving, Lookup, PromptCache, SentPrompt},
    Moment,
};

/// Added cost of an upstream in another data centre, in milliseconds of waiting. Traffic between data
/// centres is expensive, and links between regions are narrow.
const REMOTE_PENALTY_MS: f64 = 15.0;
/// Added cost of an engine that is about to switch versions, which would abort its running requests, in
/// milliseconds of waiting.
const PENDING_SWITCH_PENALTY_MS: f64 = 20.0;
/// The same for a request that was already sent once, which must not be aborted a second time.
const RETRIED_SWITCH_PENALTY_MS: f64 = 250.0;
/// Added cost of an upstream that must not be selected while any other can serve, in milliseconds.
const LAST_RESORT_PENALTY_MS: f64 = 10_000.0;
/// Round trip between an entry and a caller, by which the caller receives an event later, in milliseconds.
pub const CALLER_ROUND_TRIP_MS: f64 = 10.0;
/// A request that will miss its deadline is still sent to an engine with at least this fraction of its
/// slots free.
const FREE_FRACTION_FOR_LATE: f64 = 0.5;
/// Assumed service time of a typical request at a plain service, in milliseconds.
const PLAIN_SERVICE_MS: f64 = 20.0;
/// Round trips that a request takes to an upstream: that of its connection and its own.
const ROUND_TRIPS: f64 = 2.0;

/// The upstreams of one service.
#[derive(Debug)]
pub struct Pool {
    model: Option<EngineProfile>,
    max_connections: u32,
    members: Vec<UpstreamKey>,
    /// The members that this entry prefers.
    subset: HashSet<UpstreamKey>,
}

/// The inputs of a selection besides the pool and the request.
pub struct SelectionContext<'a> {
    /// The time of the selection.
    pub now: Moment,
    /// The settings of the dispatcher.
    pub settings: &'a DispatchSettings,
    /// When versions were published.
    pub published: &'a PublishedVersions,
    /// Number of entries that share the limits of each upstream.
    pub entry_count: usize,
    /// At a contended service, the time to the first event beyond the estimate from the load that this entry sees,
    /// in milliseconds.
    pub unseen_wait_ms: Option<f64>,
    /// When the facts were last known to be the latest.
    pub facts_verified_at: Moment,
    /// The delays of the paths to upstreams.
    pub paths: &'a PathDelays,
    /// Which upstreams probably cache which prompt prefixes.
    pub prompt_cache: &'a PromptCache,
}

impl SelectionContext<'_> {
    fn path_delay_ms(&self, key: UpstreamKey, upstream: &Upstream) -> f64 {
        let data_centre = &upstream.record.data_centre;
        self.paths.delay_ms(self.now, key, data_centre)
    }
}

/// An upstream as evaluated for a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// The same at the declared speed of the upstream, in milliseconds.
    pub nominal_ms: f64,
    /// Whether the request should be sent there now.
    pub fits: bool,
    /// Whether the connections and the cold rate of the upstream allow another request.
    pub may_receive: bool,
    /// The part of `expected_ms` that observations add to the estimate from the load.
    pub unseen_wait_ms: f64,
    /// The part of `expected_ms` for the path's delay.
    pub path_ms: f64,
    /// Expected time of the first event after its deadline, in milliseconds; negative if before it.
    pub excess_ms: f64,
    /// The upstream that would have been selected if its limit allowed another request.
    pub instead_of: Option<UpstreamKey>,
    /// The prefixes of its prompt with the expected saving, for services with `prompt_cache`.
    pub prompt: Option<SentPrompt>,
}

/// When a member that may not be used now can be used again.
#[derive(Clone, Copy, Debug)]
pub struct Return {
    /// The time.
    pub at: Moment,
    /// The member, if its limit is the reason; otherwise it backs off.
    pub limited: Option<UpstreamKey>,
}

impl Pool {
    /// Creates the pool of a service from its members and the subset that this entry prefers.
    pub fn new(service: &Service, members: Vec<UpstreamKey>, subset: Vec<UpstreamKey>) -> Self {
        Self {
            model: service.engine.clone(),
            max_connections: service.max_connections,
            members,
            subset: subset.into_iter().collect(),
        }
    }

    /// All upstreams of the service, including those that accept no work.
    pub fn members(&self) -> &[UpstreamKey] {
        &self.members
    }

    /// Selects the member with the lowest cost, or `None` if no member may serve the request now.
    pub fn select(
        &self,
        cx: &SelectionContext<'_>,
        upstreams: &mut SlotMap<UpstreamKey, Upstream>,
        request: &RequestRequirements,
    ) -> Option<Candidate> {
        let mut best: Option<(f64, Candidate)> = None;
        let mut best_limited: Option<(f64, UpstreamKey)> = None;
        let usual_load = cx
            .unseen_wait_ms
            .and_then(|_| self.reported_load(cx, upstreams));
        let lookup = self.prompt_lookup(cx, upstreams, request);
        for key in &self.members {
            let Some(upstream) = upstreams.get_mut(*key) else {
                continue;
            };
            if request.tried.contains(key) || !self.may_serve(cx, *key, upstream, request) {
                continue;
            }
            let mut candidate = self.evaluate(cx, *key, upstream, request, usual_load);
            if !starts_in_time(cx, upstream, request, candidate.expected_ms) {
                continue;
            }
            let mut cost = candidate.expected_ms + upstream.tie_break_ms();
            if !self.subset.contains(key) {
                cost += self.unreported_load_ms();
            }
            if upstream.record.data_centre != cx.settings.data_centre {
                cost += REMOTE_PENALTY_MS;
            }
            if switch_pending(cx, upstream, request) {
                cost += match request.tried.is_empty() {
                    true => PENDING_SWITCH_PENALTY_MS,
                    false => RETRIED_SWITCH_PENALTY_MS,
                };
            }
            if upstream.is_ejected(cx.now) {
                cost += LAST_RESORT_PENALTY_MS;
            }
            let last_resort = match cx.unseen_wait_ms {
                Some(_) => !candidate.may_receive,
                None => !candidate.fits,
            };
            if last_resort {
                cost += LAST_RESORT_PENALTY_MS;
            }
            if let Some(lookup) = &lookup {
                let sent = sent_prompt(cx, lookup, *key, upstream, request, candidate.fits);
                cost -= sent.saving.ms;
                candidate.prompt = Some(sent);
            }
            if upstream
                .limited_until(cx.now, cx.settings.started)
                .is_some()
            {
                if best_limited.is_none_or(|(min_cost, _)| cost < min_cost) {
                    best_limited = Some((cost, *key));
                }
                continue;
            }
            if best.as_ref().is_none_or(|(min_cost, _)| cost < *min_cost) {
                best = Some((cost, candidate));
            }
        }
        let (cost, mut candidate) = best?;
        let preferred = best_limited.filter(|(limited_cost, _)| *limited_cost < cost);
        candidate.instead_of = preferred.map(|(_, key)| key);
        Some(candidate)
    }

    /// Mean number of requests per slot at the members that reported their load recently.
    fn reported_load(
        &self,
        cx: &SelectionContext<'_>,
        upstreams: &SlotMap<UpstreamKey, Upstream>,
    ) -> Option<f64> {
        let members = self.members.iter().filter_map(|key| upstreams.get(*key));
        let loads = members.filter_map(|upstream| upstream.reported_load(cx.now));
        let (count, sum) = loads.fold((0.0, 0.0), |(count, sum), load| (count + 1.0, sum + load));
        (count > 0.0).then(|| sum / count)
    }

    /// Assumed load by other entries, not reported yet, at an engine outside the subset of this entry: the
    /// time to read one typical prompt, in milliseconds.
    fn unreported_load_ms(&self) -> f64 {
        let model = self.model.as_ref();
        model.map_or(0.0, |m| {
            m.mean_prompt_tokens / m.prefill_tokens_per_ms.max(f64::EPSILON)
        })
    }

    /// Whether a member may serve a request, regardless of its load and of its limit.
    pub fn may_serve(
        &self,
        cx: &SelectionContext<'_>,
        key: UpstreamKey,
        upstream: &Upstream,
        request: &RequestRequirements,
    ) -> bool {
        upstream.availability.unavailable(cx.now).is_none()
            && is_eligible(cx, key, upstream, request)
    }

    /// The earliest time at which a backoff or a limit lets a member serve the request.
    pub fn earliest_return(
        &self,
        cx: &SelectionContext<'_>,
        upstreams: &SlotMap<UpstreamKey, Upstream>,
        request: &RequestRequirements,
    ) -> Option<Return> {
        let members = self.members.iter();
        let members = members.filter_map(|key| Some((*key, upstreams.get(*key)?)));
        let eligible = members.filter(|(key, upstream)| is_eligible(cx, *key, upstream, request));
        let returns = eligible.filter_map(|(key, upstream)| {
            match upstream.availability.unavailable(cx.now) {
                Some(Unavailable::BackingOff(at)) => Some(Return { at, limited: None }),
                Some(_) => None,
                None if request.tried.contains(&key) => None,
                None => {
                    let at = upstream.limited_until(cx.now, cx.settings.started)?;
                    let limited = Some(key);
                    Some(Return { at, limited })
                }
            }
        });
        returns.min_by_key(|first| first.at)
    }

    fn evaluate(
        &self,
        cx: &SelectionContext<'_>,
        key: UpstreamKey,
        upstream: &mut Upstream,
        request: &RequestRequirements,
        usual_load: Option<f64>,
    ) -> Candidate {
        let occupancy = upstream.occupancy(cx.now, usual_load);
        let slots = f64::from(upstream.record.slots.max(1));
        let unseen_wait_ms = cx.unseen_wait_ms.unwrap_or_default();
        let path_ms = ROUND_TRIPS * cx.path_delay_ms(key, upstream);
        let at_upstream_ms = unseen_wait_ms
            + match &self.model {
                Some(model) => estimate::first_event_ms(model, &occupancy, request.prompt_tokens),
                None => {
                    let excess = (occupancy.requests - slots + 1.0).max(0.0);
                    occupancy.slowdown * PLAIN_SERVICE_MS * (1.0 + excess / slots)
                }
            };
        let expected_ms = at_upstream_ms + path_ms;
        let remaining_ms = request
            .first_event_deadline
            .saturating_sub(cx.now)
            .as_secs_f64()
            * 1e3;
        let in_time = expected_ms + CALLER_ROUND_TRIP_MS <= remaining_ms;
        let idle = occupancy.requests + 1.0 <= slots * (1.0 - FREE_FRACTION_FOR_LATE);
        let has_capacity = match self.model {
            Some(_) => in_time || idle,
            None => occupancy.requests < slots,
        };
        let share = (self.max_connections as usize / cx.entry_count).max(1);
        let allowed = upstream.own_requests < share
            && upstream.may_send(cx.now, cx.settings.started, cx.facts_verified_at);
        Candidate {
            upstream: key,
            expected_ms,
            nominal_ms: at_upstream_ms / occupancy.slowdown.max(0.1),
            fits: has_capacity && allowed,
            may_receive: allowed,
            unseen_wait_ms,
            path_ms,
            excess_ms: expected_ms + CALLER_ROUND_TRIP_MS - remaining_ms,
            instead_of: None,
            prompt: None,
        }
    }

    /// Prepares the estimates of what an upstream saves if it still caches a prefix of the prompt; `None`
    /// for services without `prompt_cache`.
    fn prompt_lookup<'a>(
        &'a self,
        cx: &SelectionContext<'a>,
        upstreams: &SlotMap<UpstreamKey, Upstream>,
        request: &'a RequestRequirements,
    ) -> Option<Lookup<'a>> {
        let prefixes = request.prefixes.as_ref()?;
        let model = self.model.as_ref()?;
        cx.prompt_cache.lookup(
            &request.service,
            model,
            request.prompt_tokens,
            prefixes,
            || {
                let members = self.members.iter();
                let members = members.filter_map(|key| Some((*key, upstreams.get(*key)?)));
                members
                    .filter(|(_, u)| u.record.data_centre == cx.settings.data_centre)
                    .filter(|(key, u)| self.may_serve(cx, *key, u, request))
                    .map(|(key, u)| (key, u.record.id.as_str()))
                    .collect()
            },
        )
    }
}

/// The prefixes of a request with the saving expected at an upstream. An upstream that is a last resort, or
/// whose switch of versions will empty its cache, saves nothing; otherwise a saving could decide whether the
/// request is sent.
fn sent_prompt(
    cx: &SelectionContext<'_>,
    lookup: &Lookup<'_>,
    key: UpstreamKey,
    upstream: &Upstream,
    request: &RequestRequirements,
    fits: bool,
) -> SentPrompt {
    let model = request.model.as_ref();
    let target = CacheTarget {
        key,
        version: model
            .and_then(|model| upstream.served_version(model))
            .unwrap_or(0),
        occupancy: upstream.occupancy(cx.now, None),
        own_requests: upstream.own_requests,
        slots: upstream.record.slots,
        cold: upstream.condition(cx.now) == UpstreamCondition::Cold,
    };
    let last_resort = !fits || upstream.is_ejected(cx.now);
    let saving = match !last_resort && !switch_pending(cx, upstream, request) {
        true => lookup.saving(cx.now, &target),
        false => ExpectedSaving::default(),
    };
    lookup.sent(&target, saving)
}

/// Whether the region and the weights of an upstream permit a request.
fn is_eligible(
    cx: &SelectionContext<'_>,
    key: UpstreamKey,
    upstream: &Upstream,
    request: &RequestRequirements,
) -> bool {
    let region = cx.settings.regions.get(&upstream.record.data_centre);
    let region_allowed = region.is_none_or(|region| request.allows(region));
    region_allowed && has_usable_weights(cx, key, upstream, request)
}

/// Whether requests may still be sent to the weights that an upstream serves. What is sent now arrives later by the
/// path's delay.
fn has_usable_weights(
    cx: &SelectionContext<'_>,
    key: UpstreamKey,
    upstream: &Upstream,
    request: &RequestRequirements,
) -> bool {
    let Some(model) = &request.model else {
        return true;
    };
    let Some(version) = upstream.served_version(model) else {
        // A service that registers no models may serve any.
        return upstream.record.models.is_none();
    };
    let superseded = cx.published.superseded_at(model, version);
    let arrives = cx.now + Moment::from_secs_f64(cx.path_delay_ms(key, upstream) / 1e3);
    !upstream.switching
        && superseded.is_none_or(|at| arrives < at + cx.settings.old_version_send_window)
}

/// Whether a request is expected to start before the start deadline of the version that the upstream
/// serves.
pub fn starts_in_time(
    cx: &SelectionContext<'_>,
    upstream: &Upstream,
    request: &RequestRequirements,
    expected_ms: f64,
) -> bool {
    let Some(model) = &request.model else {
        return true;
    };
    let version = upstream.served_version(model);
    let superseded = version.and_then(|version| cx.published.superseded_at(model, version));
    let starts = cx.now + Moment::from_secs_f64(expected_ms.max(0.0) / 1e3);
    superseded.is_none_or(|at| starts < at + cx.settings.old_version_start_window)
}

/// Whether the upstream serves a superseded version, and so is about to switch.
fn switch_pending(
    cx: &SelectionContext<'_>,
    upstream: &Upstream,
    request: &RequestRequirements,
) -> bool {
    let Some(model) = &request.model else {
        return false;
    };
    let version = upstream.served_version(model).unwrap_or(0);
    cx.published.superseded_at(model, version).is_some()
}
