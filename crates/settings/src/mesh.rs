//! The settings of processes that find each other through seeds and read the platform's store.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use jsonc_parser::{ast::Value, common::Ranged};
use smol_str::SmolStr;

use crate::{
    process::read,
    reader::{FaultCollector, FieldReader},
    report::{FaultKind, FaultReport},
};

/// The longest bound that makes sense, in milliseconds.
const MOST_MS: u64 = 3_600_000;

/// The longest bound that makes sense, in seconds.
const MOST_S: u32 = 3_600;

/// The fastest link that makes sense, in megabits a second.
const MOST_MBPS: u32 = 1_000_000;
/// A host's link where the settings do not name one, in megabits a second.
const USUAL_LINK_MBPS: f64 = 1_000.0;
/// Bytes in a megabit.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// What both roles need to find the platform and each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeshSettings {
    /// This host's name.
    pub host: SmolStr,
    /// The data centre in which it stands.
    pub data_centre: SmolStr,
    /// Where the system's processes reach this one.
    pub inner_listen: SocketAddr,
    /// Where metrics are fetched, beside the inner address.
    pub metrics_listen: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Entries to meet first; some may be gone.
    pub seeds: Vec<SocketAddr>,
}

/// Settings of `balsamjunctiond gateway`.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Platform and peers.
    pub mesh: MeshSettings,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether this process takes callers.
    pub readiness_listen: SocketAddr,
    /// The region of each data centre.
    pub regions: HashMap<SmolStr, SmolStr>,
    /// Time after which a key that was taken away must not work any more, if that is to hold also
    /// while this process is cut off.
    pub revoke_within: Option<Duration>,
    /// Whether the whole system starts for the first time, so that no process before this one has used
    /// up anything of a common bound.
    pub first_start: bool,
    /// Time that a stop may take.
    pub grace: Duration,
    /// Retries to a service for each of its requests in a window.
    pub retry_ratio: f64,
    /// Retries to a service in a window beside those.
    pub retry_slack: f64,
    /// The window of the two.
    pub retry_window: Duration,
    /// Time in which engines must have changed to a newer version.
    pub version_within: Duration,
    /// Time for which a process must have been up and connected before it is held to such times.
    pub contact_after: Duration,
}

/// Settings of `balsamjunctiond stager`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StagerSettings {
    /// Platform and peers.
    pub mesh: MeshSettings,
    /// The engine on this host.
    pub engine: SocketAddr,
    /// The service that the engine belongs to.
    pub service: SmolStr,
    /// What the host's link carries each way, in bytes a second.
    pub link_bytes_per_s: u64,
    /// Time in which engines must have changed to a newer version.
    pub version_within: Duration,
}

/// Reads the settings of a gateway; `overrides` are `field=value` pairs that replace fields.
pub fn read_gateway(
    buf: &[u8],
    overrides: &[(SmolStr, SmolStr)],
) -> Result<GatewaySettings, FaultReport> {
    read(buf, overrides, |fields, faults| {
        let listen = fields.required_address("listen");
        let readiness_listen = fields.required_address("readiness_listen");
        let mut regions = HashMap::new();
        if let Some(named) = fields.required_object("regions") {
            for prop in named.properties() {
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
        let strict = fields.boolean("strict_revocation").unwrap_or(true);
        let revoke = millis(fields, "revoke_within_ms", 5_000);
        let slack = fields.float("retry_slack", (0, 1_000_000), "requests");
        Some(GatewaySettings {
            mesh: read_mesh(fields, faults)?,
            listen: listen?,
            readiness_listen: readiness_listen?,
            regions,
            revoke_within: strict.then_some(revoke),
            first_start: fields.boolean("first_start").unwrap_or(false),
            grace: seconds(fields, "grace_s", 8.0),
            retry_ratio: fields
                .float("retry_ratio", (0, 10), "per request")
                .unwrap_or(0.2),
            retry_slack: slack.unwrap_or(20.0),
            retry_window: seconds(fields, "retry_window_s", 10.0),
            version_within: millis(fields, "version_within_ms", 8_000),
            contact_after: millis(fields, "contact_after_ms", 3_000),
        })
    })
}

/// Reads the settings of a stager; `overrides` are `field=value` pairs that replace fields.
pub fn read_stager(
    buf: &[u8],
    overrides: &[(SmolStr, SmolStr)],
) -> Result<StagerSettings, FaultReport> {
    read(buf, overrides, |fields, faults| {
        let engine = fields.required_address("engine");
        let service = fields.required_string("service");
        let version_within = millis(fields, "version_within_ms", 8_000);
        let link = fields.float("link_mbps", (0, MOST_MBPS), "megabits a second");
        Some(StagerSettings {
            link_bytes_per_s: (link.unwrap_or(USUAL_LINK_MBPS) * BYTES_PER_MEGABIT) as u64,
            mesh: read_mesh(fields, faults)?,
            engine: engine?,
            service,
            version_within,
        })
    })
}

fn millis(fields: &FieldReader<'_, '_>, name: &'static str, default: u64) -> Duration {
    let value = fields.integer(name, (0, MOST_MS), "milliseconds");
    Duration::from_millis(value.unwrap_or(default))
}

fn seconds(fields: &FieldReader<'_, '_>, name: &'static str, default: f64) -> Duration {
    let value = fields.float(name, (0, MOST_S), "seconds");
    Duration::from_secs_f64(value.unwrap_or(default))
}

fn read_mesh(fields: &FieldReader<'_, '_>, faults: &FaultCollector<'_>) -> Option<MeshSettings> {
    let host = fields.required_string("host");
    let data_centre = fields.required_string("data_centre");
    let inner_listen = fields.required_address("inner_listen");
    let metrics_listen = fields.address("metrics_listen");
    let store = fields.required_address("store");
    let seeds = fields.addresses("seeds", faults);
    Some(MeshSettings {
        host,
        data_centre,
        inner_listen: inner_listen?,
        metrics_listen,
        store: store?,
        seeds,
    })
}
