//! Reads the facts from the platform's store.

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
    time::Duration,
};

use balsamjunction_directory::{Position, Verification};
use balsamjunction_platform::{
    store::{ALL_KEYS_PREFIX, CONFIGURATION_PREFIX, EVACUATIONS_PREFIX},
    PlatformError, Store,
};
use balsamjunction_policy::Moment;
use rand::Rng;

use super::{peers::notify_changes, sleep_with_jitter, ClusterView, Documents, PeerClient};
use crate::{
    events::Event,
    metrics::{Metrics, StateLabels},
};

/// How long the store holds a watch that has no changes to return. Changes that a watch misses are found
/// by the verification queries.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// A reader verifies its facts again when the last verification is older than this.
const READER_VERIFY_AFTER: Duration = Duration::from_millis(600);
/// Any other entry reads the store itself when its facts are older than this and no peer responds, or it is the next to
/// read.
pub const FALLBACK_READ_AFTER: Duration = Duration::from_millis(1_200);
/// Additional age for each entry that is to read before, see [`balsamjunction_policy::membership::Membership::reading_rank`].
/// While peers respond, the readers may be late and not gone, and reads of all entries at once would fill the links.
const FALLBACK_STEP: Duration = Duration::from_millis(200);
/// An entry reads the configuration from the store if none of its parts has come from peers for this long; the steps of
/// the entries before it are added.
const CONTENT_READ_AFTER: Duration = Duration::from_millis(1_200);
/// Longest interval between such reads. It doubles with each one that did not bring the announced configuration: a store that
/// was restored from an older copy has another.
const MAX_CONTENT_READ_INTERVAL: Duration = Duration::from_secs(30);
/// The store counts as lost if calls have failed for this long, and peers provide nothing fresh either.
const LOST_AFTER: Duration = Duration::from_millis(1_000);
/// A starting entry that is no seed gives its peers a random time between these two before it lists the store: where all start
/// together, listings of all fill the links for seconds, and the seeds have the facts within a few hundred milliseconds.
const MIN_START_WAIT: Duration = Duration::from_millis(500);
const MAX_START_WAIT: Duration = Duration::from_millis(2_000);
/// Interval between checks whether they have.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between checks of the facts' age.
const VERIFY_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which an entry without a watch checks whether it should start one.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// An entry whose last call to the store failed does not offer to be a reader for this long.
const READER_HOLD_OFF: Duration = Duration::from_secs(4);
/// Time in which a watch may still deliver a change that a verification query has shown to exist.
const WATCH_LAG: Duration = Duration::from_millis(200);
/// Pause after a watch has returned changes, so that the next call returns all that follow shortly.
const BATCH_PAUSE: Duration = Duration::from_millis(60);
/// Mean backoff of a reader after a failed call, and of any entry until its first listing succeeds or peers have
/// given it the facts; with a jitter of ±50%.
///
/// A version that is acknowledged at the end of an outage counts from the last read that verified the facts, so the first
/// read afterwards should not be late.
const READER_BACKOFF: Duration = Duration::from_millis(150);
/// Mean backoff of any other entry after a failed call, with a jitter of ±50%: while the store is down for
/// all processes, each of many entries would otherwise call it several times a second.
const FALLBACK_BACKOFF: Duration = Duration::from_millis(1_000);

struct Reader {
    cluster_view: Arc<ClusterView>,
    store: Store,
    client: PeerClient,
    documents: Arc<Documents>,
    metrics: Arc<Metrics>,
    /// When the configuration may be read next, and the interval after that read.
    next_content_read: Cell<(Moment, Duration)>,
    /// Since when all calls have failed.
    failing_since: Cell<Option<Moment>>,
    outage_cause: RefCell<Option<String>>,
    last_failure: Cell<Option<Moment>>,
}

/// Keeps the facts up to date with the store for as long as the process runs.
///
/// With `asks_peers_first`, peers have a moment to provide the facts before the first listing.
pub async fn read_store_loop(
    asks_peers_first: bool,
    cluster_view: Arc<ClusterView>,
    store: Store,
    client: PeerClient,
    documents: Arc<Documents>,
    metrics: Arc<Metrics>,
) {
    let reader = Reader {
        cluster_view,
        store,
        client,
        documents,
        metrics,
        next_content_read: Cell::new((Moment::ZERO, CONTENT_READ_AFTER)),
        failing_since: Cell::default(),
        outage_cause: RefCell::default(),
        last_failure: Cell::default(),
    };
    // A process that its peers keep up to date does not need a listing of its own.
    let mut current = asks_peers_first && reader.wait_for_peers().await;
    while !current && !reader.list().await {
        sleep_with_jitter(READER_BACKOFF).await;
        current = reader.has_current_facts();
    }
    reader.offer_as_reader();
    futures_util::future::join(reader.watch_loop(), reader.verify_loop()).await;
}

impl Reader {
    /// Waits until peers have provided all facts; returns whether they did in time.
    async fn wait_for_peers(&self) -> bool {
        let wait = rand::rng().random_range(MIN_START_WAIT..MAX_START_WAIT);
        let until = self.cluster_view.clock.now() + wait;
        while !self.has_current_facts() {
            if self.cluster_view.clock.now() >= until {
                return false;
            }
            actix_rt::time::sleep(START_CHECK_INTERVAL).await;
        }
        true
    }

    /// Whether the facts, the configuration included, were verified a moment ago.
    fn has_current_facts(&self) -> bool {
        let age = self.cluster_view.declaration_age();
        self.cluster_view.configuration_version() > 0
            && age.is_some_and(|age| age < FALLBACK_READ_AFTER)
    }

    /// Replaces all facts by a complete listing; returns whether the store could be read.
    async fn list(&self) -> bool {
        let queried_at = self.cluster_view.clock.now();
        let mut listed = self.store.list_all(ALL_KEYS_PREFIX).await;
        if matches!(listed, Err(PlatformError::Restored)) {
            listed = self.store.list_all(ALL_KEYS_PREFIX).await;
        }
        self.record_outcome(queried_at, listed.as_ref().err());
        let Ok((changes, position)) = listed else {
            return false;
        };
        let verification = Verification {
            position,
            queried_at,
        };
        self.cluster_view
            .replace(changes, verification, "store listing");
        true
    }

    fn is_reader(&self) -> bool {
        self.cluster_view
            .with_members(|members, now| members.is_store_reader(now))
    }

    /// Whether this entry must read the store: it is a reader, or those before it provide nothing fresh.
    fn is_needed(&self) -> bool {
        self.is_reader() || self.facts_older_than(FALLBACK_READ_AFTER + self.turn_delay())
    }

    /// How much longer than the next one this entry waits before it reads what the readers do not provide.
    fn turn_delay(&self) -> Duration {
        let silence = self.cluster_view.peer_silence();
        if silence.is_none_or(|silence| silence >= FALLBACK_READ_AFTER) {
            return Duration::ZERO;
        }
        let before = self
            .cluster_view
            .with_members(|members, now| members.reading_rank(now));
        FALLBACK_STEP * before as u32
    }

    fn facts_older_than(&self, max_age: Duration) -> bool {
        self.cluster_view
            .facts_age()
            .is_none_or(|age| age >= max_age)
    }

    /// Waits after a failed call.
    async fn back_off(&self) {
        sleep_with_jitter(match self.is_reader() {
            true => READER_BACKOFF,
            false => FALLBACK_BACKOFF,
        })
        .await;
    }

    async fn watch_loop(&self) {
        loop {
            if !self.is_needed() {
                actix_rt::time::sleep(WATCH_CHECK_INTERVAL).await;
                continue;
            }
            let queried_at = self.cluster_view.clock.now();
            let position = self.cluster_view.position();
            match self
                .store
                .watch(ALL_KEYS_PREFIX, position.revision, WATCH_WAIT)
                .await
            {
                Ok(watched) if watched.position.era != position.era => {
                    // The revision that was watched from may exist again, but it is of another history, also if a listing
                    // has begun the new era meanwhile.
                    self.list().await;
                    self.notify_entries(position);
                }
                Ok(watched) if watched.changes.is_empty() => {
                    // A watch without changes does not verify the facts: the store may have dropped the
                    // history of changes that this watch missed.
                    self.record_outcome(queried_at, None);
                }
                Ok(watched) => {
                    self.record_outcome(queried_at, None);
                    let verification = Verification {
                        position: watched.position,
                        queried_at,
                    };
                    self.cluster_view
                        .apply(watched.changes, verification, "store watch");
                    self.notify_entries(position);
                    actix_rt::time::sleep(BATCH_PAUSE).await;
                }
                Err(PlatformError::HistoryGone) => {
                    self.list().await;
                    self.notify_entries(position);
                }
                Err(e) => {
                    self.record_outcome(queried_at, Some(&e));
                    self.back_off().await;
                }
            }
        }
    }

    /// Verifies the facts whenever they are too old, by the cheapest read that returns the newest revision.
    async fn verify_loop(&self) {
        loop {
            actix_rt::time::sleep(VERIFY_CHECK_INTERVAL).await;
            let max_age = match self.is_reader() {
                true => READER_VERIFY_AFTER,
                false => FALLBACK_READ_AFTER + self.turn_delay(),
            };
            self.offer_as_reader();
            self.cluster_view.drop_unconfirmed();
            if self.is_content_needed() && !self.read_declaration().await {
                self.back_off().await;
            }
            if !self.facts_older_than(max_age) {
                continue;
            }
            if !self.verify().await {
                self.back_off().await;
            }
        }
    }

    async fn verify(&self) -> bool {
        let queried_at = self.cluster_view.clock.now();
        let page = match self.store.list(EVACUATIONS_PREFIX, None).await {
            Ok(page) => page,
            Err(e) => {
                self.record_outcome(queried_at, Some(&e));
                return false;
            }
        };
        self.record_outcome(queried_at, None);
        let read_at = page.position;
        let known = self.cluster_view.position();
        if read_at > known && read_at.era == known.era {
            actix_rt::time::sleep(WATCH_LAG).await;
        }
        let position = self.cluster_view.position();
        if read_at > position {
            let listed = self.list().await;
            self.notify_entries(position);
            return listed;
        }
        if read_at.era == position.era {
            self.cluster_view.mark_verified(Verification {
                position,
                queried_at,
            });
        }
        true
    }

    /// Whether this entry must read the content of an announced configuration from the store.
    fn is_content_needed(&self) -> bool {
        let Some(stalled) = self.documents.stalled_for() else {
            self.next_content_read
                .set((Moment::ZERO, CONTENT_READ_AFTER));
            return false;
        };
        stalled >= CONTENT_READ_AFTER + self.turn_delay()
            && self.cluster_view.clock.now() >= self.next_content_read.get().0
    }

    /// Reads the content of an announced configuration that peers do not provide; returns whether the store could be read.
    async fn read_declaration(&self) -> bool {
        let queried_at = self.cluster_view.clock.now();
        let listed = self.store.list(CONFIGURATION_PREFIX, None).await;
        self.record_outcome(queried_at, listed.as_ref().err());
        let Ok(page) = listed else {
            return false;
        };
        let era = page.position.era;
        self.cluster_view
            .apply_unverified(page.changes, era, "store listing");
        let (_, interval) = self.next_content_read.get();
        let next = self.cluster_view.clock.now() + interval;
        let interval = (interval * 2).min(MAX_CONTENT_READ_INTERVAL);
        self.next_content_read.set((next, interval));
        true
    }

    /// Notifies the other entries of changes after `since`.
    fn notify_entries(&self, since: Position) {
        let notification = notify_changes(self.cluster_view.clone(), self.client.clone(), since);
        actix_rt::spawn(notification);
    }

    /// Offers this entry to the others as a reader, unless a recent call to the store failed.
    fn offer_as_reader(&self) {
        let now = self.cluster_view.clock.now();
        let last_failure = self.last_failure.get();
        let available = last_failure.is_none_or(|at| now.saturating_sub(at) >= READER_HOLD_OFF);
        self.cluster_view
            .with_members(|members, _| members.set_reads_store(available));
    }

    /// Records the outcome of a call to the store that was sent at `queried_at`, and logs an event when the
    /// store becomes unreachable or reachable again. A call that failed proves neither: the link of this process may be full.
    fn record_outcome(&self, queried_at: Moment, e: Option<&PlatformError>) {
        let outcome = e.map_or("ok", |e| e.kind().into());
        let state = outcome.to_owned();
        let reads = &self.metrics.mesh.store_reads;
        reads.get_or_create(&StateLabels { state }).inc();
        if let Some(e) = e {
            let sent = self.cluster_view.clock.now().saturating_sub(queried_at);
            let verified = self.cluster_view.facts_age();
            self.cluster_view.events.emit(&Event::StoreReadFailed {
                cause: outcome,
                sent_ms: sent.as_millis() as u64,
                verified_ms: verified.map(|age| age.as_millis() as u64),
                detail: e.to_string(),
            });
        }
        let now = self.cluster_view.clock.now();
        self.last_failure.set(e.map(|_| now));
        let failing_since = self.failing_since.get().unwrap_or(queried_at);
        self.failing_since.set(e.map(|_| failing_since));
        self.offer_as_reader();
        let is_lost = now.saturating_sub(failing_since) >= LOST_AFTER
            && self.facts_older_than(FALLBACK_READ_AFTER);
        let mut outage_cause = self.outage_cause.borrow_mut();
        let (change, detail) = match (e, outage_cause.is_some()) {
            (Some(e), false) if is_lost => ("lost", e.to_string()),
            (None, true) => ("regained", outage_cause.take().unwrap_or_default()),
            (Some(_), _) | (None, false) => return,
        };
        *outage_cause = e.map(ToString::to_string);
        self.cluster_view.events.emit(&Event::Dependency {
            name: "store".to_owned(),
            change,
            detail,
        });
    }
}
