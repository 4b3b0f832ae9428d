//! Warnings about a valid declaration: entries that can never apply, and values that contradict each other.
//!
//! Processes accept such a declaration, so that a warning never keeps one out of force.

use std::collections::BTreeMap;

use derive_more::Display;
use jsonc_parser::{
    ast::{Object, Value},
    common::Ranged,
};
use smol_str::SmolStr;

use crate::{
    fleet::{Exception, Fleet, LookupContext, Pool, PoolKind, ScopeKind, ValueSource},
    fleet_reader::read_fleet,
    reader::{decode, parse_document},
    report::{FaultReport, Position},
    value::ValueKey,
};

/// Kind of warning. Each message tells what happens and what to do.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum WarningKind {
    /// A longer route decides the same as the one that it is part of.
    #[display("route \"{prefix}\" changes nothing, since \"{shorter}\" decides the same; remove it or change one")]
    RedundantRoute {
        /// Prefix of the route.
        prefix: SmolStr,
        /// Prefix of the route that applies without it.
        shorter: SmolStr,
    },
    /// A pool has no upstream.
    #[display(
        "pool \"{pool}\" has no upstream, so every request to it is refused; add one or remove it"
    )]
    EmptyPool {
        /// Name of the pool.
        pool: SmolStr,
    },
    /// No upstream of a pool accepts new requests.
    #[display("no upstream of pool \"{pool}\" is in service, of {count} declared, so every request to it is refused; put one in service")]
    PoolOutOfService {
        /// Name of the pool.
        pool: SmolStr,
        /// Number of its upstreams.
        count: usize,
    },
    /// A pool of services has a version, which only engines have.
    #[display(
        "\"version\" has no effect for pool \"{pool}\", since it is of kind \"service\"; remove it"
    )]
    VersionOfService {
        /// Name of the pool.
        pool: SmolStr,
    },
    /// An exception sets no value.
    #[display("exception \"{name}\" sets nothing; remove it")]
    EmptyException {
        /// Name of the exception.
        name: SmolStr,
    },
    /// A value of an exception is never looked up.
    #[display("exception \"{name}\" never applies to \"{key}\", since {reason}; remove the value")]
    NeverApplies {
        /// Name of the exception.
        name: SmolStr,
        /// Key of the value.
        key: ValueKey,
        /// Why it never applies.
        reason: NeverAppliesReason,
    },
    /// On some hosts, cold upstreams may run more requests than warm ones.
    #[display("on host \"{host}\" \"cold_concurrency\" is {cold} but \"max_concurrency\" is {warm}; lower the first or raise the second")]
    ColdAboveWarm {
        /// The first such host.
        host: SmolStr,
        /// Effective value while cold.
        cold: u64,
        /// Effective value afterwards.
        warm: u64,
    },
    /// A key is forgotten while its request may still run.
    #[display("for pool \"{pool}\" \"repeat_window_ms\" is {window} but \"deadline_ms\" is {deadline}, so a request may run again while it still runs; raise the first or lower the second")]
    WindowBelowDeadline {
        /// Name of the pool.
        pool: SmolStr,
        /// Effective time for which keys are remembered.
        window: u64,
        /// Effective deadline.
        deadline: u64,
    },
    /// Retries are allowed where no request may be repeated.
    #[display("exception \"{name}\" allows retries, but no route of pool \"{pool}\" is repeatable, so none is ever used; mark a route as repeatable or remove the value")]
    UnusableRetries {
        /// Name of the exception.
        name: SmolStr,
        /// Name of the pool.
        pool: SmolStr,
    },
    /// The only engine of a pool switches versions, and none is left.
    #[display("pool \"{pool}\" has only one engine in service, so no request is served while it switches versions; add or return another one")]
    SwitchTakesAll {
        /// Name of the pool.
        pool: SmolStr,
    },
}

/// Why a value of an exception never applies.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NeverAppliesReason {
    /// The data centre or pool has no upstream.
    #[display("no upstream is in its scope")]
    NoUpstream,
    /// Every upstream in the scope has a more specific exception.
    #[display("a more specific exception sets it for every upstream in its scope")]
    Overridden,
    /// Only engines have weights to switch.
    #[display("only engines switch versions")]
    NoWeights,
}

/// A warning and its position.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{position}: warning: {kind}")]
pub struct Warning {
    /// Position of the entry in the document.
    pub position: Position,
    /// Kind of warning, with its details.
    pub kind: WarningKind,
}

/// Reads a declaration as [`read_fleet`] does, and lists warnings in document order.
pub fn lint_fleet(buf: &[u8]) -> Result<(Fleet, Vec<Warning>), FaultReport> {
    let fleet = read_fleet(buf)?;
    let text = decode(buf)?;
    let root = parse_document(text)?;
    let mut linter = Linter {
        fleet: &fleet,
        root: &root,
        found: Vec::new(),
    };
    for (name, pool) in &fleet.pools {
        linter.check_pool(name, pool);
    }
    for (index, exception) in fleet.exceptions.iter().enumerate() {
        linter.check_exception(index, exception);
    }
    linter.check_concurrency();
    let mut found = linter.found;
    found.sort_by_key(|(offset, _)| *offset);
    let warnings = found.into_iter().map(|(offset, kind)| Warning {
        position: Position::from_offset(text, offset),
        kind,
    });
    let warnings = warnings.collect();
    Ok((fleet, warnings))
}

struct Linter<'a> {
    fleet: &'a Fleet,
    root: &'a Object<'a>,
    found: Vec<(usize, WarningKind)>,
}

/// The value of a field.
fn field<'a>(object: &'a Object<'a>, name: &str) -> Option<&'a Value<'a>> {
    let mut properties = object.properties.iter();
    let prop = properties.find(|prop| prop.name.as_str() == name)?;
    Some(&prop.value)
}

fn as_object<'a>(value: &'a Value<'a>) -> Option<&'a Object<'a>> {
    match value {
        Value::Object(object) => Some(object),
        _ => None,
    }
}

/// The elements of a list; none if the field is missing.
fn elements<'a>(object: &'a Object<'a>, name: &str) -> &'a [Value<'a>] {
    match field(object, name) {
        Some(Value::Array(array)) => &array.elements,
        _ => &[],
    }
}

impl<'a> Linter<'a> {
    fn add(&mut self, offset: usize, kind: WarningKind) {
        self.found.push((offset, kind));
    }

    fn pool_object(&self, name: &str) -> Option<&'a Object<'a>> {
        as_object(field(as_object(field(self.root, "pools")?)?, name)?)
    }

    fn exception_offset(&self, index: usize) -> usize {
        let exceptions = elements(self.root, "exceptions");
        exceptions.get(index).map_or(0, |value| value.start())
    }

    /// The offset of what gives a value: an exception, the defaults, or otherwise `fallback`.
    fn source_offset(&self, source: &ValueSource, fallback: usize) -> usize {
        match source {
            ValueSource::Exception { name, .. } => {
                let mut exceptions = self.fleet.exceptions.iter();
                let index = exceptions.position(|exception| exception.name == *name);
                index.map_or(fallback, |index| self.exception_offset(index))
            }
            ValueSource::Default => {
                field(self.root, "defaults").map_or(fallback, |value| value.start())
            }
            ValueSource::BuiltIn => fallback,
        }
    }

    fn check_pool(&mut self, name: &SmolStr, pool: &Pool) {
        let fleet = self.fleet;
        let Some(object) = self.pool_object(name) else {
            return;
        };
        let offset = object.start();
        let pool_name = name.clone();
        let upstreams = pool.upstreams.iter();
        let in_service = upstreams.filter(|upstream| fleet.in_service(name, upstream));
        match (pool.upstreams.len(), in_service.count()) {
            (0, _) => self.add(offset, WarningKind::EmptyPool { pool: pool_name }),
            (count, 0) => {
                let pool = pool_name;
                self.add(offset, WarningKind::PoolOutOfService { pool, count });
            }
            (_, 1) if pool.kind == PoolKind::Engine => {
                self.add(offset, WarningKind::SwitchTakesAll { pool: pool_name });
            }
            _ => {}
        }
        if let (PoolKind::Service, Some(version)) = (pool.kind, field(object, "version")) {
            let pool = name.clone();
            self.add(version.start(), WarningKind::VersionOfService { pool });
        }
        self.check_routes(object, pool);
        let context = LookupContext::for_pool(name);
        let window = fleet.resolve(ValueKey::RepeatWindowMs, &context);
        let deadline = fleet.resolve(ValueKey::DeadlineMs, &context);
        if window.value < deadline.value {
            let source = match window.source {
                ValueSource::BuiltIn => &deadline.source,
                _ => &window.source,
            };
            let kind = WarningKind::WindowBelowDeadline {
                pool: name.clone(),
                window: window.value,
                deadline: deadline.value,
            };
            self.add(self.source_offset(source, offset), kind);
        }
    }

    /// Checks each route against the longest other one that it is part of.
    fn check_routes(&mut self, object: &'a Object<'a>, pool: &Pool) {
        for value in elements(object, "routes") {
            let prefix = as_object(value).and_then(|route| field(route, "prefix"));
            let Some(Value::StringLit(prefix)) = prefix else {
                continue;
            };
            // Routes are sorted by descending length.
            let mut routes = pool.routes.iter();
            let route = routes.find(|route| *route.prefix == *prefix.value);
            let shorter = routes.find(|other| prefix.value.starts_with(other.prefix.as_str()));
            let (Some(route), Some(shorter)) = (route, shorter) else {
                continue;
            };
            if route.repeatable == shorter.repeatable {
                let kind = WarningKind::RedundantRoute {
                    prefix: route.prefix.clone(),
                    shorter: shorter.prefix.clone(),
                };
                self.add(value.start(), kind);
            }
        }
    }

    fn check_exception(&mut self, index: usize, exception: &Exception) {
        let offset = self.exception_offset(index);
        let name = &exception.name;
        if exception.values.iter().next().is_none() {
            self.add(offset, WarningKind::EmptyException { name: name.clone() });
        }
        for (key, value) in exception.values.iter() {
            if let Some(reason) = self.reason_never_applies(exception, key) {
                let name = name.clone();
                self.add(offset, WarningKind::NeverApplies { name, key, reason });
            }
            let pool = self.fleet.pools.get(&exception.scope.name);
            let pool = pool.filter(|_| exception.scope.kind == ScopeKind::Pool);
            let is_repeatable = |pool: &Pool| pool.routes.iter().any(|route| route.repeatable);
            let unusable = pool.is_some_and(|pool| !is_repeatable(pool));
            if key == ValueKey::RetryPercent && value > 0 && unusable {
                let kind = WarningKind::UnusableRetries {
                    name: name.clone(),
                    pool: exception.scope.name.clone(),
                };
                self.add(offset, kind);
            }
        }
    }

    fn reason_never_applies(
        &self,
        exception: &Exception,
        key: ValueKey,
    ) -> Option<NeverAppliesReason> {
        let scope = &exception.scope;
        if key == ValueKey::TurnoverPercent {
            let pool = self.fleet.pools.get(&scope.name)?;
            return (pool.kind == PoolKind::Service).then_some(NeverAppliesReason::NoWeights);
        }
        // Other values of a pool or workspace as a whole are looked up without a host.
        if !key.scopes().contains(&ScopeKind::Host) {
            return None;
        }
        let contexts: Vec<LookupContext> = upstream_contexts(self.fleet)
            .filter(|context| context.matches(scope))
            .collect();
        if contexts.is_empty() {
            return Some(NeverAppliesReason::NoUpstream);
        }
        let applies = contexts.iter().any(|context| {
            let source = self.fleet.resolve(key, context).source;
            matches!(source, ValueSource::Exception { name, .. } if name == exception.name)
        });
        (!applies).then_some(NeverAppliesReason::Overridden)
    }

    /// Checks the effective values of each host; the reader checks the defaults. One warning for each place
    /// that gives them.
    fn check_concurrency(&mut self) {
        let mut found = BTreeMap::new();
        for context in upstream_contexts(self.fleet) {
            let cold = self.fleet.resolve(ValueKey::ColdConcurrency, &context);
            let warm = self.fleet.resolve(ValueKey::MaxConcurrency, &context);
            if cold.value <= warm.value {
                continue;
            }
            let source = match warm.source {
                ValueSource::Exception { .. } => &warm.source,
                _ => &cold.source,
            };
            let kind = WarningKind::ColdAboveWarm {
                host: context.host.clone().unwrap_or_default(),
                cold: cold.value,
                warm: warm.value,
            };
            found.entry(self.source_offset(source, 0)).or_insert(kind);
        }
        self.found.extend(found);
    }
}

/// The contexts of all upstreams.
fn upstream_contexts(fleet: &Fleet) -> impl Iterator<Item = LookupContext> + '_ {
    fleet.pools.iter().flat_map(move |(name, pool)| {
        let upstreams = pool.upstreams.iter();
        upstreams.map(move |upstream| fleet.lookup_context(name, upstream))
    })
}
