//! Reads and validates a fleet declaration.

use std::collections::{BTreeMap, HashSet};

use jsonc_parser::common::Ranged;
use smol_str::SmolStr;
use strum::IntoEnumIterator;

use crate::{
    fleet::{DataCentre, Exception, Fleet, Pool, PoolKind, Route, Scope, ScopeKind, Upstream},
    reader::{
        closest_match, decode, integer_property, object_property, parse_document, FaultCollector,
        FieldReader,
    },
    report::{FaultKind, FaultReport},
    value::{ValueKey, Values},
};

/// Highest accepted number of exceptions; a person could no longer review a longer list.
const MAX_EXCEPTIONS: usize = 64;

/// Reads a declaration; an error lists all of its faults.
pub fn read_fleet(buf: &[u8]) -> Result<Fleet, FaultReport> {
    let text = decode(buf)?;
    let root = parse_document(text)?;
    let faults = FaultCollector::new(text);
    let fields = FieldReader::new(&root, &faults);
    let mut fleet = Fleet {
        defaults: read_defaults(&fields, &faults),
        data_centres: read_data_centres(&fields, &faults),
        ..Fleet::default()
    };
    fleet.pools = read_pools(&fields, &fleet, &faults);
    fleet.workspaces = read_workspaces(&fields, &faults);
    fleet.exceptions = read_exceptions(&fields, &fleet, &faults);
    fields.report_unknown();
    faults.finish(fleet)
}

fn read_values(fields: &FieldReader<'_, '_>, faults: &FaultCollector<'_>) -> Values {
    let mut values = Values::default();
    for prop in fields.properties() {
        let name = prop.name.as_str();
        let Some(key) = ValueKey::from_name(name) else {
            let names = ValueKey::iter().map(<&'static str>::from);
            let kind = FaultKind::UnknownField {
                field: name.to_owned(),
                suggestion: closest_match(name, names),
            };
            faults.add(prop.start(), kind);
            continue;
        };
        if let Some(value) = integer_property(prop, key.range(), key.unit().into(), faults) {
            values.set(key, value);
        }
    }
    values
}

fn read_defaults(root: &FieldReader<'_, '_>, faults: &FaultCollector<'_>) -> Values {
    let Some(fields) = root.object("defaults") else {
        return Values::default();
    };
    let values = read_values(&fields, faults);
    let value = |key: ValueKey| values.get(key).unwrap_or(key.built_in_default());
    let cold = value(ValueKey::ColdConcurrency);
    let warm = value(ValueKey::MaxConcurrency);
    if cold > warm {
        let kind = FaultKind::InconsistentValues {
            small: ValueKey::ColdConcurrency.into(),
            small_value: cold,
            large: ValueKey::MaxConcurrency.into(),
            large_value: warm,
        };
        faults.add(fields.offset(), kind);
    }
    values
}

fn read_data_centres(
    root: &FieldReader<'_, '_>,
    faults: &FaultCollector<'_>,
) -> BTreeMap<SmolStr, DataCentre> {
    let mut data_centres = BTreeMap::new();
    let Some(section) = root.required_object("data_centres") else {
        return data_centres;
    };
    for prop in section.properties() {
        let Some(fields) = object_property(prop, faults) else {
            continue;
        };
        let data_centre = DataCentre {
            region: fields.required_string("region"),
            in_service: fields.boolean("in_service").unwrap_or(true),
        };
        fields.report_unknown();
        data_centres.insert(SmolStr::new(prop.name.as_str()), data_centre);
    }
    data_centres
}

fn read_pools(
    root: &FieldReader<'_, '_>,
    fleet: &Fleet,
    faults: &FaultCollector<'_>,
) -> BTreeMap<SmolStr, Pool> {
    let mut pools = BTreeMap::new();
    let Some(section) = root.required_object("pools") else {
        return pools;
    };
    let mut seen_hosts = HashSet::new();
    for prop in section.properties() {
        let name = prop.name.as_str();
        if name.is_empty() || !name.bytes().all(is_name_byte) {
            let kind = FaultKind::InvalidFormat {
                field: "pools".to_owned(),
                value: name.to_owned(),
                expected: "lower-case letters, digits and hyphens as a pool's name",
            };
            faults.add(prop.start(), kind);
        }
        let Some(fields) = object_property(prop, faults) else {
            continue;
        };
        let pool = read_pool(&fields, fleet, &mut seen_hosts, faults);
        pools.insert(SmolStr::new(name), pool);
    }
    pools
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-'
}

fn read_pool(
    fields: &FieldReader<'_, '_>,
    fleet: &Fleet,
    seen_hosts: &mut HashSet<SmolStr>,
    faults: &FaultCollector<'_>,
) -> Pool {
    let kind_text = fields.required_string("kind");
    let kind = fields.parse_value("kind", &kind_text, "\"engine\" or \"service\"");
    let mut pool = Pool {
        kind: kind.unwrap_or(PoolKind::Service),
        version: fields.string("version"),
        routes: read_routes(fields, faults),
        upstreams: Vec::new(),
    };
    for upstream in fields.object_list("upstreams") {
        pool.upstreams
            .extend(read_upstream(&upstream, fleet, seen_hosts, faults));
    }
    if pool.upstreams.is_empty() && !fields.contains("upstreams") {
        let field = "upstreams".to_owned();
        faults.add(fields.offset(), FaultKind::MissingField { field });
    }
    fields.report_unknown();
    pool
}

fn read_routes(fields: &FieldReader<'_, '_>, faults: &FaultCollector<'_>) -> Vec<Route> {
    let mut routes: Vec<Route> = Vec::new();
    for fields in fields.object_list("routes") {
        let prefix = fields.required_string("prefix");
        if !prefix.is_empty() && !prefix.starts_with('/') {
            let kind = FaultKind::InvalidFormat {
                field: "prefix".to_owned(),
                value: prefix.to_string(),
                expected: "a path that starts with a slash",
            };
            faults.add(fields.offset_of("prefix"), kind);
        }
        if routes.iter().any(|route| route.prefix == prefix) {
            let kind = FaultKind::Duplicate {
                what: "route",
                name: prefix.to_string(),
            };
            faults.add(fields.offset(), kind);
        }
        let repeatable = fields.boolean("repeatable").unwrap_or(false);
        fields.report_unknown();
        routes.push(Route { prefix, repeatable });
    }
    routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    routes
}

fn read_upstream(
    fields: &FieldReader<'_, '_>,
    fleet: &Fleet,
    seen_hosts: &mut HashSet<SmolStr>,
    faults: &FaultCollector<'_>,
) -> Option<Upstream> {
    let host = fields.required_string("host");
    let data_centre = fields.required_string("data_centre");
    let sidecar = fields.required_address("sidecar");
    fields.report_unknown();
    if !seen_hosts.insert(host.clone()) {
        let kind = FaultKind::Duplicate {
            what: "host",
            name: host.to_string(),
        };
        faults.add(fields.offset(), kind);
    }
    if !data_centre.is_empty() {
        check_declared(
            "data centre",
            &data_centre,
            fleet.data_centres.keys(),
            fields.offset_of("data_centre"),
            faults,
        );
    }
    Some(Upstream {
        host,
        data_centre,
        sidecar: sidecar?,
    })
}

/// Records a fault unless `name` is one of the declared names.
fn check_declared<'a>(
    what: &'static str,
    name: &SmolStr,
    mut declared: impl Iterator<Item = &'a SmolStr> + Clone,
    offset: usize,
    faults: &FaultCollector<'_>,
) {
    let candidates = declared.clone();
    if declared.any(|other| other == name) {
        return;
    }
    let kind = FaultKind::Undeclared {
        what,
        name: name.to_string(),
        suggestion: closest_match(name, candidates.map(SmolStr::as_str)),
    };
    faults.add(offset, kind);
}

fn read_workspaces(root: &FieldReader<'_, '_>, faults: &FaultCollector<'_>) -> Vec<SmolStr> {
    let mut workspaces = Vec::new();
    for (offset, name) in root.strings("workspaces") {
        if workspaces.contains(&name) {
            let kind = FaultKind::Duplicate {
                what: "workspace",
                name: name.to_string(),
            };
            faults.add(offset, kind);
        }
        workspaces.push(name);
    }
    workspaces
}

fn read_exceptions(
    root: &FieldReader<'_, '_>,
    fleet: &Fleet,
    faults: &FaultCollector<'_>,
) -> Vec<Exception> {
    let mut exceptions: Vec<Exception> = Vec::new();
    let objects = root.object_list("exceptions");
    if objects.len() > MAX_EXCEPTIONS {
        let kind = FaultKind::TooManyExceptions {
            count: objects.len(),
            limit: MAX_EXCEPTIONS,
        };
        faults.add(root.offset_of("exceptions"), kind);
    }
    for fields in objects {
        let Some(exception) = read_exception(&fields, fleet, faults) else {
            continue;
        };
        check_against_earlier(&exception, &exceptions, fields.offset(), faults);
        exceptions.push(exception);
    }
    exceptions
}

fn read_exception(
    fields: &FieldReader<'_, '_>,
    fleet: &Fleet,
    faults: &FaultCollector<'_>,
) -> Option<Exception> {
    let name = fields.required_string("name");
    let reason = fields.string("reason").unwrap_or_default();
    if reason.trim().is_empty() {
        let name = name.to_string();
        faults.add(fields.offset(), FaultKind::MissingReason { name });
    }
    let scope = read_scope(fields, &name, fleet, faults);
    let values = fields
        .required_object("set")
        .map(|set| read_values(&set, faults))
        .unwrap_or_default();
    fields.report_unknown();
    let scope = scope?;
    check_values_allowed_in_scope(&scope, &values, fields.offset_of("set"), faults);
    Some(Exception {
        name,
        reason,
        scope,
        values,
    })
}

fn read_scope(
    fields: &FieldReader<'_, '_>,
    exception: &SmolStr,
    fleet: &Fleet,
    faults: &FaultCollector<'_>,
) -> Option<Scope> {
    let kinds = [
        ScopeKind::Host,
        ScopeKind::Workspace,
        ScopeKind::Pool,
        ScopeKind::DataCentre,
    ];
    let mut scopes: Vec<Scope> = kinds
        .into_iter()
        .filter_map(|kind| {
            let name = fields.string(kind.into())?;
            Some(Scope { kind, name })
        })
        .collect();
    if scopes.len() != 1 {
        let name = exception.to_string();
        faults.add(fields.offset(), FaultKind::InvalidScope { name });
        return None;
    }
    let scope = scopes.pop()?;
    let offset = fields.offset_of(scope.kind.into());
    match scope.kind {
        ScopeKind::Host => {
            let upstreams = fleet.pools.values().flat_map(|pool| &pool.upstreams);
            let hosts = upstreams.map(|upstream| &upstream.host);
            check_declared("host", &scope.name, hosts, offset, faults);
        }
        ScopeKind::Pool => {
            check_declared("pool", &scope.name, fleet.pools.keys(), offset, faults);
        }
        ScopeKind::DataCentre => {
            let names = fleet.data_centres.keys();
            check_declared("data centre", &scope.name, names, offset, faults);
        }
        ScopeKind::Workspace => {
            let names = fleet.workspaces.iter();
            check_declared("workspace", &scope.name, names, offset, faults);
        }
    }
    Some(scope)
}

/// Records a fault for every value that has no effect in `scope`.
fn check_values_allowed_in_scope(
    scope: &Scope,
    values: &Values,
    offset: usize,
    faults: &FaultCollector<'_>,
) {
    for (key, _) in values.iter() {
        if key.scopes().contains(&scope.kind) {
            continue;
        }
        let allowed: Vec<_> = key.scopes().iter().map(ToString::to_string).collect();
        let kind = FaultKind::NotAllowedInScope {
            key: key.to_string(),
            scope: scope.kind.to_string(),
            allowed: allowed.join(", "),
        };
        faults.add(offset, kind);
    }
}

/// Records a fault if an earlier exception has the same name, or sets the same value in the same scope.
fn check_against_earlier(
    exception: &Exception,
    earlier: &[Exception],
    offset: usize,
    faults: &FaultCollector<'_>,
) {
    for other in earlier {
        if other.name == exception.name {
            let kind = FaultKind::Duplicate {
                what: "exception",
                name: exception.name.to_string(),
            };
            faults.add(offset, kind);
        }
        if other.scope != exception.scope {
            continue;
        }
        for (key, _) in exception.values.iter() {
            if other.values.get(key).is_none() {
                continue;
            }
            let kind = FaultKind::Conflict {
                first: other.name.to_string(),
                second: exception.name.to_string(),
                key: key.to_string(),
                scope: exception.scope.to_string(),
            };
            faults.add(offset, kind);
        }
    }
}
