//! `diff`: lists the changes between two declarations.

use std::{io::Write, path::Path};

use balsamjunction_settings::diff;
use serde_json::json;

use super::{read_declaration, write_change};
use crate::error::CliError;

/// Writes one line per change, marked `~` if changed, `+` if added and `-` if removed.
pub fn run(old: &Path, new: &Path, json: bool, out: &mut dyn Write) -> Result<(), CliError> {
    let changes = diff(&read_declaration(old)?, &read_declaration(new)?);
    if json {
        writeln!(out, "{}", json!({ "changes": changes }))?;
        return Ok(());
    }
    for change in &changes {
        write_change(change, out)?;
    }
    Ok(())
}
