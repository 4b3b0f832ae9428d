//! Load generation: callers, and the outcomes that they observe.

pub mod caller;
pub mod driver;
pub mod summary;

pub use self::{
    caller::{Caller, Observation, Operation, Request},
    driver::{Driver, Workload},
    summary::Summary,
};
