//! Requests that were sent to an upstream and have not been answered.

use std::time::Duration;

use balsamjunction_directory::UpstreamRecord;
use balsamjunction_policy::{
    dispatch::{AttemptOutcome, ServedVersion},
    Moment,
};
use futures_util::{
    future::{self, LocalBoxFuture},
    FutureExt,
};
use smol_str::SmolStr;

use super::{
    context::InFlightRequest,
    send::{SendError, UpstreamResponse},
};

/// How the wait for an upstream's response ended.
pub enum PendingResult {
    /// The head of the response was received.
    Response(UpstreamResponse),
    /// The connection broke before.
    Broken(SendError),
    /// The request must have started this long ago, since the upstream serves a superseded version.
    Overdue(Duration),
}

/// One request at one upstream, whose response has not begun.
pub struct PendingAttempt {
    /// The upstream.
    pub upstream: UpstreamRecord,
    /// When the request was sent.
    pub sent_at: Moment,
    /// Whether the upstream has been silent for too long.
    pub silent: bool,
    /// Whether it was sent because the upstream of the first copy is slow.
    pub second_copy: bool,
    /// Counts the request at the upstream.
    pub in_flight: InFlightRequest,
    /// The requested model and the version that the upstream served when the request was sent.
    pub served: Option<(SmolStr, ServedVersion)>,
    /// The head of the response. Dropping it ends the connection, which makes the upstream cancel the request.
    pub response: LocalBoxFuture<'static, Result<UpstreamResponse, SendError>>,
}

impl PendingAttempt {
    async fn next_result(&mut self) -> PendingResult {
        let overdue = async {
            match &self.served {
                Some((model, served)) => {
                    self.in_flight
                        .wait_until_overdue(model, served.version)
                        .await
                }
                None => future::pending().await,
            }
        };
        tokio::select! {
            // A response that is available at the deadline takes precedence: the request has started.
            biased;
            response = &mut self.response => match response {
                Ok(response) => PendingResult::Response(response),
                Err(e) => PendingResult::Broken(e),
            },
            overdue_for = overdue => PendingResult::Overdue(overdue_for),
        }
    }

    /// Marks the upstream as failed, unless it responds after all; returns whether it was not marked before.
    pub fn mark_silent(&mut self) -> bool {
        self.in_flight.set_outcome(AttemptOutcome::Failed);
        !std::mem::replace(&mut self.silent, true)
    }
}

/// Waits until one of the attempts ends, and removes it. Never returns if there are none.
pub async fn next_result(pending: &mut Vec<PendingAttempt>) -> (PendingAttempt, PendingResult) {
    if pending.is_empty() {
        return future::pending().await;
    }
    let waits = pending
        .iter_mut()
        .map(|attempt| attempt.next_result().boxed_local());
    let (result, index, _) = future::select_all(waits).await;
    (pending.swap_remove(index), result)
}
