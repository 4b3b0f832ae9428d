//! The settings of entries and sidecars, and the reading of settings files with overrides.

use std::net::{IpAddr, SocketAddr};

use smol_str::SmolStr;

use crate::{
    reader::{closest_match, decode, parse_document, FaultCollector, FieldReader},
    report::FaultReport,
};

/// Lowest accepted link rate; below it, the transfer of one chunk would take minutes.
const MIN_LINK_BYTES_PER_S: u64 = 1024;
/// Highest accepted link rate: 100 Gbit/s.
const MAX_LINK_BYTES_PER_S: u64 = 12_500_000_000;
/// Highest accepted number of worker threads that share a port; more are of no use on an entry's machine.
const MAX_WORKERS: u64 = 64;

/// How a process identifies itself and finds the platform and its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Name of this host.
    pub host: SmolStr,
    /// Data centre of this host.
    pub data_centre: SmolStr,
    /// Address to listen on for peers and operators.
    pub inner_listen: SocketAddr,
    /// Address at which peers reach this process; differs from `inner_listen` behind an address translation.
    pub advertise: SocketAddr,
    /// Source address of outgoing connections, for hosts with several addresses.
    pub outbound_ip: Option<IpAddr>,
    /// Address of the configuration service, which is read and watched.
    pub config_service: SocketAddr,
    /// Address of the service that holds the membership list.
    pub membership: SocketAddr,
    /// Peers to ask at the start before the configuration service, whose state may be stale.
    pub seeds: Vec<SocketAddr>,
}

/// Bandwidth of links, in bytes per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkRates {
    /// Link of one host, in each direction.
    pub host: u64,
    /// Link between a pair of regions, in each direction.
    pub inter_region: u64,
}

/// Settings of `balsamjunctiond entry`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Identity, platform and peers.
    pub peer: PeerSettings,
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Time within which a caller must send the complete request head.
    pub header_timeout_ms: u64,
    /// Whether to select the less loaded of two random upstreams; if not, any random upstream, as a baseline
    /// for measurements.
    pub two_choices: bool,
}

/// Settings of `balsamjunctiond sidecar`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SidecarSettings {
    /// Identity, platform and peers.
    pub peer: PeerSettings,
    /// Address of the upstream on the same host.
    pub upstream: SocketAddr,
    /// Address of the origin of weights; needed if the upstream is an engine.
    pub origin: Option<SocketAddr>,
    /// Link rates that bulk transfers are paced by.
    pub links: LinkRates,
    /// Whether the gate limits and queues requests; if not, all pass, as a baseline for measurements.
    pub gate: bool,
    /// Whether queueing is fair among workspaces; if not, it is first in, first out, as a baseline for
    /// measurements.
    pub fair: bool,
    /// Whether chunks are fetched from peers; if not, every chunk comes from the origin, as a baseline for
    /// measurements.
    pub from_peers: bool,
}

/// Reads the settings of an entry; `overrides` are pairs of a field and the value that replaces it.
pub fn read_entry(
    buf: &[u8],
    overrides: &[(SmolStr, SmolStr)],
) -> Result<EntrySettings, FaultReport> {
    read_settings(buf, overrides, |fields, faults| {
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

/// Reads the settings of a sidecar; `overrides` are pairs of a field and the value that replaces it.
pub fn read_sidecar(
    buf: &[u8],
    overrides: &[(SmolStr, SmolStr)],
) -> Result<SidecarSettings, FaultReport> {
    read_settings(buf, overrides, |fields, faults| {
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

/// Parses settings, applies the overrides, and reports every fault that `build` records.
pub(crate) fn read_settings<T>(
    buf: &[u8],
    overrides: &[(SmolStr, SmolStr)],
    build: impl FnOnce(&FieldReader<'_, '_>, &FaultCollector<'_>) -> Option<T>,
) -> Result<T, FaultReport> {
    let text = decode(buf)?;
    let mut root = parse_document(text)?;
    let literals: Vec<(String, String)> = overrides
        .iter()
        .map(|(name, value)| (name.to_string(), override_literal(value)))
        .collect();
    for (name, value) in &literals {
        let document = parse_override(name, value)?;
        let index = root
            .properties
            .iter()
            .position(|prop| prop.name.as_str() == name);
        let Some(prop) = document.properties.into_iter().next() else {
            continue;
        };
        match index {
            Some(index) => root.properties[index].value = prop.value,
            None => root.properties.push(prop),
        }
    }
    let faults = FaultCollector::new(text);
    let fields = FieldReader::new(&root, &faults);
    let built = build(&fields, &faults);
    fields.report_unknown();
    let built = faults.finish(built)?;
    built.ok_or_else(FaultReport::default)
}

/// Converts an override to a JSON literal: integers and booleans as written, everything else as a string.
fn override_literal(value: &str) -> String {
    let is_literal = value.parse::<u64>().is_ok() || value == "true" || value == "false";
    if is_literal {
        return value.to_owned();
    }
    serde_json::Value::from(value).to_string()
}

/// Parses an override as a document with a single field.
fn parse_override(
    name: &str,
    value: &str,
) -> Result<jsonc_parser::ast::Object<'static>, FaultReport> {
    let document = format!("{{{}: {value}}}", serde_json::Value::from(name));
    // The parsed value borrows the text, so the text is leaked; a process reads its settings only once.
    parse_document(Box::leak(document.into_boxed_str()))
}

fn read_peer(fields: &FieldReader<'_, '_>, faults: &FaultCollector<'_>) -> Option<PeerSettings> {
    let host = fields.required_string("host");
    let data_centre = fields.required_string("data_centre");
    let inner_listen = fields.required_address("inner_listen");
    let advertise = fields.address("advertise");
    let outbound_ip = fields.string("outbound_ip");
    let outbound_ip =
        outbound_ip.and_then(|ip| fields.parse_value("outbound_ip", &ip, "an IP address"));
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
    let range = (MIN_LINK_BYTES_PER_S, MAX_LINK_BYTES_PER_S);
    let mut links = LinkRates {
        host: 125_000_000,
        inter_region: 2_500_000,
    };
    let Some(fields) = fields.object("links") else {
        return links;
    };
    let unit = "bytes per second";
    if let Some(rate) = fields.integer("host", range, unit) {
        links.host = rate;
    }
    if let Some(rate) = fields.integer("inter_region", range, unit) {
        links.inter_region = rate;
    }
    fields.report_unknown();
    links
}

/// Names of the daemon's roles.
pub const ROLES: [&str; 4] = ["entry", "sidecar", "gateway", "stager"];

/// Returns the most similar role to an unknown one, if any is similar.
pub fn suggest_role(name: &str) -> Option<String> {
    closest_match(name, ROLES.into_iter())
}
