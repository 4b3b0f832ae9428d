//! Election of the processes that read the configuration service.
//!
//! Each process decides on its own from the membership list; no process is dedicated to reading. Two
//! processes with different lists may both read, which costs extra calls but is harmless.

use balsamjunction_protocol::{MemberDocument, MemberState};
use smol_str::SmolStr;

use crate::rendezvous;

/// Readers per data centre; a second one because the list may still show a dead reader as live.
pub const READERS_PER_DATA_CENTRE: usize = 2;

/// Returns the host names of a data centre's readers.
pub fn elect_readers(members: &[MemberDocument], data_centre: &str) -> Vec<SmolStr> {
    let candidates = members
        .iter()
        .filter(|m| m.state == MemberState::Live && m.data_centre == data_centre)
        .map(|m| m.host.as_str());
    let ranked = rendezvous::rank(data_centre.as_bytes(), candidates);
    ranked
        .into_iter()
        .take(READERS_PER_DATA_CENTRE)
        .map(SmolStr::new)
        .collect()
}

/// Returns whether `host` reads the service for its data centre. While no live member of the data
/// centre is listed, every process reads.
pub fn is_reader(members: &[MemberDocument], data_centre: &str, host: &str) -> bool {
    let readers = elect_readers(members, data_centre);
    readers.is_empty() || readers.iter().any(|reader| reader == host)
}
