//! Identical requests that crash upstreams: what one entry concludes, and what a fleet lets reach the upstreams.

use balsamjunction_policy::crash_suspects::Confidence;

use super::{fleet_model::Fleet, *};

/// Identical requests that may reach upstreams later than [`CONTACT_AFTER`] after their third crash.
const MAX_LATE: usize = 3;

/// Starts a fleet and plays two seconds of sound requests, then a request comes again and again that crashes upstreams.
fn start(entries: usize, engines: usize, deadly: u64, seed: u64) -> Fleet {
    let mut fleet = Fleet::of_requests(entries, engines, seed);
    fleet.run(Moment::from_secs(2));
    fleet.deadly = (0..deadly).map(|n| PromptPart(DEADLY.0 + n)).collect();
    fleet.deadly_per_s = 5.0;
    fleet
}

#[track_caller]
fn assert_bound(fleet: &Fleet, case: &str) {
    for request in &fleet.deadly {
        let late = fleet.late_reaches(*request);
        assert!(late <= MAX_LATE, "{late} late requests, {case}");
    }
    let refused = fleet.refused_share(Moment::ZERO);
    assert!(
        refused < 0.01,
        "{refused} of sound requests refused, {case}"
    );
}

// Guards against three crashes of one moment that refuse a sound request for good.
#[test]
fn a_request_that_was_sound_survives_the_loss_of_all_upstreams() {
    let mut suspects = new_request_suspects();
    suspects.record_sound(ms(0), &[FIRST]);

    crash_upstreams(&mut suspects, ms(100), ms(5), 9, &[FIRST]);

    assert_eq!(admit(&mut suspects, ms(200), &[FIRST]), Ok(()));
}

// Guards against requests that nobody has seen served yet and that crash all upstreams at once, then some more.
#[test]
fn three_crashes_at_once_refuse_a_request_until_a_test_succeeds() {
    let mut suspects = new_request_suspects();
    let end = crash_upstreams(&mut suspects, ms(0), ms(5), 3, &[FIRST]);
    let refused = admit(&mut suspects, end, &[FIRST]).is_err();
    record_others(&mut suspects, ms(2_000));

    let other = admit(&mut suspects, ms(2_100), &[FIRST]).is_err();
    let tester = suspects.admit(ms(2_100), &[FIRST], |_, _| true);
    let second = suspects.admit(ms(2_150), &[FIRST], |_, _| true).is_err();
    suspects.record_sound(ms(2_200), &[FIRST]);

    assert!(refused && other && second);
    assert_eq!(tester, Ok(()));
    assert_eq!(admit(&mut suspects, ms(2_300), &[FIRST]), Ok(()));
}

// Guards against a request that was sound and crashes upstreams from then on.
#[test]
fn three_separate_crashes_refuse_a_request_that_was_sound() {
    let mut suspects = new_request_suspects();
    suspects.record_sound(ms(0), &[DEADLY]);

    let end = crash_upstreams(&mut suspects, ms(100), ms(200), 3, &[DEADLY]);

    assert!(admit(&mut suspects, end, &[DEADLY]).is_err());
}

// Guards against tests of a verdict that crash upstreams for ever.
#[test]
fn a_failed_test_makes_the_next_ones_rare() {
    let mut suspects = new_request_suspects();
    let end = crash_upstreams(&mut suspects, ms(0), ms(200), 3, &[DEADLY]);
    let (mut tests, mut now) = (Vec::new(), end);
    while now < Moment::from_secs(600) {
        record_others(&mut suspects, now);
        if suspects.admit(now, &[DEADLY], |_, _| true).is_ok() {
            tests.push(now);
            let n = 100 + tests.len() as u64;
            suspects.record_break(now + ms(90), &upstream(n), &[DEADLY], false);
        }
        now += ms(500);
    }

    let changes = suspects.take_changes();
    assert_eq!(changes[0].confidence, Some(Confidence::Tentative));
    let late = tests.iter().filter(|at| **at > end + CONTACT_AFTER);
    assert!(late.count() <= MAX_LATE, "{tests:?}");
}

// Guards against a crash of the same moment, heard of late, that is taken for a failed test.
#[test]
fn a_late_report_of_the_same_outage_fails_no_test() {
    let mut suspects = new_request_suspects();
    crash_upstreams(&mut suspects, ms(0), ms(5), 3, &[FIRST]);
    let mut observer = new_request_suspects();
    observer.record_break(ms(20), &upstream(7), &[FIRST], false);
    let news = observer.take_news(ms(900)).expect("there is news");
    record_others(&mut suspects, ms(800));

    suspects.merge(ms(1_200), ms(1_200), &news);

    assert!(suspects.admit(ms(5_000), &[FIRST], |_, _| true).is_ok());
}

#[test]
fn a_fleet_of_any_size_refuses_a_request_that_crashes_upstreams_and_nothing_else() {
    for (entries, engines, seeds) in [(1, 6, 12), (4, 12, 12), (35, 40, 4), (300, 60, 1)] {
        for seed in 0..seeds {
            let mut fleet = start(entries, engines, 1, seed);

            fleet.run(Moment::from_secs(90));

            assert!(fleet.crashes.len() >= 3);
            assert_bound(&fleet, &format!("{entries} entries, seed {seed}"));
        }
    }
}

#[test]
fn several_requests_that_crash_upstreams_are_refused_and_nothing_else() {
    for (entries, engines, seeds) in [(1, 12, 8), (4, 16, 8), (35, 60, 2)] {
        for seed in 0..seeds {
            let mut fleet = start(entries, engines, 3, seed);

            fleet.run(Moment::from_secs(90));

            assert_bound(&fleet, &format!("{entries} entries, seed {seed}"));
        }
    }
}

// Guards against a bound that rests on one view of the members: each entry does not know a tenth of the others.
#[test]
fn entries_that_disagree_about_who_is_alive_keep_the_bound() {
    for (entries, engines, seeds) in [(4, 12, 12), (35, 40, 4), (300, 60, 1)] {
        for seed in 0..seeds {
            let mut fleet = start(entries, engines, 1, seed);
            for n in 0..entries {
                let others = (0..entries).filter(|other| *other != n);
                let unknown =
                    others.filter(|other| (other * 7 + n * 3 + seed as usize).is_multiple_of(10));
                fleet.unknown[n] = unknown.collect();
            }

            fleet.run(Moment::from_secs(90));

            assert_bound(&fleet, &format!("{entries} entries, seed {seed}"));
        }
    }
}

#[test]
fn entries_that_restart_freeze_or_are_cut_off_keep_the_bound() {
    for (entries, seeds) in [(4, 12), (35, 3)] {
        for seed in 0..seeds {
            let mut fleet = start(entries, 20, 1, seed);
            fleet.loss = 0.2;
            for round in 0..30 {
                let n = (round * 7 + seed as usize) % entries;
                match round % 3 {
                    0 => fleet.restart(n),
                    1 => fleet.freeze(n, Moment::from_secs(2)),
                    _ => fleet.cut(n, Moment::from_secs(4)),
                }
                fleet.run(Moment::from_secs(3));
            }

            assert_bound(&fleet, &format!("{entries} entries, seed {seed}"));
        }
    }
}

#[test]
fn crashes_of_other_causes_do_not_hide_the_request() {
    for (entries, seeds) in [(1, 8), (4, 8), (35, 2)] {
        for seed in 0..seeds {
            let mut fleet = start(entries, 20, 1, seed);
            fleet.other_crashes_per_s = 1.0;

            fleet.run(Moment::from_secs(60));

            assert_bound(&fleet, &format!("{entries} entries, seed {seed}"));
        }
    }
}

// Guards against a bound that needs responses to other requests.
#[test]
fn the_bound_holds_if_nothing_else_is_requested() {
    for entries in [1, 4, 35, 300] {
        let mut fleet = Fleet::of_requests(entries, 12, 3);
        fleet.deadly = [DEADLY].into();
        (fleet.sound_per_s, fleet.deadly_per_s) = (0.0, 3.0);

        fleet.run(Moment::from_secs(90));

        let late = fleet.late_reaches(DEADLY);
        assert!(late <= MAX_LATE, "{late} late requests, {entries} entries");
    }
}

// Guards against a sound request, sent often, that stays refused after all upstreams were lost, once or several times.
#[test]
fn outages_of_all_upstreams_leave_nothing_refused() {
    for entries in [1, 4, 35] {
        for seed in 0..6 {
            for outages in [1, 6] {
                let mut fleet = Fleet::of_requests(entries, 12, seed);
                fleet.run(ms(250));
                for _ in 0..outages {
                    for n in 0..fleet.engine_count() {
                        fleet.crash_engine(n);
                    }
                    fleet.run(ms(3_200));
                }
                let back = fleet.now;
                fleet.run(Moment::from_secs(15));

                let refused = fleet.refused_share(back + Moment::from_secs(6));
                let case = format!("{entries} entries, seed {seed}, {outages} outages");
                assert!(refused < 0.01, "{refused} refused, {case}");
            }
        }
    }
}

// Guards against state and messages that grow with the requests that callers choose.
#[test]
fn state_and_messages_have_a_bound() {
    let mut suspects = new_request_suspects();
    let mut largest = 0;
    for n in 0..20_000 {
        let now = ms(n);
        suspects.record_break(now, &upstream(n / 40), &[PromptPart(n)], false);
        suspects.record_sound(now, &[PromptPart(u64::MAX - n)]);
        if n % 100 == 0 {
            for evidence in [Some(suspects.evidence(now)), suspects.take_news(now)] {
                let crashes = evidence.iter().flat_map(|evidence| &evidence.crashes);
                let sightings: usize = crashes.map(|crash| crash.sightings.len()).sum();
                largest = largest.max(sightings);
            }
        }
    }

    assert!(largest <= 128, "{largest} observations in a message");
    let debug = format!("{suspects:?}");
    assert!(debug.len() < 4_000_000, "{} bytes", debug.len());
}
