//! Receives configurations that peers have announced.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use awc::error::SendRequestError;
use balsamjunction_directory::{Declaration, DeclarationId};
use balsamjunction_policy::{
    membership::Membership,
    relay::{sources, Transfer, TransferAction},
};
use balsamjunction_protocol::{mesh::PartResponse, paths};
use log::debug;
use smol_str::SmolStr;

use super::{ClusterView, Documents, PeerClient};
use crate::{
    client::PeerError,
    events::Event,
    metrics::{Metrics, StateLabels},
};

/// Time that a reader of the store leaves for its own read to bring the content.
const READER_GRACE: Duration = Duration::from_millis(300);

/// Receives the configurations that are announced, and puts them in force.
pub struct Downloader {
    /// The view that they are added to.
    pub cluster_view: Arc<ClusterView>,
    /// What has been received.
    pub documents: Arc<Documents>,
    /// The client for calls to peers.
    pub client: PeerClient,
    /// The region of each data centre.
    pub regions: HashMap<SmolStr, SmolStr>,
    /// The metrics of the process.
    pub metrics: Arc<Metrics>,
}

/// What a download has cost so far, for the log.
#[derive(Debug, Default)]
struct Cost {
    parts: u32,
    bytes: usize,
    failures: u32,
}

/// How the response to a request arrived.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    source: SocketAddr,
    /// Offset of the part that was requested.
    offset: u32,
    took: Duration,
}

impl Downloader {
    /// Receives configurations for as long as the process runs.
    pub async fn run(self) {
        let mut wanted = self.cluster_view.subscribe_to_wanted_declaration();
        loop {
            let id = *wanted.borrow_and_update();
            let ended = match id {
                Some(id) => {
                    tokio::select! {
                        () = self.receive(id) => Ok(()),
                        changed = wanted.changed() => changed,
                    }
                }
                None => wanted.changed().await,
            };
            if ended.is_err() {
                return;
            }
            if *wanted.borrow() != id {
                self.documents.end();
            }
        }
    }

    fn sources(&self, id: DeclarationId) -> Vec<SocketAddr> {
        let members = self
            .cluster_view
            .with_members(|members, now| members.relay_members(now, &self.regions));
        let own = self.cluster_view.with_members(|m, _| m.own().host.clone());
        sources(id.digest.as_bytes(), &own, &members)
    }

    async fn receive(&self, id: DeclarationId) {
        let now = || self.cluster_view.clock.now();
        let announced_at = now();
        self.documents.begin(id);
        let reads_store = |members: &mut Membership, now| members.is_store_reader(now);
        if self.cluster_view.with_members(reads_store) {
            actix_rt::time::sleep(READER_GRACE).await;
        }
        let mut transfer = Transfer::new(now(), self.sources(id));
        let mut cost = Cost::default();
        loop {
            transfer.set_sources(now(), self.sources(id));
            let (source, max_bytes, timeout) = match transfer.next(now()) {
                TransferAction::Request {
                    source,
                    max_bytes,
                    timeout,
                } => (source, max_bytes, timeout),
                TransferAction::Wait { until } => {
                    actix_rt::time::sleep(until.saturating_sub(now())).await;
                    continue;
                }
            };
            let Some(request) = self.documents.next_request(max_bytes) else {
                return;
            };
            let sent_at = now();
            let response = self
                .client
                .call(source, paths::MESH_PART, &request, timeout)
                .await;
            let arrival = Arrival {
                source,
                offset: request.offset,
                took: now().saturating_sub(sent_at),
            };
            let received = match response {
                Ok(response) => self.take_response(&mut transfer, &mut cost, arrival, response),
                Err(e) => {
                    self.record_failure(&mut transfer, &mut cost, source, &e);
                    None
                }
            };
            if let Some(declaration) = received {
                let source = format!("peer {source}");
                self.cluster_view
                    .supply_declaration(id, declaration, &source);
                let took = now().saturating_sub(announced_at);
                self.cluster_view.events.emit(&Event::DeclarationReceived {
                    source,
                    configuration: id.version,
                    bytes: cost.bytes,
                    parts: cost.parts,
                    failures: cost.failures,
                    took_ms: took.as_millis() as u64,
                });
                return;
            }
        }
    }

    /// Takes in the response to a request; returns the configuration once it is complete.
    fn take_response(
        &self,
        transfer: &mut Transfer,
        cost: &mut Cost,
        arrival: Arrival,
        response: PartResponse,
    ) -> Option<Arc<Declaration>> {
        let now = self.cluster_view.clock.now();
        let Arrival {
            source,
            offset,
            took,
        } = arrival;
        let Some(part) = response.part else {
            transfer.record_pending(now, source);
            return None;
        };
        let waited = Duration::from_millis(response.waited_ms);
        let bytes = part.bytes.len();
        let repeated = part.offset < offset;
        cost.parts += 1;
        cost.bytes += bytes;
        self.count_part(if repeated { "repeated" } else { "received" });
        match self.documents.accept(part) {
            Ok(None) => transfer.record_part(now, took.saturating_sub(waited), bytes),
            Ok(declaration) => return declaration,
            Err(e) => {
                debug!("a part of {source} is not usable: {e}");
                cost.failures += 1;
                transfer.record_failure(now, source);
            }
        }
        None
    }

    fn record_failure(
        &self,
        transfer: &mut Transfer,
        cost: &mut Cost,
        source: SocketAddr,
        e: &PeerError,
    ) {
        debug!("{source} sent no part: {e}");
        let now = self.cluster_view.clock.now();
        cost.failures += 1;
        self.count_part("failed");
        match e {
            PeerError::Send(SendRequestError::Timeout) => transfer.record_timeout(now, source),
            _ => transfer.record_failure(now, source),
        }
    }

    fn count_part(&self, state: &str) {
        let state = state.to_owned();
        let parts = &self.metrics.mesh.declaration_parts;
        parts.get_or_create(&StateLabels { state }).inc();
    }
}
