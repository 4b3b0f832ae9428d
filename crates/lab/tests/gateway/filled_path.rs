//! A path to an engine on which connections take long.

use std::{net::SocketAddr, time::Duration};

use balsamjunction_lab::standin::platform::Engine;
use serde_json::Value;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

use crate::common::{model_engine_options, wait_until, TestSite};

/// Time after which a connection that is not accepted counts as waiting.
const NOT_ACCEPTED: Duration = Duration::from_millis(100);
/// Successive connections that are not accepted by a queue that is full. One alone may have been delayed by a busy
/// machine.
const FULL_AFTER: usize = 3;
/// The least of the 300 ms for which a gateway waits for a connection that is more than the usual time.
const LEAST_DELAY_MS: u64 = 150;

/// A link that accepts no connections until it is opened.
struct FilledLink {
    address: SocketAddr,
    listener: TcpListener,
    /// The connections that fill the queue of the listener.
    queued: Vec<TcpStream>,
}

impl FilledLink {
    async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        let any_port = "127.0.0.1:0".parse().expect("an address");
        socket.bind(any_port).expect("bind a port");
        let listener = socket.listen(1).expect("listen");
        let address = listener.local_addr().expect("the listener is bound");
        let mut queued = Vec::new();
        let mut not_accepted = 0;
        while not_accepted < FULL_AFTER {
            match timeout(NOT_ACCEPTED, TcpStream::connect(address)).await {
                Ok(connected) => {
                    queued.push(connected.expect("connect to the link"));
                    not_accepted = 0;
                }
                Err(_) => not_accepted += 1,
            }
        }
        Self {
            address,
            listener,
            queued,
        }
    }

    /// Connects all further connections to `server`.
    fn open(self, server: SocketAddr) {
        drop(self.queued);
        actix_rt::spawn(async move {
            while let Ok((mut client, _)) = self.listener.accept().await {
                actix_rt::spawn(async move {
                    let mut upstream = TcpStream::connect(server).await.expect("connect");
                    // Either side may reset the connection.
                    let _ = copy_bidirectional(&mut client, &mut upstream).await;
                });
            }
        });
    }
}

/// The delay of the path in each line of a request that was sent.
fn path_delays(site: &TestSite) -> Vec<Option<u64>> {
    let sent = site.log_lines("g1", "sent");
    sent.iter()
        .map(|line| line.get("path_ms").and_then(Value::as_u64))
        .collect()
}

// Guards against estimates that take no account of a path on which connections time out, or keep to it for good.
#[actix_rt::test]
async fn a_path_that_connections_do_not_cross_is_in_the_estimate_until_one_does() {
    let mut site = TestSite::start().await;
    let engine = Engine::start(model_engine_options("e0", 3, 5))
        .await
        .expect("start the engine");
    let link = FilledLink::start().await;
    let entry = engine.options.registry_entry(link.address, "ready");
    site.store.put("servers/e0", &entry);
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;

    gateway.generate("a0").await;
    gateway.generate("a1").await;
    let observed = gateway
        .metric("balsamjunction_path_delay_seconds_count")
        .await;
    link.open(engine.address);
    wait_until("a request to be served", async || {
        gateway.generate("a2").await.status == 200
    })
    .await;
    let served = gateway.generate("a3").await;
    wait_until("the line of the last request", async || {
        let sent = site.log_lines("g1", "sent");
        sent.iter().any(|line| line["id"] == "a3")
    })
    .await;

    let delays = path_delays(&site);
    assert_eq!(delays.first(), Some(&None), "{delays:?}");
    assert!(delays[1] >= Some(2 * LEAST_DELAY_MS), "{delays:?}");
    assert_eq!(delays.last(), Some(&None), "{delays:?}");
    assert_eq!(served.status, 200);
    assert!(observed.is_some_and(|count| count >= 2.0), "{observed:?}");
}
