//! How a large declaration reaches all gateways, simulated in virtual time. docs/CAPACITY.md uses these figures.

pub mod network;
pub mod outcome;
mod plot;
pub mod push;
pub mod relay;
mod report;
pub mod scenario;

use balsamjunction_policy::Moment;

pub use self::report::DisseminationReport;
use self::{
    report::SizeReport,
    scenario::{Fault, FaultKind, Scenario},
};
use crate::{
    error::LabError,
    options::{DisseminationFault, DisseminationOptions},
};

/// When the injected fault begins: all gateways have begun to pull, and none of a change of 1 MiB has it yet.
pub const FAULT_AT: Moment = Moment::from_millis(300);

/// Simulates a change in fleets of several sizes, as it is designed and in the former way.
pub fn run(options: DisseminationOptions) -> Result<DisseminationReport, LabError> {
    let mut sizes = Vec::new();
    let mut curves = Vec::new();
    for gateways in &options.gateways.0 {
        let scenario = scenario(&options, *gateways);
        let relayed = relay::simulate(&scenario);
        let former = Scenario {
            bytes: options.whole_bytes,
            ..scenario.clone()
        };
        let pushed = push::simulate(&former);
        sizes.push(SizeReport::new(&scenario, &relayed, &former, &pushed));
        curves.push((*gateways, relayed.received, pushed.received));
    }
    if let Some(path) = &options.svg {
        plot::write(path, &curves)?;
    }
    Ok(DisseminationReport::new(options.fault, sizes))
}

fn scenario(options: &DisseminationOptions, gateways: usize) -> Scenario {
    let mut scenario = Scenario::new(gateways, options.regions, options.bytes);
    scenario.links.host_rate = options.host_rate;
    scenario.links.region_rate = options.region_rate;
    scenario.loss_percent = options.loss_percent;
    scenario.seed = options.seed;
    let root = scenario.root_without_reader().or(Some(gateways - 1));
    let reader = scenario.readers.first().copied();
    let (gateway, kind) = match options.fault {
        DisseminationFault::None => (None, FaultKind::Killed),
        DisseminationFault::KillReader => (reader, FaultKind::Killed),
        DisseminationFault::KillRoot => (root, FaultKind::Killed),
        DisseminationFault::FreezeRoot => (root, FaultKind::Frozen),
    };
    let fault = gateway.map(|gateway| Fault {
        at: FAULT_AT,
        gateway,
        kind,
    });
    scenario.faults.extend(fault);
    scenario
}
