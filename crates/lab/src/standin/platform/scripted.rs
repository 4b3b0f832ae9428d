//! A TCP server that writes bytes given by the test, which need not be a valid HTTP response.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, AtomicUsize, Ordering},
        Arc,
    },
    time::Duration,
};

use bytes::Bytes;
use memchr::memmem;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::error::LabError;

/// What the server writes after it has received a request.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Written before a request is read, unless empty.
    pub greeting: String,
    /// Written first after a request; `{id}` is replaced by the id of the attempt.
    pub opening: String,
    /// Written repeatedly until the client closes the connection, unless empty.
    pub filler: Bytes,
    /// Time before each write of the filler.
    pub pause: Duration,
    /// Whether the connection stays open for further requests after the opening, if there is no filler.
    pub keep_open: bool,
    /// Whether the connection is reset after the opening, instead of being closed.
    pub reset: bool,
    /// A text and a server: requests whose target does not contain the text are passed on to that server. If
    /// absent, all requests follow the script.
    pub elsewhere: Option<(&'static str, SocketAddr)>,
}

#[derive(Debug, Default)]
struct Counts {
    connections: AtomicUsize,
    requests: AtomicUsize,
    open: AtomicUsize,
    written: AtomicU64,
}

/// A running server; clones share its counters.
#[derive(Clone, Debug)]
pub struct ScriptedServer {
    /// The address it listens on.
    pub address: SocketAddr,
    counts: Arc<Counts>,
}

impl ScriptedServer {
    /// Starts a server that handles every request by the same script.
    pub async fn start(script: Script) -> Result<Self, LabError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let counts = Arc::new(Counts::default());
        let shared = counts.clone();
        actix_rt::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let (script, counts) = (script.clone(), shared.clone());
                actix_rt::spawn(async move {
                    counts.connections.fetch_add(1, Ordering::AcqRel);
                    counts.open.fetch_add(1, Ordering::AcqRel);
                    // In most scripts the client closes the connection early.
                    let _ = run_script(tcp, &script, &counts).await;
                    counts.open.fetch_sub(1, Ordering::AcqRel);
                });
            }
        });
        Ok(Self { address, counts })
    }

    /// Number of requests received.
    pub fn requests(&self) -> usize {
        self.counts.requests.load(Ordering::Acquire)
    }

    /// Number of connections accepted.
    pub fn connections(&self) -> usize {
        self.counts.connections.load(Ordering::Acquire)
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.counts.open.load(Ordering::Acquire)
    }

    /// Number of bytes written on all connections.
    pub fn bytes_written(&self) -> u64 {
        self.counts.written.load(Ordering::Acquire)
    }
}

async fn run_script(mut tcp: TcpStream, script: &Script, counts: &Counts) -> std::io::Result<()> {
    tcp.write_all(script.greeting.as_bytes()).await?;
    loop {
        let Some((head, buf)) = read_request(&mut tcp).await? else {
            return Ok(());
        };
        let target = head.lines().next().unwrap_or_default();
        if let Some((_, server)) = script.elsewhere.filter(|(text, _)| !target.contains(text)) {
            return pass_on(tcp, &buf[head.len()..], &head, server).await;
        }
        counts.requests.fetch_add(1, Ordering::AcqRel);
        let id = header(&head, "balsamjunction-attempt-id").unwrap_or_default();
        let opening = script.opening.replace("{id}", &id);
        tcp.write_all(opening.as_bytes()).await?;
        counts
            .written
            .fetch_add(opening.len() as u64, Ordering::AcqRel);
        while !script.filler.is_empty() {
            if !script.pause.is_zero() {
                actix_rt::time::sleep(script.pause).await;
            }
            tcp.write_all(&script.filler).await?;
            let written = script.filler.len() as u64;
            counts.written.fetch_add(written, Ordering::AcqRel);
        }
        if script.reset {
            // The client must have read the opening, since a reset discards what it has not read.
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            return tcp.set_zero_linger();
        }
        if !script.keep_open {
            return tcp.shutdown().await;
        }
    }
}

/// Passes a request on to another server, and its response back. Then both connections close.
async fn pass_on(
    mut tcp: TcpStream,
    rest: &[u8],
    head: &str,
    server: SocketAddr,
) -> std::io::Result<()> {
    let mut other = TcpStream::connect(server).await?;
    other.write_all(head.as_bytes()).await?;
    other.write_all(b"\r\nConnection: close").await?;
    other.write_all(rest).await?;
    tokio::io::copy(&mut other, &mut tcp).await?;
    tcp.shutdown().await
}

/// Reads the next request with its body; returns its head and all its bytes, or `None` at the end of the
/// connection.
async fn read_request(tcp: &mut TcpStream) -> std::io::Result<Option<(String, Vec<u8>)>> {
    let mut buf = Vec::new();
    loop {
        if let Some(end) = memmem::find(&buf, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let length = header(&head, "content-length").and_then(|n| n.parse().ok());
            let total_length = end + 4 + length.unwrap_or(0);
            while buf.len() < total_length {
                if tcp.read_buf(&mut buf).await? == 0 {
                    return Ok(None);
                }
            }
            return Ok(Some((head, buf)));
        }
        if tcp.read_buf(&mut buf).await? == 0 {
            return Ok(None);
        }
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(found, _)| found.trim().eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim().to_owned())
}
