//! What one entry concludes.

use balsamjunction_policy::crash_suspects::Confidence;

use super::*;

#[test]
fn the_part_that_all_crashes_share_is_refused_and_no_other() {
    let mut suspects = new_suspects();
    for n in 0..3 {
        let parts = [FIRST, DEADLY, PromptPart(n)];
        suspects.record_break(ms(n * 200), &upstream(n), &parts, true);
    }
    record_others(&mut suspects, ms(500));

    let refused = admit(&mut suspects, ms(900), &[FIRST, DEADLY]);

    assert_eq!(refused.map_err(|r| r.part), Err(DEADLY));
    assert_eq!(
        admit(&mut suspects, ms(900), &[FIRST, PromptPart(1)]),
        Ok(())
    );
}

// Guards against a verdict on the first part, which a few more crashes contain than the deadly part.
#[test]
fn a_first_part_with_one_crash_more_is_not_refused() {
    let mut suspects = new_suspects();
    suspects.record_break(ms(0), &upstream(9), &[FIRST], false);
    let end = crash_upstreams(&mut suspects, ms(200), ms(200), 4, &[FIRST, DEADLY]);
    record_others(&mut suspects, end);

    let sound = admit(&mut suspects, end + ms(500), &[FIRST]);
    let deadly = admit(&mut suspects, end + ms(500), &[FIRST, DEADLY]);

    assert_eq!(sound, Ok(()));
    assert!(deadly.is_err());
}

// Guards against verdicts on one narrow part after the other while a part that they all contain is the cause.
#[test]
fn a_first_part_that_is_deadly_itself_is_refused() {
    let mut suspects = new_suspects();
    for n in 0..5 {
        let parts = [FIRST, PromptPart(n)];
        suspects.record_break(ms(n * 200), &upstream(n), &parts, true);
    }
    record_others(&mut suspects, ms(900));

    let refused = admit(&mut suspects, ms(1_400), &[FIRST, PromptPart(77)]);

    assert_eq!(refused.map_err(|r| r.part), Err(FIRST));
}

#[test]
fn a_part_that_was_sound_and_becomes_deadly_is_refused_after_five_crashes() {
    let mut suspects = new_suspects();
    suspects.record_sound(ms(0), &[FIRST, DEADLY]);
    let end = crash_upstreams(&mut suspects, ms(1_000), ms(200), 5, &[FIRST, DEADLY]);
    suspects.record_sound(end, &[FIRST]);
    record_others(&mut suspects, end);

    let refused = admit(&mut suspects, end + CONTACT_AFTER, &[FIRST, DEADLY]);

    assert_eq!(refused.map_err(|r| r.part), Err(DEADLY));
}

// Guards against a verdict on what runs everywhere when a data centre or all connections are lost at once.
#[test]
fn upstreams_that_break_together_are_one_episode() {
    let mut suspects = new_suspects();
    crash_upstreams(&mut suspects, ms(0), ms(5), 4, &[FIRST]);
    record_others(&mut suspects, ms(100));

    assert_eq!(admit(&mut suspects, ms(2_000), &[FIRST]), Ok(()));
}

// Guards against requests with a part that crashes many upstreams at once and then some more.
#[test]
fn five_crashes_suffice_however_close_to_each_other() {
    let mut suspects = new_suspects();
    crash_upstreams(&mut suspects, ms(0), ms(5), 5, &[FIRST, DEADLY]);
    record_others(&mut suspects, ms(100));
    suspects.record_sound(ms(200), &[FIRST]);

    assert!(admit(&mut suspects, CONTACT_AFTER, &[DEADLY]).is_err());
    assert_eq!(admit(&mut suspects, CONTACT_AFTER, &[FIRST]), Ok(()));
}

// Guards against an outage of all upstreams after which the parts that ran there are refused.
#[test]
fn parts_that_were_sound_are_not_refused_while_no_upstream_responds() {
    let mut suspects = new_suspects();
    suspects.record_sound(ms(0), &[FIRST]);
    crash_upstreams(&mut suspects, ms(1_000), ms(300), 30, &[FIRST]);

    assert_eq!(admit(&mut suspects, ms(60_000), &[FIRST]), Ok(()));
}

// Guards against requests that crash upstreams without end because no other request shows that they work.
#[test]
fn a_part_is_refused_even_if_nothing_else_is_requested() {
    let mut suspects = new_suspects();
    let end = crash_upstreams(&mut suspects, ms(0), ms(400), 5, &[DEADLY]);

    assert!(admit(&mut suspects, end - ms(400) + CONTACT_AFTER, &[DEADLY]).is_err());
    let changes = suspects.take_changes();
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].confidence, Some(Confidence::Tentative));
}

#[test]
fn five_crashes_before_any_response_suffice() {
    let mut suspects = new_suspects();
    for n in 0..5 {
        suspects.record_break(ms(n * 200), &upstream(n), &[FIRST, DEADLY], false);
        suspects.record_sound(ms(n * 200 + 100), &[FIRST]);
    }
    record_others(&mut suspects, ms(900));

    assert!(admit(&mut suspects, ms(800) + CONTACT_AFTER, &[FIRST, DEADLY]).is_err());
    assert_eq!(
        admit(&mut suspects, ms(800) + CONTACT_AFTER, &[FIRST]),
        Ok(())
    );
}

#[test]
fn a_response_to_a_suspected_part_ends_the_suspicion() {
    let mut suspects = new_suspects();
    let end = crash_upstreams(&mut suspects, ms(0), ms(200), 4, &[FIRST, DEADLY]);
    record_others(&mut suspects, end);
    assert!(admit(&mut suspects, end + ms(500), &[DEADLY]).is_err());

    suspects.record_sound(end + ms(600), &[DEADLY]);

    assert_eq!(admit(&mut suspects, end + ms(700), &[DEADLY]), Ok(()));
    let changes = suspects.take_changes();
    let of_part = changes.iter().filter(|change| change.part == DEADLY);
    let confidences: Vec<_> = of_part.map(|change| change.confidence).collect();
    assert_eq!(confidences, [Some(Confidence::Firm), None]);
}

#[test]
fn several_deadly_parts_are_refused() {
    let mut suspects = new_suspects();
    for n in 0..9 {
        let deadly = PromptPart(0xd0 + n % 3);
        suspects.record_break(ms(n * 200), &upstream(n), &[FIRST, deadly], true);
        suspects.record_sound(ms(n * 200 + 100), &[FIRST]);
    }
    record_others(&mut suspects, ms(1_900));

    for n in 0..3 {
        let parts = [FIRST, PromptPart(0xd0 + n)];
        assert!(admit(&mut suspects, ms(2_400), &parts).is_err(), "part {n}");
    }
    assert_eq!(admit(&mut suspects, ms(2_400), &[FIRST]), Ok(()));
}

// Guards against verdicts that a wrong conclusion makes permanent, and against tests that crash upstreams for ever.
#[test]
fn a_verdict_is_tested_by_one_entry_and_less_and_less_often() {
    let mut suspects = new_suspects();
    let end = crash_upstreams(&mut suspects, ms(0), ms(200), 4, &[DEADLY]);
    record_others(&mut suspects, end);
    let (mut tests, mut now) = (Vec::new(), end + ms(500));
    while now < Moment::from_secs(3_600) {
        assert!(admit(&mut suspects, now, &[DEADLY]).is_err());
        if suspects.admit(now, &[DEADLY], |_, _| true).is_ok() {
            assert_eq!(suspects.refused_part(now, &[DEADLY]), None);
            tests.push(now);
            let n = 100 + tests.len() as u64;
            suspects.record_break(now + ms(100), &upstream(n), &[DEADLY], true);
        }
        now += Moment::from_secs(1);
    }

    assert!(tests.len() >= 3, "{tests:?}");
    let first_ten_minutes = tests.iter().filter(|at| **at < Moment::from_secs(600));
    assert!(first_ten_minutes.count() <= 3, "{tests:?}");
}

// Guards against a verdict that ends although requests with the part keep coming, or that never ends.
#[test]
fn a_verdict_lasts_for_as_long_as_requests_come() {
    let mut suspects = new_suspects();
    let end = crash_upstreams(&mut suspects, ms(0), ms(200), 4, &[DEADLY]);
    record_others(&mut suspects, end);
    let mut now = end + ms(500);
    while now < Moment::from_secs(2_000) {
        assert!(admit(&mut suspects, now, &[DEADLY]).is_err(), "{now:?}");
        suspects.record_break(now, &upstream(50), &[FIRST], false);
        now += Moment::from_secs(30);
    }

    now += Moment::from_secs(700);
    suspects.record_break(now, &upstream(51), &[FIRST], false);

    assert_eq!(admit(&mut suspects, now, &[DEADLY]), Ok(()));
}
