//! Calls to other processes of the mesh.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use awc::Client;
use balsamjunction_directory::{Position, ReplicaUpdate, Subject};
use serde::{de::DeserializeOwned, Serialize};

use crate::{
    client::{self, PeerError},
    metrics::{MeshMetrics, Metrics, StateLabels},
};

/// Observes the ages of the changes in a peer's update that follow the known position.
pub fn observe_change_ages(metrics: &MeshMetrics, known: Position, update: &ReplicaUpdate) {
    let new = update.changes.iter().filter(|change| {
        let position = Position {
            era: change.era,
            revision: change.revision,
        };
        position > known
    });
    for change in new {
        let subject = match change.subject {
            Subject::Declaration => "configuration",
            Subject::Upstream(_) => "upstream",
            Subject::Evacuation(_) => "evacuation",
            Subject::Version(_) => "version",
        };
        let state = subject.to_owned();
        let ages = metrics.change_age.get_or_create(&StateLabels { state });
        ages.observe(Duration::from_millis(change.known_for_ms).as_secs_f64());
    }
}

/// The client for calls to other processes of the mesh, which counts what they cost.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
    metrics: Arc<Metrics>,
}

impl PeerClient {
    /// Creates a client that counts in the metrics of this process.
    pub fn new(client: Client, metrics: Arc<Metrics>) -> Self {
        Self { client, metrics }
    }

    /// The metrics in which it counts.
    pub fn metrics(&self) -> &MeshMetrics {
        &self.metrics.mesh
    }

    /// Posts a message to a peer and decodes its response.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, PeerError> {
        let sent_at = Instant::now();
        let exchange = client::call_counted(&self.client, address, path, message, timeout).await;
        let labels = StateLabels {
            state: path.to_owned(),
        };
        // A call that failed shows at least how long it was waited for.
        let delay = sent_at.elapsed().as_secs_f64();
        let delays = &self.metrics().peer_delay;
        delays.get_or_create(&labels).observe(delay);
        let exchange = exchange?;
        let bytes = self.metrics().peer_bytes.get_or_create(&labels);
        bytes.inc_by((exchange.sent_bytes + exchange.received_bytes) as u64);
        Ok(exchange.response)
    }
}
