//! Headers and body lengths of the HTTP messages that entries and sidecars forward.

use actix_web::{
    http::{
        header::{HeaderMap, HeaderName},
        StatusCode,
    },
    HttpResponseBuilder,
};
use awc::{ClientRequest, ClientResponse};

/// A response as received from an upstream or a sidecar; its body is not read yet.
pub type UpstreamResponse = ClientResponse;

/// Headers that apply to one connection or one message on it (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 11] = [
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
const PROXY_HEADERS: [&str; 3] = ["host", "balsam-envelope", "balsam-reply"];

/// Whether a proxy forwards a header, given by its name in lower case.
pub fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name)
}

fn is_forwarded(name: &HeaderName) -> bool {
    is_end_to_end(name.as_str()) && !PROXY_HEADERS.contains(&name.as_str())
}

/// Copies the forwarded headers of a response.
pub fn copy_response_headers(from: &HeaderMap, to: &mut HttpResponseBuilder) {
    for (name, value) in from.iter().filter(|(name, _)| is_forwarded(name)) {
        to.append_header((name.clone(), value.clone()));
    }
}

/// Copies the forwarded headers of a request.
pub fn copy_request_headers(from: &HeaderMap, mut to: ClientRequest) -> ClientRequest {
    for (name, value) in from.iter().filter(|(name, _)| is_forwarded(name)) {
        to = to.append_header((name.clone(), value.clone()));
    }
    to
}

/// The value of `content-length`; `None` if it is absent or not a number.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}

/// The length of the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The status code allows no body.
    None,
    /// Length in bytes, from `content-length`.
    Known(u64),
    /// Not declared; the body ends with the stream.
    Unknown,
}

impl BodyLength {
    /// Reads the length from the head of a response.
    pub fn from_response<S>(response: &ClientResponse<S>) -> Self {
        let status = response.status();
        if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
            return Self::None;
        }
        content_length(response.headers()).map_or(Self::Unknown, Self::Known)
    }
}
