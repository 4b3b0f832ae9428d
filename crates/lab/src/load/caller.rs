//! One caller: sends a request and judges the answer from outside.

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

/// A caller gives up on an answer this long after its deadline.
const PATIENCE: Duration = Duration::from_secs(10);

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Tokens of an engine.
    Generate {
        /// How many.
        tokens: u32,
        /// Whether the engine shall crash of it.
        crash: bool,
    },
    /// A call of a plain service, with a key if it must not run twice.
    Call {
        /// The idempotency key.
        key: Option<SmolStr>,
    },
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Names the request in ledgers and answers.
    pub id: SmolStr,
    /// The pool.
    pub pool: SmolStr,
    /// The workspace.
    pub workspace: SmolStr,
    /// What it asks for.
    pub task: Operation,
    /// Time until the caller stops waiting for the first byte.
    pub deadline: Duration,
}

/// What a caller was told, and what it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A whole answer of its own.
    Ran,
    /// `not-run`.
    NotRun,
    /// `unknown`.
    Unknown,
    /// An answer began and broke off, visibly.
    Cut,
    /// No answer at all.
    Lost,
    /// An answer that looked whole but was not its own, or not whole.
    Invalid,
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The request.
    pub request: Request,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// When it was sent.
    pub sent_at: Instant,
    /// Time to the first byte of the body, or to the end without one.
    pub time_to_first_byte: Duration,
    /// Time to the end.
    pub total_time: Duration,
    /// Versions that the answer came from.
    pub versions: BTreeSet<SmolStr>,
    /// The HTTP status.
    pub status: u16,
    /// The system's name for the request, if it answered.
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

    /// Sends a request to an upstream without the system in between.
    pub async fn send_direct(&self, upstream: SocketAddr, request: &Request) -> Observation {
        self.send_to(&format!("http://{upstream}"), request).await
    }

    fn prepare(&self, base: &str, request: &Request) -> (ClientRequest, Vec<u8>) {
        let (path, body) = match &request.task {
            Operation::Generate { tokens, crash } => {
                let generate = GenerateRequest {
                    id: request.id.to_string(),
                    tokens: *tokens,
                    crash: *crash,
                };
                let body = serde_json::to_vec(&generate);
                ("/v1/generate", body.expect("a plain struct is always JSON"))
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
            .timeout(request.deadline + PATIENCE);
        if let Operation::Generate { tokens, .. } = &request.task {
            prepared = prepared.insert_header(("balsam-cost", tokens.to_string()));
        }
        if let Operation::Call { key: Some(key) } = &request.task {
            prepared = prepared.insert_header(("idempotency-key", key.as_str()));
        }
        (prepared, body)
    }

    async fn send_to(&self, base: &str, request: &Request) -> Observation {
        let (prepared, body) = self.prepare(base, request);
        let sent = Instant::now();
        let mut seen = Observation {
            request: request.clone(),
            outcome: RequestOutcome::Lost,
            sent_at: sent,
            time_to_first_byte: Duration::ZERO,
            total_time: Duration::ZERO,
            versions: BTreeSet::new(),
            status: 0,
            request_id: None,
        };
        let Ok(mut answer) = prepared.send_body(body).await else {
            seen.total_time = sent.elapsed();
            seen.time_to_first_byte = seen.total_time;
            return seen;
        };
        seen.status = answer.status().as_u16();
        let header = |name: &str| {
            let value = answer.headers().get(name);
            value.and_then(|v| v.to_str().ok()).map(SmolStr::new)
        };
        let reported = header("balsam-outcome");
        seen.request_id = header("balsam-request-id");
        let mut whole = BytesMut::new();
        let mut broke = false;
        while let Some(piece) = answer.next().await {
            if whole.is_empty() {
                seen.time_to_first_byte = sent.elapsed();
            }
            match piece {
                Ok(piece) => whole.extend_from_slice(&piece),
                Err(_) => {
                    broke = true;
                    break;
                }
            }
        }
        seen.total_time = sent.elapsed();
        if whole.is_empty() {
            seen.time_to_first_byte = seen.total_time;
        }
        seen.outcome = match reported.as_deref() {
            Some("not-run") => RequestOutcome::NotRun,
            Some("unknown") => RequestOutcome::Unknown,
            _ if broke => RequestOutcome::Cut,
            _ => judge(request, &whole, &mut seen.versions),
        };
        seen
    }
}

/// Whether an answer is whole and the request's own.
fn judge(request: &Request, body: &[u8], versions: &mut BTreeSet<SmolStr>) -> RequestOutcome {
    let Operation::Generate { tokens, .. } = &request.task else {
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
