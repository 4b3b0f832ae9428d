//! Compares two fleet declarations.

use std::collections::BTreeMap;

use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};

use crate::fleet::{Exception, Fleet, Pool};

/// An added, removed or changed entry of the declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Path of the entry, such as `pools/deck-model/version`.
    pub path: SmolStr,
    /// The old value; absent for an added entry.
    pub old: Option<SmolStr>,
    /// The new value; absent for a removed entry.
    pub new: Option<SmolStr>,
}

/// Lists the changes from `old` to `new`, sorted by path.
pub fn diff(old: &Fleet, new: &Fleet) -> Vec<Change> {
    let old = flatten(old);
    let new = flatten(new);
    let mut paths: Vec<&SmolStr> = old.keys().chain(new.keys()).collect();
    paths.sort();
    paths.dedup();
    paths
        .into_iter()
        .filter(|path| old.get(*path) != new.get(*path))
        .map(|path| Change {
            path: path.clone(),
            old: old.get(path).cloned(),
            new: new.get(path).cloned(),
        })
        .collect()
}

/// Maps the path of each entry of the declaration to its value as text.
fn flatten(fleet: &Fleet) -> BTreeMap<SmolStr, SmolStr> {
    let mut flat = BTreeMap::new();
    for (key, value) in fleet.defaults.iter() {
        flat.insert(
            format_smolstr!("defaults/{key}"),
            format_smolstr!("{value}"),
        );
    }
    for (name, dc) in &fleet.data_centres {
        let path = |field: &str| format_smolstr!("data_centres/{name}/{field}");
        flat.insert(path("region"), dc.region.clone());
        flat.insert(path("in_service"), format_smolstr!("{}", dc.in_service));
    }
    for (name, pool) in &fleet.pools {
        flatten_pool(name, pool, &mut flat);
    }
    for workspace in &fleet.workspaces {
        flat.insert(format_smolstr!("workspaces/{workspace}"), "declared".into());
    }
    for exception in &fleet.exceptions {
        flatten_exception(exception, &mut flat);
    }
    flat
}

fn flatten_pool(name: &SmolStr, pool: &Pool, flat: &mut BTreeMap<SmolStr, SmolStr>) {
    let path = |field: &str| format_smolstr!("pools/{name}/{field}");
    flat.insert(path("kind"), format_smolstr!("{}", pool.kind));
    if let Some(version) = &pool.version {
        flat.insert(path("version"), version.clone());
    }
    for route in &pool.routes {
        let repeatable = if route.repeatable {
            "repeatable"
        } else {
            "once"
        };
        flat.insert(path(&format!("routes{}", route.prefix)), repeatable.into());
    }
    for upstream in &pool.upstreams {
        let location = format_smolstr!("{} at {}", upstream.data_centre, upstream.sidecar);
        flat.insert(path(&format!("upstreams/{}", upstream.host)), location);
    }
}

fn flatten_exception(exception: &Exception, flat: &mut BTreeMap<SmolStr, SmolStr>) {
    let path = |field: &str| format_smolstr!("exceptions/{}/{field}", exception.name);
    flat.insert(path("scope"), format_smolstr!("{}", exception.scope));
    flat.insert(path("reason"), exception.reason.clone());
    for (key, value) in exception.values.iter() {
        flat.insert(path(&format!("set/{key}")), format_smolstr!("{value}"));
    }
}
