//! Each process's view of the fleet, kept up to date by gossip and without shared storage.
//!
//! Two entries, the readers, watch the platform's store and forward its changes. The other entries poll
//! them for the age of the facts, and read the store themselves when the readers provide nothing fresh.
//! Processes discover each other through seeds. See docs/DESIGN.md, "Cluster view".

mod cluster_view;
mod crash_evidence;
mod documents;
mod download;
pub mod http;
mod peer_client;
mod peers;
mod reader;

use std::time::Duration;

use rand::Rng;

pub use self::{
    cluster_view::ClusterView,
    crash_evidence::SuspectList,
    documents::Documents,
    download::Downloader,
    peer_client::PeerClient,
    peers::{
        exchange_loop, exchange_once, push_crash_evidence_loop, push_limits_loop,
        push_target_versions, refresh_facts_loop, ExchangePurpose,
    },
    reader::read_store_loop,
};

/// Sleeps for `mean` with a jitter of ±50%, so that processes do not act in lockstep.
async fn sleep_with_jitter(mean: Duration) {
    let jitter = rand::rng().random_range(0.5..1.5);
    actix_rt::time::sleep(mean.mul_f64(jitter)).await;
}
