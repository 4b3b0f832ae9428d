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

/// Labels of the request counter.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RequestLabels {
    /// The pool.
    pub pool: String,
    /// `ran`, `not-run` or `unknown`.
    pub outcome: String,
    /// Why it did not run, or empty.
    pub refusal: String,
}

/// All metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Attempts beyond the first.
    pub retries: Counter,
    /// Upstreams left out after failures.
    pub ejections: Counter,
    /// Time to the first byte of an answer.
    pub first_byte: Histogram,
    /// Requests that run on the upstream.
    pub running: Gauge,
    /// Requests that wait at the sidecar.
    pub waiting: Gauge,
    /// Requests that may run at once.
    pub limit: Gauge,
    /// Declaration revision in force.
    pub revision: Gauge<i64, AtomicI64>,
    /// Calls to the configuration service.
    pub service_calls: Counter<u64, AtomicU64>,
    /// Bytes drawn from the origin of weights.
    pub origin_bytes: Counter,
    /// Bytes of weights drawn from peers.
    pub peer_bytes: Counter,
    /// Chunks whose hash did not match.
    pub corrupt_chunks: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        // From 1 ms to about 16 s.
        let first_byte = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let mut metrics = Self {
            registry: Registry::with_prefix("balsamjunction"),
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
}

impl Metrics {
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

    /// Writes all metrics as OpenMetrics text.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut buf = String::new();
        encode(&mut buf, &self.registry)?;
        Ok(buf)
    }
}
