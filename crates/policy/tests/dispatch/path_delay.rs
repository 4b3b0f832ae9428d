//! Paths to upstreams whose connections take longer than usual.

use balsamjunction_policy::dispatch::{PathObservation, PathSample};
use proptest::prelude::*;

use super::*;

const NEAR: &str = "near";
const FAR: &str = "far";

/// An engine in the dispatcher's data centre, which is preferred, and one in another. Connections to both took 2 ms.
fn near_and_far() -> TestCluster {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record(NEAR, "addis-a"));
    cluster.register(millis(0), engine_record(FAR, "mekelle-a"));
    for id in [NEAR, FAR] {
        connect(&mut cluster, id, 10, 2);
    }
    cluster
}

/// Adds another engine of the dispatcher's data centre.
fn add_neighbour(cluster: &mut TestCluster, id: &str) {
    cluster.register(millis(0), engine_record(id, "addis-a"));
}

fn publish_version_2(cluster: &mut TestCluster, now: Moment) {
    let version = Subject::Version(MODEL.into());
    cluster.apply_change(now, version, Some(Fact::Version(2)));
}

/// Selects an upstream by excluding all others. The request ends at once.
fn select(cluster: &mut TestCluster, now: Moment, id: &str) -> SelectedUpstream {
    let mut request = engine_request(now);
    loop {
        let selected = cluster.try_send(now, request.clone());
        let selected = selected.expect("the upstream is registered and idle");
        end(cluster, now, &selected);
        if cluster.upstream_id(selected.upstream) == id {
            return selected;
        }
        request.tried.push(selected.upstream);
    }
}

fn end(cluster: &mut TestCluster, now: Moment, selected: &SelectedUpstream) {
    let cancelled = AttemptOutcome::Cancelled;
    let dispatcher = &mut cluster.dispatcher;
    dispatcher.record_outcome(now, selected.upstream, 900.0, cancelled);
}

fn sample(
    cluster: &mut TestCluster,
    id: &str,
    started_ms: u64,
    took_ms: u64,
    connected: bool,
) -> PathObservation {
    let mut selected = select(cluster, millis(started_ms), id);
    let sample = PathSample {
        started: millis(started_ms),
        ended: millis(started_ms + took_ms),
        connected,
    };
    let observation = cluster.dispatcher.record_connection(&mut selected, sample);
    observation.expect("the upstream is registered")
}

/// A connection to an upstream that begins at `started_ms` and takes `took_ms`.
fn connect(cluster: &mut TestCluster, id: &str, started_ms: u64, took_ms: u64) -> PathObservation {
    sample(cluster, id, started_ms, took_ms, true)
}

/// One that is given up after `took_ms`.
fn give_up(cluster: &mut TestCluster, id: &str, started_ms: u64, took_ms: u64) -> PathObservation {
    sample(cluster, id, started_ms, took_ms, false)
}

fn preferred(cluster: &mut TestCluster, now_ms: u64) -> SmolStr {
    let now = millis(now_ms);
    let selected = cluster.try_send(now, engine_request(now));
    let selected = selected.expect("the engines are idle");
    end(cluster, now, &selected);
    cluster.upstream_id(selected.upstream)
}

fn expected_ms(cluster: &mut TestCluster, id: &str, now_ms: u64) -> f64 {
    select(cluster, millis(now_ms), id).expected_ms
}

// Guards against requests that wait on a full link while another upstream is idle.
#[test]
fn an_upstream_behind_a_filled_path_is_not_selected_while_another_is_idle() {
    let mut cluster = near_and_far();
    let before = preferred(&mut cluster, 1_000);

    connect(&mut cluster, NEAR, 1_000, 600);

    assert_eq!(before, NEAR);
    assert_eq!(preferred(&mut cluster, 1_650), FAR);
}

#[test]
fn a_filled_path_is_used_if_no_other_upstream_can_serve() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record(NEAR, "addis-a"));
    connect(&mut cluster, NEAR, 0, 2);

    connect(&mut cluster, NEAR, 1_000, 600);

    assert_eq!(preferred(&mut cluster, 1_650), NEAR);
}

// Guards against a path that nobody uses any more since it was full once.
#[test]
fn a_short_connection_ends_the_delay_of_a_path_at_once() {
    let mut cluster = near_and_far();
    connect(&mut cluster, NEAR, 1_000, 600);
    let filled = preferred(&mut cluster, 1_650);

    connect(&mut cluster, NEAR, 1_650, 2);

    assert_eq!(filled, FAR);
    assert_eq!(preferred(&mut cluster, 1_653), NEAR);
}

// Guards against a delay that stays with each upstream that showed it, although it was that of the common path.
#[test]
fn a_short_connection_to_one_upstream_ends_the_delay_that_several_showed() {
    let mut cluster = near_and_far();
    add_neighbour(&mut cluster, "neighbour");
    let before = expected_ms(&mut cluster, NEAR, 1_000);
    connect(&mut cluster, NEAR, 1_000, 600);
    connect(&mut cluster, "neighbour", 1_020, 600);

    connect(&mut cluster, "neighbour", 1_650, 2);

    assert_eq!(expected_ms(&mut cluster, NEAR, 1_653), before);
}

#[test]
fn a_delay_that_only_one_upstream_shows_stays_with_it() {
    let mut cluster = near_and_far();
    add_neighbour(&mut cluster, "neighbour");
    let before = expected_ms(&mut cluster, "neighbour", 1_000);
    connect(&mut cluster, NEAR, 1_000, 600);

    connect(&mut cluster, "neighbour", 1_650, 2);

    assert_eq!(expected_ms(&mut cluster, "neighbour", 1_653), before);
    assert!(expected_ms(&mut cluster, NEAR, 1_653) > before + 600.0);
}

#[test]
fn a_delay_without_new_connections_decays() {
    let mut cluster = near_and_far();

    connect(&mut cluster, NEAR, 1_000, 600);

    let times = [1_600, 2_000, 2_500, 4_000, 8_000];
    let expected = times.map(|now| expected_ms(&mut cluster, NEAR, now));
    assert_eq!(expected[0], expected[1]);
    assert!(expected[1..].is_sorted_by(|a, b| a > b), "{expected:?}");
    assert_eq!(preferred(&mut cluster, 12_000), NEAR);
}

#[test]
fn the_delay_of_one_upstream_counts_for_its_data_centre_and_no_other() {
    let mut cluster = near_and_far();
    add_neighbour(&mut cluster, "neighbour");
    let before = ["neighbour", FAR].map(|id| expected_ms(&mut cluster, id, 1_000));

    connect(&mut cluster, NEAR, 1_000, 600);

    let after = ["neighbour", FAR].map(|id| expected_ms(&mut cluster, id, 1_650));
    assert!(after[0] > before[0] + 600.0, "{before:?} {after:?}");
    assert_eq!(after[1], before[1]);
}

// Guards against a whole data centre that is avoided for one dead host in it.
#[test]
fn a_host_that_does_not_respond_says_nothing_of_a_path_that_others_cross_meanwhile() {
    let mut cluster = near_and_far();
    add_neighbour(&mut cluster, "dead");
    let before = expected_ms(&mut cluster, NEAR, 900);

    connect(&mut cluster, NEAR, 1_100, 2);
    give_up(&mut cluster, "dead", 1_000, 300);

    assert_eq!(expected_ms(&mut cluster, NEAR, 1_310), before);
    assert!(expected_ms(&mut cluster, "dead", 1_310) > before + 290.0);
}

#[test]
fn a_connection_that_is_given_up_counts_as_at_least_its_time() {
    let mut cluster = near_and_far();
    let idle = expected_ms(&mut cluster, NEAR, 900);

    give_up(&mut cluster, NEAR, 1_000, 300);
    let after_timeout = expected_ms(&mut cluster, NEAR, 1_310);
    connect(&mut cluster, NEAR, 2_000, 900);
    let after_long = expected_ms(&mut cluster, NEAR, 2_910);
    give_up(&mut cluster, NEAR, 2_910, 300);
    let after_both = expected_ms(&mut cluster, NEAR, 3_210);

    assert!(after_timeout > idle + 290.0);
    assert_eq!(after_both, after_long);
}

// Guards against a path that counts as a long one for good, since it was full when this entry started.
#[test]
fn a_path_that_is_full_from_the_start_has_a_delay() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record(NEAR, "addis-a"));
    cluster.register(millis(0), engine_record(FAR, "mekelle-a"));

    connect(&mut cluster, NEAR, 0, 600);

    assert_eq!(preferred(&mut cluster, 650), FAR);
}

// Guards against requests that are sent in time, wait on a full link and start on an overdue version.
#[test]
fn a_request_whose_way_takes_until_after_the_start_deadline_is_not_sent() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record(NEAR, "addis-a"));
    connect(&mut cluster, NEAR, 0, 2);
    publish_version_2(&mut cluster, millis(1_000));
    let before = cluster.try_send(millis(7_390), engine_request(millis(7_390)));
    end(
        &mut cluster,
        millis(7_390),
        &before.clone().expect("it is idle"),
    );

    connect(&mut cluster, NEAR, 6_780, 600);
    let in_time = cluster.try_send(millis(7_000), engine_request(millis(7_000)));
    end(
        &mut cluster,
        millis(7_000),
        &in_time.clone().expect("it is in time"),
    );
    let too_late = cluster.try_send(millis(7_390), engine_request(millis(7_390)));

    // The start deadline is at 8,600 ms; connection and request meet 598 ms each.
    assert!(before.is_some_and(|selected| selected.expected_ms < 200.0));
    assert_eq!(too_late, None);
}

// Guards against requests whose own connection was opened in time, and that meet what others' connections showed.
#[test]
fn a_path_that_fills_while_a_connection_is_opened_keeps_the_request_back() {
    let mut cluster = near_and_far();
    add_neighbour(&mut cluster, "neighbour");
    publish_version_2(&mut cluster, millis(1_000));
    let selected = select(&mut cluster, millis(7_900), NEAR);
    let request = engine_request(millis(7_900));
    let now = millis(7_910);
    let before = cluster.dispatcher.starts_in_time(now, &selected, &request);

    connect(&mut cluster, "neighbour", 7_209, 700);

    let after = cluster.dispatcher.starts_in_time(now, &selected, &request);
    assert!(before && !after);
}

#[test]
fn the_send_window_of_an_old_version_ends_earlier_by_the_delay() {
    let mut cluster = near_and_far();
    publish_version_2(&mut cluster, millis(1_000));
    let selected = select(&mut cluster, millis(7_000), NEAR);
    let request = engine_request(millis(7_000));
    connect(&mut cluster, NEAR, 6_800, 302);

    let dispatcher = &cluster.dispatcher;
    let key = selected.upstream;
    let may_serve =
        [7_110, 7_590, 7_610, 7_690].map(|ms| dispatcher.may_serve(millis(ms), key, &request));

    // The window ends at 8,000 ms. The delay of 300 ms decays from 7,602 ms on.
    assert_eq!(may_serve, [true; 4]);
    connect(&mut cluster, FAR, 7_000, 2);
    sample_at(&mut cluster, &selected, 7_400, 302);
    let may_serve =
        [7_699, 7_700, 7_990].map(|ms| cluster.dispatcher.may_serve(millis(ms), key, &request));
    assert_eq!(may_serve, [true, false, false]);
}

/// A connection for a request that was selected before.
fn sample_at(
    cluster: &mut TestCluster,
    selected: &SelectedUpstream,
    started_ms: u64,
    took_ms: u64,
) -> PathObservation {
    let sample = PathSample {
        started: millis(started_ms),
        ended: millis(started_ms + took_ms),
        connected: true,
    };
    let mut selected = selected.clone();
    let observation = cluster.dispatcher.record_connection(&mut selected, sample);
    observation.expect("the upstream is registered")
}

// Guards against a recall that is sent in time and arrives after the request has started.
#[test]
fn a_request_is_recalled_earlier_by_the_delay_of_the_path() {
    let mut cluster = near_and_far();
    let selected = select(&mut cluster, millis(900), NEAR);
    let unneeded = sample_at(&mut cluster, &selected, 920, 602);
    sample_at(&mut cluster, &selected, 1_530, 2);
    publish_version_2(&mut cluster, millis(1_600));
    let recall_at = |cluster: &TestCluster, now: u64| {
        let dispatcher = &cluster.dispatcher;
        dispatcher.recall_at(millis(now), selected.upstream, MODEL, 1)
    };
    let calm = recall_at(&cluster, 7_000);

    let filled = sample_at(&mut cluster, &selected, 7_000, 602);
    let early = recall_at(&cluster, 7_700);
    let drained = sample_at(&mut cluster, &selected, 7_710, 2);
    let again_calm = recall_at(&cluster, 7_720);

    // Version 2 is verified to be absent until 1,600 ms.
    assert_eq!(calm, Some(millis(9_200)));
    assert_eq!(early, Some(millis(8_600)));
    assert_eq!(again_calm, calm);
    let advances = [unneeded, filled, drained].map(|observed| observed.advances_recalls);
    assert_eq!(advances, [false, true, false]);
}

/// Sends a request over a connection that takes `connection_ms`; its first event arrives `took_ms` after the selection.
/// Returns the estimate before.
fn serve(
    cluster: &mut TestCluster,
    now_ms: u64,
    connection_ms: u64,
    took_ms: impl FnOnce(f64) -> f64,
) -> f64 {
    let now = millis(now_ms);
    let selected = cluster.try_send(now, engine_request(now));
    let mut selected = selected.expect("the engine is idle");
    let sample = PathSample {
        started: now,
        ended: now + millis(connection_ms),
        connected: true,
    };
    let dispatcher = &mut cluster.dispatcher;
    dispatcher.record_connection(&mut selected, sample);
    let took_ms = took_ms(selected.expected_ms - selected.path_ms);
    let first_event = now + Moment::from_secs_f64(took_ms / 1e3);
    dispatcher.record_first_event(first_event, &selected, 900.0, took_ms);
    let served = AttemptOutcome::Served;
    dispatcher.record_outcome(first_event, selected.upstream, 0.0, served);
    selected.expected_ms
}

fn one_engine() -> TestCluster {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record(NEAR, "addis-a"));
    connect(&mut cluster, NEAR, 0, 2);
    cluster
}

/// The estimate after requests over connections that took `connection_ms`, whose path has drained since.
fn estimate_after(connection_ms: u64, took_ms: impl Fn(f64) -> f64) -> f64 {
    let mut cluster = one_engine();
    for n in 1..=20_u64 {
        serve(&mut cluster, 3_000 * n, connection_ms, &took_ms);
    }
    connect(&mut cluster, NEAR, 63_000, 2);
    expected_ms(&mut cluster, NEAR, 63_010)
}

// Guards against an engine that is taken for slow, or for fast, since the path to it was full.
#[test]
fn the_delay_of_a_path_is_not_learned_as_slowness_of_its_engine() {
    let idle = expected_ms(&mut one_engine(), NEAR, 63_010);

    let met_twice = estimate_after(602, |engine_ms| engine_ms + 1_200.0);
    let met_once = estimate_after(602, |engine_ms| engine_ms + 600.0);

    assert!((met_twice - idle).abs() < 0.01, "{idle} {met_twice}");
    assert!((met_once - idle).abs() < 0.01, "{idle} {met_once}");
}

#[test]
fn the_slowness_of_an_engine_is_learned_behind_a_filled_path() {
    let behind_free_path = estimate_after(2, |engine_ms| 4.0 * engine_ms);
    let behind_filled_path = estimate_after(602, |engine_ms| 4.0 * engine_ms + 1_200.0);

    let idle = expected_ms(&mut one_engine(), NEAR, 63_010);
    assert!(behind_free_path > 1.01 * idle, "{idle} {behind_free_path}");
    assert!(
        behind_filled_path > 1.01 * idle,
        "{idle} {behind_filled_path}"
    );
}

#[test]
fn the_slowness_of_an_engine_is_not_learned_as_a_delay_of_its_path() {
    let mut cluster = near_and_far();
    let selected = select(&mut cluster, millis(1_000), NEAR);
    let head = |took_ms: u64| PathSample {
        started: millis(1_010),
        ended: millis(1_010 + took_ms),
        connected: true,
    };

    cluster
        .dispatcher
        .record_head(selected.upstream, head(2_000));

    assert_eq!(
        cluster
            .dispatcher
            .path_delay(millis(3_020), selected.upstream),
        Moment::ZERO
    );
}

#[test]
fn a_response_that_begins_soon_shows_that_the_path_is_free() {
    let mut cluster = near_and_far();
    let selected = select(&mut cluster, millis(1_000), NEAR);
    sample_at(&mut cluster, &selected, 1_000, 602);
    let delay_after_head = |cluster: &mut TestCluster, started: u64, took_ms: u64| {
        let head = PathSample {
            started: millis(started),
            ended: millis(started + took_ms),
            connected: true,
        };
        cluster.dispatcher.record_head(selected.upstream, head);
        let now = millis(started + took_ms);
        cluster.dispatcher.path_delay(now, selected.upstream)
    };

    let after_slow_head = delay_after_head(&mut cluster, 1_602, 1_000);
    let after_fast_head = delay_after_head(&mut cluster, 1_610, 40);

    assert!(after_slow_head > millis(300), "{after_slow_head:?}");
    assert_eq!(after_fast_head, Moment::ZERO);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(52),
        ..ProptestConfig::default()
    })]

    /// Connections that take about as long as ever change no decision and no estimate.
    #[test]
    fn usual_connections_change_nothing(
        events in prop::collection::vec((0u64..800, 0u64..45, 0.0..900.0f64, any::<bool>()), 1..60),
    ) {
        let mut observed = near_and_far();
        let mut unobserved = TestCluster::new();
        unobserved.register(millis(0), engine_record(NEAR, "addis-a"));
        unobserved.register(millis(0), engine_record(FAR, "mekelle-a"));
        publish_version_2(&mut observed, millis(1_000));
        publish_version_2(&mut unobserved, millis(1_000));
        let mut now = millis(1_000);
        for (wait_ms, connection_ms, took_ms, ends) in events {
            now += millis(wait_ms);
            let [expected, mut selected] = [&mut unobserved, &mut observed]
                .map(|cluster| cluster.try_send(now, engine_request(now)));
            prop_assert_eq!(&expected, &selected);
            let (Some(expected), Some(selected)) = (expected, &mut selected) else {
                continue;
            };
            let sample = PathSample {
                started: now,
                ended: now + millis(connection_ms),
                connected: true,
            };
            observed.dispatcher.record_connection(selected, sample);
            prop_assert_eq!(&expected, &*selected);
            if ends {
                for cluster in [&mut unobserved, &mut observed] {
                    let dispatcher = &mut cluster.dispatcher;
                    dispatcher.record_first_event(now, &expected, 900.0, took_ms);
                    let served = AttemptOutcome::Served;
                    dispatcher.record_outcome(now, expected.upstream, 0.0, served);
                }
            }
        }
    }

    /// Any history keeps a delay between zero and the longest connection, and ends it without further connections.
    #[test]
    fn any_history_keeps_the_delay_within_its_bounds(
        events in prop::collection::vec(
            (any::<bool>(), 0u64..5_000, 0u64..3_000, any::<bool>(), any::<bool>()),
            1..60,
        ),
    ) {
        let mut cluster = near_and_far();
        let selected = [NEAR, FAR].map(|id| select(&mut cluster, millis(20), id));
        let mut now = millis(20);
        for (far, started_ms, took_ms, connected, is_head) in events {
            now += millis(started_ms);
            let sample = PathSample {
                started: now,
                ended: now + millis(took_ms),
                connected,
            };
            let mut selected = selected[usize::from(far)].clone();
            match is_head {
                true => cluster.dispatcher.record_head(selected.upstream, sample),
                false => {
                    cluster.dispatcher.record_connection(&mut selected, sample);
                }
            }
            let delay = cluster.dispatcher.path_delay(sample.ended, selected.upstream);
            prop_assert!(delay <= millis(3_000));
        }
        let later = now + Moment::from_secs(30);
        for selected in selected {
            let delay = cluster.dispatcher.path_delay(later, selected.upstream);
            prop_assert!(delay < millis(1), "{:?}", delay);
        }
    }
}
