//! The process's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use balsamjunction_policy::Moment;

/// Gives the time since the process started, which never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix: Duration,
}

impl Clock {
    /// Starts at zero.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            started: Instant::now(),
            started_unix: unix.unwrap_or_default(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Moment {
        self.started.elapsed()
    }

    /// Start of the process in milliseconds since the Unix epoch.
    pub fn started_ms(&self) -> u64 {
        self.started_unix.as_millis() as u64
    }

    /// Start of the process in seconds since the Unix epoch.
    pub fn started_s(&self) -> u32 {
        self.started_unix.as_secs() as u32
    }

    /// Milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        (self.started_unix + self.now()).as_millis() as u64
    }
}
