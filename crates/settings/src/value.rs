//! The tunable values that the declaration's defaults and exceptions set.

use std::str::FromStr;

use strum::{Display, EnumCount, EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

use crate::fleet::ScopeKind;

/// Unit of a value.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "snake_case")]
pub enum ValueUnit {
    /// A number of requests.
    Requests,
    /// Milliseconds.
    Milliseconds,
    /// Per cent.
    Percent,
    /// A weight relative to the other workspaces.
    Shares,
    /// A boolean: 0 is no, 1 is yes.
    #[strum(serialize = "(0 = no, 1 = yes)")]
    Flag,
    /// A number of crashes.
    Crashes,
}

/// Key of a value; in snake case, its field name in `defaults` and in the `set` of an exception.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumCount,
    EnumIter,
    EnumString,
    IntoStaticStr,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
)]
#[strum(serialize_all = "snake_case")]
pub enum ValueKey {
    /// Concurrent requests on an upstream that has warmed up.
    MaxConcurrency,
    /// Concurrent requests on an upstream that is still cold.
    ColdConcurrency,
    /// Responses that a cold upstream must return before it counts as warm.
    WarmUpRequests,
    /// Requests that may wait in the queue of one sidecar.
    QueueLength,
    /// Deadline of a request whose caller sets none.
    DeadlineMs,
    /// Time during which a caller may resend a request with the same idempotency key.
    RepeatWindowMs,
    /// Retries allowed per 100 first attempts.
    RetryPercent,
    /// Weight of a workspace in fair queueing, relative to the other workspaces.
    WorkspaceWeight,
    /// Percentage of a link's bandwidth that transfers of weights may use.
    BulkPercent,
    /// Percentage of a pool's upstreams that may switch versions at the same time.
    TurnoverPercent,
    /// Upstream crashes after which every upstream refuses the request.
    CrashLimit,
    /// Whether the host or data centre accepts new requests.
    InService,
}

/// The built-in properties of a value.
struct ValueSpec {
    default: u64,
    /// Inclusive.
    range: (u64, u64),
    unit: ValueUnit,
    scopes: &'static [ScopeKind],
}

const UPSTREAM_SCOPES: &[ScopeKind] = &[ScopeKind::DataCentre, ScopeKind::Pool, ScopeKind::Host];
const POOL_SCOPES: &[ScopeKind] = &[ScopeKind::Pool];
const WORKSPACE_SCOPES: &[ScopeKind] = &[ScopeKind::Workspace];
const LOCATION_SCOPES: &[ScopeKind] = &[ScopeKind::DataCentre, ScopeKind::Host];

impl ValueKey {
    fn spec(self) -> ValueSpec {
        let (default, range, unit, scopes) = match self {
            Self::MaxConcurrency => (8, (1, 4096), ValueUnit::Requests, UPSTREAM_SCOPES),
            Self::ColdConcurrency => (1, (1, 4096), ValueUnit::Requests, UPSTREAM_SCOPES),
            Self::WarmUpRequests => (16, (0, 100_000), ValueUnit::Requests, UPSTREAM_SCOPES),
            Self::QueueLength => (64, (0, 65_536), ValueUnit::Requests, UPSTREAM_SCOPES),
            Self::DeadlineMs => (30_000, (1, 3_600_000), ValueUnit::Milliseconds, POOL_SCOPES),
            Self::RepeatWindowMs => (
                120_000,
                (1_000, 86_400_000),
                ValueUnit::Milliseconds,
                POOL_SCOPES,
            ),
            Self::RetryPercent => (20, (0, 100), ValueUnit::Percent, POOL_SCOPES),
            Self::WorkspaceWeight => (100, (1, 10_000), ValueUnit::Shares, WORKSPACE_SCOPES),
            Self::BulkPercent => (85, (1, 95), ValueUnit::Percent, LOCATION_SCOPES),
            Self::TurnoverPercent => (50, (1, 50), ValueUnit::Percent, POOL_SCOPES),
            Self::CrashLimit => (2, (1, 100), ValueUnit::Crashes, POOL_SCOPES),
            Self::InService => (1, (0, 1), ValueUnit::Flag, LOCATION_SCOPES),
        };
        ValueSpec {
            default,
            range,
            unit,
            scopes,
        }
    }

    /// The value that applies if neither the declaration's defaults nor an exception set it.
    pub fn built_in_default(self) -> u64 {
        self.spec().default
    }

    /// The smallest and the largest permitted value, both inclusive.
    pub fn range(self) -> (u64, u64) {
        self.spec().range
    }

    /// Unit of the value.
    pub fn unit(self) -> ValueUnit {
        self.spec().unit
    }

    /// The kinds of scope in which an exception may set the value.
    pub fn scopes(self) -> &'static [ScopeKind] {
        self.spec().scopes
    }

    /// Looks up the key by its field name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::from_str(name).ok()
    }
}

/// A partial assignment of values to keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Values {
    by_key: [Option<u64>; ValueKey::COUNT],
}

impl Values {
    /// Returns the value, or nothing if it is not set.
    pub fn get(&self, key: ValueKey) -> Option<u64> {
        self.by_key[key as usize]
    }

    /// Sets or replaces the value.
    pub fn set(&mut self, key: ValueKey, value: u64) {
        self.by_key[key as usize] = Some(value);
    }

    /// Iterates over the values that are set, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (ValueKey, u64)> + '_ {
        ValueKey::iter().filter_map(|key| Some((key, self.get(key)?)))
    }
}
