//! Request bodies of callers: buffered if they are small, streamed otherwise.

use actix_web::{
    body::{BoxBody, SizedStream},
    error::PayloadError,
    web::{Bytes, BytesMut, Payload},
    HttpRequest,
};
use futures_util::{stream, StreamExt, TryStreamExt};
use xxhash_rust::xxh3::Xxh3;

use crate::http::content_length;

/// Bodies up to this length are buffered until the request has a response, so that it can be retried.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// The body of a request.
pub enum RequestBody {
    /// Read completely; can be sent any number of times.
    Buffered(Bytes),
    /// Being streamed; can be sent once.
    Streamed {
        /// The part that has been read.
        first: Bytes,
        /// The part that has not.
        rest: Payload,
        /// Length of the complete body in bytes, if the caller sent it.
        length: Option<u64>,
    },
    /// Streamed to an upstream; cannot be sent again.
    Consumed,
}

impl RequestBody {
    /// Reads a short body completely, or the first frame of a long one.
    pub async fn read(req: &HttpRequest, mut payload: Payload) -> Result<Self, PayloadError> {
        let length = content_length(req.headers());
        let chunked = req.headers().contains_key("transfer-encoding");
        if length.unwrap_or(0) == 0 && !chunked {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let short = length.is_some_and(|n| n <= MAX_BUFFERED_BYTES as u64);
        if !short {
            let first = payload.next().await.transpose()?;
            return Ok(Self::Streamed {
                first: first.unwrap_or_default(),
                rest: payload,
                length,
            });
        }
        let mut buf = BytesMut::new();
        while let Some(frame) = payload.next().await {
            buf.extend_from_slice(&frame?);
        }
        Ok(Self::Buffered(buf.freeze()))
    }

    /// Whether the body can be sent once more.
    pub fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Hash of the method, the path and the part of the body that has been read.
    pub fn fingerprint(&self, method: &str, path: &str) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(method.as_bytes());
        hasher.update(path.as_bytes());
        match self {
            Self::Buffered(buf) => hasher.update(buf),
            Self::Streamed { first, .. } => hasher.update(first),
            Self::Consumed => {}
        }
        hasher.digest()
    }

    /// The body for the next attempt; a streamed body is consumed by it.
    pub fn take_for_attempt(&mut self) -> BoxBody {
        if let Self::Buffered(buf) = self {
            return BoxBody::new(buf.clone());
        }
        match std::mem::replace(self, Self::Consumed) {
            Self::Streamed {
                first,
                rest,
                length,
            } => streamed_body(first, rest, length),
            _ => BoxBody::new(Bytes::new()),
        }
    }
}

fn streamed_body(first: Bytes, rest: Payload, length: Option<u64>) -> BoxBody {
    let frames = stream::once(async move { Ok(first) }).chain(rest.map_err(actix_web::Error::from));
    let frames = Box::pin(frames.try_filter(|frame| std::future::ready(!frame.is_empty())));
    match length {
        Some(length) => BoxBody::new(SizedStream::new(length, frames)),
        None => BoxBody::new(actix_web::body::BodyStream::new(frames)),
    }
}
