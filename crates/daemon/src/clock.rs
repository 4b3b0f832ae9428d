//! The clock of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use balsamjunction_policy::Moment;
use nix::{
    sys::time::TimeValLike,
    time::{clock_gettime, ClockId},
};

/// Reading of the clock when the process starts. A process may learn of events that happened before its
/// start, such as a verification or the publication of a version. Their times must stay above zero, so
/// that they remain distinct.
const READING_AT_START: Duration = Duration::from_secs(3_600);

/// A monotonic clock.
///
/// It includes the time for which the host is suspended, since received state ages during a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Duration,
    started_unix: Duration,
}

/// Time since the host booted, suspension included.
fn time_since_boot() -> Duration {
    // The call fails only where the kernel lacks the clock, which every Linux since 2.6.39 has.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, |time| {
        Duration::from_nanos(time.num_nanoseconds().max(0) as u64)
    })
}

impl Clock {
    /// Starts the clock at one hour.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            started: time_since_boot(),
            started_unix: unix.unwrap_or_default(),
        }
    }

    /// Reading of this clock at the start of the process.
    pub fn started_at(&self) -> Moment {
        READING_AT_START
    }

    /// The current reading of this clock.
    pub fn now(&self) -> Moment {
        READING_AT_START + self.time_since_start()
    }

    fn time_since_start(&self) -> Duration {
        time_since_boot().saturating_sub(self.started)
    }

    /// Start of the process in milliseconds since the Unix epoch.
    pub fn started_unix_ms(&self) -> u64 {
        self.started_unix.as_millis() as u64
    }

    /// Start of the process in seconds since the Unix epoch.
    pub fn started_unix_s(&self) -> u32 {
        self.started_unix.as_secs() as u32
    }

    /// The current time in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        (self.started_unix + self.time_since_start()).as_millis() as u64
    }
}
