//! What ran on a stand-in, written where it outlives the stand-in.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    path::Path,
    sync::{Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use crate::error::LabError;

/// Appends a line for each run; oracles read the file.
#[derive(Debug)]
pub struct Ledger {
    file: Option<Mutex<File>>,
}

impl Ledger {
    /// Appends to `path`, or notes nothing without one.
    pub fn open(path: Option<&Path>) -> Result<Self, LabError> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let file = path.map(open).transpose()?;
        Ok(Self {
            file: file.map(Mutex::new),
        })
    }

    /// Notes that the request `request` started to run what `id` names.
    pub fn record(&self, id: &str, request: &str) {
        let Some(file) = &self.file else {
            return;
        };
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.unwrap_or_default().as_millis();
        let written = writeln!(file, "{id} {request} {now}");
        written.expect("a ledger that cannot be written makes the experiment void");
    }
}
