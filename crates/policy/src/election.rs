//! Which processes read the configuration service.
//!
//! Each process decides for itself from the membership list; no process is set aside. Two that see
//! different lists may both read, which costs calls but breaks nothing.

use balsamjunction_protocol::{MemberDocument, MemberState};
use smol_str::SmolStr;

use crate::rendezvous;

/// Readers per data centre. One may be dead without the list saying so yet.
pub const READERS_PER_DATA_CENTRE: usize = 2;

/// The names of a data centre's readers.
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

/// Whether `host` reads the service for its data centre. With no list yet, every process does.
pub fn is_reader(members: &[MemberDocument], data_centre: &str, host: &str) -> bool {
    let readers = elect_readers(members, data_centre);
    readers.is_empty() || readers.iter().any(|reader| reader == host)
}
