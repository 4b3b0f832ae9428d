//! Exchanges views with other processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use awc::Client;
use balsamjunction_directory::ReplicaPull;
use balsamjunction_protocol::{
    mesh::{CrashNews, ProcessRole, SyncAnswer, SyncRequest},
    paths, Crash, PROTOCOL_VERSION,
};
use log::debug;
use rand::Rng;

use super::Beliefs;
use crate::{
    client::{self, PeerError},
    fleet::spread::Done,
    reload::Seeds,
};

/// Mean time between exchanges, spread by half to both sides.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// The same while this process cannot prove its facts at the store.
const URGENT_INTERVAL: Duration = Duration::from_millis(150);
/// A belief that is older than this is asked for at peers, too.
const ASK_PEERS_AFTER: Duration = Duration::from_millis(1_000);
/// A peer that does not answer in this time is passed over.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Exchanges views for as long as the process runs.
pub async fn exchange_loop(beliefs: Arc<Beliefs>, client: Client, seeds: Seeds) {
    // A process that has just started knows facts, but not for how long they have held.
    let mut met = false;
    loop {
        let stale = beliefs.age().is_none_or(|age| age >= ASK_PEERS_AFTER);
        let target = beliefs.members(|members, now| {
            members.beat();
            members.expire(now);
            members.exchange_target(now, ProcessRole::Entry, &seeds.get(), &mut rand::rng())
        });
        if let Some(address) = target {
            let pull = match met {
                true => stale.then(|| ReplicaPull { at: beliefs.at() }),
                false => Some(ReplicaPull::default()),
            };
            match exchange_once(&beliefs, &client, address, pull, false).await {
                Ok(_) => met = true,
                Err(e) => debug!("no exchange with {address}: {e}"),
            }
        }
        let mean = match stale {
            true => URGENT_INTERVAL,
            false => EXCHANGE_INTERVAL,
        };
        let part = rand::rng().random_range(0.5..1.5);
        actix_rt::time::sleep(mean.mul_f64(part)).await;
    }
}

/// Exchanges views with one peer, and takes over what it knows better.
pub async fn exchange_once(
    beliefs: &Beliefs,
    client: &Client,
    address: SocketAddr,
    pull: Option<ReplicaPull>,
    weights: bool,
) -> Result<SyncAnswer, PeerError> {
    let (members, member_digest) = beliefs.members(|members, now| {
        let all = match weights {
            // A sidecar only tells of itself; entries know the others.
            true => vec![members.own().clone()],
            false => members.records(now),
        };
        (all, members.digest(now))
    });
    let request = SyncRequest {
        v: PROTOCOL_VERSION,
        members,
        member_digest,
        pull,
        proof: beliefs.proof_age(),
        weights,
    };
    let asked = beliefs.clock.now();
    let mut answer: SyncAnswer =
        client::call(client, address, paths::SYNC, &request, PEER_TIMEOUT).await?;
    beliefs.merge_members(std::mem::take(&mut answer.members));
    if weights && answer.same_members {
        // Sidecars hear of others through entries alone, and tell nobody of them.
        beliefs.members(|members, now| members.confirm(now));
    }
    if let Some(update) = answer.update.take() {
        beliefs.absorb(asked, update, &format!("peer {address}"));
    }
    beliefs.adopt(asked, answer.proof);
    Ok(answer)
}

/// Tells all entries of requests that broke upstreams, since their callers may come straight back.
pub async fn tell_broken(beliefs: &Beliefs, client: &Client, crashes: Vec<Crash>) {
    let entries: Vec<SocketAddr> = beliefs.members(|members, now| {
        let entries = members.live(now, ProcessRole::Entry);
        entries.map(|record| record.address).collect()
    });
    let news = CrashNews {
        v: PROTOCOL_VERSION,
        crashes,
    };
    let calls = entries.into_iter().map(|address| {
        let news = &news;
        async move {
            let told: Result<Done, _> =
                client::call(client, address, paths::BROKEN, news, PEER_TIMEOUT).await;
            if let Err(e) = told {
                debug!("{address} was not told of a crash: {e}");
            }
        }
    });
    futures_util::future::join_all(calls).await;
}

/// Tells the sidecars of the own data centre which versions are wanted, whenever that changes.
pub async fn push_versions(beliefs: Arc<Beliefs>, client: Client) {
    let mut changes = beliefs.subscribe();
    let mut told = Vec::new();
    while changes.changed().await.is_ok() {
        let Some(news) = beliefs.weights_news() else {
            continue;
        };
        if news.wanted == told {
            continue;
        }
        told = news.wanted.clone();
        let sidecars: Vec<SocketAddr> = beliefs.members(|members, now| {
            let own = members.own().data_centre.clone();
            let sidecars = members.live(now, ProcessRole::Sidecar);
            let near = sidecars.filter(|record| record.data_centre == own);
            near.map(|record| record.address).collect()
        });
        let calls = sidecars.into_iter().map(|address| {
            let news = &news;
            let client = &client;
            async move {
                let told: Result<Done, _> =
                    client::call(client, address, paths::NEWS, news, PEER_TIMEOUT).await;
                if let Err(e) = told {
                    debug!("{address} was not told of a version: {e}");
                }
            }
        });
        futures_util::future::join_all(calls).await;
    }
}
