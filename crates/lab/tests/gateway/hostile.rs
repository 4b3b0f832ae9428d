//! Upstreams that write what is no answer, and strangers that write what is no request.

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

use crate::common::{client, engine, event_ids, plain, until, Gateway, Got, Site, KEY};

/// Requests that meet bytes without end at the same time.
const AT_ONCE: usize = 24;
/// What a gateway may hold for one connection whose bytes have no end: the smallest hosts have 160 MB
/// for some two hundred requests at once and everything else.
const MEMORY_PER_CONNECTION: u64 = 512 * 1_024;
/// A gateway gives an upstream up in this time, its silence and a busy machine included.
const GIVEN_UP_WITHIN: Duration = Duration::from_millis(2_500);
/// The callers' own deadline.
const DEADLINE: Duration = Duration::from_millis(3_000);

const OK: &str = "HTTP/1.1 200 OK\r\nBalsamjunction-Attempt-Id: {id}\r\n\
                  Balsamjunction-Server-Signature: s\r\n";

/// An answer that begins with `opening` and goes on with `filler` for ever.
fn endless(opening: &str, filler: &str) -> Script {
    Script {
        opening: opening.to_owned(),
        filler: Bytes::from(filler.repeat(1 + 4_096 / filler.len())),
        ..Script::default()
    }
}

/// An answer of exactly these bytes, after which the connection closes.
fn whole(answer: &str) -> Script {
    Script {
        opening: answer.to_owned(),
        ..Script::default()
    }
}

/// A gateway before a server that follows a script.
async fn before(script: Script) -> (Site, Gateway, ScriptedServer) {
    let mut site = Site::start().await;
    let scripted = site.scripted(plain("d1"), script).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    (site, gateway, scripted)
}

/// Sends requests that run once at most to a server whose answer has no end; nothing stands for a
/// connection that was closed without an answer.
async fn orders_to(script: Script) -> (Site, Gateway, ScriptedServer, Vec<Option<Got>>, u64) {
    let (site, gateway, scripted) = before(script).await;
    let usual = site.peak_memory("g1");
    let calls = (0..AT_ONCE).map(|n| async move {
        let id = format!("a{n}");
        let key = format!("Bearer {KEY}");
        let headers = [("authorization", key.as_str())];
        let got = gateway.try_call_with("POST", "/order/new", &id, &headers);
        got.await.ok()
    });
    let answers = join_all(calls).await;
    let grown = site.peak_memory("g1").saturating_sub(usual);
    (site, gateway, scripted, answers, grown)
}

/// Every caller is told that its request may have run, and nothing is held for the endless answers.
async fn assert_given_up(script: Script) {
    let started = Instant::now();
    let (_site, gateway, scripted, answers, grown) = orders_to(script).await;
    let answers: Vec<_> = answers.into_iter().flatten().collect();

    // Some find no slot and are refused; of what was sent, nobody knows whether it ran.
    let unknown = answers
        .iter()
        .filter(|got| [502, 504].contains(&got.status));
    let refused = answers.iter().filter(|got| got.status == 503).count();
    assert_eq!(unknown.count() + refused, AT_ONCE, "{answers:?}");
    assert!(scripted.requests() + refused >= AT_ONCE);
    assert!(started.elapsed() < DEADLINE + Duration::from_secs(2));
    assert!(
        grown < MEMORY_PER_CONNECTION * AT_ONCE as u64,
        "{grown} bytes"
    );
    until("the connections to be closed", async || {
        scripted.open_connections() == 0
    })
    .await;
    assert!(gateway.ready().await);
}

// A head without end was read until the buffers of one connection held hundreds of kilobytes.
#[actix_rt::test]
async fn a_head_of_endless_lines_is_given_up() {
    assert_given_up(endless(OK, "x-more: of the same\r\n")).await;
}

// The same with a single line.
#[actix_rt::test]
async fn a_header_line_without_end_is_given_up() {
    assert_given_up(endless(&format!("{OK}x-long: "), "x")).await;
}

// Bytes that are no answer from the start.
#[actix_rt::test]
async fn noise_without_end_is_given_up() {
    assert_given_up(endless("", "noise ")).await;
}

// A status line that comes a byte at a time holds its request until the caller's own time at most.
#[actix_rt::test]
async fn a_head_that_trickles_ends_with_the_callers_time() {
    let trickle = Script {
        pause: Duration::from_millis(20),
        filler: Bytes::from_static(b"x"),
        opening: format!("{OK}x-long: "),
        keep_open: false,
    };
    assert_given_up(trickle).await;
}

/// A success whose body never ends as it should does not reach its caller as a whole one.
async fn assert_never_whole(script: Script) {
    let (site, _gateway, scripted, answers, grown) = orders_to(script).await;

    let whole = answers
        .iter()
        .flatten()
        .filter(|got| got.status < 300 && got.body.is_some());
    assert_eq!(whole.count(), 0);
    assert!(
        grown < MEMORY_PER_CONNECTION * AT_ONCE as u64,
        "{grown} bytes"
    );
    until("the connections to be closed", async || {
        scripted.open_connections() == 0
    })
    .await;
    drop(site);
}

#[actix_rt::test]
async fn the_size_of_a_chunk_without_end_never_looks_whole() {
    let head = format!("{OK}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    assert_never_whole(endless(&head, "0")).await;
}

#[actix_rt::test]
async fn an_extension_of_a_chunk_without_end_never_looks_whole() {
    let head = format!("{OK}Transfer-Encoding: chunked\r\n\r\n5;");
    assert_never_whole(endless(&head, "x=y;")).await;
}

#[actix_rt::test]
async fn trailers_without_end_never_look_whole() {
    let head = format!("{OK}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n");
    assert_never_whole(endless(&head, "x-more: of the same\r\n")).await;
}

// The callers of these answers read nothing of a body without end but what was sent before the deadline.
#[actix_rt::test]
async fn a_body_without_end_is_cut_at_the_deadline() {
    let head = format!("{OK}Transfer-Encoding: chunked\r\n\r\n");
    let slow = Script {
        pause: Duration::from_millis(10),
        ..endless(&head, "5\r\nhello\r\n")
    };
    assert_never_whole(slow).await;
}

// An answer that broke off halfway reached the caller as a complete success.
#[actix_rt::test]
async fn answers_that_break_off_halfway_never_look_whole() {
    for head in [
        "Content-Length: 50\r\n\r\nhalf",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ] {
        assert_never_whole(whole(&format!("{OK}{head}"))).await;
    }
}

// Bytes behind a whole body were taken for the next answer on the connection.
#[actix_rt::test]
async fn bytes_behind_a_body_reach_nobody() {
    let answer = format!("{OK}Content-Length: 5\r\n\r\nhello");
    let (site, gateway, scripted) = before(endless(&answer, "more and more")).await;
    let usual = site.peak_memory("g1");

    for n in 0..6 {
        let got = gateway.call("POST", "/order/new", &format!("a{n}")).await;
        assert_eq!((got.status, got.body.as_deref()), (200, Some("hello")));
    }

    let grown = site.peak_memory("g1").saturating_sub(usual);
    assert!(grown < MEMORY_PER_CONNECTION * 6, "{grown} bytes");
    until("the connections to be closed", async || {
        scripted.open_connections() == 0
    })
    .await;
}

// A second copy of an answer came late on a connection that was in use again.
#[actix_rt::test]
async fn a_late_second_copy_of_an_answer_meets_no_other_request() {
    let copy = format!("{OK}Content-Length: 5\r\n\r\nhello");
    let twice = Script {
        opening: copy.clone(),
        filler: Bytes::from(copy),
        pause: Duration::from_millis(60),
        keep_open: true,
    };
    let (_site, gateway, scripted) = before(twice).await;

    for n in 0..12 {
        let got = gateway.call("POST", "/order/new", &format!("a{n}")).await;
        assert_eq!((got.status, got.body.as_deref()), (200, Some("hello")));
        actix_rt::time::sleep(Duration::from_millis(25)).await;
    }

    // Each had a connection of its own.
    assert_eq!(scripted.requests(), 12);
}

// A second copy of an engine's answer on a stager's connection could pass for the answer to an order.
#[actix_rt::test]
async fn orders_and_chunks_of_a_stager_meet_no_copies_of_earlier_answers() {
    let held = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"held\":[]}";
    let script = Script {
        opening: held.to_owned(),
        keep_open: true,
        ..Script::default()
    };
    let scripted = ScriptedServer::start(script).await.expect("it starts");
    let engine = platform::Engine::new(client(), client(), scripted.address);
    let order = platform::LoadOrder {
        model: "m1".into(),
        version: 2,
        mode: platform::SwitchMode::Finish,
    };

    for _ in 0..3 {
        engine.staged_chunks("m1").await.expect("it answers");
        engine
            .stage("m1", 0, Bytes::from_static(b"x"))
            .await
            .expect("it answers");
        engine.read_staged("m1", 0).await.expect("it answers");
        engine.load(&order).await.expect("it answers");
    }

    assert_eq!(scripted.requests(), 12);
    assert_eq!(scripted.connections(), 12);
}

// An error's body was read to its end before its request was given up.
#[actix_rt::test]
async fn the_body_of_a_failure_without_end_holds_up_nobody() {
    let head = "HTTP/1.1 503 Full\r\nBalsamjunction-Not-Executed: 1\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    let (site, gateway, full) = before(endless(head, "5\r\nhello\r\n")).await;

    let started = Instant::now();
    let refused = gateway.call("POST", "/order/new", "first").await;
    let took = started.elapsed();
    let free = site.engine(plain("d2")).await;
    until("the other engine to be known", async || {
        gateway.call("POST", "/order/new", "probe").await;
        !free.runs().is_empty()
    })
    .await;

    assert_eq!(refused.status, 503);
    assert_eq!(full.requests(), 1);
    assert!(took < GIVEN_UP_WITHIN, "{took:?}");
    until("the connections to be closed", async || {
        full.open_connections() == 0
    })
    .await;
}

/// Generations that meet the script go on at an engine that is well, soon enough and whole.
async fn assert_goes_on_elsewhere(script: Script) {
    let mut site = Site::start().await;
    let scripted = site.scripted(engine("e1", 0, 0), script).await;
    let well = site.engine(engine("e2", 3, 5)).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    let usual = site.peak_memory("g1");

    // Enough at once to reach both.
    let calls = (0..4).map(|n| async move {
        let started = Instant::now();
        (gateway.generate(&format!("a{n}")).await, started.elapsed())
    });
    let answers = join_all(calls).await;

    assert!(scripted.requests() > 0);
    assert_eq!(well.runs().len(), 4);
    for (got, took) in answers {
        let body = got.body.as_deref().expect("the stream is whole");
        assert_eq!(event_ids(body), [1, 2, 3], "{body}");
        assert!(took < GIVEN_UP_WITHIN, "{took:?}");
    }
    let grown = site.peak_memory("g1").saturating_sub(usual);
    assert!(grown < 8 * MEMORY_PER_CONNECTION, "{grown} bytes");
    until("the connections to be closed", async || {
        scripted.open_connections() == 0
    })
    .await;
}

// An event that never ended was gathered in memory until the caller's deadline.
#[actix_rt::test]
async fn an_event_without_end_is_given_up_for_another_engine() {
    let head =
        format!("{OK}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: word1\n\nid: 2\ndata: ");
    assert_goes_on_elsewhere(endless(&head, "word")).await;
}

// A stalled stream that sent a byte now and then never ended.
#[actix_rt::test]
async fn a_stream_that_trickles_without_events_is_given_up_as_a_silent_one() {
    let head =
        format!("{OK}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: word1\n\nid: 2\ndata: ");
    let trickle = Script {
        opening: head,
        filler: Bytes::from_static(b"w"),
        pause: Duration::from_millis(100),
        keep_open: false,
    };
    assert_goes_on_elsewhere(trickle).await;
}

// The same by lines that carry no event.
#[actix_rt::test]
async fn a_stream_of_comments_is_given_up_as_a_silent_one() {
    let head = format!("{OK}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: word1\n\n");
    let comments = Script {
        opening: head,
        filler: Bytes::from_static(b": still here\n\n"),
        pause: Duration::from_millis(100),
        keep_open: false,
    };
    assert_goes_on_elsewhere(comments).await;
}

// Slow but sound streams were cut.
#[actix_rt::test]
async fn a_slow_stream_that_goes_on_is_not_cut() {
    let mut site = Site::start().await;
    let slow = site.engine(engine("e1", 3, 800)).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let got = gateway.generate("a1").await;

    let body = got.body.as_deref().expect("the stream is whole");
    assert_eq!(event_ids(body), [1, 2, 3]);
    assert!(slow.runs()[0].finished);
}

/// Bytes that are no request, or no message of a peer.
fn malformed() -> Vec<Vec<u8>> {
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
    // A message whose list claims more than its sender will ever write.
    let claim = [0xdd, 0xff, 0xff, 0xff, 0xff];
    for path in [paths::SYNC, paths::CHANGES, paths::MESH_CRASHES] {
        let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n");
        all.push([head.as_bytes(), &claim[..]].concat());
    }
    all
}

// One malformed message took a whole process down.
#[actix_rt::test]
async fn no_malformed_message_on_any_port_ends_a_process_or_harms_others() {
    let mut site = Site::start().await;
    site.engine(plain("d1")).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    let process = site.processes.pid("g1");

    for port in [
        gateway.callers,
        gateway.readiness,
        gateway.inner,
        gateway.metrics,
    ] {
        for bytes in malformed() {
            let mut tcp = TcpStream::connect(port).await.expect("it listens");
            // It may close before everything is written.
            let _ = tcp.write_all(&bytes).await;
            let mut answer = vec![0; 64];
            let read = tcp.read(&mut answer);
            let _ = actix_rt::time::timeout(Duration::from_millis(30), read).await;
        }
    }
    let got = gateway.call("POST", "/order/new", "a1").await;

    assert_eq!(got.status, 200);
    assert!(gateway.ready().await);
    assert_eq!(site.processes.pid("g1"), process);
    assert_eq!(
        site.processes.exit_success("g1").expect("it was started"),
        None
    );
}

// An answer that cannot be read took the process down, or was taken for "not run".
#[actix_rt::test]
async fn malformed_answers_leave_the_fate_of_their_own_request_unknown_only() {
    for answer in [
        "HTTP/1.1 999999 What\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nnonsense",
        "\u{0}\u{0}\u{0}\u{0}",
        "",
    ] {
        let (site, gateway, scripted) = before(whole(answer)).await;

        let got = gateway.call("POST", "/order/new", "a1").await;
        let well = site.engine(plain("d2")).await;
        until("the other one to be known", async || {
            gateway.call("GET", "/stock/1", "a2").await;
            !well.runs().is_empty()
        })
        .await;

        assert_eq!(got.status, 502, "{answer:?}");
        assert!(well.runs().iter().all(|run| run.id != "a1"), "{answer:?}");
        assert!(scripted.requests() >= 1);
    }
}

/// What a process may hold for a platform or a peer whose answers have no end: half of the memory of the
/// smallest host.
const MEMORY_FOR_ANSWERS: u64 = 64 * 1_024 * 1_024;
/// Long enough for several questions to whoever answers without an end.
const SEVERAL_QUESTIONS: Duration = Duration::from_secs(3);

/// Answers of a platform or a peer without an end: in the head, in a header line, in the body.
fn endless_answers() -> [Script; 3] {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    [
        endless(head, "x-more: of the same\r\n"),
        endless(&format!("{head}x-long: "), "x"),
        endless(
            &format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            "4\r\n[[[[\r\n",
        ),
    ]
}

// Bytes without end from the store: the process must live, and hear of the facts from its peers.
#[actix_rt::test]
async fn a_store_that_answers_without_end_is_done_without() {
    for script in endless_answers() {
        let mut site = Site::start().await;
        site.engine(plain("d1")).await;
        let first = site.gateway("g1", &[]);
        first.until_ready().await;
        let store = ScriptedServer::start(script).await.expect("it starts");
        let second = site.gateway_at("g2", &[first], store.address);
        second.until_ready().await;

        actix_rt::time::sleep(SEVERAL_QUESTIONS).await;
        let got = second.call("POST", "/order/new", "a1").await;

        assert_eq!(got.status, 200);
        assert!(store.requests() > 0);
        let most = site.peak_memory("g2");
        assert!(most < MEMORY_FOR_ANSWERS, "{most} bytes");
    }
}

// The same from a peer that is named as a seed.
#[actix_rt::test]
async fn a_peer_that_answers_without_end_is_done_without() {
    for script in endless_answers() {
        let mut site = Site::start().await;
        site.engine(plain("d1")).await;
        let peer = ScriptedServer::start(script).await.expect("it starts");
        let nowhere = "127.0.0.1:1".parse().expect("an address");
        let seed = Gateway {
            callers: nowhere,
            readiness: nowhere,
            inner: peer.address,
            metrics: nowhere,
        };
        let gateway = site.gateway("g1", &[seed]);
        gateway.until_ready().await;

        actix_rt::time::sleep(SEVERAL_QUESTIONS).await;
        let got = gateway.call("POST", "/order/new", "a1").await;

        assert_eq!(got.status, 200);
        assert!(peer.requests() > 0);
        let most = site.peak_memory("g1");
        assert!(most < MEMORY_FOR_ANSWERS, "{most} bytes");
    }
}

// The same from the origin of weights; the version arrives once the origin is well.
#[actix_rt::test]
async fn an_origin_that_answers_without_end_is_waited_out() {
    for script in endless_answers() {
        let mut site = Site::start().await;
        let sick = ScriptedServer::start(script).await.expect("it starts");
        let well = site.origin.address.to_string();
        let name_origin = |config: &mut serde_json::Value, address: String| {
            config["services"][2]["origin"] = serde_json::json!(address);
        };
        site.configure(|config| name_origin(config, sick.address.to_string()));
        let engine = site.engine(engine("e1", 2, 5)).await;
        let gateway = site.gateway("g1", &[]);
        gateway.until_ready().await;
        site.stager("s1", &engine, &[gateway]);
        site.name_version(2);

        actix_rt::time::sleep(SEVERAL_QUESTIONS).await;
        let most = site.peak_memory("s1");
        let asked = sick.requests();
        site.configure(|config| name_origin(config, well));

        assert!(asked > 0);
        assert!(most < MEMORY_FOR_ANSWERS, "{most} bytes");
        until("the version", async || engine.version() == Some(2)).await;
        assert_eq!(engine.inconsistent_loads(), 0);
    }
}
