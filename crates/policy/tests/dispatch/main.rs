//! Where requests go, which wait and which are refused, by pattern of load.

mod cold_upstreams;
mod failing_upstreams;
mod leaving_and_backoff;
mod overload;
mod steady_load;
mod subsets;
mod versions;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use balsamjunction_directory::{
    Change, Declaration, Directory, EngineModel, Fact, HeldModel, Proof, Replica, ServedModel,
    Service, Subject, UpstreamRecord, UpstreamState,
};
use balsamjunction_policy::{
    dispatch::{
        AttemptOutcome, DispatchDecision, DispatchSettings, Dispatcher, Entries, RefusalReason,
        RequestRequirements, SelectedUpstream, UpstreamKey,
    },
    Moment,
};
use balsamjunction_protocol::mesh::EngineStatus;
use smol_str::SmolStr;

const MODEL: &str = "m1";
const OLD_VERSION_FOR: Moment = Moment::from_secs(7);
const BEGIN_WITHIN: Moment = Moment::from_millis(7_600);
const BEGIN_WITHIN_AT_START: Moment = Moment::from_millis(2_400);

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn model() -> EngineModel {
    EngineModel {
        slots: 16,
        step_ms: 9.27,
        step_ms_per_request: 0.0232,
        step_ms_per_context_k: 0.0322,
        read_tokens_per_ms: 20.7,
        steps_per_pass: 5,
        usual_prompt_tokens: 979.0,
        usual_answer_tokens: 92.0,
        layers: 16,
        models: vec![ServedModel {
            name: MODEL.into(),
            warm_ms: 300,
        }],
    }
}

/// A platform whose changes a test makes one by one.
struct World {
    replica: Replica,
    directory: Directory,
    dispatcher: Dispatcher,
    revision: u64,
}

impl World {
    /// Model engines and plain services in two data centres of two regions, seen from the first.
    fn new() -> Self {
        Self::started_at(Moment::ZERO)
    }

    /// The same, seen by a process that started at `started`.
    fn started_at(started: Moment) -> Self {
        let regions = [("addis-a", "addis"), ("mekelle-a", "mekelle")];
        let regions = regions.map(|(dc, region)| (SmolStr::new(dc), SmolStr::new(region)));
        let settings = DispatchSettings {
            data_centre: "addis-a".into(),
            regions: HashMap::from(regions),
            old_version_send_window: OLD_VERSION_FOR,
            old_version_start_window: BEGIN_WITHIN,
            started,
            startup_start_window: BEGIN_WITHIN_AT_START,
        };
        let mut world = Self {
            replica: Replica::default(),
            directory: Directory::default(),
            dispatcher: Dispatcher::new(settings),
            revision: 0,
        };
        let engines = Service {
            name: "deck-model".into(),
            max_connections: 294,
            cold_start_ms: 3_000,
            cold_per_s: 28.0,
            engine: Some(model()),
            origin: None,
        };
        let plain = Service {
            name: "order-desk".into(),
            max_connections: 96,
            ..Service::default()
        };
        let declaration = Declaration {
            version: 1,
            services: vec![engines, plain],
            ..Declaration::default()
        };
        world.change(
            Moment::ZERO,
            Subject::Declaration,
            Some(Fact::Declaration(Arc::new(declaration))),
        );
        world
    }

    fn change(&mut self, now: Moment, subject: Subject, fact: Option<Fact>) {
        self.revision += 1;
        let change = Change {
            subject,
            revision: self.revision,
            fact,
            known_ms: 0,
        };
        let proof = Proof {
            at: self.revision,
            asked: now,
        };
        if self.revision > 1 {
            // As at an entry that reads for all, the facts were proved right before they changed.
            self.replica.prove(Proof {
                at: self.revision - 1,
                asked: now,
            });
        }
        self.replica.apply(now, vec![change], proof);
        self.configure(&[], 1);
    }

    /// `entries` are at work in the data centre, this one included.
    fn configure(&mut self, engines: &[EngineStatus], entries: usize) {
        self.configure_among(engines, entries_among(0, entries));
    }

    fn configure_among(&mut self, engines: &[EngineStatus], entries: Entries) {
        self.directory = Directory::of(&self.replica, &self.directory);
        self.dispatcher.configure(&self.directory, engines, entries);
    }

    fn put(&mut self, now: Moment, record: UpstreamRecord) {
        self.change(
            now,
            Subject::Upstream(record.id.clone()),
            Some(Fact::Upstream(record)),
        );
    }

    fn offer(&mut self, now: Moment, demand: RequestRequirements) -> DispatchDecision {
        self.dispatcher.submit(now, demand)
    }

    /// The id of the upstream that a request is sent to; it stays there.
    fn sent_to(&mut self, now: Moment, demand: RequestRequirements) -> Option<SmolStr> {
        let chosen = self.sent(now, demand)?;
        Some(self.id(chosen.upstream))
    }

    /// Where a request is sent; one that would have to wait is withdrawn.
    fn sent(&mut self, now: Moment, demand: RequestRequirements) -> Option<SelectedUpstream> {
        match self.offer(now, demand) {
            DispatchDecision::Send(chosen) => Some(chosen),
            DispatchDecision::Wait(key) => {
                self.dispatcher.cancel_wait(key);
                None
            }
            DispatchDecision::Refuse(_) => None,
        }
    }

    fn id(&self, key: UpstreamKey) -> SmolStr {
        self.dispatcher
            .view(key)
            .map(|view| view.record.id)
            .unwrap_or_default()
    }
}

/// What the entry with number `own` knows that is one of `count`.
fn entries_among(own: usize, count: usize) -> Entries {
    let name = |n: usize| SmolStr::new(format!("entry-{n:03}"));
    let all: Vec<SmolStr> = (0..count).map(name).collect();
    Entries {
        own: name(own),
        local: all.clone(),
        all,
    }
}

fn engine(id: &str, data_centre: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        service: "deck-model".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: data_centre.into(),
        slots: 16,
        state: UpstreamState::Ready,
        cold_remaining_ms: 0,
        born_ms: 1,
        models: Some(vec![HeldModel {
            name: MODEL.into(),
            version: 1,
        }]),
    }
}

fn plain(id: &str) -> UpstreamRecord {
    UpstreamRecord {
        service: "order-desk".into(),
        slots: 6,
        models: None,
        ..engine(id, "addis-a")
    }
}

fn generation(now: Moment) -> RequestRequirements {
    RequestRequirements {
        service: "deck-model".into(),
        model: Some(MODEL.into()),
        prompt_tokens: 900.0,
        first_event_deadline: now + at(400),
        ..RequestRequirements::default()
    }
}

fn order(now: Moment) -> RequestRequirements {
    RequestRequirements {
        service: "order-desk".into(),
        model: None,
        prompt_tokens: 0.0,
        first_event_deadline: now + at(100),
        ..RequestRequirements::default()
    }
}
