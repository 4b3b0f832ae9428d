//! Connections of callers: each is charged to the account of what callers hold, and only as much is read from it
//! as its request needs.
//!
//! The HTTP server parses everything that it has read, and buffers up to 128 KiB. [`CallerStream`] therefore
//! passes on one request head at a time, and nothing while a request waits for its response or the caller does
//! not read it. What is not passed on stays in the socket's buffer, so that the caller's sending stops.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    sync::{
        atomic::{AtomicBool, AtomicU8, Ordering},
        Arc, Mutex,
    },
    task::{Context, Poll},
    time::Duration,
};

use balsamjunction_policy::{
    caller_account::{
        AccountLimits, CallerAccount, CallerTimeouts, CloseReason, ConnectionKey, ConnectionPhase,
    },
    Moment,
};
use bytes::{Buf, BytesMut};
use futures_util::task::AtomicWaker;
use memchr::memchr_iter;
use slotmap::SecondaryMap;
use smol_str::SmolStr;
use strum::IntoEnumIterator;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpSocket, TcpStream},
};

use super::context::GatewayContext;
use crate::{
    clock::Clock,
    error::DaemonError,
    events::Event,
    metrics::{Metrics, StateLabels},
    process::BACKLOG,
    sync::lock,
};

/// Bytes that are passed on to the HTTP server at a time. A piece of a body with one-byte chunks takes about six
/// times its length once it is parsed.
const READ_BYTES: usize = 8 * 1_024;
/// Receive buffer of a caller's socket. Received bytes count as memory of the process, and the system's default
/// grows to megabytes.
const RECEIVE_BUFFER_BYTES: u32 = 32 * 1_024;
/// Send buffer of a caller's socket, for the same reason.
const SEND_BUFFER_BYTES: u32 = 64 * 1_024;
/// Bytes by which an unfinished head may exceed the configured limit, so that a head that ends soon gets 431.
const EXCESS_HEAD_BYTES: u64 = 16 * 1_024;
/// Interval at which time limits are checked.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);
/// Connections beyond the account's limit that the HTTP server accepts, so that the account can decide.
const EXCESS_CONNECTIONS: usize = 256;

/// All connections of callers.
#[derive(Debug)]
pub struct Callers {
    clock: Clock,
    limits: AccountLimits,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    account: CallerAccount,
    connections: SecondaryMap<ConnectionKey, Arc<CallerConnection>>,
    /// Connections and bodies that were ended and are not in the log yet.
    ended: HashMap<CloseReason, u64>,
    max_head_bytes: u64,
}

/// What the stream of a connection, its requests and the account tell each other.
#[derive(Debug)]
pub struct CallerConnection {
    callers: Arc<Callers>,
    key: ConnectionKey,
    /// Whether a request has no complete response.
    in_request: AtomicBool,
    /// Whether the body of the last request has not been received completely.
    body_open: AtomicBool,
    /// Whether the body of that request is being read.
    reads_body: AtomicBool,
    /// Whether the body made no progress for too long.
    body_expired: AtomicBool,
    /// Whether received bytes are held back, so that the task must be woken to read them.
    held_back: AtomicBool,
    end: AtomicU8,
    /// The task that serves the connection.
    task: AtomicWaker,
}

/// How the account ends a connection.
const END_NONE: u8 = 0;
/// As if the caller had closed it.
const END_IDLE: u8 = 1;
/// With an error, which drops the request.
const END_ABORT: u8 = 2;

impl Callers {
    /// Creates an account without connections.
    pub fn new(clock: Clock, memory_mb: Option<u64>, descriptors: Option<u64>) -> Self {
        let limits = AccountLimits::new(memory_mb, descriptors);
        let defaults = balsamjunction_directory::CallerLimits::default();
        Self {
            clock,
            limits,
            state: Mutex::new(State {
                account: CallerAccount::new(limits, timeouts(&defaults)),
                connections: SecondaryMap::new(),
                ended: HashMap::new(),
                max_head_bytes: defaults.max_header_bytes,
            }),
        }
    }

    /// Connections that the HTTP server may have.
    pub fn max_connections(&self) -> usize {
        self.limits.connections + EXCESS_CONNECTIONS
    }

    fn connect(self: &Arc<Self>) -> Option<Arc<CallerConnection>> {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let admission = state.account.connect(now);
        if let Some(evicted) = admission.evicted {
            state.end(evicted, CloseReason::IdleEvicted);
        }
        let Some(key) = admission.connection else {
            *state
                .ended
                .entry(CloseReason::TooManyConnections)
                .or_default() += 1;
            return None;
        };
        let connection = Arc::new(CallerConnection {
            callers: self.clone(),
            key,
            in_request: AtomicBool::new(false),
            body_open: AtomicBool::new(false),
            reads_body: AtomicBool::new(false),
            body_expired: AtomicBool::new(false),
            held_back: AtomicBool::new(false),
            end: AtomicU8::new(END_NONE),
            task: AtomicWaker::new(),
        });
        state.connections.insert(key, connection.clone());
        Some(connection)
    }

    fn with_account<R>(&self, act: impl FnOnce(&mut CallerAccount, Moment) -> R) -> R {
        let now = self.clock.now();
        act(&mut lock(&self.state).account, now)
    }

    /// Sets the gauges of what callers hold.
    pub fn refresh(&self, metrics: &Metrics) {
        let state = lock(&self.state);
        for phase in ConnectionPhase::iter() {
            let held = state.account.held(phase);
            let labels = StateLabels {
                state: <&'static str>::from(phase).to_owned(),
            };
            let connections = &metrics.mesh.caller_connections;
            connections
                .get_or_create(&labels)
                .set(held.connections as i64);
            let bytes = &metrics.mesh.caller_memory;
            bytes.get_or_create(&labels).set(held.bytes as i64);
        }
    }
}

impl State {
    fn end(&mut self, key: ConnectionKey, reason: CloseReason) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        *self.ended.entry(reason).or_default() += 1;
        match reason {
            CloseReason::SlowBody => connection.body_expired.store(true, Ordering::Release),
            CloseReason::IdleTimeout | CloseReason::IdleEvicted => {
                connection.end.store(END_IDLE, Ordering::Release);
            }
            CloseReason::SlowHead
            | CloseReason::UnreadResponse
            | CloseReason::RejectedBody
            | CloseReason::TooManyConnections => {
                connection.end.store(END_ABORT, Ordering::Release);
            }
        }
        connection.task.wake();
    }
}

fn timeouts(limits: &balsamjunction_directory::CallerLimits) -> CallerTimeouts {
    CallerTimeouts {
        head: Duration::from_millis(limits.header_timeout_ms),
        idle: Duration::from_millis(limits.idle_timeout_ms),
    }
}

impl CallerConnection {
    fn enter(&self, phase: ConnectionPhase) {
        self.callers
            .with_account(|account, now| account.enter(now, self.key, phase));
    }

    /// Records that a request has begun: nothing more is read until it reads its body, or ends.
    pub fn begin_request(&self, has_body: bool) {
        self.in_request.store(true, Ordering::Release);
        self.body_open.store(has_body, Ordering::Release);
        self.enter(ConnectionPhase::Request);
    }

    /// Records that the request's response is complete, or that the request was dropped.
    pub fn end_request(&self) {
        self.in_request.store(false, Ordering::Release);
        self.reads_body.store(false, Ordering::Release);
        let phase = self.phase_after_request();
        self.callers.with_account(|account, now| {
            account.release_body(self.key);
            account.enter(now, self.key, phase);
        });
        self.resume_reading();
    }

    fn phase_after_request(&self) -> ConnectionPhase {
        match self.body_open() {
            true => ConnectionPhase::Discard,
            false => ConnectionPhase::Idle,
        }
    }

    /// Whether the body of the last request has not been received completely.
    pub fn body_open(&self) -> bool {
        self.body_open.load(Ordering::Acquire)
    }

    fn resume_reading(&self) {
        if self.held_back.swap(false, Ordering::AcqRel) {
            self.task.wake();
        }
    }

    /// Records that the request reads its body from now on.
    pub fn begin_body(&self) {
        self.body_expired.store(false, Ordering::Release);
        self.reads_body.store(true, Ordering::Release);
        self.enter(ConnectionPhase::Body);
        self.resume_reading();
    }

    /// Records that a part of the body was received.
    pub fn record_body_progress(&self) {
        self.enter(ConnectionPhase::Body);
    }

    /// Records that the body is complete.
    pub fn end_body(&self) {
        self.body_open.store(false, Ordering::Release);
        self.reads_body.store(false, Ordering::Release);
        self.enter(ConnectionPhase::Request);
    }

    /// Whether the body made no progress for too long. The connection's task is woken when it turns true.
    pub fn body_expired(&self) -> bool {
        self.body_expired.load(Ordering::Acquire)
    }

    /// Reserves memory for a body; returns whether it fits into the share of all bodies.
    pub fn reserve_body(&self, workspace: &SmolStr, bytes: u64) -> bool {
        self.callers
            .with_account(|account, _| account.reserve_body(self.key, workspace, bytes))
    }

    fn may_read(&self) -> bool {
        !self.in_request.load(Ordering::Acquire) || self.reads_body.load(Ordering::Acquire)
    }
}

/// A caller's connection as the HTTP server sees it.
pub struct CallerStream {
    tcp: TcpStream,
    /// Absent if the connection was not admitted.
    connection: Option<Arc<CallerConnection>>,
    /// Bytes after the head that was passed on last.
    unparsed: BytesMut,
    /// Whether the HTTP server was given bytes that it has not parsed yet.
    passed_on: bool,
    /// Bytes of a head that have been passed on without its end.
    head_bytes: u64,
    max_head_bytes: u64,
    /// Whether the caller does not read its response.
    blocked: bool,
}

impl CallerStream {
    /// Adds an accepted connection to the account.
    pub fn new(tcp: TcpStream, callers: &Arc<Callers>) -> Self {
        // Without it, small responses wait for the acknowledgement of earlier ones.
        let _ = tcp.set_nodelay(true);
        let max_head_bytes = lock(&callers.state).max_head_bytes + EXCESS_HEAD_BYTES;
        Self {
            tcp,
            connection: callers.connect(),
            unparsed: BytesMut::new(),
            passed_on: false,
            head_bytes: 0,
            max_head_bytes,
            blocked: false,
        }
    }

    /// Returns the connection for its requests.
    pub fn connection(&self) -> Option<Arc<CallerConnection>> {
        self.connection.clone()
    }

    /// Waits for the end of the connection while nothing is passed on.
    fn poll_closed(
        &mut self,
        cx: &mut Context<'_>,
        connection: &CallerConnection,
    ) -> Poll<io::Result<()>> {
        let mut byte = [0];
        let peeked = self.tcp.poll_peek(cx, &mut ReadBuf::new(&mut byte));
        let held_back = !self.unparsed.is_empty() || matches!(peeked, Poll::Ready(Ok(1..)));
        if held_back {
            connection.held_back.store(true, Ordering::Release);
        }
        match peeked {
            Poll::Ready(Ok(0)) => Poll::Ready(Ok(())),
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Ready(Ok(_)) | Poll::Pending => Poll::Pending,
        }
    }

    /// Reads at most [`READ_BYTES`] into `buf`, from the bytes after the last head if there are some.
    fn poll_bytes(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.unparsed.is_empty() {
            let length = self.unparsed.len().min(buf.remaining());
            buf.put_slice(&self.unparsed[..length]);
            self.unparsed.advance(length);
            if self.unparsed.is_empty() {
                // Connections at rest keep no buffer.
                self.unparsed = BytesMut::new();
            }
            return Poll::Ready(Ok(()));
        }
        let length = buf.remaining().min(READ_BYTES);
        let mut piece = ReadBuf::new(buf.initialize_unfilled_to(length));
        let poll = Pin::new(&mut self.tcp).poll_read(cx, &mut piece);
        let length = piece.filled().len();
        buf.advance(length);
        poll
    }

    /// Puts back what follows the first end of a head in `buf`, of which `start` bytes were there before.
    fn split_after_head(
        &mut self,
        connection: &CallerConnection,
        buf: &mut ReadBuf<'_>,
        start: usize,
    ) -> io::Result<()> {
        let received = &buf.filled()[start..];
        let Some(end) = find_head_end(received) else {
            if self.head_bytes == 0 {
                connection.enter(ConnectionPhase::Head);
            }
            self.head_bytes += received.len() as u64;
            return match self.head_bytes > self.max_head_bytes {
                true => Err(io::ErrorKind::InvalidData.into()),
                false => Ok(()),
            };
        };
        self.head_bytes = 0;
        if end < received.len() {
            let mut unparsed = BytesMut::from(&received[end..]);
            unparsed.extend_from_slice(&self.unparsed);
            self.unparsed = unparsed;
            buf.set_filled(start + end);
        }
        Ok(())
    }
}

/// Returns the offset after the first empty line.
///
/// An empty line that is split between two pieces is not found; then the bytes after it in the second piece are
/// parsed together with the head.
fn find_head_end(buf: &[u8]) -> Option<usize> {
    memchr_iter(b'\n', buf).find_map(|at| match buf[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    })
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let Some(connection) = this.connection.clone() else {
            return Poll::Ready(Ok(()));
        };
        connection.task.register(cx.waker());
        match connection.end.load(Ordering::Acquire) {
            END_NONE => {}
            // A request that arrived meanwhile is served, and keeps the connection.
            END_IDLE if connection.in_request.load(Ordering::Acquire) => {
                connection.end.store(END_NONE, Ordering::Release);
            }
            END_IDLE if this.passed_on || !this.unparsed.is_empty() => {}
            END_IDLE => {
                let mut byte = [0];
                let peeked = this.tcp.poll_peek(cx, &mut ReadBuf::new(&mut byte));
                if !matches!(peeked, Poll::Ready(Ok(1..))) {
                    return Poll::Ready(Ok(()));
                }
            }
            _ => return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
        if this.blocked || !connection.may_read() {
            this.passed_on = false;
            return this.poll_closed(cx, &connection);
        }
        if std::mem::take(&mut this.passed_on) {
            // The server reads again before it parses.
            if !this.unparsed.is_empty() || connection.reads_body.load(Ordering::Acquire) {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            let mut piece = [0; 1_024];
            let mut piece = ReadBuf::new(&mut piece);
            return match Pin::new(&mut this.tcp).poll_read(cx, &mut piece) {
                Poll::Ready(Ok(())) if !piece.filled().is_empty() => {
                    this.unparsed.extend_from_slice(piece.filled());
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                poll => poll,
            };
        }
        let start = buf.filled().len();
        match this.poll_bytes(cx, buf) {
            Poll::Ready(Ok(())) if buf.filled().len() > start => {
                this.passed_on = true;
                // Bytes of a body are not looked at, also if it is discarded.
                if !connection.body_open() {
                    this.split_after_head(&connection, buf, start)?;
                }
                Poll::Ready(Ok(()))
            }
            poll => poll,
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let Some(connection) = &this.connection else {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        };
        if connection.end.load(Ordering::Acquire) == END_ABORT {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let poll = Pin::new(&mut this.tcp).poll_write(cx, buf);
        match &poll {
            Poll::Pending if !this.blocked => {
                this.blocked = true;
                connection.task.register(cx.waker());
                connection.enter(ConnectionPhase::Unread);
            }
            Poll::Ready(Ok(_)) if this.blocked => {
                this.blocked = false;
                connection.enter(match connection.in_request.load(Ordering::Acquire) {
                    true => ConnectionPhase::Request,
                    false => connection.phase_after_request(),
                });
                // The server reads before it writes, and did not register for reading.
                cx.waker().wake_by_ref();
            }
            _ => {}
        }
        poll
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_shutdown(cx)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            let mut state = lock(&connection.callers.state);
            state.account.disconnect(connection.key);
            state.connections.remove(connection.key);
        }
    }
}

/// Binds the address for callers; the connections that it accepts have buffers of bounded size.
pub fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let bind = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        socket.set_reuseaddr(true)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        socket.bind(address)?;
        socket.listen(BACKLOG as u32)?.into_std()
    };
    bind().map_err(|source| DaemonError::Listen { address, source })
}

/// Ends connections and bodies that have exceeded a time limit, and follows the configuration's limits.
pub async fn expire_loop(context: Arc<GatewayContext>) {
    let callers = &context.callers;
    loop {
        actix_rt::time::sleep(EXPIRE_INTERVAL).await;
        let directory = context.cluster_view.directory();
        let limits = directory
            .route_table
            .as_ref()
            .map(|table| table.declaration.limits);
        let now = callers.clock.now();
        let mut state = lock(&callers.state);
        if let Some(limits) = limits {
            state.max_head_bytes = limits.max_header_bytes;
            state.account.set_timeouts(timeouts(&limits));
        }
        for (key, reason) in state.account.expire(now) {
            state.end(key, reason);
        }
        let ended = std::mem::take(&mut state.ended);
        let held_bytes = state.account.total_bytes();
        drop(state);
        for (reason, connections) in ended {
            let name = <&'static str>::from(reason);
            let labels = StateLabels {
                state: name.to_owned(),
            };
            let counter = &context.metrics.mesh.caller_closes;
            counter.get_or_create(&labels).inc_by(connections);
            // Callers that keep idle connections open are usual, and their number is in the metric.
            if reason != CloseReason::IdleTimeout {
                context.cluster_view.events.emit(&Event::CallersClosed {
                    reason: name,
                    connections,
                    held_bytes,
                });
            }
        }
    }
}
