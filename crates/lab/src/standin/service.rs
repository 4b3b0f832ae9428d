//! A plain service whose calls must not run twice.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use actix_web::{
    web::{self, Bytes, Data},
    App, HttpRequest, HttpResponse, HttpServer,
};

use super::{ledger::Ledger, IDLE_LIMIT};
use crate::error::LabError;

/// The options of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// The address it listens on.
    pub listen: SocketAddr,
    /// Processing time of a call.
    pub service_time: Duration,
    /// The file in which executions are recorded; none are recorded if absent.
    pub ledger: Option<PathBuf>,
}

struct Service {
    service_time: Duration,
    ledger: Ledger,
}

/// Runs a plain service.
pub async fn run(options: ServiceOptions) -> Result<(), LabError> {
    let listener = super::listen(options.listen)?;
    let service = Data::new(Service {
        service_time: options.service_time,
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
    if !service.service_time.is_zero() {
        actix_rt::time::sleep(service.service_time).await;
    }
    let mut response = HttpResponse::Ok();
    response.insert_header(("x-request-id", request));
    response.body(body)
}
