//! Whether the origin of weights responds, and when each chunk may be requested from it.

use crate::Moment;

/// Chunks that are requested from an origin that does not respond. With one attempt each per 50 to 150 ms, it is asked
/// within 200 ms after its return, but not by every host.
pub const ORIGIN_PROBES: usize = 4;
/// Time after which a host tries an origin again that does not respond, although others are to do so. Those may be
/// unable to reach it.
pub const RETRY_INTERVAL: Moment = Moment::from_millis(1_500);

/// What a host knows of the origin. It outlives the fetch of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OriginState {
    /// When a request of this host last failed.
    pub failed_at: Option<Moment>,
    /// When a chunk was last received from the origin, by this host or by one that reported it.
    pub responded_at: Option<Moment>,
}

impl OriginState {
    /// Whether the last request failed and nobody has received a chunk since.
    pub fn is_down(&self) -> bool {
        self.failed_at > self.responded_at
    }

    /// Time since a chunk was last received, in milliseconds, for reports to peers.
    pub fn age_ms(&self, now: Moment) -> Option<u32> {
        let at = self.responded_at?;
        u32::try_from(now.saturating_sub(at).as_millis()).ok()
    }

    /// Records that a chunk was received at `at`.
    pub fn record_response(&mut self, at: Moment) {
        self.responded_at = self.responded_at.max(Some(at));
    }
}

/// When each chunk may be requested from the origin: one after the other, so that the first ones are complete and can
/// spread while the origin sends the others.
#[derive(Clone, Debug)]
pub struct Schedule {
    start: Moment,
    /// The position of each chunk.
    positions: Vec<u32>,
}

impl Schedule {
    /// Schedules all chunks in the order of their numbers.
    pub fn new(start: Moment, chunks: usize) -> Self {
        let positions = (0..chunks as u32).collect();
        Self { start, positions }
    }

    /// Schedules the chunks for which `is_missing`, starting at `start`. Others may be requested at once.
    pub fn restart(&mut self, start: Moment, is_missing: impl Fn(usize) -> bool) {
        self.start = start;
        let mut next = 0;
        for (chunk, position) in self.positions.iter_mut().enumerate() {
            *position = next;
            next += u32::from(is_missing(chunk));
        }
    }

    /// When a chunk may be requested, if the origin starts a chunk every `spacing`.
    pub fn due(&self, chunk: usize, spacing: Moment) -> Moment {
        self.start + spacing * self.positions[chunk]
    }
}
