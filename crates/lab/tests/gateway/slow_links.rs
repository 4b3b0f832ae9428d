//! A fleet of gateways whose calls to each other and to the store pass slow links.
//!
//! A link is slower than the users' about as the fleet is smaller, so that a message to all takes a sender as long. One read of
//! the store takes longer by that, since it passes the same link.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use balsamjunction_lab::{
    bench::process::LaunchCommand,
    standin::fabric::{Endpoint, Network},
};
use futures_util::future::join_all;
use serde_json::{json, Value};
use tokio::sync::{Mutex, MutexGuard};

use crate::common::{wait_until, Gateway, TestSite};

/// Data centres, each a region of its own, with the number of their gateways.
const DATA_CENTRES: [(&str, usize); 3] = [("addis-a", 3), ("hawassa-a", 3), ("mekelle-a", 2)];
/// Rate of a gateway's link in each direction, in bytes per second: 10 Mbit/s. A message to the other seven takes its sender as
/// long as one to 23 others over a link of 28 Mbit/s, within a fifth.
const LINK_BYTES_PER_S: u64 = 1_250_000;
/// Time within which a revoked key must be refused everywhere, even by a gateway that is cut off.
pub const REVOCATION_DEADLINE: Duration = Duration::from_millis(5_000);
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
    _running: MutexGuard<'static, ()>,
}

/// Milliseconds since the Unix epoch, as the lines of logs state them.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.expect("the clock is set").as_millis() as u64
}

impl SlowFleet {
    /// Starts the gateways on a platform that `prepare` completes before.
    pub async fn start(prepare: impl AsyncFnOnce(&mut TestSite)) -> Self {
        let running = RUNNING_FLEET.lock().await;
        let mut site = TestSite::start().await;
        site.revocation_deadline = REVOCATION_DEADLINE;
        prepare(&mut site).await;
        let store = SocketAddr::new(site.next_ip(), LINKED_PORT);
        let hosts = place_hosts(&mut site);
        start_network(&mut site, &hosts, store);

        let linked: Vec<Gateway> = hosts.iter().map(Host::behind_link).collect();
        for host in &hosts {
            // All of them are seeds, which finds the members at once.
            site.start_gateway_with(
                &host.name,
                Gateway::at(host.ip),
                &linked,
                &host.settings(store),
            );
        }
        let names = hosts.into_iter().map(|host| host.name);
        let gateways = names.zip(linked).collect();
        let fleet = Self {
            site,
            gateways,
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

    fn settings(&self, store: SocketAddr) -> Value {
        let regions = DATA_CENTRES.map(|(name, _)| (name.to_owned(), json!(region(name))));
        json!({
            "data_centre": self.data_centre,
            "regions": serde_json::Map::from_iter(regions),
            "inner_advertise": self.behind_link().inner.to_string(),
            "outbound_ip": self.ip.to_string(),
            "store": store.to_string(),
        })
    }
}

fn region(data_centre: &str) -> &str {
    data_centre.trim_end_matches("-a")
}

fn place_hosts(site: &mut TestSite) -> Vec<Host> {
    let places = DATA_CENTRES
        .iter()
        .flat_map(|(data_centre, gateways)| (1..=*gateways).map(move |n| (*data_centre, n)));
    places
        .map(|(data_centre, n)| Host {
            name: format!("edge-{}-{n}", region(data_centre)),
            data_centre,
            ip: site.next_ip(),
        })
        .collect()
}

/// Starts the network, in which the store is at the address `store` and its own link is not limited.
fn start_network(site: &mut TestSite, hosts: &[Host], store: SocketAddr) {
    let store = Endpoint {
        host: "store".into(),
        data_centre: "store".into(),
        region: "store".into(),
        public: store,
        private: site.store.address,
        rate: None,
    };
    let network = Network {
        endpoints: hosts.iter().map(Host::endpoint).chain([store]).collect(),
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
