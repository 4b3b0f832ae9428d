//! The shutdown of a gateway: it leaves the load balancer, completes the requests in progress, and exits.

use std::{
    sync::{atomic::Ordering, OnceLock},
    time::Duration,
};

use balsamjunction_policy::Moment;
use tokio::sync::watch;

use super::context::GatewayContext;
use crate::{error::DaemonError, events::Event, process};

/// Minimum time from the stop signal to the exit: the load balancer checks readiness once a second and
/// removes a process after two failed checks.
const MIN_DRAIN: Duration = Duration::from_millis(3_200);
/// Time from the stop signal after which new requests are rejected. The load balancer sends no new callers by then, and
/// a request that arrives on an open connection could outlast this process.
const REJECT_AFTER: Duration = Duration::from_millis(2_900);
/// Time before the end of the grace period at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time before the end of the grace period at which requests without a response are answered by the process itself.
const LAST_RESPONSES_MARGIN: Duration = Duration::from_millis(700);
/// Interval between checks for requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// When the process received its stop signal, and whether it is about to exit.
#[derive(Debug, Default)]
pub struct StopSignal {
    received_at: OnceLock<Moment>,
    exiting: watch::Sender<bool>,
}

impl StopSignal {
    /// Whether a request that arrives now is rejected.
    pub fn rejects_requests(&self, now: Moment) -> bool {
        let received = self.received_at.get();
        received.is_some_and(|received| now >= *received + REJECT_AFTER)
    }

    /// Waits until requests without a response must be answered, since the process is about to exit.
    pub async fn wait_until_exiting(&self) {
        let mut exiting = self.exiting.subscribe();
        if exiting.wait_for(|exiting| *exiting).await.is_err() {
            // The sender lives as long as this object.
            std::future::pending().await
        }
    }
}

/// Waits for a stop signal, then until no request is in progress or the grace period is about to end.
pub async fn run_until_stopped(
    context: &GatewayContext,
    grace: Duration,
) -> Result<(), DaemonError> {
    process::wait_for_stop_signal().await?;
    let stopped_at = *context
        .stop_signal
        .received_at
        .get_or_init(|| context.now());
    context.lifecycle.stop();
    context
        .cluster_view
        .with_members(|members, _| members.mark_leaving());
    context.cluster_view.events.emit(&Event::Process {
        change: "draining",
        host: context.host.clone(),
        detail: format!(
            "{} requests in progress",
            context.in_progress.load(Ordering::Acquire)
        ),
    });
    let max_drain = grace.saturating_sub(EXIT_MARGIN);
    let last_responses = grace.saturating_sub(LAST_RESPONSES_MARGIN);
    // Timers are late on a busy host, so the time is read instead of added up.
    loop {
        let waited = context.now().saturating_sub(stopped_at);
        let idle = context.in_progress.load(Ordering::Acquire) == 0;
        if waited >= last_responses {
            context.stop_signal.exiting.send_replace(true);
        }
        if waited >= max_drain || (waited >= MIN_DRAIN && idle) {
            return Ok(());
        }
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
