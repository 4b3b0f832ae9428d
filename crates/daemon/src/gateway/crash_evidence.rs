//! Observations that show which requests crash upstreams. See docs/ROUTING.md, "Requests that crash upstreams".

use balsamjunction_directory::UpstreamRecord;

use super::attempts::RequestAttempts;
use crate::{events::Event, mesh::SuspectList};

/// Most parts of a prompt that a log line names; callers choose how many there are.
const MAX_LOGGED_PARTS: usize = 32;

/// How far an upstream had come with a request when its connection broke.
#[derive(Clone, Copy, Debug)]
pub struct BrokenAttempt {
    /// Whether the head of the response had been received.
    pub began: bool,
    /// Whether the upstream had sent enough of the response to show that the request does not crash it.
    pub sound: bool,
}

impl BrokenAttempt {
    /// A connection that broke before the head of the response.
    pub const WITHOUT_HEAD: Self = Self {
        began: false,
        sound: false,
    };
}

impl RequestAttempts {
    /// Records that an upstream probably crashed while running this request.
    pub fn report_crash(&self, upstream: &UpstreamRecord, began: bool) {
        let upstream = (upstream.id.clone(), upstream.started_at_ms);
        let cluster_view = &self.context.cluster_view;
        let request = [self.request.fingerprint_as_part()];
        cluster_view.record_break(SuspectList::Requests, &upstream, &request, began);
    }

    /// Records that the connection to an upstream broke under this request.
    pub fn report_break(&self, upstream: &UpstreamRecord, broken: BrokenAttempt) {
        self.context.metrics.mesh.broken_connections.inc();
        let parts = self.request.prompt_parts.iter();
        self.context
            .cluster_view
            .events
            .emit(&Event::UpstreamBroke {
                id: self.request.id.clone(),
                upstream: upstream.id.clone(),
                began: broken.began,
                sound: broken.sound,
                parts: parts
                    .take(MAX_LOGGED_PARTS)
                    .map(ToString::to_string)
                    .collect(),
            });
        if !broken.sound && !self.request.prompt_parts.is_empty() {
            let upstream = (upstream.id.clone(), upstream.started_at_ms);
            let parts = &self.request.prompt_parts;
            let cluster_view = &self.context.cluster_view;
            cluster_view.record_break(SuspectList::Parts, &upstream, parts, broken.began);
        }
    }
}
