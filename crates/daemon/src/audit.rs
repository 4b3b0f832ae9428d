//! The audit trail: what changed, by whom, and whether it was accepted.

use std::{collections::VecDeque, sync::Mutex};

use serde::Serialize;
use smol_str::SmolStr;

use crate::clock::Clock;

/// Entries kept for operators; about 200 KB.
const MAX_ENTRIES: usize = 1_000;

/// What was decided about a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It is in force.
    Accepted,
    /// It was not applied.
    Refused,
}

/// The kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// A fleet declaration.
    Declaration,
    /// The membership list.
    Members,
    /// The version that an engine serves.
    Version,
    /// A request that crashed an upstream.
    Crash,
    /// An upstream that was left out or taken back.
    Ejection,
    /// Start or stop of the process.
    Process,
}

/// One line of the trail.
#[derive(Clone, Debug, Serialize)]
pub struct AuditEntry {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The change.
    #[serde(flatten)]
    pub record: AuditRecord,
}

/// The last entries of the trail, which also go to standard output.
#[derive(Debug)]
pub struct AuditTrail {
    clock: Clock,
    entries: Mutex<VecDeque<AuditEntry>>,
}

/// A change to be recorded.
#[derive(Clone, Debug, Serialize)]
pub struct AuditRecord {
    /// Who caused it: an author, a peer, or the process itself.
    #[serde(rename = "who")]
    pub actor: SmolStr,
    /// What kind of change.
    #[serde(rename = "action")]
    pub kind: ChangeKind,
    /// What stood before.
    pub from: SmolStr,
    /// What stands now, or would.
    pub to: SmolStr,
    /// Whether it is in force.
    pub verdict: Verdict,
    /// Why, in words.
    #[serde(rename = "why")]
    pub reason: SmolStr,
}

impl AuditRecord {
    /// The start or the stop of a process.
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
    /// An empty trail.
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

    /// The kept entries, oldest first.
    pub fn entries(&self) -> Vec<AuditEntry> {
        let entries = self.entries.lock();
        entries
            .map(|e| e.iter().cloned().collect())
            .unwrap_or_default()
    }
}
