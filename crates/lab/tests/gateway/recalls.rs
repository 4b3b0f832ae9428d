//! How soon the connections of requests close that are recalled in one moment.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use balsamjunction_lab::standin::platform::EngineOptions;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
};

use crate::common::{model_engine_options, wait_until, TestSite};

/// Engines of each version.
const ENGINES: usize = 30;
/// Requests that wait at each engine of the old version.
const REQUESTS_PER_ENGINE: usize = 8;
/// Time from the publication of a version to its bound.
const VERSION_WITHIN: Duration = Duration::from_millis(4_000);

/// When connections to a group of engines were accepted, and when they ended.
#[derive(Clone, Default)]
struct ConnectionTimes(Arc<Mutex<(Vec<Instant>, Vec<Instant>)>>);

impl ConnectionTimes {
    fn record_accept(&self) {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.0.push(Instant::now());
    }

    fn record_end(&self) {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.1.push(Instant::now());
    }

    fn accepted(&self) -> Vec<Instant> {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.0.clone()
    }

    fn ended(&self) -> Vec<Instant> {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.1.clone()
    }
}

/// Starts engines that accept connections and never respond; returns their addresses.
///
/// They run in a thread of their own, so that the callers do not delay the times that are noted.
fn start_silent_engines(times: ConnectionTimes) -> Vec<SocketAddr> {
    let listeners: Vec<std::net::TcpListener> = (0..ENGINES)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("bind a port"))
        .collect();
    let addresses = listeners.iter().map(|listener| listener.local_addr());
    let addresses = addresses.map(|address| address.expect("the listener is bound"));
    let addresses = addresses.collect();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            for listener in listeners {
                listener.set_nonblocking(true).expect("set the mode");
                let listener = TcpListener::from_std(listener).expect("register the listener");
                actix_rt::spawn(accept(listener, times.clone()));
            }
            std::future::pending::<()>().await;
        });
    });
    addresses
}

async fn accept(listener: TcpListener, times: ConnectionTimes) {
    while let Ok((tcp, _)) = listener.accept().await {
        times.record_accept();
        actix_rt::spawn(read_to_end(tcp, times.clone()));
    }
}

async fn read_to_end(mut tcp: TcpStream, times: ConnectionTimes) {
    let mut buf = [0; 4_096];
    while matches!(tcp.read(&mut buf).await, Ok(1..)) {}
    times.record_end();
}

fn register(site: &TestSite, name: &str, version: u64, addresses: &[SocketAddr]) {
    for (n, address) in addresses.iter().enumerate() {
        let options = EngineOptions {
            version: Some(version),
            ..model_engine_options(&format!("{name}{n}"), 3, 5)
        };
        let entry = options.registry_entry(*address, "ready");
        site.store.put(&format!("servers/{}", options.id), &entry);
    }
}

/// Guards against closes that wait behind the next attempts of all requests that are recalled in the same moment.
#[actix_rt::test]
async fn requests_that_are_recalled_together_leave_their_engines_before_any_is_sent_elsewhere() {
    let mut site = TestSite::start().await;
    site.version_deadline = VERSION_WITHIN;
    site.retry_slack = 10_000.0;
    let (old, new) = (ConnectionTimes::default(), ConnectionTimes::default());
    register(&site, "old", 1, &start_silent_engines(old.clone()));
    let gateway = site.start_gateway("g1", &[]);
    gateway.wait_until_ready().await;
    let requests = ENGINES * REQUESTS_PER_ENGINE;

    site.publish_version(2);
    actix_rt::time::sleep(VERSION_WITHIN - Duration::from_millis(1_300)).await;
    for n in 0..requests {
        actix_rt::spawn(async move {
            // The test ends before the caller has its response.
            let _ = gateway.generate_on("/draft/now", &format!("a{n}")).await;
        });
    }
    wait_until("the requests to reach the old engines", async || {
        old.accepted().len() == requests
    })
    .await;
    register(&site, "new", 2, &start_silent_engines(new.clone()));
    wait_until("the requests to be sent to the new engines", async || {
        new.accepted().len() >= requests / 2 && old.ended().len() == requests
    })
    .await;

    let (ended, sent) = (old.ended(), new.accepted());
    // A tenth is for requests whose timers run out a moment later.
    let early = sent[sent.len() / 10];
    let open = ended.iter().filter(|at| **at > early).count();
    assert!(
        open <= requests / 10,
        "{open} of {requests} recalled requests were still open when a tenth had been sent elsewhere"
    );
}
