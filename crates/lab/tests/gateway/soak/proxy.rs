//! A loopback proxy whose connections go wrong.

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

/// What happens to the bytes of a proxy's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Harm {
    /// They pass.
    #[default]
    None,
    /// They pass later.
    Delay(Duration),
    /// Those towards the server vanish.
    CutThere,
    /// Those of the server vanish.
    CutBack,
    /// All vanish, and connections that were open then stay silent for good.
    Silence,
}

/// A proxy before one server.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    harm: Arc<Mutex<Harm>>,
    resets: Arc<watch::Sender<u64>>,
}

impl Proxy {
    /// Starts a proxy before `server`.
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let proxy = Self {
            address: listener.local_addr().expect("it is bound"),
            harm: Arc::default(),
            resets: Arc::new(watch::channel(0).0),
        };
        let accepting = proxy.clone();
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                actix_rt::spawn(accepting.clone().carry(client, server));
            }
        });
        proxy
    }

    /// Changes what happens to bytes from now on.
    pub fn set(&self, harm: Harm) {
        *self.harm.lock().unwrap_or_else(PoisonError::into_inner) = harm;
    }

    fn harm(&self) -> Harm {
        *self.harm.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Breaks every open connection.
    pub fn reset_all(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    async fn carry(self, client: TcpStream, server: SocketAddr) {
        let Ok(server) = TcpStream::connect(server).await else {
            return;
        };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let mut resets = self.resets.subscribe();
        tokio::select! {
            () = self.pump(client_read, server_write, Harm::CutThere) => {}
            () = self.pump(server_read, client_write, Harm::CutBack) => {}
            _ = resets.changed() => {}
        }
    }

    async fn pump(&self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf, cut: Harm) {
        let mut buf = vec![0; 4_096];
        let mut silent = false;
        loop {
            let n = read.read(&mut buf).await.unwrap_or(0);
            if n == 0 {
                return;
            }
            let harm = self.harm();
            silent = silent || harm == Harm::Silence;
            if silent || harm == cut {
                continue;
            }
            if let Harm::Delay(by) = harm {
                actix_rt::time::sleep(by).await;
            }
            if write.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }
}
