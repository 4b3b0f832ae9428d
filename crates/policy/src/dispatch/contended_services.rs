//! Requests to contended services: what is sent, what waits in which order, and what is refused.
//!
//! The state of each service is a [`Contention`]; see docs/design/contended-services.md.

use std::collections::HashMap;

use balsamjunction_directory::Declaration;
use smol_str::SmolStr;

use super::{
    contention::{self, Contention, ContentionMode, QueuePosition},
    pool::{Candidate, Pool},
    DispatchDecision, DispatchRefusal, Dispatcher, Queueing, RefusalReason, RequestRequirements,
    SelectedUpstream, WaitKey, WaitingRequest, MIN_RETRY_AFTER, NO_UPSTREAM,
};
use crate::Moment;

/// Longest time after which a refused caller is asked to retry, at a contended service. The rates from which it is
/// expected are those of the last second, so that a longer one says nothing.
const MAX_RETRY_AFTER: Moment = Moment::from_secs(5);

/// The refusal of a request that would wait for `wait`, longer than its caller.
fn overload(wait: Moment) -> DispatchRefusal {
    DispatchRefusal {
        reason: RefusalReason::Overload,
        retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        limited: None,
    }
}

impl RequestRequirements {
    /// Its position in the queue of a contended service, if first events arrive `first_event_time` after a request
    /// is sent.
    fn queue_position(
        &self,
        now: Moment,
        since: Moment,
        first_event_time: Moment,
    ) -> QueuePosition {
        QueuePosition {
            first_attempt: self.tried.is_empty(),
            rank: self.rank,
            late: now + first_event_time > self.first_event_deadline,
            deadline: self.first_event_deadline,
            since,
        }
    }
}

impl Dispatcher {
    /// Keeps a state for each contended service, with the even share of this entry in its slots.
    pub(super) fn configure_contention(&mut self, declaration: &Declaration) {
        let mut contended = HashMap::new();
        for service in &declaration.services {
            let is_contended = match self.settings.contention {
                ContentionMode::Auto => {
                    contention::has_ranks(declaration, service)
                        || (service.engine.is_some() && self.reports_service_time(&service.name))
                }
                ContentionMode::On => service.engine.is_some(),
                ContentionMode::Off => false,
            };
            let Some(pool) = self.pools.get(&service.name).filter(|_| is_contended) else {
                continue;
            };
            let usable = pool.members().iter();
            let usable = usable.filter_map(|key| self.upstreams.get(*key));
            let usable = usable.filter(|upstream| upstream.has_slots_in_use());
            let slots: u32 = usable.map(|upstream| upstream.record.slots).sum();
            let fair_share = f64::from(slots) / self.entries.count() as f64;
            let existing = self.contended.remove(&service.name);
            let mut state = existing.unwrap_or_else(|| Contention::new(fair_share));
            state.set_fair_share(fair_share);
            contended.insert(service.name.clone(), state);
        }
        self.contended = contended;
    }

    /// Decides about a request to a contended service that has just arrived or is to be retried.
    pub(super) fn submit_contended(
        &mut self,
        now: Moment,
        request: RequestRequirements,
    ) -> DispatchDecision {
        let Some(state) = self.contended.get_mut(&request.service) else {
            return DispatchDecision::Refuse(NO_UPSTREAM);
        };
        if request.tried.is_empty() {
            state.record_arrival(now, request.rank);
        }
        let first_event_time = state.first_event_time(now);
        let position = request.queue_position(now, now, first_event_time);
        let queue = self.waiting.values();
        let queue = queue.filter(|w| w.request.service == request.service);
        let (mut ahead, mut same_rank_ahead, mut waiting) = (0, 0, 0);
        for other in queue {
            let other = other.request.queue_position(now, now, first_event_time);
            let is_ahead = other <= position;
            waiting += 1;
            ahead += usize::from(is_ahead);
            same_rank_ahead += usize::from(is_ahead && other.rank == position.rank);
        }
        let in_flight = self.in_flight(&request.service);
        let admits = self
            .contended
            .get(&request.service)
            .is_some_and(|state| state.admits(now, request.rank, in_flight));
        if !position.first_attempt || (ahead == 0 && admits) {
            match self.select(now, &request) {
                Err(refusal) => return DispatchDecision::Refuse(refusal),
                Ok(best) if best.may_receive => {
                    let selected = self.send_contended(now, &request, &best, Moment::ZERO, waiting);
                    return DispatchDecision::Send(selected);
                }
                Ok(_) => {}
            }
        }
        let wait = self
            .contended
            .get(&request.service)
            .map_or(Moment::ZERO, |state| {
                state.expected_wait(now, request.rank, ahead, same_rank_ahead)
            });
        let begins_in_time = now + wait + first_event_time <= request.caller_leaves_at;
        if waiting >= contention::MAX_WAITING || !begins_in_time {
            return DispatchDecision::Refuse(overload(wait));
        }
        let since = now;
        DispatchDecision::Wait(self.waiting.insert(WaitingRequest { request, since }))
    }

    /// Decides about the requests that wait for contended services.
    pub(super) fn poll_contended(&mut self, now: Moment) -> Vec<(WaitKey, DispatchDecision)> {
        let mut decisions = Vec::new();
        let services: Vec<SmolStr> = self.contended.keys().cloned().collect();
        for service in services {
            self.poll_service(now, &service, &mut decisions);
        }
        decisions
    }

    fn poll_service(
        &mut self,
        now: Moment,
        service: &SmolStr,
        decisions: &mut Vec<(WaitKey, DispatchDecision)>,
    ) {
        let Some(state) = self.contended.get(service) else {
            return;
        };
        let first_event_time = state.first_event_time(now);
        let waiting = self.waiting.iter();
        let mut queue: Vec<(QueuePosition, WaitKey)> = waiting
            .filter(|(_, w)| w.request.service == *service)
            .map(|(key, w)| {
                (
                    w.request.queue_position(now, w.since, first_event_time),
                    key,
                )
            })
            .collect();
        let owed = contention::order_queue(&mut queue, state.owes_less_urgent());
        let mut in_flight = self.in_flight(service);
        let mut blocked = false;
        let mut remaining = queue.len();
        let (mut ahead, mut same_rank_ahead, mut last_rank) = (0, 0, None);
        for (position, key) in queue {
            let Some(waiting) = self.waiting.get(key) else {
                continue;
            };
            let Some(state) = self.contended.get(service) else {
                return;
            };
            // Nothing is reserved for others where a request is owed its turn.
            let bound_rank = if owed == Some(key) { 0 } else { position.rank };
            blocked |= !state.admits(now, bound_rank, in_flight);
            if last_rank.replace(position.rank) != Some(position.rank) {
                same_rank_ahead = 0;
            }
            let wait = match blocked {
                true => state.expected_wait(now, position.rank, ahead, same_rank_ahead),
                false => Moment::ZERO,
            };
            let decision = if now + wait + first_event_time > waiting.request.caller_leaves_at {
                // Those before it have taken longer than expected when it arrived.
                DispatchDecision::Refuse(overload(wait))
            } else if blocked {
                ahead += 1;
                same_rank_ahead += 1;
                continue;
            } else {
                let request = waiting.request.clone();
                let waited = now.saturating_sub(waiting.since);
                match self.select(now, &request) {
                    Err(refusal) => DispatchDecision::Refuse(refusal),
                    Ok(best) if best.may_receive => {
                        in_flight += 1;
                        let others = remaining - 1;
                        let selected = self.send_contended(now, &request, &best, waited, others);
                        DispatchDecision::Send(selected)
                    }
                    Ok(_) => {
                        blocked = true;
                        continue;
                    }
                }
            };
            remaining -= 1;
            self.waiting.remove(key);
            decisions.push((key, decision));
        }
    }

    /// Counts a request to a contended service as sent.
    fn send_contended(
        &mut self,
        now: Moment,
        request: &RequestRequirements,
        best: &Candidate,
        waited: Moment,
        waiting: usize,
    ) -> SelectedUpstream {
        let rank = request.rank;
        let others = self.waiting.values().map(|w| &w.request);
        let others = others.filter(|other| other.service == request.service);
        let (mut overtakes, mut overtaken) = (false, false);
        for other in others {
            overtakes |= other.rank > rank;
            overtaken |= other.rank < rank;
        }
        let in_flight = self.in_flight(&request.service) + 1;
        let mut selected = SelectedUpstream::new(now, request, best);
        if let Some(state) = self.contended.get_mut(&request.service) {
            state.record_departure(now, overtakes, overtaken);
            let window = state.window();
            selected.queueing = Some(Queueing {
                rank,
                waited,
                waiting,
                in_flight,
                window,
            });
        }
        self.record_send(now, request, &selected);
        selected
    }

    /// Requests of this entry that run or wait at the upstreams of a service.
    pub(super) fn in_flight(&self, service: &SmolStr) -> usize {
        let members = self.pools.get(service).map_or(&[][..], Pool::members);
        let upstreams = members.iter().filter_map(|key| self.upstreams.get(*key));
        upstreams.map(|upstream| upstream.own_requests).sum()
    }
}
