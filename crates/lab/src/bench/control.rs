//! HTTP calls that control and query stand-ins and daemons.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use serde::{de::DeserializeOwned, Serialize};

use crate::error::LabError;

/// Control calls bypass the emulated network, so they are fast unless the process is unresponsive.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Sufficient for the longest response: the status of hundreds of hosts.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

fn control_error(url: &str, cause: impl ToString) -> LabError {
    LabError::Control {
        url: url.to_owned(),
        why: cause.to_string(),
    }
}

/// Sends a GET request and decodes the JSON response.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, LabError> {
    let url = format!("http://{address}{path}");
    let request = Client::default().get(&url).timeout(CALL_TIMEOUT);
    let mut response = request.send().await.map_err(|e| control_error(&url, e))?;
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|e| control_error(&url, e))?;
    serde_json::from_slice(&body).map_err(|e| control_error(&url, e))
}

/// Posts a JSON message; fails unless the response has a status of success.
pub async fn post_json<T: Serialize>(
    address: SocketAddr,
    path: &str,
    message: &T,
) -> Result<(), LabError> {
    let url = format!("http://{address}{path}");
    let request = Client::default().post(&url).timeout(CALL_TIMEOUT);
    let response = request.send_json(message).await;
    let response = response.map_err(|e| control_error(&url, e))?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(control_error(&url, response.status()))
}
