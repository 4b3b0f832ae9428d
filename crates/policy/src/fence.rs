//! Fencing tokens of orders to engines.

use derive_more::Display;

/// Bits below the revision; they hold the Unix second in which the sidecar started.
const START_BITS: u32 = 32;

/// Token that orders to an engine carry; ordered by revision of the declaration, then by start time
/// of the sidecar.
///
/// A sidecar that was replaced, or that resumes after a pause with an old declaration, has a lower
/// token than the active sidecar, so an engine that compares tokens rejects its orders.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Creates the token for orders under `revision` from a sidecar started at `start_s` (Unix seconds).
    pub fn new(revision: u64, start_s: u32) -> Self {
        Self((revision << START_BITS) | u64::from(start_s))
    }

    /// Returns the number that engines compare.
    pub fn value(self) -> u64 {
        self.0
    }
}
