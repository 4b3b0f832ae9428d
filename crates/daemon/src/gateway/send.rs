//! Sends one request to an upstream on a connection of its own.
//!
//! Connections are not reused: a reused one may be broken without notice, or deliver bytes that belong to
//! an earlier request, and then it cannot be determined whether the request ran. A new connection costs one
//! round trip. See docs/DESIGN.md, "Connections". `awc` does not expose whether a request was written, so
//! `hyper`'s connections are used here.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use actix_rt::task::JoinHandle;
use balsamjunction_platform::headers;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// An upstream that does not accept a connection in this time is skipped; nothing was sent to it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Limit of the read buffer, which must hold the head of a response; heads take a few hundred bytes. A response
/// holds up to two such buffers: the one that is filled, and the piece that was read last.
pub const MAX_READ_BUFFER_BYTES: usize = 16 * 1_024;

/// Why an upstream returned no response.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// No connection could be established, so the request did not run.
    #[display("cannot connect: {_0}")]
    Unreachable(io::Error),
    /// The connection failed after the request may have been read, so the request may have run.
    #[display("connection broke before the response: {_0}")]
    Broken(hyper::Error),
}

/// A response whose head has been received; its body is read from the connection.
pub struct UpstreamResponse {
    /// The response as `hyper` represents it.
    pub inner: Response<Incoming>,
    /// Keeps the connection open until the response is dropped.
    pub _connection: Connection,
}

impl UpstreamResponse {
    /// Returns a header's value, if the header is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.inner.headers().get(name)?.to_str().ok()
    }

    /// Returns the version of the weights at the start of the response, if the upstream reports it.
    pub fn version(&self) -> Option<u64> {
        self.header(headers::SERVED_VERSION)?.trim().parse().ok()
    }
}

/// A connection that is reset when it is dropped before the response is complete, which makes the upstream cancel the
/// request.
pub struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The socket of a connection, which is reset unless both sides have finished with it.
///
/// An orderly close would still deliver what the send buffer holds: a request that is cancelled while a congested link
/// delays it would run afterwards. See docs/ROUTING.md, "Cancellation".
struct ResettingStream {
    tcp: TcpStream,
    /// Whether the response is complete, or the upstream has closed the connection.
    finished: bool,
}

impl AsyncRead for ResettingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let has_room = buf.remaining() > 0;
        let polled = Pin::new(&mut self.tcp).poll_read(cx, buf);
        if has_room && matches!(polled, Poll::Ready(Ok(()))) && buf.filled().len() == filled {
            self.finished = true;
        }
        polled
    }
}

impl AsyncWrite for ResettingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.finished = true;
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}

impl Drop for ResettingStream {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        if let Err(e) = self.tcp.set_zero_linger() {
            log::debug!("a cancelled connection closes without a reset: {e}");
        }
    }
}

/// Opens a connection. This is a separate step from [`send`], since its failure proves that the request did
/// not run.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, SendError> {
    let connecting = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let timed_out = |_| SendError::Unreachable(io::ErrorKind::TimedOut.into());
    let tcp = connecting.await.map_err(timed_out)?;
    let tcp = tcp.map_err(SendError::Unreachable)?;
    tcp.set_nodelay(true).map_err(SendError::Unreachable)?;
    Ok(tcp)
}

/// Sends a request and waits for the head of the response.
pub async fn send(
    tcp: TcpStream,
    req: Request<Full<Bytes>>,
) -> Result<UpstreamResponse, SendError> {
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(ResettingStream {
            tcp,
            finished: false,
        }))
        .await;
    let (mut sender, connection) = handshake.map_err(SendError::Broken)?;
    let _connection = Connection(actix_rt::spawn(async move {
        // Errors of the connection also surface when the body is read.
        if let Err(e) = connection.await {
            log::debug!("connection to upstream ended: {e}");
        }
    }));
    let response = sender.send_request(req).await.map_err(SendError::Broken)?;
    Ok(UpstreamResponse {
        inner: response,
        _connection,
    })
}
