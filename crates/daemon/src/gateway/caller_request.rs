//! A caller's request in decoded form.

use std::{sync::Arc, time::Duration};

use actix_web::HttpRequest;
use balsamjunction_directory::{ApiKeyOwner, Route, RouteKind};
use balsamjunction_platform::headers;
use balsamjunction_policy::{
    dispatch::{contention, RequestRequirements},
    prompt_cache,
    shutdown::Interruptible,
    Moment,
};
use balsamjunction_protocol::mesh::PromptPart;
use bytes::Bytes;
use hyper::{
    header::{HeaderName, HeaderValue},
    HeaderMap, Method,
};
use smol_str::SmolStr;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use crate::http::is_end_to_end;

/// Headers that only the gateway sets; they are removed from callers' requests.
const RESERVED_HEADERS: [&str; 6] = [
    headers::AUTHORIZATION,
    headers::WORKSPACE,
    headers::EXPECT_UPSTREAM,
    headers::EXPECT_VERSION,
    headers::PRIORITY,
    headers::DEADLINE_MS,
];

/// A caller's request with the decisions that were made on its arrival.
pub struct CallerRequest {
    /// The caller's id of this attempt; empty without one.
    pub id: SmolStr,
    /// The route that matches the request's host and path.
    pub route: Arc<Route>,
    /// The owner of the request's API key; absent if a public route was called without a known key.
    pub api_key_owner: Option<Arc<ApiKeyOwner>>,
    /// The API key, if it has an owner.
    pub api_key: Option<SmolStr>,
    /// The service whose upstreams may serve the request.
    pub service: SmolStr,
    /// The HTTP method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path_and_query: String,
    /// The headers that are forwarded to the upstream.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// When the request's head was received.
    pub arrived_at: Moment,
    /// Time limit of the request from its arrival: the caller's, bounded by the route's.
    pub timeout: Duration,
    /// The time limit that the caller requested, if any.
    pub requested_timeout: Option<Duration>,
    /// A hash of caller, path and body, which identifies identical requests.
    pub fingerprint: u64,
    /// The parts of its prompt that other requests may share.
    pub prompt_parts: Vec<PromptPart>,
}

fn header_str<'r>(req: &'r HttpRequest, name: &str) -> Option<&'r str> {
    req.headers().get(name)?.to_str().ok()
}

/// Returns the time limit that a caller requests by header.
pub fn parse_requested_timeout(req: &HttpRequest) -> Option<Duration> {
    let value = header_str(req, headers::DEADLINE_MS)?;
    value.trim().parse().ok().map(Duration::from_millis)
}

/// Returns a request's API key.
pub fn parse_api_key(req: &HttpRequest) -> Option<&str> {
    headers::parse_bearer_token(header_str(req, headers::AUTHORIZATION)?)
}

/// Returns the caller's id of this attempt; empty if it sent none.
pub fn parse_attempt_id(req: &HttpRequest) -> SmolStr {
    header_str(req, headers::ATTEMPT_ID)
        .unwrap_or_default()
        .into()
}

/// Returns the parts of a request's prompt that other requests may share; empty if it states none.
pub fn parse_prompt_parts(req: &HttpRequest) -> Vec<PromptPart> {
    let value = header_str(req, headers::PROMPT_PARTS).unwrap_or_default();
    let ids = headers::parse_shared_prompt_parts(value);
    ids.map(parse_prompt_part).collect()
}

fn parse_prompt_part(id: &str) -> PromptPart {
    PromptPart(u64::from_str_radix(id, 16).unwrap_or_else(|_| xxh3_64(id.as_bytes())))
}

/// Copies the headers that are forwarded to the upstream.
pub fn copy_forwarded_headers(req: &HttpRequest) -> HeaderMap {
    let mut copied = HeaderMap::with_capacity(req.headers().len() + 4);
    for (name, value) in req.headers() {
        let name = name.as_str();
        if !is_end_to_end(name) || RESERVED_HEADERS.contains(&name) {
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

impl CallerRequest {
    /// Whether the request must not run more than once.
    pub fn runs_at_most_once(&self) -> bool {
        !self.route.repeatable()
    }

    /// What an interrupted run means for the caller.
    pub fn interruptible(&self) -> Interruptible {
        match self.route.kind {
            _ if self.route.repeatable() => Interruptible::Repeatable,
            RouteKind::Streaming => Interruptible::StreamedOnce,
            RouteKind::Idempotent | RouteKind::NonIdempotent => Interruptible::Once,
        }
    }

    /// Returns the request's only part in the list of requests that crash upstreams.
    pub fn fingerprint_as_part(&self) -> PromptPart {
        PromptPart(self.fingerprint)
    }

    /// Returns the time at which the request times out.
    pub fn deadline(&self) -> Moment {
        self.arrived_at + self.timeout
    }

    /// Returns the time by which the first event should arrive, counted from `since`.
    pub fn first_event_deadline(&self, since: Moment) -> Moment {
        since + Duration::from_millis(self.route.target_latency_ms)
    }

    /// Returns the time by which the caller leaves if it has received nothing.
    fn caller_leaves_at(&self) -> Moment {
        let patience = self.route.caller_patience_ms.map(Duration::from_millis);
        let leaves_at = patience.map(|patience| self.arrived_at + patience);
        leaves_at.map_or(self.deadline(), |at| at.min(self.deadline()))
    }

    /// Returns the dispatcher's description of the request. It contains the prefixes of the prompt if the
    /// upstreams of the service keep them.
    pub fn requirements(&self, keeps_prompts: bool) -> RequestRequirements {
        let header = |name: &str| self.headers.get(name).and_then(|value| value.to_str().ok());
        let tokens = header(headers::TOKENS).and_then(headers::parse_tokens);
        let prompt_tokens = tokens.map_or(0.0, |(prompt, _)| f64::from(prompt));
        let model = header(headers::MODEL).map(SmolStr::new);
        let prefixes = keeps_prompts.then(|| {
            let parts = headers::parse_prompt_parts(header(headers::PROMPT_PARTS)?);
            let parts = parts.map(|part| (parse_prompt_part(part.id).0, part.tokens));
            prompt_cache::prefixes(model.as_deref(), prompt_tokens, parts)
        });
        let owner = self.api_key_owner.as_deref();
        RequestRequirements {
            service: self.service.clone(),
            model,
            prompt_tokens,
            priority: owner
                .and_then(|owner| owner.priority)
                .unwrap_or(self.route.priority),
            rank: contention::rank(owner.and_then(|owner| owner.priority), self.route.priority),
            route_regions: self.route.allowed_regions.clone(),
            workspace_regions: owner.map(|h| h.allowed_regions.clone()).unwrap_or_default(),
            first_event_deadline: self.first_event_deadline(self.arrived_at),
            target_latency: Duration::from_millis(self.route.target_latency_ms),
            caller_leaves_at: self.caller_leaves_at(),
            tried: Vec::new(),
            prefixes: prefixes.flatten(),
        }
    }
}

/// Hashes caller, path and body; each is prefixed by its length, so that their boundaries count.
pub fn compute_fingerprint(caller: &str, path_and_query: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [caller.as_bytes(), path_and_query.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
