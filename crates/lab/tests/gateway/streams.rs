//! Event streams: forwarded event by event, resumed after a break, cancelled when the caller disconnects.

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::{Engine, EngineFault, Script};
use futures_util::StreamExt;

use crate::common::{
    event_ids, model_engine_options, plain_engine_options, wait_until, CallerResponse, TestSite,
    API_KEY,
};

#[actix_rt::test]
async fn events_are_forwarded_as_they_arrive() {
    let mut site = TestSite::start().await;
    site.start_engine(model_engine_options("e1", 5, 200)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let mut got = gateway.open_stream("a1").await;
    let first = got
        .next()
        .await
        .expect("an event arrives")
        .expect("the event is complete");
    let first_at = Instant::now();
    got.next()
        .await
        .expect("an event arrives")
        .expect("the event is complete");

    assert_eq!(first, "id: 1\ndata: word1\n\n");
    assert!(first_at.elapsed() > Duration::from_millis(100));
}

#[actix_rt::test]
async fn a_stream_that_breaks_within_an_event_is_resumed_at_another_engine() {
    let mut site = TestSite::start().await;
    let broken = site.start_engine(model_engine_options("e1", 6, 20)).await;
    broken.set_fault(EngineFault::TruncateAfter(3));
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let resuming = site.start_engine(model_engine_options("e2", 6, 20)).await;

    let mut resumed = 0;
    for n in 0..6 {
        let got = gateway.generate(&format!("a{n}")).await;

        let body = got.body.expect("the stream is complete");
        assert_eq!(event_ids(&body), [1, 2, 3, 4, 5, 6]);
        assert_eq!(body.matches("data: ").count(), 6);
        resumed += usize::from(got.signature.as_deref() == Some("e1"));
    }

    assert_eq!(resumed, broken.runs().len());
    let runs = resuming.runs();
    let last_event_ids: Vec<_> = runs
        .iter()
        .filter_map(|run| run.headers.get("last-event-id"))
        .collect();
    assert_eq!(last_event_ids.len(), resumed);
    assert!(last_event_ids.iter().all(|id| *id == "3"));
}

#[actix_rt::test]
async fn a_stream_that_no_engine_can_finish_never_looks_complete() {
    let mut site = TestSite::start().await;
    let broken = site.start_engine(model_engine_options("e1", 6, 20)).await;
    broken.set_fault(EngineFault::TruncateAfter(3));
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let got = gateway.generate("a1").await;

    assert_eq!(got.status, 200);
    assert_eq!(got.body, None);
}

#[actix_rt::test]
async fn an_engine_stops_soon_after_the_caller_disconnects() {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(model_engine_options("e1", 100, 50)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let mut got = gateway.open_stream("a1").await;
    got.next()
        .await
        .expect("an event arrives")
        .expect("the event is complete");
    drop(got);
    actix_rt::time::sleep(Duration::from_millis(6_000)).await;

    assert_eq!(engine.runs().len(), 1);
    assert!(!engine.runs()[0].finished);
}

#[actix_rt::test]
async fn a_caller_that_disconnects_before_the_response_is_noticed() {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(model_engine_options("e1", 3, 700)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let mut tcp = tokio::net::TcpStream::connect(gateway.callers)
        .await
        .expect("the gateway accepts");
    let head = format!(
        "POST /draft/now HTTP/1.1\r\nHost: floor.example\r\nAuthorization: Bearer {API_KEY}\r\n\
         Balsamjunction-Attempt-Id: a1\r\nBalsamjunction-Model: m1\r\n\
         Balsamjunction-Token-Usage: 10,10\r\nContent-Length: 0\r\n\r\n"
    );

    tokio::io::AsyncWriteExt::write_all(&mut tcp, head.as_bytes())
        .await
        .expect("the request is sent");
    wait_until("the engine to run it", async || engine.runs().len() == 1).await;
    drop(tcp);
    actix_rt::time::sleep(Duration::from_millis(3_000)).await;

    assert!(!engine.runs()[0].finished);
}

#[actix_rt::test]
async fn upstreams_that_refuse_a_broken_stream_use_up_the_retry_budget() {
    let mut site = TestSite::start().await;
    site.retry_slack = 5.0;
    let broken = site.start_engine(model_engine_options("e1", 6, 20)).await;
    broken.set_fault(EngineFault::TruncateAfter(3));
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let mut full = Vec::new();
    for n in 2..8 {
        let other = site
            .start_engine(model_engine_options(&format!("e{n}"), 6, 20))
            .await;
        other.set_fault(EngineFault::Overloaded);
        full.push(other);
    }

    for n in 0..8 {
        gateway.generate(&format!("a{n}")).await;
    }

    let arrivals: usize = full.iter().map(Engine::arrival_count).sum();
    let beyond_first = broken.arrival_count() + arrivals - 8;
    // The slack of 5 and the 1.6 that eight requests add to the retry budget.
    assert!(
        beyond_first <= 6,
        "{beyond_first} arrivals beyond the first attempts"
    );
}

/// A response that has neither a length nor chunks, so that it ends with its connection.
fn unframed_script(body: &str, reset: bool) -> Script {
    let head = "HTTP/1.1 200 OK\r\nBalsamjunction-Attempt-Id: {id}\r\n\
                Balsamjunction-Server-Signature: e1\r\nConnection: close\r\n\r\n";
    Script {
        opening: format!("{head}{body}"),
        reset,
        ..Script::default()
    }
}

/// Sends one request to an upstream with the script, which is the only one of its service.
async fn call_scripted(path: &str, script: Script) -> CallerResponse {
    let mut site = TestSite::start().await;
    let options = match path.starts_with("/order/") {
        true => plain_engine_options("e1"),
        false => model_engine_options("e1", 2, 10),
    };
    site.start_scripted_server(options, script).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    gateway.generate_on(path, "a1").await
}

#[actix_rt::test]
async fn a_response_without_length_that_ends_with_its_connection_is_complete() {
    let got = call_scripted("/order/1", unframed_script("all of it", false)).await;

    assert_eq!(got.status, 200);
    assert_eq!(got.body.as_deref(), Some("all of it"));
}

// Guards against half of a response that reaches the caller as a complete one.
#[actix_rt::test]
async fn a_response_without_length_whose_connection_is_reset_never_looks_complete() {
    let got = call_scripted("/order/1", unframed_script("half of", true)).await;

    assert_eq!(got.body, None);
}

#[actix_rt::test]
async fn a_stream_without_length_that_ends_after_an_event_is_complete() {
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    for path in ["/draft/now", "/once/now"] {
        let got = call_scripted(path, unframed_script(events, false)).await;

        assert_eq!(got.body.as_deref(), Some(events), "{path}");
    }
}

// Guards against a stream that broke off within an event and reaches the caller as a complete one. A connection that
// ends without a reset looks like the end of a response that has no length.
#[actix_rt::test]
async fn a_stream_without_length_that_ends_within_an_event_never_looks_complete() {
    let events = "id: 1\ndata: a\n\nid: 2\nda";

    for path in ["/draft/now", "/once/now"] {
        let got = call_scripted(path, unframed_script(events, false)).await;

        assert_eq!(got.status, 200, "{path}");
        assert_eq!(got.body, None, "{path}");
    }
}

// Guards against the same where the chunks of the body end as if it were complete.
#[actix_rt::test]
async fn a_stream_in_chunks_that_ends_within_an_event_never_looks_complete() {
    let events = "id: 1\ndata: a\n\nid: 2\nda";
    let head = "HTTP/1.1 200 OK\r\nBalsamjunction-Attempt-Id: {id}\r\n\
                Balsamjunction-Server-Signature: e1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let opening = format!("{head}{:x}\r\n{events}\r\n0\r\n\r\n", events.len());

    for path in ["/draft/now", "/once/now"] {
        let script = Script {
            opening: opening.clone(),
            ..Script::default()
        };
        let got = call_scripted(path, script).await;

        assert_eq!(got.body, None, "{path}");
    }
}

#[actix_rt::test]
async fn a_stream_without_length_that_ends_within_an_event_is_resumed() {
    let mut site = TestSite::start().await;
    let script = unframed_script("id: 1\ndata: word1\n\nid: 2\nda", false);
    site.start_scripted_server(model_engine_options("e1", 3, 10), script)
        .await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    site.start_engine(model_engine_options("e2", 3, 10)).await;

    for n in 0..4 {
        let got = gateway.generate(&format!("a{n}")).await;

        let body = got.body.expect("the stream is complete");
        assert_eq!(event_ids(&body), [1, 2, 3]);
    }
}

// Guards against a response of another type on a streaming route that counts as a stream which broke off.
#[actix_rt::test]
async fn a_response_of_another_type_on_a_streaming_route_is_forwarded_as_it_is() {
    let mut script = unframed_script("{\"text\": \"all of it\"}", false);
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    script.opening = script.opening.replacen("HTTP/1.1 200 OK\r\n", head, 1);

    let got = call_scripted("/once/now", script).await;

    assert_eq!(got.body.as_deref(), Some("{\"text\": \"all of it\"}"));
}
