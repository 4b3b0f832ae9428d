//! Fetch plans of many hosts that fetch from each other, and the upgrade of one engine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use balsamjunction_policy::{
    fetch::{
        choose_manifest_source, Distribution, FetchAction, FetchFailure, FetchPlan, Participants,
        Source,
    },
    upgrade::{Upgrade, UpgradeAction, UpgradeEvent, UpgradeStage},
    Moment,
};
use balsamjunction_protocol::{ChunkMap, ChunkMapResponse, MemberDocument, MemberState};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol_str::{format_smolstr, SmolStr};

const CHUNKS: usize = 48;
const STEP: Moment = Moment::from_millis(20);

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

/// Simulates hosts that fetch a version from each other; each fetch takes one step.
struct Burst {
    now: Moment,
    count: usize,
    data_centres: usize,
    plans: BTreeMap<usize, FetchPlan>,
    dead: BTreeSet<usize>,
    corrupt: BTreeSet<usize>,
    /// Hosts that are live and respond, but fetch another version.
    busy: BTreeSet<usize>,
    /// Hosts that finish another version and fetch only the chunks that they own.
    owned_only: BTreeSet<usize>,
    /// When the origin becomes unavailable.
    origin_until: Moment,
    /// Steps that the origin takes to send a chunk; zero if it responds at once.
    origin_steps: u32,
    /// Requests that the origin has not served yet: the host and the chunk.
    origin_queue: VecDeque<(usize, usize)>,
    /// When the origin can send the next chunk.
    origin_ready_at: Moment,
    /// Number of chunks requested from the origin.
    from_origin: usize,
    /// Number of chunks sent between data centres.
    between_data_centres: usize,
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
            owned_only: BTreeSet::new(),
            origin_until: Moment::MAX,
            origin_steps: 0,
            origin_queue: VecDeque::new(),
            origin_ready_at: Moment::ZERO,
            from_origin: 0,
            between_data_centres: 0,
            rng,
        }
    }

    /// Makes a host fetch only the chunks that it owns, like a host that finishes another version.
    fn fetch_owned_only(&mut self, n: usize) {
        self.owned_only.insert(n);
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

    /// Stops a host; the list of members is updated only by [`Burst::update_members`].
    fn kill(&mut self, n: usize) {
        self.dead.insert(n);
        self.plans.remove(&n);
    }

    fn update_members(&mut self) {
        let live = members(self.count, self.data_centres, &self.dead);
        for (n, plan) in &mut self.plans {
            plan.set_participants(participants(*n, self.data_centres, live.clone()));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.serve_origin_request();
        let hosts: Vec<usize> = self.plans.keys().copied().collect();
        for n in hosts {
            if self.busy.contains(&n) {
                continue;
            }
            let Some(plan) = self.plans.get_mut(&n) else {
                continue;
            };
            for action in plan.next_actions(self.now) {
                self.execute(n, action);
            }
        }
    }

    fn serve_origin_request(&mut self) {
        if self.now < self.origin_ready_at {
            return;
        }
        if let Some((n, chunk)) = self.origin_queue.pop_front() {
            self.origin_ready_at = self.now + STEP * self.origin_steps;
            let now = self.now;
            self.plan(n).record_arrival(now, chunk, &Source::Origin);
        }
    }

    fn execute(&mut self, n: usize, action: FetchAction) {
        match action {
            FetchAction::Probe { host, .. } => {
                let other: usize = host[1..].parse().expect("host names end in a number");
                let is_fetching = !self.busy.contains(&other);
                let answer = self.plans.get(&other).map(|plan| ChunkMapResponse {
                    map: plan.stored_map(),
                    fetching_from_origin: match is_fetching {
                        true => plan.missing_owned(),
                        false => ChunkMap::default(),
                    },
                    ..ChunkMapResponse::default()
                });
                let now = self.now;
                self.plan(n).record_probe(now, &host, answer);
            }
            FetchAction::Fetch { chunk, source } => self.fetch(n, chunk, &source),
        }
    }

    fn plan(&mut self, n: usize) -> &mut FetchPlan {
        self.plans.get_mut(&n).expect("the host is live")
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
            match self.origin_steps {
                0 => self.plan(n).record_arrival(now, chunk, source),
                _ => self.origin_queue.push_back((n, chunk)),
            }
            return;
        };
        let other: usize = host[1..].parse().expect("host names end in a number");
        let stored = self
            .plans
            .get(&other)
            .is_some_and(|plan| plan.stored_map().has(chunk));
        if !stored {
            self.plan(n)
                .record_failure(now, chunk, source, FetchFailure::Unavailable);
        } else if self.corrupt.contains(&other) {
            self.plan(n)
                .record_failure(now, chunk, source, FetchFailure::Corrupt);
        } else {
            self.between_data_centres +=
                usize::from(other % self.data_centres != n % self.data_centres);
            self.plan(n).record_arrival(now, chunk, source);
        }
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            if self.missing() == 0 {
                return;
            }
            self.step();
        }
    }

    fn missing(&self) -> usize {
        let excluded = |n| self.busy.contains(n) || self.owned_only.contains(n);
        let included = self.plans.iter().filter(|(n, _)| !excluded(n));
        included.map(|(_, plan)| plan.missing_count()).sum()
    }

    fn random_host(&mut self) -> usize {
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
fn a_burst_without_failures_fetches_one_copy_from_the_origin_and_sends_one_per_data_centre() {
    let mut burst = Burst::start(24, 3, Distribution::Owners, 1);

    burst.run(200);

    assert_eq!(burst.missing(), 0);
    assert_eq!(burst.from_origin, CHUNKS);
    assert_eq!(burst.between_data_centres, 2 * CHUNKS);
}

#[test]
fn direct_distribution_fetches_one_copy_per_host_from_the_origin() {
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
fn a_host_that_joins_late_fetches_most_chunks_from_peers() {
    let mut burst = Burst::start(12, 3, Distribution::Owners, 2);
    let late = burst.plans.remove(&11).expect("host 11 exists");
    burst.run(400);
    let from_origin_before = burst.from_origin;

    burst.plans.insert(11, late);
    burst.run(400);

    assert_eq!(burst.missing(), 0);
    assert!(
        burst.from_origin <= from_origin_before + CHUNKS / 6,
        "{} then {}",
        from_origin_before,
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
    fn a_burst_completes_despite_failed_hosts_and_corrupt_chunks(
        count in 4_usize..20,
        failures in 0_usize..4,
        corrupt in 0_usize..3,
        members_updated: bool,
        seed: u64,
    ) {
        let mut burst = Burst::start(count, 3, Distribution::Owners, seed);
        for _ in 0..corrupt {
            let n = burst.random_host();
            burst.corrupt.insert(n);
        }
        for _ in 0..failures.min(count - 2) {
            burst.run(5);
            let n = burst.random_host();
            burst.kill(n);
        }
        if members_updated {
            burst.update_members();
        }
        burst.run(4_000);
        prop_assert_eq!(burst.missing(), 0);
    }
}

#[test]
fn chunks_of_an_owner_that_fetches_another_version_are_fetched_by_others() {
    let mut burst = Burst::start(8, 2, Distribution::Owners, 3);
    burst.busy.extend([2, 5]);

    // Less than the two seconds that hosts wait for a slow owner.
    burst.run(95);

    assert_eq!(burst.missing(), 0);
    assert!(
        burst.from_origin <= CHUNKS * 5 / 4,
        "{} chunks were fetched from the origin",
        burst.from_origin
    );
}

#[test]
fn owners_that_finish_another_version_fetch_their_chunks_before_the_origin_fails() {
    let mut burst = Burst::start(8, 2, Distribution::Owners, 3);
    burst.fetch_owned_only(2);
    burst.fetch_owned_only(5);
    // Before the hedge delay, after which other hosts fetch the chunks of an owner.
    burst.origin_until = Moment::from_millis(1_000);

    burst.run(95);

    assert_eq!(burst.missing(), 0);
    assert_eq!(burst.from_origin, CHUNKS);
    assert!(
        burst.plans[&2].missing_count() > 0,
        "host 2 fetched chunks of other owners"
    );
}

/// Rounds of requests until every host of the `included` data centres has the manifest, and the number of
/// requests to the origin.
fn manifest_rounds(included: &[usize]) -> (u32, u32) {
    let all = members(18, 3, &BTreeSet::new());
    let requesting: Vec<usize> = (0..18).filter(|n| included.contains(&(n % 3))).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut with_manifest: BTreeSet<SmolStr> = BTreeSet::new();
    let mut to_origin = 0;
    for attempts in 0..100 {
        let before = with_manifest.clone();
        for n in &requesting {
            let own = host(*n);
            if before.contains(&own) {
                continue;
            }
            let data_centre = format!("dc{}", n % 3);
            let draw = rng.random();
            match choose_manifest_source("m@2", &own, &data_centre, &all, attempts, draw) {
                Source::Origin => {
                    to_origin += 1;
                    with_manifest.insert(own);
                }
                Source::Peer { host, .. } if before.contains(&host) => {
                    with_manifest.insert(own);
                }
                Source::Peer { .. } => {}
            }
        }
        if with_manifest.len() == requesting.len() {
            return (attempts + 1, to_origin);
        }
    }
    (u32::MAX, to_origin)
}

#[test]
fn a_manifest_reaches_all_hosts_with_one_request_to_the_origin() {
    let (rounds, to_origin) = manifest_rounds(&[0, 1, 2]);

    assert_eq!(to_origin, 1);
    assert!(rounds <= 12, "{rounds} rounds");
}

#[test]
fn data_centres_do_not_wait_for_one_that_does_not_know_the_version() {
    // Each data centre is excluded once, so also that of the host that fetches the manifest for the fleet.
    for missing in 0..3 {
        let included: Vec<usize> = (0..3).filter(|n| *n != missing).collect();

        let (rounds, to_origin) = manifest_rounds(&included);

        assert!(to_origin <= 2, "{to_origin} requests to the origin");
        assert!(rounds <= 16, "{rounds} rounds without dc{missing}");
    }
}

#[test]
fn a_busy_origin_receives_no_second_request_for_a_chunk_that_its_owner_is_fetching() {
    let mut burst = Burst::start(8, 2, Distribution::Owners, 3);
    // A copy takes 1.9 s, longer than hosts wait for an idle owner.
    burst.origin_steps = 2;

    burst.run(150);

    assert_eq!(burst.missing(), 0);
    assert_eq!(burst.from_origin, CHUNKS);
}

/// The chunks that the first of `hosts` fetches from the origin while no other host stores any. Another host
/// joins at step `joins_at`, if any.
fn origin_fetches_of_first(hosts: usize, joins_at: Option<usize>) -> BTreeSet<usize> {
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
    let mut fetched = BTreeSet::new();
    // Shorter than the time for which hosts wait for owners that report that they fetch nothing.
    for step in 0..35 {
        let now = STEP * step as u32;
        if joins_at == Some(step) {
            plan.set_participants(participants(hosts + 1));
        }
        for action in plan.next_actions(now) {
            match action {
                FetchAction::Probe { host, .. } => {
                    plan.record_probe(now, &host, Some(ChunkMapResponse::default()));
                }
                FetchAction::Fetch { chunk, source } => {
                    fetched.insert(chunk);
                    plan.record_arrival(now, chunk, &source);
                }
            }
        }
    }
    fetched
}

#[test]
fn a_host_that_joins_does_not_become_the_owner_of_assigned_chunks() {
    let before = origin_fetches_of_first(4, None);

    let after = origin_fetches_of_first(4, Some(2));

    assert!(!before.is_empty());
    assert_eq!(before, after);
}

// Guards against the cost of hashing all hosts for every chunk in each round, which was 63% of a stager's CPU time.
#[test]
fn owners_are_computed_only_when_the_live_hosts_change() {
    let with_hosts = |count| participants(0, 1, members(count, 1, &BTreeSet::new()));
    let rng = Pcg64Mcg::seed_from_u64(5);
    let distribution = Distribution::Owners;
    let mut plan = FetchPlan::new(
        Moment::ZERO,
        "v2".into(),
        CHUNKS,
        distribution,
        with_hosts(4),
        rng,
    );

    for _ in 0..50 {
        plan.set_participants(with_hosts(4));
    }
    let unchanged = plan.assignment_count();
    plan.set_participants(with_hosts(5));

    assert_eq!(unchanged, 1);
    assert_eq!(plan.assignment_count(), 2);
}

// Guards against an age that is counted from its arrival: each host that passes it on would make it younger, and hosts
// that tell each other would take an unreachable origin for one that responds.
#[test]
fn the_age_of_the_last_chunk_from_the_origin_is_counted_from_the_request_for_it() {
    let rng = Pcg64Mcg::seed_from_u64(5);
    let distribution = Distribution::Owners;
    let others = participants(0, 1, members(2, 1, &BTreeSet::new()));
    let mut plan = FetchPlan::new(Moment::ZERO, "v2".into(), CHUNKS, distribution, others, rng);
    let failure = FetchFailure::Unavailable;
    plan.record_failure(millis(1_000), 0, &Source::Origin, failure);
    plan.next_actions(millis(2_000));

    let report = ChunkMapResponse {
        origin_age_ms: Some(1_100),
        ..ChunkMapResponse::default()
    };
    plan.record_probe(millis(2_400), &host(1), Some(report));

    assert!(plan.origin_state().is_down());
}

fn some_version(name: &str) -> Option<SmolStr> {
    Some(name.into())
}

fn engine_report(serving: &str, loaded: Option<&str>) -> UpgradeEvent {
    UpgradeEvent::EngineReported {
        serving: some_version(serving),
        loaded: loaded.map(SmolStr::new),
    }
}

fn millis(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// An upgrade whose engine serves v1 and has fetched and loaded v2.
fn loaded_upgrade() -> Upgrade {
    let mut upgrade = Upgrade::default();
    upgrade.handle(millis(0), UpgradeEvent::TargetChanged(some_version("v1")));
    upgrade.handle(millis(0), engine_report("v1", None));
    upgrade.handle(millis(1), UpgradeEvent::TargetChanged(some_version("v2")));
    upgrade.handle(millis(2), UpgradeEvent::ChunksComplete("v2".into()));
    upgrade.handle(millis(3), engine_report("v1", Some("v2")));
    upgrade
}

#[test]
fn nothing_is_fetched_before_the_engine_reports_its_version() {
    let mut upgrade = Upgrade::default();

    let before = upgrade.handle(millis(0), UpgradeEvent::TargetChanged(some_version("v1")));
    let after = upgrade.handle(millis(1), engine_report("v1", None));

    assert!(before.is_empty());
    assert_eq!(after, [UpgradeAction::AdmitRequests("v1".into())]);
}

#[test]
fn an_engine_is_ordered_to_load_only_a_complete_version() {
    let mut upgrade = Upgrade::default();
    upgrade.handle(millis(0), engine_report("v1", None));

    let target_changed = upgrade.handle(millis(1), UpgradeEvent::TargetChanged(some_version("v2")));
    let other = upgrade.handle(millis(2), UpgradeEvent::ChunksComplete("v0".into()));
    let complete = upgrade.handle(millis(3), UpgradeEvent::ChunksComplete("v2".into()));

    assert_eq!(target_changed, [UpgradeAction::Fetch("v2".into())]);
    assert!(other.is_empty());
    assert_eq!(complete, [UpgradeAction::OrderLoad("v2".into())]);
}

#[test]
fn the_switch_waits_for_preceding_hosts_and_for_running_requests() {
    let mut upgrade = loaded_upgrade();
    upgrade.handle(millis(4), UpgradeEvent::RunningRequests(2));

    let not_yet = upgrade.handle(millis(5), UpgradeEvent::MaySwitch(false));
    let held = upgrade.handle(millis(6), UpgradeEvent::MaySwitch(true));
    let one_left = upgrade.handle(millis(7), UpgradeEvent::RunningRequests(1));
    let drained = upgrade.handle(millis(8), UpgradeEvent::RunningRequests(0));

    assert!(not_yet.is_empty());
    assert_eq!(held, [UpgradeAction::HoldRequests]);
    assert!(one_left.is_empty());
    assert_eq!(drained, [UpgradeAction::OrderSwitch("v2".into())]);
}

#[test]
fn requests_are_admitted_again_after_the_switch() {
    let mut upgrade = loaded_upgrade();
    upgrade.handle(millis(6), UpgradeEvent::MaySwitch(true));

    let actions = upgrade.handle(millis(9), engine_report("v2", None));

    assert_eq!(actions, [UpgradeAction::AdmitRequests("v2".into())]);
    assert_eq!(upgrade.stage(), UpgradeStage::Settled);
}

#[test]
fn a_new_target_during_draining_replaces_the_fetch_and_admits_held_requests() {
    let mut upgrade = loaded_upgrade();
    upgrade.handle(millis(5), UpgradeEvent::RunningRequests(1));
    upgrade.handle(millis(6), UpgradeEvent::MaySwitch(true));

    let actions = upgrade.handle(millis(7), UpgradeEvent::TargetChanged(some_version("v3")));

    assert_eq!(
        actions,
        [
            UpgradeAction::AdmitRequests("v1".into()),
            UpgradeAction::Fetch("v3".into())
        ]
    );
}

#[test]
fn an_engine_that_restarts_without_weights_receives_no_requests_and_loads_again() {
    let mut upgrade = loaded_upgrade();
    let empty = UpgradeEvent::EngineReported {
        serving: None,
        loaded: None,
    };

    let actions = upgrade.handle(millis(1_000), empty);

    assert_eq!(actions[0], UpgradeAction::RefuseRequests);
    assert_eq!(upgrade.stage(), UpgradeStage::Loading);
    assert!(actions.contains(&UpgradeAction::OrderLoad("v2".into())));
}

#[test]
fn an_order_that_was_not_carried_out_is_repeated() {
    let mut upgrade = Upgrade::default();
    upgrade.handle(millis(0), engine_report("v1", None));
    upgrade.handle(millis(1), UpgradeEvent::TargetChanged(some_version("v2")));
    upgrade.handle(millis(2), UpgradeEvent::ChunksComplete("v2".into()));

    let soon = upgrade.handle(millis(100), engine_report("v1", None));
    let later = upgrade.handle(millis(600), engine_report("v1", None));

    assert!(soon.is_empty());
    assert_eq!(later, [UpgradeAction::OrderLoad("v2".into())]);
}
