//! A small HTTP server that can break off its responses.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures_util::{future::LocalBoxFuture, stream::BoxStream, StreamExt};
use http_body_util::{combinators::UnsyncBoxBody, BodyExt, Full, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
    Request, Response,
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::error::LabError;

/// The body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
/// A response; an error closes the connection without sending one.
pub type ResponseResult = Result<Response<Body>, io::Error>;

/// A body of known length.
pub fn full_body(buf: impl Into<Bytes>) -> Body {
    Full::new(buf.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// A body that is streamed in parts; an error closes the connection.
pub fn streamed_body(parts: BoxStream<'static, Result<Bytes, io::Error>>) -> Body {
    StreamBody::new(parts.map(|part| part.map(Frame::data))).boxed_unsync()
}

/// A response with a status and a body.
pub fn build_response(status: u16, buf: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(buf));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Serves requests on a free loopback port until the runtime stops; returns the address.
pub async fn serve<F>(handler: F) -> Result<SocketAddr, LabError>
where
    F: Fn(Request<Incoming>) -> LocalBoxFuture<'static, ResponseResult> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    actix_rt::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let handler = handler.clone();
            let service = service_fn(move |req| handler(req));
            actix_rt::spawn(async move {
                let result = http1::Builder::new().serve_connection(TokioIo::new(tcp), service);
                if let Err(e) = result.await {
                    log::debug!("connection to a stand-in failed: {e}");
                }
            });
        }
    });
    Ok(address)
}

/// The value of a query parameter, not decoded; absent if the query lacks it.
pub fn query_param(req: &Request<Incoming>, name: &str) -> Option<String> {
    let fields = req.uri().query()?.split('&');
    let mut fields = fields.filter_map(|field| field.split_once('='));
    let (_, value) = fields.find(|(field, _)| *field == name)?;
    Some(value.to_owned())
}
