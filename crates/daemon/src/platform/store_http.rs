//! Reads the origin of weights over HTTP.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use bytes::Bytes;
use futures_util::FutureExt;

use balsamjunction_protocol::platform::Manifest;

use super::{PlatformError, PlatformResult, WeightStore};

/// Maximum length of a manifest: 100,000 chunks.
pub const MAX_MANIFEST_BYTES: usize = 8 * 1024 * 1024;
/// A manifest that is not received within this time is requested again.
const MANIFEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A chunk that is not received within this time is requested again.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(20);

/// The origin at one address.
pub struct HttpWeightStore {
    client: Client,
    address: SocketAddr,
}

impl HttpWeightStore {
    /// The origin at `address`.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }
}

/// Reads a complete response body of at most `limit` bytes.
pub async fn get_body(
    client: &Client,
    url: String,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, PlatformError> {
    let response = client.get(url).timeout(timeout).send().await?;
    let mut response = response.timeout(timeout);
    if !response.status().is_success() {
        let status = response.status().as_u16();
        return Err(PlatformError::Status { status });
    }
    Ok(response.body().limit(limit).await?)
}

impl WeightStore for HttpWeightStore {
    fn manifest(&self, version: &str) -> PlatformResult<'_, Manifest> {
        let url = format!("http://{}/v1/manifests/{version}", self.address);
        async move {
            let body = get_body(&self.client, url, MAX_MANIFEST_BYTES, MANIFEST_TIMEOUT).await?;
            Ok(serde_json::from_slice(&body)?)
        }
        .boxed_local()
    }

    fn chunk(&self, version: &str, chunk: usize, max_bytes: usize) -> PlatformResult<'_, Bytes> {
        let url = format!("http://{}/v1/chunks/{version}/{chunk}", self.address);
        get_body(&self.client, url, max_bytes, CHUNK_TIMEOUT).boxed_local()
    }
}
