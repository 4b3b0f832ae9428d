//! Engines whose responses state that they are draining, or ask for a backoff (Retry-After).

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::{Engine, EngineFault};
use futures_util::future::join_all;

use crate::common::{model_engine_options, plain_engine_options, wait_until, Gateway, TestSite};

/// The backoff that overloaded engines ask for; long enough to observe arrivals in it on a busy machine.
const BACKOFF: Duration = Duration::from_millis(4_500);
/// Grace period of the platform's bound: requests that were already in flight may still arrive within it.
const BACKOFF_GRACE: Duration = Duration::from_millis(500);
/// Requests that the platform's bound allows in the remainder of the backoff.
const MAX_ARRIVALS_IN_BACKOFF: usize = 2;

/// Starts a gateway and one plain service, which the tests make drain or ask for a backoff.
async fn start_single_engine() -> (TestSite, Gateway, Engine) {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(plain_engine_options("d1")).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    (site, gateway, engine)
}

/// Has the only engine respond to one request, then starts a second engine and waits until the gateway
/// routes to it.
async fn call_then_add_engine(site: &TestSite, gateway: Gateway, first: &Engine) -> Engine {
    let got = gateway.call("GET", "/stock/1", "first").await;
    assert_eq!(first.arrival_count(), 1, "the response was {got:?}");
    let other = site.start_engine(plain_engine_options("d2")).await;
    wait_until("the gateway to route to it", async || {
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

/// Counts requests that arrived after [`BACKOFF_GRACE`] and before the end of the backoff. Both times
/// count from the first request at or after `since`, which the engine refused.
fn arrivals_in_backoff(engine: &Engine, since: Instant) -> usize {
    let arrived = engine.arrival_times();
    let first = arrived.iter().find(|at| **at >= since);
    let first = *first.expect("the engine received a request");
    let enforced = first + BACKOFF_GRACE..first + BACKOFF;
    arrived.iter().filter(|at| enforced.contains(*at)).count()
}

// Guards against requests to an engine that reported draining in a response while the registry still
// listed it as ready.
#[actix_rt::test]
async fn a_draining_engine_gets_no_more_requests_though_the_registry_lists_it_as_ready() {
    let (site, gateway, leaving) = start_single_engine().await;
    leaving.set_leaving();
    let staying = call_then_add_engine(&site, gateway, &leaving).await;

    let statuses = call_many(gateway, "later", 12).await;

    assert_eq!(statuses, [200; 12]);
    assert_eq!(leaving.arrival_count(), 1);
    assert!(staying.runs().len() >= 12);
}

// Guards against ignoring the draining header on an error response: a refusal reports draining as well.
#[actix_rt::test]
async fn an_engine_that_reports_draining_in_a_refusal_gets_no_more_requests() {
    let (site, gateway, leaving) = start_single_engine().await;
    leaving.set_leaving();
    leaving.set_fault(EngineFault::Overloaded);
    call_then_add_engine(&site, gateway, &leaving).await;
    // Without the header the gateway would treat the engine as overloaded for a short time only.
    leaving.set_fault(EngineFault::None);

    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let statuses = call_many(gateway, "later", 12).await;

    assert_eq!(statuses, [200; 12]);
    assert_eq!(leaving.arrival_count(), 1);
}

// Guards against acting on the draining header only when a stream ends: requests that arrive while the
// stream is open must go to another engine.
#[actix_rt::test]
async fn the_head_of_a_stream_reports_draining_before_the_stream_ends() {
    let mut site = TestSite::start().await;
    let leaving = site.start_engine(model_engine_options("e1", 40, 50)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    leaving.set_leaving();
    let _open = gateway.open_stream("long").await;
    let staying = site.start_engine(model_engine_options("e2", 2, 5)).await;
    wait_until("the gateway to route to it", async || {
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

// Guards against treating a draining engine as new after its registry entry was deleted and restored.
#[actix_rt::test]
async fn a_draining_engine_whose_registry_entry_is_deleted_and_restored_stays_excluded() {
    let (site, gateway, leaving) = start_single_engine().await;
    leaving.set_leaving();
    call_then_add_engine(&site, gateway, &leaving).await;

    site.store.delete("servers/d1");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    site.register(&leaving, "ready");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let statuses = call_many(gateway, "later", 12).await;

    assert_eq!(statuses, [200; 12]);
    assert_eq!(leaving.arrival_count(), 1);
}

// A restart clears the states that responses reported; the state in the registry must apply then.
#[actix_rt::test]
async fn a_restarted_gateway_follows_the_registry() {
    let (mut site, gateway, leaving) = start_single_engine().await;
    leaving.set_leaving();
    let staying = call_then_add_engine(&site, gateway, &leaving).await;
    site.register(&leaving, "draining");

    site.processes.kill("g1").expect("the process runs");
    site.processes.restart("g1").expect("the process starts");
    gateway.wait_until_ready().await;
    let statuses = call_many(gateway, "later", 8).await;

    assert_eq!(statuses, [200; 8]);
    assert_eq!(leaving.arrival_count(), 1);
    assert!(staying.runs().len() >= 8);
}

// Guards against ignoring Retry-After: an overloaded engine got requests again as soon as the gateway
// estimated free slots.
#[actix_rt::test]
async fn an_engine_that_asks_for_a_backoff_gets_no_requests_during_it() {
    let (site, gateway, full) = start_single_engine().await;
    full.set_fault(EngineFault::Overloaded);
    full.set_retry_after(Some("4.5"));
    let since = Instant::now();
    let free = call_then_add_engine(&site, gateway, &full).await;

    let mut n = 0;
    while since.elapsed() < BACKOFF {
        // More requests than the other engine has slots.
        call_many(gateway, &format!("r{n}-"), 12).await;
        n += 1;
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    full.set_fault(EngineFault::None);
    let arrived_in_backoff = arrivals_in_backoff(&full, since);
    let before = full.runs().len();
    wait_until("requests to the engine after its backoff", async || {
        call_many(gateway, "after", 8).await;
        full.runs().len() > before
    })
    .await;

    assert!(
        arrived_in_backoff <= MAX_ARRIVALS_IN_BACKOFF,
        "{arrived_in_backoff} requests arrived during the backoff"
    );
    assert!(!free.runs().is_empty());
}

// Each gateway observes the backoff that the engine asked of that gateway.
#[actix_rt::test]
async fn each_gateway_observes_the_backoff_in_its_own_responses() {
    let (mut site, first, full) = start_single_engine().await;
    let second = site.start_gateway("g2", &[first]);
    second.wait_until_ready().await;
    full.set_fault(EngineFault::Overloaded);
    full.set_retry_after(Some("4.5"));
    let since = Instant::now();
    second.call("GET", "/stock/1", "second").await;
    assert_eq!(full.arrival_count(), 1);
    first.call("GET", "/stock/1", "first").await;
    let after_both_refusals = full.arrival_count();
    assert_eq!(after_both_refusals, 2);
    site.start_engine(plain_engine_options("d2")).await;

    while since.elapsed() < BACKOFF - Duration::from_millis(500) {
        call_many(first, "f", 6).await;
        call_many(second, "s", 6).await;
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }

    assert_eq!(full.arrival_count(), after_both_refusals);
}

// Guards against queueing requests, or sending a Retry-After that is too short, while every engine is
// backing off.
#[actix_rt::test]
async fn with_all_engines_backing_off_a_request_is_refused_at_once_with_the_remaining_time() {
    let mut site = TestSite::start().await;
    let only = site.start_engine(plain_engine_options("d1")).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    only.set_fault(EngineFault::Overloaded);
    only.set_retry_after(Some("4.5"));
    let since = Instant::now();
    gateway.call("POST", "/order/new", "first").await;

    let sent_at = Instant::now();
    let got = gateway.call("POST", "/order/new", "second").await;
    let elapsed = sent_at.elapsed();
    let remaining = BACKOFF.saturating_sub(since.elapsed()).as_secs_f64();

    assert_eq!(got.status, 503);
    assert!(
        elapsed < Duration::from_millis(200),
        "refused after {elapsed:?}"
    );
    let retry_after = got.retry_after.expect("the refusal has a Retry-After");
    assert!(
        retry_after >= remaining - 0.01,
        "{retry_after} of {remaining}"
    );
    // The gateway adds up to half as jitter, so that callers do not retry together.
    assert!(retry_after <= 4.5 * 1.5 + 0.01);
    assert_eq!(only.arrival_count(), 1);
}

// Guards against treating an unreadable Retry-After as a backoff of zero.
#[actix_rt::test]
async fn an_unreadable_retry_after_is_logged_and_still_causes_a_backoff() {
    for value in ["soon", "-3", "Wed, 21 Oct 2026 07:28:00 GMT", "NaN"] {
        let (site, gateway, full) = start_single_engine().await;
        full.set_fault(EngineFault::Overloaded);
        full.set_retry_after(Some(value));

        gateway.call("GET", "/stock/1", "first").await;
        let at_once = gateway.call("GET", "/stock/1", "second").await;
        let arrivals = full.arrival_count();
        let logged = || site.log_lines("g1", "upstream-rests");
        wait_until("a log line about the value", async || !logged().is_empty()).await;

        assert_eq!(at_once.status, 503);
        assert_eq!(arrivals, 1, "with Retry-After {value}");
        let detail = logged()[0]["detail"].to_string();
        assert!(detail.contains("cannot be read"), "{detail}");
    }
}
