//! Engines whose responses state a limit on the requests from all gateways together (`Server-Limit`).

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::{Engine, EngineFault};
use futures_util::future::join_all;
use nix::sys::signal::Signal;

use crate::common::{
    model_engine_options, plain_engine_options, wait_until, Gateway, TestSite, API_KEY,
};

/// The limit that engines state, in requests per second.
const LIMIT_PER_S: f64 = 1.0;
/// Window in which the platform counts the requests to an engine that states a limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first response with a limit from which the platform counts, at most.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time for which the tests send requests.
const LOAD_TIME: Duration = Duration::from_secs(8);

/// Requests that the platform allows in each window: one and a half times the limit, and five.
fn max_arrivals() -> usize {
    (1.5 * LIMIT_PER_S * WINDOW.as_secs_f64()).round() as usize + 5
}

/// The most requests that an engine received in any window that begins at or after `from`.
fn most_arrivals_in_a_window(engine: &Engine, from: Instant) -> usize {
    let arrivals = engine.arrival_times();
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let count_from = |start: &Instant| {
        let end: Instant = *start + WINDOW;
        let in_window = counted.iter().filter(|at| **at >= *start && **at < end);
        in_window.count()
    };
    counted.iter().map(count_from).max().unwrap_or(0)
}

/// Starts `count` gateways that know each other, with a limited engine and one without a limit.
async fn start_gateways(count: usize) -> (TestSite, Vec<Gateway>, Engine, Engine) {
    let mut site = TestSite::start().await;
    let limited = site.start_engine(plain_engine_options("limited")).await;
    limited.set_limit(Some(&LIMIT_PER_S.to_string()));
    let free = site.start_engine(plain_engine_options("free")).await;
    let mut gateways: Vec<Gateway> = Vec::new();
    for n in 0..count {
        let seeds: Vec<Gateway> = gateways.first().copied().into_iter().collect();
        gateways.push(site.start_gateway(&format!("g{n}"), &seeds));
    }
    for gateway in &gateways {
        gateway.wait_until_ready().await;
    }
    (site, gateways, limited, free)
}

/// Sends requests to all gateways for [`LOAD_TIME`], three at a time to each; returns their statuses.
async fn send_load(gateways: &[Gateway]) -> Vec<u16> {
    let started = Instant::now();
    let mut statuses = Vec::new();
    let mut round = 0;
    while started.elapsed() < LOAD_TIME {
        let calls = (0..3).flat_map(|n| {
            let id = move |gateway: usize| format!("r{round}-{n}-{gateway}");
            let gateways = gateways.iter().enumerate();
            gateways.map(move |(index, gateway)| {
                let id = id(index);
                async move { gateway.call("GET", "/stock/1", &id).await.status }
            })
        });
        statuses.extend(join_all(calls).await);
        round += 1;
        actix_rt::time::sleep(Duration::from_millis(60)).await;
    }
    statuses
}

/// Sends requests through `count` gateways, and asserts that the limited engine receives no more than the platform
/// allows, that every request is served, and that the engine without a limit serves most.
async fn assert_gateways_keep_the_limit(count: usize) {
    let (_site, gateways, limited, free) = start_gateways(count).await;
    let started = Instant::now();

    let statuses = send_load(&gateways).await;

    let most = most_arrivals_in_a_window(&limited, started + SETTLING_TIME);
    assert!(most <= max_arrivals(), "{most} requests in {WINDOW:?}");
    assert!(statuses.iter().all(|status| *status == 200));
    assert!(free.arrival_count() > statuses.len() / 2);
}

// Guards against requests beyond the limit that an engine stated to its only gateway, which ignored it.
#[actix_rt::test]
async fn a_limited_engine_gets_no_more_than_its_limit_from_one_gateway() {
    assert_gateways_keep_the_limit(1).await;
}

// Guards against a limit that each gateway applies by itself: it is for all gateways together.
#[actix_rt::test]
async fn a_limited_engine_gets_no_more_than_its_limit_from_several_gateways() {
    assert_gateways_keep_the_limit(4).await;
}

/// Sends requests to a gateway for [`LOAD_TIME`], one at a time, whether it responds or not.
async fn send_load_to_disturbed(gateway: &Gateway) {
    let started = Instant::now();
    let mut n = 0;
    while started.elapsed() < LOAD_TIME {
        let id = format!("{}-{n}", gateway.callers.ip());
        let key = format!("Bearer {API_KEY}");
        let headers = [("authorization", key.as_str())];
        let call = gateway.try_call_with("GET", "/stock/1", &id, &headers);
        // A gateway that is down or frozen does not respond.
        let _ = actix_rt::time::timeout(Duration::from_millis(300), call).await;
        n += 1;
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

// Guards against gateways that restart without the limit, wake from a freeze with a stale view, or take over the
// shares of others meanwhile.
#[actix_rt::test]
async fn a_limited_engine_gets_no_more_than_its_limit_while_gateways_restart_and_freeze() {
    let (mut site, gateways, limited, free) = start_gateways(4).await;
    let started = Instant::now();
    let disturb = async {
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        site.processes.kill("g2").expect("the process runs");
        let frozen = site.processes.signal("g3", Signal::SIGSTOP);
        frozen.expect("the process runs");
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        site.processes.restart("g2").expect("the process starts");
        actix_rt::time::sleep(Duration::from_millis(3_500)).await;
        let woken = site.processes.signal("g3", Signal::SIGCONT);
        woken.expect("the process runs");
    };

    let undisturbed = send_load(&gateways[..2]);
    let disturbed = join_all(gateways[2..].iter().map(send_load_to_disturbed));
    let (statuses, _, ()) = tokio::join!(undisturbed, disturbed, disturb);

    let most = most_arrivals_in_a_window(&limited, started + SETTLING_TIME);
    assert!(most <= max_arrivals(), "{most} requests in {WINDOW:?}");
    assert!(statuses.iter().all(|status| *status == 200));
    assert!(free.arrival_count() > statuses.len() / 2);
}

/// Starts one gateway and one engine with a limit, and waits until the gateway may use shares of limits.
async fn start_with_only_engine(limit: &str) -> (TestSite, Gateway, Engine) {
    let mut site = TestSite::start().await;
    let engine = site.start_engine(plain_engine_options("d1")).await;
    engine.set_limit(Some(limit));
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    // Until then a gateway that has just started does not know with how many it shares a limit.
    actix_rt::time::sleep(Duration::from_millis(2_100)).await;
    (site, gateway, engine)
}

// Guards against requests that wait, or callers that return too early, while no engine accepts any.
#[actix_rt::test]
async fn with_every_limit_used_up_a_request_is_refused_at_once_with_the_time_of_the_next_place() {
    let (_site, gateway, only) = start_with_only_engine("0.25").await;
    gateway.call("POST", "/order/new", "first").await;

    let sent_at = Instant::now();
    let got = gateway.call("POST", "/order/new", "second").await;
    let elapsed = sent_at.elapsed();

    assert_eq!(got.status, 503);
    assert!(
        elapsed < Duration::from_millis(200),
        "refused after {elapsed:?}"
    );
    let retry_after = got.retry_after.expect("the refusal has a Retry-After");
    // The gateway adds up to half as jitter, so that callers do not retry together.
    assert!((3.0..=6.1).contains(&retry_after), "{retry_after}");
    assert_eq!(only.arrival_count(), 1);
}

// Guards against a limit that a gateway keeps after the engine has stopped stating it.
#[actix_rt::test]
async fn a_limit_ends_with_the_first_response_that_states_none() {
    let (_site, gateway, engine) = start_with_only_engine("2").await;
    gateway.call("GET", "/stock/1", "first").await;
    let limited = gateway.call("GET", "/stock/1", "limited").await;
    engine.set_limit(None);
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    let last = gateway.call("GET", "/stock/1", "last").await;

    let mut statuses = Vec::new();
    for n in 0..10 {
        let id = format!("after{n}");
        statuses.push(gateway.call("GET", "/stock/1", &id).await.status);
    }

    assert_eq!((limited.status, last.status), (503, 200));
    assert_eq!(statuses, [200; 10]);
}

// Guards against a limit that only the gateway learns whose request the engine answered, and against one that the
// others never learn to have ended.
#[actix_rt::test]
async fn gateways_tell_each_other_of_a_limit_and_of_its_end() {
    let (mut site, first, engine) = start_with_only_engine("1000").await;
    let second = site.start_gateway("g2", &[first]);
    second.wait_until_ready().await;
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    let limited = async |gateway: &Gateway| {
        let series = "balsamjunction_upstreams{state=\"limited\"}";
        gateway.metric(series).await == Some(1.0)
    };
    let before = limited(&second).await;

    first.call("GET", "/stock/1", "told").await;
    wait_until("the other gateway to learn the limit", async || {
        limited(&second).await
    })
    .await;
    let arrivals = engine.arrival_count();
    engine.set_limit(None);
    // The first place in a limit is free a moment after it was learned.
    wait_until("a response without the limit", async || {
        first.call("GET", "/stock/1", "ended").await.status == 200
    })
    .await;

    wait_until("the other gateway to learn of its end", async || {
        !limited(&second).await
    })
    .await;
    assert!(!before);
    assert_eq!(arrivals, 1);
    assert_eq!(engine.arrival_count(), 2);
}

// Guards against an unreadable limit that is taken for none, and against one that ends a process.
#[actix_rt::test]
async fn an_unreadable_limit_is_logged_and_counts_as_a_low_one() {
    for value in ["soon", "-3", "NaN", "inf"] {
        let (site, gateway, engine) = start_with_only_engine(value).await;

        gateway.call("GET", "/stock/1", "first").await;
        let at_once = gateway.call("GET", "/stock/1", "second").await;
        let logged = || site.log_lines("g1", "upstream-limit");
        wait_until("a log line about the value", async || !logged().is_empty()).await;

        assert_eq!(at_once.status, 503, "with Server-Limit {value}");
        assert_eq!(engine.arrival_count(), 1);
        let detail = logged()[0]["detail"].to_string();
        assert!(detail.contains("cannot be read"), "{detail}");
    }
}

// Guards against streams that are resumed at an engine beyond its limit.
#[actix_rt::test]
async fn broken_streams_are_resumed_elsewhere_than_at_a_limited_engine() {
    let mut site = TestSite::start().await;
    site.retry_slack = 200.0;
    let limited = site.start_engine(model_engine_options("e1", 4, 5)).await;
    limited.set_limit(Some("1"));
    let broken = site.start_engine(model_engine_options("e2", 4, 5)).await;
    broken.set_fault(EngineFault::TruncateAfter(2));
    let sound = site.start_engine(model_engine_options("e3", 4, 5)).await;
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let started = Instant::now();

    let mut broken_off = 0;
    let mut n = 0;
    while started.elapsed() < LOAD_TIME {
        let calls = (0..4).map(|m| {
            let id = format!("s{n}-{m}");
            async move { gateway.generate(&id).await.body.is_none() }
        });
        let calls = join_all(calls).await;
        broken_off += calls.into_iter().filter(|broken| *broken).count();
        n += 1;
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }

    let most = most_arrivals_in_a_window(&limited, started + SETTLING_TIME);
    assert!(most <= max_arrivals(), "{most} requests in {WINDOW:?}");
    let resumed = sound.runs();
    let resumed = resumed
        .iter()
        .filter(|run| run.headers.contains_key("last-event-id"));
    assert!(resumed.count() > 0);
    assert!(broken_off < 4 * n / 4, "{broken_off} streams of {}", 4 * n);
}
