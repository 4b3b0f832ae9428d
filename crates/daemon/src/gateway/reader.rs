//! Reads one upstream's response and records what it shows of the upstream.

use std::{io, time::Duration};

use balsamjunction_directory::UpstreamRecord;
use balsamjunction_policy::{dispatch::AttemptOutcome, Moment};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use smol_str::SmolStr;
use strum::IntoStaticStr;

use super::{
    attempts::RequestAttempts, context::InFlightRequest, crash_evidence::BrokenAttempt,
    event_stream::EventSplitter, send::UpstreamResponse,
};
use crate::mesh::SuspectList;

/// Comments of a stream that are held until an event follows. They only keep the connection alive, so further
/// ones are dropped.
const MAX_HELD_COMMENT_BYTES: usize = 4 * 1_024;
/// Parts of a response that an upstream must have sent before the request counts as one that does not crash it.
const SOUND_PROGRESS: u32 = 3;
/// Time from the head of the response for which the upstream must have sent it besides.
const SOUND_AFTER: Duration = Duration::from_millis(300);

/// Why the rest of an upstream's response is not received.
#[derive(Debug)]
pub struct Interruption {
    /// How the response ended.
    pub detail: String,
    /// The cause, for the log and the metrics.
    pub cause: InterruptionCause,
}

/// The cause of an interruption, for the log and the metrics.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum InterruptionCause {
    /// The upstream ended the connection, as it does if it crashes.
    Broken,
    /// The upstream sent no event for so long that another one took its place.
    Silent,
    /// The time limit of caller or route has passed.
    OutOfTime,
    /// An event of the upstream is too long.
    EventTooLong,
}

impl Interruption {
    /// Creates an interruption with its cause.
    pub fn new(cause: InterruptionCause, detail: String) -> Self {
        Self { detail, cause }
    }
}

/// What was read of a response.
#[derive(Debug, PartialEq, Eq)]
pub enum Received {
    /// Bytes for the caller; for a stream one or more complete events.
    Bytes {
        /// The bytes.
        buf: Bytes,
        /// Whether they are progress; comments of a stream are not.
        has_content: bool,
    },
    /// The end of a complete response.
    End,
}

/// Adds comments to those that are held until an event follows; drops them once too many are held.
pub fn hold_comments(held: &mut BytesMut, comments: &[u8]) {
    if held.len() + comments.len() <= MAX_HELD_COMMENT_BYTES {
        held.extend_from_slice(comments);
    }
}

/// An upstream's response whose head has been received.
pub struct ResponseReader {
    /// The response.
    pub response: UpstreamResponse,
    /// Counts the request at the upstream.
    pub in_flight: InFlightRequest,
    /// The upstream's registration, unless the dispatcher has removed it.
    pub upstream: Option<UpstreamRecord>,
    /// When the last event was received, or the head before the first one.
    pub last_event_at: Moment,
    /// Present for a stream of events, of which only complete ones are forwarded.
    splitter: Option<EventSplitter>,
    head_at: Moment,
    /// Number of parts of the response, each with at least one event, that the upstream has sent.
    progress: u32,
    /// Whether the upstream has sent enough to show that the request does not crash it.
    sound: bool,
}

impl ResponseReader {
    /// Creates a reader of a response whose head was received now, at `head_at`.
    pub fn new(
        response: UpstreamResponse,
        in_flight: InFlightRequest,
        splits_events: bool,
        head_at: Moment,
    ) -> Self {
        Self {
            upstream: in_flight.upstream_record(),
            response,
            in_flight,
            last_event_at: head_at,
            splitter: splits_events.then(EventSplitter::default),
            head_at,
            progress: 0,
            sound: false,
        }
    }

    /// Whether the response is a stream of events.
    pub fn splits_events(&self) -> bool {
        self.splitter.is_some()
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&SmolStr> {
        self.splitter.as_ref()?.last_id()
    }

    /// Continues the stream of another upstream, whose last event had the given id.
    pub fn resume_after(&mut self, last_id: Option<SmolStr>) {
        if let Some(splitter) = &mut self.splitter {
            splitter.resume_after(last_id);
        }
    }

    /// Reads on without a time limit. If the returned future is dropped, nothing that was received is lost.
    pub async fn next(&mut self) -> Result<Received, Interruption> {
        loop {
            let broken = |detail: String| Err(Interruption::new(InterruptionCause::Broken, detail));
            let Some(frame) = self.response.inner.body_mut().frame().await else {
                let complete = self
                    .splitter
                    .as_ref()
                    .is_none_or(EventSplitter::is_at_boundary);
                return match complete {
                    true => Ok(Received::End),
                    false => broken("the stream ended within an event".to_owned()),
                };
            };
            let buf = match frame.map_err(io::Error::other) {
                Ok(frame) => frame.into_data(),
                Err(e) => return broken(e.to_string()),
            };
            let Ok(buf) = buf else {
                continue;
            };
            let Some(splitter) = &mut self.splitter else {
                let has_content = true;
                return Ok(Received::Bytes { buf, has_content });
            };
            match splitter.push(&buf) {
                Ok(Some(events)) => {
                    return Ok(Received::Bytes {
                        buf: events.buf,
                        has_content: events.has_content,
                    })
                }
                Ok(None) => {}
                Err(e) => {
                    let cause = InterruptionCause::EventTooLong;
                    return Err(Interruption::new(cause, e.to_string()));
                }
            }
        }
    }

    /// Reads until the upstream shows that it works on the request; returns what it sent until then.
    pub async fn next_progress(&mut self) -> Result<Received, Interruption> {
        let mut comments = BytesMut::new();
        loop {
            match self.next().await? {
                received @ Received::End if comments.is_empty() => return Ok(received),
                // The end is read again after the comments.
                Received::End => {}
                Received::Bytes { buf, has_content } => {
                    if !has_content {
                        hold_comments(&mut comments, &buf);
                        continue;
                    }
                    comments.extend_from_slice(&buf);
                }
            }
            let buf = comments.freeze();
            let has_content = true;
            return Ok(Received::Bytes { buf, has_content });
        }
    }

    /// Records that the upstream has made progress; returns the pause before, except before the first event.
    pub fn record_progress(&mut self, attempts: &RequestAttempts) -> Option<Duration> {
        let now = attempts.context.now();
        self.progress += 1;
        let pause = now.saturating_sub(self.last_event_at);
        self.last_event_at = now;
        let elapsed = now.saturating_sub(self.head_at);
        if self.progress >= SOUND_PROGRESS && elapsed >= SOUND_AFTER {
            self.record_sound(attempts);
        }
        if self.progress == 1 {
            self.in_flight.record_first_event();
            return None;
        }
        Some(pause)
    }

    /// Records that the response is complete.
    pub fn record_end(&mut self, attempts: &RequestAttempts) {
        let server_error = self.response.inner.status().is_server_error();
        self.in_flight.set_outcome(match server_error {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Served,
        });
        if !server_error {
            // Only a complete response shows that the request does not crash its upstream: it may do so late.
            let request = [attempts.request.fingerprint_as_part()];
            let cluster_view = &attempts.context.cluster_view;
            cluster_view.record_sound(SuspectList::Requests, &request);
        }
        self.record_sound(attempts);
    }

    /// Records once that the request does not crash its upstream, if it is known by a successful response.
    fn record_sound(&mut self, attempts: &RequestAttempts) {
        if self.sound || !self.response.inner.status().is_success() {
            return;
        }
        self.sound = true;
        let parts = &attempts.request.prompt_parts;
        if !parts.is_empty() {
            let cluster_view = &attempts.context.cluster_view;
            cluster_view.record_sound(SuspectList::Parts, parts);
        }
    }

    /// Records that the rest of the response is not received.
    pub fn record_interruption(&mut self, attempts: &RequestAttempts, cause: InterruptionCause) {
        self.in_flight.set_outcome(AttemptOutcome::Failed);
        // An upstream that switches to other weights aborts its responses.
        let Some(upstream) = self
            .upstream
            .as_ref()
            .filter(|_| !self.in_flight.is_switching())
        else {
            return;
        };
        if cause == InterruptionCause::Silent {
            return;
        }
        if cause == InterruptionCause::Broken {
            self.in_flight.mark_upstream_away();
            let broken = BrokenAttempt {
                began: true,
                sound: self.sound,
            };
            attempts.report_break(upstream, broken);
            if self.splitter.is_some() {
                attempts.report_crash(upstream, true);
            }
        }
    }
}
