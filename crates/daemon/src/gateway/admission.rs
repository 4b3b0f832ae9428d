//! The first look at a caller's request: its route, its key, its size.

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use actix_web::{
    http::StatusCode,
    web::{Data, Payload},
    HttpRequest, HttpResponse,
};
use balsamjunction_directory::{ApiKeyOwner, Route, RouteTable};
use balsamjunction_policy::Moment;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use hyper::Method;
use rand::Rng;
use smol_str::SmolStr;

use super::{
    answer::{self, Reason},
    call::{self, Call},
    context::GatewayContext,
    run,
};

/// A route without a time limit would otherwise leave its callers no time at all.
const SHORTEST_PATIENCE: Duration = Duration::from_millis(1);
/// A process that knows no configuration expects one within about this time.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Another process takes a caller that this one turns away because it stops.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Bytes of the first part of a body for which room is made at once.
const USUAL_BODY_BYTES: usize = 1_024;

/// Counts a request as in progress until it is dropped.
pub struct InProgress(Arc<GatewayContext>);

impl InProgress {
    fn start(context: Arc<GatewayContext>) -> Self {
        context.in_progress.fetch_add(1, Ordering::AcqRel);
        Self(context)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Why a request is answered without being passed on.
struct Turned {
    status: StatusCode,
    reason: Reason,
    retry_after: Option<Duration>,
    route: SmolStr,
    once: bool,
}

impl Turned {
    fn new(status: StatusCode, reason: Reason) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            route: SmolStr::default(),
            once: false,
        }
    }

    fn for_now(reason: Reason, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}

/// Answers any request of a caller.
pub async fn handle(
    req: HttpRequest,
    context: Data<GatewayContext>,
    payload: Payload,
) -> HttpResponse {
    let context = context.into_inner();
    let in_progress = InProgress::start(context.clone());
    let came = context.now();
    let id = call::attempt_id(&req);
    let call = match admit(&req, &context, payload, came, id.clone()).await {
        Ok(call) => call,
        Err(turned) => {
            let given = answer::Given {
                id: &id,
                route: &turned.route,
                status: turned.status,
                reason: turned.reason,
                retry_after: turned.retry_after,
                came,
                version: None,
                once: turned.once,
            };
            return answer::own(&context, &given);
        }
    };
    run::serve(context, call, in_progress).await
}

async fn admit(
    req: &HttpRequest,
    context: &Arc<GatewayContext>,
    payload: Payload,
    came: Moment,
    id: SmolStr,
) -> Result<Call, Turned> {
    if context.refusing.load(Ordering::Acquire) {
        return Err(Turned::for_now(Reason::Stopping, STOPPING_RETRY_AFTER));
    }
    let directory = context.cluster_view.directory();
    let Some(table) = directory.route_table.clone() else {
        let pause = NO_CONFIGURATION_RETRY_AFTER;
        return Err(Turned::for_now(Reason::NoConfiguration, pause));
    };
    if head_bytes(req) > table.declaration.limits.max_header_bytes {
        return Err(Turned::new(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Reason::HeadTooLong,
        ));
    }
    let (route, holder) = find(req, context, &table)?;
    let turned = |mut turned: Turned| {
        turned.route = route.name.clone();
        turned.once = !route.repeatable();
        turned
    };
    let stated_patience = call::stated_patience(req);
    let most = Duration::from_millis(route.timeout_ms).max(SHORTEST_PATIENCE);
    let patience = stated_patience.unwrap_or(most).min(most);
    let limit = table.declaration.limits.max_body_bytes;
    let body = read_body(payload, limit, patience).await.map_err(turned)?;
    let method = Method::from_bytes(req.method().as_str().as_bytes())
        .map_err(|_| Turned::new(StatusCode::BAD_REQUEST, Reason::Malformed))?;
    let target = req.uri().path_and_query();
    let target = target.map_or_else(|| "/".to_owned(), ToString::to_string);
    let caller = holder.as_ref().map_or("", |h| h.workspace.as_str());
    let fingerprint = call::fingerprint(caller, &target, &body);
    Ok(Call {
        id,
        service: choose_service(&route),
        holder,
        method,
        headers: call::passed_headers(req),
        body,
        came,
        patience,
        stated_patience,
        fingerprint,
        target,
        route,
    })
}

fn head_bytes(req: &HttpRequest) -> u64 {
    // Each header line has a colon, a space and a line end besides its name and value.
    let lines = req.headers().iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + 4);
    (req.uri().to_string().len() + lines.sum::<usize>()) as u64
}

/// The route, and whose key the request carries.
///
/// What the facts do not know may have been added since they were proved, so it is refused for good
/// only on fresh facts.
fn find(
    req: &HttpRequest,
    context: &GatewayContext,
    table: &Arc<RouteTable>,
) -> Result<(Arc<Route>, Option<Arc<ApiKeyOwner>>), Turned> {
    let current = context.keys_are_current();
    let stale = || Turned::for_now(Reason::StaleFacts, NO_CONFIGURATION_RETRY_AFTER);
    let host = req.headers().get("host").and_then(|v| v.to_str().ok());
    let route = table.route(host.unwrap_or_default(), req.uri().path());
    let Some(route) = route.cloned() else {
        return Err(match current {
            true => Turned::new(StatusCode::NOT_FOUND, Reason::NoRoute),
            false => stale(),
        });
    };
    if route.public || !table.requires_api_keys() {
        let holder = call::key(req).and_then(|key| table.api_key_owner(key));
        return Ok((route, holder.cloned()));
    }
    if !current {
        return Err(stale());
    }
    match call::key(req).and_then(|key| table.api_key_owner(key)) {
        Some(holder) => Ok((route, Some(holder.clone()))),
        None => Err(Turned::new(StatusCode::UNAUTHORIZED, Reason::UnknownKey)),
    }
}

/// One of the route's services, by weight.
fn choose_service(route: &Route) -> SmolStr {
    let total: u32 = route.targets.iter().map(|t| t.weight).sum();
    let mut luck = rand::rng().random_range(0..total.max(1));
    for target in &route.targets {
        if luck < target.weight {
            return target.service.clone();
        }
        luck -= target.weight;
    }
    let first = route.targets.first();
    first.map(|t| t.service.clone()).unwrap_or_default()
}

/// Reads the whole body, so that it can be sent again.
async fn read_body(mut payload: Payload, limit: u64, patience: Duration) -> Result<Bytes, Turned> {
    let mut whole = BytesMut::new();
    let read = async {
        while let Some(part) = payload.next().await {
            let part = part.map_err(|_| Turned::new(StatusCode::BAD_REQUEST, Reason::Malformed))?;
            if (whole.len() + part.len()) as u64 > limit {
                return Err(Turned::new(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    Reason::BodyTooLong,
                ));
            }
            whole.reserve(part.len().max(USUAL_BODY_BYTES.min(limit as usize)));
            whole.extend_from_slice(&part);
        }
        Ok(())
    };
    match actix_rt::time::timeout(patience, read).await {
        Ok(read) => read?,
        Err(_) => {
            return Err(Turned::new(
                StatusCode::REQUEST_TIMEOUT,
                Reason::BodyTooSlow,
            ))
        }
    }
    Ok(whole.freeze())
}
