//! Which requests a stopping gateway passes on.

use balsamjunction_policy::{
    shutdown::{Interruptible, Shutdown},
    Moment,
};
use proptest::prelude::*;

/// When the stop was signalled.
const SIGNALLED_AT: Moment = Moment::from_secs(100);
const GRACE: Moment = Moment::from_secs(8);

fn ms(n: u64) -> Moment {
    Moment::from_millis(n)
}

fn shutdown() -> Shutdown {
    Shutdown::new(SIGNALLED_AT, GRACE)
}

/// Whether a request is passed on `after` the signal, with this much time left and this expected response time.
fn passes_on(after: Moment, expected: Moment, left: Moment, request: Interruptible) -> bool {
    let now = SIGNALLED_AT + after;
    shutdown().may_pass_on(now, expected, now + left, request)
}

#[test]
fn shortly_after_the_signal_requests_that_should_end_in_time_are_passed_on() {
    let request = |request| passes_on(ms(1_000), ms(50), ms(20_000), request);

    assert!(request(Interruptible::Repeatable));
    assert!(request(Interruptible::Once));
    assert!(!request(Interruptible::StreamedOnce));
}

#[test]
fn a_request_whose_time_limit_ends_before_the_last_responses_is_passed_on() {
    for kind in [
        Interruptible::Repeatable,
        Interruptible::Once,
        Interruptible::StreamedOnce,
    ] {
        assert!(passes_on(ms(5_000), ms(2_000), ms(2_000), kind));
    }
}

/// Guards against a request that runs once and is passed on so late that the exit of the process may cut it.
#[test]
fn late_in_the_grace_a_request_that_runs_once_and_may_outlast_it_is_not_passed_on() {
    assert!(!passes_on(
        ms(5_000),
        ms(50),
        ms(3_000),
        Interruptible::Once
    ));
}

#[test]
fn a_repeatable_request_that_cannot_be_answered_in_time_is_not_passed_on() {
    let request = Interruptible::Repeatable;

    assert!(passes_on(ms(6_000), ms(1_000), ms(5_000), request));
    assert!(!passes_on(ms(6_000), ms(1_400), ms(5_000), request));
}

proptest! {
    /// Guards against a request that runs once, arrives or waits past the time from which requests are rejected, and is
    /// still at its upstream when the process exits.
    #[test]
    fn a_request_that_runs_once_and_is_passed_on_late_ends_in_time(
        after in 2_900_u64..8_000,
        expected in 0_u64..5_000,
        left in 0_u64..20_000,
        streamed: bool,
    ) {
        let request = match streamed {
            true => Interruptible::StreamedOnce,
            false => Interruptible::Once,
        };
        if passes_on(ms(after), ms(expected), ms(left), request) {
            let deadline = SIGNALLED_AT + ms(after) + ms(left);
            prop_assert!(deadline <= shutdown().last_responses_at());
            prop_assert!(!shutdown().may_exit(deadline, false));
        }
    }
}
