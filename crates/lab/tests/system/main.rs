//! Integration tests with the real programs and a fault-injecting network between them.

mod common;
mod fleet;
mod requests;
