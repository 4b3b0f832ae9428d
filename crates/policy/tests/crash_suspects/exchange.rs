//! What entries tell each other, and the bounds of state and messages.

use balsamjunction_protocol::mesh::{CrashEvidence, CrashReport, Sighting, SoundPart};

use super::*;

/// An entry that refuses the deadly part.
fn convinced() -> (CrashSuspects, Moment) {
    let mut suspects = new_suspects();
    let end = crash_upstreams(&mut suspects, ms(0), ms(200), 4, &[FIRST, DEADLY]);
    suspects.record_sound(end, &[FIRST]);
    record_others(&mut suspects, end);
    let now = end + ms(500);
    assert!(admit(&mut suspects, now, &[DEADLY]).is_err());
    (suspects, now)
}

// Guards against entries that start, or wake, after the crashes and learn of the verdict from nobody.
#[test]
fn an_entry_that_starts_later_draws_the_same_conclusion() {
    let (convinced, now) = convinced();
    let mut late = new_suspects();
    assert_ne!(late.digest(), convinced.digest());

    late.merge(ms(5), ms(5), &convinced.evidence(now));

    assert!(admit(&mut late, ms(10), &[FIRST, DEADLY]).is_err());
    assert_eq!(admit(&mut late, ms(10), &[FIRST]), Ok(()));
    assert_eq!(late.digest(), convinced.digest());
}

#[test]
fn news_are_told_once_and_suffice_for_the_others() {
    let mut observer = new_suspects();
    crash_upstreams(&mut observer, ms(0), ms(200), 4, &[FIRST, DEADLY]);
    let news = observer.take_news(ms(800)).expect("there is news");
    let mut other = new_suspects();
    record_others(&mut other, ms(900));

    other.merge(ms(900), ms(900), &news);
    other.record_sound(ms(900), &[FIRST]);
    record_others(&mut other, ms(1_500));

    assert!(admit(&mut other, ms(1_900), &[FIRST, DEADLY]).is_err());
    assert_eq!(observer.take_news(ms(900)), None);
}

// Guards against a verdict on a part that was sound at another entry only.
#[test]
fn an_entry_tells_that_a_suspected_part_is_sound() {
    let mut observer = new_suspects();
    crash_upstreams(&mut observer, ms(1_000), ms(10), 3, &[FIRST]);
    let mut other = new_suspects();
    other.record_sound(ms(500), &[FIRST]);
    let news = observer.take_news(ms(1_100)).expect("there is news");

    other.merge(ms(1_100), ms(1_100), &news);
    let answer = other.take_news(ms(1_200)).expect("it knows the part");

    assert_eq!(answer.sound.len(), 1);
    assert_eq!(answer.sound[0].part, FIRST);
    // The other entries have heard it now.
    other.record_break(ms(1_300), &upstream(8), &[FIRST], true);
    let news = other.take_news(ms(1_300)).expect("there is news");
    assert_eq!(news.sound, []);
}

// Guards against times that drift forward with each exchange, so that an old response refutes every new crash.
#[test]
fn observations_that_pass_through_many_entries_do_not_become_later() {
    let (mut a, mut b) = (new_suspects(), new_suspects());
    a.record_sound(ms(0), &[DEADLY]);
    a.record_break(ms(10), &upstream(0), &[DEADLY], true);
    for n in 1..200 {
        let (queried_at, now) = (ms(n * 100), ms(n * 100 + 90));
        b.merge(now, queried_at, &a.evidence(queried_at + ms(45)));
        a.merge(now, queried_at, &b.evidence(queried_at + ms(45)));
    }
    let end = crash_upstreams(&mut a, ms(1_000), ms(200), 6, &[DEADLY]);
    record_others(&mut a, end);

    assert!(admit(&mut a, end + CONTACT_AFTER, &[DEADLY]).is_err());
}

// Guards against state and messages that grow with the parts that callers choose.
#[test]
fn state_and_messages_have_a_bound_whatever_parts_callers_choose() {
    let mut suspects = new_suspects();
    let mut now = ms(0);
    let mut largest = 0;
    for n in 0..2_000 {
        let parts: Vec<PromptPart> = (0..400).map(|k| PromptPart(n * 1_000 + k)).collect();
        suspects.record_break(now, &upstream(n), &parts, true);
        suspects.record_sound(now, &[PromptPart(u64::MAX - n)]);
        now += ms(20);
        for evidence in [Some(suspects.evidence(now)), suspects.take_news(now)] {
            let sightings = evidence.iter().flat_map(|e| &e.crashes);
            let sightings: usize = sightings.map(|c| c.sightings.len()).sum();
            let sound = evidence
                .as_ref()
                .map_or(0, |e| e.sound.len() + e.refused.len());
            largest = largest.max(sightings + sound);
        }
    }
    crash_upstreams(&mut suspects, now, ms(200), 4, &[FIRST, DEADLY]);
    suspects.record_sound(now + ms(900), &[FIRST]);
    record_others(&mut suspects, now + ms(900));

    assert!(largest <= 256, "{largest} observations in a message");
    assert!(admit(&mut suspects, now + ms(2_000), &[FIRST, DEADLY]).is_err());
    let debug = format!("{suspects:?}");
    assert!(debug.len() < 4_000_000, "{} bytes", debug.len());
}

#[test]
fn malformed_evidence_is_harmless() {
    let sighting = Sighting {
        part: DEADLY,
        position: u16::MAX,
        began: true,
        age_ms: u64::MAX,
    };
    let evidence = CrashEvidence {
        crashes: (0..5_000)
            .map(|n| CrashReport {
                upstream: format!("x{n}").into(),
                started_at_ms: u64::MAX,
                sightings: vec![sighting; 3],
            })
            .collect(),
        sound: vec![
            SoundPart {
                part: FIRST,
                age_ms: u64::MAX,
            };
            9_000
        ],
        refused: vec![FIRST; 9_000],
        testing: vec![FIRST; 9_000],
    };
    let mut suspects = new_suspects();

    suspects.merge(ms(10), ms(10), &evidence);

    assert_eq!(admit(&mut suspects, ms(20), &[FIRST]), Ok(()));
}
