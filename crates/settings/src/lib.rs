//! The fleet declaration and each process's own settings, in JSON with comments.
//!
//! Reading never stops at the first fault: a [`FaultReport`] lists every fault with its line, column and
//! remedy, and nothing of a faulty document is applied. See docs/OPERATIONS.md, "Declaration".

pub mod diff;
pub mod fleet;
pub mod mesh;
pub mod process;
pub mod reader;
pub mod report;
pub mod value;

mod fleet_reader;

pub use crate::{
    diff::{diff, Change},
    fleet::{
        DataCentre, Exception, Fleet, Pool, PoolKind, ResolvedValue, Route, Scope, Upstream,
        ValueSource,
    },
    fleet_reader::read_fleet,
    mesh::{read_gateway, read_stager, GatewaySettings, MeshSettings, StagerSettings},
    process::{read_entry, read_sidecar, EntrySettings, LinkRates, PeerSettings, SidecarSettings},
    report::{Fault, FaultReport, Position},
    value::{ValueKey, ValueUnit, Values},
};
