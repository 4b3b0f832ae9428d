//! What a process believes about the fleet, without shared storage.
//!
//! Two entries read the platform's store for all and hand on what they learn; the others ask them how
//! old it is, and read by themselves when they hear nothing fresh. Processes find each other through seeds. See docs/DESIGN.md, "Beliefs".

mod beliefs;
pub mod http;
mod peers;
mod reader;

pub use self::{
    beliefs::Beliefs,
    peers::{exchange_loop, exchange_once, facts_loop, push_versions, tell_broken, Purpose},
    reader::read_loop,
};
