//! A model engine or plain service of the platform.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{stream, FutureExt, StreamExt};
use http_body_util::BodyExt;
use hyper::{body::Incoming, header::HeaderValue, Request, Response};
use serde_json::{json, Value};
use smol_str::SmolStr;

use super::server::{full, parts, query, reply, serve, Body, ResponseResult};
use crate::error::LabError;

/// How an engine treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    /// It serves them.
    #[default]
    None,
    /// It turns them away and says so, with what [`Engine::set_retry_after`] gave it as time to come back.
    Overloaded,
    /// It answers with a failure of its own.
    InternalError,
    /// It runs them and closes the connection without an answer.
    ResponseLost,
    /// It says nothing at all.
    NoResponse,
    /// It breaks streams off in the middle of the event after the given one.
    TruncateAfter(u32),
    /// It answers without its signature.
    MissingSignature,
    /// It answers in the name of another request.
    WrongAttemptId,
}

/// What an engine is.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Its id.
    pub id: SmolStr,
    /// The service that it belongs to.
    pub service: SmolStr,
    /// The data centre in which it stands.
    pub data_centre: SmolStr,
    /// Events of a stream.
    pub events: u32,
    /// Pause between events.
    pub pause: Duration,
    /// The version that it serves from the start, if it is a model engine.
    pub version: Option<u64>,
}

/// A request that an engine worked on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The caller's id of the attempt.
    pub id: String,
    /// Headers by name in lower case.
    pub headers: BTreeMap<String, String>,
    /// Path and query.
    pub target: String,
    /// The body.
    pub body: Bytes,
    /// When it came.
    pub arrived_at: Instant,
    /// When the engine began to work on it, after its wait in the queue.
    pub started_at: Instant,
    /// The version that the engine served when it began, since that is what the answer is made with.
    pub version: Option<u64>,
    /// Whether the whole answer was taken.
    pub finished: bool,
}

#[derive(Debug, Default)]
struct State {
    fault: EngineFault,
    queue_wait: Duration,
    runs: Vec<Run>,
    staged: BTreeMap<usize, Bytes>,
    version: Option<u64>,
    spoil_next_stage: bool,
    mixed_loads: u32,
    leaving: bool,
    retry_after: Option<SmolStr>,
    arrived: Vec<Instant>,
}

/// An engine.
#[derive(Clone)]
pub struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it is.
    pub options: EngineOptions,
    state: Arc<Mutex<State>>,
}

/// The start that every engine reports, in milliseconds since the Unix epoch.
const BORN_MS: u64 = 1_700_000_000_000;
/// The model that engines serve.
const MODEL: &str = "m1";

impl Engine {
    /// Starts an engine; the test registers it.
    pub async fn start(options: EngineOptions) -> Result<Self, LabError> {
        let state = Arc::new(Mutex::new(State {
            version: options.version,
            ..State::default()
        }));
        let served = (state.clone(), options.clone());
        let address = serve(move |req| {
            let (state, options) = served.clone();
            async move { answer(&state, &options, req).await }.boxed_local()
        })
        .await?;
        Ok(Self {
            address,
            options,
            state,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Changes how requests are treated.
    pub fn set_fault(&self, fault: EngineFault) {
        self.state().fault = fault;
    }

    /// Makes generations that come from now on wait in the queue before they begin.
    ///
    /// One whose connection closes meanwhile is dropped and never begins, as at the platform's
    /// engines, so that callers can take back what waits.
    pub fn set_queue_wait(&self, wait: Duration) {
        self.state().queue_wait = wait;
    }

    /// Requests that came, those among them that were turned away or left the queue.
    pub fn arrival_count(&self) -> usize {
        self.state().arrived.len()
    }

    /// When each request came, turned away or not.
    pub fn arrival_times(&self) -> Vec<Instant> {
        self.state().arrived.clone()
    }

    /// Says in every answer from now on that it is about to leave.
    pub fn set_leaving(&self) {
        self.state().leaving = true;
    }

    /// The `Retry-After` of answers that turn a request away; none if it is absent.
    pub fn set_retry_after(&self, retry_after: Option<&str>) {
        self.state().retry_after = retry_after.map(SmolStr::new);
    }

    /// Requests that were worked on, in the order in which they began.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// The version that it serves.
    pub fn version(&self) -> Option<u64> {
        self.state().version
    }

    /// Makes it serve a version from now on; the test registers it again.
    pub fn set_version(&self, version: u64) {
        self.state().version = Some(version);
    }

    /// Spoils the next chunk that is staged.
    pub fn corrupt_next_staged_chunk(&self) {
        self.state().spoil_next_stage = true;
    }

    /// Orders that were taken while a chunk was missing, spoilt or of another version.
    pub fn inconsistent_loads(&self) -> u32 {
        self.state().mixed_loads
    }

    /// Its entry in the platform's list.
    pub fn registry_entry(&self, state: &str) -> Value {
        let version = self.state().version;
        let options = EngineOptions {
            version,
            ..self.options.clone()
        };
        options.registry_entry(self.address, state)
    }
}

impl EngineOptions {
    /// The entry in the platform's list of an engine that listens at `address`.
    pub fn registry_entry(&self, address: SocketAddr, state: &str) -> Value {
        let mut entry = json!({
            "service": self.service, "address": address.to_string(),
            "zone": self.data_centre, "version": "v1", "slots": 4, "state": state,
            "coldRemainingMs": 0, "born": BORN_MS, "sequence": 1,
        });
        if let Some(version) = self.version {
            entry["models"] = held(version);
        }
        entry
    }
}

fn held(version: u64) -> Value {
    json!([{"name": MODEL, "version": version, "adapters": []}])
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(
    state: &Arc<Mutex<State>>,
    options: &EngineOptions,
    req: Request<Incoming>,
) -> ResponseResult {
    let path = req.uri().path().to_owned();
    if path == "/report" {
        let version = lock(state).version;
        let models = version.map_or(json!([]), held);
        let report = json!({
            "phase": "unified", "models": models, "busy": false, "sequence": 1, "queued": 0,
            "active": 0, "kvUsed": 0, "kvTotal": 1, "sessions": 0, "born": BORN_MS, "pace": 1.0,
        });
        return Ok(reply(200, report.to_string()));
    }
    if path.starts_with("/stage-") || path == "/order" {
        return weights(state, req).await;
    }
    let mut response = work(state, options, req).await?;
    if lock(state).leaving {
        set(&mut response, "server-leaving", "1");
    }
    Ok(response)
}

async fn weights(state: &Mutex<State>, req: Request<Incoming>) -> ResponseResult {
    let chunk: Option<usize> = query(&req, "quantity").and_then(|n| n.parse().ok());
    let path = req.uri().path().to_owned();
    let buf = req.into_body().collect().await.map_err(io::Error::other)?;
    let buf = buf.to_bytes();
    let mut state = lock(state);
    match (path.as_str(), chunk) {
        ("/order", _) => {
            let order: Value = serde_json::from_slice(&buf)?;
            let version = order["version"].as_u64().unwrap_or_default();
            let whole = (0..super::CHUNK_COUNT)
                .all(|n| state.staged.get(&n) == Some(&super::origin::chunk(version, n)));
            state.mixed_loads += u32::from(!whole);
            state.version = Some(version);
            Ok(reply(202, ""))
        }
        (path, Some(chunk)) if path.starts_with("/stage-put/") => {
            let spoilt = std::mem::take(&mut state.spoil_next_stage);
            let buf = match spoilt {
                true => Bytes::from(vec![0; buf.len()]),
                false => buf,
            };
            state.staged.insert(chunk, buf);
            Ok(reply(200, ""))
        }
        (_, Some(chunk)) => match state.staged.get(&chunk) {
            Some(buf) => Ok(reply(200, buf.clone())),
            None => Ok(reply(404, "")),
        },
        (_, None) => {
            let held: Vec<usize> = state.staged.keys().copied().collect();
            Ok(reply(200, json!({"held": held}).to_string()))
        }
    }
}

fn header(req: &Request<Incoming>, name: &str) -> Option<String> {
    Some(req.headers().get(name)?.to_str().ok()?.to_owned())
}

async fn work(
    state: &Arc<Mutex<State>>,
    options: &EngineOptions,
    req: Request<Incoming>,
) -> ResponseResult {
    lock(state).arrived.push(Instant::now());
    let id = header(&req, "balsamjunction-attempt-id").unwrap_or_default();
    let expected = header(&req, "balsamjunction-expect-instance");
    if expected.is_some_and(|expected| expected != options.id.as_str()) {
        return Ok(reply(421, ""));
    }
    let (fault, queue_wait) = {
        let state = lock(state);
        (state.fault, state.queue_wait)
    };
    if fault == EngineFault::Overloaded {
        let mut response = reply(503, "");
        set(&mut response, "balsamjunction-not-executed", "1");
        if let Some(retry_after) = &lock(state).retry_after {
            set(&mut response, "retry-after", retry_after);
        }
        return Ok(response);
    }
    let streamed = header(&req, "balsamjunction-token-usage").is_some();
    let after: u32 = header(&req, "last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let run = Run::read(id.clone(), req).await?;
    if streamed && !queue_wait.is_zero() {
        // The server drops this future when the connection closes, and the request with it.
        actix_rt::time::sleep(queue_wait).await;
    }
    let run = begin(state, run);
    let mut response = match fault {
        EngineFault::ResponseLost => return Err(io::ErrorKind::ConnectionReset.into()),
        EngineFault::NoResponse => {
            actix_rt::time::sleep(Duration::from_secs(60)).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        EngineFault::InternalError => reply(500, "failed"),
        _ if streamed => Response::new(events(state.clone(), run, options, after, fault)),
        _ => {
            actix_rt::time::sleep(options.pause).await;
            lock(state).runs[run].finished = true;
            Response::new(full("done"))
        }
    };
    let echoed = match fault {
        EngineFault::WrongAttemptId => "another",
        _ => id.as_str(),
    };
    set(&mut response, "balsamjunction-attempt-id", echoed);
    set(&mut response, "balsamjunction-instance-load", "1,0,4");
    if fault != EngineFault::MissingSignature {
        set(
            &mut response,
            "balsamjunction-server-signature",
            &options.id,
        );
    }
    Ok(response)
}

fn set(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

impl Run {
    /// Reads a request that has not begun yet.
    async fn read(id: String, req: Request<Incoming>) -> Result<Self, io::Error> {
        let headers = req.headers().iter();
        let headers = headers
            .map(|(name, value)| {
                let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
                (name.as_str().to_owned(), value)
            })
            .collect();
        let target = req.uri().to_string();
        let buf = req.into_body().collect().await.map_err(io::Error::other)?;
        let came = Instant::now();
        Ok(Self {
            id,
            headers,
            target,
            body: buf.to_bytes(),
            arrived_at: came,
            started_at: came,
            version: None,
            finished: false,
        })
    }
}

/// Notes a run that begins now; gives its place among the runs.
fn begin(state: &Mutex<State>, run: Run) -> usize {
    let mut state = lock(state);
    let version = state.version;
    state.runs.push(Run {
        started_at: Instant::now(),
        version,
        ..run
    });
    state.runs.len() - 1
}

/// The events of a stream from the one after `after`, each after a pause.
fn events(
    state: Arc<Mutex<State>>,
    run: usize,
    options: &EngineOptions,
    after: u32,
    fault: EngineFault,
) -> Body {
    let pause = options.pause;
    let last = options.events;
    let all = stream::iter(after + 1..=last).then(move |n| {
        let state = state.clone();
        async move {
            actix_rt::time::sleep(pause).await;
            if n == last {
                lock(&state).runs[run].finished = true;
            }
            match fault {
                EngineFault::TruncateAfter(whole) if n == whole + 1 => {
                    Ok(Bytes::from(format!("id: {n}")))
                }
                EngineFault::TruncateAfter(whole) if n > whole => {
                    Err(io::Error::from(io::ErrorKind::ConnectionReset))
                }
                _ => Ok(Bytes::from(format!("id: {n}\ndata: word{n}\n\n"))),
            }
        }
    });
    parts(all.boxed())
}
