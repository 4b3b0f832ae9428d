//! What other processes and operators ask of this one.

use std::{sync::Arc, time::Duration};

use actix_web::{
    http::header::CONTENT_TYPE,
    web::{self, Bytes, Data, ServiceConfig},
    HttpResponse,
};
use balsamjunction_protocol::{
    header,
    mesh::{CrashNews, SyncAnswer, SyncRequest},
    paths,
};

use super::Beliefs;
use crate::{
    fleet::spread::Done,
    inner::{check_version, message, InnerError, MAX_MESSAGE_BYTES, OPENMETRICS},
    metrics::Metrics,
};

/// Time for which a request may have been on its way, longer than any exchange that is not given up.
const REQUEST_AGE: Duration = Duration::from_millis(400);

/// Adds the routes; needs [`Beliefs`] and [`Metrics`] as data.
pub fn routes(cfg: &mut ServiceConfig) {
    cfg.app_data(web::PayloadConfig::new(MAX_MESSAGE_BYTES))
        .route(paths::SYNC, web::post().to(sync))
        .route(paths::BROKEN, web::post().to(broken))
        .route(paths::METRICS, web::get().to(metrics))
        .route(paths::LIVE, web::get().to(HttpResponse::Ok));
}

async fn sync(beliefs: Data<Beliefs>, body: Bytes) -> Result<HttpResponse, InnerError> {
    let request: SyncRequest = header::from_bytes(&body)?;
    check_version(request.v)?;
    // What is told in a request left its sender a while ago.
    let told = beliefs.clock.now().saturating_sub(REQUEST_AGE);
    beliefs.adopt(told, request.proof);
    beliefs.merge_members(request.members);
    let (members, same_members) =
        beliefs.members(
            |members, now| match members.digest(now) == request.member_digest {
                true => (vec![members.own().clone()], true),
                false => (members.records(now), false),
            },
        );
    let pull = request.pull.as_ref();
    message(&SyncAnswer {
        members,
        same_members,
        proof: beliefs.proof_age(),
        update: pull.and_then(|pull| beliefs.answer_pull(pull)),
        weights: request.weights.then(|| beliefs.weights_news()).flatten(),
    })
}

async fn broken(beliefs: Data<Beliefs>, body: Bytes) -> Result<HttpResponse, InnerError> {
    let news: CrashNews = header::from_bytes(&body)?;
    check_version(news.v)?;
    beliefs.note_crashes(news.crashes);
    message(&Done {})
}

async fn metrics(metrics: Data<Arc<Metrics>>) -> Result<HttpResponse, InnerError> {
    let text = metrics.encode()?;
    Ok(HttpResponse::Ok()
        .insert_header((CONTENT_TYPE, OPENMETRICS))
        .body(text))
}
