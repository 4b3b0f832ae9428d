//! The configuration of a bench.

use std::collections::BTreeSet;

use serde_json::{json, Value};
use smol_str::SmolStr;

use super::Host;

/// A data centre of the bench.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// The name of the data centre.
    pub name: &'static str,
    /// The region that it is in.
    pub region: &'static str,
}

/// The data centres; the stand-ins for the platform are in the first.
pub const DATA_CENTRES: [DataCentre; 3] = [
    DataCentre {
        name: "addis-a",
        region: "addis",
    },
    DataCentre {
        name: "diredawa-a",
        region: "diredawa",
    },
    DataCentre {
        name: "mekelle-a",
        region: "mekelle",
    },
];

/// The configuration of an engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Concurrent requests that it can handle while cold.
    pub cold_capacity: u32,
    /// Completed requests after which it is warm.
    pub warm_up_requests: u32,
    /// Time to the first token while warm.
    pub first_token_ms: u64,
    /// Time between tokens while warm.
    pub token_interval_ms: u64,
    /// Time to load a version.
    pub load_ms: u64,
    /// Whether orders with an outdated fencing number are refused.
    pub fenced: bool,
    /// The version that it serves at start; none if absent.
    pub initial_version: Option<SmolStr>,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            cold_capacity: 2,
            warm_up_requests: 12,
            first_token_ms: 20,
            token_interval_ms: 5,
            load_ms: 300,
            fenced: true,
            initial_version: Some("v1".into()),
        }
    }
}

/// The configuration of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Processing time of a call.
    pub service_ms: u64,
}

/// The kind of upstreams of a pool.
#[derive(Clone, Debug)]
pub enum UpstreamSpec {
    /// Model engines.
    Engine(EngineSpec),
    /// Plain services.
    Service(ServiceSpec),
}

/// A pool of the bench.
#[derive(Clone, Debug)]
pub struct PoolSpec {
    /// The name of the pool.
    pub name: SmolStr,
    /// Number of hosts that serve it.
    pub hosts: usize,
    /// Its upstreams.
    pub upstream: UpstreamSpec,
    /// The target version of its engines.
    pub version: Option<SmolStr>,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
}

impl PoolSpec {
    /// A pool of engines.
    pub fn engines(name: &str, hosts: usize, engine: EngineSpec) -> Self {
        Self {
            name: name.into(),
            hosts,
            version: engine.initial_version.clone(),
            upstream: UpstreamSpec::Engine(engine),
            repeatable: true,
        }
    }

    /// A pool of plain services whose calls must not run twice.
    pub fn services(name: &str, hosts: usize, service_ms: u64) -> Self {
        Self {
            name: name.into(),
            hosts,
            version: None,
            upstream: UpstreamSpec::Service(ServiceSpec { service_ms }),
            repeatable: false,
        }
    }
}

/// Rates of the links of the emulated network in bytes per second.
#[derive(Clone, Copy, Debug)]
pub struct LinkRates {
    /// The link of a host with an upstream, in each direction.
    pub host: u64,
    /// The link of the origin, in each direction.
    pub origin: u64,
    /// The link between two regions, in each direction.
    pub inter_region: u64,
}

/// The size of versions and chunks of weights.
#[derive(Clone, Copy, Debug)]
pub struct WeightsSpec {
    /// Length of a version in bytes.
    pub bytes: u64,
    /// Length of a chunk in bytes.
    pub chunk_bytes: u32,
}

/// The policies that are enabled; the baseline replaces a disabled one.
#[derive(Clone, Copy, Debug)]
pub struct PolicySpec {
    /// Whether entries select the less loaded of two random upstreams; otherwise a random one.
    pub two_choices: bool,
    /// Whether sidecars limit the number of running requests.
    pub gate: bool,
    /// Whether sidecars schedule workspaces fairly; otherwise in order of arrival.
    pub fair: bool,
    /// Whether sidecars fetch chunks from peers; otherwise only from the origin.
    pub from_peers: bool,
}

/// The configuration of a bench.
#[derive(Clone, Debug)]
pub struct BenchSpec {
    /// Number of entries.
    pub entries: usize,
    /// The pools.
    pub pools: Vec<PoolSpec>,
    /// The link rates of the emulated network; if absent, processes connect to each other directly.
    pub network: Option<LinkRates>,
    /// The size of versions and chunks of weights.
    pub weights: WeightsSpec,
    /// The policies that are enabled.
    pub policy: PolicySpec,
    /// The defaults of the declaration.
    pub defaults: Value,
    /// The exceptions of the declaration.
    pub exceptions: Vec<Value>,
    /// Data centres declared out of service.
    pub out_of_service: BTreeSet<&'static str>,
    /// Time from the publication of a membership list until readers see it.
    pub membership_delay_ms: u64,
    /// Log level of the daemons.
    pub log_level: &'static str,
}

impl Default for BenchSpec {
    fn default() -> Self {
        Self {
            entries: 3,
            pools: Vec::new(),
            network: None,
            weights: WeightsSpec {
                bytes: 256 * 1024,
                chunk_bytes: 16 * 1024,
            },
            policy: PolicySpec {
                two_choices: true,
                gate: true,
                fair: true,
                from_peers: true,
            },
            defaults: json!({}),
            exceptions: Vec::new(),
            out_of_service: BTreeSet::new(),
            membership_delay_ms: 0,
            log_level: "info",
        }
    }
}

/// Rates high enough that no link is a bottleneck.
pub const FAST_LINKS: LinkRates = LinkRates {
    host: 100_000_000,
    origin: 100_000_000,
    inter_region: 100_000_000,
};

impl BenchSpec {
    /// The text of the fleet declaration, with the given hosts as upstreams of their pools.
    pub fn declaration(&self, hosts: &[Host]) -> String {
        let data_centres: serde_json::Map<String, Value> = DATA_CENTRES
            .iter()
            .map(|dc| {
                let in_service = !self.out_of_service.contains(dc.name);
                let declared = json!({"region": dc.region, "in_service": in_service});
                (dc.name.to_owned(), declared)
            })
            .collect();
        let pools: serde_json::Map<String, Value> = self
            .pools
            .iter()
            .map(|pool| (pool.name.to_string(), pool_declaration(pool, hosts)))
            .collect();
        let declaration = json!({
            "defaults": self.defaults,
            "data_centres": data_centres,
            "pools": pools,
            "exceptions": self.exceptions,
        });
        format!("// Published by the lab.\n{declaration:#}\n")
    }
}

fn pool_declaration(pool: &PoolSpec, hosts: &[Host]) -> Value {
    let upstreams: Vec<Value> = hosts
        .iter()
        .filter(|host| host.pool.as_ref() == Some(&pool.name))
        .map(|host| {
            json!({
                "host": host.name,
                "data_centre": host.data_centre.name,
                "sidecar": host.public,
            })
        })
        .collect();
    let kind = match &pool.upstream {
        UpstreamSpec::Engine(_) => "engine",
        UpstreamSpec::Service(_) => "service",
    };
    let mut declared = json!({
        "kind": kind,
        "routes": [{"prefix": "/", "repeatable": pool.repeatable}],
        "upstreams": upstreams,
    });
    if let Some(version) = &pool.version {
        declared["version"] = json!(version);
    }
    declared
}
