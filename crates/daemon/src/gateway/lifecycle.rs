//! The shutdown of a gateway: it leaves the load balancer, completes the requests in progress, and exits.

use std::{
    sync::{atomic::Ordering, OnceLock},
    time::Duration,
};

use balsamjunction_policy::{
    shutdown::{Interruptible, Shutdown},
    Moment,
};
use tokio::sync::watch;

use super::context::GatewayContext;
use crate::{error::DaemonError, events::Event, process};

/// Interval between checks for requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The times of the stop once the process has received its stop signal, and whether it is about to exit.
#[derive(Debug, Default)]
pub struct StopSignal {
    shutdown: OnceLock<Shutdown>,
    exiting: watch::Sender<bool>,
}

impl StopSignal {
    /// Whether a request that arrives now is rejected.
    pub fn rejects_requests(&self, now: Moment) -> bool {
        let shutdown = self.shutdown.get();
        shutdown.is_some_and(|shutdown| shutdown.rejects_arrivals(now))
    }

    /// Whether a request may be passed on now; see [`Shutdown::may_pass_on`].
    pub fn may_pass_on(
        &self,
        now: Moment,
        expected: Moment,
        deadline: Moment,
        request: Interruptible,
    ) -> bool {
        let shutdown = self.shutdown.get();
        shutdown.is_none_or(|shutdown| shutdown.may_pass_on(now, expected, deadline, request))
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
    let stop_signal = &context.stop_signal;
    let shutdown = *stop_signal
        .shutdown
        .get_or_init(|| Shutdown::new(context.now(), grace));
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
    // Timers are late on a busy host, so the time is read instead of added up.
    loop {
        let now = context.now();
        let idle = context.in_progress.load(Ordering::Acquire) == 0;
        if now >= shutdown.last_responses_at() {
            stop_signal.exiting.send_replace(true);
        }
        if shutdown.may_exit(now, idle) {
            return Ok(());
        }
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
