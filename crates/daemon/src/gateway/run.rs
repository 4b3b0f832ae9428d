//! A request's way to an answer: upstreams one after the other, until one answers or no other may.

use std::{sync::Arc, time::Duration};

use actix_web::{http::StatusCode, HttpResponse};
use balsamjunction_directory::{RouteKind, UpstreamRecord};
use balsamjunction_platform::headers;
use balsamjunction_policy::dispatch::{
    AttemptOutcome, DispatchRefusal, RefusalReason, RequestRequirements, ServedVersion,
};
use balsamjunction_protocol::Crash;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    header::{HeaderName, HeaderValue},
    Request,
};
use smol_str::SmolStr;

use super::{
    admission::InProgress,
    answer::{self, Given, Reason, Relay},
    call::Call,
    context::{Flight, GatewayContext},
    send::{self, SendError, Sent},
};
use crate::{events::Event, mesh};

/// Upstreams that are asked for one request, those included that never had it.
const MAX_ASKED: u32 = 5;
/// An upstream that is silent for this long, while it streams or before, is given up for another
/// one; engines pause for a few hundred milliseconds at most.
const STREAM_SILENCE: Duration = Duration::from_millis(1_500);
/// Shortest time after which a silent plain service is given up for another upstream.
const LEAST_SILENCE: Duration = Duration::from_millis(300);
/// Multiple of the wanted time after which a silent plain service is given up.
const SILENCE_FACTOR: u32 = 3;
/// Pause before a caller comes back whose request found no upstream to try.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// What became of one attempt.
enum Attempted {
    /// An answer that may be passed on; a failure among them.
    Answer(Box<Sent>, Flight),
    /// It surely did not run.
    NotRun,
    /// It surely did not run, and no retry is left for another upstream.
    NoRetryLeft,
    /// It may have run.
    Unknown,
}

/// One request and the upstreams that have had it.
pub struct Run {
    /// What all requests share.
    pub context: Arc<GatewayContext>,
    /// The request.
    pub call: Arc<Call>,
    demand: RequestRequirements,
    asked: u32,
    ran: u32,
    /// Whether an upstream has had the request, if only to turn it away.
    arrived: bool,
    /// Whether a retry was taken from the allowance that has reached no upstream yet.
    holds_retry: bool,
}

/// Serves a request that was admitted.
pub async fn serve(
    context: Arc<GatewayContext>,
    call: Call,
    in_progress: InProgress,
) -> HttpResponse {
    context.count_request(&call.service);
    let mut run = Run::new(context, Arc::new(call));
    let left = run.left();
    // A timeout drops the attempt, which closes its connection.
    let found = actix_rt::time::timeout(left, run.find_answer(None)).await;
    let given = match found {
        Ok(Ok((sent, flight))) => {
            return answer::relay(Relay::new(run, *sent, flight, in_progress)).await;
        }
        Ok(Err(given_up)) => given_up,
        Err(_) => run.out_of_time(),
    };
    answer::own(
        &run.context,
        &Given {
            id: &run.call.id,
            route: &run.call.route.name,
            status: given.status,
            reason: given.reason,
            retry_after: given.retry_after,
            came: run.call.came,
            version: None,
            once: run.call.may_run_once(),
        },
    )
}

/// Why no upstream's answer is passed on.
pub struct GivenUp {
    status: StatusCode,
    reason: Reason,
    retry_after: Option<Duration>,
}

impl Run {
    fn new(context: Arc<GatewayContext>, call: Arc<Call>) -> Self {
        let demand = call.demand();
        Self {
            context,
            call,
            demand,
            asked: 0,
            ran: 0,
            arrived: false,
            holds_retry: false,
        }
    }

    /// Time until nobody waits any more.
    pub fn left(&self) -> Duration {
        self.call.deadline().saturating_sub(self.context.now())
    }

    fn out_of_time(&self) -> GivenUp {
        if self.ran == 0 && self.asked == 0 {
            return not_run(Reason::Overload, RETRY_AFTER);
        }
        GivenUp {
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: Reason::OutOfTime,
            retry_after: None,
        }
    }

    /// Sends the request until an answer comes, or no further upstream may have it.
    ///
    /// `resume_after` is the id of the last event that the caller has, where a stream goes on.
    pub async fn find_answer(
        &mut self,
        resume_after: Option<&SmolStr>,
    ) -> Result<(Box<Sent>, Flight), GivenUp> {
        loop {
            if self
                .context
                .cluster_view
                .crashes_upstreams(self.call.fingerprint)
            {
                return Err(self.give_up(Reason::CrashesUpstreams, RETRY_AFTER));
            }
            if self.call.holder.is_some() && !self.context.keys_are_current() {
                return Err(self.give_up(Reason::StaleFacts, RETRY_AFTER));
            }
            let flight = match self.context.place(self.demand.clone()).await {
                Ok(flight) => flight,
                Err(refused) => return Err(self.refused(&refused)),
            };
            self.demand.tried.push(flight.upstream());
            self.asked += 1;
            match self.attempt(flight, resume_after).await {
                Attempted::Answer(sent, flight) => {
                    self.ran += 1;
                    let failed = sent.response.status().is_server_error();
                    if failed && self.may_repeat() {
                        drop(sent);
                        continue;
                    }
                    return Ok((sent, flight));
                }
                Attempted::NotRun if self.asked < MAX_ASKED => {}
                Attempted::NotRun | Attempted::NoRetryLeft => {
                    return Err(self.give_up(Reason::TurnedAway, RETRY_AFTER));
                }
                Attempted::Unknown => {
                    self.ran += 1;
                    if !self.may_repeat() {
                        return Err(self.give_up(Reason::BrokenAnswer, RETRY_AFTER));
                    }
                }
            }
        }
    }

    /// Takes a retry for a request that may have run, if its kind, its route and the allowance let
    /// it run again.
    pub fn may_repeat(&mut self) -> bool {
        self.call.route.repeatable() && self.ran < self.call.route.max_attempts && self.take_retry()
    }

    /// Takes a retry from the allowance, unless one is held that has reached no upstream.
    fn take_retry(&mut self) -> bool {
        self.holds_retry = self.holds_retry || self.context.spend_retry(&self.call.service);
        self.holds_retry
    }

    fn refused(&self, refused: &DispatchRefusal) -> GivenUp {
        let reason = match refused.reason {
            RefusalReason::NoUpstream => Reason::NoUpstream,
            RefusalReason::Overload => Reason::Overload,
            RefusalReason::BackingOff => Reason::UpstreamsRest,
        };
        self.give_up(reason, refused.retry_after)
    }

    fn give_up(&self, reason: Reason, retry_after: Duration) -> GivenUp {
        if self.ran == 0 {
            return not_run(reason, retry_after);
        }
        GivenUp {
            status: StatusCode::BAD_GATEWAY,
            reason,
            retry_after: None,
        }
    }

    async fn attempt(&mut self, mut flight: Flight, resume_after: Option<&SmolStr>) -> Attempted {
        let Some(target) = flight.target() else {
            return Attempted::NotRun;
        };
        let model = self.demand.model.as_ref();
        let served = model.and_then(|model| flight.served_version(model));
        let begin_by = served.and_then(|served| served.start_deadline);
        let now = self.context.now();
        self.context.cluster_view.events.emit(&Event::Sent {
            id: self.call.id.clone(),
            upstream: target.id.clone(),
            attempt: self.asked,
            expected_ms: flight.expected_ms() as u64,
            version: served.map(|served| served.version),
            begin_within_ms: begin_by.map(|by| by.saturating_sub(now).as_millis() as u64),
            once: self.call.may_run_once(),
        });
        let tcp = match send::connect(target.address).await {
            Ok(tcp) => tcp,
            Err(e) => {
                flight.end_as(AttemptOutcome::Unreachable);
                self.failed(&target, "unreachable", e.to_string());
                return Attempted::NotRun;
            }
        };
        if !flight.may_be_sent(&self.demand) {
            let detail = "it was closed while a connection was made".to_owned();
            self.failed(&target, "not-sent", detail);
            return Attempted::NotRun;
        }
        // Every arrival beyond the first counts, also after upstreams that turned the request away.
        if self.arrived && !self.take_retry() {
            return Attempted::NoRetryLeft;
        }
        self.arrived = true;
        self.holds_retry = false;
        let req = self.request(&target, resume_after);
        let silence = self.silence();
        let sent = tokio::select! {
            // An answer that is there when the time ends goes first: the request has begun.
            biased;
            sent = actix_rt::time::timeout(silence, send::send(tcp, req)) => sent,
            () = self.until_overdue(&flight, served) => return self.recall(&mut flight, &target),
        };
        let detail = match sent {
            Ok(Ok(sent)) => return self.judge(sent, flight, &target),
            Ok(Err(e)) => {
                if matches!(e, SendError::Broken(_)) && !flight.turning() {
                    self.note_crash(&target);
                }
                e.to_string()
            }
            Err(_) => format!("silent for {} ms", silence.as_millis()),
        };
        flight.end_as(AttemptOutcome::Failed);
        self.failed(&target, "unknown", detail);
        Attempted::Unknown
    }

    /// Waits until the request must have begun, if its upstream serves a version that is overtaken.
    async fn until_overdue(&self, flight: &Flight, served: Option<ServedVersion>) {
        match self.demand.model.as_ref().zip(served) {
            Some((model, served)) => flight.until_overdue(model, served.version).await,
            None => std::future::pending().await,
        }
    }

    /// Gives up a request that has waited at an upstream until its version is overdue.
    ///
    /// Most engines drop what waits when its connection closes. It may have begun meanwhile, so whether
    /// it goes elsewhere depends on its route. See docs/ROUTING.md, "Versions".
    ///
    /// It is wanted anew from now on: it is late through no fault of the next upstream, and its caller
    /// could not be told that it has not run.
    fn recall(&mut self, flight: &mut Flight, target: &UpstreamRecord) -> Attempted {
        flight.end_as(AttemptOutcome::Cancelled);
        self.demand.first_event_deadline = self.call.wanted_by(self.context.now());
        self.context.metrics.mesh.cancelled_requests.inc();
        let detail = "the time of its version is over".to_owned();
        self.failed(target, "recalled", detail);
        Attempted::Unknown
    }

    /// How long an upstream may be silent before the request goes elsewhere.
    pub fn silence(&self) -> Duration {
        let another = self.call.route.repeatable() && self.ran + 1 < self.call.route.max_attempts;
        if !another {
            return self.left();
        }
        let target = Duration::from_millis(self.call.route.target_latency_ms);
        match self.call.route.kind {
            RouteKind::Streaming => STREAM_SILENCE,
            _ => LEAST_SILENCE.max(target * SILENCE_FACTOR),
        }
    }

    /// Tells an answer of this upstream to this request from everything else.
    fn judge(&mut self, sent: Sent, mut flight: Flight, target: &UpstreamRecord) -> Attempted {
        self.note_leaving(&sent, &flight, target);
        self.note_rest(&sent, &flight, target);
        if sent
            .header(headers::ATTEMPT_ID)
            .is_some_and(|id| id != self.call.id.as_str())
        {
            flight.end_as(AttemptOutcome::Failed);
            self.failed(target, "unknown", "answer to another request".to_owned());
            return Attempted::Unknown;
        }
        if let Some((running, waiting, _)) =
            sent.header(headers::LOAD).and_then(headers::parse_load)
        {
            flight.load(running, waiting);
        }
        let status = sent.response.status();
        let misdirected = status == hyper::StatusCode::MISDIRECTED_REQUEST;
        if misdirected || sent.header(headers::NOT_RUN).is_some() {
            flight.end_as(match misdirected {
                true => AttemptOutcome::Misdirected,
                false => AttemptOutcome::Rejected,
            });
            self.failed(target, "not-run", format!("status {status}"));
            return Attempted::NotRun;
        }
        if sent.header(headers::SIGNATURE).is_none() {
            flight.end_as(AttemptOutcome::Failed);
            self.failed(target, "unknown", format!("unsigned status {status}"));
            return Attempted::Unknown;
        }
        self.note_version(&sent);
        flight.end_as(match status.is_server_error() {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Cancelled,
        });
        if status.is_server_error() {
            self.failed(target, "failed", format!("status {status}"));
        }
        Attempted::Answer(Box::new(sent), flight)
    }

    /// Closes whoever says that it leaves, before the answer that says so is passed on.
    fn note_leaving(&self, sent: &Sent, flight: &Flight, target: &UpstreamRecord) {
        let misdirected = sent.response.status() == hyper::StatusCode::MISDIRECTED_REQUEST;
        let leaving = sent
            .header(headers::LEAVING)
            .is_some_and(headers::parse_leaving);
        if !leaving || !flight.leaves(misdirected) {
            return;
        }
        self.context.metrics.mesh.leaving_upstreams.inc();
        self.context
            .cluster_view
            .events
            .emit(&Event::UpstreamLeaves {
                id: self.call.id.clone(),
                upstream: target.id.clone(),
                misdirected,
            });
    }

    /// Leaves an upstream alone for as long as it says when it turns a request away.
    fn note_rest(&self, sent: &Sent, flight: &Flight, target: &UpstreamRecord) {
        let turned_away = sent.response.status() == hyper::StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = sent.response.headers().get(headers::RETRY_AFTER);
        let Some(retry_after) = retry_after.filter(|_| turned_away) else {
            return;
        };
        let asked = headers::parse_retry_after(&String::from_utf8_lossy(retry_after.as_bytes()));
        let pause = flight.rests(asked.ok());
        self.context.metrics.mesh.backoff_responses.inc();
        self.context
            .cluster_view
            .events
            .emit(&Event::UpstreamBackoff {
                id: self.call.id.clone(),
                upstream: target.id.clone(),
                for_ms: pause.as_millis() as u64,
                detail: match asked {
                    Ok(asked) => format!("it asked for {} ms", asked.as_millis()),
                    Err(e) => format!("its time cannot be read: {e}"),
                },
            });
    }

    /// Counts an answer that began on an older version after the time of a recall.
    fn note_version(&self, sent: &Sent) {
        let model = self.demand.model.as_ref();
        if let Some((model, version)) = model.zip(sent.version()) {
            if self.context.overdue(model, version) {
                self.context.metrics.mesh.overdue_answers.inc();
            }
        }
    }

    fn request(
        &self,
        target: &UpstreamRecord,
        resume_after: Option<&SmolStr>,
    ) -> Request<Full<Bytes>> {
        let call = &self.call;
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        if let Ok(uri) = call.target.parse() {
            *req.uri_mut() = uri;
        }
        *req.headers_mut() = call.headers.clone();
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                req.headers_mut()
                    .insert(HeaderName::from_static(name), value);
            }
        };
        set("connection", "close");
        set(headers::EXPECT_UPSTREAM, &target.id);
        let left = self.left();
        let stated = call.stated_patience.unwrap_or(call.patience);
        set(
            headers::DEADLINE_MS,
            &left.min(stated).as_millis().max(1).to_string(),
        );
        if let Some(holder) = &call.holder {
            set(headers::WORKSPACE, &holder.workspace);
        }
        if call.route.kind == RouteKind::Streaming {
            let priority = self.demand.priority.min(9);
            set(headers::PRIORITY, &priority.to_string());
        }
        if let Some(id) = resume_after {
            set(headers::LAST_EVENT_ID, id);
        }
        req
    }

    /// Tells the other entries of a request whose upstream broke under it.
    pub fn note_crash(&self, target: &UpstreamRecord) {
        let crash = Crash {
            fingerprint: self.call.fingerprint,
            upstream: target.id.clone(),
        };
        let news = self.context.cluster_view.record_crashes(vec![crash]);
        if news.is_empty() {
            return;
        }
        let context = self.context.clone();
        actix_rt::spawn(async move {
            let client = balsamjunction_client::new_client(None);
            mesh::notify_crashes(&context.cluster_view, &client, news).await;
        });
    }

    /// Writes a line about an attempt that failed.
    pub fn failed(&self, target: &UpstreamRecord, ending: &'static str, detail: String) {
        self.context
            .cluster_view
            .events
            .emit(&Event::AttemptFailed {
                id: self.call.id.clone(),
                upstream: target.id.clone(),
                ending,
                detail,
                once: self.call.may_run_once(),
            });
    }
}

fn not_run(reason: Reason, retry_after: Duration) -> GivenUp {
    GivenUp {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason,
        retry_after: Some(retry_after),
    }
}
