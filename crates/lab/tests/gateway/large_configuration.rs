//! What is small and urgent beside a configuration that fills the links between gateways (issue 52).

use std::time::{Duration, Instant};

use balsamjunction_lab::standin::platform::Engine;
use futures_util::future::{join, join_all};
use serde_json::{json, Value};

use crate::{
    common::{model_engine_options, plain_engine_options, Gateway, TestSite, API_KEY},
    slow_links::{
        publish_large_configuration, Acknowledged, SlowFleet, CONFIGURED_WITHIN,
        REVOCATION_DEADLINE, VERSION_KNOWN_WITHIN, VERSION_TAKEN_LATER,
    },
};

/// Time from the large configuration to the small change behind it.
const SMALL_CHANGE_DELAY: Duration = Duration::from_millis(200);
/// Time from its acknowledgement after which a draining engine must get no requests.
const DRAINED_WITHIN: Duration = Duration::from_millis(1_000);
/// Time from its acknowledgement within which a revocation must be in force beside a large configuration.
const REVOKED_WITHIN: Duration = Duration::from_millis(2_000);
/// Time from the large configuration for which a test observes the gateways; longer than it took to settle where
/// the small changes behind it came late.
const OBSERVATION_TIME: Duration = Duration::from_millis(8_000);
/// Interval between requests of one caller; each gateway has one.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// A key that tests revoke.
const REVOKED_KEY: &str = "key-to-revoke";

/// Publishes a large configuration and makes the change `change` shortly after it.
async fn change_beside_large_configuration(
    site: &mut TestSite,
    change: impl FnOnce(&mut TestSite),
) -> Acknowledged {
    publish_large_configuration(site);
    actix_rt::time::sleep(SMALL_CHANGE_DELAY).await;
    change(site);
    Acknowledged::now()
}

/// Starts a fleet whose engine serves version 1, publishes version 2 beside a large configuration, and observes it.
async fn name_version_beside_large_configuration() -> (SlowFleet, Acknowledged) {
    let mut fleet = SlowFleet::start(async |site| {
        site.start_engine(model_engine_options("e1", 3, 5)).await;
        site.publish_version(1);
    })
    .await;
    let change = |site: &mut TestSite| site.publish_version(2);
    let named = change_beside_large_configuration(&mut fleet.site, change).await;
    actix_rt::time::sleep(OBSERVATION_TIME).await;
    (fleet, named)
}

/// Calls a gateway again and again from `from` to `until`; returns when each request was sent and its status.
async fn call_repeatedly(
    name: &str,
    gateway: Gateway,
    key: &str,
    from: Instant,
    until: Instant,
) -> Vec<(Instant, u16)> {
    let key = format!("Bearer {key}");
    let headers = [("authorization", key.as_str())];
    actix_rt::time::sleep_until(from.into()).await;
    let mut responses = Vec::new();
    // On a busy machine the first call may be late; it is made all the same.
    while responses.is_empty() || Instant::now() < until {
        let sent_at = Instant::now();
        let id = format!("{name}-{}", responses.len());
        let got = gateway.call_with("GET", "/stock/1", &id, &headers).await;
        responses.push((sent_at, got.status));
        actix_rt::time::sleep(REQUEST_INTERVAL).await;
    }
    responses
}

/// Calls all gateways as [`call_repeatedly`] does.
async fn call_all_repeatedly(
    gateways: &[(String, Gateway)],
    key: &str,
    from: Instant,
    until: Instant,
) -> Vec<(String, Vec<(Instant, u16)>)> {
    let calls = gateways.iter().map(|(name, gateway)| async move {
        let responses = call_repeatedly(name, *gateway, key, from, until).await;
        (name.clone(), responses)
    });
    join_all(calls).await
}

/// Times of arrivals at `engine` at and after `from`, in milliseconds after it.
fn arrivals_after(engine: &Engine, from: Instant) -> Vec<u128> {
    let arrived = engine.arrival_times().into_iter();
    arrived
        .filter_map(|at| at.checked_duration_since(from))
        .map(|late| late.as_millis())
        .collect()
}

// Guards against a version that gateways learn seconds late, since the changes behind a large one wait for it
// (zvh-vorbestell-grown).
#[actix_rt::test]
async fn all_gateways_know_a_version_in_time() {
    let (fleet, named) = name_version_beside_large_configuration().await;

    let learned = fleet.version_learned(2, &named);
    println!("ms from the acknowledgement to the knowledge of the version: {learned:?}");
    let within = VERSION_KNOWN_WITHIN.as_millis() as i64;
    let late = learned
        .iter()
        .filter(|(_, ms)| ms.is_none_or(|ms| ms > within));
    let late: Vec<_> = late.collect();
    assert!(late.is_empty(), "later than {within} ms: {late:?}");
}

// Guards against gateways that let engines begin on an overdue version, since they take its successor for later than it
// was (VERSION on zvh-vorbestell-grown).
#[actix_rt::test]
async fn no_gateway_takes_a_version_for_later_than_it_was() {
    let (fleet, named) = name_version_beside_large_configuration().await;

    let taken = fleet.version_counted_from(2, &named);
    println!("ms from the acknowledgement to the time from which the version counts: {taken:?}");
    let most = VERSION_TAKEN_LATER.as_millis() as i64;
    let late = taken.iter().filter(|(_, ms)| ms.is_none_or(|ms| ms > most));
    let late: Vec<_> = late.collect();
    assert!(late.is_empty(), "later by more than {most} ms: {late:?}");
}

// Guards against reads that fail on the gateway's own full link and are reported as an outage of the store
// (zvh-vorbestell-grown, about 30 lines).
#[actix_rt::test]
async fn no_gateway_reports_a_sound_store_as_lost() {
    let (fleet, _) = name_version_beside_large_configuration().await;

    let lost: Vec<(&str, Value)> = fleet
        .log_lines("dependency")
        .into_iter()
        .flat_map(|(name, lines)| lines.into_iter().map(move |line| (name, line)))
        .filter(|(_, line)| line["name"] == "store" && line["change"] == "lost")
        .collect();
    println!("lines that report the store as lost: {}", lost.len());
    assert!(lost.is_empty(), "{lost:#?}");
}

// Guards against requests to an engine that drains, sent by gateways that wait for a large configuration before it.
#[actix_rt::test]
async fn a_draining_engine_gets_no_requests() {
    let mut engines = Vec::new();
    let mut fleet = SlowFleet::start(async |site| {
        for id in ["d1", "d2"] {
            engines.push(site.start_engine(plain_engine_options(id)).await);
        }
    })
    .await;
    let draining = &engines[0];
    let gateways = fleet.gateways.clone();

    let started = Instant::now();
    let calls = call_all_repeatedly(&gateways, API_KEY, started, started + OBSERVATION_TIME);
    let drain = |site: &mut TestSite| site.register(draining, "draining");
    let change = change_beside_large_configuration(&mut fleet.site, drain);
    let (responses, drained) = join(calls, change).await;

    let late = arrivals_after(draining, drained.at + DRAINED_WITHIN);
    let last = arrivals_after(draining, drained.at).last().copied();
    println!("ms from the acknowledgement to the last request at the draining engine: {last:?}");
    assert!(draining.arrival_count() > 0, "it got no requests before");
    for (name, responses) in &responses {
        let served = |(at, status): &&(Instant, u16)| *at > drained.at && *status == 200;
        let served = responses.iter().filter(served).count();
        println!(
            "{name} serves {served} requests after it, of {}",
            responses.len()
        );
        // A gateway that serves nothing sends nothing to the draining engine, either.
        assert!(served > 0, "{name} serves no requests");
    }
    assert!(
        late.is_empty(),
        "{} requests arrived later than {} ms: {late:?}",
        late.len(),
        DRAINED_WITHIN.as_millis()
    );
}

// Guards against a revoked key that is served, since its revocation waits behind a large configuration.
#[actix_rt::test]
async fn a_revoked_key_is_refused_by_all_gateways() {
    let mut fleet = SlowFleet::start(async |site| {
        site.start_engine(plain_engine_options("d1")).await;
        site.update_config(|config| {
            config["tenants"][0]["apiKeys"] = json!([API_KEY, REVOKED_KEY]);
        });
    })
    .await;
    let gateways = fleet.gateways.clone();
    let now = Instant::now();
    let before = call_all_repeatedly(&gateways, REVOKED_KEY, now, now + REQUEST_INTERVAL).await;

    let revoked = change_beside_large_configuration(&mut fleet.site, |site| {
        site.update_config(|config| config["tenants"][0]["apiKeys"] = json!([API_KEY]));
    })
    .await;
    let until = revoked.at + REVOCATION_DEADLINE;
    let responses = call_all_repeatedly(&gateways, REVOKED_KEY, revoked.at, until).await;
    let valid = call_all_repeatedly(&gateways, API_KEY, until, until + REQUEST_INTERVAL).await;

    let last_served: Vec<(&String, Option<u128>)> = responses
        .iter()
        .map(|(name, responses)| {
            let served = responses.iter().rev().find(|(_, status)| *status == 200);
            (name, served.map(|(at, _)| (*at - revoked.at).as_millis()))
        })
        .collect();
    println!(
        "ms from the acknowledgement to the last request served with the key: {last_served:?}"
    );
    for (name, responses) in before.iter().chain(&valid) {
        assert_eq!(responses[0].1, 200, "{name} with a valid key");
    }
    let within = REVOKED_WITHIN.as_millis();
    let late = last_served
        .iter()
        .filter(|(_, ms)| ms.is_some_and(|ms| ms > within));
    let late: Vec<_> = late.collect();
    assert!(late.is_empty(), "served later than {within} ms: {late:?}");
}

// Guards against a large configuration that reaches some gateways too late, or not at all while each transfer is given up.
#[actix_rt::test]
async fn all_gateways_have_the_large_configuration_in_time() {
    let mut fleet = SlowFleet::start(async |site| {
        site.start_engine(plain_engine_options("d1")).await;
    })
    .await;

    let published = publish_large_configuration(&mut fleet.site);
    actix_rt::time::sleep(OBSERVATION_TIME).await;

    let applied = fleet.configuration_applied(&published);
    println!("ms from the acknowledgement to the configuration in force: {applied:?}");
    let within = CONFIGURED_WITHIN.as_millis() as i64;
    let late = applied
        .iter()
        .filter(|(_, ms)| ms.is_none_or(|ms| ms > within));
    let late: Vec<_> = late.collect();
    assert!(late.is_empty(), "later than {within} ms: {late:?}");
}
