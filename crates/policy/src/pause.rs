//! Detects that the process was suspended, so that its state is refreshed before it is used again.

use crate::Moment;

/// Detects long gaps between the iterations of a loop.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    lease: Moment,
    last_tick: Option<Moment>,
}

impl PauseDetector {
    /// Creates a detector for state that is stale once it is older than `lease`.
    pub fn new(lease: Moment) -> Self {
        Self {
            lease,
            last_tick: None,
        }
    }

    /// Records an iteration of the loop. Returns whether the gap since the previous one exceeded the lease.
    pub fn tick(&mut self, now: Moment) -> bool {
        let paused = self
            .last_tick
            .is_some_and(|last| now.saturating_sub(last) > self.lease);
        self.last_tick = Some(now);
        paused
    }
}
