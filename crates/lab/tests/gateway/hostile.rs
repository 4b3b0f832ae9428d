//! Malformed, truncated and endless responses, and malformed requests on every port.

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::{Script, ScriptedServer};
use balsamjunction_platform as platform;
use balsamjunction_protocol::paths;
use bytes::Bytes;
use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::common::{
    event_ids, model_engine_options, new_client, plain_engine_options, wait_until, CallerResponse,
    Gateway, TestSite, API_KEY,
};

/// Requests that receive endless responses at the same time.
const CONCURRENT_REQUESTS: usize = 24;
/// Memory that a gateway may use for one connection with an endless response. The smallest hosts have 160 MB
/// for about two hundred concurrent requests and everything else.
const MAX_BYTES_PER_CONNECTION: u64 = 512 * 1_024;
/// Time within which a gateway aborts a request to an upstream. It includes the wait for a silent upstream
/// and a margin for a busy machine.
const MAX_TIME_TO_ABORT: Duration = Duration::from_millis(2_500);
/// The deadline in the requests of callers.
const CALLER_DEADLINE: Duration = Duration::from_millis(3_000);

/// The first lines of a successful response head.
const OK_HEAD: &str = "HTTP/1.1 200 OK\r\nBalsamjunction-Attempt-Id: {id}\r\n\
                  Balsamjunction-Server-Signature: s\r\n";

/// A response that begins with `opening` and repeats `filler` without end.
fn endless_script(opening: &str, filler: &str) -> Script {
    Script {
        opening: opening.to_owned(),
        filler: Bytes::from(filler.repeat(1 + 4_096 / filler.len())),
        ..Script::default()
    }
}

/// A response of exactly these bytes, after which the connection closes.
fn closing_script(response: &str) -> Script {
    Script {
        opening: response.to_owned(),
        ..Script::default()
    }
}

/// Starts a gateway with one upstream, whose responses follow `script`.
async fn start_with_script(script: Script) -> (TestSite, Gateway, ScriptedServer) {
    let mut site = TestSite::start().await;
    let upstream = site
        .start_scripted_server(plain_engine_options("d1"), script)
        .await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    (site, gateway, upstream)
}

/// Sends concurrent non-idempotent requests to an upstream that follows `script`. Returns the responses, with
/// `None` for a connection that closed without one, and the growth of the gateway's peak memory in bytes.
async fn send_orders(
    script: Script,
) -> (
    TestSite,
    Gateway,
    ScriptedServer,
    Vec<Option<CallerResponse>>,
    u64,
) {
    let (site, gateway, upstream) = start_with_script(script).await;
    let baseline = site.peak_memory_bytes("g1");
    let calls = (0..CONCURRENT_REQUESTS).map(|n| async move {
        let id = format!("a{n}");
        let key = format!("Bearer {API_KEY}");
        let headers = [("authorization", key.as_str())];
        let sent = gateway.try_call_with("POST", "/order/new", &id, &headers);
        sent.await.ok()
    });
    let responses = join_all(calls).await;
    let growth = site.peak_memory_bytes("g1").saturating_sub(baseline);
    (site, gateway, upstream, responses, growth)
}

/// Asserts that every caller learns that its request may have run or was refused, that the memory for endless
/// responses is bounded, and that their connections are closed.
async fn assert_aborted(script: Script) {
    let started = Instant::now();
    let (_site, gateway, upstream, responses, growth) = send_orders(script).await;
    let responses: Vec<_> = responses.into_iter().flatten().collect();

    // Requests without a free slot are refused. Whether the requests that were sent have run is unknown.
    let unknown = responses
        .iter()
        .filter(|response| [502, 504].contains(&response.status));
    let refused = responses
        .iter()
        .filter(|response| response.status == 503)
        .count();
    assert_eq!(
        unknown.count() + refused,
        CONCURRENT_REQUESTS,
        "{responses:?}"
    );
    assert!(upstream.requests() + refused >= CONCURRENT_REQUESTS);
    assert!(started.elapsed() < CALLER_DEADLINE + Duration::from_secs(2));
    assert!(
        growth < MAX_BYTES_PER_CONNECTION * CONCURRENT_REQUESTS as u64,
        "{growth} bytes"
    );
    wait_until("the connections to the upstream to be closed", async || {
        upstream.open_connections() == 0
    })
    .await;
    assert!(gateway.is_ready().await);
}

// The gateway read an endless response head until the buffers of one connection held hundreds of kilobytes.
#[actix_rt::test]
async fn an_endless_response_head_is_aborted() {
    assert_aborted(endless_script(OK_HEAD, "x-more: of the same\r\n")).await;
}

// Guards against the same memory growth when a single header line has no end.
#[actix_rt::test]
async fn an_endless_header_line_is_aborted() {
    assert_aborted(endless_script(&format!("{OK_HEAD}x-long: "), "x")).await;
}

// Guards against the same memory growth when the bytes are not an HTTP response at all.
#[actix_rt::test]
async fn endless_bytes_that_are_not_http_are_aborted() {
    assert_aborted(endless_script("", "noise ")).await;
}

// A response head that arrives a byte at a time may hold its request until the caller's deadline at most.
#[actix_rt::test]
async fn a_slow_response_head_is_aborted_at_the_callers_deadline() {
    let slow = Script {
        pause: Duration::from_millis(20),
        filler: Bytes::from_static(b"x"),
        opening: format!("{OK_HEAD}x-long: "),
        keep_open: false,
        ..Script::default()
    };
    assert_aborted(slow).await;
}

/// Asserts that a successful response whose body does not end correctly never reaches its caller as complete.
async fn assert_never_complete(script: Script) {
    let (site, _gateway, upstream, responses, growth) = send_orders(script).await;

    let complete = responses
        .iter()
        .flatten()
        .filter(|response| response.status < 300 && response.body.is_some());
    assert_eq!(complete.count(), 0);
    assert!(
        growth < MAX_BYTES_PER_CONNECTION * CONCURRENT_REQUESTS as u64,
        "{growth} bytes"
    );
    wait_until("the connections to the upstream to be closed", async || {
        upstream.open_connections() == 0
    })
    .await;
    drop(site);
}

#[actix_rt::test]
async fn an_endless_chunk_size_never_looks_complete() {
    let head = format!("{OK_HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    assert_never_complete(endless_script(&head, "0")).await;
}

#[actix_rt::test]
async fn an_endless_chunk_extension_never_looks_complete() {
    let head = format!("{OK_HEAD}Transfer-Encoding: chunked\r\n\r\n5;");
    assert_never_complete(endless_script(&head, "x=y;")).await;
}

#[actix_rt::test]
async fn endless_trailers_never_look_complete() {
    let head = format!("{OK_HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n");
    assert_never_complete(endless_script(&head, "x-more: of the same\r\n")).await;
}

// Callers receive of an endless body only what was sent before their deadline.
#[actix_rt::test]
async fn an_endless_body_is_truncated_at_the_deadline() {
    let head = format!("{OK_HEAD}Transfer-Encoding: chunked\r\n\r\n");
    let slow = Script {
        pause: Duration::from_millis(10),
        ..endless_script(&head, "5\r\nhello\r\n")
    };
    assert_never_complete(slow).await;
}

// A truncated response reached the caller as a complete success.
#[actix_rt::test]
async fn truncated_responses_never_look_complete() {
    for head in [
        "Content-Length: 50\r\n\r\nhalf",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ] {
        assert_never_complete(closing_script(&format!("{OK_HEAD}{head}"))).await;
    }
}

// Bytes after a complete body were taken for the next response on the connection.
#[actix_rt::test]
async fn bytes_after_a_body_reach_no_caller() {
    let scripted_response = format!("{OK_HEAD}Content-Length: 5\r\n\r\nhello");
    let (site, gateway, upstream) =
        start_with_script(endless_script(&scripted_response, "more and more")).await;
    let baseline = site.peak_memory_bytes("g1");

    for n in 0..6 {
        let response = gateway.call("POST", "/order/new", &format!("a{n}")).await;
        assert_eq!(
            (response.status, response.body.as_deref()),
            (200, Some("hello"))
        );
    }

    let growth = site.peak_memory_bytes("g1").saturating_sub(baseline);
    assert!(growth < MAX_BYTES_PER_CONNECTION * 6, "{growth} bytes");
    wait_until("the connections to the upstream to be closed", async || {
        upstream.open_connections() == 0
    })
    .await;
}

// A late second copy of a response arrived on a connection that another request was using.
#[actix_rt::test]
async fn a_late_second_copy_of_a_response_reaches_no_other_request() {
    let copy = format!("{OK_HEAD}Content-Length: 5\r\n\r\nhello");
    let duplicated = Script {
        opening: copy.clone(),
        filler: Bytes::from(copy),
        pause: Duration::from_millis(60),
        keep_open: true,
        ..Script::default()
    };
    let (_site, gateway, upstream) = start_with_script(duplicated).await;

    for n in 0..12 {
        let response = gateway.call("POST", "/order/new", &format!("a{n}")).await;
        assert_eq!(
            (response.status, response.body.as_deref()),
            (200, Some("hello"))
        );
        actix_rt::time::sleep(Duration::from_millis(25)).await;
    }

    // Each request used a connection of its own.
    assert_eq!(upstream.requests(), 12);
}

// A second copy of an engine's response on a stager's connection could be taken for the response to a load
// order or to the staging of a chunk. Only reads of staged chunks share a connection: a copy of another chunk does not
// match its digest.
#[actix_rt::test]
async fn requests_of_a_stager_receive_no_copies_of_earlier_responses() {
    let staged_chunks = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"held\":[]}";
    let script = Script {
        opening: staged_chunks.to_owned(),
        keep_open: true,
        ..Script::default()
    };
    let upstream = ScriptedServer::start(script)
        .await
        .expect("start the scripted server");
    let engine = platform::Engine::new(new_client(), new_client(), new_client(), upstream.address);
    let order = platform::LoadOrder {
        model: "m1".into(),
        version: 2,
        mode: platform::SwitchMode::Finish,
    };

    for _ in 0..3 {
        engine
            .staged_chunks("m1")
            .await
            .expect("the engine responds");
        engine
            .stage("m1", 0, Bytes::from_static(b"x"))
            .await
            .expect("the engine responds");
        engine
            .read_staged("m1", 0, 4_096)
            .await
            .expect("the engine responds");
        let ordered = engine.load(&order, || true).await;
        ordered.expect("the engine responds");
    }

    assert_eq!(upstream.requests(), 12);
    // One each for three orders and three staged chunks, and one for the six reads.
    assert_eq!(upstream.connections(), 7);
}

// The gateway read the body of an error response to its end before it handled the error.
#[actix_rt::test]
async fn an_endless_error_body_does_not_delay_its_request() {
    let head = "HTTP/1.1 503 Full\r\nBalsamjunction-Not-Executed: 1\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    let (site, gateway, overloaded) =
        start_with_script(endless_script(head, "5\r\nhello\r\n")).await;

    let started = Instant::now();
    let refused = gateway.call("POST", "/order/new", "first").await;
    let elapsed = started.elapsed();
    let healthy = site.start_engine(plain_engine_options("d2")).await;
    wait_until("a request to run at the other engine", async || {
        gateway.call("POST", "/order/new", "probe").await;
        !healthy.runs().is_empty()
    })
    .await;

    assert_eq!(refused.status, 503);
    assert_eq!(overloaded.requests(), 1);
    assert!(elapsed < MAX_TIME_TO_ABORT, "{elapsed:?}");
    wait_until("the connections to the upstream to be closed", async || {
        overloaded.open_connections() == 0
    })
    .await;
}

/// Asserts that generations that start at an engine that follows `script` continue at a healthy engine in
/// time, and that their streams are complete.
async fn assert_continues_at_another_engine(script: Script) {
    let mut site = TestSite::start().await;
    let upstream = site
        .start_scripted_server(model_engine_options("e1", 0, 0), script)
        .await;
    let healthy = site.start_engine(model_engine_options("e2", 3, 5)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let baseline = site.peak_memory_bytes("g1");

    // Enough concurrent requests to reach both engines.
    let calls = (0..4).map(|n| async move {
        let started = Instant::now();
        (gateway.generate(&format!("a{n}")).await, started.elapsed())
    });
    let responses = join_all(calls).await;

    assert!(upstream.requests() > 0);
    assert_eq!(healthy.runs().len(), 4);
    for (response, elapsed) in responses {
        let body = response.body.as_deref().expect("the stream is complete");
        assert_eq!(event_ids(body), [1, 2, 3], "{body}");
        assert!(elapsed < MAX_TIME_TO_ABORT, "{elapsed:?}");
    }
    let growth = site.peak_memory_bytes("g1").saturating_sub(baseline);
    assert!(growth < 8 * MAX_BYTES_PER_CONNECTION, "{growth} bytes");
    wait_until("the connections to the upstream to be closed", async || {
        upstream.open_connections() == 0
    })
    .await;
}

// The gateway buffered an endless event in memory until the caller's deadline.
#[actix_rt::test]
async fn a_stream_with_an_endless_event_continues_at_another_engine() {
    let head = format!(
        "{OK_HEAD}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: word1\n\nid: 2\ndata: "
    );
    assert_continues_at_another_engine(endless_script(&head, "word")).await;
}

// A stalled stream that sent an occasional byte never timed out.
#[actix_rt::test]
async fn a_slow_stream_without_complete_events_times_out_like_a_silent_one() {
    let head = format!(
        "{OK_HEAD}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: word1\n\nid: 2\ndata: "
    );
    let slow = Script {
        opening: head,
        filler: Bytes::from_static(b"w"),
        pause: Duration::from_millis(100),
        keep_open: false,
        ..Script::default()
    };
    assert_continues_at_another_engine(slow).await;
}

// Guards against the same stall when the stream sends only comments, which are not events.
#[actix_rt::test]
async fn a_stream_of_comments_times_out_like_a_silent_one() {
    let head = format!("{OK_HEAD}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: word1\n\n");
    let comments = Script {
        opening: head,
        filler: Bytes::from_static(b": still here\n\n"),
        pause: Duration::from_millis(100),
        keep_open: false,
        ..Script::default()
    };
    assert_continues_at_another_engine(comments).await;
}

// The gateway aborted slow streams that still made progress.
#[actix_rt::test]
async fn a_slow_stream_that_makes_progress_is_not_aborted() {
    let mut site = TestSite::start().await;
    let slow = site.start_engine(model_engine_options("e1", 3, 800)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let response = gateway.generate("a1").await;

    let body = response.body.as_deref().expect("the stream is complete");
    assert_eq!(event_ids(body), [1, 2, 3]);
    assert!(slow.runs()[0].finished);
}

/// Bytes that are not a valid HTTP request, or a request whose body is not a valid message of a peer.
fn malformed_messages() -> Vec<Vec<u8>> {
    let mut all: Vec<Vec<u8>> = [
        "\r\n\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "POST /draft/now HTTP/1.1\r\nHost: floor.example\r\nContent-Length: -1\r\n\r\n",
        "POST /draft/now HTTP/1.1\r\nHost: floor.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nHost: \u{1}\r\n\r\n",
        "POST /mesh/sync HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n\u{7f}\u{7f}\u{7f}\u{7f}",
    ]
    .map(|text| text.as_bytes().to_vec())
    .to_vec();
    all.push(vec![0xff; 200_000]);
    all.push([b"GET /".to_vec(), vec![b'a'; 300_000]].concat());
    // The MessagePack header of an array that claims more elements than the body contains.
    let array_header = [0xdd, 0xff, 0xff, 0xff, 0xff];
    for path in [paths::SYNC, paths::CHANGES, paths::MESH_CRASH_EVIDENCE] {
        let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n");
        all.push([head.as_bytes(), &array_header[..]].concat());
    }
    all
}

// A single malformed message ended the process.
#[actix_rt::test]
async fn malformed_messages_on_any_port_neither_end_a_process_nor_affect_other_requests() {
    let mut site = TestSite::start().await;
    site.start_engine(plain_engine_options("d1")).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let process = site.processes.pid("g1");

    for port in [
        gateway.callers,
        gateway.readiness,
        gateway.inner,
        gateway.metrics,
    ] {
        for bytes in malformed_messages() {
            let mut tcp = TcpStream::connect(port).await.expect("the gateway listens");
            // The gateway may close the connection before everything is written.
            let _ = tcp.write_all(&bytes).await;
            let mut buf = vec![0; 64];
            let read = tcp.read(&mut buf);
            let _ = actix_rt::time::timeout(Duration::from_millis(30), read).await;
        }
    }
    let response = gateway.call("POST", "/order/new", "a1").await;

    assert_eq!(response.status, 200);
    assert!(gateway.is_ready().await);
    assert_eq!(site.processes.pid("g1"), process);
    assert_eq!(
        site.processes
            .exit_success("g1")
            .expect("the process was started"),
        None
    );
}

// A response that could not be parsed ended the process, or its request was reported as not run.
#[actix_rt::test]
async fn a_malformed_response_makes_only_the_outcome_of_its_own_request_unknown() {
    for response in [
        "HTTP/1.1 999999 What\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nnonsense",
        "\u{0}\u{0}\u{0}\u{0}",
        "",
    ] {
        let (site, gateway, upstream) = start_with_script(closing_script(response)).await;

        let received = gateway.call("POST", "/order/new", "a1").await;
        let healthy = site.start_engine(plain_engine_options("d2")).await;
        wait_until("a request to run at the other upstream", async || {
            gateway.call("GET", "/stock/1", "a2").await;
            !healthy.runs().is_empty()
        })
        .await;

        assert_eq!(received.status, 502, "{response:?}");
        assert!(
            healthy.runs().iter().all(|run| run.id != "a1"),
            "{response:?}"
        );
        assert!(upstream.requests() >= 1);
    }
}

/// Memory that a process may use while the platform or a peer sends endless responses: half of the memory of
/// the smallest host.
const MAX_PROCESS_BYTES: u64 = 64 * 1_024 * 1_024;
/// Time in which a process sends several requests to the server with endless responses.
const SEVERAL_REQUESTS_TIME: Duration = Duration::from_secs(3);

/// Endless responses of the platform or a peer: with an endless head, header line and body.
fn endless_scripts() -> [Script; 3] {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    [
        endless_script(head, "x-more: of the same\r\n"),
        endless_script(&format!("{head}x-long: "), "x"),
        endless_script(
            &format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            "4\r\n[[[[\r\n",
        ),
    ]
}

// With endless responses from the store, the process must keep running and receive the facts from its peers.
#[actix_rt::test]
async fn a_gateway_works_without_a_store_whose_responses_are_endless() {
    for script in endless_scripts() {
        let mut site = TestSite::start().await;
        site.start_engine(plain_engine_options("d1")).await;
        let first = site.start_gateway("g1", &[]);
        first.wait_until_ready().await;
        let store = ScriptedServer::start(script)
            .await
            .expect("start the scripted server");
        let second = site.start_gateway_with_store("g2", &[first], store.address);
        second.wait_until_ready().await;

        actix_rt::time::sleep(SEVERAL_REQUESTS_TIME).await;
        let response = second.call("POST", "/order/new", "a1").await;

        assert_eq!(response.status, 200);
        assert!(store.requests() > 0);
        let peak = site.peak_memory_bytes("g2");
        assert!(peak < MAX_PROCESS_BYTES, "{peak} bytes");
    }
}

// With endless responses from a seed, the process must keep running and receive the facts from the store.
#[actix_rt::test]
async fn a_gateway_works_without_a_peer_whose_responses_are_endless() {
    for script in endless_scripts() {
        let mut site = TestSite::start().await;
        site.start_engine(plain_engine_options("d1")).await;
        let peer = ScriptedServer::start(script)
            .await
            .expect("start the scripted server");
        let unused = "127.0.0.1:1".parse().expect("parse an address");
        let seed = Gateway {
            callers: unused,
            readiness: unused,
            inner: peer.address,
            metrics: unused,
        };
        let gateway = site.start_gateway("g1", &[seed]);
        gateway.wait_until_ready().await;

        actix_rt::time::sleep(SEVERAL_REQUESTS_TIME).await;
        let response = gateway.call("POST", "/order/new", "a1").await;

        assert_eq!(response.status, 200);
        assert!(peer.requests() > 0);
        let peak = site.peak_memory_bytes("g1");
        assert!(peak < MAX_PROCESS_BYTES, "{peak} bytes");
    }
}

// With endless responses from the origin of weights, the stager must keep running, and fetch the version once
// the origin responds correctly.
#[actix_rt::test]
async fn a_stager_recovers_from_an_origin_whose_responses_are_endless() {
    for script in endless_scripts() {
        let mut site = TestSite::start().await;
        let faulty = ScriptedServer::start(script)
            .await
            .expect("start the scripted server");
        let healthy_origin = site.origin.address.to_string();
        let set_origin = |config: &mut serde_json::Value, address: String| {
            config["services"][2]["origin"] = serde_json::json!(address);
        };
        site.update_config(|config| set_origin(config, faulty.address.to_string()));
        let engine = site.start_engine(model_engine_options("e1", 2, 5)).await;
        let gateway = site.start_gateway("g1", &[]);
        gateway.wait_until_ready().await;
        site.start_stager("s1", &engine, &[gateway]);
        site.publish_version(2);

        actix_rt::time::sleep(SEVERAL_REQUESTS_TIME).await;
        let peak = site.peak_memory_bytes("s1");
        let requests = faulty.requests();
        site.update_config(|config| set_origin(config, healthy_origin));

        assert!(requests > 0);
        assert!(peak < MAX_PROCESS_BYTES, "{peak} bytes");
        wait_until("the engine to serve the version", async || {
            engine.version() == Some(2)
        })
        .await;
        assert_eq!(engine.inconsistent_loads(), 0);
    }
}
