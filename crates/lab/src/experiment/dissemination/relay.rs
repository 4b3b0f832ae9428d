//! Dissemination as it is designed: an announcement to all, and parts that each gateway pulls along the tree of
//! [`balsamjunction_policy::relay`].

use balsamjunction_policy::{
    relay::{Transfer, TransferAction},
    Moment,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    network::Network,
    outcome::Outcome,
    scenario::{address_of, gateway_at, sources_of, Fault, FaultKind, Scenario, SMALL_BYTES},
};

/// Virtual time at which a simulation ends although gateways lack the change.
pub const LIMIT: Moment = Moment::from_secs(120);
/// Time between two probes.
const PROBE_INTERVAL: Moment = Moment::from_millis(5);
/// When a reader has a small change.
const SMALL_CHANGE_AT: Moment = Moment::from_millis(200);

#[derive(Clone, Copy, Debug)]
enum Event {
    Announced {
        to: usize,
    },
    Wake {
        gateway: usize,
    },
    Request {
        from: usize,
        to: usize,
        number: u64,
        offset: usize,
        max_bytes: usize,
    },
    Part {
        to: usize,
        number: u64,
        bytes: usize,
    },
    Pending {
        to: usize,
        number: u64,
    },
    Refused {
        to: usize,
        number: u64,
    },
    TimedOut {
        gateway: usize,
        number: u64,
    },
    Fault {
        gateway: usize,
        kind: FaultKind,
    },
    Probe,
    ProbeArrived {
        sent_at: Moment,
    },
    SmallChange,
    SmallChangeArrived {
        to: usize,
    },
}

#[derive(Debug)]
struct Download {
    transfer: Transfer,
    offset: usize,
    /// Number of the request under way, its source and its start.
    request: Option<(u64, usize, Moment)>,
    /// When the next wake-up is due, so that others are ignored.
    wakes_at: Option<Moment>,
}

struct Simulation<'s> {
    scenario: &'s Scenario,
    network: Network<Event>,
    rng: Pcg64Mcg,
    downloads: Vec<Option<Download>>,
    faults: Vec<Option<FaultKind>>,
    received: Vec<Option<Moment>>,
    informed: Vec<bool>,
    small_change: Moment,
    probe_max: Moment,
    requests: u64,
    served: Vec<u64>,
}

/// Simulates a scenario until all gateways that do not fail have the change, or [`LIMIT`].
pub fn simulate(scenario: &Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    while let Some((now, event)) = simulation.network.next_event() {
        if now > LIMIT || simulation.is_over() {
            break;
        }
        simulation.handle(now, event);
    }
    let mut outcome = Outcome::new(scenario, &simulation.network);
    outcome.received = simulation.received;
    outcome.served = simulation.served;
    outcome.probe_max = simulation.probe_max;
    let all_informed =
        (0..scenario.gateways).all(|g| simulation.informed[g] || simulation.faults[g].is_some());
    outcome.small_change = all_informed.then_some(simulation.small_change);
    outcome
}

impl<'s> Simulation<'s> {
    fn new(scenario: &'s Scenario) -> Self {
        let mut network = Network::new(&scenario.links, scenario.regions, scenario.region_of());
        for fault in &scenario.faults {
            let Fault { gateway, kind, at } = *fault;
            network.set_timer(at, Event::Fault { gateway, kind });
        }
        for reader in &scenario.readers {
            send_to_all(&mut network, scenario, *reader, |to| Event::Announced {
                to,
            });
        }
        network.set_timer(SMALL_CHANGE_AT, Event::SmallChange);
        network.set_timer(PROBE_INTERVAL, Event::Probe);
        let is_reader = |g| scenario.readers.contains(&g);
        Self {
            scenario,
            network,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            downloads: (0..scenario.gateways).map(|_| None).collect(),
            faults: vec![None; scenario.gateways],
            received: (0..scenario.gateways)
                .map(|g| is_reader(g).then_some(Moment::ZERO))
                .collect(),
            informed: (0..scenario.gateways).map(is_reader).collect(),
            small_change: Moment::ZERO,
            probe_max: Moment::ZERO,
            requests: 0,
            served: vec![0; scenario.gateways],
        }
    }

    fn is_over(&self) -> bool {
        let mut gateways = 0..self.scenario.gateways;
        gateways
            .all(|g| self.faults[g].is_some() || (self.received[g].is_some() && self.informed[g]))
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Announced { to } => self.begin(now, to),
            Event::Wake { gateway } => {
                let download = self.downloads[gateway].as_mut();
                if let Some(download) = download.filter(|d| d.wakes_at == Some(now)) {
                    download.wakes_at = None;
                    self.advance(now, gateway);
                }
            }
            Event::Request {
                from,
                to,
                number,
                offset,
                max_bytes,
            } => {
                self.serve(from, to, number, offset, max_bytes);
            }
            Event::Part { to, number, bytes } => {
                self.end_request(now, to, number, |d, _, began| {
                    d.offset += bytes;
                    d.transfer.record_part(now, now - began, bytes);
                })
            }
            Event::Pending { to, number } => self.end_request(now, to, number, |d, source, _| {
                d.transfer.record_pending(now, address_of(source));
            }),
            Event::Refused { to, number } => self.end_request(now, to, number, |d, source, _| {
                d.transfer.record_failure(now, address_of(source));
            }),
            Event::TimedOut { gateway, number } => {
                self.end_request(now, gateway, number, |d, source, _| {
                    d.transfer.record_timeout(now, address_of(source));
                });
            }
            Event::Fault { gateway, kind } => match kind {
                FaultKind::Killed | FaultKind::Frozen => self.faults[gateway] = Some(kind),
                FaultKind::Restarted => self.restart(now, gateway),
            },
            Event::Probe => self.probe(now),
            Event::ProbeArrived { sent_at } => self.probe_max = self.probe_max.max(now - sent_at),
            Event::SmallChange => {
                let mut readers = self.scenario.readers.iter().copied().rev();
                let sender = readers.find(|r| self.faults[*r].is_none());
                if let Some(sender) = sender {
                    send_to_all(&mut self.network, self.scenario, sender, |to| {
                        Event::SmallChangeArrived { to }
                    });
                }
            }
            Event::SmallChangeArrived { to } => {
                if self.faults[to].is_none() {
                    self.informed[to] = true;
                    self.small_change = self.small_change.max(now - SMALL_CHANGE_AT);
                }
            }
        }
    }

    fn begin(&mut self, now: Moment, gateway: usize) {
        if self.received[gateway].is_some() || self.downloads[gateway].is_some() {
            return;
        }
        let members = self.scenario.members();
        let sources = sources_of(gateway, &members);
        self.downloads[gateway] = Some(Download {
            transfer: Transfer::new(now, sources),
            offset: 0,
            request: None,
            wakes_at: None,
        });
        self.advance(now, gateway);
    }

    fn restart(&mut self, now: Moment, gateway: usize) {
        if !self.scenario.readers.contains(&gateway) {
            self.received[gateway] = None;
            self.downloads[gateway] = None;
            self.begin(now, gateway);
        }
    }

    /// Performs the next action of a gateway's download.
    fn advance(&mut self, now: Moment, gateway: usize) {
        let failed = self.faults[gateway].is_some();
        let Some(download) = self.downloads[gateway].as_mut().filter(|_| !failed) else {
            return;
        };
        if download.offset >= self.scenario.bytes {
            self.received[gateway].get_or_insert(now);
            return;
        }
        match download.transfer.next(now) {
            TransferAction::Wait { until } => {
                if download.request.is_none() {
                    download.wakes_at = Some(until);
                    self.network.set_timer(until, Event::Wake { gateway });
                }
            }
            TransferAction::Request {
                source,
                max_bytes,
                timeout,
            } => {
                let source = gateway_at(source);
                assert!(
                    download.request.is_none(),
                    "gateway {gateway} asks two at a time"
                );
                self.requests += 1;
                let number = self.requests;
                download.request = Some((number, source, now));
                let request = Event::Request {
                    from: gateway,
                    to: source,
                    number,
                    offset: download.offset,
                    max_bytes,
                };
                self.network.send(gateway, source, SMALL_BYTES, request);
                let timed_out = Event::TimedOut { gateway, number };
                self.network.set_timer(now + timeout, timed_out);
            }
        }
    }

    fn end_request(
        &mut self,
        now: Moment,
        gateway: usize,
        number: u64,
        record: impl FnOnce(&mut Download, usize, Moment),
    ) {
        let Some(download) = self.downloads[gateway].as_mut() else {
            return;
        };
        let Some((_, source, began)) = download.request.take_if(|r| r.0 == number) else {
            return;
        };
        record(download, source, began);
        self.advance(now, gateway);
    }

    /// Answers a request that `to` received.
    fn serve(&mut self, from: usize, to: usize, number: u64, offset: usize, max_bytes: usize) {
        match self.faults[to] {
            Some(FaultKind::Frozen) => return,
            Some(FaultKind::Killed) => {
                let refused = Event::Refused { to: from, number };
                self.network.send(to, from, SMALL_BYTES, refused);
                return;
            }
            Some(FaultKind::Restarted) | None => {}
        }
        let has = match (self.received[to], &self.downloads[to]) {
            (Some(_), _) => self.scenario.bytes,
            (None, Some(download)) => download.offset,
            (None, None) => 0,
        };
        if has <= offset {
            let pending = Event::Pending { to: from, number };
            self.network.send(to, from, SMALL_BYTES, pending);
            return;
        }
        let bytes = max_bytes.min(has - offset);
        self.served[to] += bytes as u64;
        if self.rng.random_ratio(self.scenario.loss_percent, 100) {
            return;
        }
        let part = Event::Part {
            to: from,
            number,
            bytes,
        };
        self.network.send(to, from, bytes + SMALL_BYTES, part);
    }

    /// Sends a small message between two gateways, and sets the time of the next one.
    fn probe(&mut self, now: Moment) {
        let from = self.rng.random_range(0..self.scenario.gateways);
        let to = self.rng.random_range(0..self.scenario.gateways);
        if from != to && self.faults[from].is_none() && self.faults[to].is_none() {
            let arrived = Event::ProbeArrived { sent_at: now };
            self.network.send(from, to, SMALL_BYTES, arrived);
        }
        self.network.set_timer(now + PROBE_INTERVAL, Event::Probe);
    }
}

fn send_to_all(
    network: &mut Network<Event>,
    scenario: &Scenario,
    from: usize,
    event: impl Fn(usize) -> Event,
) {
    for to in (0..scenario.gateways).filter(|to| *to != from) {
        network.send(from, to, SMALL_BYTES, event(to));
    }
}
