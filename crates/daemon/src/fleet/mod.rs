//! The declaration and the membership list of this process, and their dissemination.

pub mod dissemination;
pub mod state;

pub use self::{
    dissemination::{Disseminator, PullFrom, Refresh},
    state::{FleetState, Snapshot},
};
