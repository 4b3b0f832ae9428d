//! Parses and validates the fleet declaration and the settings of each process, both JSON with comments.
//!
//! Validation does not stop at the first fault: a [`FaultReport`] lists every fault with its line, column
//! and remedy, and no part of a faulty document is applied. See docs/OPERATIONS.md, "Declaration".

pub mod diff;
pub mod effect;
pub mod fleet;
pub mod lint;
pub mod mesh;
pub mod process;
pub mod reader;
pub mod report;
pub mod value;

mod fleet_reader;

pub use crate::{
    diff::{diff, Change},
    effect::{effects, Effect},
    fleet::{
        DataCentre, Exception, Fleet, Pool, PoolKind, ResolvedValue, Route, Scope, Upstream,
        ValueSource,
    },
    fleet_reader::read_fleet,
    lint::{lint_fleet, Warning, WarningKind},
    mesh::{
        read_gateway, read_stager, ContentionSetting, GatewaySettings, MeshSettings, StagerSettings,
    },
    process::{read_entry, read_sidecar, EntrySettings, LinkRates, PeerSettings, SidecarSettings},
    report::{Fault, FaultReport, Position},
    value::{ValueKey, ValueUnit, Values},
};
