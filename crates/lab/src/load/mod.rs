//! Load: callers, and what they saw.

pub mod caller;
pub mod driver;
pub mod summary;

pub use self::{
    caller::{Caller, Observation, Operation, Request},
    driver::{Driver, Workload},
    summary::Summary,
};
