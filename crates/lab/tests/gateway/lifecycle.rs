//! Shutdown, reloading and validation of settings, and startup without a store.

use std::{
    fs,
    time::{Duration, Instant},
};

use balsamjunction_lab::standin::platform::StoreFault;
use nix::sys::signal::Signal;

use crate::common::{event_ids, model_engine_options, plain_engine_options, wait_until, TestSite};

#[actix_rt::test]
async fn a_gateway_that_is_asked_to_stop_reports_not_ready_and_finishes_running_requests() {
    let mut site = TestSite::start().await;
    site.start_engine(model_engine_options("e1", 10, 100)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let running = actix_rt::spawn(async move { gateway.generate("a1").await });
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    site.processes
        .signal("g1", Signal::SIGTERM)
        .expect("the process runs");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let ready = gateway.is_ready().await;
    let late = gateway.generate("a2").await;
    let body = running.await.expect("the call does not panic").body;

    assert!(!ready);
    assert_eq!(event_ids(&body.expect("the stream is complete")).len(), 10);
    assert_eq!(
        event_ids(&late.body.expect("the stream is complete")).len(),
        10
    );
    wait_until("the process to exit", async || {
        site.processes
            .exit_success("g1")
            .expect("the process was started")
            == Some(true)
    })
    .await;
}

// Guards against a request that arrives long after the stop signal and is cut when the process exits: from 3 s on, the
// platform counts that as lost.
#[actix_rt::test]
async fn a_gateway_that_was_asked_to_stop_accepts_no_request_from_three_seconds_on() {
    let mut site = TestSite::start().await;
    site.start_engine(model_engine_options("e1", 2, 10)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let signalled_at = Instant::now();
    site.processes
        .signal("g1", Signal::SIGTERM)
        .expect("the process runs");
    actix_rt::time::sleep(Duration::from_millis(2_000)).await;

    let early = gateway.generate("a1").await;
    let mut late = Vec::new();
    while signalled_at.elapsed() < Duration::from_millis(3_150) {
        let sent = signalled_at.elapsed();
        let got = gateway.generate("a2").await;
        if sent >= Duration::from_secs(3) {
            late.push(got.status);
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }

    assert_eq!(early.status, 200);
    assert!(!late.is_empty());
    assert!(late.iter().all(|status| *status == 503), "{late:?}");
}

#[actix_rt::test]
async fn changed_settings_are_applied_and_invalid_settings_are_ignored() {
    let mut site = TestSite::start().await;
    let order_desk = site.start_engine(plain_engine_options("d1")).await;
    let gateway = site.start_gateway("g1", &[]);
    site.start_stager("s1", &order_desk, &[gateway]);
    gateway.wait_until_ready().await;
    let path = site.settings_path("g1");
    let settings = fs::read_to_string(&path).expect("read the settings");

    fs::write(
        &path,
        settings.replace("\"seeds\":[]", "\"seeds\":[\"127.0.0.1:9\"]"),
    )
    .expect("write the settings");
    wait_until("the change to be applied without a signal", async || {
        let lines = site.log_lines("g1", "process");
        lines.iter().any(|l| {
            l["detail"]
                .as_str()
                .is_some_and(|d| d.contains("127.0.0.1:9"))
        })
    })
    .await;
    fs::write(&path, "{ \"host\": ").expect("write the settings");
    for process in ["g1", "s1"] {
        site.processes
            .signal(process, Signal::SIGHUP)
            .expect("the process runs");
    }
    wait_until("invalid settings to be refused", async || {
        let lines = site.log_lines("g1", "process");
        lines.iter().any(|l| {
            l["detail"]
                .as_str()
                .is_some_and(|d| d.starts_with("refused"))
        })
    })
    .await;
    let response = gateway.call("GET", "/stock/1", "a1").await;

    assert_eq!(response.status, 200);
    assert_eq!(
        site.processes
            .exit_success("s1")
            .expect("the process was started"),
        None
    );
}

#[actix_rt::test]
async fn facts_that_were_stale_when_a_process_started_authorise_no_key() {
    let mut site = TestSite::start().await;
    site.start_engine(plain_engine_options("d1")).await;
    let first = site.start_gateway("g1", &[]);
    first.wait_until_ready().await;
    wait_until("a call to be served", async || {
        first.call("POST", "/stock/1", "a0").await.status == 200
    })
    .await;
    site.store.set_fault(StoreFault::Down);
    // Longer than the time for which a revoked key may still work (`revoke_within_ms`).
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;

    let second = site.start_gateway("g2", &[first]);
    wait_until("facts from the other gateway", async || {
        !site.log_lines("g2", "belief").is_empty()
    })
    .await;

    let response = second.call("POST", "/stock/1", "a1").await;
    assert_eq!(response.status, 503, "{:?}", response.body);
    assert!(!second.is_ready().await);
}

// Guards against a request that still waits at an upstream when the process exits and whose connection ends without an
// answer.
#[actix_rt::test]
async fn a_request_without_a_response_is_answered_before_a_stopping_gateway_exits() {
    let mut site = TestSite::start().await;
    site.update_config(|config| config["routes"][0]["timeoutMs"] = 20_000.into());
    let engine = site.start_engine(model_engine_options("e1", 2, 10)).await;
    engine.set_queue_wait(Duration::from_secs(20));
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let running = actix_rt::spawn(async move { gateway.open_stream("a1").await });
    wait_until("the engine to have the request", async || {
        engine.arrival_count() == 1
    })
    .await;

    site.processes
        .signal("g1", Signal::SIGTERM)
        .expect("the process runs");
    let mut response = running.await.expect("the gateway responds");

    assert_eq!(response.status(), 502);
    let body = response.body().await.expect("the response is complete");
    assert_eq!(body, "stopping");
}
