//! Hands chunks on to other hosts.

use actix_web::{
    web::{self, Data, Path},
    HttpResponse,
};
use balsamjunction_protocol::{header, paths, HaveAnswer};
use smol_str::SmolStr;
use tokio::sync::Semaphore;

use super::holdings::{Holdings, VersionId};
use crate::inner::{message, InnerError};

/// Chunks that are sent at once; more would only delay each of them, and live answers with them.
const MAX_UPLOADS: usize = 3;
/// Tells with each chunk which others the sender holds, so that the receiver need not ask.
pub const HELD_HEADER: &str = "balsam-held";

/// Chunks that are being sent.
pub struct Uploads(Semaphore);

impl Default for Uploads {
    fn default() -> Self {
        Self(Semaphore::new(MAX_UPLOADS))
    }
}

/// Adds the routes; needs [`Holdings`] and [`Uploads`] as data.
pub fn routes(cfg: &mut web::ServiceConfig) {
    let have_path = format!("{}/{{model}}/{{version}}", paths::MODEL_HAVE);
    let chunk_path = format!("{}/{{model}}/{{version}}/{{chunk}}", paths::MODEL_CHUNK);
    let manifest_path = format!("{}/{{model}}/{{version}}", paths::MANIFEST);
    cfg.route(&have_path, web::get().to(have))
        .route(&chunk_path, web::get().to(chunk))
        .route(&manifest_path, web::get().to(manifest));
}

fn what_is_held(holdings: &Holdings, uploads: &Uploads, id: &VersionId) -> HaveAnswer {
    HaveAnswer {
        map: holdings.map(id),
        serving: false,
        uploads: (MAX_UPLOADS - uploads.0.available_permits()) as u32,
    }
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
    // The semaphore is never closed, so only a permit comes back.
    let permit = uploads.0.acquire().await;
    let held = what_is_held(&holdings, &uploads, &id);
    let mut response = HttpResponse::Ok();
    if let Ok(held) = header::to_header(&held) {
        response.insert_header((HELD_HEADER, held));
    }
    let response = response.body(buf);
    drop(permit);
    response
}
