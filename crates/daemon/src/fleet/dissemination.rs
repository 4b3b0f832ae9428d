//! Spreads declarations, members and crash records among the processes.
//!
//! A few elected processes of each data centre watch the platform; news is announced to a few peers at
//! once, who pull it, and everybody pulls from a random peer every second. See docs/DESIGN.md, "Configuration".

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
    platform::{config_http::WatchedHttp, ConfigSource, Membership},
};

/// A peer that does not answer in this time is passed over.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a watch waits at the platform.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Mean pause after a failed watch, spread by half to both sides.
const WATCH_BACKOFF: Duration = Duration::from_millis(1_000);
/// How often a process that is no reader looks whether it became one.
const ELECTION_INTERVAL: Duration = Duration::from_millis(500);
/// Mean time between a non-reader's own reads, in case that all readers are dead.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(60);
/// Peers that a starting process asks before it believes the platform.
const FIRST_PEERS: usize = 4;
/// A process that stood still for this long asks a peer before it goes on.
const BELIEF_LEASE: Duration = Duration::from_secs(3);
/// Peers that learn of a crash at once.
const MAX_CRASH_PEERS: usize = 64;
/// The report of a crash must not hold back the caller's answer for longer. A sidecar on a busy host takes
/// over 50 ms to read it, and until then it may run the request a third time.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// An empty answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct EmptyResponse {}

/// Pulls from a peer that seems to know more.
#[derive(Message)]
#[rtype(result = "()")]
pub struct PullFrom {
    /// The peer.
    pub peer: SocketAddr,
}

/// Reads again what peers or the platform know; gives whether anybody answered.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Refresh;

/// The actor that spreads what this process knows and learns what others know.
pub struct Disseminator {
    link: Rc<Link>,
}

struct Link {
    state: Arc<FleetState>,
    clock: Clock,
    client: Client,
    fleet: WatchedHttp,
    members: WatchedHttp,
    pulling: Cell<bool>,
}

impl Disseminator {
    /// An actor that has not started.
    pub fn new(state: Arc<FleetState>, clock: Clock) -> Self {
        let client = balsamjunction_client::new(state.peer.outbound_ip);
        let fleet = WatchedHttp::fleet(client.clone(), state.peer.config_service);
        let members = WatchedHttp::members(client.clone(), state.peer.membership);
        let link = Link {
            state,
            clock,
            client,
            fleet,
            members,
            pulling: Cell::new(false),
        };
        Self {
            link: Rc::new(link),
        }
    }
}

impl Actor for Disseminator {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let link = self.link.clone();
        let first = async move {
            link.learn_first().await;
            futures_util::future::join3(
                link.pull_loop(),
                link.watch_fleet_loop(),
                link.watch_members_loop(),
            )
            .await;
        };
        ctx.spawn(first.into_actor(self));
    }
}

impl Handler<PullFrom> for Disseminator {
    type Result = ();

    fn handle(&mut self, suspect: PullFrom, ctx: &mut Self::Context) {
        let link = self.link.clone();
        if link.pulling.replace(true) {
            // Many peers tell the same news; one of them is enough.
            return;
        }
        let pull = async move {
            let news = link.pull(suspect.peer).await;
            link.pulling.set(false);
            if news.unwrap_or(false) {
                link.announce().await;
            }
        };
        ctx.spawn(pull.into_actor(self));
    }
}

impl Handler<Refresh> for Disseminator {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, _: Refresh, _: &mut Self::Context) -> Self::Result {
        let link = self.link.clone();
        Box::pin(async move { link.renew().await })
    }
}

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::from_rng(&mut rand::rng())
}

/// A random time from half to one and a half times `mean`, so that processes do not act in step.
fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rng().random_range(0.5..1.5))
}

impl Link {
    /// Asks peers before the platform: a platform that is stale must not take this process back.
    async fn learn_first(&self) {
        let mut asked = 0;
        for seed in &self.state.peer.seeds {
            if asked >= FIRST_PEERS {
                break;
            }
            match self.pull(*seed).await {
                Ok(_) => asked += 1,
                Err(e) => debug!("seed {seed} was not heard: {e}"),
            }
        }
        info!(
            "{asked} peers were heard, revision {}",
            self.state.revision()
        );
        if let Ok(Some(members)) = Membership::watch(&self.members, 0, Duration::ZERO).await {
            self.state.offer_members(members);
        }
        if self.state.revision() == 0 {
            self.read_fleet(Duration::ZERO).await;
        }
    }

    async fn pull(&self, peer: SocketAddr) -> Result<bool, PeerError> {
        let request = self.state.pull_request();
        let answer = client::pull(&self.client, peer, &request, PEER_TIMEOUT).await?;
        Ok(self
            .state
            .apply_pull_response(answer, &format_smolstr!("{peer}")))
    }

    /// Asks a few peers, and the platform only if none of them answers.
    async fn renew(&self) -> bool {
        let snapshot = self.state.snapshot();
        let peer = &self.state.peer;
        let members = &snapshot.members.members;
        let mut heard = false;
        for target in
            policy::notification_targets(members, &peer.host, &peer.data_centre, &mut rng())
        {
            if let Ok(address) = target.address.parse() {
                heard |= self.pull(address).await.is_ok();
            }
        }
        heard || self.read_fleet(Duration::ZERO).await
    }

    async fn pull_loop(&self) {
        let mut pause = PauseDetector::new(BELIEF_LEASE);
        loop {
            actix_rt::time::sleep(jittered(policy::PULL_INTERVAL)).await;
            if pause.tick(self.clock.now()) {
                warn!("this process stood still; it reads again before it goes on");
                self.renew().await;
            }
            let snapshot = self.state.snapshot();
            let peer = &self.state.peer;
            let members = &snapshot.members.members;
            let target = policy::pull_target(members, &peer.host, &peer.data_centre, &mut rng());
            let Some(address) = target.and_then(|m| m.address.parse().ok()) else {
                continue;
            };
            match self.pull(address).await {
                Ok(true) => self.announce().await,
                Ok(false) => {}
                Err(e) => debug!("pull from {address} failed: {e}"),
            }
        }
    }

    async fn announce(&self) {
        let snapshot = self.state.snapshot();
        let peer = &self.state.peer;
        let news = Announcement {
            v: PROTOCOL_VERSION,
            revision: snapshot.revision(),
            generation: snapshot.members.generation,
            from: format_smolstr!("{}", peer.advertise),
        };
        let members = &snapshot.members.members;
        let targets =
            policy::notification_targets(members, &peer.host, &peer.data_centre, &mut rng());
        let addresses = targets.iter().filter_map(|m| m.address.parse().ok());
        let announcements = addresses.map(|address| self.announce_to(address, &news));
        futures_util::future::join_all(announcements).await;
    }

    async fn announce_to(&self, address: SocketAddr, news: &Announcement) {
        let told: Result<EmptyResponse, _> =
            client::call(&self.client, address, paths::ANNOUNCE, news, PEER_TIMEOUT).await;
        if let Err(e) = told {
            debug!("{address} was not told: {e}");
        }
    }

    fn is_reader(&self) -> bool {
        let peer = &self.state.peer;
        let members = &self.state.snapshot().members;
        election::is_reader(&members.members, &peer.data_centre, &peer.host)
    }

    /// Reads the service once; tells whether it answered.
    async fn read_fleet(&self, wait: Duration) -> bool {
        self.state.metrics.service_calls.inc();
        match ConfigSource::watch(&self.fleet, self.state.revision(), wait).await {
            Ok(Some(document)) => {
                if self.state.offer(document, "configuration service") {
                    self.announce().await;
                }
                true
            }
            Ok(None) => true,
            Err(e) => {
                debug!("configuration service was not read: {e}");
                false
            }
        }
    }

    async fn watch_fleet_loop(&self) {
        let mut fallback = self.clock.now() + jittered(FALLBACK_INTERVAL);
        loop {
            if self.is_reader() {
                if !self.read_fleet(WATCH_WAIT).await {
                    actix_rt::time::sleep(jittered(WATCH_BACKOFF)).await;
                }
                continue;
            }
            actix_rt::time::sleep(jittered(ELECTION_INTERVAL)).await;
            if self.clock.now() >= fallback {
                fallback = self.clock.now() + jittered(FALLBACK_INTERVAL);
                self.read_fleet(Duration::ZERO).await;
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
                        self.announce().await;
                    }
                }
                Ok(None) => {}
                Err(e) => {
                    debug!("membership list was not read: {e}");
                    actix_rt::time::sleep(jittered(WATCH_BACKOFF)).await;
                }
            }
        }
    }
}

/// Tells peers of a crash before its caller hears of it, since the caller may come straight back.
///
/// `addresses` are the sidecars of the pool; entries learn from sidecars' refusals and from pulls.
pub async fn report_crash(client: &Client, addresses: &[SocketAddr], crash: &Crash) {
    let reports = addresses
        .iter()
        .take(MAX_CRASH_PEERS)
        .map(|address| async move {
            let reported: Result<EmptyResponse, _> =
                client::call(client, *address, paths::CRASH, crash, CRASH_REPORT_TIMEOUT).await;
            if let Err(e) = reported {
                debug!("crash was not reported to {address}: {e}");
            }
        });
    futures_util::future::join_all(reports).await;
}
