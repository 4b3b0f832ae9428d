//! Draws the conclusion which parts of prompts crash upstreams from the observations.

use std::collections::{HashMap, HashSet};

use balsamjunction_protocol::mesh::PromptPart;

use super::{CrashSuspects, SuspectKind, RETENTION};
use crate::{stated_limits::UpstreamId, Moment};

/// Weight of a crash while the upstream had begun to respond to a request with the part.
const BEGAN_WEIGHT: u32 = 5;
/// Weight of a crash while a request with the part was at the upstream without a response. It may have waited
/// there, but an upstream that crashes may also lose the beginning of its response.
const WAITING_WEIGHT: u32 = 3;
/// Crashes that are closer to each other than this may have one common cause, such as the loss of a data centre, and
/// form one episode.
const EPISODE: Moment = Moment::from_millis(150);
/// Weight of separate episodes that suffices for a verdict: three, or five if no response began.
const ENOUGH_EPISODES: u32 = 3 * BEGAN_WEIGHT;
/// Weight of all crashes of a part that suffices for a verdict, however close to each other.
const ENOUGH_CRASHES: u32 = 5 * BEGAN_WEIGHT;
/// The same for an identical request, whose verdict stays tentative until a test of it fails. A request that was sound
/// needs as many in separate episodes.
const ENOUGH_CRASHES_OF_REQUEST: u32 = 3 * BEGAN_WEIGHT;
/// Fewest crashes that may suffice for a verdict.
pub(super) const MIN_CRASHES: usize = 3;
/// Time from enough episodes to the verdict, in which other entries may report that the part is sound.
const EPISODES_GRACE: Moment = Moment::from_millis(300);
/// The same if only the number of crashes is enough, or if the part was sound before.
const CRASHES_GRACE: Moment = Moment::from_millis(1_000);
/// Sound responses to other requests that show that the upstreams work, so that the absence of one with the
/// part is significant.
const SOUND_OTHERS: usize = 3;
/// The same for a part that was sound before.
const SOUND_OTHERS_OF_KNOWN: usize = 10;
/// Age of the latest crash of a part up to which it is refused when it becomes the likely cause. It covers the time
/// in which the observations of other entries arrive.
const FRESH_CRASH: Moment = Moment::from_secs(2);
/// Interval at which the verdict on a part is drawn again while sound responses are missing.
const RECHECK_INTERVAL: Moment = Moment::from_millis(50);
/// Time until the first test of a verdict that responses to other requests support. It grows with each test.
const FIRM_RETEST_AFTER: Moment = Moment::from_secs(60);
/// The same for a verdict that no response to another request supports.
const TENTATIVE_RETEST_AFTER: Moment = Moment::from_secs(3);
/// Time after a tentative verdict on a request before which it is not tested, so that one disruption ends before.
const REQUEST_TESTED_AFTER: Moment = Moment::from_secs(1);
/// Factor by which the time until the next test of a part grows.
const RETEST_GROWTH: u32 = 4;
/// The same for a request: of those that crash upstreams, three may reach one later than the time of contact.
const RETEST_GROWTH_OF_REQUEST: u32 = 16;
/// Time after which one entry more may make a test of a part that is due.
const FURTHER_TESTER_AFTER: Moment = Moment::from_secs(4);
/// Time after which twice as many entries may make a test of a request that is due.
const TESTERS_DOUBLE_AFTER: Moment = Moment::from_secs(2);
/// Most doublings of the number of entries that may make a test.
const MAX_TESTER_DOUBLINGS: u128 = 16;
/// Time that a test takes at most.
const RETEST_DURATION: Moment = Moment::from_secs(2);

impl SuspectKind {
    fn crash_weight(self, began: bool) -> u32 {
        match self {
            // A response that is no stream does not show when it begins.
            Self::Request => BEGAN_WEIGHT,
            Self::Part if began => BEGAN_WEIGHT,
            Self::Part => WAITING_WEIGHT,
        }
    }

    /// Whether crashes in separate episodes suffice for a verdict.
    fn counts_episodes(self, was_sound: bool) -> bool {
        self == Self::Request || !was_sound
    }

    /// Weight of crashes that suffices however close to each other they are, if any does.
    fn enough_crashes(self, was_sound: bool) -> Option<u32> {
        match self {
            Self::Part => Some(ENOUGH_CRASHES),
            Self::Request if was_sound => None,
            Self::Request => Some(ENOUGH_CRASHES_OF_REQUEST),
        }
    }

    /// Number of entries that may make a test which has been due for some time, since few requests that could may come to
    /// an entry.
    ///
    /// A request comes to an entry less often than a part, so more entries join at a time. Where none of them has had it until
    /// then, hardly two get it at once, and the first one tells the others.
    fn testers(self, due_for: Moment) -> usize {
        match self {
            Self::Part => 1 + (due_for.as_millis() / FURTHER_TESTER_AFTER.as_millis()) as usize,
            Self::Request => {
                let doublings = due_for.as_millis() / TESTERS_DOUBLE_AFTER.as_millis();
                1 << doublings.min(MAX_TESTER_DOUBLINGS)
            }
        }
    }

    /// Factor by which the time until the next test grows with each that fails.
    fn retest_growth(self) -> u32 {
        match self {
            Self::Part => RETEST_GROWTH,
            Self::Request => RETEST_GROWTH_OF_REQUEST,
        }
    }

    /// Time after a tentative verdict from which it may be tested if upstreams respond to other requests.
    fn tested_after(self) -> Moment {
        match self {
            Self::Part => Moment::ZERO,
            Self::Request => REQUEST_TESTED_AFTER,
        }
    }
}

/// How well a verdict is supported.
#[derive(Clone, Copy, Debug, strum::Display, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Confidence {
    /// Upstreams responded to other requests meanwhile.
    Firm,
    /// No response of any upstream shows that other requests do not crash it, too.
    Tentative,
}

/// The verdict that a part crashes upstreams.
#[derive(Clone, Copy, Debug)]
pub(super) struct Verdict {
    pub confidence: Confidence,
    pub drawn_at: Moment,
    /// When a request was last refused because of it.
    pub refused_at: Moment,
}

/// A verdict that was reached, or withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerdictChange {
    /// The part.
    pub part: PromptPart,
    /// How well the verdict is supported; absent if it was withdrawn.
    pub confidence: Option<Confidence>,
    /// Number of crashes of different upstreams that support it.
    pub crashes: usize,
}

/// The schedule of the tests of a verdict.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retest {
    pub due_at: Moment,
    interval: Moment,
    started_at: Option<Moment>,
    /// End of a test by another entry.
    tested_elsewhere_until: Moment,
}

impl Retest {
    fn new(now: Moment, confidence: Confidence) -> Self {
        let interval = match confidence {
            Confidence::Firm => FIRM_RETEST_AFTER,
            Confidence::Tentative => TENTATIVE_RETEST_AFTER,
        };
        Self {
            due_at: now + interval,
            interval,
            started_at: None,
            tested_elsewhere_until: Moment::ZERO,
        }
    }

    /// Leaves the test to another entry, which has started one.
    pub fn leave_to_other(&mut self, now: Moment) {
        self.tested_elsewhere_until = now + RETEST_DURATION;
    }

    /// Starts a test. It is repeated soon unless the part crashes an upstream or turns out to be sound.
    pub fn start(&mut self, now: Moment) {
        self.started_at = Some(now);
        self.due_at = now + RETEST_DURATION;
    }

    /// Postpones the next test after a further crash, and makes tests rarer if that was a test's, here or elsewhere.
    pub fn postpone(&mut self, now: Moment, growth: u32) {
        if self.started_at.take().is_some() || now >= self.due_at {
            self.interval = self.interval.saturating_mul(growth).min(RETENTION);
        }
        self.due_at = self.due_at.max(now + self.interval);
    }

    pub fn is_running(&self, now: Moment) -> bool {
        let running = |started: Moment| now.saturating_sub(started) < RETEST_DURATION;
        self.started_at.is_some_and(running)
    }
}

/// The crashes that a part may have caused.
#[derive(Debug, Default)]
struct Score {
    /// The crashes by time, with their weights.
    crashes: Vec<(Moment, u32)>,
    position: u16,
}

impl Score {
    fn weight(&self) -> u32 {
        self.crashes.iter().map(|(_, weight)| weight).sum()
    }

    /// When the crashes sufficed for a verdict, and the time that must pass from then on.
    fn reached_at(&mut self, kind: SuspectKind, was_sound: bool) -> Option<(Moment, Moment)> {
        self.crashes.sort();
        let (mut all, mut episodes) = (0, 0);
        let mut episode: Option<(Moment, u32)> = None;
        for (at, weight) in &self.crashes {
            all += weight;
            match &mut episode {
                Some((start, counted)) if *at < *start + EPISODE => {
                    episodes += weight.saturating_sub(*counted);
                    *counted = (*counted).max(*weight);
                }
                _ => {
                    episodes += weight;
                    episode = Some((*at, *weight));
                }
            }
            if kind.counts_episodes(was_sound) && episodes >= ENOUGH_EPISODES {
                return Some((*at, EPISODES_GRACE));
            }
            if kind.enough_crashes(was_sound).is_some_and(|w| all >= w) {
                return Some((*at, CRASHES_GRACE));
            }
        }
        None
    }
}

/// A part whose crashes suffice for a verdict, unless responses contradict it.
struct Candidate {
    part: PromptPart,
    was_sound: bool,
    weight: u32,
    position: u16,
    crashes: usize,
    reached_at: Moment,
    grace: Moment,
    latest: Moment,
}

/// The conclusion on a candidate.
enum Conclusion {
    Refuse(Confidence),
    /// It may be drawn at this time.
    Wait(Moment),
}

impl CrashSuspects {
    pub(super) fn evaluate_if_due(&mut self, now: Moment) {
        if self.evaluate_at.is_some_and(|at| at <= now) {
            self.evaluate(now);
        }
    }

    /// Draws all verdicts again.
    ///
    /// Each crash has one cause, so the crashes of a part that is refused, or is about to be, count for no
    /// other part. Parts that are refused already come first: later crashes of other causes must not acquit them.
    pub(super) fn evaluate(&mut self, now: Moment) {
        self.evaluate_at = None;
        let mut explained: HashSet<UpstreamId> = HashSet::new();
        let mut next = HashMap::new();
        let mut likely_since = HashMap::new();
        loop {
            let mut candidates = self.candidates(&explained);
            candidates.retain(|candidate| !next.contains_key(&candidate.part));
            let Some(candidate) = self.likeliest(&candidates) else {
                break;
            };
            let conclusion = match self.verdicts.get(&candidate.part) {
                // While requests with the part are refused, the absence of responses to them proves nothing.
                Some(verdict) => Conclusion::Refuse(verdict.confidence),
                None => {
                    // Until now, another part may have explained its crashes.
                    let since = self.likely_since.get(&candidate.part).copied();
                    let since = since.unwrap_or(now).max(candidate.reached_at);
                    likely_since.insert(candidate.part, since);
                    self.conclude(now, since, candidate)
                }
            };
            match conclusion {
                Conclusion::Refuse(confidence) => {
                    next.insert(candidate.part, (confidence, candidate.crashes));
                }
                Conclusion::Wait(at) => {
                    let at = self.evaluate_at.map_or(at, |other| other.min(at));
                    self.evaluate_at = Some(at);
                }
            }
            let part = candidate.part;
            let crashes = self.crashes.iter().filter(|(_, crash)| {
                let sighting = crash.sightings.get(&part);
                sighting.is_some_and(|s| self.is_unrefuted(part, s.at))
            });
            explained.extend(crashes.map(|(upstream, _)| upstream.clone()));
        }
        self.likely_since = likely_since;
        self.set_verdicts(now, &next);
    }

    /// Whether no sound response with the part is known from after a crash.
    pub(super) fn is_unrefuted(&self, part: PromptPart, crashed_at: Moment) -> bool {
        self.sound
            .get(&part)
            .is_none_or(|sound| sound.at < crashed_at)
    }

    fn candidates(&self, explained: &HashSet<UpstreamId>) -> Vec<Candidate> {
        let mut scores: HashMap<PromptPart, Score> = HashMap::new();
        for (upstream, crash) in &self.crashes {
            if explained.contains(upstream) {
                continue;
            }
            for (part, sighting) in &crash.sightings {
                if !self.is_unrefuted(*part, sighting.at) {
                    continue;
                }
                let weight = self.kind.crash_weight(sighting.began);
                let score = scores.entry(*part).or_default();
                score.crashes.push((sighting.at, weight));
                score.position = score.position.max(sighting.position);
            }
        }
        let candidates = scores.into_iter().filter_map(|(part, mut score)| {
            let was_sound = self.sound.contains_key(&part);
            let (reached_at, grace) = score.reached_at(self.kind, was_sound)?;
            Some(Candidate {
                part,
                was_sound,
                weight: score.weight(),
                position: score.position,
                crashes: score.crashes.len(),
                latest: score.crashes.last().map_or(reached_at, |(at, _)| *at),
                reached_at,
                grace,
            })
        });
        candidates.collect()
    }

    /// Selects the part that explains the crashes best.
    ///
    /// A part that was never sound goes before others. Among parts that explain nearly as many crashes, the one
    /// furthest back in the prompt goes first, since the fewest requests share it: if it is not the cause, a further
    /// crash without it shows that.
    fn likeliest<'c>(&self, candidates: &'c [Candidate]) -> Option<&'c Candidate> {
        let rank = |c: &Candidate| (self.verdicts.contains_key(&c.part), !c.was_sound);
        let best = candidates.iter().max_by_key(|c| (rank(c), c.weight))?;
        let nearly = candidates
            .iter()
            .filter(|c| rank(c) == rank(best) && 3 * c.weight >= 2 * best.weight);
        nearly.max_by_key(|c| (c.position, c.weight, c.part))
    }

    fn conclude(&self, now: Moment, since: Moment, candidate: &Candidate) -> Conclusion {
        if self.refused_elsewhere.contains(&candidate.part) {
            return Conclusion::Refuse(Confidence::Firm);
        }
        // Another part explained its crashes and was cleared of them, so they may have a cause of their own.
        if candidate.latest + FRESH_CRASH < since {
            return Conclusion::Wait(Moment::MAX);
        }
        if self.kind == SuspectKind::Request {
            // Nothing else is refused with it, and a test tells soon.
            return Conclusion::Refuse(Confidence::Tentative);
        }
        let earliest = since + candidate.grace;
        if now < earliest {
            return Conclusion::Wait(earliest);
        }
        let others = self.sound_responses_since(since);
        let needed = match candidate.was_sound {
            true => SOUND_OTHERS_OF_KNOWN,
            false => SOUND_OTHERS,
        };
        if others >= needed {
            return Conclusion::Refuse(Confidence::Firm);
        }
        let latest = since + self.decide_within;
        let numerous = candidate.weight >= ENOUGH_CRASHES;
        if numerous && !candidate.was_sound && now >= latest {
            return Conclusion::Refuse(Confidence::Tentative);
        }
        Conclusion::Wait(now + RECHECK_INTERVAL)
    }

    fn sound_responses_since(&self, since: Moment) -> usize {
        let responses = self.sound_responses.iter();
        responses.filter(|at| **at > since).count()
    }

    /// Number of entries that may test the verdict on a part now; absent if no test is due.
    ///
    /// A test is due at its time, or as soon as upstreams respond to other requests if they did not when the verdict
    /// was drawn.
    pub(super) fn count_testers(&self, now: Moment, part: PromptPart) -> Option<usize> {
        let verdict = self.verdicts.get(&part)?;
        let retest = self.retests.get(&part)?;
        let tentative = verdict.confidence == Confidence::Tentative;
        let since = match retest.due_at <= now {
            true => retest.due_at,
            false if retest.is_running(now) => return None,
            false if tentative && self.upstreams_work_since(verdict.drawn_at) => {
                verdict.drawn_at + self.kind.tested_after()
            }
            false => return None,
        };
        if now < since || now < retest.tested_elsewhere_until {
            return None;
        }
        Some(self.kind.testers(now.saturating_sub(since)))
    }

    fn upstreams_work_since(&self, since: Moment) -> bool {
        self.sound_responses_since(since) >= SOUND_OTHERS
    }

    /// Takes note of a further crash with a part that may be refused.
    pub(super) fn confirm_verdict(&mut self, part: PromptPart, crashed_at: Moment) {
        let Some(verdict) = self.verdicts.get(&part).copied() else {
            return;
        };
        let tentative = verdict.confidence == Confidence::Tentative;
        // An earlier crash is one of those that led to the verdict, however late it was heard of.
        let later = crashed_at >= verdict.drawn_at + self.kind.tested_after();
        if tentative && later && self.upstreams_work_since(verdict.drawn_at) {
            self.make_firm(part, crashed_at);
            if self.kind == SuspectKind::Request {
                self.outbox.refused.insert(part);
            }
        } else if let Some(retest) = self.retests.get_mut(&part) {
            retest.postpone(crashed_at, self.kind.retest_growth());
        }
    }

    /// Makes a tentative verdict firm, so that it is tested as seldom as one.
    pub(super) fn make_firm(&mut self, part: PromptPart, now: Moment) {
        let verdict = self.verdicts.get_mut(&part);
        let Some(verdict) = verdict.filter(|v| v.confidence == Confidence::Tentative) else {
            return;
        };
        verdict.confidence = Confidence::Firm;
        let retest = Retest::new(now, Confidence::Firm);
        self.retests.insert(part, retest);
    }

    fn set_verdicts(&mut self, now: Moment, next: &HashMap<PromptPart, (Confidence, usize)>) {
        // An entry that withdrew a verdict draws it again only from what it knows itself.
        let verdicts = &self.verdicts;
        self.refused_elsewhere
            .retain(|part| next.contains_key(part) || !verdicts.contains_key(part));
        let withdrawn = self.verdicts.extract_if(|part, _| !next.contains_key(part));
        let withdrawn = withdrawn.map(|(part, _)| VerdictChange {
            part,
            confidence: None,
            crashes: 0,
        });
        self.changes.extend(withdrawn);
        for (part, (confidence, crashes)) in next {
            if self.verdicts.contains_key(part) {
                continue;
            }
            let verdict = Verdict {
                confidence: *confidence,
                drawn_at: now,
                refused_at: now,
            };
            self.verdicts.insert(*part, verdict);
            self.retests.insert(*part, Retest::new(now, *confidence));
            if *confidence == Confidence::Firm && !self.refused_elsewhere.contains(part) {
                self.outbox.refused.insert(*part);
            }
            self.changes.push(VerdictChange {
                part: *part,
                confidence: Some(*confidence),
                crashes: *crashes,
            });
        }
        let verdicts = &self.verdicts;
        self.retests.retain(|part, _| verdicts.contains_key(part));
    }
}
