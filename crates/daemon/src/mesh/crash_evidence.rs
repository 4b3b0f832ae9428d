//! The part of the cluster view that tells which parts of prompts crash upstreams.

use balsamjunction_policy::{
    crash_suspects::{CrashSuspects, RefusedPart},
    rendezvous,
    stated_limits::UpstreamId,
    Moment,
};
use balsamjunction_protocol::mesh::{CrashEvidence, ProcessRole, PromptPart};

use super::ClusterView;
use crate::{events::Event, sync::lock};

impl ClusterView {
    /// Records that the connection to an upstream broke under a request that is not known to be sound.
    pub fn record_break(&self, upstream: &UpstreamId, parts: &[PromptPart], began: bool) {
        self.update_suspects(|suspects, now| suspects.record_break(now, upstream, parts, began));
    }

    /// Records that an upstream responded to a request without a crash.
    pub fn record_sound(&self, parts: &[PromptPart]) {
        self.update_suspects(|suspects, now| suspects.record_sound(now, parts));
    }

    /// Merges observations that another entry made; their ages count back from `as_of`.
    pub fn merge_crash_evidence(&self, as_of: Moment, evidence: &CrashEvidence) {
        self.update_suspects(|suspects, now| suspects.merge(now, as_of, evidence));
    }

    /// Whether a request with these parts may be sent to an upstream.
    pub fn admit_parts(&self, parts: &[PromptPart]) -> Result<(), RefusedPart> {
        if parts.is_empty() {
            return Ok(());
        }
        self.update_suspects(|suspects, now| {
            suspects.admit(now, parts, |part, count| self.is_tester(part, count))
        })
    }

    /// The first of these parts that is refused, now that a request which was admitted is about to be sent.
    pub fn refused_part(&self, parts: &[PromptPart]) -> Option<PromptPart> {
        if parts.is_empty() {
            return None;
        }
        self.update_suspects(|suspects, now| suspects.refused_part(now, parts))
    }

    /// Number of parts that are refused.
    pub(super) fn refused_part_count(&self) -> usize {
        self.update_suspects(CrashSuspects::refused_count)
    }

    /// Returns a digest of the observations of crashes.
    pub fn crash_digest(&self) -> u64 {
        lock(&self.suspects).digest()
    }

    /// Returns the observations of crashes, unless their digest is the given one.
    pub fn crash_evidence_unless(&self, digest: u64) -> Option<CrashEvidence> {
        let suspects = lock(&self.suspects);
        (suspects.digest() != digest).then(|| suspects.evidence(self.clock.now()))
    }

    /// Waits until there are observations of this entry that the others do not know, and returns them.
    pub async fn next_crash_news(&self) -> CrashEvidence {
        loop {
            if let Some(news) = lock(&self.suspects).take_news(self.clock.now()) {
                return news;
            }
            self.crash_push_needed.notified().await;
        }
    }

    /// Whether this entry is among the `count` entries that may test the verdict on a part.
    fn is_tester(&self, part: PromptPart, count: usize) -> bool {
        self.with_members(|members, now| {
            let own = members.own().host.as_str();
            let others = members.live(now, ProcessRole::Entry);
            let hosts = others.map(|record| record.host.as_str()).chain([own]);
            let ranked = rendezvous::rank(&part.0.to_le_bytes(), hosts);
            ranked.iter().take(count).any(|host| *host == own)
        })
    }

    fn update_suspects<T>(&self, update: impl FnOnce(&mut CrashSuspects, Moment) -> T) -> T {
        let now = self.clock.now();
        let (result, changes) = {
            let mut suspects = lock(&self.suspects);
            let result = update(&mut suspects, now);
            if suspects.has_news() {
                self.crash_push_needed.notify_one();
            }
            (result, suspects.take_changes())
        };
        for change in changes {
            self.events.emit(&Event::PromptPart {
                part: change.part.to_string(),
                refused: change.confidence.is_some(),
                crashes: change.crashes,
                detail: match change.confidence {
                    Some(confidence) => {
                        format!("upstreams crash when they begin to respond to it ({confidence})")
                    }
                    None => {
                        "an upstream responded to it without a crash, or its crashes are long ago"
                            .to_owned()
                    }
                },
            });
        }
        result
    }
}
