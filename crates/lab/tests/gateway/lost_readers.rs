//! Gateways that read the store for all and no longer can, in a fleet on slow links (issue 52).

use std::time::{Duration, Instant};

use crate::{
    common::{model_engine_options, plain_engine_options},
    slow_links::{
        publish_large_configuration, Acknowledged, SlowFleet, CONFIGURED_WITHIN,
        VERSION_KNOWN_WITHIN, VERSION_TAKEN_LATER,
    },
};

/// Time for which the store refuses the calls of a reader.
const REFUSAL_TIME: Duration = Duration::from_millis(2_000);
/// Time from the first refusal to the large configuration that the reader cannot read.
const CONFIGURATION_DELAY: Duration = Duration::from_millis(500);
/// Time from the large configuration to what follows it: a version, or the end of a reader.
const FOLLOWING_DELAY: Duration = Duration::from_millis(200);
/// Time without any change in which a reader calls the store for certain, and no other gateway does.
const QUIET_TIME: Duration = Duration::from_millis(2_500);
/// Gateways that may read the store in place of a lost reader: the other one, and its successor.
const MOST_READERS: usize = 2;
/// Time for which a test observes the gateways after its last change.
const OBSERVATION_TIME: Duration = Duration::from_millis(5_000);

/// The name of a gateway that reads the store for the others.
fn find_reader(fleet: &SlowFleet) -> String {
    let now = Instant::now();
    let readers = fleet.readers(now - QUIET_TIME, now);
    let reader = readers.first().expect("a gateway reads the store");
    (*reader).to_owned()
}

/// Starts a fleet, refuses the calls of a reader, and names version 2 beside a large configuration meanwhile. Returns the
/// reader's name, too.
async fn name_version_while_a_reader_is_refused() -> (SlowFleet, Acknowledged, String) {
    let mut fleet = SlowFleet::start(async |site| {
        site.start_engine(model_engine_options("e1", 3, 5)).await;
        site.publish_version(1);
    })
    .await;
    let reader = find_reader(&fleet);

    fleet.access(&reader).refuse_for(REFUSAL_TIME);
    actix_rt::time::sleep(CONFIGURATION_DELAY).await;
    publish_large_configuration(&mut fleet.site);
    actix_rt::time::sleep(FOLLOWING_DELAY).await;
    fleet.site.publish_version(2);
    let named = Acknowledged::now();
    actix_rt::time::sleep(OBSERVATION_TIME).await;
    let refused = fleet.access(&reader).refused_calls();
    assert!(refused > 0, "{reader} does not read the store");
    (fleet, named, reader)
}

/// What the gateway `name` has among `values`.
fn value_of(values: &[(&str, Option<i64>)], name: &str) -> Option<i64> {
    values
        .iter()
        .find(|(n, _)| *n == name)
        .and_then(|(_, value)| *value)
}

// Guards against a reader that learns of a change by its own reads only, although its peers know it.
#[actix_rt::test]
async fn a_reader_that_the_store_refuses_knows_a_version_in_time() {
    let (fleet, named, reader) = name_version_while_a_reader_is_refused().await;

    let learned = fleet.version_learned(2, &named);
    println!("ms from the acknowledgement to the knowledge of the version at {reader} and others: {learned:?}");
    let learned = value_of(&learned, &reader);
    let within = VERSION_KNOWN_WITHIN.as_millis() as i64;
    assert!(
        learned.is_some_and(|ms| ms <= within),
        "later than {within} ms: {learned:?}"
    );
}

// Guards against a failed read that is taken for proof that nothing was acknowledged before it
// (zvh-vorbestell-grown).
#[actix_rt::test]
async fn a_reader_that_the_store_refuses_takes_no_version_for_later_than_it_was() {
    let (fleet, named, reader) = name_version_while_a_reader_is_refused().await;

    let taken = fleet.version_counted_from(2, &named);
    println!("ms from the acknowledgement to the time from which the version counts at {reader} and others: {taken:?}");
    let taken = value_of(&taken, &reader);
    let most = VERSION_TAKEN_LATER.as_millis() as i64;
    assert!(
        taken.is_some_and(|ms| ms <= most),
        "later by more than {most} ms: {taken:?}"
    );
}

/// Starts a fleet, publishes a large configuration and kills a reader while it is on its way. Returns the reader's name,
/// too.
async fn kill_reader_beside_large_configuration() -> (SlowFleet, Acknowledged, String) {
    let mut fleet = SlowFleet::start(async |site| {
        site.start_engine(plain_engine_options("d1")).await;
    })
    .await;
    let reader = find_reader(&fleet);

    let published = publish_large_configuration(&mut fleet.site);
    actix_rt::time::sleep(FOLLOWING_DELAY).await;
    fleet.site.processes.kill(&reader).expect("kill the reader");
    actix_rt::time::sleep(OBSERVATION_TIME).await;
    (fleet, published, reader)
}

// Guards against a configuration that gets stuck with the reader that sent it.
#[actix_rt::test]
async fn all_gateways_have_a_large_configuration_whose_reader_is_killed() {
    let (fleet, published, reader) = kill_reader_beside_large_configuration().await;

    let applied = fleet.configuration_applied(&published);
    println!(
        "ms from the acknowledgement to the configuration in force, without {reader}: {applied:?}"
    );
    let within = CONFIGURED_WITHIN.as_millis() as i64;
    let others = applied.iter().filter(|(name, _)| *name != reader);
    let late: Vec<_> = others
        .filter(|(_, ms)| ms.is_none_or(|ms| ms > within))
        .collect();
    assert!(late.is_empty(), "later than {within} ms: {late:?}");
}

// Guards against gateways that all read the store themselves as soon as a reader is late.
#[actix_rt::test]
async fn few_gateways_read_the_store_in_place_of_a_killed_reader() {
    let (fleet, published, reader) = kill_reader_beside_large_configuration().await;

    let readers = fleet.readers(published.at, published.at + CONFIGURED_WITHIN);
    let others: Vec<&str> = readers.into_iter().filter(|name| *name != reader).collect();
    println!("gateways that read the store besides {reader}: {others:?}");
    assert!(
        others.len() <= MOST_READERS,
        "more than {MOST_READERS}: {others:?}"
    );
}
