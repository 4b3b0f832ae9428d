//! Checks a soak test by the responses that callers received and the requests that upstreams ran.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use balsamjunction_lab::standin::platform::Engine;

use crate::common::event_ids;

/// Time beyond the bound on revocations that a request may take to reach its upstream.
const DELIVERY_MARGIN: Duration = Duration::from_millis(400);

/// A request of a caller, and the response to it.
#[derive(Clone, Debug)]
pub struct Call {
    /// ID of the attempt.
    pub id: String,
    /// How often the request may run, and how it is served.
    pub kind: RequestKind,
    /// When the caller sent the request.
    pub sent: Instant,
    /// The API key.
    pub key: String,
    /// The status; absent if no response arrived.
    pub status: Option<u16>,
    /// ID of the upstream that signed the response.
    pub signature: Option<String>,
    /// The body; absent if it was truncated.
    pub body: Option<String>,
}

/// Kind of request, which decides the route and the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run once at most.
    NonIdempotent,
    /// May be repeated.
    Idempotent,
    /// Receives a stream that may be resumed.
    Streaming,
}

/// Returns a description of every violated guarantee.
pub fn find_violations(
    calls: &[Call],
    engines: &[Engine],
    events: u32,
    revoked: &HashMap<String, Instant>,
    revoke_within: Duration,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut runs: HashMap<String, Vec<(String, Instant)>> = HashMap::new();
    for engine in engines {
        for run in engine.runs() {
            let runs_of_call = runs.entry(run.id).or_default();
            runs_of_call.push((engine.options.id.to_string(), run.arrived_at));
        }
        if engine.inconsistent_loads() > 0 {
            violations.push(format!("{} loaded unverified weights", engine.options.id));
        }
    }
    for call in calls {
        let runs_of_call = runs.get(&call.id).map_or(&[][..], Vec::as_slice);
        violations.extend(check_call(call, runs_of_call, events));
        let revoked_by = revoked.get(&call.key).map(|at| *at + revoke_within);
        let last_run = runs_of_call.iter().map(|(_, arrived_at)| *arrived_at).max();
        if let (Some(bound), Some(last_run)) = (revoked_by, last_run) {
            if call.sent > bound && last_run > bound + DELIVERY_MARGIN {
                let late = (call.sent - bound).as_millis();
                violations.push(format!(
                    "{call:?} ran although it was sent {late} ms after the bound on the revocation of its key"
                ));
            }
        }
    }
    violations
}

/// Returns the first guarantee that a call violated; `events` is the length of a complete stream.
fn check_call(call: &Call, runs: &[(String, Instant)], events: u32) -> Option<String> {
    let upstreams: Vec<&str> = runs.iter().map(|(id, _)| id.as_str()).collect();
    if call.kind == RequestKind::NonIdempotent && runs.len() > 1 {
        return Some(format!("{call:?} ran more than once, at {upstreams:?}"));
    }
    let status = call.status?;
    let reports_not_run = matches!(status, 408 | 421 | 429 | 503);
    if call.kind == RequestKind::NonIdempotent && reports_not_run && !runs.is_empty() {
        return Some(format!(
            "{call:?} was reported as not run, but ran at {upstreams:?}"
        ));
    }
    if status == 404 {
        return Some(format!(
            "{call:?} got 404 on a route that is always configured"
        ));
    }
    if status != 200 {
        return None;
    }
    let signature = call.signature.as_deref().unwrap_or_default();
    if !upstreams.contains(&signature) {
        return Some(format!(
            "{call:?} is signed by an upstream that did not run it"
        ));
    }
    // A response that the caller can recognise as truncated is not a success.
    let body = call.body.as_deref()?;
    let complete = match call.kind {
        RequestKind::Streaming => event_ids(body).into_iter().eq(1..=events),
        RequestKind::NonIdempotent | RequestKind::Idempotent => body == "done",
    };
    (!complete).then(|| format!("{call:?} looks complete but is not"))
}
