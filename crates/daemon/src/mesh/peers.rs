//! Gossip: exchanges membership views and facts with other processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use balsamjunction_directory::{Position, ReplicaPull};
use balsamjunction_protocol::{
    mesh::{ChangeNotification, LimitNotification, ProcessRole, SyncRequest, SyncResponse},
    paths, PROTOCOL_VERSION,
};
use log::debug;
use rand::{seq::IteratorRandom, Rng};
use serde::Serialize;

use super::{
    peer_client::observe_change_ages, reader::FALLBACK_READ_AFTER, sleep_with_jitter, ClusterView,
    PeerClient,
};
use crate::{client::PeerError, fleet::dissemination::EmptyResponse, reload::Seeds};

/// Mean interval between exchanges of views, with a jitter of ±50%.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// Mean interval between checks of the facts' age, with a jitter of ±50%.
const FACTS_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Facts older than this are pulled from an entry that reads the store.
const PULL_FACTS_AFTER: Duration = Duration::from_millis(400);
/// Shortest interval between pushes of limits, which bounds their number while limits change often.
const LIMIT_PUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between pushes of crashes in a fleet of up to [`CRASH_PUSH_FLEET`] entries.
const CRASH_PUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Number of entries above which crashes are pushed less often.
const CRASH_PUSH_FLEET: f64 = 64.0;
/// Number of entries that read the store in place of late readers from which one is selected. More of them read only after
/// a while.
const FALLBACK_SOURCES: usize = 3;
/// Most changes in a push. Where there are more, the others pull them, each at its own time.
const MAX_PUSHED_CHANGES: usize = 256;
/// Time limit of a call to a peer; one that does not respond in this time is skipped.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// The data that an exchange requests.
#[derive(Clone, Copy, Debug)]
pub enum ExchangePurpose {
    /// The members that are live, and facts.
    Views(ReplicaPull),
    /// Facts.
    Facts(ReplicaPull),
    /// The target versions and settings for a sidecar.
    Weights,
    /// The members that are live.
    Members,
}

/// Exchanges views with entries for as long as the process runs.
pub async fn exchange_loop(cluster_view: Arc<ClusterView>, client: PeerClient, seeds: Seeds) {
    // A process that has just started may have facts from the store, but no times at which its peers
    // first received them; a full pull adds those times.
    let mut complete = true;
    loop {
        let target = cluster_view.with_members(|members, now| {
            members.increment_heartbeat();
            members.expire(now);
            members.exchange_target(now, ProcessRole::Entry, &seeds.get(), &mut rand::rng())
        });
        if let Some(address) = target {
            complete |= cluster_view.take_complete_pull();
            // Each exchange also brings what the peer knows better: target versions come with their times.
            let pull = match complete {
                true => ReplicaPull::complete(),
                false => ReplicaPull::from(cluster_view.position()),
            };
            let purpose = ExchangePurpose::Views(pull);
            match exchange_once(&cluster_view, &client, address, purpose).await {
                Ok(_) => complete = false,
                Err(e) => debug!("exchange with {address} failed: {e}"),
            }
        }
        sleep_with_jitter(EXCHANGE_INTERVAL).await;
    }
}

/// Pulls facts from entries whenever the own ones are not fresh, for as long as the process runs.
pub async fn refresh_facts_loop(cluster_view: Arc<ClusterView>, client: PeerClient) {
    let mut pull_needed = false;
    loop {
        let fresh = cluster_view
            .facts_age()
            .is_some_and(|age| age < PULL_FACTS_AFTER);
        let source = match fresh && !pull_needed {
            true => None,
            false => choose_fact_source(&cluster_view),
        };
        if let Some(address) = source {
            let pull = ReplicaPull::from(cluster_view.position());
            let exchanged = exchange_once(
                &cluster_view,
                &client,
                address,
                ExchangePurpose::Facts(pull),
            )
            .await;
            if let Err(e) = exchanged {
                debug!("pulling facts from {address} failed: {e}");
            }
        }
        pull_needed = tokio::select! {
            () = sleep_with_jitter(FACTS_CHECK_INTERVAL) => false,
            () = cluster_view.wait_until_pull_needed() => true,
        };
    }
}

/// Chooses the entry to pull facts from.
///
/// This is mostly one that reads the store; one time in four it is any entry, in case the view of which
/// entries read the store is wrong. Once the readers are late, it is mostly one of those that read in their place.
fn choose_fact_source(cluster_view: &ClusterView) -> Option<SocketAddr> {
    let rng = &mut rand::rng();
    let late = cluster_view
        .facts_age()
        .is_none_or(|age| age >= FALLBACK_READ_AFTER);
    let any_entry = rng.random_ratio(1, 4);
    let fallback = late && rng.random_ratio(2, 3);
    cluster_view.with_members(|members, now| {
        let own = members.own().address;
        let readers = members.store_readers(now).into_iter().map(|r| r.address);
        let mut readers: Vec<SocketAddr> = readers.collect();
        if fallback {
            let order = members.fallback_readers(now);
            let order = order.into_iter().take(FALLBACK_SOURCES);
            readers = order.map(|record| record.address).collect();
        }
        let reader = readers.into_iter().filter(|a| *a != own).choose(rng);
        let entries = members.live(now, ProcessRole::Entry);
        let entry = entries.map(|record| record.address).choose(rng);
        match any_entry {
            true => entry,
            false => reader.or(entry),
        }
    })
}

/// Exchanges views with one peer, and merges what is newer in its response.
pub async fn exchange_once(
    cluster_view: &ClusterView,
    client: &PeerClient,
    address: SocketAddr,
    purpose: ExchangePurpose,
) -> Result<SyncResponse, PeerError> {
    let include_weights = matches!(purpose, ExchangePurpose::Weights);
    let exchanges_views = matches!(purpose, ExchangePurpose::Views(_));
    let mut request = cluster_view.with_members(|members, now| SyncRequest {
        v: PROTOCOL_VERSION,
        members: vec![members.own().clone()],
        member_digest: members.digest(now),
        live_members: match purpose {
            ExchangePurpose::Views(_) | ExchangePurpose::Members => Some(members.heartbeats(now)),
            ExchangePurpose::Facts(_) | ExchangePurpose::Weights => None,
        },
        pull: match purpose {
            ExchangePurpose::Views(pull) | ExchangePurpose::Facts(pull) => Some(pull),
            ExchangePurpose::Weights | ExchangePurpose::Members => None,
        },
        limits: exchanges_views.then(|| cluster_view.limit_reports()),
        crash_digest: None,
        request_crash_digest: None,
        include_weights,
        accepts_compressed: true,
    });
    if exchanges_views {
        cluster_view.request_crash_evidence(&mut request);
    }
    let queried_at = cluster_view.clock.now();
    let mut response: SyncResponse = client
        .call(address, paths::SYNC, &request, PEER_TIMEOUT)
        .await?;
    cluster_view.record_peer_response();
    cluster_view.merge_members(std::mem::take(&mut response.members));
    cluster_view.with_members(|members, now| {
        // Members that were not known here are in the table by now: their records came in the response.
        members.merge_heartbeats(now, &response.heartbeats);
        if include_weights && response.same_members {
            // Sidecars receive other members' heartbeats through entries only, and report no other members.
            members.refresh_live(now);
        }
    });
    cluster_view.merge_limits(&response.limits);
    cluster_view.take_crash_evidence(queried_at, &mut response);
    if exchanges_views && !response.unknown_keys.is_empty() {
        send_members(cluster_view, client, address, &response.unknown_keys).await?;
    }
    if let Some(update) = response.update.take() {
        observe_change_ages(client.metrics(), cluster_view.position(), &update);
        cluster_view.apply_update(queried_at, update, &format!("peer {address}"));
    }
    cluster_view.adopt_verification(queried_at, response.verification);
    Ok(response)
}

/// Sends a peer the records of members that it lacks.
async fn send_members(
    cluster_view: &ClusterView,
    client: &PeerClient,
    address: SocketAddr,
    keys: &[u64],
) -> Result<(), PeerError> {
    let request = cluster_view.with_members(|members, now| SyncRequest {
        v: PROTOCOL_VERSION,
        members: members.records_by_key(now, keys),
        member_digest: members.digest(now),
        live_members: None,
        pull: None,
        limits: None,
        crash_digest: None,
        request_crash_digest: None,
        include_weights: false,
        accepts_compressed: true,
    });
    let _: SyncResponse = client
        .call(address, paths::SYNC, &request, PEER_TIMEOUT)
        .await?;
    Ok(())
}

/// Notifies all other entries of the changes after `since`.
pub async fn notify_changes(cluster_view: Arc<ClusterView>, client: PeerClient, since: Position) {
    let Some(mut update) = cluster_view.update_for(&ReplicaPull::from(since)) else {
        return;
    };
    if update.position() == since {
        return;
    }
    if update.complete || update.changes.len() > MAX_PUSHED_CHANGES {
        update.complete = true;
        // The others pull a complete copy, which also tells them how old it is.
        update.changes.clear();
    }
    let v = PROTOCOL_VERSION;
    let message = ChangeNotification {
        v,
        base_revision: since.revision,
        base_era: since.era,
        update,
    };
    send_to_entries(&cluster_view, &client, paths::CHANGES, &message).await;
}

/// Sends a message to all other entries concurrently.
async fn send_to_entries<Q: Serialize>(
    cluster_view: &ClusterView,
    client: &PeerClient,
    path: &str,
    message: &Q,
) {
    let entries = cluster_view.with_members(|members, now| {
        let entries = members.live(now, ProcessRole::Entry);
        entries.map(|record| record.address).collect()
    });
    send_to_all(client, entries, path, message).await;
}

/// Sends a message to several processes concurrently; those that do not respond are skipped.
async fn send_to_all<Q: Serialize>(
    client: &PeerClient,
    to: Vec<SocketAddr>,
    path: &str,
    message: &Q,
) {
    let calls = to.into_iter().map(|address| async move {
        let sent: Result<EmptyResponse, _> =
            client.call(address, path, message, PEER_TIMEOUT).await;
        if let Err(e) = sent {
            debug!("sending {path} to {address} failed: {e}");
        }
    });
    futures_util::future::join_all(calls).await;
}

/// Pushes limits that this process observes to all other entries, so that they keep a limit before they have
/// sent anything to the upstream, and learn that it has ended although they have no share of it.
///
/// Entries that miss a push learn the limit by an exchange.
pub async fn push_limits_loop(cluster_view: Arc<ClusterView>, client: PeerClient) {
    loop {
        cluster_view.wait_until_limit_push_needed().await;
        let message = LimitNotification {
            v: PROTOCOL_VERSION,
            limits: cluster_view.limit_reports(),
        };
        send_to_entries(&cluster_view, &client, paths::MESH_LIMITS, &message).await;
        actix_rt::time::sleep(LIMIT_PUSH_INTERVAL).await;
    }
}

/// Pushes what this process observes of crashes to all other entries, since they must refuse what crashes upstreams
/// before they have seen it themselves.
///
/// Entries that miss a push learn of it by an exchange.
pub async fn push_crash_evidence_loop(cluster_view: Arc<ClusterView>, client: PeerClient) {
    loop {
        let message = cluster_view.next_crash_news().await;
        send_to_entries(&cluster_view, &client, paths::MESH_CRASH_EVIDENCE, &message).await;
        let entries = cluster_view.with_members(|m, now| m.share_count(now, ProcessRole::Entry));
        actix_rt::time::sleep(crash_push_interval(entries)).await;
    }
}

/// Shortest interval between pushes of crashes of one entry, so that the messages that an entry receives have a bound
/// whatever the number of entries.
fn crash_push_interval(entries: usize) -> Duration {
    CRASH_PUSH_INTERVAL.mul_f64((entries as f64 / CRASH_PUSH_FLEET).max(1.0))
}

/// Notifies the sidecars of the own data centre whenever the target versions change.
pub async fn push_target_versions(cluster_view: Arc<ClusterView>, client: PeerClient) {
    let mut changes = cluster_view.subscribe();
    let mut last_sent = Vec::new();
    while changes.changed().await.is_ok() {
        let Some(update) = cluster_view.weights_update() else {
            continue;
        };
        if update.target_versions == last_sent {
            continue;
        }
        last_sent = update.target_versions.clone();
        let sidecars: Vec<SocketAddr> = cluster_view.with_members(|members, now| {
            let own = members.own().data_centre.clone();
            let sidecars = members.live(now, ProcessRole::Sidecar);
            let local_sidecars = sidecars.filter(|record| record.data_centre == own);
            local_sidecars.map(|record| record.address).collect()
        });
        send_to_all(&client, sidecars, paths::WEIGHTS_UPDATE, &update).await;
    }
}
