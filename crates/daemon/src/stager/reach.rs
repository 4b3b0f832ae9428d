//! Brings the engine to a version: chunks, staging, check, order.

use std::{rc::Rc, time::Duration};

use balsamjunction_platform::{LoadOrder, Manifest, OrderAnswer, PlatformError, TurnMode};
use balsamjunction_policy::Moment;
use log::debug;

use super::{
    fetch,
    holdings::{is_whole, VersionId},
    state::{Goal, Stager},
};
use crate::events::Event;

/// How often a stager without work looks for some.
const IDLE: Duration = Duration::from_millis(50);
/// Pause after a step failed.
const RETRY: Duration = Duration::from_millis(200);
/// Part of the time for a change of version after which engines that serve begin to change; chunks
/// take about that long to arrive.
const TURNS_FROM: f64 = 0.28;
/// Part of the time for a change of version by which the last engine has begun to change.
const TURNS_UNTIL: f64 = 0.86;
/// An engine that neither serves the version nor works on the order after this time gets it again.
const ORDER_PATIENCE: Duration = Duration::from_millis(1_500);

/// Brings the engine to whatever version is wanted, for as long as the process runs.
pub async fn work_loop(stager: Rc<Stager>) {
    let mut offered = None;
    loop {
        let Some(goal) = stager.goal() else {
            actix_rt::time::sleep(IDLE).await;
            continue;
        };
        let serving = stager.serving(&goal.id.model);
        if serving == Some(goal.id.version) {
            stager.turning.set(false);
            if offered.as_ref() != Some(&goal) {
                offer_staged(&stager, &goal).await;
                offered = Some(goal);
            }
            actix_rt::time::sleep(IDLE).await;
            continue;
        }
        if let Err(e) = reach(&stager, &goal).await {
            stager.turning.set(false);
            debug!("{:?} is not reached yet: {e}", goal.id);
            actix_rt::time::sleep(RETRY).await;
        }
    }
}

fn told(stager: &Stager, id: &VersionId, step: &'static str, detail: String) {
    stager.beliefs.events.emit(&Event::Weights {
        model: id.model.clone(),
        version: id.version,
        step,
        detail,
    });
}

/// Takes what is staged of a version that serves, so that other hosts can fetch it here.
async fn offer_staged(stager: &Rc<Stager>, goal: &Goal) {
    let Some(manifest) = fetch::find_manifest(stager, goal).await else {
        return;
    };
    match take_staged(stager, &goal.id, &manifest).await {
        Ok(taken) => told(stager, &goal.id, "offered", format!("{taken} chunks staged")),
        Err(e) => debug!("staged chunks were not read: {e}"),
    }
}

/// Reads staged chunks that are not held yet; gives how many were whole.
async fn take_staged(
    stager: &Stager,
    id: &VersionId,
    manifest: &Manifest,
) -> Result<usize, PlatformError> {
    let held = stager.holdings.map(id);
    let mut whole = 0;
    for chunk in stager.engine.staged(&id.model).await? {
        if chunk >= manifest.digests.len() || held.has(chunk) {
            continue;
        }
        let buf = stager.engine.read_staged(&id.model, chunk).await?;
        whole += usize::from(stager.holdings.put(id, chunk, buf));
    }
    Ok(whole)
}

async fn reach(stager: &Rc<Stager>, goal: &Goal) -> Result<(), PlatformError> {
    let id = &goal.id;
    let Some(manifest) = fetch::find_manifest(stager, goal).await else {
        return Ok(());
    };
    // An engine that restarted still has what was staged before.
    if stager.serving(&id.model).is_none() {
        take_staged(stager, id, &manifest).await?;
    }
    if !fetch::fetch_all(stager, goal, &manifest).await {
        return Ok(());
    }
    told(stager, id, "fetched", String::new());
    stage_all(stager, id, &manifest).await?;
    if stager.serving(&id.model).is_some() {
        let turn = own_turn(stager, id);
        while stager.now() < turn {
            if stager.goal().as_ref() != Some(goal) {
                return Ok(());
            }
            actix_rt::time::sleep(IDLE).await;
        }
    }
    // What was staged may have changed since; the engine takes what lies there now.
    let mended = stage_all(stager, id, &manifest).await?;
    if stager.goal().as_ref() != Some(goal) {
        return Ok(());
    }
    stager.turning.set(true);
    let order = LoadOrder {
        model: id.model.clone(),
        version: id.version,
        mode: TurnMode::BreakOff,
    };
    let answer = stager.engine.load(&order).await?;
    told(stager, id, "ordered", format!("{answer:?}, {mended} staged again"));
    if answer == OrderAnswer::Taken {
        await_turn(stager, goal).await;
    }
    stager.turning.set(false);
    Ok(())
}

/// When this engine changes: one after the other, so that most of them serve at any time.
fn own_turn(stager: &Stager, id: &VersionId) -> Moment {
    let now = stager.now();
    let since = stager.behind_since(&id.model).unwrap_or(now);
    let from = (since + stager.version_within.mul_f64(TURNS_FROM)).max(now);
    let until = (since + stager.version_within.mul_f64(TURNS_UNTIL)).max(from);
    let fellows = stager.fellows();
    let own = &stager.settings.host;
    let rank = fellows.iter().position(|m| m.host == *own).unwrap_or(0);
    let part = rank as f64 / fellows.len().max(1) as f64;
    from + (until - from).mul_f64(part)
}

/// Stages every chunk that does not lie there whole; gives how many those were.
async fn stage_all(
    stager: &Stager,
    id: &VersionId,
    manifest: &Manifest,
) -> Result<usize, PlatformError> {
    let staged = stager.engine.staged(&id.model).await?;
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

/// Waits until the engine serves the goal, is another one, or does not work on the order.
async fn await_turn(stager: &Stager, goal: &Goal) {
    let mut last_busy = stager.now();
    loop {
        actix_rt::time::sleep(IDLE).await;
        let Some(report) = stager.report() else {
            if stager.now().saturating_sub(last_busy) > ORDER_PATIENCE {
                return;
            }
            continue;
        };
        if report.born_ms != goal.born_ms {
            return;
        }
        if stager.serving(&goal.id.model) == Some(goal.id.version) {
            told(stager, &goal.id, "serving", String::new());
            return;
        }
        if report.ordering {
            last_busy = stager.now();
        }
        if stager.now().saturating_sub(last_busy) > ORDER_PATIENCE {
            return;
        }
    }
}
