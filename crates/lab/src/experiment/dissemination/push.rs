//! The former way, as a rough model: readers push the whole declaration to all gateways at once, and those that it
//! does not reach in time pull it whole.
//!
//! Gateways that read the store themselves after a while are left out, and so are all other messages: both made the
//! former way slower.

use balsamjunction_policy::Moment;
use rand::{seq::IndexedRandom, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    network::{MessageKey, Network},
    outcome::Outcome,
    relay::LIMIT,
    scenario::{Scenario, SMALL_BYTES},
};

/// Time limit of a push or pull.
const TIMEOUT: Moment = Moment::from_millis(400);
/// Age of the facts from which gateways pull.
const PULL_AFTER: Moment = Moment::from_millis(400);
/// Mean time between two pulls, in milliseconds, with a jitter of ±50%.
const PULL_INTERVAL_MS: u64 = 200;
/// Fraction of pulls that go to any gateway instead of a reader.
const ANY_SOURCE: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
enum Event {
    Declaration { to: usize, pull: Option<u64> },
    PushTimedOut { message: MessageKey },
    Pull { gateway: usize },
    Request { from: usize, to: usize, number: u64 },
    Unchanged { to: usize, number: u64 },
    PullTimedOut { gateway: usize, number: u64 },
}

#[derive(Clone, Copy, Debug)]
struct Pull {
    number: u64,
    response: Option<MessageKey>,
}

struct Simulation<'s> {
    scenario: &'s Scenario,
    network: Network<Event>,
    rng: Pcg64Mcg,
    received: Vec<Option<Moment>>,
    pulls: Vec<Option<Pull>>,
    requests: u64,
}

/// Simulates a scenario until all gateways have the change, or [`LIMIT`]. Faults and losses are not simulated.
///
/// A small change behind the large one arrives with it, since changes were ordered by revision.
pub fn simulate(scenario: &Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    while let Some((now, event)) = simulation.network.next_event() {
        if now > LIMIT {
            break;
        }
        simulation.handle(now, event);
        if simulation.received.iter().all(Option::is_some) {
            break;
        }
    }
    let mut outcome = Outcome::new(scenario, &simulation.network);
    let gateways = 0..scenario.gateways;
    outcome.served = gateways.map(|g| simulation.network.bytes_from(g)).collect();
    outcome.received = simulation.received;
    outcome.small_change = outcome.last(scenario);
    outcome
}

impl<'s> Simulation<'s> {
    fn new(scenario: &'s Scenario) -> Self {
        let mut network = Network::new(&scenario.links, scenario.regions, scenario.region_of());
        let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed);
        for reader in &scenario.readers {
            for to in (0..scenario.gateways).filter(|to| to != reader) {
                let declaration = Event::Declaration { to, pull: None };
                let message = network.send(*reader, to, scenario.bytes, declaration);
                network.set_timer(TIMEOUT, Event::PushTimedOut { message });
            }
        }
        let is_reader = |g| scenario.readers.contains(&g);
        for gateway in (0..scenario.gateways).filter(|g| !is_reader(*g)) {
            let at = PULL_AFTER + Moment::from_millis(rng.random_range(0..PULL_INTERVAL_MS));
            network.set_timer(at, Event::Pull { gateway });
        }
        Self {
            scenario,
            network,
            rng,
            received: (0..scenario.gateways)
                .map(|g| is_reader(g).then_some(Moment::ZERO))
                .collect(),
            pulls: vec![None; scenario.gateways],
            requests: 0,
        }
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Declaration { to, pull } => {
                self.received[to].get_or_insert(now);
                if let Some(number) = pull {
                    self.pulls[to].take_if(|p| p.number == number);
                }
            }
            Event::PushTimedOut { message } => self.network.give_up(message),
            Event::Pull { gateway } => self.pull(now, gateway),
            Event::Request { from, to, number } => self.serve(from, to, number),
            Event::Unchanged { to, number } => {
                if self.pulls[to].take_if(|p| p.number == number).is_some() {
                    self.pull_later(now, to);
                }
            }
            Event::PullTimedOut { gateway, number } => {
                if let Some(pull) = self.pulls[gateway].take_if(|p| p.number == number) {
                    if let Some(response) = pull.response {
                        self.network.give_up(response);
                    }
                    self.pull_later(now, gateway);
                }
            }
        }
    }

    fn pull_later(&mut self, now: Moment, gateway: usize) {
        let ms = self
            .rng
            .random_range(PULL_INTERVAL_MS / 2..PULL_INTERVAL_MS * 3 / 2);
        let at = now + Moment::from_millis(ms);
        self.network.set_timer(at, Event::Pull { gateway });
    }

    fn pull(&mut self, now: Moment, gateway: usize) {
        if self.received[gateway].is_some() {
            return;
        }
        let any = (0..self.scenario.gateways).filter(|g| *g != gateway);
        let any: Vec<usize> = any.collect();
        let candidates = match self.rng.random_bool(ANY_SOURCE) {
            true => &any,
            false => &self.scenario.readers,
        };
        let Some(source) = candidates.choose(&mut self.rng).copied() else {
            return;
        };
        self.requests += 1;
        let number = self.requests;
        let response = None;
        self.pulls[gateway] = Some(Pull { number, response });
        let request = Event::Request {
            from: gateway,
            to: source,
            number,
        };
        self.network.send(gateway, source, SMALL_BYTES, request);
        let timed_out = Event::PullTimedOut { gateway, number };
        self.network.set_timer(now + TIMEOUT, timed_out);
    }

    fn serve(&mut self, from: usize, to: usize, number: u64) {
        let Some(pull) = self.pulls[from].as_mut().filter(|p| p.number == number) else {
            return;
        };
        let message = match self.received[to] {
            Some(_) => {
                let pull = Some(number);
                let declaration = Event::Declaration { to: from, pull };
                self.network
                    .send(to, from, self.scenario.bytes, declaration)
            }
            None => {
                let unchanged = Event::Unchanged { to: from, number };
                self.network.send(to, from, SMALL_BYTES, unchanged)
            }
        };
        pull.response = Some(message);
    }
}
