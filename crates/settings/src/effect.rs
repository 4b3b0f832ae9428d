//! What the changes between two declarations do once the new one is in force, in operators' terms.

use serde::Serialize;
use smol_str::SmolStr;

use crate::{
    diff::{diff, Change},
    fleet::{Fleet, LookupContext, PoolKind, Scope, ScopeKind},
    value::ValueKey,
};

/// A change of the declaration with its effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Effect {
    /// The change.
    #[serde(flatten)]
    pub change: Change,
    /// What it does, as one sentence without a full stop.
    pub effect: String,
}

/// Lists the changes from `old` to `new` with their effects, sorted by path.
pub fn effects(old: &Fleet, new: &Fleet) -> Vec<Effect> {
    let comparison = Comparison { old, new };
    let changes = diff(old, new).into_iter();
    let effects = changes.map(|change| Effect {
        effect: comparison.describe(&change),
        change,
    });
    effects.collect()
}

struct Comparison<'a> {
    old: &'a Fleet,
    new: &'a Fleet,
}

/// A number of things, with the plural if need be.
fn count_of(count: usize, what: &str) -> String {
    match count {
        1 => format!("1 {what}"),
        _ => format!("{count} {what}s"),
    }
}

impl Comparison<'_> {
    fn describe(&self, change: &Change) -> String {
        let (section, rest) = change.path.split_once('/').unwrap_or((&change.path, ""));
        let (name, field) = self.split_name(section, rest);
        match section {
            "defaults" => self.describe_value(name, |_| true),
            "data_centres" => self.describe_data_centre(name, field, change),
            "pools" => self.describe_pool(name, field, change),
            "exceptions" => self.describe_exception(name, field),
            _ => match change.new {
                Some(_) => "exceptions may refer to it; nothing else changes".to_owned(),
                None => "it gets what applies to any workspace".to_owned(),
            },
        }
    }

    /// Splits the rest of a path into the name of an entry and its field. Names may contain slashes.
    fn split_name<'p>(&self, section: &str, rest: &'p str) -> (&'p str, &'p str) {
        let fleets = [self.old, self.new].into_iter();
        let names: Vec<&SmolStr> = match section {
            "data_centres" => fleets.flat_map(|fleet| fleet.data_centres.keys()).collect(),
            "exceptions" => fleets
                .flat_map(|fleet| fleet.exceptions.iter().map(|exception| &exception.name))
                .collect(),
            "pools" => return rest.split_once('/').unwrap_or((rest, "")),
            _ => return (rest, ""),
        };
        let split = |name: &SmolStr| {
            let field = rest.strip_prefix(name.as_str())?.strip_prefix('/')?;
            Some((&rest[..name.len()], field))
        };
        let splits = names.into_iter().filter_map(split);
        // Fields have at most one slash of their own, so the longest name is the right one.
        splits
            .max_by_key(|(name, _)| name.len())
            .unwrap_or((rest, ""))
    }

    fn describe_data_centre(&self, name: &str, field: &str, change: &Change) -> String {
        let fleet = match change.new {
            Some(_) => self.new,
            None => self.old,
        };
        let pools = fleet.pools.values().flat_map(|pool| &pool.upstreams);
        let upstreams = pools.filter(|upstream| upstream.data_centre == name);
        let count = count_of(upstreams.count(), "upstream");
        match (field, change.old.as_deref(), change.new.as_deref()) {
            ("in_service", Some(_), Some("false")) => {
                format!("entries send no new requests to its {count}; requests in progress finish")
            }
            ("in_service", Some(_), Some(_)) => {
                format!("its {count} receive requests again, from the cold limit on")
            }
            ("in_service", None, Some("false")) => {
                format!("its {count} receive no requests yet")
            }
            (_, None, _) => format!("it may have upstreams; it has {count}"),
            (_, _, None) => format!("it is no longer known; it had {count}"),
            (_, _, Some(region)) => {
                format!("its {count} and entries count as part of region {region}")
            }
        }
    }

    fn describe_pool(&self, name: &str, field: &str, change: &Change) -> String {
        let (kind, rest) = field.split_once('/').unwrap_or((field, ""));
        let pool = self.new.pools.get(name);
        let count = pool.map_or(0, |pool| pool.upstreams.len());
        let (old, new) = (change.old.as_deref(), change.new.as_deref());
        match (kind, old, new) {
            ("kind", None, _) => {
                format!("requests to the pool go to {}", count_of(count, "upstream"))
            }
            ("kind", _, None) => "requests to the pool are refused".to_owned(),
            ("kind", _, Some(kind)) => {
                let engines = kind == PoolKind::Engine.to_string();
                let versions = if engines { "get" } else { "no longer get" };
                format!(
                    "its {} {versions} versions of weights",
                    count_of(count, "upstream")
                )
            }
            ("version", _, Some(version)) => {
                let context = LookupContext::for_pool(name);
                let percent = self.new.value(ValueKey::TurnoverPercent, &context);
                let count = count_of(count, "engine");
                format!(
                    "its {count} fetch the weights of {version} and switch, at most {percent} percent at the same time"
                )
            }
            ("version", _, None) => "its engines keep the version that they serve".to_owned(),
            ("upstreams", None, _) => {
                format!("{rest} receives requests of the pool, from the cold limit on")
            }
            ("upstreams", _, None) => {
                format!("{rest} receives no new requests; requests in progress finish")
            }
            ("upstreams", _, Some(location)) => format!("requests to {rest} go to {location}"),
            // Routes are named by their prefix, which begins with a slash or is empty.
            _ => self.describe_route(name, field),
        }
    }

    fn describe_route(&self, pool: &str, field: &str) -> String {
        let prefix = field.strip_prefix("routes").unwrap_or(field);
        let repeatable = |fleet: &Fleet| {
            let pool = fleet.pools.get(pool);
            pool.is_some_and(|pool| pool.is_repeatable(prefix))
        };
        match (repeatable(self.old), repeatable(self.new)) {
            (false, true) => format!(
                "requests under \"{prefix}\" may run more than once, so they are retried after a failure"
            ),
            (true, false) => format!(
                "requests under \"{prefix}\" run at most once, so their callers see failures that were retried before"
            ),
            (true, true) => format!("none; requests under \"{prefix}\" may be repeated as before"),
            (false, false) => format!("none; requests under \"{prefix}\" run at most once as before"),
        }
    }

    fn describe_exception(&self, name: &str, field: &str) -> String {
        let scopes = [self.old, self.new].map(|fleet| {
            let mut exceptions = fleet.exceptions.iter();
            exceptions
                .find(|exception| exception.name == name)
                .map(|exception| exception.scope.clone())
        });
        match field.strip_prefix("set/") {
            Some(key) => {
                let in_scope = |context: &LookupContext| {
                    let matches = |scope: &Scope| context.matches(scope);
                    scopes.iter().flatten().any(matches)
                };
                self.describe_value(key, in_scope)
            }
            None if field == "scope" => match &scopes {
                [_, Some(scope)] => format!("its values apply to {scope}"),
                _ => "its values no longer apply".to_owned(),
            },
            None => "none; explain shows the reason".to_owned(),
        }
    }

    /// Describes how many of those that `in_scope` selects have another effective value.
    fn describe_value(&self, key: &str, in_scope: impl Fn(&LookupContext) -> bool) -> String {
        let Some(key) = ValueKey::from_name(key) else {
            return "unknown".to_owned();
        };
        let (contexts, what) = self.contexts(key);
        let changed = contexts.iter().filter(|context| in_scope(context));
        let changed: Vec<(u64, u64)> = changed
            .map(|context| (self.old.value(key, context), self.new.value(key, context)))
            .filter(|(old, new)| old != new)
            .collect();
        let Some((old, new)) = changed.first() else {
            return "none; what applied before still applies".to_owned();
        };
        let count = count_of(changed.len(), what);
        let unit: &str = key.unit().into();
        match changed.iter().all(|pair| pair == &(*old, *new)) {
            true => format!("{key} of {count}: {old} -> {new} {unit}"),
            false => format!("{key} of {count} changes, of the first one {old} -> {new} {unit}"),
        }
    }

    /// Everything for which a value is looked up in both declarations, and its name.
    fn contexts(&self, key: ValueKey) -> (Vec<LookupContext>, &'static str) {
        let scopes = key.scopes();
        let (old, new) = (self.old, self.new);
        if scopes.contains(&ScopeKind::Workspace) {
            let names = new
                .workspaces
                .iter()
                .filter(|name| old.workspaces.contains(name));
            let contexts = names.map(|name| LookupContext::for_workspace(name));
            // The defaults apply to all other workspaces.
            let others = std::iter::once(LookupContext::default());
            return (contexts.chain(others).collect(), "workspace");
        }
        let pools = new.pools.iter();
        let pools = pools.filter(|(name, _)| old.pools.contains_key(*name));
        if !scopes.contains(&ScopeKind::Host) {
            let contexts = pools.map(|(name, _)| LookupContext::for_pool(name));
            return (contexts.collect(), "pool");
        }
        let contexts = pools.flat_map(|(name, pool)| {
            let known = |host: &SmolStr| old.upstream_on_host(host).is_some();
            let upstreams = pool.upstreams.iter().filter(move |u| known(&u.host));
            upstreams.map(move |upstream| new.lookup_context(name, upstream))
        });
        (contexts.collect(), "host")
    }
}
