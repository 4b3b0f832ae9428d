//! Messages of the weights actor and their handlers.

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

use super::{weights_client::ReceivedChunk, WeightsActor};

/// The declaration or the membership list has changed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct FleetChanged;

/// Passes an event to the upgrade.
#[derive(Message)]
#[rtype(result = "()")]
pub struct HandleUpgradeEvent(pub UpgradeEvent);

/// The state that the engine reported; `None` if it did not respond.
#[derive(Message)]
#[rtype(result = "()")]
pub struct EnginePolled(pub Option<EngineState>);

/// The manifest of the target version was received.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ManifestReceived(pub Manifest);

/// The chunks that a peer stores; no response if the query failed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ProbeCompleted {
    pub host: SmolStr,
    pub response: Option<ChunkMapResponse>,
}

/// A fetch of a chunk has ended; nothing was received if it failed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct FetchCompleted {
    pub version: SmolStr,
    pub chunk: usize,
    pub source: Source,
    pub received: Option<ReceivedChunk>,
}

impl Handler<FleetChanged> for WeightsActor {
    type Result = ();

    fn handle(&mut self, _: FleetChanged, ctx: &mut Self::Context) {
        self.client.pacing.apply_fleet_state();
        let Some(assignment) = self.engine_assignment() else {
            return;
        };
        let participants = self.participants(&assignment);
        if let Some(plan) = &mut self.plan {
            plan.set_participants(participants);
        }
        let pool = assignment.fleet.pools.get(&assignment.pool);
        let target = pool.and_then(|pool| pool.version.clone());
        // Published first, since the search for a manifest ends once its version is not the target version.
        self.client.context.version_status().target = target.clone();
        self.handle_event(UpgradeEvent::TargetChanged(target), ctx);
    }
}

impl Handler<HandleUpgradeEvent> for WeightsActor {
    type Result = ();

    fn handle(&mut self, event: HandleUpgradeEvent, ctx: &mut Self::Context) {
        if matches!(event.0, UpgradeEvent::MaySwitch(_)) {
            self.querying_predecessor = false;
        }
        self.handle_event(event.0, ctx);
    }
}

impl Handler<EnginePolled> for WeightsActor {
    type Result = ();

    fn handle(&mut self, polled: EnginePolled, ctx: &mut Self::Context) {
        self.polling_engine = false;
        match polled.0 {
            Some(state) => {
                if state.boot_id != self.engine_boot_id {
                    // A restarted engine is cold, even if it had warmed up before.
                    self.engine_boot_id = state.boot_id;
                    self.client.context.admission.reset_to_cold();
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

impl Handler<ManifestReceived> for WeightsActor {
    type Result = ();

    fn handle(&mut self, received: ManifestReceived, ctx: &mut Self::Context) {
        let manifest = received.0;
        let version = manifest.version.clone();
        let Some(assignment) = self.engine_assignment() else {
            return;
        };
        if !self.client.is_target(&version) {
            return;
        }
        let chunks = manifest.chunks.len();
        self.client.context.chunk_store.add_version(manifest);
        self.client.context.version_status().chunks_total = chunks as u32;
        let stored = self.client.context.chunk_store.chunk_map(&version);
        let distribution = match self.client.context.settings.from_peers {
            true => Distribution::Owners,
            false => Distribution::Direct,
        };
        let now = self.client.context.clock.now();
        let rng = Pcg64Mcg::from_rng(&mut rand::rng());
        let participants = self.participants(&assignment);
        let mut plan = FetchPlan::new(
            now,
            version.clone(),
            chunks,
            distribution,
            participants,
            rng,
        );
        for chunk in (0..chunks).filter(|chunk| stored.has(*chunk)) {
            plan.record_stored(chunk);
        }
        let complete = plan.missing_count() == 0;
        self.plan = Some(plan);
        if complete {
            self.handle_event(UpgradeEvent::ChunksComplete(version), ctx);
        }
    }
}

impl Handler<ProbeCompleted> for WeightsActor {
    type Result = ();

    fn handle(&mut self, probed: ProbeCompleted, _: &mut Self::Context) {
        let now = self.client.context.clock.now();
        if let Some(plan) = &mut self.plan {
            plan.record_probe(now, &probed.host, probed.response);
        }
    }
}

impl Handler<FetchCompleted> for WeightsActor {
    type Result = ();

    fn handle(&mut self, fetched: FetchCompleted, ctx: &mut Self::Context) {
        let Some(plan) = &mut self.plan else {
            return;
        };
        if *plan.version() != fetched.version {
            return;
        }
        let context = &self.client.context;
        let now = context.clock.now();
        let chunk = fetched.chunk;
        match fetched.received {
            Some(ReceivedChunk { buf, sender_chunks }) => {
                if let (Source::Peer { host, .. }, Some(chunks)) = (&fetched.source, sender_chunks)
                {
                    plan.record_peer_state(now, host, chunks);
                }
                let bytes = buf.len() as u64;
                context.record_fetched_bytes(&fetched.source, bytes);
                if context
                    .chunk_store
                    .insert_verified(&fetched.version, chunk, buf)
                {
                    plan.record_arrival(now, chunk, &fetched.source);
                } else {
                    warn!(
                        "chunk {chunk} from {:?} does not match its hash",
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
        self.fetch_tick(ctx);
    }
}
