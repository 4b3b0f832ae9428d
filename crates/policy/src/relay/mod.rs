//! How a large document reaches all gateways: by parts that each one pulls, along a tree in each region.
//!
//! A link between regions then carries about one copy instead of one for each gateway, and small messages beside the
//! document wait for a few parts at most.

mod sources;
mod transfer;

pub use self::{
    sources::{sources, RelayMember, FANOUT, MAX_SOURCES},
    transfer::{
        Transfer, TransferAction, LINK_SHARE, MAX_PART_BYTES, MAX_TIMEOUT, MIN_PACED_PART,
        MIN_PART_BYTES, PART_TIMEOUT, PENDING_LIMIT,
    },
};
