//! What is simulated: the fleet, its links, the change and the faults.

use std::net::SocketAddr;

use balsamjunction_policy::{
    relay::{sources, RelayMember},
    Moment,
};
use smol_str::format_smolstr;

use super::network::{LinkSpec, Sharing};

/// Number of gateways that read the store.
pub const READERS: usize = 2;
/// Rate of a host's link, in bits per second, as on the bench.
pub const HOST_RATE: u64 = 28_000_000;
/// Rate of the link from one region to another, in bits per second, as on the bench.
pub const REGION_RATE: u64 = 26_000_000;
/// Time that a packet takes apart from transmission and queues.
pub const LATENCY: Moment = Moment::from_millis(2);
/// Size of the announcement of a change, of a request and of a small change, in bytes.
pub const SMALL_BYTES: usize = 300;
/// Key that ranks gateways.
const KEY: &[u8] = b"declaration";

/// What happens to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Its process ends: requests to it fail at once.
    Killed,
    /// It no longer responds.
    Frozen,
    /// Its process is replaced by one that has nothing of the change; a reader reads it again at once.
    Restarted,
}

/// A fault of one gateway.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// When it begins.
    pub at: Moment,
    /// The gateway.
    pub gateway: usize,
    /// What happens.
    pub kind: FaultKind,
}

/// A fleet that receives a change.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of gateways. They are spread evenly over the regions.
    pub gateways: usize,
    /// Number of regions.
    pub regions: usize,
    /// The gateways that read the store, and have the change at the beginning.
    pub readers: Vec<usize>,
    /// The links.
    pub links: LinkSpec,
    /// Size of the change as it is transferred, in bytes.
    pub bytes: usize,
    /// Percentage of parts that are lost.
    pub loss_percent: u32,
    /// Gateways that fail.
    pub faults: Vec<Fault>,
    /// Seed of losses, probes and random choices.
    pub seed: u64,
}

impl Scenario {
    /// Returns a calm scenario on the bench's links, in which two regions have a reader each.
    pub fn new(gateways: usize, regions: usize, bytes: usize) -> Self {
        Self {
            gateways,
            regions,
            readers: (0..READERS.min(gateways)).collect(),
            links: LinkSpec {
                host_rate: HOST_RATE,
                region_rate: REGION_RATE,
                latency: LATENCY,
                sharing: Sharing::Fair,
            },
            bytes,
            loss_percent: 0,
            faults: Vec::new(),
            seed: 1,
        }
    }

    /// The region of each gateway.
    pub fn region_of(&self) -> Vec<usize> {
        (0..self.gateways).map(|g| g % self.regions).collect()
    }

    /// The gateways as the relay knows them. A gateway's port is its number.
    pub fn members(&self) -> Vec<RelayMember> {
        let member = |gateway: usize| RelayMember {
            host: format_smolstr!("edge-{gateway}"),
            region: format_smolstr!("region-{}", gateway % self.regions),
            address: address_of(gateway),
            reads_store: self.readers.contains(&gateway),
        };
        (0..self.gateways).map(member).collect()
    }

    /// The sources of each gateway.
    pub fn sources(&self) -> Vec<Vec<SocketAddr>> {
        let members = self.members();
        (0..self.gateways)
            .map(|g| sources_of(g, &members))
            .collect()
    }

    /// Number of requests that a part passes from a reader to the gateway that is farthest from one.
    pub fn depth(&self) -> usize {
        let sources = self.sources();
        let hops = |gateway: usize| {
            let parent = |g: &usize| match self.readers.contains(g) {
                true => None,
                false => sources[*g].first().map(|s| gateway_at(*s)),
            };
            std::iter::successors(Some(gateway), parent)
                .take(self.gateways)
                .count()
                - 1
        };
        (0..self.gateways).map(hops).max().unwrap_or(0)
    }

    /// A gateway that pulls from another region while none fails; none if every region has a reader.
    pub fn root_without_reader(&self) -> Option<usize> {
        let sources = self.sources();
        let region_of = self.region_of();
        (0..self.gateways).find(|g| {
            let first = sources[*g].first().map(|s| region_of[gateway_at(*s)]);
            !self.readers.contains(g) && first.is_some_and(|region| region != region_of[*g])
        })
    }
}

/// The sources of one gateway among `members`.
pub fn sources_of(gateway: usize, members: &[RelayMember]) -> Vec<SocketAddr> {
    sources(KEY, &members[gateway].host, members)
}

/// The address under which the relay knows a gateway.
pub fn address_of(gateway: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], gateway as u16))
}

/// The gateway at an address of [`address_of`].
pub fn gateway_at(address: SocketAddr) -> usize {
    address.port().into()
}
