//! A link to a server that can stop forwarding, as a congested one does, while its sender believes to have sent.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::copy,
    net::{
        tcp::{OwnedReadHalf, OwnedWriteHalf},
        TcpListener, TcpSocket, TcpStream,
    },
    sync::watch,
};

use crate::error::LabError;

/// Receive buffer of the link, so that most of a longer request stays in its sender's send buffer while the link is held.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Time after the last bytes at which the close of a connection is forwarded: it has a packet of its own.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 128;

/// A link to one server. Clones share its state.
#[derive(Clone, Debug)]
pub struct HeldLink {
    /// The address at which the server is reached over the link.
    pub address: SocketAddr,
    held: watch::Sender<bool>,
}

impl HeldLink {
    /// Starts a link to `server` that forwards.
    pub async fn start(server: SocketAddr) -> Result<Self, LabError> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(BACKLOG)?;
        let link = Self {
            address: listener.local_addr()?,
            held: watch::channel(false).0,
        };
        actix_rt::spawn(accept(listener, server, link.held.clone()));
        Ok(link)
    }

    /// Holds all bytes from now on, or forwards them again. Connections are still accepted while it holds.
    pub fn set_held(&self, held: bool) {
        self.held.send_replace(held);
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, held: watch::Sender<bool>) {
    while let Ok((client, _)) = listener.accept().await {
        let held = held.subscribe();
        actix_rt::spawn(async move {
            if let Err(e) = forward(client, server, held).await {
                log::debug!("a connection over a held link failed: {e}");
            }
        });
    }
}

async fn forward(
    client: TcpStream,
    server: SocketAddr,
    held: watch::Receiver<bool>,
) -> io::Result<()> {
    let server = TcpStream::connect(server).await?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = forward_from(client_read, server_write, held.clone());
    let responses = forward_from(server_read, client_write, held);
    // A connection that is reset on one side is closed on the other.
    tokio::try_join!(requests, responses)?;
    Ok(())
}

/// Forwards one direction until its sender closes it; what was sent before the close arrives before it.
async fn forward_from(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut held: watch::Receiver<bool>,
) -> io::Result<()> {
    loop {
        let ended = held.wait_for(|held| !held).await.is_err();
        if ended {
            return Ok(());
        }
        tokio::select! {
            copied = copy(&mut from, &mut to) => {
                copied?;
                actix_rt::time::sleep(CLOSE_DELAY).await;
                // Dropping the write half shuts the direction down.
                return Ok(());
            }
            _ = held.wait_for(|held| *held) => {}
        }
    }
}
