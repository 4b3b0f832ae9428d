//! The validated fleet declaration and the lookup of its effective values.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Serialize;
use smol_str::SmolStr;
use strum::{Display, EnumString, IntoStaticStr};

use crate::value::{ValueKey, Values};

/// Kind of scope an exception applies to, from the least to the most specific.
#[derive(
    Clone, Copy, Debug, Display, EnumString, IntoStaticStr, PartialEq, Eq, Hash, PartialOrd, Ord,
)]
#[strum(serialize_all = "snake_case")]
pub enum ScopeKind {
    /// Every host of a data centre.
    DataCentre,
    /// Every upstream of a pool.
    Pool,
    /// One workspace.
    Workspace,
    /// One host.
    Host,
}

/// The host, workspace, pool or data centre an exception applies to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Scope {
    /// Kind of scope.
    pub kind: ScopeKind,
    /// Its name in the declaration.
    pub name: SmolStr,
}

impl std::fmt::Display for Scope {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} \"{}\"", self.kind, self.name)
    }
}

/// Values that replace the defaults in one scope, with the reason for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exception {
    /// Name, unique in the declaration.
    pub name: SmolStr,
    /// Why the defaults do not fit; never blank.
    pub reason: SmolStr,
    /// What it applies to.
    pub scope: Scope,
    /// The values it sets; the field `set` of the declaration.
    pub values: Values,
}

/// A data centre of the declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// The region it belongs to.
    pub region: SmolStr,
    /// Whether its hosts accept new requests.
    pub in_service: bool,
}

/// Kind of backend that a pool consists of.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "snake_case")]
pub enum PoolKind {
    /// Model engines, each serving a version of the weights.
    Engine,
    /// Services without weights.
    Service,
}

/// A path prefix of a pool and how its requests may be retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The prefix, starting with a slash.
    pub prefix: SmolStr,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
}

/// A backend and the sidecar in front of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The host it runs on; a host has at most one upstream.
    pub host: SmolStr,
    /// Data centre of the host.
    pub data_centre: SmolStr,
    /// Address of the sidecar's inner listener.
    pub sidecar: SocketAddr,
}

/// A named set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Kind of its upstreams.
    pub kind: PoolKind,
    /// Target version of the weights, for a pool of engines.
    pub version: Option<SmolStr>,
    /// Its routes, longest prefix first.
    pub routes: Vec<Route>,
    /// Its upstreams, in document order.
    pub upstreams: Vec<Upstream>,
}

impl Pool {
    /// Whether a request for `path` may be executed more than once: the route with the longest matching
    /// prefix decides, and without a matching route it may not.
    pub fn is_repeatable(&self, path: &str) -> bool {
        let mut routes = self.routes.iter();
        routes
            .find(|route| path.starts_with(route.prefix.as_str()))
            .is_some_and(|route| route.repeatable)
    }
}

/// A validated fleet declaration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Values that apply where no exception does.
    pub defaults: Values,
    /// Data centres by name.
    pub data_centres: BTreeMap<SmolStr, DataCentre>,
    /// Pools by name.
    pub pools: BTreeMap<SmolStr, Pool>,
    /// The declared workspaces; the defaults apply to any other.
    pub workspaces: Vec<SmolStr>,
    /// Exceptions, in document order.
    pub exceptions: Vec<Exception>,
}

/// Where an effective value comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "source")]
pub enum ValueSource {
    /// The built-in default; the declaration does not set the value.
    BuiltIn,
    /// The declaration's defaults.
    Default,
    /// An exception.
    Exception {
        /// Name of the exception.
        name: SmolStr,
        /// Reason of the exception.
        reason: SmolStr,
    },
}

/// An effective value and where it comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ResolvedValue {
    /// The effective value, in the unit of its key.
    pub value: u64,
    /// Where it comes from.
    #[serde(flatten)]
    pub source: ValueSource,
}

/// The scopes that a value is looked up for; an exception applies if its scope is one of them.
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
    /// Whether an exception with this scope applies.
    pub fn matches(&self, scope: &Scope) -> bool {
        let name = match scope.kind {
            ScopeKind::DataCentre => &self.data_centre,
            ScopeKind::Pool => &self.pool,
            ScopeKind::Workspace => &self.workspace,
            ScopeKind::Host => &self.host,
        };
        name.as_ref() == Some(&scope.name)
    }

    /// A context with only a pool, so that exceptions of other kinds of scope do not apply.
    pub fn for_pool(name: &str) -> Self {
        Self {
            pool: Some(name.into()),
            ..Self::default()
        }
    }

    /// A context with only a workspace, so that exceptions of other kinds of scope do not apply.
    pub fn for_workspace(name: &str) -> Self {
        Self {
            workspace: Some(name.into()),
            ..Self::default()
        }
    }
}

impl Fleet {
    /// Looks up the effective value and its source: the most specific exception that applies, else the
    /// declaration's default, else the built-in default.
    pub fn resolve(&self, key: ValueKey, context: &LookupContext) -> ResolvedValue {
        let exception = self
            .exceptions
            .iter()
            .filter(|e| e.values.get(key).is_some() && context.matches(&e.scope))
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

    /// Looks up the effective value.
    pub fn value(&self, key: ValueKey, context: &LookupContext) -> u64 {
        self.resolve(key, context).value
    }

    /// Returns the upstream on a host and its pool.
    pub fn upstream_on_host(&self, host: &str) -> Option<(&SmolStr, &Upstream)> {
        self.pools.iter().find_map(|(name, pool)| {
            let mut upstreams = pool.upstreams.iter();
            let upstream = upstreams.find(|upstream| upstream.host == host)?;
            Some((name, upstream))
        })
    }

    /// The lookup context of an upstream, for no workspace.
    pub fn lookup_context(&self, pool: &SmolStr, upstream: &Upstream) -> LookupContext {
        LookupContext {
            data_centre: Some(upstream.data_centre.clone()),
            pool: Some(pool.clone()),
            workspace: None,
            host: Some(upstream.host.clone()),
        }
    }

    /// Whether an upstream accepts new requests: its data centre is in service, and so is the upstream by
    /// the effective value of `in_service`.
    pub fn in_service(&self, pool: &SmolStr, upstream: &Upstream) -> bool {
        let data_centre = self.data_centres.get(&upstream.data_centre);
        let context = self.lookup_context(pool, upstream);
        data_centre.is_some_and(|dc| dc.in_service)
            && self.value(ValueKey::InService, &context) == 1
    }

    /// Returns the region of a data centre, if it is declared.
    pub fn region_of(&self, data_centre: &str) -> Option<&SmolStr> {
        self.data_centres.get(data_centre).map(|dc| &dc.region)
    }
}
