//! A server for a versioned document that clients read and watch: the configuration service and the
//! membership list.
//!
//! It can delay, refuse or serve stale documents, and it counts its calls.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use actix_web::{
    web::{self, Bytes, Data, Json, Query},
    App, HttpResponse, HttpServer,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::watch;

use super::IDLE_LIMIT;
use crate::error::LabError;

/// The options of a document server.
#[derive(Clone, Debug)]
pub struct DocumentOptions {
    /// The address it listens on.
    pub listen: SocketAddr,
    /// The field that orders documents: `revision` or `generation`.
    pub ordered_by: String,
    /// Time from the call that publishes a document until readers see it.
    pub publish_delay: Duration,
}

/// The faults that the server simulates.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct DocumentFaults {
    /// Refuses every call.
    pub down: bool,
    /// Serves the oldest document as the newest.
    pub stale: bool,
}

#[derive(Debug, Default)]
struct DocumentState {
    documents: Vec<Value>,
    faults: DocumentFaults,
    calls: u64,
    waiting: u64,
}

struct Server {
    state: Mutex<DocumentState>,
    change_count: watch::Sender<u64>,
    ordered_by: String,
    publish_delay: Duration,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

/// Counts of calls.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls since the start.
    pub calls: u64,
    /// Watches that are currently waiting for a change.
    pub waiting: u64,
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, DocumentState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The document for a reader that has the version `after`, if there is a newer one.
    fn newer_document(&self, after: u64) -> Option<Value> {
        let state = self.lock();
        if state.faults.stale {
            return state.documents.first().cloned();
        }
        let newest = state.documents.last()?;
        let order = newest.get(&self.ordered_by)?.as_u64()?;
        (order > after).then(|| newest.clone())
    }
}

/// Runs a document server.
pub async fn run(options: DocumentOptions) -> Result<(), LabError> {
    let listener = super::listen(options.listen)?;
    let server = Data::new(Server {
        state: Mutex::default(),
        change_count: watch::Sender::new(0),
        ordered_by: options.ordered_by,
        publish_delay: options.publish_delay,
    });
    let server = HttpServer::new(move || {
        App::new()
            .app_data(server.clone())
            .app_data(web::PayloadConfig::new(4 * 1024 * 1024))
            .route("/v1/fleet", web::get().to(read))
            .route("/v1/members", web::get().to(read))
            .route("/lab/publish", web::post().to(publish))
            .route("/lab/misbehave", web::post().to(set_faults))
            .route("/lab/calls", web::get().to(calls))
    })
    .workers(1)
    .keep_alive(IDLE_LIMIT)
    .listen(listener)?
    .run();
    super::run(server).await
}

async fn read(server: Data<Server>, query: Query<WatchQuery>) -> HttpResponse {
    let mut changes = server.change_count.subscribe();
    server.lock().calls += 1;
    let timeout = actix_rt::time::sleep(Duration::from_millis(query.wait_ms));
    tokio::pin!(timeout);
    loop {
        if server.lock().faults.down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        if let Some(document) = server.newer_document(query.after) {
            return HttpResponse::Ok().json(document);
        }
        server.lock().waiting += 1;
        let timed_out = tokio::select! {
            _ = &mut timeout => true,
            changed = changes.changed() => changed.is_err(),
        };
        server.lock().waiting -= 1;
        if timed_out {
            return HttpResponse::NoContent().finish();
        }
    }
}

async fn publish(server: Data<Server>, body: Bytes) -> HttpResponse {
    let Ok(document) = serde_json::from_slice(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if !server.publish_delay.is_zero() {
        actix_rt::time::sleep(server.publish_delay).await;
    }
    server.lock().documents.push(document);
    server.change_count.send_modify(|n| *n += 1);
    HttpResponse::Ok().finish()
}

async fn set_faults(server: Data<Server>, faults: Json<DocumentFaults>) -> HttpResponse {
    server.lock().faults = faults.into_inner();
    server.change_count.send_modify(|n| *n += 1);
    HttpResponse::Ok().finish()
}

async fn calls(server: Data<Server>) -> HttpResponse {
    let state = server.lock();
    HttpResponse::Ok().json(CallCounts {
        calls: state.calls,
        waiting: state.waiting,
    })
}
