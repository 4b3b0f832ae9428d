//! What entries and sidecars do alike with HTTP messages.

use actix_web::{
    http::{
        header::{HeaderMap, HeaderName},
        StatusCode,
    },
    HttpResponseBuilder,
};
use awc::{ClientRequest, ClientResponse};

/// An answer as the client gives it.
pub type UpstreamResponse = ClientResponse;

/// Headers that concern one connection or one message on it only (RFC 9110, section 7.6.1).
const ONE_CONNECTION: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];
/// Headers that entries and sidecars set themselves.
const OURS: [&str; 3] = ["host", "balsam-envelope", "balsam-reply"];

/// Whether a header concerns more than one connection.
pub fn is_end_to_end(name: &str) -> bool {
    !ONE_CONNECTION.contains(&name)
}

fn carried(name: &HeaderName) -> bool {
    is_end_to_end(name.as_str()) && !OURS.contains(&name.as_str())
}

/// Copies an answer's headers.
pub fn copy_response_headers(from: &HeaderMap, to: &mut HttpResponseBuilder) {
    for (name, value) in from.iter().filter(|(name, _)| carried(name)) {
        to.append_header((name.clone(), value.clone()));
    }
}

/// Copies a request's headers.
pub fn copy_request_headers(from: &HeaderMap, mut to: ClientRequest) -> ClientRequest {
    for (name, value) in from.iter().filter(|(name, _)| carried(name)) {
        to = to.append_header((name.clone(), value.clone()));
    }
    to
}

/// The length that a message gives for its body.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}

/// How long an answer's body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The status allows no body.
    None,
    /// As promised by the upstream.
    Known(u64),
    /// Ends with the last chunk.
    Unknown,
}

impl BodyLength {
    /// The length of an answer's body.
    pub fn from_response<S>(answer: &ClientResponse<S>) -> Self {
        let status = answer.status();
        if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
            return Self::None;
        }
        content_length(answer.headers()).map_or(Self::Unknown, Self::Known)
    }
}
