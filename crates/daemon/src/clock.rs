//! The process's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use balsamjunction_policy::Moment;
use nix::{
    sys::time::TimeValLike,
    time::{clock_gettime, ClockId},
};

/// What the clock shows when the process starts. What a process learns then may be older than itself:
/// a proof, a version that has long been wanted. Times before the start must be told apart, so they
/// have to be above zero.
const AT_START: Duration = Duration::from_secs(3_600);

/// Gives a time that never goes back.
///
/// Time for which the host is suspended counts, since beliefs age in it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Duration,
    started_unix: Duration,
}

/// Time since the host started, suspension included.
fn since_boot() -> Duration {
    // The call fails only where the kernel lacks the clock, which every Linux since 2.6.39 has.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, |time| {
        Duration::from_nanos(time.num_nanoseconds().max(0) as u64)
    })
}

impl Clock {
    /// Starts at an hour.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            started: since_boot(),
            started_unix: unix.unwrap_or_default(),
        }
    }

    /// The time at which the process started.
    pub fn started_at(&self) -> Moment {
        AT_START
    }

    /// The time.
    pub fn now(&self) -> Moment {
        AT_START + self.since_start()
    }

    fn since_start(&self) -> Duration {
        since_boot().saturating_sub(self.started)
    }

    /// Start of the process in milliseconds since the Unix epoch.
    pub fn started_unix_ms(&self) -> u64 {
        self.started_unix.as_millis() as u64
    }

    /// Start of the process in seconds since the Unix epoch.
    pub fn started_unix_s(&self) -> u32 {
        self.started_unix.as_secs() as u32
    }

    /// Milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        (self.started_unix + self.since_start()).as_millis() as u64
    }
}
