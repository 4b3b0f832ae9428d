//! At-most-once execution: what the sidecar that owns an idempotency key knows of it.
//!
//! See docs/DESIGN.md, "At most once", for the ways that were weighed.

use std::collections::{HashMap, VecDeque};

use smol_str::SmolStr;

use crate::Moment;

/// Keys that one table holds, so that its bookkeeping stays under about 40 MB.
pub const MAX_KEYS: usize = 200_000;
/// StoredResponse answers of one table, summed, so that the process stays under its 128 MB.
pub const MAX_STORED_BYTES: usize = 32 * 1024 * 1024;
/// How far the clocks of two machines may differ, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 2_000;

/// An answer that can be kept for resends.
pub trait StoredResponse: Clone {
    /// Memory that it takes.
    fn size_bytes(&self) -> usize;
}

/// What is known of one key. `A` is a kept answer.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Fate<A> {
    Running,
    Done(Option<A>),
    Unknown,
    Closed,
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceVerdict<A> {
    /// Run it; the table now holds it as running.
    Run,
    /// It runs now.
    InProgress,
    /// It ran; give this answer again.
    Replay(A),
    /// It ran; its answer was too large to keep.
    ResponseNotStored,
    /// It may have run.
    Unknown,
    /// Another sidecar owns the key now.
    Closed,
    /// The table is full.
    Full,
}

/// How a keyed run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceOutcome<A> {
    /// The upstream ran it; the answer is kept if it is small enough.
    Ran(Option<A>),
    /// Nothing reached the upstream; the key may run later.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What an old owner says of a key that a new owner asks it to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseResult {
    /// Never ran here, and now never will.
    Closed,
    /// Ran, runs or may have run here.
    Taken,
}

/// When and for how long a table remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceConfig {
    /// Time in which a caller may resend a key.
    pub repeat_window: Moment,
    /// When this table was empty, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// When this table was empty, on the process's own clock.
    pub started: Moment,
}

/// The keys of one sidecar.
#[derive(Debug)]
pub struct OnceTable<A> {
    config: OnceConfig,
    fates: HashMap<SmolStr, Fate<A>>,
    expiry: VecDeque<(Moment, SmolStr)>,
    answer_bytes: usize,
}

impl<A: StoredResponse> OnceTable<A> {
    /// An empty table.
    pub fn new(config: OnceConfig) -> Self {
        Self {
            config,
            fates: HashMap::new(),
            expiry: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// How many keys are held.
    pub fn len(&self) -> usize {
        self.fates.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.fates.is_empty()
    }

    /// Applies a new repeat window to keys that end from now on.
    pub fn set_repeat_window(&mut self, window: Moment) {
        self.config.repeat_window = window;
    }

    /// Whether a key could have run before this table was empty.
    fn predates_table(&self, now: Moment, born_ms: Option<u64>) -> bool {
        match born_ms {
            Some(born) => born <= self.config.started_ms + MAX_CLOCK_SKEW_MS,
            None => now.saturating_sub(self.config.started) < self.config.repeat_window,
        }
    }

    /// Whether every trace of a key may already be forgotten.
    fn outlived(&self, now: Moment, born_ms: Option<u64>) -> bool {
        let elapsed = now.saturating_sub(self.config.started).as_millis() as u64;
        let now_ms = self.config.started_ms + elapsed;
        let window_ms = self.config.repeat_window.as_millis() as u64;
        born_ms.is_some_and(|born| born + window_ms < now_ms + MAX_CLOCK_SKEW_MS)
    }

    /// Asks whether a request with this key may run.
    pub fn begin(&mut self, now: Moment, key: &SmolStr, born_ms: Option<u64>) -> OnceVerdict<A> {
        self.forget(now);
        match self.fates.get(key) {
            Some(Fate::Running) => return OnceVerdict::InProgress,
            Some(Fate::Done(Some(answer))) => return OnceVerdict::Replay(answer.clone()),
            Some(Fate::Done(None)) => return OnceVerdict::ResponseNotStored,
            Some(Fate::Unknown) => return OnceVerdict::Unknown,
            Some(Fate::Closed) => return OnceVerdict::Closed,
            None => {}
        }
        if self.predates_table(now, born_ms) || self.outlived(now, born_ms) {
            return OnceVerdict::Unknown;
        }
        if self.fates.len() >= MAX_KEYS {
            return OnceVerdict::Full;
        }
        self.fates.insert(key.clone(), Fate::Running);
        OnceVerdict::Run
    }

    /// Notes how the run of a key ended.
    pub fn end(&mut self, now: Moment, key: &SmolStr, end: OnceOutcome<A>) {
        let fate = match end {
            OnceOutcome::NotRun => {
                self.fates.remove(key);
                return;
            }
            OnceOutcome::Ran(answer) => Fate::Done(self.within_budget(answer)),
            OnceOutcome::Unknown => Fate::Unknown,
        };
        self.keep(now, key, fate);
    }

    fn within_budget(&mut self, answer: Option<A>) -> Option<A> {
        let answer = answer?;
        let total = self.answer_bytes + answer.size_bytes();
        if total > MAX_STORED_BYTES {
            return None;
        }
        self.answer_bytes = total;
        Some(answer)
    }

    fn keep(&mut self, now: Moment, key: &SmolStr, fate: Fate<A>) {
        self.fates.insert(key.clone(), fate);
        let until = now + self.config.repeat_window;
        self.expiry.push_back((until, key.clone()));
    }

    /// Gives a key up to a new owner, unless it was taken here.
    pub fn close(&mut self, now: Moment, key: &SmolStr, born_ms: Option<u64>) -> CloseResult {
        self.forget(now);
        match self.fates.get(key) {
            Some(Fate::Closed) => CloseResult::Closed,
            Some(_) => CloseResult::Taken,
            None if self.predates_table(now, born_ms) => CloseResult::Taken,
            None => {
                self.keep(now, key, Fate::Closed);
                CloseResult::Closed
            }
        }
    }

    /// Drops keys whose repeat window has passed.
    fn forget(&mut self, now: Moment) {
        while let Some((until, _)) = self.expiry.front() {
            if *until > now {
                break;
            }
            let Some((_, key)) = self.expiry.pop_front() else {
                break;
            };
            if let Some(Fate::Done(Some(answer))) = self.fates.remove(&key) {
                self.answer_bytes -= answer.size_bytes();
            }
        }
    }
}
