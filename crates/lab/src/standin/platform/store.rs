//! A stand-in for the platform's store; the test writes its entries.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base64::{engine::general_purpose::STANDARD, Engine as _};
use futures_util::FutureExt;
use hyper::{body::Incoming, Request};
use percent_encoding::percent_decode_str;
use serde_json::{json, Value};
use tokio::sync::watch;

use super::server::{build_response, query_param, serve, ResponseResult};
use crate::error::LabError;

/// The fault that the store simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It works without faults.
    #[default]
    None,
    /// Closes the connection of every call without a response.
    Down,
    /// Watches are not notified of changes, and the history of those changes is then lost.
    LostWatchEvents,
    /// Rejects every read because there are too many, while operators and upstreams can write.
    TooManyReads,
}

#[derive(Clone, Debug)]
struct Event {
    key: String,
    revision: u64,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<String, Event>,
    log: Vec<Event>,
    revision: u64,
    /// Number of restorations, and one.
    era: u64,
    compacted_revision: u64,
    fault: StoreFault,
    calls: u64,
}

/// A running store; clones share its state.
#[derive(Clone)]
pub struct Store {
    /// The address it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    revision_tx: Arc<watch::Sender<u64>>,
}

impl Store {
    /// Starts an empty store.
    pub async fn start() -> Result<Self, LabError> {
        let state = Arc::new(Mutex::new(State {
            era: 1,
            ..State::default()
        }));
        let revision_tx = Arc::new(watch::channel(0).0);
        let shared = (state.clone(), revision_tx.clone());
        let address = serve(move |req| {
            let (state, revision_tx) = shared.clone();
            async move { handle(&state, &revision_tx, &req).await }.boxed_local()
        })
        .await?;
        Ok(Self {
            address,
            state,
            revision_tx,
        })
    }

    /// Handles a call.
    pub(super) async fn handle(&self, req: &Request<Incoming>) -> ResponseResult {
        handle(&self.state, &self.revision_tx, req).await
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Writes a JSON value.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes a value that need not be valid JSON.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.apply_change(key, Some(STANDARD.encode(value)));
    }

    /// Removes a value.
    pub fn delete(&self, key: &str) {
        self.apply_change(key, None);
    }

    fn apply_change(&self, key: &str, value: Option<String>) {
        let mut state = self.state();
        state.revision += 1;
        let event = Event {
            key: key.to_owned(),
            revision: state.revision,
            value,
        };
        match event.value {
            Some(_) => state.entries.insert(key.to_owned(), event.clone()),
            None => state.entries.remove(key),
        };
        state.log.push(event);
        match state.fault {
            StoreFault::LostWatchEvents => state.compacted_revision = state.revision,
            // Watches that wait end by their timeout; the changes remain in the history.
            StoreFault::TooManyReads => {}
            StoreFault::None | StoreFault::Down => {
                self.revision_tx.send_replace(state.revision);
            }
        }
    }

    /// The revision of the latest change.
    pub fn revision(&self) -> u64 {
        self.state().revision
    }

    /// Replaces the contents by a copy that was made at `revision`, which begins a new era. Later revisions are given
    /// out again, and watches that wait are cut.
    pub fn restore(&self, revision: u64) {
        let mut state = self.state();
        state.log.retain(|event| event.revision <= revision);
        let mut entries = BTreeMap::new();
        for event in &state.log {
            match event.value {
                Some(_) => entries.insert(event.key.clone(), event.clone()),
                None => entries.remove(&event.key),
            };
        }
        state.entries = entries;
        state.revision = revision;
        state.compacted_revision = state.compacted_revision.min(revision);
        state.era += 1;
        self.revision_tx.send_replace(revision);
    }

    /// The same, after which everything that the copy lacks is written again.
    pub fn restore_and_write_again(&self, revision: u64) {
        let truth = self.state().entries.clone();
        self.restore(revision);
        let copy = self.state().entries.clone();
        for key in copy.keys().filter(|key| !truth.contains_key(*key)) {
            self.apply_change(key, None);
        }
        for (key, event) in &truth {
            if copy
                .get(key)
                .is_none_or(|copied| copied.value != event.value)
            {
                self.apply_change(key, event.value.clone());
            }
        }
    }

    /// Sets the fault of the store.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state().fault = fault;
    }

    /// Number of calls since the start.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The entry or the deletion as it is sent to clients.
fn encode_event(event: &Event) -> Value {
    match &event.value {
        Some(value) => json!({
            "key": event.key, "value": value, "revision": event.revision,
            "created": event.revision, "lease": 0,
        }),
        None => json!({"key": event.key, "revision": event.revision, "deleted": true}),
    }
}

async fn handle(
    state: &Mutex<State>,
    revision_tx: &watch::Sender<u64>,
    req: &Request<Incoming>,
) -> ResponseResult {
    let fault = {
        let mut state = lock(state);
        state.calls += 1;
        state.fault
    };
    match fault {
        StoreFault::Down => return Err(io::ErrorKind::ConnectionReset.into()),
        StoreFault::TooManyReads => return Ok(build_response(429, "")),
        StoreFault::None | StoreFault::LostWatchEvents => {}
    }
    let era = lock(state).era;
    let mut response = respond(state, revision_tx, req).await?;
    if lock(state).era != era {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    response.headers_mut().insert("store-era", era.into());
    Ok(response)
}

async fn respond(
    state: &Mutex<State>,
    revision_tx: &watch::Sender<u64>,
    req: &Request<Incoming>,
) -> ResponseResult {
    let prefix = query_param(req, "prefix").unwrap_or_default();
    match req.uri().path() {
        "/kv-range" => {
            let after = query_param(req, "after").unwrap_or_default();
            let after = percent_decode_str(&after).decode_utf8();
            let Ok(after) = after else {
                return Ok(build_response(400, ""));
            };
            Ok(list_range(&lock(state), &prefix, &after))
        }
        "/kv-watch" => {
            let after = query_param(req, "after").and_then(|at| at.parse().ok());
            let wait = query_param(req, "waitMs").and_then(|ms| ms.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(0));
            let changes = revision_tx.subscribe();
            watch_changes(state, changes, &prefix, after.unwrap_or(0), wait).await
        }
        _ => Ok(build_response(404, "")),
    }
}

/// Entries per page; few, so that listings have several pages.
const PAGE_SIZE: usize = 3;

fn list_range(state: &State, prefix: &str, after: &str) -> hyper::Response<super::Body> {
    let remaining = state.entries.values();
    let mut remaining =
        remaining.filter(|event| event.key.starts_with(prefix) && event.key.as_str() > after);
    let page: Vec<Value> = remaining
        .by_ref()
        .take(PAGE_SIZE)
        .map(encode_event)
        .collect();
    let more = remaining.next().is_some();
    let body = json!({"entries": page, "hasMore": more, "at": state.revision});
    build_response(200, body.to_string())
}

async fn watch_changes(
    state: &Mutex<State>,
    mut changes: watch::Receiver<u64>,
    prefix: &str,
    after: u64,
    wait: Duration,
) -> ResponseResult {
    let read_newer = || {
        let state = lock(state);
        let newer = state.log.iter();
        let newer = newer.filter(|e| e.revision > after && e.key.starts_with(prefix));
        let events: Vec<Value> = newer.map(encode_event).collect();
        (events, state.revision, state.compacted_revision)
    };
    if after < read_newer().2 || after > read_newer().1 {
        return Ok(build_response(410, ""));
    }
    let (mut events, mut at, _) = read_newer();
    if events.is_empty() {
        // Most watches end by the timeout.
        let result = actix_rt::time::timeout(wait, changes.changed()).await;
        (events, at) = match result {
            Ok(_) => {
                let (events, at, _) = read_newer();
                (events, at)
            }
            Err(_) => (Vec::new(), after),
        };
    }
    Ok(build_response(
        200,
        json!({"events": events, "at": at}).to_string(),
    ))
}
