//! What a fleet of entries lets reach the upstreams, and which sound requests it refuses beside that.

use super::{fleet_model::Fleet, *};

/// Requests with a deadly part that may reach upstreams later than [`CONTACT_AFTER`] after the fifth crash.
const MAX_LATE: usize = 3;

/// Starts a fleet and plays two seconds of sound requests, then requests with `deadly` parts begin.
fn start(entries: usize, engines: usize, deadly: u64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(entries, engines, seed);
    fleet.run(Moment::from_secs(2));
    fleet.deadly = (0..deadly).map(|n| PromptPart(DEADLY.0 + n)).collect();
    fleet.deadly_per_s = 5.0;
    fleet
}

#[track_caller]
fn assert_bound(fleet: &Fleet, case: &str) {
    for part in &fleet.deadly {
        let late = fleet.late_reaches(*part);
        assert!(late <= MAX_LATE, "{late} late requests with {part}, {case}");
    }
    let refused = fleet.refused_share(Moment::ZERO);
    assert!(
        refused < 0.01,
        "{refused} of sound requests refused, {case}"
    );
}

// Guards against a bound that holds for each entry instead of for all, and against verdicts on sound parts.
#[test]
fn a_fleet_of_any_size_refuses_a_deadly_part_and_nothing_else() {
    for (entries, engines, seeds) in [(1, 6, 12), (4, 12, 12), (35, 40, 4), (300, 60, 1)] {
        for seed in 0..seeds {
            let mut fleet = start(entries, engines, 1, seed);

            fleet.run(Moment::from_secs(25));

            assert!(fleet.crashes.len() >= 3);
            assert_bound(&fleet, &format!("{entries} entries, seed {seed}"));
        }
    }
}

#[test]
fn several_deadly_parts_are_refused_and_nothing_else() {
    for (entries, engines, seeds) in [(1, 12, 8), (4, 16, 8), (35, 60, 2)] {
        for seed in 0..seeds {
            let mut fleet = start(entries, engines, 4, seed);

            fleet.run(Moment::from_secs(40));

            assert_bound(&fleet, &format!("{entries} entries, seed {seed}"));
        }
    }
}

// Guards against entries that restart, freeze or are cut off and send what the others refuse.
#[test]
fn entries_that_restart_freeze_or_are_cut_off_keep_the_bound() {
    for (entries, seeds) in [(4, 12), (35, 3)] {
        for seed in 0..seeds {
            let mut fleet = start(entries, 20, 1, seed);
            for round in 0..12 {
                let n = (round * 7 + seed as usize) % entries;
                match round % 3 {
                    0 => fleet.restart(n),
                    1 => fleet.freeze(n, Moment::from_secs(2)),
                    _ => fleet.cut(n, Moment::from_secs(4)),
                }
                fleet.run(Moment::from_secs(2));
            }

            assert_bound(&fleet, &format!("{entries} entries, seed {seed}"));
        }
    }
}

// Guards against a verdict that is lost when all entries but those that are cut off restart.
#[test]
fn entries_that_restart_together_keep_the_bound() {
    for seed in 0..8 {
        let mut fleet = start(4, 12, 1, seed);
        fleet.run(Moment::from_secs(8));

        for n in 1..4 {
            fleet.restart(n);
        }
        fleet.run(Moment::from_secs(15));

        assert_bound(&fleet, &format!("seed {seed}"));
    }
}

#[test]
fn lost_messages_do_not_break_the_bound() {
    for (entries, seeds) in [(4, 12), (35, 3)] {
        for seed in 0..seeds {
            let mut fleet = start(entries, 20, 1, seed);
            fleet.loss = 0.4;

            fleet.run(Moment::from_secs(25));

            assert_bound(&fleet, &format!("{entries} entries, seed {seed}"));
        }
    }
}

// Guards against verdicts on sound parts, or none on the deadly one, while upstreams crash for other reasons.
#[test]
fn crashes_of_other_causes_do_not_hide_the_deadly_part() {
    for (entries, seeds) in [(1, 8), (4, 8), (35, 2)] {
        for seed in 0..seeds {
            let mut fleet = start(entries, 20, 1, seed);
            fleet.other_crashes_per_s = 1.0;

            fleet.run(Moment::from_secs(25));

            assert_bound(&fleet, &format!("{entries} entries, seed {seed}"));
        }
    }
}

// Guards against sound requests that are refused because upstreams crash for reasons of their own.
#[test]
fn without_a_deadly_part_nothing_is_refused() {
    for (entries, per_s) in [(1, 0.5), (4, 2.0), (35, 2.0)] {
        for seed in 0..6 {
            let mut fleet = Fleet::new(entries, 16, seed);
            fleet.other_crashes_per_s = per_s;

            fleet.run(Moment::from_secs(40));

            let refused = fleet.refused_share(Moment::ZERO);
            assert!(
                refused < 0.01,
                "{refused} refused, {entries} entries, seed {seed}"
            );
        }
    }
}

/// Loses all upstreams six times in a row, each time before a response can be sound; returns the share of sound requests
/// that are refused later than 6 s after the last time.
fn refused_after_outages(entries: usize, seed: u64) -> f64 {
    let mut fleet = Fleet::new(entries, 12, seed);
    fleet.run(ms(100));
    for _ in 0..6 {
        for n in 0..fleet.engine_count() {
            fleet.crash_engine(n);
        }
        fleet.run(ms(3_200));
    }
    let back = fleet.now;
    fleet.run(Moment::from_secs(15));
    fleet.refused_share(back + Moment::from_secs(6))
}

// Guards against parts that are refused after all upstreams were lost, at the start or several times in a row.
#[test]
fn outages_of_all_upstreams_leave_nothing_refused() {
    for entries in [1, 4, 35] {
        for seed in 0..6 {
            let refused = refused_after_outages(entries, seed);

            assert!(
                refused < 0.01,
                "{refused} refused, {entries} entries, seed {seed}"
            );
        }
    }
}

// Guards against a part that stays refused since the entries that may test it get few requests with it.
#[test]
fn outages_leave_nothing_refused_where_few_requests_can_test_a_verdict() {
    let refused = refused_after_outages(35, 7);

    assert!(refused < 0.01, "{refused} refused");
}

// Guards against a part whose crashes other deadly parts explain, since they were at the same upstreams.
#[test]
fn four_deadly_parts_among_few_upstreams_are_all_refused_in_time() {
    let mut fleet = start(1, 12, 4, 29);

    fleet.run(Moment::from_secs(40));

    assert_bound(&fleet, "seed 29");
}

// Guards against requests that crash one upstream after the other while nothing else is requested.
#[test]
fn a_deadly_part_is_refused_if_nothing_else_is_requested() {
    for entries in [1, 4, 35] {
        let mut fleet = Fleet::new(entries, 12, 3);
        fleet.deadly = [DEADLY].into();
        (fleet.sound_per_s, fleet.deadly_per_s) = (0.0, 3.0);

        fleet.run(Moment::from_secs(60));

        let late = fleet.late_reaches(DEADLY);
        assert!(late <= MAX_LATE, "{late} late requests, {entries} entries");
    }
}
