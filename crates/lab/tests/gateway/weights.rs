//! Versions on their way to engines.

use balsamjunction_lab::standin::platform::{Engine, CHUNK_COUNT};

use crate::common::{engine, until, Gateway, Site};

/// Engines with their stagers behind one gateway.
async fn fleet(site: &mut Site, engines: usize) -> (Gateway, Vec<Engine>) {
    let gateway = site.gateway("g1", &[]);
    let mut started = Vec::new();
    for n in 0..engines {
        let engine = site.engine(engine(&format!("e{n}"), 3, 5)).await;
        site.stager(&format!("s{n}"), &engine, &[gateway]);
        started.push(engine);
    }
    gateway.until_ready().await;
    (gateway, started)
}

async fn until_served(engines: &[Engine], version: u64) {
    until("every engine to serve the version", async || {
        engines
            .iter()
            .all(|engine| engine.version() == Some(version))
    })
    .await;
}

#[actix_rt::test]
async fn a_version_reaches_every_engine_and_little_comes_from_the_origin() {
    let mut site = Site::start().await;
    let (_, engines) = fleet(&mut site, 4).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(1_000)).await;
    let before = site.origin.chunks_sent();

    site.name_version(2);
    until_served(&engines, 2).await;

    let drawn = site.origin.chunks_sent() - before;
    assert!(drawn <= 2 * CHUNK_COUNT as u64, "{drawn} chunks were drawn");
    assert!(engines
        .iter()
        .all(|engine| engine.inconsistent_loads() == 0));
}

#[actix_rt::test]
async fn a_chunk_that_spoils_after_staging_is_staged_again() {
    let mut site = Site::start().await;
    let (_, engines) = fleet(&mut site, 2).await;

    engines[0].corrupt_next_staged_chunk();
    site.name_version(2);
    until_served(&engines, 2).await;

    assert_eq!(engines[0].inconsistent_loads(), 0);
}

#[actix_rt::test]
async fn a_manifest_that_was_garbled_on_its_way_is_not_believed() {
    let mut site = Site::start().await;
    let (_, engines) = fleet(&mut site, 3).await;

    site.origin.corrupt_next_manifest();
    site.name_version(2);
    until_served(&engines, 2).await;

    assert!(engines
        .iter()
        .all(|engine| engine.inconsistent_loads() == 0));
}

#[actix_rt::test]
async fn of_two_versions_the_later_one_is_served_in_the_end() {
    let mut site = Site::start().await;
    let (_, engines) = fleet(&mut site, 3).await;

    site.name_version(2);
    actix_rt::time::sleep(std::time::Duration::from_millis(150)).await;
    site.name_version(3);
    until_served(&engines, 3).await;

    assert!(engines
        .iter()
        .all(|engine| engine.inconsistent_loads() == 0));
}

#[actix_rt::test]
async fn a_version_whose_origin_is_down_arrives_when_it_is_back() {
    let mut site = Site::start().await;
    let (_, engines) = fleet(&mut site, 2).await;

    site.origin.set_down(true);
    site.name_version(2);
    actix_rt::time::sleep(std::time::Duration::from_millis(1_500)).await;
    site.origin.set_down(false);

    until_served(&engines, 2).await;
}

#[actix_rt::test]
async fn an_engine_that_serves_gets_the_newest_of_more_versions_than_are_kept() {
    let mut site = Site::start().await;
    let (_, engines) = fleet(&mut site, 2).await;
    until("the first version", async || {
        !site.lines("s0", "weights").is_empty()
    })
    .await;
    site.origin.set_down(true);
    for version in 2..6 {
        site.name_version(version);
        let heard = async || {
            let lines = site.lines("s0", "weights");
            lines.iter().any(|line| line["version"] == version)
        };
        until("the version to be heard of", heard).await;
    }

    site.origin.set_down(false);

    until_served(&engines, 5).await;
}
