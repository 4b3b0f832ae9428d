//! Limits on single callers.

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::Script;
use bytes::Bytes;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::common::{model_engine_options, wait_until, API_KEY};
use crate::crowd::{connect, head, LoadedSite, MAX_BODY_BYTES};

/// Time within which a connection must be answered or closed; the limits in these tests are a few seconds.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Time within which the work for an unread response must have ended; the limit is ten seconds.
const MAX_UNREAD_WAIT: Duration = Duration::from_secs(25);

/// Reads until the connection is closed.
async fn read_to_end(connection: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    let read = actix_rt::time::timeout(MAX_WAIT, connection.read_to_end(&mut buf));
    let closed = read.await.expect("the gateway closes the connection");
    // The client did not send all of its body, so that the connection may be reset after the response.
    let _ = closed;
    String::from_utf8_lossy(&buf).into_owned()
}

// A body was read before the gateway found that it has no room.
#[actix_rt::test]
async fn a_body_that_does_not_fit_is_refused_before_it_is_read() {
    let site = LoadedSite::start_with(|site| site.memory_mb = Some(48)).await;
    let mut connection = connect(site.gateway.callers).await;
    let length = format!("Content-Length: {MAX_BODY_BYTES}\r\n\r\n");

    let request = head("POST", 1, &length);
    let written = connection.write_all(request.as_bytes()).await;
    written.expect("the gateway reads the head");
    let response = read_to_end(&mut connection).await;

    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert!(response.ends_with("memory-full"), "{response}");
}

// A client that had sent its whole body without reading got a reset connection instead of the refusal.
#[actix_rt::test]
async fn a_client_that_sends_a_refused_body_reads_the_refusal() {
    let site = LoadedSite::start_with(|site| site.memory_mb = Some(48)).await;
    let mut connection = connect(site.gateway.callers).await;
    let length = format!("Content-Length: {MAX_BODY_BYTES}\r\n\r\n");

    let request = head("POST", 1, &length);
    let written = connection.write_all(request.as_bytes()).await;
    written.expect("the gateway reads the head");
    let written = connection.write_all(&vec![b'b'; MAX_BODY_BYTES]).await;
    let response = read_to_end(&mut connection).await;

    assert!(written.is_ok());
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
}

// A body that stopped was held until the time limit of its route.
#[actix_rt::test]
async fn a_body_without_progress_gets_408() {
    let longest = |site: &mut crate::common::TestSite| {
        site.update_config(|config| config["routes"][3]["timeoutMs"] = json!(60_000));
    };
    let site = LoadedSite::start_with(longest).await;
    let mut connection = connect(site.gateway.callers).await;

    let request = head("POST", 1, "Content-Length: 10\r\n\r\nbody");
    let written = connection.write_all(request.as_bytes()).await;
    written.expect("the gateway reads the request");
    let response = read_to_end(&mut connection).await;

    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
}

// Idle connections were kept for 75 s, whatever the configuration said.
#[actix_rt::test]
async fn an_idle_connection_is_closed_after_the_configured_time() {
    let short = |site: &mut crate::common::TestSite| {
        site.update_config(|config| config["limits"]["idleTimeoutMs"] = json!(2_000));
    };
    let site = LoadedSite::start_with(short).await;
    let mut connection = connect(site.gateway.callers).await;

    let request = head("GET", 1, "Balsamjunction-Attempt-Id: a1\r\n\r\n");
    let written = connection.write_all(request.as_bytes()).await;
    written.expect("the gateway reads the request");
    let response = read_to_end(&mut connection).await;

    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

// A response that was not read held its upstream for as long as its caller kept the connection open.
#[actix_rt::test]
async fn the_work_for_an_unread_response_is_cancelled() {
    let site = LoadedSite::start().await;
    let endless = Script {
        opening: "HTTP/1.1 200 OK\r\nBalsamjunction-Attempt-Id: {id}\r\n\
                  Balsamjunction-Server-Signature: s\r\nContent-Type: text/plain\r\n\
                  Transfer-Encoding: chunked\r\n\r\n"
            .to_owned(),
        filler: Bytes::from("400\r\n".to_owned() + &"r".repeat(1_024) + "\r\n"),
        ..Script::default()
    };
    let options = model_engine_options("e1", 0, 0);
    let upstream = site.site.start_scripted_server(options, endless).await;
    let mut connection = connect(site.gateway.callers).await;
    let request = format!(
        "POST /once/now HTTP/1.1\r\nHost: floor.example\r\nAuthorization: Bearer {API_KEY}\r\n\
         Balsamjunction-Attempt-Id: a1\r\nBalsamjunction-Model: m1\r\nContent-Length: 1\r\n\r\nx"
    );

    wait_until("the upstream to be known", async || {
        let probe = site.gateway.generate_on("/once/now", "probe");
        let _ = actix_rt::time::timeout(Duration::from_millis(200), probe).await;
        upstream.requests() > 0
    })
    .await;
    let written = connection.write_all(request.as_bytes()).await;
    written.expect("the gateway reads the request");
    let before = upstream.requests();
    wait_until("the request to reach the upstream", async || {
        upstream.requests() > before || upstream.open_connections() > 0
    })
    .await;
    let started = Instant::now();
    while upstream.open_connections() > 0 && started.elapsed() < MAX_UNREAD_WAIT {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }

    assert_eq!(upstream.open_connections(), 0);
    drop(connection);
}

// Bounds on all bodies must leave room for a single one of the greatest length, in one piece or in small chunks.
#[actix_rt::test]
async fn a_single_body_of_the_greatest_length_is_served() {
    let longest = |site: &mut crate::common::TestSite| {
        site.update_config(|config| config["routes"][3]["timeoutMs"] = json!(60_000));
    };
    let site = LoadedSite::start_with(longest).await;
    let id = "Balsamjunction-Attempt-Id: a1\r\nConnection: close\r\n";
    let length = format!("{id}Content-Length: {MAX_BODY_BYTES}\r\n\r\n");
    let whole = head("POST", 1, &length) + &"b".repeat(MAX_BODY_BYTES);
    let chunks = format!("100\r\n{}\r\n", "c".repeat(256)).repeat(MAX_BODY_BYTES / 256);
    let chunked = format!("{id}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n");
    let chunked = head("POST", 2, &chunked);

    for request in [whole, chunked] {
        let mut connection = connect(site.gateway.callers).await;
        let written = connection.write_all(request.as_bytes()).await;
        written.expect("the gateway reads the request");
        let response = read_to_end(&mut connection).await;

        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}
