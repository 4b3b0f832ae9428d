//! What a process believes about the fleet, without shared storage.
//!
//! Two entries read the platform's store for all and hand on what they learn; the others ask them how
//! old it is, and read by themselves when they hear nothing fresh. Processes find each other through
//! seeds. See docs/DESIGN.md, "Beliefs".

mod cluster_view;
pub mod http;
mod peers;
mod reader;

use std::time::Duration;

use rand::Rng;

pub use self::{
    cluster_view::ClusterView,
    peers::{
        exchange_loop, exchange_once, notify_crashes, push_target_versions, refresh_facts_loop,
        ExchangePurpose,
    },
    reader::read_store_loop,
};

/// Waits for `mean`, spread by half to both sides, so that processes do not act in step.
async fn pause(mean: Duration) {
    let part = rand::rng().random_range(0.5..1.5);
    actix_rt::time::sleep(mean.mul_f64(part)).await;
}
