//! Clients that exhaust a gateway's memory or descriptors, against gateways that run as real processes.
//!
//! The tests run one at a time, since each of them loads the machine.

#[allow(dead_code)]
#[path = "../gateway/common.rs"]
mod common;
mod crowd;
mod exhaustion;
mod limits;
