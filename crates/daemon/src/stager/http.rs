//! Serves chunks and manifests to other hosts, and receives weights updates.

use std::sync::{
    atomic::{AtomicUsize, Ordering},
    Arc, Mutex,
};

use actix_web::{
    body::SizedStream,
    error::PayloadError,
    web::{self, Bytes, Data, Path},
    HttpResponse,
};
use balsamjunction_policy::pace::Pacer;
use balsamjunction_protocol::{header, mesh::WeightsUpdate, paths, ChunkMapResponse};
use futures_util::{stream, Stream};
use smol_str::SmolStr;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};

use super::chunk_cache::{ChunkCache, VersionId};
use crate::{
    clock::Clock,
    fleet::dissemination::EmptyResponse,
    inner::{message_response, InnerError},
    sync::lock,
};

/// Most concurrent uploads; more would delay each of them, and the live responses on the same link.
const MAX_UPLOADS: usize = 2;
/// Most queued requests for chunks. With more, each would wait for over a quarter of a second at 39 ms a
/// chunk, and by then other hosts have the chunk.
const MAX_QUEUED_UPLOADS: usize = 6;
/// A chunk is sent in pieces of this length, so that live responses can be sent in between.
const PIECE_BYTES: usize = 8 * 1024;
/// Header of a chunk response with the chunk map of the sender, which saves the receiver a request.
pub const CHUNK_MAP_HEADER: &str = "balsam-held";

/// Limits the number and the rate of uploads.
pub struct Uploads {
    permits: Arc<Semaphore>,
    queued: Arc<AtomicUsize>,
    pacer: Arc<Mutex<Pacer>>,
    clock: Clock,
}

impl Uploads {
    /// Limits all uploads together to `bytes_per_s`.
    pub fn new(clock: Clock, bytes_per_s: u64) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(MAX_UPLOADS)),
            queued: Arc::default(),
            pacer: Arc::new(Mutex::new(Pacer::new(clock.now(), bytes_per_s))),
            clock,
        }
    }

    /// Number of running and queued uploads.
    fn count(&self) -> usize {
        MAX_UPLOADS - self.permits.available_permits() + self.queued.load(Ordering::Acquire)
    }

    /// Waits for permission to upload a chunk; `None` if too many requests are queued.
    async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        let permits = self.permits.clone();
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        let _queued = QueuedUpload::try_start(&self.queued)?;
        // The semaphore is never closed, so a permit becomes available.
        permits.acquire_owned().await.ok()
    }

    /// Streams a chunk at the limited rate; the permit is released at the end of the stream.
    fn paced_stream(
        &self,
        permit: OwnedSemaphorePermit,
        buf: Bytes,
    ) -> impl Stream<Item = Result<Bytes, PayloadError>> + Unpin {
        let state = (permit, self.pacer.clone(), self.clock, buf);
        let pieces = stream::unfold(state, |(permit, pacer, clock, mut buf)| async move {
            if buf.is_empty() {
                return None;
            }
            let piece = buf.split_to(buf.len().min(PIECE_BYTES));
            let wait = lock(&pacer).reserve(clock.now(), piece.len());
            if !wait.is_zero() {
                actix_rt::time::sleep(wait).await;
            }
            Some((Ok(piece), (permit, pacer, clock, buf)))
        });
        Box::pin(pieces)
    }
}

/// Counts a request as queued until it is dropped, also when the peer closes the connection.
struct QueuedUpload(Arc<AtomicUsize>);

impl QueuedUpload {
    fn try_start(count: &Arc<AtomicUsize>) -> Option<Self> {
        let increment = |queued: usize| (queued < MAX_QUEUED_UPLOADS).then_some(queued + 1);
        let incremented = count.fetch_update(Ordering::AcqRel, Ordering::Acquire, increment);
        incremented.ok().map(|_| Self(count.clone()))
    }
}

impl Drop for QueuedUpload {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Passes weights updates that entries push to the stager.
pub struct WeightsUpdateQueue(pub mpsc::UnboundedSender<WeightsUpdate>);

/// Registers the routes; needs [`ChunkCache`], [`Uploads`] and [`WeightsUpdateQueue`] as data.
pub fn configure_routes(cfg: &mut web::ServiceConfig) {
    let chunk_map_path = format!("{}/{{model}}/{{version}}", paths::MODEL_CHUNK_MAP);
    let chunk_path = format!("{}/{{model}}/{{version}}/{{chunk}}", paths::MODEL_CHUNK);
    let manifest_path = format!("{}/{{model}}/{{version}}", paths::MANIFEST);
    cfg.route(&chunk_map_path, web::get().to(get_chunk_map))
        .route(&chunk_path, web::get().to(get_chunk))
        .route(&manifest_path, web::get().to(get_manifest))
        .route(
            paths::WEIGHTS_UPDATE,
            web::post().to(receive_weights_update),
        );
}

fn build_chunk_map_response(
    chunk_cache: &ChunkCache,
    uploads: &Uploads,
    id: &VersionId,
) -> ChunkMapResponse {
    ChunkMapResponse {
        map: chunk_cache.chunk_map(id),
        fetching_from_origin: chunk_cache.fetching_from_origin(id),
        serving: false,
        uploads: uploads.count() as u32,
        origin_age_ms: chunk_cache.origin_state().age_ms(uploads.clock.now()),
    }
}

async fn receive_weights_update(
    queue: Data<WeightsUpdateQueue>,
    body: Bytes,
) -> Result<HttpResponse, InnerError> {
    let update: WeightsUpdate = header::from_bytes(&body)?;
    if queue.0.send(update).is_err() {
        log::debug!("a weights update was received while the process stops");
    }
    message_response(&EmptyResponse {})
}

async fn get_chunk_map(
    chunk_cache: Data<ChunkCache>,
    uploads: Data<Uploads>,
    path: Path<(SmolStr, u64)>,
) -> Result<HttpResponse, InnerError> {
    let (model, version) = path.into_inner();
    let id = VersionId { model, version };
    let response = build_chunk_map_response(&chunk_cache, &uploads, &id);
    chunk_cache.record_demand(uploads.clock.now(), id);
    message_response(&response)
}

async fn get_manifest(chunk_cache: Data<ChunkCache>, path: Path<(SmolStr, u64)>) -> HttpResponse {
    let (model, version) = path.into_inner();
    match chunk_cache.manifest(&VersionId { model, version }) {
        Some(manifest) => HttpResponse::Ok().json(manifest),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn get_chunk(
    chunk_cache: Data<ChunkCache>,
    uploads: Data<Uploads>,
    path: Path<(SmolStr, u64, usize)>,
) -> HttpResponse {
    let (model, version, chunk) = path.into_inner();
    let id = VersionId { model, version };
    let Some(buf) = chunk_cache.get(&id, chunk) else {
        return HttpResponse::NotFound().finish();
    };
    let Some(permit) = uploads.acquire().await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let chunk_map = build_chunk_map_response(&chunk_cache, &uploads, &id);
    let mut response = HttpResponse::Ok();
    if let Ok(chunk_map) = header::to_header(&chunk_map) {
        response.insert_header((CHUNK_MAP_HEADER, chunk_map));
    }
    let length = buf.len() as u64;
    response.body(SizedStream::new(length, uploads.paced_stream(permit, buf)))
}
