//! What a simulated dissemination came to.

use balsamjunction_policy::Moment;

use super::{
    network::Network,
    scenario::{FaultKind, Scenario},
};

/// What a simulated dissemination came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// When each gateway had the change; none if it had not when the simulation ended.
    pub received: Vec<Option<Moment>>,
    /// Bytes from one region to another, by both regions. Regions that send nothing to each other are left out.
    pub between_regions: Vec<((usize, usize), u64)>,
    /// Bytes of the change that each gateway sent, without those of headers and other messages.
    pub served: Vec<u64>,
    /// Longest time that a small message between two gateways took while the change was on its way.
    pub probe_max: Moment,
    /// Time from a small change, which a reader has while the large one is on its way, to the last gateway that learns it;
    /// none if not all learned it.
    pub small_change: Option<Moment>,
}

impl Outcome {
    /// Takes the bytes from a network at the end of a simulation.
    pub fn new<T>(scenario: &Scenario, network: &Network<T>) -> Self {
        let regions = 0..scenario.regions;
        let pairs = regions
            .clone()
            .flat_map(|a| regions.clone().map(move |b| (a, b)));
        let between = pairs.map(|pair| (pair, network.bytes_between(pair.0, pair.1)));
        Self {
            received: vec![None; scenario.gateways],
            between_regions: between.filter(|(_, bytes)| *bytes > 0).collect(),
            served: vec![0; scenario.gateways],
            probe_max: Moment::ZERO,
            small_change: None,
        }
    }

    /// When the last gateway had the change, apart from those that were killed or frozen; none if one of them never had it.
    pub fn last(&self, scenario: &Scenario) -> Option<Moment> {
        let mut last = Moment::ZERO;
        for (gateway, received) in self.received.iter().enumerate() {
            let mut faults = scenario.faults.iter().filter(|f| f.gateway == gateway);
            if faults.all(|f| f.kind == FaultKind::Restarted) {
                last = last.max((*received)?);
            }
        }
        Some(last)
    }

    /// The greatest number of bytes from one region to another, as a multiple of the change.
    pub fn most_copies_between_regions(&self, scenario: &Scenario) -> f64 {
        let most = self.between_regions.iter().map(|(_, bytes)| *bytes).max();
        most.unwrap_or(0) as f64 / scenario.bytes as f64
    }

    /// The greatest number of bytes of the change that one gateway sent, as a multiple of the change.
    pub fn most_copies_served(&self, scenario: &Scenario) -> f64 {
        self.served.iter().max().copied().unwrap_or(0) as f64 / scenario.bytes as f64
    }

    /// When a share of the gateways had the change; none if fewer ever had it.
    pub fn share_received(&self, share: f64) -> Option<Moment> {
        let mut times: Vec<Moment> = self.received.iter().flatten().copied().collect();
        times.sort_unstable();
        let needed = (share * self.received.len() as f64).ceil() as usize;
        times.get(needed.saturating_sub(1)).copied()
    }
}
