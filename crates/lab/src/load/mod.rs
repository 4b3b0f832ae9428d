//! Load: callers, and what they saw.

pub mod caller;
pub mod driver;
pub mod summary;

pub use self::{
    caller::{Caller, Request, Seen, Task},
    driver::{Driver, Plan},
    summary::Summary,
};
