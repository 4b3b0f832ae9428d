//! A link to a server that holds up what one connection sends, and delivers it later.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{
    io::{copy_bidirectional, AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Time after the bytes of a request that was held up at which the end of its connection follows.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// What a link holds up next.
struct Hold {
    /// How the request begins.
    prefix: &'static str,
    time: Duration,
}

/// A request that was held up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldRequest {
    /// Its sender reset the connection meanwhile, so that it was never delivered.
    Lost,
    /// It was delivered.
    Delivered,
}

/// A link, which connects all its connections to one server.
#[derive(Clone)]
pub struct HeldLink {
    /// The address to connect to instead of the server's.
    pub address: SocketAddr,
    hold: Rc<RefCell<Option<Hold>>>,
    ended: Rc<RefCell<Vec<HeldRequest>>>,
}

impl HeldLink {
    /// Starts a link to `server`.
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
        let link = Self {
            address: listener.local_addr().expect("the listener is bound"),
            hold: Rc::default(),
            ended: Rc::default(),
        };
        let acceptor = link.clone();
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                actix_rt::spawn(acceptor.clone().forward(client, server));
            }
        });
        link
    }

    /// Holds up the next request that begins with `prefix` for `time`, also if its sender closes the connection
    /// meanwhile. If the sender resets it, the request is lost, as what is on its way through a network.
    pub fn hold_next(&self, prefix: &'static str, time: Duration) {
        *self.hold.borrow_mut() = Some(Hold { prefix, time });
    }

    /// Whether the request that is to be held up has reached the link.
    pub fn has_taken(&self) -> bool {
        self.hold.borrow().is_none()
    }

    /// The requests whose time on the link has ended.
    pub fn ended(&self) -> Vec<HeldRequest> {
        self.ended.borrow().clone()
    }

    /// Returns for how long to hold up a request that begins with `buf`.
    fn take_hold(&self, buf: &[u8]) -> Option<Duration> {
        let mut hold = self.hold.borrow_mut();
        let matches = |hold: &mut Hold| buf.starts_with(hold.prefix.as_bytes());
        hold.take_if(matches).map(|hold| hold.time)
    }

    async fn forward(self, mut client: TcpStream, server: SocketAddr) {
        let Ok(mut server) = TcpStream::connect(server).await else {
            return;
        };
        let mut buf = Vec::new();
        let mut close_delay = Duration::ZERO;
        if client.read_buf(&mut buf).await.is_err() {
            return;
        }
        if let Some(time) = self.take_hold(&buf) {
            let lost = hold(&mut client, &mut buf, Instant::now() + time).await;
            self.ended.borrow_mut().push(match lost {
                true => HeldRequest::Lost,
                false => HeldRequest::Delivered,
            });
            if lost {
                return;
            }
            close_delay = CLOSE_DELAY;
        }
        if server.write_all(&buf).await.is_ok() {
            actix_rt::time::sleep(close_delay).await;
            // Either end may break the connection.
            let _ = copy_bidirectional(&mut client, &mut server).await;
        }
    }
}

/// Receives until `until` what `client` sends; returns whether it reset the connection, which may be after it has closed it.
async fn hold(client: &mut TcpStream, buf: &mut Vec<u8>, until: Instant) -> bool {
    let receive = async {
        while client.read_buf(buf).await? > 0 {}
        Ok::<(), std::io::Error>(())
    };
    let received = tokio::time::timeout_at(until.into(), receive).await;
    tokio::time::sleep_until(until.into()).await;
    matches!(received, Ok(Err(_))) || matches!(client.take_error(), Ok(Some(_)))
}
