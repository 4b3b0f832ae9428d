//! Upstreams that send nothing for a while: another one is tried as well, and the request is not given up.

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::{EngineFault, Script};
use bytes::Bytes;
use futures_util::StreamExt;
use nix::sys::signal::Signal;

use crate::common::{event_ids, model_engine_options, Gateway, TestSite};

/// Longer than the silence after which another upstream is tried, and short enough for two within the time limit.
const LONG_PAUSE_MS: u64 = 1_700;

/// Reads a stream without a time limit of the caller; `None` if it breaks off.
async fn read_stream(gateway: Gateway, id: &str) -> Option<String> {
    let mut response = gateway.open_stream(id).await;
    let mut body = String::new();
    while let Some(buf) = response.next().await {
        body.push_str(std::str::from_utf8(&buf.ok()?).ok()?);
    }
    Some(body)
}

// Guards against a stream that its own gateway cuts because a sound engine pauses and no other can take its place.
#[actix_rt::test]
async fn a_stream_whose_engine_pauses_is_completed_around_a_planned_stop() {
    let mut site = TestSite::start().await;
    site.start_engine(model_engine_options("e1", 2, LONG_PAUSE_MS))
        .await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let running = actix_rt::spawn(read_stream(gateway, "a1"));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    site.processes
        .signal("g1", Signal::SIGTERM)
        .expect("the process runs");
    let body = running.await.expect("the call does not panic");

    assert_eq!(event_ids(&body.expect("the stream is complete")), [1, 2]);
    assert!(!site.log_lines("g1", "upstream-silent").is_empty());
}

// Guards against a request that waits at a busy engine and is answered 502 because no other engine can run it.
#[actix_rt::test]
async fn a_request_that_waits_at_its_only_engine_is_served_there() {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(model_engine_options("e1", 3, 10)).await;
    engine.set_queue_wait(Duration::from_millis(LONG_PAUSE_MS));
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let got = gateway.generate("a1").await;

    assert_eq!(got.status, 200);
    assert_eq!(
        event_ids(&got.body.expect("the stream is complete")),
        [1, 2, 3]
    );
    assert_eq!(engine.runs().len(), 1);
}

// Guards against a stalled engine that is waited for until the time limit although another one is free.
#[actix_rt::test]
async fn a_stalled_stream_goes_on_at_another_engine_and_has_each_event_once() {
    let mut site = TestSite::start().await;
    site.start_engine(model_engine_options("e1", 4, 60_000))
        .await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let running = actix_rt::spawn(read_stream(gateway, "a1"));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let other = site.start_engine(model_engine_options("e2", 4, 20)).await;
    let started = Instant::now();

    let body = running.await.expect("the call does not panic");

    assert_eq!(
        event_ids(&body.expect("the stream is complete")),
        [1, 2, 3, 4]
    );
    assert_eq!(other.runs().len(), 1);
    assert!(started.elapsed() < Duration::from_millis(3_000));
}

// Guards against a dead engine that holds a request although another one can serve it.
#[actix_rt::test]
async fn a_request_without_a_response_is_also_sent_to_another_engine() {
    let mut site = TestSite::start().await;
    let dead = site.start_engine(model_engine_options("e1", 3, 10)).await;
    dead.set_fault(EngineFault::NoResponse);
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let running = actix_rt::spawn(async move { gateway.generate("a1").await });
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    site.start_engine(model_engine_options("e2", 3, 10)).await;

    let got = running.await.expect("the call does not panic");

    assert_eq!(got.signature.as_deref(), Some("e2"));
    assert_eq!(
        event_ids(&got.body.expect("the stream is complete")),
        [1, 2, 3]
    );
}

/// Breaks a stream after its first event, with another upstream that answers the rest of it by `opening`.
async fn resume_at(opening: &str) -> Option<String> {
    let mut site = TestSite::start().await;
    let broken = site.start_engine(model_engine_options("e1", 6, 150)).await;
    broken.set_fault(EngineFault::TruncateAfter(2));
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let running = actix_rt::spawn(read_stream(gateway, "a1"));
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let script = Script {
        opening: opening.to_owned(),
        ..Script::default()
    };
    let faulty = site
        .start_scripted_server(model_engine_options("e2", 6, 20), script)
        .await;
    let body = running.await.expect("the call does not panic");
    assert_eq!(faulty.requests(), 1, "{opening}");
    body
}

// Guards against an error's text or another body in the middle of a stream, and against a stream that ends as if it
// were complete (reported by other operators).
#[actix_rt::test]
async fn a_broken_stream_that_the_next_engine_answers_with_an_error_never_looks_complete() {
    let signed = "Balsamjunction-Attempt-Id: {id}\r\nBalsamjunction-Server-Signature: e2\r\n";
    let json = "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    for opening in [
        format!("HTTP/1.1 500 Internal Server Error\r\n{signed}Content-Length: 6\r\n\r\nfailed"),
        format!("HTTP/1.1 503 Service Unavailable\r\n{signed}Balsamjunction-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"),
        format!("HTTP/1.1 200 OK\r\n{signed}{json}"),
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nid: 3\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\n{signed}"),
    ] {
        assert_eq!(resume_at(&opening).await, None, "{opening}");
    }
}

// Guards against a stream that is cut although it has time left: with no attempt left, the time since its last complete
// event was subtracted from the time that remained, whenever a part of an event or a comment arrived.
#[actix_rt::test]
async fn a_stream_with_no_attempt_left_is_not_cut_before_its_time_limit() {
    let mut site = TestSite::start().await;
    site.update_config(|config| config["routes"][0]["maxAttempts"] = 1.into());
    let script = Script {
        opening: "HTTP/1.1 200 OK\r\nBalsamjunction-Attempt-Id: {id}\r\n\
                  Balsamjunction-Server-Signature: e1\r\n\r\nid: 1\ndata: a\n\nid: 2\nda"
            .to_owned(),
        filler: Bytes::from_static(b"a"),
        pause: Duration::from_millis(100),
        ..Script::default()
    };
    site.start_scripted_server(model_engine_options("e1", 3, 10), script)
        .await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let sent_at = Instant::now();

    let got = gateway.generate("a1").await;

    // The caller's time limit is three seconds.
    assert_eq!(got.body, None);
    assert!(
        sent_at.elapsed() >= Duration::from_millis(2_900),
        "{:?}",
        sent_at.elapsed()
    );
}
