//! The checked fleet declaration and the values that hold in it.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Serialize;
use smol_str::SmolStr;
use strum::{Display, EnumString, IntoStaticStr};

use crate::value::{ValueKey, Values};

/// What an exception applies to, least specific first.
#[derive(
    Clone, Copy, Debug, Display, EnumString, IntoStaticStr, PartialEq, Eq, Hash, PartialOrd, Ord,
)]
#[strum(serialize_all = "snake_case")]
pub enum ScopeKind {
    /// All hosts of a data centre.
    DataCentre,
    /// All upstreams of a pool.
    Pool,
    /// One workspace.
    Workspace,
    /// One host.
    Host,
}

/// A scope and the name that it selects.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Scope {
    /// What is selected.
    pub kind: ScopeKind,
    /// Its name.
    pub name: SmolStr,
}

impl std::fmt::Display for Scope {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} \"{}\"", self.kind, self.name)
    }
}

/// A departure from the defaults, with the reason that somebody wrote for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exception {
    /// Unique name.
    pub name: SmolStr,
    /// Why the defaults do not do.
    pub reason: SmolStr,
    /// Where it holds.
    pub scope: Scope,
    /// What it sets.
    pub values: Values,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// The region in which it stands.
    pub region: SmolStr,
    /// Whether it takes new work.
    pub in_service: bool,
}

/// What stands behind a pool.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "snake_case")]
pub enum PoolKind {
    /// Model engines, which serve versions of weights.
    Engine,
    /// Plain services.
    Service,
}

/// A path prefix below a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Starts with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run more than once.
    pub repeatable: bool,
}

/// A back end and the sidecar before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The host on which it runs; one upstream a host.
    pub host: SmolStr,
    /// The data centre of the host.
    pub data_centre: SmolStr,
    /// Inner address of the sidecar.
    pub sidecar: SocketAddr,
}

/// A named set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// What stands behind it.
    pub kind: PoolKind,
    /// The version of weights that its engines shall serve.
    pub version: Option<SmolStr>,
    /// Longest prefix first.
    pub routes: Vec<Route>,
    /// In the order of the text.
    pub upstreams: Vec<Upstream>,
}

impl Pool {
    /// The route with the longest prefix of `path`; a path that no route covers may not be repeated.
    pub fn is_repeatable(&self, path: &str) -> bool {
        let mut routes = self.routes.iter();
        routes
            .find(|route| path.starts_with(route.prefix.as_str()))
            .is_some_and(|route| route.repeatable)
    }
}

/// A checked fleet declaration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Fleet-wide defaults.
    pub defaults: Values,
    /// Data centres by name.
    pub data_centres: BTreeMap<SmolStr, DataCentre>,
    /// Pools by name.
    pub pools: BTreeMap<SmolStr, Pool>,
    /// The declared workspaces; others are served with the defaults.
    pub workspaces: Vec<SmolStr>,
    /// In the order of the text.
    pub exceptions: Vec<Exception>,
}

/// What gave a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "source")]
pub enum ValueSource {
    /// Nobody set it.
    BuiltIn,
    /// The declaration's defaults.
    Default,
    /// An exception, with its written reason.
    Exception {
        /// The exception's name.
        name: SmolStr,
        /// Its reason.
        reason: SmolStr,
    },
}

/// A value and what gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ResolvedValue {
    /// The value.
    pub value: u64,
    /// What gave it.
    #[serde(flatten)]
    pub source: ValueSource,
}

/// Where a value is looked up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupContext {
    /// The data centre, if any.
    pub data_centre: Option<SmolStr>,
    /// The pool, if any.
    pub pool: Option<SmolStr>,
    /// The workspace, if any.
    pub workspace: Option<SmolStr>,
    /// The host, if any.
    pub host: Option<SmolStr>,
}

impl LookupContext {
    fn matches(&self, scope: &Scope) -> bool {
        let name = match scope.kind {
            ScopeKind::DataCentre => &self.data_centre,
            ScopeKind::Pool => &self.pool,
            ScopeKind::Workspace => &self.workspace,
            ScopeKind::Host => &self.host,
        };
        name.as_ref() == Some(&scope.name)
    }

    /// A place that names only a pool.
    pub fn for_pool(name: &str) -> Self {
        Self {
            pool: Some(name.into()),
            ..Self::default()
        }
    }

    /// A place that names only a workspace.
    pub fn for_workspace(name: &str) -> Self {
        Self {
            workspace: Some(name.into()),
            ..Self::default()
        }
    }
}

impl Fleet {
    /// The value that holds at a place: the most specific exception, else the default.
    pub fn resolve(&self, key: ValueKey, place: &LookupContext) -> ResolvedValue {
        let exception = self
            .exceptions
            .iter()
            .filter(|e| e.values.get(key).is_some() && place.matches(&e.scope))
            .max_by_key(|e| e.scope.kind);
        if let Some((e, value)) = exception.and_then(|e| Some((e, e.values.get(key)?))) {
            let source = ValueSource::Exception {
                name: e.name.clone(),
                reason: e.reason.clone(),
            };
            return ResolvedValue { value, source };
        }
        match self.defaults.get(key) {
            Some(value) => ResolvedValue {
                value,
                source: ValueSource::Default,
            },
            None => ResolvedValue {
                value: key.built_in_default(),
                source: ValueSource::BuiltIn,
            },
        }
    }

    /// The value that holds at a place.
    pub fn value(&self, key: ValueKey, place: &LookupContext) -> u64 {
        self.resolve(key, place).value
    }

    /// The pool and upstream that run on a host.
    pub fn upstream_on_host(&self, host: &str) -> Option<(&SmolStr, &Upstream)> {
        self.pools.iter().find_map(|(name, pool)| {
            let mut upstreams = pool.upstreams.iter();
            let upstream = upstreams.find(|upstream| upstream.host == host)?;
            Some((name, upstream))
        })
    }

    /// The place of an upstream.
    pub fn lookup_context(&self, pool: &SmolStr, upstream: &Upstream) -> LookupContext {
        LookupContext {
            data_centre: Some(upstream.data_centre.clone()),
            pool: Some(pool.clone()),
            workspace: None,
            host: Some(upstream.host.clone()),
        }
    }

    /// Whether an upstream takes new work under the declaration.
    pub fn in_service(&self, pool: &SmolStr, upstream: &Upstream) -> bool {
        let data_centre = self.data_centres.get(&upstream.data_centre);
        let place = self.lookup_context(pool, upstream);
        data_centre.is_some_and(|dc| dc.in_service) && self.value(ValueKey::InService, &place) == 1
    }

    /// The region of a data centre.
    pub fn region_of(&self, data_centre: &str) -> Option<&SmolStr> {
        self.data_centres.get(data_centre).map(|dc| &dc.region)
    }
}
