//! Splits a `text/event-stream` body at the boundaries of its events.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use memchr::memmem;
use smol_str::SmolStr;

use super::send::MAX_READ_BUFFER_BYTES;

/// Longest event that is buffered. Events of engines take a few hundred bytes; the limit bounds the memory
/// for an event that never ends.
const MAX_EVENT_BYTES: usize = 64 * 1_024;

/// Longest incomplete event for which the buffer grows by doubling. Beyond it the buffer is allocated once, with
/// [`MAX_BUFFER_BYTES`].
const MAX_DOUBLING_BYTES: usize = 32 * 1_024;

/// Capacity for the longest event and a read behind it.
const MAX_BUFFER_BYTES: usize = MAX_EVENT_BYTES + MAX_READ_BUFFER_BYTES;

/// An event exceeds the maximum length.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// One or more complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events' bytes, with the final blank line.
    pub buf: Bytes,
    /// Whether any line is not a comment; comments serve as keep-alives and are no progress.
    pub has_content: bool,
}

/// Buffers a body so that only complete events are forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    incomplete: BytesMut,
    last_id: Option<SmolStr>,
}

impl EventSplitter {
    /// Adds received bytes; returns the buffered bytes up to the last end of an event, if there is one.
    pub fn push(&mut self, buf: &[u8]) -> Result<Option<CompleteEvents>, EventTooLong> {
        // A boundary may start in bytes that were searched before.
        let searched = self.incomplete.len().saturating_sub(MAX_BOUNDARY_BYTES - 1);
        self.append(buf);
        let Some(end) = find_last_event_end(&self.incomplete[searched..]) else {
            return match self.incomplete.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLong),
                false => Ok(None),
            };
        };
        let buf = self.incomplete.split_to(searched + end).freeze();
        if let Some(id) = find_last_id(&buf) {
            self.last_id = Some(id);
        }
        let has_content = has_content(&buf);
        Ok(Some(CompleteEvents { buf, has_content }))
    }

    fn append(&mut self, buf: &[u8]) {
        let length = self.incomplete.len() + buf.len();
        if length > self.incomplete.capacity() && length > MAX_DOUBLING_BYTES {
            let mut larger = BytesMut::with_capacity(length.max(MAX_BUFFER_BYTES));
            larger.extend_from_slice(&self.incomplete);
            self.incomplete = larger;
        }
        self.incomplete.extend_from_slice(buf);
    }

    /// Whether the received bytes end with a complete event.
    pub fn is_at_boundary(&self) -> bool {
        self.incomplete.is_empty()
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&SmolStr> {
        self.last_id.as_ref()
    }

    /// Continues a stream whose last event had the given id.
    pub fn resume_after(&mut self, last_id: Option<SmolStr>) {
        self.last_id = last_id;
    }
}

/// Length of the longest boundary, `\r\n\r\n`.
const MAX_BOUNDARY_BYTES: usize = 4;

/// Whether any line is neither empty nor a comment.
fn has_content(events: &[u8]) -> bool {
    let mut lines = events.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| line.first().is_some_and(|first| *first != b':'))
}

/// Returns the offset after the last blank line.
fn find_last_event_end(buf: &[u8]) -> Option<usize> {
    let lf = memmem::rfind(buf, b"\n\n").map(|at| at + 2);
    let crlf = memmem::rfind(buf, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn find_last_id(events: &[u8]) -> Option<SmolStr> {
    let at = match events.starts_with(b"id:") && memmem::rfind(events, b"\nid:").is_none() {
        true => 0,
        false => memmem::rfind(events, b"\nid:")? + 1,
    };
    let line = &events[at + 3..];
    let end = memchr::memchr2(b'\n', b'\r', line).unwrap_or(line.len());
    let id = std::str::from_utf8(&line[..end]).ok()?;
    Some(SmolStr::new(id.trim()))
}
