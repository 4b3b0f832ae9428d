//! Distribution of weight versions from the origin to engines, through stagers and their peers.

use std::time::Duration;

use balsamjunction_lab::standin::platform::{Engine, OrderFault, StagingFault, CHUNK_COUNT};
use balsamjunction_platform as platform;
use balsamjunction_policy::rendezvous;
use nix::sys::signal::Signal;

use crate::{
    common::{model_engine_options, new_client, wait_until, Gateway, TestSite},
    held_link::{HeldLink, HeldRequest},
};

/// Time for which the platform tolerates that a chunk was corrupt when it was loaded.
const CORRUPTION_TOLERANCE: Duration = Duration::from_millis(3_000);
/// How long a host is frozen.
const FREEZE: Duration = Duration::from_millis(4_000);
/// Two chunks that become corrupt.
const CORRUPT_CHUNKS: [usize; 2] = [3, 10];

/// Starts engines, each with its stager, behind one gateway.
async fn start_fleet(site: &mut TestSite, engines: usize) -> (Gateway, Vec<Engine>) {
    let gateway = site.start_gateway("g1", &[]);
    let mut started = Vec::new();
    for n in 0..engines {
        let engine = site
            .start_engine(model_engine_options(&format!("e{n}"), 3, 5))
            .await;
        site.start_stager(&format!("s{n}"), &engine, &[gateway]);
        started.push(engine);
    }
    gateway.wait_until_ready().await;
    (gateway, started)
}

async fn wait_until_served(engines: &[Engine], version: u64) {
    wait_until("every engine to serve the version", async || {
        engines
            .iter()
            .all(|engine| engine.version() == Some(version))
    })
    .await;
}

#[actix_rt::test]
async fn a_version_reaches_every_engine_with_few_fetches_from_the_origin() {
    let mut site = TestSite::start().await;
    let (_, engines) = start_fleet(&mut site, 4).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(1_000)).await;
    let before = site.origin.chunks_sent();

    site.publish_version(2);
    wait_until_served(&engines, 2).await;

    let fetched = site.origin.chunks_sent() - before;
    assert!(
        fetched <= 2 * CHUNK_COUNT as u64,
        "{fetched} chunks were fetched from the origin"
    );
    assert!(engines
        .iter()
        .all(|engine| engine.inconsistent_loads() == 0));
}

#[actix_rt::test]
async fn a_chunk_that_is_corrupted_after_staging_is_staged_again() {
    let mut site = TestSite::start().await;
    let (_, engines) = start_fleet(&mut site, 2).await;

    engines[0].corrupt_next_staged_chunk();
    site.publish_version(2);
    wait_until_served(&engines, 2).await;

    assert_eq!(engines[0].inconsistent_loads(), 0);
}

#[actix_rt::test]
async fn a_manifest_that_was_corrupted_in_transit_is_rejected() {
    let mut site = TestSite::start().await;
    let (_, engines) = start_fleet(&mut site, 3).await;

    site.origin.corrupt_next_manifest();
    site.publish_version(2);
    wait_until_served(&engines, 2).await;

    assert!(engines
        .iter()
        .all(|engine| engine.inconsistent_loads() == 0));
}

#[actix_rt::test]
async fn of_two_versions_published_in_succession_the_later_one_is_served() {
    let mut site = TestSite::start().await;
    let (_, engines) = start_fleet(&mut site, 3).await;

    site.publish_version(2);
    actix_rt::time::sleep(std::time::Duration::from_millis(150)).await;
    site.publish_version(3);
    wait_until_served(&engines, 3).await;

    assert!(engines
        .iter()
        .all(|engine| engine.inconsistent_loads() == 0));
}

#[actix_rt::test]
async fn a_version_arrives_once_its_origin_is_back() {
    let mut site = TestSite::start().await;
    let (_, engines) = start_fleet(&mut site, 2).await;

    site.origin.set_down(true);
    site.publish_version(2);
    actix_rt::time::sleep(std::time::Duration::from_millis(1_500)).await;
    site.origin.set_down(false);

    wait_until_served(&engines, 2).await;
}

#[actix_rt::test]
async fn a_serving_engine_gets_the_newest_of_more_versions_than_are_stored() {
    let mut site = TestSite::start().await;
    let (_, engines) = start_fleet(&mut site, 2).await;
    wait_until("the stager to log the first version", async || {
        !site.log_lines("s0", "weights").is_empty()
    })
    .await;
    site.origin.set_down(true);
    for version in 2..6 {
        site.publish_version(version);
        let is_logged = async || {
            let lines = site.log_lines("s0", "weights");
            lines.iter().any(|line| line["version"] == version)
        };
        wait_until("the stager to log the version", is_logged).await;
    }

    site.origin.set_down(false);

    wait_until_served(&engines, 5).await;
}

/// Starts an engine with its stager behind two gateways, and returns once the first version is fetched.
async fn start_engine_behind_two_gateways(site: &mut TestSite) -> Engine {
    let first = site.start_gateway("g1", &[]);
    let second = site.start_gateway("g2", &[first]);
    let engine = site.start_engine(model_engine_options("e0", 3, 5)).await;
    site.start_stager("s0", &engine, &[first, second]);
    first.wait_until_ready().await;
    second.wait_until_ready().await;
    wait_until("the stager to fetch the first version", async || {
        let lines = site.log_lines("s0", "weights");
        lines.iter().any(|line| line["step"] == "fetched")
    })
    .await;
    engine
}

/// Waits until `reads` chunks of a completely staged version were read back.
///
/// The wait is busy, because the interval between the last read and the order is short.
async fn wait_for_staged_reads(engine: &Engine, version: u64, reads: usize) {
    let started = std::time::Instant::now();
    while !engine.has_staged(version) || engine.staged_reads() < reads {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "version {version} was not read back"
        );
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
}

fn signal(site: &TestSite, name: &str, signal: Signal) {
    let sent = site.processes.signal(name, signal);
    sent.expect("signal the process");
}

/// Freezes the stager for four seconds, while staged chunks become corrupt.
async fn freeze_stager_and_corrupt_chunks(site: &TestSite, engine: &Engine) {
    signal(site, "s0", Signal::SIGSTOP);
    engine.corrupt_staged_chunks(&CORRUPT_CHUNKS);
    actix_rt::time::sleep(FREEZE).await;
    signal(site, "s0", Signal::SIGCONT);
}

fn assert_no_old_corruption_was_loaded(engine: &Engine) {
    let longest = engine.longest_loaded_corruption();
    assert!(
        longest < CORRUPTION_TOLERANCE,
        "a chunk that had been corrupt for {longest:?} was loaded"
    );
}

/// Guards against an order that relies on a comparison from before a freeze of the stager: a notification of
/// gateways, one of which was frozen, lay between the two.
#[actix_rt::test]
async fn a_stager_that_freezes_before_its_order_compares_the_staged_chunks_again() {
    let mut site = TestSite::start().await;
    let engine = start_engine_behind_two_gateways(&mut site).await;

    signal(&site, "g2", Signal::SIGSTOP);
    site.publish_version(2);
    wait_for_staged_reads(&engine, 2, CHUNK_COUNT).await;
    freeze_stager_and_corrupt_chunks(&site, &engine).await;
    signal(&site, "g2", Signal::SIGCONT);
    wait_until_served(std::slice::from_ref(&engine), 2).await;

    assert_no_old_corruption_was_loaded(&engine);
}

/// Guards against an order that relies on reads from before a freeze in the middle of the comparison.
#[actix_rt::test]
async fn a_stager_that_freezes_during_its_comparison_begins_it_again() {
    let mut site = TestSite::start().await;
    let engine = start_engine_behind_two_gateways(&mut site).await;
    engine.set_staged_read_delay(Duration::from_millis(10));

    site.publish_version(2);
    wait_for_staged_reads(&engine, 2, CHUNK_COUNT - 2).await;
    freeze_stager_and_corrupt_chunks(&site, &engine).await;
    wait_until_served(std::slice::from_ref(&engine), 2).await;

    assert_no_old_corruption_was_loaded(&engine);
}

/// Guards against an order after a comparison that took so long that chunks read early were corrupt for too long.
#[actix_rt::test]
async fn a_comparison_with_slow_reads_is_not_relied_on_for_too_long() {
    let mut site = TestSite::start().await;
    let engine = start_engine_behind_two_gateways(&mut site).await;
    engine.set_staged_read_delay(Duration::from_millis(300));

    site.publish_version(2);
    wait_for_staged_reads(&engine, 2, 5).await;
    engine.corrupt_staged_chunks(&[0]);
    wait_until_served(std::slice::from_ref(&engine), 2).await;

    assert_no_old_corruption_was_loaded(&engine);
}

/// Guards against an order that is repeated on the comparison that the lost one relied on.
#[actix_rt::test]
async fn an_order_that_was_lost_is_repeated_on_a_new_comparison() {
    let mut site = TestSite::start().await;
    let engine = start_engine_behind_two_gateways(&mut site).await;
    engine.set_order_fault(OrderFault::Lost);

    site.publish_version(2);
    wait_until("the order to be lost", async || {
        !engine.received_orders().is_empty()
    })
    .await;
    freeze_stager_and_corrupt_chunks(&site, &engine).await;
    wait_until_served(std::slice::from_ref(&engine), 2).await;

    assert_eq!(engine.received_orders(), [2, 2]);
    assert_no_old_corruption_was_loaded(&engine);
}

/// Guards against an order that is delayed between the check of its age and its first byte, such as by the connection.
#[actix_rt::test]
async fn an_order_that_is_not_permitted_when_its_connection_is_open_is_not_sent() {
    let server = Engine::start(model_engine_options("e0", 3, 5)).await;
    let server = server.expect("start the engine");
    let engine = platform::Engine::new(new_client(), new_client(), new_client(), server.address);
    let order = platform::LoadOrder {
        model: "m1".into(),
        version: 2,
        mode: platform::SwitchMode::Abort,
    };

    let withheld = engine.load(&order, || false).await;
    let received_before = server.received_orders();
    let sent = engine.load(&order, || true).await;

    assert_eq!(
        withheld.expect("nothing fails"),
        platform::OrderOutcome::Withheld
    );
    assert!(received_before.is_empty());
    assert_eq!(
        sent.expect("the engine responds"),
        platform::OrderOutcome::Accepted
    );
    assert_eq!(server.received_orders(), [2]);
}

/// The stager, of two, whose engine switches last to a version.
fn last_to_switch(version: u64) -> usize {
    let order = rendezvous::rank(&version.to_le_bytes(), ["s0", "s1"].into_iter());
    usize::from(order[1] == "s1")
}

/// Guards against chunks of a later version being staged while the engine may still accept the order for an
/// earlier one, which would then load chunks of both.
#[actix_rt::test]
async fn no_other_version_is_staged_while_an_order_without_response_may_be_accepted() {
    let mut site = TestSite::start().await;
    // Long enough that the later version is staged well before its turn.
    site.version_deadline = Duration::from_secs(8);
    let (_, engines) = start_fleet(&mut site, 2).await;
    let last = last_to_switch(2);
    let later = (3..).find(|version| last_to_switch(*version) == last);
    let later = later.expect("some version has the same last stager");
    engines[last].set_order_fault(OrderFault::Late(Duration::from_millis(1_400)));

    site.publish_version(2);
    wait_until("the last order to be received", async || {
        !engines[last].received_orders().is_empty()
    })
    .await;
    site.publish_version(later);
    wait_until_served(&engines, later).await;

    assert_eq!(engines[last].inconsistent_loads(), 0);
}

/// Guards against an order that is delivered after it was given up, and then loads what is staged of a later version.
#[actix_rt::test]
async fn an_order_that_was_given_up_is_not_delivered_later() {
    let mut site = TestSite::start().await;
    let gateway = site.start_gateway("g1", &[]);
    let engine = site.start_engine(model_engine_options("e0", 3, 5)).await;
    let link = HeldLink::start(engine.address).await;
    site.start_stager_at("s0", &engine, link.address, &[gateway]);
    gateway.wait_until_ready().await;
    // Longer than an order is waited for and the next version is held back afterwards.
    link.hold_next("POST /order", Duration::from_millis(4_500));

    site.publish_version(2);
    wait_until("the order to be sent", async || link.has_taken()).await;
    site.publish_version(3);
    wait_until("the order to leave the link", async || {
        !link.ended().is_empty()
    })
    .await;
    // Time in which a delivered order is accepted.
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    wait_until_served(std::slice::from_ref(&engine), 3).await;

    let loaded = (engine.received_orders(), engine.inconsistent_loads());
    assert_eq!(loaded, (vec![3], 0));
    assert_eq!(link.ended(), [HeldRequest::Lost]);
}

/// Guards against a chunk of an earlier version that replaces one of a later version, because the call that stages it was
/// dropped when another one was rejected.
#[actix_rt::test]
async fn no_other_version_is_staged_while_a_dropped_call_may_stage_a_chunk() {
    let mut site = TestSite::start().await;
    let (_, engines) = start_fleet(&mut site, 1).await;
    let engine = &engines[0];
    engine.set_staging_fault(StagingFault::LateThenRejected {
        delay: Duration::from_millis(900),
    });

    site.publish_version(2);
    wait_until("a chunk to be rejected", async || {
        engine.staging_fault() == StagingFault::None
    })
    .await;
    site.publish_version(3);
    wait_until_served(&engines, 3).await;
    // The late chunk has been staged by then.
    actix_rt::time::sleep(Duration::from_millis(1_000)).await;

    assert_eq!(engine.late_overwrites(), 0);
    assert_eq!(engine.inconsistent_loads(), 0);
}

/// Time after the announcement for which the origin can be reached: shorter than 1.2 s, for which hosts used to wait for
/// owners that are lost, and several times as long as one of them takes to be replaced.
const ORIGIN_WINDOW: Duration = Duration::from_millis(1_000);

/// Guards against chunks that wait for their owners, which were killed, until the origin cannot be reached either. On one
/// day two killed owners of one chunk each kept a version from all 57 others.
#[actix_rt::test]
async fn chunks_of_killed_owners_are_fetched_before_the_origin_becomes_unreachable() {
    let mut site = TestSite::start().await;
    let gateway = site.start_gateway("g1", &[]);
    let mut engines = Vec::new();
    for n in 0..6 {
        let mut options = model_engine_options(&format!("e{n}"), 3, 5);
        if n % 2 == 1 {
            options.data_centre = "addis-b".into();
        }
        let engine = site.start_engine(options).await;
        site.start_stager(&format!("s{n}"), &engine, &[gateway]);
        engines.push(engine);
    }
    gateway.wait_until_ready().await;
    wait_until("all stagers to fetch the first version", async || {
        let has_fetched = |n| {
            let lines = site.log_lines(&format!("s{n}"), "weights");
            lines.iter().any(|line| line["step"] == "fetched")
        };
        (0..6).all(has_fetched)
    })
    .await;

    signal(&site, "s0", Signal::SIGKILL);
    signal(&site, "s1", Signal::SIGKILL);
    site.publish_version(2);
    actix_rt::time::sleep(ORIGIN_WINDOW).await;
    site.origin.set_down(true);

    wait_until_served(&engines[2..], 2).await;
    assert!(engines[2..]
        .iter()
        .all(|engine| engine.inconsistent_loads() == 0));
}
