//! Stops, reloads and settings with faults.

use std::{fs, time::Duration};

use balsamjunction_lab::standin::platform::StoreFault;
use nix::sys::signal::Signal;

use crate::common::{event_ids, model_engine_options, plain_engine_options, wait_until, TestSite};

#[actix_rt::test]
async fn a_gateway_that_is_told_to_stop_leaves_the_balancer_and_finishes_what_runs() {
    let mut site = TestSite::start().await;
    site.start_engine(model_engine_options("e1", 10, 100)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let running = actix_rt::spawn(async move { gateway.generate("a1").await });
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    site.processes
        .signal("g1", Signal::SIGTERM)
        .expect("the process is there");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let ready = gateway.is_ready().await;
    let late = gateway.generate("a2").await;
    let body = running.await.expect("the call ends").body;

    assert!(!ready);
    assert_eq!(event_ids(&body.expect("the stream is whole")).len(), 10);
    assert_eq!(
        event_ids(&late.body.expect("the stream is whole")).len(),
        10
    );
    wait_until("the process to end", async || {
        site.processes.exit_success("g1").expect("it was started") == Some(true)
    })
    .await;
}

#[actix_rt::test]
async fn settings_that_change_are_taken_over_and_faults_change_nothing() {
    let mut site = TestSite::start().await;
    let desk = site.start_engine(plain_engine_options("d1")).await;
    let gateway = site.start_gateway("g1", &[]);
    site.start_stager("s1", &desk, &[gateway]);
    gateway.wait_until_ready().await;
    let path = site.settings_path("g1");
    let settings = fs::read_to_string(&path).expect("it was written");

    fs::write(
        &path,
        settings.replace("\"seeds\":[]", "\"seeds\":[\"127.0.0.1:9\"]"),
    )
    .expect("it can be written");
    wait_until("the change without a signal", async || {
        let lines = site.log_lines("g1", "process");
        lines.iter().any(|l| {
            l["detail"]
                .as_str()
                .is_some_and(|d| d.contains("127.0.0.1:9"))
        })
    })
    .await;
    fs::write(&path, "{ \"host\": ").expect("it can be written");
    for process in ["g1", "s1"] {
        site.processes
            .signal(process, Signal::SIGHUP)
            .expect("it runs");
    }
    wait_until("the refusal of settings with faults", async || {
        let lines = site.log_lines("g1", "process");
        lines.iter().any(|l| {
            l["detail"]
                .as_str()
                .is_some_and(|d| d.starts_with("refused"))
        })
    })
    .await;
    let got = gateway.call("GET", "/stock/1", "a1").await;

    assert_eq!(got.status, 200);
    assert_eq!(
        site.processes.exit_success("s1").expect("it was started"),
        None
    );
}

#[actix_rt::test]
async fn facts_that_were_old_when_a_process_started_admit_no_key() {
    let mut site = TestSite::start().await;
    site.start_engine(plain_engine_options("d1")).await;
    let first = site.start_gateway("g1", &[]);
    first.wait_until_ready().await;
    wait_until("a call that is served", async || {
        first.call("POST", "/stock/1", "a0").await.status == 200
    })
    .await;
    site.store.set_fault(StoreFault::Down);
    // Longer than a key that was taken away may work.
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;

    let second = site.start_gateway("g2", &[first]);
    wait_until("facts from the other gateway", async || {
        !site.log_lines("g2", "belief").is_empty()
    })
    .await;

    let got = second.call("POST", "/stock/1", "a1").await;
    assert_eq!(got.status, 503, "{:?}", got.body);
    assert!(!second.is_ready().await);
}
