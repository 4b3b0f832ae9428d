//! Calls of the weights actor: fetches manifests and chunks, and queries which chunks peers store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use awc::Client;
use balsamjunction_policy::fetch::{choose_manifest_source, Source};
use balsamjunction_protocol::{
    header, paths, platform::Manifest, ChunkMapRequest, ChunkMapResponse, MemberDocument,
    MemberState, PROTOCOL_VERSION,
};
use bytes::Bytes;
use log::debug;
use smol_str::{format_smolstr, SmolStr};

use super::http::{CHUNK_MAP_HEADER, DATA_CENTRE_HEADER};
use crate::{
    client,
    platform::{
        store_http::{self, MAX_MANIFEST_BYTES},
        Engine, PlatformError, WeightStore,
    },
    sidecar::{
        context::{Assignment, SidecarContext},
        pacing::TransferPacing,
    },
};

/// A peer that does not respond to a query within this time is skipped.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A peer that does not send a chunk within this time is considered stalled.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(4);

/// State and clients shared by the weights actor and its tasks.
pub struct WeightsClient {
    /// State shared by all parts of the sidecar.
    pub context: Arc<SidecarContext>,
    /// Paces bulk transfers.
    pub pacing: Arc<TransferPacing>,
    /// HTTP client for peers.
    pub http_client: Client,
    /// The origin of weights, if the settings configure one.
    pub origin: Option<Box<dyn WeightStore>>,
    /// The engine on this host.
    pub engine: Box<dyn Engine>,
}

/// A chunk as received, with the other chunks that its sender stores.
pub struct ReceivedChunk {
    /// The bytes, of the length that the manifest states; their hash is not verified yet.
    pub buf: Bytes,
    /// The chunks that the sender stores; absent if it is the origin or did not report them.
    pub sender_chunks: Option<ChunkMapResponse>,
}

impl WeightsClient {
    /// Whether a version is still the target version of the declaration.
    pub fn is_target(&self, version: &str) -> bool {
        self.context.version_status().target.as_deref() == Some(version)
    }

    /// Fetches the manifest, from the origin if this host is selected for that, otherwise from a peer.
    pub async fn find_manifest(&self, version: &str, attempts: u32) -> Option<Manifest> {
        if let Some(manifest) = self.context.chunk_store.manifest(version) {
            return Some(manifest);
        }
        let assignment = self.context.assignment()?;
        let members = self.context.pool_members(&assignment);
        let peer = &self.context.settings.peer;
        let draw = rand::random();
        match choose_manifest_source(
            version,
            &peer.host,
            &peer.data_centre,
            &members,
            attempts,
            draw,
        ) {
            Source::Origin => {
                let manifest = self.origin.as_ref()?.manifest(version).await;
                let log_error =
                    |e: &PlatformError| debug!("manifest of {version} was not received: {e}");
                manifest.inspect_err(log_error).ok()
            }
            Source::Peer { address, .. } => {
                let url = format!("http://{address}{}/{version}", paths::MANIFEST);
                let (client, limit) = (&self.http_client, MAX_MANIFEST_BYTES);
                let body = store_http::get_body(client, url, limit, QUERY_TIMEOUT).await;
                serde_json::from_slice(&body.ok()?).ok()
            }
        }
    }

    /// Queries which chunks of a version a peer stores; absent if it does not respond.
    pub async fn query_chunk_map(
        &self,
        address: SocketAddr,
        version: &SmolStr,
    ) -> Option<ChunkMapResponse> {
        let request = ChunkMapRequest {
            v: PROTOCOL_VERSION,
            version: version.clone(),
        };
        let response = client::call(
            &self.http_client,
            address,
            paths::CHUNK_MAP,
            &request,
            QUERY_TIMEOUT,
        );
        response.await.ok()
    }

    /// Fetches one chunk from the origin or a peer; checks its length but not its hash.
    pub async fn fetch_chunk(
        &self,
        version: &str,
        chunk: usize,
        source: &Source,
    ) -> Result<ReceivedChunk, PlatformError> {
        let manifest = self.context.chunk_store.manifest(version);
        let expected = manifest.map_or(0, |manifest| manifest.chunk_length(chunk));
        let wait = self.pacing.reserve_receive(expected);
        if wait > Duration::ZERO {
            actix_rt::time::sleep(wait).await;
        }
        let received = match (source, &self.origin) {
            (Source::Origin, Some(origin)) => ReceivedChunk {
                buf: origin.chunk(version, chunk, expected).await?,
                sender_chunks: None,
            },
            (Source::Origin, None) => return Err(PlatformError::Status { status: 404 }),
            (Source::Peer { address, .. }, _) => {
                let fetch = self.fetch_chunk_from_peer(*address, version, chunk, expected);
                fetch.await?
            }
        };
        if received.buf.len() != expected {
            let found = received.buf.len();
            return Err(PlatformError::Length { found, expected });
        }
        Ok(received)
    }

    async fn fetch_chunk_from_peer(
        &self,
        address: SocketAddr,
        version: &str,
        chunk: usize,
        max_bytes: usize,
    ) -> Result<ReceivedChunk, PlatformError> {
        let url = format!("http://{address}{}/{version}/{chunk}", paths::CHUNK);
        let data_centre = self.context.settings.peer.data_centre.as_str();
        let request = self.http_client.get(url).timeout(CHUNK_TIMEOUT);
        let request = request.insert_header((DATA_CENTRE_HEADER, data_centre));
        let mut response = request.send().await?.timeout(CHUNK_TIMEOUT);
        if !response.status().is_success() {
            let status = response.status().as_u16();
            return Err(PlatformError::Status { status });
        }
        let chunk_map = response.headers().get(CHUNK_MAP_HEADER);
        let sender_chunks =
            chunk_map.and_then(|value| header::from_header(value.to_str().ok()?).ok());
        let buf = response.body().limit(max_bytes).await?;
        Ok(ReceivedChunk { buf, sender_chunks })
    }
}

impl SidecarContext {
    /// The live hosts of this sidecar's pool, including this one.
    pub fn pool_members(&self, assignment: &Assignment) -> Vec<MemberDocument> {
        let snapshot = self.state.snapshot();
        let Some(pool) = assignment.fleet.pools.get(&assignment.pool) else {
            return Vec::new();
        };
        let own = &self.settings.peer.host;
        let live = |host: &SmolStr| {
            let members = &snapshot.members.members;
            let mut entries = members.iter().filter(|m| m.host == *host);
            host == own || entries.any(|m| m.state == MemberState::Live)
        };
        let upstreams = pool.upstreams.iter().filter(|u| live(&u.host));
        upstreams
            .map(|upstream| MemberDocument {
                host: upstream.host.clone(),
                data_centre: upstream.data_centre.clone(),
                address: format_smolstr!("{}", upstream.sidecar),
                state: MemberState::Live,
            })
            .collect()
    }

    /// Counts bytes fetched from the origin or from peers.
    pub fn record_fetched_bytes(&self, source: &Source, bytes: u64) {
        let metrics = &self.state.metrics;
        let mut versions = self.version_status();
        match source {
            Source::Origin => {
                versions.origin_bytes += bytes;
                metrics.origin_bytes.inc_by(bytes);
            }
            Source::Peer { .. } => {
                versions.peer_bytes += bytes;
                metrics.peer_bytes.inc_by(bytes);
            }
        }
    }
}
