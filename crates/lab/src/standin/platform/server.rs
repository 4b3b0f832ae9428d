//! A small HTTP server whose answers may break off.

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

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
/// An answer; an error closes the connection without one.
pub type ResponseResult = Result<Response<Body>, io::Error>;

/// A body that is there at once.
pub fn full(buf: impl Into<Bytes>) -> Body {
    Full::new(buf.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// A body that comes in parts; an error breaks the connection.
pub fn parts(parts: BoxStream<'static, Result<Bytes, io::Error>>) -> Body {
    StreamBody::new(parts.map(|part| part.map(Frame::data))).boxed_unsync()
}

/// An answer with a status and a body.
pub fn reply(status: u16, buf: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(buf));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Answers requests on an address of its own for as long as the runtime lives.
pub async fn serve<F>(answer: F) -> Result<SocketAddr, LabError>
where
    F: Fn(Request<Incoming>) -> LocalBoxFuture<'static, ResponseResult> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let answer = Arc::new(answer);
    actix_rt::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let answer = answer.clone();
            let service = service_fn(move |req| answer(req));
            actix_rt::spawn(async move {
                let served = http1::Builder::new().serve_connection(TokioIo::new(tcp), service);
                if let Err(e) = served.await {
                    log::debug!("connection to a stand-in ended: {e}");
                }
            });
        }
    });
    Ok(address)
}

/// One field of a query.
pub fn query(req: &Request<Incoming>, name: &str) -> Option<String> {
    let fields = req.uri().query()?.split('&');
    let mut fields = fields.filter_map(|field| field.split_once('='));
    let (_, value) = fields.find(|(field, _)| *field == name)?;
    Some(value.to_owned())
}
