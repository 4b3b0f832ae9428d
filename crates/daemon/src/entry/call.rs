//! Reads a caller's request: pool, path and the headers that say how to carry it.

use std::{str::FromStr, time::Duration};

use actix_web::{http::header::HeaderMap, HttpRequest};
use balsamjunction_protocol::{IdempotencyKey, Priority, Refusal, RequestId};
use balsamjunction_settings::{fleet::LookupContext, Fleet, Pool, ValueKey};
use smol_str::{format_smolstr, SmolStr};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

/// The caller's workspace.
const WORKSPACE: &str = "balsam-workspace";
/// Milliseconds until the caller stops waiting for the first byte.
const DEADLINE: &str = "balsam-deadline-ms";
/// `high`, `normal` or `low`.
const PRIORITY: &str = "balsam-priority";
/// Expected work in the pool's cost units.
const COST: &str = "balsam-cost";
/// Names a prompt prefix or session that an engine may hold in its cache.
const AFFINITY: &str = "balsam-affinity";
/// The caller's key for a request that may run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The workspace of callers that name none.
const DEFAULT_WORKSPACE: &str = "default";
/// Cost of a request whose caller names none.
const DEFAULT_COST: u32 = 1;
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// A checked request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Names the request.
    pub id: RequestId,
    /// The pool that shall answer.
    pub pool: SmolStr,
    /// Path and query below the pool.
    pub path: String,
    /// The caller's workspace.
    pub workspace: SmolStr,
    /// Order within the workspace.
    pub priority: Priority,
    /// Time until the caller stops waiting for the first byte.
    pub deadline: Duration,
    /// Expected work.
    pub cost: u32,
    /// Hash of the prompt prefix.
    pub affinity: Option<u64>,
    /// Whether the route may run more than once.
    pub repeatable: bool,
    /// Present if the route may not be repeated and the caller sent a key.
    pub once: Option<IdempotencyKey>,
}

impl Call {
    /// Reads a request, or says why it cannot be carried.
    pub fn read(req: &HttpRequest, fleet: &Fleet, id: RequestId) -> Result<Self, Refusal> {
        let (pool, path) = split_path(req.uri().path());
        let declared = fleet.pools.get(pool).ok_or(Refusal::UnknownPool)?;
        let headers = req.headers();
        let pool = SmolStr::new(pool);
        let workspace = text(headers, WORKSPACE)?.unwrap_or(DEFAULT_WORKSPACE);
        let repeatable = declared.is_repeatable(path);
        let default_deadline = fleet.value(ValueKey::DeadlineMs, &LookupContext::for_pool(&pool));
        let deadline = parsed(headers, DEADLINE)?.unwrap_or(default_deadline);
        Ok(Self {
            id,
            path: with_query(path, req.uri().query()),
            workspace: workspace.into(),
            priority: parsed(headers, PRIORITY)?.unwrap_or_default(),
            deadline: Duration::from_millis(deadline),
            cost: parsed(headers, COST)?.unwrap_or(DEFAULT_COST).max(1),
            affinity: text(headers, AFFINITY)?.map(|prefix| xxh3_64(prefix.as_bytes())),
            repeatable,
            once: once_key(headers, workspace, declared, path)?,
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

fn with_query(path: &str, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

fn text<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Refusal::BadRequest)?;
    Ok(Some(text))
}

fn parsed<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    let value = text.parse().map_err(|_| Refusal::BadRequest)?;
    Ok(Some(value))
}

/// Keys of different workspaces never meet.
fn once_key(
    headers: &HeaderMap,
    workspace: &str,
    pool: &Pool,
    path: &str,
) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(key) = text(headers, IDEMPOTENCY_KEY)? else {
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
        created_at_ms: born_ms(key),
    }))
}

/// The time at which a UUIDv7 was made.
fn born_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::parse_str(key.trim_matches('"')).ok()?;
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    let is_v7 = uuid.get_version_num() == 7;
    is_v7.then(|| seconds * 1_000 + u64::from(nanos) / 1_000_000)
}
