//! Structured log lines on standard output, one for each decision.
//!
//! Lines go through a bounded queue to a writer thread, so that a slow reader of standard output never
//! delays a request. Lines that do not fit into the queue are dropped; a later line reports their number.
//! See docs/OPERATIONS.md, "Explaining a request".

use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{sync_channel, Receiver, SyncSender, TrySendError},
        Mutex,
    },
    time::Duration,
};

use balsamjunction_policy::{rendezvous, sliding_window::SlidingWindowCounter};
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;
use smol_str::SmolStr;

use crate::{
    clock::Clock,
    metrics::{Metrics, RefreshGauges},
    sync::lock,
};

/// Most lines in the queue of the writer thread; about 500 KB.
const MAX_QUEUED_LINES: usize = 2_048;
/// How long the writer collects lines before it writes them in one call.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Lines about requests a second above which they are sampled. A gateway with 0.19 cores proxies about
/// 60 requests a second, with two lines each.
const UNSAMPLED_LINES_PER_S: usize = 240;
/// Above that rate, the lines of one request in this many are written.
const SAMPLED_ONE_IN: u64 = 8;
/// Key of the hash that selects the sampled requests, the same in all processes, so that they select the
/// same requests.
const SAMPLE_KEY: &[u8] = b"log-sample";

/// A decision or a change of state, as it is logged.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// The process started, reloaded its settings, or began to drain.
    Process {
        /// `started`, `reloaded` or `draining`.
        change: &'static str,
        /// The host of the process.
        host: SmolStr,
        /// Free text, such as the settings in force.
        detail: String,
    },
    /// The cluster view of this process changed.
    #[serde(rename = "belief")]
    ClusterViewChanged {
        /// Where the changes were received from.
        source: String,
        /// The revision up to which the replica of the facts is complete.
        revision: u64,
        /// The era of the store in which that revision counts.
        era: u64,
        /// The version of the configuration in force.
        configuration: u64,
        /// Number of facts that were added, changed or removed.
        changed: usize,
    },
    /// A target version of the weights was published, or another time of its publication became known.
    #[serde(rename = "version-named")]
    VersionPublished {
        /// Where the change was received from.
        source: String,
        /// Name of the model.
        model: SmolStr,
        /// The version of its weights.
        version: u64,
        /// Time in milliseconds since any process first learned of the version.
        known_ms: u64,
        /// Time in milliseconds since the earliest moment at which the version may have been published,
        /// from which deadlines count. Absent if the facts had not been read before.
        #[serde(skip_serializing_if = "Option::is_none")]
        since_ms: Option<u64>,
    },
    /// The content of an announced configuration was received from peers.
    DeclarationReceived {
        /// Where its last part was received from.
        source: String,
        /// The version of the configuration.
        configuration: u64,
        /// Bytes received, compressed.
        bytes: usize,
        /// Parts received.
        parts: u32,
        /// Requests that failed, or brought nothing usable.
        failures: u32,
        /// Time in milliseconds from the announcement.
        took_ms: u64,
    },
    /// A read of the store failed.
    StoreReadFailed {
        /// How it failed; see [`balsamjunction_platform::FailureKind`].
        cause: &'static str,
        /// Time in milliseconds since the read was sent.
        sent_ms: u64,
        /// Time in milliseconds since the last read that verified the facts was sent, here or at a peer.
        #[serde(skip_serializing_if = "Option::is_none")]
        verified_ms: Option<u64>,
        /// Free text: the error.
        detail: String,
    },
    /// A dependency became unreachable or reachable again.
    Dependency {
        /// Name of the dependency.
        name: String,
        /// `lost` or `regained`.
        change: &'static str,
        /// Free text: the observation behind the change.
        detail: String,
    },
    /// The store was restored from a copy, as a response of it or a peer states.
    StoreRestored {
        /// Where this process learned of it.
        source: String,
        /// The era of the store from now on.
        era: u64,
        /// The era before.
        previous_era: u64,
        /// The revision of the restored store that the response states.
        revision: u64,
        /// The revision up to which the facts of this process were complete in the era before.
        previous_revision: u64,
    },
    /// Connections or bodies of callers were ended, since they held resources without progress.
    CallersClosed {
        /// Why, such as `slow-head`.
        reason: &'static str,
        /// Their number since the last such line, which is at least 100 ms ago.
        connections: u64,
        /// Memory that all callers held before, in bytes.
        held_bytes: u64,
    },
    /// A request was sent to an upstream.
    Sent {
        /// Id of the request.
        id: SmolStr,
        /// Id of the upstream.
        upstream: SmolStr,
        /// Number of this attempt of the request, from one.
        attempt: u32,
        /// Expected time to the first event in milliseconds.
        expected_ms: u64,
        /// The part of it for the path's delay beyond the usual one. Absent without a delay.
        #[serde(skip_serializing_if = "Option::is_none")]
        path_ms: Option<u64>,
        /// The version of the weights that the gateway expected the upstream to serve.
        #[serde(skip_serializing_if = "Option::is_none")]
        version: Option<u64>,
        /// Time in milliseconds within which the response must begin on that version. Absent unless a
        /// newer version is published.
        #[serde(skip_serializing_if = "Option::is_none")]
        begin_within_ms: Option<u64>,
        /// Id of the upstream that would have been selected if its limit allowed another request.
        #[serde(skip_serializing_if = "Option::is_none")]
        instead_of: Option<SmolStr>,
        /// How the request came to be sent, if its service is contended.
        #[serde(flatten)]
        queueing: Option<QueueingFields>,
        /// The relative service time that the upstream stated last, in percent.
        #[serde(skip_serializing_if = "Option::is_none")]
        service_time_percent: Option<u32>,
        /// Time in milliseconds since it was stated.
        #[serde(skip_serializing_if = "Option::is_none")]
        service_time_age_ms: Option<u64>,
        /// Prompt tokens that the upstream is expected to have cached. Absent unless the service has the
        /// setting `prompt_cache`.
        #[serde(skip_serializing_if = "Option::is_none")]
        saved_tokens: Option<u64>,
        /// The time in milliseconds that was weighed for them in the selection.
        #[serde(skip_serializing_if = "Option::is_none")]
        saved_ms: Option<u64>,
        /// Whether the request may run at most once.
        #[serde(skip_serializing_if = "is_false")]
        once: bool,
    },
    /// An attempt at an upstream failed.
    AttemptFailed {
        /// Id of the request.
        id: SmolStr,
        /// Id of the upstream.
        upstream: SmolStr,
        /// Outcome of the attempt, such as `unreachable`, `not-run` or `unknown`.
        ending: &'static str,
        /// Free text: the error or the status.
        detail: String,
        /// Whether the request may run at most once.
        #[serde(skip_serializing_if = "is_false")]
        once: bool,
    },
    /// An upstream has sent nothing for so long that the request is to be sent to another one as well.
    UpstreamSilent {
        /// Id of the request.
        id: SmolStr,
        /// Id of the upstream.
        upstream: SmolStr,
        /// Time in milliseconds for which it has sent nothing.
        silent_ms: u64,
        /// Whether the response had begun.
        began: bool,
        /// What follows: `tries-another`, or why nothing does: `no-attempt` or `no-retry`.
        decision: &'static str,
    },
    /// A second copy of a request was due, since its upstream is slow.
    SecondCopy {
        /// Id of the request.
        id: SmolStr,
        /// Id of the slow upstream.
        upstream: SmolStr,
        /// Time in milliseconds since the request was sent there.
        waited_ms: u64,
        /// The relative service time that the upstream stated last, in percent.
        #[serde(skip_serializing_if = "Option::is_none")]
        service_time_percent: Option<u32>,
        /// Time in milliseconds since it was stated.
        #[serde(skip_serializing_if = "Option::is_none")]
        service_time_age_ms: Option<u64>,
        /// What follows: `sent`, or why nothing does: `no-retry`.
        decision: &'static str,
    },
    /// The connection to an upstream broke under a request, as it does if the upstream crashes.
    UpstreamBroke {
        /// Id of the request.
        id: SmolStr,
        /// Id of the upstream.
        upstream: SmolStr,
        /// Whether the head of the response had been received.
        began: bool,
        /// Whether the upstream had sent enough of the response to show that the request does not crash it.
        sound: bool,
        /// The parts of the request's prompt that other requests may share, as callers state them.
        parts: Vec<String>,
    },
    /// Requests with a part of a prompt are refused from now on, or no longer.
    PromptPart {
        /// The part, as callers state it.
        part: String,
        /// Whether they are refused.
        refused: bool,
        /// Number of crashes that the part is refused for.
        crashes: usize,
        /// Free text: the reason.
        detail: String,
    },
    /// Requests that are identical to one that crashes upstreams are refused from now on, or no longer.
    SuspectedRequest {
        /// The fingerprint of caller, path and body.
        fingerprint: String,
        /// Whether they are refused.
        refused: bool,
        /// Number of crashes that they are refused for.
        crashes: usize,
        /// Free text: the reason.
        detail: String,
    },
    /// A response stated for the first time that its sender is leaving.
    UpstreamLeaves {
        /// Id of the request.
        id: SmolStr,
        /// Id of the upstream that the request was sent to.
        upstream: SmolStr,
        /// Whether another upstream responded; that one is leaving.
        misdirected: bool,
    },
    /// An upstream asked for a backoff (`Retry-After`).
    #[serde(rename = "upstream-rests")]
    UpstreamBackoff {
        /// Id of the request that the upstream rejected.
        id: SmolStr,
        /// Id of the upstream.
        upstream: SmolStr,
        /// Duration of the backoff in milliseconds.
        for_ms: u64,
        /// Free text: the time that the upstream asked for.
        detail: String,
    },
    /// The limit that an upstream states (`Server-Limit`) was learned, changed or ended.
    UpstreamLimit {
        /// Id of the request whose response showed the change; absent if another process reported it.
        #[serde(skip_serializing_if = "Option::is_none")]
        id: Option<SmolStr>,
        /// Id of the upstream.
        upstream: SmolStr,
        /// The limit in requests per second, for all gateways together; absent if it has ended.
        #[serde(skip_serializing_if = "Option::is_none")]
        per_s: Option<f64>,
        /// Free text: the source, or the value as the upstream stated it.
        detail: String,
    },
    /// The final response to a request began.
    Answered {
        /// Id of the request.
        id: SmolStr,
        /// Name of the route.
        route: SmolStr,
        /// The HTTP status code.
        status: u16,
        /// Why the gateway generated the response itself, if it did.
        reason: &'static str,
        /// Time since the request arrived, in milliseconds.
        took_ms: u64,
        /// Age of the cluster view in milliseconds.
        #[serde(rename = "belief_age_ms")]
        view_age_ms: u64,
        /// The version of the configuration that the request was routed by.
        configuration: u64,
        /// The version of the weights on which the response began, as the upstream reports it.
        #[serde(skip_serializing_if = "Option::is_none")]
        version: Option<u64>,
        /// Id of the upstream whose limit allows a request first, if limits are the reason.
        #[serde(skip_serializing_if = "Option::is_none")]
        limited: Option<SmolStr>,
        /// The part of the prompt for which the request is refused, as callers state it.
        #[serde(skip_serializing_if = "Option::is_none")]
        part: Option<String>,
        /// Whether the request may run at most once.
        #[serde(skip_serializing_if = "is_false")]
        once: bool,
    },
    /// A stream ended before its last event.
    StreamBroken {
        /// Id of the request.
        id: SmolStr,
        /// Id of the upstream.
        upstream: SmolStr,
        /// Id of the last event that was forwarded to the caller.
        last_event: SmolStr,
        /// Whether the stream resumes at another upstream.
        resumed: bool,
        /// Why the rest of the upstream's response is not received, such as `broken`, `silent` or `out-of-time`.
        cause: &'static str,
        /// Why no other upstream resumes the stream; absent if one does.
        #[serde(skip_serializing_if = "Option::is_none")]
        not_resumed: Option<&'static str>,
        /// Time in milliseconds since the upstream's last event.
        silent_ms: u64,
        /// Time in milliseconds until the request times out.
        remaining_ms: u64,
        /// Free text: how the stream ended.
        detail: String,
    },
    /// The stager completed or abandoned a step towards a version of the weights.
    Weights {
        /// Name of the model.
        model: SmolStr,
        /// The version of its weights.
        version: u64,
        /// Name of the step, such as `wanted`, `fetched` or `serving`.
        step: &'static str,
        /// Free text: details of the step.
        detail: String,
    },
}

/// How a request to a contended service came to be sent.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct QueueingFields {
    /// Its rank; zero is the most urgent.
    pub rank: u8,
    /// How long it waited for its turn, in milliseconds.
    pub queued_ms: u64,
    /// Requests for the service that still waited.
    pub waiting: usize,
    /// Requests of the gateway that were in flight at the service, this one included.
    pub in_flight: usize,
    /// The largest number of them at present.
    pub window: u64,
}

impl Event {
    /// The id of the request by which this line is sampled; `None` if it is always written.
    ///
    /// Lines of a request that may run at most once are always written: they show whether it may have
    /// run.
    fn sampling_id(&self) -> Option<&SmolStr> {
        match self {
            Self::Sent { id, once, .. }
            | Self::AttemptFailed { id, once, .. }
            | Self::Answered { id, once, .. } => (!once).then_some(id),
            Self::UpstreamBackoff { id, .. }
            | Self::UpstreamBroke { id, .. }
            | Self::UpstreamSilent { id, .. }
            | Self::SecondCopy { id, .. } => Some(id),
            Self::UpstreamLimit { id, .. } => id.as_ref(),
            Self::Process { .. }
            | Self::PromptPart { .. }
            | Self::SuspectedRequest { .. }
            | Self::StoreRestored { .. }
            | Self::UpstreamLeaves { .. }
            | Self::ClusterViewChanged { .. }
            | Self::VersionPublished { .. }
            | Self::DeclarationReceived { .. }
            | Self::StoreReadFailed { .. }
            | Self::Dependency { .. }
            | Self::StreamBroken { .. }
            | Self::CallersClosed { .. }
            | Self::Weights { .. } => None,
        }
    }
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

/// Whether the lines of a request are written while lines are sampled.
fn is_in_sample(id: &str) -> bool {
    rendezvous::weight(SAMPLE_KEY, id).is_multiple_of(SAMPLED_ONE_IN)
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    #[serde(flatten)]
    event: &'a Event,
}

/// Queues the events of the process for the writer thread.
#[derive(Debug)]
pub struct EventLog {
    clock: Clock,
    queue: SyncSender<String>,
    recent: Mutex<SlidingWindowCounter>,
    unreported: AtomicU64,
    dropped: AtomicU64,
    sampled: AtomicU64,
}

impl EventLog {
    /// Starts the writer thread.
    pub fn start(clock: Clock) -> Self {
        let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
        std::thread::spawn(move || write_lines(&lines));
        Self {
            clock,
            queue,
            recent: Mutex::new(SlidingWindowCounter::new(Duration::from_secs(1))),
            unreported: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            sampled: AtomicU64::new(0),
        }
    }

    /// Whether the line of an event is written at the present rate of lines.
    fn is_written(&self, event: &Event) -> bool {
        let Some(id) = event.sampling_id() else {
            return true;
        };
        let now = self.clock.now();
        let mut recent = lock(&self.recent);
        if recent.count(now) < UNSAMPLED_LINES_PER_S {
            recent.add(now);
            return true;
        }
        is_in_sample(id)
    }

    fn drop_line(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        self.unreported.fetch_add(1, Ordering::Relaxed);
    }

    /// Queues the line of an event, or counts it as sampled out or dropped.
    pub fn emit(&self, event: &Event) {
        if !self.is_written(event) {
            self.sampled.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let at_ms = self.clock.unix_ms();
        let Ok(mut line) = serde_json::to_string(&Line { at_ms, event }) else {
            self.drop_line();
            return;
        };
        let unreported = self.unreported.swap(0, Ordering::Relaxed);
        if unreported > 0 {
            line.push_str(&format!(
                "\n{{\"at_ms\":{at_ms},\"event\":\"lines-dropped\",\"count\":{unreported}}}"
            ));
        }
        line.push('\n');
        if let Err(TrySendError::Full(_)) = self.queue.try_send(line) {
            self.unreported.fetch_add(unreported, Ordering::Relaxed);
            self.drop_line();
        }
    }
}

impl RefreshGauges for EventLog {
    fn refresh(&self, metrics: &Metrics) {
        let update = |counter: &Counter, total: &AtomicU64| {
            let total = total.load(Ordering::Relaxed);
            counter.inc_by(total.saturating_sub(counter.get()));
        };
        update(&metrics.mesh.dropped_lines, &self.dropped);
        update(&metrics.mesh.sampled_lines, &self.sampled);
    }
}

fn write_lines(lines: &Receiver<String>) {
    let mut stdout = std::io::stdout();
    while let Ok(first) = lines.recv() {
        std::thread::sleep(BATCH_DELAY);
        let mut buf = first;
        buf.extend(lines.try_iter());
        // There is nowhere to report a failure of standard output, so it ends the logging.
        if stdout.write_all(buf.as_bytes()).is_err() {
            return;
        }
    }
}
