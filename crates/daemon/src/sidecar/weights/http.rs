//! Serves weights to peers, paced, and to the engine beside this sidecar.

use std::{sync::Arc, time::Duration};

use actix_web::{
    body::SizedStream,
    error::PayloadError,
    web::{self, Bytes, Data, Path},
    HttpRequest, HttpResponse,
};
use balsamjunction_protocol::{header, ChunkMapRequest, ChunkMapResponse};
use futures_util::stream;
use smol_str::SmolStr;

use crate::{
    inner::{check_version, message, InnerError},
    sidecar::{context::SidecarContext, pacing::Pacing},
};

/// Tells a sender in which data centre a chunk is needed, so that it paces the link to there.
pub const DATA_CENTRE_HEADER: &str = "balsam-data-centre";
/// Tells with each chunk which others the sender holds, so that the receiver need not ask.
pub const HELD_HEADER: &str = "balsam-held";
/// A chunk goes out in pieces of this length, so that live answers fit in between.
const PIECE_BYTES: usize = 8 * 1024;

/// Adds the routes.
pub fn routes(cfg: &mut web::ServiceConfig) {
    use balsamjunction_protocol::paths::{CHUNK, CHUNK_MAP, MANIFEST};
    cfg.route(CHUNK_MAP, web::post().to(have))
        .route(&format!("{MANIFEST}/{{version}}"), web::get().to(manifest))
        .route(
            &format!("{CHUNK}/{{version}}/{{chunk}}"),
            web::get().to(chunk),
        );
}

async fn have(
    context: Data<SidecarContext>,
    pacing: Data<Pacing>,
    body: Bytes,
) -> Result<HttpResponse, InnerError> {
    let request: ChunkMapRequest = header::from_bytes(&body)?;
    check_version(request.v)?;
    message(&what_is_held(&context, &pacing, &request.version))
}

fn what_is_held(context: &SidecarContext, pacing: &Pacing, version: &SmolStr) -> ChunkMapResponse {
    ChunkMapResponse {
        map: context.chunks.map(version),
        serving: context.versions().serving.as_ref() == Some(version),
        uploads: pacing.uploads(),
        ..ChunkMapResponse::default()
    }
}

async fn manifest(context: Data<SidecarContext>, version: Path<SmolStr>) -> HttpResponse {
    match context.chunks.manifest(&version) {
        Some(manifest) => HttpResponse::Ok().json(manifest),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn chunk(
    req: HttpRequest,
    context: Data<SidecarContext>,
    pacing: Data<Pacing>,
    path: Path<(SmolStr, usize)>,
) -> HttpResponse {
    let (version, chunk) = path.into_inner();
    let Some(buf) = context.chunks.get(&version, chunk) else {
        return HttpResponse::NotFound().finish();
    };
    let data_centre = req.headers().get(DATA_CENTRE_HEADER);
    let data_centre = data_centre.and_then(|value| value.to_str().ok());
    let Some(data_centre) = data_centre else {
        // Only the engine on this host names no data centre, and it uses no link.
        return HttpResponse::Ok().body(buf);
    };
    let length = buf.len() as u64;
    let held = what_is_held(&context, &pacing, &version);
    let pieces = paced(
        Upload::start(pacing.into_inner()),
        buf,
        SmolStr::new(data_centre),
    );
    let mut response = HttpResponse::Ok();
    if let Ok(held) = header::to_header(&held) {
        response.insert_header((HELD_HEADER, held));
    }
    response.body(SizedStream::new(length, pieces))
}

/// Counts a chunk as being sent until it is dropped.
struct Upload(Arc<Pacing>);

impl Upload {
    fn start(pacing: Arc<Pacing>) -> Self {
        pacing.count_upload(true);
        Self(pacing)
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.count_upload(false);
    }
}

fn paced(
    upload: Upload,
    buf: Bytes,
    data_centre: SmolStr,
) -> impl futures_util::Stream<Item = Result<Bytes, PayloadError>> {
    let pieces = stream::unfold((upload, buf, data_centre), |(upload, mut buf, dc)| async {
        if buf.is_empty() {
            return None;
        }
        let piece = buf.split_to(buf.len().min(PIECE_BYTES));
        let wait = upload.0.send(piece.len(), &dc);
        if wait > Duration::ZERO {
            actix_rt::time::sleep(wait).await;
        }
        Some((Ok(piece), (upload, buf, dc)))
    });
    Box::pin(pieces)
}
