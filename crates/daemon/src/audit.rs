//! The audit trail: records each change, its author and whether it was accepted.

use std::{collections::VecDeque, sync::Mutex};

use serde::Serialize;
use smol_str::SmolStr;

use crate::clock::Clock;

/// Most entries kept in memory; about 200 KB.
const MAX_ENTRIES: usize = 1_000;

/// Whether a change was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The change is in force.
    Accepted,
    /// The change was not applied.
    Refused,
}

/// The subject of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// A new revision of the fleet declaration.
    Declaration,
    /// A new generation of the membership list.
    Members,
    /// The version of the weights that an engine serves.
    Version,
    /// A request that crashed an upstream.
    Crash,
    /// An upstream that was ejected or readmitted.
    Ejection,
    /// The start or stop of the process.
    Process,
}

/// A recorded change with its time, written as one line of JSON.
#[derive(Clone, Debug, Serialize)]
pub struct AuditEntry {
    /// Time of the record in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The recorded change.
    #[serde(flatten)]
    pub record: AuditRecord,
}

/// Prints changes to standard output and keeps the last `MAX_ENTRIES` of them.
#[derive(Debug)]
pub struct AuditTrail {
    clock: Clock,
    entries: Mutex<VecDeque<AuditEntry>>,
}

/// A change as it is passed to [`AuditTrail::record`].
#[derive(Clone, Debug, Serialize)]
pub struct AuditRecord {
    /// The author, peer, upstream or process that caused the change.
    #[serde(rename = "who")]
    pub actor: SmolStr,
    /// The subject of the change.
    #[serde(rename = "action")]
    pub kind: ChangeKind,
    /// The previous value; empty if there was none.
    pub from: SmolStr,
    /// The new value, or the refused one.
    pub to: SmolStr,
    /// Whether the change is in force.
    pub verdict: Verdict,
    /// Free text: the cause of the change or of its refusal.
    #[serde(rename = "why")]
    pub reason: SmolStr,
}

impl AuditRecord {
    /// Describes the start or the stop of a process; `to` is the new state.
    pub fn process(host: &str, role: &str, to: &str) -> Self {
        Self {
            actor: host.into(),
            kind: ChangeKind::Process,
            from: "".into(),
            to: to.into(),
            verdict: Verdict::Accepted,
            reason: role.into(),
        }
    }
}

impl AuditTrail {
    /// Creates an empty trail.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            entries: Mutex::default(),
        }
    }

    /// Records a change and prints it as one line of JSON.
    pub fn record(&self, record: AuditRecord) {
        let entry = AuditEntry {
            at_ms: self.clock.unix_ms(),
            record,
        };
        if let Ok(line) = serde_json::to_string(&entry) {
            println!("{line}");
        }
        let Ok(mut entries) = self.entries.lock() else {
            return;
        };
        entries.push_back(entry);
        if entries.len() > MAX_ENTRIES {
            entries.pop_front();
        }
    }

    /// Returns the kept entries, oldest first.
    pub fn entries(&self) -> Vec<AuditEntry> {
        let entries = self.entries.lock();
        entries
            .map(|e| e.iter().cloned().collect())
            .unwrap_or_default()
    }
}
