//! Distribution of weight versions from the origin to engines, through stagers and their peers.

use balsamjunction_lab::standin::platform::{Engine, CHUNK_COUNT};

use crate::common::{model_engine_options, wait_until, Gateway, TestSite};

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
