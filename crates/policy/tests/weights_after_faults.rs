//! How long versions take to reach every host when owners are lost, a version is superseded, the origin cannot be
//! reached, or hosts send corrupt chunks; at the rates of real links.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use balsamjunction_policy::{
    fetch::{
        Distribution, FetchAction, FetchFailure, FetchPlan, OriginState, Participants, Source,
    },
    version_queue::VersionQueue,
    Moment,
};
use balsamjunction_protocol::{ChunkMap, ChunkMapResponse, MemberDocument, MemberState};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol_str::{format_smolstr, SmolStr};

const CHUNKS: usize = 48;
const CHUNK_BYTES: f64 = 49_152.0;
const STEP: Moment = Moment::from_millis(20);
const DATA_CENTRES: usize = 3;
/// Bytes per step on a host's link of 9.4 Mbit/s, of which chunks may use nine tenths.
const HOST_BYTES: f64 = 9.4e6 / 8.0 * 0.9 * 0.02;
/// Bytes per step on the origin's link of 9 Mbit/s.
const ORIGIN_BYTES: f64 = 9.0e6 / 8.0 * 0.02;
/// Chunks that a host sends in parallel, and those that it sends or queues.
const MAX_UPLOADS: usize = 2;
const MAX_QUEUED: usize = 8;
/// Time after which a fetch from a host that does not respond fails.
const RESPONSE_TIMEOUT: Moment = Moment::from_millis(400);
/// Time without progress after which a fetch counts as stalled.
const STALL_TIMEOUT: Moment = Moment::from_millis(1_500);
/// Time after which a host that does not respond is removed from the list of members.
const MEMBER_TIMEOUT: Moment = Moment::from_millis(2_500);
/// Most requests for one chunk of one version that may reach the origin: the owner, seven substitutes, and a second one of
/// each whose response was lost.
const MAX_REQUESTS: u32 = 16;

/// What happens during a run.
#[derive(Clone, Debug, Default)]
struct Faults {
    /// Hosts that lose everything at a time, and are back after the given time with the newest version only.
    restarts: Vec<(Moment, Moment, usize)>,
    /// When version 3 is announced.
    superseded_at: Option<Moment>,
    /// From when to when the origin cannot be reached.
    outage: Option<(Moment, Moment)>,
    /// Hosts that send corrupt chunks.
    corrupt: BTreeSet<usize>,
}

struct Upload {
    to: usize,
    version: u64,
    chunk: usize,
    remaining: f64,
}

/// One version at a host: its chunks, and the plan that fetches them, if one is running.
struct Version {
    stored: ChunkMap,
    count: usize,
    plan: Option<FetchPlan>,
    distribution: Distribution,
    started: Moment,
    progress_at: Moment,
    /// When a peer asked for its chunks.
    demanded_at: Option<Moment>,
}

struct Host {
    up: bool,
    down_since: Moment,
    targets: Vec<u64>,
    versions: BTreeMap<u64, Version>,
    queue: VersionQueue<u64>,
    main: Option<u64>,
    origin: OriginState,
    completed: BTreeMap<u64, Moment>,
    incarnation: u32,
}

/// Simulates hosts that fetch versions from each other and the loops that run their plans.
struct Fleet {
    now: Moment,
    hosts: Vec<Host>,
    uploads: Vec<VecDeque<Upload>>,
    origin: Vec<Upload>,
    /// Responses under way: when they arrive, to whom, for which version, and what they are.
    pending: Vec<(Moment, usize, u32, u64, Outcome)>,
    requests: BTreeMap<(u64, usize), u32>,
    first_asked_after_outage: Option<Moment>,
    faults: Faults,
    rng: Pcg64Mcg,
}

enum Outcome {
    Probe(SmolStr, Option<ChunkMapResponse>),
    Failure(usize, Source, FetchFailure),
}

fn name(n: usize) -> SmolStr {
    format_smolstr!("h{n}")
}

fn number(host: &SmolStr) -> usize {
    host[1..].parse().expect("host names end in a number")
}

impl Fleet {
    fn new(hosts: usize, faults: Faults, seed: u64) -> Self {
        let new_host = |_| Host {
            up: true,
            down_since: Moment::ZERO,
            targets: vec![2],
            versions: BTreeMap::new(),
            queue: VersionQueue::default(),
            main: None,
            origin: OriginState::default(),
            completed: BTreeMap::new(),
            incarnation: 0,
        };
        Self {
            now: Moment::ZERO,
            hosts: (0..hosts).map(new_host).collect(),
            uploads: (0..hosts).map(|_| VecDeque::new()).collect(),
            origin: Vec::new(),
            pending: Vec::new(),
            requests: BTreeMap::new(),
            first_asked_after_outage: None,
            faults,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn origin_is_up(&self) -> bool {
        let outage = self.faults.outage;
        !outage.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    fn participants(&self, n: usize) -> Participants {
        let is_live = |other: &usize| {
            let host = &self.hosts[*other];
            host.up || self.now.saturating_sub(host.down_since) < MEMBER_TIMEOUT
        };
        let members = (0..self.hosts.len()).filter(is_live);
        Participants {
            host: name(n),
            data_centre: format_smolstr!("dc{}", n % DATA_CENTRES),
            members: members
                .map(|n| MemberDocument {
                    host: name(n),
                    data_centre: format_smolstr!("dc{}", n % DATA_CENTRES),
                    address: format_smolstr!("10.0.0.1:{}", 1_000 + n),
                    state: MemberState::Live,
                })
                .collect(),
        }
    }

    /// Applies restarts and announcements that are due.
    fn apply_faults(&mut self) -> bool {
        let mut changed = false;
        for (at, length, n) in self.faults.restarts.clone() {
            if self.now == at {
                let incarnation = self.hosts[n].incarnation + 1;
                self.hosts[n] = Host {
                    up: false,
                    down_since: self.now,
                    targets: Vec::new(),
                    versions: BTreeMap::new(),
                    queue: VersionQueue::default(),
                    main: None,
                    origin: OriginState::default(),
                    completed: BTreeMap::new(),
                    incarnation,
                };
                self.uploads[n].clear();
                self.origin.retain(|upload| upload.to != n);
                self.uploads
                    .iter_mut()
                    .for_each(|q| q.retain(|u| u.to != n));
                changed = true;
            }
            if self.now == at + length {
                let newest = match self.faults.superseded_at {
                    Some(superseded_at) if superseded_at <= self.now => 3,
                    _ => 2,
                };
                self.hosts[n].up = true;
                self.hosts[n].targets = vec![newest];
                changed = true;
            }
            changed |= self.now == at + MEMBER_TIMEOUT;
        }
        if self.faults.superseded_at == Some(self.now) {
            for host in self.hosts.iter_mut().filter(|host| host.up) {
                host.targets.push(3);
                host.targets.dedup();
            }
        }
        changed
    }

    fn missing(&self, n: usize) -> Vec<u64> {
        let host = &self.hosts[n];
        let newer = |v: &&u64| !host.completed.contains_key(v);
        let targets = host.targets.iter().rev();
        targets.take_while(newer).copied().collect()
    }

    /// Selects what a host fetches, like the loops of a stager.
    fn schedule(&mut self, n: usize) {
        let now = self.now;
        let missing = self.missing(n);
        let host = &mut self.hosts[n];
        host.queue.record_origin_state(host.origin.is_down());
        for version in &missing {
            if let Some(state) = host.versions.get(version) {
                host.queue.record_stored(version, state.count);
            }
        }
        if let Some(main) = host.main {
            let state = &host.versions[&main];
            let idle = now.saturating_sub(state.progress_at.max(state.started));
            let counts = (state.count, CHUNKS);
            let stalled = idle > STALL_TIMEOUT;
            if stalled {
                host.queue.mark_stalled(now, &main);
            }
            let done = state.count == CHUNKS;
            if done || stalled || host.queue.should_yield(now, &main, &missing, counts, idle) {
                host.main = None;
                if let Some(state) = host.versions.get_mut(&main) {
                    state.plan = None;
                }
            }
        }
        if host.main.is_none() {
            host.main = host.queue.next_version(now, &missing).copied();
            if let Some(main) = host.main {
                self.start_plan(n, main, Distribution::Owners);
            }
        }
        let host = &self.hosts[n];
        let newest = missing.first().copied();
        let demanded = host.versions.iter().filter(|(version, state)| {
            let recent = state
                .demanded_at
                .is_some_and(|at| now.saturating_sub(at) < Moment::from_secs(1));
            recent && host.targets.last().is_some_and(|last| **version < *last)
        });
        let mut duties: Vec<u64> = newest.into_iter().collect();
        duties.extend(demanded.map(|(version, _)| *version));
        for version in duties {
            let state = self.hosts[n].versions.get(&version);
            let idle = state.is_none_or(|state| state.plan.is_none() && state.count < CHUNKS);
            if self.hosts[n].main != Some(version) && idle {
                self.start_plan(n, version, Distribution::OwnChunks);
            }
        }
    }

    fn start_plan(&mut self, n: usize, version: u64, distribution: Distribution) {
        let participants = self.participants(n);
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let now = self.now;
        let host = &mut self.hosts[n];
        let version_name = format_smolstr!("m@{version}");
        let plan = FetchPlan::new(now, version_name, CHUNKS, distribution, participants, rng);
        let mut plan = plan
            .with_origin_rate(CHUNK_BYTES as usize, 9_000)
            .with_origin_state(host.origin);
        let state = host
            .versions
            .entry(version)
            .or_insert_with(|| new_version(now));
        let stored = (0..CHUNKS).filter(|chunk| state.stored.has(*chunk));
        stored.for_each(|chunk| plan.record_stored(chunk));
        state.plan = Some(plan);
        state.distribution = distribution;
        state.started = now;
    }

    fn status(&mut self, n: usize, version: u64) -> Option<ChunkMapResponse> {
        let now = self.now;
        let uploads = self.uploads[n].len() as u32;
        let host = &mut self.hosts[n];
        if !host.up {
            return None;
        }
        let state = host
            .versions
            .entry(version)
            .or_insert_with(|| new_version(now));
        state.demanded_at = Some(now);
        let plan = state.plan.as_ref();
        Some(ChunkMapResponse {
            map: state.stored.clone(),
            fetching_from_origin: plan.map_or_else(ChunkMap::default, FetchPlan::missing_owned),
            uploads,
            origin_age_ms: host.origin.age_ms(now),
            ..ChunkMapResponse::default()
        })
    }

    fn execute(&mut self, n: usize, version: u64, action: FetchAction) {
        let now = self.now;
        let incarnation = self.hosts[n].incarnation;
        let (due, outcome) = match action {
            FetchAction::Probe { host, .. } => {
                let status = self.status(number(&host), version);
                let due = match status {
                    Some(_) => now + STEP,
                    None => now + RESPONSE_TIMEOUT,
                };
                (due, Outcome::Probe(host, status))
            }
            FetchAction::Fetch { chunk, source } => {
                let upload = Upload {
                    to: n,
                    version,
                    chunk,
                    remaining: CHUNK_BYTES,
                };
                match &source {
                    Source::Origin if self.origin_is_up() => {
                        *self.requests.entry((version, chunk)).or_default() += 1;
                        if self.faults.outage.is_some_and(|(_, to)| now >= to) {
                            self.first_asked_after_outage.get_or_insert(now);
                        }
                        self.origin.push(upload);
                        return;
                    }
                    Source::Origin => {
                        let failure = Outcome::Failure(chunk, source, FetchFailure::Unavailable);
                        (now + STEP, failure)
                    }
                    Source::Peer { host, .. } => {
                        let other = number(host);
                        if self.hosts[other].up && self.uploads[other].len() < MAX_QUEUED {
                            self.uploads[other].push_back(upload);
                            return;
                        }
                        let (due, failure) = match self.hosts[other].up {
                            true => (now + STEP, FetchFailure::Busy),
                            false => (now + RESPONSE_TIMEOUT, FetchFailure::Unavailable),
                        };
                        (due, Outcome::Failure(chunk, source, failure))
                    }
                }
            }
        };
        self.pending.push((due, n, incarnation, version, outcome));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition::<Vec<_>, _>(|pending| pending.0 <= now);
        self.pending = later;
        for (_, n, incarnation, version, outcome) in due {
            let host = &mut self.hosts[n];
            if host.incarnation != incarnation {
                continue;
            }
            let plan = host
                .versions
                .get_mut(&version)
                .and_then(|v| v.plan.as_mut());
            let Some(plan) = plan else {
                continue;
            };
            match outcome {
                Outcome::Probe(other, status) => plan.record_probe(now, &other, status),
                Outcome::Failure(chunk, source, failure) => {
                    plan.record_failure(now, chunk, &source, failure);
                }
            }
            host.origin = plan.origin_state();
        }
    }

    fn transfer(&mut self) {
        let mut budget = vec![HOST_BYTES; self.hosts.len()];
        let mut arrived = Vec::new();
        if self.origin_is_up() {
            let share = ORIGIN_BYTES / self.origin.len().max(1) as f64;
            for upload in &mut self.origin {
                let sent = share.min(budget[upload.to]);
                budget[upload.to] -= sent;
                upload.remaining -= sent;
            }
            let (done, rest) = std::mem::take(&mut self.origin)
                .into_iter()
                .partition(|upload: &Upload| upload.remaining <= 0.0);
            self.origin = rest;
            arrived.extend(done.into_iter().map(|upload: Upload| (None, upload)));
        }
        for (n, queue) in self.uploads.iter_mut().enumerate() {
            if !self.hosts[n].up {
                queue.clear();
            }
            let share = HOST_BYTES / queue.len().clamp(1, MAX_UPLOADS) as f64;
            for upload in queue.iter_mut().take(MAX_UPLOADS) {
                let sent = share.min(budget[upload.to]);
                budget[upload.to] -= sent;
                upload.remaining -= sent;
            }
            while queue.iter().any(|upload| upload.remaining <= 0.0) {
                let done = queue.iter().position(|upload| upload.remaining <= 0.0);
                arrived.extend(done.and_then(|at| queue.remove(at)).map(|u| (Some(n), u)));
            }
        }
        for (from, upload) in arrived {
            self.receive(from, &upload);
        }
    }

    fn receive(&mut self, from: Option<usize>, upload: &Upload) {
        let now = self.now;
        let source = from.map_or(Source::Origin, |from| Source::Peer {
            host: name(from),
            address: "10.0.0.1:1".parse().expect("a valid address"),
        });
        let is_corrupt = from.is_some_and(|from| self.faults.corrupt.contains(&from));
        let status = from.and_then(|from| self.status(from, upload.version));
        let host = &mut self.hosts[upload.to];
        let Some(state) = host.versions.get_mut(&upload.version) else {
            return;
        };
        if !is_corrupt && !state.stored.has(upload.chunk) {
            state.stored.set(upload.chunk);
            state.count += 1;
            state.progress_at = now;
        }
        if let Some(plan) = &mut state.plan {
            if let (Some(from), Some(status)) = (from, status) {
                plan.record_peer_state(now, &name(from), status);
            }
            match is_corrupt {
                true => plan.record_failure(now, upload.chunk, &source, FetchFailure::Corrupt),
                false => plan.record_arrival(now, upload.chunk, &source),
            }
            host.origin = plan.origin_state();
        }
        if state.count == CHUNKS {
            host.completed.entry(upload.version).or_insert(now);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.apply_faults() {
            for n in 0..self.hosts.len() {
                let participants = self.participants(n);
                let versions = self.hosts[n].versions.values_mut();
                for plan in versions.filter_map(|state| state.plan.as_mut()) {
                    plan.set_participants(participants.clone());
                }
            }
        }
        self.deliver();
        for n in (0..self.hosts.len())
            .filter(|n| self.hosts[*n].up)
            .collect::<Vec<_>>()
        {
            self.schedule(n);
            let now = self.now;
            let mut actions = Vec::new();
            let origin = self.origin.iter().filter(|upload| upload.to == n);
            let in_flight: Vec<_> = origin.map(|u| (u.version, u.chunk)).collect();
            for (version, state) in &mut self.hosts[n].versions {
                if let Some(plan) = &mut state.plan {
                    let mut map = ChunkMap::empty(CHUNKS);
                    let of_version = in_flight.iter().filter(|(v, _)| v == version);
                    of_version.for_each(|(_, chunk)| map.set(*chunk));
                    plan.set_in_flight(map);
                    let stored = (0..CHUNKS).filter(|chunk| state.stored.has(*chunk));
                    stored.for_each(|chunk| plan.record_stored(chunk));
                    actions.extend(plan.next_actions(now).into_iter().map(|a| (*version, a)));
                }
            }
            for (version, action) in actions {
                self.execute(n, version, action);
            }
        }
        self.transfer();
    }

    /// Runs until every host has `version`; returns when the first and the last one got it.
    fn run(&mut self, version: u64) -> (Moment, Moment) {
        let has_it = |host: &Host| host.completed.contains_key(&version);
        while !self.hosts.iter().all(has_it) {
            let lacking = self.hosts.iter().filter(|host| !has_it(host)).count();
            assert!(
                self.now < Moment::from_secs(40),
                "{lacking} hosts lack version {version}"
            );
            self.step();
        }
        let times = self.hosts.iter().map(|host| host.completed[&version]);
        let first = times.clone().min().expect("there are hosts");
        (first, times.max().expect("there are hosts"))
    }

    fn max_requests(&self) -> u32 {
        self.requests.values().copied().max().unwrap_or(0)
    }

    /// Copies of a version that the origin was asked for.
    fn copies(&self, version: u64) -> f64 {
        let of_version = self.requests.iter().filter(|((v, _), _)| *v == version);
        of_version.map(|(_, count)| f64::from(*count)).sum::<f64>() / CHUNKS as f64
    }
}

fn new_version(now: Moment) -> Version {
    Version {
        stored: ChunkMap::empty(CHUNKS),
        count: 0,
        plan: None,
        distribution: Distribution::Owners,
        started: now,
        progress_at: now,
        demanded_at: None,
    }
}

fn millis(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// Time of one copy over the origin's link plus one over a host's link.
fn fluid_bound() -> Moment {
    let copy = CHUNKS as f64 * CHUNK_BYTES;
    STEP.mul_f64(copy / ORIGIN_BYTES + copy / HOST_BYTES)
}

/// Two owners are killed for half a second and learn only of the newest version.
fn two_restarts() -> Vec<(Moment, Moment, usize)> {
    vec![
        (millis(1_600), millis(500), 1),
        (millis(1_600), millis(500), 4),
    ]
}

fn report(hosts: usize, name: &str, fleet: &Fleet, version: u64, times: (Moment, Moment)) {
    println!(
        "{name}, {hosts} hosts: first {:?}, last {:?}, bound {:?}, copies {:.2}, most requests {}",
        times.0,
        times.1,
        fluid_bound(),
        fleet.copies(version),
        fleet.max_requests()
    );
}

/// Two owners of a version are lost midway, and come back without knowing it.
fn assert_owners_lost_midway_are_replaced(hosts: usize) {
    let faults = Faults {
        restarts: two_restarts(),
        ..Faults::default()
    };
    let mut fleet = Fleet::new(hosts, faults, 1);

    let times = fleet.run(2);

    report(hosts, "owners lost", &fleet, 2, times);
    assert!(fleet.max_requests() <= MAX_REQUESTS);
    assert!(fleet.copies(2) <= 2.0, "{:.2} copies", fleet.copies(2));
    assert!(times.0 <= fluid_bound(), "{:?}", times.0);
}

// Guards against a version that waits for owners that restarted, while the origin responds.
#[test]
fn owners_lost_midway_are_replaced() {
    for hosts in [15, 58] {
        assert_owners_lost_midway_are_replaced(hosts);
    }
}

#[test]
fn owners_lost_midway_are_replaced_among_204_hosts() {
    assert_owners_lost_midway_are_replaced(204);
}

/// When the origin can be reached again.
const BACK_AT: Moment = Moment::from_millis(8_500);

/// Runs a version that supersedes another one while the origin cannot be reached, with the faults of `faults`; returns the
/// times from the return of the origin until the first and the last host have it.
fn run_outage(hosts: usize, faults: Faults) -> (Fleet, Moment, Moment) {
    let faults = Faults {
        superseded_at: Some(millis(2_000)),
        outage: Some((millis(2_500), BACK_AT)),
        ..faults
    };
    let mut fleet = Fleet::new(hosts, faults, 1);
    let times = fleet.run(3);
    report(hosts, "outage", &fleet, 3, times);
    let after = (times.0 - BACK_AT, times.1 - BACK_AT);
    println!("after the return: first {:?}, last {:?}", after.0, after.1);
    (fleet, after.0, after.1)
}

fn all_faults() -> Faults {
    Faults {
        restarts: two_restarts(),
        corrupt: [2, 7].into(),
        ..Faults::default()
    }
}

// Guards against an origin that is back and is not asked, or is asked for the same chunk by many hosts.
#[test]
fn an_origin_that_is_back_is_asked_soon_and_by_few_hosts_despite_all_faults() {
    for hosts in [15, 58] {
        let (fleet, _, _) = run_outage(hosts, all_faults());

        let asked = fleet.first_asked_after_outage;
        let asked = asked.expect("the origin was asked") - BACK_AT;
        assert!(asked <= millis(200), "asked after {asked:?}");
        assert!(fleet.max_requests() <= MAX_REQUESTS);
        assert!(fleet.copies(3) <= 2.0, "{:.2} copies", fleet.copies(3));
    }
}

// Guards against chunks that are complete only at the end, and against hosts that still wait for an older version: 5.4 s
// passed from the return of the origin until the first engine had the version.
#[test]
fn a_version_arrives_within_three_seconds_of_the_return_of_the_origin() {
    let (_, first, last) = run_outage(58, Faults::default());

    assert!(first <= millis(3_000), "first {first:?}");
    assert!(last <= millis(3_600), "last {last:?}");
}
