//! Requests of every kind through one gateway, with the failures of upstreams that they meet.

use std::time::Duration;

use balsamjunction_lab::standin::platform::{EngineFault, Store, StoreFault};
use serde_json::json;

use crate::common::{plain_engine_options, wait_until, TestSite, API_KEY};

/// A gateway whose last call to the store failed does not offer to be a reader for longer than this.
const HOLD_OFF: Duration = Duration::from_secs(3);
/// Most calls to a store that rejects them, before a starting gateway has the facts of its peers.
const MAX_STARTING_CALLS: u64 = 8;

#[actix_rt::test]
async fn a_call_reaches_the_upstream_unchanged_except_for_its_key() {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(plain_engine_options("d1")).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let got = gateway.call("POST", "/order/new?print=7", "a1").await;

    assert_eq!((got.status, got.body.as_deref()), (200, Some("done")));
    assert_eq!(got.signature.as_deref(), Some("d1"));
    let runs = engine.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].target, "/order/new?print=7");
    assert_eq!(runs[0].body, "body of the call");
    assert_eq!(runs[0].headers["balsamjunction-tenant"], "selam");
    assert_eq!(runs[0].headers["balsamjunction-expect-instance"], "d1");
    assert!(!runs[0]
        .headers
        .values()
        .any(|value| value.contains(API_KEY)));
    let remaining_ms: u64 = runs[0].headers["balsamjunction-deadline-ms"]
        .parse()
        .expect("the deadline is a number");
    assert!((1..=3_000).contains(&remaining_ms));
}

#[actix_rt::test]
async fn a_caller_cannot_set_its_own_workspace() {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(plain_engine_options("d1")).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let key = format!("Bearer {API_KEY}");
    let headers = [
        ("authorization", key.as_str()),
        ("balsamjunction-tenant", "gondar"),
    ];
    gateway
        .call_with("POST", "/order/new", "a1", &headers)
        .await;

    assert_eq!(engine.runs()[0].headers["balsamjunction-tenant"], "selam");
}

#[actix_rt::test]
async fn routes_keys_and_sizes_are_checked_before_a_request_is_forwarded() {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(plain_engine_options("d1")).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let long = "x".repeat(5_000);

    let no_route = gateway.call("GET", "/nowhere/", "a1").await;
    let no_key = gateway.call_with("GET", "/stock/1", "a2", &[]).await;
    let wrong_key = [("authorization", "Bearer nobody")];
    let wrong_key = gateway.call_with("GET", "/stock/1", "a3", &wrong_key).await;
    let long_head = [("x-long", long.as_str())];
    let long_head = gateway.call_with("GET", "/stock/1", "a4", &long_head).await;

    assert_eq!(no_route.status, 404);
    assert_eq!(no_key.status, 401);
    assert_eq!(wrong_key.status, 401);
    assert_eq!(long_head.status, 431);
    assert!(engine.runs().is_empty());
}

#[actix_rt::test]
async fn without_a_configuration_requests_are_refused_with_a_retry_after() {
    let mut site = TestSite::start_unconfigured().await;
    let gateway = site.start_gateway("g1", &[]);
    wait_until("the gateway to listen", async || {
        tokio::net::TcpStream::connect(gateway.callers)
            .await
            .is_ok()
    })
    .await;

    let got = gateway.call("GET", "/stock/1", "a1").await;

    assert_eq!(got.status, 503);
    assert!(got.retry_after.is_some_and(|seconds| seconds > 0.0));
    assert!(!gateway.is_ready().await);
}

#[actix_rt::test]
async fn a_request_that_an_upstream_refuses_is_served_by_another() {
    let mut site = TestSite::start().await;
    let full = site.start_engine(plain_engine_options("d1")).await;
    let free = site.start_engine(plain_engine_options("d2")).await;
    full.set_fault(EngineFault::Overloaded);
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    for n in 0..6 {
        let got = gateway.call("POST", "/order/new", &format!("a{n}")).await;
        assert_eq!(got.status, 200);
    }

    assert!(full.runs().is_empty());
    assert_eq!(free.runs().len(), 6);
}

#[actix_rt::test]
async fn a_non_idempotent_request_whose_response_is_lost_does_not_run_twice() {
    let mut site = TestSite::start().await;
    let lost = site.start_engine(plain_engine_options("d1")).await;
    let other = site.start_engine(plain_engine_options("d2")).await;
    lost.set_fault(EngineFault::ResponseLost);
    other.set_fault(EngineFault::ResponseLost);
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    let got = gateway.call("POST", "/order/new", "a1").await;

    assert_eq!(got.status, 502);
    assert_eq!(lost.runs().len() + other.runs().len(), 1);
}

#[actix_rt::test]
async fn an_idempotent_request_whose_response_is_lost_is_served_by_another_upstream() {
    let mut site = TestSite::start().await;
    let faults = [
        EngineFault::ResponseLost,
        EngineFault::InternalError,
        EngineFault::NoResponse,
        EngineFault::MissingSignature,
        EngineFault::WrongAttemptId,
    ];
    for (n, fault) in faults.into_iter().enumerate() {
        let bad = site
            .start_engine(plain_engine_options(&format!("bad{n}")))
            .await;
        bad.set_fault(fault);
    }
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    for (n, fault) in faults.into_iter().enumerate() {
        for other in 0..faults.len() {
            site.store.delete(&format!("servers/bad{other}"));
        }
        let bad = site
            .start_engine(plain_engine_options(&format!("worse{n}")))
            .await;
        bad.set_fault(fault);
        let good = site
            .start_engine(plain_engine_options(&format!("good{n}")))
            .await;
        wait_until("the engines of this round", async || {
            let got = gateway.call("GET", "/stock/probe", "probe").await;
            got.signature.as_deref() == Some(good.options.id.as_str())
        })
        .await;
        for call in 0..4 {
            let got = gateway
                .call("GET", "/stock/1", &format!("a{n}{call}"))
                .await;

            assert_eq!(got.status, 200, "{fault:?}");
            assert_eq!(got.body.as_deref(), Some("done"), "{fault:?}");
        }
        site.store.delete(&format!("servers/worse{n}"));
        site.store.delete(&format!("servers/good{n}"));
    }
}

#[actix_rt::test]
async fn a_draining_upstream_gets_no_new_requests() {
    let mut site = TestSite::start().await;
    let leaving = site.start_engine(plain_engine_options("d1")).await;
    let staying = site.start_engine(plain_engine_options("d2")).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    site.register(&leaving, "draining");
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let before = leaving.runs().len();
    for n in 0..8 {
        gateway.call("POST", "/order/new", &format!("a{n}")).await;
    }

    assert_eq!(leaving.runs().len(), before);
    assert_eq!(staying.runs().len(), 8);
}

// Guards against relying on the watch alone: it stays silent both when nothing changed and when it loses
// events.
#[actix_rt::test]
async fn a_change_that_the_watch_does_not_report_is_found_by_reading() {
    let mut site = TestSite::start().await;
    let leaving = site.start_engine(plain_engine_options("d1")).await;
    site.start_engine(plain_engine_options("d2")).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    site.store.set_fault(StoreFault::LostWatchEvents);
    site.register(&leaving, "draining");
    actix_rt::time::sleep(Duration::from_millis(1_600)).await;
    let before = leaving.runs().len();
    for n in 0..8 {
        gateway.call("POST", "/order/new", &format!("a{n}")).await;
    }

    assert_eq!(leaving.runs().len(), before);
}

#[actix_rt::test]
async fn an_invalid_registry_entry_adds_no_upstream() {
    let mut site = TestSite::start().await;
    let not_json = site.start_engine(plain_engine_options("d1")).await;
    let good = site.start_engine(plain_engine_options("d2")).await;
    let unknown_state = site.start_engine(plain_engine_options("d3")).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    site.store.put_bytes("servers/d1", b"\xff\x00 no json");
    let mut entry = unknown_state.registry_entry("ready");
    entry["state"] = json!("dancing");
    site.store.put("servers/d3", &entry);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    for n in 0..6 {
        let got = gateway.call("POST", "/order/new", &format!("a{n}")).await;
        assert_eq!(got.signature.as_deref(), Some("d2"));
    }

    assert!(not_json.runs().is_empty() && unknown_state.runs().is_empty());
    assert_eq!(good.runs().len(), 6);
}

#[actix_rt::test]
async fn a_key_that_may_have_been_revoked_is_not_accepted() {
    let mut site = TestSite::start().await;
    site.start_engine(plain_engine_options("d1")).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let before = gateway.call("GET", "/stock/1", "a1").await;

    site.store.set_fault(StoreFault::Down);
    actix_rt::time::sleep(Duration::from_millis(2_000)).await;
    let cut_off = gateway.call("GET", "/stock/1", "a2").await;
    let ready = gateway.is_ready().await;
    site.store.set_fault(StoreFault::None);
    gateway.wait_until_ready().await;
    let after = gateway.call("GET", "/stock/1", "a3").await;

    assert_eq!(before.status, 200);
    assert_eq!(cut_off.status, 503);
    assert!(!ready);
    assert_eq!(after.status, 200);
}

#[actix_rt::test]
async fn a_revoked_key_is_refused() {
    let mut site = TestSite::start().await;
    site.start_engine(plain_engine_options("d1")).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    site.update_config(|config| config["tenants"][0]["apiKeys"] = json!([]));

    wait_until("the key to be refused", async || {
        gateway.call("GET", "/stock/1", "a1").await.status == 401
    })
    .await;
}

// Guards against starting gateways that use up the rate of the store, although their peers have all facts: each listed it
// again and again until that succeeded.
#[actix_rt::test]
async fn a_gateway_that_starts_with_facts_of_peers_leaves_the_store_to_the_readers() {
    let mut site = TestSite::start().await;
    site.start_engine(plain_engine_options("d1")).await;
    let first = site.start_gateway("g1", &[]);
    first.wait_until_ready().await;
    let store = Store::start().await.expect("start the store");
    store.set_fault(StoreFault::TooManyReads);

    let second = site.start_gateway_with_store("g2", &[first], store.address);
    second.wait_until_ready().await;
    actix_rt::time::sleep(HOLD_OFF).await;

    let response = second.call("POST", "/order/new", "a1").await;
    assert_eq!(response.status, 200);
    let calls = store.calls();
    assert!(calls <= MAX_STARTING_CALLS, "{calls} calls");
}

#[actix_rt::test]
async fn a_gateway_that_cannot_read_the_store_is_updated_by_another_one() {
    let mut site = TestSite::start().await;
    site.start_engine(plain_engine_options("d1")).await;
    let first = site.start_gateway("g1", &[]);
    first.wait_until_ready().await;
    let unreachable = "127.0.0.1:9".parse().expect("a valid address");

    let second = site.start_gateway_with_store("g2", &[first], unreachable);
    second.wait_until_ready().await;
    let got = second.call("GET", "/stock/1", "a1").await;
    site.update_config(|config| config["tenants"][0]["apiKeys"] = json!(["another"]));

    assert_eq!(got.status, 200);
    wait_until("the update from the other gateway", async || {
        second.call("GET", "/stock/1", "a2").await.status == 401
    })
    .await;
}

#[actix_rt::test]
async fn a_request_that_crashes_upstreams_is_refused_at_every_gateway() {
    let mut site = TestSite::start().await;
    for n in 0..4 {
        let bad = site
            .start_engine(plain_engine_options(&format!("d{n}")))
            .await;
        bad.set_fault(EngineFault::ResponseLost);
    }
    let first = site.start_gateway("g1", &[]);
    let second = site.start_gateway("g2", &[first]);
    first.wait_until_ready().await;
    second.wait_until_ready().await;
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;

    for n in 0..4 {
        first.call("GET", "/stock/killer", &format!("a{n}")).await;
    }
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let refused = second.call("GET", "/stock/killer", "b1").await;

    assert_eq!(refused.status, 503);
    assert_eq!(refused.body.as_deref(), Some("crashes-upstreams"));
}
