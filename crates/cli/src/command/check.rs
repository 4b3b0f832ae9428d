//! `check`: validates a declaration, lists every fault and warning, and shows what it would change.

use std::{io::Write, path::Path};

use balsamjunction_settings::{effects, lint_fleet, report::Position, Effect, Fleet, Warning};
use serde_json::{json, Value};

use super::{read_file, write_change};
use crate::error::CliError;

/// Writes a summary of a valid declaration, its warnings, and its changes to the `active` one with their
/// effects; returns the faults of an invalid declaration as an error.
pub fn run(
    path: &Path,
    active: impl FnOnce() -> Result<Option<Fleet>, CliError>,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CliError> {
    let buf = read_file(path)?;
    match lint_fleet(&buf) {
        Ok((fleet, warnings)) => {
            let changes = active()?.map(|active| effects(&active, &fleet));
            match json {
                true => write_json(&fleet, &warnings, changes, out),
                false => write_text(path, &fleet, &warnings, changes, out),
            }
        }
        Err(report) => {
            if json {
                let faults = report.faults.iter();
                let faults = faults.map(|fault| positioned(fault.position, fault.kind.to_string()));
                let faults: Vec<_> = faults.collect();
                writeln!(out, "{}", json!({"valid": false, "faults": faults}))?;
            }
            Err(CliError::InvalidDeclaration {
                path: path.to_owned(),
                report,
            })
        }
    }
}

fn positioned(position: Position, message: String) -> Value {
    json!({"line": position.line, "column": position.column, "message": message})
}

fn count_upstreams(fleet: &Fleet) -> usize {
    fleet.pools.values().map(|pool| pool.upstreams.len()).sum()
}

fn write_json(
    fleet: &Fleet,
    warnings: &[Warning],
    changes: Option<Vec<Effect>>,
    out: &mut dyn Write,
) -> Result<(), CliError> {
    let warnings = warnings.iter();
    let warnings = warnings.map(|warning| positioned(warning.position, warning.kind.to_string()));
    let mut result = json!({
        "valid": true,
        "data_centres": fleet.data_centres.len(),
        "pools": fleet.pools.len(),
        "upstreams": count_upstreams(fleet),
        "exceptions": fleet.exceptions.len(),
        "warnings": warnings.collect::<Vec<_>>(),
    });
    if let Some(changes) = changes {
        result["changes"] = json!(changes);
    }
    writeln!(out, "{result}")?;
    Ok(())
}

fn write_text(
    path: &Path,
    fleet: &Fleet,
    warnings: &[Warning],
    changes: Option<Vec<Effect>>,
    out: &mut dyn Write,
) -> Result<(), CliError> {
    let path = path.display();
    writeln!(
        out,
        "{path}: valid, {} data centres, {} pools, {} upstreams, {} exceptions",
        fleet.data_centres.len(),
        fleet.pools.len(),
        count_upstreams(fleet),
        fleet.exceptions.len(),
    )?;
    for warning in warnings {
        writeln!(out, "{path}:{warning}")?;
    }
    let Some(changes) = changes else {
        return Ok(());
    };
    if changes.is_empty() {
        writeln!(out, "no changes to the active declaration")?;
    }
    for Effect { change, effect } in &changes {
        write_change(change, out)?;
        writeln!(out, "    effect: {effect}")?;
    }
    Ok(())
}
