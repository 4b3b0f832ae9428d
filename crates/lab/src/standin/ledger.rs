//! The ledger: a log of the executions on a stand-in, in a file that survives its process.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    path::Path,
    sync::{Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use crate::error::LabError;

/// Appends one line per execution. Experiments and tests compare the file with what callers received.
#[derive(Debug)]
pub struct Ledger {
    file: Option<Mutex<File>>,
}

impl Ledger {
    /// Appends to the file at `path`; without a path, records nothing.
    pub fn open(path: Option<&Path>) -> Result<Self, LabError> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let file = path.map(open).transpose()?;
        Ok(Self {
            file: file.map(Mutex::new),
        })
    }

    /// Records that the operation `id` started to run on behalf of the request `request`, with the time in
    /// milliseconds since the Unix epoch.
    pub fn record(&self, id: &str, request: &str) {
        let Some(file) = &self.file else {
            return;
        };
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.unwrap_or_default().as_millis();
        let result = writeln!(file, "{id} {request} {now}");
        result.expect("the ledger is writable; an experiment without it is invalid");
    }
}
