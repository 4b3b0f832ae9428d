//! Sends orders to a model engine over HTTP and reads its state.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use futures_util::FutureExt;

use balsamjunction_protocol::platform::{EngineOrder, EngineState};

use super::{Engine, PlatformError, PlatformResult};

/// An engine, which is on the same host, is busy or down if it does not respond within this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The engine at one address.
pub struct HttpEngine {
    client: Client,
    address: SocketAddr,
}

impl HttpEngine {
    /// The engine at `address`.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    async fn send_order(&self, path: &str, order: EngineOrder) -> Result<(), PlatformError> {
        let request = self.client.post(format!("http://{}{path}", self.address));
        let response = request.timeout(REQUEST_TIMEOUT).send_json(&order).await?;
        if response.status().is_success() {
            return Ok(());
        }
        let status = response.status().as_u16();
        Err(PlatformError::Status { status })
    }
}

impl Engine for HttpEngine {
    fn state(&self) -> PlatformResult<'_, EngineState> {
        let url = format!("http://{}/engine/state", self.address);
        async move {
            let mut response = self.client.get(url).timeout(REQUEST_TIMEOUT).send().await?;
            let body = response.body().await?;
            Ok(serde_json::from_slice(&body)?)
        }
        .boxed_local()
    }

    fn load(&self, order: EngineOrder) -> PlatformResult<'_, ()> {
        self.send_order("/engine/load", order).boxed_local()
    }

    fn switch(&self, order: EngineOrder) -> PlatformResult<'_, ()> {
        self.send_order("/engine/switch", order).boxed_local()
    }
}
