//! Tests of configurations that peers announce, and whose content comes separately.

use std::{sync::Arc, time::Duration};

use balsamjunction_directory::{
    Change, Declaration, DeclarationId, Directory, Fact, Position, Replica, ReplicaPull,
    ReplicaUpdate, Subject, Verification, Workspace,
};
use smol_str::SmolStr;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn verification(revision: u64, queried_at_ms: u64) -> Verification {
    Verification {
        position: at(revision),
        queried_at: millis(queried_at_ms),
    }
}

fn change(subject: Subject, revision: u64, fact: Fact) -> Change {
    Change {
        subject,
        revision,
        fact: Some(fact),
        known_for_ms: 0,
        era: 0,
        copied: false,
        unconfirmed: false,
    }
}

fn declaration(version: u64) -> Arc<Declaration> {
    Arc::new(Declaration {
        version,
        ..Declaration::default()
    })
}

fn id(version: u64) -> DeclarationId {
    DeclarationId::of(&declaration(version)).expect("it is short")
}

fn published(revision: u64, version: u64) -> Change {
    let fact = Fact::Declaration(declaration(version));
    change(Subject::Declaration, revision, fact)
}

fn announced(revision: u64, version: u64) -> Change {
    let fact = Fact::Announced(id(version));
    change(Subject::Declaration, revision, fact)
}

fn version(revision: u64, version: u64) -> Change {
    let subject = Subject::Version("m1".into());
    change(subject, revision, Fact::Version(version))
}

/// A copy with configuration 1 at revision 5, verified at 1,000 ms.
fn replica() -> Replica {
    let mut replica = Replica::default();
    replica.replace_by_listing(millis(0), vec![published(5, 1)], verification(5, 1_000));
    replica
}

/// A peer's push of the changes between two revisions.
fn push(revision: u64, changes: Vec<Change>) -> ReplicaUpdate {
    ReplicaUpdate {
        revision,
        changes,
        ..ReplicaUpdate::default()
    }
}

fn in_force(replica: &Replica) -> Option<u64> {
    let directory = Directory::from_replica(replica, &Directory::default());
    Some(directory.route_table?.declaration.version)
}

fn target_version(replica: &Replica) -> Option<u64> {
    let directory = Directory::from_replica(replica, &Directory::default());
    Some(directory.target_versions.get("m1")?.version)
}

// Guards against a version that waits behind a large configuration (zvh-vorbestell-grown).
#[test]
fn changes_after_an_announced_configuration_apply_before_its_content_is_there() {
    let mut replica = replica();

    replica.apply_notification(millis(1_100), at(5), push(6, vec![announced(6, 2)]));
    replica.apply_notification(millis(1_200), at(6), push(7, vec![version(7, 4)]));

    assert_eq!(target_version(&replica), Some(4));
    assert_eq!(replica.position(), at(7));
    assert_eq!(in_force(&replica), Some(1));
    assert_eq!(replica.wanted_declaration(), Some(id(2)));
}

#[test]
fn the_content_puts_the_announced_configuration_in_force() {
    let mut replica = replica();
    replica.apply_notification(millis(1_100), at(5), push(6, vec![announced(6, 2)]));

    let summary = replica.supply_declaration(millis(1_500), id(2), declaration(2));

    assert_eq!(summary.changed, 1);
    assert_eq!(in_force(&replica), Some(2));
    assert_eq!(replica.wanted_declaration(), None);
}

// Guards against keys that count as current although the configuration that takes them away was announced.
#[test]
fn the_configuration_counts_as_verified_until_a_later_one_is_announced() {
    let mut replica = replica();
    replica.apply_notification(millis(1_100), at(5), push(6, vec![announced(6, 2)]));

    replica.mark_verified(verification(6, 3_000));
    let before = (replica.verified_at(), replica.declaration_verified_at());
    replica.supply_declaration(millis(3_500), id(2), declaration(2));
    let after = replica.declaration_verified_at();

    assert_eq!(before, (Some(millis(3_000)), Some(millis(1_000))));
    assert_eq!(after, Some(millis(3_000)));
}

// Guards against an age that begins anew with each of several announcements.
#[test]
fn a_second_announcement_does_not_verify_the_configuration_in_force() {
    let mut replica = replica();
    replica.apply_notification(millis(1_100), at(5), push(6, vec![announced(6, 2)]));
    replica.mark_verified(verification(6, 2_000));

    replica.apply_notification(millis(2_100), at(6), push(7, vec![announced(7, 3)]));

    assert_eq!(replica.wanted_declaration(), Some(id(3)));
    assert_eq!(replica.declaration_verified_at(), Some(millis(1_000)));
}

#[test]
fn the_content_of_an_earlier_announcement_changes_nothing() {
    let mut replica = replica();
    replica.apply_notification(millis(1_100), at(5), push(6, vec![announced(6, 2)]));
    replica.apply_notification(millis(1_200), at(6), push(7, vec![announced(7, 3)]));

    let summary = replica.supply_declaration(millis(1_500), id(2), declaration(2));

    assert_eq!(summary.changed, 0);
    assert_eq!(in_force(&replica), Some(1));
    assert_eq!(replica.wanted_declaration(), Some(id(3)));
}

#[test]
fn an_announcement_of_a_lower_version_is_ignored() {
    let mut replica = replica();
    replica.apply_notification(millis(1_100), at(5), push(6, vec![published(6, 9)]));

    replica.apply_notification(millis(1_200), at(6), push(7, vec![announced(7, 8)]));

    assert_eq!(replica.wanted_declaration(), None);
    assert_eq!(in_force(&replica), Some(9));
}

#[test]
fn an_announcement_of_a_configuration_that_is_there_needs_no_content() {
    let mut replica = replica();

    replica.replace_by_listing(millis(2_000), vec![announced(5, 1)], verification(5, 1_990));

    assert_eq!(replica.wanted_declaration(), None);
    assert_eq!(in_force(&replica), Some(1));
}

#[test]
fn a_read_of_the_source_ends_the_announcement() {
    let mut replica = replica();
    replica.apply_notification(millis(1_100), at(5), push(6, vec![announced(6, 2)]));

    replica.replace_by_listing(millis(1_500), vec![published(6, 2)], verification(6, 1_400));

    assert_eq!(replica.wanted_declaration(), None);
    assert_eq!(in_force(&replica), Some(2));
}

// Guards against an announcement that ends at a process that has no content, so that others never learn of it.
#[test]
fn a_process_without_the_content_passes_the_announcement_on() {
    let mut sender = replica();
    sender.apply_notification(millis(1_100), at(5), push(6, vec![announced(6, 2)]));
    let mut receiver = replica();

    let pull = ReplicaPull::from(receiver.position());
    let update = sender.update_for(millis(1_200), &pull);
    let update = update.expect("the sender has facts");
    receiver.apply_update(millis(1_201), millis(1_200), update);

    assert_eq!(receiver.wanted_declaration(), Some(id(2)));
    assert_eq!(receiver.position(), at(6));
}

// Guards against a peer of an earlier build that takes its facts for complete without the configuration.
#[test]
fn a_peer_that_accepts_no_announcements_gets_the_content_or_nothing() {
    let mut sender = replica();
    let pull = ReplicaPull {
        accepts_announcements: false,
        ..ReplicaPull::complete()
    };

    let with_content = sender.update_for(millis(1_050), &pull);
    sender.apply_notification(millis(1_100), at(5), push(6, vec![announced(6, 2)]));
    let without_content = sender.update_for(millis(1_200), &pull);

    let facts = with_content.expect("the sender has facts").changes;
    assert_eq!(facts[0].fact, Some(Fact::Declaration(declaration(1))));
    assert_eq!(without_content, None);
}

#[test]
fn a_peer_that_accepts_announcements_gets_no_content() {
    let sender = replica();

    let update = sender.update_for(millis(1_050), &ReplicaPull::complete());

    let facts = update.expect("the sender has facts").changes;
    assert_eq!(facts[0].fact, Some(Fact::Announced(id(1))));
}

#[test]
fn two_earlier_configurations_are_kept_as_bases_of_differences() {
    let mut replica = replica();
    for version in 2..=4 {
        let revision = 4 + version;
        let changes = vec![published(revision, version)];
        let verified = verification(revision, 1_000 + version);
        replica.apply(millis(1_100 + version), changes, verified);
    }

    let held: Vec<DeclarationId> = replica.held_declarations().collect();

    assert_eq!(held, [id(4), id(3), id(2)]);
}

/// Configuration 7 with one workspace.
fn with_workspace(name: &str) -> Arc<Declaration> {
    let workspace = Workspace {
        name: name.into(),
        api_keys: Vec::new(),
        priority: None,
        allowed_regions: Vec::new(),
    };
    Arc::new(Declaration {
        version: 7,
        workspaces: vec![workspace],
        ..Declaration::default()
    })
}

/// A copy with configuration 7 at revision 20 of era 1, which receives another configuration 7 that a peer has at the same
/// revision of era 2 and takes for part of the copy. Returns the name of the workspace in force afterwards.
fn workspace_after_a_restoration(announces: bool) -> SmolStr {
    let in_era = |era, fact| Change {
        era,
        copied: era == 2,
        ..change(Subject::Declaration, 20, fact)
    };
    let known = in_era(1, Fact::Declaration(with_workspace("earlier")));
    let mut replica = Replica::default();
    let verified = Verification {
        position: Position {
            era: 1,
            revision: 20,
        },
        queried_at: millis(0),
    };
    replica.replace_by_listing(millis(0), vec![known], verified);
    let later = with_workspace("later");
    let id = DeclarationId::of(&later).expect("it is short");
    let fact = match announces {
        true => Fact::Announced(id),
        false => Fact::Declaration(later.clone()),
    };
    let update = ReplicaUpdate {
        revision: 20,
        era: 2,
        complete: true,
        changes: vec![in_era(2, fact)],
        ..ReplicaUpdate::default()
    };

    replica.apply_update(millis(3_000), millis(2_990), update);
    replica.supply_declaration(millis(3_100), id, later);

    let directory = Directory::from_replica(&replica, &Directory::default());
    let table = directory.route_table.expect("a configuration is in force");
    table.declaration.workspaces[0].name.clone()
}

// Guards against a configuration that stays in force although the restored source has another one of its version, at the
// revision that its predecessor had.
#[test]
fn another_configuration_of_the_version_and_revision_is_taken_whether_announced_or_contained() {
    let contained = workspace_after_a_restoration(false);
    let announced = workspace_after_a_restoration(true);

    assert_eq!((contained.as_str(), announced.as_str()), ("later", "later"));
}
