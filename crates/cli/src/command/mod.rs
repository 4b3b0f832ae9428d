//! The commands, each in its own module.

mod audit;
mod check;
mod diff;
mod explain;
mod explain_request;
mod status;
mod weights;

use std::{fs, io::Write, path::Path};

use balsamjunction_settings::{read_fleet, Change, Fleet};

use crate::{
    error::CliError,
    fleet_client::FleetClient,
    options::{ActiveDeclaration, Command, Options},
};

/// Runs a command and writes its output to `out`.
pub fn run(options: &Options, out: &mut dyn Write) -> Result<(), CliError> {
    let json = options.json;
    let system = actix_rt::System::new();
    match &options.command {
        Command::Check { file, active } => {
            let active = || match active {
                None => Ok(None),
                Some(ActiveDeclaration::File(path)) => read_declaration(path).map(Some),
                Some(ActiveDeclaration::Process(address)) => system
                    .block_on(async { FleetClient::default().fetch_declaration(*address).await })
                    .map(Some),
            };
            check::run(file, active, json, out)
        }
        Command::Diff { old, new } => diff::run(old, new, json, out),
        Command::Explain {
            file,
            host,
            workspace,
        } => explain::run(file, host, workspace.as_ref(), json, out),
        Command::ExplainRequest { id, files } => explain_request::run(id, files, json, out),
        Command::Status { entry } => system.block_on(status::run(*entry, json, out)),
        Command::Audit { entry } => system.block_on(audit::run(*entry, json, out)),
        Command::Weights { entry, watch } => {
            system.block_on(weights::run(*entry, *watch, json, out))
        }
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>, CliError> {
    fs::read(path).map_err(|source| CliError::ReadFile {
        path: path.to_owned(),
        source,
    })
}

fn read_declaration(path: &Path) -> Result<Fleet, CliError> {
    let buf = read_file(path)?;
    read_fleet(&buf).map_err(|report| CliError::InvalidDeclaration {
        path: path.to_owned(),
        report,
    })
}

/// Writes a change as one line, marked `~` if changed, `+` if added and `-` if removed.
fn write_change(change: &Change, out: &mut dyn Write) -> Result<(), CliError> {
    let path = &change.path;
    match (&change.old, &change.new) {
        (Some(old), Some(new)) => writeln!(out, "~ {path}: {old} -> {new}")?,
        (None, Some(new)) => writeln!(out, "+ {path}: {new}")?,
        (Some(old), None) => writeln!(out, "- {path}: {old}")?,
        (None, None) => {}
    }
    Ok(())
}
