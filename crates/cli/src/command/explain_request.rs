//! `explain-request`: builds the timeline of a request from the log lines of several processes.

use std::{io::Write, path::PathBuf};

use serde_json::{json, Map, Value};

use super::read_file;
use crate::error::CliError;

/// Fields that a line of the timeline does not repeat as `name=value`.
const HEADING_FIELDS: [&str; 3] = ["at_ms", "event", "id"];

/// Reasons of refusals that depend on the facts that the process has.
const FACTS_REASONS: [&str; 5] = [
    "stale-facts",
    "no-configuration",
    "no-route",
    "unknown-key",
    "no-upstream",
];
/// Time after a restoration of the store within which it may explain such a refusal, in milliseconds.
const RECENT_RESTORATION_MS: u64 = 10_000;

/// A log line of the request.
struct Step {
    at_ms: u64,
    event: String,
    fields: Map<String, Value>,
}

/// Writes the events of a request in order of time, and a sentence that explains its outcome.
pub fn run(id: &str, files: &[PathBuf], json: bool, out: &mut dyn Write) -> Result<(), CliError> {
    let (mut steps, mut limits, mut restorations) = (Vec::new(), Vec::new(), Vec::new());
    for file in files {
        let buf = read_file(file)?;
        let text = String::from_utf8_lossy(&buf);
        for step in text.lines().filter_map(parse_step) {
            if step.fields.get("id").and_then(Value::as_str) == Some(id) {
                steps.push(step);
            } else if step.event == "upstream-limit" {
                limits.push(step);
            } else if step.event == "store-restored" {
                restorations.push(step);
            }
        }
    }
    if steps.is_empty() {
        return Err(CliError::RequestNotFound { id: id.into() });
    }
    steps.sort_by_key(|step| step.at_ms);
    limits.sort_by_key(|step| step.at_ms);
    let mut cause = explain_outcome(&steps, &limits);
    if let Some(restoration) = describe_restoration(&steps, &restorations) {
        cause.push_str(&restoration);
    }
    if json {
        let steps: Vec<Value> = steps.into_iter().map(|s| Value::Object(s.fields)).collect();
        writeln!(out, "{}", json!({"id": id, "steps": steps, "cause": cause}))?;
        return Ok(());
    }
    let start_ms = steps.first().map_or(0, |step| step.at_ms);
    for step in &steps {
        let fields = step.fields.iter();
        let fields = fields.filter(|(name, _)| !HEADING_FIELDS.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let elapsed_ms = step.at_ms - start_ms;
        writeln!(
            out,
            "+{elapsed_ms:>6} ms  {:<15} {}",
            step.event,
            fields.join(" ")
        )?;
    }
    writeln!(out, "{cause}")?;
    Ok(())
}

/// Parses a log line; skips those that are not in the structured format.
fn parse_step(line: &str) -> Option<Step> {
    let start = line.find('{')?;
    let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else {
        return None;
    };
    Some(Step {
        at_ms: fields.get("at_ms")?.as_u64()?,
        event: fields.get("event")?.as_str()?.to_owned(),
        fields,
    })
}

/// A field of a log line as text; empty if the field is missing.
fn text_field<'s>(step: &'s Step, name: &str) -> &'s str {
    step.fields.get(name).and_then(Value::as_str).unwrap_or("")
}

/// The latest limit of an upstream that the logs show before a step; `limits` are ordered by time.
fn describe_limit(limits: &[Step], upstream: &str, step: &Step) -> String {
    let before = limits
        .iter()
        .rev()
        .find(|limit| limit.at_ms <= step.at_ms && text_field(limit, "upstream") == upstream);
    let per_s = before.and_then(|limit| limit.fields.get("per_s")?.as_f64());
    per_s.map_or_else(String::new, |per_s| {
        format!(" of {per_s} requests per second")
    })
}

/// Names the latest restoration of the store before a refusal that depends on the facts, if it was shortly before.
fn describe_restoration(steps: &[Step], restorations: &[Step]) -> Option<String> {
    let answered = steps.iter().rev().find(|step| step.event == "answered")?;
    if !FACTS_REASONS.contains(&text_field(answered, "reason")) {
        return None;
    }
    let elapsed = |step: &Step| answered.at_ms.checked_sub(step.at_ms);
    let recent = restorations
        .iter()
        .filter_map(|step| Some((elapsed(step)?, step)));
    let (elapsed_ms, step) = recent.min_by_key(|(elapsed_ms, _)| *elapsed_ms)?;
    let era = step.fields.get("era").and_then(Value::as_u64)?;
    (elapsed_ms <= RECENT_RESTORATION_MS).then(|| {
        format!(" The store had been restored from a copy {elapsed_ms} ms before (era {era}).")
    })
}

/// Explains the outcome of a request in one sentence, or two if a limit sent it elsewhere.
fn explain_outcome(steps: &[Step], limits: &[Step]) -> String {
    let outcome = explain_response(steps, limits);
    let sent = steps.iter().rev().find(|step| step.event == "sent");
    let detour = sent.map(|step| (step, text_field(step, "instead_of")));
    match detour.filter(|(_, limited)| !limited.is_empty()) {
        Some((step, limited)) => format!(
            "{outcome} It was sent to {} instead of {limited}, whose limit{} (Server-Limit) was used up.",
            text_field(step, "upstream"),
            describe_limit(limits, limited, step),
        ),
        None => outcome,
    }
}

/// Explains why a stream ended before its last event.
fn explain_broken_stream(broken: &Step) -> String {
    let end = match text_field(broken, "cause") {
        "silent" => "sent nothing for too long",
        "out-of-time" => "did not end before the request timed out",
        _ => "broke off",
    };
    let reason = match text_field(broken, "not_resumed") {
        "not-events" => "a response that is no stream of events cannot be resumed",
        "out-of-time" => "no time was left to resume it",
        "no-retry" => {
            "its route allows no further attempt or the retry budget was used up, so it was not resumed"
        }
        "error-response" => "the upstream that should resume it responded with an error",
        _ => "no other upstream could resume it",
    };
    format!(
        "The stream of upstream {} {end} after event \"{}\" ({}), and {reason}.",
        text_field(broken, "upstream"),
        text_field(broken, "last_event"),
        text_field(broken, "detail"),
    )
}

/// Explains the response to a request in one sentence, from its last events.
fn explain_response(steps: &[Step], limits: &[Step]) -> String {
    let last = |event: &str| steps.iter().rev().find(|step| step.event == event);
    let sends = steps.iter().filter(|step| step.event == "sent").count();
    let upstream = last("sent").map_or("", |step| text_field(step, "upstream"));
    if let Some(broken) = last("stream-broken").filter(|s| s.fields["resumed"] == false) {
        return explain_broken_stream(broken);
    }
    let Some(answered) = last("answered") else {
        return format!(
            "No final response was logged: the caller disconnected or the process ended after {sends} attempts."
        );
    };
    let status = answered.fields.get("status").and_then(Value::as_u64);
    let status = status.unwrap_or_default();
    match text_field(answered, "reason") {
        "upstream" if status < 400 => format!("Upstream {upstream} served it on attempt {sends}."),
        "upstream" => format!("Upstream {upstream} itself responded with status {status}."),
        "broken-answer" => {
            let failed = last("attempt-failed").map_or("", |step| text_field(step, "detail"));
            format!(
                "It may have run at upstream {upstream}, whose response was not received completely ({failed}); it was not sent again."
            )
        }
        "stopping" if sends > 0 => format!(
            "The process was about to exit before upstream {upstream} responded; it may have run."
        ),
        "overload" => "Every upstream was too busy to start it in time; it has not run.".to_owned(),
        "upstreams-rest" => {
            let backoff = last("upstream-rests").map_or_else(String::new, |step| {
                let for_ms = step.fields.get("for_ms").and_then(Value::as_u64);
                let for_ms = for_ms.unwrap_or_default();
                format!(", most recently {} for {for_ms} ms", text_field(step, "upstream"))
            });
            format!(
                "Every upstream that may serve it has asked for a backoff{backoff}; it has not run."
            )
        }
        "upstreams-limited" => {
            let limited = text_field(answered, "limited");
            format!(
                "Every upstream that may serve it states a limit (Server-Limit) that is used up or asked for a backoff; {limited} with a limit{} accepts a request first; it has not run.",
                describe_limit(limits, limited, answered),
            )
        }
        "turned-away" | "no-upstream" if sends > 0 => {
            let failed = last("attempt-failed").map_or("", |step| text_field(step, "detail"));
            format!(
                "All {sends} upstreams that it was sent to refused it, most recently {upstream} ({failed}); it has not run."
            )
        }
        "no-upstream" => "No upstream of its service was eligible; it has not run.".to_owned(),
        "out-of-time" => format!("Its deadline passed before upstream {upstream} responded; it may have run."),
        "stale-facts" => format!(
            "The process had not verified its facts for {} ms, so it admitted no API key; it has not run.",
            answered.fields.get("belief_age_ms").and_then(Value::as_u64).unwrap_or_default(),
        ),
        "prompt-crashes-upstreams" => format!(
            "Upstreams crashed when they began to respond to requests with part {} of its prompt, so such requests are refused; it has not run.",
            text_field(answered, "part"),
        ),
        "crashes-upstreams" => "Upstreams that ran identical requests crashed three times, so it is not sent again until a test of it succeeds.".to_owned(),
        reason => format!("The process itself responded with status {status} because of {reason}, without forwarding it."),
    }
}
