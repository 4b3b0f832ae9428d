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
pub type Answer = ClientResponse;

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and our own.
const NOT_CARRIED: [&str; 14] = [
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
    "host",
    "balsam-envelope",
    "balsam-reply",
];

fn carried(name: &HeaderName) -> bool {
    !NOT_CARRIED.contains(&name.as_str())
}

/// Copies an answer's headers.
pub fn copy_headers(from: &HeaderMap, to: &mut HttpResponseBuilder) {
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
    pub fn of<S>(answer: &ClientResponse<S>) -> Self {
        let status = answer.status();
        if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
            return Self::None;
        }
        content_length(answer.headers()).map_or(Self::Unknown, Self::Known)
    }
}
