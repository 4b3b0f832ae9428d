//! `explain-request`: builds the timeline of a request from the log lines of several processes.

use std::{io::Write, path::PathBuf};

use serde_json::{json, Map, Value};

use super::read_file;
use crate::error::CliError;

/// Fields that a line of the timeline does not repeat as `name=value`.
const HEADING_FIELDS: [&str; 3] = ["at_ms", "event", "id"];

/// A log line of the request.
struct Step {
    at_ms: u64,
    event: String,
    fields: Map<String, Value>,
}

/// Writes the events of a request in order of time, and a sentence that explains its outcome.
pub fn run(id: &str, files: &[PathBuf], json: bool, out: &mut dyn Write) -> Result<(), CliError> {
    let mut steps = Vec::new();
    for file in files {
        let buf = read_file(file)?;
        let text = String::from_utf8_lossy(&buf);
        steps.extend(text.lines().filter_map(|line| parse_step(line, id)));
    }
    if steps.is_empty() {
        return Err(CliError::RequestNotFound { id: id.into() });
    }
    steps.sort_by_key(|step| step.at_ms);
    let cause = explain_outcome(&steps);
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

/// Parses a log line of the request; skips other lines, also those that are not in the structured format.
fn parse_step(line: &str, id: &str) -> Option<Step> {
    let start = line.find('{')?;
    let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else {
        return None;
    };
    if fields.get("id")?.as_str()? != id {
        return None;
    }
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

/// Explains the outcome of a request in one sentence, from its last events.
fn explain_outcome(steps: &[Step]) -> String {
    let last = |event: &str| steps.iter().rev().find(|step| step.event == event);
    let sends = steps.iter().filter(|step| step.event == "sent").count();
    let upstream = last("sent").map_or("", |step| text_field(step, "upstream"));
    if let Some(broken) = last("stream-broken").filter(|s| s.fields["resumed"] == false) {
        return format!(
            "The stream of upstream {} broke off after event \"{}\" ({}), and no other upstream could resume it.",
            text_field(broken, "upstream"),
            text_field(broken, "last_event"),
            text_field(broken, "detail"),
        );
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
        "crashes-upstreams" => "Upstreams that ran it crashed three times; it is not run again.".to_owned(),
        reason => format!("The process itself responded with status {status} because of {reason}, without forwarding it."),
    }
}
