//! Tests of the dispatcher: which upstream it selects, and which requests wait or are refused.

mod cold_fleet;
mod cold_upstreams;
mod contended_services;
mod failing_upstreams;
mod leaving_and_backoff;
mod limited_fleet;
mod limits;
mod overload;
mod path_delay;
mod prompt_cache;
mod prompt_fleet;
mod second_copy;
mod service_time;
mod slow_fleet;
mod steady_load;
mod subsets;
mod versions;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use balsamjunction_directory::{
    Change, Declaration, Directory, EngineProfile, Fact, LoadedModel, Position, Replica,
    ServedModel, Service, Subject, UpstreamRecord, UpstreamState, Verification,
};
use balsamjunction_policy::{
    dispatch::{
        contention::ContentionMode, AttemptOutcome, DispatchDecision, DispatchSettings, Dispatcher,
        Entries, LoadReport, RefusalReason, RequestRequirements, SelectedUpstream, SharingEntry,
        UpstreamCondition, UpstreamKey,
    },
    Moment,
};
use balsamjunction_protocol::mesh::EngineStatus;
use smol_str::SmolStr;

const MODEL: &str = "m1";
const OLD_VERSION_SEND_WINDOW: Moment = Moment::from_secs(7);
const OLD_VERSION_START_WINDOW: Moment = Moment::from_millis(7_600);
const STARTUP_START_WINDOW: Moment = Moment::from_millis(2_400);

fn millis(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn model() -> EngineProfile {
    EngineProfile {
        slots: 16,
        step_ms: 9.27,
        step_ms_per_request: 0.0232,
        step_ms_per_context_k: 0.0322,
        prefill_tokens_per_ms: 20.7,
        steps_per_pass: 5,
        mean_prompt_tokens: 979.0,
        mean_output_tokens: 92.0,
        layers: 16,
        models: vec![ServedModel {
            name: MODEL.into(),
            load_ms: 300,
        }],
    }
}

/// A dispatcher with the replica of the facts and the directory from which it is configured.
struct TestCluster {
    replica: Replica,
    directory: Directory,
    dispatcher: Dispatcher,
    revision: u64,
}

impl TestCluster {
    /// An engine service and a plain service in two data centres of two regions. The dispatcher runs in the
    /// first data centre and started at time zero.
    fn new() -> Self {
        Self::started_at(Moment::ZERO)
    }

    /// The same with a dispatcher that started at `started`.
    fn started_at(started: Moment) -> Self {
        Self::build(started, ContentionMode::Auto, HashMap::new())
    }

    /// The same with a setting of which services are contended.
    fn with_contention(contention: ContentionMode) -> Self {
        Self::build(Moment::ZERO, contention, HashMap::new())
    }

    /// The same, where upstreams of the services in `prompt_cache` keep so many tokens.
    fn with_prompt_cache(started: Moment, prompt_cache: HashMap<SmolStr, u32>) -> Self {
        Self::build(started, ContentionMode::Auto, prompt_cache)
    }

    fn build(
        started: Moment,
        contention: ContentionMode,
        prompt_cache: HashMap<SmolStr, u32>,
    ) -> Self {
        let regions = [("addis-a", "addis"), ("mekelle-a", "mekelle")];
        let regions = regions.map(|(dc, region)| (SmolStr::new(dc), SmolStr::new(region)));
        let settings = DispatchSettings {
            data_centre: "addis-a".into(),
            regions: HashMap::from(regions),
            old_version_send_window: OLD_VERSION_SEND_WINDOW,
            old_version_start_window: OLD_VERSION_START_WINDOW,
            started,
            startup_start_window: STARTUP_START_WINDOW,
            contention,
            prompt_cache,
        };
        let mut cluster = Self {
            replica: Replica::default(),
            directory: Directory::default(),
            dispatcher: Dispatcher::new(settings),
            revision: 0,
        };
        let engines = Service {
            name: "deck-model".into(),
            max_connections: 294,
            cold_start_ms: 3_000,
            cold_requests_per_s: 28.0,
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
        cluster.apply_change(
            Moment::ZERO,
            Subject::Declaration,
            Some(Fact::Declaration(Arc::new(declaration))),
        );
        cluster
    }

    fn apply_change(&mut self, now: Moment, subject: Subject, fact: Option<Fact>) {
        self.revision += 1;
        let change = Change {
            subject,
            revision: self.revision,
            fact,
            known_for_ms: 0,
            era: 0,
            copied: false,
            unconfirmed: false,
        };
        let proof = Verification {
            position: Position {
                era: 0,
                revision: self.revision,
            },
            queried_at: now,
        };
        if self.revision > 1 {
            // As at the entry that reads the facts for all processes, they were verified just before they
            // changed.
            self.replica.mark_verified(Verification {
                position: Position {
                    era: 0,
                    revision: self.revision - 1,
                },
                queried_at: now,
            });
        }
        self.replica.apply(now, vec![change], proof);
        self.configure(&[], 1);
    }

    /// Configures the dispatcher as the first of `entries` entries in its data centre.
    fn configure(&mut self, engines: &[EngineStatus], entries: usize) {
        self.configure_entries(engines, test_entries(0, entries));
    }

    fn configure_entries(&mut self, engines: &[EngineStatus], entries: Entries) {
        self.directory = Directory::from_replica(&self.replica, &self.directory);
        self.dispatcher.configure(&self.directory, engines, entries);
    }

    fn register(&mut self, now: Moment, record: UpstreamRecord) {
        self.apply_change(
            now,
            Subject::Upstream(record.id.clone()),
            Some(Fact::Upstream(record)),
        );
    }

    fn submit(&mut self, now: Moment, request: RequestRequirements) -> DispatchDecision {
        self.dispatcher.submit(now, request)
    }

    /// Like [`Self::try_send`], and returns the id of the upstream. The request does not end.
    fn try_send_id(&mut self, now: Moment, request: RequestRequirements) -> Option<SmolStr> {
        let selected = self.try_send(now, request)?;
        Some(self.upstream_id(selected.upstream))
    }

    /// Submits a request and returns the selected upstream, or `None` if the request is refused or would
    /// have to wait.
    fn try_send(&mut self, now: Moment, request: RequestRequirements) -> Option<SelectedUpstream> {
        match self.submit(now, request) {
            DispatchDecision::Send(selected) => Some(selected),
            DispatchDecision::Wait(key) => {
                self.dispatcher.cancel_wait(key);
                None
            }
            DispatchDecision::Refuse(_) => None,
        }
    }

    fn upstream_id(&self, key: UpstreamKey) -> SmolStr {
        self.dispatcher
            .view(key)
            .map(|view| view.record.id)
            .unwrap_or_default()
    }
}

/// The entries as seen by the one with number `own` out of `count` in one data centre.
fn test_entries(own: usize, count: usize) -> Entries {
    let name = |n: usize| SmolStr::new(format!("entry-{n:03}"));
    let local: Vec<SmolStr> = (0..count).map(name).collect();
    Entries {
        own: name(own),
        all: local.iter().map(local_entry).collect(),
        local,
    }
}

fn local_entry(host: &SmolStr) -> SharingEntry {
    SharingEntry {
        host: host.clone(),
        data_centre: "addis-a".into(),
    }
}

fn engine_record(id: &str, data_centre: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        service: "deck-model".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: data_centre.into(),
        slots: 16,
        state: UpstreamState::Ready,
        cold_remaining_ms: 0,
        started_at_ms: 1,
        models: Some(vec![LoadedModel {
            name: MODEL.into(),
            version: 1,
        }]),
    }
}

fn plain_record(id: &str) -> UpstreamRecord {
    UpstreamRecord {
        service: "order-desk".into(),
        slots: 6,
        models: None,
        ..engine_record(id, "addis-a")
    }
}

fn load_report(running: u32, waiting: u32, service_time_percent: Option<u32>) -> LoadReport {
    LoadReport {
        running,
        waiting,
        service_time_percent,
    }
}

fn engine_request(now: Moment) -> RequestRequirements {
    RequestRequirements {
        service: "deck-model".into(),
        model: Some(MODEL.into()),
        prompt_tokens: 900.0,
        first_event_deadline: now + millis(400),
        ..RequestRequirements::default()
    }
}

fn plain_request(now: Moment) -> RequestRequirements {
    RequestRequirements {
        service: "order-desk".into(),
        model: None,
        prompt_tokens: 0.0,
        first_event_deadline: now + millis(100),
        ..RequestRequirements::default()
    }
}
