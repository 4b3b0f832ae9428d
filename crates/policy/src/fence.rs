//! Fencing numbers of orders to engines.

use derive_more::Display;

/// Bits below the revision, for the second in which the sidecar started.
const START_BITS: u32 = 32;

/// Orders compare: a newer declaration first, then a later start of the sidecar.
///
/// A sidecar that was replaced, or that wakes with an old declaration in mind, has a lower number
/// than the one that acts now, so an engine that compares numbers refuses it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(u64);

impl FencingToken {
    /// The number of orders under `revision` from a sidecar started at `start_s` (Unix seconds).
    pub fn new(revision: u64, start_s: u32) -> Self {
        Self((revision << START_BITS) | u64::from(start_s))
    }

    /// The number as engines compare it.
    pub fn value(self) -> u64 {
        self.0
    }
}
