//! How long a comparison of staged chunks may be relied on.

use balsamjunction_policy::{
    staged_check::{StagedCheck, CORRUPTION_TOLERANCE, MAX_AGE_AT_ORDER},
    Moment,
};
use proptest::prelude::*;

/// Time after which the caller gives up an order without a response.
const ORDER_TIMEOUT: Moment = Moment::from_millis(1_000);

fn ms(n: u64) -> Moment {
    Moment::from_millis(n)
}

#[test]
fn a_comparison_just_made_may_be_relied_on() {
    let check = StagedCheck::start(ms(5_000));

    assert!(check.holds(ms(5_045)));
}

/// Guards against an order after a freeze of the host, which the clock of the process includes.
#[test]
fn a_comparison_from_before_a_freeze_is_not_relied_on() {
    let check = StagedCheck::start(ms(5_000));

    assert!(!check.holds(ms(9_060)));
}

proptest! {
    /// Guards against an order whose chunks may have been corrupt for too long when it is accepted.
    #[test]
    fn an_order_accepted_before_its_timeout_loads_no_old_corruption(
        started in 0_u64..100_000,
        first_read in 0_u64..5_000,
        sent in 0_u64..10_000,
        accepted in 0_u64..1_000,
    ) {
        let check = StagedCheck::start(ms(started));
        let corrupted_at = ms(started + first_read.min(sent));
        let sent_at = ms(started + sent);

        if check.holds(sent_at) {
            let accepted_at = sent_at + ms(accepted);
            prop_assert!(accepted_at - corrupted_at <= CORRUPTION_TOLERANCE);
        }
    }
}

#[test]
fn the_age_limit_leaves_time_for_the_order_on_its_way() {
    assert!(MAX_AGE_AT_ORDER + ORDER_TIMEOUT < CORRUPTION_TOLERANCE);
}
