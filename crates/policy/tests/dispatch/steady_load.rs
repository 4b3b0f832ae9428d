//! Load below the capacity of the upstreams.

use super::*;

#[test]
fn requests_are_distributed_evenly_over_idle_engines() {
    let mut cluster = TestCluster::new();
    for n in 0..4 {
        cluster.register(millis(0), engine_record(&format!("e{n}"), "addis-a"));
    }

    let mut counts = HashMap::new();
    for _ in 0..16 {
        let id = cluster
            .try_send_id(millis(10), engine_request(millis(10)))
            .expect("there is capacity");
        *counts.entry(id).or_insert(0) += 1;
    }

    assert!(counts.values().all(|count| *count == 4), "{counts:?}");
}

#[test]
fn a_local_engine_is_preferred_until_its_load_is_clearly_higher() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("near", "addis-a"));
    cluster.register(millis(0), engine_record("far", "mekelle-a"));

    let first = cluster.try_send_id(millis(10), engine_request(millis(10)));
    let second = cluster.try_send_id(millis(10), engine_request(millis(10)));

    assert_eq!(first.as_deref(), Some("near"));
    assert_eq!(second.as_deref(), Some("far"));
}

#[test]
fn a_request_stays_in_its_allowed_regions() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), engine_record("near", "addis-a"));
    cluster.register(millis(0), engine_record("far", "mekelle-a"));
    let mut remote_only = engine_request(millis(10));
    remote_only.route_regions = vec!["mekelle".into()];
    let mut no_region = remote_only.clone();
    no_region.workspace_regions = vec!["addis".into()];

    assert_eq!(
        cluster.try_send_id(millis(10), remote_only).as_deref(),
        Some("far")
    );
    assert!(matches!(
        cluster.submit(millis(10), no_region),
        DispatchDecision::Refuse(refusal) if refusal.reason == RefusalReason::NoUpstream
    ));
}
