//! Upgrades the engine to a version: fetches and stages its chunks, verifies them and orders the switch.
//!
//! Chunks are fetched while the engine waits for its scheduled switch, so that a version that supersedes
//! another one is not delayed. See docs/WEIGHTS.md, "Stagers".

use std::{
    cell::Cell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use balsamjunction_platform::{LoadOrder, Manifest, OrderOutcome, PlatformError, SwitchMode};
use balsamjunction_policy::{
    rendezvous, staged_check::StagedCheck, switch_schedule::SwitchTurn,
    version_queue::VersionQueue, Moment,
};
use futures_util::{stream, StreamExt};
use log::debug;

use super::{
    chunk_cache::{matches_digest, VersionId},
    fetch::{self, FetchOutcome},
    state::Stager,
};
use crate::events::Event;

/// Versions that are remembered as having all own chunks; more than are cached at a time.
const MAX_COMPLETED: usize = 8;
/// Polling interval of the loops.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a failed switch.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay between attempts to fetch a manifest. It passes through two or three hosts, and no chunk can be
/// fetched before it arrives.
const MANIFEST_RETRY_DELAY: Duration = Duration::from_millis(15);
/// An engine that neither serves the version nor processes the order after this time is ordered again.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after a call without response in which the engine may still carry it out. Nothing of another version is staged
/// meanwhile: a late order would load it, and a late chunk would replace it.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Numbers of chunks that are read back and staged at a time, in successive attempts at a switch. If reads are slow,
/// a comparison of all chunks with fewer of them at a time would be too old at its end.
const PARALLEL_CHUNKS: [usize; 4] = [4, 8, 16, 32];

/// Fetches target versions, the newest first, for as long as the process runs.
pub async fn fetch_loop(stager: Rc<Stager>) {
    let mut queue = VersionQueue::default();
    let mut manifest_attempts: HashMap<VersionId, u32> = HashMap::new();
    let mut last_staged_check = None;
    loop {
        let missing = stager.missing_versions();
        queue.retain(&missing);
        fetch::record_stored_counts(&stager, &mut queue, &missing);
        let Some(id) = queue.next_version(stager.now(), &missing).cloned() else {
            actix_rt::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        let attempts = manifest_attempts.entry(id.clone()).or_default();
        *attempts += 1;
        let Some(manifest) = fetch::get_or_fetch_manifest(&stager, &id, *attempts - 1).await else {
            queue.record_missing_manifest(stager.now(), &id);
            actix_rt::time::sleep(MANIFEST_RETRY_DELAY).await;
            continue;
        };
        // Chunks of this version may have been staged before this process started.
        let started_at_ms = stager.engine_started_at_ms();
        if last_staged_check.as_ref() != Some(&(id.clone(), started_at_ms)) {
            if let Err(e) = cache_staged_chunks(&stager, &id, &manifest).await {
                debug!("cannot read staged chunks: {e}");
                actix_rt::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            last_staged_check = Some((id.clone(), started_at_ms));
        }
        *stager.fetching.borrow_mut() = Some(id.clone());
        let outcome = fetch::fetch_all(&stager, &mut queue, &id, &manifest).await;
        *stager.fetching.borrow_mut() = None;
        match outcome {
            FetchOutcome::Complete => log_step(&stager, &id, "fetched", String::new()),
            FetchOutcome::Superseded => log_step(&stager, &id, "overtaken", String::new()),
            FetchOutcome::Stalled(missing_chunks) => {
                log_step(&stager, &id, "stalled", missing_chunks);
                queue.mark_stalled(stager.now(), &id);
            }
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Fetches the chunks that this host owns of versions that it does not fetch itself right now: of the newest one while it
/// still fetches an older one, and of older ones that other hosts still fetch.
///
/// The origin may be unreachable by the time the older version is complete.
pub async fn fetch_owned_chunks_loop(stager: Rc<Stager>) {
    let mut completed: VecDeque<VersionId> = VecDeque::new();
    let mut manifest_attempts: HashMap<VersionId, u32> = HashMap::new();
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let versions = stager.versions_for_others();
        manifest_attempts.retain(|id, _| versions.contains(id));
        for id in versions {
            let fetches_another = stager.fetching.borrow().is_some() && !stager.is_fetching(&id);
            let is_newest = stager.missing_versions().first() == Some(&id);
            // The newest version is about to be fetched completely, if none is now.
            if completed.contains(&id) || stager.is_fetching(&id) || (is_newest && !fetches_another)
            {
                continue;
            }
            let attempts = manifest_attempts.entry(id.clone()).or_default();
            *attempts += 1;
            let manifest = fetch::get_or_fetch_manifest(&stager, &id, *attempts - 1).await;
            let Some(manifest) = manifest else {
                continue;
            };
            if fetch::fetch_owned_chunks(&stager, &id, &manifest).await == FetchOutcome::Complete {
                log_step(&stager, &id, "own-chunks", String::new());
                completed.push_back(id);
                if completed.len() > MAX_COMPLETED {
                    completed.pop_front();
                }
            }
        }
    }
}

/// Switches the engine to the newest completely fetched version, for as long as the process runs.
pub async fn switch_loop(stager: Rc<Stager>) {
    // The version of the last call to the engine whose response was not received, and when the call was given up.
    let mut unsettled: Option<(VersionId, Moment)> = None;
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let Some(id) = next_switch_target(&stager) else {
            continue;
        };
        let settles_at = unsettled
            .as_ref()
            .filter(|(unsettled, _)| *unsettled != id)
            .map(|(_, since)| *since + SETTLE_TIME);
        if settles_at.is_some_and(|at| stager.now() < at) {
            continue;
        }
        if let Err(e) = switch_engine(&stager, &id).await {
            debug!("cannot switch the engine to {id:?} yet: {e}");
            if may_be_carried_out(&e) {
                unsettled = Some((id, stager.now()));
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
        stager.switching.set(false);
    }
}

/// Whether the engine may still carry out a call that failed.
fn may_be_carried_out(e: &PlatformError) -> bool {
    matches!(e, PlatformError::Send(e) if !balsamjunction_client::failed_to_connect(e))
}

/// The newest completely fetched version, if the engine serves an older one or none.
fn next_switch_target(stager: &Stager) -> Option<VersionId> {
    stager.engine_started_at_ms()?;
    let mut targets = stager.target_versions().into_iter();
    let newest = targets.find(|id| stager.chunk_cache.is_complete(id))?;
    let serving = stager.serving_version(&newest.model);
    serving
        .is_none_or(|serving| serving < newest.version)
        .then_some(newest)
}

fn log_step(stager: &Stager, id: &VersionId, step: &'static str, detail: String) {
    stager.cluster_view.events.emit(&Event::Weights {
        model: id.model.clone(),
        version: id.version,
        step,
        detail,
    });
}

/// Adds the staged chunks of a version to the cache, so that they need not be fetched and can be served.
async fn cache_staged_chunks(
    stager: &Stager,
    id: &VersionId,
    manifest: &Manifest,
) -> Result<(), PlatformError> {
    let cached = stager.chunk_cache.chunk_map(id);
    let mut added = 0;
    for chunk in stager.engine.staged_chunks(&id.model).await? {
        if chunk >= manifest.digests.len() || cached.has(chunk) {
            continue;
        }
        let max_bytes = manifest.max_chunk_bytes();
        let read = stager.engine.read_staged(&id.model, chunk, max_bytes);
        let buf = read.await?;
        added += usize::from(stager.chunk_cache.put(id, chunk, buf));
    }
    if added > 0 {
        log_step(
            stager,
            id,
            "taken",
            format!("{added} chunks were already staged"),
        );
    }
    Ok(())
}

/// Stages a version, waits for the scheduled time of this engine, and orders the engine to switch.
async fn switch_engine(stager: &Rc<Stager>, id: &VersionId) -> Result<(), PlatformError> {
    let Some(manifest) = stager.chunk_cache.manifest(id) else {
        return Ok(());
    };
    stage_missing_chunks(stager, id, &manifest, PARALLEL_CHUNKS[0]).await?;
    let staged_at = stager.now();
    while stager.serving_version(&id.model).is_some() && !may_switch(stager, id, staged_at) {
        if next_switch_target(stager).as_ref() != Some(id) {
            return Ok(());
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let mut notified = false;
    for parallel_chunks in PARALLEL_CHUNKS {
        let started_at_ms = stager.engine_started_at_ms();
        // Staged chunks may have changed since; the engine loads what is staged when it accepts the order.
        let check = StagedCheck::start(stager.now());
        let restaged = stage_missing_chunks(stager, id, &manifest, parallel_chunks).await?;
        if next_switch_target(stager).as_ref() != Some(id) {
            return Ok(());
        }
        if !notified && check.holds(stager.now()) {
            stager.notify_switch().await;
            notified = true;
        }
        let outcome = order_load(stager, id, check).await?;
        let age_ms = check.age(stager.now()).as_millis();
        let detail =
            format!("{outcome:?}, {restaged} chunks staged again, first read {age_ms} ms before");
        if outcome == OrderOutcome::Withheld {
            log_step(stager, id, "withheld", detail);
            continue;
        }
        log_step(stager, id, "ordered", detail);
        if outcome == OrderOutcome::Accepted {
            wait_for_switch(stager, id, started_at_ms).await;
        }
        break;
    }
    Ok(())
}

/// Orders the engine to load the staged chunks, unless `check` is too old when the order can be sent.
async fn order_load(
    stager: &Stager,
    id: &VersionId,
    check: StagedCheck,
) -> Result<OrderOutcome, PlatformError> {
    let order = LoadOrder {
        model: id.model.clone(),
        version: id.version,
        mode: SwitchMode::Abort,
    };
    let clock = stager.cluster_view.clock;
    stager
        .engine
        .load(&order, move || check.holds(clock.now()))
        .await
}

/// Whether it is the turn of this engine to switch, which had the version staged at `staged_at`.
fn may_switch(stager: &Stager, id: &VersionId, staged_at: Moment) -> bool {
    let Some(report) = stager.report() else {
        return true;
    };
    // Hosts of one data centre are scattered in this order, so that each data centre keeps most of its
    // engines in service.
    let service_members = stager.service_members();
    let names = service_members.iter().map(|m| m.host.as_str());
    let order = rendezvous::rank(&id.version.to_le_bytes(), names);
    let own_host = stager.settings.host.as_str();
    let (engines, switching) = stager.switching_engines();
    let turn = SwitchTurn {
        since: stager.outdated_since(&id.model).unwrap_or(staged_at),
        within: stager.version_within,
        staged_at,
        rank: order.iter().position(|host| *host == own_host).unwrap_or(0),
        engines,
    };
    turn.may_start(stager.now(), switching, report.running)
}

/// Stages every chunk that is not staged with its digest, `parallel_chunks` at a time; returns the number of chunks
/// that it staged.
///
/// After a failure no further call is made, but those in progress are awaited: the engine may carry out a call that is
/// dropped. The error is that of a call which it may still carry out, if there is one.
async fn stage_missing_chunks(
    stager: &Stager,
    id: &VersionId,
    manifest: &Manifest,
    parallel_chunks: usize,
) -> Result<usize, PlatformError> {
    let staged = stager.engine.staged_chunks(&id.model).await?;
    let failed = Cell::new(false);
    let stage = |chunk| {
        let (failed, is_staged) = (&failed, staged.contains(&chunk));
        async move {
            if failed.get() {
                return Ok(false);
            }
            let result = stage_chunk(stager, id, manifest, chunk, is_staged).await;
            failed.set(failed.get() || result.is_err());
            result
        }
    };
    stream::iter(0..manifest.digests.len())
        .map(stage)
        .buffer_unordered(parallel_chunks)
        .fold(Ok(0), |added, result| async move {
            match (added, result) {
                (Ok(added), Ok(staged)) => Ok(added + usize::from(staged)),
                (Err(first), Err(e)) if may_be_carried_out(&first) || !may_be_carried_out(&e) => {
                    Err(first)
                }
                (_, Err(e)) | (Err(e), Ok(_)) => Err(e),
            }
        })
        .await
}

/// Stages a chunk unless it is staged with its digest; returns whether it staged it.
async fn stage_chunk(
    stager: &Stager,
    id: &VersionId,
    manifest: &Manifest,
    chunk: usize,
    is_staged: bool,
) -> Result<bool, PlatformError> {
    if is_staged {
        let max_bytes = manifest.max_chunk_bytes();
        let read = stager.engine.read_staged(&id.model, chunk, max_bytes);
        let buf = read.await?;
        if matches_digest(manifest, chunk, &buf) {
            return Ok(false);
        }
    }
    let Some(buf) = stager.chunk_cache.get(id, chunk) else {
        return Err(PlatformError::Status { status: 404 });
    };
    stager.engine.stage(&id.model, chunk, buf).await?;
    Ok(true)
}

/// Waits until the engine serves the version, has restarted, or does not process the order.
async fn wait_for_switch(stager: &Stager, id: &VersionId, started_at_ms: Option<u64>) {
    let mut last_busy = stager.now();
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let Some(report) = stager.report() else {
            if stager.now().saturating_sub(last_busy) > ORDER_TIMEOUT {
                return;
            }
            continue;
        };
        if Some(report.started_at_ms) != started_at_ms {
            return;
        }
        if stager.serving_version(&id.model) == Some(id.version) {
            log_step(stager, id, "serving", String::new());
            return;
        }
        if report.order_in_progress {
            last_busy = stager.now();
        }
        if stager.now().saturating_sub(last_busy) > ORDER_TIMEOUT {
            return;
        }
    }
}
