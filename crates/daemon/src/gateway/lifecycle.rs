//! The shutdown of a gateway: it leaves the load balancer, completes the requests in progress, and exits.

use std::{sync::atomic::Ordering, time::Duration};

use super::context::GatewayContext;
use crate::{error::DaemonError, events::Event, process};

/// Minimum time from the stop signal to the exit: the load balancer checks readiness once a second and
/// removes a process after two failed checks.
const MIN_DRAIN: Duration = Duration::from_millis(3_200);
/// Time before the end of the grace period at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Interval between checks for requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for a stop signal, then until no request is in progress or the grace period is about to end.
pub async fn run_until_stopped(
    context: &GatewayContext,
    grace: Duration,
) -> Result<(), DaemonError> {
    process::wait_for_stop_signal().await?;
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
    let mut waited = Duration::ZERO;
    while waited < max_drain {
        let idle = context.in_progress.load(Ordering::Acquire) == 0;
        if waited >= MIN_DRAIN {
            // The load balancer sends no new callers now. Requests that still arrive on open
            // connections could outlast this process, so they are rejected and retried elsewhere.
            context.rejecting_requests.store(true, Ordering::Release);
            if idle {
                break;
            }
        }
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        waited += DRAIN_POLL_INTERVAL;
    }
    Ok(())
}
