//! Forwards the bytes of connections between endpoints.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{Endpoint, Fabric, FaultKind};

/// The start of requests for chunks of weights, to peers and to the origin.
const BULK_REQUEST_PREFIXES: [&[u8]; 2] = [b"GET /weights/chunk", b"GET /v1/chunks"];
/// Size of the segments that are forwarded; small, so that connections share a link evenly.
const SEGMENT_BYTES: usize = 2 * 1024;
/// How often a stalled connection checks whether the fault has ended.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Accepts connections to an endpoint and forwards each in a task of its own.
pub async fn accept(fabric: Arc<Fabric>, listener: TcpListener, to: Endpoint) {
    loop {
        let Ok((client, address)) = listener.accept().await else {
            continue;
        };
        let from = fabric.endpoint_by_ip.get(&address.ip()).copied();
        tokio::spawn(proxy_connection(fabric.clone(), client, from, to.clone()));
    }
}

/// Proxies a connection from the endpoint with the index `from`, if known, until one side closes.
async fn proxy_connection(
    fabric: Arc<Fabric>,
    client: TcpStream,
    from: Option<usize>,
    to: Endpoint,
) {
    let from_endpoint = from.map(|n| fabric.network.endpoints[n].clone());
    if !wait_while_stalled(&fabric, from_endpoint.as_ref(), &to).await {
        return;
    }
    let Ok(server) = TcpStream::connect(to.private).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let bulk = Arc::new(AtomicU64::new(0));
    let requests = Pump {
        fabric: fabric.clone(),
        from: from_endpoint.clone(),
        to: Some(to.clone()),
        client: from_endpoint.clone(),
        server: to.clone(),
        is_response: false,
        bulk: bulk.clone(),
    };
    let responses = Pump {
        fabric,
        from: Some(to.clone()),
        to: from_endpoint.clone(),
        client: from_endpoint,
        server: to,
        is_response: true,
        bulk,
    };
    // The end of one direction ends both, as in a broken network.
    tokio::select! {
        () = requests.run(client_read, server_write) => {}
        () = responses.run(server_read, client_write) => {}
    }
}

/// Waits while the pair of endpoints is stalled; returns false if it is cut.
async fn wait_while_stalled(fabric: &Fabric, from: Option<&Endpoint>, to: &Endpoint) -> bool {
    loop {
        match fabric.find_fault(from, to) {
            Some(FaultKind::Cut) => return false,
            Some(FaultKind::Stall) => tokio::time::sleep(FAULT_POLL_INTERVAL).await,
            _ => return true,
        }
    }
}

/// One direction of a connection.
struct Pump {
    fabric: Arc<Fabric>,
    from: Option<Endpoint>,
    to: Option<Endpoint>,
    client: Option<Endpoint>,
    server: Endpoint,
    is_response: bool,
    /// 1 once the connection has requested a chunk of weights; shared by both directions.
    bulk: Arc<AtomicU64>,
}

impl Pump {
    /// Forwards segments until either side closes or the connection is cut.
    async fn run(
        &self,
        mut read: tokio::net::tcp::OwnedReadHalf,
        mut write: tokio::net::tcp::OwnedWriteHalf,
    ) {
        let mut buf = vec![0; SEGMENT_BYTES];
        loop {
            let n = tokio::select! {
                n = read.read(&mut buf) => n.unwrap_or(0),
                () = self.wait_for_cut() => 0,
            };
            if n == 0 {
                return;
            }
            let mut segment = buf[..n].to_vec();
            if !self.is_response
                && BULK_REQUEST_PREFIXES
                    .iter()
                    .any(|prefix| segment.starts_with(prefix))
            {
                self.bulk.store(1, Ordering::Relaxed);
            }
            if !wait_while_stalled(&self.fabric, self.client.as_ref(), &self.server).await {
                return;
            }
            let bulk = self.bulk.load(Ordering::Relaxed) == 1;
            segment = self.apply_fault(segment, bulk).await;
            let (from, to) = (self.from.as_ref(), self.to.as_ref());
            self.fabric.transmit(from, to, n, bulk).await;
            if write.write_all(&segment).await.is_err() {
                return;
            }
        }
    }

    async fn wait_for_cut(&self) {
        let mut changes = self.fabric.faults.subscribe();
        // The sender lives as long as the network, so `changed` fails only when the process ends.
        while changes.changed().await.is_ok() {
            let fault = self.fabric.find_fault(self.client.as_ref(), &self.server);
            if fault == Some(FaultKind::Cut) {
                return;
            }
        }
    }

    async fn apply_fault(&self, mut segment: Vec<u8>, bulk: bool) -> Vec<u8> {
        let fault = self.fabric.find_fault(self.client.as_ref(), &self.server);
        match fault {
            Some(FaultKind::Corrupt)
                if bulk && self.is_response && !segment.starts_with(b"HTTP/") =>
            {
                let last = segment.len() - 1;
                segment[last] ^= 1;
                segment
            }
            Some(FaultKind::Cross) if self.is_response && segment.starts_with(b"HTTP/") => {
                self.fabric.exchange_segment(&self.server, segment).await
            }
            Some(FaultKind::Slow) => {
                let delay = Duration::from_millis(100);
                tokio::time::sleep(delay).await;
                segment
            }
            _ => segment,
        }
    }
}
