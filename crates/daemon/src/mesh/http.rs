//! What other processes and operators ask of this one.

use std::{net::TcpListener, sync::Arc};

use actix_web::{
    http::header::CONTENT_TYPE,
    web::{self, Bytes, Data, ServiceConfig},
    App, HttpResponse, HttpServer,
};
use balsamjunction_protocol::{
    header,
    mesh::{ChangeNews, CrashNews, SyncAnswer, SyncRequest},
    paths,
};

use super::ClusterView;
use crate::{
    error::DaemonError,
    fleet::dissemination::EmptyResponse,
    inner::{check_version, message, InnerError, MAX_MESSAGE_BYTES, OPENMETRICS},
    metrics::{Gauges, Metrics},
};

/// Adds the routes; needs [`ClusterView`], [`Metrics`] and [`Gauges`] as data.
pub fn routes(cfg: &mut ServiceConfig) {
    cfg.app_data(web::PayloadConfig::new(MAX_MESSAGE_BYTES))
        .route(paths::SYNC, web::post().to(sync))
        .route(paths::CHANGES, web::post().to(changes))
        .route(paths::BROKEN, web::post().to(broken))
        .route(paths::METRICS, web::get().to(metrics))
        .route(paths::LIVE, web::get().to(HttpResponse::Ok));
}

/// Serves the metrics, and nothing else, at an address of their own, if there is one.
pub fn serve_metrics(
    listener: Option<TcpListener>,
    data: (Data<Arc<Metrics>>, Data<dyn Gauges>),
) -> Result<(), DaemonError> {
    let Some(listener) = listener else {
        return Ok(());
    };
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.0.clone())
            .app_data(data.1.clone())
            .route(paths::METRICS, web::get().to(metrics))
    });
    let server = server.workers(1).disable_signals().listen(listener)?;
    actix_rt::spawn(server.run());
    Ok(())
}

async fn sync(cluster_view: Data<ClusterView>, body: Bytes) -> Result<HttpResponse, InnerError> {
    let request: SyncRequest = header::from_bytes(&body)?;
    check_version(request.v)?;
    cluster_view.merge_members(request.members);
    let views = request.views.as_deref();
    let (told, pulses, lacks, same_members) = cluster_view.with_members(|members, now| {
        let lacks = views.map(|views| members.merge_heartbeats(now, views));
        let news = views.map(|views| members.updates_for(now, views));
        let (told, pulses) = news.unwrap_or_else(|| (vec![members.own().clone()], Vec::new()));
        let same = members.digest(now) == request.member_digest;
        (told, pulses, lacks.unwrap_or_default(), same)
    });
    let pull = request.pull.as_ref();
    message(&SyncAnswer {
        members: told,
        pulses,
        lacks,
        same_members,
        proof: cluster_view.verification_age(),
        update: pull.and_then(|pull| cluster_view.update_for_pull(pull)),
        weights: request
            .weights
            .then(|| cluster_view.weights_update())
            .flatten(),
    })
}

async fn changes(cluster_view: Data<ClusterView>, body: Bytes) -> Result<HttpResponse, InnerError> {
    let news: ChangeNews = header::from_bytes(&body)?;
    check_version(news.v)?;
    cluster_view.receive_changes(news.since, news.update);
    message(&EmptyResponse {})
}

async fn broken(cluster_view: Data<ClusterView>, body: Bytes) -> Result<HttpResponse, InnerError> {
    let news: CrashNews = header::from_bytes(&body)?;
    check_version(news.v)?;
    cluster_view.record_crashes(news.crashes);
    message(&EmptyResponse {})
}

async fn metrics(
    metrics: Data<Arc<Metrics>>,
    gauges: Data<dyn Gauges>,
) -> Result<HttpResponse, InnerError> {
    gauges.refresh(&metrics);
    let text = metrics.encode()?;
    Ok(HttpResponse::Ok()
        .insert_header((CONTENT_TYPE, OPENMETRICS))
        .body(text))
}
