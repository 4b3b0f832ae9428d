//! A loopback proxy that injects faults into its connections.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        tcp::{OwnedReadHalf, OwnedWriteHalf},
        TcpListener, TcpStream,
    },
    sync::watch,
};

/// Fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes are forwarded.
    #[default]
    None,
    /// Bytes are forwarded after a delay.
    Delay(Duration),
    /// Bytes to the server are dropped.
    DropToServer,
    /// Bytes from the server are dropped.
    DropFromServer,
    /// All bytes are dropped, and connections that were in use meanwhile stay silent after the fault ends.
    Blackhole,
}

/// A proxy in front of one server.
#[derive(Clone)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
    resets: Arc<watch::Sender<u64>>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `server`.
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
        let proxy = Self {
            address: listener.local_addr().expect("the listener is bound"),
            fault: Arc::default(),
            resets: Arc::new(watch::channel(0).0),
        };
        let acceptor = proxy.clone();
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                actix_rt::spawn(acceptor.clone().forward(client, server));
            }
        });
        proxy
    }

    /// Replaces the fault, also for open connections.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes every open connection.
    pub fn reset_all(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    async fn forward(self, client: TcpStream, server: SocketAddr) {
        let Ok(server) = TcpStream::connect(server).await else {
            return;
        };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let mut resets = self.resets.subscribe();
        tokio::select! {
            () = self.copy(client_read, server_write, LinkFault::DropToServer) => {}
            () = self.copy(server_read, client_write, LinkFault::DropFromServer) => {}
            _ = resets.changed() => {}
        }
    }

    /// Copies bytes in one direction, in which `drop_fault` drops them.
    async fn copy(
        &self,
        mut read: OwnedReadHalf,
        mut write: OwnedWriteHalf,
        drop_fault: LinkFault,
    ) {
        let mut buf = vec![0; 4_096];
        let mut blackholed = false;
        loop {
            let n = read.read(&mut buf).await.unwrap_or(0);
            if n == 0 {
                return;
            }
            let fault = self.fault();
            blackholed = blackholed || fault == LinkFault::Blackhole;
            if blackholed || fault == drop_fault {
                continue;
            }
            if let LinkFault::Delay(delay) = fault {
                actix_rt::time::sleep(delay).await;
            }
            if write.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }
}
