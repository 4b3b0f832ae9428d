//! Borders of events in a `text/event-stream` body.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use memchr::memmem;
use smol_str::SmolStr;

/// Longest event; those of engines hold some hundred bytes, and what never ends must not be gathered.
const MAX_EVENT_BYTES: usize = 64 * 1_024;

/// An event whose end has not come within the longest one.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Whole events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// Their bytes.
    pub buf: Bytes,
    /// Whether any of them is more than a comment.
    pub told: bool,
}

/// Splits a body at the ends of events, so that only whole ones are passed on.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last_id: Option<SmolStr>,
}

impl EventSplitter {
    /// Takes bytes as they came; gives those that end with an event, if any.
    pub fn push(&mut self, buf: &[u8]) -> Result<Option<Events>, EventTooLong> {
        // The end of an event may lie across the border of what was searched before.
        let searched = self.rest.len().saturating_sub(LONGEST_BORDER - 1);
        self.rest.extend_from_slice(buf);
        let Some(end) = event_end(&self.rest[searched..]) else {
            return match self.rest.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLong),
                false => Ok(None),
            };
        };
        let buf = self.rest.split_to(searched + end).freeze();
        if let Some(id) = last_id(&buf) {
            self.last_id = Some(id);
        }
        let told = tells(&buf);
        Ok(Some(Events { buf, told }))
    }

    /// Whether the body stands between two events.
    pub fn at_border(&self) -> bool {
        self.rest.is_empty()
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&SmolStr> {
        self.last_id.as_ref()
    }

    /// Forgets the part of an event that will never be whole.
    pub fn drop_rest(&mut self) {
        self.rest.clear();
    }
}

/// Length of the longest border between events.
const LONGEST_BORDER: usize = 4;

/// Whether any line is more than a comment.
fn tells(events: &[u8]) -> bool {
    let mut lines = events.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| line.first().is_some_and(|first| *first != b':'))
}

/// The place after the last blank line.
fn event_end(buf: &[u8]) -> Option<usize> {
    let unix = memmem::rfind(buf, b"\n\n").map(|at| at + 2);
    let dos = memmem::rfind(buf, b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

fn last_id(events: &[u8]) -> Option<SmolStr> {
    let at = match events.starts_with(b"id:") && memmem::rfind(events, b"\nid:").is_none() {
        true => 0,
        false => memmem::rfind(events, b"\nid:")? + 1,
    };
    let line = &events[at + 3..];
    let end = memchr::memchr2(b'\n', b'\r', line).unwrap_or(line.len());
    let id = std::str::from_utf8(&line[..end]).ok()?;
    Some(SmolStr::new(id.trim()))
}
