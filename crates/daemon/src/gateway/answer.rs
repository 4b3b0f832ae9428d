//! Answers to callers: the system's own, and those of upstreams, passed on as they come.

use std::{io, time::Duration};

use actix_web::{body::SizedStream, http::StatusCode, HttpResponse, HttpResponseBuilder};
use balsamjunction_directory::{RouteKind, UpstreamRecord};
use balsamjunction_policy::{dispatch::AttemptOutcome, Moment};
use bytes::Bytes;
use futures_util::{stream, Stream};
use http_body_util::BodyExt;
use hyper::{body::Body, HeaderMap};
use rand::Rng;
use smol_str::SmolStr;
use strum::IntoStaticStr;

use super::{
    admission::InProgress,
    context::{Flight, GatewayContext},
    events_stream::EventSplitter,
    run::Run,
    send::Sent,
};
use crate::{events::Event, http::is_end_to_end, metrics::RequestLabels};

/// Part by which the time to come back is spread, so that callers do not come back together.
const SPREAD: f64 = 0.5;

/// Why the system itself answers.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The process is about to end.
    Stopping,
    /// The facts are too old to admit a key by.
    StaleFacts,
    /// No route has the host and path.
    NoRoute,
    /// Nobody holds the key.
    UnknownKey,
    /// The request cannot be read.
    Malformed,
    /// The head is longer than allowed.
    HeadTooLong,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The body did not come in time.
    BodyTooSlow,
    /// No upstream may take the request.
    NoUpstream,
    /// Every upstream is too busy.
    Overload,
    /// Every upstream has said that it wants nothing for a while.
    UpstreamsRest,
    /// Every upstream that was asked turned the request away.
    TurnedAway,
    /// The upstream's answer broke off or never came.
    BrokenAnswer,
    /// The time of caller or route is over.
    OutOfTime,
    /// The request has crashed upstreams.
    CrashesUpstreams,
    /// The upstream's answer is passed on.
    Upstream,
}

/// An answer of the system itself.
pub struct Given<'a> {
    /// The request.
    pub id: &'a SmolStr,
    /// Its route; empty if none was found.
    pub route: &'a SmolStr,
    /// The status.
    pub status: StatusCode,
    /// Why.
    pub reason: Reason,
    /// When the caller may come back, if it may.
    pub retry_after: Option<Duration>,
    /// When the request came.
    pub came: Moment,
    /// The version of the weights on which an upstream's answer began.
    pub version: Option<u64>,
    /// Whether it may run once at most.
    pub once: bool,
}

/// Writes the line about a request's final answer.
fn told(context: &GatewayContext, given: &Given<'_>) {
    let took = context.now().saturating_sub(given.came);
    let age = context.cluster_view.facts_age().unwrap_or_default();
    let reason: &'static str = given.reason.into();
    let labels = RequestLabels {
        pool: given.route.to_string(),
        outcome: given.status.as_str().to_owned(),
        refusal: reason.to_owned(),
    };
    context.metrics.requests.get_or_create(&labels).inc();
    context.cluster_view.events.emit(&Event::Answered {
        id: given.id.clone(),
        route: given.route.clone(),
        status: given.status.as_u16(),
        reason,
        took_ms: took.as_millis() as u64,
        view_age_ms: age.as_millis() as u64,
        configuration: context.cluster_view.configuration_version(),
        version: given.version,
        once: given.once,
    });
}

fn start(context: &GatewayContext, status: StatusCode) -> HttpResponseBuilder {
    let mut response = HttpResponse::build(status);
    if context.lifecycle.is_stopping() {
        response.force_close();
    }
    response
}

/// Answers in the system's own name.
pub fn own(context: &GatewayContext, given: &Given<'_>) -> HttpResponse {
    told(context, given);
    let mut response = start(context, given.status);
    if let Some(pause) = given.retry_after {
        let spread = rand::rng().random_range(1.0..1.0 + SPREAD);
        let seconds = pause.as_secs_f64() * spread;
        response.insert_header(("retry-after", format!("{seconds:.2}")));
    }
    let reason: &'static str = given.reason.into();
    response.body(reason)
}

/// An upstream's answer on its way to the caller.
pub struct Relay {
    run: Run,
    sent: Sent,
    flight: Flight,
    target: Option<UpstreamRecord>,
    splitter: Option<EventSplitter>,
    seen_event: bool,
    last_event: Moment,
    longest_pause: Duration,
    _in_progress: InProgress,
}

impl Relay {
    /// An answer whose head has come.
    pub fn new(run: Run, sent: Sent, flight: Flight, in_progress: InProgress) -> Self {
        let success = sent.response.status().is_success();
        let opened = run.context.now();
        let resumable = run.call.route.kind == RouteKind::Streaming && run.call.route.resumable;
        Self {
            target: flight.target(),
            splitter: (success && resumable).then(EventSplitter::default),
            run,
            sent,
            flight,
            seen_event: false,
            last_event: opened,
            longest_pause: Duration::ZERO,
            _in_progress: in_progress,
        }
    }

    fn event(&self, resumed: bool, detail: String) {
        let last = self.splitter.as_ref().and_then(|s| s.last_id().cloned());
        let target = self.target.as_ref();
        self.run
            .context
            .cluster_view
            .events
            .emit(&Event::StreamBroken {
                id: self.run.call.id.clone(),
                upstream: target.map(|t| t.id.clone()).unwrap_or_default(),
                last_event: last.unwrap_or_default(),
                resumed,
                detail,
            });
    }

    /// The next bytes for the caller; nothing at the end of a whole answer.
    async fn next(&mut self) -> Result<Option<Bytes>, io::Error> {
        loop {
            let detail = match self.frame().await {
                Ok(Some(buf)) => {
                    let Some(splitter) = &mut self.splitter else {
                        self.progress();
                        return Ok(Some(buf));
                    };
                    match splitter.push(&buf) {
                        Ok(Some(events)) => {
                            if events.told {
                                self.progress();
                            }
                            return Ok(Some(events.buf));
                        }
                        Ok(None) => continue,
                        Err(e) => e.to_string(),
                    }
                }
                Ok(None) => {
                    let whole = self.splitter.as_ref().is_none_or(EventSplitter::at_border);
                    if whole {
                        self.flight.end_as(match self.failed() {
                            true => AttemptOutcome::Failed,
                            false => AttemptOutcome::Served,
                        });
                        self.run
                            .context
                            .cluster_view
                            .mark_served(self.run.call.fingerprint);
                        if self.splitter.is_some() {
                            let mesh = &self.run.context.metrics.mesh;
                            mesh.longest_pause.observe(self.longest_pause.as_secs_f64());
                        }
                        return Ok(None);
                    }
                    "ended within an event".to_owned()
                }
                Err(e) => e.to_string(),
            };
            self.resume(detail).await?;
        }
    }

    fn failed(&self) -> bool {
        self.sent.response.status().is_server_error()
    }

    /// How long more bytes are waited for: to the end of the caller's time, and of a stream that can go
    /// on elsewhere until its upstream has told nothing for too long, whatever bytes it sends.
    fn patience(&self) -> Duration {
        let left = self.run.left();
        if self.splitter.is_none() {
            return left;
        }
        let silent = self.run.context.now().saturating_sub(self.last_event);
        left.min(self.run.silence().saturating_sub(silent))
    }

    async fn frame(&mut self) -> Result<Option<Bytes>, io::Error> {
        loop {
            let patience = self.patience();
            // Bytes that are there already would be taken though the time is over.
            if patience.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let frame = self.sent.response.body_mut().frame();
            let frame = actix_rt::time::timeout(patience, frame).await;
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

    /// Notes that the upstream has told something.
    fn progress(&mut self) {
        let now = self.run.context.now();
        if !std::mem::replace(&mut self.seen_event, true) {
            self.flight.first_event();
        } else {
            let pause = now.saturating_sub(self.last_event);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.last_event = now;
    }

    /// Goes on at another upstream after the last whole event, if that may be.
    async fn resume(&mut self, detail: String) -> Result<(), io::Error> {
        self.flight.end_as(AttemptOutcome::Failed);
        let last = match &mut self.splitter {
            Some(splitter) => {
                splitter.drop_rest();
                splitter.last_id().cloned()
            }
            None => {
                self.event(false, detail);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        };
        if let Some(target) = self.target.as_ref().filter(|_| !self.flight.turning()) {
            self.run.note_crash(target);
        }
        let left = self.run.left();
        if left.is_zero() || !self.run.may_repeat() {
            self.event(false, detail);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let found = actix_rt::time::timeout(left, self.run.find_answer(last.as_ref())).await;
        let Ok(Ok((sent, flight))) = found else {
            self.event(false, detail);
            return Err(io::ErrorKind::ConnectionAborted.into());
        };
        if !sent.response.status().is_success() {
            self.event(false, format!("{detail}; the other upstream failed"));
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.event(true, detail);
        self.target = flight.target();
        self.sent = *sent;
        self.flight = flight;
        self.seen_event = false;
        self.last_event = self.run.context.now();
        Ok(())
    }
}

fn copy_headers(from: &HeaderMap, to: &mut HttpResponseBuilder) {
    for (name, value) in from {
        if is_end_to_end(name.as_str()) {
            to.append_header((name.as_str(), value.as_bytes()));
        }
    }
}

/// Passes an upstream's answer on.
pub async fn relay(relay: Relay) -> HttpResponse {
    let head = &relay.sent.response;
    let status = StatusCode::from_u16(head.status().as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    told(
        &relay.run.context,
        &Given {
            id: &relay.run.call.id,
            route: &relay.run.call.route.name,
            status,
            reason: Reason::Upstream,
            retry_after: None,
            came: relay.run.call.came,
            version: relay.sent.version(),
            once: relay.run.call.may_run_once(),
        },
    );
    let mut response = start(&relay.run.context, status);
    copy_headers(head.headers(), &mut response);
    let length = head.body().size_hint().exact();
    match length.filter(|_| relay.splitter.is_none()) {
        Some(length) => response.body(SizedStream::new(length, bytes_of(relay))),
        None => response.streaming(bytes_of(relay)),
    }
}

fn bytes_of(relay: Relay) -> impl Stream<Item = Result<Bytes, io::Error>> + Unpin {
    let bytes = stream::try_unfold(relay, |mut relay| async {
        let next = relay.next().await?;
        Ok(next.map(|buf| (buf, relay)))
    });
    Box::pin(bytes)
}
