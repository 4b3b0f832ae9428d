//! Serves weights: paced to peers, and at full speed to the engine on this host.

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
    inner::{check_protocol_version, message_response, InnerError},
    sidecar::{context::SidecarContext, pacing::TransferPacing},
};

/// The data centre of the receiver, so that the sender paces the link to it.
pub const DATA_CENTRE_HEADER: &str = "balsam-data-centre";
/// The chunks that the sender stores, so that the receiver need not query them.
pub const CHUNK_MAP_HEADER: &str = "balsam-held";
/// Chunks are sent in blocks of this length, so that live responses can be sent in between.
const BLOCK_BYTES: usize = 8 * 1024;

/// Adds the routes for manifests, chunks and chunk maps.
pub fn configure_routes(cfg: &mut web::ServiceConfig) {
    use balsamjunction_protocol::paths::{CHUNK, CHUNK_MAP, MANIFEST};
    cfg.route(CHUNK_MAP, web::post().to(get_chunk_map))
        .route(
            &format!("{MANIFEST}/{{version}}"),
            web::get().to(get_manifest),
        )
        .route(
            &format!("{CHUNK}/{{version}}/{{chunk}}"),
            web::get().to(get_chunk),
        );
}

async fn get_chunk_map(
    context: Data<SidecarContext>,
    pacing: Data<TransferPacing>,
    body: Bytes,
) -> Result<HttpResponse, InnerError> {
    let request: ChunkMapRequest = header::from_bytes(&body)?;
    check_protocol_version(request.v)?;
    message_response(&chunk_map_response(&context, &pacing, &request.version))
}

fn chunk_map_response(
    context: &SidecarContext,
    pacing: &TransferPacing,
    version: &SmolStr,
) -> ChunkMapResponse {
    ChunkMapResponse {
        map: context.chunk_store.chunk_map(version),
        fetching_from_origin: context.chunk_store.fetching_from_origin(version),
        serving: context.version_status().serving.as_ref() == Some(version),
        uploads: pacing.upload_count(),
        ..ChunkMapResponse::default()
    }
}

async fn get_manifest(context: Data<SidecarContext>, version: Path<SmolStr>) -> HttpResponse {
    match context.chunk_store.manifest(&version) {
        Some(manifest) => HttpResponse::Ok().json(manifest),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn get_chunk(
    req: HttpRequest,
    context: Data<SidecarContext>,
    pacing: Data<TransferPacing>,
    path: Path<(SmolStr, usize)>,
) -> HttpResponse {
    let (version, chunk) = path.into_inner();
    let Some(buf) = context.chunk_store.get(&version, chunk) else {
        return HttpResponse::NotFound().finish();
    };
    let data_centre = req.headers().get(DATA_CENTRE_HEADER);
    let data_centre = data_centre.and_then(|value| value.to_str().ok());
    let Some(data_centre) = data_centre else {
        // Only the engine on this host sends no data centre, and it uses no link.
        return HttpResponse::Ok().body(buf);
    };
    let length = buf.len() as u64;
    let chunk_map = chunk_map_response(&context, &pacing, &version);
    let blocks = paced_stream(
        UploadGuard::start(pacing.into_inner()),
        buf,
        SmolStr::new(data_centre),
    );
    let mut response = HttpResponse::Ok();
    if let Ok(chunk_map) = header::to_header(&chunk_map) {
        response.insert_header((CHUNK_MAP_HEADER, chunk_map));
    }
    response.body(SizedStream::new(length, blocks))
}

/// Counts a chunk as being sent until it is dropped.
struct UploadGuard(Arc<TransferPacing>);

impl UploadGuard {
    fn start(pacing: Arc<TransferPacing>) -> Self {
        pacing.update_upload_count(true);
        Self(pacing)
    }
}

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.0.update_upload_count(false);
    }
}

fn paced_stream(
    upload: UploadGuard,
    buf: Bytes,
    data_centre: SmolStr,
) -> impl futures_util::Stream<Item = Result<Bytes, PayloadError>> {
    let blocks = stream::unfold((upload, buf, data_centre), |(upload, mut buf, dc)| async {
        if buf.is_empty() {
            return None;
        }
        let block = buf.split_to(buf.len().min(BLOCK_BYTES));
        let wait = upload.0.reserve_send(block.len(), &dc);
        if wait > Duration::ZERO {
            actix_rt::time::sleep(wait).await;
        }
        Some((Ok(block), (upload, buf, dc)))
    });
    Box::pin(blocks)
}
