//! Stops, reloads and settings with faults.

use std::{fs, time::Duration};

use balsamjunction_lab::standin::platform::StoreFault;
use nix::sys::signal::Signal;

use crate::common::{engine, event_ids, plain, until, Site};

#[actix_rt::test]
async fn a_gateway_that_is_told_to_stop_leaves_the_balancer_and_finishes_what_runs() {
    let mut site = Site::start().await;
    site.engine(engine("e1", 10, 100)).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let running = actix_rt::spawn(async move { gateway.generate("a1").await });
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    site.processes
        .signal("g1", Signal::SIGTERM)
        .expect("the process is there");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let ready = gateway.ready().await;
    let late = gateway.generate("a2").await;
    let body = running.await.expect("the call ends").body;

    assert!(!ready);
    assert_eq!(event_ids(&body.expect("the stream is whole")).len(), 10);
    assert_eq!(
        event_ids(&late.body.expect("the stream is whole")).len(),
        10
    );
    until("the process to end", async || {
        site.processes.exit_success("g1").expect("it was started") == Some(true)
    })
    .await;
}

#[actix_rt::test]
async fn settings_that_change_are_taken_over_and_faults_change_nothing() {
    let mut site = Site::start().await;
    let desk = site.engine(plain("d1")).await;
    let gateway = site.gateway("g1", &[]);
    site.stager("s1", &desk, &[gateway]);
    gateway.until_ready().await;
    let path = site.settings_path("g1");
    let settings = fs::read_to_string(&path).expect("it was written");

    fs::write(
        &path,
        settings.replace("\"seeds\":[]", "\"seeds\":[\"127.0.0.1:9\"]"),
    )
    .expect("it can be written");
    until("the change without a signal", async || {
        let lines = site.lines("g1", "process");
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
    until("the refusal of settings with faults", async || {
        let lines = site.lines("g1", "process");
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
    let mut site = Site::start().await;
    site.engine(plain("d1")).await;
    let first = site.gateway("g1", &[]);
    first.until_ready().await;
    until("a call that is served", async || {
        first.call("POST", "/stock/1", "a0").await.status == 200
    })
    .await;
    site.store.set_fault(StoreFault::Down);
    // Longer than a key that was taken away may work.
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;

    let second = site.gateway("g2", &[first]);
    until("facts from the other gateway", async || {
        !site.lines("g2", "belief").is_empty()
    })
    .await;

    let got = second.call("POST", "/stock/1", "a1").await;
    assert_eq!(got.status, 503, "{:?}", got.body);
    assert!(!second.ready().await);
}
