//! Admits a caller's request: checks its size, finds its route and verifies its API key.

use std::{
    future::poll_fn,
    pin::Pin,
    sync::{atomic::Ordering, Arc},
    task::Poll,
    time::Duration,
};

use actix_web::{
    error::PayloadError,
    http::{ConnectionType, StatusCode},
    web::{Data, Payload},
    HttpMessage, HttpRequest, HttpResponse,
};
use balsamjunction_directory::{ApiKeyOwner, Route, RouteTable};
use balsamjunction_policy::Moment;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use hyper::Method;
use rand::Rng;
use smol_str::SmolStr;

use super::{
    api_key::{self, KeyRejection},
    attempts::{self, STOPPING_RETRY_AFTER},
    caller_request::{self, CallerRequest},
    callers::CallerConnection,
    context::GatewayContext,
    response::{self, FinalResponse, ResponseReason},
};

/// Lower bound of a route's time limit; a route without one has zero, which would time out immediately.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
/// A process without a configuration usually receives one in about this time.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Capacity for a chunked body at its start; it doubles when it is used up.
const INITIAL_BODY_CAPACITY_BYTES: usize = 1_024;
/// Memory for the parsed chunks of a chunked body, in bytes: a piece of 8 KiB holds up to 1,365 chunks of one byte,
/// whose queue takes 32 bytes for each.
const CHUNK_QUEUE_BYTES: u64 = 60 * 1_024;
/// Time until bodies that make no progress have ended while memory is short.
const MEMORY_FULL_RETRY_AFTER: Duration = Duration::from_millis(600);

/// A guard that counts a request as in progress until it is dropped.
pub struct InProgress {
    context: Arc<GatewayContext>,
    connection: Option<Arc<CallerConnection>>,
}

impl InProgress {
    fn start(context: Arc<GatewayContext>, req: &HttpRequest) -> Self {
        context.in_progress.fetch_add(1, Ordering::AcqRel);
        let connection = req.conn_data::<Arc<CallerConnection>>().cloned();
        if let Some(connection) = &connection {
            connection.begin_request(has_body(req));
        }
        Self {
            context,
            connection,
        }
    }
}

impl InProgress {
    /// Whether a part of the request's body was not received.
    fn leaves_body(&self) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(|connection| connection.body_open())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.context.in_progress.fetch_sub(1, Ordering::AcqRel);
        if let Some(connection) = &self.connection {
            connection.end_request();
        }
    }
}

/// The response to a request that is not forwarded to an upstream.
struct Rejection {
    status: StatusCode,
    reason: ResponseReason,
    retry_after: Option<Duration>,
    route: SmolStr,
    at_most_once: bool,
}

impl Rejection {
    fn new(status: StatusCode, reason: ResponseReason) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            route: SmolStr::default(),
            at_most_once: false,
        }
    }

    fn retryable(reason: ResponseReason, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}

/// Handles every request of callers.
pub async fn handle(
    req: HttpRequest,
    context: Data<GatewayContext>,
    payload: Payload,
) -> HttpResponse {
    let context = context.into_inner();
    let in_progress = InProgress::start(context.clone(), &req);
    let arrived_at = context.now();
    let id = caller_request::parse_attempt_id(&req);
    let request = match admit(&req, &context, payload, arrived_at, id.clone()).await {
        Ok(request) => request,
        Err(rejection) => {
            let response = FinalResponse {
                id: &id,
                route: &rejection.route,
                status: rejection.status,
                reason: rejection.reason,
                retry_after: rejection.retry_after,
                arrived_at,
                version: None,
                limited: None,
                refused_part: None,
                at_most_once: rejection.at_most_once,
            };
            let mut response = response::build_local_response(&context, &response);
            if in_progress.leaves_body() {
                // The rest of the body is discarded for a short time only.
                response
                    .head_mut()
                    .set_connection_type(ConnectionType::Close);
            }
            return response;
        }
    };
    attempts::serve(context, request, in_progress).await
}

async fn admit(
    req: &HttpRequest,
    context: &Arc<GatewayContext>,
    payload: Payload,
    arrived_at: Moment,
    id: SmolStr,
) -> Result<CallerRequest, Rejection> {
    if context.stop_signal.rejects_requests(arrived_at) {
        return Err(Rejection::retryable(
            ResponseReason::Stopping,
            STOPPING_RETRY_AFTER,
        ));
    }
    let (directory, current) = context.directory_for_keys();
    let Some(table) = directory.route_table.clone() else {
        let retry_after = NO_CONFIGURATION_RETRY_AFTER;
        return Err(Rejection::retryable(
            ResponseReason::NoConfiguration,
            retry_after,
        ));
    };
    if count_head_bytes(req) > table.declaration.limits.max_header_bytes {
        return Err(Rejection::new(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ResponseReason::HeadTooLong,
        ));
    }
    let (route, api_key_owner) = find_route(req, &table, current)?;
    let rejection = |mut rejection: Rejection| {
        rejection.route = route.name.clone();
        rejection.at_most_once = !route.repeatable();
        rejection
    };
    let requested_timeout = caller_request::parse_requested_timeout(req);
    let max_timeout = Duration::from_millis(route.timeout_ms).max(MIN_TIMEOUT);
    let timeout = requested_timeout.unwrap_or(max_timeout).min(max_timeout);
    let limit = table.declaration.limits.max_body_bytes;
    let caller = api_key_owner.as_ref().map(|owner| &owner.workspace);
    let workspace = caller.cloned().unwrap_or_default();
    let body = BodyReader::new(req, payload, workspace, limit);
    let body = body.map_err(rejection)?.read(timeout).await;
    let body = body.map_err(rejection)?;
    let method = Method::from_bytes(req.method().as_str().as_bytes())
        .map_err(|_| Rejection::new(StatusCode::BAD_REQUEST, ResponseReason::Malformed))?;
    let path_and_query = req.uri().path_and_query();
    let path_and_query = path_and_query.map_or_else(|| "/".to_owned(), ToString::to_string);
    let caller = api_key_owner.as_ref().map_or("", |h| h.workspace.as_str());
    let fingerprint = caller_request::compute_fingerprint(caller, &path_and_query, &body);
    let api_key = caller_request::parse_api_key(req).filter(|_| api_key_owner.is_some());
    Ok(CallerRequest {
        id,
        service: choose_service(&route),
        api_key: api_key.map(SmolStr::new),
        api_key_owner,
        method,
        headers: caller_request::copy_forwarded_headers(req),
        body,
        arrived_at,
        timeout,
        requested_timeout,
        fingerprint,
        prompt_parts: caller_request::parse_prompt_parts(req),
        path_and_query,
        route,
    })
}

fn count_head_bytes(req: &HttpRequest) -> u64 {
    // Each header line has a colon, a space and a line end besides its name and value.
    let lines = req.headers().iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + 4);
    (req.uri().to_string().len() + lines.sum::<usize>()) as u64
}

/// Finds a request's route and the owner of its API key in a configuration that is `current` or may be outdated.
///
/// An unknown route or key may have been added since the facts were last verified, so the rejection is only
/// final if the facts are fresh; otherwise the caller may retry.
fn find_route(
    req: &HttpRequest,
    table: &RouteTable,
    current: bool,
) -> Result<(Arc<Route>, Option<Arc<ApiKeyOwner>>), Rejection> {
    let stale = || Rejection::retryable(ResponseReason::StaleFacts, NO_CONFIGURATION_RETRY_AFTER);
    let host = req.headers().get("host").and_then(|v| v.to_str().ok());
    let route = table.route(host.unwrap_or_default(), req.uri().path());
    let Some(route) = route.cloned() else {
        return Err(match current {
            true => Rejection::new(StatusCode::NOT_FOUND, ResponseReason::NoRoute),
            false => stale(),
        });
    };
    let key = caller_request::parse_api_key(req);
    match api_key::find_owner(table, current, &route, key) {
        Ok(owner) => Ok((route, owner.cloned())),
        Err(KeyRejection::Outdated) => Err(stale()),
        Err(KeyRejection::Unknown) => Err(Rejection::new(
            StatusCode::UNAUTHORIZED,
            ResponseReason::UnknownKey,
        )),
    }
}

/// Draws one of the route's services with a probability proportional to its weight.
fn choose_service(route: &Route) -> SmolStr {
    let total: u32 = route.targets.iter().map(|t| t.weight).sum();
    let mut draw = rand::rng().random_range(0..total.max(1));
    for target in &route.targets {
        if draw < target.weight {
            return target.service.clone();
        }
        draw -= target.weight;
    }
    let first = route.targets.first();
    first.map(|t| t.service.clone()).unwrap_or_default()
}

/// Reads the complete body of a request, so that it can be sent to another upstream on a retry.
struct BodyReader {
    payload: Payload,
    connection: Option<Arc<CallerConnection>>,
    workspace: SmolStr,
    limit: u64,
    body: BytesMut,
}

impl BodyReader {
    /// Reserves memory for the declared length, before anything is read.
    fn new(
        req: &HttpRequest,
        payload: Payload,
        workspace: SmolStr,
        limit: u64,
    ) -> Result<Self, Rejection> {
        let mut reader = Self {
            payload,
            connection: req.conn_data::<Arc<CallerConnection>>().cloned(),
            workspace,
            limit,
            body: BytesMut::new(),
        };
        if req.chunked().unwrap_or(false) {
            reader.reserve(CHUNK_QUEUE_BYTES)?;
        } else if let Some(length) = parse_content_length(req) {
            reader.grow(length)?;
        }
        Ok(reader)
    }

    fn reserve(&self, bytes: u64) -> Result<(), Rejection> {
        let connection = self.connection.as_ref();
        match connection.is_none_or(|connection| connection.reserve_body(&self.workspace, bytes)) {
            true => Ok(()),
            false => Err(Rejection::retryable(
                ResponseReason::MemoryFull,
                MEMORY_FULL_RETRY_AFTER,
            )),
        }
    }

    /// Makes room for a body of `length` bytes.
    fn grow(&mut self, length: u64) -> Result<(), Rejection> {
        if length > self.limit {
            return Err(Rejection::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                ResponseReason::BodyTooLong,
            ));
        }
        let capacity = self.body.capacity() as u64;
        if length > capacity {
            let doubled = (2 * capacity).max(INITIAL_BODY_CAPACITY_BYTES as u64);
            let new_capacity = match capacity {
                0 => length,
                _ => length.max(doubled).min(self.limit),
            };
            self.reserve(new_capacity - capacity)?;
            let additional = new_capacity as usize - self.body.len();
            self.body.reserve(additional);
        }
        Ok(())
    }

    async fn read(mut self, timeout: Duration) -> Result<Bytes, Rejection> {
        let too_slow = || Rejection::new(StatusCode::REQUEST_TIMEOUT, ResponseReason::BodyTooSlow);
        let connection = self.connection.clone();
        let read = async {
            let mut waits = false;
            while let Some(chunk) = self.next_chunk(&mut waits).await {
                let chunk = chunk.map_err(|_| {
                    Rejection::new(StatusCode::BAD_REQUEST, ResponseReason::Malformed)
                })?;
                let Some(chunk) = chunk else {
                    return Err(too_slow());
                };
                self.grow((self.body.len() + chunk.len()) as u64)?;
                self.body.extend_from_slice(&chunk);
            }
            Ok(self.body.freeze())
        };
        let body = match actix_rt::time::timeout(timeout, read).await {
            Ok(body) => body?,
            Err(_) => return Err(too_slow()),
        };
        if let Some(connection) = connection {
            connection.end_body();
        }
        Ok(body)
    }

    /// Returns the next part of the body, or `Ok(None)` if there was no progress for too long. The end of the body
    /// is `None`.
    async fn next_chunk(
        &mut self,
        waits: &mut bool,
    ) -> Option<Result<Option<Bytes>, PayloadError>> {
        let mut progressed = true;
        poll_fn(|cx| {
            let poll = Pin::new(&mut self.payload).poll_next(cx);
            if let Poll::Ready(chunk) = poll {
                return Poll::Ready(chunk.map(|chunk| chunk.map(Some)));
            }
            let Some(connection) = &self.connection else {
                return Poll::Pending;
            };
            if !std::mem::replace(waits, true) {
                connection.begin_body();
            } else if progressed {
                connection.record_body_progress();
            }
            progressed = false;
            match connection.body_expired() {
                true => Poll::Ready(Some(Ok(None))),
                false => Poll::Pending,
            }
        })
        .await
    }
}

fn has_body(req: &HttpRequest) -> bool {
    req.chunked().unwrap_or(false) || parse_content_length(req).is_some_and(|length| length > 0)
}

fn parse_content_length(req: &HttpRequest) -> Option<u64> {
    let value = req.headers().get("content-length")?;
    value.to_str().ok()?.trim().parse().ok()
}
