//! The settings of gateways and stagers, which find each other through seeds and read the platform's store.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use jsonc_parser::{ast::Value, common::Ranged};
use smol_str::SmolStr;
use strum::EnumString;

use crate::{
    process::read_settings,
    reader::{integer_property, FaultCollector, FieldReader},
    report::{FaultKind, FaultReport},
};

/// Longest duration that a setting in milliseconds may have.
const MAX_DURATION_MS: u64 = 3_600_000;

/// Longest duration that a setting in seconds may have.
const MAX_DURATION_S: u32 = 3_600;

/// Range of the prompt tokens that one upstream keeps. Fewer than one short prompt are a mistake, and more
/// than this do not fit into the memory of any accelerator.
const PROMPT_CACHE_TOKENS: (u64, u64) = (256, 100_000_000);

/// Highest accepted link rate, in megabits per second.
const MAX_LINK_MBPS: u32 = 1_000_000;
/// Rate of a host's link if the settings do not give one, in megabits per second.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Range of the memory of a host, in megabytes. Below it, a gateway's own memory leaves nothing for callers.
const MEMORY_MB: (u64, u64) = (48, 1_048_576);
/// Range of the descriptors of a host. Below it, those that are reserved leave few for callers.
const DESCRIPTORS: (u64, u64) = (256, 1_048_576);

/// How a gateway or stager identifies itself and finds the platform and its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeshSettings {
    /// Name of this host.
    pub host: SmolStr,
    /// Data centre of this host.
    pub data_centre: SmolStr,
    /// Address to listen on for other processes of the system.
    pub inner_listen: SocketAddr,
    /// Address at which other processes reach this one; differs from `inner_listen` behind an address translation.
    pub inner_advertise: SocketAddr,
    /// Source address of connections to the store, to peers and, from stagers, to engine and origin; for hosts with several.
    pub outbound_ip: Option<IpAddr>,
    /// Additional address that serves the metrics; the inner address serves them too.
    pub metrics_listen: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Entries to contact at the start; some of them may no longer exist.
    pub seeds: Vec<SocketAddr>,
}

/// Settings of `balsamjunctiond gateway`.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Identity, platform and peers.
    pub mesh: MeshSettings,
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Address to listen on for the load balancer's readiness checks.
    pub readiness_listen: SocketAddr,
    /// Region of each data centre, by the data centre's name.
    pub regions: HashMap<SmolStr, SmolStr>,
    /// Time after which a revoked API key must no longer be accepted, even while this process is cut off
    /// from the store and its peers; absent if the bound need not hold then.
    pub revoke_within: Option<Duration>,
    /// Whether the whole system starts for the first time, so that no earlier process has used up any part
    /// of a shared budget.
    pub first_start: bool,
    /// Memory that the host allows the process, in megabytes of 1,000,000 bytes; absent if it is not known.
    pub memory_mb: Option<u64>,
    /// File descriptors that the host allows the process; absent if the number is not known.
    pub descriptors: Option<u64>,
    /// Longest time that a shutdown may take.
    pub grace: Duration,
    /// Retries to a service per request to it within `retry_window`.
    pub retry_ratio: f64,
    /// Additional retries to a service within `retry_window`, whatever the number of requests.
    pub retry_slack: f64,
    /// Time window of `retry_ratio` and `retry_slack`.
    pub retry_window: Duration,
    /// Time within which engines must have switched to a newly published version.
    pub version_within: Duration,
    /// Time for which a process must have been running and connected before bounds such as
    /// `version_within` apply to it.
    pub contact_after: Duration,
    /// Whether services are treated as contended; see docs/ROUTING.md, "Contended services".
    pub contention: ContentionSetting,
    /// Number of prompt tokens that one upstream keeps after a request, by service. A service that is
    /// missing keeps none, and its requests are placed without regard to their prompts.
    pub prompt_cache: HashMap<SmolStr, u32>,
}

/// Whether services are treated as contended.
#[derive(Clone, Copy, Debug, Default, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum ContentionSetting {
    /// Those whose routes have different ranks, or whose upstreams state a relative service time.
    #[default]
    Auto,
    /// All services of engines.
    On,
    /// None.
    Off,
}

/// Settings of `balsamjunctiond stager`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StagerSettings {
    /// Identity, platform and peers.
    pub mesh: MeshSettings,
    /// Address of the engine on this host.
    pub engine: SocketAddr,
    /// Name of the service that the engine belongs to.
    pub service: SmolStr,
    /// Bandwidth of the host's link in each direction, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Time within which engines must have switched to a newly published version.
    pub version_within: Duration,
}

/// Reads the settings of a gateway; `overrides` are pairs of a field and the value that replaces it.
pub fn read_gateway(
    buf: &[u8],
    overrides: &[(SmolStr, SmolStr)],
) -> Result<GatewaySettings, FaultReport> {
    read_settings(buf, overrides, |fields, faults| {
        let listen = fields.required_address("listen");
        let readiness_listen = fields.required_address("readiness_listen");
        let mut regions = HashMap::new();
        if let Some(section) = fields.required_object("regions") {
            for prop in section.properties() {
                let name = SmolStr::new(prop.name.as_str());
                match &prop.value {
                    Value::StringLit(lit) => {
                        regions.insert(name, SmolStr::new(&lit.value));
                    }
                    _ => faults.add(
                        prop.value.start(),
                        FaultKind::InvalidFormat {
                            field: name.to_string(),
                            value: String::new(),
                            expected: "the name of a region",
                        },
                    ),
                }
            }
        }
        let prompt_cache = read_prompt_cache(fields, faults);
        let strict = fields.boolean("strict_revocation").unwrap_or(true);
        let revoke = read_millis(fields, "revoke_within_ms", 5_000);
        let slack = fields.float("retry_slack", (0, 1_000_000), "requests");
        Some(GatewaySettings {
            mesh: read_mesh(fields, faults)?,
            listen: listen?,
            readiness_listen: readiness_listen?,
            regions,
            revoke_within: strict.then_some(revoke),
            first_start: fields.boolean("first_start").unwrap_or(false),
            memory_mb: fields.integer("memory_mb", MEMORY_MB, "megabytes"),
            descriptors: fields.integer("descriptors", DESCRIPTORS, "descriptors"),
            grace: read_seconds(fields, "grace_s", 8.0),
            retry_ratio: fields
                .float("retry_ratio", (0, 10), "per request")
                .unwrap_or(0.2),
            retry_slack: slack.unwrap_or(20.0),
            retry_window: read_seconds(fields, "retry_window_s", 10.0),
            version_within: read_millis(fields, "version_within_ms", 8_000),
            contact_after: read_millis(fields, "contact_after_ms", 3_000),
            contention: fields
                .parsed("contention", "auto, on or off")
                .unwrap_or_default(),
            prompt_cache,
        })
    })
}

/// Reads the settings of a stager; `overrides` are pairs of a field and the value that replaces it.
pub fn read_stager(
    buf: &[u8],
    overrides: &[(SmolStr, SmolStr)],
) -> Result<StagerSettings, FaultReport> {
    read_settings(buf, overrides, |fields, faults| {
        let engine = fields.required_address("engine");
        let service = fields.required_string("service");
        let version_within = read_millis(fields, "version_within_ms", 8_000);
        let link = fields.float("link_mbps", (0, MAX_LINK_MBPS), "megabits per second");
        Some(StagerSettings {
            link_bytes_per_s: (link.unwrap_or(DEFAULT_LINK_MBPS) * BYTES_PER_MEGABIT) as u64,
            mesh: read_mesh(fields, faults)?,
            engine: engine?,
            service,
            version_within,
        })
    })
}

/// Reads the tokens that upstreams keep, by service; empty without the section.
fn read_prompt_cache(
    fields: &FieldReader<'_, '_>,
    faults: &FaultCollector<'_>,
) -> HashMap<SmolStr, u32> {
    let section = fields.object("prompt_cache");
    let services = section.iter().flat_map(|section| section.properties());
    let capacities = services.filter_map(|prop| {
        let capacity = integer_property(prop, PROMPT_CACHE_TOKENS, "tokens", faults)?;
        Some((SmolStr::new(prop.name.as_str()), capacity as u32))
    });
    capacities.collect()
}

fn read_millis(fields: &FieldReader<'_, '_>, name: &'static str, default: u64) -> Duration {
    let value = fields.integer(name, (0, MAX_DURATION_MS), "milliseconds");
    Duration::from_millis(value.unwrap_or(default))
}

fn read_seconds(fields: &FieldReader<'_, '_>, name: &'static str, default: f64) -> Duration {
    let value = fields.float(name, (0, MAX_DURATION_S), "seconds");
    Duration::from_secs_f64(value.unwrap_or(default))
}

fn read_mesh(fields: &FieldReader<'_, '_>, faults: &FaultCollector<'_>) -> Option<MeshSettings> {
    let host = fields.required_string("host");
    let data_centre = fields.required_string("data_centre");
    let inner_listen = fields.required_address("inner_listen");
    let inner_advertise = fields.address("inner_advertise");
    let outbound_ip = fields.string("outbound_ip");
    let outbound_ip =
        outbound_ip.and_then(|ip| fields.parse_value("outbound_ip", &ip, "an IP address"));
    let metrics_listen = fields.address("metrics_listen");
    let store = fields.required_address("store");
    let seeds = fields.addresses("seeds", faults);
    Some(MeshSettings {
        host,
        data_centre,
        inner_listen: inner_listen?,
        inner_advertise: inner_advertise.or(inner_listen)?,
        outbound_ip,
        metrics_listen,
        store: store?,
        seeds,
    })
}
