//! The declaration and the membership list of this process, and how they spread.

pub mod spread;
pub mod state;

pub use self::{
    spread::{Renew, Spread, Suspect},
    state::{FleetState, Snapshot},
};
