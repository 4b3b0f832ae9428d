//! A link with a rate.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Unused time that a link may catch up on, since timers wake late.
const CATCH_UP: Duration = Duration::from_millis(5);

/// A link that carries a number of bytes a second, in the order in which they come.
pub struct Link {
    rate: f64,
    free: Mutex<Instant>,
}

impl Link {
    /// A free link.
    pub fn new(rate: u64) -> Self {
        Self {
            rate: rate as f64,
            free: Mutex::new(Instant::now()),
        }
    }

    /// Books the link for some bytes and gives the time at which they are through.
    pub fn book(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        let earliest = now.checked_sub(CATCH_UP).unwrap_or(now);
        let start = (*free).max(earliest);
        *free = start + Duration::from_secs_f64(bytes as f64 / self.rate);
        *free
    }
}
