//! Indexed form of the facts, used to route requests.

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

/// The workspace that an API key is assigned to, with its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiKeyOwner {
    /// Name of the workspace.
    pub workspace: SmolStr,
    /// Priority of the workspace's requests, which overrides the route's; absent to use the route's.
    pub priority: Option<u8>,
    /// Regions that may serve the workspace's requests; empty for all.
    pub allowed_regions: Vec<SmolStr>,
}

/// A configuration, indexed by host name and API key.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// The configuration.
    pub declaration: Arc<Declaration>,
    by_host: HashMap<SmolStr, Vec<Arc<Route>>>,
    api_key_owners: HashMap<SmolStr, Arc<ApiKeyOwner>>,
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
            // Longest prefix first, so that the first match is the most specific.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut api_key_owners = HashMap::new();
        for workspace in &declaration.workspaces {
            let owner = Arc::new(ApiKeyOwner {
                workspace: workspace.name.clone(),
                priority: workspace.priority,
                allowed_regions: workspace.allowed_regions.clone(),
            });
            for key in &workspace.api_keys {
                api_key_owners.insert(key.clone(), owner.clone());
            }
        }
        Self {
            declaration,
            by_host,
            api_key_owners,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    ///
    /// A port in `host` is ignored, and so is its case.
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

    /// The workspace that an API key is assigned to; absent if it is not assigned to any.
    pub fn api_key_owner(&self, key: &str) -> Option<&Arc<ApiKeyOwner>> {
        self.api_key_owners.get(key)
    }

    /// Whether requests need an API key, unless their route is public.
    pub fn requires_api_keys(&self) -> bool {
        self.declaration.requires_api_keys()
    }
}

/// The facts of one revision that are needed to route a request.
#[derive(Debug, Default)]
pub struct Directory {
    /// The indexed configuration; absent until one is known.
    pub route_table: Option<Arc<RouteTable>>,
    /// Registered upstreams, each with the time since which its record is known.
    pub upstreams: Vec<(UpstreamRecord, Duration)>,
    /// Data centres that accept no new requests.
    pub evacuated_data_centres: HashSet<SmolStr>,
    /// Target version of each model.
    pub target_versions: HashMap<SmolStr, TargetVersion>,
}

/// The version of a model that engines are to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetVersion {
    /// Version of the weights.
    pub version: u64,
    /// Time since which the version is known; see [`StoredFact::known_since`].
    pub known_since: Duration,
    /// Time before which it cannot have been published; see [`StoredFact::not_before`].
    pub not_before: Option<Duration>,
}

impl Directory {
    /// Indexes the facts of a replica. The table of `previous` is reused if its configuration is
    /// unchanged.
    pub fn from_replica(replica: &Replica, previous: &Directory) -> Self {
        let mut directory = Self::default();
        for stored in replica.facts() {
            let StoredFact {
                known_since,
                not_before,
                ..
            } = stored;
            match (stored.subject, stored.fact) {
                (_, Fact::Declaration(declaration)) => {
                    let unchanged = previous
                        .route_table
                        .as_ref()
                        .filter(|table| Arc::ptr_eq(&table.declaration, declaration));
                    let table = unchanged.cloned();
                    let table =
                        table.unwrap_or_else(|| Arc::new(RouteTable::new(declaration.clone())));
                    directory.route_table = Some(table);
                }
                (_, Fact::Upstream(record)) => {
                    directory.upstreams.push((record.clone(), known_since))
                }
                (Subject::Evacuation(data_centre), Fact::Evacuation) => {
                    directory.evacuated_data_centres.insert(data_centre.clone());
                }
                (Subject::Version(model), Fact::Version(version)) => {
                    let target = TargetVersion {
                        version: *version,
                        known_since,
                        not_before,
                    };
                    directory.target_versions.insert(model.clone(), target);
                }
                _ => {}
            }
        }
        directory
    }
}
