//! The part of the cluster view that tells which parts of prompts, and which requests, crash upstreams.

use std::sync::Mutex;

use balsamjunction_policy::{
    crash_suspects::{CrashSuspects, RefusedPart, VerdictChange},
    rendezvous,
    stated_limits::UpstreamId,
    Moment,
};
use balsamjunction_protocol::{
    mesh::{
        CrashEvidence, CrashEvidenceNotification, ProcessRole, PromptPart, SyncRequest,
        SyncResponse,
    },
    PROTOCOL_VERSION,
};

use super::ClusterView;
use crate::{events::Event, sync::lock};

/// The two lists of suspects. In that of requests, the fingerprint of a request is its only part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectList {
    /// Parts of prompts.
    Parts,
    /// Identical requests.
    Requests,
}

impl ClusterView {
    /// Records that the connection to an upstream broke under a request that is not known to be sound.
    pub fn record_break(
        &self,
        list: SuspectList,
        upstream: &UpstreamId,
        parts: &[PromptPart],
        began: bool,
    ) {
        self.update_suspects(list, |suspects, now| {
            suspects.record_break(now, upstream, parts, began);
        });
    }

    /// Records that an upstream responded to a request without a crash.
    pub fn record_sound(&self, list: SuspectList, parts: &[PromptPart]) {
        self.update_suspects(list, |suspects, now| suspects.record_sound(now, parts));
    }

    /// Whether a request with these parts may be sent to an upstream.
    pub fn admit(&self, list: SuspectList, parts: &[PromptPart]) -> Result<(), RefusedPart> {
        if parts.is_empty() {
            return Ok(());
        }
        self.update_suspects(list, |suspects, now| {
            suspects.admit(now, parts, |part, count| self.is_tester(part, count))
        })
    }

    /// The first of these parts that is refused, now that a request which was admitted is about to be sent.
    pub fn refused_part(&self, list: SuspectList, parts: &[PromptPart]) -> Option<PromptPart> {
        if parts.is_empty() {
            return None;
        }
        self.update_suspects(list, |suspects, now| suspects.refused_part(now, parts))
    }

    /// Number of suspects of a list that are refused.
    pub(super) fn refused_count(&self, list: SuspectList) -> usize {
        self.update_suspects(list, CrashSuspects::refused_count)
    }

    /// Merges observations that another entry pushed.
    pub fn merge_crash_notification(&self, notification: &CrashEvidenceNotification) {
        let now = self.clock.now();
        self.merge_crash_evidence(SuspectList::Parts, now, &notification.evidence);
        self.merge_crash_evidence(SuspectList::Requests, now, &notification.requests);
    }

    /// Merges observations that another entry made; their ages count back from `as_of`.
    fn merge_crash_evidence(&self, list: SuspectList, as_of: Moment, evidence: &CrashEvidence) {
        if *evidence != CrashEvidence::default() {
            self.update_suspects(list, |suspects, now| suspects.merge(now, as_of, evidence));
        }
    }

    /// Asks a peer for the observations of crashes that this entry lacks.
    pub fn request_crash_evidence(&self, request: &mut SyncRequest) {
        request.crash_digest = Some(lock(&self.suspected_parts).digest());
        request.request_crash_digest = Some(lock(&self.suspected_requests).digest());
    }

    /// Adds the observations of crashes that the sender of a request lacks, if it asks for them.
    pub fn add_crash_evidence(&self, request: &SyncRequest, response: &mut SyncResponse) {
        let evidence = |list: &Mutex<CrashSuspects>, digest: Option<u64>| {
            let suspects = lock(list);
            let differs = digest.is_some_and(|digest| suspects.digest() != digest);
            differs.then(|| suspects.evidence(self.clock.now()))
        };
        response.crash_evidence = evidence(&self.suspected_parts, request.crash_digest);
        response.request_crash_evidence =
            evidence(&self.suspected_requests, request.request_crash_digest);
    }

    /// Merges the observations of crashes in a response to a request that was sent at `queried_at`.
    pub fn take_crash_evidence(&self, queried_at: Moment, response: &mut SyncResponse) {
        if let Some(evidence) = response.crash_evidence.take() {
            self.merge_crash_evidence(SuspectList::Parts, queried_at, &evidence);
        }
        if let Some(evidence) = response.request_crash_evidence.take() {
            self.merge_crash_evidence(SuspectList::Requests, queried_at, &evidence);
        }
    }

    /// Waits until there are observations of this entry that the others do not know, and returns them.
    pub async fn next_crash_news(&self) -> CrashEvidenceNotification {
        loop {
            let now = self.clock.now();
            let parts = lock(&self.suspected_parts).take_news(now);
            let requests = lock(&self.suspected_requests).take_news(now);
            if parts.is_some() || requests.is_some() {
                return CrashEvidenceNotification {
                    v: PROTOCOL_VERSION,
                    evidence: parts.unwrap_or_default(),
                    requests: requests.unwrap_or_default(),
                };
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

    fn update_suspects<T>(
        &self,
        list: SuspectList,
        update: impl FnOnce(&mut CrashSuspects, Moment) -> T,
    ) -> T {
        let now = self.clock.now();
        let suspects = match list {
            SuspectList::Parts => &self.suspected_parts,
            SuspectList::Requests => &self.suspected_requests,
        };
        let (result, changes) = {
            let mut suspects = lock(suspects);
            let result = update(&mut suspects, now);
            if suspects.has_news() {
                self.crash_push_needed.notify_one();
            }
            (result, suspects.take_changes())
        };
        for change in changes {
            self.events.emit(&describe_change(list, change));
        }
        result
    }
}

fn describe_change(list: SuspectList, change: VerdictChange) -> Event {
    let refused = change.confidence.is_some();
    let detail = match change.confidence {
        Some(confidence) => {
            format!("upstreams crash when they begin to respond to it ({confidence})")
        }
        None => {
            "an upstream responded to it without a crash, or its crashes are long ago".to_owned()
        }
    };
    match list {
        SuspectList::Parts => Event::PromptPart {
            part: change.part.to_string(),
            refused,
            crashes: change.crashes,
            detail,
        },
        SuspectList::Requests => Event::SuspectedRequest {
            fingerprint: change.part.to_string(),
            refused,
            crashes: change.crashes,
            detail,
        },
    }
}
