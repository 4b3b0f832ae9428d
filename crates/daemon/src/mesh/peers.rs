//! Exchanges views with other processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use awc::Client;
use balsamjunction_directory::ReplicaPull;
use balsamjunction_protocol::{
    mesh::{ChangeNotification, CrashNotification, ProcessRole, SyncRequest, SyncResponse},
    paths, Crash, PROTOCOL_VERSION,
};
use log::debug;
use rand::{seq::IteratorRandom, Rng};
use serde::Serialize;

use super::{pause, Beliefs};
use crate::{
    client::{self, PeerError},
    fleet::spread::Done,
    reload::Seeds,
};

/// Mean time between exchanges of views, spread by half to both sides.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// Mean time between looks at the age of the facts, spread by half to both sides.
const FACTS_TICK: Duration = Duration::from_millis(200);
/// Facts that are older than this are asked for at an entry that reads the store.
const ASK_PEERS_AFTER: Duration = Duration::from_millis(400);
/// A peer that does not answer in this time is passed over.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// What an exchange is for.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// To learn who is up, and facts, if any are asked for.
    Views(Option<ReplicaPull>),
    /// To learn facts.
    Facts(ReplicaPull),
    /// To learn what a sidecar needs to know.
    Weights,
    /// To learn who is up.
    Members,
}

/// Exchanges views for as long as the process runs.
pub async fn exchange_loop(beliefs: Arc<Beliefs>, client: Client, seeds: Seeds) {
    // A process that has just started knows facts, but not for how long they have held.
    let mut pull = Some(ReplicaPull::default());
    loop {
        let target = beliefs.members(|members, now| {
            members.beat();
            members.expire(now);
            members.exchange_target(now, ProcessRole::Entry, &seeds.get(), &mut rand::rng())
        });
        if let Some(address) = target {
            match exchange_once(&beliefs, &client, address, Purpose::Views(pull)).await {
                Ok(_) => pull = None,
                Err(e) => debug!("no exchange with {address}: {e}"),
            }
        }
        pause(EXCHANGE_INTERVAL).await;
    }
}

/// Asks entries that read the store, whenever the facts are not fresh, for as long as the process runs.
pub async fn facts_loop(beliefs: Arc<Beliefs>, client: Client) {
    let mut behind = false;
    loop {
        let fresh = beliefs.age().is_some_and(|age| age < ASK_PEERS_AFTER);
        let source = match fresh && !behind {
            true => None,
            false => fact_source(&beliefs),
        };
        if let Some(address) = source {
            let pull = ReplicaPull {
                revision: beliefs.at(),
            };
            let asked = exchange_once(&beliefs, &client, address, Purpose::Facts(pull)).await;
            if let Err(e) = asked {
                debug!("no facts from {address}: {e}");
            }
        }
        behind = tokio::select! {
            () = pause(FACTS_TICK) => false,
            () = beliefs.until_behind() => true,
        };
    }
}

/// An entry that reads the store, or at times any, in case those are not what they seem.
fn fact_source(beliefs: &Beliefs) -> Option<SocketAddr> {
    let rng = &mut rand::rng();
    let any = rng.random_ratio(1, 4);
    beliefs.members(|members, now| {
        let own = members.own().address;
        let readers = members.readers(now).into_iter().map(|r| r.address);
        let reader = readers.filter(|address| *address != own).choose(rng);
        let entries = members.live(now, ProcessRole::Entry);
        let entry = entries.map(|record| record.address).choose(rng);
        match any {
            true => entry,
            false => reader.or(entry),
        }
    })
}

/// Exchanges views with one peer, and takes over what it knows better.
pub async fn exchange_once(
    beliefs: &Beliefs,
    client: &Client,
    address: SocketAddr,
    purpose: Purpose,
) -> Result<SyncResponse, PeerError> {
    let weights = matches!(purpose, Purpose::Weights);
    let request = beliefs.members(|members, now| SyncRequest {
        v: PROTOCOL_VERSION,
        members: vec![members.own().clone()],
        member_digest: members.digest(now),
        live_members: match purpose {
            Purpose::Views(_) | Purpose::Members => Some(members.pulses(now)),
            Purpose::Facts(_) | Purpose::Weights => None,
        },
        pull: match purpose {
            Purpose::Views(pull) => pull,
            Purpose::Facts(pull) => Some(pull),
            Purpose::Weights | Purpose::Members => None,
        },
        include_weights: weights,
    });
    let asked = beliefs.clock.now();
    let mut answer: SyncResponse =
        client::call(client, address, paths::SYNC, &request, PEER_TIMEOUT).await?;
    beliefs.merge_members(std::mem::take(&mut answer.members));
    beliefs.members(|members, now| {
        // What the peer knows and this process does not has just come as a record.
        members.take_pulses(now, &answer.heartbeats);
        if weights && answer.same_members {
            // Sidecars hear of others through entries alone, and tell nobody of them.
            members.confirm(now);
        }
    });
    if matches!(purpose, Purpose::Views(_)) && !answer.unknown_keys.is_empty() {
        tell_members(beliefs, client, address, &answer.unknown_keys).await?;
    }
    if let Some(update) = answer.update.take() {
        beliefs.absorb(asked, update, &format!("peer {address}"));
    }
    beliefs.adopt(asked, answer.verification);
    Ok(answer)
}

/// Tells a peer of members that it lacks.
async fn tell_members(
    beliefs: &Beliefs,
    client: &Client,
    address: SocketAddr,
    keys: &[u64],
) -> Result<(), PeerError> {
    let request = beliefs.members(|members, now| SyncRequest {
        v: PROTOCOL_VERSION,
        members: members.records_of(now, keys),
        member_digest: members.digest(now),
        live_members: None,
        pull: None,
        include_weights: false,
    });
    let _: SyncResponse =
        client::call(client, address, paths::SYNC, &request, PEER_TIMEOUT).await?;
    Ok(())
}

/// Tells all other entries of changes after the revision `since`.
pub async fn tell_changes(beliefs: Arc<Beliefs>, client: Client, since: u64) {
    let Some(update) = beliefs.answer_pull(&ReplicaPull { revision: since }) else {
        return;
    };
    if update.revision == since {
        return;
    }
    let v = PROTOCOL_VERSION;
    let news = ChangeNotification {
        v,
        base_revision: since,
        update,
    };
    tell_entries(&beliefs, &client, paths::CHANGES, &news).await;
}

/// Sends a message to all other entries at once.
async fn tell_entries<Q: Serialize>(beliefs: &Beliefs, client: &Client, path: &str, news: &Q) {
    let entries = beliefs.members(|members, now| {
        let entries = members.live(now, ProcessRole::Entry);
        entries.map(|record| record.address).collect()
    });
    tell(client, entries, path, news).await;
}

/// Sends a message to several processes at once; those that do not answer are passed over.
async fn tell<Q: Serialize>(client: &Client, to: Vec<SocketAddr>, path: &str, news: &Q) {
    let calls = to.into_iter().map(|address| async move {
        let told: Result<Done, _> = client::call(client, address, path, news, PEER_TIMEOUT).await;
        if let Err(e) = told {
            debug!("{address} was not told at {path}: {e}");
        }
    });
    futures_util::future::join_all(calls).await;
}

/// Tells all entries of requests that broke upstreams, since their callers may come straight back.
pub async fn tell_broken(beliefs: &Beliefs, client: &Client, crashes: Vec<Crash>) {
    let v = PROTOCOL_VERSION;
    let news = CrashNotification { v, crashes };
    tell_entries(beliefs, client, paths::MESH_CRASHES, &news).await;
}

/// Tells the sidecars of the own data centre which versions are wanted, whenever that changes.
pub async fn push_versions(beliefs: Arc<Beliefs>, client: Client) {
    let mut changes = beliefs.subscribe();
    let mut told = Vec::new();
    while changes.changed().await.is_ok() {
        let Some(news) = beliefs.weights_news() else {
            continue;
        };
        if news.target_versions == told {
            continue;
        }
        told = news.target_versions.clone();
        let sidecars: Vec<SocketAddr> = beliefs.members(|members, now| {
            let own = members.own().data_centre.clone();
            let sidecars = members.live(now, ProcessRole::Sidecar);
            let near = sidecars.filter(|record| record.data_centre == own);
            near.map(|record| record.address).collect()
        });
        tell(&client, sidecars, paths::WEIGHTS_UPDATE, &news).await;
    }
}
