//! Exchanges views with other processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use awc::Client;
use balsamjunction_directory::ReplicaPull;
use balsamjunction_protocol::{
    mesh::{ChangeNews, CrashNews, ProcessRole, SyncAnswer, SyncRequest},
    paths, Crash, PROTOCOL_VERSION,
};
use log::debug;
use rand::{seq::IteratorRandom, Rng};
use serde::Serialize;

use super::{pause, ClusterView};
use crate::{
    client::{self, PeerError},
    fleet::dissemination::EmptyResponse,
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
pub enum ExchangePurpose {
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
pub async fn exchange_loop(cluster_view: Arc<ClusterView>, client: Client, seeds: Seeds) {
    // A process that has just started knows facts, but not for how long they have held.
    let mut pull = Some(ReplicaPull::default());
    loop {
        let target = cluster_view.with_members(|members, now| {
            members.increment_heartbeat();
            members.expire(now);
            members.exchange_target(now, ProcessRole::Entry, &seeds.get(), &mut rand::rng())
        });
        if let Some(address) = target {
            match exchange_once(
                &cluster_view,
                &client,
                address,
                ExchangePurpose::Views(pull),
            )
            .await
            {
                Ok(_) => pull = None,
                Err(e) => debug!("no exchange with {address}: {e}"),
            }
        }
        pause(EXCHANGE_INTERVAL).await;
    }
}

/// Asks entries that read the store, whenever the facts are not fresh, for as long as the process runs.
pub async fn refresh_facts_loop(cluster_view: Arc<ClusterView>, client: Client) {
    let mut behind = false;
    loop {
        let fresh = cluster_view
            .facts_age()
            .is_some_and(|age| age < ASK_PEERS_AFTER);
        let source = match fresh && !behind {
            true => None,
            false => fact_source(&cluster_view),
        };
        if let Some(address) = source {
            let pull = ReplicaPull {
                at: cluster_view.revision(),
            };
            let asked = exchange_once(
                &cluster_view,
                &client,
                address,
                ExchangePurpose::Facts(pull),
            )
            .await;
            if let Err(e) = asked {
                debug!("no facts from {address}: {e}");
            }
        }
        behind = tokio::select! {
            () = pause(FACTS_TICK) => false,
            () = cluster_view.wait_until_behind() => true,
        };
    }
}

/// An entry that reads the store, or at times any, in case those are not what they seem.
fn fact_source(cluster_view: &ClusterView) -> Option<SocketAddr> {
    let rng = &mut rand::rng();
    let any = rng.random_ratio(1, 4);
    cluster_view.with_members(|members, now| {
        let own = members.own().address;
        let readers = members.store_readers(now).into_iter().map(|r| r.address);
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
    cluster_view: &ClusterView,
    client: &Client,
    address: SocketAddr,
    purpose: ExchangePurpose,
) -> Result<SyncAnswer, PeerError> {
    let weights = matches!(purpose, ExchangePurpose::Weights);
    let request = cluster_view.with_members(|members, now| SyncRequest {
        v: PROTOCOL_VERSION,
        members: vec![members.own().clone()],
        member_digest: members.digest(now),
        views: match purpose {
            ExchangePurpose::Views(_) | ExchangePurpose::Members => Some(members.heartbeats(now)),
            ExchangePurpose::Facts(_) | ExchangePurpose::Weights => None,
        },
        pull: match purpose {
            ExchangePurpose::Views(pull) => pull,
            ExchangePurpose::Facts(pull) => Some(pull),
            ExchangePurpose::Weights | ExchangePurpose::Members => None,
        },
        weights,
    });
    let asked = cluster_view.clock.now();
    let mut answer: SyncAnswer =
        client::call(client, address, paths::SYNC, &request, PEER_TIMEOUT).await?;
    cluster_view.merge_members(std::mem::take(&mut answer.members));
    cluster_view.with_members(|members, now| {
        // What the peer knows and this process does not has just come as a record.
        members.merge_heartbeats(now, &answer.pulses);
        if weights && answer.same_members {
            // Sidecars hear of others through entries alone, and tell nobody of them.
            members.refresh_live(now);
        }
    });
    if matches!(purpose, ExchangePurpose::Views(_)) && !answer.lacks.is_empty() {
        tell_members(cluster_view, client, address, &answer.lacks).await?;
    }
    if let Some(update) = answer.update.take() {
        cluster_view.merge_peer_update(asked, update, &format!("peer {address}"));
    }
    cluster_view.adopt_verification(asked, answer.proof);
    Ok(answer)
}

/// Tells a peer of members that it lacks.
async fn tell_members(
    cluster_view: &ClusterView,
    client: &Client,
    address: SocketAddr,
    keys: &[u64],
) -> Result<(), PeerError> {
    let request = cluster_view.with_members(|members, now| SyncRequest {
        v: PROTOCOL_VERSION,
        members: members.records_by_key(now, keys),
        member_digest: members.digest(now),
        views: None,
        pull: None,
        weights: false,
    });
    let _: SyncAnswer = client::call(client, address, paths::SYNC, &request, PEER_TIMEOUT).await?;
    Ok(())
}

/// Tells all other entries of changes after the revision `since`.
pub async fn notify_changes(cluster_view: Arc<ClusterView>, client: Client, since: u64) {
    let Some(update) = cluster_view.update_for_pull(&ReplicaPull { at: since }) else {
        return;
    };
    if update.at == since {
        return;
    }
    let v = PROTOCOL_VERSION;
    let news = ChangeNews { v, since, update };
    tell_entries(&cluster_view, &client, paths::CHANGES, &news).await;
}

/// Sends a message to all other entries at once.
async fn tell_entries<Q: Serialize>(
    cluster_view: &ClusterView,
    client: &Client,
    path: &str,
    news: &Q,
) {
    let entries = cluster_view.with_members(|members, now| {
        let entries = members.live(now, ProcessRole::Entry);
        entries.map(|record| record.address).collect()
    });
    tell(client, entries, path, news).await;
}

/// Sends a message to several processes at once; those that do not answer are passed over.
async fn tell<Q: Serialize>(client: &Client, to: Vec<SocketAddr>, path: &str, news: &Q) {
    let calls = to.into_iter().map(|address| async move {
        let told: Result<EmptyResponse, _> =
            client::call(client, address, path, news, PEER_TIMEOUT).await;
        if let Err(e) = told {
            debug!("{address} was not told at {path}: {e}");
        }
    });
    futures_util::future::join_all(calls).await;
}

/// Tells all entries of requests that broke upstreams, since their callers may come straight back.
pub async fn notify_crashes(cluster_view: &ClusterView, client: &Client, crashes: Vec<Crash>) {
    let v = PROTOCOL_VERSION;
    let news = CrashNews { v, crashes };
    tell_entries(cluster_view, client, paths::BROKEN, &news).await;
}

/// Tells the sidecars of the own data centre which versions are wanted, whenever that changes.
pub async fn push_target_versions(cluster_view: Arc<ClusterView>, client: Client) {
    let mut changes = cluster_view.subscribe();
    let mut told = Vec::new();
    while changes.changed().await.is_ok() {
        let Some(news) = cluster_view.weights_update() else {
            continue;
        };
        if news.wanted == told {
            continue;
        }
        told = news.wanted.clone();
        let sidecars: Vec<SocketAddr> = cluster_view.with_members(|members, now| {
            let own = members.own().data_centre.clone();
            let sidecars = members.live(now, ProcessRole::Sidecar);
            let near = sidecars.filter(|record| record.data_centre == own);
            near.map(|record| record.address).collect()
        });
        tell(&client, sidecars, paths::NEWS, &news).await;
    }
}
