//! Admission to the upstreams of a contended service: how many requests this entry keeps in flight there, which
//! waiting request is sent next, and which are refused.
//!
//! Entries share no queue. What they share is the latency of the upstreams: each entry bounds its requests in
//! flight by the times to the first event that it observes. See docs/design/contended-services.md.

use balsamjunction_directory::{Declaration, Service};
use strum::EnumString;

use crate::Moment;

/// Number of ranks that are distinguished; less urgent ones count as the last.
const RANKS: usize = 10;
/// Time constant of the rates of arrivals and departures, in seconds. A burst lasts a few seconds.
const RATE_TIME_CONSTANT_S: f64 = 1.0;
/// Weight of one observation in the moving averages of the time to the first event. An entry observes some 30 per
/// second under load, so that the averages follow a change within half a second.
const OBSERVATION_WEIGHT: f64 = 0.1;
/// Longest time to the first event that is taken into account, in milliseconds; longer ones are those of upstreams
/// that fail.
const MAX_OBSERVATION_MS: f64 = 4_000.0;
/// Half-life of the averages without observations, in seconds, so that an idle entry forgets an overload.
const AVERAGE_HALF_LIFE_S: f64 = 2.0;
/// Time without observations after which the averages decay, in seconds.
const AVERAGE_HOLD_S: f64 = 0.5;
/// Fraction of its target latency after which a first event counts as late for the window. The rest covers the time
/// that the request waited here and the way to the caller.
const LATE_FRACTION: f64 = 0.7;
/// Fraction of the same limit up to which a first event leaves so much time that the window grows faster.
const FAST_FRACTION: f64 = 0.5;
/// Relative growth of the window for each first event that leaves time while the window is used up.
const GROWTH: f64 = 0.01;
/// The same for a first event that leaves much time.
const FAST_GROWTH: f64 = 0.02;
/// Relative reduction of the window for each late first event. With [`GROWTH`], one in three may be late: some are late
/// for another reason than load, since hosts differ in speed and change it.
const REDUCTION: f64 = 0.02;
/// Smallest window as a fraction of the even share of the slots, so that slots are not left idle by entries that
/// observe late first events for another reason than load.
const MIN_WINDOW_FRACTION: f64 = 0.8;
/// Largest window as a multiple of the even share, since callers are distributed unevenly to entries.
const MAX_WINDOW_FACTOR: f64 = 4.0;
/// The window counts as used up from this fraction of it on.
const USED_UP_FRACTION: f64 = 0.8;
/// Fraction of the window that is reserved for more urgent ranks if all arrivals are more urgent.
const MAX_RESERVE: f64 = 0.25;
/// Requests of less urgent ranks that are sent first, for each request that is sent while they wait; none of them is
/// served less than a quarter as often as all others, even if the more urgent ones could use every slot.
const LESS_URGENT_FRACTION: f64 = 0.1;
/// Largest number of requests that less urgent ranks may be owed.
const MAX_OWED: f64 = 3.0;
/// Fraction of the rate of departures that is assumed for a rank, even if more urgent requests arrive as fast: some of
/// these are refused, and a burst of them ends while the request waits.
const MIN_RATE_FRACTION: f64 = 0.3;
/// Requests that wait for one service at most. A caller leaves within seconds, and a fleet serves some hundred
/// requests per second, so no request further back would be served.
pub const MAX_WAITING: usize = 2_000;

/// Whether services are treated as contended.
#[derive(Clone, Copy, Debug, Default, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum ContentionMode {
    /// Those whose routes have different ranks, or whose upstreams state a relative service time.
    #[default]
    Auto,
    /// All services of engines.
    On,
    /// None.
    Off,
}

/// Priorities of routes that are distinguished within one priority of workspaces.
const ROUTE_PRIORITIES: u8 = 3;

/// The rank of a request at a contended service, as an upstream accepts it; zero is the most urgent.
///
/// The priority of its workspace goes first, if it has one, and the priority of its route orders the requests of
/// workspaces of one priority.
pub fn rank(workspace: Option<u8>, route: u8) -> u8 {
    let route = route.min(ROUTE_PRIORITIES - 1);
    let workspace = workspace.unwrap_or(route);
    let rank = workspace
        .saturating_mul(ROUTE_PRIORITIES)
        .saturating_add(route);
    rank.min(RANKS as u8 - 1)
}

/// Whether the routes to a service of engines have different ranks.
pub fn has_ranks(declaration: &Declaration, service: &Service) -> bool {
    if service.engine.is_none() {
        return false;
    }
    let routes = declaration.routes.iter();
    let mut ranks = routes
        .filter(|route| route.targets.iter().any(|t| t.service == service.name))
        .map(|route| route.priority);
    let first = ranks.next();
    ranks.any(|rank| Some(rank) != first)
}

/// The position of a request in the queue of its service; the least is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// Whether no upstream has received the request yet. A retry goes first: its caller has waited longest, and the
    /// retry budget bounds their number.
    pub first_attempt: bool,
    /// Zero is the most urgent.
    pub rank: u8,
    /// Whether the first event will miss its deadline. Such a request gives way to those that can still meet theirs.
    pub late: bool,
    /// The deadline of the first event.
    pub deadline: Moment,
    /// When the request arrived in the queue.
    pub since: Moment,
}

/// The state of admission to the upstreams of one contended service.
#[derive(Debug)]
pub struct Contention {
    /// The even share of this entry in the slots of the usable upstreams.
    fair_share: f64,
    window: f64,
    /// Time to the first event beyond the estimate from what this entry sees, in milliseconds.
    unseen_wait: Average,
    /// Time to the first event, in milliseconds.
    first_event: Average,
    arrivals: [Rate; RANKS],
    departures: Rate,
    /// Requests of less urgent ranks that are owed, see [`LESS_URGENT_FRACTION`].
    owed: f64,
}

/// An observed time to the first event.
#[derive(Clone, Copy, Debug)]
pub struct FirstEventObservation {
    /// The observed time in milliseconds.
    pub took_ms: f64,
    /// The estimate without [`Contention::unseen_wait_ms`], in milliseconds.
    pub estimated_ms: f64,
    /// The target latency of the request, in milliseconds.
    pub target_ms: f64,
    /// Requests that this entry has in flight at the service.
    pub in_flight: usize,
}

impl Contention {
    /// Creates the state for a service of whose slots this entry has an even share of `fair_share`.
    pub fn new(fair_share: f64) -> Self {
        let fair_share = fair_share.max(1.0);
        Self {
            fair_share,
            window: fair_share,
            unseen_wait: Average::default(),
            first_event: Average::default(),
            arrivals: [Rate::default(); RANKS],
            departures: Rate::default(),
            owed: 0.0,
        }
    }

    /// Changes the even share of the slots; the window keeps its ratio to the share.
    pub fn set_fair_share(&mut self, fair_share: f64) {
        let fair_share = fair_share.max(1.0);
        self.window *= fair_share / self.fair_share;
        self.fair_share = fair_share;
    }

    /// The largest number of requests in flight, reserves included.
    pub fn window(&self) -> f64 {
        self.window
    }

    /// Whether a request of a rank may be sent while `in_flight` requests of this entry are.
    ///
    /// A part of the window is reserved for more urgent ranks, in proportion to their recent arrivals.
    pub fn admits(&self, now: Moment, rank: u8, in_flight: usize) -> bool {
        let total: f64 = self.arrivals.iter().map(|rate| rate.per_s(now)).sum();
        let more_urgent = self.more_urgent_per_s(now, rank);
        let reserve = match total > 0.0 {
            true => MAX_RESERVE * more_urgent / total,
            false => 0.0,
        };
        (in_flight as f64) + 1.0 <= (self.window * (1.0 - reserve)).max(1.0)
    }

    /// Records a request that arrived from a caller.
    pub fn record_arrival(&mut self, now: Moment, rank: u8) {
        self.arrivals[rank_index(rank)].record(now);
    }

    /// Records a request that was sent; `overtakes` tells whether a less urgent one waits, and `overtaken` whether a
    /// more urgent one does.
    pub fn record_departure(&mut self, now: Moment, overtakes: bool, overtaken: bool) {
        self.departures.record(now);
        if overtaken {
            self.owed -= 1.0;
        } else if overtakes {
            self.owed = (self.owed + LESS_URGENT_FRACTION).min(MAX_OWED);
        }
    }

    /// Whether a request of a less urgent rank is sent next, although more urgent ones wait.
    pub fn owes_less_urgent(&self) -> bool {
        self.owed >= 1.0
    }

    /// Records an observed time to the first event, and adjusts the window.
    pub fn record_first_event(&mut self, now: Moment, observed: FirstEventObservation) {
        let took_ms = observed.took_ms.min(MAX_OBSERVATION_MS);
        self.first_event.record(now, took_ms);
        let unseen = (took_ms - observed.estimated_ms).max(0.0);
        self.unseen_wait.record(now, unseen);
        let limit_ms = observed.target_ms * LATE_FRACTION;
        let used_up = observed.in_flight as f64 >= self.window * USED_UP_FRACTION;
        let factor = match took_ms {
            took_ms if took_ms > limit_ms => 1.0 - REDUCTION,
            _ if !used_up => 1.0,
            took_ms if took_ms < limit_ms * FAST_FRACTION => 1.0 + FAST_GROWTH,
            _ => 1.0 + GROWTH,
        };
        let least = (self.fair_share * MIN_WINDOW_FRACTION).max(1.0);
        let most = self.fair_share * MAX_WINDOW_FACTOR;
        self.window = (self.window * factor).clamp(least, most);
    }

    /// Time to the first event beyond the estimate from the load that this entry sees, in milliseconds: prompts and
    /// waiting requests of other entries.
    pub fn unseen_wait_ms(&self, now: Moment) -> f64 {
        self.unseen_wait.at(now)
    }

    /// The usual time to the first event at present.
    pub fn first_event_time(&self, now: Moment) -> Moment {
        Moment::from_secs_f64(self.first_event.at(now) / 1e3)
    }

    /// Expected time in the queue of a request of a rank with `ahead` others before it, of which
    /// `same_rank_ahead` are not more urgent.
    pub fn expected_wait(
        &self,
        now: Moment,
        rank: u8,
        ahead: usize,
        same_rank_ahead: usize,
    ) -> Moment {
        let departures = self.departures.per_s(now).max(1.0);
        let available = (departures - self.more_urgent_per_s(now, rank)).max(0.0);
        let by_rank = (ahead as f64 + 1.0) / available.max(departures * MIN_RATE_FRACTION);
        let owed = (same_rank_ahead as f64 + 1.0) / (departures * LESS_URGENT_FRACTION);
        Moment::from_secs_f64(by_rank.min(owed))
    }

    fn more_urgent_per_s(&self, now: Moment, rank: u8) -> f64 {
        let more_urgent = self.arrivals.iter().take(rank_index(rank));
        more_urgent.map(|rate| rate.per_s(now)).sum()
    }
}

fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// Orders the waiting requests of one service. If less urgent requests are owed, the first of them leads, and is
/// returned.
pub fn order_queue<K: Copy>(queue: &mut [(QueuePosition, K)], owes_less_urgent: bool) -> Option<K> {
    queue.sort_by_key(|(position, _)| *position);
    let most_urgent = queue.first()?.0.rank;
    let less_urgent = queue.iter().position(|(p, _)| p.rank > most_urgent);
    let index = less_urgent.filter(|_| owes_less_urgent)?;
    queue[..=index].rotate_right(1);
    Some(queue[0].1)
}

/// The rate of events, as a count that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    count: f64,
    at: Moment,
}

impl Rate {
    fn record(&mut self, now: Moment) {
        self.count = self.decayed(now) + 1.0;
        self.at = now;
    }

    fn decayed(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-age / RATE_TIME_CONSTANT_S).exp()
    }

    fn per_s(&self, now: Moment) -> f64 {
        self.decayed(now) / RATE_TIME_CONSTANT_S
    }
}

/// An exponentially weighted moving average that decays to zero without observations.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    value: f64,
    at: Moment,
}

impl Average {
    fn record(&mut self, now: Moment, value: f64) {
        self.value = (1.0 - OBSERVATION_WEIGHT) * self.at(now) + OBSERVATION_WEIGHT * value;
        self.at = now;
    }

    fn at(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64() - AVERAGE_HOLD_S;
        self.value * 0.5_f64.powf(age.max(0.0) / AVERAGE_HALF_LIFE_S)
    }
}
