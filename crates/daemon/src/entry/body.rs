//! A caller's body: kept if it is small, streamed otherwise.

use actix_web::{
    body::{BoxBody, SizedStream},
    error::PayloadError,
    web::{Bytes, BytesMut, Payload},
    HttpRequest,
};
use futures_util::{stream, StreamExt, TryStreamExt};
use xxhash_rust::xxh3::Xxh3;

use crate::http::content_length;

/// Bodies up to this length are kept until the request has its answer, so that it can be retried.
pub const MAX_KEPT_BYTES: usize = 64 * 1024;

/// A request body on its way.
pub enum Body {
    /// At hand, as often as needed.
    Kept(Bytes),
    /// Passed through once.
    Streamed {
        /// What has been read.
        first: Bytes,
        /// What has not.
        rest: Payload,
        /// The whole length, if the caller gave it.
        length: Option<u64>,
    },
    /// Passed through and gone.
    Spent,
}

impl Body {
    /// Reads a short body whole, or the first piece of a long one.
    pub async fn read(req: &HttpRequest, mut payload: Payload) -> Result<Self, PayloadError> {
        let length = content_length(req.headers());
        let chunked = req.headers().contains_key("transfer-encoding");
        if length.unwrap_or(0) == 0 && !chunked {
            return Ok(Self::Kept(Bytes::new()));
        }
        let short = length.is_some_and(|n| n <= MAX_KEPT_BYTES as u64);
        if !short {
            let first = payload.next().await.transpose()?;
            return Ok(Self::Streamed {
                first: first.unwrap_or_default(),
                rest: payload,
                length,
            });
        }
        let mut buf = BytesMut::new();
        while let Some(piece) = payload.next().await {
            buf.extend_from_slice(&piece?);
        }
        Ok(Self::Kept(buf.freeze()))
    }

    /// Whether the body can be sent once more.
    pub fn kept(&self) -> bool {
        matches!(self, Self::Kept(_))
    }

    /// Hash of the request as far as it is known before it is sent.
    pub fn fingerprint(&self, method: &str, path: &str) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(method.as_bytes());
        hasher.update(path.as_bytes());
        match self {
            Self::Kept(all) => hasher.update(all),
            Self::Streamed { first, .. } => hasher.update(first),
            Self::Spent => {}
        }
        hasher.digest()
    }

    /// The body for the next attempt; a streamed one is spent by it.
    pub fn send(&mut self) -> BoxBody {
        if let Self::Kept(all) = self {
            return BoxBody::new(all.clone());
        }
        match std::mem::replace(self, Self::Spent) {
            Self::Streamed {
                first,
                rest,
                length,
            } => streamed(first, rest, length),
            _ => BoxBody::new(Bytes::new()),
        }
    }
}

fn streamed(first: Bytes, rest: Payload, length: Option<u64>) -> BoxBody {
    let whole = stream::once(async move { Ok(first) }).chain(rest.map_err(actix_web::Error::from));
    let whole = Box::pin(whole.try_filter(|piece| std::future::ready(!piece.is_empty())));
    match length {
        Some(length) => BoxBody::new(SizedStream::new(length, whole)),
        None => BoxBody::new(actix_web::body::BodyStream::new(whole)),
    }
}
