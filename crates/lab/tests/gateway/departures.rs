//! Engines that say in their answers that they leave, or for how long they want nothing.

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::{Engine, EngineFault};
use futures_util::future::join_all;

use crate::common::{engine, plain, until, Gateway, Site};

/// The time that full engines ask for; long enough for a busy machine to see what comes in it.
const REST: Duration = Duration::from_millis(4_500);
/// Until then requests that were on their way may still come, by the platform's bound.
const REST_BINDS_AFTER: Duration = Duration::from_millis(500);
/// Requests that may come in the rest of the time, by the platform's bound.
const MOST_IN_REST: usize = 2;

/// A gateway before a plain service, which the tests make leave or rest.
async fn one_desk() -> (Site, Gateway, Engine) {
    let mut site = Site::start().await;
    let desk = site.engine(plain("d1")).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    (site, gateway, desk)
}

/// Has the only engine answer one request, and then starts another engine that the gateway knows.
async fn answered_before_another(site: &Site, gateway: Gateway, first: &Engine) -> Engine {
    gateway.call("GET", "/stock/1", "first").await;
    assert_eq!(first.arrival_count(), 1);
    let other = site.engine(plain("d2")).await;
    until("the other engine to be known", async || {
        gateway.call("GET", "/stock/1", "probe").await;
        !other.runs().is_empty()
    })
    .await;
    other
}

async fn call_many(gateway: Gateway, prefix: &str, count: usize) -> Vec<u16> {
    let calls = (0..count).map(|n| async move {
        let id = format!("{prefix}{n}");
        gateway.call("GET", "/stock/1", &id).await.status
    });
    join_all(calls).await
}

/// Requests that came between half a second after the first one that was turned away, and the end of
/// the time that it asked for.
fn came_in_rest(engine: &Engine, since: Instant) -> usize {
    let arrived = engine.arrival_times();
    let first = arrived.iter().find(|at| **at >= since);
    let first = *first.expect("it had a request");
    let binds = first + REST_BINDS_AFTER..first + REST;
    arrived.iter().filter(|at| binds.contains(*at)).count()
}

// DRAIN by an answer: the list still named the engine ready, and it got requests until the list changed.
#[actix_rt::test]
async fn an_engine_that_says_it_leaves_gets_nothing_more_though_it_is_listed() {
    let (site, gateway, leaving) = one_desk().await;
    leaving.set_leaving();
    let staying = answered_before_another(&site, gateway, &leaving).await;

    let statuses = call_many(gateway, "later", 12).await;

    assert_eq!(statuses, [200; 12]);
    assert_eq!(leaving.arrival_count(), 1);
    assert!(staying.runs().len() >= 12);
}

// DRAIN by an answer that is no success: a request that was turned away tells of the leaving as well.
#[actix_rt::test]
async fn one_that_turns_requests_away_as_it_leaves_gets_nothing_more() {
    let (site, gateway, leaving) = one_desk().await;
    leaving.set_leaving();
    leaving.set_fault(EngineFault::Overloaded);
    answered_before_another(&site, gateway, &leaving).await;
    // Without the header it is taken to be full for a while only.
    leaving.set_fault(EngineFault::None);

    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let statuses = call_many(gateway, "later", 12).await;

    assert_eq!(statuses, [200; 12]);
    assert_eq!(leaving.arrival_count(), 1);
}

// DRAIN by the head of a stream: what comes while the stream runs on goes elsewhere.
#[actix_rt::test]
async fn the_head_of_a_stream_tells_of_the_leaving_before_the_stream_ends() {
    let mut site = Site::start().await;
    let leaving = site.engine(engine("e1", 40, 50)).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    leaving.set_leaving();
    let _open = gateway.open_stream("long").await;
    let staying = site.engine(engine("e2", 2, 5)).await;
    until("the other engine to be known", async || {
        gateway.generate("probe").await;
        !staying.runs().is_empty()
    })
    .await;

    let before = leaving.arrival_count();
    let calls = (0..8).map(|n| async move { gateway.generate(&format!("later{n}")).await });
    let signatures: Vec<_> = join_all(calls).await;

    assert!(signatures
        .iter()
        .all(|got| got.signature.as_deref() == Some("e2")));
    assert_eq!(leaving.arrival_count(), before);
    assert!(!leaving.runs()[0].finished);
}

// DRAIN after a lapse: an engine that left the list and came back was taken for a new one.
#[actix_rt::test]
async fn a_leaving_engine_that_lapses_from_the_list_and_returns_stays_closed() {
    let (site, gateway, leaving) = one_desk().await;
    leaving.set_leaving();
    answered_before_another(&site, gateway, &leaving).await;

    site.store.delete("servers/d1");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    site.register(&leaving, "ready");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let statuses = call_many(gateway, "later", 12).await;

    assert_eq!(statuses, [200; 12]);
    assert_eq!(leaving.arrival_count(), 1);
}

// DRAIN across a restart: the process forgets what answers said, and the list's word holds.
#[actix_rt::test]
async fn a_gateway_that_starts_again_goes_by_the_list() {
    let (mut site, gateway, leaving) = one_desk().await;
    leaving.set_leaving();
    let staying = answered_before_another(&site, gateway, &leaving).await;
    site.register(&leaving, "draining");

    site.processes.kill("g1").expect("it runs");
    site.processes.restart("g1").expect("it starts");
    gateway.until_ready().await;
    let statuses = call_many(gateway, "later", 8).await;

    assert_eq!(statuses, [200; 8]);
    assert_eq!(leaving.arrival_count(), 1);
    assert!(staying.runs().len() >= 8);
}

// BUDGET by Retry-After: a full engine was asked again as soon as it was thought to have room.
#[actix_rt::test]
async fn an_engine_that_wants_nothing_for_a_while_gets_nothing_in_it() {
    let (site, gateway, full) = one_desk().await;
    full.set_fault(EngineFault::Overloaded);
    full.set_retry_after(Some("4.5"));
    let since = Instant::now();
    let free = answered_before_another(&site, gateway, &full).await;

    let mut n = 0;
    while since.elapsed() < REST {
        // More than the other engine has slots for.
        call_many(gateway, &format!("r{n}-"), 12).await;
        n += 1;
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    full.set_fault(EngineFault::None);
    let rested = came_in_rest(&full, since);
    let before = full.runs().len();
    until("work for it once its time is over", async || {
        call_many(gateway, "after", 8).await;
        full.runs().len() > before
    })
    .await;

    assert!(rested <= MOST_IN_REST, "{rested} came in its time");
    assert!(!free.runs().is_empty());
}

// BUDGET by several gateways: each is bound by what it was told itself.
#[actix_rt::test]
async fn each_gateway_leaves_a_resting_engine_alone_by_its_own_answers() {
    let (mut site, first, full) = one_desk().await;
    let second = site.gateway("g2", &[first]);
    second.until_ready().await;
    full.set_fault(EngineFault::Overloaded);
    full.set_retry_after(Some("4.5"));
    let since = Instant::now();
    second.call("GET", "/stock/1", "second").await;
    assert_eq!(full.arrival_count(), 1);
    first.call("GET", "/stock/1", "first").await;
    let both_know = full.arrival_count();
    assert_eq!(both_know, 2);
    site.engine(plain("d2")).await;

    while since.elapsed() < REST - Duration::from_millis(500) {
        call_many(first, "f", 6).await;
        call_many(second, "s", 6).await;
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }

    assert_eq!(full.arrival_count(), both_know);
}

// Callers were held, or sent back too soon, while every engine had said when it wants work again.
#[actix_rt::test]
async fn with_all_engines_at_rest_a_request_is_refused_at_once_until_the_first_is_back() {
    let mut site = Site::start().await;
    let only = site.engine(plain("d1")).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    only.set_fault(EngineFault::Overloaded);
    only.set_retry_after(Some("4.5"));
    let since = Instant::now();
    gateway.call("POST", "/order/new", "first").await;

    let asked = Instant::now();
    let got = gateway.call("POST", "/order/new", "second").await;
    let took = asked.elapsed();
    let left = REST.saturating_sub(since.elapsed()).as_secs_f64();

    assert_eq!(got.status, 503);
    assert!(took < Duration::from_millis(200), "refused after {took:?}");
    let retry_after = got.retry_after.expect("it says when to come back");
    assert!(retry_after >= left - 0.01, "{retry_after} of {left}");
    // Spread by half, so that callers do not come back together.
    assert!(retry_after <= 4.5 * 1.5 + 0.01);
    assert_eq!(only.arrival_count(), 1);
}

// Values that cannot be read were taken for no time at all.
#[actix_rt::test]
async fn times_that_cannot_be_read_are_told_and_still_give_the_engine_rest() {
    for value in ["soon", "-3", "Wed, 21 Oct 2026 07:28:00 GMT", "NaN"] {
        let (site, gateway, full) = one_desk().await;
        full.set_fault(EngineFault::Overloaded);
        full.set_retry_after(Some(value));

        gateway.call("GET", "/stock/1", "first").await;
        let at_once = gateway.call("GET", "/stock/1", "second").await;
        let arrivals = full.arrival_count();
        let told = || site.lines("g1", "upstream-rests");
        until("a line about it", async || !told().is_empty()).await;

        assert_eq!(at_once.status, 503);
        assert_eq!(arrivals, 1, "after {value}");
        let detail = told()[0]["detail"].to_string();
        assert!(detail.contains("cannot be read"), "{detail}");
    }
}
