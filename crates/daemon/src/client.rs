//! Calls to peers.

use std::{net::SocketAddr, time::Duration};

use awc::{error::SendRequestError, Client};
use balsamjunction_protocol::{header, paths, ProtocolError, PullRequest, PullResponse};
use bytes::Bytes;
use derive_more::{Display, Error, From};
use serde::{de::DeserializeOwned, Serialize};

/// Longest message between processes: a declaration of one mebibyte and a membership list.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// A call to a peer that brought no answer.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// The peer did not answer.
    #[display("peer does not answer: {_0}")]
    Send(#[error(not(source))] SendRequestError),
    /// The answer broke off.
    #[display("answer of peer broke off: {_0}")]
    Payload(#[error(not(source))] awc::error::PayloadError),
    /// The message cannot be read or written.
    #[display("{_0}")]
    Protocol(ProtocolError),
    /// The peer refused.
    #[display("peer answered with status {status}")]
    #[from(ignore)]
    Status {
        /// The HTTP status.
        status: u16,
    },
}

/// Sends a message to a peer and reads its answer.
pub async fn call<Q: Serialize, A: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<A, PeerError> {
    let buf = exchange(client, address, path, message, timeout).await?;
    Ok(header::from_bytes(&buf)?)
}

/// Asks a peer for what it knows; the answer comes compressed.
pub async fn pull(
    client: &Client,
    address: SocketAddr,
    request: &PullRequest,
    timeout: Duration,
) -> Result<PullResponse, PeerError> {
    let buf = exchange(client, address, paths::PULL, request, timeout).await?;
    Ok(header::from_compressed(&buf, MAX_MESSAGE_BYTES as u64)?)
}

async fn exchange<Q: Serialize>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<Bytes, PeerError> {
    let buf = header::to_bytes(message)?;
    let request = client.post(format!("http://{address}{path}"));
    let mut response = request.timeout(timeout).send_body(buf).await?;
    if !response.status().is_success() {
        let status = response.status().as_u16();
        return Err(PeerError::Status { status });
    }
    Ok(response.body().limit(MAX_MESSAGE_BYTES).await?)
}
