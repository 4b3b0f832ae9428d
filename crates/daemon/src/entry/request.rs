//! Reads a caller's request: the pool, the path and the headers that control how it is forwarded.

use std::{str::FromStr, time::Duration};

use actix_web::{http::header::HeaderMap, HttpRequest};
use balsamjunction_protocol::{IdempotencyKey, Priority, Refusal, RequestId};
use balsamjunction_settings::{fleet::LookupContext, Fleet, Pool, ValueKey};
use smol_str::{format_smolstr, SmolStr};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

/// The caller's workspace.
const WORKSPACE_HEADER: &str = "balsam-workspace";
/// Milliseconds until the caller stops waiting for the first byte.
const DEADLINE_HEADER: &str = "balsam-deadline-ms";
/// `high`, `normal` or `low`.
const PRIORITY_HEADER: &str = "balsam-priority";
/// Expected work in the pool's cost units.
const COST_HEADER: &str = "balsam-cost";
/// Identifies a prompt prefix or a session that an engine may have cached.
const AFFINITY_HEADER: &str = "balsam-affinity";
/// The caller's key for a request that may run at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The workspace of requests without a workspace header.
const DEFAULT_WORKSPACE: &str = "default";
/// Cost of a request without a cost header.
const DEFAULT_COST: u32 = 1;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifies the request over all of its attempts.
    pub id: RequestId,
    /// The pool that the request is for.
    pub pool: SmolStr,
    /// Path and query, without the pool.
    pub path: String,
    /// The caller's workspace.
    pub workspace: SmolStr,
    /// Priority among the requests of the workspace.
    pub priority: Priority,
    /// Time until the caller stops waiting for the first byte.
    pub deadline: Duration,
    /// Expected work in the pool's cost units, at least 1.
    pub cost: u32,
    /// Hash of the affinity header, if it was sent.
    pub affinity: Option<u64>,
    /// Whether requests of this route may run more than once.
    pub repeatable: bool,
    /// The caller's key; present only if requests of the route must not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
}

impl CallerRequest {
    /// Reads a request; returns the reason for the refusal if it cannot be forwarded.
    pub fn read(req: &HttpRequest, fleet: &Fleet, id: RequestId) -> Result<Self, Refusal> {
        let (pool, path) = split_path(req.uri().path());
        let declared = fleet.pools.get(pool).ok_or(Refusal::UnknownPool)?;
        let headers = req.headers();
        let pool = SmolStr::new(pool);
        let workspace = header_text(headers, WORKSPACE_HEADER)?.unwrap_or(DEFAULT_WORKSPACE);
        let repeatable = declared.is_repeatable(path);
        let default_deadline = fleet.value(ValueKey::DeadlineMs, &LookupContext::for_pool(&pool));
        let deadline = parse_header(headers, DEADLINE_HEADER)?.unwrap_or(default_deadline);
        Ok(Self {
            id,
            path: append_query(path, req.uri().query()),
            workspace: workspace.into(),
            priority: parse_header(headers, PRIORITY_HEADER)?.unwrap_or_default(),
            deadline: Duration::from_millis(deadline),
            cost: parse_header(headers, COST_HEADER)?
                .unwrap_or(DEFAULT_COST)
                .max(1),
            affinity: header_text(headers, AFFINITY_HEADER)?
                .map(|prefix| xxh3_64(prefix.as_bytes())),
            repeatable,
            idempotency_key: read_idempotency_key(headers, workspace, declared, path)?,
            pool,
        })
    }
}

fn split_path(path: &str) -> (&str, &str) {
    let path = path.strip_prefix('/').unwrap_or(path);
    match path.find('/') {
        Some(at) => path.split_at(at),
        None => (path, "/"),
    }
}

fn append_query(path: &str, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Refusal::BadRequest)?;
    Ok(Some(text))
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal> {
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    let value = text.parse().map_err(|_| Refusal::BadRequest)?;
    Ok(Some(value))
}

/// Reads the idempotency key and prefixes it with the workspace, so that keys of different workspaces
/// never collide.
fn read_idempotency_key(
    headers: &HeaderMap,
    workspace: &str,
    pool: &Pool,
    path: &str,
) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(key) = header_text(headers, IDEMPOTENCY_KEY_HEADER)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Refusal::BadRequest);
    }
    if pool.is_repeatable(path) {
        return Ok(None);
    }
    Ok(Some(IdempotencyKey {
        key: format_smolstr!("{workspace}/{key}"),
        created_at_ms: uuid_v7_time_ms(key),
    }))
}

/// Time at which a UUIDv7 was created, in milliseconds since the Unix epoch; `None` for other keys.
fn uuid_v7_time_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::parse_str(key.trim_matches('"')).ok()?;
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    let is_v7 = uuid.get_version_num() == 7;
    is_v7.then(|| seconds * 1_000 + u64::from(nanos) / 1_000_000)
}
