//! A caller's request, decoded once.

use std::{sync::Arc, time::Duration};

use actix_web::HttpRequest;
use balsamjunction_directory::{ApiKeyOwner, Route};
use balsamjunction_platform::headers;
use balsamjunction_policy::{dispatch::RequestRequirements, Moment};
use bytes::Bytes;
use hyper::{
    header::{HeaderName, HeaderValue},
    HeaderMap, Method,
};
use smol_str::SmolStr;
use xxhash_rust::xxh3::Xxh3;

use crate::http::is_end_to_end;

/// Headers that only the system sets.
const OURS: [&str; 6] = [
    headers::AUTHORIZATION,
    headers::WORKSPACE,
    headers::EXPECT_UPSTREAM,
    headers::EXPECT_VERSION,
    headers::PRIORITY,
    headers::DEADLINE_MS,
];

/// A caller's request with what was decided about it on arrival.
pub struct Call {
    /// The caller's id of this attempt.
    pub id: SmolStr,
    /// Its route.
    pub route: Arc<Route>,
    /// Whose key it carries, unless the route is public.
    pub holder: Option<Arc<ApiKeyOwner>>,
    /// The service that it goes to.
    pub service: SmolStr,
    /// The method.
    pub method: Method,
    /// Path and query as the caller wrote them.
    pub target: String,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it came.
    pub came: Moment,
    /// How long the caller waits, bounded by the route.
    pub patience: Duration,
    /// How long the caller says that it waits, if it says so.
    pub stated_patience: Option<Duration>,
    /// Tells requests that are the same apart from others.
    pub fingerprint: u64,
}

fn text<'r>(req: &'r HttpRequest, name: &str) -> Option<&'r str> {
    req.headers().get(name)?.to_str().ok()
}

/// The time that a caller states.
pub fn stated_patience(req: &HttpRequest) -> Option<Duration> {
    let value = text(req, headers::DEADLINE_MS)?;
    value.trim().parse().ok().map(Duration::from_millis)
}

/// The key that a request carries.
pub fn key(req: &HttpRequest) -> Option<&str> {
    headers::parse_bearer_token(text(req, headers::AUTHORIZATION)?)
}

/// The caller's id of this attempt; empty if it sent none.
pub fn attempt_id(req: &HttpRequest) -> SmolStr {
    text(req, headers::ATTEMPT_ID).unwrap_or_default().into()
}

/// Copies the headers that are passed on; names and values are of the same form on both sides.
pub fn passed_headers(req: &HttpRequest) -> HeaderMap {
    let mut copied = HeaderMap::with_capacity(req.headers().len() + 4);
    for (name, value) in req.headers() {
        let name = name.as_str();
        if !is_end_to_end(name) || OURS.contains(&name) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            copied.append(name, value);
        }
    }
    copied
}

impl Call {
    /// Whether it may run once at most.
    pub fn may_run_once(&self) -> bool {
        !self.route.repeatable()
    }

    /// When nobody waits for the answer any more.
    pub fn deadline(&self) -> Moment {
        self.came + self.patience
    }

    /// When the first event is wanted of a request that counts from `since`.
    pub fn wanted_by(&self, since: Moment) -> Moment {
        since + Duration::from_millis(self.route.target_latency_ms)
    }

    /// What the request needs of an upstream.
    pub fn demand(&self) -> RequestRequirements {
        let header = |name: &str| self.headers.get(name).and_then(|value| value.to_str().ok());
        let tokens = header(headers::TOKENS).and_then(headers::parse_tokens);
        let holder = self.holder.as_deref();
        RequestRequirements {
            service: self.service.clone(),
            model: header(headers::MODEL).map(SmolStr::new),
            prompt_tokens: tokens.map_or(0.0, |(prompt, _)| f64::from(prompt)),
            priority: holder
                .and_then(|holder| holder.priority)
                .unwrap_or(self.route.priority),
            route_regions: self.route.allowed_regions.clone(),
            workspace_regions: holder
                .map(|h| h.allowed_regions.clone())
                .unwrap_or_default(),
            first_event_deadline: self.wanted_by(self.came),
            tried: Vec::new(),
        }
    }
}

/// Equal for requests of the same caller with the same path and body.
pub fn fingerprint(caller: &str, target: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [caller.as_bytes(), target.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
