//! Sends one request to an upstream on a connection of its own.
//!
//! Connections are not reused: a reused one may be broken without notice, or deliver bytes that belong to
//! an earlier request, and then it cannot be determined whether the request ran. A new connection costs one
//! round trip. See docs/DESIGN.md, "Connections". `awc` does not expose whether a request was written, so
//! `hyper`'s connections are used here.

use std::{
    cell::RefCell,
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use balsamjunction_client::is_final_status;
use balsamjunction_platform::headers;
use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::TcpStream,
    sync::oneshot,
};

/// An upstream that does not accept a connection in this time is skipped; nothing was sent to it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Limit of the read buffer, which must hold the head of a response; heads take a few hundred bytes. A response
/// holds up to two such buffers: the one that is filled, and the piece that was read last.
pub const MAX_READ_BUFFER_BYTES: usize = 16 * 1_024;

/// Time from the end of a cancelled connection to its reset, in which the end is repeated once if it was lost: systems wait
/// 200 ms at least.
const RESET_DELAY: Duration = Duration::from_millis(220);

/// Why an upstream returned no response.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// No connection could be established, so the request did not run.
    #[display("cannot connect: {_0}")]
    Unreachable(io::Error),
    /// The connection failed after the request may have been read, so the request may have run.
    #[display("connection broke before the response: {_0}")]
    Broken(hyper::Error),
    /// What the upstream sent is no response, so the request may have run.
    #[display("the upstream sent no response: {_0}")]
    Malformed(hyper::Error),
    /// The status is none of a final response, so the request may have run.
    #[display("status {_0} is not that of a final response")]
    OddStatus(#[error(not(source))] u16),
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

/// A connection that is cancelled when it is dropped before the response is complete.
///
/// The socket is shut down at once and not by the task that uses it, which runs behind all that is due before, such as the
/// next attempts of other requests that are recalled in the same moment.
pub struct Connection {
    socket: SharedSocket,
    /// Closes when it is dropped, which the task of the connection waits for.
    _cancellation: oneshot::Sender<Infallible>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Never waits, and fails if the connection has ended.
        let _ = self.socket.0.borrow_mut().shutdown().now_or_never();
    }
}

/// A socket that may be shut down while a task uses it.
#[derive(Clone)]
struct SharedSocket(Rc<RefCell<TcpStream>>);

impl AsyncRead for SharedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncWrite for SharedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(cx)
    }
}

impl SendError {
    /// Whether a connection was given up after [`CONNECT_TIMEOUT`].
    pub fn is_connect_timeout(&self) -> bool {
        matches!(self, Self::Unreachable(e) if e.kind() == io::ErrorKind::TimedOut)
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
    let socket = SharedSocket(Rc::new(RefCell::new(tcp)));
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(socket.clone()))
        .await;
    let (mut sender, mut connection) = handshake.map_err(SendError::Broken)?;
    let (_cancellation, cancelled) = oneshot::channel();
    actix_rt::spawn(async move {
        tokio::select! {
            biased;
            _ = cancelled => reset(connection.into_parts().io.into_inner()).await,
            ended = &mut connection => {
                // Errors of the connection also surface when the body is read.
                if let Err(e) = ended {
                    log::debug!("connection to upstream ended: {e}");
                }
            }
        }
    });
    let _connection = Connection {
        socket,
        _cancellation,
    };
    let received = sender.send_request(req).await;
    let response = received.map_err(|e| match e.is_parse() {
        true => SendError::Malformed(e),
        false => SendError::Broken(e),
    })?;
    let status = response.status().as_u16();
    if !is_final_status(status) {
        return Err(SendError::OddStatus(status));
    }
    Ok(UpstreamResponse {
        inner: response,
        _connection,
    })
}

/// Resets a connection that was shut down, so that a request that is still on its way is not delivered.
///
/// The end of the connection is repeated until the upstream has acknowledged it, but it comes behind the request: what the
/// send buffer holds would be delivered however late, and run. A reset discards it. See docs/ROUTING.md, "Cancellation".
async fn reset(socket: SharedSocket) {
    actix_rt::time::sleep(RESET_DELAY).await;
    if let Err(e) = socket.0.borrow().set_zero_linger() {
        log::debug!("a cancelled connection is not reset: {e}");
    }
}
