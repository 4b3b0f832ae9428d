//! The observations as they are sent to other entries. Entries have no common clock, so observations travel with
//! their age.

use std::collections::BTreeMap;

use balsamjunction_protocol::mesh::{CrashEvidence, CrashReport, PromptPart, Sighting, SoundPart};

use super::{Confidence, CrashSuspects, Outbox, Sound, SuspectKind, BEFORE_START, RETENTION};
use crate::{rendezvous::weight, stated_limits::UpstreamId, Moment};

/// Most sightings in one message, and most sound parts; about 6 KB together.
const MAX_REPORTED: usize = 128;
/// Crashes of one refused part that are reported; more prove nothing further.
const MAX_REPORTED_OF_VERDICT: usize = 8;
/// Most sightings that are accepted from one message of another entry.
const MAX_ACCEPTED: usize = 4 * MAX_REPORTED;

fn age_ms(now: Moment, at: Moment) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}

impl CrashSuspects {
    /// Merges the observations of another entry.
    ///
    /// Ages count back from `as_of`: the time at which they were requested, or their arrival if the sender made
    /// them itself and pushed them. Neither lets a time that passes through many entries drift forward.
    pub fn merge(&mut self, now: Moment, as_of: Moment, evidence: &CrashEvidence) {
        let (now, as_of) = (now + BEFORE_START, as_of + BEFORE_START);
        let at = |age_ms: u64| as_of.saturating_sub(Moment::from_millis(age_ms));
        let recent = |age_ms: u64| Moment::from_millis(age_ms) <= RETENTION;
        let mut changed = false;
        for sound in evidence.sound.iter().take(MAX_ACCEPTED) {
            if recent(sound.age_ms) {
                changed |= self.merge_sound(sound.part, at(sound.age_ms));
            }
        }
        let reports = evidence.crashes.iter().take(MAX_ACCEPTED);
        for report in reports {
            let upstream = (report.upstream.clone(), report.started_at_ms);
            // Crashes of a refused part are sent for longer than they count, so their age has no limit.
            for reported in &report.sightings {
                let sighting = super::Sighting {
                    position: reported.position,
                    began: reported.began,
                    at: at(reported.age_ms),
                };
                changed |= self.add_sighting(&upstream, reported.part, sighting);
            }
        }
        for part in evidence.refused.iter().take(MAX_ACCEPTED) {
            changed |= self.refused_elsewhere.insert(*part);
            if self.kind == SuspectKind::Request {
                // An entry with few responses of its own cannot tell that a test failed while upstreams worked.
                self.make_firm(*part, now);
            }
        }
        for part in evidence.testing.iter().take(MAX_ACCEPTED) {
            if let Some(retest) = self.retests.get_mut(part) {
                retest.leave_to_other(now);
            }
        }
        if changed {
            self.trim_sound(now);
            self.trim_crashes(now);
            self.evaluate(now);
        }
    }

    fn merge_sound(&mut self, part: PromptPart, at: Moment) -> bool {
        let entry = self.sound.entry(part);
        let known = entry.or_insert(Sound {
            at: Moment::ZERO,
            shared_at: None,
        });
        known.shared_at = known.shared_at.max(Some(at));
        let newer = at > known.at;
        if newer {
            known.at = at;
            self.note_sound_response(at);
        }
        newer
    }

    /// Returns the observations of this entry that the others have not been told yet, if there are any.
    pub fn take_news(&mut self, now: Moment) -> Option<CrashEvidence> {
        let now = now + BEFORE_START;
        let outbox = std::mem::take(&mut self.outbox);
        let sightings = outbox.sightings.into_iter().take(MAX_REPORTED);
        let crashes = self.reports(now, sightings);
        let mut sound = Vec::new();
        for part in outbox.sound.into_iter().take(MAX_REPORTED) {
            if let Some(known) = self.sound.get_mut(&part) {
                known.shared_at = Some(known.at);
                let age_ms = age_ms(now, known.at);
                sound.push(SoundPart { part, age_ms });
            }
        }
        let refused = outbox.refused.into_iter().take(MAX_REPORTED).collect();
        let testing = outbox.testing.into_iter().take(MAX_REPORTED).collect();
        let news = CrashEvidence {
            crashes,
            sound,
            refused,
            testing,
        };
        (news != CrashEvidence::default()).then_some(news)
    }

    /// Whether [`Self::take_news`] would return anything.
    pub fn has_news(&self) -> bool {
        let Outbox {
            sightings,
            sound,
            refused,
            testing,
        } = &self.outbox;
        !(sightings.is_empty() && sound.is_empty() && refused.is_empty() && testing.is_empty())
    }

    fn reports(
        &self,
        now: Moment,
        sightings: impl Iterator<Item = (UpstreamId, PromptPart)>,
    ) -> Vec<CrashReport> {
        let mut by_upstream: BTreeMap<UpstreamId, Vec<Sighting>> = BTreeMap::new();
        for (upstream, part) in sightings {
            let crash = self.crashes.get(&upstream);
            let Some(sighting) = crash.and_then(|crash| crash.sightings.get(&part)) else {
                continue;
            };
            by_upstream.entry(upstream).or_default().push(Sighting {
                part,
                position: sighting.position,
                began: sighting.began,
                age_ms: age_ms(now, sighting.at),
            });
        }
        let reports = by_upstream.into_iter();
        let reports = reports.map(|((upstream, started_at_ms), sightings)| CrashReport {
            upstream,
            started_at_ms,
            sightings,
        });
        reports.collect()
    }

    /// The sightings that may still lead to a verdict, or support one, those of verdicts first and the latest first.
    fn open_sightings(&self) -> Vec<(UpstreamId, PromptPart)> {
        let mut open = Vec::new();
        for (upstream, crash) in &self.crashes {
            for (part, sighting) in &crash.sightings {
                if self.is_unrefuted(*part, sighting.at) {
                    let refused = self.verdicts.contains_key(part);
                    open.push((refused, sighting.at, upstream, *part));
                }
            }
        }
        open.sort_by(|a, b| b.cmp(a));
        let mut of_verdict: BTreeMap<PromptPart, usize> = BTreeMap::new();
        open.retain(|(refused, _, _, part)| {
            let count = of_verdict.entry(*part).or_default();
            *count += 1;
            !refused || *count <= MAX_REPORTED_OF_VERDICT
        });
        let reported = open.into_iter().take(MAX_REPORTED);
        reported
            .map(|(_, _, upstream, part)| (upstream.clone(), part))
            .collect()
    }

    /// Returns the observations that another entry needs to draw the same conclusions.
    pub fn evidence(&self, now: Moment) -> CrashEvidence {
        let now = now + BEFORE_START;
        let crashes = self.reports(now, self.open_sightings().into_iter());
        let seen = self.crashes.values().flat_map(|c| c.sightings.keys());
        let mut sound: Vec<(Moment, PromptPart)> = seen
            .filter_map(|part| Some((self.sound.get(part)?.at, *part)))
            .collect();
        sound.sort_by(|a, b| b.cmp(a));
        sound.dedup();
        let sound = sound.into_iter().take(MAX_REPORTED);
        let sound = sound.map(|(at, part)| SoundPart {
            part,
            age_ms: age_ms(now, at),
        });
        let verdicts = self.verdicts.iter();
        let firm = verdicts.filter(|(_, verdict)| verdict.confidence == Confidence::Firm);
        CrashEvidence {
            crashes,
            sound: sound.collect(),
            refused: firm.map(|(part, _)| *part).take(MAX_REPORTED).collect(),
            testing: Vec::new(),
        }
    }

    /// Returns a digest that is equal for entries that have the same observations to report; zero without any.
    pub fn digest(&self) -> u64 {
        if self.crashes.is_empty() {
            return 0;
        }
        let hash = |(upstream, part): &(UpstreamId, PromptPart)| {
            let key = (part.0 ^ upstream.1).to_le_bytes();
            weight(&key, &upstream.0)
        };
        let open = self.open_sightings();
        open.iter().map(hash).fold(0, |sum, one| sum ^ one)
    }
}
