//! The report of the experiment, and its table.

use std::fmt::Write;

use balsamjunction_policy::Moment;
use serde::Serialize;

use super::{outcome::Outcome, scenario::Scenario};
use crate::{experiment::ExperimentReport, options::DisseminationFault};

/// Copies of the change that a link from one region to another carries at most while nothing fails, with headers.
pub const MAX_COPIES_BETWEEN_REGIONS: f64 = 1.3;

/// One way of dissemination in one fleet. Times are in milliseconds from the moment that readers have the change.
#[derive(Clone, Debug, Serialize)]
pub struct WayReport {
    bytes: usize,
    /// When half of the gateways have the change.
    half_ms: Option<f64>,
    /// When the last gateway has it; none if some never have it.
    last_ms: Option<f64>,
    /// Most bytes over a link from one region to another, as a multiple of the change.
    copies_between_regions: f64,
    /// Sum of bytes between regions.
    bytes_between_regions: u64,
    /// Most bytes of the change out of a gateway, as a multiple of the change; headers are counted in the former way only.
    copies_served: f64,
    /// Time to the last gateway of a small change while the large one is on its way.
    small_change_ms: Option<f64>,
}

/// One fleet.
#[derive(Clone, Debug, Serialize)]
pub struct SizeReport {
    gateways: usize,
    regions: usize,
    /// Requests that a part passes to the farthest gateway.
    depth: usize,
    relay: WayReport,
    /// The former way, as a rough model.
    push: WayReport,
}

/// The report of the experiment `dissemination`.
#[derive(Clone, Debug, Serialize)]
pub struct DisseminationReport {
    #[serde(skip)]
    fault: DisseminationFault,
    sizes: Vec<SizeReport>,
}

fn ms(moment: Option<Moment>) -> Option<f64> {
    moment.map(|m| (m.as_secs_f64() * 10_000.0).round() / 10.0)
}

fn hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

impl WayReport {
    fn new(scenario: &Scenario, outcome: &Outcome) -> Self {
        Self {
            bytes: scenario.bytes,
            half_ms: ms(outcome.share_received(0.5)),
            last_ms: ms(outcome.last(scenario)),
            copies_between_regions: hundredths(outcome.most_copies_between_regions(scenario)),
            bytes_between_regions: outcome.between_regions.iter().map(|(_, bytes)| bytes).sum(),
            copies_served: hundredths(outcome.most_copies_served(scenario)),
            small_change_ms: ms(outcome.small_change),
        }
    }

    fn write_row(&self, table: &mut String, gateways: usize, way: &str) -> std::fmt::Result {
        let ms = |ms: Option<f64>| ms.map_or_else(|| "never".to_owned(), |ms| format!("{ms:.0}"));
        writeln!(
            table,
            "{gateways:>8}  {way:<5}  {:>9}  {:>8}  {:>8}  {:>8}  {:>10.2}  {:>9}  {:>6.2}",
            self.bytes,
            ms(self.half_ms),
            ms(self.last_ms),
            ms(self.small_change_ms),
            self.copies_between_regions,
            self.bytes_between_regions / 1_000,
            self.copies_served,
        )
    }
}

impl SizeReport {
    /// Reports one fleet: the relay's scenario and outcome, and the former way's.
    pub fn new(
        scenario: &Scenario,
        relayed: &Outcome,
        former: &Scenario,
        pushed: &Outcome,
    ) -> Self {
        Self {
            gateways: scenario.gateways,
            regions: scenario.regions,
            depth: scenario.depth(),
            relay: WayReport::new(scenario, relayed),
            push: WayReport::new(former, pushed),
        }
    }
}

impl DisseminationReport {
    /// Creates the report.
    pub fn new(fault: DisseminationFault, sizes: Vec<SizeReport>) -> Self {
        Self { fault, sizes }
    }
}

impl ExperimentReport for DisseminationReport {
    fn requirements_met(&self) -> bool {
        let is_calm = self.fault == DisseminationFault::None;
        self.sizes.iter().all(|size| {
            let copies = size.relay.copies_between_regions;
            size.relay.last_ms.is_some() && (!is_calm || copies <= MAX_COPIES_BETWEEN_REGIONS)
        })
    }

    fn table(&self) -> Option<String> {
        let mut table = String::from(
            "gateways  way        bytes   half ms   last ms  small ms  max copies    sum kB  max copies\n\
             \u{20}                                                      between regions    by a gateway\n",
        );
        for size in &self.sizes {
            for (way, report) in [("relay", &size.relay), ("push", &size.push)] {
                report.write_row(&mut table, size.gateways, way).ok()?;
            }
        }
        Some(table)
    }
}
