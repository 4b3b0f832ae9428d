//! The network between hosts: links with rates, and faults on demand.
//!
//! One listener stands for each host's public address. The source address of a connection tells
//! which host it comes from, so links and faults are per pair.

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

/// How long a crossed answer waits for another one to be exchanged with.
const CROSS_WAIT: Duration = Duration::from_millis(30);
/// Connections that may wait to be accepted at one address.
const BACKLOG: u32 = 1024;

/// One address of the network.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Endpoint {
    /// The host's name.
    pub host: SmolStr,
    /// The host's data centre.
    pub data_centre: SmolStr,
    /// The region of the data centre.
    pub region: SmolStr,
    /// Where others connect.
    pub public: SocketAddr,
    /// Where the process listens.
    pub private: SocketAddr,
    /// Bytes a second of the host's link, each way.
    pub rate: Option<u64>,
}

/// The whole network.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Network {
    /// All addresses.
    #[serde(rename = "places")]
    pub endpoints: Vec<Endpoint>,
    /// Bytes a second between two regions, each way.
    pub inter_region: Option<u64>,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Breaks connections and refuses new ones.
    Cut,
    /// Holds all bytes.
    Stall,
    /// Lets a hundredth of the rate through.
    Slow,
    /// Flips a bit in chunks of weights.
    Corrupt,
    /// Exchanges answers of connections to the same host.
    Cross,
}

/// A fault between hosts; an absent name matches every host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    /// What it does.
    pub kind: FaultKind,
    /// The host, or the data centre as `dc:NAME`, that connects.
    #[serde(default)]
    pub from: Option<SmolStr>,
    /// The host, or the data centre as `dc:NAME`, that is connected to.
    #[serde(default)]
    pub to: Option<SmolStr>,
}

/// Bytes of weights that crossed links.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Traffic {
    /// Sent by each host.
    pub sent: BTreeMap<SmolStr, u64>,
    /// Sent from region to region, as `from>to`.
    pub between_regions: BTreeMap<SmolStr, u64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type Swap = (Vec<u8>, oneshot::Sender<Vec<u8>>);

struct Fabric {
    network: Network,
    by_ip: HashMap<IpAddr, usize>,
    up: HashMap<SmolStr, Link>,
    down: HashMap<SmolStr, Link>,
    between: HashMap<(SmolStr, SmolStr), Link>,
    faults: watch::Sender<Vec<Fault>>,
    crossing: Mutex<HashMap<SmolStr, Swap>>,
    sent: HashMap<SmolStr, AtomicU64>,
    crossed: HashMap<(SmolStr, SmolStr), AtomicU64>,
}

impl Fabric {
    fn new(network: Network) -> Self {
        let mut fabric = Self {
            by_ip: HashMap::new(),
            up: HashMap::new(),
            down: HashMap::new(),
            between: HashMap::new(),
            faults: watch::Sender::new(Vec::new()),
            crossing: Mutex::default(),
            sent: HashMap::new(),
            crossed: HashMap::new(),
            network: Network::default(),
        };
        for (n, place) in network.endpoints.iter().enumerate() {
            fabric.by_ip.insert(place.public.ip(), n);
            fabric.sent.insert(place.host.clone(), AtomicU64::new(0));
            if let Some(rate) = place.rate {
                fabric.up.insert(place.host.clone(), Link::new(rate));
                fabric.down.insert(place.host.clone(), Link::new(rate));
            }
            for other in network
                .endpoints
                .iter()
                .filter(|o| o.region != place.region)
            {
                let pair = (place.region.clone(), other.region.clone());
                fabric.crossed.insert(pair.clone(), AtomicU64::new(0));
                if let Some(rate) = network.inter_region {
                    fabric.between.insert(pair, Link::new(rate));
                }
            }
        }
        fabric.network = network;
        fabric
    }

    fn fault(&self, from: Option<&Endpoint>, to: &Endpoint) -> Option<FaultKind> {
        let faults = self.faults.borrow();
        let hit = faults.iter().find(|fault| {
            let from_hit = match (&fault.from, from) {
                (None, _) => true,
                (Some(name), Some(place)) => matches(name, place),
                (Some(_), None) => false,
            };
            from_hit && fault.to.as_ref().is_none_or(|name| matches(name, to))
        });
        hit.map(|fault| fault.kind)
    }

    /// Waits until bytes from one place to another are through.
    async fn pass(&self, from: Option<&Endpoint>, to: Option<&Endpoint>, bytes: usize, bulk: bool) {
        let mut through = Instant::now();
        if let Some(place) = from {
            if let Some(link) = self.up.get(&place.host) {
                through = through.max(link.book(bytes));
            }
            if bulk {
                self.sent[&place.host].fetch_add(bytes as u64, Ordering::Relaxed);
            }
        }
        if let Some(link) = to.and_then(|place| self.down.get(&place.host)) {
            through = through.max(link.book(bytes));
        }
        if let (Some(from), Some(to)) = (from, to) {
            let pair = (from.region.clone(), to.region.clone());
            if let Some(link) = self.between.get(&pair) {
                through = through.max(link.book(bytes));
            }
            if let Some(crossed) = self.crossed.get(&pair).filter(|_| bulk) {
                crossed.fetch_add(bytes as u64, Ordering::Relaxed);
            }
        }
        tokio::time::sleep_until(through.into()).await;
    }

    /// Exchanges an answer's first segment with that of another connection to the same host.
    async fn cross(&self, to: &Endpoint, segment: Vec<u8>) -> Vec<u8> {
        let (tx, rx) = oneshot::channel();
        let partner = {
            let mut crossing = lock(&self.crossing);
            match crossing.remove(&to.host) {
                Some(partner) => Some(partner),
                None => {
                    crossing.insert(to.host.clone(), (segment.clone(), tx));
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
        match tokio::time::timeout(CROSS_WAIT, rx).await {
            Ok(Ok(other)) => other,
            _ => {
                lock(&self.crossing).remove(&to.host);
                segment
            }
        }
    }
}

fn matches(name: &str, place: &Endpoint) -> bool {
    match name.strip_prefix("dc:") {
        Some(data_centre) => place.data_centre == data_centre,
        None => place.host == name,
    }
}

/// Runs the network described in a file.
pub async fn run(control: SocketAddr, network: PathBuf) -> Result<(), LabError> {
    let buf = std::fs::read(network)?;
    let fabric = Arc::new(Fabric::new(serde_json::from_slice(&buf)?));
    let threads = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    for place in fabric.network.endpoints.clone() {
        let listener = listen_shared(threads.handle(), place.public);
        let listener = listener.map_err(|source| LabError::Listen {
            address: place.public,
            source,
        })?;
        threads.spawn(accept(fabric.clone(), listener, place));
    }
    let listener = super::listen(control)?;
    let fabric = Data::from(fabric);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(fabric.clone())
            .route("/lab/faults", web::post().to(set_faults))
            .route("/lab/traffic", web::get().to(traffic))
    })
    .workers(1)
    .keep_alive(IDLE_LIMIT)
    .listen(listener)?
    .run();
    super::run(server).await?;
    threads.shutdown_background();
    Ok(())
}

/// Listens on an address that the host's own process also uses, on another port.
fn listen_shared(threads: &Handle, address: SocketAddr) -> std::io::Result<TcpListener> {
    let _context = threads.enter();
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn set_faults(fabric: Data<Fabric>, faults: Json<Vec<Fault>>) -> HttpResponse {
    fabric.faults.send_replace(faults.into_inner());
    HttpResponse::Ok().finish()
}

async fn traffic(fabric: Data<Fabric>) -> HttpResponse {
    let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
    let pairs = fabric.crossed.iter();
    HttpResponse::Ok().json(Traffic {
        sent: fabric
            .sent
            .iter()
            .map(|(host, n)| (host.clone(), load(n)))
            .collect(),
        between_regions: pairs
            .map(|((from, to), n)| (format_smolstr!("{from}>{to}"), load(n)))
            .collect(),
    })
}
