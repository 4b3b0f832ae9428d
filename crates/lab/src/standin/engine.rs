//! A model engine: it batches, streams tokens, starts cold, falls over when overloaded while cold,
//! loads versions beside the one that serves, and honours or ignores fencing numbers.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use actix_web::{
    web::{self, Bytes, Data, Json},
    App, HttpRequest, HttpResponse, HttpServer,
};
use awc::Client;
use balsamjunction_protocol::platform::{EngineOrder, EngineState, Manifest};
use futures_util::stream;
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use super::{ledger::Ledger, IDLE_LIMIT};
use crate::error::LabError;

/// A cold engine is this many times slower.
const COLD_SLOWDOWN: u32 = 4;
/// A cold engine that holds this many times what it bears falls over.
const FALL_OVER: u32 = 3;
/// After turning cold without warning, work admitted in this time is not held against the gate,
/// which cannot know yet.
const COLD_GRACE: Duration = Duration::from_millis(500);
/// The process status of an engine that fell over or crashed.
const CRASHED: i32 = 3;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Requests that it bears while cold.
    pub cold_capacity: u32,
    /// Requests after which it is warm.
    pub warm_up_requests: u32,
    /// Time to the first token.
    pub first_token_delay: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Time to load a version.
    pub load_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// The version that it serves from the start.
    pub version: Option<SmolStr>,
    /// Where runs are noted.
    pub ledger: Option<PathBuf>,
}

#[derive(Debug, Default)]
struct Mind {
    serving: Option<SmolStr>,
    loaded: Option<SmolStr>,
    loading: Option<SmolStr>,
    known: BTreeSet<SmolStr>,
    highest_fence: u64,
    running: u32,
    served: u32,
    cold_since: Option<Instant>,
}

struct EngineServer {
    options: EngineOptions,
    mind: Mutex<Mind>,
    ledger: Ledger,
    boot: SmolStr,
    cold_overload: AtomicU64,
    cancelled: AtomicU64,
    old_orders_taken: AtomicU64,
}

/// A request to generate tokens.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Names the request in the ledger.
    #[serde(default)]
    pub id: String,
    /// Tokens to generate.
    #[serde(default)]
    pub tokens: u32,
    /// Crashes the engine.
    #[serde(default)]
    pub crash: bool,
}

/// What an engine counted.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests admitted beyond what the cold engine bears.
    pub cold_overload: u64,
    /// Streams whose reader left.
    pub cancelled: u64,
    /// Requests that run now.
    pub running: u32,
    /// Requests served since the start.
    pub served: u32,
    /// Orders carried out although a newer one had been taken.
    pub old_orders_taken: u64,
}

impl EngineServer {
    fn lock(&self) -> MutexGuard<'_, Mind> {
        self.mind.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request; ends the process if the engine is cold and holds far too much.
    fn admit(&self) -> Admitted {
        let mut mind = self.lock();
        mind.running += 1;
        let Some(since) = mind.cold_since else {
            return Admitted { slowdown: 1 };
        };
        if mind.running > self.options.cold_capacity && since.elapsed() > COLD_GRACE {
            self.cold_overload.fetch_add(1, Ordering::Relaxed);
            if mind.running > self.options.cold_capacity * FALL_OVER {
                log::warn!("engine on {} falls over", self.options.listen);
                std::process::exit(CRASHED);
            }
        }
        Admitted {
            slowdown: COLD_SLOWDOWN,
        }
    }

    fn served(&self) {
        let mut mind = self.lock();
        mind.served += 1;
        if mind.cold_since.is_some() && mind.served >= self.options.warm_up_requests {
            mind.cold_since = None;
        }
    }

    /// Makes the engine cold, whatever it was.
    fn chill(&self) {
        let mut mind = self.lock();
        mind.cold_since = Some(Instant::now());
        mind.served = 0;
    }
}

struct Admitted {
    slowdown: u32,
}

/// Counts a request as running until it is dropped.
struct Running {
    server: Arc<EngineServer>,
    done: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.server.lock().running -= 1;
        if !self.done {
            self.server.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Runs an engine.
pub async fn run(options: EngineOptions) -> Result<(), LabError> {
    let listener = super::listen(options.listen)?;
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let mind = Mind {
        serving: options.version.clone(),
        known: options.version.iter().cloned().collect(),
        cold_since: Some(Instant::now()),
        ..Mind::default()
    };
    let server = Data::new(EngineServer {
        ledger: Ledger::open(options.ledger.as_deref())?,
        boot: format_smolstr!("{}", since.unwrap_or_default().as_nanos()),
        options,
        mind: Mutex::new(mind),
        cold_overload: AtomicU64::new(0),
        cancelled: AtomicU64::new(0),
        old_orders_taken: AtomicU64::new(0),
    });
    let http = HttpServer::new(move || {
        App::new()
            .app_data(server.clone())
            .route("/engine/state", web::get().to(state))
            .route("/engine/load", web::post().to(load))
            .route("/engine/switch", web::post().to(switch))
            .route("/lab/counts", web::get().to(counts))
            .route("/lab/cold", web::post().to(cold))
            .default_service(web::to(generate))
    })
    .workers(1)
    .keep_alive(IDLE_LIMIT)
    .h1_allow_half_closed(false)
    .listen(listener)?
    .run();
    super::run(http).await
}

async fn state(server: Data<EngineServer>) -> HttpResponse {
    let mind = server.lock();
    HttpResponse::Ok().json(EngineState {
        serving: mind.serving.clone(),
        loaded: mind.loaded.clone(),
        boot_id: server.boot.clone(),
    })
}

async fn counts(server: Data<EngineServer>) -> HttpResponse {
    let mind = server.lock();
    HttpResponse::Ok().json(EngineCounts {
        cold_overload: server.cold_overload.load(Ordering::Relaxed),
        cancelled: server.cancelled.load(Ordering::Relaxed),
        running: mind.running,
        served: mind.served,
        old_orders_taken: server.old_orders_taken.load(Ordering::Relaxed),
    })
}

async fn cold(server: Data<EngineServer>) -> HttpResponse {
    server.chill();
    HttpResponse::Ok().finish()
}

/// Why an order is refused, if it is.
fn refusal(server: &EngineServer, order: &EngineOrder) -> Option<HttpResponse> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    if now.unwrap_or_default().as_millis() as u64 > order.not_after_ms {
        return Some(HttpResponse::Gone().finish());
    }
    let mut mind = server.lock();
    if order.fence >= mind.highest_fence {
        mind.highest_fence = order.fence;
        return None;
    }
    if server.options.fenced {
        return Some(HttpResponse::Conflict().finish());
    }
    server.old_orders_taken.fetch_add(1, Ordering::Relaxed);
    None
}

async fn load(server: Data<EngineServer>, order: Json<EngineOrder>) -> HttpResponse {
    if let Some(refused) = refusal(&server, &order) {
        return refused;
    }
    {
        let mut mind = server.lock();
        if mind.loading.as_ref() == Some(&order.version) {
            return HttpResponse::Accepted().finish();
        }
        mind.loading = Some(order.version.clone());
        mind.loaded = None;
    }
    let server = server.into_inner();
    actix_rt::spawn(async move {
        let whole = read_weights(&order).await;
        if whole {
            actix_rt::time::sleep(server.options.load_time).await;
        }
        let mut mind = server.lock();
        if mind.loading.as_ref() != Some(&order.version) {
            return;
        }
        mind.loading = None;
        if whole {
            mind.known.insert(order.version.clone());
            mind.loaded = Some(order.version.clone());
        }
    });
    HttpResponse::Accepted().finish()
}

/// Reads all chunks from the sidecar and checks them; an engine never loads a partial version.
async fn read_weights(order: &EngineOrder) -> bool {
    let Some(base) = &order.weights else {
        return true;
    };
    let client = Client::default();
    let manifest = fetch(&client, format!("{base}/manifest/{}", order.version)).await;
    let Some(manifest) = manifest.and_then(|b| serde_json::from_slice::<Manifest>(&b).ok()) else {
        return false;
    };
    for (n, hash) in manifest.chunks.iter().enumerate() {
        let url = format!("{base}/chunk/{}/{n}", order.version);
        let Some(buf) = fetch(&client, url).await else {
            return false;
        };
        if blake3::hash(&buf).to_hex().as_str() != hash {
            return false;
        }
    }
    true
}

async fn fetch(client: &Client, url: String) -> Option<Bytes> {
    let mut response = client.get(url).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.body().limit(64 * 1024 * 1024).await.ok()
}

async fn switch(server: Data<EngineServer>, order: Json<EngineOrder>) -> HttpResponse {
    if let Some(refused) = refusal(&server, &order) {
        return refused;
    }
    {
        let mut mind = server.lock();
        if mind.serving.as_ref() == Some(&order.version) {
            return HttpResponse::Ok().finish();
        }
        if mind.loaded.as_ref() != Some(&order.version) {
            return HttpResponse::UnprocessableEntity().finish();
        }
        mind.serving = mind.loaded.take();
    }
    server.chill();
    HttpResponse::Ok().finish()
}

async fn generate(server: Data<EngineServer>, req: HttpRequest, body: Bytes) -> HttpResponse {
    let request: GenerateRequest = serde_json::from_slice(&body).unwrap_or_default();
    let version = server.lock().serving.clone();
    let Some(version) = version else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let carried = req.headers().get("x-request-id");
    let carried = carried.and_then(|v| v.to_str().ok()).unwrap_or("-");
    if !request.id.is_empty() {
        server.ledger.record(&request.id, carried);
    }
    if request.crash {
        std::process::exit(CRASHED);
    }
    let admitted = server.admit();
    let server = server.into_inner();
    let running = Running {
        server: server.clone(),
        done: false,
    };
    actix_rt::time::sleep(server.options.first_token_delay * admitted.slowdown).await;
    let mut response = HttpResponse::Ok();
    response.insert_header(("content-type", "text/event-stream"));
    response.insert_header(("x-model-version", version.as_str()));
    response.insert_header(("x-request-id", carried));
    let gap = server.options.token_interval * admitted.slowdown;
    let tokens = request.tokens;
    let state = (running, 0, request.id);
    response.streaming(stream::unfold(
        state,
        move |(mut running, n, id)| async move {
            if n >= tokens {
                if !running.done {
                    running.done = true;
                    running.server.served();
                    let end = Ok::<_, actix_web::Error>(Bytes::from("data: [DONE]\n\n"));
                    return Some((end, (running, n, id)));
                }
                return None;
            }
            if n > 0 {
                actix_rt::time::sleep(gap).await;
            }
            let version = running.server.lock().serving.clone().unwrap_or_default();
            let event = format!(
                "id: {n}\ndata: {{\"id\":\"{id}\",\"n\":{n},\"version\":\"{version}\"}}\n\n"
            );
            Some((Ok(Bytes::from(event)), (running, n + 1, id)))
        },
    ))
}
