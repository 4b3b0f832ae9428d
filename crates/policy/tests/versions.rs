//! Versions that overtake each other.

use balsamjunction_policy::{
    version_queue::{versions_to_fetch, VersionQueue},
    Moment,
};

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

#[test]
fn the_newest_version_is_fetched_first() {
    let queue = VersionQueue::default();

    assert_eq!(queue.next_version(at(0), &[3, 2]), Some(&3));
    assert!(queue.should_yield(at(0), &2, &[3, 2], 10, 64));
}

#[test]
fn a_version_that_is_well_begun_is_finished_first() {
    let queue = VersionQueue::default();

    assert!(!queue.should_yield(at(0), &2, &[3, 2], 32, 64));
    assert!(!queue.should_yield(at(0), &2, &[3, 2], 13, 64));
}

#[test]
fn an_older_version_goes_on_while_the_newest_does_not_come() {
    let mut queue = VersionQueue::default();

    queue.mark_stalled(at(100), &3);

    assert_eq!(queue.next_version(at(200), &[3, 2]), Some(&2));
    assert_eq!(queue.next_version(at(2_100), &[3, 2]), Some(&3));
}

#[test]
fn a_version_whose_manifest_takes_a_second_is_waited_for() {
    let mut queue = VersionQueue::default();

    for ms in (100..1_100).step_by(15) {
        queue.record_missing_manifest(at(ms), &3);
    }

    assert_eq!(queue.next_version(at(1_100), &[3, 2]), Some(&3));
}

#[test]
fn a_version_whose_manifest_does_not_come_is_left_alone_for_a_while() {
    let mut queue = VersionQueue::default();

    for ms in (100..1_700).step_by(15) {
        queue.record_missing_manifest(at(ms), &3);
    }

    assert_eq!(queue.next_version(at(1_700), &[3, 2]), Some(&2));
    assert_eq!(queue.next_version(at(3_700), &[3, 2]), Some(&3));
}

/// A fetch that gives way at once to a version that is left alone would begin again at once, for
/// ever, and nothing else of its process would run.
#[test]
fn whatever_is_chosen_next_does_not_give_way_at_once() {
    let mut queue = VersionQueue::default();
    for stalled in [vec![], vec![3], vec![2], vec![3, 2]] {
        for version in stalled {
            queue.mark_stalled(at(100), &version);
        }
        let missing = [3, 2];
        let next = queue
            .next_version(at(200), &missing)
            .expect("versions are missing");

        assert!(!queue.should_yield(at(200), next, &missing, 0, 64));
    }
}

/// With more versions wanted than are kept, a host that fetched older ones beside the newest would forget
/// the newest for them and fetch it again, for ever.
#[test]
fn nothing_older_than_a_version_that_is_held_is_fetched() {
    let held = |version: &u32| *version == 4;

    assert_eq!(versions_to_fetch(vec![5, 4, 3, 2, 1], held), [5]);
    assert!(versions_to_fetch(vec![4, 3, 2, 1], held).is_empty());
    assert_eq!(versions_to_fetch(vec![3, 2], held), [3, 2]);
}
