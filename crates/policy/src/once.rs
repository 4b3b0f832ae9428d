//! At-most-once execution: the state of the idempotency keys that a sidecar owns.
//!
//! See docs/DESIGN.md, "At most once", for the alternatives considered.

use std::collections::{HashMap, VecDeque};

use smol_str::SmolStr;

use crate::Moment;

/// Maximum number of keys in one table; keeps its bookkeeping below about 40 MB.
pub const MAX_KEYS: usize = 200_000;
/// Maximum total size of the stored responses of one table; keeps the process below its limit of
/// 128 MB.
pub const MAX_STORED_BYTES: usize = 32 * 1024 * 1024;
/// Maximum difference between the clocks of two machines, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 2_000;

/// A response that can be stored and replayed when a request is sent again.
pub trait StoredResponse: Clone {
    /// Returns the memory that the response takes, in bytes.
    fn size_bytes(&self) -> usize;
}

/// State of one key. `A` is a stored response.
#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyState<A> {
    Running,
    Done(Option<A>),
    Unknown,
    Closed,
}

/// Decision about a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceVerdict<A> {
    /// Run it; the table now lists the key as running.
    Run,
    /// A request with this key is running.
    InProgress,
    /// It ran; replay this response.
    Replay(A),
    /// It ran; its response was too large to store.
    ResponseNotStored,
    /// It may have run.
    Unknown,
    /// Another sidecar owns the key now.
    Closed,
    /// The table is full.
    Full,
}

/// Outcome of a run with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceOutcome<A> {
    /// The upstream ran it; the response is present if it is small enough to store.
    Ran(Option<A>),
    /// Nothing reached the upstream; a request with the key may run later.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Reply of an earlier owner to a new owner's request to close a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseResult {
    /// The key never ran here and never will.
    Closed,
    /// The key ran, is running or may have run here.
    Taken,
}

/// Settings of a table: its start and how long it stores keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceConfig {
    /// Time in which a caller may send a key again.
    pub repeat_window: Moment,
    /// Creation of the table, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Creation of the table, on the process's monotonic clock.
    pub started: Moment,
}

/// Idempotency keys of one sidecar.
#[derive(Debug)]
pub struct OnceTable<A> {
    config: OnceConfig,
    states: HashMap<SmolStr, KeyState<A>>,
    expiry: VecDeque<(Moment, SmolStr)>,
    stored_bytes: usize,
}

impl<A: StoredResponse> OnceTable<A> {
    /// Creates an empty table.
    pub fn new(config: OnceConfig) -> Self {
        Self {
            config,
            states: HashMap::new(),
            expiry: VecDeque::new(),
            stored_bytes: 0,
        }
    }

    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Sets the repeat window of keys whose runs end from now on.
    pub fn set_repeat_window(&mut self, window: Moment) {
        self.config.repeat_window = window;
    }

    /// Returns whether the key may have run before this table was created.
    fn may_predate_table(&self, now: Moment, created_ms: Option<u64>) -> bool {
        match created_ms {
            Some(created) => created <= self.config.started_ms + MAX_CLOCK_SKEW_MS,
            None => now.saturating_sub(self.config.started) < self.config.repeat_window,
        }
    }

    /// Returns whether the key may have run and have been removed from the table since.
    fn may_be_expired(&self, now: Moment, created_ms: Option<u64>) -> bool {
        let elapsed = now.saturating_sub(self.config.started).as_millis() as u64;
        let now_ms = self.config.started_ms + elapsed;
        let window_ms = self.config.repeat_window.as_millis() as u64;
        created_ms.is_some_and(|created| created + window_ms < now_ms + MAX_CLOCK_SKEW_MS)
    }

    /// Decides whether a request with this key may run. `created_ms` is the creation of the key in
    /// milliseconds since the Unix epoch, if known.
    pub fn begin(&mut self, now: Moment, key: &SmolStr, created_ms: Option<u64>) -> OnceVerdict<A> {
        self.remove_expired(now);
        match self.states.get(key) {
            Some(KeyState::Running) => return OnceVerdict::InProgress,
            Some(KeyState::Done(Some(response))) => return OnceVerdict::Replay(response.clone()),
            Some(KeyState::Done(None)) => return OnceVerdict::ResponseNotStored,
            Some(KeyState::Unknown) => return OnceVerdict::Unknown,
            Some(KeyState::Closed) => return OnceVerdict::Closed,
            None => {}
        }
        if self.may_predate_table(now, created_ms) || self.may_be_expired(now, created_ms) {
            return OnceVerdict::Unknown;
        }
        if self.states.len() >= MAX_KEYS {
            return OnceVerdict::Full;
        }
        self.states.insert(key.clone(), KeyState::Running);
        OnceVerdict::Run
    }

    /// Records the outcome of a run that [`OnceVerdict::Run`] allowed.
    pub fn end(&mut self, now: Moment, key: &SmolStr, outcome: OnceOutcome<A>) {
        let state = match outcome {
            OnceOutcome::NotRun => {
                self.states.remove(key);
                return;
            }
            OnceOutcome::Ran(response) => KeyState::Done(self.limit_stored_bytes(response)),
            OnceOutcome::Unknown => KeyState::Unknown,
        };
        self.store(now, key, state);
    }

    fn limit_stored_bytes(&mut self, response: Option<A>) -> Option<A> {
        let response = response?;
        let total = self.stored_bytes + response.size_bytes();
        if total > MAX_STORED_BYTES {
            return None;
        }
        self.stored_bytes = total;
        Some(response)
    }

    fn store(&mut self, now: Moment, key: &SmolStr, state: KeyState<A>) {
        self.states.insert(key.clone(), state);
        let expires_at = now + self.config.repeat_window;
        self.expiry.push_back((expires_at, key.clone()));
    }

    /// Closes a key for a new owner, unless it ran or may have run here.
    pub fn close(&mut self, now: Moment, key: &SmolStr, created_ms: Option<u64>) -> CloseResult {
        self.remove_expired(now);
        match self.states.get(key) {
            Some(KeyState::Closed) => CloseResult::Closed,
            Some(_) => CloseResult::Taken,
            None if self.may_predate_table(now, created_ms) => CloseResult::Taken,
            None => {
                self.store(now, key, KeyState::Closed);
                CloseResult::Closed
            }
        }
    }

    /// Removes keys whose repeat window has passed.
    fn remove_expired(&mut self, now: Moment) {
        while let Some((expires_at, _)) = self.expiry.front() {
            if *expires_at > now {
                break;
            }
            let Some((_, key)) = self.expiry.pop_front() else {
                break;
            };
            if let Some(KeyState::Done(Some(response))) = self.states.remove(&key) {
                self.stored_bytes -= response.size_bytes();
            }
        }
    }
}
