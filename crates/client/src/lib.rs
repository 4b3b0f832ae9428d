//! HTTP client that tells a broken connection from the end of an answer.
//!
//! `awc` takes a connection that closes in mid-answer for the answer's end, unless part of a chunk
//! is left in its buffer. A cut answer would then look whole. The clients made here read from a
//! [`StrictStream`], for which the end of the connection is an error. Answers that end with their
//! connection instead of a length or a last chunk are therefore errors, too: nobody can tell whether
//! they are whole. See docs/DESIGN.md, "Whole answers".

mod strict;

use std::{io::ErrorKind, net::IpAddr, time::Duration};

use actix_tls::connect::Connector as TcpConnector;
use awc::{
    error::{ConnectError, SendRequestError},
    Client, Connector,
};

pub use crate::strict::StrictStream;

/// Connections that one thread may hold open at once.
const MAX_CONNECTIONS: usize = 20_000;
/// Idle connections close after this, sooner than any server here closes them, so that a request is
/// never written to a connection that its server is closing.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Servers keep idle connections longer than clients do.
pub const SERVER_IDLE_LIMIT: Duration = Duration::from_secs(75);
/// A host that does not accept within this time counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A client whose connections start at `outbound_ip`, if the host has several addresses.
pub fn new_client(outbound_ip: Option<IpAddr>) -> Client {
    let tcp = strict::StrictConnector::new(TcpConnector::default().service());
    let mut connector = Connector::new()
        .connector(tcp)
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
pub fn failed_to_connect(e: &SendRequestError) -> bool {
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
