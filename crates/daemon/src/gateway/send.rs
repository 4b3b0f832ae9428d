//! One request on a connection of its own to an upstream.
//!
//! Connections are not kept: a kept one may have broken unnoticed, or bring bytes that belong to an
//! earlier request, and then nobody can tell whether the request ran. A new one costs one round
//! trip. See docs/DESIGN.md, "Connections". `awc` hides whether a request was written, so `hyper`'s
//! connections are used here.

use std::{io, net::SocketAddr, time::Duration};

use actix_rt::task::JoinHandle;
use balsamjunction_platform::headers;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// An upstream that does not accept in this time is passed over; nothing was sent to it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Most that is read ahead of an answer, its head included; heads hold some hundred bytes.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1_024;

/// Why an upstream gave no answer.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// No connection was made, so nothing has run.
    #[display("no connection: {_0}")]
    Unreachable(io::Error),
    /// The request may have been read, so it may have run.
    #[display("no answer: {_0}")]
    Broken(hyper::Error),
}

/// An answer whose body is still to come.
pub struct Sent {
    /// The answer.
    pub response: Response<Incoming>,
    /// Keeps the connection open for as long as the answer is of interest.
    pub _connection: Connection,
}

impl Sent {
    /// A header of the answer, if it is there and plain text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }

    /// The version of the weights on which the answer began, if the upstream says so.
    pub fn version(&self) -> Option<u64> {
        self.header(headers::SERVED_VERSION)?.trim().parse().ok()
    }
}

/// A connection that closes when it is dropped, which tells the upstream to stop its work.
pub struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a connection, so that a failure to do so is told apart from everything later.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, SendError> {
    let connecting = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let timed_out = |_| SendError::Unreachable(io::ErrorKind::TimedOut.into());
    let tcp = connecting.await.map_err(timed_out)?;
    let tcp = tcp.map_err(SendError::Unreachable)?;
    tcp.set_nodelay(true).map_err(SendError::Unreachable)?;
    Ok(tcp)
}

/// Sends a request and waits for the head of its answer.
pub async fn send(tcp: TcpStream, req: Request<Full<Bytes>>) -> Result<Sent, SendError> {
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_READ_AHEAD_BYTES)
        .handshake(TokioIo::new(tcp))
        .await;
    let (mut sender, connection) = handshake.map_err(SendError::Broken)?;
    let _connection = Connection(actix_rt::spawn(async move {
        // Errors of the connection show at the body.
        if let Err(e) = connection.await {
            log::debug!("connection to upstream ended: {e}");
        }
    }));
    let response = sender.send_request(req).await.map_err(SendError::Broken)?;
    Ok(Sent {
        response,
        _connection,
    })
}
