//! A stand-in for a model engine or a plain service of the platform.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{stream, FutureExt, StreamExt};
use http_body_util::BodyExt;
use hyper::{body::Incoming, header::HeaderValue, Request, Response};
use serde_json::{json, Value};
use smol_str::SmolStr;

use super::server::{
    build_response, full_body, query_param, serve, streamed_body, Body, ResponseResult,
};
use crate::error::LabError;

/// The fault that an engine simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    /// It serves requests without faults.
    #[default]
    None,
    /// It rejects requests with status 503 and the header `balsamjunction-not-executed`, and with the
    /// `Retry-After` given to [`Engine::set_retry_after`].
    Overloaded,
    /// It responds with status 500.
    InternalError,
    /// It executes requests, then closes the connection without a response.
    ResponseLost,
    /// It executes requests and sends no response for 60 s, then closes the connection.
    NoResponse,
    /// It breaks streams off in the middle of the event after the event of the given number.
    TruncateAfter(u32),
    /// It responds without the header `balsamjunction-server-signature`.
    MissingSignature,
    /// It responds with the attempt id of another request.
    WrongAttemptId,
}

/// The fault in an engine's handling of the next order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OrderFault {
    /// It accepts orders and responds at once.
    #[default]
    None,
    /// It closes the connection of the next order without accepting it.
    Lost,
    /// It accepts the next order after this time, also if the connection is closed meanwhile.
    Late(Duration),
}

/// The fault in an engine's handling of the next chunks that it is to stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StagingFault {
    /// It stages chunks and responds at once.
    #[default]
    None,
    /// It stages the next chunk after `delay`, also if the connection is closed meanwhile, and rejects the chunk after it
    /// with status 503.
    LateThenRejected {
        /// The delay.
        delay: Duration,
    },
    /// It rejects the next chunk with status 503.
    Rejected,
}

/// The properties of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The id of the engine.
    pub id: SmolStr,
    /// The service that the engine belongs to.
    pub service: SmolStr,
    /// The data centre that the engine is in.
    pub data_centre: SmolStr,
    /// Number of events in a stream.
    pub events: u32,
    /// Time before each event of a stream, and before a response that is not streamed.
    pub pause: Duration,
    /// The version that it serves at start; absent for a plain service.
    pub version: Option<u64>,
}

/// A request that an engine started to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The caller's id of the attempt.
    pub id: String,
    /// Headers by name, in lower case.
    pub headers: BTreeMap<String, String>,
    /// Path and query.
    pub target: String,
    /// The body.
    pub body: Bytes,
    /// When the request had been received.
    pub arrived_at: Instant,
    /// When the engine started to execute it, after its wait in the queue.
    pub started_at: Instant,
    /// The version that the engine served when execution started, since it produces the response.
    pub version: Option<u64>,
    /// Whether the complete response was produced.
    pub finished: bool,
}

#[derive(Debug, Default)]
struct State {
    fault: EngineFault,
    queue_wait: Duration,
    runs: Vec<Run>,
    staged: BTreeMap<usize, Bytes>,
    version: Option<u64>,
    /// When a staged chunk was corrupted after it had been staged.
    corrupted_at: BTreeMap<usize, Instant>,
    corrupt_next_staged_chunk: bool,
    staged_reads: usize,
    staged_read_delay: Duration,
    order_fault: OrderFault,
    staging_fault: StagingFault,
    late_overwrites: u32,
    received_orders: Vec<u64>,
    inconsistent_loads: u32,
    longest_loaded_corruption: Duration,
    leaving: bool,
    retry_after: Option<SmolStr>,
    limit: Option<SmolStr>,
    service_time_percent: Option<u32>,
    deadly_parts: Vec<SmolStr>,
    deadly_path: Option<SmolStr>,
    crash_times: Vec<Instant>,
    arrival_times: Vec<Instant>,
}

impl State {
    fn has_staged(&self, version: u64) -> bool {
        (0..super::CHUNK_COUNT)
            .all(|n| self.staged.get(&n) == Some(&super::origin::chunk(version, n)))
    }

    fn stage(&mut self, chunk: usize, buf: Bytes) {
        self.staged.insert(chunk, buf);
        self.corrupted_at.remove(&chunk);
        self.staged_reads = 0;
    }

    fn load(&mut self, version: u64) {
        self.inconsistent_loads += u32::from(!self.has_staged(version));
        let longest = self.corrupted_at.values().map(Instant::elapsed).max();
        self.longest_loaded_corruption = self
            .longest_loaded_corruption
            .max(longest.unwrap_or_default());
        self.version = Some(version);
    }

    /// The start time that the engine reports, in milliseconds since the Unix epoch. Each crash changes it.
    fn started_at_ms(&self) -> u64 {
        FIRST_START_MS + self.crash_times.len() as u64
    }
}

/// A running engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its properties, as given at start.
    pub options: EngineOptions,
    state: Arc<Mutex<State>>,
}

/// The first start time that every engine reports, in milliseconds since the Unix epoch.
const FIRST_START_MS: u64 = 1_700_000_000_000;
/// Longest part of a request's work that is done at one speed.
const WORK_STEP: Duration = Duration::from_millis(5);
/// The name of the model that engines serve.
const MODEL: &str = "m1";

impl Engine {
    /// Starts an engine, without registering it in the store.
    pub async fn start(options: EngineOptions) -> Result<Self, LabError> {
        let state = Arc::new(Mutex::new(State {
            version: options.version,
            ..State::default()
        }));
        let shared = (state.clone(), options.clone());
        let address = serve(move |req| {
            let (state, options) = shared.clone();
            async move { handle(&state, &options, req).await }.boxed_local()
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

    /// Sets the fault for requests that arrive from now on.
    pub fn set_fault(&self, fault: EngineFault) {
        self.state().fault = fault;
    }

    /// Makes streamed requests that arrive from now on wait in the queue before they are executed.
    ///
    /// A request whose connection closes while it waits is dropped and never executed, as by the
    /// platform's engines, so that callers can cancel it.
    pub fn set_queue_wait(&self, wait: Duration) {
        self.state().queue_wait = wait;
    }

    /// Number of received requests, including those rejected and those dropped from the queue.
    pub fn arrival_count(&self) -> usize {
        self.state().arrival_times.len()
    }

    /// When each request was received, whether it was rejected or not.
    pub fn arrival_times(&self) -> Vec<Instant> {
        self.state().arrival_times.clone()
    }

    /// Adds the header `server-leaving` to every response from now on.
    pub fn set_leaving(&self) {
        self.state().leaving = true;
    }

    /// Sets the header `Retry-After` of responses that reject a request; they lack it if absent.
    pub fn set_retry_after(&self, retry_after: Option<&str>) {
        self.state().retry_after = retry_after.map(SmolStr::new);
    }

    /// Sets the header `Server-Limit` of every response from now on; they lack it if absent.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.state().limit = limit.map(SmolStr::new);
    }

    /// Sets the relative service time that responses state from now on, also of requests in progress, and at which
    /// responses that are not streamed are produced. They state none if absent, at nominal speed.
    pub fn set_service_time(&self, percent: Option<u32>) {
        self.state().service_time_percent = percent;
    }

    /// Makes the engine crash, which breaks all its streams, when it begins a stream whose prompt contains one of the
    /// parts `ids`, unless that is the last part. It is back at once with a later start time.
    pub fn set_deadly_parts(&self, ids: &[&str]) {
        self.state().deadly_parts = ids.iter().map(SmolStr::new).collect();
    }

    /// Makes the engine crash, which breaks all its streams, when it begins a stream of a request to `path`. It is back at
    /// once with a later start time.
    pub fn set_deadly_path(&self, path: &str) {
        self.state().deadly_path = Some(path.into());
    }

    /// Crashes the engine, which breaks all its streams. It is back at once with a later start time.
    pub fn crash(&self) {
        self.state().crash_times.push(Instant::now());
    }

    /// When it crashed.
    pub fn crash_times(&self) -> Vec<Instant> {
        self.state().crash_times.clone()
    }

    /// Requests that were executed, in the order in which execution started.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// The version that the engine serves; absent for a plain service.
    pub fn version(&self) -> Option<u64> {
        self.state().version
    }

    /// Sets the version that the engine serves, without updating its entry in the store.
    pub fn set_version(&self, version: u64) {
        self.state().version = Some(version);
    }

    /// Replaces the next staged chunk by zeros.
    pub fn corrupt_next_staged_chunk(&self) {
        self.state().corrupt_next_staged_chunk = true;
    }

    /// Corrupts staged chunks that were staged correctly.
    pub fn corrupt_staged_chunks(&self, chunks: &[usize]) {
        let mut state = self.state();
        for chunk in chunks {
            state.corrupted_at.insert(*chunk, Instant::now());
            state.staged.insert(*chunk, Bytes::from_static(b"corrupt"));
        }
    }

    /// Whether every chunk of a version is staged correctly.
    pub fn has_staged(&self, version: u64) -> bool {
        self.state().has_staged(version)
    }

    /// Number of chunks that were read back since a chunk was last staged.
    pub fn staged_reads(&self) -> usize {
        self.state().staged_reads
    }

    /// Makes each read of a staged chunk take this long from now on. It returns what was staged at its start.
    pub fn set_staged_read_delay(&self, delay: Duration) {
        self.state().staged_read_delay = delay;
    }

    /// Sets the fault in the handling of the next order.
    pub fn set_order_fault(&self, fault: OrderFault) {
        self.state().order_fault = fault;
    }

    /// Sets the fault in the handling of the next chunks that are staged.
    pub fn set_staging_fault(&self, fault: StagingFault) {
        self.state().staging_fault = fault;
    }

    /// The fault in the handling of the next chunk.
    pub fn staging_fault(&self) -> StagingFault {
        self.state().staging_fault
    }

    /// Number of chunks that were staged late and replaced another chunk that had been staged meanwhile.
    pub fn late_overwrites(&self) -> u32 {
        self.state().late_overwrites
    }

    /// The versions of the orders that were received, also of those that were lost, in this order.
    pub fn received_orders(&self) -> Vec<u64> {
        self.state().received_orders.clone()
    }

    /// Number of orders accepted while a staged chunk was missing, corrupt or of another version.
    pub fn inconsistent_loads(&self) -> u32 {
        self.state().inconsistent_loads
    }

    /// The longest time for which a chunk had been corrupt when an order loaded it.
    pub fn longest_loaded_corruption(&self) -> Duration {
        self.state().longest_loaded_corruption
    }

    /// Its entry in the platform's registry, with the given state.
    pub fn registry_entry(&self, state: &str) -> Value {
        let (version, started_at_ms) = {
            let state = self.state();
            (state.version, state.started_at_ms())
        };
        let options = EngineOptions {
            version,
            ..self.options.clone()
        };
        let mut entry = options.registry_entry(self.address, state);
        entry["born"] = json!(started_at_ms);
        entry
    }
}

impl EngineOptions {
    /// The entry in the platform's registry of an engine that listens on `address`.
    pub fn registry_entry(&self, address: SocketAddr, state: &str) -> Value {
        let mut entry = json!({
            "service": self.service, "address": address.to_string(),
            "zone": self.data_centre, "version": "v1", "slots": 4, "state": state,
            "coldRemainingMs": 0, "born": FIRST_START_MS, "sequence": 1,
        });
        if let Some(version) = self.version {
            entry["models"] = served_models(version);
        }
        entry
    }
}

/// The list of models in entries and reports.
fn served_models(version: u64) -> Value {
    json!([{"name": MODEL, "version": version, "adapters": []}])
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(
    state: &Arc<Mutex<State>>,
    options: &EngineOptions,
    req: Request<Incoming>,
) -> ResponseResult {
    let path = req.uri().path().to_owned();
    if path == "/report" {
        let (version, started_at_ms) = {
            let state = lock(state);
            (state.version, state.started_at_ms())
        };
        let models = version.map_or(json!([]), served_models);
        let report = json!({
            "phase": "unified", "models": models, "busy": false, "sequence": 1, "queued": 0,
            "active": 0, "kvUsed": 0, "kvTotal": 1, "sessions": 0, "born": started_at_ms, "pace": 1.0,
        });
        return Ok(build_response(200, report.to_string()));
    }
    if path.starts_with("/stage-") || path == "/order" {
        return handle_weights(state, req).await;
    }
    let mut response = execute(state, options, req).await?;
    if lock(state).leaving {
        set_header(&mut response, "server-leaving", "1");
    }
    if let Some(limit) = &lock(state).limit {
        set_header(&mut response, "server-limit", limit);
    }
    Ok(response)
}

/// Handles orders, and chunks that are staged or read back.
async fn handle_weights(state: &Arc<Mutex<State>>, req: Request<Incoming>) -> ResponseResult {
    let chunk: Option<usize> = query_param(&req, "quantity").and_then(|n| n.parse().ok());
    let path = req.uri().path().to_owned();
    let buf = req.into_body().collect().await.map_err(io::Error::other)?;
    let buf = buf.to_bytes();
    match (path.as_str(), chunk) {
        ("/order", _) => handle_order(state, &buf).await,
        (path, Some(chunk)) if path.starts_with("/stage-put/") => {
            handle_staging(state, chunk, buf).await
        }
        (_, Some(chunk)) => {
            let (staged, delay) = {
                let mut state = lock(state);
                state.staged_reads += 1;
                (state.staged.get(&chunk).cloned(), state.staged_read_delay)
            };
            if !delay.is_zero() {
                actix_rt::time::sleep(delay).await;
            }
            match staged {
                Some(buf) => Ok(build_response(200, buf)),
                None => Ok(build_response(404, "")),
            }
        }
        (_, None) => {
            let staged: Vec<usize> = lock(state).staged.keys().copied().collect();
            Ok(build_response(200, json!({"held": staged}).to_string()))
        }
    }
}

async fn handle_staging(state: &Arc<Mutex<State>>, chunk: usize, buf: Bytes) -> ResponseResult {
    let (fault, before) = {
        let mut state = lock(state);
        let fault = std::mem::take(&mut state.staging_fault);
        (fault, state.staged.get(&chunk).cloned())
    };
    match fault {
        StagingFault::None => {
            let mut state = lock(state);
            let corrupt = std::mem::take(&mut state.corrupt_next_staged_chunk);
            let buf = match corrupt {
                true => Bytes::from(vec![0; buf.len()]),
                false => buf,
            };
            state.stage(chunk, buf);
        }
        StagingFault::LateThenRejected { delay } => {
            lock(state).staging_fault = StagingFault::Rejected;
            // A task of its own, because the server drops this future when the connection closes.
            let state = state.clone();
            let staged = actix_rt::spawn(async move {
                actix_rt::time::sleep(delay).await;
                let mut state = lock(&state);
                let present = state.staged.get(&chunk);
                let is_overwritten = present != before.as_ref() && present != Some(&buf);
                state.late_overwrites += u32::from(is_overwritten);
                state.stage(chunk, buf);
            });
            staged.await.map_err(io::Error::other)?;
        }
        StagingFault::Rejected => return Ok(build_response(503, "")),
    }
    Ok(build_response(200, ""))
}

async fn handle_order(state: &Arc<Mutex<State>>, buf: &[u8]) -> ResponseResult {
    let order: Value = serde_json::from_slice(buf)?;
    let version = order["version"].as_u64().unwrap_or_default();
    let fault = {
        let mut state = lock(state);
        state.received_orders.push(version);
        std::mem::take(&mut state.order_fault)
    };
    match fault {
        OrderFault::None => lock(state).load(version),
        OrderFault::Lost => return Err(io::ErrorKind::ConnectionReset.into()),
        OrderFault::Late(delay) => {
            // A task of its own, because the server drops this future when the connection closes.
            let state = state.clone();
            let accepted = actix_rt::spawn(async move {
                actix_rt::time::sleep(delay).await;
                lock(&state).load(version);
            });
            accepted.await.map_err(io::Error::other)?;
        }
    }
    Ok(build_response(202, ""))
}

fn header(req: &Request<Incoming>, name: &str) -> Option<String> {
    Some(req.headers().get(name)?.to_str().ok()?.to_owned())
}

/// Handles a request of a caller.
async fn execute(
    state: &Arc<Mutex<State>>,
    options: &EngineOptions,
    req: Request<Incoming>,
) -> ResponseResult {
    lock(state).arrival_times.push(Instant::now());
    let id = header(&req, "balsamjunction-attempt-id").unwrap_or_default();
    let expected = header(&req, "balsamjunction-expect-instance");
    if expected.is_some_and(|expected| expected != options.id.as_str()) {
        let mut response = build_response(421, "");
        set_header(&mut response, "balsamjunction-attempt-id", &id);
        return Ok(response);
    }
    let (fault, queue_wait) = {
        let state = lock(state);
        (state.fault, state.queue_wait)
    };
    if fault == EngineFault::Overloaded {
        let mut response = build_response(503, "");
        set_header(&mut response, "balsamjunction-attempt-id", &id);
        set_header(&mut response, "balsamjunction-not-executed", "1");
        if let Some(retry_after) = &lock(state).retry_after {
            set_header(&mut response, "retry-after", retry_after);
        }
        return Ok(response);
    }
    let streamed = header(&req, "balsamjunction-token-usage").is_some();
    let after: u32 = header(&req, "last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let deadly = is_deadly(&lock(state), &req);
    let run = Run::read(id.clone(), req).await?;
    if streamed && !queue_wait.is_zero() {
        // When the connection closes, the server drops this future and with it the request.
        actix_rt::time::sleep(queue_wait).await;
    }
    let run = record_start(state, run);
    let mut response = match fault {
        EngineFault::ResponseLost => return Err(io::ErrorKind::ConnectionReset.into()),
        EngineFault::NoResponse => {
            actix_rt::time::sleep(Duration::from_secs(60)).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        EngineFault::InternalError => build_response(500, "failed"),
        _ if streamed => {
            let stream = EventStream {
                state: state.clone(),
                run,
                events: after + 1..=options.events,
                pause: options.pause,
                fault,
                deadly,
            };
            Response::new(stream.into_body())
        }
        _ => {
            work(state, options.pause).await;
            lock(state).runs[run].finished = true;
            Response::new(full_body("done"))
        }
    };
    let attempt_id = match fault {
        EngineFault::WrongAttemptId => "another",
        _ => id.as_str(),
    };
    set_header(&mut response, "balsamjunction-attempt-id", attempt_id);
    let load = match lock(state).service_time_percent {
        Some(percent) => format!("1,0,4,{percent}"),
        None => "1,0,4".to_owned(),
    };
    set_header(&mut response, "balsamjunction-instance-load", &load);
    if fault != EngineFault::MissingSignature {
        set_header(
            &mut response,
            "balsamjunction-server-signature",
            &options.id,
        );
    }
    Ok(response)
}

fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

impl Run {
    /// Reads a request whose execution has not started yet.
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
        let arrived_at = Instant::now();
        Ok(Self {
            id,
            headers,
            target,
            body: buf.to_bytes(),
            arrived_at,
            started_at: arrived_at,
            version: None,
            finished: false,
        })
    }
}

/// Takes `nominal` at the nominal speed, and more or less as the relative service time changes meanwhile.
async fn work(state: &Mutex<State>, nominal: Duration) {
    let mut remaining = nominal;
    while !remaining.is_zero() {
        let percent = lock(state).service_time_percent.unwrap_or(100);
        let step = remaining.min(WORK_STEP);
        actix_rt::time::sleep(step * percent / 100).await;
        remaining -= step;
    }
}

/// Records that execution of a request starts now; returns the index of the run.
fn record_start(state: &Mutex<State>, run: Run) -> usize {
    let mut state = lock(state);
    let version = state.version;
    state.runs.push(Run {
        started_at: Instant::now(),
        version,
        ..run
    });
    state.runs.len() - 1
}

/// Whether a request's path is deadly, or its prompt contains a deadly part, other than as its last one.
fn is_deadly(state: &State, req: &Request<Incoming>) -> bool {
    if state.deadly_path.as_deref() == Some(req.uri().path()) {
        return true;
    }
    let parts = header(req, "balsamjunction-prefix-hash").unwrap_or_default();
    let Some((shared, _)) = parts.rsplit_once(',') else {
        return false;
    };
    let mut ids = shared.split(',').filter_map(|part| part.split(':').next());
    ids.any(|id| state.deadly_parts.iter().any(|deadly| deadly == id))
}

/// A stream of events, each sent after a pause.
struct EventStream {
    state: Arc<Mutex<State>>,
    /// Index of the run.
    run: usize,
    /// The numbers of the events.
    events: RangeInclusive<u32>,
    pause: Duration,
    fault: EngineFault,
    /// Whether the engine crashes at the first event.
    deadly: bool,
}

impl EventStream {
    fn into_body(self) -> Body {
        let crashes = lock(&self.state).crash_times.len();
        let (first, last) = (*self.events.start(), *self.events.end());
        let events = stream::iter(self.events).then(move |n| {
            let state = self.state.clone();
            async move {
                actix_rt::time::sleep(self.pause).await;
                let mut state = lock(&state);
                if state.crash_times.len() != crashes {
                    return Err(io::Error::from(io::ErrorKind::ConnectionReset));
                }
                if self.deadly && n == first {
                    state.crash_times.push(Instant::now());
                    return Err(io::Error::from(io::ErrorKind::ConnectionReset));
                }
                if n == last {
                    state.runs[self.run].finished = true;
                }
                match self.fault {
                    EngineFault::TruncateAfter(complete) if n == complete + 1 => {
                        Ok(Bytes::from(format!("id: {n}")))
                    }
                    EngineFault::TruncateAfter(complete) if n > complete => {
                        Err(io::Error::from(io::ErrorKind::ConnectionReset))
                    }
                    _ => Ok(Bytes::from(format!("id: {n}\ndata: word{n}\n\n"))),
                }
            }
        });
        streamed_body(events.boxed())
    }
}
