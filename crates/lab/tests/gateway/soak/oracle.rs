//! Judges a soak by what callers got and what upstreams saw.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use balsamjunction_lab::standin::platform::Engine;

use crate::common::event_ids;

/// Time beyond the bound on revocations for a request to reach its upstream.
const ON_THE_WAY: Duration = Duration::from_millis(400);

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// What it asks for.
    pub kind: Kind,
    /// When it was sent.
    pub sent: Instant,
    /// Its key.
    pub key: String,
    /// The status; nothing if none came.
    pub status: Option<u16>,
    /// The upstream that signed the answer.
    pub signature: Option<String>,
    /// The body; nothing if it broke off.
    pub body: Option<String>,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A call that may run once at most.
    Once,
    /// A call that may be repeated.
    Many,
    /// A stream that may be resumed.
    Stream,
}

/// What broke a promise, one line each.
pub fn judge(
    calls: &[Call],
    engines: &[Engine],
    events: u32,
    revoked: &HashMap<String, Instant>,
    revoke_within: Duration,
) -> Vec<String> {
    let mut broken = Vec::new();
    let mut runs: HashMap<String, Vec<(String, Instant)>> = HashMap::new();
    for engine in engines {
        for run in engine.runs() {
            let seen = runs.entry(run.id).or_default();
            seen.push((engine.options.id.to_string(), run.arrived_at));
        }
        if engine.inconsistent_loads() > 0 {
            broken.push(format!("{} took unchecked weights", engine.options.id));
        }
    }
    for call in calls {
        let of_call = runs.get(&call.id).map_or(&[][..], Vec::as_slice);
        broken.extend(judge_call(call, of_call, events));
        let too_late = revoked.get(&call.key).map(|at| *at + revoke_within);
        let ran = of_call.iter().map(|(_, came)| *came).max();
        if let (Some(bound), Some(ran)) = (too_late, ran) {
            if call.sent > bound && ran > bound + ON_THE_WAY {
                let late = (call.sent - bound).as_millis();
                broken.push(format!("{call:?} ran {late} ms after its key's end"));
            }
        }
    }
    broken
}

fn judge_call(call: &Call, runs: &[(String, Instant)], events: u32) -> Option<String> {
    let upstreams: Vec<&str> = runs.iter().map(|(id, _)| id.as_str()).collect();
    if call.kind == Kind::Once && runs.len() > 1 {
        return Some(format!("{call:?} ran at {upstreams:?}"));
    }
    let status = call.status?;
    let denies_run = matches!(status, 408 | 421 | 429 | 503);
    if call.kind == Kind::Once && denies_run && !runs.is_empty() {
        return Some(format!("{call:?} did run, at {upstreams:?}"));
    }
    if status == 404 {
        return Some(format!("{call:?} is on a route that has always been there"));
    }
    if status != 200 {
        return None;
    }
    let signature = call.signature.as_deref().unwrap_or_default();
    if !upstreams.contains(&signature) {
        return Some(format!("{call:?} is signed by who did not run it"));
    }
    // An answer that broke off visibly is none.
    let body = call.body.as_deref()?;
    let whole = match call.kind {
        Kind::Stream => event_ids(body).into_iter().eq(1..=events),
        Kind::Once | Kind::Many => body == "done",
    };
    (!whole).then(|| format!("{call:?} looks whole and is not"))
}
