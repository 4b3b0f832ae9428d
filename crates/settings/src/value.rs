//! The values that defaults and exceptions set.

use std::str::FromStr;

use strum::{Display, EnumCount, EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

use crate::fleet::ScopeKind;

/// The unit in which a value is written.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "snake_case")]
pub enum ValueUnit {
    /// A number of requests.
    Requests,
    /// Milliseconds.
    Milliseconds,
    /// Hundredths.
    Percent,
    /// A relative share.
    Shares,
    /// Zero for no, one for yes.
    #[strum(serialize = "(0 = no, 1 = yes)")]
    Flag,
    /// A number of crashes.
    Crashes,
}

/// Names a value. The names are the fields of `defaults` and of an exception's `set`.
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
    /// Requests that a warm upstream runs at once.
    MaxConcurrency,
    /// Requests that a cold upstream runs at once.
    ColdConcurrency,
    /// Answers that a cold upstream gives before it may be warm.
    WarmUpRequests,
    /// Requests that wait at one sidecar.
    QueueLength,
    /// Time that a request has when its caller names none.
    DeadlineMs,
    /// Time in which a caller may resend an idempotency key.
    RepeatWindowMs,
    /// Retries per hundred first attempts.
    RetryPercent,
    /// A workspace's share relative to the others.
    WorkspaceWeight,
    /// Part of a link that weights may take.
    BulkPercent,
    /// Upstreams of a pool that may switch versions at once.
    TurnoverPercent,
    /// Crashes after which a request is refused everywhere.
    CrashLimit,
    /// Whether the host or data centre takes new work.
    InService,
}

/// Everything that is fixed about a value.
struct ValueSpec {
    default: u64,
    range: (u64, u64),
    unit: ValueUnit,
    scopes: &'static [ScopeKind],
}

const UPSTREAM_SCOPES: &[ScopeKind] = &[ScopeKind::DataCentre, ScopeKind::Pool, ScopeKind::Host];
const POOL_SCOPES: &[ScopeKind] = &[ScopeKind::Pool];
const WORKSPACE_SCOPES: &[ScopeKind] = &[ScopeKind::Workspace];
const PLACE_SCOPES: &[ScopeKind] = &[ScopeKind::DataCentre, ScopeKind::Host];

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
            Self::BulkPercent => (85, (1, 95), ValueUnit::Percent, PLACE_SCOPES),
            Self::TurnoverPercent => (50, (1, 50), ValueUnit::Percent, POOL_SCOPES),
            Self::CrashLimit => (2, (1, 100), ValueUnit::Crashes, POOL_SCOPES),
            Self::InService => (1, (0, 1), ValueUnit::Flag, PLACE_SCOPES),
        };
        ValueSpec {
            default,
            range,
            unit,
            scopes,
        }
    }

    /// The value where neither the declaration's defaults nor an exception sets it.
    pub fn built_in_default(self) -> u64 {
        self.spec().default
    }

    /// The least and the greatest value.
    pub fn range(self) -> (u64, u64) {
        self.spec().range
    }

    /// The unit.
    pub fn unit(self) -> ValueUnit {
        self.spec().unit
    }

    /// Where exceptions may set the value.
    pub fn scopes(self) -> &'static [ScopeKind] {
        self.spec().scopes
    }

    /// The key with this field name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::from_str(name).ok()
    }
}

/// Some values, by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Values {
    slots: [Option<u64>; ValueKey::COUNT],
}

impl Values {
    /// The value, if set.
    pub fn get(&self, key: ValueKey) -> Option<u64> {
        self.slots[key as usize]
    }

    /// Sets the value.
    pub fn set(&mut self, key: ValueKey, value: u64) {
        self.slots[key as usize] = Some(value);
    }

    /// The set values in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (ValueKey, u64)> + '_ {
        ValueKey::iter().filter_map(|key| Some((key, self.get(key)?)))
    }
}
