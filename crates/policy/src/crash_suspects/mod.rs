//! Detection of parts of prompts, and of identical requests, that crash every upstream which begins to respond to them.
//!
//! A list of suspects is of one [`SuspectKind`]. In one of requests, the fingerprint of a request is its only part.
//!
//! Each entry observes which parts were at an upstream when its connections broke, and which parts an upstream
//! responded to without a crash. Entries exchange these observations, and each draws the same conclusions from
//! them: the part that most of the crashes have in common, and that no sound response contains, is refused. See
//! docs/ROUTING.md, "Requests that crash upstreams".

mod evidence;
mod verdict;

use std::collections::{HashMap, HashSet, VecDeque};

use balsamjunction_protocol::mesh::PromptPart;

pub use self::verdict::{Confidence, VerdictChange};
use self::verdict::{Retest, Verdict, MIN_CRASHES};
use crate::{stated_limits::UpstreamId, Moment};

/// Most crashes that are remembered. Those that support no verdict are dropped first, the oldest first.
const MAX_CRASHES: usize = 256;
/// Most parts that are remembered of one crash.
const MAX_SIGHTINGS: usize = 64;
/// Most parts that are remembered of one request.
const MAX_PARTS: usize = 32;
/// Most parts that are known to be sound; the half that was observed longest ago is dropped when there are more.
const MAX_SOUND: usize = 4_096;
/// Time for which crashes and sound parts are remembered. Crashes of a refused part are remembered for as long
/// as requests with it keep coming.
const RETENTION: Moment = Moment::from_secs(600);
/// Number of the latest sound responses whose time is remembered.
const RECENT_SOUND_RESPONSES: usize = 10;

/// Offset of the times that are kept from the clock of the process, so that observations of other entries from before
/// its start keep their order.
const BEFORE_START: Moment = Moment::from_secs(24 * 3_600);

/// What the suspects of a list are, which decides how many crashes speak against one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SuspectKind {
    /// A part of a prompt, which requests share that are sound otherwise.
    Part,
    /// The fingerprint of a request. Fewer crashes suffice, since nothing but the request is refused.
    Request,
}

/// When a part was at an upstream whose connections broke.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    position: u16,
    began: bool,
    at: Moment,
}

/// The parts that were at one incarnation of an upstream.
#[derive(Debug, Default)]
struct Crash {
    sightings: HashMap<PromptPart, Sighting>,
}

impl Crash {
    fn latest(&self) -> Moment {
        let times = self.sightings.values().map(|sighting| sighting.at);
        times.max().unwrap_or_default()
    }
}

/// A part to which an upstream responded without a crash.
#[derive(Clone, Copy, Debug)]
struct Sound {
    /// When the latest such response was known to be sound.
    at: Moment,
    /// The latest such time that was sent to the other entries or received from one.
    shared_at: Option<Moment>,
}

/// Observations that the other entries have not been told yet.
#[derive(Debug, Default)]
struct Outbox {
    sightings: HashSet<(UpstreamId, PromptPart)>,
    sound: HashSet<PromptPart>,
    refused: HashSet<PromptPart>,
    testing: HashSet<PromptPart>,
}

/// The parts of prompts, or the requests, that are suspected of crashing upstreams.
#[derive(Debug)]
pub struct CrashSuspects {
    kind: SuspectKind,
    /// Time after the last necessary crash within which a part must be refused even if no response shows that
    /// the upstreams work otherwise.
    decide_within: Moment,
    crashes: HashMap<UpstreamId, Crash>,
    sound: HashMap<PromptPart, Sound>,
    sound_responses: VecDeque<Moment>,
    verdicts: HashMap<PromptPart, Verdict>,
    /// Since when parts have been likely causes, as long as no verdict on them is drawn.
    likely_since: HashMap<PromptPart, Moment>,
    /// Parts that another entry refuses.
    refused_elsewhere: HashSet<PromptPart>,
    retests: HashMap<PromptPart, Retest>,
    changes: Vec<VerdictChange>,
    outbox: Outbox,
    /// When the verdicts must be drawn again; absent if only a new observation can change them.
    evaluate_at: Option<Moment>,
}

/// A refusal of a request because of a part of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedPart {
    /// The part.
    pub part: PromptPart,
    /// Time after which the verdict may have changed.
    pub retry_after: Moment,
}

impl CrashSuspects {
    /// Creates a list of parts without observations.
    ///
    /// `decide_within` is the time within which a part must be refused after the last necessary crash.
    pub fn new(decide_within: Moment) -> Self {
        Self::of_kind(SuspectKind::Part, decide_within)
    }

    /// Creates a list of identical requests without observations; `decide_within` is as for [`Self::new`].
    pub fn of_requests(decide_within: Moment) -> Self {
        Self::of_kind(SuspectKind::Request, decide_within)
    }

    fn of_kind(kind: SuspectKind, decide_within: Moment) -> Self {
        Self {
            kind,
            decide_within,
            crashes: HashMap::new(),
            sound: HashMap::new(),
            sound_responses: VecDeque::new(),
            verdicts: HashMap::new(),
            likely_since: HashMap::new(),
            refused_elsewhere: HashSet::new(),
            retests: HashMap::new(),
            changes: Vec::new(),
            outbox: Outbox::default(),
            evaluate_at: None,
        }
    }

    /// Records that the connection to an upstream broke under a request before the response showed the request
    /// to be sound.
    ///
    /// `parts` are the shared parts of the request's prompt in order, and `began` tells whether the head of the
    /// response had been received.
    pub fn record_break(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        parts: &[PromptPart],
        began: bool,
    ) {
        let now = now + BEFORE_START;
        let positions = (0..=u16::MAX).zip(parts);
        let (known, unknown): (Vec<_>, Vec<_>) =
            positions.partition(|(_, part)| self.sound.contains_key(part));
        // A part that is known to be sound is the least likely cause.
        for (position, part) in unknown.into_iter().chain(known).take(MAX_PARTS) {
            let sighting = Sighting {
                position,
                began,
                at: now,
            };
            if self.add_sighting(upstream, *part, sighting) {
                self.outbox.sightings.insert((upstream.clone(), *part));
            }
        }
        let known = self.crashes.len();
        self.trim_crashes(now);
        let dropped = self.crashes.len() < known;
        let often_seen = |part: &PromptPart| {
            let crashes = self.crashes.values();
            let seen = crashes.filter(|crash| crash.sightings.contains_key(part));
            seen.take(MIN_CRASHES).count() == MIN_CRASHES
        };
        if dropped || parts.iter().any(often_seen) {
            self.evaluate(now);
        }
    }

    /// Adds a sighting; returns whether it adds anything to what is known.
    fn add_sighting(
        &mut self,
        upstream: &UpstreamId,
        part: PromptPart,
        sighting: Sighting,
    ) -> bool {
        let crash = self.crashes.entry(upstream.clone()).or_default();
        let full = crash.sightings.len() >= MAX_SIGHTINGS;
        let added = match crash.sightings.get_mut(&part) {
            Some(known) => {
                let stronger = sighting.began && !known.began;
                known.began |= sighting.began;
                stronger
            }
            None if full => false,
            None => {
                crash.sightings.insert(part, sighting);
                true
            }
        };
        if added {
            self.confirm_verdict(part, sighting.at);
        }
        let unshared = |sound: &Sound| sound.shared_at.is_none();
        if added && self.sound.get(&part).is_some_and(unshared) {
            self.outbox.sound.insert(part);
        }
        added
    }

    /// Records that an upstream responded to a request without a crash.
    pub fn record_sound(&mut self, now: Moment, parts: &[PromptPart]) {
        let now = now + BEFORE_START;
        self.note_sound_response(now);
        for part in parts.iter().take(MAX_PARTS) {
            let shared_at = self.sound.get(part).and_then(|sound| sound.shared_at);
            self.sound.insert(*part, Sound { at: now, shared_at });
            let mut sightings = self.crashes.values().filter_map(|c| c.sightings.get(part));
            if sightings.any(|sighting| shared_at.is_none_or(|shared| sighting.at >= shared)) {
                self.outbox.sound.insert(*part);
                self.evaluate_at = Some(now);
            }
        }
        self.trim_sound(now);
        self.evaluate_if_due(now);
    }

    fn note_sound_response(&mut self, at: Moment) {
        self.sound_responses.push_back(at);
        if self.sound_responses.len() > RECENT_SOUND_RESPONSES {
            self.sound_responses.pop_front();
        }
    }

    fn trim_sound(&mut self, now: Moment) {
        if self.sound.len() <= MAX_SOUND {
            return;
        }
        let mut times: Vec<Moment> = self.sound.values().map(|sound| sound.at).collect();
        let (_, median, _) = times.select_nth_unstable(MAX_SOUND / 2);
        let oldest = (*median).max(now.saturating_sub(RETENTION));
        self.sound.retain(|_, sound| sound.at > oldest);
    }

    /// Drops crashes that are too old or too many.
    fn trim_crashes(&mut self, now: Moment) {
        let oldest = now.saturating_sub(RETENTION);
        let verdicts = &self.verdicts;
        let supports = |crash: &Crash| {
            let mut parts = crash.sightings.keys();
            parts.any(|part| verdicts.get(part).is_some_and(|v| v.refused_at >= oldest))
        };
        self.crashes
            .retain(|_, crash| crash.latest() >= oldest || supports(crash));
        while self.crashes.len() > MAX_CRASHES {
            let by_use = |(_, crash): &(&UpstreamId, &Crash)| (supports(crash), crash.latest());
            let least = self.crashes.iter().min_by_key(by_use);
            let Some(least) = least.map(|(upstream, _)| upstream.clone()) else {
                return;
            };
            self.crashes.remove(&least);
        }
        let crashes = &self.crashes;
        let seen = |part: &PromptPart| crashes.values().any(|c| c.sightings.contains_key(part));
        self.refused_elsewhere.retain(seen);
    }

    /// Whether a request may be sent to an upstream, given the shared parts of its prompt.
    ///
    /// Every refused part is tried again from time to time, by one request of one entry, so that a wrong verdict
    /// ends. More and more entries may do so while none has a request with the part: `is_tester` tells whether this
    /// entry is among a number of entries that are selected for the part.
    ///
    /// # Errors
    ///
    /// Returns the refused part if there is one.
    pub fn admit(
        &mut self,
        now: Moment,
        parts: &[PromptPart],
        is_tester: impl Fn(PromptPart, usize) -> bool,
    ) -> Result<(), RefusedPart> {
        if self.crashes.is_empty() {
            return Ok(());
        }
        let now = now + BEFORE_START;
        self.evaluate_if_due(now);
        let refused: Vec<PromptPart> = parts
            .iter()
            .copied()
            .filter(|part| self.verdicts.contains_key(part))
            .collect();
        for part in &refused {
            if let Some(verdict) = self.verdicts.get_mut(part) {
                verdict.refused_at = now;
            }
        }
        let Some(part) = refused.first().copied() else {
            return Ok(());
        };
        let testers: Option<Vec<usize>> = refused
            .iter()
            .map(|part| self.count_testers(now, *part))
            .collect();
        let tested = testers.is_some_and(|testers| {
            let mut counts = refused.iter().zip(testers);
            counts.any(|(part, count)| is_tester(*part, count))
        });
        if tested {
            let tested = self.retests.iter_mut();
            let tested = tested.filter(|(part, _)| refused.contains(part));
            for (part, retest) in tested {
                retest.start(now);
                if self.kind == SuspectKind::Request {
                    self.outbox.testing.insert(*part);
                }
            }
            return Ok(());
        }
        let due_at = self.retests.get(&part).map_or(now, |retest| retest.due_at);
        Err(RefusedPart {
            part,
            retry_after: due_at.saturating_sub(now),
        })
    }

    /// Returns the first refused part of a request that [`Self::admit`] admitted and that is about to be sent; absent if it
    /// may be sent, also as the one that tests a verdict.
    pub fn refused_part(&mut self, now: Moment, parts: &[PromptPart]) -> Option<PromptPart> {
        let now = now + BEFORE_START;
        self.evaluate_if_due(now);
        let mut refused = parts.iter().copied();
        refused.find(|part| {
            let under_test = |retest: &Retest| retest.is_running(now);
            self.verdicts.contains_key(part) && !self.retests.get(part).is_some_and(under_test)
        })
    }

    /// Number of refused parts.
    pub fn refused_count(&mut self, now: Moment) -> usize {
        let now = now + BEFORE_START;
        self.evaluate_if_due(now);
        self.verdicts.len()
    }

    /// Returns the verdicts that were reached or withdrawn since the last call.
    pub fn take_changes(&mut self) -> Vec<VerdictChange> {
        std::mem::take(&mut self.changes)
    }
}
