//! A fleet of entries in front of upstreams, in virtual time.

use std::collections::HashSet;

use balsamjunction_policy::rendezvous;
use balsamjunction_protocol::mesh::CrashEvidence;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;

/// Step of the virtual time.
pub const STEP: Moment = Moment::from_millis(10);
const EXCHANGE_INTERVAL_MS: u64 = 400;
/// Interval between pushes of an entry, in a fleet of up to 64 entries.
const PUSH_INTERVAL: Moment = Moment::from_millis(100);
/// Time from the beginning of a response until an upstream crashes.
const CRASH_AFTER: Moment = Moment::from_millis(90);
/// Time from the beginning of a response until it counts as sound, and until it ends.
const SOUND_AFTER: Moment = Moment::from_millis(300);
const RESPONSE_TIME: Moment = Moment::from_millis(900);
/// Time until a crashed upstream is back.
const RESTART_TIME: Moment = Moment::from_secs(3);
/// Upstreams that a request is sent to at most.
const MAX_ATTEMPTS: u32 = 2;
/// Number of first parts that sound prompts begin with, and of second parts that follow.
const FIRST_PARTS: u64 = 6;
const SECOND_PARTS: u64 = 40;

#[derive(Clone)]
struct Request {
    entry: usize,
    incarnation: u64,
    parts: Vec<PromptPart>,
    deadly: bool,
    attempt: u32,
    /// When the upstream begins to respond.
    begins_at: Moment,
    known_sound: bool,
}

struct Engine {
    incarnation: u64,
    up_at: Moment,
    requests: Vec<Request>,
}

pub struct Entry {
    pub suspects: CrashSuspects,
    /// When its clock began.
    started_at: Moment,
    incarnation: u64,
    pub frozen_until: Moment,
    pub cut_until: Moment,
    /// The latest time at which it was disturbed.
    disturbed_at: Option<Moment>,
    next_push: Moment,
}

enum Message {
    Break {
        entry: usize,
        upstream: UpstreamId,
        request: Request,
        began: bool,
    },
    Push {
        from: usize,
        to: usize,
        evidence: CrashEvidence,
    },
}

/// A request with a deadly part that was sent to an upstream.
pub struct Reach {
    pub part: PromptPart,
    pub at: Moment,
    /// Whether the entry had been undisturbed for [`CONTACT_AFTER`].
    pub in_contact: bool,
}

pub struct Fleet {
    pub now: Moment,
    pub entries: Vec<Entry>,
    engines: Vec<Engine>,
    messages: Vec<(Moment, Message)>,
    pub deadly: HashSet<PromptPart>,
    /// Requests a second, of the whole fleet.
    pub sound_per_s: f64,
    pub deadly_per_s: f64,
    /// Share of pushes and exchanges that are lost.
    pub loss: f64,
    rng: Pcg64Mcg,
    pub reaches: Vec<Reach>,
    /// Crashes by deadly parts.
    pub crashes: Vec<(PromptPart, Moment)>,
    /// Sound requests: when, and whether they were refused because of a part.
    pub sound: Vec<(Moment, bool)>,
    /// Crashes a second of other causes, one engine at a time.
    pub other_crashes_per_s: f64,
    /// Members that each entry does not know of.
    pub unknown: Vec<HashSet<usize>>,
    /// Whether identical requests are suspected instead of parts of prompts.
    identical: bool,
    next_id: u64,
}

impl Fleet {
    pub fn new(entries: usize, engines: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: Moment::ZERO,
            entries: Vec::new(),
            engines: Vec::new(),
            messages: Vec::new(),
            deadly: HashSet::new(),
            sound_per_s: 100.0,
            deadly_per_s: 0.0,
            loss: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            reaches: Vec::new(),
            crashes: Vec::new(),
            sound: Vec::new(),
            other_crashes_per_s: 0.0,
            unknown: vec![HashSet::new(); entries],
            identical: false,
            next_id: 0x1_0000_0000,
        };
        fleet
            .entries
            .extend((0..entries).map(|_| new_entry(Moment::ZERO, 0, new_suspects())));
        fleet.engines.extend((0..engines).map(|_| Engine {
            incarnation: 1,
            up_at: Moment::ZERO,
            requests: Vec::new(),
        }));
        fleet
    }

    /// A fleet that finds identical requests which crash upstreams. Of the sound ones, a tenth is [`FIRST`].
    pub fn of_requests(entries: usize, engines: usize, seed: u64) -> Self {
        let mut fleet = Self::new(entries, engines, seed);
        fleet.identical = true;
        for entry in &mut fleet.entries {
            entry.suspects = new_request_suspects();
        }
        fleet
    }

    /// Restarts an entry, which forgets everything.
    pub fn restart(&mut self, n: usize) {
        let suspects = match self.identical {
            true => new_request_suspects(),
            false => new_suspects(),
        };
        let mut entry = new_entry(self.now, self.entries[n].incarnation + 1, suspects);
        entry.disturbed_at = Some(self.now);
        self.entries[n] = entry;
        self.exchange(n);
    }

    pub fn freeze(&mut self, n: usize, duration: Moment) {
        self.entries[n].frozen_until = self.now + duration;
        self.entries[n].disturbed_at = Some(self.now + duration);
    }

    /// Cuts an entry off from the others, but not from the upstreams.
    pub fn cut(&mut self, n: usize, duration: Moment) {
        self.entries[n].cut_until = self.now + duration;
        self.entries[n].disturbed_at = Some(self.now + duration);
    }

    pub fn run(&mut self, duration: Moment) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.deliver_messages();
            self.run_engines();
            self.arrive();
            for n in 0..self.entries.len() {
                if self.now < self.entries[n].frozen_until {
                    continue;
                }
                let phase = self.now.as_millis() as u64 + 10 * n as u64;
                if phase.is_multiple_of(EXCHANGE_INTERVAL_MS) {
                    self.exchange(n);
                }
                self.push(n);
            }
            if self.other_crashes_per_s > 0.0 {
                let probability = self.other_crashes_per_s * STEP.as_secs_f64();
                if self.rng.random_bool(probability.min(1.0)) {
                    let n = self.rng.random_range(0..self.engines.len());
                    self.crash_engine(n);
                }
            }
        }
    }

    fn arrive(&mut self) {
        for (per_s, deadly) in [(self.sound_per_s, false), (self.deadly_per_s, true)] {
            let mut expected = per_s * STEP.as_secs_f64();
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    let entry = self.rng.random_range(0..self.entries.len());
                    self.receive(entry, deadly);
                }
                expected -= 1.0;
            }
        }
    }

    fn receive(&mut self, entry: usize, deadly: bool) {
        self.next_id += 1;
        let second = PromptPart(0x500 + self.rng.random_range(0..SECOND_PARTS));
        let mut parts = vec![
            PromptPart(FIRST.0 + self.rng.random_range(0..FIRST_PARTS)),
            second,
        ];
        if deadly {
            let all: Vec<PromptPart> = self.deadly.iter().copied().collect();
            let mut sorted = all;
            sorted.sort();
            // As on the platform: sound requests with the same first part exist, but are the fewer ones.
            parts = vec![FIRST, sorted[self.rng.random_range(0..sorted.len())]];
        }
        if self.identical && deadly {
            parts.remove(0);
        } else if self.identical {
            parts = match self.rng.random_bool(0.1) {
                true => vec![FIRST],
                false => vec![PromptPart(self.next_id)],
            };
        }
        let request = Request {
            entry,
            incarnation: self.entries[entry].incarnation,
            parts,
            deadly,
            attempt: 0,
            begins_at: Moment::ZERO,
            known_sound: false,
        };
        if self.now >= self.entries[entry].frozen_until {
            self.send(request);
        }
    }

    fn send(&mut self, mut request: Request) {
        let now = self.now;
        let own = request.entry.to_string();
        let unknown = &self.unknown[request.entry];
        let known = (0..self.entries.len()).filter(|n| !unknown.contains(n));
        let hosts: Vec<String> = known.map(|n| n.to_string()).collect();
        let is_tester = |part: PromptPart, count: usize| {
            let hosts = hosts.iter().map(String::as_str);
            let ranked = rendezvous::rank(&part.0.to_le_bytes(), hosts);
            ranked.iter().take(count).any(|host| *host == own)
        };
        let entry = &mut self.entries[request.entry];
        let clock = entry.clock(now);
        let refused = entry
            .suspects
            .admit(clock, &request.parts, is_tester)
            .is_err();
        if !request.deadly && request.attempt == 0 {
            self.sound.push((now, refused));
        }
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|n| self.engines[*n].up_at <= now)
            .collect();
        if refused || up.is_empty() {
            return;
        }
        if request.deadly {
            let in_contact = entry
                .disturbed_at
                .is_none_or(|at| now >= at + CONTACT_AFTER);
            self.reaches.push(Reach {
                part: request.parts[request.parts.len() - 1],
                at: now,
                in_contact,
            });
        }
        request.attempt += 1;
        request.begins_at = now + ms(self.rng.random_range(10..150));
        let engine = up[self.rng.random_range(0..up.len())];
        self.engines[engine].requests.push(request);
    }

    fn run_engines(&mut self) {
        let now = self.now;
        let response_time = match self.identical {
            true => SOUND_AFTER,
            false => RESPONSE_TIME,
        };
        for n in 0..self.engines.len() {
            let crashing = self.engines[n].requests.iter().find(|request| {
                let deadly = request.parts.iter().any(|part| self.deadly.contains(part));
                deadly && now >= request.begins_at + CRASH_AFTER
            });
            if let Some(part) = crashing.and_then(|request| request.parts.last().copied()) {
                self.crashes.push((part, now));
                self.crash_engine(n);
                continue;
            }
            let engine = &mut self.engines[n];
            for request in &mut engine.requests {
                let entry = &mut self.entries[request.entry];
                let sound = now >= request.begins_at + SOUND_AFTER;
                let same = entry.incarnation == request.incarnation;
                if sound && !request.known_sound && same && now >= entry.frozen_until {
                    request.known_sound = true;
                    let clock = entry.clock(now);
                    entry.suspects.record_sound(clock, &request.parts);
                }
            }
            engine
                .requests
                .retain(|request| now < request.begins_at + response_time);
        }
    }

    pub fn crash_engine(&mut self, n: usize) {
        let now = self.now;
        let engine = &mut self.engines[n];
        let upstream = (format!("e{n}").into(), engine.incarnation);
        engine.incarnation += 1;
        engine.up_at = now + RESTART_TIME;
        for request in std::mem::take(&mut engine.requests) {
            let began = now >= request.begins_at;
            let at = now + ms(self.rng.random_range(1..60));
            let message = Message::Break {
                entry: request.entry,
                upstream: UpstreamId::clone(&upstream),
                request,
                began,
            };
            self.messages.push((at, message));
        }
    }

    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let due = self.messages.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Message> = due.map(|(_, message)| message).collect();
        for message in due {
            let (Message::Break { entry: to, .. } | Message::Push { to, .. }) = &message;
            let frozen_until = self.entries[*to].frozen_until;
            if now < frozen_until {
                // A frozen entry finds broken connections when it wakes; pushes have timed out by then.
                if matches!(message, Message::Break { .. }) {
                    self.messages.push((frozen_until, message));
                }
                continue;
            }
            match message {
                Message::Break {
                    entry,
                    upstream,
                    request,
                    began,
                } => self.observe_break(entry, &upstream, request, began),
                Message::Push { from, to, evidence } => {
                    if self.connected(from, to) {
                        let entry = &mut self.entries[to];
                        let clock = entry.clock(now);
                        entry.suspects.merge(clock, clock, &evidence);
                    }
                }
            }
        }
    }

    fn observe_break(&mut self, n: usize, upstream: &UpstreamId, request: Request, began: bool) {
        let entry = &mut self.entries[n];
        if entry.incarnation != request.incarnation {
            return;
        }
        if !request.known_sound {
            let clock = entry.clock(self.now);
            let suspects = &mut entry.suspects;
            suspects.record_break(clock, upstream, &request.parts, began);
        }
        if request.attempt < MAX_ATTEMPTS {
            self.send(Request {
                known_sound: false,
                ..request
            });
        }
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        let cut = |n: usize| self.now < self.entries[n].cut_until;
        !cut(a) && !cut(b)
    }

    fn is_lost(&mut self) -> bool {
        self.loss > 0.0 && self.rng.random_bool(self.loss)
    }

    fn push(&mut self, n: usize) {
        let now = self.now;
        if now < self.entries[n].next_push {
            return;
        }
        let clock = self.entries[n].clock(now);
        let Some(evidence) = self.entries[n].suspects.take_news(clock) else {
            return;
        };
        let scale = (self.entries.len() as f64 / 64.0).max(1.0);
        self.entries[n].next_push = now + PUSH_INTERVAL.mul_f64(scale);
        for to in (0..self.entries.len()).filter(|to| *to != n) {
            if self.unknown[n].contains(&to) || self.is_lost() {
                continue;
            }
            let at = now + ms(self.rng.random_range(1..60));
            let evidence = evidence.clone();
            let message = Message::Push {
                from: n,
                to,
                evidence,
            };
            self.messages.push((at, message));
        }
    }

    /// Asks another entry for its observations.
    fn exchange(&mut self, n: usize) {
        if self.entries.len() < 2 {
            return;
        }
        let now = self.now;
        let peer = (n + self.rng.random_range(1..self.entries.len())) % self.entries.len();
        let known = !self.unknown[n].contains(&peer);
        let reachable = known && self.connected(n, peer) && now >= self.entries[peer].frozen_until;
        if !reachable || self.is_lost() {
            return;
        }
        let digest = self.entries[n].suspects.digest();
        if self.entries[peer].suspects.digest() != digest {
            let peer = &self.entries[peer];
            let evidence = peer.suspects.evidence(peer.clock(now));
            let entry = &mut self.entries[n];
            let clock = entry.clock(now);
            let queried_at = clock.saturating_sub(ms(20));
            entry.suspects.merge(clock, queried_at, &evidence);
        }
    }

    /// Requests with a part that undisturbed entries sent later than [`CONTACT_AFTER`] after its fifth crash, or identical
    /// requests after their third.
    pub fn late_reaches(&self, part: PromptPart) -> usize {
        let crashes: Vec<Moment> = self
            .crashes
            .iter()
            .filter(|(by, _)| *by == part)
            .map(|(_, at)| *at)
            .collect();
        let counted = if self.identical { 3 } else { 5 };
        let Some(last) = crashes.get(counted - 1) else {
            return 0;
        };
        let late = self.reaches.iter().filter(|reach| {
            reach.part == part && reach.in_contact && reach.at > *last + CONTACT_AFTER
        });
        late.count()
    }

    /// Share of the sound requests since `from` that were refused because of a part.
    pub fn refused_share(&self, from: Moment) -> f64 {
        let since: Vec<bool> = self
            .sound
            .iter()
            .filter(|(at, _)| *at >= from)
            .map(|(_, refused)| *refused)
            .collect();
        let refused = since.iter().filter(|refused| **refused).count();
        refused as f64 / since.len().max(1) as f64
    }
}

impl Entry {
    /// A time on the clock of this entry.
    fn clock(&self, at: Moment) -> Moment {
        at.saturating_sub(self.started_at)
    }
}

fn new_entry(started_at: Moment, incarnation: u64, suspects: CrashSuspects) -> Entry {
    Entry {
        suspects,
        started_at,
        incarnation,
        frozen_until: Moment::ZERO,
        cut_until: Moment::ZERO,
        disturbed_at: None,
        next_push: Moment::ZERO,
    }
}
