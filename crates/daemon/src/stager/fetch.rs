//! Fetches the manifest and the chunks of a version from other hosts and from the origin.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use awc::{error::PayloadError, Client};
use balsamjunction_platform::{Manifest, PlatformError, MAX_MANIFEST_BYTES};
use balsamjunction_policy::{
    fetch::{
        choose_manifest_source, Distribution, FetchAction, FetchFailure, FetchPlan, OwnerState,
        Participants, Source,
    },
    version_queue::VersionQueue,
    Moment,
};
use balsamjunction_protocol::{header, paths, ChunkMap, ChunkMapResponse};
use bytes::Bytes;
use log::debug;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::{format_smolstr, SmolStr};
use strum::IntoEnumIterator;
use tokio::sync::mpsc;

use super::{chunk_cache::VersionId, http::CHUNK_MAP_HEADER, state::Stager};
use crate::{events::Event, metrics::StateLabels};

/// Longest time between two requests to the plan for new actions.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// A peer that does not respond to a probe or a manifest request within this time is passed over.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// A peer that has not sent a chunk after this time is stalled. A chunk takes 35 ms on an idle link
/// of 7.6 Mbit/s, and up to three chunks share the link of a sender.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest response to a probe: two maps with a bit for each chunk of the longest manifest.
const MAX_PROBE_BYTES: usize = 16 * 1_024;
/// After a stalled fetch with at least this many corrupt chunks, its manifest is fetched again.
const MANIFEST_REFRESH_CORRUPT_CHUNKS: u64 = 4;
/// Most missing chunks that the log line about a stalled fetch lists.
const MAX_LOGGED_CHUNKS: usize = 4;
/// A fetch without progress for this long is stalled: no host can send its missing chunks now.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A fetch without progress for this long is logged as waiting: several times as long as a chunk takes.
const LOGGED_WAIT: Duration = Duration::from_millis(500);

/// Status code of a peer whose queue of uploads is full.
const BUSY_STATUS: u16 = 503;

/// Result of a [`FetchAction`], for the plan.
enum ActionOutcome {
    Chunk {
        chunk: usize,
        source: Source,
        buf: Result<Bytes, PlatformError>,
        chunk_map: Option<ChunkMapResponse>,
    },
    Probe {
        host: SmolStr,
        chunk_map: Option<ChunkMapResponse>,
    },
}

/// Returns the manifest of a version, fetched unless it is cached; `attempts` counts earlier fetches.
pub async fn get_or_fetch_manifest(
    stager: &Stager,
    id: &VersionId,
    attempts: u32,
) -> Option<Manifest> {
    if let Some(manifest) = stager.chunk_cache.manifest(id) {
        return Some(manifest);
    }
    match fetch_manifest(stager, id, attempts).await {
        Ok(manifest) if manifest.version == id.version && manifest.model == id.model => {
            stager.chunk_cache.insert_version(id, manifest);
        }
        Ok(manifest) => debug!(
            "received the manifest of version {} instead",
            manifest.version
        ),
        Err(e) => debug!("cannot fetch the manifest of {id:?}: {e}"),
    }
    stager.chunk_cache.manifest(id)
}

async fn fetch_manifest(
    stager: &Stager,
    id: &VersionId,
    attempts: u32,
) -> Result<Manifest, PlatformError> {
    let settings = &stager.settings;
    let name = format_smolstr!("{}@{}", id.model, id.version);
    let service_members = stager.service_members();
    let draw = rand::random();
    let host = &settings.host;
    let source = choose_manifest_source(
        &name,
        host,
        &settings.data_centre,
        &service_members,
        attempts,
        draw,
    );
    match (source, stager.origin()) {
        (Source::Peer { address, .. }, _) => {
            let path = paths::MANIFEST;
            let url = format!("http://{address}{path}/{}/{}", id.model, id.version);
            let (buf, _) = get(&stager.client, url, PROBE_TIMEOUT, MAX_MANIFEST_BYTES).await?;
            Ok(serde_json::from_slice(&buf)?)
        }
        (Source::Origin, Some(origin)) => {
            // Nothing else authenticates a manifest. One with a wrong digest would spread to every host,
            // and no chunk could ever match it, so two reads must return the same manifest.
            let first = origin.manifest(&id.model, id.version).await?;
            let second = origin.manifest(&id.model, id.version).await?;
            match first == second {
                true => Ok(second),
                false => Err(PlatformError::UnknownValue {
                    what: "manifest that differs between two reads",
                    found: name,
                }),
            }
        }
        (Source::Origin, None) => Err(PlatformError::Status { status: 404 }),
    }
}

/// How a fetch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// Every chunk is cached.
    Complete,
    /// No host sends the missing chunks; lists some of them with their owners.
    Stalled(String),
    /// Another version must be fetched first.
    Superseded,
}

/// Fetches all chunks of a version until they are cached, the fetch stalls, or another version goes first.
pub async fn fetch_all(
    stager: &Rc<Stager>,
    queue: &mut VersionQueue<VersionId>,
    id: &VersionId,
    manifest: &Manifest,
) -> FetchOutcome {
    let chunks = manifest.digests.len();
    let is_superseded = |cached, idle| {
        let missing = stager.missing_versions();
        record_stored_counts(stager, queue, &missing);
        queue.should_yield(stager.now(), id, &missing, (cached, chunks), idle)
    };
    fetch_by_plan(stager, id, manifest, Distribution::Owners, is_superseded).await
}

/// Records how many chunks of each missing version are cached, and whether the origin responds.
pub fn record_stored_counts(
    stager: &Stager,
    queue: &mut VersionQueue<VersionId>,
    missing: &[VersionId],
) {
    queue.record_origin_state(stager.chunk_cache.origin_state().is_down());
    for id in missing {
        if let Some((cached, _)) = stager.chunk_cache.chunk_counts(id) {
            queue.record_stored(id, cached);
        }
    }
}

/// Fetches the chunks of a version that this host owns, until it fetches all chunks of that version or no host needs
/// these chunks.
pub async fn fetch_owned_chunks(
    stager: &Rc<Stager>,
    id: &VersionId,
    manifest: &Manifest,
) -> FetchOutcome {
    let is_superseded = |_, _| stager.is_fetching(id) || !stager.versions_for_others().contains(id);
    fetch_by_plan(stager, id, manifest, Distribution::OwnChunks, is_superseded).await
}

/// Fetches chunks by a new plan until it is complete, stalls, or is superseded. `is_superseded` is called
/// with the number of cached chunks and the time since the last one arrived.
async fn fetch_by_plan(
    stager: &Rc<Stager>,
    id: &VersionId,
    manifest: &Manifest,
    distribution: Distribution,
    is_superseded: impl FnMut(usize, Moment) -> bool,
) -> FetchOutcome {
    let chunks = manifest.digests.len();
    let mut plan = FetchPlan::new(
        stager.now(),
        format_smolstr!("{}@{}", id.model, id.version),
        chunks,
        distribution,
        list_participants(stager),
        Pcg64Mcg::from_rng(&mut rand::rng()),
    )
    .with_origin_rate(manifest.max_chunk_bytes(), stager.origin_kbit_s())
    .with_origin_state(stager.chunk_cache.origin_state());
    let cached = stager.chunk_cache.chunk_map(id);
    for chunk in (0..chunks).filter(|chunk| cached.has(*chunk)) {
        plan.record_stored(chunk);
    }
    let outcome = execute_plan(stager, id, &mut plan, is_superseded).await;
    if outcome == FetchOutcome::Complete {
        set_missing_chunks(stager, &HashMap::new());
    }
    stager
        .chunk_cache
        .set_fetching_from_origin(id, ChunkMap::empty(chunks));
    outcome
}

/// Executes the actions of a plan; see [`fetch_by_plan`].
async fn execute_plan(
    stager: &Rc<Stager>,
    id: &VersionId,
    plan: &mut FetchPlan,
    mut is_superseded: impl FnMut(usize, Moment) -> bool,
) -> FetchOutcome {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut last_missing = plan.missing_count();
    let mut last_progress = stager.now();
    let mut is_wait_logged = false;
    let corrupt_before = stager.metrics.corrupt_chunks.get();
    while plan.outstanding_count() > 0 {
        let idle = stager.now().saturating_sub(last_progress);
        if is_superseded(plan.stored_count(), idle) {
            return FetchOutcome::Superseded;
        }
        if plan.missing_count() < last_missing {
            last_missing = plan.missing_count();
            last_progress = stager.now();
            is_wait_logged = false;
        }
        if !is_wait_logged && stager.now().saturating_sub(last_progress) > LOGGED_WAIT {
            is_wait_logged = true;
            log_wait(stager, id, plan);
        }
        if stager.now().saturating_sub(last_progress) > STALL_TIMEOUT {
            if stager.metrics.corrupt_chunks.get()
                >= corrupt_before + MANIFEST_REFRESH_CORRUPT_CHUNKS
            {
                // A wrong manifest is more likely than several senders of corrupt chunks.
                stager.chunk_cache.remove_version(id);
            }
            let missing = plan.missing_with_owners().take(MAX_LOGGED_CHUNKS);
            let missing: Vec<String> = missing.map(|(n, host)| format!("{n} of {host}")).collect();
            return FetchOutcome::Stalled(missing.join(", "));
        }
        plan.set_participants(list_participants(stager));
        stager
            .chunk_cache
            .set_fetching_from_origin(id, plan.missing_owned());
        // An earlier plan of this version may have ended before all its responses arrived.
        let cached = stager.chunk_cache.chunk_map(id);
        let arrived = (0..plan.chunk_count()).filter(|chunk| cached.has(*chunk));
        arrived.for_each(|chunk| plan.record_stored(chunk));
        plan.set_in_flight(stager.chunk_cache.in_flight(id));
        for action in plan.next_actions(stager.now()) {
            if let FetchAction::Fetch {
                chunk,
                source: Source::Origin,
            } = &action
            {
                stager.chunk_cache.set_in_flight(id, *chunk, true);
            }
            actix_rt::spawn(execute_action(
                stager.clone(),
                id.clone(),
                action,
                tx.clone(),
            ));
        }
        let first = actix_rt::time::timeout(PLAN_INTERVAL, rx.recv()).await;
        let mut outcome = first.ok().flatten();
        while let Some(received) = outcome {
            record_outcome(stager, id, plan, received);
            outcome = rx.try_recv().ok();
        }
        stager.chunk_cache.update_origin_state(plan.origin_state());
    }
    FetchOutcome::Complete
}

/// Logs what a fetch waits for, and since when, and counts missing chunks by the state of their owner.
fn log_wait(stager: &Stager, id: &VersionId, plan: &FetchPlan) {
    let now = stager.now();
    let mut counts: HashMap<OwnerState, i64> = HashMap::new();
    let mut missing = Vec::new();
    for (chunk, owner, state) in plan.missing_with_owner_states(now) {
        *counts.entry(state).or_default() += 1;
        if missing.len() < MAX_LOGGED_CHUNKS {
            let state: &str = state.into();
            missing.push(format!("{chunk} of {owner} ({state})"));
        }
    }
    set_missing_chunks(stager, &counts);
    let waited_ms = now.saturating_sub(plan.waiting_since()).as_millis();
    let origin = match plan.origin_state().is_down() {
        true => "does not respond",
        false => "responds",
    };
    stager.cluster_view.events.emit(&Event::Weights {
        model: id.model.clone(),
        version: id.version,
        step: "waits",
        detail: format!(
            "for {} chunks since {waited_ms} ms, such as {}; the origin {origin}",
            plan.missing_count(),
            missing.join(", ")
        ),
    });
}

/// Sets the gauge of missing chunks by the state of their owner.
fn set_missing_chunks(stager: &Stager, counts: &HashMap<OwnerState, i64>) {
    for state in OwnerState::iter() {
        let name: &str = state.into();
        let labels = StateLabels {
            state: name.to_owned(),
        };
        let gauge = stager.metrics.mesh.missing_chunks.get_or_create(&labels);
        gauge.set(counts.get(&state).copied().unwrap_or(0));
    }
}

fn list_participants(stager: &Stager) -> Participants {
    Participants {
        host: stager.settings.host.clone(),
        data_centre: stager.settings.data_centre.clone(),
        members: stager.service_members(),
    }
}

fn record_outcome(stager: &Stager, id: &VersionId, plan: &mut FetchPlan, outcome: ActionOutcome) {
    let now = stager.now();
    match outcome {
        ActionOutcome::Probe { host, chunk_map } => plan.record_probe(now, &host, chunk_map),
        ActionOutcome::Chunk {
            chunk,
            source,
            buf,
            chunk_map,
        } => {
            if let (Some(chunk_map), Source::Peer { host, .. }) = (chunk_map, &source) {
                plan.record_peer_state(now, host, chunk_map);
            }
            match buf {
                Ok(buf) => {
                    let bytes = buf.len() as u64;
                    if stager.chunk_cache.put(id, chunk, buf) {
                        count_bytes(stager, &source, bytes);
                        plan.record_arrival(now, chunk, &source);
                    } else {
                        stager.metrics.corrupt_chunks.inc();
                        plan.record_failure(now, chunk, &source, FetchFailure::Corrupt);
                    }
                }
                Err(e) => {
                    debug!("cannot fetch chunk {chunk} of {id:?}: {e}");
                    let failure = match e {
                        PlatformError::Status {
                            status: BUSY_STATUS,
                        } => FetchFailure::Busy,
                        // The chunk is longer than its manifest states.
                        PlatformError::Payload(PayloadError::Overflow) => {
                            stager.metrics.corrupt_chunks.inc();
                            FetchFailure::Corrupt
                        }
                        _ => FetchFailure::Unavailable,
                    };
                    plan.record_failure(now, chunk, &source, failure);
                }
            }
        }
    }
}

fn count_bytes(stager: &Stager, source: &Source, bytes: u64) {
    match source {
        Source::Origin => stager.metrics.origin_bytes.inc_by(bytes),
        Source::Peer { .. } => stager.metrics.peer_bytes.inc_by(bytes),
    };
}

async fn execute_action(
    stager: Rc<Stager>,
    id: VersionId,
    action: FetchAction,
    tx: mpsc::UnboundedSender<ActionOutcome>,
) {
    let outcome = match action {
        FetchAction::Probe { host, address } => {
            let path = paths::MODEL_CHUNK_MAP;
            let url = format!("http://{address}{path}/{}/{}", id.model, id.version);
            let response = get(&stager.client, url, PROBE_TIMEOUT, MAX_PROBE_BYTES);
            let response = response.await.ok();
            let chunk_map = response.and_then(|(buf, _)| header::from_bytes(&buf).ok());
            ActionOutcome::Probe { host, chunk_map }
        }
        FetchAction::Fetch { chunk, source } => {
            let max_bytes = stager.chunk_cache.max_chunk_bytes(&id);
            let wait = stager.pacer.borrow_mut().reserve(stager.now(), max_bytes);
            if !wait.is_zero() {
                actix_rt::time::sleep(wait).await;
            }
            let started = stager.now();
            let fetched = fetch_chunk(&stager, &id, chunk, &source, max_bytes).await;
            if source == Source::Origin {
                stager.chunk_cache.set_in_flight(&id, chunk, false);
            }
            let took_ms = stager.now().saturating_sub(started).as_millis();
            debug!("chunk {chunk} of {id:?} took {took_ms} ms from {source:?}");
            let (buf, chunk_map) = match fetched {
                Ok((buf, chunk_map)) => (Ok(buf), chunk_map),
                Err(e) => (Err(e), None),
            };
            ActionOutcome::Chunk {
                chunk,
                source,
                buf,
                chunk_map,
            }
        }
    };
    // The fetch may have ended meanwhile; another one of the same version needs the chunk.
    if let Err(mpsc::error::SendError(ActionOutcome::Chunk {
        chunk,
        source,
        buf: Ok(buf),
        ..
    })) = tx.send(outcome)
    {
        let bytes = buf.len() as u64;
        if stager.chunk_cache.put(&id, chunk, buf) {
            count_bytes(&stager, &source, bytes);
        }
    }
}

async fn fetch_chunk(
    stager: &Stager,
    id: &VersionId,
    chunk: usize,
    source: &Source,
    max_bytes: usize,
) -> Result<(Bytes, Option<ChunkMapResponse>), PlatformError> {
    match (source, stager.origin()) {
        (Source::Peer { address, .. }, _) => {
            let url = chunk_url(*address, id, chunk);
            get(&stager.client, url, CHUNK_TIMEOUT, max_bytes).await
        }
        (Source::Origin, Some(origin)) => {
            let buf = origin
                .chunk(&id.model, id.version, chunk, max_bytes)
                .await?;
            Ok((buf, None))
        }
        (Source::Origin, None) => Err(PlatformError::Status { status: 404 }),
    }
}

fn chunk_url(address: SocketAddr, id: &VersionId, chunk: usize) -> String {
    let path = paths::MODEL_CHUNK;
    format!("http://{address}{path}/{}/{}/{chunk}", id.model, id.version)
}

async fn get(
    client: &Client,
    url: String,
    timeout: Duration,
    max_bytes: usize,
) -> Result<(Bytes, Option<ChunkMapResponse>), PlatformError> {
    let mut response = client
        .get(url)
        .timeout(timeout)
        .send()
        .await?
        .timeout(timeout);
    if !response.status().is_success() {
        let status = response.status().as_u16();
        return Err(PlatformError::Status { status });
    }
    let chunk_map = response.headers().get(CHUNK_MAP_HEADER);
    let chunk_map = chunk_map.and_then(|value| header::from_header(value.to_str().ok()?).ok());
    Ok((response.body().limit(max_bytes).await?, chunk_map))
}
