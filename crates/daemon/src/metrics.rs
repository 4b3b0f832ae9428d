//! Metrics in the OpenMetrics format.

use std::{
    fmt,
    sync::atomic::{AtomicI64, AtomicU64},
};

use prometheus_client::{
    encoding::{text::encode, EncodeLabelSet},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{exponential_buckets, Histogram},
    },
    registry::{Registry, Unit},
};

/// Prefix of the names of all metrics.
const PREFIX: &str = "balsamjunction";

/// Labels of the request counter.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the pool or route.
    pub pool: String,
    /// `ran`, `not-run` or `unknown`; at gateways the HTTP status code.
    pub outcome: String,
    /// Why the request was refused; empty if it was not.
    pub refusal: String,
}

/// Label of metrics by service.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the service.
    pub service: String,
}

/// Label of metrics by data centre.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct DataCentreLabels {
    /// Name of the data centre.
    pub data_centre: String,
}

/// Label of metrics by state.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct StateLabels {
    /// Name of the state, role of a process, purpose of a version with its model, or cause of an interruption.
    pub state: String,
}

/// Metrics of gateways and stagers only.
#[derive(Debug)]
pub struct MeshMetrics {
    /// Queueing time of requests that waited for an upstream, in seconds.
    pub queue_wait: Histogram,
    /// Longest pause between two events of a stream, in seconds.
    pub longest_pause: Histogram,
    /// Time to the first event as a multiple of the expected time.
    pub first_event_ratio: Histogram,
    /// Retries left in the retry budget of the present window, by service.
    pub retries_left: Family<ServiceLabels, Gauge>,
    /// Age of the replica of the facts, in seconds.
    pub facts_age: Gauge<f64, AtomicU64>,
    /// Processes that are considered live, by role.
    pub members: Family<StateLabels, Gauge>,
    /// Number of upstreams by state.
    pub upstreams: Family<StateLabels, Gauge>,
    /// Versions of the weights: the target version, and the version that the engine on this host serves.
    pub weights: Family<StateLabels, Gauge>,
    /// Chunks that a waiting fetch lacks, by what is known of their owner.
    pub missing_chunks: Family<StateLabels, Gauge>,
    /// Log lines that were dropped because the queue was full.
    pub dropped_lines: Counter,
    /// Log lines that were left out by sampling.
    pub sampled_lines: Counter,
    /// Responses that began on an overdue version of the weights.
    pub overdue_answers: Counter,
    /// Requests that were cancelled at upstreams whose version was overdue.
    pub cancelled_requests: Counter,
    /// Time from the deadline by which a request must have started until it is recalled, in seconds.
    pub recall_delay: Histogram,
    /// Upstreams that stated in a response that they are leaving.
    pub leaving_upstreams: Counter,
    /// Responses by which an upstream asked for a backoff (`Retry-After`).
    pub backoff_responses: Counter,
    /// Responses that stated a limit of their sender (`Server-Limit`).
    pub limit_responses: Counter,
    /// Parts of configurations that were requested from peers: `received`, `repeated` or `failed`.
    pub declaration_parts: Family<StateLabels, Counter>,
    /// Age of the configuration in force: time since it was last known to be the latest, in seconds.
    pub declaration_age: Gauge<f64, AtomicU64>,
    /// Bytes of messages to peers and of their responses, by the path of the call.
    pub peer_bytes: Family<StateLabels, Counter>,
    /// Time of calls to peers, in seconds, by the path of the call.
    pub peer_delay: Family<StateLabels, Histogram, fn() -> Histogram>,
    /// Age of changes at their arrival from peers, in seconds, by the kind of their subject.
    pub change_age: Family<StateLabels, Histogram, fn() -> Histogram>,
    /// Reads of the store by outcome: `ok`, or how they failed.
    pub store_reads: Family<StateLabels, Counter>,
    /// Restorations of the store from a copy.
    pub store_restorations: Counter,
    /// Parts of prompts for which requests are refused, since they crash upstreams.
    pub refused_parts: Gauge,
    /// Requests that are refused, since identical ones crash upstreams.
    pub refused_requests: Gauge,
    /// Connections of upstreams that broke under a request.
    pub broken_connections: Counter,
    /// Requests that were sent to another upstream because the limit of the best one was used up.
    pub limit_detours: Counter,
    /// Prompt tokens that upstreams were expected to have cached, of requests sent there.
    pub expected_cached_tokens: Counter,
    /// Requests with an expected saving by what their first event showed: `hit` or `miss`.
    pub prompt_cache: Family<StateLabels, Counter>,
    /// Upstreams that were silent for too long under a request, by what was done.
    pub silences: Family<StateLabels, Counter>,
    /// Age of the relative service time of the selected upstream, in seconds, if it states one.
    pub service_time_age: Histogram,
    /// Delay of the path beyond the usual one that each connection to an upstream showed, in seconds, by the upstream's
    /// data centre.
    pub path_delay: Family<DataCentreLabels, Histogram, fn() -> Histogram>,
    /// Second copies of requests whose first upstream was slow, by what became of them.
    pub second_copies: Family<StateLabels, Counter>,
    /// Requests for which another upstream was selected before they were sent, since the first one was slow.
    pub reselections: Counter,
    /// Interruptions of streams, by cause and by what became of the stream.
    pub stream_interruptions: Family<StateLabels, Counter>,
    /// Connections of callers, by phase.
    pub caller_connections: Family<StateLabels, Gauge>,
    /// Memory that callers hold, by the phase of their connections, in bytes.
    pub caller_memory: Family<StateLabels, Gauge>,
    /// Connections and bodies of callers that were ended, by reason.
    pub caller_closes: Family<StateLabels, Counter>,
}

impl MeshMetrics {
    fn new(r: &mut Registry) -> Self {
        // From 1 ms to about 4 s.
        let times = || Histogram::new(exponential_buckets(0.001, 2.0, 13));
        let metrics = Self {
            queue_wait: times(),
            longest_pause: times(),
            first_event_ratio: Histogram::new(exponential_buckets(0.25, 1.5, 12)),
            retries_left: Family::default(),
            facts_age: Gauge::default(),
            members: Family::default(),
            upstreams: Family::default(),
            weights: Family::default(),
            missing_chunks: Family::default(),
            dropped_lines: Counter::default(),
            sampled_lines: Counter::default(),
            overdue_answers: Counter::default(),
            cancelled_requests: Counter::default(),
            recall_delay: times(),
            leaving_upstreams: Counter::default(),
            backoff_responses: Counter::default(),
            limit_responses: Counter::default(),
            declaration_parts: Family::default(),
            declaration_age: Gauge::default(),
            peer_bytes: Family::default(),
            peer_delay: Family::new_with_constructor(delay_histogram),
            change_age: Family::new_with_constructor(delay_histogram),
            store_reads: Family::default(),
            store_restorations: Counter::default(),
            refused_parts: Gauge::default(),
            refused_requests: Gauge::default(),
            broken_connections: Counter::default(),
            limit_detours: Counter::default(),
            expected_cached_tokens: Counter::default(),
            prompt_cache: Family::default(),
            silences: Family::default(),
            service_time_age: times(),
            path_delay: Family::new_with_constructor(path_delay_histogram),
            second_copies: Family::default(),
            reselections: Counter::default(),
            stream_interruptions: Family::default(),
            caller_connections: Family::default(),
            caller_memory: Family::default(),
            caller_closes: Family::default(),
        };
        let m = &metrics;
        let seconds = Unit::Seconds;
        let waits = "Waits for an upstream";
        r.register_with_unit("queue_wait", waits, seconds.clone(), m.queue_wait.clone());
        let pauses = "Longest pause of a stream";
        r.register_with_unit("pause", pauses, seconds.clone(), m.longest_pause.clone());
        let ratio = "First event against the estimate";
        r.register("first_event_ratio", ratio, m.first_event_ratio.clone());
        let left = "Retries left in the window";
        r.register("retries_left", left, m.retries_left.clone());
        let age = "Age of the facts";
        r.register_with_unit("facts_age", age, seconds.clone(), m.facts_age.clone());
        let age = "Age of the relative service time of the selected upstream";
        let ages = m.service_time_age.clone();
        r.register_with_unit("service_time_age", age, seconds.clone(), ages);
        let up = "Processes believed to be up, by role";
        r.register("members", up, m.members.clone());
        r.register("upstreams", "Upstreams by state", m.upstreams.clone());
        r.register("weights", "Versions of weights", m.weights.clone());
        r.register(
            "missing_chunks",
            "Chunks that a waiting fetch lacks, by the state of their owner",
            m.missing_chunks.clone(),
        );
        let dropped = "Log lines that found the queue full";
        r.register("dropped_lines", dropped, m.dropped_lines.clone());
        let sampled = "Log lines left out under load";
        r.register("sampled_lines", sampled, m.sampled_lines.clone());
        let overdue = "Answers begun on an overdue version";
        r.register("overdue_answers", overdue, m.overdue_answers.clone());
        let recalls = "Requests recalled from overdue versions";
        r.register("recalls", recalls, m.cancelled_requests.clone());
        let delays = "Time by which recalls are late";
        let delay = m.recall_delay.clone();
        r.register_with_unit("recall_delay", delays, seconds.clone(), delay);
        let leaving = "Upstreams that said that they leave";
        r.register("leaving_upstreams", leaving, m.leaving_upstreams.clone());
        let rests = "Answers by which an upstream wanted nothing for a while";
        r.register("rests", rests, m.backoff_responses.clone());
        let limits = "Responses that stated a limit of their upstream";
        r.register("limit_responses", limits, m.limit_responses.clone());
        let parts = "Parts of configurations requested from peers, by outcome";
        r.register("declaration_parts", parts, m.declaration_parts.clone());
        let bytes = "Bytes of calls to peers, by path";
        r.register("peer_bytes", bytes, m.peer_bytes.clone());
        let delays = "Time of calls to peers, by path";
        let peer_delay = m.peer_delay.clone();
        r.register_with_unit("peer_delay", delays, seconds.clone(), peer_delay);
        let ages = "Age of changes at their arrival, by subject";
        let change_age = m.change_age.clone();
        r.register_with_unit("change_age", ages, seconds.clone(), change_age);
        let age = "Age of the configuration in force";
        let ages = m.declaration_age.clone();
        r.register_with_unit("declaration_age", age, seconds, ages);
        let reads = "Reads of the store by outcome";
        r.register("store_reads", reads, m.store_reads.clone());
        let restored = "Restorations of the store from a copy";
        r.register("store_restorations", restored, m.store_restorations.clone());
        let refused = "Parts of prompts that are refused, since they crash upstreams";
        r.register("refused_prompt_parts", refused, m.refused_parts.clone());
        let refused = "Requests that are refused, since identical ones crash upstreams";
        r.register("refused_requests", refused, m.refused_requests.clone());
        let broken = "Connections of upstreams that broke under a request";
        r.register("broken_connections", broken, m.broken_connections.clone());
        let detours = "Requests sent elsewhere because of a limit";
        r.register("limit_detours", detours, m.limit_detours.clone());
        let tokens = "Prompt tokens that upstreams were expected to have cached";
        let expected = m.expected_cached_tokens.clone();
        r.register("expected_cached_tokens", tokens, expected);
        let observed = "Expected savings by what the first event showed";
        r.register("prompt_cache", observed, m.prompt_cache.clone());
        let silences = "Silent upstreams by what was done";
        r.register("silences", silences, m.silences.clone());
        let delays = "Delay of the path to an upstream, beyond the usual one";
        let path_delay = m.path_delay.clone();
        r.register_with_unit("path_delay", delays, Unit::Seconds, path_delay);
        let copies = "Second copies of requests at slow upstreams by what became of them";
        r.register("second_copies", copies, m.second_copies.clone());
        let reselected =
            "Requests sent to another upstream than the one selected, since it was slow";
        r.register("reselections", reselected, m.reselections.clone());
        let interrupted = "Interruptions of streams by cause";
        let interruptions = m.stream_interruptions.clone();
        r.register("stream_interruptions", interrupted, interruptions);
        let connections = "Connections of callers by phase";
        r.register(
            "caller_connections",
            connections,
            m.caller_connections.clone(),
        );
        let memory = "Memory that callers hold, by phase of their connections";
        let bytes = Unit::Bytes;
        r.register_with_unit("caller_memory", memory, bytes, m.caller_memory.clone());
        let closes = "Connections and bodies of callers that were ended, by reason";
        r.register("caller_closes", closes, m.caller_closes.clone());
        metrics
    }
}

/// From 1 ms to about 4 s.
fn delay_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 13))
}

/// From 50 ms, the smallest delay that counts, to 3.2 s.
fn path_delay_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.05, 2.0, 7))
}

/// Updates gauges right before they are read, so that they cost nothing between reads.
pub trait RefreshGauges: Send + Sync {
    /// Sets the gauges that this object has values for.
    fn refresh(&self, metrics: &Metrics);
}

/// All metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by pool, outcome and refusal.
    pub requests: Family<RequestLabels, Counter>,
    /// Attempts beyond the first.
    pub retries: Counter,
    /// Ejections of upstreams after failures.
    pub ejections: Counter,
    /// Time to the first byte of a response, in seconds.
    pub first_byte: Histogram,
    /// Requests that are running on the upstream.
    pub running: Gauge,
    /// Requests that are queued at the sidecar.
    pub waiting: Gauge,
    /// Concurrency limit of the upstream.
    pub limit: Gauge,
    /// Revision of the declaration in force.
    pub revision: Gauge<i64, AtomicI64>,
    /// Calls to the configuration service.
    pub service_calls: Counter<u64, AtomicU64>,
    /// Bytes of weights fetched from the origin.
    pub origin_bytes: Counter,
    /// Bytes of weights fetched from peers.
    pub peer_bytes: Counter,
    /// Chunks whose hash did not match.
    pub corrupt_chunks: Counter,
    /// Metrics that only gateways and stagers set.
    pub mesh: MeshMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::with_prefix(PREFIX);
        // Other roles do not export the metrics of gateways and stagers.
        Self::new(registry, MeshMetrics::new(&mut Registry::default()))
    }
}

impl Metrics {
    /// Creates the metrics of a gateway or a stager.
    pub fn for_mesh() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let mesh = MeshMetrics::new(&mut registry);
        Self::new(registry, mesh)
    }

    fn new(registry: Registry, mesh: MeshMetrics) -> Self {
        // From 1 ms to about 16 s.
        let first_byte = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let mut metrics = Self {
            mesh,
            registry,
            requests: Family::default(),
            retries: Counter::default(),
            ejections: Counter::default(),
            first_byte,
            running: Gauge::default(),
            waiting: Gauge::default(),
            limit: Gauge::default(),
            revision: Gauge::default(),
            service_calls: Counter::default(),
            origin_bytes: Counter::default(),
            peer_bytes: Counter::default(),
            corrupt_chunks: Counter::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests by outcome", self.requests.clone());
        r.register("retries", "Attempts beyond the first", self.retries.clone());
        r.register("ejections", "Upstreams left out", self.ejections.clone());
        r.register_with_unit(
            "first_byte",
            "Time to the first byte of an answer",
            Unit::Seconds,
            self.first_byte.clone(),
        );
        r.register("running", "Requests on the upstream", self.running.clone());
        r.register("waiting", "Requests that wait", self.waiting.clone());
        r.register("limit", "Requests that may run at once", self.limit.clone());
        r.register("revision", "Declaration in force", self.revision.clone());
        r.register(
            "service_calls",
            "Calls to the configuration service",
            self.service_calls.clone(),
        );
        r.register_with_unit(
            "origin",
            "Weights drawn from the origin",
            Unit::Bytes,
            self.origin_bytes.clone(),
        );
        r.register_with_unit(
            "peer",
            "Weights drawn from peers",
            Unit::Bytes,
            self.peer_bytes.clone(),
        );
        r.register(
            "corrupt_chunks",
            "Chunks whose hash did not match",
            self.corrupt_chunks.clone(),
        );
    }

    /// Encodes all metrics as OpenMetrics text.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut buf = String::new();
        encode(&mut buf, &self.registry)?;
        Ok(buf)
    }
}
