//! When and from whom the next part of a document is requested.

use std::net::SocketAddr;

use crate::Moment;

/// Size of the largest part, in bytes. It occupies a link of 28 Mbit/s for 5 ms, which small messages may have to wait.
pub const MAX_PART_BYTES: usize = 16 << 10;
/// Size of the smallest part, in bytes.
pub const MIN_PART_BYTES: usize = 1 << 10;
/// Number of parts in a row that arrive in time after which the part size doubles.
const PARTS_BEFORE_GROWTH: u32 = 4;
/// Fraction of a link's rate that a download takes at most.
pub const LINK_SHARE: f64 = 0.5;
/// Parts that arrive faster are not followed by a pause, since timers are no more accurate than this.
pub const MIN_PACED_PART: Moment = Moment::from_millis(1);
/// Time limit of a request after parts that arrived quickly.
pub const PART_TIMEOUT: Moment = Moment::from_millis(400);
/// Longest time limit of a request.
pub const MAX_TIMEOUT: Moment = Moment::from_millis(3_200);
/// The time limit of a request is at least this multiple of the time that the last part took.
const TIMEOUT_RATIO: u32 = 4;
/// Number of requests in a row that a source may leave without a response after it has sent a part.
///
/// Lost parts would otherwise move all gateways up the tree, and in the end to other regions.
const TOLERATED_TIMEOUTS: u32 = 1;
/// Time without progress after which a source that lacks the next part is passed over.
///
/// It is longer than the source itself needs to pass over one that no longer responds, so that only those that pull from
/// that one change to another, and not all below them in the tree.
pub const PENDING_LIMIT: Moment = Moment::from_millis(1_000);
/// Time between two requests for a part that the source lacks, for the first time.
const MIN_PENDING_INTERVAL: Moment = Moment::from_millis(5);
/// Longest time between two requests for a part that the source lacks.
const MAX_PENDING_INTERVAL: Moment = Moment::from_millis(40);
/// Time before the first source is tried again after the last one failed, for the first time.
const MIN_BACKOFF: Moment = Moment::from_millis(100);
/// Longest time before the first source is tried again after the last one failed.
const MAX_BACKOFF: Moment = Moment::from_millis(1_600);
/// Time after which a source that was passed over is tried again, for the first time.
const MIN_RETURN: Moment = Moment::from_secs(1);
/// Longest time after which a source that was passed over is tried again.
const MAX_RETURN: Moment = Moment::from_secs(8);

/// What the transport does next for a download.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferAction {
    /// Requests the next part.
    Request {
        /// The process to request it from.
        source: SocketAddr,
        /// Maximum size of the part, in bytes.
        max_bytes: usize,
        /// Time after which the request is given up and reported by [`Transfer::record_timeout`].
        timeout: Moment,
    },
    /// Does nothing.
    Wait {
        /// When to ask for the next action, unless a request ends or the sources change before.
        until: Moment,
    },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    source: SocketAddr,
    deadline: Moment,
}

/// The download of one document; has at most one request under way.
///
/// The caller keeps the offset and drops the transfer when the document is whole. Each request ends with one of
/// [`Self::record_part`], [`Self::record_pending`], [`Self::record_timeout`] and [`Self::record_failure`].
#[derive(Clone, Debug)]
pub struct Transfer {
    sources: Vec<SocketAddr>,
    /// The source in use, as an index into `sources`.
    current: usize,
    /// When `current` last changed.
    current_since: Moment,
    /// Whether `current` has sent a part since it was selected.
    served: bool,
    /// Whether `current` was passed over before and is being tried again.
    on_trial: bool,
    /// Time of progress with another source before one that was passed over is tried again.
    return_after: Moment,
    request: Option<Request>,
    /// No request before this time.
    paused_until: Moment,
    part_bytes: usize,
    /// Parts in a row that arrived in time since the part size last changed.
    timely_parts: u32,
    timeouts_in_row: u32,
    /// Time that the last part took.
    last_took: Moment,
    /// Since when the source in use lacks the next part.
    pending_since: Option<Moment>,
    pending_interval: Moment,
    backoff: Moment,
}

impl Transfer {
    /// Creates a download from `sources`, which are tried in this order; see [`super::sources`].
    pub fn new(now: Moment, sources: Vec<SocketAddr>) -> Self {
        Self {
            sources,
            current: 0,
            current_since: now,
            served: false,
            on_trial: false,
            return_after: MIN_RETURN,
            request: None,
            paused_until: now,
            part_bytes: MAX_PART_BYTES,
            timely_parts: 0,
            timeouts_in_row: 0,
            last_took: Moment::ZERO,
            pending_since: None,
            pending_interval: MIN_PENDING_INTERVAL,
            backoff: MIN_BACKOFF,
        }
    }

    /// Returns what to do at `now`. A request that it returns is under way until it is recorded how it ended.
    pub fn next(&mut self, now: Moment) -> TransferAction {
        if let Some(request) = self.request {
            return TransferAction::Wait {
                until: request.deadline,
            };
        }
        if now < self.paused_until {
            return TransferAction::Wait {
                until: self.paused_until,
            };
        }
        let Some(source) = self.sources.get(self.current).copied() else {
            return TransferAction::Wait {
                until: now + MAX_BACKOFF,
            };
        };
        let timeout = self.timeout();
        let deadline = now + timeout;
        self.request = Some(Request { source, deadline });
        TransferAction::Request {
            source,
            max_bytes: self.part_bytes,
            timeout,
        }
    }

    /// Records that the request under way delivered `bytes` within `took`.
    ///
    /// The next request waits until the download has taken [`LINK_SHARE`] of the time. An empty part is no progress and
    /// counts as [`Self::record_pending`].
    pub fn record_part(&mut self, now: Moment, took: Moment, bytes: usize) {
        if bytes == 0 {
            if let Some(request) = self.request {
                self.record_pending(now, request.source);
            }
            return;
        }
        if self.request.take().is_none() {
            return;
        }
        if took >= MIN_PACED_PART {
            self.paused_until = now + took.mul_f64(1.0 / LINK_SHARE - 1.0);
        }
        self.last_took = took;
        self.timeouts_in_row = 0;
        self.served = true;
        self.backoff = MIN_BACKOFF;
        self.reset_pending();
        self.timely_parts += 1;
        if self.timely_parts >= PARTS_BEFORE_GROWTH {
            self.timely_parts = 0;
            self.part_bytes = (self.part_bytes * 2).min(MAX_PART_BYTES);
        }
        if std::mem::take(&mut self.on_trial) {
            self.return_after = MIN_RETURN;
        }
        if self.current > 0 && now.saturating_sub(self.current_since) >= self.return_after {
            self.select(now, self.current - 1);
            self.on_trial = true;
        }
    }

    /// Records that `source` does not have the next part yet.
    pub fn record_pending(&mut self, now: Moment, source: SocketAddr) {
        if !self.end_request(source) {
            return;
        }
        self.timeouts_in_row = 0;
        if !self.is_current(source) {
            return;
        }
        if self.on_trial {
            return self.pass_over(now);
        }
        let since = *self.pending_since.get_or_insert(now);
        if now.saturating_sub(since) >= PENDING_LIMIT && self.sources.len() > 1 {
            return self.pass_over(now);
        }
        self.paused_until = now + self.pending_interval;
        self.pending_interval = (self.pending_interval * 2).min(MAX_PENDING_INTERVAL);
    }

    /// Records that the request to `source` was given up at the end of its time limit. Parts become smaller.
    pub fn record_timeout(&mut self, now: Moment, source: SocketAddr) {
        if !self.end_request(source) {
            return;
        }
        self.timely_parts = 0;
        self.part_bytes = (self.part_bytes / 2).max(MIN_PART_BYTES);
        self.timeouts_in_row = self.timeouts_in_row.saturating_add(1);
        let tolerated = self.served && self.timeouts_in_row <= TOLERATED_TIMEOUTS;
        if self.is_current(source) && !tolerated {
            self.pass_over(now);
        }
    }

    /// Records that `source` cannot be reached, or responded with an error or a part that is not valid.
    pub fn record_failure(&mut self, now: Moment, source: SocketAddr) {
        if self.end_request(source) && self.is_current(source) {
            self.pass_over(now);
        }
    }

    /// Replaces the sources. The source in use remains in use if it is among them.
    pub fn set_sources(&mut self, now: Moment, sources: Vec<SocketAddr>) {
        if sources == self.sources {
            return;
        }
        let in_use = self.sources.get(self.current);
        let position = in_use.and_then(|s| sources.iter().position(|new| new == s));
        self.sources = sources;
        match position {
            Some(position) => self.current = position,
            None => {
                self.on_trial = false;
                self.paused_until = self.paused_until.min(now + self.last_took);
                self.select(now, 0);
            }
        }
    }

    fn timeout(&self) -> Moment {
        // The second source in a row gets no longer than the first: one process that does not respond is more frequent
        // than a path to all of them that is slow.
        let doublings = self.timeouts_in_row.saturating_sub(1).min(u16::BITS);
        let timeout = PART_TIMEOUT.saturating_mul(1 << doublings);
        timeout
            .max(self.last_took.saturating_mul(TIMEOUT_RATIO))
            .min(MAX_TIMEOUT)
    }

    fn end_request(&mut self, source: SocketAddr) -> bool {
        let ended = self.request.is_some_and(|r| r.source == source);
        if ended {
            self.request = None;
        }
        ended
    }

    fn is_current(&self, source: SocketAddr) -> bool {
        self.sources.get(self.current) == Some(&source)
    }

    fn select(&mut self, now: Moment, position: usize) {
        self.current = position;
        self.current_since = now;
        self.served = false;
        self.reset_pending();
    }

    fn reset_pending(&mut self) {
        self.pending_since = None;
        self.pending_interval = MIN_PENDING_INTERVAL;
    }

    /// Goes on to the next source; after the last one, to the first after a backoff.
    fn pass_over(&mut self, now: Moment) {
        if std::mem::take(&mut self.on_trial) {
            self.return_after = (self.return_after * 2).min(MAX_RETURN);
        }
        if self.current + 1 < self.sources.len() {
            return self.select(now, self.current + 1);
        }
        self.select(now, 0);
        self.paused_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
