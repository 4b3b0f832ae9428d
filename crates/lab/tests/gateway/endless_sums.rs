//! Memory under many endless or overlong responses at the same time, and under long ones that are decoded.

use std::time::Duration;

use balsamjunction_lab::standin::platform::{Script, ScriptedServer};
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::common::{
    model_engine_options, plain_engine_options, wait_until, Gateway, TestSite, API_KEY,
};

/// Memory of the smallest host in use, the default of the setting `memory_mb`.
const SMALLEST_HOST_MB: u64 = 112;
/// Requests in progress at the same time on the smallest host.
const CONCURRENT_REQUESTS: usize = 200;
/// Faulty upstreams. A new one is sent a few requests at a time.
const FAULTY_UPSTREAMS: usize = 60;
/// Time for which the responses flow, within the time limit of the route.
const FLOW_TIME: Duration = Duration::from_secs(3);
/// Memory that a gateway may use with so many unread responses: 148 KiB that it charges for each, and the 40 MB that it
/// reserves for everything else.
const MAX_GATEWAY_BYTES: u64 = CONCURRENT_REQUESTS as u64 * 148 * 1_024 + 40_000_000;
/// Memory that a stager may use beside an engine: 16 MiB at rest, and four reads at a time of the longest chunk, which
/// has 4 MiB.
const MAX_STAGER_BYTES: u64 = (16 + 4 * 4) * 1_024 * 1_024;
/// Time in which a stager sends several requests.
const SEVERAL_REQUESTS_TIME: Duration = Duration::from_secs(4);

const OK_HEAD: &str = "HTTP/1.1 200 OK\r\nBalsamjunction-Attempt-Id: {id}\r\n\
                  Balsamjunction-Server-Signature: s\r\n";
/// Length of a response that does not end within the test, in bytes.
const ENDLESS_LENGTH: u64 = 10_000_000_000;

/// A response that begins with `headers` besides the usual ones, and repeats `filler` without end.
fn endless_script(headers: &str, filler: Vec<u8>) -> Script {
    Script {
        opening: format!("{OK_HEAD}{headers}\r\n"),
        filler: filler.into(),
        ..Script::default()
    }
}

/// Endless responses, each with the path of the requests that receive them.
fn endless_responses() -> Vec<(&'static str, Script)> {
    let length = format!("Content-Length: {ENDLESS_LENGTH}\r\n");
    let events = "Content-Type: text/event-stream\r\n";
    let long_event = [
        b"id: 1\ndata: ".to_vec(),
        vec![b'w'; 60_000],
        b"\n\n".to_vec(),
    ]
    .concat();
    let lines = (0..60).map(|n| format!("x-more-{n}: {}\r\n", "v".repeat(200)));
    let long_head: String = lines.collect();
    let informational = Script {
        opening: "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
        filler: b"HTTP/1.1 102 Processing\r\nx-more: of the same\r\n\r\n"
            .repeat(1_000)
            .into(),
        ..Script::default()
    };
    vec![
        ("/order/new", informational),
        (
            "/draft/now",
            endless_script(&format!("{events}{length}"), long_event),
        ),
        (
            "/draft/now",
            endless_script(events, b": hello\n\n".repeat(10_000)),
        ),
        ("/order/new", endless_script(&length, vec![b'b'; 100_000])),
        (
            "/order/new",
            endless_script(&format!("{long_head}{length}"), vec![b'b'; 100_000]),
        ),
    ]
}

/// Sends a request and returns its connection, from which nothing is read.
async fn send_without_reading(gateway: Gateway, path: &str, n: usize) -> TcpStream {
    let mut tcp = TcpStream::connect(gateway.callers)
        .await
        .expect("the gateway listens");
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: floor.example\r\nAuthorization: Bearer {API_KEY}\r\n\
         Balsamjunction-Attempt-Id: a{n}\r\nBalsamjunction-Deadline-Ms: 3800\r\n\
         Balsamjunction-Model: m1\r\nBalsamjunction-Token-Usage: 100,50\r\nContent-Length: 1\r\n\r\nx"
    );
    tcp.write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    tcp
}

// With 200 streams of long events that were not read, a gateway used over 100 MB; the smallest host has 112 MB.
#[actix_rt::test]
async fn endless_responses_to_many_callers_fit_into_the_smallest_host() {
    for (path, script) in endless_responses() {
        let mut site = TestSite::start().await;
        site.memory_mb = Some(SMALLEST_HOST_MB);
        let mut faulty: Vec<ScriptedServer> = Vec::new();
        let mut options = model_engine_options("", 1, 5);
        let mut healthy = plain_engine_options("healthy");
        if path == "/order/new" {
            std::mem::swap(&mut options, &mut healthy);
        }
        healthy.id = "healthy".into();
        for n in 0..FAULTY_UPSTREAMS {
            options.id = format!("faulty-{n}").into();
            let server = site.start_scripted_server(options.clone(), script.clone());
            faulty.push(server.await);
        }
        site.start_engine(healthy).await;
        let gateway = site.start_gateway("g1", &[]);
        gateway.wait_until_ready().await;
        let process = site.processes.pid("g1");

        let mut callers = Vec::new();
        for n in 0..CONCURRENT_REQUESTS {
            callers.push(send_without_reading(gateway, path, n).await);
        }
        actix_rt::time::sleep(FLOW_TIME).await;
        let peak = site.peak_memory_bytes("g1");
        let response = match path {
            "/order/new" => gateway.generate("ordinary").await,
            _ => gateway.call("POST", "/order/new", "ordinary").await,
        };

        let requests: usize = faulty.iter().map(ScriptedServer::requests).sum();
        println!("{path}: {peak} bytes with {requests} requests");
        assert!(requests >= CONCURRENT_REQUESTS, "{requests} requests");
        assert!(peak < MAX_GATEWAY_BYTES, "{peak} bytes");
        assert_eq!(response.status, 200);
        assert_eq!(site.processes.pid("g1"), process);
        drop(callers);
    }
}

/// A complete response with `body`.
fn json_script(body: String) -> Script {
    let length = body.len();
    Script {
        opening: format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
        ..Script::default()
    }
}

/// `element` repeated as the elements of a JSON array of almost 8 MiB.
fn long_array(element: &str) -> String {
    let elements = vec![element; 8_000_000 / (element.len() + 1)];
    format!("[{}]", elements.join(","))
}

/// Starts a stager whose engine answers requests for targets that contain `text` by `script`, and all others
/// soundly; publishes a version and returns the peak memory of the stager.
async fn run_with_faulty_engine(text: &'static str, script: Script) -> u64 {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(model_engine_options("e1", 1, 5)).await;
    site.start_engine(plain_engine_options("d1")).await;
    let server = ScriptedServer::start(Script {
        elsewhere: Some((text, engine.address)),
        ..script
    });
    let server = server.await.expect("start the scripted server");
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let mut faulty_engine = engine.clone();
    faulty_engine.address = server.address;
    site.start_stager("s1", &faulty_engine, &[gateway]);
    site.publish_version(2);
    wait_until("a request to receive the response", async || {
        server.requests() > 0
    })
    .await;
    actix_rt::time::sleep(SEVERAL_REQUESTS_TIME).await;

    let response = gateway.call("POST", "/order/new", "ordinary").await;
    assert_eq!(response.status, 200);
    let exit = site.processes.exit_success("s1");
    assert_eq!(exit.expect("the process was started"), None);
    site.peak_memory_bytes("s1")
}

// A stager held up to 8 MiB of each staged chunk that its engine sent without end, and decoded 8 MiB of a report or
// of a list of staged chunks.
#[actix_rt::test]
async fn long_responses_of_an_engine_fit_beside_its_stager() {
    let models = long_array(r#"{"name":"m","version":1}"#);
    for (text, script) in [
        (
            "/stage-get/m1?",
            endless_script(
                "Transfer-Encoding: chunked\r\n",
                b"4\r\naaaa\r\n".repeat(1_000),
            ),
        ),
        (
            "/stage-get/m1?",
            endless_script("Content-Length: 8000000\r\n", vec![b'a'; 100_000]),
        ),
        (
            "/stage-get/m1 ",
            json_script(format!("{{\"held\":{}}}", long_array("0"))),
        ),
        ("/report", json_script(format!("{{\"models\":{models}}}"))),
    ] {
        let peak = run_with_faulty_engine(text, script).await;

        println!("{text}: {peak} bytes");
        assert!(peak < MAX_STAGER_BYTES, "{text}: {peak} bytes");
    }
}

// A stager decoded a manifest of 8 MiB twice, and kept it; chunks were collected up to 8 MiB each whatever their
// manifest stated.
#[actix_rt::test]
async fn long_responses_of_an_origin_fit_beside_a_stager() {
    let digests = long_array(r#""""#);
    let manifest = format!(
        "{{\"model\":\"m1\",\"version\":2,\"chunkBytes\":4096,\"layers\":4,\"digests\":{digests}}}"
    );
    for (text, script) in [
        ("/manifest/", json_script(manifest)),
        (
            "/piece/",
            endless_script("Content-Length: 8000000\r\n", vec![b'a'; 100_000]),
        ),
    ] {
        let mut site = TestSite::start().await;
        let healthy_origin = site.origin.address;
        let faulty = ScriptedServer::start(Script {
            elsewhere: Some((text, healthy_origin)),
            ..script
        });
        let faulty = faulty.await.expect("start the scripted server");
        let set_origin = |config: &mut serde_json::Value, address: String| {
            config["services"][2]["origin"] = json!(address);
        };
        site.update_config(|config| set_origin(config, faulty.address.to_string()));
        let engine = site.start_engine(model_engine_options("e1", 2, 5)).await;
        let gateway = site.start_gateway("g1", &[]);
        gateway.wait_until_ready().await;
        site.start_stager("s1", &engine, &[gateway]);
        site.publish_version(2);
        wait_until("a request to receive the response", async || {
            faulty.requests() > 0
        })
        .await;

        actix_rt::time::sleep(SEVERAL_REQUESTS_TIME).await;
        let peak = site.peak_memory_bytes("s1");
        site.update_config(|config| set_origin(config, healthy_origin.to_string()));

        println!("{text}: {peak} bytes");
        assert!(peak < MAX_STAGER_BYTES, "{text}: {peak} bytes");
        wait_until("the engine to serve the version", async || {
            engine.version() == Some(2)
        })
        .await;
        assert_eq!(engine.inconsistent_loads(), 0);
    }
}

// A gateway collected a page that its store repeated without end, until its memory ran out.
#[actix_rt::test]
async fn a_listing_whose_page_is_repeated_without_end_is_given_up() {
    let entries = (0..10_000)
        .map(|n| json!({"key": format!("servers/removed-{n}"), "revision": n, "deleted": true}));
    let entries: Vec<_> = entries.collect();
    let page = json!({"entries": entries, "hasMore": true, "at": 20_000});
    let mut site = TestSite::start().await;
    site.start_engine(plain_engine_options("d1")).await;
    let first = site.start_gateway("g1", &[]);
    first.wait_until_ready().await;
    let store = ScriptedServer::start(Script {
        keep_open: true,
        ..json_script(page.to_string())
    });
    let store = store.await.expect("start the scripted server");

    // A seed lists the store at once, although its peers have all facts.
    let gateway = Gateway::at(site.next_ip());
    let settings = json!({"store": store.address.to_string()});
    site.start_gateway_with("g2", gateway, &[first, gateway], &settings);
    gateway.wait_until_ready().await;
    actix_rt::time::sleep(SEVERAL_REQUESTS_TIME).await;
    let response = gateway.call("POST", "/order/new", "ordinary").await;

    let peak = site.peak_memory_bytes("g2");
    println!(
        "repeated pages: {peak} bytes with {} requests",
        store.requests()
    );
    assert!(store.requests() > 1);
    assert!(peak < MAX_GATEWAY_BYTES, "{peak} bytes");
    assert_eq!(response.status, 200);
}
