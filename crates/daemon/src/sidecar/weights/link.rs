//! Calls of the weights actor: manifests, chunks and what peers hold.

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

use super::http::{DATA_CENTRE_HEADER, HELD_HEADER};
use crate::{
    client,
    platform::{
        store_http::{self, MAX_CHUNK_BYTES},
        Engine, PlatformError, WeightStore,
    },
    sidecar::{
        context::{Post, SidecarContext},
        pacing::Pacing,
    },
};

/// A peer that does not say in this time what it holds is passed over.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A peer that does not send a chunk in this time is stalled.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(4);

/// What the actor of weights and its tasks share.
pub struct Link {
    /// The sidecar.
    pub context: Arc<SidecarContext>,
    /// Paces bulk transfers.
    pub pacing: Arc<Pacing>,
    /// Connections to peers.
    pub client: Client,
    /// The origin of weights, if the settings name one.
    pub origin: Option<Box<dyn WeightStore>>,
    /// The engine beside this sidecar.
    pub engine: Box<dyn Engine>,
}

/// A chunk as it came, with what its sender holds besides.
pub struct Arrival {
    /// The bytes, of the length that the manifest says.
    pub buf: Bytes,
    /// What the sender holds; absent if it is the origin.
    pub sender_holds: Option<ChunkMapResponse>,
}

impl Link {
    /// Whether the declaration still wants a version.
    pub fn wanted(&self, version: &str) -> bool {
        self.context.versions().target.as_deref() == Some(version)
    }

    /// The manifest, from the origin if this host is to ask there, else from a peer.
    pub async fn find_manifest(&self, version: &str, asked: u32) -> Option<Manifest> {
        if let Some(manifest) = self.context.chunks.manifest(version) {
            return Some(manifest);
        }
        let post = self.context.post()?;
        let members = self.context.pool_members(&post);
        let peer = &self.context.settings.peer;
        let luck = rand::random();
        match choose_manifest_source(
            version,
            &peer.host,
            &peer.data_centre,
            &members,
            asked,
            luck,
        ) {
            Source::Origin => {
                let manifest = self.origin.as_ref()?.manifest(version).await;
                let missed = |e: &PlatformError| debug!("manifest of {version} did not come: {e}");
                manifest.inspect_err(missed).ok()
            }
            Source::Peer { address, .. } => {
                let url = format!("http://{address}{}/{version}", paths::MANIFEST);
                let body = store_http::get(&self.client, url, MAX_CHUNK_BYTES, PROBE_TIMEOUT).await;
                serde_json::from_slice(&body.ok()?).ok()
            }
        }
    }

    /// What a peer holds of a version, if it answers.
    pub async fn have(&self, address: SocketAddr, version: &SmolStr) -> Option<ChunkMapResponse> {
        let request = ChunkMapRequest {
            v: PROTOCOL_VERSION,
            version: version.clone(),
        };
        let answer = client::call(
            &self.client,
            address,
            paths::CHUNK_MAP,
            &request,
            PROBE_TIMEOUT,
        );
        answer.await.ok()
    }

    /// One chunk, from the origin or a peer, not yet checked.
    pub async fn fetch(
        &self,
        version: &str,
        chunk: usize,
        source: &Source,
    ) -> Result<Arrival, PlatformError> {
        let manifest = self.context.chunks.manifest(version);
        let expected = manifest.map_or(0, |manifest| manifest.chunk_length(chunk));
        let wait = self.pacing.receive(expected);
        if wait > Duration::ZERO {
            actix_rt::time::sleep(wait).await;
        }
        let arrival = match (source, &self.origin) {
            (Source::Origin, Some(origin)) => Arrival {
                buf: origin.chunk(version, chunk).await?,
                sender_holds: None,
            },
            (Source::Origin, None) => return Err(PlatformError::Status { status: 404 }),
            (Source::Peer { address, .. }, _) => {
                self.fetch_from_peer(*address, version, chunk).await?
            }
        };
        if arrival.buf.len() != expected {
            let found = arrival.buf.len();
            return Err(PlatformError::Length { found, expected });
        }
        Ok(arrival)
    }

    async fn fetch_from_peer(
        &self,
        address: SocketAddr,
        version: &str,
        chunk: usize,
    ) -> Result<Arrival, PlatformError> {
        let url = format!("http://{address}{}/{version}/{chunk}", paths::CHUNK);
        let data_centre = self.context.settings.peer.data_centre.as_str();
        let request = self.client.get(url).timeout(CHUNK_TIMEOUT);
        let request = request.insert_header((DATA_CENTRE_HEADER, data_centre));
        let mut response = request.send().await?.timeout(CHUNK_TIMEOUT);
        if !response.status().is_success() {
            let status = response.status().as_u16();
            return Err(PlatformError::Status { status });
        }
        let held = response.headers().get(HELD_HEADER);
        let sender_holds = held.and_then(|value| header::from_header(value.to_str().ok()?).ok());
        let buf = response.body().limit(MAX_CHUNK_BYTES).await?;
        Ok(Arrival { buf, sender_holds })
    }
}

impl SidecarContext {
    /// The live hosts of this sidecar's pool, this one included.
    pub fn pool_members(&self, post: &Post) -> Vec<MemberDocument> {
        let snapshot = self.state.snapshot();
        let Some(pool) = post.fleet.pools.get(&post.pool) else {
            return Vec::new();
        };
        let own = &self.settings.peer.host;
        let live = |host: &SmolStr| {
            let members = &snapshot.members.members;
            let mut known = members.iter().filter(|m| m.host == *host);
            host == own || known.any(|m| m.state == MemberState::Live)
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

    /// Counts what was drawn from the origin and from peers.
    pub fn count_bytes(&self, source: &Source, bytes: u64) {
        let metrics = &self.state.metrics;
        let mut versions = self.versions();
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
