//! The end of a gateway: out of the balancer first, then the last answers, then the process.

use std::{sync::atomic::Ordering, time::Duration};

use super::context::GatewayContext;
use crate::{error::DaemonError, events::Event, process};

/// The balancer asks once a second and takes a process out after two refusals.
const LEAST_DRAIN: Duration = Duration::from_millis(3_200);
/// How long before the end of the grace the process ends by itself.
const MARGIN: Duration = Duration::from_millis(300);
/// How often the drain looks whether requests are left.
const POLL: Duration = Duration::from_millis(50);

/// Serves until the process is told to stop, and then until nothing is left to serve.
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
        detail: format!("{} requests", context.in_progress.load(Ordering::Acquire)),
    });
    let most = grace.saturating_sub(MARGIN);
    let mut waited = Duration::ZERO;
    while waited < most {
        let idle = context.in_progress.load(Ordering::Acquire) == 0;
        if waited >= LEAST_DRAIN {
            // The balancer sends nobody any more; what still comes on open connections could outlast
            // this process, and is served elsewhere.
            context.refusing.store(true, Ordering::Release);
            if idle {
                break;
            }
        }
        actix_rt::time::sleep(POLL).await;
        waited += POLL;
    }
    Ok(())
}
