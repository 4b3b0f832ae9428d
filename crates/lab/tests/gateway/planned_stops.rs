//! Requests that a stopping gateway receives or passes on late in its grace period, and stagers that stop.

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::{Engine, Script};
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::common::{
    model_engine_options, plain_engine_options, wait_until, CallerResponse, Gateway, TestSite,
    API_KEY,
};

/// Time limit of routes, which is longer than the grace period of eight seconds.
const ROUTE_TIMEOUT_MS: u64 = 20_000;
/// The deadline that callers send.
const CALLER_DEADLINE_MS: u64 = 15_000;

/// A site with long time limits, a plain engine that takes `work_ms` and a gateway that has received its stop signal.
struct StoppingSite {
    site: TestSite,
    gateway: Gateway,
    engine: Engine,
    signalled_at: Instant,
}

impl StoppingSite {
    async fn start(work_ms: u64) -> Self {
        let mut this = Self::start_without_signal(work_ms).await;
        this.signal();
        this
    }

    async fn start_without_signal(work_ms: u64) -> Self {
        let mut site = TestSite::start().await;
        site.update_config(|config| {
            for route in config["routes"].as_array_mut().expect("it is an array") {
                route["timeoutMs"] = json!(ROUTE_TIMEOUT_MS);
            }
        });
        let mut options = plain_engine_options("d1");
        options.pause = Duration::from_millis(work_ms);
        let engine = site.start_engine(options).await;
        let gateway = site.start_gateway("g1", &[]);
        gateway.wait_until_ready().await;
        Self {
            site,
            gateway,
            engine,
            signalled_at: Instant::now(),
        }
    }

    fn signal(&mut self) {
        let sent = self.site.processes.signal("g1", Signal::SIGTERM);
        sent.expect("signal the gateway");
        self.signalled_at = Instant::now();
    }

    async fn wait_until(&self, since_signal_ms: u64) {
        let at = self.signalled_at + Duration::from_millis(since_signal_ms);
        actix_rt::time::sleep(at.saturating_duration_since(Instant::now())).await;
    }
}

/// Sends a request with a long deadline; absent if the connection ends without a response.
async fn call(gateway: Gateway, path: &str, id: &str, generation: bool) -> Option<CallerResponse> {
    let key = format!("Bearer {API_KEY}");
    let deadline = CALLER_DEADLINE_MS.to_string();
    let mut headers = vec![
        ("authorization", key.as_str()),
        ("balsamjunction-deadline-ms", deadline.as_str()),
    ];
    if generation {
        headers.push(("balsamjunction-model", "m1"));
        headers.push(("balsamjunction-token-usage", "100,500"));
    }
    gateway.try_call_with("POST", path, id, &headers).await.ok()
}

/// Sends an order with a long deadline, and returns the status.
async fn send_order(gateway: Gateway, id: &'static str) -> Option<u16> {
    let response = call(gateway, "/order/new", id, false).await;
    response.map(|response| response.status)
}

/// The head of a request for an order whose body has ten bytes.
fn order_head(id: &str) -> String {
    format!(
        "POST /order/new HTTP/1.1\r\nHost: floor.example\r\nAuthorization: Bearer {API_KEY}\r\n\
         Balsamjunction-Attempt-Id: {id}\r\nBalsamjunction-Deadline-Ms: {CALLER_DEADLINE_MS}\r\n\
         Content-Length: 10\r\n\r\n"
    )
}

/// Reads one response, up to the end of its body, in lower case; empty if the connection ends without one.
async fn read_response(tcp: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    let mut part = [0; 1_024];
    loop {
        let text = String::from_utf8_lossy(&buf).to_ascii_lowercase();
        let length = text.split_once("content-length: ").and_then(|(_, rest)| {
            let (length, _) = rest.split_once("\r\n")?;
            length.parse::<usize>().ok()
        });
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body.len());
        if body.is_some() && body >= length {
            return text;
        }
        match tcp.read(&mut part).await {
            Ok(0) | Err(_) => return String::new(),
            Ok(read) => buf.extend_from_slice(&part[..read]),
        }
    }
}

// Guards against an order whose body arrives late in the grace period, and which is passed on although the process may
// exit before it ends.
#[actix_rt::test]
async fn an_order_whose_body_arrives_late_in_the_grace_period_is_refused_and_does_not_run() {
    let stopping = StoppingSite::start(5_000).await;
    stopping.wait_until(2_000).await;
    let tcp = TcpStream::connect(stopping.gateway.callers).await;
    let mut tcp = tcp.expect("connect to the gateway");
    let half = format!("{}12345", order_head("late"));
    let sent = tcp.write_all(half.as_bytes()).await;
    sent.expect("send half of the body");

    stopping.wait_until(4_000).await;
    let sent = tcp.write_all(b"67890").await;
    sent.expect("send the rest of the body");
    let response = read_response(&mut tcp).await;

    assert!(response.starts_with("http/1.1 503"), "{response}");
    assert!(stopping.signalled_at.elapsed() < Duration::from_millis(4_500));
    assert!(stopping.engine.runs().is_empty());
}

// Guards against an order that waits for a free slot and is passed on late in the grace period.
#[actix_rt::test]
async fn an_order_that_waits_into_the_grace_period_is_refused_and_does_not_run() {
    let mut stopping = StoppingSite::start_without_signal(4_500).await;
    let mut entry = stopping.engine.registry_entry("ready");
    entry["slots"] = json!(1);
    stopping.site.store.put("servers/d1", &entry);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let first = actix_rt::spawn(send_order(stopping.gateway, "first"));
    wait_until("the first order to run", async || {
        stopping.engine.runs().len() == 1
    })
    .await;

    stopping.signal();
    stopping.wait_until(1_000).await;
    let second = send_order(stopping.gateway, "second").await;
    let first = first.await.expect("the call does not panic");

    assert_eq!(first, Some(200));
    assert_eq!(second, Some(503));
    assert_eq!(stopping.engine.runs().len(), 1);
}

// Guards against an order that is passed on to another upstream late in the grace period, after the first one refused it.
#[actix_rt::test]
async fn an_order_that_an_upstream_refuses_late_in_the_grace_period_is_passed_on_to_no_other() {
    let mut stopping = StoppingSite::start_without_signal(5_000).await;
    stopping.site.store.delete("servers/d1");
    let refusal =
        "HTTP/1.1 503 Full\r\nBalsamjunction-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    let late_refusal = Script {
        filler: refusal.into(),
        pause: Duration::from_millis(3_000),
        ..Script::default()
    };
    let options = plain_engine_options("d0");
    let refusing = stopping.site.start_scripted_server(options, late_refusal);
    let refusing = refusing.await;
    actix_rt::time::sleep(Duration::from_millis(500)).await;

    stopping.signal();
    stopping.wait_until(1_000).await;
    let gateway = stopping.gateway;
    let order = actix_rt::spawn(send_order(gateway, "a1"));
    wait_until("the first upstream to have the order", async || {
        refusing.requests() == 1
    })
    .await;
    stopping.site.register(&stopping.engine, "ready");
    let status = order.await.expect("the call does not panic");

    assert_eq!(status, Some(503));
    assert!(stopping.signalled_at.elapsed() < Duration::from_millis(4_500));
    assert!(stopping.engine.runs().is_empty());
}

// Guards against a stream that must not be resumed, may outlast the grace period, and is cut when the process exits.
#[actix_rt::test]
async fn a_stream_that_cannot_be_resumed_and_may_outlast_the_grace_period_is_refused() {
    let stopping = StoppingSite::start(5).await;
    let engine = stopping
        .site
        .start_engine(model_engine_options("e1", 100, 100));
    let engine = engine.await;
    stopping.wait_until(1_000).await;

    let refused = call(stopping.gateway, "/once/now", "a1", true).await;
    let response = refused.expect("the gateway responds");

    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some());
    assert!(engine.runs().is_empty());
}

// Guards against a stopping gateway that refuses short orders which end long before it exits.
#[actix_rt::test]
async fn a_short_order_shortly_after_the_stop_signal_is_served() {
    let stopping = StoppingSite::start(20).await;
    stopping.wait_until(1_500).await;

    let status = send_order(stopping.gateway, "a1").await;

    assert_eq!(status, Some(200));
}

// Guards against a second request on a kept connection that is passed on, or gets no response, late in the grace period.
#[actix_rt::test]
async fn a_second_order_on_a_kept_connection_late_in_the_grace_period_is_refused() {
    let mut stopping = StoppingSite::start_without_signal(20).await;
    let tcp = TcpStream::connect(stopping.gateway.callers).await;
    let mut tcp = tcp.expect("connect to the gateway");
    let first = format!("{}1234567890", order_head("first"));
    let second = format!("{}1234567890", order_head("second"));

    let sent = tcp.write_all(first.as_bytes()).await;
    sent.expect("send the first order");
    let first = read_response(&mut tcp).await;
    stopping.signal();
    stopping.wait_until(3_050).await;
    let sent = tcp.write_all(second.as_bytes()).await;
    sent.expect("send the second order");
    let second = read_response(&mut tcp).await;

    assert!(first.starts_with("http/1.1 200"), "{first}");
    assert!(second.starts_with("http/1.1 503"), "{second}");
    assert!(second.contains("connection: close"), "{second}");
    assert_eq!(stopping.engine.runs().len(), 1);
}

// Guards against a version that does not arrive because a stager that sends its chunks stops.
#[actix_rt::test]
async fn a_stager_that_stops_during_a_distribution_delays_no_other_engine() {
    let mut site = TestSite::start().await;
    let gateway = site.start_gateway("g1", &[]);
    let mut engines = Vec::new();
    for n in 0..3 {
        let options = model_engine_options(&format!("e{n}"), 3, 5);
        let engine = site.start_engine(options).await;
        site.start_stager(&format!("s{n}"), &engine, &[gateway]);
        engines.push(engine);
    }
    gateway.wait_until_ready().await;
    actix_rt::time::sleep(Duration::from_millis(1_000)).await;

    site.publish_version(2);
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let sent = site.processes.signal("s0", Signal::SIGTERM);
    sent.expect("signal the stager");
    wait_until("the other engines to serve the version", async || {
        engines[1..].iter().all(|e| e.version() == Some(2))
    })
    .await;
    wait_until("the stager to exit", async || {
        let exited = site.processes.exit_success("s0");
        exited.expect("the process was started") == Some(true)
    })
    .await;
    site.processes.restart("s0").expect("the stager starts");
    wait_until("its engine to serve the version", async || {
        engines[0].version() == Some(2)
    })
    .await;

    assert!(engines.iter().all(|e| e.inconsistent_loads() == 0));
}
