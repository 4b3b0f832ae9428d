//! Forwards an upstream's response to the caller.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use actix_web::{
    body::{BodyStream, SizedStream},
    error::PayloadError,
    web::Bytes,
    HttpResponse,
};
use balsamjunction_policy::router::Feedback;
use balsamjunction_protocol::{Outcome, RequestId};
use futures_util::Stream;
use log::warn;

use super::context::{EntryContext, InProgressGuard, Target};
use crate::{
    http::{copy_response_headers, BodyLength, UpstreamResponse},
    problem::{OUTCOME_HEADER, REQUEST_ID_HEADER},
};

/// Guard of one attempt; tells the router when the attempt ends, however it ends.
pub struct InFlightRequest {
    context: Arc<EntryContext>,
    target: Target,
}

impl InFlightRequest {
    /// Guards an attempt that the router has already counted on `target`.
    pub fn new(context: Arc<EntryContext>, target: Target) -> Self {
        Self { context, target }
    }

    /// The upstream of the attempt.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Records the outcome of the attempt.
    pub fn record_feedback(&self, feedback: Feedback) {
        self.context.record_feedback(&self.target, feedback);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.context.end_attempt(&self.target);
    }
}

/// A response body, with the guards that must live until it ends.
struct ResponseBody {
    response: UpstreamResponse,
    in_flight: InFlightRequest,
    request: RequestId,
    _in_progress: InProgressGuard,
}

impl Stream for ResponseBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = Pin::new(&mut self.response).poll_next(cx);
        if let Poll::Ready(Some(Err(e))) = &polled {
            // This also breaks the caller's connection, so that a truncated response never looks complete.
            warn!("{}: the response was interrupted: {e}", self.request);
            self.in_flight.record_feedback(Feedback::Failed);
        }
        polled
    }
}

/// Builds the response to the caller from that of the upstream.
pub fn build_response(
    response: UpstreamResponse,
    in_flight: InFlightRequest,
    request: RequestId,
    in_progress: InProgressGuard,
) -> HttpResponse {
    let mut caller_response = HttpResponse::build(response.status());
    copy_response_headers(response.headers(), &mut caller_response);
    caller_response
        .insert_header((OUTCOME_HEADER, <&'static str>::from(Outcome::Ran)))
        .insert_header((REQUEST_ID_HEADER, request.to_string()));
    let length = BodyLength::from_response(&response);
    let body = ResponseBody {
        response,
        in_flight,
        request,
        _in_progress: in_progress,
    };
    match length {
        BodyLength::None => caller_response.finish(),
        BodyLength::Known(length) => caller_response.body(SizedStream::new(length, body)),
        BodyLength::Unknown => caller_response.body(BodyStream::new(body)),
    }
}
