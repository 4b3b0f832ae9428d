//! Fetch plans of many hosts together, and the turnover of an engine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use balsamjunction_policy::{
    fetch::{
        choose_manifest_source, Distribution, FetchAction, FetchFailure, FetchPlan, Participants,
        Source,
    },
    upgrade::{Upgrade, UpgradeAction, UpgradeEvent, UpgradeStage},
    Moment,
};
use balsamjunction_protocol::{ChunkMap, HaveAnswer, MemberDocument, MemberState};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol_str::{format_smolstr, SmolStr};

const CHUNKS: usize = 48;
const TURN: Moment = Moment::from_millis(20);

fn host(n: usize) -> SmolStr {
    format_smolstr!("h{n}")
}

fn members(count: usize, data_centres: usize, dead: &BTreeSet<usize>) -> Vec<MemberDocument> {
    (0..count)
        .filter(|n| !dead.contains(n))
        .map(|n| MemberDocument {
            host: host(n),
            data_centre: format_smolstr!("dc{}", n % data_centres),
            address: format_smolstr!("10.0.0.1:{}", 1_000 + n),
            state: MemberState::Live,
        })
        .collect()
}

/// Hosts that fetch from each other; each fetch takes one turn.
struct Burst {
    now: Moment,
    count: usize,
    data_centres: usize,
    plans: BTreeMap<usize, FetchPlan>,
    dead: BTreeSet<usize>,
    corrupt: BTreeSet<usize>,
    /// Hosts that are up and answer, but fetch something else.
    busy: BTreeSet<usize>,
    /// Hosts that finish another version and draw only the chunks that they own.
    owning: BTreeSet<usize>,
    /// When the origin goes down.
    origin_until: Moment,
    /// Turns that the origin takes for a chunk.
    origin_turns: u32,
    /// Chunks that the origin is asked for and has not sent, with those who asked, and its next send.
    origin_queue: VecDeque<(usize, usize)>,
    origin_sends: Moment,
    from_origin: usize,
    between: usize,
    rng: Pcg64Mcg,
}

impl Burst {
    fn start(count: usize, data_centres: usize, distribution: Distribution, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let all = members(count, data_centres, &BTreeSet::new());
        let plans = (0..count).map(|n| {
            let participants = participants(n, data_centres, all.clone());
            let seeded = Pcg64Mcg::seed_from_u64(rng.random());
            let plan = FetchPlan::new(
                Moment::ZERO,
                "v2".into(),
                CHUNKS,
                distribution,
                participants,
                seeded,
            );
            (n, plan)
        });
        let plans = plans.collect();
        Self {
            now: Moment::ZERO,
            count,
            data_centres,
            plans,
            dead: BTreeSet::new(),
            corrupt: BTreeSet::new(),
            busy: BTreeSet::new(),
            owning: BTreeSet::new(),
            origin_until: Moment::MAX,
            origin_turns: 0,
            origin_queue: VecDeque::new(),
            origin_sends: Moment::ZERO,
            from_origin: 0,
            between: 0,
            rng,
        }
    }

    /// Has a host draw only the chunks that it owns, as one does that finishes another version.
    fn draws_only_its_own(&mut self, n: usize) {
        self.owning.insert(n);
        let all = members(self.count, self.data_centres, &BTreeSet::new());
        let plan = FetchPlan::new(
            Moment::ZERO,
            "v2".into(),
            CHUNKS,
            Distribution::OwnChunks,
            participants(n, self.data_centres, all),
            Pcg64Mcg::seed_from_u64(self.rng.random()),
        );
        self.plans.insert(n, plan);
    }

    /// Kills a host; the list says so only when [`Burst::announce`] is called.
    fn kill(&mut self, n: usize) {
        self.dead.insert(n);
        self.plans.remove(&n);
    }

    fn announce(&mut self) {
        let live = members(self.count, self.data_centres, &self.dead);
        for (n, plan) in &mut self.plans {
            plan.set_participants(participants(*n, self.data_centres, live.clone()));
        }
    }

    fn turn(&mut self) {
        self.now += TURN;
        self.origin_sends_one();
        let hosts: Vec<usize> = self.plans.keys().copied().collect();
        for n in hosts {
            if self.busy.contains(&n) {
                continue;
            }
            let Some(plan) = self.plans.get_mut(&n) else {
                continue;
            };
            for action in plan.next_actions(self.now) {
                self.carry_out(n, action);
            }
        }
    }

    fn origin_sends_one(&mut self) {
        if self.now < self.origin_sends {
            return;
        }
        if let Some((n, chunk)) = self.origin_queue.pop_front() {
            self.origin_sends = self.now + TURN * self.origin_turns;
            let now = self.now;
            self.plan(n).record_arrival(now, chunk, &Source::Origin);
        }
    }

    fn carry_out(&mut self, n: usize, action: FetchAction) {
        match action {
            FetchAction::Probe { host, .. } => {
                let other: usize = host[1..].parse().expect("hosts are numbered");
                let at_work = !self.busy.contains(&other);
                let answer = self.plans.get(&other).map(|plan| HaveAnswer {
                    map: plan.stored_map(),
                    drawing: match at_work {
                        true => plan.missing_owned(),
                        false => ChunkMap::default(),
                    },
                    ..HaveAnswer::default()
                });
                let now = self.now;
                self.plan(n).record_probe(now, &host, answer);
            }
            FetchAction::Fetch { chunk, source } => self.fetch(n, chunk, &source),
        }
    }

    fn plan(&mut self, n: usize) -> &mut FetchPlan {
        self.plans.get_mut(&n).expect("only live hosts act")
    }

    fn fetch(&mut self, n: usize, chunk: usize, source: &Source) {
        let now = self.now;
        let Source::Peer { host, .. } = source else {
            if now > self.origin_until {
                self.plan(n)
                    .record_failure(now, chunk, source, FetchFailure::Unavailable);
                return;
            }
            self.from_origin += 1;
            match self.origin_turns {
                0 => self.plan(n).record_arrival(now, chunk, source),
                _ => self.origin_queue.push_back((n, chunk)),
            }
            return;
        };
        let other: usize = host[1..].parse().expect("hosts are numbered");
        let holds = self
            .plans
            .get(&other)
            .is_some_and(|plan| plan.stored_map().has(chunk));
        if !holds {
            self.plan(n)
                .record_failure(now, chunk, source, FetchFailure::Unavailable);
        } else if self.corrupt.contains(&other) {
            self.plan(n)
                .record_failure(now, chunk, source, FetchFailure::Corrupt);
        } else {
            self.between += usize::from(other % self.data_centres != n % self.data_centres);
            self.plan(n).record_arrival(now, chunk, source);
        }
    }

    fn run(&mut self, turns: usize) {
        for _ in 0..turns {
            if self.missing() == 0 {
                return;
            }
            self.turn();
        }
    }

    fn missing(&self) -> usize {
        let elsewhere = |n| self.busy.contains(n) || self.owning.contains(n);
        let at_work = self.plans.iter().filter(|(n, _)| !elsewhere(n));
        at_work.map(|(_, plan)| plan.missing_count()).sum()
    }

    fn some_host(&mut self) -> usize {
        self.rng.random_range(0..self.count)
    }
}

fn participants(n: usize, data_centres: usize, members: Vec<MemberDocument>) -> Participants {
    Participants {
        host: host(n),
        data_centre: format_smolstr!("dc{}", n % data_centres),
        members,
    }
}

#[test]
fn a_quiet_burst_draws_one_copy_and_crosses_each_link_once() {
    let mut burst = Burst::start(24, 3, Distribution::Owners, 1);

    burst.run(200);

    assert_eq!(burst.missing(), 0);
    assert_eq!(burst.from_origin, CHUNKS);
    assert_eq!(burst.between, 2 * CHUNKS);
}

#[test]
fn the_baseline_draws_a_copy_per_host() {
    let mut burst = Burst::start(6, 3, Distribution::Direct, 1);

    burst.run(200);

    assert_eq!(burst.missing(), 0);
    assert_eq!(burst.from_origin, 6 * CHUNKS);
}

#[test]
fn a_single_host_fetches_all_from_the_origin() {
    let mut burst = Burst::start(1, 1, Distribution::Owners, 1);

    burst.run(100);

    assert_eq!(burst.missing(), 0);
}

#[test]
fn a_host_that_joins_late_is_helped_by_the_others() {
    let mut burst = Burst::start(12, 3, Distribution::Owners, 2);
    let late = burst.plans.remove(&11).expect("host 11 exists");
    burst.run(400);
    let drawn = burst.from_origin;

    burst.plans.insert(11, late);
    burst.run(400);

    assert_eq!(burst.missing(), 0);
    assert!(
        burst.from_origin <= drawn + CHUNKS / 6,
        "{} then {}",
        drawn,
        burst.from_origin
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_burst_ends_complete_whoever_dies_or_sends_corrupt_chunks(
        count in 4_usize..20,
        deaths in 0_usize..4,
        corrupt in 0_usize..3,
        announced: bool,
        seed: u64,
    ) {
        let mut burst = Burst::start(count, 3, Distribution::Owners, seed);
        for _ in 0..corrupt {
            let n = burst.some_host();
            burst.corrupt.insert(n);
        }
        for _ in 0..deaths.min(count - 2) {
            burst.run(5);
            let n = burst.some_host();
            burst.kill(n);
        }
        if announced {
            burst.announce();
        }
        burst.run(4_000);
        prop_assert_eq!(burst.missing(), 0);
    }
}

#[test]
fn chunks_of_an_owner_that_fetches_something_else_are_drawn_by_others() {
    let mut burst = Burst::start(8, 2, Distribution::Owners, 3);
    burst.busy.extend([2, 5]);

    // Two seconds, in which an owner that is merely slow would be waited for.
    burst.run(95);

    assert_eq!(burst.missing(), 0);
    assert!(
        burst.from_origin <= CHUNKS * 5 / 4,
        "{} were drawn",
        burst.from_origin
    );
}

#[test]
fn owners_that_finish_another_version_draw_their_chunks_before_the_origin_goes_down() {
    let mut burst = Burst::start(8, 2, Distribution::Owners, 3);
    burst.draws_only_its_own(2);
    burst.draws_only_its_own(5);
    // Sooner than others would take an owner's place.
    burst.origin_until = Moment::from_millis(1_000);

    burst.run(95);

    assert_eq!(burst.missing(), 0);
    assert_eq!(burst.from_origin, CHUNKS);
    assert!(
        burst.plans[&2].missing_count() > 0,
        "host 2 took others' chunks"
    );
}

/// Rounds of questions until every host of the data centres `within` has a manifest, and how many of
/// them were put to the origin.
fn manifest_rounds(within: &[usize]) -> (u32, u32) {
    let all = members(18, 3, &BTreeSet::new());
    let asking: Vec<usize> = (0..18).filter(|n| within.contains(&(n % 3))).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut holding: BTreeSet<SmolStr> = BTreeSet::new();
    let mut to_origin = 0;
    for asked in 0..100 {
        let before = holding.clone();
        for n in &asking {
            let own = host(*n);
            if before.contains(&own) {
                continue;
            }
            let data_centre = format!("dc{}", n % 3);
            let luck = rng.random();
            match choose_manifest_source("m@2", &own, &data_centre, &all, asked, luck) {
                Source::Origin => {
                    to_origin += 1;
                    holding.insert(own);
                }
                Source::Peer { host, .. } if before.contains(&host) => {
                    holding.insert(own);
                }
                Source::Peer { .. } => {}
            }
        }
        if holding.len() == asking.len() {
            return (asked + 1, to_origin);
        }
    }
    (u32::MAX, to_origin)
}

#[test]
fn a_manifest_reaches_all_hosts_with_one_question_to_the_origin() {
    let (rounds, to_origin) = manifest_rounds(&[0, 1, 2]);

    assert_eq!(to_origin, 1);
    assert!(rounds <= 12, "{rounds} rounds");
}

#[test]
fn data_centres_do_not_wait_for_one_that_has_not_heard_of_the_version() {
    // Each data centre is left out once, so that the host which asks for the fleet is, too.
    for missing in 0..3 {
        let within: Vec<usize> = (0..3).filter(|n| *n != missing).collect();

        let (rounds, to_origin) = manifest_rounds(&within);

        assert!(to_origin <= 2, "{to_origin} questions to the origin");
        assert!(rounds <= 16, "{rounds} rounds without dc{missing}");
    }
}

#[test]
fn a_busy_origin_is_not_asked_a_second_time_for_what_an_owner_draws() {
    let mut burst = Burst::start(8, 2, Distribution::Owners, 3);
    // A copy takes 1.9 s, longer than a host waits for an owner that does nothing.
    burst.origin_turns = 2;

    burst.run(150);

    assert_eq!(burst.missing(), 0);
    assert_eq!(burst.from_origin, CHUNKS);
}

/// Chunks that the first of `hosts` draws from the origin while nobody else holds any; another host
/// joins after `joins` turns, if at all.
fn drawn_by_first(hosts: usize, joins: Option<usize>) -> BTreeSet<usize> {
    let participants = |count| participants(0, 1, members(count, 1, &BTreeSet::new()));
    let rng = Pcg64Mcg::seed_from_u64(5);
    let mut plan = FetchPlan::new(
        Moment::ZERO,
        "v2".into(),
        CHUNKS,
        Distribution::Owners,
        participants(hosts),
        rng,
    );
    let mut drawn = BTreeSet::new();
    // Within the patience that hosts have with each other's owners.
    for turn in 0..60 {
        let now = TURN * turn as u32;
        if joins == Some(turn) {
            plan.set_participants(participants(hosts + 1));
        }
        for action in plan.next_actions(now) {
            match action {
                FetchAction::Probe { host, .. } => {
                    plan.record_probe(now, &host, Some(HaveAnswer::default()));
                }
                FetchAction::Fetch { chunk, source } => {
                    drawn.insert(chunk);
                    plan.record_arrival(now, chunk, &source);
                }
            }
        }
    }
    drawn
}

#[test]
fn a_host_that_joins_takes_no_chunk_from_its_owner() {
    let before = drawn_by_first(4, None);

    let after = drawn_by_first(4, Some(2));

    assert!(!before.is_empty());
    assert_eq!(before, after);
}

fn version(name: &str) -> Option<SmolStr> {
    Some(name.into())
}

fn engine(serving: &str, loaded: Option<&str>) -> UpgradeEvent {
    UpgradeEvent::EngineReported {
        serving: version(serving),
        loaded: loaded.map(SmolStr::new),
    }
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// A turnover that serves v1 and has fetched and loaded v2.
fn loaded_turnover() -> Upgrade {
    let mut turnover = Upgrade::default();
    turnover.handle(at(0), UpgradeEvent::TargetChanged(version("v1")));
    turnover.handle(at(0), engine("v1", None));
    turnover.handle(at(1), UpgradeEvent::TargetChanged(version("v2")));
    turnover.handle(at(2), UpgradeEvent::ChunksComplete("v2".into()));
    turnover.handle(at(3), engine("v1", Some("v2")));
    turnover
}

#[test]
fn nothing_is_fetched_before_the_engine_has_said_what_it_serves() {
    let mut turnover = Upgrade::default();

    let before = turnover.handle(at(0), UpgradeEvent::TargetChanged(version("v1")));
    let after = turnover.handle(at(1), engine("v1", None));

    assert!(before.is_empty());
    assert_eq!(after, [UpgradeAction::AdmitRequests("v1".into())]);
}

#[test]
fn an_engine_is_ordered_to_load_only_a_complete_version() {
    let mut turnover = Upgrade::default();
    turnover.handle(at(0), engine("v1", None));

    let wanted = turnover.handle(at(1), UpgradeEvent::TargetChanged(version("v2")));
    let other = turnover.handle(at(2), UpgradeEvent::ChunksComplete("v0".into()));
    let complete = turnover.handle(at(3), UpgradeEvent::ChunksComplete("v2".into()));

    assert_eq!(wanted, [UpgradeAction::Fetch("v2".into())]);
    assert!(other.is_empty());
    assert_eq!(complete, [UpgradeAction::OrderLoad("v2".into())]);
}

#[test]
fn the_switch_waits_for_its_turn_and_for_running_requests() {
    let mut turnover = loaded_turnover();
    turnover.handle(at(4), UpgradeEvent::RunningRequests(2));

    let not_yet = turnover.handle(at(5), UpgradeEvent::MaySwitch(false));
    let held = turnover.handle(at(6), UpgradeEvent::MaySwitch(true));
    let one_left = turnover.handle(at(7), UpgradeEvent::RunningRequests(1));
    let drained = turnover.handle(at(8), UpgradeEvent::RunningRequests(0));

    assert!(not_yet.is_empty());
    assert_eq!(held, [UpgradeAction::HoldRequests]);
    assert!(one_left.is_empty());
    assert_eq!(drained, [UpgradeAction::OrderSwitch("v2".into())]);
}

#[test]
fn requests_flow_again_when_the_engine_has_switched() {
    let mut turnover = loaded_turnover();
    turnover.handle(at(6), UpgradeEvent::MaySwitch(true));

    let actions = turnover.handle(at(9), engine("v2", None));

    assert_eq!(actions, [UpgradeAction::AdmitRequests("v2".into())]);
    assert_eq!(turnover.stage(), UpgradeStage::Settled);
}

#[test]
fn a_version_declared_midway_replaces_the_fetch_and_frees_held_requests() {
    let mut turnover = loaded_turnover();
    turnover.handle(at(5), UpgradeEvent::RunningRequests(1));
    turnover.handle(at(6), UpgradeEvent::MaySwitch(true));

    let actions = turnover.handle(at(7), UpgradeEvent::TargetChanged(version("v3")));

    assert_eq!(
        actions,
        [
            UpgradeAction::AdmitRequests("v1".into()),
            UpgradeAction::Fetch("v3".into())
        ]
    );
}

#[test]
fn an_engine_that_restarts_empty_takes_no_requests_and_is_loaded_again() {
    let mut turnover = loaded_turnover();
    let empty = UpgradeEvent::EngineReported {
        serving: None,
        loaded: None,
    };

    let actions = turnover.handle(at(1_000), empty);

    assert_eq!(actions[0], UpgradeAction::RefuseRequests);
    assert_eq!(turnover.stage(), UpgradeStage::Loading);
    assert!(actions.contains(&UpgradeAction::OrderLoad("v2".into())));
}

#[test]
fn an_order_that_was_not_taken_is_given_again() {
    let mut turnover = Upgrade::default();
    turnover.handle(at(0), engine("v1", None));
    turnover.handle(at(1), UpgradeEvent::TargetChanged(version("v2")));
    turnover.handle(at(2), UpgradeEvent::ChunksComplete("v2".into()));

    let soon = turnover.handle(at(100), engine("v1", None));
    let later = turnover.handle(at(600), engine("v1", None));

    assert!(soon.is_empty());
    assert_eq!(later, [UpgradeAction::OrderLoad("v2".into())]);
}
