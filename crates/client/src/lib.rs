//! HTTP client that distinguishes a broken connection from the end of a response.
//!
//! When a connection closes in the middle of a response, `awc` treats that as the end of the response,
//! unless its buffer contains part of a chunk. A truncated response would then look complete. The
//! clients made here read from a [`StrictStream`], which reports the end of the connection as an
//! error. Responses that are delimited by the end of the connection instead of a length or a last
//! chunk are therefore errors too, since they cannot be known to be complete. See docs/DESIGN.md,
//! "Whole answers".

mod strict;

use std::{io::ErrorKind, net::IpAddr, time::Duration};

use actix_tls::connect::Connector as TcpConnector;
use awc::{
    error::{ConnectError, SendRequestError},
    Client, Connector,
};

pub use crate::strict::StrictStream;

/// Maximum number of open connections per thread.
const MAX_CONNECTIONS: usize = 20_000;
/// Idle timeout of client connections. It is shorter than that of any server in the system, so that a
/// request is never written to a connection that its server is closing.
const CLIENT_IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Idle timeout of server connections, longer than that of the clients.
pub const SERVER_IDLE_LIMIT: Duration = Duration::from_secs(75);
/// A host that does not accept a connection within this time counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How a client opens and keeps connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// Source address of connections, if a particular one is to be used.
    pub outbound_ip: Option<IpAddr>,
    /// A host that does not accept a connection within this time counts as unreachable.
    pub connect_timeout: Duration,
    /// Idle connections are closed after this time.
    pub idle_limit: Duration,
    /// Whether connections are reset when they are closed. What a call that is given up has sent is then lost, unless it
    /// has reached the server; otherwise it is delivered afterwards, however late.
    pub reset_on_close: bool,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            outbound_ip: None,
            connect_timeout: CONNECT_TIMEOUT,
            idle_limit: CLIENT_IDLE_LIMIT,
            reset_on_close: false,
        }
    }
}

/// Creates a client. Its connections use `outbound_ip` as their source address, if one is given.
pub fn new_client(outbound_ip: Option<IpAddr>) -> Client {
    new_client_with(ClientOptions {
        outbound_ip,
        ..ClientOptions::default()
    })
}

/// Creates a client with `options`.
pub fn new_client_with(options: ClientOptions) -> Client {
    let tcp = TcpConnector::default().service();
    let tcp = strict::StrictConnector::new(tcp, options.reset_on_close);
    let mut connector = Connector::new()
        .connector(tcp)
        .limit(MAX_CONNECTIONS)
        .timeout(options.connect_timeout)
        .conn_keep_alive(options.idle_limit);
    if let Some(ip) = options.outbound_ip {
        connector = connector.local_address(ip);
    }
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Whether a status is that of a final response, which tells what became of its request (RFC 9110, section 15).
///
/// Parsers accept any three digits. An interim status is that of no response, and 101 only of one to a request that asks for
/// another protocol, which this system never does.
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Whether a request failed before a connection was established, so that the server cannot have read
/// any of it.
///
/// `awc` also reports a connect error if the server closes an established connection without a
/// response. The server may have run the request in that case, so this returns false.
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
