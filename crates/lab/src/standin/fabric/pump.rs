//! Carries the bytes of connections between places.

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

/// How requests for chunks of weights start, to peers and to the origin.
const BULK_REQUESTS: [&[u8]; 2] = [b"GET /weights/chunk", b"GET /v1/chunks"];
/// Bytes that pass at once; small, so that connections share a link evenly.
const SEGMENT_BYTES: usize = 2 * 1024;
/// How often held connections look whether their fault has ended.
const FAULT_POLL: Duration = Duration::from_millis(10);

/// Accepts connections to a place.
pub async fn accept(fabric: Arc<Fabric>, listener: TcpListener, to: Endpoint) {
    loop {
        let Ok((client, address)) = listener.accept().await else {
            continue;
        };
        let from = fabric.by_ip.get(&address.ip()).copied();
        tokio::spawn(carry(fabric.clone(), client, from, to.clone()));
    }
}

async fn carry(fabric: Arc<Fabric>, client: TcpStream, from: Option<usize>, to: Endpoint) {
    let from_place = from.map(|n| fabric.network.endpoints[n].clone());
    if !clear(&fabric, from_place.as_ref(), &to).await {
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
        from: from_place.clone(),
        to: Some(to.clone()),
        connecting: from_place.clone(),
        connected: to.clone(),
        answers: false,
        bulk: bulk.clone(),
    };
    let answers = Pump {
        fabric,
        from: Some(to.clone()),
        to: from_place.clone(),
        connecting: from_place,
        connected: to,
        answers: true,
        bulk,
    };
    // Either direction ending ends both, as a broken network does.
    tokio::select! {
        () = requests.run(client_read, server_write) => {}
        () = answers.run(server_read, client_write) => {}
    }
}

/// Waits while the pair is stalled; false if it is cut.
async fn clear(fabric: &Fabric, from: Option<&Endpoint>, to: &Endpoint) -> bool {
    loop {
        match fabric.fault(from, to) {
            Some(FaultKind::Cut) => return false,
            Some(FaultKind::Stall) => tokio::time::sleep(FAULT_POLL).await,
            _ => return true,
        }
    }
}

struct Pump {
    fabric: Arc<Fabric>,
    from: Option<Endpoint>,
    to: Option<Endpoint>,
    connecting: Option<Endpoint>,
    connected: Endpoint,
    answers: bool,
    bulk: Arc<AtomicU64>,
}

impl Pump {
    async fn run(
        &self,
        mut read: tokio::net::tcp::OwnedReadHalf,
        mut write: tokio::net::tcp::OwnedWriteHalf,
    ) {
        let mut buf = vec![0; SEGMENT_BYTES];
        loop {
            let n = tokio::select! {
                n = read.read(&mut buf) => n.unwrap_or(0),
                () = self.cut() => 0,
            };
            if n == 0 {
                return;
            }
            let mut segment = buf[..n].to_vec();
            if !self.answers && BULK_REQUESTS.iter().any(|start| segment.starts_with(start)) {
                self.bulk.store(1, Ordering::Relaxed);
            }
            if !clear(&self.fabric, self.connecting.as_ref(), &self.connected).await {
                return;
            }
            let bulk = self.bulk.load(Ordering::Relaxed) == 1;
            segment = self.harm(segment, bulk).await;
            let (from, to) = (self.from.as_ref(), self.to.as_ref());
            self.fabric.pass(from, to, n, bulk).await;
            if write.write_all(&segment).await.is_err() {
                return;
            }
        }
    }

    async fn cut(&self) {
        let mut changes = self.fabric.faults.subscribe();
        // The sender lives as long as the network, so a change always comes or the process ends.
        while changes.changed().await.is_ok() {
            let fault = self.fabric.fault(self.connecting.as_ref(), &self.connected);
            if fault == Some(FaultKind::Cut) {
                return;
            }
        }
    }

    async fn harm(&self, mut segment: Vec<u8>, bulk: bool) -> Vec<u8> {
        let fault = self.fabric.fault(self.connecting.as_ref(), &self.connected);
        match fault {
            Some(FaultKind::Corrupt) if bulk && self.answers && !segment.starts_with(b"HTTP/") => {
                let last = segment.len() - 1;
                segment[last] ^= 1;
                segment
            }
            Some(FaultKind::Cross) if self.answers && segment.starts_with(b"HTTP/") => {
                self.fabric.cross(&self.connected, segment).await
            }
            Some(FaultKind::Slow) => {
                let wait = Duration::from_millis(100);
                tokio::time::sleep(wait).await;
                segment
            }
            _ => segment,
        }
    }
}
