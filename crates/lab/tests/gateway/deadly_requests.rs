//! Identical requests that crash each engine that begins to respond to them, and sound ones that were at engines which
//! crashed together.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use balsamjunction_lab::standin::platform::Engine;
use futures_util::future::{join, join3, join_all};

use crate::{
    common::Gateway,
    deadly_parts::{
        assert_served, start_fleet, Fleet, SoundRequest, CONTACT_AFTER, DEADLY_INTERVAL, LOAD_TIME,
        MAX_LATE,
    },
};

/// The crash of an identical request from which [`CONTACT_AFTER`] counts.
const CRASHES: usize = 3;
const DEADLY_PATH: &str = "/draft/killer";
const SHARED_PATH: &str = "/draft/board";
/// Time after which all engines crash.
const OUTAGE_AFTER: Duration = Duration::from_secs(2);
/// Identical requests of one gateway at a time.
const SHARED_AT_ONCE: usize = 12;

/// When each request to a path arrived at an engine, in order.
fn arrivals_at(fleet: &Fleet, path: &str) -> Vec<Instant> {
    let runs = fleet.engines.iter().flat_map(Engine::runs);
    let of_path = runs.filter(|run| run.target == path);
    let mut times: Vec<Instant> = of_path.map(|run| run.arrived_at).collect();
    times.sort();
    times
}

/// Sends identical requests through a gateway, several at a time.
async fn send_shared(gateway: &Gateway, started: Instant) -> Vec<SoundRequest> {
    let mut sent = Vec::new();
    let mut round = 0;
    while started.elapsed() < LOAD_TIME {
        let calls = (0..SHARED_AT_ONCE).map(|n| {
            let id = format!("i{}-{round}-{n}", gateway.callers.ip());
            async move {
                let sent_at = Instant::now();
                let got = gateway.generate_on(SHARED_PATH, &id).await;
                let served = got.status == 200 && got.body.is_some();
                SoundRequest { sent_at, served }
            }
        });
        sent.extend(join_all(calls).await);
        round += 1;
        actix_rt::time::sleep(Duration::from_millis(30)).await;
    }
    sent
}

/// Sends identical requests through all gateways, and others through the first one, while all engines crash at the times
/// `outages`; returns the identical ones.
async fn play_outages(
    fleet: &Fleet,
    shared_from: Duration,
    outages: &[Duration],
) -> Vec<SoundRequest> {
    let started = Instant::now();
    let running = Cell::new(true);
    let shared = async {
        actix_rt::time::sleep(shared_from).await;
        let sent = fleet
            .gateways
            .iter()
            .map(|gateway| send_shared(gateway, started));
        let sent = join_all(sent).await;
        running.set(false);
        sent.into_iter().flatten().collect()
    };
    let others = fleet
        .gateways
        .iter()
        .map(|gateway| fleet.send_sound(gateway, started));
    let crash = async {
        for at in outages {
            actix_rt::time::sleep(at.saturating_sub(started.elapsed())).await;
            fleet.engines.iter().for_each(Engine::crash);
        }
    };
    let load = join(join_all(others), crash);
    let (shared, _, ()) = join3(shared, load, fleet.keep_registered(&running)).await;
    shared
}

// Guards against a sound request that every gateway refuses for good after all engines have crashed at once.
#[actix_rt::test]
async fn a_request_that_was_at_work_in_an_outage_is_served_afterwards() {
    let fleet = start_fleet(2, 3).await;

    let shared = play_outages(&fleet, Duration::ZERO, &[OUTAGE_AFTER]).await;

    let outage = fleet.crash_times()[0];
    assert_served(&shared, outage + CONTACT_AFTER);
}

// Guards against the same for a request that nobody has seen served before the engines crash, three times in a row.
#[actix_rt::test]
async fn a_new_request_that_was_at_work_in_outages_is_served_afterwards() {
    let fleet = start_fleet(2, 3).await;
    let begun = Duration::from_millis(60);
    let outages = [0, 200, 400].map(|ms| OUTAGE_AFTER + begun + Duration::from_millis(ms));

    let shared = play_outages(&fleet, OUTAGE_AFTER, &outages).await;

    let outage = fleet.crash_times()[0];
    assert_served(&shared, outage + 2 * CONTACT_AFTER);
}

// Guards against tests of a verdict, or gateways that tell each other nothing, which let a deadly request through.
#[actix_rt::test]
async fn a_request_that_crashes_engines_is_refused_by_several_gateways() {
    let fleet = start_fleet(4, 8).await;
    for engine in &fleet.engines {
        engine.set_deadly_path(DEADLY_PATH);
    }
    let started = Instant::now();
    let running = Cell::new(true);
    let deadly = async {
        let mut calls = Vec::new();
        while started.elapsed() < LOAD_TIME {
            let gateway = fleet.gateways[calls.len() % fleet.gateways.len()];
            let id = format!("d-{}", calls.len());
            calls.push(actix_rt::spawn(async move {
                gateway.generate_on(DEADLY_PATH, &id).await.status
            }));
            actix_rt::time::sleep(DEADLY_INTERVAL).await;
        }
        let statuses = join_all(calls).await;
        running.set(false);
        statuses
    };
    let others = fleet
        .gateways
        .iter()
        .map(|gateway| fleet.send_sound(gateway, started));

    let (statuses, sound, ()) =
        join3(deadly, join_all(others), fleet.keep_registered(&running)).await;

    let arrivals = arrivals_at(&fleet, DEADLY_PATH);
    let third = arrivals.get(CRASHES - 1).expect("three engines crash");
    let late = arrivals.iter().filter(|at| **at > *third + CONTACT_AFTER);
    let late = late.count();
    assert!(late <= MAX_LATE, "{late} requests reached engines late");
    let last = statuses.last().expect("requests are sent");
    assert_eq!(last.as_ref().ok(), Some(&503));
    let sound: Vec<SoundRequest> = sound.into_iter().flatten().collect();
    assert_served(&sound, *third + CONTACT_AFTER);
}
