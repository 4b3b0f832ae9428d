//! Versions at the time at which they must be in force: what still begins on the one before.

use std::{
    slice::from_ref,
    time::{Duration, Instant},
};

use balsamjunction_lab::standin::platform::{Engine, EngineOptions};
use futures_util::future::{join, join_all};
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::common::{engine, event_ids, until, Gateway, Got, Site};

/// Long enough for a busy machine: the last hundredths of it are for recalls.
const VERSION_WITHIN: Duration = Duration::from_millis(4_000);
/// Wait in an engine's queue; shorter than the silence after which a gateway gives an engine up.
const QUEUE_WAIT: Duration = Duration::from_millis(1_400);
/// How long after the time of a version a request would begin that waits for all of [`QUEUE_WAIT`].
const LATE: Duration = Duration::from_millis(100);
/// Pause between requests of which some begin before the version must be in force, and some after.
const SPACING: Duration = Duration::from_millis(100);
/// Events of a stream.
const EVENTS: u32 = 3;
/// Path of generations that may go on at another engine.
const RESUMABLE: &str = "/draft/now";
/// Path of generations that run at one engine only.
const ONCE: &str = "/once/now";

/// A gateway and an engine of version 1 that never turns, since no stager brings it another.
async fn before_the_naming() -> (Site, Gateway, Engine) {
    let (site, gateway, mut holding) = engines_before_the_naming(1).await;
    (site, gateway, holding.remove(0))
}

/// The same with several engines.
async fn engines_before_the_naming(count: usize) -> (Site, Gateway, Vec<Engine>) {
    let mut site = Site::start().await;
    site.version_within = VERSION_WITHIN;
    let mut holding = Vec::new();
    for n in 0..count {
        let engine = site.engine(engine(&format!("e{n}"), EVENTS, 5)).await;
        engine.set_queue_wait(QUEUE_WAIT);
        holding.push(engine);
    }
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    (site, gateway, holding)
}

/// Names version 2; gives the time at which the store had it.
fn name_second(site: &Site) -> Instant {
    site.name_version(2);
    Instant::now()
}

/// Generates once `at` has come.
async fn generate_at(gateway: Gateway, at: Instant, path: &str, id: String) -> Got {
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
        .expect("the request goes out");
    tcp
}

/// Names version 2 and sends requests to engines of version 1 that are due to begin there when it is
/// overdue; `meanwhile` is done when they wait.
async fn generate_to_wait<T>(
    site: &Site,
    gateway: Gateway,
    holding: &[Engine],
    path: &str,
    requests: usize,
    meanwhile: impl AsyncFnOnce() -> T,
) -> (Vec<Got>, T) {
    let bound = name_second(site) + VERSION_WITHIN;
    // The old version may still be used then.
    let sent = bound - (QUEUE_WAIT - LATE);
    let calls = (0..requests).map(|n| generate_at(gateway, sent, path, format!("a{n}")));
    let change = async {
        until("the requests to wait at the engines", async || {
            holding.iter().map(Engine::arrival_count).sum::<usize>() == requests
        })
        .await;
        meanwhile().await
    };
    join(join_all(calls), change).await
}

/// The same; an engine of version 2 comes when they wait.
async fn generate_until_overdue(
    site: &Site,
    gateway: Gateway,
    holding: &[Engine],
    path: &str,
    requests: usize,
) -> (Vec<Got>, Engine) {
    let options = EngineOptions {
        version: Some(2),
        ..engine("newer", EVENTS, 5)
    };
    let newer = async || site.engine(options).await;
    generate_to_wait(site, gateway, holding, path, requests, newer).await
}

/// How the attempts at each engine ended that a gateway counts as failed.
fn endings_at(site: &Site, gateway: &str, engines: &[Engine]) -> Vec<Vec<String>> {
    let lines = site.lines(gateway, "attempt-failed");
    let at = |engine: &Engine| {
        let lines = lines
            .iter()
            .filter(|line| line["upstream"] == engine.options.id.as_str());
        lines
            .map(|line| line["ending"].as_str().unwrap_or_default().to_owned())
            .collect()
    };
    engines.iter().map(at).collect()
}

fn assert_all_served_by(answers: &[Got], id: &str) {
    for got in answers {
        assert_eq!(got.status, 200, "{answers:#?}");
        let body = got.body.as_deref().expect("the stream is whole");
        assert_eq!(event_ids(body), [1, 2, 3]);
        assert_eq!(got.signature.as_deref(), Some(id));
    }
}

// VERSION on abay-deck: requests waited in an engine's queue until its version was overdue.
#[actix_rt::test]
async fn no_request_begins_on_an_overdue_version_after_a_wait_at_the_engine() {
    let (site, gateway, holding) = before_the_naming().await;

    let named = name_second(&site);
    let bound = named + VERSION_WITHIN;
    let first = bound - QUEUE_WAIT * 3 / 2;
    let sends = (0..)
        .map(|n| first + SPACING * n)
        .take_while(|at| *at < bound);
    let calls = sends
        .enumerate()
        .map(|(n, at)| generate_at(gateway, at, RESUMABLE, format!("a{n}")));
    join_all(calls).await;

    let runs = holding.runs();
    let ms = |at: Instant| (at - named).as_millis();
    let late: Vec<String> = runs
        .iter()
        .filter(|run| run.version == Some(1) && run.started_at > bound)
        .map(|run| {
            format!(
                "{} came {}, began {}",
                run.id,
                ms(run.arrived_at),
                ms(run.started_at)
            )
        })
        .collect();
    assert!(!runs.is_empty(), "no request began");
    assert!(
        late.is_empty(),
        "{} of {} requests began on version 1 later than {} ms after version 2 was named: {late:#?}",
        late.len(),
        runs.len(),
        VERSION_WITHIN.as_millis()
    );
}

// VERSION on abay-deck: a request that is recalled from an old engine is lost to its caller.
#[actix_rt::test]
async fn a_request_that_waits_at_an_engine_without_the_version_is_served_by_one_that_has_it() {
    let (site, gateway, holding) = before_the_naming().await;

    let (answers, newer) =
        generate_until_overdue(&site, gateway, from_ref(&holding), RESUMABLE, 2).await;

    assert_all_served_by(&answers, "newer");
    assert!(holding.runs().is_empty(), "{:?}", holding.runs());
    assert_eq!(newer.runs().len(), 2);
}

// VERSION on abay-deck: requests that are recalled together are refused though an engine is idle.
#[actix_rt::test]
async fn requests_that_are_recalled_together_are_all_served_by_an_idle_engine() {
    let (site, gateway, holding) = before_the_naming().await;

    let (answers, newer) =
        generate_until_overdue(&site, gateway, from_ref(&holding), RESUMABLE, 8).await;

    assert_all_served_by(&answers, "newer");
    assert!(holding.runs().is_empty(), "{:?}", holding.runs());
    assert_eq!(newer.runs().len(), 8);
}

// VERSION on abay-deck: a request that may have begun is taken for one that surely did not run.
#[actix_rt::test]
async fn a_recalled_request_that_may_run_once_reaches_no_second_engine() {
    let (site, gateway, holding) = before_the_naming().await;

    let (answers, newer) =
        generate_until_overdue(&site, gateway, from_ref(&holding), ONCE, 2).await;

    let statuses: Vec<u16> = answers.iter().map(|got| got.status).collect();
    assert_eq!(statuses, [502, 502], "{answers:#?}");
    assert_eq!(newer.arrival_count(), 0);
}

// VERSION on abay-deck: a recall counts as a crash or a failure of the engine that was too slow.
#[actix_rt::test]
async fn a_recall_is_blamed_neither_on_the_request_nor_on_the_engine() {
    let (site, gateway, holding) = engines_before_the_naming(3).await;

    generate_until_overdue(&site, gateway, &holding, RESUMABLE, 9).await;
    let suspended = r#"balsamjunction_upstreams{state="suspended"}"#;
    let suspended = gateway.metric(suspended).await;
    let again = gateway.generate("b0").await;

    // Log lines may come later than the answers.
    until("the lines of the attempts", async || {
        site.lines("g1", "attempt-failed").len() >= 9
    })
    .await;
    let endings = endings_at(&site, "g1", &holding);
    assert_eq!(endings, [["recalled"; 3]; 3]);
    assert_eq!(suspended, Some(0.0));
    assert_all_served_by(&[again], "newer");
}

// VERSION on abay-deck: an engine that has left the list begins what waits there on its old version.
#[actix_rt::test]
async fn a_request_that_waits_at_an_engine_that_leaves_does_not_begin_on_an_overdue_version() {
    let (site, gateway, holding) = before_the_naming().await;

    let leaves = async || site.store.delete("servers/e0");
    generate_to_wait(&site, gateway, from_ref(&holding), RESUMABLE, 2, leaves).await;
    // Those that are still in the queue begin meanwhile.
    actix_rt::time::sleep(QUEUE_WAIT).await;

    assert!(holding.runs().is_empty(), "{:?}", holding.runs());
}

// VERSION on abay-deck: requests are recalled from an engine that has turned while they waited.
#[actix_rt::test]
async fn a_request_that_waits_at_an_engine_that_turns_to_the_version_stays_there() {
    let (site, gateway, holding) = before_the_naming().await;

    let turns = async || {
        holding.set_version(2);
        site.register(&holding, "ready");
    };
    let (answers, ()) =
        generate_to_wait(&site, gateway, from_ref(&holding), RESUMABLE, 2, turns).await;

    assert_all_served_by(&answers, "e0");
    let versions: Vec<Option<u64>> = holding.runs().iter().map(|run| run.version).collect();
    assert_eq!(versions, [Some(2); 2]);
    assert_eq!(holding.arrival_count(), 2);
}

// VERSION on abay-deck: a request begins though the gateway has closed its connection.
#[actix_rt::test]
async fn a_request_whose_connection_closes_leaves_the_queue_of_its_engine() {
    let holding = Engine::start(engine("e1", EVENTS, 5))
        .await
        .expect("the engine starts");
    holding.set_queue_wait(Duration::from_millis(300));

    let leaves = send_generation(&holding, "a0").await;
    until("the first request to wait", async || {
        holding.arrival_count() == 1
    })
    .await;
    drop(leaves);
    let _stays = send_generation(&holding, "a1").await;
    until("the second request to run", async || {
        !holding.runs().is_empty()
    })
    .await;

    // The first would have begun before the second.
    let begun: Vec<String> = holding.runs().into_iter().map(|run| run.id).collect();
    assert_eq!(begun, ["a1"]);
}
