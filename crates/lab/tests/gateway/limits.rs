//! Engines whose responses state a limit on the requests from all gateways together (`Server-Limit`).

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::Engine;
use futures_util::future::join_all;

use crate::common::{plain_engine_options, Gateway, TestSite};

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

// Guards against requests beyond the limit that an engine stated to its only gateway, which ignored it.
#[actix_rt::test]
async fn a_limited_engine_gets_no_more_than_its_limit_from_one_gateway() {
    let (_site, gateways, limited, free) = start_gateways(1).await;
    let started = Instant::now();

    let statuses = send_load(&gateways).await;

    let most = most_arrivals_in_a_window(&limited, started + SETTLING_TIME);
    assert!(most <= max_arrivals(), "{most} requests in {WINDOW:?}");
    assert!(statuses.iter().all(|status| *status == 200));
    assert!(free.arrival_count() > statuses.len() / 2);
}

// Guards against a limit that each gateway applies by itself: it is for all gateways together.
#[actix_rt::test]
async fn a_limited_engine_gets_no_more_than_its_limit_from_several_gateways() {
    let (_site, gateways, limited, free) = start_gateways(4).await;
    let started = Instant::now();

    let statuses = send_load(&gateways).await;

    let most = most_arrivals_in_a_window(&limited, started + SETTLING_TIME);
    assert!(most <= max_arrivals(), "{most} requests in {WINDOW:?}");
    assert!(statuses.iter().all(|status| *status == 200));
    assert!(free.arrival_count() > statuses.len() / 2);
}
