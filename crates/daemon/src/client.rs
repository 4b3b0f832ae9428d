//! HTTP clients: one kind of connection pool for all outgoing calls.

use std::{
    io::ErrorKind,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use awc::{
    error::{ConnectError, SendRequestError},
    Client, Connector,
};
use balsamjunction_protocol::{header, ProtocolError};
use derive_more::{Display, Error, From};
use serde::{de::DeserializeOwned, Serialize};

/// Connections that one thread may hold open at once.
const MAX_CONNECTIONS: usize = 20_000;
/// Idle connections close after this, sooner than any server here closes them, so that a request is
/// never written to a connection that its server is closing.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Servers keep idle connections longer than clients do.
pub const SERVER_IDLE_LIMIT: Duration = Duration::from_secs(75);
/// A host that does not accept within this time counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest message between processes: a declaration of one mebibyte and a membership list.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// A client whose connections start at `outbound_ip`, if the host has several addresses.
pub fn new(outbound_ip: Option<IpAddr>) -> Client {
    let mut connector = Connector::new()
        .limit(MAX_CONNECTIONS)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE_LIMIT);
    if let Some(ip) = outbound_ip {
        connector = connector.local_address(ip);
    }
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Whether a request failed before a connection was made, so that no byte can have been read.
///
/// A server that closes an open connection without an answer also shows as a connect error of the
/// client; it may well have run the request.
pub fn never_connected(e: &SendRequestError) -> bool {
    match e {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(ConnectError::Io(e)) => matches!(
            e.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        ),
        SendRequestError::Connect(ConnectError::Timeout) => true,
        _ => false,
    }
}

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
    let buf = header::to_bytes(message)?;
    let request = client.post(format!("http://{address}{path}"));
    let mut response = request.timeout(timeout).send_body(buf).await?;
    if !response.status().is_success() {
        let status = response.status().as_u16();
        return Err(PeerError::Status { status });
    }
    let buf = response.body().limit(MAX_MESSAGE_BYTES).await?;
    Ok(header::from_bytes(&buf)?)
}
