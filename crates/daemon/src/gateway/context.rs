//! What all threads of a gateway share.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, AtomicUsize},
        Arc, Mutex,
    },
    time::Duration,
};

use balsamjunction_policy::{
    dispatch::{
        AttemptOutcome, DispatchDecision, DispatchRefusal, Dispatcher, RequestRequirements,
        SelectedUpstream, ServedVersion, UpstreamCondition, UpstreamKey, WaitKey,
    },
    retry_window::{RetryWindowSettings, WindowedRetryBudget},
    Moment,
};
use balsamjunction_protocol::mesh::ProcessRole;
use balsamjunction_settings::GatewaySettings;
use smol_str::SmolStr;
use strum::IntoEnumIterator;
use tokio::sync::{oneshot, watch, Notify};

use crate::{
    mesh::ClusterView,
    metrics::{Metrics, RefreshGauges, ServiceLabels, StateLabels},
    process::Lifecycle,
    sync::lock,
};

/// How often requests that wait are looked at.
const GRANT_TICK: Duration = Duration::from_millis(8);
/// How often time-dependent beliefs are taken over though nothing changed.
const FOLLOW_TICK: Duration = Duration::from_millis(400);
/// Part of the time for a revocation after which a belief is too old to admit a key. What is left
/// covers the way of the request and a late wake-up.
const REVOCATION_PART: f64 = 0.86;
/// Part of the time for a revocation after which the balancer is told to send callers elsewhere.
const READY_PART: f64 = 0.7;

/// What all threads of a gateway share.
pub struct GatewayContext {
    /// This host's name.
    pub host: SmolStr,
    /// What this process believes about the fleet.
    pub cluster_view: Arc<ClusterView>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Whether a stop was asked for.
    pub lifecycle: Lifecycle,
    /// Whether new requests are turned away because the process is about to end.
    pub refusing: AtomicBool,
    /// Requests whose answer is not complete.
    pub in_progress: AtomicUsize,
    revoke_within: Option<Duration>,
    dispatch: Mutex<Dispatch>,
    allowances: Mutex<HashMap<SmolStr, WindowedRetryBudget>>,
    retry_bound: RetryWindowSettings,
    slack_from: Moment,
    wake: Notify,
    /// Counts changes of the times by which requests must begin on older versions.
    version_times: watch::Sender<u64>,
}

struct Dispatch {
    dispatcher: Dispatcher,
    waiting: HashMap<WaitKey, oneshot::Sender<Result<SelectedUpstream, DispatchRefusal>>>,
}

impl GatewayContext {
    /// A context that knows no upstream yet.
    pub fn new(
        settings: &GatewaySettings,
        cluster_view: Arc<ClusterView>,
        metrics: Arc<Metrics>,
        dispatcher: Dispatcher,
        retry_bound: RetryWindowSettings,
    ) -> Self {
        let slack_from = match settings.first_start {
            true => Moment::ZERO,
            false => cluster_view.clock.now() + retry_bound.window,
        };
        Self {
            host: settings.mesh.host.clone(),
            cluster_view,
            metrics,
            lifecycle: Lifecycle::default(),
            refusing: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            revoke_within: settings.revoke_within,
            dispatch: Mutex::new(Dispatch {
                dispatcher,
                waiting: HashMap::new(),
            }),
            allowances: Mutex::default(),
            retry_bound,
            slack_from,
            wake: Notify::new(),
            version_times: watch::channel(0).0,
        }
    }

    /// The time.
    pub fn now(&self) -> Moment {
        self.cluster_view.clock.now()
    }

    /// Whether the facts are fresh enough that a key in them has surely not been taken away longer
    /// ago than may be.
    pub fn keys_are_current(&self) -> bool {
        self.fresher_than(REVOCATION_PART)
    }

    fn fresher_than(&self, part: f64) -> bool {
        let Some(age) = self.cluster_view.facts_age() else {
            return false;
        };
        let bound = self.revoke_within.map(|bound| bound.mul_f64(part));
        bound.is_none_or(|bound| age < bound)
    }

    /// Whether the balancer should send callers here.
    pub fn ready(&self) -> bool {
        !self.lifecycle.is_stopping()
            && self.cluster_view.directory().route_table.is_some()
            && self.fresher_than(READY_PART)
    }

    fn entry_count(&self) -> usize {
        self.cluster_view
            .with_members(|members, now| members.share_count(now, ProcessRole::Entry))
    }

    /// Finds an upstream for a request, waiting for one if need be.
    pub async fn place(
        self: &Arc<Self>,
        demand: RequestRequirements,
    ) -> Result<Flight, DispatchRefusal> {
        let prompt = demand.prompt_tokens;
        let waiting = {
            let mut dispatch = lock(&self.dispatch);
            match dispatch.dispatcher.submit(self.now(), demand) {
                DispatchDecision::Send(chosen) => {
                    return Ok(Flight::new(self.clone(), chosen, prompt));
                }
                DispatchDecision::Refuse(refused) => return Err(refused),
                DispatchDecision::Wait(key) => {
                    let (tx, rx) = oneshot::channel();
                    dispatch.waiting.insert(key, tx);
                    Waiter {
                        context: self.clone(),
                        key,
                        prompt,
                        rx,
                    }
                }
            }
        };
        self.wake.notify_one();
        let since = self.now();
        let verdict = waiting.verdict().await;
        let waited = self.now().saturating_sub(since);
        self.metrics.mesh.queue_wait.observe(waited.as_secs_f64());
        verdict
    }

    /// Gives requests that wait their verdicts, if there are any.
    fn grant(&self) {
        let mut dispatch = lock(&self.dispatch);
        let now = self.now();
        for (key, verdict) in dispatch.dispatcher.poll(now) {
            let Some(tx) = dispatch.waiting.remove(&key) else {
                continue;
            };
            let sent = match verdict {
                DispatchDecision::Send(chosen) => tx.send(Ok(chosen)),
                DispatchDecision::Refuse(refused) => tx.send(Err(refused)),
                DispatchDecision::Wait(_) => continue,
            };
            // The caller has left since; its place goes to the next one.
            if let Err(Ok(chosen)) = sent {
                dispatch.dispatcher.record_outcome(
                    now,
                    chosen.upstream,
                    0.0,
                    AttemptOutcome::Cancelled,
                );
            }
        }
    }

    fn begin_by(&self, model: &str, version: u64) -> Option<Moment> {
        lock(&self.dispatch)
            .dispatcher
            .start_deadline(model, version)
    }

    /// Whether no request may begin on a version any more.
    pub fn overdue(&self, model: &str, version: u64) -> bool {
        let begin_by = self.begin_by(model, version);
        begin_by.is_some_and(|by| by < self.now())
    }

    fn any_waiting(&self) -> bool {
        lock(&self.dispatch).dispatcher.has_waiting()
    }

    /// Notes a caller's request for a service.
    pub fn count_request(&self, service: &SmolStr) {
        let now = self.now();
        let mut allowances = lock(&self.allowances);
        allowances
            .entry(service.clone())
            .or_insert_with(|| WindowedRetryBudget::new(self.retry_bound, self.slack_from))
            .record_request(now);
    }

    /// Takes one retry for a service, if one is left.
    pub fn spend_retry(&self, service: &SmolStr) -> bool {
        let entries = self.entry_count();
        let now = self.now();
        let mut allowances = lock(&self.allowances);
        let allowance = allowances.get_mut(service);
        let spent = allowance.is_some_and(|allowance| allowance.try_withdraw(now, entries));
        if spent {
            self.metrics.retries.inc();
        }
        spent
    }

    fn configure(&self) {
        let directory = self.cluster_view.directory();
        let engines = self.cluster_view.engine_statuses();
        let entries = self
            .cluster_view
            .with_members(|members, now| members.entries(now));
        let times_changed = lock(&self.dispatch)
            .dispatcher
            .configure(&directory, &engines, entries);
        if times_changed {
            self.version_times.send_modify(|n| *n += 1);
        }
        self.grant();
    }
}

impl RefreshGauges for GatewayContext {
    fn refresh(&self, metrics: &Metrics) {
        self.cluster_view.refresh(metrics);
        let now = self.now();
        let census = lock(&self.dispatch).dispatcher.count_by_condition(now);
        for condition in UpstreamCondition::iter() {
            let count = census.get(&condition).copied().unwrap_or_default();
            let state = condition.to_string();
            let gauge = metrics.mesh.upstreams.get_or_create(&StateLabels { state });
            gauge.set(count as i64);
        }
        let entries = self.entry_count();
        for (service, allowance) in lock(&self.allowances).iter_mut() {
            let service = service.to_string();
            let left = metrics
                .mesh
                .retries_left
                .get_or_create(&ServiceLabels { service });
            left.set(allowance.remaining(now, entries) as i64);
        }
    }
}

/// Keeps the dispatcher in step with beliefs.
pub async fn follow_cluster_view(context: Arc<GatewayContext>) {
    let mut changes = context.cluster_view.subscribe();
    loop {
        context.configure();
        // The timeout is no failure: some beliefs change with time alone.
        let changed = actix_rt::time::timeout(FOLLOW_TICK, changes.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            return;
        }
    }
}

/// Looks at requests that wait for as long as any does.
pub async fn grant_loop(context: Arc<GatewayContext>) {
    loop {
        context.wake.notified().await;
        while context.any_waiting() {
            actix_rt::time::sleep(GRANT_TICK).await;
            context.grant();
        }
    }
}

struct Waiter {
    context: Arc<GatewayContext>,
    key: WaitKey,
    prompt: f64,
    rx: oneshot::Receiver<Result<SelectedUpstream, DispatchRefusal>>,
}

impl Waiter {
    async fn verdict(mut self) -> Result<Flight, DispatchRefusal> {
        let verdict = (&mut self.rx).await;
        let none = DispatchRefusal {
            reason: balsamjunction_policy::dispatch::RefusalReason::NoUpstream,
            retry_after: Duration::from_secs(1),
        };
        let chosen = verdict.unwrap_or(Err(none))?;
        Ok(Flight::new(self.context.clone(), chosen, self.prompt))
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut dispatch = lock(&self.context.dispatch);
        dispatch.dispatcher.cancel_wait(self.key);
        dispatch.waiting.remove(&self.key);
        // A verdict that came while the caller left would otherwise hold its place for ever.
        if let Ok(Ok(chosen)) = self.rx.try_recv() {
            let now = self.context.now();
            let prompt = self.prompt;
            dispatch.dispatcher.record_outcome(
                now,
                chosen.upstream,
                prompt,
                AttemptOutcome::Cancelled,
            );
        }
    }
}

/// A request's place at an upstream, given back when it is dropped.
pub struct Flight {
    context: Arc<GatewayContext>,
    chosen: SelectedUpstream,
    unread: f64,
    began: Moment,
    ending: AttemptOutcome,
}

impl Flight {
    fn new(context: Arc<GatewayContext>, chosen: SelectedUpstream, prompt: f64) -> Self {
        let began = context.now();
        Self {
            context,
            chosen,
            unread: prompt,
            began,
            ending: AttemptOutcome::Cancelled,
        }
    }

    /// The upstream.
    pub fn upstream(&self) -> UpstreamKey {
        self.chosen.upstream
    }

    /// When the first event was expected, in milliseconds after the send.
    pub fn expected_ms(&self) -> f64 {
        self.chosen.expected_ms
    }

    /// The upstream's address and id, unless it is gone.
    pub fn target(&self) -> Option<balsamjunction_directory::UpstreamRecord> {
        let dispatch = lock(&self.context.dispatch);
        let view = dispatch.dispatcher.view(self.chosen.upstream)?;
        Some(view.record)
    }

    /// Whether the request may still go to the upstream.
    pub fn may_be_sent(&self, demand: &RequestRequirements) -> bool {
        let now = self.context.now();
        let dispatch = lock(&self.context.dispatch);
        dispatch
            .dispatcher
            .may_serve(now, self.chosen.upstream, demand)
    }

    /// The version of a model that the upstream serves, as far as it is known.
    pub fn served_version(&self, model: &str) -> Option<ServedVersion> {
        let dispatch = lock(&self.context.dispatch);
        dispatch
            .dispatcher
            .served_version(self.chosen.upstream, model)
    }

    /// Waits until no request may begin any more on the version that the upstream serves.
    ///
    /// `sent_to` is the version that it served when the request was sent; it counts if the upstream is
    /// no longer listed, since one that leaves still begins what waits there.
    pub async fn until_overdue(&self, model: &str, sent_to: u64) {
        let mut changes = self.context.version_times.subscribe();
        loop {
            let begin_by = match self.served_version(model) {
                Some(served) => served.start_deadline,
                None => self.context.begin_by(model, sent_to),
            };
            match begin_by {
                Some(by) => {
                    let left = by.saturating_sub(self.context.now());
                    if left.is_zero() {
                        return;
                    }
                    // Whether the time is over or has changed, it is looked at again.
                    let _ = actix_rt::time::timeout(left, changes.changed()).await;
                }
                None if changes.changed().await.is_err() => std::future::pending().await,
                None => {}
            }
        }
    }

    /// Whether the upstream takes other weights now, which breaks off what runs there.
    pub fn turning(&self) -> bool {
        let dispatch = lock(&self.context.dispatch);
        let view = dispatch.dispatcher.view(self.chosen.upstream);
        view.is_some_and(|view| view.switching)
    }

    /// Notes that an answer says that its sender leaves; tells whether that is news.
    pub fn leaves(&self, misdirected: bool) -> bool {
        lock(&self.context.dispatch)
            .dispatcher
            .mark_leaving(self.chosen.upstream, misdirected)
    }

    /// Notes that the upstream wants nothing for a while; gives the time for which it is left alone.
    pub fn rests(&self, asked: Option<Duration>) -> Duration {
        let now = self.context.now();
        lock(&self.context.dispatch)
            .dispatcher
            .back_off(now, self.chosen.upstream, asked)
    }

    /// Notes the load that an answer shows.
    pub fn load(&self, running: u32, waiting: u32) {
        let now = self.context.now();
        let key = self.chosen.upstream;
        lock(&self.context.dispatch)
            .dispatcher
            .record_load(now, key, running, waiting);
    }

    /// Notes that the first event has come.
    pub fn first_event(&mut self) {
        let took = self.context.now().saturating_sub(self.began);
        let unread = std::mem::take(&mut self.unread);
        let now = self.context.now();
        let metrics = &self.context.metrics;
        metrics.first_byte.observe(took.as_secs_f64());
        let expected = self.chosen.expected_ms / 1e3;
        if expected > 0.0 {
            let ratio = took.as_secs_f64() / expected;
            metrics.mesh.first_event_ratio.observe(ratio);
        }
        lock(&self.context.dispatch).dispatcher.record_first_event(
            now,
            &self.chosen,
            unread,
            took.as_secs_f64() * 1e3,
        );
    }

    /// Says what came of the request; counts when the flight is dropped.
    pub fn end_as(&mut self, ending: AttemptOutcome) {
        self.ending = ending;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.context.now();
        lock(&self.context.dispatch).dispatcher.record_outcome(
            now,
            self.chosen.upstream,
            self.unread,
            self.ending,
        );
        if self.context.any_waiting() {
            self.context.grant();
        }
    }
}
