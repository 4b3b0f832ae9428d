//! State that all threads of a gateway share.

mod in_flight;

use std::{
    collections::{HashMap, HashSet},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use balsamjunction_directory::{Directory, UpstreamRecord};
use balsamjunction_policy::{
    dispatch::{
        AttemptOutcome, DispatchDecision, DispatchRefusal, Dispatcher, RequestRequirements,
        SelectedUpstream, UpstreamCondition, UpstreamKey, WaitKey,
    },
    retry_window::{RetryWindowSettings, WindowedRetryBudget},
    silence::ResponseTimes,
    Moment,
};
use balsamjunction_protocol::mesh::ProcessRole;
use balsamjunction_settings::GatewaySettings;
use smol_str::SmolStr;
use strum::IntoEnumIterator;
use tokio::sync::{oneshot, watch, Notify};

pub use self::in_flight::InFlightRequest;
use super::{callers::Callers, lifecycle::StopSignal};
use crate::{
    mesh::ClusterView,
    metrics::{Metrics, RefreshGauges, ServiceLabels, StateLabels},
    process::Lifecycle,
    sync::lock,
};

/// Interval at which waiting requests are offered to the dispatcher again.
const WAITING_POLL_INTERVAL: Duration = Duration::from_millis(8);
/// Interval at which the dispatcher is configured without a change, since parts of the view depend on time.
const CONFIGURE_INTERVAL: Duration = Duration::from_millis(400);
/// Fraction of the time limit for a revocation after which the facts are too old to accept an API key. The
/// rest covers the request's transit and late wake-ups.
const KEY_MAX_AGE_FRACTION: f64 = 0.86;
/// Fraction of the time limit for a revocation after which the readiness check fails, so that the load
/// balancer sends callers elsewhere.
const READY_MAX_AGE_FRACTION: f64 = 0.7;

/// State that all threads of a gateway share.
pub struct GatewayContext {
    /// This host's name.
    pub host: SmolStr,
    /// This process's view of the fleet.
    pub cluster_view: Arc<ClusterView>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The connections of callers.
    pub callers: Arc<Callers>,
    /// Whether the process has been asked to stop.
    pub lifecycle: Lifecycle,
    /// When the process was asked to stop.
    pub stop_signal: StopSignal,
    /// Number of requests whose response is not complete.
    pub in_progress: AtomicUsize,
    /// Whether the dispatcher has received the upstreams of a configuration.
    upstreams_known: AtomicBool,
    revoke_within: Option<Duration>,
    /// The services whose upstreams keep prompts.
    prompt_keepers: HashSet<SmolStr>,
    dispatch: Mutex<Dispatch>,
    retry_budgets: Mutex<HashMap<SmolStr, WindowedRetryBudget>>,
    retry_window: RetryWindowSettings,
    /// What the upstreams of each service take to respond at present.
    response_times: Mutex<HashMap<SmolStr, ResponseTimes>>,
    retry_slack_from: Moment,
    request_waiting: Notify,
    /// Incremented when the deadlines for starting requests on older versions change.
    start_deadlines_changed: watch::Sender<u64>,
}

struct Dispatch {
    dispatcher: Dispatcher,
    waiting: HashMap<WaitKey, oneshot::Sender<Result<SelectedUpstream, DispatchRefusal>>>,
}

impl GatewayContext {
    /// Creates a context that has no upstreams until the view contains some.
    pub fn new(
        settings: &GatewaySettings,
        cluster_view: Arc<ClusterView>,
        metrics: Arc<Metrics>,
        dispatcher: Dispatcher,
        retry_window: RetryWindowSettings,
    ) -> Self {
        let retry_slack_from = match settings.first_start {
            true => Moment::ZERO,
            false => cluster_view.clock.now() + retry_window.window,
        };
        let clock = cluster_view.clock;
        let callers = Callers::new(clock, settings.memory_mb, settings.descriptors);
        Self {
            host: settings.mesh.host.clone(),
            callers: Arc::new(callers),
            cluster_view,
            metrics,
            lifecycle: Lifecycle::default(),
            stop_signal: StopSignal::default(),
            in_progress: AtomicUsize::new(0),
            upstreams_known: AtomicBool::new(false),
            revoke_within: settings.revoke_within,
            prompt_keepers: settings.prompt_cache.keys().cloned().collect(),
            dispatch: Mutex::new(Dispatch {
                dispatcher,
                waiting: HashMap::new(),
            }),
            retry_budgets: Mutex::default(),
            retry_window,
            response_times: Mutex::default(),
            retry_slack_from,
            request_waiting: Notify::new(),
            start_deadlines_changed: watch::channel(0).0,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Moment {
        self.cluster_view.clock.now()
    }

    /// Returns the facts, and whether they are fresh enough to accept API keys: any key revoked longer ago than the time
    /// limit for a revocation is certainly missing from them.
    pub fn directory_for_keys(&self) -> (Arc<Directory>, bool) {
        let (directory, age) = self.cluster_view.directory_with_age();
        (directory, self.is_fresher_than(age, KEY_MAX_AGE_FRACTION))
    }

    /// Whether facts of an age are fresher than a fraction of the time limit for a revocation.
    fn is_fresher_than(&self, age: Option<Duration>, fraction: f64) -> bool {
        let max_age = self.revoke_within.map(|limit| limit.mul_f64(fraction));
        age.is_some_and(|age| max_age.is_none_or(|max_age| age < max_age))
    }

    /// Whether the load balancer should send callers to this process.
    pub fn is_ready(&self) -> bool {
        !self.lifecycle.is_stopping()
            && self.upstreams_known.load(Ordering::Acquire)
            && self.is_fresher_than(self.cluster_view.declaration_age(), READY_MAX_AGE_FRACTION)
    }

    /// Whether the upstreams of a service keep prompts after their requests.
    pub fn keeps_prompts(&self, service: &str) -> bool {
        self.prompt_keepers.contains(service)
    }

    fn entry_count(&self) -> usize {
        self.cluster_view
            .with_members(|members, now| members.share_count(now, ProcessRole::Entry))
    }

    /// Selects an upstream for a request; waits until one has capacity, for as long as the dispatcher allows.
    pub async fn assign_upstream(
        self: &Arc<Self>,
        requirements: RequestRequirements,
    ) -> Result<InFlightRequest, DispatchRefusal> {
        let prompt_tokens = requirements.prompt_tokens;
        let waiting_request = {
            let mut dispatch = lock(&self.dispatch);
            match dispatch.dispatcher.submit(self.now(), requirements) {
                DispatchDecision::Send(selected) => {
                    return Ok(InFlightRequest::new(self.clone(), selected, prompt_tokens));
                }
                DispatchDecision::Refuse(refusal) => return Err(refusal),
                DispatchDecision::Wait(key) => {
                    let (tx, rx) = oneshot::channel();
                    dispatch.waiting.insert(key, tx);
                    WaitingRequest {
                        context: self.clone(),
                        key,
                        prompt_tokens,
                        rx,
                    }
                }
            }
        };
        self.request_waiting.notify_one();
        let wait_started = self.now();
        let decision = waiting_request.wait_for_decision().await;
        let waited = self.now().saturating_sub(wait_started);
        self.metrics.mesh.queue_wait.observe(waited.as_secs_f64());
        decision
    }

    /// Passes the dispatcher's decisions on waiting requests to their tasks.
    fn deliver_decisions(&self) {
        let mut dispatch = lock(&self.dispatch);
        let now = self.now();
        for (key, decision) in dispatch.dispatcher.poll(now) {
            let Some(tx) = dispatch.waiting.remove(&key) else {
                continue;
            };
            let sent = match decision {
                DispatchDecision::Send(selected) => tx.send(Ok(selected)),
                DispatchDecision::Refuse(refusal) => tx.send(Err(refusal)),
                DispatchDecision::Wait(_) => continue,
            };
            // The request was dropped meanwhile, so its capacity is released for the next one.
            if let Err(Ok(selected)) = sent {
                dispatch.dispatcher.record_outcome(
                    now,
                    selected.upstream,
                    0.0,
                    AttemptOutcome::Cancelled,
                );
            }
        }
    }

    fn start_deadline(&self, model: &str, version: u64) -> Option<Moment> {
        lock(&self.dispatch)
            .dispatcher
            .start_deadline(model, version)
    }

    /// Whether requests must no longer start on a version.
    pub fn is_overdue(&self, model: &str, version: u64) -> bool {
        let deadline = self.start_deadline(model, version);
        deadline.is_some_and(|deadline| deadline < self.now())
    }

    fn has_waiting(&self) -> bool {
        lock(&self.dispatch).dispatcher.has_waiting()
    }

    /// Counts a caller's request for a service, on which the service's retry budget depends.
    pub fn count_request(&self, service: &SmolStr) {
        let now = self.now();
        let mut retry_budgets = lock(&self.retry_budgets);
        retry_budgets
            .entry(service.clone())
            .or_insert_with(|| WindowedRetryBudget::new(self.retry_window, self.retry_slack_from))
            .record_request(now);
    }

    /// Takes one retry from a service's budget; returns whether one was left.
    pub fn spend_retry(&self, service: &SmolStr) -> bool {
        let entries = self.entry_count();
        let now = self.now();
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.get_mut(service);
        let withdrawn = budget.is_some_and(|budget| budget.try_withdraw(now, entries));
        if withdrawn {
            self.metrics.retries.inc();
        }
        withdrawn
    }

    /// Records that an upstream of a service began its response after `took`.
    pub fn record_response_time(&self, service: &SmolStr, took: Duration) {
        let now = self.now();
        let mut response_times = lock(&self.response_times);
        response_times
            .entry(service.clone())
            .or_default()
            .record(now, took);
    }

    /// Returns how long an upstream of a service may be silent, at least `floor`, before a request is also sent to
    /// another one.
    pub fn silence_limit(&self, service: &SmolStr, floor: Duration) -> Duration {
        let now = self.now();
        let response_times = lock(&self.response_times);
        let times = response_times.get(service).copied().unwrap_or_default();
        times.silence_limit(now, floor)
    }

    /// Returns the time within which upstreams of a service usually begin their responses; zero if that is unknown.
    pub fn usual_response_time(&self, service: &SmolStr) -> Duration {
        let response_times = lock(&self.response_times);
        let usual = response_times.get(service).and_then(ResponseTimes::usual);
        usual.unwrap_or_default()
    }

    /// Records the limit that a response of an upstream states, or that it states none, for a request sent
    /// at `sent_at`; returns whether the limit changed.
    pub fn record_limit(
        &self,
        upstream: &UpstreamRecord,
        sent_at: Moment,
        per_s: Option<f64>,
    ) -> bool {
        let upstream = (upstream.id.clone(), upstream.started_at_ms);
        let changed = self.cluster_view.record_limit(sent_at, &upstream, per_s);
        if changed {
            // Requests that are assigned before the change is delivered must keep the limit, too.
            self.apply_limits();
        }
        changed
    }

    /// Applies the limits that upstreams state to the dispatcher.
    fn apply_limits(&self) {
        self.cluster_view.with_limits(|limits, now| {
            lock(&self.dispatch).dispatcher.set_limits(now, limits);
        });
    }

    /// Returns the id of an upstream, unless the dispatcher has removed it.
    pub fn upstream_id(&self, key: UpstreamKey) -> Option<SmolStr> {
        let view = lock(&self.dispatch).dispatcher.view(key)?;
        Some(view.record.id)
    }

    fn configure(&self) {
        let directory = self.cluster_view.directory();
        let engines = self.cluster_view.engine_statuses();
        let entries = self
            .cluster_view
            .with_members(|members, now| members.entries(now));
        let facts_age = self.cluster_view.facts_age().unwrap_or(Duration::MAX);
        let verified_at = self.now().saturating_sub(facts_age);
        let deadlines_changed = {
            let mut dispatch = lock(&self.dispatch);
            dispatch.dispatcher.set_facts_verified_at(verified_at);
            dispatch.dispatcher.configure(&directory, &engines, entries)
        };
        if deadlines_changed {
            self.start_deadlines_changed.send_modify(|n| *n += 1);
        }
        if directory.route_table.is_some() {
            self.upstreams_known.store(true, Ordering::Release);
        }
        // Upstreams may be new, and the number of entries that share a limit may have changed.
        self.apply_limits();
        self.deliver_decisions();
    }
}

impl RefreshGauges for GatewayContext {
    fn refresh(&self, metrics: &Metrics) {
        self.cluster_view.refresh(metrics);
        self.callers.refresh(metrics);
        let now = self.now();
        let counts = lock(&self.dispatch).dispatcher.count_by_condition(now);
        for condition in UpstreamCondition::iter() {
            let count = counts.get(&condition).copied().unwrap_or_default();
            let state = condition.to_string();
            let gauge = metrics.mesh.upstreams.get_or_create(&StateLabels { state });
            gauge.set(count as i64);
        }
        let entries = self.entry_count();
        for (service, budget) in lock(&self.retry_budgets).iter_mut() {
            let service = service.to_string();
            let gauge = metrics
                .mesh
                .retries_left
                .get_or_create(&ServiceLabels { service });
            gauge.set(budget.remaining(now, entries) as i64);
        }
    }
}

/// Configures the dispatcher whenever the cluster view changes.
pub async fn follow_cluster_view(context: Arc<GatewayContext>) {
    let mut changes = context.cluster_view.subscribe();
    loop {
        context.configure();
        // A timeout is no failure: parts of the view change with time alone.
        let changed = actix_rt::time::timeout(CONFIGURE_INTERVAL, changes.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            return;
        }
    }
}

/// Applies the limits that upstreams state whenever one changes.
pub async fn follow_limits(context: Arc<GatewayContext>) {
    let mut changes = context.cluster_view.subscribe_to_limits();
    while changes.changed().await.is_ok() {
        context.apply_limits();
        context.deliver_decisions();
    }
}

/// Polls the dispatcher for as long as requests wait.
pub async fn poll_waiting_loop(context: Arc<GatewayContext>) {
    loop {
        context.request_waiting.notified().await;
        while context.has_waiting() {
            actix_rt::time::sleep(WAITING_POLL_INTERVAL).await;
            context.deliver_decisions();
        }
    }
}

struct WaitingRequest {
    context: Arc<GatewayContext>,
    key: WaitKey,
    prompt_tokens: f64,
    rx: oneshot::Receiver<Result<SelectedUpstream, DispatchRefusal>>,
}

impl WaitingRequest {
    async fn wait_for_decision(mut self) -> Result<InFlightRequest, DispatchRefusal> {
        let decision = (&mut self.rx).await;
        let no_upstream = DispatchRefusal {
            reason: balsamjunction_policy::dispatch::RefusalReason::NoUpstream,
            retry_after: Duration::from_secs(1),
            limited: None,
        };
        let selected = decision.unwrap_or(Err(no_upstream))?;
        Ok(InFlightRequest::new(
            self.context.clone(),
            selected,
            self.prompt_tokens,
        ))
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        let mut dispatch = lock(&self.context.dispatch);
        dispatch.dispatcher.cancel_wait(self.key);
        dispatch.waiting.remove(&self.key);
        // An upstream assigned while the request was being dropped would otherwise keep the capacity forever.
        if let Ok(Ok(selected)) = self.rx.try_recv() {
            let now = self.context.now();
            let prompt_tokens = selected.unread_tokens(self.prompt_tokens);
            dispatch.dispatcher.record_outcome(
                now,
                selected.upstream,
                prompt_tokens,
                AttemptOutcome::Cancelled,
            );
        }
    }
}
