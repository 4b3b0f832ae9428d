//! Reads the configuration service and the membership list by HTTP long polling.

use std::{net::SocketAddr, time::Duration};

use awc::{http::StatusCode, Client};
use balsamjunction_protocol::{FleetDocument, MembersDocument};
use futures_util::FutureExt;
use serde::de::DeserializeOwned;

use super::{ConfigSource, Membership, PlatformError, PlatformResult};

/// Time allowed for a response beyond the requested wait.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// Maximum length of a document: a value of one mebibyte, escaped as JSON.
const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Reads a published document and waits for its changes.
pub struct HttpWatcher {
    client: Client,
    url: String,
}

impl HttpWatcher {
    /// The fleet declaration of the configuration service at `address`.
    pub fn declaration(client: Client, address: SocketAddr) -> Self {
        let url = format!("http://{address}/v1/fleet");
        Self { client, url }
    }

    /// The membership list at `address`.
    pub fn members(client: Client, address: SocketAddr) -> Self {
        let url = format!("http://{address}/v1/members");
        Self { client, url }
    }

    async fn poll<T: DeserializeOwned>(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Option<T>, PlatformError> {
        let url = format!("{}?after={after}&wait_ms={}", self.url, wait.as_millis());
        let request = self.client.get(url).timeout(wait + RESPONSE_GRACE);
        let mut response = request.send().await?;
        if response.status() == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        if response.status() != StatusCode::OK {
            let status = response.status().as_u16();
            return Err(PlatformError::Status { status });
        }
        let body = response.body().limit(MAX_DOCUMENT_BYTES).await?;
        Ok(Some(serde_json::from_slice(&body)?))
    }
}

impl ConfigSource for HttpWatcher {
    fn watch(&self, after: u64, wait: Duration) -> PlatformResult<'_, Option<FleetDocument>> {
        self.poll(after, wait).boxed_local()
    }
}

impl Membership for HttpWatcher {
    fn watch(&self, after: u64, wait: Duration) -> PlatformResult<'_, Option<MembersDocument>> {
        self.poll(after, wait).boxed_local()
    }
}
