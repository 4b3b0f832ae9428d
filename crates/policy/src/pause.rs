//! Notices that the process stood still, so that held beliefs are read again before they are used.

use crate::Moment;

/// Watches the gaps between the turns of a loop.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    lease: Moment,
    last: Option<Moment>,
}

impl PauseDetector {
    /// Beliefs older than `lease` are stale.
    pub fn new(lease: Moment) -> Self {
        Self { lease, last: None }
    }

    /// Notes a turn of the loop and tells whether the gap before it outlasted the lease.
    pub fn tick(&mut self, now: Moment) -> bool {
        let paused = self
            .last
            .is_some_and(|last| now.saturating_sub(last) > self.lease);
        self.last = Some(now);
        paused
    }
}
