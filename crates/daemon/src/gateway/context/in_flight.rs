//! A request at an upstream.

use std::{sync::Arc, time::Duration};

use balsamjunction_directory::UpstreamRecord;
use balsamjunction_platform::headers::InstanceLoad;
use balsamjunction_policy::{
    dispatch::{
        AttemptOutcome, AwaitedResponse, LoadReport, PathSample, RequestRequirements,
        SecondCopyDecision, SelectedUpstream, ServedVersion, StatedServiceTime, UpstreamKey,
    },
    prompt_cache::{ExpectedSaving, Observation},
    Moment,
};
use smol_str::SmolStr;

use super::GatewayContext;
use crate::{
    events::QueueingFields,
    metrics::{DataCentreLabels, StateLabels},
    sync::lock,
};

/// A guard for a request at an upstream, which releases the upstream's capacity when it is dropped.
pub struct InFlightRequest {
    context: Arc<GatewayContext>,
    selected: Box<SelectedUpstream>,
    unprocessed_prompt_tokens: f64,
    outcome: AttemptOutcome,
}

impl InFlightRequest {
    pub(super) fn new(
        context: Arc<GatewayContext>,
        selected: SelectedUpstream,
        prompt_tokens: f64,
    ) -> Self {
        if selected.instead_of.is_some() {
            context.metrics.mesh.limit_detours.inc();
        }
        if let Some(prompt) = &selected.prompt {
            let tokens = prompt.saving.tokens as u64;
            context.metrics.mesh.expected_cached_tokens.inc_by(tokens);
        }
        Self {
            context,
            unprocessed_prompt_tokens: selected.unread_tokens(prompt_tokens),
            selected: Box::new(selected),
            outcome: AttemptOutcome::Cancelled,
        }
    }

    /// Returns the key of the selected upstream.
    pub fn upstream_key(&self) -> UpstreamKey {
        self.selected.upstream
    }

    /// Returns the expected time from the send to the first event, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.selected.expected_ms
    }

    /// Returns the part of that time for the path's delay, in milliseconds.
    pub fn path_ms(&self) -> f64 {
        self.selected.path_ms
    }

    /// Records a connection that was attempted at `started` and has just succeeded, or was given up.
    pub fn record_connection(&mut self, started: Moment, connected: bool) {
        let sample = PathSample {
            started,
            ended: self.context.now(),
            connected,
        };
        let observation = lock(&self.context.dispatch)
            .dispatcher
            .record_connection(&mut self.selected, sample);
        let Some(observation) = observation else {
            return;
        };
        let data_centre = observation.data_centre.to_string();
        let delays = &self.context.metrics.mesh.path_delay;
        delays
            .get_or_create(&DataCentreLabels { data_centre })
            .observe(observation.delay.as_secs_f64());
        if observation.advances_recalls {
            let changed = &self.context.start_deadlines_changed;
            changed.send_modify(|n| *n += 1);
        }
    }

    /// Records that the upstream refused or broke a connection, so that it may have restarted.
    pub fn mark_upstream_away(&self) {
        lock(&self.context.dispatch)
            .dispatcher
            .mark_away(self.selected.upstream);
    }

    /// Records that the head of the response to the request that was sent at `sent_at` has just been received.
    pub fn record_head(&self, sent_at: Moment) {
        let sample = PathSample {
            started: sent_at,
            ended: self.context.now(),
            connected: true,
        };
        lock(&self.context.dispatch)
            .dispatcher
            .record_head(self.selected.upstream, sample);
    }

    /// Returns what the request is expected to save there; absent unless the service keeps prompts and the
    /// caller stated the parts of its own.
    pub fn expected_saving(&self) -> Option<ExpectedSaving> {
        Some(self.selected.prompt.as_ref()?.saving)
    }

    /// Returns the upstream's registration, unless the dispatcher has removed it.
    pub fn upstream_record(&self) -> Option<UpstreamRecord> {
        let dispatch = lock(&self.context.dispatch);
        let view = dispatch.dispatcher.view(self.selected.upstream)?;
        Some(view.record)
    }

    /// Returns how the request came to be sent, if its service is contended.
    pub fn queueing(&self) -> Option<QueueingFields> {
        self.selected.queueing.map(|queueing| QueueingFields {
            rank: queueing.rank,
            queued_ms: queueing.waited.as_millis() as u64,
            waiting: queueing.waiting,
            in_flight: queueing.in_flight,
            window: queueing.window as u64,
        })
    }

    /// Returns the id of the upstream that would have been selected if its limit allowed another request.
    pub fn instead_of(&self) -> Option<SmolStr> {
        self.context.upstream_id(self.selected.instead_of?)
    }

    /// Whether the request may still be sent to the upstream, now that its connection is established.
    pub fn may_be_sent(&self, requirements: &RequestRequirements) -> bool {
        let now = self.context.now();
        let mut dispatch = lock(&self.context.dispatch);
        let dispatcher = &mut dispatch.dispatcher;
        dispatcher.may_serve(now, self.selected.upstream, requirements)
            && dispatcher.starts_in_time(now, &self.selected, requirements)
            && dispatcher.confirm_send(now, &self.selected)
    }

    /// Decides whether a second copy of the request is sent, which was sent at `sent_at`; upstreams of the service
    /// usually respond within `usual`.
    pub fn decide_second_copy(
        &self,
        sent_at: Moment,
        usual: Duration,
        requirements: &RequestRequirements,
    ) -> SecondCopyDecision {
        let now = self.context.now();
        let awaited = AwaitedResponse {
            selected: &self.selected,
            sent_at,
            usual,
        };
        lock(&self.context.dispatch)
            .dispatcher
            .decide_second_copy(now, &awaited, requirements)
    }

    /// Returns the value by which the upstream stated since it was selected that it is slow, if another one is not.
    pub fn find_slow_since_selection(
        &self,
        requirements: &RequestRequirements,
    ) -> Option<StatedServiceTime> {
        let now = self.context.now();
        lock(&self.context.dispatch)
            .dispatcher
            .find_slow_since_selection(now, &self.selected, requirements)
    }

    /// Returns the relative service time that the upstream stated last.
    pub fn stated_service_time(&self) -> Option<StatedServiceTime> {
        let now = self.context.now();
        let dispatch = lock(&self.context.dispatch);
        dispatch
            .dispatcher
            .stated_service_time(now, self.selected.upstream)
    }

    /// Returns the version of a model that the upstream serves, if it is known.
    pub fn served_version(&self, model: &str) -> Option<ServedVersion> {
        let dispatch = lock(&self.context.dispatch);
        dispatch
            .dispatcher
            .served_version(self.selected.upstream, model)
    }

    /// Waits until a request that has not started must be recalled from the version that the upstream serves; returns
    /// how long ago that was due.
    ///
    /// `version_at_send` is the version that it served when the request was sent. This version applies if the
    /// upstream is no longer listed, since an upstream that leaves still starts the requests that wait there.
    pub async fn wait_until_overdue(&self, model: &str, version_at_send: u64) -> Duration {
        let mut changes = self.context.start_deadlines_changed.subscribe();
        loop {
            let now = self.context.now();
            let recall_at = lock(&self.context.dispatch).dispatcher.recall_at(
                now,
                self.selected.upstream,
                model,
                version_at_send,
            );
            match recall_at {
                Some(recall_at) => {
                    if now >= recall_at {
                        return now - recall_at;
                    }
                    let remaining = recall_at - now;
                    // The time is evaluated again, whether it has passed or changed.
                    let _ = actix_rt::time::timeout(remaining, changes.changed()).await;
                }
                None if changes.changed().await.is_err() => std::future::pending().await,
                None => {}
            }
        }
    }

    /// Whether the upstream is switching its weights, which breaks off the requests that run there.
    pub fn is_switching(&self) -> bool {
        let dispatch = lock(&self.context.dispatch);
        let view = dispatch.dispatcher.view(self.selected.upstream);
        view.is_some_and(|view| view.switching)
    }

    /// Records that a response reports its sender to be leaving; returns whether that was unknown.
    ///
    /// A `misdirected` response came from another upstream at the same address.
    pub fn mark_leaving(&self, misdirected: bool) -> bool {
        lock(&self.context.dispatch)
            .dispatcher
            .mark_leaving(self.selected.upstream, misdirected)
    }

    /// Starts a backoff of the upstream, which asked for `requested` if that could be parsed; returns the
    /// effective duration.
    pub fn start_backoff(&self, requested: Option<Duration>) -> Duration {
        let now = self.context.now();
        lock(&self.context.dispatch)
            .dispatcher
            .back_off(now, self.selected.upstream, requested)
    }

    /// Records the load that a response reports.
    pub fn record_load(&self, load: &InstanceLoad) {
        let now = self.context.now();
        let key = self.selected.upstream;
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            service_time_percent: load.service_time_percent,
        };
        lock(&self.context.dispatch)
            .dispatcher
            .record_load(now, key, report);
    }

    /// Records that the first event has arrived, in the dispatcher and in the metrics.
    pub fn record_first_event(&mut self) {
        let elapsed = self.context.now().saturating_sub(self.selected.assigned_at);
        let unprocessed_prompt_tokens = std::mem::take(&mut self.unprocessed_prompt_tokens);
        let now = self.context.now();
        let metrics = &self.context.metrics;
        metrics.first_byte.observe(elapsed.as_secs_f64());
        let expected = self.selected.expected_ms / 1e3;
        if expected > 0.0 {
            let ratio = elapsed.as_secs_f64() / expected;
            metrics.mesh.first_event_ratio.observe(ratio);
        }
        let observation = lock(&self.context.dispatch).dispatcher.record_first_event(
            now,
            &self.selected,
            unprocessed_prompt_tokens,
            elapsed.as_secs_f64() * 1e3,
        );
        let state = match observation {
            Observation::None => return,
            observed => observed.to_string(),
        };
        let counter = metrics
            .mesh
            .prompt_cache
            .get_or_create(&StateLabels { state });
        counter.inc();
    }

    /// Sets the outcome that is recorded when the guard is dropped; a cancellation by default.
    pub fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let now = self.context.now();
        lock(&self.context.dispatch).dispatcher.record_outcome(
            now,
            self.selected.upstream,
            self.unprocessed_prompt_tokens,
            self.outcome,
        );
        if self.context.has_waiting() {
            self.context.deliver_decisions();
        }
    }
}
