//! Bounds that follow from the design: one part in flight for each receiver, at most half of the time.

use balsamjunction_lab::experiment::dissemination::scenario::{Scenario, SMALL_BYTES};
use balsamjunction_policy::{
    relay::{FANOUT, LINK_SHARE, MAX_PART_BYTES},
    Moment,
};

/// Size of the change, in bytes.
pub const CHANGE: usize = 1 << 20;
/// Copies that a link from one region to another carries at most.
pub const COPIES_BETWEEN_REGIONS: f64 = 1.3;
/// Copies that a gateway serves at most: one to each gateway below it in its region, and one to another region.
pub const COPIES_SERVED: f64 = FANOUT as f64 + 1.0;
/// Longest time between two requests for a part that the source lacks.
const PENDING_INTERVAL: Moment = Moment::from_millis(40);
/// Time in which a change is in force everywhere; see docs/DEVELOPING.md, "The size to design for".
pub const IN_FORCE: Moment = Moment::from_secs(6);

fn time_on_link(bytes: usize, rate: u64) -> Moment {
    Moment::from_secs_f64(bytes as f64 * 8.0 / rate as f64)
}

/// Queues that a message passes while the change is on its way: at its sender a part for each gateway below it, one
/// between regions and one at its receiver.
fn queues(scenario: &Scenario) -> Moment {
    let part = MAX_PART_BYTES + SMALL_BYTES;
    let links = &scenario.links;
    time_on_link(part, links.host_rate) * (FANOUT as u32 + 2)
        + time_on_link(part, links.region_rate)
}

/// Longest time that a small message takes from one gateway to another: the queues, and on two links a message to
/// every gateway that a reader sends at once.
pub fn small_message(scenario: &Scenario) -> Moment {
    let all = scenario.gateways * SMALL_BYTES;
    let slowest = scenario.links.host_rate.min(scenario.links.region_rate);
    scenario.links.latency + queues(scenario) + time_on_link(all, slowest) * 2
}

/// Longest time to the last gateway while nothing fails. Gateways pull all at once, so that the time is that of one
/// download, of which each part takes a round trip and the queues and is followed by a pause, and for each level of the
/// tree that of one part and of a request that comes too early.
pub fn last_gateway(scenario: &Scenario) -> Moment {
    let parts = scenario.bytes.div_ceil(MAX_PART_BYTES) as u32;
    let round_trip = scenario.links.latency * 2 + queues(scenario);
    let cycle = round_trip.mul_f64(1.0 / LINK_SHARE);
    let levels = scenario.depth() as u32;
    small_message(scenario) + cycle * parts + (cycle + PENDING_INTERVAL) * levels
}
