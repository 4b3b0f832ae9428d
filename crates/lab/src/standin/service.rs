//! A plain service with calls that must not run twice.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use actix_web::{
    web::{self, Bytes, Data},
    App, HttpRequest, HttpResponse, HttpServer,
};

use super::{ledger::Ledger, IDLE_LIMIT};
use crate::error::LabError;

/// How a plain service behaves.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Time that a call takes.
    pub service_time: Duration,
    /// Where runs are noted.
    pub ledger: Option<PathBuf>,
}

struct Service {
    service: Duration,
    ledger: Ledger,
}

/// Runs a plain service.
pub async fn run(options: ServiceOptions) -> Result<(), LabError> {
    let listener = super::listen(options.listen)?;
    let service = Data::new(Service {
        service: options.service_time,
        ledger: Ledger::open(options.ledger.as_deref())?,
    });
    let server = HttpServer::new(move || {
        App::new()
            .app_data(service.clone())
            .default_service(web::to(call))
    })
    .workers(1)
    .keep_alive(IDLE_LIMIT)
    .h1_allow_half_closed(false)
    .listen(listener)?
    .run();
    super::run(server).await
}

async fn call(service: Data<Service>, req: HttpRequest, body: Bytes) -> HttpResponse {
    let header = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
    let request = header("x-request-id").unwrap_or("-");
    let id = header("idempotency-key").unwrap_or("-");
    service.ledger.record(id, request);
    if !service.service.is_zero() {
        actix_rt::time::sleep(service.service).await;
    }
    let mut response = HttpResponse::Ok();
    response.insert_header(("x-request-id", request));
    response.body(body)
}
