//! A caller: sends requests and checks the responses.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use awc::{Client, ClientRequest};
use bytes::BytesMut;
use futures_util::StreamExt;
use serde::Deserialize;
use smol_str::SmolStr;

use crate::standin::engine::GenerateRequest;

/// A caller stops waiting for a response this long after the deadline of the request.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(10);

/// The operation that a request asks for.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Generates tokens on a model engine.
    Generate {
        /// Number of tokens.
        tokens: u32,
        /// Whether the request makes the engine crash.
        crash: bool,
    },
    /// Calls a plain service, with a key if the call must not run twice.
    Call {
        /// The idempotency key.
        key: Option<SmolStr>,
    },
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id of the request in ledgers and responses.
    pub id: SmolStr,
    /// The pool.
    pub pool: SmolStr,
    /// The workspace.
    pub workspace: SmolStr,
    /// The operation.
    pub operation: Operation,
    /// The deadline, sent in the header `balsam-deadline-ms`.
    pub deadline: Duration,
}

/// The outcome of a request as observed by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response to this request.
    Ran,
    /// The system reported `not-run`.
    NotRun,
    /// The system reported `unknown`.
    Unknown,
    /// A response began and broke off with an error.
    Cut,
    /// No response.
    Lost,
    /// A response that ended without an error, but was incomplete or another request's.
    Invalid,
}

/// The observation of one request by its caller.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The request.
    pub request: Request,
    /// The outcome.
    pub outcome: RequestOutcome,
    /// When it was sent.
    pub sent_at: Instant,
    /// Time to the first byte of the body, or to the end if there was none.
    pub time_to_first_byte: Duration,
    /// Time to the end.
    pub total_time: Duration,
    /// Versions that generated the response.
    pub versions: BTreeSet<SmolStr>,
    /// The HTTP status; 0 without a response.
    pub status: u16,
    /// The request id that the system assigned; absent without a response.
    pub request_id: Option<SmolStr>,
}

/// Sends requests over one pool of connections.
#[derive(Clone)]
pub struct Caller {
    client: Client,
}

impl Default for Caller {
    fn default() -> Self {
        let client = balsamjunction_client::new_client(None);
        Self { client }
    }
}

#[derive(Deserialize)]
struct Token {
    id: String,
    n: u32,
    version: SmolStr,
}

impl Caller {
    /// Sends a request to an entry.
    pub async fn send(&self, entry: SocketAddr, request: &Request) -> Observation {
        let base = format!("http://{entry}/{}", request.pool);
        self.send_to(&base, request).await
    }

    /// Sends a request directly to an upstream, bypassing the system.
    pub async fn send_direct(&self, upstream: SocketAddr, request: &Request) -> Observation {
        self.send_to(&format!("http://{upstream}"), request).await
    }

    fn prepare(&self, base: &str, request: &Request) -> (ClientRequest, Vec<u8>) {
        let (path, body) = match &request.operation {
            Operation::Generate { tokens, crash } => {
                let generate = GenerateRequest {
                    id: request.id.to_string(),
                    tokens: *tokens,
                    crash: *crash,
                };
                let body = serde_json::to_vec(&generate);
                (
                    "/v1/generate",
                    body.expect("this struct can always be encoded as JSON"),
                )
            }
            Operation::Call { .. } => ("/v1/call", request.id.as_bytes().to_vec()),
        };
        let mut prepared = self
            .client
            .post(format!("{base}{path}"))
            .insert_header(("balsam-workspace", request.workspace.as_str()))
            .insert_header((
                "balsam-deadline-ms",
                request.deadline.as_millis().to_string(),
            ))
            .timeout(request.deadline + TIMEOUT_MARGIN);
        if let Operation::Generate { tokens, .. } = &request.operation {
            prepared = prepared.insert_header(("balsam-cost", tokens.to_string()));
        }
        if let Operation::Call { key: Some(key) } = &request.operation {
            prepared = prepared.insert_header(("idempotency-key", key.as_str()));
        }
        (prepared, body)
    }

    async fn send_to(&self, base: &str, request: &Request) -> Observation {
        let (prepared, body) = self.prepare(base, request);
        let sent_at = Instant::now();
        let mut observation = Observation {
            request: request.clone(),
            outcome: RequestOutcome::Lost,
            sent_at,
            time_to_first_byte: Duration::ZERO,
            total_time: Duration::ZERO,
            versions: BTreeSet::new(),
            status: 0,
            request_id: None,
        };
        let Ok(mut response) = prepared.send_body(body).await else {
            observation.total_time = sent_at.elapsed();
            observation.time_to_first_byte = observation.total_time;
            return observation;
        };
        observation.status = response.status().as_u16();
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.and_then(|v| v.to_str().ok()).map(SmolStr::new)
        };
        let reported = header("balsam-outcome");
        observation.request_id = header("balsam-request-id");
        let mut body = BytesMut::new();
        let mut interrupted = false;
        while let Some(chunk) = response.next().await {
            if body.is_empty() {
                observation.time_to_first_byte = sent_at.elapsed();
            }
            match chunk {
                Ok(chunk) => body.extend_from_slice(&chunk),
                Err(_) => {
                    interrupted = true;
                    break;
                }
            }
        }
        observation.total_time = sent_at.elapsed();
        if body.is_empty() {
            observation.time_to_first_byte = observation.total_time;
        }
        observation.outcome = match reported.as_deref() {
            Some("not-run") => RequestOutcome::NotRun,
            Some("unknown") => RequestOutcome::Unknown,
            _ if interrupted => RequestOutcome::Cut,
            _ => check_response(request, &body, &mut observation.versions),
        };
        observation
    }
}

/// Checks that a response is complete and belongs to the request; collects the versions that generated it.
fn check_response(
    request: &Request,
    body: &[u8],
    versions: &mut BTreeSet<SmolStr>,
) -> RequestOutcome {
    let Operation::Generate { tokens, .. } = &request.operation else {
        return match body == request.id.as_bytes() {
            true => RequestOutcome::Ran,
            false => RequestOutcome::Invalid,
        };
    };
    let text = String::from_utf8_lossy(body);
    let mut expected = 0;
    let mut done = false;
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let Ok(token) = serde_json::from_str::<Token>(data) else {
            return RequestOutcome::Invalid;
        };
        if token.id != request.id || token.n != expected {
            return RequestOutcome::Invalid;
        }
        versions.insert(token.version);
        expected += 1;
    }
    match done && expected == *tokens {
        true => RequestOutcome::Ran,
        false => RequestOutcome::Invalid,
    }
}
