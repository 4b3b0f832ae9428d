//! Carries an upstream's answer to the caller.

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

use super::context::{EntryContext, InProgress, Target};
use crate::{
    http::{copy_response_headers, BodyLength, UpstreamResponse},
    problem::{OUTCOME_HEADER, REQUEST_ID_HEADER},
};

/// Frees the upstream's place when an attempt ends, however it ends.
pub struct Flight {
    context: Arc<EntryContext>,
    target: Target,
}

impl Flight {
    /// Takes over a target that was chosen or begun.
    pub fn new(context: Arc<EntryContext>, target: Target) -> Self {
        Self { context, target }
    }

    /// Where the attempt went.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Notes what came of it.
    pub fn feedback(&self, feedback: Feedback) {
        self.context.feedback(&self.target, feedback);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.context.end(&self.target);
    }
}

/// An answer's body with everything that must live as long.
struct Carried {
    answer: UpstreamResponse,
    flight: Flight,
    request: RequestId,
    _in_progress: InProgress,
}

impl Stream for Carried {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = Pin::new(&mut self.answer).poll_next(cx);
        if let Poll::Ready(Some(Err(e))) = &polled {
            // The caller's connection breaks too, so that a cut answer never looks whole.
            warn!("{}: answer broke off: {e}", self.request);
            self.flight.feedback(Feedback::Failed);
        }
        polled
    }
}

/// Builds the caller's answer from the upstream's.
pub fn carry(
    answer: UpstreamResponse,
    flight: Flight,
    request: RequestId,
    in_progress: InProgress,
) -> HttpResponse {
    let mut response = HttpResponse::build(answer.status());
    copy_response_headers(answer.headers(), &mut response);
    response
        .insert_header((OUTCOME_HEADER, <&'static str>::from(Outcome::Ran)))
        .insert_header((REQUEST_ID_HEADER, request.to_string()));
    let length = BodyLength::from_response(&answer);
    let carried = Carried {
        answer,
        flight,
        request,
        _in_progress: in_progress,
    };
    match length {
        BodyLength::None => response.finish(),
        BodyLength::Known(length) => response.body(SizedStream::new(length, carried)),
        BodyLength::Unknown => response.body(BodyStream::new(carried)),
    }
}
