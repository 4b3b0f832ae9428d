//! `explain-request`: one request's timeline from the log lines of several processes.

use std::{io::Write, path::PathBuf};

use serde_json::{json, Map, Value};

use super::read_file;
use crate::error::CliError;

/// Fields that stand elsewhere in a line of the timeline.
const SHOWN_APART: [&str; 3] = ["at_ms", "event", "id"];

/// A log line about the request.
struct Step {
    at_ms: u64,
    event: String,
    fields: Map<String, Value>,
}

/// Writes what was decided about a request, in the order of time, and its cause in a sentence.
pub fn run(id: &str, files: &[PathBuf], json: bool, out: &mut dyn Write) -> Result<(), CliError> {
    let mut steps = Vec::new();
    for file in files {
        let buf = read_file(file)?;
        let text = String::from_utf8_lossy(&buf);
        steps.extend(text.lines().filter_map(|line| step(line, id)));
    }
    if steps.is_empty() {
        return Err(CliError::RequestNotFound { id: id.into() });
    }
    steps.sort_by_key(|step| step.at_ms);
    let cause = cause(&steps);
    if json {
        let steps: Vec<Value> = steps.into_iter().map(|s| Value::Object(s.fields)).collect();
        writeln!(out, "{}", json!({"id": id, "steps": steps, "cause": cause}))?;
        return Ok(());
    }
    let began = steps.first().map_or(0, |step| step.at_ms);
    for step in &steps {
        let fields = step.fields.iter();
        let fields = fields.filter(|(name, _)| !SHOWN_APART.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let after = step.at_ms - began;
        writeln!(
            out,
            "+{after:>6} ms  {:<15} {}",
            step.event,
            fields.join(" ")
        )?;
    }
    writeln!(out, "{cause}")?;
    Ok(())
}

/// Reads a line if it is about the request; other processes may write lines of another form.
fn step(line: &str, id: &str) -> Option<Step> {
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

fn text<'s>(step: &'s Step, name: &str) -> &'s str {
    step.fields.get(name).and_then(Value::as_str).unwrap_or("")
}

fn cause(steps: &[Step]) -> String {
    let last = |event: &str| steps.iter().rev().find(|step| step.event == event);
    let sends = steps.iter().filter(|step| step.event == "sent").count();
    let upstream = last("sent").map_or("", |step| text(step, "upstream"));
    if let Some(broken) = last("stream-broken").filter(|s| s.fields["resumed"] == false) {
        return format!(
            "The stream broke off at upstream {} after event \"{}\" ({}), and no other upstream could go on.",
            text(broken, "upstream"),
            text(broken, "last_event"),
            text(broken, "detail"),
        );
    }
    let Some(answered) = last("answered") else {
        return format!(
            "No final answer was written: the caller left, or the process ended, after {sends} sends."
        );
    };
    let status = answered.fields.get("status").and_then(Value::as_u64);
    let status = status.unwrap_or_default();
    match text(answered, "reason") {
        "upstream" if status < 400 => format!("Upstream {upstream} served it on send {sends}."),
        "upstream" => format!("Upstream {upstream} itself answered with {status}."),
        "broken-answer" => {
            let failed = last("attempt-failed").map_or("", |step| text(step, "detail"));
            format!(
                "It may have run at upstream {upstream}, whose answer never came whole ({failed}); it was not sent again."
            )
        }
        "overload" => "Every upstream was too busy to begin it in its wanted time; it has not run.".to_owned(),
        "upstreams-rest" => {
            let rests = last("upstream-rests").map_or_else(String::new, |step| {
                let for_ms = step.fields.get("for_ms").and_then(Value::as_u64);
                let for_ms = for_ms.unwrap_or_default();
                format!(", at last {} for {for_ms} ms", text(step, "upstream"))
            });
            format!(
                "Every upstream that may serve it has said that it wants nothing for a while{rests}; it has not run."
            )
        }
        "turned-away" | "no-upstream" if sends > 0 => {
            let failed = last("attempt-failed").map_or("", |step| text(step, "detail"));
            format!(
                "All {sends} upstreams that were asked turned it away, at last {upstream} ({failed}); it has not run."
            )
        }
        "no-upstream" => "No upstream of its service was left that may serve it; it has not run.".to_owned(),
        "out-of-time" => format!("Its time was over before upstream {upstream} answered; it may have run."),
        "stale-facts" => format!(
            "The process could not prove its facts for {} ms, so no key was admitted; it has not run.",
            answered.fields.get("belief_age_ms").and_then(Value::as_u64).unwrap_or_default(),
        ),
        "crashes-upstreams" => "Upstreams that ran it broke three times; it is not run any more.".to_owned(),
        reason => format!("It was answered with {status} because of {reason}, before it was passed on."),
    }
}
