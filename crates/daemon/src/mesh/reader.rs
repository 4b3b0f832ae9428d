//! Reads the platform's store.

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
    time::Duration,
};

use awc::Client;
use balsamjunction_directory::{Change, Verification};
use balsamjunction_platform::{
    store::{ALL_KEYS_PREFIX, EVACUATIONS_PREFIX},
    PlatformError, Store,
};
use balsamjunction_policy::Moment;
use log::debug;

use super::{pause, peers::notify_changes, ClusterView};
use crate::events::Event;

/// How long a watch waits. What it misses while it waits is found by proofs.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// An entry that reads for all proves its facts again when they are older than this.
const PROVE_AFTER: Duration = Duration::from_millis(600);
/// An entry that hears nothing fresh from those for this long reads by itself.
const UNHEARD: Duration = Duration::from_millis(1_200);
/// How often the age of the facts is looked at.
const PROVE_TICK: Duration = Duration::from_millis(150);
/// How often an entry that does not watch looks whether it should.
const WATCH_TICK: Duration = Duration::from_millis(50);
/// An entry that the store has turned away is not to read for others for this long.
const TURNED_AWAY_FOR: Duration = Duration::from_secs(4);
/// A watch gets this long to bring a change that a proof has shown to exist.
const WATCH_LAG: Duration = Duration::from_millis(200);
/// Pause after changes came, so that those which follow at once come with one call.
const GATHER: Duration = Duration::from_millis(60);
/// Mean pause after a failed call, spread by half to both sides.
const BACKOFF: Duration = Duration::from_millis(250);
/// The same of an entry that does not read for all: while the store is down for everybody, each of many
/// entries would otherwise call it several times a second.
const PATIENT_BACKOFF: Duration = Duration::from_millis(1_000);

struct Reader {
    cluster_view: Arc<ClusterView>,
    store: Store,
    client: Client,
    lost: RefCell<Option<String>>,
    failed: Cell<Option<Moment>>,
}

/// Keeps the facts in step with the store for as long as the process runs.
pub async fn read_store_loop(cluster_view: Arc<ClusterView>, store: Store, client: Client) {
    let reader = Reader {
        cluster_view,
        store,
        client,
        lost: RefCell::default(),
        failed: Cell::default(),
    };
    while !reader.list().await {
        pause(BACKOFF).await;
    }
    reader.offer_to_read();
    futures_util::future::join(reader.watch_loop(), reader.prove_loop()).await;
}

impl Reader {
    /// Reads everything; tells whether that was possible.
    async fn list(&self) -> bool {
        let asked = self.cluster_view.clock.now();
        let listed = self.list_pages(asked).await;
        self.note(asked, listed.as_ref().err());
        let Ok((changes, proof)) = listed else {
            return false;
        };
        self.cluster_view.replace(changes, proof, "store listing");
        true
    }

    async fn list_pages(
        &self,
        asked: Moment,
    ) -> Result<(Vec<Change>, Verification), PlatformError> {
        let mut changes = Vec::new();
        let mut first_at = None;
        let mut after = None;
        loop {
            let page = self.store.list(ALL_KEYS_PREFIX, after.as_deref()).await?;
            // Pages are not a snapshot: only the first one's revision is surely complete.
            let at = *first_at.get_or_insert(page.revision);
            changes.extend(page.changes);
            after = page.next_after;
            if after.is_none() {
                return Ok((
                    changes,
                    Verification {
                        revision: at,
                        queried_at: asked,
                    },
                ));
            }
        }
    }

    fn reads_for_all(&self) -> bool {
        self.cluster_view
            .with_members(|members, now| members.is_store_reader(now))
    }

    /// Whether this entry reads for all, or hears nothing from those that do.
    fn is_needed(&self) -> bool {
        self.reads_for_all() || self.is_older_than(UNHEARD)
    }

    fn is_older_than(&self, bound: Duration) -> bool {
        self.cluster_view.facts_age().is_none_or(|age| age >= bound)
    }

    /// Waits after a failed call.
    async fn back_off(&self) {
        pause(match self.reads_for_all() {
            true => BACKOFF,
            false => PATIENT_BACKOFF,
        })
        .await;
    }

    async fn watch_loop(&self) {
        loop {
            if !self.is_needed() {
                actix_rt::time::sleep(WATCH_TICK).await;
                continue;
            }
            let asked = self.cluster_view.clock.now();
            let at = self.cluster_view.revision();
            match self.store.watch(ALL_KEYS_PREFIX, at, WATCH_WAIT).await {
                Ok(watched) if watched.changes.is_empty() => {
                    // Silence proves nothing: the store may have dropped what this watch missed.
                    self.note(asked, None);
                }
                Ok(watched) => {
                    self.note(asked, None);
                    let proof = Verification {
                        revision: watched.revision,
                        queried_at: asked,
                    };
                    self.cluster_view
                        .apply(watched.changes, proof, "store watch");
                    self.tell(at);
                    actix_rt::time::sleep(GATHER).await;
                }
                Err(PlatformError::HistoryGone) => {
                    self.list().await;
                }
                Err(e) => {
                    self.note(asked, Some(&e));
                    self.back_off().await;
                }
            }
        }
    }

    /// Asks for the store's revision by the cheapest read that gives the newest one.
    async fn prove_loop(&self) {
        loop {
            actix_rt::time::sleep(PROVE_TICK).await;
            let bound = match self.reads_for_all() {
                true => PROVE_AFTER,
                false => UNHEARD,
            };
            self.offer_to_read();
            if !self.is_older_than(bound) {
                continue;
            }
            if !self.prove().await {
                self.back_off().await;
            }
        }
    }

    async fn prove(&self) -> bool {
        let asked = self.cluster_view.clock.now();
        let page = match self.store.list(EVACUATIONS_PREFIX, None).await {
            Ok(page) => page,
            Err(e) => {
                self.note(asked, Some(&e));
                return false;
            }
        };
        self.note(asked, None);
        if page.revision > self.cluster_view.revision() {
            actix_rt::time::sleep(WATCH_LAG).await;
        }
        let at = self.cluster_view.revision();
        if page.revision > at {
            let listed = self.list().await;
            self.tell(at);
            return listed;
        }
        let at = self.cluster_view.revision();
        self.cluster_view.mark_verified(Verification {
            revision: at,
            queried_at: asked,
        });
        true
    }

    /// Tells the other entries of changes after `since`.
    fn tell(&self, since: u64) {
        let told = notify_changes(self.cluster_view.clone(), self.client.clone(), since);
        actix_rt::spawn(told);
    }

    /// Lets the others count on this entry, unless the store has turned it away lately.
    fn offer_to_read(&self) {
        let now = self.cluster_view.clock.now();
        let failed = self.failed.get();
        let well = failed.is_none_or(|at| now.saturating_sub(at) >= TURNED_AWAY_FOR);
        self.cluster_view
            .with_members(|members, _| members.set_reads_store(well));
    }

    /// Notes how a call to the store ended that was sent at `asked`, and tells once when the store is
    /// lost or regained.
    fn note(&self, asked: Moment, e: Option<&PlatformError>) {
        if e.is_some() {
            self.cluster_view.record_failed_query(asked);
        }
        self.failed.set(e.map(|_| self.cluster_view.clock.now()));
        self.offer_to_read();
        let mut lost = self.lost.borrow_mut();
        let (change, detail) = match (e, lost.is_some()) {
            (Some(e), false) => ("lost", e.to_string()),
            (None, true) => ("regained", lost.take().unwrap_or_default()),
            (Some(e), true) => {
                debug!("store: {e}");
                return;
            }
            (None, false) => return,
        };
        *lost = e.map(ToString::to_string);
        self.cluster_view.events.emit(&Event::Dependency {
            name: "store".to_owned(),
            change,
            detail,
        });
    }
}
