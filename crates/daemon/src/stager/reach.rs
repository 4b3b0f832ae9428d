//! Brings the engine to a version: chunks, staging, check, order.
//!
//! Chunks are fetched while the engine waits for its turn, so that a version that overtakes another
//! one loses no time. See docs/WEIGHTS.md, "Stagers".

use std::{collections::HashMap, rc::Rc, time::Duration};

use balsamjunction_platform::{LoadOrder, Manifest, OrderOutcome, PlatformError, SwitchMode};
use balsamjunction_policy::{rendezvous, version_queue::VersionQueue, Moment};
use log::debug;

use super::{
    fetch::{self, FetchEnd},
    holdings::{is_whole, VersionId},
    state::Stager,
};
use crate::events::Event;

/// How often a loop without work looks for some.
const IDLE: Duration = Duration::from_millis(50);
/// Pause after a step failed.
const RETRY: Duration = Duration::from_millis(200);
/// Pause between questions for a manifest. It passes through two or three hosts, and nothing can be
/// fetched before it is there.
const MANIFEST_RETRY: Duration = Duration::from_millis(15);
/// Part of the time for a change of version after which engines that serve begin to change; chunks
/// take about that long to arrive.
const TURNS_FROM: f64 = 0.28;
/// Part of the time for a change of version by which the last engine has begun to change.
const TURNS_UNTIL: f64 = 0.86;
/// An engine that neither serves the version nor works on the order after this time gets it again.
const ORDER_PATIENCE: Duration = Duration::from_millis(1_500);

/// Fetches wanted versions for as long as the process runs, the newest first.
pub async fn fetch_loop(stager: Rc<Stager>) {
    let mut queue = VersionQueue::default();
    let mut asked: HashMap<VersionId, u32> = HashMap::new();
    let mut looked = None;
    loop {
        let missing = stager.missing();
        let Some(id) = queue.next_version(stager.now(), &missing).cloned() else {
            actix_rt::time::sleep(IDLE).await;
            continue;
        };
        let questions = asked.entry(id.clone()).or_default();
        *questions += 1;
        let Some(manifest) = fetch::find_manifest(&stager, &id, *questions - 1).await else {
            queue.record_missing_manifest(stager.now(), &id);
            actix_rt::time::sleep(MANIFEST_RETRY).await;
            continue;
        };
        // The engine may have this version staged already, since before this process started.
        let born = stager.engine_born();
        if looked.as_ref() != Some(&(id.clone(), born)) {
            if let Err(e) = take_staged(&stager, &id, &manifest).await {
                debug!("staged chunks were not read: {e}");
                actix_rt::time::sleep(IDLE).await;
                continue;
            }
            looked = Some((id.clone(), born));
        }
        *stager.fetching.borrow_mut() = Some(id.clone());
        let end = fetch::fetch_all(&stager, &queue, &id, &manifest).await;
        *stager.fetching.borrow_mut() = None;
        match end {
            FetchEnd::Complete => told(&stager, &id, "fetched", String::new()),
            FetchEnd::Overtaken => told(&stager, &id, "overtaken", String::new()),
            FetchEnd::Stalled(lacking) => {
                told(&stager, &id, "stalled", lacking);
                queue.mark_stalled(stager.now(), &id);
            }
        }
        actix_rt::time::sleep(IDLE).await;
    }
}

/// Draws the chunks of the newest version that the others expect of this host while it is still at work
/// on an older one.
///
/// The origin may be gone by the time that the older version is finished.
pub async fn own_chunks_loop(stager: Rc<Stager>) {
    let mut done = None;
    let mut asked = 0;
    loop {
        actix_rt::time::sleep(IDLE).await;
        let Some(id) = stager.missing().first().cloned() else {
            continue;
        };
        let elsewhere = stager.fetching.borrow().is_some() && !stager.fetches(&id);
        if done.as_ref() == Some(&id) || !elsewhere {
            continue;
        }
        let Some(manifest) = fetch::find_manifest(&stager, &id, asked).await else {
            asked += 1;
            continue;
        };
        if fetch::fetch_own(&stager, &id, &manifest).await == FetchEnd::Complete {
            told(&stager, &id, "own-chunks", String::new());
            done = Some(id);
            asked = 0;
        }
    }
}

/// Brings the engine to the newest version that is held whole, for as long as the process runs.
pub async fn turn_loop(stager: Rc<Stager>) {
    loop {
        actix_rt::time::sleep(IDLE).await;
        let Some(id) = next_version(&stager) else {
            continue;
        };
        if let Err(e) = turn(&stager, &id).await {
            debug!("{id:?} is not reached yet: {e}");
            actix_rt::time::sleep(RETRY).await;
        }
        stager.turning.set(false);
    }
}

/// The newest version that is held whole, if the engine serves an older one or none.
fn next_version(stager: &Stager) -> Option<VersionId> {
    stager.engine_born()?;
    let mut wanted = stager.wanted().into_iter();
    let newest = wanted.find(|id| stager.holdings.complete(id))?;
    let serving = stager.serving(&newest.model);
    serving
        .is_none_or(|serving| serving < newest.version)
        .then_some(newest)
}

fn told(stager: &Stager, id: &VersionId, step: &'static str, detail: String) {
    stager.cluster_view.events.emit(&Event::Weights {
        model: id.model.clone(),
        version: id.version,
        step,
        detail,
    });
}

/// Takes what is staged of a version, so that it need not be fetched and others can have it.
async fn take_staged(
    stager: &Stager,
    id: &VersionId,
    manifest: &Manifest,
) -> Result<(), PlatformError> {
    let held = stager.holdings.map(id);
    let mut whole = 0;
    for chunk in stager.engine.staged_chunks(&id.model).await? {
        if chunk >= manifest.digests.len() || held.has(chunk) {
            continue;
        }
        let buf = stager.engine.read_staged(&id.model, chunk).await?;
        whole += usize::from(stager.holdings.put(id, chunk, buf));
    }
    if whole > 0 {
        told(stager, id, "taken", format!("{whole} chunks were staged"));
    }
    Ok(())
}

/// Stages a version, waits for this engine's turn, and orders the engine to take it.
async fn turn(stager: &Rc<Stager>, id: &VersionId) -> Result<(), PlatformError> {
    let Some(manifest) = stager.holdings.manifest(id) else {
        return Ok(());
    };
    stage_all(stager, id, &manifest).await?;
    let from = stager.now();
    while stager.serving(&id.model).is_some() && stager.now() < own_turn(stager, id, from) {
        if next_version(stager).as_ref() != Some(id) {
            return Ok(());
        }
        actix_rt::time::sleep(IDLE).await;
    }
    // What was staged may have changed since; the engine takes what lies there now.
    let mended = stage_all(stager, id, &manifest).await?;
    let born = stager.engine_born();
    if next_version(stager).as_ref() != Some(id) {
        return Ok(());
    }
    stager.announce_turn().await;
    let order = LoadOrder {
        model: id.model.clone(),
        version: id.version,
        mode: SwitchMode::Abort,
    };
    let answer = stager.engine.load(&order).await?;
    told(
        stager,
        id,
        "ordered",
        format!("{answer:?}, {mended} staged again"),
    );
    if answer == OrderOutcome::Accepted {
        await_turn(stager, id, born).await;
    }
    Ok(())
}

/// When this engine changes: one after the other, so that most of them serve at any time.
///
/// `ready` is when the version was staged.
fn own_turn(stager: &Stager, id: &VersionId, ready: Moment) -> Moment {
    let since = stager.behind_since(&id.model).unwrap_or(ready);
    let from = (since + stager.version_within.mul_f64(TURNS_FROM)).max(ready);
    let until = (since + stager.version_within.mul_f64(TURNS_UNTIL)).max(from);
    // Hosts of one data centre stand apart in this order, so that each keeps most of its engines.
    let fellows = stager.fellows();
    let names = fellows.iter().map(|m| m.host.as_str());
    let order = rendezvous::rank(&id.version.to_le_bytes(), names);
    let own = stager.settings.host.as_str();
    let rank = order.iter().position(|host| *host == own).unwrap_or(0);
    let part = rank as f64 / order.len().max(1) as f64;
    from + (until - from).mul_f64(part)
}

/// Stages every chunk that does not lie there whole; gives how many those were.
async fn stage_all(
    stager: &Stager,
    id: &VersionId,
    manifest: &Manifest,
) -> Result<usize, PlatformError> {
    let staged = stager.engine.staged_chunks(&id.model).await?;
    let mut put = 0;
    for chunk in 0..manifest.digests.len() {
        if staged.contains(&chunk) {
            let lies = stager.engine.read_staged(&id.model, chunk).await?;
            if is_whole(manifest, chunk, &lies) {
                continue;
            }
        }
        let Some(buf) = stager.holdings.get(id, chunk) else {
            return Err(PlatformError::Status { status: 404 });
        };
        stager.engine.stage(&id.model, chunk, buf).await?;
        put += 1;
    }
    Ok(put)
}

/// Waits until the engine serves the version, is another one, or does not work on the order.
async fn await_turn(stager: &Stager, id: &VersionId, born: Option<u64>) {
    let mut last_busy = stager.now();
    loop {
        actix_rt::time::sleep(IDLE).await;
        let Some(report) = stager.report() else {
            if stager.now().saturating_sub(last_busy) > ORDER_PATIENCE {
                return;
            }
            continue;
        };
        if Some(report.started_at_ms) != born {
            return;
        }
        if stager.serving(&id.model) == Some(id.version) {
            told(stager, id, "serving", String::new());
            return;
        }
        if report.order_in_progress {
            last_busy = stager.now();
        }
        if stager.now().saturating_sub(last_busy) > ORDER_PATIENCE {
            return;
        }
    }
}
