//! Decides how long a comparison of staged weights with their digests may be relied on.
//!
//! Staged chunks can become corrupt at any time, and an engine loads what is staged when it accepts the
//! order. Whatever delays the order after the comparison, such as a suspended host or a slow engine, adds to
//! the time for which a loaded chunk may have been corrupt. See docs/WEIGHTS.md, "Stagers".

use crate::Moment;

/// Time for which the users' platform tolerates a corrupt chunk before an engine that loads it is at fault.
pub const CORRUPTION_TOLERANCE: Moment = Moment::from_millis(3_000);
/// An order is sent at most this long after the first read of its comparison. The rest of the tolerance is for
/// the order on its way: the caller gives it up after a second, and resets its connection.
pub const MAX_AGE_AT_ORDER: Moment = Moment::from_millis(1_500);

/// A comparison of all staged chunks with their digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StagedCheck {
    started_at: Moment,
}

impl StagedCheck {
    /// Starts a comparison; `now` is taken before the first chunk is read.
    pub fn start(now: Moment) -> Self {
        Self { started_at: now }
    }

    /// Time since the first read. Any chunk may have been corrupt for that long.
    pub fn age(&self, now: Moment) -> Moment {
        now.saturating_sub(self.started_at)
    }

    /// Whether an order that is sent now may rely on the comparison.
    pub fn holds(&self, now: Moment) -> bool {
        self.age(now) <= MAX_AGE_AT_ORDER
    }
}
