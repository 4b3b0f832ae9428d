//! Hands chunks on to other hosts.

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
use balsamjunction_protocol::{header, mesh::WeightsNews, paths, HaveAnswer};
use futures_util::{stream, Stream};
use smol_str::SmolStr;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};

use super::holdings::{Holdings, VersionId};
use crate::{
    clock::Clock,
    fleet::dissemination::EmptyResponse,
    inner::{message, InnerError},
    sync::lock,
};

/// Chunks that are sent at once; more would only delay each of them, and live answers with them.
const MAX_UPLOADS: usize = 2;
/// Requests for chunks that wait for their turn. More would wait for over a quarter of a second each at
/// 39 ms a chunk, while others hold the chunk by then.
const MAX_WAITING: usize = 6;
/// A chunk goes out in pieces of this length, so that live answers fit in between.
const PIECE_BYTES: usize = 8 * 1024;
/// Tells with each chunk which others the sender holds, so that the receiver need not ask.
pub const HELD_HEADER: &str = "balsam-held";

/// Chunks that are being sent, and the rate at which they are.
pub struct Uploads {
    permits: Arc<Semaphore>,
    waiting: Arc<AtomicUsize>,
    pacer: Arc<Mutex<Pacer>>,
    clock: Clock,
}

impl Uploads {
    /// Sends at most `rate` bytes a second.
    pub fn new(clock: Clock, rate: u64) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(MAX_UPLOADS)),
            waiting: Arc::default(),
            pacer: Arc::new(Mutex::new(Pacer::new(clock.now(), rate))),
            clock,
        }
    }

    /// Chunks that are sent or wait to be sent.
    fn count(&self) -> usize {
        MAX_UPLOADS - self.permits.available_permits() + self.waiting.load(Ordering::Acquire)
    }

    /// A place among the chunks that are sent; nothing if too many wait for one.
    async fn place(&self) -> Option<OwnedSemaphorePermit> {
        let permits = self.permits.clone();
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        let _waiting = Waiting::start(&self.waiting)?;
        // The semaphore is never closed, so a permit always comes.
        permits.acquire_owned().await.ok()
    }

    /// The bytes of a chunk at the rate that is left for it.
    fn paced(
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

/// Counts as one that waits until it is dropped, also if its caller leaves.
struct Waiting(Arc<AtomicUsize>);

impl Waiting {
    fn start(count: &Arc<AtomicUsize>) -> Option<Self> {
        let more = |waiting: usize| (waiting < MAX_WAITING).then_some(waiting + 1);
        let begun = count.fetch_update(Ordering::AcqRel, Ordering::Acquire, more);
        begun.ok().map(|_| Self(count.clone()))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Where news of versions go that entries push.
pub struct NewsQueue(pub mpsc::UnboundedSender<WeightsNews>);

/// Adds the routes; needs [`Holdings`] and [`Uploads`] as data.
pub fn routes(cfg: &mut web::ServiceConfig) {
    let have_path = format!("{}/{{model}}/{{version}}", paths::MODEL_HAVE);
    let chunk_path = format!("{}/{{model}}/{{version}}/{{chunk}}", paths::MODEL_CHUNK);
    let manifest_path = format!("{}/{{model}}/{{version}}", paths::MANIFEST);
    cfg.route(&have_path, web::get().to(have))
        .route(&chunk_path, web::get().to(chunk))
        .route(&manifest_path, web::get().to(manifest))
        .route(paths::NEWS, web::post().to(news));
}

fn what_is_held(holdings: &Holdings, uploads: &Uploads, id: &VersionId) -> HaveAnswer {
    HaveAnswer {
        map: holdings.map(id),
        drawing: holdings.drawing(id),
        serving: false,
        uploads: uploads.count() as u32,
    }
}

async fn news(queue: Data<NewsQueue>, body: Bytes) -> Result<HttpResponse, InnerError> {
    let news: WeightsNews = header::from_bytes(&body)?;
    if queue.0.send(news).is_err() {
        log::debug!("news came while the process stops");
    }
    message(&EmptyResponse {})
}

async fn have(
    holdings: Data<Holdings>,
    uploads: Data<Uploads>,
    path: Path<(SmolStr, u64)>,
) -> Result<HttpResponse, InnerError> {
    let (model, version) = path.into_inner();
    message(&what_is_held(
        &holdings,
        &uploads,
        &VersionId { model, version },
    ))
}

async fn manifest(holdings: Data<Holdings>, path: Path<(SmolStr, u64)>) -> HttpResponse {
    let (model, version) = path.into_inner();
    match holdings.manifest(&VersionId { model, version }) {
        Some(manifest) => HttpResponse::Ok().json(manifest),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn chunk(
    holdings: Data<Holdings>,
    uploads: Data<Uploads>,
    path: Path<(SmolStr, u64, usize)>,
) -> HttpResponse {
    let (model, version, chunk) = path.into_inner();
    let id = VersionId { model, version };
    let Some(buf) = holdings.get(&id, chunk) else {
        return HttpResponse::NotFound().finish();
    };
    let Some(permit) = uploads.place().await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let held = what_is_held(&holdings, &uploads, &id);
    let mut response = HttpResponse::Ok();
    if let Ok(held) = header::to_header(&held) {
        response.insert_header((HELD_HEADER, held));
    }
    let length = buf.len() as u64;
    response.body(SizedStream::new(length, uploads.paced(permit, buf)))
}
