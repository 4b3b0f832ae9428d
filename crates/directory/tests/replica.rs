//! Tests of the replica of the published facts and of the indexed directory.

use std::{sync::Arc, time::Duration};

use balsamjunction_directory::{
    Change, Declaration, Directory, Fact, Position, Replica, ReplicaPull, ReplicaUpdate, Route,
    RouteKind, RouteTable, Subject, Target, Verification, Workspace,
};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn version_change(revision: u64, version: u64) -> Change {
    Change {
        subject: Subject::Version("m1".into()),
        revision,
        fact: Some(Fact::Version(version)),
        known_for_ms: 0,
        era: 0,
        copied: false,
        unconfirmed: false,
    }
}

fn evacuation_change(revision: u64, data_centre: &str, evacuated: bool) -> Change {
    Change {
        subject: Subject::Evacuation(data_centre.into()),
        revision,
        fact: evacuated.then_some(Fact::Evacuation),
        known_for_ms: 0,
        era: 0,
        copied: false,
        unconfirmed: false,
    }
}

fn declaration_change(revision: u64, version: u64) -> Change {
    let declaration = Declaration {
        version,
        ..Declaration::default()
    };
    Change {
        subject: Subject::Declaration,
        revision,
        fact: Some(Fact::Declaration(Arc::new(declaration))),
        known_for_ms: 0,
        era: 0,
        copied: false,
        unconfirmed: false,
    }
}

/// A position in a source without eras.
fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn verification(revision: u64, queried_at_ms: u64) -> Verification {
    Verification {
        position: at(revision),
        queried_at: Duration::from_millis(queried_at_ms),
    }
}

fn target_version(replica: &Replica) -> Option<u64> {
    let directory = Directory::from_replica(replica, &Directory::default());
    directory
        .target_versions
        .get("m1")
        .map(|target| target.version)
}

#[test]
fn responses_out_of_order_leave_the_newest_fact() {
    let mut replica = Replica::default();

    replica.apply(millis(0), vec![version_change(9, 3)], verification(9, 0));
    replica.apply(millis(1), vec![version_change(5, 2)], verification(5, 1));

    assert_eq!(target_version(&replica), Some(3));
    assert_eq!(replica.position().revision, 9);
}

#[test]
fn a_removed_fact_is_not_restored_by_an_old_response() {
    let mut replica = Replica::default();
    replica.apply(
        millis(0),
        vec![evacuation_change(3, "addis-a", true)],
        verification(3, 0),
    );
    replica.apply(
        millis(1),
        vec![evacuation_change(4, "addis-a", false)],
        verification(4, 1),
    );

    replica.apply(
        millis(2),
        vec![evacuation_change(3, "addis-a", true)],
        verification(4, 2),
    );

    assert_eq!(replica.facts().count(), 0);
}

#[test]
fn a_complete_copy_removes_missing_facts_unless_they_are_newer() {
    let mut replica = Replica::default();
    let changes = vec![
        evacuation_change(3, "addis-a", true),
        evacuation_change(12, "mekelle-a", true),
    ];
    replica.apply(millis(0), changes, verification(12, 0));

    replica.replace_by_listing(millis(1), vec![version_change(5, 2)], verification(10, 1));

    let directory = Directory::from_replica(&replica, &Directory::default());
    assert!(!directory.evacuated_data_centres.contains("addis-a"));
    assert!(directory.evacuated_data_centres.contains("mekelle-a"));
}

#[test]
fn a_configuration_is_not_replaced_by_a_lower_version() {
    let mut replica = Replica::default();
    replica.apply(
        millis(0),
        vec![declaration_change(5, 20)],
        verification(5, 0),
    );

    replica.apply(
        millis(1),
        vec![declaration_change(6, 18)],
        verification(6, 1),
    );

    let directory = Directory::from_replica(&replica, &Directory::default());
    assert_eq!(
        directory.route_table.map(|table| table.declaration.version),
        Some(20)
    );
}

#[test]
fn a_verification_of_a_lower_revision_is_ignored() {
    let mut replica = Replica::default();
    replica.apply(millis(0), vec![version_change(9, 3)], verification(9, 100));

    replica.mark_verified(verification(8, 900));

    assert_eq!(replica.verified_at(), Some(millis(100)));
}

#[test]
fn an_update_includes_the_age_of_the_verification_and_of_each_fact() {
    let mut source = Replica::default();
    source.apply(
        millis(1_000),
        vec![version_change(9, 3)],
        verification(9, 1_000),
    );
    let update = source
        .update_for(millis(4_000), &ReplicaPull::from(at(0)))
        .expect("the source has facts");

    let mut replica = Replica::default();
    replica.apply_update(millis(50_010), millis(50_000), update);

    // Verified 3 s before the query was sent, on the clock of the querying process.
    assert_eq!(replica.verified_at(), Some(millis(47_000)));
    let known_since: Vec<_> = replica.facts().map(|stored| stored.known_since).collect();
    assert_eq!(known_since, [millis(47_010)]);
}

#[test]
fn an_update_from_a_peer_that_is_behind_changes_nothing() {
    let mut source = Replica::default();
    source.apply(millis(0), vec![version_change(5, 2)], verification(5, 0));
    let update = source
        .update_for(millis(0), &ReplicaPull::from(at(0)))
        .expect("the source has facts");
    let mut replica = Replica::default();
    replica.apply(millis(0), vec![version_change(9, 3)], verification(9, 0));

    replica.apply_update(millis(10), millis(5), update);

    assert_eq!(target_version(&replica), Some(3));
    assert_eq!(replica.position().revision, 9);
}

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "Floor.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        max_pause_ms: None,
        priority: 1,
        targets: vec![Target {
            service: "desk".into(),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
        resumable: false,
        allowed_regions: Vec::new(),
        caller_patience_ms: None,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = RouteTable::new(Arc::new(Declaration {
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        ..Declaration::default()
    }));
    let name = |host: &str, path: &str| table.route(host, path).map(|route| route.name.clone());

    assert_eq!(name("floor.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(
        name("floor.example:8080", "/a/bc").as_deref(),
        Some("short")
    );
    assert_eq!(name("FLOOR.example", "/a/").as_deref(), Some("short"));
    assert_eq!(name("floor.example", "/b/"), None);
    assert_eq!(name("other.example", "/a/"), None);
}

#[test]
fn an_api_key_is_assigned_to_its_workspace() {
    let table = RouteTable::new(Arc::new(Declaration {
        workspaces: vec![Workspace {
            name: "selam".into(),
            api_keys: vec!["k1".into(), "k2".into()],
            priority: Some(0),
            allowed_regions: Vec::new(),
        }],
        ..Declaration::default()
    }));

    assert_eq!(
        table
            .api_key_owner("k2")
            .map(|owner| owner.workspace.as_str()),
        Some("selam")
    );
    assert!(table.api_key_owner("k3").is_none());
    assert!(table.requires_api_keys());
}

#[test]
fn a_verification_of_a_peer_is_adopted_only_for_the_same_revision() {
    let mut source = Replica::default();
    source.apply(
        millis(1_000),
        vec![version_change(9, 3)],
        verification(9, 1_000),
    );
    let age = source
        .verification_age(millis(1_300))
        .expect("the source is verified");
    let mut same = Replica::default();
    same.apply(millis(0), vec![version_change(9, 3)], verification(9, 0));
    let mut behind = Replica::default();
    behind.apply(millis(0), vec![version_change(5, 2)], verification(5, 0));

    same.adopt_verification(millis(50_000), age);
    behind.adopt_verification(millis(50_000), age);

    assert_eq!(same.verified_at(), Some(millis(49_700)));
    assert_eq!(behind.verified_at(), Some(millis(0)));
}

#[test]
fn a_notification_is_applied_but_verifies_nothing() {
    let mut replica = Replica::default();
    replica.replace_by_listing(millis(0), vec![version_change(3, 1)], verification(5, 0));
    let update = |base_revision| {
        let mut sender = Replica::default();
        sender.replace_by_listing(millis(0), vec![version_change(3, 1)], verification(5, 0));
        sender.apply(millis(10), vec![version_change(8, 2)], verification(9, 10));
        let pull = ReplicaPull::from(at(base_revision));
        sender
            .update_for(millis(20), &pull)
            .expect("the sender has facts")
    };

    let applied = replica.apply_notification(millis(900), at(5), update(5));

    assert_eq!(applied.map(|summary| summary.changed), Some(1));
    assert_eq!(target_version(&replica), Some(2));
    assert_eq!(replica.position().revision, 9);
    assert_eq!(replica.verified_at(), Some(millis(0)));
}

#[test]
fn a_notification_with_a_gap_before_it_is_not_applied() {
    let mut replica = Replica::default();
    replica.replace_by_listing(millis(0), vec![version_change(3, 1)], verification(5, 0));
    let later = ReplicaUpdate {
        revision: 9,
        era: 0,
        age_ms: 0,
        complete: false,
        changes: vec![version_change(9, 2)],
    };

    let applied = replica.apply_notification(millis(900), at(7), later);

    assert_eq!(applied, None);
    assert_eq!(target_version(&replica), Some(1));
    assert_eq!(replica.position().revision, 5);
}

/// The earliest time at which the target version can have been published.
fn not_before(replica: &Replica) -> Option<Duration> {
    let directory = Directory::from_replica(replica, &Directory::default());
    directory
        .target_versions
        .get("m1")
        .and_then(|target| target.not_before)
}

// Regression: the time to replace a version was counted from when it was received, so that a version
// received late was replaced late.
#[test]
fn a_version_counts_from_the_last_verification_without_it() {
    let mut replica = Replica::default();
    replica.replace_by_listing(millis(0), vec![version_change(3, 1)], verification(5, 0));
    replica.mark_verified(verification(5, 1_000));

    replica.apply(
        millis(2_300),
        vec![version_change(8, 2)],
        verification(8, 2_290),
    );

    assert_eq!(not_before(&replica), Some(millis(1_000)));
}

// Regression: a notification that was received while the process was frozen counted as fresh when it
// was read afterwards.
#[test]
fn a_notification_read_late_counts_from_the_verification_before_it() {
    let mut replica = Replica::default();
    replica.replace_by_listing(
        millis(0),
        vec![version_change(3, 1)],
        verification(5, 1_000),
    );
    let notification = ReplicaUpdate {
        revision: 9,
        era: 0,
        age_ms: 0,
        complete: false,
        changes: vec![Change {
            known_for_ms: 10,
            era: 0,
            copied: false,
            unconfirmed: false,
            ..version_change(8, 2)
        }],
    };

    replica.apply_notification(millis(5_000), at(5), notification);

    assert_eq!(not_before(&replica), Some(millis(1_000)));
}

// Guards against a version that is taken for later than it was published, since reads that failed on this process's side
// counted as an outage of the source (zvh-vorbestell-grown, behind a large configuration).
#[test]
fn a_version_found_after_failed_reads_counts_from_the_last_verification() {
    let mut replica = Replica::default();
    replica.replace_by_listing(
        millis(0),
        vec![version_change(3, 1)],
        verification(5, 1_000),
    );

    // Reads that were sent from 1,000 ms on failed until now.
    replica.apply(
        millis(8_000),
        vec![version_change(8, 2)],
        verification(8, 7_990),
    );

    assert_eq!(not_before(&replica), Some(millis(1_000)));
}

// Regression: a process that had been disconnected assumed a later publication of the version than its
// peers knew.
#[test]
fn a_peer_that_received_a_version_earlier_takes_precedence() {
    let mut replica = Replica::default();
    replica.replace_by_listing(
        millis(8_000),
        vec![version_change(8, 2)],
        verification(9, 7_990),
    );
    let mut peer = Replica::default();
    peer.replace_by_listing(
        millis(0),
        vec![version_change(3, 1)],
        verification(5, 1_900),
    );
    peer.apply(
        millis(2_000),
        vec![version_change(8, 2)],
        verification(8, 1_990),
    );

    let update = peer.update_for(millis(8_100), &ReplicaPull::from(replica.position()));
    let update = update.expect("the peer has facts");
    let summary = replica.apply_update(millis(8_100), millis(8_090), update);

    let directory = Directory::from_replica(&replica, &Directory::default());
    assert_eq!(directory.target_versions["m1"].known_since, millis(2_000));
    assert_eq!(summary.changed, 1);
}

// A process that has just started cannot know when a version was published, and must not assume that
// it is new.
#[test]
fn a_version_found_at_startup_has_no_earliest_publication_time() {
    let mut replica = Replica::default();

    replica.replace_by_listing(millis(100), vec![version_change(8, 2)], verification(9, 90));

    assert_eq!(not_before(&replica), None);
}

// Guards against a fact that is removed between two reads of a process, which its peers then keep for ever: it never had
// the fact, so it could not tell them.
#[test]
fn a_process_that_has_listed_does_not_hide_removals_from_peers_that_are_behind() {
    let mut behind = Replica::default();
    behind.replace_by_listing(millis(0), vec![version_change(1, 1)], verification(1, 0));
    behind.apply(
        millis(10),
        vec![evacuation_change(2, "addis-a", true)],
        verification(2, 10),
    );
    let mut listing = Replica::default();
    listing.replace_by_listing(millis(20), vec![version_change(1, 1)], verification(3, 20));

    let update = listing.update_for(millis(30), &ReplicaPull::from(behind.position()));
    behind.apply_update(millis(30), millis(25), update.expect("it has facts"));

    let directory = Directory::from_replica(&behind, &Directory::default());
    assert!(directory.evacuated_data_centres.is_empty());
}
