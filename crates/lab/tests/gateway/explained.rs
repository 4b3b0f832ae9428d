//! Diagnosis of failed requests from log lines alone (`balsamjunction explain-request`).

use std::{path::PathBuf, process::Command, time::Duration};

use balsamjunction_lab::standin::platform::EngineFault;
use futures_util::{stream, StreamExt};
use serde_json::Value;

use crate::common::{model_engine_options, plain_engine_options, wait_until, TestSite};

/// Runs `balsamjunction explain-request` on a gateway's log and parses its JSON output.
fn explain_request(site: &TestSite, id: &str, gateway: &str) -> Value {
    let test_program = std::env::current_exe().expect("the path of the test program is known");
    let tool: PathBuf = test_program.with_file_name("balsamjunction");
    let tool = match tool.exists() {
        true => tool,
        false => test_program
            .parent()
            .and_then(|deps| Some(deps.parent()?.join("balsamjunction")))
            .expect("the tool is built"),
    };
    let output = Command::new(tool)
        .args(["explain-request", id, "--json"])
        .arg(site.log_path(gateway))
        .output()
        .expect("the tool runs");
    serde_json::from_slice(&output.stdout).unwrap_or_default()
}

/// Returns the cause that the tool reports, once the log has the line of the final response.
pub async fn explained_cause(site: &TestSite, id: &str, gateway: &str) -> String {
    wait_until("the log line of the final response", async || {
        site.log_lines(gateway, "answered")
            .iter()
            .any(|line| line["id"] == id)
    })
    .await;
    // The log line about a broken stream follows the one about its head.
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    explain_request(site, id, gateway)["cause"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

#[actix_rt::test]
async fn a_refusal_is_traced_to_the_lack_of_upstreams() {
    let mut site = TestSite::start().await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let got = gateway.call("POST", "/order/new", "a1").await;

    assert_eq!(got.status, 503);
    let cause = explained_cause(&site, "a1", "g1").await;
    assert!(
        cause.contains("No upstream") && cause.contains("has not run"),
        "{cause}"
    );
}

#[actix_rt::test]
async fn a_broken_stream_is_traced_to_its_engine_and_its_last_event() {
    let mut site = TestSite::start().await;
    let broken = site.start_engine(model_engine_options("e1", 6, 20)).await;
    broken.set_fault(EngineFault::TruncateAfter(3));
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let got = gateway.generate("a1").await;

    assert_eq!(got.body, None);
    let cause = explained_cause(&site, "a1", "g1").await;
    assert!(
        cause.contains("e1") && cause.contains("event \"3\""),
        "{cause}"
    );
}

#[actix_rt::test]
async fn an_unknown_outcome_is_traced_to_the_lost_response() {
    let mut site = TestSite::start().await;
    let lost = site.start_engine(plain_engine_options("d1")).await;
    lost.set_fault(EngineFault::ResponseLost);
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let got = gateway.call("POST", "/order/new", "a1").await;

    assert_eq!(got.status, 502);
    let cause = explained_cause(&site, "a1", "g1").await;
    assert!(cause.contains("may have run at upstream d1"), "{cause}");
}

#[actix_rt::test]
async fn a_request_that_every_upstream_refused_is_traced_to_them() {
    let mut site = TestSite::start().await;
    for id in ["d1", "d2"] {
        let full = site.start_engine(plain_engine_options(id)).await;
        full.set_fault(EngineFault::Overloaded);
    }
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let got = gateway.call("POST", "/stock/1", "a1").await;

    assert_eq!(got.status, 503);
    let cause = explained_cause(&site, "a1", "g1").await;
    assert!(
        cause.contains("All 2 upstreams") && cause.contains("has not run"),
        "{cause}"
    );
}

// Guards against a refusal or a detour for a limit that neither the log nor a metric names.
#[actix_rt::test]
async fn a_detour_and_a_refusal_for_a_limit_are_traced_to_the_limited_upstream() {
    let mut site = TestSite::start().await;
    let limited = site.start_engine(plain_engine_options("d1")).await;
    limited.set_limit(Some("0.2"));
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    gateway.call("GET", "/stock/1", "first").await;
    let refused = gateway.call("GET", "/stock/1", "refused").await;
    // In another data centre, so that the limited upstream is preferred.
    let mut other = plain_engine_options("d2");
    other.data_centre = "mekelle-a".into();
    site.start_engine(other).await;
    wait_until("the gateway to route to it", async || {
        gateway.call("GET", "/stock/1", "detour").await.status == 200
    })
    .await;

    let refusal = explained_cause(&site, "refused", "g1").await;
    let detour = explained_cause(&site, "detour", "g1").await;
    let metric = async |name: &str| gateway.metric(&format!("balsamjunction_{name}")).await;

    assert_eq!(refused.status, 503);
    let stated = "d1 with a limit of 0.2 requests per second";
    assert!(
        refusal.contains(stated) && refusal.contains("has not run"),
        "{refusal}"
    );
    let stated = "instead of d1, whose limit of 0.2 requests per second";
    assert!(detour.contains(stated), "{detour}");
    assert!(metric("limit_detours_total").await >= Some(1.0));
    assert_eq!(metric("limit_responses_total").await, Some(1.0));
    assert_eq!(metric("upstreams{state=\"limited\"}").await, Some(1.0));
    let labels = "{pool=\"stock\",outcome=\"503\",refusal=\"upstreams-limited\"}";
    assert!(metric(&format!("requests_total{labels}")).await >= Some(1.0));
}

#[actix_rt::test]
async fn metrics_report_facts_members_upstreams_and_the_error_of_estimates() {
    let mut site = TestSite::start().await;
    site.start_engine(model_engine_options("e1", 3, 20)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    wait_until("the gateway to count the upstream", async || {
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
    // Four fifths of the slack and of the budget that one request adds.
    assert_eq!(metric("retries_left").await, Some(16.0));
}

#[actix_rt::test]
async fn under_load_no_log_line_of_a_non_idempotent_call_is_sampled_out() {
    let mut site = TestSite::start().await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let calls = (0..900).map(|n| {
        let gateway = &gateway;
        async move {
            // One call in ten is non-idempotent.
            let (path, id) = match n % 10 {
                0 => ("/order/new", format!("once{n}")),
                _ => ("/stock/1", format!("many{n}")),
            };
            gateway.call("POST", path, &id).await.status
        }
    });
    let calls = stream::iter(calls).buffer_unordered(30);
    let statuses: Vec<u16> = calls.collect().await;

    assert!(
        statuses.iter().all(|status| *status == 503),
        "every request is refused without an upstream"
    );
    let sampled = gateway.metric("balsamjunction_sampled_lines_total").await;
    assert!(sampled > Some(0.0), "no line was sampled out");
    let answered = |prefix: &str| {
        let lines = site.log_lines("g1", "answered");
        let matching = lines.iter().filter(|line| {
            let id = line["id"].as_str().unwrap_or_default();
            id.starts_with(prefix)
        });
        matching.count()
    };
    wait_until("the log lines of non-idempotent calls", async || {
        answered("once") == 90
    })
    .await;
    assert!(answered("many") < 810);
}
