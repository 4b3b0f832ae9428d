//! Structured log lines on standard output, one for each decision.
//!
//! Lines go through a bounded queue to a thread of their own, so that a slow reader never holds up a
//! request; lines that find the queue full are counted and the count is told. See
//! docs/OPERATIONS.md, "Explaining a request".

use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{sync_channel, Receiver, SyncSender, TrySendError},
        Mutex,
    },
    time::Duration,
};

use balsamjunction_policy::{rendezvous, sliding::SlidingCount};
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;
use smol_str::SmolStr;

use crate::{
    clock::Clock,
    metrics::{Metrics, RefreshGauges},
    sync::lock,
};

/// Lines that may wait to be written; about 500 KB.
const MAX_QUEUED: usize = 2_048;
/// How long lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(100);

/// Lines about requests that may be written in a second before they are sampled. A gateway of 0.19
/// cores carries about 60 requests a second, of two lines each.
const REQUEST_LINES_PER_S: usize = 240;
/// Above that, the lines of one request in this many are written.
const SAMPLED_ONE_IN: u64 = 8;
/// Seeds the choice, so that all processes choose the same requests.
const SAMPLE_KEY: &[u8] = b"log-sample";

/// A decision or a change of belief.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// The process started, reads its settings again, or stops.
    Process {
        /// What happens.
        change: &'static str,
        /// Its host.
        host: SmolStr,
        /// Why, or with which settings.
        detail: String,
    },
    /// A belief about the fleet changed.
    #[serde(rename = "belief")]
    ClusterViewChanged {
        /// Where the news came from.
        source: String,
        /// The revision up to which facts are known.
        revision: u64,
        /// The version of the configuration in force.
        configuration: u64,
        /// How many facts are new, other or gone.
        changed: usize,
    },
    /// A version of the weights was named.
    #[serde(rename = "version-named")]
    VersionPublished {
        /// The model.
        model: SmolStr,
        /// The version.
        version: u64,
        /// How long ago it was learned, by whoever learned it first, in milliseconds.
        known_ms: u64,
        /// How long ago it was named at the earliest, in milliseconds, which is what counts. Absent if
        /// nothing had been read before.
        #[serde(skip_serializing_if = "Option::is_none")]
        since_ms: Option<u64>,
    },
    /// A dependency was lost or regained.
    Dependency {
        /// Which.
        name: String,
        /// `lost` or `regained`.
        change: &'static str,
        /// What was seen.
        detail: String,
    },
    /// A request was sent to an upstream.
    Sent {
        /// The request.
        id: SmolStr,
        /// The upstream.
        upstream: SmolStr,
        /// Which send of the request it is, from one.
        attempt: u32,
        /// When the first event was expected, in milliseconds.
        expected_ms: u64,
        /// The version of the weights that the upstream was taken to serve.
        #[serde(skip_serializing_if = "Option::is_none")]
        version: Option<u64>,
        /// Time left until the request must have begun on that version, in milliseconds, if a newer
        /// one is named.
        #[serde(skip_serializing_if = "Option::is_none")]
        begin_within_ms: Option<u64>,
        /// Whether it may run once at most.
        #[serde(skip_serializing_if = "is_false")]
        once: bool,
    },
    /// An attempt at an upstream failed.
    AttemptFailed {
        /// The request.
        id: SmolStr,
        /// The upstream.
        upstream: SmolStr,
        /// What came of it.
        ending: &'static str,
        /// What was seen.
        detail: String,
        /// Whether it may run once at most.
        #[serde(skip_serializing_if = "is_false")]
        once: bool,
    },
    /// An answer says for the first time that its sender leaves.
    UpstreamLeaves {
        /// The request that was answered.
        id: SmolStr,
        /// The upstream that was asked.
        upstream: SmolStr,
        /// Whether another one answered, which is the one that leaves.
        misdirected: bool,
    },
    /// An upstream wants nothing for a while.
    #[serde(rename = "upstream-rests")]
    UpstreamBackoff {
        /// The request that it turned away.
        id: SmolStr,
        /// The upstream.
        upstream: SmolStr,
        /// For how long it is left alone, in milliseconds.
        for_ms: u64,
        /// What it said.
        detail: String,
    },
    /// A request got its final answer.
    Answered {
        /// The request.
        id: SmolStr,
        /// The route.
        route: SmolStr,
        /// The HTTP status.
        status: u16,
        /// Why, where the system itself answers.
        reason: &'static str,
        /// Time since the request came, in milliseconds.
        took_ms: u64,
        /// The age of the belief about the configuration, in milliseconds.
        #[serde(rename = "belief_age_ms")]
        view_age_ms: u64,
        /// The version of the configuration that decided.
        configuration: u64,
        /// The version of the weights on which an upstream's answer began, as the upstream says.
        #[serde(skip_serializing_if = "Option::is_none")]
        version: Option<u64>,
        /// Whether it may run once at most.
        #[serde(skip_serializing_if = "is_false")]
        once: bool,
    },
    /// A stream ended before its last event.
    StreamBroken {
        /// The request.
        id: SmolStr,
        /// The upstream.
        upstream: SmolStr,
        /// The id of the last event that was passed on.
        last_event: SmolStr,
        /// Whether it goes on at another upstream.
        resumed: bool,
        /// What was seen.
        detail: String,
    },
    /// Weights of an engine moved on.
    Weights {
        /// The model.
        model: SmolStr,
        /// The version.
        version: u64,
        /// What was done.
        step: &'static str,
        /// How, or why not.
        detail: String,
    },
}

impl Event {
    /// The request whose lines may be left out together under load; nothing if the line must stay.
    ///
    /// All lines stay of a request that may run once at most: whoever asks what became of it asks for
    /// what may have run.
    fn sampled_with(&self) -> Option<&SmolStr> {
        match self {
            Self::Sent { id, once, .. }
            | Self::AttemptFailed { id, once, .. }
            | Self::Answered { id, once, .. } => (!once).then_some(id),
            Self::UpstreamBackoff { id, .. } => Some(id),
            Self::Process { .. }
            | Self::UpstreamLeaves { .. }
            | Self::ClusterViewChanged { .. }
            | Self::VersionPublished { .. }
            | Self::Dependency { .. }
            | Self::StreamBroken { .. }
            | Self::Weights { .. } => None,
        }
    }
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

/// Whether a request's lines are among those that are written under load.
fn is_chosen(id: &str) -> bool {
    rendezvous::weight(SAMPLE_KEY, id).is_multiple_of(SAMPLED_ONE_IN)
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    #[serde(flatten)]
    event: &'a Event,
}

/// Takes events of the whole process.
#[derive(Debug)]
pub struct EventLog {
    clock: Clock,
    queue: SyncSender<String>,
    recent: Mutex<SlidingCount>,
    untold: AtomicU64,
    dropped: AtomicU64,
    sampled: AtomicU64,
}

impl EventLog {
    /// Starts the thread that writes.
    pub fn start(clock: Clock) -> Self {
        let (queue, lines) = sync_channel(MAX_QUEUED);
        std::thread::spawn(move || write_lines(&lines));
        Self {
            clock,
            queue,
            recent: Mutex::new(SlidingCount::new(Duration::from_secs(1))),
            untold: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            sampled: AtomicU64::new(0),
        }
    }

    /// Whether a line is written under the load of this moment.
    fn is_kept(&self, event: &Event) -> bool {
        let Some(id) = event.sampled_with() else {
            return true;
        };
        let now = self.clock.now();
        let mut recent = lock(&self.recent);
        if recent.count(now) < REQUEST_LINES_PER_S {
            recent.add(now);
            return true;
        }
        is_chosen(id)
    }

    fn drop_line(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        self.untold.fetch_add(1, Ordering::Relaxed);
    }

    /// Queues one line, or counts it as left out or dropped.
    pub fn emit(&self, event: &Event) {
        if !self.is_kept(event) {
            self.sampled.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let at_ms = self.clock.unix_ms();
        let Ok(mut line) = serde_json::to_string(&Line { at_ms, event }) else {
            self.drop_line();
            return;
        };
        let untold = self.untold.swap(0, Ordering::Relaxed);
        if untold > 0 {
            line.push_str(&format!(
                "\n{{\"at_ms\":{at_ms},\"event\":\"lines-dropped\",\"count\":{untold}}}"
            ));
        }
        line.push('\n');
        if let Err(TrySendError::Full(_)) = self.queue.try_send(line) {
            self.untold.fetch_add(untold, Ordering::Relaxed);
            self.drop_line();
        }
    }
}

impl RefreshGauges for EventLog {
    fn refresh(&self, metrics: &Metrics) {
        let told = |counter: &Counter, total: &AtomicU64| {
            let total = total.load(Ordering::Relaxed);
            counter.inc_by(total.saturating_sub(counter.get()));
        };
        told(&metrics.mesh.dropped_lines, &self.dropped);
        told(&metrics.mesh.sampled_lines, &self.sampled);
    }
}

fn write_lines(lines: &Receiver<String>) {
    let mut stdout = std::io::stdout();
    while let Ok(first) = lines.recv() {
        std::thread::sleep(GATHER);
        let mut buf = first;
        buf.extend(lines.try_iter());
        // Standard output is the only place to complain to, so a failure ends the logging.
        if stdout.write_all(buf.as_bytes()).is_err() {
            return;
        }
    }
}
