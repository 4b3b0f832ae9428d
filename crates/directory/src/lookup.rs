//! The form of the facts in which requests look things up.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use smol_str::SmolStr;

use crate::{
    declaration::{Declaration, Route},
    fact::{Fact, Subject, UpstreamRecord},
    replica::{Replica, StoredFact},
};

/// Whose key it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiKeyOwner {
    /// The workspace.
    pub workspace: SmolStr,
    /// Goes before the route's priority, if present.
    pub priority: Option<u8>,
    /// Regions to which the workspace's requests are confined; empty for all.
    pub allowed_regions: Vec<SmolStr>,
}

/// A configuration with its indexes.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// The configuration.
    pub declaration: Arc<Declaration>,
    by_host: HashMap<SmolStr, Vec<Arc<Route>>>,
    holders: HashMap<SmolStr, Arc<ApiKeyOwner>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(declaration: Arc<Declaration>) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<Arc<Route>>> = HashMap::new();
        for route in &declaration.routes {
            let host = SmolStr::new(route.host.to_ascii_lowercase());
            by_host
                .entry(host)
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            // The first match is then the longest.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut holders = HashMap::new();
        for workspace in &declaration.workspaces {
            let holder = Arc::new(ApiKeyOwner {
                workspace: workspace.name.clone(),
                priority: workspace.priority,
                allowed_regions: workspace.allowed_regions.clone(),
            });
            for key in &workspace.api_keys {
                holders.insert(key.clone(), holder.clone());
            }
        }
        Self {
            declaration,
            by_host,
            holders,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    ///
    /// A port in the host name does not matter.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let lower;
        let host = match host.bytes().any(|b| b.is_ascii_uppercase()) {
            true => {
                lower = host.to_ascii_lowercase();
                lower.as_str()
            }
            false => host,
        };
        let routes = self.by_host.get(host)?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Whose key it is, if anybody's.
    pub fn api_key_owner(&self, key: &str) -> Option<&Arc<ApiKeyOwner>> {
        self.holders.get(key)
    }

    /// Whether requests carry keys.
    pub fn requires_api_keys(&self) -> bool {
        !self.declaration.workspaces.is_empty()
    }
}

/// Everything that a request is served by, as of one revision.
#[derive(Debug, Default)]
pub struct Directory {
    /// The configuration; absent until one is known.
    pub route_table: Option<Arc<RouteTable>>,
    /// Registered upstreams, each with the time at which its record was learned.
    pub upstreams: Vec<(UpstreamRecord, Duration)>,
    /// Data centres that take no new work.
    pub evacuated_data_centres: HashSet<SmolStr>,
    /// Wanted versions by model.
    pub target_versions: HashMap<SmolStr, TargetVersion>,
}

/// The version of a model that engines are to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetVersion {
    /// The version.
    pub version: u64,
    /// When it was learned.
    pub known_since: Duration,
    /// The time before which it cannot have been named; see [`Known::since`].
    pub not_before: Option<Duration>,
}

impl Directory {
    /// Builds the lookup form; the table of `before` is kept if its configuration still holds.
    pub fn from_replica(replica: &Replica, previous: &Directory) -> Self {
        let mut directory = Self::default();
        for known in replica.facts() {
            let StoredFact {
                known_since: learned,
                not_before: since,
                ..
            } = known;
            match (known.subject, known.fact) {
                (_, Fact::Declaration(declaration)) => {
                    let same = previous
                        .route_table
                        .as_ref()
                        .filter(|table| Arc::ptr_eq(&table.declaration, declaration));
                    let table = same.cloned();
                    let table =
                        table.unwrap_or_else(|| Arc::new(RouteTable::new(declaration.clone())));
                    directory.route_table = Some(table);
                }
                (_, Fact::Upstream(record)) => directory.upstreams.push((record.clone(), learned)),
                (Subject::Evacuation(data_centre), Fact::Evacuation) => {
                    directory.evacuated_data_centres.insert(data_centre.clone());
                }
                (Subject::Version(model), Fact::Version(version)) => {
                    let wanted = TargetVersion {
                        version: *version,
                        known_since: learned,
                        not_before: since,
                    };
                    directory.target_versions.insert(model.clone(), wanted);
                }
                _ => {}
            }
        }
        directory
    }
}
