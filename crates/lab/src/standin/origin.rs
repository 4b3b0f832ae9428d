//! The origin of weights. It serves every requested version, with contents derived from the name.

use std::net::SocketAddr;

use actix_web::{
    web::{self, Bytes, Data, Path},
    App, HttpResponse, HttpServer,
};
use balsamjunction_protocol::platform::Manifest;
use smol_str::SmolStr;

use super::IDLE_LIMIT;
use crate::error::LabError;

/// The options of an origin.
#[derive(Clone, Debug)]
pub struct OriginOptions {
    /// The address it listens on.
    pub listen: SocketAddr,
    /// Length of every version in bytes.
    pub bytes: u64,
    /// Length of a chunk in bytes; the last chunk may be shorter.
    pub chunk_bytes: u32,
}

/// The contents of one chunk, which differ between versions and between chunks.
pub fn chunk(options: &OriginOptions, version: &str, chunk: usize) -> Bytes {
    let start = chunk as u64 * u64::from(options.chunk_bytes);
    let length = (options.bytes - start).min(u64::from(options.chunk_bytes));
    let mut buf = vec![0; length as usize];
    let name = format!("{version}/{chunk}");
    let mut xof = blake3::Hasher::new().update(name.as_bytes()).finalize_xof();
    xof.fill(&mut buf);
    Bytes::from(buf)
}

fn manifest(options: &OriginOptions, version: &str) -> Manifest {
    let count = options.bytes.div_ceil(u64::from(options.chunk_bytes)) as usize;
    let hash = |n| SmolStr::new(blake3::hash(&chunk(options, version, n)).to_hex());
    Manifest {
        version: version.into(),
        bytes: options.bytes,
        chunk_bytes: options.chunk_bytes,
        chunks: (0..count).map(hash).collect(),
    }
}

/// Runs the origin.
pub async fn run(options: OriginOptions) -> Result<(), LabError> {
    let listener = super::listen(options.listen)?;
    let options = Data::new(options);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(options.clone())
            .route("/v1/manifests/{version}", web::get().to(get_manifest))
            .route("/v1/chunks/{version}/{chunk}", web::get().to(get_chunk))
    })
    .workers(2)
    .keep_alive(IDLE_LIMIT)
    .listen(listener)?
    .run();
    super::run(server).await
}

async fn get_manifest(options: Data<OriginOptions>, version: Path<String>) -> HttpResponse {
    HttpResponse::Ok().json(manifest(&options, &version))
}

async fn get_chunk(options: Data<OriginOptions>, path: Path<(String, usize)>) -> HttpResponse {
    let (version, n) = path.into_inner();
    if n as u64 * u64::from(options.chunk_bytes) >= options.bytes {
        return HttpResponse::NotFound().finish();
    }
    HttpResponse::Ok().body(chunk(&options, &version, n))
}
