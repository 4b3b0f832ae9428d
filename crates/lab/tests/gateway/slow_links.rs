//! A fleet of gateways whose calls to each other and to the store pass slow links.
//!
//! A link is slower than the users' about as the fleet is smaller, so that a message to all takes a sender as long. One read of
//! the store takes longer by that, since it passes the same link.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use balsamjunction_lab::{
    bench::process::LaunchCommand,
    standin::{
        fabric::{Endpoint, Network},
        platform::StoreAccess,
    },
};
use futures_util::future::join_all;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{json, Value};
use tokio::sync::{Mutex, MutexGuard};

use crate::common::{route, wait_until, Gateway, TestSite};

/// Data centres, each a region of its own, with the number of their gateways.
const DATA_CENTRES: [(&str, usize); 3] = [("addis-a", 3), ("hawassa-a", 3), ("mekelle-a", 2)];
/// Rate of a gateway's link in each direction, in bytes per second: 10 Mbit/s. A message to the other seven takes its sender as
/// long as one to 23 others over a link of 28 Mbit/s, within a fifth.
const LINK_BYTES_PER_S: u64 = 1_250_000;
/// Time within which a revoked key must be refused everywhere, even by a gateway that is cut off.
pub const REVOCATION_DEADLINE: Duration = Duration::from_millis(5_000);
/// Time from its acknowledgement within which every gateway must know a version.
pub const VERSION_KNOWN_WITHIN: Duration = Duration::from_millis(1_000);
/// How much later than it was a gateway may take the publication of a version.
pub const VERSION_TAKEN_LATER: Duration = Duration::from_millis(100);
/// Time from its acknowledgement within which a configuration must be in force.
pub const CONFIGURED_WITHIN: Duration = Duration::from_millis(3_000);
/// Routes that the large configuration adds.
const MORE_ROUTES: usize = 1_560;
/// Seed of their names and times.
const ROUTE_SEED: u64 = 52;
/// Port of a host on which the network listens for calls to its gateway.
const LINKED_PORT: u16 = 7_001;
/// Time for which the gateways run undisturbed before a test changes anything: longer than `contact_after_ms`, which has
/// its default.
const SETTLING_TIME: Duration = Duration::from_millis(4_000);

/// Held by the fleet that runs, since another one beside it would take its processor time.
static RUNNING_FLEET: Mutex<()> = Mutex::const_new(());

/// Gateways behind slow links, which know each other and have read the facts.
pub struct SlowFleet {
    pub site: TestSite,
    /// Gateways with their names.
    pub gateways: Vec<(String, Gateway)>,
    /// The ways to the store, in the order of the gateways.
    accesses: Vec<StoreAccess>,
    _running: MutexGuard<'static, ()>,
}

/// Milliseconds since the Unix epoch, as the lines of logs state them.
fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.expect("the clock is set").as_millis() as u64
}

/// A change that the store acknowledged.
pub struct Acknowledged {
    pub at: Instant,
    at_ms: u64,
}

impl Acknowledged {
    pub fn now() -> Self {
        Self {
            at: Instant::now(),
            at_ms: unix_ms(),
        }
    }

    /// How long after the acknowledgement a line was written, in milliseconds.
    pub fn ms_until(&self, line: &Value) -> i64 {
        line["at_ms"].as_u64().expect("lines have a time") as i64 - self.at_ms as i64
    }
}

/// The routes that the large configuration adds. Their names and times differ as much as an operator's do, so that they
/// deflate to about a tenth, as declarations do.
fn more_routes() -> Vec<Value> {
    let mut rng = Pcg64::seed_from_u64(ROUTE_SEED);
    let routes = (0..MORE_ROUTES).map(|n| {
        let name = format!("counter-{n}-{:016x}", rng.random::<u64>());
        let mut route = route(&name, &format!("/{name}/"), "idempotent", "order-desk");
        route["timeoutMs"] = json!(rng.random_range(1_000..10_000));
        route["targetLatencyMs"] = json!(rng.random_range(100..1_000));
        route
    });
    routes.collect()
}

/// Publishes a configuration with [`MORE_ROUTES`] routes more.
pub fn publish_large_configuration(site: &mut TestSite) -> Acknowledged {
    site.update_config(|config| {
        let routes = config["routes"].as_array_mut();
        routes.expect("there are routes").extend(more_routes());
    });
    Acknowledged::now()
}

impl SlowFleet {
    /// Starts the gateways on a platform that `prepare` completes before.
    pub async fn start(prepare: impl AsyncFnOnce(&mut TestSite)) -> Self {
        let running = RUNNING_FLEET.lock().await;
        let mut site = TestSite::start().await;
        site.revocation_deadline = REVOCATION_DEADLINE;
        prepare(&mut site).await;
        let hosts = place_hosts(&mut site).await;
        start_network(&mut site, &hosts);

        let linked: Vec<Gateway> = hosts.iter().map(Host::behind_link).collect();
        for host in &hosts {
            // All of them are seeds, which finds the members at once.
            site.start_gateway_with(&host.name, Gateway::at(host.ip), &linked, &host.settings());
        }
        let names = hosts.iter().map(|host| host.name.clone());
        let fleet = Self {
            site,
            gateways: names.zip(linked).collect(),
            accesses: hosts.into_iter().map(|host| host.access).collect(),
            _running: running,
        };
        fleet.wait_until_settled().await;
        fleet
    }

    async fn wait_until_settled(&self) {
        let members = r#"balsamjunction_members{state="entry"}"#;
        let others = self.gateways.len() as f64 - 1.0;
        join_all(self.gateways.iter().map(|(name, gateway)| async move {
            gateway.wait_until_ready().await;
            wait_until(&format!("{name} to know all others"), async || {
                gateway.metric(members).await == Some(others)
            })
            .await;
        }))
        .await;
        actix_rt::time::sleep(SETTLING_TIME).await;
    }

    /// The names of the gateways that called the store from `from` to `until`.
    pub fn readers(&self, from: Instant, until: Instant) -> Vec<&str> {
        let names = self.gateways.iter().map(|(name, _)| name.as_str());
        let is_read = |access: &StoreAccess| {
            let times = access.call_times();
            times.iter().any(|at| (from..until).contains(at))
        };
        let with_access = names.zip(&self.accesses);
        with_access
            .filter(|(_, access)| is_read(access))
            .map(|(name, _)| name)
            .collect()
    }

    /// The way of the gateway `name` to the store.
    pub fn access(&self, name: &str) -> &StoreAccess {
        let position = self.gateways.iter().position(|(n, _)| n == name);
        &self.accesses[position.expect("the gateway is in the fleet")]
    }

    /// For each gateway, the milliseconds from the acknowledgement of a version until it knew it.
    pub fn version_learned(&self, version: u64, named: &Acknowledged) -> Vec<(&str, Option<i64>)> {
        let lines = self.first_lines("version-named", |line| line["version"] == version);
        lines
            .map(|(name, line)| (name, line.map(|line| named.ms_until(&line))))
            .collect()
    }

    /// For each gateway, the milliseconds from the acknowledgement of a version to the time from which it counts there.
    /// Negative for a time before the acknowledgement.
    pub fn version_counted_from(
        &self,
        version: u64,
        named: &Acknowledged,
    ) -> Vec<(&str, Option<i64>)> {
        let lines = self.first_lines("version-named", |line| line["version"] == version);
        let counted_from =
            |line: Value| Some(named.ms_until(&line) - line["since_ms"].as_u64()? as i64);
        lines
            .map(|(name, line)| (name, line.and_then(counted_from)))
            .collect()
    }

    /// For each gateway, the milliseconds from the acknowledgement of the latest configuration until it was in force.
    pub fn configuration_applied(&self, published: &Acknowledged) -> Vec<(&str, Option<i64>)> {
        let version = self.site.config()["version"].as_u64();
        let lines = self.first_lines("belief", |line| line["configuration"].as_u64() >= version);
        lines
            .map(|(name, line)| (name, line.map(|line| published.ms_until(&line))))
            .collect()
    }

    /// The first line of each gateway that `matches`, of those whose `event` is the given one.
    fn first_lines(
        &self,
        event: &str,
        matches: impl Fn(&Value) -> bool,
    ) -> impl Iterator<Item = (&str, Option<Value>)> {
        let lines = self.log_lines(event).into_iter();
        lines.map(move |(name, lines)| (name, lines.into_iter().find(|line| matches(line))))
    }

    /// The lines of each gateway's log whose `event` is the given one, with the gateway's name.
    pub fn log_lines(&self, event: &str) -> Vec<(&str, Vec<Value>)> {
        let gateways = self.gateways.iter();
        gateways
            .map(|(name, _)| (name.as_str(), self.site.log_lines(name, event)))
            .collect()
    }
}

/// A host of a gateway.
struct Host {
    name: String,
    data_centre: &'static str,
    ip: IpAddr,
    /// Where it reaches the store over its link.
    store: SocketAddr,
    access: StoreAccess,
}

impl Host {
    /// The gateway as others reach it.
    fn behind_link(&self) -> Gateway {
        Gateway {
            inner: SocketAddr::new(self.ip, LINKED_PORT),
            ..Gateway::at(self.ip)
        }
    }

    /// The host as the network sees it.
    fn endpoint(&self) -> Endpoint {
        Endpoint {
            host: self.name.as_str().into(),
            data_centre: self.data_centre.into(),
            region: region(self.data_centre).into(),
            public: self.behind_link().inner,
            private: Gateway::at(self.ip).inner,
            rate: Some(LINK_BYTES_PER_S),
        }
    }

    /// The store as the network shows it to this host. The store's own link is not limited.
    fn store_endpoint(&self) -> Endpoint {
        Endpoint {
            host: format!("store-of-{}", self.name).into(),
            data_centre: "store".into(),
            region: "store".into(),
            public: self.store,
            private: self.access.address,
            rate: None,
        }
    }

    fn settings(&self) -> Value {
        let regions = DATA_CENTRES.map(|(name, _)| (name.to_owned(), json!(region(name))));
        json!({
            "data_centre": self.data_centre,
            "regions": serde_json::Map::from_iter(regions),
            "inner_advertise": self.behind_link().inner.to_string(),
            "outbound_ip": self.ip.to_string(),
            "store": self.store.to_string(),
        })
    }
}

fn region(data_centre: &str) -> &str {
    data_centre.trim_end_matches("-a")
}

async fn place_hosts(site: &mut TestSite) -> Vec<Host> {
    let places = DATA_CENTRES
        .iter()
        .flat_map(|(data_centre, gateways)| (1..=*gateways).map(move |n| (*data_centre, n)));
    let mut hosts = Vec::new();
    for (data_centre, n) in places {
        let access = site.store.open_access().await;
        hosts.push(Host {
            name: format!("edge-{}-{n}", region(data_centre)),
            data_centre,
            ip: site.next_ip(),
            store: SocketAddr::new(site.next_ip(), LINKED_PORT),
            access: access.expect("open the way to the store"),
        });
    }
    hosts
}

/// Starts the network, in which each gateway reaches the store at an address of its own.
fn start_network(site: &mut TestSite, hosts: &[Host]) {
    let stores = hosts.iter().map(Host::store_endpoint);
    let network = Network {
        endpoints: hosts.iter().map(Host::endpoint).chain(stores).collect(),
        inter_region: None,
    };
    let path = site.settings_path("network");
    let buf = serde_json::to_vec(&network).expect("the network can be encoded");
    fs::write(&path, buf).expect("write the network");
    let control = SocketAddr::new(site.next_ip(), LINKED_PORT);
    let launch = LaunchCommand::lab("network").expect("the lab is built");
    let launch = launch
        .arg("standin")
        .arg("fabric")
        .option("--listen", control)
        .option("--network", path.display());
    site.processes.start(launch).expect("start the network");
}
