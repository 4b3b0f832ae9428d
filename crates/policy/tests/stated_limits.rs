//! Limits that upstreams state, as entries observe them and report them to each other.

use balsamjunction_policy::{
    stated_limits::{StatedLimits, UpstreamId},
    Moment,
};
use balsamjunction_protocol::mesh::LimitReport;

fn ms(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn upstream() -> UpstreamId {
    ("i-1".into(), 7)
}

fn report(per_s: Option<f64>, age_ms: u64) -> LimitReport {
    LimitReport {
        upstream: "i-1".into(),
        started_at_ms: 7,
        per_s,
        age_ms,
        revision: 1,
    }
}

/// A report of a change that was observed after `revision - 1` others.
fn revised_report(per_s: Option<f64>, age_ms: u64, revision: u64) -> LimitReport {
    LimitReport {
        revision,
        ..report(per_s, age_ms)
    }
}

fn limit_of(limits: &StatedLimits) -> Option<f64> {
    limits.get(&upstream()).map(|limit| limit.per_s)
}

/// Limits with one that was observed at `at`.
fn observed(at: Moment, per_s: f64) -> StatedLimits {
    let mut limits = StatedLimits::default();
    limits.record_response(at, at, &upstream(), Some(per_s));
    limits
}

// Guards against a limit that ends because of a response that was on its way when the limit was stated.
#[test]
fn a_response_to_an_earlier_request_lowers_a_limit_and_neither_raises_nor_ends_it() {
    let mut limits = observed(ms(1_000), 2.0);

    let ended = limits.record_response(ms(1_010), ms(900), &upstream(), None);
    let raised = limits.record_response(ms(1_020), ms(900), &upstream(), Some(5.0));
    let after_both = limit_of(&limits);
    let lowered = limits.record_response(ms(1_030), ms(900), &upstream(), Some(1.0));

    assert!(!ended && !raised && lowered);
    assert_eq!(after_both, Some(2.0));
    assert_eq!(limit_of(&limits), Some(1.0));
}

#[test]
fn a_response_to_a_later_request_changes_or_ends_a_limit() {
    let mut limits = observed(ms(1_000), 2.0);

    let raised = limits.record_response(ms(1_100), ms(1_001), &upstream(), Some(5.0));
    let after_raise = limit_of(&limits);
    let ended = limits.record_response(ms(1_200), ms(1_101), &upstream(), None);

    assert!(raised && ended);
    assert_eq!(after_raise, Some(5.0));
    assert_eq!(limit_of(&limits), None);
}

// Guards against a limit that holds for another start of an upstream.
#[test]
fn another_start_of_an_upstream_has_no_limit() {
    let limits = observed(ms(1_000), 2.0);

    assert_eq!(limits.get(&("i-1".into(), 8)), None);
}

// Guards against the reported end of an earlier limit that ends the present one.
#[test]
fn a_report_of_an_earlier_observation_is_ignored() {
    let mut limits = observed(ms(10_000), 2.0);

    let changed = limits.merge(ms(10_100), &[report(None, 5_000), report(Some(1.0), 5_000)]);

    assert!(changed.is_empty());
    assert_eq!(limit_of(&limits), Some(2.0));
}

// Guards against the transit of a message, which makes an observation look more recent than it is.
#[test]
fn of_two_observations_of_about_the_same_time_the_lower_limit_holds() {
    let mut limits = observed(ms(10_000), 2.0);

    limits.merge(ms(10_100), &[report(None, 0)]);
    let after_end = limit_of(&limits);
    limits.merge(ms(10_100), &[report(Some(1.0), 300)]);

    assert_eq!(after_end, Some(2.0));
    assert_eq!(limit_of(&limits), Some(1.0));
}

// Guards against a limit that ends soon after it was stated and that others keep for ever, since no further
// response of the upstream shows them that it has ended.
#[test]
fn the_end_of_a_limit_that_was_just_stated_reaches_the_others() {
    let mut observer = observed(ms(10_000), 2.0);
    let mut other = StatedLimits::default();
    other.merge(ms(10_020), &observer.reports(ms(10_010)));
    let before = limit_of(&other);

    observer.record_response(ms(10_100), ms(10_050), &upstream(), None);
    other.merge(ms(10_120), &observer.reports(ms(10_110)));
    // A report from before the end that is delivered late.
    other.merge(ms(10_200), &[report(Some(2.0), 50)]);

    assert_eq!(before, Some(2.0));
    assert_eq!(limit_of(&other), None);
}

#[test]
fn a_report_of_a_later_observation_raises_or_ends_a_limit() {
    let mut limits = observed(ms(10_000), 2.0);

    limits.merge(ms(12_000), &[report(Some(5.0), 100)]);
    let after_raise = limit_of(&limits);
    let changed = limits.merge(ms(14_000), &[report(None, 100)]);

    assert_eq!(after_raise, Some(5.0));
    assert_eq!(changed, [(upstream(), None)]);
    assert_eq!(limit_of(&limits), None);
}

// Guards against an entry that returns from a partition and restores a limit that has ended meanwhile.
#[test]
fn a_report_that_is_too_old_restores_no_limit() {
    let mut limits = StatedLimits::default();

    let stale = limits.merge(ms(100_000), &[report(Some(1.0), 31_000)]);
    let recent = limits.merge(ms(100_000), &[report(Some(1.0), 2_000)]);

    assert!(stale.is_empty());
    assert_eq!(recent, [(upstream(), Some(1.0))]);
}

// Guards against messages that carry, for as long as the upstream serves, that it has no limit any more.
#[test]
fn responses_after_the_end_of_a_limit_do_not_prolong_its_reports() {
    let mut limits = observed(ms(10_000), 2.0);
    for second in 12..90 {
        let now = ms(1_000 * second);
        limits.record_response(now, now, &upstream(), None);
    }

    let reports = limits.reports(ms(90_000));
    limits.expire(ms(90_000));
    let stated_again = limits.record_response(ms(91_000), ms(90_500), &upstream(), Some(1.0));

    assert!(reports.is_empty(), "{reports:?}");
    assert!(stated_again);
}

#[test]
fn the_end_of_a_limit_is_reported_until_every_report_of_the_limit_is_too_old() {
    let mut limits = observed(ms(10_000), 2.0);
    limits.record_response(ms(22_000), ms(21_000), &upstream(), None);

    limits.expire(ms(49_000));
    let reports = limits.reports(ms(49_000));
    let restored = limits.merge(ms(49_000), &[report(Some(2.0), 29_500)]);
    limits.expire(ms(82_001));

    assert_eq!(reports, [revised_report(None, 27_000, 2)]);
    assert!(restored.is_empty());
    assert!(limits.reports(ms(82_001)).is_empty());
}

// Guards against messages and memory that grow with the number of upstreams, and against invalid values.
#[test]
fn reports_are_bounded_and_invalid_ones_are_ignored() {
    let mut limits = StatedLimits::default();
    for n in 0..5_000 {
        let upstream = (format!("i-{n}").into(), 7);
        limits.record_response(ms(n), ms(n), &upstream, Some(1.0));
    }

    let reports = limits.reports(ms(5_000));
    let invalid = [f64::NAN, f64::INFINITY, -1.0].map(|per_s| report(Some(per_s), 0));
    let merged = StatedLimits::default().merge(ms(5_000), &invalid);

    assert_eq!(reports.len(), 64);
    assert_eq!(reports[0].upstream, "i-4999");
    assert_eq!(limits.get(&("i-0".into(), 7)), None);
    assert!(merged.is_empty());
}
