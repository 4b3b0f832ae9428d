//! What upstreams report of themselves in responses: that they leave, that they want no requests for a while, and limits.
//! See docs/ROUTING.md, "Upstreams that leave or back off" and "Limits".

use balsamjunction_directory::UpstreamRecord;
use balsamjunction_platform::headers;
use balsamjunction_policy::{dispatch::UNREADABLE_LIMIT_PER_S, Moment};

use super::{attempts::RequestAttempts, context::InFlightRequest, send::UpstreamResponse};
use crate::events::Event;

impl RequestAttempts {
    /// Takes an upstream that reports to be leaving out of service, before its response is forwarded.
    pub fn record_leaving(
        &self,
        response: &UpstreamResponse,
        in_flight: &InFlightRequest,
        upstream: &UpstreamRecord,
    ) {
        let misdirected = response.inner.status() == hyper::StatusCode::MISDIRECTED_REQUEST;
        let leaving = response
            .header(headers::LEAVING)
            .is_some_and(headers::parse_leaving);
        if !leaving || !in_flight.mark_leaving(misdirected) {
            return;
        }
        self.context.metrics.mesh.leaving_upstreams.inc();
        self.context
            .cluster_view
            .events
            .emit(&Event::UpstreamLeaves {
                id: self.request.id.clone(),
                upstream: upstream.id.clone(),
                misdirected,
            });
    }

    /// Starts the backoff that an upstream asks for when it rejects a request (Retry-After).
    pub fn record_backoff(
        &self,
        response: &UpstreamResponse,
        in_flight: &InFlightRequest,
        upstream: &UpstreamRecord,
    ) {
        let turned_away = response.inner.status() == hyper::StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = response.inner.headers().get(headers::RETRY_AFTER);
        let Some(retry_after) = retry_after.filter(|_| turned_away) else {
            return;
        };
        let requested =
            headers::parse_retry_after(&String::from_utf8_lossy(retry_after.as_bytes()));
        let backoff = in_flight.start_backoff(requested.ok());
        self.context.metrics.mesh.backoff_responses.inc();
        self.context
            .cluster_view
            .events
            .emit(&Event::UpstreamBackoff {
                id: self.request.id.clone(),
                upstream: upstream.id.clone(),
                for_ms: backoff.as_millis() as u64,
                detail: match requested {
                    Ok(requested) => format!(
                        "the upstream asked for a backoff of {} ms",
                        requested.as_millis()
                    ),
                    Err(e) => format!("Retry-After cannot be read: {e}"),
                },
            });
    }

    /// Records the limit that a response states, or the end of the limit if it states none.
    ///
    /// A limit is kept whoever stated it; only a response that is certainly the upstream's ends one.
    pub fn record_limit(
        &self,
        response: &UpstreamResponse,
        upstream: &UpstreamRecord,
        sent_at: Moment,
    ) {
        if response.inner.status() == hyper::StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let Some(limit) = response.inner.headers().get(headers::LIMIT) else {
            let identified = [headers::SIGNATURE, headers::NOT_RUN]
                .iter()
                .any(|name| response.header(name).is_some());
            if identified && !self.answers_another_request(response) {
                let ended = self.context.record_limit(upstream, sent_at, None);
                let detail = || "the upstream stated no limit any more".to_owned();
                self.log_limit_change(ended, upstream, None, detail);
            }
            return;
        };
        self.context.metrics.mesh.limit_responses.inc();
        let value = String::from_utf8_lossy(limit.as_bytes());
        let stated = headers::parse_limit(&value);
        let per_s = stated.unwrap_or(UNREADABLE_LIMIT_PER_S);
        let changed = self.context.record_limit(upstream, sent_at, Some(per_s));
        self.log_limit_change(changed, upstream, Some(per_s), || match stated {
            Ok(_) => format!("the upstream stated a limit of {value} requests per second"),
            Err(e) => format!("Server-Limit cannot be read: {e}"),
        });
    }

    fn log_limit_change(
        &self,
        changed: bool,
        upstream: &UpstreamRecord,
        per_s: Option<f64>,
        detail: impl FnOnce() -> String,
    ) {
        if changed {
            self.context
                .cluster_view
                .events
                .emit(&Event::UpstreamLimit {
                    id: Some(self.request.id.clone()),
                    upstream: upstream.id.clone(),
                    per_s,
                    detail: detail(),
                });
        }
    }
}
