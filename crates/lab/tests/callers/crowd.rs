//! A crowd of clients that keep their connections open, and the checks of the gateway that they load.

use std::{fs, net::SocketAddr, time::Duration};

use balsamjunction_lab::standin::platform::Engine;
use bytes::Bytes;
use futures_util::future::join_all;
use serde_json::json;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    sync::{Mutex, MutexGuard},
};

use crate::common::{plain_engine_options, wait_until, Gateway, TestSite, API_KEY};

/// Memory of the smallest host in bytes, which a gateway without a memory setting must not exceed.
const MAX_MEMORY_BYTES: u64 = 112 * 1_000_000;
/// Descriptors of the smallest host, less those that are reserved for files.
const MAX_DESCRIPTORS: usize = 2_870 - 200;
/// Longest body that the configuration allows.
pub const MAX_BODY_BYTES: usize = 4_194_304;
/// Send buffer of a client's socket, so that unread bytes do not fill the memory of the test's machine.
const SEND_BUFFER_BYTES: u32 = 64 * 1_024;
/// Time for which the crowd sends. A gateway that does not read ends no write.
const SENDING_TIME: Duration = Duration::from_secs(6);

/// Held by the test that runs.
static EXCLUSIVE: Mutex<()> = Mutex::const_new(());

/// What one client writes: a beginning, and a part that it repeats.
pub struct Script {
    pub opening: String,
    pub repeated: Bytes,
    pub repetitions: usize,
    /// The last bytes.
    pub closing: Bytes,
}

/// A gateway with one upstream.
pub struct LoadedSite {
    pub site: TestSite,
    pub gateway: Gateway,
    _engine: Engine,
    process: Option<u32>,
    _exclusive: MutexGuard<'static, ()>,
}

/// The head of a request up to the header `last`, without the blank line.
pub fn head(method: &str, n: usize, last: &str) -> String {
    format!(
        "{method} /stock/{n} HTTP/1.1\r\nHost: floor.example\r\nAuthorization: Bearer {API_KEY}\r\n{last}"
    )
}

/// Opens a connection of a client.
pub async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("create a socket");
    socket
        .set_send_buffer_size(SEND_BUFFER_BYTES)
        .expect("set the send buffer");
    socket.connect(address).await.expect("the gateway listens")
}

async fn write_script(connection: &mut TcpStream, script: &Script) {
    // The gateway may refuse the request and close the connection before everything is written.
    if connection
        .write_all(script.opening.as_bytes())
        .await
        .is_err()
    {
        return;
    }
    for _ in 0..script.repetitions {
        if connection.write_all(&script.repeated).await.is_err() {
            return;
        }
    }
    let _ = connection.write_all(&script.closing).await;
}

impl LoadedSite {
    /// Starts the site; waits until no other test of this binary runs.
    pub async fn start() -> Self {
        Self::start_with(|_| {}).await
    }

    /// Starts the site after `change` was applied to it.
    pub async fn start_with(change: impl FnOnce(&mut TestSite)) -> Self {
        let exclusive = EXCLUSIVE.lock().await;
        let mut site = TestSite::start().await;
        change(&mut site);
        site.update_config(|config| config["limits"]["maxBodyBytes"] = json!(MAX_BODY_BYTES));
        let engine = site.start_engine(plain_engine_options("d1")).await;
        let gateway = site.start_gateway("g1", &[]);
        gateway.wait_until_ready().await;
        let process = site.processes.pid("g1");
        Self {
            site,
            gateway,
            _engine: engine,
            process,
            _exclusive: exclusive,
        }
    }

    /// Lets each client write its script on a connection of its own; returns the open connections.
    pub async fn send(&self, scripts: &[Script]) -> Vec<TcpStream> {
        let connections = scripts.iter().map(|_| connect(self.gateway.callers));
        let mut connections = join_all(connections).await;
        let writes = connections.iter_mut().zip(scripts);
        let writes = join_all(writes.map(|(connection, script)| write_script(connection, script)));
        // Clients whose bytes are not read stay blocked, and their connections open.
        let _ = actix_rt::time::timeout(SENDING_TIME, writes).await;
        connections
    }

    /// Asserts that the gateway stayed within the smallest host and serves an ordinary client.
    pub async fn assert_serves_within_its_host(&mut self) {
        wait_until("an ordinary request to be served", async || {
            let key = format!("Bearer {API_KEY}");
            let headers = [("authorization", key.as_str())];
            let call = self
                .gateway
                .try_call_with("POST", "/order/new", "ordinary", &headers);
            call.await.is_ok_and(|response| response.status == 200)
        })
        .await;
        assert_eq!(self.site.processes.pid("g1"), self.process);
        let exited = self.site.processes.exit_success("g1");
        assert_eq!(exited.expect("the process was started"), None);
        let memory = self.site.peak_memory_bytes("g1");
        let pid = self.process.expect("the process runs");
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).expect("list the descriptors");
        let descriptors = descriptors.count();
        println!("peak memory {memory} bytes, {descriptors} descriptors");
        assert!(memory < MAX_MEMORY_BYTES, "{memory} bytes");
        assert!(descriptors < MAX_DESCRIPTORS, "{descriptors} descriptors");
        assert!(self.gateway.is_ready().await);
    }
}
