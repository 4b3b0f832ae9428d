//! The declaration and the membership list of this process, and how they spread.

pub mod dissemination;
pub mod state;

pub use self::{
    dissemination::{Disseminator, PullFrom, Refresh},
    state::{FleetState, Snapshot},
};
