//! Upstreams that state a relative service time.

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::{Engine, EngineOptions};
use serde_json::{json, Value};

use crate::common::{plain_engine_options, wait_until, Gateway, TestSite};

/// Work of a request at nominal speed. A gateway expects less before it has seen any.
const WORK: Duration = Duration::from_millis(60);
/// Relative service time of a slow upstream, at which a request takes longer than the silence after which another
/// upstream is tried anyway (1.5 s).
const SLOW_PERCENT: u32 = 5_000;

/// Starts two plain upstreams and a gateway that has sent requests to them.
async fn start_site(percent: Option<u32>) -> (TestSite, [Engine; 2], Gateway) {
    let mut site = TestSite::start().await;
    let options = |id| EngineOptions {
        pause: WORK,
        ..plain_engine_options(id)
    };
    let engines = [
        site.start_engine(options("p1")).await,
        site.start_engine(options("p2")).await,
    ];
    for engine in &engines {
        engine.set_service_time(percent);
    }
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    for n in 0..12 {
        let id = format!("warm-{n}");
        let got = gateway.call("GET", "/stock/1", &id).await;
        assert_eq!(got.status, 200);
    }
    (site, engines, gateway)
}

/// Sends a request, and makes the upstream that has it slow; returns that upstream, the one that responded, and the
/// time until the response.
async fn call_while_its_upstream_turns_slow(
    engines: &[Engine; 2],
    gateway: Gateway,
    path: &'static str,
) -> (String, Option<String>, Duration) {
    let started = Instant::now();
    let running = actix_rt::spawn(async move { gateway.call("GET", path, "a1").await });
    let runs_it = |engine: &&Engine| engine.runs().iter().any(|run| run.id == "a1");
    wait_until("the request to be sent", async || {
        engines.iter().any(|engine| runs_it(&engine))
    })
    .await;
    let slow = engines.iter().find(runs_it).expect("an upstream has it");
    slow.set_service_time(Some(SLOW_PERCENT));
    let got = running.await.expect("the call does not panic");
    (
        slow.options.id.to_string(),
        got.signature,
        started.elapsed(),
    )
}

/// Waits for log lines of an event, which are written by a thread of their own.
async fn wait_for_lines(site: &TestSite, event: &str) -> Vec<Value> {
    wait_until(event, async || !site.log_lines("g1", event).is_empty()).await;
    site.log_lines("g1", event)
}

// Guards against a request that misses its target because its upstream turns slow after it was sent, although another
// one could still meet the target.
#[actix_rt::test]
async fn a_repeatable_request_whose_upstream_turns_slow_is_also_sent_to_another_one() {
    let (site, engines, gateway) = start_site(Some(100)).await;

    let (slow, served_by, took) =
        call_while_its_upstream_turns_slow(&engines, gateway, "/stock/2").await;

    assert!(served_by.is_some_and(|id| id != slow), "{slow} served it");
    assert!(took < Duration::from_millis(1_400), "{took:?}");
    let copies = wait_for_lines(&site, "second-copy").await;
    assert_eq!(copies.len(), 1, "{copies:?}");
    assert_eq!(copies[0]["upstream"], json!(slow));
    assert_eq!(copies[0]["service_time_percent"], json!(100));
    let won = "balsamjunction_second_copies_total{state=\"won\"}";
    assert_eq!(gateway.metric(won).await, Some(1.0));
}

// Guards against a second run of a request that may run only once.
#[actix_rt::test]
async fn a_request_that_runs_once_stays_at_an_upstream_that_turns_slow() {
    let (site, engines, gateway) = start_site(Some(100)).await;

    let (slow, served_by, _) =
        call_while_its_upstream_turns_slow(&engines, gateway, "/order/2").await;

    assert_eq!(served_by, Some(slow));
    wait_for_lines(&site, "upstream-silent").await;
    assert!(site.log_lines("g1", "second-copy").is_empty());
}

// Guards against a change for services whose upstreams state no service time.
#[actix_rt::test]
async fn without_a_stated_service_time_no_second_copy_is_sent_before_the_upstream_is_silent() {
    let (site, engines, gateway) = start_site(None).await;

    let (slow, served_by, took) =
        call_while_its_upstream_turns_slow(&engines, gateway, "/stock/2").await;

    assert!(served_by.is_some_and(|id| id != slow), "{slow} served it");
    assert!(took >= Duration::from_millis(1_400), "{took:?}");
    wait_for_lines(&site, "upstream-silent").await;
    assert!(site.log_lines("g1", "second-copy").is_empty());
}
