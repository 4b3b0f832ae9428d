//! Calls to other processes of the mesh.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use prometheus_client::metrics::{counter::Counter, family::Family};
use serde::{de::DeserializeOwned, Serialize};

use crate::{
    client::{self, PeerError},
    metrics::{Metrics, StateLabels},
};

/// The client for calls to other processes of the mesh, which counts what they cost.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
    bytes: Family<StateLabels, Counter>,
}

impl PeerClient {
    /// Creates a client that counts in the metrics of this process.
    pub fn new(client: Client, metrics: &Metrics) -> Self {
        Self {
            client,
            bytes: metrics.mesh.peer_bytes.clone(),
        }
    }

    /// Posts a message to a peer and decodes its response.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, PeerError> {
        let exchange = client::call_counted(&self.client, address, path, message, timeout).await?;
        let labels = StateLabels {
            state: path.to_owned(),
        };
        let bytes = self.bytes.get_or_create(&labels);
        bytes.inc_by((exchange.sent_bytes + exchange.received_bytes) as u64);
        Ok(exchange.response)
    }
}
