//! Responses to callers: local ones, and those of upstreams, which are streamed as they are received.

use std::{io, time::Duration};

use actix_web::{body::SizedStream, http::StatusCode, HttpResponse, HttpResponseBuilder};
use balsamjunction_directory::RouteKind;
use balsamjunction_policy::Moment;
use balsamjunction_protocol::mesh::PromptPart;
use bytes::{Bytes, BytesMut};
use futures_util::{stream, Stream};
use hyper::{body::Body, HeaderMap};
use rand::Rng;
use smol_str::SmolStr;
use strum::IntoStaticStr;

use super::{
    admission::InProgress,
    attempts::RequestAttempts,
    context::{GatewayContext, InFlightRequest},
    next_attempt::{SilenceDecision, NEXT_ATTEMPT_INTERVAL},
    reader::{self, Interruption, InterruptionCause, Received, ResponseReader},
    send::UpstreamResponse,
};
use crate::{
    events::Event,
    http::is_end_to_end,
    metrics::{RequestLabels, StateLabels},
};

/// Jitter of the time in `retry-after`, as a fraction of it, so that callers do not retry simultaneously.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// Longest piece that is handed to the HTTP server at a time. The server copies a piece into its write buffer as
/// soon as that holds less than 32 KiB, so this bounds the buffer of a caller that does not read.
const MAX_PIECE_BYTES: usize = 16 * 1_024;

/// Why a stream that was interrupted is not resumed, for the log and the metrics.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
enum NotResumed {
    /// The response is not a stream of events.
    NotEvents,
    /// The time limit of caller or route has passed.
    OutOfTime,
    /// The route allows no further run, or no retry is left in the budget.
    NoRetry,
    /// No other upstream responded.
    NoResponse,
    /// Another upstream responded with an error.
    ErrorResponse,
}

/// The source or cause of a response, for the log, the metrics and the body of a local response.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum ResponseReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The process is stopping.
    Stopping,
    /// The facts are too old to accept an API key.
    StaleFacts,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is absent or not assigned to any workspace.
    UnknownKey,
    /// The request cannot be parsed.
    Malformed,
    /// The request's head exceeds the configured limit.
    HeadTooLong,
    /// The request's body exceeds the configured limit.
    BodyTooLong,
    /// The request's body was not received in time.
    BodyTooSlow,
    /// The bodies of all callers, or those of the workspace, use up their share of the memory.
    MemoryFull,
    /// No upstream may serve the request.
    NoUpstream,
    /// Every upstream is overloaded.
    Overload,
    /// Every upstream has asked for a backoff (Retry-After).
    #[strum(serialize = "upstreams-rest")]
    UpstreamsBackingOff,
    /// Every upstream that may serve it states a limit (Server-Limit) that is used up.
    UpstreamsLimited,
    /// Every upstream that was tried rejected the request or could not be reached, or no retry was left
    /// for another one.
    TurnedAway,
    /// The upstream's response broke off or was never received.
    #[strum(serialize = "broken-answer")]
    BrokenResponse,
    /// The time limit of caller or route has passed.
    #[strum(serialize = "out-of-time")]
    TimedOut,
    /// The request has crashed too many upstreams to run again.
    CrashesUpstreams,
    /// A part of the request's prompt crashes upstreams.
    PromptCrashesUpstreams,
    /// The response is an upstream's.
    Upstream,
}

/// The description of a final response, from which the log line and, if it is local, the response are built.
pub struct FinalResponse<'a> {
    /// The caller's id of the request.
    pub id: &'a SmolStr,
    /// The name of the route; empty if none was found.
    pub route: &'a SmolStr,
    /// The HTTP status.
    pub status: StatusCode,
    /// The source or cause of the response.
    pub reason: ResponseReason,
    /// When the caller may retry, if it may; sent with a jitter.
    pub retry_after: Option<Duration>,
    /// When the request arrived.
    pub arrived_at: Moment,
    /// The version of the weights that an upstream reported at the start of its response.
    pub version: Option<u64>,
    /// Id of the upstream whose limit allows a request first, if limits are the reason.
    pub limited: Option<&'a SmolStr>,
    /// The part of the prompt for which the request is refused, if that is the reason.
    pub refused_part: Option<PromptPart>,
    /// Whether the request must not run more than once.
    pub at_most_once: bool,
}

/// Logs a request's final response and counts it in the metrics.
fn record_response(context: &GatewayContext, response: &FinalResponse<'_>) {
    let took = context.now().saturating_sub(response.arrived_at);
    let age = context.cluster_view.facts_age().unwrap_or_default();
    let reason: &'static str = response.reason.into();
    let labels = RequestLabels {
        pool: response.route.to_string(),
        outcome: response.status.as_str().to_owned(),
        refusal: reason.to_owned(),
    };
    context.metrics.requests.get_or_create(&labels).inc();
    context.cluster_view.events.emit(&Event::Answered {
        id: response.id.clone(),
        route: response.route.clone(),
        status: response.status.as_u16(),
        reason,
        took_ms: took.as_millis() as u64,
        view_age_ms: age.as_millis() as u64,
        configuration: context.cluster_view.configuration_version(),
        version: response.version,
        limited: response.limited.cloned(),
        part: response.refused_part.map(|part| part.to_string()),
        once: response.at_most_once,
    });
}

fn new_response_builder(context: &GatewayContext, status: StatusCode) -> HttpResponseBuilder {
    let mut builder = HttpResponse::build(status);
    if context.lifecycle.is_stopping() {
        builder.force_close();
    }
    builder
}

/// Records and builds a response that does not come from an upstream.
pub fn build_local_response(
    context: &GatewayContext,
    response: &FinalResponse<'_>,
) -> HttpResponse {
    record_response(context, response);
    let mut builder = new_response_builder(context, response.status);
    if let Some(retry_after) = response.retry_after {
        let jitter = rand::rng().random_range(1.0..1.0 + RETRY_AFTER_JITTER);
        let seconds = retry_after.as_secs_f64() * jitter;
        builder.insert_header(("retry-after", format!("{seconds:.2}")));
    }
    let reason: &'static str = response.reason.into();
    builder.body(reason)
}

/// Streams an upstream's response to the caller; resumes it at another upstream if it breaks off.
pub struct ResponseRelay {
    attempts: RequestAttempts,
    reader: ResponseReader,
    /// Received bytes that the HTTP server has not taken yet.
    unsent: Bytes,
    resumable: bool,
    /// When another upstream is tried next for a silent one; absent until it is silent.
    next_attempt_at: Option<Moment>,
    longest_pause: Duration,
    _in_progress: InProgress,
}

/// What came first while another upstream was tried for a silent one.
enum Race {
    /// The silent upstream went on.
    WentOn(Received),
    /// The silent upstream's response was interrupted, and no other one took its place.
    Interrupted(Interruption),
    /// Another upstream began to send the rest.
    Replaced(Box<ResponseReader>, Received),
    /// No other upstream can send the rest at present.
    NotReplaced,
    /// The time limit of caller or route has passed.
    OutOfTime,
}

impl ResponseRelay {
    /// Creates a relay for a response whose head has been received.
    pub fn new(
        attempts: RequestAttempts,
        response: UpstreamResponse,
        in_flight: InFlightRequest,
        in_progress: InProgress,
    ) -> Self {
        let success = response.inner.status().is_success();
        let streaming = attempts.request.route.kind == RouteKind::Streaming;
        let resumable = attempts.request.route.resumable;
        let events = streaming && (resumable || may_be_event_stream(&response));
        let head_at = attempts.context.now();
        Self {
            reader: ResponseReader::new(response, in_flight, success && events, head_at),
            unsent: Bytes::new(),
            resumable,
            attempts,
            next_attempt_at: None,
            longest_pause: Duration::ZERO,
            _in_progress: in_progress,
        }
    }

    /// Logs and counts an interruption; `not_resumed` is absent if the stream resumes at another upstream.
    fn log_interruption(&self, interruption: Interruption, not_resumed: Option<NotResumed>) {
        let upstream = self.reader.upstream.as_ref();
        let context = &self.attempts.context;
        let silent = context.now().saturating_sub(self.reader.last_event_at);
        let cause = interruption.cause.into();
        let not_resumed = not_resumed.map(<&'static str>::from);
        let state = match not_resumed {
            Some(reason) => format!("{cause}, not resumed: {reason}"),
            None => format!("{cause}, resumed"),
        };
        let interruptions = &context.metrics.mesh.stream_interruptions;
        interruptions.get_or_create(&StateLabels { state }).inc();
        context.cluster_view.events.emit(&Event::StreamBroken {
            id: self.attempts.request.id.clone(),
            upstream: upstream.map(|u| u.id.clone()).unwrap_or_default(),
            last_event: self.reader.last_id().cloned().unwrap_or_default(),
            resumed: not_resumed.is_none(),
            cause,
            not_resumed,
            silent_ms: silent.as_millis() as u64,
            remaining_ms: self.attempts.remaining_time().as_millis() as u64,
            detail: interruption.detail,
        });
    }

    /// Records that the response ends before it is complete; returns the error that aborts the caller's connection.
    fn abort(&self, interruption: Interruption, not_resumed: NotResumed) -> io::Error {
        self.log_interruption(interruption, Some(not_resumed));
        io::ErrorKind::ConnectionAborted.into()
    }

    /// Returns the next bytes for the caller, [`MAX_PIECE_BYTES`] at most; `None` at the end of a complete response.
    async fn next_piece(&mut self) -> Result<Option<Bytes>, io::Error> {
        if self.unsent.is_empty() {
            let Some(buf) = self.next_bytes().await? else {
                return Ok(None);
            };
            self.unsent = buf;
        }
        let length = self.unsent.len().min(MAX_PIECE_BYTES);
        let piece = self.unsent.split_to(length);
        if self.unsent.is_empty() {
            // An empty handle would keep the buffer of all pieces.
            self.unsent = Bytes::new();
        }
        Ok(Some(piece))
    }

    /// Returns what is received next; `None` at the end of a complete response.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, io::Error> {
        loop {
            match self.receive().await {
                Ok(Received::Bytes { buf, has_content }) => {
                    if has_content {
                        self.next_attempt_at = None;
                        let pause = self.reader.record_progress(&self.attempts);
                        self.longest_pause = self.longest_pause.max(pause.unwrap_or_default());
                    }
                    return Ok(Some(buf));
                }
                Ok(Received::End) => {
                    self.reader.record_end(&self.attempts);
                    if self.reader.splits_events() {
                        let mesh = &self.attempts.context.metrics.mesh;
                        mesh.longest_pause.observe(self.longest_pause.as_secs_f64());
                    }
                    return Ok(None);
                }
                Err(interruption) => self.resume(interruption).await?,
            }
        }
    }

    /// Returns when another upstream is tried beside the present one, if the stream can be resumed there.
    fn silent_at(&self) -> Option<Moment> {
        if !self.reader.splits_events() || !self.resumable {
            return None;
        }
        let silent_at = self.reader.last_event_at + self.attempts.min_silence();
        Some(
            self.next_attempt_at
                .map_or(silent_at, |at| at.max(silent_at)),
        )
    }

    /// Reads the next part of the response.
    ///
    /// An upstream that is silent for too long is not given up: another one is tried as well, and takes its place
    /// only once it has begun to send the rest. See docs/ROUTING.md, "Silence".
    async fn receive(&mut self) -> Result<Received, Interruption> {
        loop {
            let now = self.attempts.context.now();
            let remaining = self.attempts.remaining_time();
            let until_silent = self.silent_at().map(|at| at.saturating_sub(now));
            let wait = until_silent.map_or(remaining, |wait| wait.min(remaining));
            // Bytes that are already buffered do not extend the time limit.
            if remaining.is_zero() {
                return Err(out_of_time());
            }
            if !wait.is_zero() {
                match actix_rt::time::timeout(wait, self.reader.next()).await {
                    Ok(received) => return received,
                    Err(_) => continue,
                }
            }
            match self.race().await {
                Race::WentOn(received) => return Ok(received),
                Race::Interrupted(interruption) => return Err(interruption),
                Race::OutOfTime => return Err(out_of_time()),
                Race::NotReplaced => {
                    let now = self.attempts.context.now();
                    self.next_attempt_at = Some(now + NEXT_ATTEMPT_INTERVAL);
                }
                Race::Replaced(reader, received) => {
                    self.reader
                        .record_interruption(&self.attempts, InterruptionCause::Silent);
                    let detail = "another upstream has begun to send the rest".to_owned();
                    let interruption = Interruption::new(InterruptionCause::Silent, detail);
                    self.log_interruption(interruption, None);
                    self.reader = *reader;
                    return Ok(received);
                }
            }
        }
    }

    /// Tries another upstream for a silent one, which may still go on.
    async fn race(&mut self) -> Race {
        let decision = self.attempts.decide_on_silence();
        if self.next_attempt_at.is_none() {
            let now = self.attempts.context.now();
            let silent_for = now.saturating_sub(self.reader.last_event_at);
            let upstream = self.reader.upstream.as_ref();
            self.attempts
                .log_silence(upstream, silent_for, true, decision);
        }
        if decision != SilenceDecision::TriesAnother {
            return Race::NotReplaced;
        }
        let remaining = self.attempts.remaining_time();
        let last_id = self.reader.last_id().cloned();
        let replacement = obtain_replacement(&mut self.attempts, last_id);
        let race = async {
            tokio::pin!(replacement);
            let mut interruption = None;
            // Comments count once the silent upstream goes on.
            let mut held = BytesMut::new();
            loop {
                tokio::select! {
                    biased;
                    received = self.reader.next(), if interruption.is_none() => match received {
                        Ok(Received::Bytes { buf, has_content }) => {
                            if !has_content {
                                reader::hold_comments(&mut held, &buf);
                            } else {
                                held.extend_from_slice(&buf);
                                let buf = std::mem::take(&mut held).freeze();
                                return Race::WentOn(Received::Bytes { buf, has_content });
                            }
                        }
                        Ok(Received::End) => return Race::WentOn(Received::End),
                        Err(e) => interruption = Some(e),
                    },
                    replaced = &mut replacement => {
                        return match (replaced, interruption) {
                            (Some((reader, received)), _) => Race::Replaced(Box::new(reader), received),
                            (None, Some(interruption)) => Race::Interrupted(interruption),
                            (None, None) => Race::NotReplaced,
                        };
                    }
                }
            }
        };
        let result = actix_rt::time::timeout(remaining, race).await;
        result.unwrap_or(Race::OutOfTime)
    }

    /// Resumes the stream at another upstream after the last complete event, if the request may run again.
    async fn resume(&mut self, interruption: Interruption) -> Result<(), io::Error> {
        self.reader
            .record_interruption(&self.attempts, interruption.cause);
        if !self.reader.splits_events() {
            return Err(self.abort(interruption, NotResumed::NotEvents));
        }
        let last_id = self.reader.last_id().cloned();
        let remaining = self.attempts.remaining_time();
        if remaining.is_zero() {
            return Err(self.abort(interruption, NotResumed::OutOfTime));
        }
        if !self.attempts.reserve_repeat() {
            return Err(self.abort(interruption, NotResumed::NoRetry));
        }
        let resumed =
            actix_rt::time::timeout(remaining, self.attempts.obtain_response(last_id.as_ref()))
                .await;
        let Ok(Ok((response, in_flight))) = resumed else {
            return Err(self.abort(interruption, NotResumed::NoResponse));
        };
        if !resumes_events(&response) {
            return Err(self.abort(interruption, NotResumed::ErrorResponse));
        }
        self.log_interruption(interruption, None);
        let now = self.attempts.context.now();
        self.reader = ResponseReader::new(*response, in_flight, true, now);
        self.reader.resume_after(last_id);
        Ok(())
    }
}

fn out_of_time() -> Interruption {
    let detail = "the request's time limit has passed".to_owned();
    Interruption::new(InterruptionCause::OutOfTime, detail)
}

/// Obtains the rest of a stream after the event `last_id` from another upstream, once that one has begun to send it.
async fn obtain_replacement(
    attempts: &mut RequestAttempts,
    last_id: Option<SmolStr>,
) -> Option<(ResponseReader, Received)> {
    let obtained = attempts.obtain_response(last_id.as_ref()).await;
    let (response, in_flight) = obtained.ok()?;
    if !resumes_events(&response) {
        return None;
    }
    let now = attempts.context.now();
    let mut reader = ResponseReader::new(*response, in_flight, true, now);
    reader.resume_after(last_id);
    match reader.next_progress().await {
        Ok(received) => Some((reader, received)),
        Err(interruption) => {
            reader.record_interruption(attempts, interruption.cause);
            None
        }
    }
}

/// Whether a response may be the rest of a stream: an error or a response of another type is not.
fn resumes_events(response: &UpstreamResponse) -> bool {
    response.inner.status().is_success() && may_be_event_stream(response)
}

/// Whether the type of a response, if it states one, is that of a stream of events.
fn may_be_event_stream(response: &UpstreamResponse) -> bool {
    let content_type = response.header("content-type");
    content_type.is_none_or(|content_type| content_type.trim().starts_with("text/event-stream"))
}

fn copy_headers(from: &HeaderMap, to: &mut HttpResponseBuilder) {
    for (name, value) in from {
        if is_end_to_end(name.as_str()) {
            to.append_header((name.as_str(), value.as_bytes()));
        }
    }
}

/// Builds the response that streams an upstream's response to the caller.
pub async fn relay_response(relay: ResponseRelay) -> HttpResponse {
    let upstream_response = &relay.reader.response.inner;
    let status = StatusCode::from_u16(upstream_response.status().as_u16())
        .unwrap_or(StatusCode::BAD_GATEWAY);
    record_response(
        &relay.attempts.context,
        &FinalResponse {
            id: &relay.attempts.request.id,
            route: &relay.attempts.request.route.name,
            status,
            reason: ResponseReason::Upstream,
            retry_after: None,
            arrived_at: relay.attempts.request.arrived_at,
            version: relay.reader.response.version(),
            limited: None,
            refused_part: None,
            at_most_once: relay.attempts.request.runs_at_most_once(),
        },
    );
    let mut builder = new_response_builder(&relay.attempts.context, status);
    copy_headers(upstream_response.headers(), &mut builder);
    let length = upstream_response.body().size_hint().exact();
    match length.filter(|_| !relay.reader.splits_events()) {
        Some(length) => builder.body(SizedStream::new(length, stream_body(relay))),
        None => builder.streaming(stream_body(relay)),
    }
}

fn stream_body(relay: ResponseRelay) -> impl Stream<Item = Result<Bytes, io::Error>> + Unpin {
    let bytes = stream::try_unfold(relay, |mut relay| async {
        let next = relay.next_piece().await?;
        Ok(next.map(|buf| (buf, relay)))
    });
    Box::pin(bytes)
}
