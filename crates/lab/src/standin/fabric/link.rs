//! A rate-limited link.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// How far back in time an idle link may start a reservation, since timers fire late.
const MAX_CREDIT: Duration = Duration::from_millis(5);

/// A link of a fixed rate that transmits bytes in order of reservation.
pub struct Link {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    /// An idle link with a rate in bytes per second.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second as f64,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Reserves the link for a number of bytes; returns the time at which they have been transmitted.
    pub fn reserve(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let earliest = now.checked_sub(MAX_CREDIT).unwrap_or(now);
        let start = (*free_at).max(earliest);
        *free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        *free_at
    }
}
