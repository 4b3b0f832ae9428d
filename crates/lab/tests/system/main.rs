//! Integration tests: the real programs behind the fault-injecting network.

mod common;
mod fleet;
mod requests;
