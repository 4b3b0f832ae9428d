//! An emulated network between hosts, with rate-limited links and injected faults.
//!
//! It proxies connections: one listener for each host's public address. The source address of a
//! connection identifies the host that opened it, so links and faults apply per pair of hosts.

mod link;
mod pump;

use std::{
    collections::{BTreeMap, HashMap},
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::{Duration, Instant},
};

use actix_web::{
    web::{self, Data, Json},
    App, HttpResponse, HttpServer,
};
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};
use tokio::{
    net::{TcpListener, TcpSocket},
    runtime::Handle,
    sync::{oneshot, watch},
};

use self::{link::Link, pump::accept};
use super::IDLE_LIMIT;
use crate::error::LabError;

/// How long [`FaultKind::Cross`] holds a response to wait for another to exchange it with.
const CROSS_TIMEOUT: Duration = Duration::from_millis(30);
/// Length of the queue of connections that wait to be accepted, per address.
const BACKLOG: u32 = 1024;

/// An address of the network.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Endpoint {
    /// The host's name.
    pub host: SmolStr,
    /// The host's data centre.
    pub data_centre: SmolStr,
    /// The region of the data centre.
    pub region: SmolStr,
    /// The address other hosts connect to; the network listens on it.
    pub public: SocketAddr,
    /// The address the process listens on.
    pub private: SocketAddr,
    /// Rate of the host's link in bytes per second, in each direction; unlimited if absent.
    pub rate: Option<u64>,
}

/// The description of the network, as written in its file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Network {
    /// All addresses.
    #[serde(rename = "places")]
    pub endpoints: Vec<Endpoint>,
    /// Rate between two regions in bytes per second, in each direction; unlimited if absent.
    pub inter_region: Option<u64>,
}

/// The effect of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Closes open connections and new ones.
    Cut,
    /// Delays all bytes until the fault ends.
    Stall,
    /// Delays every segment by 100 ms.
    Slow,
    /// Flips a bit in the chunks of weights.
    Corrupt,
    /// Exchanges the responses of two connections to the same host.
    Cross,
}

/// A fault on connections between hosts; an absent name matches every host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    /// The effect.
    pub kind: FaultKind,
    /// The host, or the data centre as `dc:NAME`, that opens the connection.
    #[serde(default)]
    pub from: Option<SmolStr>,
    /// The host, or the data centre as `dc:NAME`, that accepts the connection.
    #[serde(default)]
    pub to: Option<SmolStr>,
}

/// Bytes of weights sent over the links.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes sent, by host.
    pub sent: BTreeMap<SmolStr, u64>,
    /// Bytes sent between regions, by `from>to`.
    pub between_regions: BTreeMap<SmolStr, u64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The first segment of a response and the channel for the one it is exchanged with.
type PendingExchange = (Vec<u8>, oneshot::Sender<Vec<u8>>);

struct Fabric {
    network: Network,
    /// Indices into the network's endpoints.
    endpoint_by_ip: HashMap<IpAddr, usize>,
    uplinks: HashMap<SmolStr, Link>,
    downlinks: HashMap<SmolStr, Link>,
    region_links: HashMap<(SmolStr, SmolStr), Link>,
    faults: watch::Sender<Vec<Fault>>,
    pending_exchanges: Mutex<HashMap<SmolStr, PendingExchange>>,
    sent_bytes: HashMap<SmolStr, AtomicU64>,
    region_bytes: HashMap<(SmolStr, SmolStr), AtomicU64>,
}

impl Fabric {
    fn new(network: Network) -> Self {
        let mut fabric = Self {
            endpoint_by_ip: HashMap::new(),
            uplinks: HashMap::new(),
            downlinks: HashMap::new(),
            region_links: HashMap::new(),
            faults: watch::Sender::new(Vec::new()),
            pending_exchanges: Mutex::default(),
            sent_bytes: HashMap::new(),
            region_bytes: HashMap::new(),
            network: Network::default(),
        };
        for (n, endpoint) in network.endpoints.iter().enumerate() {
            fabric.endpoint_by_ip.insert(endpoint.public.ip(), n);
            fabric
                .sent_bytes
                .insert(endpoint.host.clone(), AtomicU64::new(0));
            if let Some(rate) = endpoint.rate {
                fabric
                    .uplinks
                    .insert(endpoint.host.clone(), Link::new(rate));
                fabric
                    .downlinks
                    .insert(endpoint.host.clone(), Link::new(rate));
            }
            for other in network
                .endpoints
                .iter()
                .filter(|o| o.region != endpoint.region)
            {
                let pair = (endpoint.region.clone(), other.region.clone());
                fabric.region_bytes.insert(pair.clone(), AtomicU64::new(0));
                if let Some(rate) = network.inter_region {
                    fabric.region_links.insert(pair, Link::new(rate));
                }
            }
        }
        fabric.network = network;
        fabric
    }

    /// The first fault that applies to connections from one endpoint to another.
    fn find_fault(&self, from: Option<&Endpoint>, to: &Endpoint) -> Option<FaultKind> {
        let faults = self.faults.borrow();
        let fault = faults.iter().find(|fault| {
            let from_matches = match (&fault.from, from) {
                (None, _) => true,
                (Some(name), Some(endpoint)) => matches(name, endpoint),
                (Some(_), None) => false,
            };
            from_matches && fault.to.as_ref().is_none_or(|name| matches(name, to))
        });
        fault.map(|fault| fault.kind)
    }

    /// Waits until a number of bytes has been transmitted over all links between two endpoints; `bulk`
    /// bytes are counted as traffic of weights.
    async fn transmit(
        &self,
        from: Option<&Endpoint>,
        to: Option<&Endpoint>,
        bytes: usize,
        bulk: bool,
    ) {
        let mut done_at = Instant::now();
        if let Some(endpoint) = from {
            if let Some(link) = self.uplinks.get(&endpoint.host) {
                done_at = done_at.max(link.reserve(bytes));
            }
            if bulk {
                self.sent_bytes[&endpoint.host].fetch_add(bytes as u64, Ordering::Relaxed);
            }
        }
        if let Some(link) = to.and_then(|endpoint| self.downlinks.get(&endpoint.host)) {
            done_at = done_at.max(link.reserve(bytes));
        }
        if let (Some(from), Some(to)) = (from, to) {
            let pair = (from.region.clone(), to.region.clone());
            if let Some(link) = self.region_links.get(&pair) {
                done_at = done_at.max(link.reserve(bytes));
            }
            if let Some(counter) = self.region_bytes.get(&pair).filter(|_| bulk) {
                counter.fetch_add(bytes as u64, Ordering::Relaxed);
            }
        }
        tokio::time::sleep_until(done_at.into()).await;
    }

    /// Exchanges the first segment of a response with that of another connection to the same host;
    /// returns the segment itself if none arrives within [`CROSS_TIMEOUT`].
    async fn exchange_segment(&self, to: &Endpoint, segment: Vec<u8>) -> Vec<u8> {
        let (tx, rx) = oneshot::channel();
        let partner = {
            let mut pending = lock(&self.pending_exchanges);
            match pending.remove(&to.host) {
                Some(partner) => Some(partner),
                None => {
                    pending.insert(to.host.clone(), (segment.clone(), tx));
                    None
                }
            }
        };
        if let Some((other, partner_tx)) = partner {
            return match partner_tx.send(segment) {
                Ok(()) => other,
                Err(own) => own,
            };
        }
        match tokio::time::timeout(CROSS_TIMEOUT, rx).await {
            Ok(Ok(other)) => other,
            _ => {
                lock(&self.pending_exchanges).remove(&to.host);
                segment
            }
        }
    }
}

/// Whether a name in a fault matches an endpoint.
fn matches(name: &str, endpoint: &Endpoint) -> bool {
    match name.strip_prefix("dc:") {
        Some(data_centre) => endpoint.data_centre == data_centre,
        None => endpoint.host == name,
    }
}

/// Runs the network described in the file `network`; `control` is the address of its control interface.
pub async fn run(control: SocketAddr, network: PathBuf) -> Result<(), LabError> {
    let buf = std::fs::read(network)?;
    let fabric = Arc::new(Fabric::new(serde_json::from_slice(&buf)?));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    for endpoint in fabric.network.endpoints.clone() {
        let listener = listen_on_host_ip(runtime.handle(), endpoint.public);
        let listener = listener.map_err(|source| LabError::Listen {
            address: endpoint.public,
            source,
        })?;
        runtime.spawn(accept(fabric.clone(), listener, endpoint));
    }
    let listener = super::listen(control)?;
    let fabric = Data::from(fabric);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(fabric.clone())
            .route("/lab/faults", web::post().to(set_faults))
            .route("/lab/traffic", web::get().to(get_traffic))
    })
    .workers(1)
    .keep_alive(IDLE_LIMIT)
    .listen(listener)?
    .run();
    super::run(server).await?;
    runtime.shutdown_background();
    Ok(())
}

/// Listens on an address whose IP the host's own process also uses, with another port.
fn listen_on_host_ip(runtime: &Handle, address: SocketAddr) -> std::io::Result<TcpListener> {
    let _context = runtime.enter();
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn set_faults(fabric: Data<Fabric>, faults: Json<Vec<Fault>>) -> HttpResponse {
    fabric.faults.send_replace(faults.into_inner());
    HttpResponse::Ok().finish()
}

async fn get_traffic(fabric: Data<Fabric>) -> HttpResponse {
    let value = |n: &AtomicU64| n.load(Ordering::Relaxed);
    let pairs = fabric.region_bytes.iter();
    HttpResponse::Ok().json(Traffic {
        sent: fabric
            .sent_bytes
            .iter()
            .map(|(host, n)| (host.clone(), value(n)))
            .collect(),
        between_regions: pairs
            .map(|((from, to), n)| (format_smolstr!("{from}>{to}"), value(n)))
            .collect(),
    })
}
