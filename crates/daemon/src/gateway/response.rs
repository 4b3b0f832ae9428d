//! Responses to callers: local ones, and those of upstreams, which are streamed as they are received.

use std::{io, time::Duration};

use actix_web::{body::SizedStream, http::StatusCode, HttpResponse, HttpResponseBuilder};
use balsamjunction_directory::{RouteKind, UpstreamRecord};
use balsamjunction_policy::{dispatch::AttemptOutcome, Moment};
use balsamjunction_protocol::mesh::PromptPart;
use bytes::Bytes;
use futures_util::{stream, Stream};
use http_body_util::BodyExt;
use hyper::{body::Body, HeaderMap};
use rand::Rng;
use smol_str::SmolStr;
use strum::IntoStaticStr;

use super::{
    admission::InProgress,
    attempts::RequestAttempts,
    context::{GatewayContext, InFlightRequest},
    crash_evidence::BrokenAttempt,
    event_stream::EventSplitter,
    send::UpstreamResponse,
};
use crate::{
    events::Event,
    http::is_end_to_end,
    metrics::{RequestLabels, StateLabels},
};

/// Jitter of the time in `retry-after`, as a fraction of it, so that callers do not retry simultaneously.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// Parts of a response that an upstream must have sent before the request counts as one that does not crash it.
const SOUND_PROGRESS: u32 = 3;
/// Time from the head of the response for which the upstream must have sent it besides.
const SOUND_AFTER: Duration = Duration::from_millis(300);

/// Why the rest of an upstream's response is not received.
struct Interruption {
    detail: String,
    cause: InterruptionCause,
}

/// The cause of an interruption, for the log and the metrics.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
enum InterruptionCause {
    /// The upstream ended the connection, as it does if it crashes.
    Broken,
    /// The upstream sent no event for too long.
    Silent,
    /// The time limit of caller or route has passed.
    OutOfTime,
    /// An event of the upstream is too long.
    EventTooLong,
}

impl Interruption {
    fn new(cause: InterruptionCause, detail: String) -> Self {
        Self { detail, cause }
    }

    fn broken(detail: String) -> Self {
        Self::new(InterruptionCause::Broken, detail)
    }
}

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
    response: UpstreamResponse,
    in_flight: InFlightRequest,
    upstream: Option<UpstreamRecord>,
    /// Present for a stream of events, of which only complete ones are forwarded.
    splitter: Option<EventSplitter>,
    resumable: bool,
    head_at: Moment,
    /// Number of parts of the response, each with at least one event, that the upstream has sent.
    progress: u32,
    /// Whether the upstream has sent enough to show that the request does not crash it.
    sound: bool,
    last_event_at: Moment,
    longest_pause: Duration,
    _in_progress: InProgress,
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
        let opened_at = attempts.context.now();
        let streaming = attempts.request.route.kind == RouteKind::Streaming;
        let resumable = attempts.request.route.resumable;
        let events = streaming && (resumable || may_be_event_stream(&response));
        Self {
            upstream: in_flight.upstream_record(),
            splitter: (success && events).then(EventSplitter::default),
            resumable,
            attempts,
            response,
            in_flight,
            head_at: opened_at,
            progress: 0,
            sound: false,
            last_event_at: opened_at,
            longest_pause: Duration::ZERO,
            _in_progress: in_progress,
        }
    }

    /// Logs and counts an interruption; `not_resumed` is absent if the stream resumes at another upstream.
    fn record_interruption(&self, interruption: Interruption, not_resumed: Option<NotResumed>) {
        let last_id = self.splitter.as_ref().and_then(|s| s.last_id().cloned());
        let upstream = self.upstream.as_ref();
        let context = &self.attempts.context;
        let silent = context.now().saturating_sub(self.last_event_at);
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
            last_event: last_id.unwrap_or_default(),
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
        self.record_interruption(interruption, Some(not_resumed));
        io::ErrorKind::ConnectionAborted.into()
    }

    /// Returns the next bytes for the caller; `None` at the end of a complete response.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, io::Error> {
        loop {
            let interruption = match self.next_data().await {
                Ok(Some(buf)) => {
                    let Some(splitter) = &mut self.splitter else {
                        self.record_progress();
                        return Ok(Some(buf));
                    };
                    match splitter.push(&buf) {
                        Ok(Some(events)) => {
                            if events.has_content {
                                self.record_progress();
                            }
                            return Ok(Some(events.buf));
                        }
                        Ok(None) => continue,
                        Err(e) => Interruption::new(InterruptionCause::EventTooLong, e.to_string()),
                    }
                }
                Ok(None) => {
                    let complete = self
                        .splitter
                        .as_ref()
                        .is_none_or(EventSplitter::is_at_boundary);
                    if complete {
                        self.in_flight.set_outcome(match self.is_server_error() {
                            true => AttemptOutcome::Failed,
                            false => AttemptOutcome::Served,
                        });
                        self.attempts
                            .context
                            .cluster_view
                            .record_success(self.attempts.request.fingerprint);
                        self.record_sound();
                        if self.splitter.is_some() {
                            let mesh = &self.attempts.context.metrics.mesh;
                            mesh.longest_pause.observe(self.longest_pause.as_secs_f64());
                        }
                        return Ok(None);
                    }
                    Interruption::broken("the stream ended within an event".to_owned())
                }
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                    let cause = match self.attempts.remaining_time().is_zero() {
                        true => InterruptionCause::OutOfTime,
                        false => InterruptionCause::Silent,
                    };
                    Interruption::new(cause, e.to_string())
                }
                Err(e) => Interruption::broken(e.to_string()),
            };
            self.resume(interruption).await?;
        }
    }

    fn is_server_error(&self) -> bool {
        self.response.inner.status().is_server_error()
    }

    /// Returns the time to wait for more bytes: until the request times out and, for a stream that can be
    /// resumed elsewhere, until its upstream has sent no event for too long. Comments do not count as events.
    fn read_timeout(&self) -> Duration {
        let remaining = self.attempts.remaining_time();
        if self.splitter.is_none() || !self.resumable {
            return remaining;
        }
        let silent_for = self
            .attempts
            .context
            .now()
            .saturating_sub(self.last_event_at);
        remaining.min(self.attempts.silence_timeout().saturating_sub(silent_for))
    }

    async fn next_data(&mut self) -> Result<Option<Bytes>, io::Error> {
        loop {
            let timeout = self.read_timeout();
            // A timeout of zero would still return bytes that are already buffered.
            if timeout.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let frame = self.response.inner.body_mut().frame();
            let frame = actix_rt::time::timeout(timeout, frame).await;
            let frame = frame.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
            let Some(frame) = frame else {
                return Ok(None);
            };
            let frame = frame.map_err(io::Error::other)?;
            let Ok(buf) = frame.into_data() else {
                continue;
            };
            return Ok(Some(buf));
        }
    }

    /// Records that the upstream has made progress.
    fn record_progress(&mut self) {
        let now = self.attempts.context.now();
        self.progress += 1;
        if self.progress == 1 {
            self.in_flight.record_first_event();
        } else {
            let pause = now.saturating_sub(self.last_event_at);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.last_event_at = now;
        let elapsed = now.saturating_sub(self.head_at);
        if self.progress >= SOUND_PROGRESS && elapsed >= SOUND_AFTER {
            self.record_sound();
        }
    }

    /// Records once that the request does not crash its upstream, if it is known by a successful response.
    fn record_sound(&mut self) {
        if self.sound || !self.response.inner.status().is_success() {
            return;
        }
        self.sound = true;
        let parts = &self.attempts.request.prompt_parts;
        if !parts.is_empty() {
            self.attempts.context.cluster_view.record_sound(parts);
        }
    }

    /// Records that the upstream ended the connection within its response, unless it aborted the response to
    /// switch to other weights.
    fn report_break(&self) {
        let upstream = self.upstream.as_ref();
        if let Some(upstream) = upstream.filter(|_| !self.in_flight.is_switching()) {
            let broken = BrokenAttempt {
                began: true,
                sound: self.sound,
            };
            self.attempts.report_break(upstream, broken);
        }
    }

    /// Resumes the stream at another upstream after the last complete event, if the request may run again.
    async fn resume(&mut self, interruption: Interruption) -> Result<(), io::Error> {
        self.in_flight.set_outcome(AttemptOutcome::Failed);
        if interruption.cause == InterruptionCause::Broken {
            self.report_break();
        }
        let last_id = match &mut self.splitter {
            Some(splitter) => {
                splitter.discard_incomplete();
                splitter.last_id().cloned()
            }
            None => return Err(self.abort(interruption, NotResumed::NotEvents)),
        };
        if let Some(upstream) = self
            .upstream
            .as_ref()
            .filter(|_| !self.in_flight.is_switching())
        {
            self.attempts.report_crash(upstream);
        }
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
        if !response.inner.status().is_success() {
            return Err(self.abort(interruption, NotResumed::ErrorResponse));
        }
        self.record_interruption(interruption, None);
        self.upstream = in_flight.upstream_record();
        self.response = *response;
        self.in_flight = in_flight;
        self.head_at = self.attempts.context.now();
        self.last_event_at = self.head_at;
        self.progress = 0;
        self.sound = false;
        Ok(())
    }
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
    let upstream_response = &relay.response.inner;
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
            version: relay.response.version(),
            limited: None,
            refused_part: None,
            at_most_once: relay.attempts.request.runs_at_most_once(),
        },
    );
    let mut builder = new_response_builder(&relay.attempts.context, status);
    copy_headers(upstream_response.headers(), &mut builder);
    let length = upstream_response.body().size_hint().exact();
    match length.filter(|_| relay.splitter.is_none()) {
        Some(length) => builder.body(SizedStream::new(length, stream_body(relay))),
        None => builder.streaming(stream_body(relay)),
    }
}

fn stream_body(relay: ResponseRelay) -> impl Stream<Item = Result<Bytes, io::Error>> + Unpin {
    let bytes = stream::try_unfold(relay, |mut relay| async {
        let next = relay.next_bytes().await?;
        Ok(next.map(|buf| (buf, relay)))
    });
    Box::pin(bytes)
}
