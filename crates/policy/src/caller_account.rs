//! Account of the memory and descriptors that callers hold at a gateway.
//!
//! Every connection of a caller is in one phase at a time and is charged for the memory of that phase and of its
//! request's body. Bodies are admitted only within their share of the host's memory. Connections that hold
//! resources without progress are closed after a bound, which shortens while a share is nearly used up.

use std::collections::HashMap;

use slotmap::{new_key_type, SlotMap};
use smol_str::SmolStr;
use strum::{EnumIter, IntoStaticStr};

use crate::Moment;

new_key_type! {
    /// Key of a caller's connection.
    pub struct ConnectionKey;
}

/// Memory of the smallest host in use, assumed without a setting.
pub const DEFAULT_MEMORY_MB: u64 = 112;
/// Descriptors of the smallest host in use, assumed without a setting.
pub const DEFAULT_DESCRIPTORS: u64 = 2_870;
const BYTES_PER_MB: u64 = 1_000_000;
/// Memory that is not available to callers: a gateway at rest uses 9 MB; the facts, the metrics, requests to
/// upstreams and freed memory that the allocator keeps take the rest.
const RESERVED_BYTES: u64 = 40 * BYTES_PER_MB;
/// Descriptors that the platform reserves for files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Memory of an idle connection: the read and write buffers of the HTTP server and its task.
const IDLE_BYTES: u64 = 20 * 1_024;
/// Additional memory of a connection with a request: the request's head and state, and received bytes that are
/// not read yet.
const REQUEST_BYTES: u64 = 64 * 1_024;
/// Additional memory of a connection with an unread response: the write buffer and the response's last piece.
const UNREAD_BYTES: u64 = 64 * 1_024;
/// Longest body that may use the part of the share which is closed to longer ones, so that a few long bodies do
/// not keep out ordinary requests.
const SMALL_BODY_BYTES: u64 = 64 * 1_024;
/// Time without progress after which a body ends; as long as a head may take on the deployments in use.
const BODY_STALL_LIMIT: Moment = Moment::from_millis(3_000);
/// Time without progress after which an unread response ends. Longer than the loss of a path that recovers.
const UNREAD_LIMIT: Moment = Moment::from_millis(10_000);
/// Time for which the rest of a rejected body is discarded: the longest body at 1.4 MB a second. Bytes that are
/// discarded hold no memory, so it does not shorten while memory is short.
const DISCARD_LIMIT: Moment = Moment::from_millis(3_000);
/// Time without progress after which heads, bodies and unread responses end while memory is short. Three times a
/// retransmission on a path of 60 ms.
const SCARCE_STALL_LIMIT: Moment = Moment::from_millis(500);

/// What a connection's caller and the gateway are doing.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum ConnectionPhase {
    /// No request.
    Idle,
    /// The head of a request has arrived in part.
    Head,
    /// The body of a request is being received.
    Body,
    /// The request waits for its response, or the response is being sent.
    Request,
    /// The caller does not read its response.
    Unread,
    /// The rest of a rejected request's body is discarded, so that the caller reads the rejection.
    Discard,
}

/// Why a connection or the request on it ends.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum CloseReason {
    /// Idle for longer than the configuration allows.
    IdleTimeout,
    /// The longest idle when connections ran short.
    IdleEvicted,
    /// The request's head took too long.
    SlowHead,
    /// The request's body made no progress; its request ends with 408, and the connection stays.
    SlowBody,
    /// The response was not read.
    UnreadResponse,
    /// The caller went on with the body of a rejected request.
    RejectedBody,
    /// No connection could be closed for a new one.
    TooManyConnections,
}

/// Limits on what all callers hold together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AccountLimits {
    /// Connections.
    pub connections: usize,
    /// Memory of heads, bodies, requests and responses, in bytes.
    pub total_bytes: u64,
    /// Memory of bodies, in bytes.
    pub body_bytes: u64,
    /// Memory of bodies up to which a long one is admitted, and of all bodies of one workspace, in bytes. One
    /// workspace's long bodies are admitted up to half of `body_bytes`.
    pub long_body_bytes: u64,
}

impl AccountLimits {
    /// Derives the limits from the host's memory and descriptors; the smallest host in use is assumed without them.
    pub fn new(memory_mb: Option<u64>, descriptors: Option<u64>) -> Self {
        let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * BYTES_PER_MB;
        // The smallest accepted memory still leaves a tenth.
        let total_bytes = memory.saturating_sub(RESERVED_BYTES).max(memory / 10);
        let body_bytes = total_bytes / 2;
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        // A quarter remains for upstreams, peers and the store.
        let by_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 4 * 3;
        let by_memory = total_bytes / 4 / IDLE_BYTES;
        Self {
            connections: by_descriptors.min(by_memory).max(1) as usize,
            total_bytes,
            body_bytes,
            long_body_bytes: body_bytes / 4 * 3,
        }
    }
}

/// Time limits of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerTimeouts {
    /// For a request's head.
    pub head: Moment,
    /// For a connection without a request.
    pub idle: Moment,
}

#[derive(Clone, Debug)]
struct Connection {
    phase: ConnectionPhase,
    /// Start of the phase, or the last progress in it.
    since: Moment,
    body_bytes: u64,
    workspace: SmolStr,
    /// Whether its end was already ordered.
    closing: bool,
}

impl Connection {
    fn bytes(&self) -> u64 {
        let phase = match self.phase {
            ConnectionPhase::Idle | ConnectionPhase::Discard => 0,
            ConnectionPhase::Head | ConnectionPhase::Body | ConnectionPhase::Request => {
                REQUEST_BYTES
            }
            ConnectionPhase::Unread => REQUEST_BYTES + UNREAD_BYTES,
        };
        IDLE_BYTES + phase + self.body_bytes
    }
}

/// What callers hold in one phase.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Held {
    /// Connections.
    pub connections: usize,
    /// Memory in bytes.
    pub bytes: u64,
}

/// The result of a new connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Admission {
    /// The connection; absent if it must be closed at once.
    pub connection: Option<ConnectionKey>,
    /// A connection that must be closed for it.
    pub evicted: Option<ConnectionKey>,
}

/// The account.
#[derive(Clone, Debug)]
pub struct CallerAccount {
    limits: AccountLimits,
    timeouts: CallerTimeouts,
    connections: SlotMap<ConnectionKey, Connection>,
    /// Connections whose end was ordered.
    closing: usize,
    total_bytes: u64,
    body_bytes: u64,
    /// Memory of bodies by workspace, in bytes; without those that hold nothing.
    workspaces: HashMap<SmolStr, u64>,
}

impl CallerAccount {
    /// Creates an account without connections.
    pub fn new(limits: AccountLimits, timeouts: CallerTimeouts) -> Self {
        Self {
            limits,
            timeouts,
            connections: SlotMap::with_key(),
            closing: 0,
            total_bytes: 0,
            body_bytes: 0,
            workspaces: HashMap::new(),
        }
    }

    /// Applies the time limits of a configuration.
    pub fn set_timeouts(&mut self, timeouts: CallerTimeouts) {
        self.timeouts = timeouts;
    }

    /// Adds a connection. If there are too many, the longest idle one is closed for it, or else itself.
    pub fn connect(&mut self, now: Moment) -> Admission {
        let mut evicted = None;
        if self.connections.len() - self.closing >= self.limits.connections {
            evicted = self.longest_idle();
            match evicted {
                Some(key) => self.order_end(key),
                None => {
                    return Admission {
                        connection: None,
                        evicted,
                    }
                }
            }
        }
        let connection = Connection {
            phase: ConnectionPhase::Idle,
            since: now,
            body_bytes: 0,
            workspace: SmolStr::default(),
            closing: false,
        };
        self.total_bytes += connection.bytes();
        Admission {
            connection: Some(self.connections.insert(connection)),
            evicted,
        }
    }

    fn longest_idle(&self) -> Option<ConnectionKey> {
        let idle = self.connections.iter().filter(|(_, connection)| {
            connection.phase == ConnectionPhase::Idle && !connection.closing
        });
        let longest = idle.min_by_key(|(_, connection)| connection.since);
        longest.map(|(key, _)| key)
    }

    fn order_end(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            self.closing += usize::from(!connection.closing);
            connection.closing = true;
        }
    }

    /// Removes a connection and all that it holds.
    pub fn disconnect(&mut self, key: ConnectionKey) {
        self.release_body(key);
        if let Some(connection) = self.connections.remove(key) {
            self.total_bytes -= connection.bytes();
            self.closing -= usize::from(connection.closing);
        }
    }

    /// Records that a connection is in a phase and has just made progress in it.
    pub fn enter(&mut self, now: Moment, key: ConnectionKey, phase: ConnectionPhase) {
        if let Some(connection) = self.connections.get_mut(key) {
            let before = connection.bytes();
            connection.phase = phase;
            connection.since = now;
            // A request that arrived before the end of an idle connection keeps it.
            if phase == ConnectionPhase::Request && std::mem::take(&mut connection.closing) {
                self.closing -= 1;
            }
            self.total_bytes = self.total_bytes + connection.bytes() - before;
        }
    }

    /// Reserves memory for the body of a connection's request, in addition to what it has; returns whether it
    /// fits. A body that will be longer than `length` reserves again.
    pub fn reserve_body(&mut self, key: ConnectionKey, workspace: &SmolStr, length: u64) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        // All of a body counts for the workspace that it began with.
        let workspace = match connection.body_bytes {
            0 => workspace.clone(),
            _ => connection.workspace.clone(),
        };
        let used = self.workspaces.get(&workspace).copied().unwrap_or(0);
        let AccountLimits {
            body_bytes,
            long_body_bytes,
            ..
        } = self.limits;
        let (limit, workspace_limit) = match connection.body_bytes + length <= SMALL_BODY_BYTES {
            true => (body_bytes, long_body_bytes),
            false => (long_body_bytes, body_bytes / 2),
        };
        let fits = self.body_bytes + length <= limit
            && used + length <= workspace_limit
            && self.total_bytes + length <= self.limits.total_bytes;
        if fits {
            connection.body_bytes += length;
            connection.workspace = workspace.clone();
            self.body_bytes += length;
            self.total_bytes += length;
            *self.workspaces.entry(workspace).or_default() += length;
        }
        fits
    }

    /// Releases the memory of the body of a connection's request.
    pub fn release_body(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let released = std::mem::take(&mut connection.body_bytes);
        self.body_bytes -= released;
        self.total_bytes -= released;
        if let Some(used) = self.workspaces.get_mut(&connection.workspace) {
            *used -= released;
            if *used == 0 {
                self.workspaces.remove(&connection.workspace);
            }
        }
        connection.workspace = SmolStr::default();
    }

    /// Whether so much memory is held that connections without progress end sooner.
    fn is_scarce(&self) -> bool {
        self.body_bytes > self.limits.body_bytes / 2
            || self.total_bytes > self.limits.total_bytes / 4 * 3
    }

    /// Returns the connections that have exceeded a time limit, those that hold most first.
    ///
    /// [`CloseReason::SlowBody`] ends the request only; every other one closes the connection.
    pub fn expire(&mut self, now: Moment) -> Vec<(ConnectionKey, CloseReason)> {
        let scarce = self.is_scarce();
        let stall = |limit: Moment| match scarce {
            true => limit.min(SCARCE_STALL_LIMIT),
            false => limit,
        };
        let mut expired: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| !connection.closing)
            .filter_map(|(key, connection)| {
                let (limit, reason) = match connection.phase {
                    ConnectionPhase::Idle => (self.timeouts.idle, CloseReason::IdleTimeout),
                    ConnectionPhase::Head => (stall(self.timeouts.head), CloseReason::SlowHead),
                    ConnectionPhase::Body => (stall(BODY_STALL_LIMIT), CloseReason::SlowBody),
                    ConnectionPhase::Unread => (stall(UNREAD_LIMIT), CloseReason::UnreadResponse),
                    ConnectionPhase::Discard => (DISCARD_LIMIT, CloseReason::RejectedBody),
                    ConnectionPhase::Request => return None,
                };
                let expired = now.saturating_sub(connection.since) >= limit;
                expired.then_some((connection.bytes(), key, reason))
            })
            .collect();
        expired.sort_by_key(|(bytes, _, _)| std::cmp::Reverse(*bytes));
        for (_, key, reason) in &expired {
            match reason {
                // Not reported again unless it makes no progress for another interval.
                CloseReason::SlowBody => self.enter(now, *key, ConnectionPhase::Body),
                _ => self.order_end(*key),
            }
        }
        let expired = expired.into_iter();
        expired.map(|(_, key, reason)| (key, reason)).collect()
    }

    /// Returns what the connections in a phase hold.
    pub fn held(&self, phase: ConnectionPhase) -> Held {
        let connections = self.connections.values();
        let connections = connections.filter(|connection| connection.phase == phase);
        connections.fold(Held::default(), |held, connection| Held {
            connections: held.connections + 1,
            bytes: held.bytes + connection.bytes(),
        })
    }

    /// Returns the memory that all callers hold, in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Returns the memory of all bodies, in bytes.
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }
}
