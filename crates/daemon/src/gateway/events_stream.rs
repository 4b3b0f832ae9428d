//! Borders of events in a `text/event-stream` body.

use bytes::{Bytes, BytesMut};
use memchr::memmem;
use smol_str::SmolStr;

/// Splits a body at the ends of events, so that only whole ones are passed on.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last_id: Option<SmolStr>,
}

impl EventSplitter {
    /// Takes bytes as they came; gives those that end with an event, if any.
    pub fn push(&mut self, buf: &[u8]) -> Option<Bytes> {
        self.rest.extend_from_slice(buf);
        let end = event_end(&self.rest)?;
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
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
