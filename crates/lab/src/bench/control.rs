//! Control calls to stand-ins and daemons.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use serde::{de::DeserializeOwned, Serialize};

use crate::error::LabError;

/// Control calls go past the network, so they are quick or lost.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The longest answer: the status of hundreds of hosts.
const MAX_BYTES: usize = 16 * 1024 * 1024;

fn failed(url: &str, why: impl ToString) -> LabError {
    LabError::Control {
        url: url.to_owned(),
        why: why.to_string(),
    }
}

/// Reads a JSON answer.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, LabError> {
    let url = format!("http://{address}{path}");
    let request = Client::default().get(&url).timeout(TIMEOUT);
    let mut response = request.send().await.map_err(|e| failed(&url, e))?;
    let body = response.body().limit(MAX_BYTES).await;
    let body = body.map_err(|e| failed(&url, e))?;
    serde_json::from_slice(&body).map_err(|e| failed(&url, e))
}

/// Sends JSON and expects success.
pub async fn post_json<T: Serialize>(
    address: SocketAddr,
    path: &str,
    message: &T,
) -> Result<(), LabError> {
    let url = format!("http://{address}{path}");
    let request = Client::default().post(&url).timeout(TIMEOUT);
    let response = request.send_json(message).await;
    let response = response.map_err(|e| failed(&url, e))?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(failed(&url, response.status()))
}
