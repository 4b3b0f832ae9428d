//! A published document that can be read and watched: the configuration service and the membership
//! list. It can be out of order, stale, and it counts its calls.

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

/// Where a document server listens.
#[derive(Clone, Debug)]
pub struct DocumentOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The field that orders documents: `revision` or `generation`.
    pub ordered_by: String,
    /// How long a published document stays unseen.
    pub publish_delay: Duration,
}

/// How the server misbehaves.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct DocumentFaults {
    /// Refuses every call.
    pub down: bool,
    /// Serves the oldest document as if it were the newest.
    pub stale: bool,
}

#[derive(Debug, Default)]
struct Shelf {
    documents: Vec<Value>,
    misbehaviour: DocumentFaults,
    calls: u64,
    waiting: u64,
}

struct Server {
    shelf: Mutex<Shelf>,
    changes: watch::Sender<u64>,
    ordered_by: String,
    lag: Duration,
}

#[derive(Debug, Deserialize)]
struct Watch {
    after: u64,
    wait_ms: u64,
}

/// Calls that were made, and watches that wait now.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls since the start.
    pub calls: u64,
    /// Watches that wait now.
    pub waiting: u64,
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, Shelf> {
        self.shelf.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn newer(&self, after: u64) -> Option<Value> {
        let shelf = self.lock();
        if shelf.misbehaviour.stale {
            return shelf.documents.first().cloned();
        }
        let newest = shelf.documents.last()?;
        let order = newest.get(&self.ordered_by)?.as_u64()?;
        (order > after).then(|| newest.clone())
    }
}

/// Runs a document server.
pub async fn run(options: DocumentOptions) -> Result<(), LabError> {
    let listener = super::listen(options.listen)?;
    let server = Data::new(Server {
        shelf: Mutex::default(),
        changes: watch::Sender::new(0),
        ordered_by: options.ordered_by,
        lag: options.publish_delay,
    });
    let server = HttpServer::new(move || {
        App::new()
            .app_data(server.clone())
            .app_data(web::PayloadConfig::new(4 * 1024 * 1024))
            .route("/v1/fleet", web::get().to(read))
            .route("/v1/members", web::get().to(read))
            .route("/lab/publish", web::post().to(publish))
            .route("/lab/misbehave", web::post().to(misbehave))
            .route("/lab/calls", web::get().to(calls))
    })
    .workers(1)
    .keep_alive(IDLE_LIMIT)
    .listen(listener)?
    .run();
    super::run(server).await
}

async fn read(server: Data<Server>, watch: Query<Watch>) -> HttpResponse {
    let mut changes = server.changes.subscribe();
    server.lock().calls += 1;
    let wait = actix_rt::time::sleep(Duration::from_millis(watch.wait_ms));
    tokio::pin!(wait);
    loop {
        if server.lock().misbehaviour.down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        if let Some(document) = server.newer(watch.after) {
            return HttpResponse::Ok().json(document);
        }
        server.lock().waiting += 1;
        let timed_out = tokio::select! {
            _ = &mut wait => true,
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
    if !server.lag.is_zero() {
        actix_rt::time::sleep(server.lag).await;
    }
    server.lock().documents.push(document);
    server.changes.send_modify(|n| *n += 1);
    HttpResponse::Ok().finish()
}

async fn misbehave(server: Data<Server>, misbehaviour: Json<DocumentFaults>) -> HttpResponse {
    server.lock().misbehaviour = misbehaviour.into_inner();
    server.changes.send_modify(|n| *n += 1);
    HttpResponse::Ok().finish()
}

async fn calls(server: Data<Server>) -> HttpResponse {
    let shelf = server.lock();
    HttpResponse::Ok().json(CallCounts {
        calls: shelf.calls,
        waiting: shelf.waiting,
    })
}
