//! Reads the platform's store.

use std::{cell::RefCell, sync::Arc, time::Duration};

use balsamjunction_directory::{Change, Proof};
use balsamjunction_platform::{
    store::{EVACUATIONS, EVERYTHING},
    PlatformError, Store,
};
use log::debug;
use rand::Rng;

use super::Beliefs;
use crate::events::Event;

/// How long a watch waits. What it misses while it waits is found by proofs.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// A belief that is older than this is proved again, even if no change was heard of.
const PROVE_AFTER: Duration = Duration::from_millis(900);
/// How often the age of the belief is looked at.
const PROVE_TICK: Duration = Duration::from_millis(150);
/// A watch gets this long to bring a change that a proof has shown to exist.
const WATCH_LAG: Duration = Duration::from_millis(200);
/// Pause after changes came, so that those which follow at once come with one call.
const GATHER: Duration = Duration::from_millis(60);
/// Mean pause after a failed call, spread by half to both sides.
const BACKOFF: Duration = Duration::from_millis(250);

/// Waits for `mean`, spread by half to both sides, so that processes do not act in step.
async fn pause(mean: Duration) {
    let part = rand::rng().random_range(0.5..1.5);
    actix_rt::time::sleep(mean.mul_f64(part)).await;
}

struct Reader {
    beliefs: Arc<Beliefs>,
    store: Store,
    lost: RefCell<Option<String>>,
}

/// Keeps the facts in step with the store for as long as the process runs.
pub async fn read_loop(beliefs: Arc<Beliefs>, store: Store) {
    let reader = Reader {
        beliefs,
        store,
        lost: RefCell::default(),
    };
    while !reader.list().await {
        pause(BACKOFF).await;
    }
    futures_util::future::join(reader.watch_loop(), reader.prove_loop()).await;
}

impl Reader {
    /// Reads everything; tells whether that was possible.
    async fn list(&self) -> bool {
        let listed = self.list_pages().await;
        self.note(listed.as_ref().err());
        let Ok((changes, proof)) = listed else {
            return false;
        };
        self.beliefs.replace(changes, proof, "store listing");
        true
    }

    async fn list_pages(&self) -> Result<(Vec<Change>, Proof), PlatformError> {
        let asked = self.beliefs.clock.now();
        let mut changes = Vec::new();
        let mut first_at = None;
        let mut after = None;
        loop {
            let page = self.store.list(EVERYTHING, after.as_deref()).await?;
            // Pages are not a snapshot: only the first one's revision is surely complete.
            let at = *first_at.get_or_insert(page.at);
            changes.extend(page.changes);
            after = page.next;
            if after.is_none() {
                return Ok((changes, Proof { at, asked }));
            }
        }
    }

    async fn watch_loop(&self) {
        loop {
            let asked = self.beliefs.clock.now();
            let at = self.beliefs.at();
            match self.store.watch(EVERYTHING, at, WATCH_WAIT).await {
                Ok(watched) if watched.changes.is_empty() => {
                    // Silence proves nothing: the store may have dropped what this watch missed.
                    self.note(None);
                }
                Ok(watched) => {
                    self.note(None);
                    let proof = Proof {
                        at: watched.at,
                        asked,
                    };
                    self.beliefs.apply(watched.changes, proof, "store watch");
                    actix_rt::time::sleep(GATHER).await;
                }
                Err(PlatformError::HistoryGone) => {
                    self.list().await;
                }
                Err(e) => {
                    self.note(Some(&e));
                    pause(BACKOFF).await;
                }
            }
        }
    }

    /// Asks for the store's revision by the cheapest read that gives the newest one.
    async fn prove_loop(&self) {
        loop {
            actix_rt::time::sleep(PROVE_TICK).await;
            if self.beliefs.age().is_some_and(|age| age < PROVE_AFTER) {
                continue;
            }
            if !self.prove().await {
                pause(BACKOFF).await;
            }
        }
    }

    async fn prove(&self) -> bool {
        let asked = self.beliefs.clock.now();
        let page = match self.store.list(EVACUATIONS, None).await {
            Ok(page) => page,
            Err(e) => {
                self.note(Some(&e));
                return false;
            }
        };
        self.note(None);
        if page.at > self.beliefs.at() {
            actix_rt::time::sleep(WATCH_LAG).await;
        }
        if page.at > self.beliefs.at() {
            return self.list().await;
        }
        let at = self.beliefs.at();
        self.beliefs.prove(Proof { at, asked });
        true
    }

    /// Tells once when the store is lost or regained.
    fn note(&self, e: Option<&PlatformError>) {
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
        self.beliefs.events.emit(&Event::Dependency {
            name: "store".to_owned(),
            change,
            detail,
        });
    }
}
