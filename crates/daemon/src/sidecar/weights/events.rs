//! What the weights actor hears, and what it makes of it.

use actix::{Handler, Message};
use balsamjunction_policy::{
    fetch::{Distribution, FetchFailure, FetchPlan, Source},
    upgrade::UpgradeEvent,
};
use balsamjunction_protocol::{
    platform::{EngineState, Manifest},
    ChunkMapResponse,
};
use log::{info, warn};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;

use super::{link::Arrival, Weights};

/// Declaration or membership changed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct FleetChanged;

/// Something that the turnover must know.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Event(pub UpgradeEvent);

/// What the engine said of itself; nothing if it did not answer.
#[derive(Message)]
#[rtype(result = "()")]
pub struct EngineSeen(pub Option<EngineState>);

/// The manifest of the wanted version.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ManifestKnown(pub Manifest);

/// What a peer holds; nothing if it did not answer.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Probed {
    pub host: SmolStr,
    pub answer: Option<ChunkMapResponse>,
}

/// A chunk, or the news that it did not come.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Fetched {
    pub version: SmolStr,
    pub chunk: usize,
    pub source: Source,
    pub arrival: Option<Arrival>,
}

impl Handler<FleetChanged> for Weights {
    type Result = ();

    fn handle(&mut self, _: FleetChanged, ctx: &mut Self::Context) {
        self.link.pacing.follow();
        let Some(post) = self.engine_post() else {
            return;
        };
        let participants = self.participants(&post);
        if let Some(plan) = &mut self.plan {
            plan.set_participants(participants);
        }
        let pool = post.fleet.pools.get(&post.pool);
        let wanted = pool.and_then(|pool| pool.version.clone());
        // Published first: the search for a manifest ends when its version is not wanted.
        self.link.context.versions().target = wanted.clone();
        self.handle_event(UpgradeEvent::TargetChanged(wanted), ctx);
    }
}

impl Handler<Event> for Weights {
    type Result = ();

    fn handle(&mut self, event: Event, ctx: &mut Self::Context) {
        if matches!(event.0, UpgradeEvent::MaySwitch(_)) {
            self.asking_turn = false;
        }
        self.handle_event(event.0, ctx);
    }
}

impl Handler<EngineSeen> for Weights {
    type Result = ();

    fn handle(&mut self, seen: EngineSeen, ctx: &mut Self::Context) {
        self.polling = false;
        match seen.0 {
            Some(state) => {
                if state.boot_id != self.boot {
                    // A restarted engine is cold, whatever it was before.
                    self.boot = state.boot_id;
                    self.link.context.gate.reset_to_cold();
                }
                let event = UpgradeEvent::EngineReported {
                    serving: state.serving,
                    loaded: state.loaded,
                };
                self.handle_event(event, ctx);
            }
            None => self.handle_event(UpgradeEvent::EngineUnreachable, ctx),
        }
    }
}

impl Handler<ManifestKnown> for Weights {
    type Result = ();

    fn handle(&mut self, known: ManifestKnown, ctx: &mut Self::Context) {
        let manifest = known.0;
        let version = manifest.version.clone();
        let Some(post) = self.engine_post() else {
            return;
        };
        if !self.link.wanted(&version) {
            return;
        }
        let chunks = manifest.chunks.len();
        self.link.context.chunks.open(manifest);
        self.link.context.versions().chunks_total = chunks as u32;
        let held = self.link.context.chunks.map(&version);
        let distribution = match self.link.context.settings.from_peers {
            true => Distribution::Owners,
            false => Distribution::Direct,
        };
        let now = self.link.context.clock.now();
        let rng = Pcg64Mcg::from_rng(&mut rand::rng());
        let participants = self.participants(&post);
        let mut plan = FetchPlan::new(
            now,
            version.clone(),
            chunks,
            distribution,
            participants,
            rng,
        );
        for chunk in (0..chunks).filter(|chunk| held.has(*chunk)) {
            plan.record_arrival(now, chunk, &Source::Origin);
        }
        let complete = plan.missing_count() == 0;
        self.plan = Some(plan);
        if complete {
            self.handle_event(UpgradeEvent::ChunksComplete(version), ctx);
        }
    }
}

impl Handler<Probed> for Weights {
    type Result = ();

    fn handle(&mut self, probed: Probed, _: &mut Self::Context) {
        let now = self.link.context.clock.now();
        if let Some(plan) = &mut self.plan {
            plan.record_probe(now, &probed.host, probed.answer);
        }
    }
}

impl Handler<Fetched> for Weights {
    type Result = ();

    fn handle(&mut self, fetched: Fetched, ctx: &mut Self::Context) {
        let Some(plan) = &mut self.plan else {
            return;
        };
        if *plan.version() != fetched.version {
            return;
        }
        let context = &self.link.context;
        let now = context.clock.now();
        let chunk = fetched.chunk;
        match fetched.arrival {
            Some(Arrival { buf, sender_holds }) => {
                if let (Source::Peer { host, .. }, Some(held)) = (&fetched.source, sender_holds) {
                    plan.record_peer_state(host, held);
                }
                let bytes = buf.len() as u64;
                context.count_bytes(&fetched.source, bytes);
                if context.chunks.put(&fetched.version, chunk, buf) {
                    plan.record_arrival(now, chunk, &fetched.source);
                } else {
                    warn!(
                        "chunk {chunk} of {:?} does not have its hash",
                        fetched.source
                    );
                    context.state.metrics.corrupt_chunks.inc();
                    plan.record_failure(now, chunk, &fetched.source, FetchFailure::Corrupt);
                }
            }
            None => plan.record_failure(now, chunk, &fetched.source, FetchFailure::Unavailable),
        }
        if plan.missing_count() == 0 {
            let version = fetched.version;
            info!("version {version} is complete");
            self.handle_event(UpgradeEvent::ChunksComplete(version), ctx);
        }
        self.fetch_turn(ctx);
    }
}
