//! `audit`: the audit trail of a process.

use std::{io::Write, net::SocketAddr};

use balsamjunction_protocol::paths;
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;

use crate::{error::CliError, fleet_client::FleetClient};

/// One line of the trail, as processes write it.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    at_ms: u64,
    who: SmolStr,
    action: SmolStr,
    from: SmolStr,
    to: SmolStr,
    verdict: SmolStr,
    why: SmolStr,
}

/// Writes a line for each change.
pub async fn run(entry: SocketAddr, json: bool, out: &mut dyn Write) -> Result<(), CliError> {
    let trail: Vec<Entry> = FleetClient::default().get(entry, paths::AUDIT).await?;
    if json {
        writeln!(out, "{}", json!({ "entries": trail }))?;
        return Ok(());
    }
    for entry in trail {
        let Entry {
            at_ms,
            who,
            action,
            from,
            to,
            verdict,
            why,
        } = entry;
        writeln!(
            out,
            "{at_ms} {action} {from} -> {to} {verdict} by {who}: {why}"
        )?;
    }
    Ok(())
}
