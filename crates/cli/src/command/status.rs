//! `status`: shows the state of every process of the fleet.

use std::{io::Write, net::SocketAddr};

use serde_json::json;

use crate::{error::CliError, fleet_client::FleetClient};

/// Writes one line per process.
pub async fn run(entry: SocketAddr, json: bool, out: &mut dyn Write) -> Result<(), CliError> {
    let (_, processes) = FleetClient::default().fetch_fleet(entry).await?;
    if json {
        let listed: Vec<_> = processes
            .iter()
            .map(|p| json!({"host": p.host, "data_centre": p.data_centre, "status": p.status}))
            .collect();
        writeln!(out, "{}", json!({ "processes": listed }))?;
        return Ok(());
    }
    writeln!(
        out,
        "{:<14} {:<20} {:<8} {:<6} {:>8} {:>8} {:>8} {:>6}",
        "data centre", "host", "role", "ready", "revision", "running", "waiting", "limit"
    )?;
    for process in &processes {
        let Some(status) = &process.status else {
            writeln!(
                out,
                "{:<14} {:<20} no response",
                process.data_centre, process.host
            )?;
            continue;
        };
        let ready = if status.ready { "yes" } else { "no" };
        writeln!(
            out,
            "{:<14} {:<20} {:<8} {ready:<6} {:>8} {:>8} {:>8} {:>6}",
            process.data_centre,
            process.host,
            status.role,
            status.revision,
            status.load.running,
            status.load.waiting,
            status.load.limit,
        )?;
    }
    Ok(())
}
