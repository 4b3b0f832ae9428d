//! What connections show of the paths to upstreams, and when requests are recalled across them.

use smol_str::SmolStr;

use super::{Dispatcher, PathSample, SelectedUpstream, UpstreamKey};
use crate::Moment;

/// What a connection showed of the path to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct PathObservation {
    /// The data centre of the upstream.
    pub data_centre: SmolStr,
    /// The delay beyond the usual one.
    pub delay: Moment,
    /// Whether requests that wait at an older version must be recalled earlier than before.
    pub advances_recalls: bool,
}

impl Dispatcher {
    /// When a request that has not started must be recalled from an upstream, if a newer version is published;
    /// `version_at_send` applies if the upstream is no longer listed.
    ///
    /// That is before the start deadline by the path's delay, since the end of its connection meets it as well.
    pub fn recall_at(
        &self,
        now: Moment,
        key: UpstreamKey,
        model: &str,
        version_at_send: u64,
    ) -> Option<Moment> {
        let deadline = match self.served_version(key, model) {
            Some(served) => served.start_deadline,
            None => self.start_deadline(model, version_at_send),
        };
        Some(deadline?.saturating_sub(self.path_delay(now, key)))
    }

    /// The delay of the path to an upstream beyond the usual one; zero if none was observed.
    pub fn path_delay(&self, now: Moment, key: UpstreamKey) -> Moment {
        let upstream = self.upstreams.get(key);
        let delay_ms = upstream.map_or(0.0, |upstream| {
            let data_centre = &upstream.record.data_centre;
            self.paths.delay_ms(now, key, data_centre)
        });
        Moment::from_secs_f64(delay_ms / 1e3)
    }

    /// Records the connection of a selected upstream, and what it shows of the path; `None` if the upstream is no
    /// longer remembered.
    pub fn record_connection(
        &mut self,
        selected: &mut SelectedUpstream,
        sample: PathSample,
    ) -> Option<PathObservation> {
        let key = selected.upstream;
        let now = sample.ended;
        let before = self.path_delay(now, key);
        let data_centre = self.upstreams.get(key)?.record.data_centre.clone();
        let delay_ms = self.paths.record(key, &data_centre, sample);
        selected.connection_delay_ms = delay_ms;
        let window = self.settings.old_version_start_window;
        Some(PathObservation {
            data_centre,
            delay: Moment::from_secs_f64(delay_ms / 1e3),
            advances_recalls: self.path_delay(now, key) > before
                && self.published.any_since(now.saturating_sub(window)),
        })
    }

    /// Records the time from a request to the head of its response, which is no shorter than the path.
    pub fn record_head(&mut self, key: UpstreamKey, sample: PathSample) {
        if let Some(upstream) = self.upstreams.get(key) {
            let data_centre = &upstream.record.data_centre;
            self.paths.record_response(key, data_centre, sample);
        }
    }
}
