//! The settings of one process.

use std::net::{IpAddr, SocketAddr};

use smol_str::SmolStr;

use crate::{
    reader::{closest_match, decode, parse_document, FaultCollector, FieldReader},
    report::FaultReport,
};

/// Bytes a second of a link may not be less; a chunk would take minutes.
const LEAST_LINK_RATE: u64 = 1024;
/// 100 Gbit/s in bytes a second.
const GREATEST_LINK_RATE: u64 = 12_500_000_000;
/// The greatest port-sharing worker count that is useful on the machines of an entry.
const MAX_WORKERS: u64 = 64;

/// What every process needs to find the platform and its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// This host's name.
    pub host: SmolStr,
    /// The data centre in which it stands.
    pub data_centre: SmolStr,
    /// Where peers and operators reach this process.
    pub inner_listen: SocketAddr,
    /// How peers name this process; differs from `inner_listen` behind an address translation.
    pub advertise: SocketAddr,
    /// The source address of outgoing connections, for hosts with several.
    pub outbound_ip: Option<IpAddr>,
    /// The read-and-watch configuration service.
    pub config_service: SocketAddr,
    /// The membership list.
    pub membership: SocketAddr,
    /// Peers to ask before the configuration service is believed.
    pub seeds: Vec<SocketAddr>,
}

/// Bytes a second that links carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkRates {
    /// One host, each way.
    pub host: u64,
    /// One pair of regions, each way.
    pub inter_region: u64,
}

/// Settings of `balsamjunctiond entry`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Platform and peers.
    pub peer: PeerSettings,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Threads that serve callers.
    pub workers: usize,
    /// Time in which a caller must send its request head.
    pub header_timeout_ms: u64,
    /// Whether the less loaded of two is chosen, or any as a baseline for measurements.
    pub two_choices: bool,
}

/// Settings of `balsamjunctiond sidecar`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SidecarSettings {
    /// Platform and peers.
    pub peer: PeerSettings,
    /// The upstream beside which the sidecar runs.
    pub upstream: SocketAddr,
    /// The origin of weights; needed for engines.
    pub origin: Option<SocketAddr>,
    /// Rates by which the sidecar paces bulk transfers.
    pub links: LinkRates,
    /// Whether requests pass without the gate, as a baseline for measurements.
    pub gate: bool,
    /// Whether the queue is first-in-first-out, as a baseline for measurements.
    pub fair: bool,
    /// Whether chunks come from peers, or each from the origin as a baseline for measurements.
    pub from_peers: bool,
}

/// Reads the settings of an entry; `overrides` are `field=value` pairs that replace fields.
pub fn read_entry(
    buf: &[u8],
    overrides: &[(SmolStr, SmolStr)],
) -> Result<EntrySettings, FaultReport> {
    read(buf, overrides, |fields, faults| {
        let listen = fields.required_address("listen");
        let workers = fields.integer("workers", (1, MAX_WORKERS), "threads");
        let timeout = fields.integer("header_timeout_ms", (100, 600_000), "milliseconds");
        Some(EntrySettings {
            peer: read_peer(fields, faults)?,
            listen: listen?,
            workers: workers.unwrap_or(2) as usize,
            header_timeout_ms: timeout.unwrap_or(5_000),
            two_choices: fields.boolean("two_choices").unwrap_or(true),
        })
    })
}

/// Reads the settings of a sidecar; `overrides` are `field=value` pairs that replace fields.
pub fn read_sidecar(
    buf: &[u8],
    overrides: &[(SmolStr, SmolStr)],
) -> Result<SidecarSettings, FaultReport> {
    read(buf, overrides, |fields, faults| {
        let upstream = fields.required_address("upstream");
        let origin = fields.address("origin");
        let gate = fields.boolean("gate").unwrap_or(true);
        let fair = fields.boolean("fair").unwrap_or(true);
        let from_peers = fields.boolean("from_peers").unwrap_or(true);
        let links = read_links(fields);
        Some(SidecarSettings {
            peer: read_peer(fields, faults)?,
            upstream: upstream?,
            origin,
            links,
            gate,
            fair,
            from_peers,
        })
    })
}

/// Parses settings, replaces fields by overrides, and reports every fault that `build` finds.
pub(crate) fn read<T>(
    buf: &[u8],
    overrides: &[(SmolStr, SmolStr)],
    build: impl FnOnce(&FieldReader<'_, '_>, &FaultCollector<'_>) -> Option<T>,
) -> Result<T, FaultReport> {
    let text = decode(buf)?;
    let mut root = parse_document(text)?;
    let owned: Vec<(String, String)> = overrides
        .iter()
        .map(|(name, value)| (name.to_string(), override_text(value)))
        .collect();
    for (name, value) in &owned {
        let document = parse_override(name, value)?;
        let position = root
            .properties
            .iter()
            .position(|prop| prop.name.as_str() == name);
        let Some(prop) = document.properties.into_iter().next() else {
            continue;
        };
        match position {
            Some(at) => root.properties[at].value = prop.value,
            None => root.properties.push(prop),
        }
    }
    let faults = FaultCollector::new(text);
    let fields = FieldReader::new(&root, &faults);
    let built = build(&fields, &faults);
    fields.finish();
    let built = faults.finish(built)?;
    built.ok_or_else(FaultReport::default)
}

/// Numbers and booleans stand for themselves; everything else is a string.
fn override_text(value: &str) -> String {
    let plain = value.parse::<u64>().is_ok() || value == "true" || value == "false";
    if plain {
        return value.to_owned();
    }
    serde_json::Value::from(value).to_string()
}

fn parse_override(
    name: &str,
    value: &str,
) -> Result<jsonc_parser::ast::Object<'static>, FaultReport> {
    let document = format!("{{{}: {value}}}", serde_json::Value::from(name));
    // Settings are read once for the life of the process, so the text of an override stays.
    parse_document(Box::leak(document.into_boxed_str()))
}

fn read_peer(fields: &FieldReader<'_, '_>, faults: &FaultCollector<'_>) -> Option<PeerSettings> {
    let host = fields.required_string("host");
    let data_centre = fields.required_string("data_centre");
    let inner_listen = fields.required_address("inner_listen");
    let advertise = fields.address("advertise");
    let outbound_ip = fields.string("outbound_ip");
    let outbound_ip =
        outbound_ip.and_then(|ip| fields.parse_value("outbound_ip", &ip, "an IP number"));
    let config_service = fields.required_address("config_service");
    let membership = fields.required_address("membership");
    let seeds = fields.addresses("seeds", faults);
    Some(PeerSettings {
        host,
        data_centre,
        inner_listen: inner_listen?,
        advertise: advertise.or(inner_listen)?,
        outbound_ip,
        config_service: config_service?,
        membership: membership?,
        seeds,
    })
}

fn read_links(fields: &FieldReader<'_, '_>) -> LinkRates {
    let range = (LEAST_LINK_RATE, GREATEST_LINK_RATE);
    let mut links = LinkRates {
        host: 125_000_000,
        inter_region: 2_500_000,
    };
    let Some(fields) = fields.object("links") else {
        return links;
    };
    let unit = "bytes a second";
    if let Some(rate) = fields.integer("host", range, unit) {
        links.host = rate;
    }
    if let Some(rate) = fields.integer("inter_region", range, unit) {
        links.inter_region = rate;
    }
    fields.finish();
    links
}

/// The names of the daemon's roles, for suggestions.
pub const ROLES: [&str; 4] = ["entry", "sidecar", "gateway", "stager"];

/// The role nearest to a mistyped one.
pub fn suggest_role(name: &str) -> Option<String> {
    closest_match(name, ROLES.into_iter())
}
