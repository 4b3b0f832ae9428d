//! The platform's store, written by the test.

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
use serde_json::{json, Value};
use tokio::sync::watch;

use super::server::{query, reply, serve, ResponseResult};
use crate::error::LabError;

/// How the store fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It works.
    #[default]
    None,
    /// Every call is refused.
    Down,
    /// Watches hear nothing of changes, and their history is then gone.
    LostWatchEvents,
}

#[derive(Clone, Debug)]
struct Event {
    key: String,
    revision: u64,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Event>,
    log: Vec<Event>,
    revision: u64,
    forgotten: u64,
    fault: StoreFault,
    calls: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Store {
    /// Starts an empty store.
    pub async fn start() -> Result<Self, LabError> {
        let state = Arc::new(Mutex::new(State::default()));
        let changed = Arc::new(watch::channel(0).0);
        let served = (state.clone(), changed.clone());
        let address = serve(move |req| {
            let (state, changed) = served.clone();
            async move { answer(&state, &changed, &req).await }.boxed_local()
        })
        .await?;
        Ok(Self {
            address,
            state,
            changed,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Writes a value.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes bytes that need not be readable.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.change(key, Some(STANDARD.encode(value)));
    }

    /// Removes a value.
    pub fn delete(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut state = self.state();
        state.revision += 1;
        let event = Event {
            key: key.to_owned(),
            revision: state.revision,
            value,
        };
        match event.value {
            Some(_) => state.items.insert(key.to_owned(), event.clone()),
            None => state.items.remove(key),
        };
        state.log.push(event);
        if state.fault == StoreFault::LostWatchEvents {
            state.forgotten = state.revision;
        } else {
            self.changed.send_replace(state.revision);
        }
    }

    /// Changes how the store fails.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state().fault = fault;
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn item(event: &Event) -> Value {
    match &event.value {
        Some(value) => json!({
            "key": event.key, "value": value, "revision": event.revision,
            "created": event.revision, "lease": 0,
        }),
        None => json!({"key": event.key, "revision": event.revision, "deleted": true}),
    }
}

async fn answer(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    req: &Request<Incoming>,
) -> ResponseResult {
    let fault = {
        let mut state = lock(state);
        state.calls += 1;
        state.fault
    };
    if fault == StoreFault::Down {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let prefix = query(req, "prefix").unwrap_or_default();
    match req.uri().path() {
        "/kv-range" => Ok(range(&lock(state), &prefix, query(req, "after"))),
        "/kv-watch" => {
            let after = query(req, "after").and_then(|at| at.parse().ok());
            let wait = query(req, "waitMs").and_then(|ms| ms.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(0));
            let heard = changed.subscribe();
            watch(state, heard, &prefix, after.unwrap_or(0), wait).await
        }
        _ => Ok(reply(404, "")),
    }
}

/// Items on one page; few, so that listings have several.
const PAGE: usize = 3;

fn range(state: &State, prefix: &str, after: Option<String>) -> hyper::Response<super::Body> {
    let after = after.unwrap_or_default();
    let below = state.items.values();
    let mut below =
        below.filter(|event| event.key.starts_with(prefix) && event.key.as_str() > after.as_str());
    let page: Vec<Value> = below.by_ref().take(PAGE).map(item).collect();
    let more = below.next().is_some();
    let body = json!({"entries": page, "hasMore": more, "at": state.revision});
    reply(200, body.to_string())
}

async fn watch(
    state: &Mutex<State>,
    mut heard: watch::Receiver<u64>,
    prefix: &str,
    after: u64,
    wait: Duration,
) -> ResponseResult {
    let found = || {
        let state = lock(state);
        let newer = state.log.iter();
        let newer = newer.filter(|e| e.revision > after && e.key.starts_with(prefix));
        let events: Vec<Value> = newer.map(item).collect();
        (events, state.revision, state.forgotten)
    };
    if after < found().2 {
        return Ok(reply(410, ""));
    }
    let (mut events, mut at, _) = found();
    if events.is_empty() {
        // The timeout is the usual end of a watch.
        let waited = actix_rt::time::timeout(wait, heard.changed()).await;
        (events, at) = match waited {
            Ok(_) => {
                let (events, at, _) = found();
                (events, at)
            }
            Err(_) => (Vec::new(), after),
        };
    }
    Ok(reply(200, json!({"events": events, "at": at}).to_string()))
}
