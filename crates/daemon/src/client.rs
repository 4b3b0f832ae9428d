//! HTTP calls to other processes of the system.

use std::{net::SocketAddr, time::Duration};

use awc::{error::SendRequestError, Client};
use balsamjunction_protocol::{header, paths, ProtocolError, PullRequest, PullResponse};
use bytes::Bytes;
use derive_more::{Display, Error, From};
use serde::{de::DeserializeOwned, Serialize};

/// Longest response body in bytes: fits a declaration of one mebibyte and a membership list.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Why a call to a peer failed.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// The request could not be sent or got no response.
    #[display("peer does not respond: {_0}")]
    Send(#[error(not(source))] SendRequestError),
    /// The response body ended early or is too long.
    #[display("cannot read the response of the peer: {_0}")]
    Payload(#[error(not(source))] awc::error::PayloadError),
    /// The message cannot be encoded or decoded.
    #[display("{_0}")]
    Protocol(ProtocolError),
    /// The peer responded with an error status.
    #[display("peer responded with status {status}")]
    #[from(ignore)]
    Status {
        /// The HTTP status code.
        status: u16,
    },
}

/// Posts an encoded message to a peer and decodes its response.
pub async fn call<Q: Serialize, A: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<A, PeerError> {
    let exchange = call_counted(client, address, path, message, timeout).await?;
    Ok(exchange.response)
}

/// A response of a peer, with what the call has cost.
pub struct Exchange<A> {
    /// The response.
    pub response: A,
    /// Length of the request's body.
    pub sent_bytes: usize,
    /// Length of the response's body.
    pub received_bytes: usize,
}

/// Does the same as [`call`], and tells the lengths of the bodies.
pub async fn call_counted<Q: Serialize, A: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<Exchange<A>, PeerError> {
    let request = header::to_bytes(message)?;
    let sent_bytes = request.len();
    let body = post(client, address, path, request, timeout).await?;
    let response = match body.compressed {
        true => header::from_compressed(&body.buf, MAX_MESSAGE_BYTES as u64)?,
        false => header::from_bytes(&body.buf)?,
    };
    Ok(Exchange {
        response,
        sent_bytes,
        received_bytes: body.buf.len(),
    })
}

/// Requests the fleet state of a peer; the response body is compressed.
pub async fn pull(
    client: &Client,
    address: SocketAddr,
    request: &PullRequest,
    timeout: Duration,
) -> Result<PullResponse, PeerError> {
    let request = header::to_bytes(request)?;
    let body = post(client, address, paths::PULL, request, timeout).await?;
    Ok(header::from_compressed(
        &body.buf,
        MAX_MESSAGE_BYTES as u64,
    )?)
}

/// The body of a response.
struct Body {
    buf: Bytes,
    /// Whether its headers state that it is compressed.
    compressed: bool,
}

async fn post(
    client: &Client,
    address: SocketAddr,
    path: &str,
    message: Vec<u8>,
    timeout: Duration,
) -> Result<Body, PeerError> {
    let request = client.post(format!("http://{address}{path}"));
    let mut response = request.timeout(timeout).send_body(message).await?;
    if !response.status().is_success() {
        let status = response.status().as_u16();
        return Err(PeerError::Status { status });
    }
    let encoding = response.headers().get(header::ENCODING);
    let compressed = encoding.is_some_and(|value| value == header::DEFLATED);
    Ok(Body {
        buf: response.body().limit(MAX_MESSAGE_BYTES).await?,
        compressed,
    })
}
