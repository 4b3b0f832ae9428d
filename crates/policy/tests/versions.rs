//! The order of fetches while versions supersede each other.

use balsamjunction_policy::{
    version_queue::{versions_to_fetch, VersionQueue},
    Moment,
};

fn millis(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

#[test]
fn the_newest_version_is_fetched_first() {
    let queue = VersionQueue::default();

    assert_eq!(queue.next_version(millis(0), &[3, 2]), Some(&3));
    assert!(queue.should_yield(millis(0), &2, &[3, 2], (10, 64), millis(0)));
}

#[test]
fn a_fetch_past_the_finish_threshold_is_finished_first() {
    let queue = VersionQueue::default();

    assert!(!queue.should_yield(millis(0), &2, &[3, 2], (32, 64), millis(0)));
    assert!(!queue.should_yield(millis(0), &2, &[3, 2], (13, 64), millis(0)));
}

// Guards against a fetch that lacks two chunks whose owners moved on, and holds up a newer version whose chunks all arrived:
// the first engine got that one 3.5 s after its last chunk had been fetched from the origin.
#[test]
fn a_fetch_without_progress_yields_to_a_newer_version() {
    let queue = VersionQueue::default();

    assert!(queue.should_yield(millis(0), &2, &[3, 2], (46, 48), millis(300)));
}

#[test]
fn a_fetch_without_progress_goes_on_while_the_newer_version_is_stalled() {
    let mut queue = VersionQueue::default();
    queue.mark_stalled(millis(0), &3);

    let before = queue.should_yield(millis(100), &2, &[3, 2], (46, 48), millis(300));
    queue.record_stored(&3, 1);

    assert!(!before);
    assert!(queue.should_yield(millis(100), &2, &[3, 2], (46, 48), millis(300)));
}

// Guards against hosts that own nothing of the newest version, and learned of the return of the origin 2 s too late.
#[test]
fn a_stalled_version_is_fetched_again_once_the_origin_is_back() {
    let mut queue = VersionQueue::default();
    queue.record_origin_state(true);
    queue.mark_stalled(millis(0), &3);

    queue.record_origin_state(false);

    assert_eq!(queue.next_version(millis(100), &[3, 2]), Some(&3));
}

#[test]
fn an_older_version_is_fetched_while_the_newest_is_stalled() {
    let mut queue = VersionQueue::default();

    queue.mark_stalled(millis(100), &3);

    assert_eq!(queue.next_version(millis(200), &[3, 2]), Some(&2));
    assert_eq!(queue.next_version(millis(2_100), &[3, 2]), Some(&3));
}

#[test]
fn a_manifest_that_takes_a_second_does_not_stall_its_version() {
    let mut queue = VersionQueue::default();

    for ms in (100..1_100).step_by(15) {
        queue.record_missing_manifest(millis(ms), &3);
    }

    assert_eq!(queue.next_version(millis(1_100), &[3, 2]), Some(&3));
}

#[test]
fn a_version_without_a_manifest_is_skipped_for_a_while() {
    let mut queue = VersionQueue::default();

    for ms in (100..1_700).step_by(15) {
        queue.record_missing_manifest(millis(ms), &3);
    }

    assert_eq!(queue.next_version(millis(1_700), &[3, 2]), Some(&2));
    assert_eq!(queue.next_version(millis(3_700), &[3, 2]), Some(&3));
}

// Guards against an endless loop: a fetch that yields at once to a stalled version is selected again, and
// nothing else in its process runs.
#[test]
fn the_next_version_does_not_yield_at_once() {
    let mut queue = VersionQueue::default();
    for stalled in [vec![], vec![3], vec![2], vec![3, 2]] {
        for version in stalled {
            queue.mark_stalled(millis(100), &version);
        }
        let missing = [3, 2];
        let next = queue
            .next_version(millis(200), &missing)
            .expect("versions are missing");

        assert!(!queue.should_yield(millis(200), next, &missing, (0, 64), millis(0)));
    }
}

// Guards against an endless loop with more target versions than are stored: a host that fetched older ones
// besides the newest removed the newest for them and fetched it again.
#[test]
fn no_version_older_than_a_complete_one_is_fetched() {
    let is_complete = |version: &u32| *version == 4;

    assert_eq!(versions_to_fetch(vec![5, 4, 3, 2, 1], is_complete), [5]);
    assert!(versions_to_fetch(vec![4, 3, 2, 1], is_complete).is_empty());
    assert_eq!(versions_to_fetch(vec![3, 2], is_complete), [3, 2]);
}
