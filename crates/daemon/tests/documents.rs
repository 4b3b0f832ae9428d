//! The configuration that a process is receiving from peers.

use std::{sync::Arc, thread::sleep, time::Duration};

use balsamjunction_daemon::{
    clock::Clock,
    events::EventLog,
    mesh::{ClusterView, Documents},
};
use balsamjunction_directory::{Declaration, DeclarationId, Encoding};
use balsamjunction_protocol::mesh::{MemberRecord, ProcessRole};

/// Time between two downloads.
const PAUSE: Duration = Duration::from_millis(60);

fn documents() -> Documents {
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
    let view = ClusterView::new(clock, events, own, Duration::from_secs(3));
    Documents::new(Arc::new(view))
}

fn declaration(version: u64) -> Declaration {
    Declaration {
        version,
        ..Declaration::default()
    }
}

// Guards against a configuration that is never read from the store, since peers keep sending content that cannot be used,
// as those of another build may.
#[actix_rt::test]
async fn content_that_is_received_again_and_again_is_no_progress() {
    let documents = documents();
    let id = DeclarationId::of(&declaration(2)).expect("it is short");
    let other = Encoding::whole(&declaration(3)).expect("it is short");
    documents.begin(id);

    for _ in 0..4 {
        let mut part = other.part(0, usize::MAX).expect("it has a first part");
        part.id = id;
        let accepted = documents.accept(part);
        assert!(accepted.is_err(), "the content is of another configuration");
        sleep(PAUSE);
    }

    let stalled = documents.stalled_for().expect("a download has begun");
    assert!(stalled >= 3 * PAUSE, "stalled for {stalled:?} only");
}
