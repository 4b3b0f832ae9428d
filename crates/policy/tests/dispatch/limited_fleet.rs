//! A fleet of entries and one upstream that states a limit, in virtual time: what the upstream receives from
//! all of them together while entries join, restart, freeze and lose each other, and limits change.

use balsamjunction_policy::{membership::Membership, stated_limits::StatedLimits};
use balsamjunction_protocol::mesh::{LimitReport, MemberRecord, ProcessRole};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;

/// Step of the virtual time.
const STEP: Moment = Moment::from_millis(10);
/// Interval between exchanges of each entry, and between configurations of its dispatcher.
const EXCHANGE_INTERVAL_MS: u64 = 400;
/// Interval between the requests of each entry's callers.
const REQUEST_INTERVAL_MS: u64 = 50;
/// Time from a request's arrival to the end of its response.
const SERVICE_TIME: Moment = Moment::from_millis(20);
/// Window in which the platform counts, and the time after the first limit from which it does.
const WINDOW: Moment = Moment::from_secs(4);
const SETTLING_TIME: Moment = Moment::from_secs(3);
/// When the upstream states its first limit. All entries that were there from the start know each other.
const LIMITED_FROM: Moment = Moment::from_secs(10);

const LIMITED: &str = "limited";

/// One entry, with its own view of the others.
struct SimulatedEntry {
    cluster: TestCluster,
    members: Membership,
    limits: StatedLimits,
    /// It does nothing before this time.
    frozen_until: Moment,
    /// Entries of different partitions exchange nothing.
    partition: usize,
    /// Whether its callers send nothing.
    idle: bool,
}

enum Message {
    Response {
        entry: usize,
        incarnation: u64,
        selected: SelectedUpstream,
        sent_at: Moment,
        limit: Option<f64>,
    },
    Push {
        to: usize,
        from: usize,
        reports: Vec<LimitReport>,
    },
}

struct Fleet {
    now: Moment,
    entries: Vec<SimulatedEntry>,
    /// The limit that the upstream states now.
    limit: Option<f64>,
    messages: Vec<(Moment, Message)>,
    /// Share of pushes and exchanges that are lost.
    loss: f64,
    rng: Pcg64Mcg,
    arrivals: Vec<Moment>,
    refused: usize,
}

fn member_record(n: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        host: format!("entry-{n:03}").into(),
        role: ProcessRole::Entry,
        data_centre: format!("dc{}", n % 3).into(),
        address: format!("10.{}.{}.1:7000", n / 200, n % 200)
            .parse()
            .expect("an address"),
        incarnation,
        heartbeat: 0,
        leaving: false,
        reads_store: true,
        engine: None,
    }
}

fn new_entry(n: usize, started: Moment, incarnation: u64) -> SimulatedEntry {
    let mut cluster = TestCluster::started_at(started);
    // The upstreams without a limit are in another data centre, so that each entry prefers the limited one.
    let upstreams = [
        (LIMITED, "addis-a"),
        ("free-1", "mekelle-a"),
        ("free-2", "mekelle-a"),
    ];
    for (id, data_centre) in upstreams {
        let record = UpstreamRecord {
            slots: 10_000,
            data_centre: data_centre.into(),
            ..plain_record(id)
        };
        cluster.register(started, record);
    }
    SimulatedEntry {
        cluster,
        members: Membership::new(member_record(n, incarnation)),
        limits: StatedLimits::default(),
        frozen_until: Moment::ZERO,
        partition: 0,
        idle: false,
    }
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let records: Vec<_> = (0..count).map(|n| member_record(n, 1)).collect();
        let mut entries: Vec<_> = (0..count).map(|n| new_entry(n, Moment::ZERO, 1)).collect();
        let now = LIMITED_FROM - Moment::from_secs(1);
        for entry in &mut entries {
            entry.members.merge_records(now, records.clone());
        }
        Self {
            now,
            entries,
            limit: None,
            messages: Vec::new(),
            loss: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            arrivals: Vec::new(),
            refused: 0,
        }
    }

    /// Adds an entry that knows one other entry, with which it exchanges views at once, as processes do.
    fn join(&mut self) {
        let n = self.entries.len();
        let mut entry = new_entry(n, self.now, 1);
        entry
            .members
            .merge_records(self.now, vec![member_record(0, 1)]);
        self.entries.push(entry);
        self.exchange(n);
    }

    /// Restarts an entry, which then knows one other entry and exchanges views with it at once.
    fn restart(&mut self, n: usize) {
        let incarnation = self.entries[n].members.own().incarnation + 1;
        let partition = self.entries[n].partition;
        let mut entry = new_entry(n, self.now, incarnation);
        entry.partition = partition;
        let seed = (n + 1) % self.entries.len();
        let record = self.entries[seed].members.own().clone();
        entry.members.merge_records(self.now, vec![record]);
        self.entries[n] = entry;
        self.exchange(n);
    }

    fn run(&mut self, duration: Moment) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.deliver_messages();
            for n in 0..self.entries.len() {
                if self.now < self.entries[n].frozen_until {
                    continue;
                }
                let phase = self.now.as_millis() as u64 + 10 * n as u64;
                if phase.is_multiple_of(EXCHANGE_INTERVAL_MS) {
                    self.exchange(n);
                }
                if phase.is_multiple_of(REQUEST_INTERVAL_MS) {
                    self.send_request(n);
                }
            }
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let due = self.messages.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Message> = due.map(|(_, message)| message).collect();
        for message in due {
            match message {
                Message::Response {
                    entry,
                    incarnation,
                    selected,
                    sent_at,
                    limit,
                } => self.receive_response(entry, incarnation, &selected, sent_at, limit),
                Message::Push { to, from, reports } => {
                    let connected = self.entries[to].partition == self.entries[from].partition;
                    let frozen = now < self.entries[to].frozen_until;
                    if connected && !frozen {
                        self.entries[to].merge_limits(now, &reports);
                    }
                }
            }
        }
    }

    fn receive_response(
        &mut self,
        n: usize,
        incarnation: u64,
        selected: &SelectedUpstream,
        sent_at: Moment,
        limit: Option<f64>,
    ) {
        let now = self.now;
        let entry = &mut self.entries[n];
        if entry.members.own().incarnation != incarnation {
            return;
        }
        let served = AttemptOutcome::Served;
        let dispatcher = &mut entry.cluster.dispatcher;
        dispatcher.record_outcome(now, selected.upstream, 0.0, served);
        if entry.cluster.upstream_id(selected.upstream) != LIMITED {
            return;
        }
        if !entry
            .limits
            .record_response(now, sent_at, &(LIMITED.into(), 1), limit)
        {
            return;
        }
        entry.cluster.dispatcher.set_limits(now, &entry.limits);
        let reports = entry.limits.reports(now);
        let live = entry.members.live(now, ProcessRole::Entry);
        let live: BTreeSet<SmolStr> = live.map(|record| record.host.clone()).collect();
        for to in 0..self.entries.len() {
            if live.contains(&self.entries[to].members.own().host) && !self.is_lost() {
                let at = now + millis(self.rng.random_range(1..40));
                let reports = reports.clone();
                self.messages.push((
                    at,
                    Message::Push {
                        to,
                        from: n,
                        reports,
                    },
                ));
            }
        }
    }

    fn is_lost(&mut self) -> bool {
        self.loss > 0.0 && self.rng.random_bool(self.loss)
    }

    /// Exchanges views and limits with another entry, and configures the dispatcher.
    fn exchange(&mut self, n: usize) {
        let now = self.now;
        let members = &mut self.entries[n].members;
        members.increment_heartbeat();
        members.expire(now);
        let target = members.exchange_target(now, ProcessRole::Entry, &[], &mut self.rng);
        let peer = self.entries.iter().position(|entry| {
            Some(entry.members.own().address) == target && now >= entry.frozen_until
        });
        let connected = |peer: &usize| self.entries[*peer].partition == self.entries[n].partition;
        let peer = peer.filter(connected);
        if let Some(peer) = peer.filter(|_| !self.is_lost()) {
            let own = self.entries[n].members.own().clone();
            let heartbeats = self.entries[n].members.heartbeats(now);
            let reports = self.entries[n].limits.reports(now);
            let other = &mut self.entries[peer];
            other.members.merge_records(now, vec![own]);
            let unknown = other.members.merge_heartbeats(now, &heartbeats);
            let (records, newer) = other.members.updates_for(now, &heartbeats);
            other.merge_limits(now, &reports);
            let reports = other.limits.reports(now);
            let entry = &mut self.entries[n];
            entry.members.merge_records(now, records);
            entry.members.merge_heartbeats(now, &newer);
            entry.merge_limits(now, &reports);
            let requested = entry.members.records_by_key(now, &unknown);
            self.entries[peer].members.merge_records(now, requested);
        }
        let entry = &mut self.entries[n];
        let entries = entry.members.entries(now);
        entry.cluster.configure_entries(&[], entries);
        entry.cluster.dispatcher.set_limits(now, &entry.limits);
    }

    fn send_request(&mut self, n: usize) {
        let now = self.now;
        let entry = &mut self.entries[n];
        if entry.idle {
            return;
        }
        let Some(selected) = entry.cluster.try_send(now, plain_request(now)) else {
            self.refused += 1;
            return;
        };
        let mut limit = None;
        if entry.cluster.upstream_id(selected.upstream) == LIMITED {
            self.arrivals.push(now);
            limit = self.limit;
        }
        let incarnation = entry.members.own().incarnation;
        let response = Message::Response {
            entry: n,
            incarnation,
            selected,
            sent_at: now,
            limit,
        };
        self.messages.push((now + SERVICE_TIME, response));
    }

    /// The most requests that the upstream received in any window that begins at or after `from`.
    fn most_arrivals(&self, from: Moment) -> usize {
        let counted: Vec<Moment> = self
            .arrivals
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let in_window =
            |(n, start): (usize, &Moment)| counted[n..].partition_point(|at| *at < *start + WINDOW);
        counted.iter().enumerate().map(in_window).max().unwrap_or(0)
    }

    fn arrivals_since(&self, from: Moment) -> usize {
        self.arrivals.iter().filter(|at| **at >= from).count()
    }
}

impl SimulatedEntry {
    fn merge_limits(&mut self, now: Moment, reports: &[LimitReport]) {
        if !self.limits.merge(now, reports).is_empty() {
            self.cluster.dispatcher.set_limits(now, &self.limits);
        }
    }
}

/// Requests that the platform allows in a window: one and a half times the limit, and five.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64()).round() as usize + 5
}

/// A fleet whose upstream has stated `per_s` for one second.
fn limited_fleet(count: usize, per_s: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, seed);
    fleet.run(Moment::from_secs(1));
    fleet.limit = Some(per_s);
    fleet.run(Moment::from_secs(1));
    fleet
}

#[track_caller]
fn assert_limit_kept(fleet: &Fleet, per_s: f64) {
    let count = fleet.entries.len();
    let most = fleet.most_arrivals(LIMITED_FROM + SETTLING_TIME);
    assert!(
        most <= allowed(per_s),
        "{most} requests in {WINDOW:?} at a limit of {per_s} a second, {count} entries"
    );
    // Nobody was refused: the other upstreams have capacity for all requests.
    assert_eq!(fleet.refused, 0);
}

// Guards against a limit that holds for each entry instead of for all of them, and against one that nobody uses.
#[test]
fn any_number_of_entries_keeps_and_uses_the_limit() {
    for count in [1, 4, 35, 200] {
        for per_s in [0.5, 1.3, 10.0] {
            let mut fleet = limited_fleet(count, per_s, 1);

            fleet.run(Moment::from_secs(10));

            assert_limit_kept(&fleet, per_s);
            let used = fleet.arrivals_since(LIMITED_FROM + SETTLING_TIME) as f64;
            assert!(
                used >= 0.4 * 8.0 * per_s,
                "{used} requests in 8 s of {per_s} a second"
            );
        }
    }
}

// Guards against entries that join together, know only themselves at first, and each use the whole limit.
#[test]
fn entries_that_join_do_not_exceed_the_limit() {
    for (count, per_s) in [(1, 1.0), (4, 1.0), (35, 5.0), (120, 1.0)] {
        let mut fleet = limited_fleet(count, per_s, 2);

        for _ in 0..count.min(40) {
            fleet.join();
            fleet.run(millis(50));
        }
        fleet.run(Moment::from_secs(10));

        assert_limit_kept(&fleet, per_s);
    }
}

// Guards against restarted entries that know neither the limit nor with how many they share it.
#[test]
fn entries_that_restart_in_turn_do_not_exceed_the_limit() {
    for (count, per_s) in [(4, 1.0), (35, 1.3), (35, 10.0)] {
        let mut fleet = limited_fleet(count, per_s, 3);

        for n in 0..count {
            fleet.restart(n);
            fleet.run(millis(400));
        }
        fleet.run(Moment::from_secs(6));

        assert_limit_kept(&fleet, per_s);
    }
}

// Guards against entries that wake from a freeze and take all others for stopped.
#[test]
fn entries_that_freeze_and_wake_do_not_exceed_the_limit() {
    for (count, per_s) in [(4, 1.0), (35, 5.0)] {
        let mut fleet = limited_fleet(count, per_s, 4);

        for entry in fleet.entries.iter_mut().step_by(3) {
            entry.frozen_until = fleet.now + Moment::from_secs(9);
        }
        fleet.run(Moment::from_secs(20));

        assert_limit_kept(&fleet, per_s);
    }
}

// Guards against parts of a partitioned fleet that each take the others for stopped and use the whole limit.
#[test]
fn partitions_do_not_use_the_limit_twice() {
    for (count, parts, per_s) in [(4, 2, 1.0), (35, 5, 5.0), (100, 2, 20.0)] {
        let mut fleet = limited_fleet(count, per_s, 5);

        for (n, entry) in fleet.entries.iter_mut().enumerate() {
            entry.partition = n % parts;
        }
        // Longer than the time after which members are removed.
        fleet.run(Moment::from_secs(45));

        assert_limit_kept(&fleet, per_s);
    }
}

// Guards against entries that miss a push, or part of the exchanges, and go on as before.
#[test]
fn lost_messages_between_entries_do_not_exceed_the_limit() {
    for (count, per_s) in [(4, 1.0), (35, 1.3), (35, 10.0)] {
        let mut fleet = Fleet::new(count, 6);
        fleet.loss = 0.4;
        fleet.run(Moment::from_secs(1));
        fleet.limit = Some(per_s);

        fleet.run(Moment::from_secs(12));

        assert_limit_kept(&fleet, per_s);
    }
}

// Guards against a lowered limit that only those who send to the upstream learn of, and against a limit that has
// ended and that entries without a share keep for ever.
#[test]
fn a_limit_that_is_lowered_and_ends_is_kept_and_forgotten_by_all_entries() {
    for count in [1, 4, 35, 120] {
        let mut fleet = limited_fleet(count, 12.0, 7);
        fleet.run(Moment::from_secs(6));

        fleet.limit = Some(1.0);
        let lowered_at = fleet.now;
        fleet.run(Moment::from_secs(10));
        let most = fleet.most_arrivals(lowered_at + SETTLING_TIME);
        fleet.limit = None;
        let ended_at = fleet.now;
        // The holders of shares send one request in up to three seconds.
        fleet.run(Moment::from_secs(8));

        assert!(most <= allowed(1.0), "{most} requests, {count} entries");
        let unaware = fleet.entries.iter();
        let unaware = unaware.filter(|e| e.limits.get(&(LIMITED.into(), 1)).is_some());
        assert_eq!(unaware.count(), 0, "of {count} entries");
        assert!(fleet.arrivals_since(ended_at + Moment::from_secs(5)) > 10 * count);
        assert_eq!(fleet.refused, 0);
    }
}

// Guards against a limit that has ended and that entries keep for ever, since those that hold its shares have no
// callers.
#[test]
fn a_limit_ends_for_all_although_its_holders_are_idle() {
    let mut fleet = limited_fleet(12, 1.0, 8);
    for entry in &mut fleet.entries {
        let now = fleet.now;
        let stated = entry.limits.get(&(LIMITED.into(), 1));
        let stated = stated.expect("every entry knows the limit");
        let entries = entry.members.entries(now);
        entry.idle = entries.limit_share(LIMITED, "addis-a", stated, now) > 0.0;
    }
    let idle = fleet.entries.iter().filter(|entry| entry.idle).count();

    fleet.run(Moment::from_secs(30));
    let used = fleet.arrivals_since(LIMITED_FROM + SETTLING_TIME);
    assert_limit_kept(&fleet, 1.0);
    fleet.limit = None;
    fleet.run(Moment::from_secs(25));

    assert_eq!(idle, 3);
    assert!(used > 0);
    let unaware = fleet.entries.iter();
    let unaware = unaware.filter(|e| e.limits.get(&(LIMITED.into(), 1)).is_some());
    assert_eq!(unaware.count(), 0);
}
