//! What a bench consists of.

use std::collections::BTreeSet;

use serde_json::{json, Value};
use smol_str::SmolStr;

use super::Host;

/// A data centre of the bench.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Its name.
    pub name: &'static str,
    /// The region in which it stands.
    pub region: &'static str,
}

/// The data centres; the platform stands in the first.
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

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Requests that it bears while cold.
    pub cold_capacity: u32,
    /// Requests after which it is warm.
    pub warm_up_requests: u32,
    /// Time to the first token.
    pub first_token_ms: u64,
    /// Time between tokens.
    pub token_interval_ms: u64,
    /// Time to load a version.
    pub load_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// The version that it serves from its start.
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

/// How a plain service behaves.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Time that a call takes.
    pub service_ms: u64,
}

/// What stands behind a pool.
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
    /// Its name.
    pub name: SmolStr,
    /// How many hosts serve it.
    pub hosts: usize,
    /// What its upstreams are.
    pub upstream: UpstreamSpec,
    /// The version that its engines shall serve.
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

/// Rates of the network in bytes a second.
#[derive(Clone, Copy, Debug)]
pub struct LinkRates {
    /// A host with an upstream, each way.
    pub host: u64,
    /// The origin.
    pub origin: u64,
    /// Between two regions, each way.
    pub inter_region: u64,
}

/// Length of a version.
#[derive(Clone, Copy, Debug)]
pub struct WeightsSpec {
    /// Length of a version.
    pub bytes: u64,
    /// Length of a chunk.
    pub chunk_bytes: u32,
}

/// Which policies run; the others are baselines.
#[derive(Clone, Copy, Debug)]
pub struct PolicySpec {
    /// Whether entries choose the less loaded of two.
    pub two_choices: bool,
    /// Whether sidecars limit what runs.
    pub gate: bool,
    /// Whether workspaces take turns.
    pub fair: bool,
    /// Whether chunks come from peers.
    pub from_peers: bool,
}

/// What a bench consists of.
#[derive(Clone, Debug)]
pub struct BenchSpec {
    /// How many entries run.
    pub entries: usize,
    /// The pools.
    pub pools: Vec<PoolSpec>,
    /// The network; without one, processes reach each other directly.
    pub network: Option<LinkRates>,
    /// Length of a version.
    pub weights: WeightsSpec,
    /// Which policies run.
    pub policy: PolicySpec,
    /// Values of the declaration's defaults.
    pub defaults: Value,
    /// Exceptions of the declaration.
    pub exceptions: Vec<Value>,
    /// Data centres out of service.
    pub out_of_service: BTreeSet<&'static str>,
    /// How long a membership list stays unseen.
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

/// Links fast enough not to matter.
pub const FAST_LINKS: LinkRates = LinkRates {
    host: 100_000_000,
    origin: 100_000_000,
    inter_region: 100_000_000,
};

impl BenchSpec {
    /// The fleet declaration of the spec.
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
            .map(|pool| (pool.name.to_string(), declare_pool(pool, hosts)))
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

fn declare_pool(pool: &PoolSpec, hosts: &[Host]) -> Value {
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
