//! The bound by which a published version must be in force: which requests still begin on the old one.

use std::{
    slice::from_ref,
    time::{Duration, Instant},
};

use balsamjunction_lab::standin::platform::{Engine, EngineOptions, Run, StoreFault};
use futures_util::future::{join, join_all};
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::{
    common::{event_ids, model_engine_options, wait_until, CallerResponse, Gateway, TestSite},
    held_link::{HeldLink, HeldRequest},
};

/// Time from the publication of a version to its bound; long enough for a busy machine. The gateway
/// cancels waiting requests in the last hundredths of it.
const VERSION_WITHIN: Duration = Duration::from_millis(4_000);
/// Wait in an engine's queue; shorter than the silence after which a gateway aborts an attempt.
const QUEUE_WAIT: Duration = Duration::from_millis(1_400);
/// How long after the bound of the version a request begins if it waits for all of [`QUEUE_WAIT`].
const LATENESS: Duration = Duration::from_millis(100);
/// Time for which the store rejects reads; shorter than the age at which a gateway refuses callers' keys.
const READS_REJECTED: Duration = Duration::from_millis(1_500);
/// Interval between requests, of which some begin before the bound of the version and some after it.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Events per stream.
const EVENT_COUNT: u32 = 3;
/// Path of generations that another engine may resume.
const RESUMABLE_PATH: &str = "/draft/now";
/// Path of generations that may run at one engine only.
const NON_RESUMABLE_PATH: &str = "/once/now";

/// Starts a gateway and an engine that stays on version 1, since no stager delivers another version.
async fn start_with_old_engine() -> (TestSite, Gateway, Engine) {
    let (site, gateway, mut old_engines) = start_with_old_engines(1).await;
    (site, gateway, old_engines.remove(0))
}

/// Does the same as [`start_with_old_engine`] with several engines.
async fn start_with_old_engines(count: usize) -> (TestSite, Gateway, Vec<Engine>) {
    let mut site = TestSite::start().await;
    site.version_deadline = VERSION_WITHIN;
    let mut old_engines = Vec::new();
    for n in 0..count {
        let engine = site
            .start_engine(model_engine_options(&format!("e{n}"), EVENT_COUNT, 5))
            .await;
        engine.set_queue_wait(QUEUE_WAIT);
        old_engines.push(engine);
    }
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    (site, gateway, old_engines)
}

/// Starts an engine that is reached over a link, and registers it.
async fn start_engine_behind_link(site: &TestSite, options: EngineOptions) -> (Engine, HeldLink) {
    let engine = Engine::start(options).await.expect("start the engine");
    let link = HeldLink::start(engine.address).await;
    let entry = engine.options.registry_entry(link.address, "ready");
    let key = format!("servers/{}", engine.options.id);
    site.store.put(&key, &entry);
    (engine, link)
}

/// Publishes version 2 and returns the time at which the store had it.
fn publish_second_version(site: &TestSite) -> Instant {
    site.publish_version(2);
    Instant::now()
}

/// Sends a generation at time `at`.
async fn generate_at(gateway: Gateway, at: Instant, path: &str, id: String) -> CallerResponse {
    actix_rt::time::sleep_until(at.into()).await;
    gateway.generate_on(path, &id).await
}

/// Opens a connection to an engine and sends it a generation.
async fn send_generation(engine: &Engine, id: &str) -> TcpStream {
    let mut tcp = TcpStream::connect(engine.address)
        .await
        .expect("the engine accepts");
    let head = format!(
        "POST /draft/now HTTP/1.1\r\nHost: engine\r\nBalsamjunction-Attempt-Id: {id}\r\n\
         Balsamjunction-Token-Usage: 10,10\r\nContent-Length: 0\r\n\r\n"
    );
    tcp.write_all(head.as_bytes())
        .await
        .expect("the request is sent");
    tcp
}

/// Publishes version 2 and sends requests to engines of version 1, whose queues would let them begin only
/// when version 1 is overdue. Runs `while_waiting` once all requests wait at the engines.
async fn generate_and_wait_in_queue<T>(
    site: &TestSite,
    gateway: Gateway,
    old_engines: &[Engine],
    path: &str,
    requests: usize,
    while_waiting: impl AsyncFnOnce() -> T,
) -> (Vec<CallerResponse>, T) {
    let bound = publish_second_version(site) + VERSION_WITHIN;
    // The old version may still be used at that time.
    let send_at = bound - (QUEUE_WAIT - LATENESS);
    let calls = (0..requests).map(|n| generate_at(gateway, send_at, path, format!("a{n}")));
    let change = async {
        wait_until("the requests to wait at the engines", async || {
            old_engines.iter().map(Engine::arrival_count).sum::<usize>() == requests
        })
        .await;
        while_waiting().await
    };
    join(join_all(calls), change).await
}

/// Does the same as [`generate_and_wait_in_queue`] and starts an engine of version 2 while the requests wait.
async fn generate_until_overdue(
    site: &TestSite,
    gateway: Gateway,
    old_engines: &[Engine],
    path: &str,
    requests: usize,
) -> (Vec<CallerResponse>, Engine) {
    let options = EngineOptions {
        version: Some(2),
        ..model_engine_options("newer", EVENT_COUNT, 5)
    };
    let start_newer = async || site.start_engine(options).await;
    generate_and_wait_in_queue(site, gateway, old_engines, path, requests, start_newer).await
}

/// For each engine, the endings of the attempts that the gateway's log reports as failed.
fn endings_by_engine(site: &TestSite, gateway: &str, engines: &[Engine]) -> Vec<Vec<String>> {
    let lines = site.log_lines(gateway, "attempt-failed");
    let endings = |engine: &Engine| {
        let lines = lines
            .iter()
            .filter(|line| line["upstream"] == engine.options.id.as_str());
        lines
            .map(|line| line["ending"].as_str().unwrap_or_default().to_owned())
            .collect()
    };
    engines.iter().map(endings).collect()
}

/// A description of each run that started on a version after its bound.
fn late_runs(runs: &[Run], version: u64, published_at: Instant) -> Vec<String> {
    let ms = |at: Instant| (at - published_at).as_millis();
    runs.iter()
        .filter(|run| run.version == Some(version))
        .filter(|run| run.started_at > published_at + VERSION_WITHIN)
        .map(|run| {
            format!(
                "{} arrived at {} ms, began at {} ms",
                run.id,
                ms(run.arrived_at),
                ms(run.started_at)
            )
        })
        .collect()
}

fn assert_all_served_by(responses: &[CallerResponse], id: &str) {
    for got in responses {
        assert_eq!(got.status, 200, "{responses:#?}");
        let body = got.body.as_deref().expect("the stream is complete");
        assert_eq!(event_ids(body), [1, 2, 3]);
        assert_eq!(got.signature.as_deref(), Some(id));
    }
}

// Guards against requests that begin on an overdue version after a wait in the engine's queue, as seen on
// abay-deck.
#[actix_rt::test]
async fn no_request_begins_on_an_overdue_version_after_a_wait_at_the_engine() {
    let (site, gateway, old_engine) = start_with_old_engine().await;

    let published_at = publish_second_version(&site);
    let bound = published_at + VERSION_WITHIN;
    let first_at = bound - QUEUE_WAIT * 3 / 2;
    let send_times = (0..)
        .map(|n| first_at + REQUEST_INTERVAL * n)
        .take_while(|at| *at < bound);
    let calls = send_times
        .enumerate()
        .map(|(n, at)| generate_at(gateway, at, RESUMABLE_PATH, format!("a{n}")));
    join_all(calls).await;

    let runs = old_engine.runs();
    let late = late_runs(&runs, 1, published_at);
    assert!(!runs.is_empty(), "no request began");
    assert!(
        late.is_empty(),
        "{} of {} requests began on version 1 later than {} ms after version 2 was published: {late:#?}",
        late.len(),
        runs.len(),
        VERSION_WITHIN.as_millis()
    );
}

// Guards against losing a request that is cancelled at an engine of an overdue version (abay-deck).
#[actix_rt::test]
async fn a_request_that_waits_at_an_engine_without_the_version_is_served_by_one_that_has_it() {
    let (site, gateway, old_engine) = start_with_old_engine().await;

    let (responses, newer) =
        generate_until_overdue(&site, gateway, from_ref(&old_engine), RESUMABLE_PATH, 2).await;

    assert_all_served_by(&responses, "newer");
    assert!(old_engine.runs().is_empty(), "{:?}", old_engine.runs());
    assert_eq!(newer.runs().len(), 2);
}

// Guards against refusing requests that are cancelled together while an engine is idle (abay-deck).
#[actix_rt::test]
async fn requests_that_are_cancelled_together_are_all_served_by_an_idle_engine() {
    let (site, gateway, old_engine) = start_with_old_engine().await;

    let (responses, newer) =
        generate_until_overdue(&site, gateway, from_ref(&old_engine), RESUMABLE_PATH, 8).await;

    assert_all_served_by(&responses, "newer");
    assert!(old_engine.runs().is_empty(), "{:?}", old_engine.runs());
    assert_eq!(newer.runs().len(), 8);
}

// Guards against treating a cancelled request that may have begun as one that did not run (abay-deck).
#[actix_rt::test]
async fn a_cancelled_non_resumable_request_reaches_no_second_engine() {
    let (site, gateway, old_engine) = start_with_old_engine().await;

    let (responses, newer) =
        generate_until_overdue(&site, gateway, from_ref(&old_engine), NON_RESUMABLE_PATH, 2).await;

    let statuses: Vec<u16> = responses.iter().map(|got| got.status).collect();
    assert_eq!(statuses, [502, 502], "{responses:#?}");
    assert_eq!(newer.arrival_count(), 0);
}

// Guards against counting a cancellation as a crash by the request or a failure of the slow engine
// (abay-deck).
#[actix_rt::test]
async fn a_cancellation_counts_against_neither_the_request_nor_the_engine() {
    let (site, gateway, old_engines) = start_with_old_engines(3).await;

    generate_until_overdue(&site, gateway, &old_engines, RESUMABLE_PATH, 9).await;
    let ejected_series = r#"balsamjunction_upstreams{state="suspended"}"#;
    let ejected = gateway.metric(ejected_series).await;
    let again = gateway.generate("b0").await;

    // Log lines may be written after the responses.
    wait_until("the log lines of the attempts", async || {
        site.log_lines("g1", "attempt-failed").len() >= 9
    })
    .await;
    let endings = endings_by_engine(&site, "g1", &old_engines);
    assert_eq!(endings, [["recalled"; 3]; 3]);
    assert_eq!(ejected, Some(0.0));
    assert_all_served_by(&[again], "newer");
}

// Guards against an engine that left the registry and begins its queued requests on the old version
// (abay-deck).
#[actix_rt::test]
async fn a_request_that_waits_at_a_deregistered_engine_does_not_begin_on_an_overdue_version() {
    let (site, gateway, old_engine) = start_with_old_engine().await;

    let deregister = async || site.store.delete("servers/e0");
    generate_and_wait_in_queue(
        &site,
        gateway,
        from_ref(&old_engine),
        RESUMABLE_PATH,
        2,
        deregister,
    )
    .await;
    // Requests that are still in the queue would begin in this time.
    actix_rt::time::sleep(QUEUE_WAIT).await;

    assert!(old_engine.runs().is_empty(), "{:?}", old_engine.runs());
}

// Guards against cancelling requests at an engine that switches to the version while they wait
// (abay-deck).
#[actix_rt::test]
async fn a_request_that_waits_at_an_engine_that_switches_to_the_version_stays_there() {
    let (site, gateway, old_engine) = start_with_old_engine().await;

    let switch = async || {
        old_engine.set_version(2);
        site.register(&old_engine, "ready");
    };
    let (responses, ()) = generate_and_wait_in_queue(
        &site,
        gateway,
        from_ref(&old_engine),
        RESUMABLE_PATH,
        2,
        switch,
    )
    .await;

    assert_all_served_by(&responses, "e0");
    let versions: Vec<Option<u64>> = old_engine.runs().iter().map(|run| run.version).collect();
    assert_eq!(versions, [Some(2); 2]);
    assert_eq!(old_engine.arrival_count(), 2);
}

// Guards against a request that begins after the gateway has closed its connection (abay-deck).
#[actix_rt::test]
async fn a_request_whose_connection_closes_leaves_the_queue_of_its_engine() {
    let old_engine = Engine::start(model_engine_options("e1", EVENT_COUNT, 5))
        .await
        .expect("the engine starts");
    old_engine.set_queue_wait(Duration::from_millis(300));

    let closed = send_generation(&old_engine, "a0").await;
    wait_until("the first request to wait", async || {
        old_engine.arrival_count() == 1
    })
    .await;
    drop(closed);
    let _open = send_generation(&old_engine, "a1").await;
    wait_until("the second request to run", async || {
        !old_engine.runs().is_empty()
    })
    .await;

    // The first would have begun before the second.
    let started: Vec<String> = old_engine.runs().into_iter().map(|run| run.id).collect();
    assert_eq!(started, ["a1"]);
}

// Guards against a request that was cancelled on its way, over a link that is congested, and is delivered after the bound
// of the version (mix-120 on abay-deck, hunt-7279-3 on abay-deck-large).
#[actix_rt::test]
async fn a_request_that_is_cancelled_on_its_way_is_not_delivered_afterwards() {
    let mut site = TestSite::start().await;
    site.version_deadline = VERSION_WITHIN;
    let options = model_engine_options("e0", EVENT_COUNT, 5);
    let (old_engine, link) = start_engine_behind_link(&site, options).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let published_at = publish_second_version(&site);
    let bound = published_at + VERSION_WITHIN;
    actix_rt::time::sleep_until((bound - QUEUE_WAIT).into()).await;
    link.hold_next("POST /once", QUEUE_WAIT + LATENESS);
    gateway.generate_on(NON_RESUMABLE_PATH, "a0").await;
    wait_until("the request to leave the link", async || {
        !link.ended().is_empty()
    })
    .await;
    // A request that is delivered begins at once.
    actix_rt::time::sleep(LATENESS).await;

    let endings = endings_by_engine(&site, "g1", from_ref(&old_engine));
    let late = late_runs(&old_engine.runs(), 1, published_at);
    assert_eq!(endings, [["recalled"]]);
    assert!(late.is_empty(), "{late:#?}");
    assert_eq!(link.ended(), [HeldRequest::Lost]);
}

// Guards against a gateway that takes its failed reads of the store for an outage, and a version that was published
// meanwhile for later than it was (zvh-vorbestell-grown, behind a large configuration).
#[actix_rt::test]
async fn a_version_published_while_reads_of_the_store_fail_is_in_force_in_time() {
    let mut site = TestSite::start().await;
    site.version_deadline = VERSION_WITHIN;
    let old_engine = site
        .start_engine(model_engine_options("e0", EVENT_COUNT, 5))
        .await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    site.store.set_fault(StoreFault::TooManyReads);
    let published_at = publish_second_version(&site);
    actix_rt::time::sleep(READS_REJECTED).await;
    site.store.set_fault(StoreFault::None);
    let bound = published_at + VERSION_WITHIN;
    let first_at = bound - REQUEST_INTERVAL * 10;
    let calls = (0..25).map(|n| {
        let at = first_at + REQUEST_INTERVAL * n;
        generate_at(gateway, at, RESUMABLE_PATH, format!("a{n}"))
    });
    join_all(calls).await;

    let late = late_runs(&old_engine.runs(), 1, published_at);
    assert!(late.is_empty(), "{late:#?}");
}
