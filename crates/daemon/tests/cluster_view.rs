//! The view of the facts while another thread changes it.

use std::{sync::Arc, thread, time::Duration};

use balsamjunction_daemon::{clock::Clock, events::EventLog, mesh::ClusterView};
use balsamjunction_directory::{
    Change, Declaration, Fact, Position, Route, RouteKind, Subject, Target, Verification,
};
use balsamjunction_protocol::mesh::{MemberRecord, ProcessRole};
use smol_str::format_smolstr;

/// Configurations that are applied one after the other.
const VERSIONS: u64 = 300;
/// Routes of a configuration, so that it takes a while to apply.
const ROUTES: u32 = 200;

fn new_view() -> ClusterView {
    let clock = Clock::start();
    let own = MemberRecord {
        host: "g1".into(),
        role: ProcessRole::Entry,
        data_centre: "addis-a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        heartbeat: 1,
        leaving: false,
        reads_store: false,
        engine: None,
    };
    let events = Arc::new(EventLog::start(clock));
    ClusterView::new(clock, events, own, Duration::from_secs(3))
}

fn route(version: u64, n: u32) -> Route {
    Route {
        name: format_smolstr!("r{n}"),
        host: "floor.example".into(),
        prefix: format_smolstr!("/{n}/"),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000 + version,
        target_latency_ms: 300,
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

/// When a configuration was verified: a second after the one before it, and before the process began.
fn verified_at(version: u64) -> Duration {
    Duration::from_secs(version)
}

fn apply(view: &ClusterView, version: u64) {
    let declaration = Declaration {
        version,
        routes: (0..ROUTES).map(|n| route(version, n)).collect(),
        ..Declaration::default()
    };
    let position = Position {
        era: 0,
        revision: version,
    };
    let change = Change {
        subject: Subject::Declaration,
        revision: version,
        fact: Some(Fact::Declaration(Arc::new(declaration))),
        known_for_ms: 0,
        era: 0,
        copied: false,
        unconfirmed: false,
    };
    let verification = Verification {
        position,
        queried_at: verified_at(version),
    };
    view.apply(vec![change], verification, "test");
}

// Guards against the age of a new configuration that is taken for that of the one before it, while the new one is applied
// (review/8).
#[test]
fn the_age_of_the_facts_is_never_that_of_newer_ones() {
    let view = Arc::new(new_view());
    apply(&view, 1);
    let writer = {
        let view = view.clone();
        thread::spawn(move || (2..=VERSIONS).for_each(|version| apply(&view, version)))
    };

    let mut seen = 0;
    let mut too_new = Vec::new();
    while seen < VERSIONS {
        let asked_at = view.clock.now();
        let (directory, age) = view.directory_with_age();
        let table = directory.route_table.as_ref().expect("a configuration");
        seen = table.declaration.version;
        let known_at = asked_at.saturating_sub(age.expect("it was verified"));
        if known_at > verified_at(seen) {
            too_new.push((seen, known_at));
        }
    }

    writer.join().expect("the writer ends");
    assert!(too_new.is_empty(), "{too_new:?}");
}
