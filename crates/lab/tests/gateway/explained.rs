//! From a request's id to the cause of its failure, by log lines alone.

use std::{path::PathBuf, process::Command, time::Duration};

use balsamjunction_lab::standin::platform::EngineFault;
use futures_util::{stream, StreamExt};
use serde_json::Value;

use crate::common::{engine, plain, until, Site};

/// What the operators' tool says of a request.
fn explained(site: &Site, id: &str) -> Value {
    let own = std::env::current_exe().expect("a test has a program");
    let tool: PathBuf = own.with_file_name("balsamjunction");
    let tool = match tool.exists() {
        true => tool,
        false => own
            .parent()
            .and_then(|deps| Some(deps.parent()?.join("balsamjunction")))
            .expect("the tool is built"),
    };
    let output = Command::new(tool)
        .args(["explain-request", id, "--json"])
        .arg(site.log_path("g1"))
        .output()
        .expect("the tool runs");
    serde_json::from_slice(&output.stdout).unwrap_or_default()
}

async fn cause(site: &Site, id: &str) -> String {
    until("the line of the final answer", async || {
        site.lines("g1", "answered")
            .iter()
            .any(|line| line["id"] == id)
    })
    .await;
    // The line about a broken stream follows that about its head.
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    explained(site, id)["cause"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

#[actix_rt::test]
async fn a_refusal_is_traced_to_the_want_of_upstreams() {
    let mut site = Site::start().await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let got = gateway.call("POST", "/order/new", "a1").await;

    assert_eq!(got.status, 503);
    let cause = cause(&site, "a1").await;
    assert!(
        cause.contains("No upstream") && cause.contains("has not run"),
        "{cause}"
    );
}

#[actix_rt::test]
async fn a_broken_stream_is_traced_to_its_engine_and_its_last_event() {
    let mut site = Site::start().await;
    let breaks = site.engine(engine("e1", 6, 20)).await;
    breaks.set_fault(EngineFault::TruncateAfter(3));
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let got = gateway.generate("a1").await;

    assert_eq!(got.body, None);
    let cause = cause(&site, "a1").await;
    assert!(
        cause.contains("e1") && cause.contains("event \"3\""),
        "{cause}"
    );
}

#[actix_rt::test]
async fn an_unknown_outcome_is_traced_to_the_answer_that_was_lost() {
    let mut site = Site::start().await;
    let lost = site.engine(plain("d1")).await;
    lost.set_fault(EngineFault::ResponseLost);
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let got = gateway.call("POST", "/order/new", "a1").await;

    assert_eq!(got.status, 502);
    let cause = cause(&site, "a1").await;
    assert!(cause.contains("may have run at upstream d1"), "{cause}");
}

#[actix_rt::test]
async fn a_request_that_every_upstream_turned_away_is_traced_to_them() {
    let mut site = Site::start().await;
    for id in ["d1", "d2"] {
        let full = site.engine(plain(id)).await;
        full.set_fault(EngineFault::Overloaded);
    }
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let got = gateway.call("POST", "/stock/1", "a1").await;

    assert_eq!(got.status, 503);
    let cause = cause(&site, "a1").await;
    assert!(
        cause.contains("All 2 upstreams") && cause.contains("has not run"),
        "{cause}"
    );
}

#[actix_rt::test]
async fn metrics_show_facts_members_upstreams_and_how_estimates_hold() {
    let mut site = Site::start().await;
    site.engine(engine("e1", 3, 20)).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    until("the upstream", async || {
        gateway.metric("balsamjunction_upstreams").await == Some(1.0)
    })
    .await;

    gateway.generate("a1").await;

    let metric = async |name: &str| gateway.metric(&format!("balsamjunction_{name}")).await;
    let age = metric("facts_age_seconds")
        .await
        .expect("facts have an age");
    assert!((0.0..2.0).contains(&age), "{age} s");
    assert_eq!(metric("first_event_ratio_count").await, Some(1.0));
    assert_eq!(metric("pause_seconds_count").await, Some(1.0));
    assert_eq!(metric("requests_total").await, Some(1.0));
    assert_eq!(metric("dropped_lines_total").await, Some(0.0));
    // Four fifths of the slack and of what one request earns.
    assert_eq!(metric("retries_left").await, Some(16.0));
}

#[actix_rt::test]
async fn under_load_the_lines_of_calls_that_may_run_once_all_stay() {
    let mut site = Site::start().await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let calls = (0..900).map(|n| {
        let gateway = &gateway;
        async move {
            // One in ten may run once at most.
            let (path, id) = match n % 10 {
                0 => ("/order/new", format!("once{n}")),
                _ => ("/stock/1", format!("many{n}")),
            };
            gateway.call("POST", path, &id).await.status
        }
    });
    let calls = stream::iter(calls).buffer_unordered(30);
    let statuses: Vec<u16> = calls.collect().await;

    assert!(statuses.iter().all(|status| *status == 503), "no upstream");
    let sampled = gateway.metric("balsamjunction_sampled_lines_total").await;
    assert!(sampled > Some(0.0), "nothing was left out");
    let answered = |prefix: &str| {
        let lines = site.lines("g1", "answered");
        let of = lines.iter().filter(|line| {
            let id = line["id"].as_str().unwrap_or_default();
            id.starts_with(prefix)
        });
        of.count()
    };
    until("the lines", async || answered("once") == 90).await;
    assert!(answered("many") < 810);
}
