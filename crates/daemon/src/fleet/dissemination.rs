//! Disseminates declarations, membership lists and crash records among the processes.
//!
//! A few elected processes of each data centre watch the platform. A change is announced at once to a few
//! peers, which pull it, and every process pulls from a random peer every second. See docs/DESIGN.md,
//! "Configuration".

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix::{Actor, AsyncContext, Context, Handler, Message, ResponseFuture, WrapFuture};
use awc::Client;
use balsamjunction_policy::{dissemination as policy, election, pause::PauseDetector};
use balsamjunction_protocol::{paths, Announcement, Crash, PROTOCOL_VERSION};
use log::{debug, info, warn};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use super::state::FleetState;
use crate::{
    client::{self, PeerError},
    clock::Clock,
    platform::{config_http::HttpWatcher, ConfigSource, Membership},
};

/// A peer that does not respond within this time is skipped.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a watch waits at the platform for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Mean delay after a failed watch, with a jitter of plus or minus half.
const WATCH_BACKOFF: Duration = Duration::from_millis(1_000);
/// Mean interval at which a process that is not a reader checks whether it was elected.
const ELECTION_INTERVAL: Duration = Duration::from_millis(500);
/// Mean interval at which a process that is not a reader reads the platform, in case all readers are down.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of peers that a starting process pulls from before it reads the platform.
const MAX_INITIAL_PEERS: usize = 4;
/// A process that was paused for this long pulls from peers before it continues.
const STATE_LEASE: Duration = Duration::from_secs(3);
/// Maximum number of peers that a crash is reported to at once.
const MAX_CRASH_PEERS: usize = 64;
/// Maximum delay of the caller's response by the report of a crash. A sidecar on a busy host takes over
/// 50 ms to read the report, and until then it may run the request a third time.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// The empty response to a notification.
#[derive(Debug, Serialize, Deserialize)]
pub struct EmptyResponse {}

/// Pulls from a peer that seems to have newer state.
#[derive(Message)]
#[rtype(result = "()")]
pub struct PullFrom {
    /// Internal address of the peer.
    pub peer: SocketAddr,
}

/// Reads the state of peers or of the platform again; returns whether any of them responded.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Refresh;

/// The actor that exchanges fleet state with peers and reads it from the platform.
pub struct Disseminator {
    worker: Rc<Worker>,
}

struct Worker {
    state: Arc<FleetState>,
    clock: Clock,
    client: Client,
    declaration: HttpWatcher,
    members: HttpWatcher,
    pulling: Cell<bool>,
}

impl Disseminator {
    /// Creates the actor; it is not started yet.
    pub fn new(state: Arc<FleetState>, clock: Clock) -> Self {
        let client = balsamjunction_client::new_client(state.peer.outbound_ip);
        let declaration = HttpWatcher::declaration(client.clone(), state.peer.config_service);
        let members = HttpWatcher::members(client.clone(), state.peer.membership);
        let worker = Worker {
            state,
            clock,
            client,
            declaration,
            members,
            pulling: Cell::new(false),
        };
        Self {
            worker: Rc::new(worker),
        }
    }
}

impl Actor for Disseminator {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let worker = self.worker.clone();
        let run = async move {
            worker.initial_sync().await;
            futures_util::future::join3(
                worker.pull_loop(),
                worker.watch_declaration_loop(),
                worker.watch_members_loop(),
            )
            .await;
        };
        ctx.spawn(run.into_actor(self));
    }
}

impl Handler<PullFrom> for Disseminator {
    type Result = ();

    fn handle(&mut self, request: PullFrom, ctx: &mut Self::Context) {
        let worker = self.worker.clone();
        if worker.pulling.replace(true) {
            // Many peers announce the same change; one pull is enough.
            return;
        }
        let pull = async move {
            let changed = worker.pull(request.peer).await;
            worker.pulling.set(false);
            if changed.unwrap_or(false) {
                worker.notify_peers().await;
            }
        };
        ctx.spawn(pull.into_actor(self));
    }
}

impl Handler<Refresh> for Disseminator {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, _: Refresh, _: &mut Self::Context) -> Self::Result {
        let worker = self.worker.clone();
        Box::pin(async move { worker.refresh().await })
    }
}

fn new_rng() -> Pcg64Mcg {
    Pcg64Mcg::from_rng(&mut rand::rng())
}

/// A random time from half to one and a half times `mean`, so that processes do not synchronise.
fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(new_rng().random_range(0.5..1.5))
}

impl Worker {
    /// Pulls from peers before reading the platform, so that a stale platform does not put an older
    /// declaration in force.
    async fn initial_sync(&self) {
        let mut responded = 0;
        for seed in &self.state.peer.seeds {
            if responded >= MAX_INITIAL_PEERS {
                break;
            }
            match self.pull(*seed).await {
                Ok(_) => responded += 1,
                Err(e) => debug!("seed {seed} did not respond: {e}"),
            }
        }
        info!(
            "{responded} peers responded; revision {} is in force",
            self.state.revision()
        );
        if let Ok(Some(members)) = Membership::watch(&self.members, 0, Duration::ZERO).await {
            self.state.offer_members(members);
        }
        if self.state.revision() == 0 {
            self.read_declaration(Duration::ZERO).await;
        }
    }

    async fn pull(&self, peer: SocketAddr) -> Result<bool, PeerError> {
        let request = self.state.pull_request();
        let response = client::pull(&self.client, peer, &request, PEER_TIMEOUT).await?;
        Ok(self
            .state
            .apply_pull_response(response, &format_smolstr!("{peer}")))
    }

    /// Pulls from a few peers, and reads the platform only if none of them responds.
    async fn refresh(&self) -> bool {
        let snapshot = self.state.snapshot();
        let peer = &self.state.peer;
        let members = &snapshot.members.members;
        let mut any_response = false;
        for target in
            policy::notification_targets(members, &peer.host, &peer.data_centre, &mut new_rng())
        {
            if let Ok(address) = target.address.parse() {
                any_response |= self.pull(address).await.is_ok();
            }
        }
        any_response || self.read_declaration(Duration::ZERO).await
    }

    async fn pull_loop(&self) {
        let mut pause = PauseDetector::new(STATE_LEASE);
        loop {
            actix_rt::time::sleep(jittered(policy::PULL_INTERVAL)).await;
            if pause.tick(self.clock.now()) {
                warn!("process was paused; reading the fleet state again");
                self.refresh().await;
            }
            let snapshot = self.state.snapshot();
            let peer = &self.state.peer;
            let members = &snapshot.members.members;
            let target =
                policy::pull_target(members, &peer.host, &peer.data_centre, &mut new_rng());
            let Some(address) = target.and_then(|m| m.address.parse().ok()) else {
                continue;
            };
            match self.pull(address).await {
                Ok(true) => self.notify_peers().await,
                Ok(false) => {}
                Err(e) => debug!("pull from {address} failed: {e}"),
            }
        }
    }

    async fn notify_peers(&self) {
        let snapshot = self.state.snapshot();
        let peer = &self.state.peer;
        let announcement = Announcement {
            v: PROTOCOL_VERSION,
            revision: snapshot.revision(),
            generation: snapshot.members.generation,
            from: format_smolstr!("{}", peer.advertise),
        };
        let members = &snapshot.members.members;
        let targets =
            policy::notification_targets(members, &peer.host, &peer.data_centre, &mut new_rng());
        let addresses = targets.iter().filter_map(|m| m.address.parse().ok());
        let notifications = addresses.map(|address| self.notify_peer(address, &announcement));
        futures_util::future::join_all(notifications).await;
    }

    async fn notify_peer(&self, address: SocketAddr, announcement: &Announcement) {
        let response: Result<EmptyResponse, _> = client::call(
            &self.client,
            address,
            paths::ANNOUNCE,
            announcement,
            PEER_TIMEOUT,
        )
        .await;
        if let Err(e) = response {
            debug!("{address} was not notified: {e}");
        }
    }

    fn is_reader(&self) -> bool {
        let peer = &self.state.peer;
        let members = &self.state.snapshot().members;
        election::is_reader(&members.members, &peer.data_centre, &peer.host)
    }

    /// Reads the configuration service once; returns whether it responded.
    async fn read_declaration(&self, wait: Duration) -> bool {
        self.state.metrics.service_calls.inc();
        match ConfigSource::watch(&self.declaration, self.state.revision(), wait).await {
            Ok(Some(document)) => {
                if self
                    .state
                    .offer_declaration(document, "configuration service")
                {
                    self.notify_peers().await;
                }
                true
            }
            Ok(None) => true,
            Err(e) => {
                debug!("reading the configuration service failed: {e}");
                false
            }
        }
    }

    async fn watch_declaration_loop(&self) {
        let mut fallback = self.clock.now() + jittered(FALLBACK_INTERVAL);
        loop {
            if self.is_reader() {
                if !self.read_declaration(WATCH_WAIT).await {
                    actix_rt::time::sleep(jittered(WATCH_BACKOFF)).await;
                }
                continue;
            }
            actix_rt::time::sleep(jittered(ELECTION_INTERVAL)).await;
            if self.clock.now() >= fallback {
                fallback = self.clock.now() + jittered(FALLBACK_INTERVAL);
                self.read_declaration(Duration::ZERO).await;
            }
        }
    }

    async fn watch_members_loop(&self) {
        loop {
            if !self.is_reader() {
                actix_rt::time::sleep(jittered(ELECTION_INTERVAL)).await;
                continue;
            }
            let generation = self.state.snapshot().members.generation;
            match Membership::watch(&self.members, generation, WATCH_WAIT).await {
                Ok(Some(members)) => {
                    if self.state.offer_members(members) {
                        self.notify_peers().await;
                    }
                }
                Ok(None) => {}
                Err(e) => {
                    debug!("reading the membership list failed: {e}");
                    actix_rt::time::sleep(jittered(WATCH_BACKOFF)).await;
                }
            }
        }
    }
}

/// Reports a crash to peers; done before the caller gets its response, since it may retry at once.
///
/// `addresses` are the sidecars of the pool; entries receive crashes through sidecars' refusals and pulls.
pub async fn report_crash(client: &Client, addresses: &[SocketAddr], crash: &Crash) {
    let reports = addresses
        .iter()
        .take(MAX_CRASH_PEERS)
        .map(|address| async move {
            let response: Result<EmptyResponse, _> =
                client::call(client, *address, paths::CRASH, crash, CRASH_REPORT_TIMEOUT).await;
            if let Err(e) = response {
                debug!("reporting a crash to {address} failed: {e}");
            }
        });
    futures_util::future::join_all(reports).await;
}
