//! `explain`: shows the effective values of a host, and optionally of a workspace on it, and their sources.

use std::{io::Write, path::Path};

use balsamjunction_settings::{
    fleet::LookupContext, reader::closest_match, Fleet, ResolvedValue, ValueKey, ValueSource,
};
use serde_json::json;
use smol_str::SmolStr;
use strum::IntoEnumIterator;

use super::read_declaration;
use crate::error::CliError;

/// Writes one line per value.
pub fn run(
    path: &Path,
    host: &SmolStr,
    workspace: Option<&SmolStr>,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CliError> {
    let fleet = read_declaration(path)?;
    let context = find_context(&fleet, path, host, workspace)?;
    let resolved = ValueKey::iter().map(|key| (key, fleet.resolve(key, &context)));
    if json {
        let values: serde_json::Map<_, _> = resolved
            .map(|(key, value)| (key.to_string(), json!(value)))
            .collect();
        writeln!(
            out,
            "{}",
            json!({"host": host, "workspace": workspace, "values": values})
        )?;
        return Ok(());
    }
    for (key, value) in resolved {
        write_value(key, &value, out)?;
    }
    Ok(())
}

/// Returns the lookup context of the upstream on `host`.
fn find_context(
    fleet: &Fleet,
    path: &Path,
    host: &SmolStr,
    workspace: Option<&SmolStr>,
) -> Result<LookupContext, CliError> {
    let Some((pool, upstream)) = fleet.upstream_on_host(host) else {
        let upstreams = fleet.pools.values().flat_map(|pool| &pool.upstreams);
        let names = upstreams.map(|upstream| upstream.host.as_str());
        return Err(CliError::UnknownHost {
            host: host.clone(),
            path: path.to_owned(),
            suggestion: closest_match(host, names),
        });
    };
    let mut context = fleet.lookup_context(pool, upstream);
    context.workspace = workspace.cloned();
    Ok(context)
}

fn write_value(key: ValueKey, value: &ResolvedValue, out: &mut dyn Write) -> Result<(), CliError> {
    let unit: &str = key.unit().into();
    let number = value.value;
    let name = key.to_string();
    match &value.source {
        ValueSource::BuiltIn => writeln!(out, "{name:<20} {number:>8} {unit}, built in")?,
        ValueSource::Default => writeln!(out, "{name:<20} {number:>8} {unit}, by default")?,
        ValueSource::Exception {
            name: exception,
            reason,
        } => {
            writeln!(
                out,
                "{name:<20} {number:>8} {unit}, by exception \"{exception}\": {reason}"
            )?;
        }
    }
    Ok(())
}
