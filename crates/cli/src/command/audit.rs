//! `audit`: shows the audit trail of a process.

use std::{io::Write, net::SocketAddr};

use balsamjunction_protocol::paths;
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;

use crate::{error::CliError, fleet_client::FleetClient};

/// An entry of the audit trail, with the field names that processes send.
#[derive(Debug, Serialize, Deserialize)]
struct AuditEntry {
    at_ms: u64,
    who: SmolStr,
    action: SmolStr,
    from: SmolStr,
    to: SmolStr,
    verdict: SmolStr,
    why: SmolStr,
}

/// Writes one line per change.
pub async fn run(entry: SocketAddr, json: bool, out: &mut dyn Write) -> Result<(), CliError> {
    let trail: Vec<AuditEntry> = FleetClient::default().get_json(entry, paths::AUDIT).await?;
    if json {
        writeln!(out, "{}", json!({ "entries": trail }))?;
        return Ok(());
    }
    for change in trail {
        let AuditEntry {
            at_ms,
            who,
            action,
            from,
            to,
            verdict,
            why,
        } = change;
        writeln!(
            out,
            "{at_ms} {action} {from} -> {to} {verdict} by {who}: {why}"
        )?;
    }
    Ok(())
}
