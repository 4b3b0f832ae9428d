//! `check`: validates a declaration and lists every fault.

use std::{io::Write, path::Path};

use balsamjunction_settings::read_fleet;
use serde_json::json;

use super::read_file;
use crate::error::CliError;

/// Writes a summary of a valid declaration; returns the faults of an invalid one as an error.
pub fn run(path: &Path, json: bool, out: &mut dyn Write) -> Result<(), CliError> {
    let buf = read_file(path)?;
    let report = match read_fleet(&buf) {
        Ok(fleet) => {
            let upstreams: usize = fleet.pools.values().map(|pool| pool.upstreams.len()).sum();
            let counts = json!({
                "valid": true,
                "data_centres": fleet.data_centres.len(),
                "pools": fleet.pools.len(),
                "upstreams": upstreams,
                "exceptions": fleet.exceptions.len(),
            });
            match json {
                true => writeln!(out, "{counts}")?,
                false => writeln!(
                    out,
                    "{}: valid, {} data centres, {} pools, {upstreams} upstreams, {} exceptions",
                    path.display(),
                    fleet.data_centres.len(),
                    fleet.pools.len(),
                    fleet.exceptions.len(),
                )?,
            }
            return Ok(());
        }
        Err(report) => report,
    };
    if json {
        let faults: Vec<_> = report
            .faults
            .iter()
            .map(|fault| {
                json!({
                    "line": fault.position.line,
                    "column": fault.position.column,
                    "message": fault.kind.to_string(),
                })
            })
            .collect();
        writeln!(out, "{}", json!({"valid": false, "faults": faults}))?;
    }
    Err(CliError::InvalidDeclaration {
        path: path.to_owned(),
        report,
    })
}
