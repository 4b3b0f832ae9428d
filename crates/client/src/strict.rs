//! A TCP stream for which the end of the connection is an error.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, ConnectorService};
use awc::http::Uri;
use futures_util::{future::LocalBoxFuture, FutureExt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Wraps a stream and returns [`io::ErrorKind::UnexpectedEof`] at its end.
#[derive(Debug)]
pub struct StrictStream(TcpStream);

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.0).poll_read(cx, buf);
        let ended = matches!(polled, Poll::Ready(Ok(())))
            && buf.filled().len() == filled_before
            && buf.remaining() > 0;
        if ended {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        polled
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}

/// Connector that opens [`StrictStream`]s.
#[derive(Clone)]
pub struct StrictConnector {
    inner: ConnectorService,
    reset_on_close: bool,
}

impl StrictConnector {
    /// Creates a connector that wraps the streams opened by `inner`, and resets them when they are closed if
    /// `reset_on_close` is set.
    pub fn new(inner: ConnectorService, reset_on_close: bool) -> Self {
        Self {
            inner,
            reset_on_close,
        }
    }
}

impl Service<ConnectInfo<Uri>> for StrictConnector {
    type Response = Connection<Uri, StrictStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Service::<ConnectInfo<Uri>>::poll_ready(&self.inner, cx)
    }

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connecting = self.inner.call(info);
        let reset_on_close = self.reset_on_close;
        async move {
            let connection = connecting.await?;
            let (tcp, without_io) = connection.replace_io(());
            // Without this, small messages wait for the acknowledgement of earlier ones.
            tcp.set_nodelay(true).map_err(ConnectError::Io)?;
            if reset_on_close {
                tcp.set_zero_linger().map_err(ConnectError::Io)?;
            }
            let ((), connection) = without_io.replace_io(StrictStream(tcp));
            Ok(connection)
        }
        .boxed_local()
    }
}
