//! What a process believes about the fleet, without shared storage.
//!
//! Entries read the platform's store themselves and hand on what they know, with its age, to those
//! that cannot reach it. Processes find each other through seeds. See docs/DESIGN.md, "Beliefs".

mod beliefs;
pub mod http;
mod peers;
mod reader;

pub use self::{
    beliefs::Beliefs,
    peers::{exchange_loop, exchange_once, push_versions, tell_broken},
    reader::read_loop,
};
