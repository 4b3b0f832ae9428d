//! A model engine. It streams tokens to concurrent requests, starts cold, crashes when overloaded while
//! cold, loads a version in the background while it serves another, and checks or ignores fencing
//! numbers.

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

/// Factor by which a cold engine is slower.
const COLD_SLOWDOWN: u32 = 4;
/// A cold engine crashes when it runs more than this many times its cold capacity.
const COLD_CRASH_FACTOR: u32 = 3;
/// For this time after the engine became cold, overload is not counted: the sidecar's gate cannot know
/// yet that the engine is cold.
const COLD_GRACE: Duration = Duration::from_millis(500);
/// The exit status of an engine that crashed.
const CRASH_EXIT_STATUS: i32 = 3;

/// The options of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The address it listens on.
    pub listen: SocketAddr,
    /// Concurrent requests that it can handle while cold.
    pub cold_capacity: u32,
    /// Completed requests after which it is warm.
    pub warm_up_requests: u32,
    /// Time to the first token while warm.
    pub first_token_delay: Duration,
    /// Time between tokens while warm.
    pub token_interval: Duration,
    /// Time that it takes to load a version, once the weights are read.
    pub load_time: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub fenced: bool,
    /// The version that it serves at start; none if absent.
    pub version: Option<SmolStr>,
    /// The file in which executions are recorded; none are recorded if absent.
    pub ledger: Option<PathBuf>,
}

#[derive(Debug, Default)]
struct RuntimeState {
    serving: Option<SmolStr>,
    loaded: Option<SmolStr>,
    loading: Option<SmolStr>,
    loaded_versions: BTreeSet<SmolStr>,
    highest_fence: u64,
    running: u32,
    served: u32,
    cold_since: Option<Instant>,
}

struct EngineServer {
    options: EngineOptions,
    state: Mutex<RuntimeState>,
    ledger: Ledger,
    boot: SmolStr,
    cold_overload: AtomicU64,
    cancelled: AtomicU64,
    stale_orders_accepted: AtomicU64,
}

/// A request to generate tokens.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The id of the request in the ledger; not recorded if empty.
    #[serde(default)]
    pub id: String,
    /// Tokens to generate.
    #[serde(default)]
    pub tokens: u32,
    /// Makes the engine crash.
    #[serde(default)]
    pub crash: bool,
}

/// The counters of an engine.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests admitted beyond the capacity of the cold engine.
    pub cold_overload: u64,
    /// Requests whose client disconnected before the end.
    pub cancelled: u64,
    /// Requests that are running.
    pub running: u32,
    /// Requests served since the engine last became cold.
    pub served: u32,
    /// Orders accepted although a newer one had been accepted before.
    pub old_orders_taken: u64,
}

impl EngineServer {
    fn lock(&self) -> MutexGuard<'_, RuntimeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request; exits the process if the engine is cold and severely overloaded.
    fn admit(&self) -> Admission {
        let mut state = self.lock();
        state.running += 1;
        let Some(since) = state.cold_since else {
            return Admission { slowdown: 1 };
        };
        if state.running > self.options.cold_capacity && since.elapsed() > COLD_GRACE {
            self.cold_overload.fetch_add(1, Ordering::Relaxed);
            if state.running > self.options.cold_capacity * COLD_CRASH_FACTOR {
                log::warn!(
                    "engine on {} crashes: it is overloaded while cold",
                    self.options.listen
                );
                std::process::exit(CRASH_EXIT_STATUS);
            }
        }
        Admission {
            slowdown: COLD_SLOWDOWN,
        }
    }

    fn record_served(&self) {
        let mut state = self.lock();
        state.served += 1;
        if state.cold_since.is_some() && state.served >= self.options.warm_up_requests {
            state.cold_since = None;
        }
    }

    /// Makes the engine cold and restarts its warm-up.
    fn make_cold(&self) {
        let mut state = self.lock();
        state.cold_since = Some(Instant::now());
        state.served = 0;
    }
}

struct Admission {
    slowdown: u32,
}

/// Counts a request as running until dropped; a request dropped before its end counts as cancelled.
struct RunningRequest {
    server: Arc<EngineServer>,
    completed: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.server.lock().running -= 1;
        if !self.completed {
            self.server.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Runs an engine.
pub async fn run(options: EngineOptions) -> Result<(), LabError> {
    let listener = super::listen(options.listen)?;
    let started_at = SystemTime::now().duration_since(UNIX_EPOCH);
    let state = RuntimeState {
        serving: options.version.clone(),
        loaded_versions: options.version.iter().cloned().collect(),
        cold_since: Some(Instant::now()),
        ..RuntimeState::default()
    };
    let server = Data::new(EngineServer {
        ledger: Ledger::open(options.ledger.as_deref())?,
        boot: format_smolstr!("{}", started_at.unwrap_or_default().as_nanos()),
        options,
        state: Mutex::new(state),
        cold_overload: AtomicU64::new(0),
        cancelled: AtomicU64::new(0),
        stale_orders_accepted: AtomicU64::new(0),
    });
    let http = HttpServer::new(move || {
        App::new()
            .app_data(server.clone())
            .route("/engine/state", web::get().to(get_state))
            .route("/engine/load", web::post().to(load))
            .route("/engine/switch", web::post().to(switch))
            .route("/lab/counts", web::get().to(get_counts))
            .route("/lab/cold", web::post().to(set_cold))
            .default_service(web::to(generate))
    })
    .workers(1)
    .keep_alive(IDLE_LIMIT)
    .h1_allow_half_closed(false)
    .listen(listener)?
    .run();
    super::run(http).await
}

async fn get_state(server: Data<EngineServer>) -> HttpResponse {
    let state = server.lock();
    HttpResponse::Ok().json(EngineState {
        serving: state.serving.clone(),
        loaded: state.loaded.clone(),
        boot_id: server.boot.clone(),
    })
}

async fn get_counts(server: Data<EngineServer>) -> HttpResponse {
    let state = server.lock();
    HttpResponse::Ok().json(EngineCounts {
        cold_overload: server.cold_overload.load(Ordering::Relaxed),
        cancelled: server.cancelled.load(Ordering::Relaxed),
        running: state.running,
        served: state.served,
        old_orders_taken: server.stale_orders_accepted.load(Ordering::Relaxed),
    })
}

async fn set_cold(server: Data<EngineServer>) -> HttpResponse {
    server.make_cold();
    HttpResponse::Ok().finish()
}

/// Checks the expiry and the fencing number of an order; returns the response if it is refused.
fn check_order(server: &EngineServer, order: &EngineOrder) -> Option<HttpResponse> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    if now.unwrap_or_default().as_millis() as u64 > order.not_after_ms {
        return Some(HttpResponse::Gone().finish());
    }
    let mut state = server.lock();
    if order.fence >= state.highest_fence {
        state.highest_fence = order.fence;
        return None;
    }
    if server.options.fenced {
        return Some(HttpResponse::Conflict().finish());
    }
    server.stale_orders_accepted.fetch_add(1, Ordering::Relaxed);
    None
}

async fn load(server: Data<EngineServer>, order: Json<EngineOrder>) -> HttpResponse {
    if let Some(refused) = check_order(&server, &order) {
        return refused;
    }
    {
        let mut state = server.lock();
        if state.loading.as_ref() == Some(&order.version) {
            return HttpResponse::Accepted().finish();
        }
        state.loading = Some(order.version.clone());
        state.loaded = None;
    }
    let server = server.into_inner();
    actix_rt::spawn(async move {
        let complete = read_weights(&order).await;
        if complete {
            actix_rt::time::sleep(server.options.load_time).await;
        }
        let mut state = server.lock();
        if state.loading.as_ref() != Some(&order.version) {
            return;
        }
        state.loading = None;
        if complete {
            state.loaded_versions.insert(order.version.clone());
            state.loaded = Some(order.version.clone());
        }
    });
    HttpResponse::Accepted().finish()
}

/// Reads all chunks from the sidecar and checks their hashes; returns whether the version is complete,
/// since an engine never loads a partial version.
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
    if let Some(refused) = check_order(&server, &order) {
        return refused;
    }
    {
        let mut state = server.lock();
        if state.serving.as_ref() == Some(&order.version) {
            return HttpResponse::Ok().finish();
        }
        if state.loaded.as_ref() != Some(&order.version) {
            return HttpResponse::UnprocessableEntity().finish();
        }
        state.serving = state.loaded.take();
    }
    server.make_cold();
    HttpResponse::Ok().finish()
}

async fn generate(server: Data<EngineServer>, req: HttpRequest, body: Bytes) -> HttpResponse {
    let request: GenerateRequest = serde_json::from_slice(&body).unwrap_or_default();
    let version = server.lock().serving.clone();
    let Some(version) = version else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let request_id = req.headers().get("x-request-id");
    let request_id = request_id.and_then(|v| v.to_str().ok()).unwrap_or("-");
    if !request.id.is_empty() {
        server.ledger.record(&request.id, request_id);
    }
    if request.crash {
        std::process::exit(CRASH_EXIT_STATUS);
    }
    let admission = server.admit();
    let server = server.into_inner();
    let running = RunningRequest {
        server: server.clone(),
        completed: false,
    };
    actix_rt::time::sleep(server.options.first_token_delay * admission.slowdown).await;
    let mut response = HttpResponse::Ok();
    response.insert_header(("content-type", "text/event-stream"));
    response.insert_header(("x-model-version", version.as_str()));
    response.insert_header(("x-request-id", request_id));
    let gap = server.options.token_interval * admission.slowdown;
    let tokens = request.tokens;
    let state = (running, 0, request.id);
    response.streaming(stream::unfold(
        state,
        move |(mut running, n, id)| async move {
            if n >= tokens {
                if !running.completed {
                    running.completed = true;
                    running.server.record_served();
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
