//! Fetches the chunks of a version from other hosts and from the origin.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use awc::Client;
use balsamjunction_platform::{Manifest, PlatformError};
use balsamjunction_policy::{
    fetch::{
        choose_manifest_source, Distribution, FetchAction, FetchFailure, FetchPlan, Participants,
        Source,
    },
    version_queue::VersionQueue,
};
use balsamjunction_protocol::{header, paths, ChunkMap, ChunkMapResponse};
use bytes::Bytes;
use log::debug;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::{format_smolstr, SmolStr};
use tokio::sync::mpsc;

use super::{holdings::VersionId, http::HELD_HEADER, state::Stager};

/// How often the plan is asked for more to do though nothing arrived.
const TURN: Duration = Duration::from_millis(20);
/// A peer that does not say in this time what it holds is passed over.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// A peer that has not sent a chunk after this time is stalled. A chunk takes 35 ms on an idle link
/// of 7.6 Mbit/s, and up to three share a sender's link.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest answer of a peer.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Chunks that do not have their hash, in a fetch that stalled, after which its manifest is read
/// again.
const SUSPICIOUS_CHUNKS: u64 = 4;
/// Chunks that are named in the line about a stalled fetch.
const TOLD_CHUNKS: usize = 4;
/// A fetch to which nothing was added for this long lacks chunks that nobody sends now.
const STALL: Duration = Duration::from_millis(1_500);

/// A peer answers with this status if it keeps enough others waiting.
const BUSY: u16 = 503;

enum Outcome {
    Chunk {
        chunk: usize,
        source: Source,
        buf: Result<Bytes, PlatformError>,
        held: Option<ChunkMapResponse>,
    },
    Probed {
        host: SmolStr,
        answer: Option<ChunkMapResponse>,
    },
}

/// Finds the manifest of a version, and holds it; `asked` counts earlier questions.
pub async fn find_manifest(stager: &Stager, id: &VersionId, asked: u32) -> Option<Manifest> {
    if let Some(manifest) = stager.holdings.manifest(id) {
        return Some(manifest);
    }
    match ask_for_manifest(stager, id, asked).await {
        Ok(manifest) if manifest.version == id.version && manifest.model == id.model => {
            stager.holdings.open(id, manifest);
        }
        Ok(manifest) => debug!("manifest of version {} came instead", manifest.version),
        Err(e) => debug!("manifest of {id:?} did not come: {e}"),
    }
    stager.holdings.manifest(id)
}

async fn ask_for_manifest(
    stager: &Stager,
    id: &VersionId,
    asked: u32,
) -> Result<Manifest, PlatformError> {
    let settings = &stager.settings;
    let name = format_smolstr!("{}@{}", id.model, id.version);
    let fellows = stager.fellows();
    let luck = rand::random();
    let host = &settings.host;
    let source = choose_manifest_source(&name, host, &settings.data_centre, &fellows, asked, luck);
    match (source, stager.origin()) {
        (Source::Peer { address, .. }, _) => {
            let path = paths::MANIFEST;
            let url = format!("http://{address}{path}/{}/{}", id.model, id.version);
            let (buf, _) = get(&stager.client, url, PROBE_TIMEOUT).await?;
            Ok(serde_json::from_slice(&buf)?)
        }
        (Source::Origin, Some(origin)) => {
            // Nothing else vouches for a manifest, and one with a wrong hash would spread to every
            // host and never be met, so it must come twice alike.
            let first = origin.manifest(&id.model, id.version).await?;
            let second = origin.manifest(&id.model, id.version).await?;
            match first == second {
                true => Ok(second),
                false => Err(PlatformError::UnknownValue {
                    what: "manifest that differs from read to read",
                    found: name,
                }),
            }
        }
        (Source::Origin, None) => Err(PlatformError::Status { status: 404 }),
    }
}

/// How a fetch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchEnd {
    /// Every chunk is held.
    Complete,
    /// Nobody sends what is missing: some of those chunks with their owners.
    Stalled(String),
    /// A newer version is to be fetched first.
    Overtaken,
}

/// Fetches until every chunk is held, nothing comes any more, or a newer version goes first.
pub async fn fetch_all(
    stager: &Rc<Stager>,
    queue: &VersionQueue<VersionId>,
    id: &VersionId,
    manifest: &Manifest,
) -> FetchEnd {
    let chunks = manifest.digests.len();
    let overtaken = |held| queue.should_yield(stager.now(), id, &stager.missing(), held, chunks);
    carry_out(stager, id, manifest, Distribution::Owners, overtaken).await
}

/// Draws the chunks that this host owes the others, until it fetches the version itself.
pub async fn fetch_own(stager: &Rc<Stager>, id: &VersionId, manifest: &Manifest) -> FetchEnd {
    let overtaken = |_| stager.fetches(id) || stager.missing().first() != Some(id);
    carry_out(stager, id, manifest, Distribution::OwnChunks, overtaken).await
}

/// Does what a plan says until it is done, nothing comes any more, or `overtaken` says so of the number
/// of chunks that are held.
async fn carry_out(
    stager: &Rc<Stager>,
    id: &VersionId,
    manifest: &Manifest,
    distribution: Distribution,
    overtaken: impl Fn(usize) -> bool,
) -> FetchEnd {
    let chunks = manifest.digests.len();
    let mut plan = FetchPlan::new(
        stager.now(),
        format_smolstr!("{}@{}", id.model, id.version),
        chunks,
        distribution,
        participants(stager),
        Pcg64Mcg::from_rng(&mut rand::rng()),
    )
    .with_origin_rate(manifest.chunk_bytes as usize, stager.origin_kbit_s());
    let held = stager.holdings.map(id);
    for chunk in (0..chunks).filter(|chunk| held.has(*chunk)) {
        plan.record_arrival(stager.now(), chunk, &Source::Origin);
    }
    let end = follow(stager, id, &mut plan, overtaken).await;
    stager.holdings.set_drawing(id, ChunkMap::empty(chunks));
    end
}

async fn follow(
    stager: &Rc<Stager>,
    id: &VersionId,
    plan: &mut FetchPlan,
    overtaken: impl Fn(usize) -> bool,
) -> FetchEnd {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut last_missing = plan.missing_count();
    let mut last_progress = stager.now();
    let corrupt = stager.metrics.corrupt_chunks.get();
    while plan.outstanding_count() > 0 {
        if overtaken(plan.stored_count()) {
            return FetchEnd::Overtaken;
        }
        if plan.missing_count() < last_missing {
            last_missing = plan.missing_count();
            last_progress = stager.now();
        }
        if stager.now().saturating_sub(last_progress) > STALL {
            if stager.metrics.corrupt_chunks.get() >= corrupt + SUSPICIOUS_CHUNKS {
                // More likely the manifest is wrong than every sender.
                stager.holdings.close(id);
            }
            let lacking = plan.missing_with_owners().take(TOLD_CHUNKS);
            let lacking: Vec<String> = lacking.map(|(n, host)| format!("{n} of {host}")).collect();
            return FetchEnd::Stalled(lacking.join(", "));
        }
        plan.set_participants(participants(stager));
        stager.holdings.set_drawing(id, plan.missing_owned());
        for action in plan.next_actions(stager.now()) {
            actix_rt::spawn(act(stager.clone(), id.clone(), action, tx.clone()));
        }
        let first = actix_rt::time::timeout(TURN, rx.recv()).await;
        let mut outcome = first.ok().flatten();
        while let Some(arrived) = outcome {
            take(stager, id, plan, arrived);
            outcome = rx.try_recv().ok();
        }
    }
    FetchEnd::Complete
}

fn participants(stager: &Stager) -> Participants {
    Participants {
        host: stager.settings.host.clone(),
        data_centre: stager.settings.data_centre.clone(),
        members: stager.fellows(),
    }
}

fn take(stager: &Stager, id: &VersionId, plan: &mut FetchPlan, outcome: Outcome) {
    let now = stager.now();
    match outcome {
        Outcome::Probed { host, answer } => plan.record_probe(now, &host, answer),
        Outcome::Chunk {
            chunk,
            source,
            buf,
            held,
        } => {
            if let (Some(held), Source::Peer { host, .. }) = (held, &source) {
                plan.record_peer_state(host, held);
            }
            match buf {
                Ok(buf) => {
                    let bytes = buf.len() as u64;
                    if stager.holdings.put(id, chunk, buf) {
                        count(stager, &source, bytes);
                        plan.record_arrival(now, chunk, &source);
                    } else {
                        stager.metrics.corrupt_chunks.inc();
                        plan.record_failure(now, chunk, &source, FetchFailure::Corrupt);
                    }
                }
                Err(e) => {
                    debug!("chunk {chunk} of {id:?} did not come: {e}");
                    let failure = match e {
                        PlatformError::Status { status: BUSY } => FetchFailure::Busy,
                        _ => FetchFailure::Unavailable,
                    };
                    plan.record_failure(now, chunk, &source, failure);
                }
            }
        }
    }
}

fn count(stager: &Stager, source: &Source, bytes: u64) {
    match source {
        Source::Origin => stager.metrics.origin_bytes.inc_by(bytes),
        Source::Peer { .. } => stager.metrics.peer_bytes.inc_by(bytes),
    };
}

async fn act(
    stager: Rc<Stager>,
    id: VersionId,
    action: FetchAction,
    tx: mpsc::UnboundedSender<Outcome>,
) {
    let outcome = match action {
        FetchAction::Probe { host, address } => {
            let path = paths::MODEL_CHUNK_MAP;
            let url = format!("http://{address}{path}/{}/{}", id.model, id.version);
            let answer = get(&stager.client, url, PROBE_TIMEOUT).await.ok();
            let answer = answer.and_then(|(buf, _)| header::from_bytes(&buf).ok());
            Outcome::Probed { host, answer }
        }
        FetchAction::Fetch { chunk, source } => {
            let expected = stager.holdings.chunk_bytes(&id);
            let wait = stager.pacer.borrow_mut().reserve(stager.now(), expected);
            if !wait.is_zero() {
                actix_rt::time::sleep(wait).await;
            }
            let began = stager.now();
            let fetched = fetch(&stager, &id, chunk, &source).await;
            let took = stager.now().saturating_sub(began).as_millis();
            debug!("chunk {chunk} of {id:?} took {took} ms from {source:?}");
            let (buf, held) = match fetched {
                Ok((buf, held)) => (Ok(buf), held),
                Err(e) => (Err(e), None),
            };
            Outcome::Chunk {
                chunk,
                source,
                buf,
                held,
            }
        }
    };
    // The plan may have been given up meanwhile.
    if tx.send(outcome).is_err() {
        debug!("a chunk came after its version was given up");
    }
}

async fn fetch(
    stager: &Stager,
    id: &VersionId,
    chunk: usize,
    source: &Source,
) -> Result<(Bytes, Option<ChunkMapResponse>), PlatformError> {
    match (source, stager.origin()) {
        (Source::Peer { address, .. }, _) => {
            let url = chunk_url(*address, id, chunk);
            get(&stager.client, url, CHUNK_TIMEOUT).await
        }
        (Source::Origin, Some(origin)) => {
            Ok((origin.chunk(&id.model, id.version, chunk).await?, None))
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
    let held = response.headers().get(HELD_HEADER);
    let held = held.and_then(|value| header::from_header(value.to_str().ok()?).ok());
    Ok((response.body().limit(MAX_ANSWER_BYTES).await?, held))
}
