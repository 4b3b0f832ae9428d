//! Requests of every kind through one gateway, and the ways in which upstreams fail them.

use std::time::Duration;

use balsamjunction_lab::standin::platform::{EngineFault, StoreFault};
use serde_json::json;

use crate::common::{plain, until, Site, KEY};

#[actix_rt::test]
async fn a_call_reaches_the_upstream_as_it_was_sent_but_for_its_key() {
    let mut site = Site::start().await;
    let desk = site.engine(plain("d1")).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let got = gateway.call("POST", "/order/new?print=7", "a1").await;

    assert_eq!((got.status, got.body.as_deref()), (200, Some("done")));
    assert_eq!(got.signature.as_deref(), Some("d1"));
    let runs = desk.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].target, "/order/new?print=7");
    assert_eq!(runs[0].body, "body of the call");
    assert_eq!(runs[0].headers["balsamjunction-tenant"], "selam");
    assert_eq!(runs[0].headers["balsamjunction-expect-instance"], "d1");
    assert!(!runs[0].headers.values().any(|value| value.contains(KEY)));
    let left: u64 = runs[0].headers["balsamjunction-deadline-ms"]
        .parse()
        .expect("a number");
    assert!((1..=3_000).contains(&left));
}

#[actix_rt::test]
async fn a_caller_cannot_name_its_own_workspace() {
    let mut site = Site::start().await;
    let desk = site.engine(plain("d1")).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let key = format!("Bearer {KEY}");
    let headers = [
        ("authorization", key.as_str()),
        ("balsamjunction-tenant", "gondar"),
    ];
    gateway
        .call_with("POST", "/order/new", "a1", &headers)
        .await;

    assert_eq!(desk.runs()[0].headers["balsamjunction-tenant"], "selam");
}

#[actix_rt::test]
async fn routes_keys_and_sizes_are_checked_before_anything_is_passed_on() {
    let mut site = Site::start().await;
    let desk = site.engine(plain("d1")).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
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
    assert!(desk.runs().is_empty());
}

#[actix_rt::test]
async fn without_a_configuration_requests_are_refused_for_now() {
    let mut site = Site::unconfigured().await;
    let gateway = site.gateway("g1", &[]);
    until("a gateway that listens", async || {
        tokio::net::TcpStream::connect(gateway.callers)
            .await
            .is_ok()
    })
    .await;

    let got = gateway.call("GET", "/stock/1", "a1").await;

    assert_eq!(got.status, 503);
    assert!(got.retry_after.is_some_and(|seconds| seconds > 0.0));
    assert!(!gateway.ready().await);
}

#[actix_rt::test]
async fn a_request_that_is_turned_away_is_served_elsewhere() {
    let mut site = Site::start().await;
    let full = site.engine(plain("d1")).await;
    let free = site.engine(plain("d2")).await;
    full.set_fault(EngineFault::Overloaded);
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    for n in 0..6 {
        let got = gateway.call("POST", "/order/new", &format!("a{n}")).await;
        assert_eq!(got.status, 200);
    }

    assert!(full.runs().is_empty());
    assert_eq!(free.runs().len(), 6);
}

#[actix_rt::test]
async fn a_lost_answer_is_no_promise_and_nothing_runs_twice() {
    let mut site = Site::start().await;
    let lost = site.engine(plain("d1")).await;
    let other = site.engine(plain("d2")).await;
    lost.set_fault(EngineFault::ResponseLost);
    other.set_fault(EngineFault::ResponseLost);
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    let got = gateway.call("POST", "/order/new", "a1").await;

    assert_eq!(got.status, 502);
    assert_eq!(lost.runs().len() + other.runs().len(), 1);
}

#[actix_rt::test]
async fn an_idempotent_request_whose_answer_is_lost_is_served_by_another_upstream() {
    let mut site = Site::start().await;
    let faults = [
        EngineFault::ResponseLost,
        EngineFault::InternalError,
        EngineFault::NoResponse,
        EngineFault::MissingSignature,
        EngineFault::WrongAttemptId,
    ];
    for (n, fault) in faults.into_iter().enumerate() {
        let bad = site.engine(plain(&format!("bad{n}"))).await;
        bad.set_fault(fault);
    }
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    for (n, fault) in faults.into_iter().enumerate() {
        for other in 0..faults.len() {
            site.store.delete(&format!("servers/bad{other}"));
        }
        let bad = site.engine(plain(&format!("worse{n}"))).await;
        bad.set_fault(fault);
        let good = site.engine(plain(&format!("good{n}"))).await;
        until("the upstreams of this round", async || {
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
async fn a_draining_upstream_gets_nothing_new() {
    let mut site = Site::start().await;
    let leaving = site.engine(plain("d1")).await;
    let staying = site.engine(plain("d2")).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    site.register(&leaving, "draining");
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let before = leaving.runs().len();
    for n in 0..8 {
        gateway.call("POST", "/order/new", &format!("a{n}")).await;
    }

    assert_eq!(leaving.runs().len(), before);
    assert_eq!(staying.runs().len(), 8);
}

/// A watch that hears nothing proves nothing.
#[actix_rt::test]
async fn a_change_that_the_watch_never_tells_is_found_all_the_same() {
    let mut site = Site::start().await;
    let leaving = site.engine(plain("d1")).await;
    site.engine(plain("d2")).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

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
async fn an_entry_that_cannot_be_read_names_no_upstream() {
    let mut site = Site::start().await;
    let spoilt = site.engine(plain("d1")).await;
    let good = site.engine(plain("d2")).await;
    let foreign = site.engine(plain("d3")).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    site.store.put_bytes("servers/d1", b"\xff\x00 no json");
    let mut entry = foreign.registry_entry("ready");
    entry["state"] = json!("dancing");
    site.store.put("servers/d3", &entry);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    for n in 0..6 {
        let got = gateway.call("POST", "/order/new", &format!("a{n}")).await;
        assert_eq!(got.signature.as_deref(), Some("d2"));
    }

    assert!(spoilt.runs().is_empty() && foreign.runs().is_empty());
    assert_eq!(good.runs().len(), 6);
}

#[actix_rt::test]
async fn a_key_that_may_have_been_taken_away_is_not_admitted() {
    let mut site = Site::start().await;
    site.engine(plain("d1")).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;
    let before = gateway.call("GET", "/stock/1", "a1").await;

    site.store.set_fault(StoreFault::Down);
    actix_rt::time::sleep(Duration::from_millis(2_000)).await;
    let cut_off = gateway.call("GET", "/stock/1", "a2").await;
    let ready = gateway.ready().await;
    site.store.set_fault(StoreFault::None);
    gateway.until_ready().await;
    let after = gateway.call("GET", "/stock/1", "a3").await;

    assert_eq!(before.status, 200);
    assert_eq!(cut_off.status, 503);
    assert!(!ready);
    assert_eq!(after.status, 200);
}

#[actix_rt::test]
async fn a_key_that_was_taken_away_is_refused() {
    let mut site = Site::start().await;
    site.engine(plain("d1")).await;
    let gateway = site.gateway("g1", &[]);
    gateway.until_ready().await;

    site.configure(|config| config["tenants"][0]["apiKeys"] = json!([]));

    until("the key to be refused", async || {
        gateway.call("GET", "/stock/1", "a1").await.status == 401
    })
    .await;
}

#[actix_rt::test]
async fn a_gateway_that_cannot_read_the_store_learns_from_another_one() {
    let mut site = Site::start().await;
    site.engine(plain("d1")).await;
    let first = site.gateway("g1", &[]);
    first.until_ready().await;
    let nowhere = "127.0.0.1:9".parse().expect("an address");

    let second = site.gateway_at("g2", &[first], nowhere);
    second.until_ready().await;
    let got = second.call("GET", "/stock/1", "a1").await;
    site.configure(|config| config["tenants"][0]["apiKeys"] = json!(["another"]));

    assert_eq!(got.status, 200);
    until("the news of the other gateway", async || {
        second.call("GET", "/stock/1", "a2").await.status == 401
    })
    .await;
}

#[actix_rt::test]
async fn a_request_that_breaks_every_upstream_is_stopped_at_every_gateway() {
    let mut site = Site::start().await;
    for n in 0..4 {
        let bad = site.engine(plain(&format!("d{n}"))).await;
        bad.set_fault(EngineFault::ResponseLost);
    }
    let first = site.gateway("g1", &[]);
    let second = site.gateway("g2", &[first]);
    first.until_ready().await;
    second.until_ready().await;
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;

    for n in 0..4 {
        first.call("GET", "/stock/killer", &format!("a{n}")).await;
    }
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let there = second.call("GET", "/stock/killer", "b1").await;

    assert_eq!(there.status, 503);
    assert_eq!(there.body.as_deref(), Some("crashes-upstreams"));
}
