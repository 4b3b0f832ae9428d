//! Expected savings at upstreams that keep prompts, and what changes them.

use std::{collections::VecDeque, sync::Arc};

use balsamjunction_policy::{
    estimate::Occupancy,
    prompt_cache::{
        prefixes, CacheTarget, ExpectedSaving, Observation, Prefix, PromptCache,
        MAX_ENTRIES_PER_UPSTREAM, MAX_PREFIXES, MAX_SAVING_MS,
    },
};
use proptest::prelude::*;

use super::*;

const KEPT_TOKENS: u32 = 50_000;
const PROMPT_TOKENS: f64 = 2_200.0;

fn document(number: u64, request: u64) -> Option<Arc<[Prefix]>> {
    let parts = [(1, 300), (1_000 + number, 1_500), (1 << 32 | request, 400)];
    prefixes(Some(MODEL), PROMPT_TOKENS, parts)
}

fn prompt(now: Moment, number: u64, request: u64) -> RequestRequirements {
    RequestRequirements {
        prompt_tokens: PROMPT_TOKENS,
        first_event_deadline: now + millis(900),
        prefixes: document(number, request),
        ..engine_request(now)
    }
}

fn cluster(engines: usize) -> TestCluster {
    let kept = HashMap::from([("deck-model".into(), KEPT_TOKENS)]);
    let mut cluster = TestCluster::with_prompt_cache(Moment::ZERO, kept);
    for n in 0..engines {
        cluster.register(millis(0), engine_record(&format!("e{n}"), "addis-a"));
    }
    cluster
}

impl TestCluster {
    /// Sends a request and completes it; its first event takes `took` times the expected time.
    fn complete(
        &mut self,
        now: Moment,
        request: RequestRequirements,
        took: f64,
    ) -> SelectedUpstream {
        self.complete_after(now, request, |selected| took * selected.expected_ms)
    }

    /// Sends a request and completes it; `took_ms` returns the time to its first event.
    fn complete_after(
        &mut self,
        now: Moment,
        request: RequestRequirements,
        took_ms: impl Fn(&SelectedUpstream) -> f64,
    ) -> SelectedUpstream {
        let tokens = request.prompt_tokens;
        let selected = self.try_send(now, request).expect("an engine is free");
        let unread = selected.unread_tokens(tokens);
        let took_ms = took_ms(&selected);
        let first_at = now + Moment::from_secs_f64(took_ms / 1e3);
        self.dispatcher
            .record_first_event(first_at, &selected, unread, took_ms);
        let (served, key) = (AttemptOutcome::Served, selected.upstream);
        self.dispatcher.record_outcome(first_at, key, 0.0, served);
        selected
    }

    fn saved_tokens(&mut self, now: Moment, request: RequestRequirements) -> f64 {
        let selected = self.complete(now, request, 1.0);
        selected.prompt.map_or(0.0, |prompt| prompt.saving.tokens)
    }
}

/// The estimates for one upstream that is the home of no prefix.
struct CachingUpstream {
    cache: PromptCache,
    key: UpstreamKey,
    requests: u64,
}

impl CachingUpstream {
    fn new() -> Self {
        let mut slots = slotmap::SlotMap::<UpstreamKey, ()>::with_key();
        Self {
            cache: PromptCache::new(&HashMap::from([("deck-model".into(), KEPT_TOKENS)])),
            key: slots.insert(()),
            requests: 0,
        }
    }

    fn target(&self, requests: f64) -> CacheTarget {
        CacheTarget {
            key: self.key,
            version: 1,
            occupancy: Occupancy {
                requests,
                pending_prompt_tokens: 0.0,
                slowdown: 1.0,
            },
            own_requests: 0,
            slots: 16,
            cold: false,
        }
    }

    /// Serves a request with a document of which the upstream finds `found` tokens.
    fn serve(&mut self, now: Moment, number: u64, found: u32) -> Observation {
        self.requests += 1;
        let prefixes = document(number, self.requests).expect("the prompt has parts");
        let (service, model, target) = ("deck-model".into(), model(), self.target(0.0));
        let lookup = self
            .cache
            .lookup(&service, &model, PROMPT_TOKENS, &prefixes, Vec::new);
        let lookup = lookup.expect("the service keeps prompts");
        let sent = lookup.sent(&target, lookup.saving(now, &target));
        self.cache.record_send(now, self.key, &sent);
        let took_ms = 150.0 - f64::from(found) / model.prefill_tokens_per_ms;
        let first_at = now + millis(150);
        self.cache
            .record_first_event(first_at, self.key, &sent, 150.0, took_ms)
    }

    /// The saving of a further request with a document while the upstream has so many requests.
    fn saving(&self, now: Moment, number: u64, requests: f64) -> ExpectedSaving {
        let prefixes = document(number, u64::MAX >> 32).expect("the prompt has parts");
        let (service, model) = ("deck-model".into(), model());
        let lookup = self
            .cache
            .lookup(&service, &model, PROMPT_TOKENS, &prefixes, Vec::new);
        let lookup = lookup.expect("the service keeps prompts");
        lookup.saving(now, &self.target(requests))
    }
}

// Guards against a saving that is computed but never changes the selection.
#[test]
fn requests_with_a_known_document_go_to_the_engine_that_read_it() {
    let mut cluster = cluster(8);
    let mut engines = HashMap::new();
    for number in 0..6 {
        let now = millis(1_000 * number);
        let selected = cluster.complete(now, prompt(now, number, number), 1.0);
        engines.insert(number, selected.upstream);
    }

    for number in 0..6 {
        let now = millis(10_000 + 1_000 * number);
        let selected = cluster.complete(now, prompt(now, number, 100 + number), 0.5);

        assert_eq!(engines[&number], selected.upstream, "document {number}");
        let saving = selected.prompt.expect("the service keeps prompts").saving;
        assert!(saving.tokens > 1_000.0 && saving.ms > 50.0, "{saving:?}");
    }
}

#[test]
fn an_engine_that_started_again_has_no_prefix() {
    let mut cluster = cluster(1);
    cluster.complete(millis(0), prompt(millis(0), 1, 1), 1.0);
    assert!(cluster.saved_tokens(millis(1_000), prompt(millis(1_000), 1, 2)) > 0.0);

    let restarted = UpstreamRecord {
        started_at_ms: 2,
        cold_remaining_ms: 1_000,
        ..engine_record("e0", "addis-a")
    };
    cluster.register(millis(2_000), restarted);

    // Only the home of the prefix is left as a reason: at most 0.3 of the shared part.
    let saved = cluster.saved_tokens(millis(2_000), prompt(millis(2_000), 1, 3));
    assert!(saved <= 0.3 * 1_800.0, "{saved}");
}

#[test]
fn a_new_version_of_the_weights_has_no_prefix() {
    let mut cluster = cluster(1);
    cluster.complete(millis(0), prompt(millis(0), 1, 1), 1.0);

    let mut updated = engine_record("e0", "addis-a");
    updated.models = Some(vec![LoadedModel {
        name: MODEL.into(),
        version: 2,
    }]);
    cluster.register(millis(1_000), updated);

    let saved = cluster.saved_tokens(millis(1_000), prompt(millis(1_000), 1, 2));
    assert!(saved <= 0.3 * 1_800.0, "{saved}");
}

// Guards against prefixes that count forever although other prompts took their place.
#[test]
fn a_prefix_counts_less_with_all_that_was_read_since_and_with_its_age() {
    let saved_after = |others: u64, pause: Moment| {
        let mut upstream = CachingUpstream::new();
        upstream.serve(millis(0), 1, 0);
        for n in 0..others {
            upstream.serve(millis(500 * (n + 1)), 100 + n, 300);
        }
        upstream
            .saving(millis(500 * (others + 1)) + pause, 1, 0.0)
            .tokens
    };

    let soon = saved_after(1, Moment::ZERO);
    let later = saved_after(30, Moment::ZERO);
    let gone = saved_after(60, Moment::ZERO);
    let old = saved_after(1, Moment::from_secs(700));

    // 50,000 tokens hold 25 other documents.
    assert!(soon > 1_600.0, "{soon}");
    assert!(later < 0.6 * soon, "{later}");
    // Of the rest, 300 are the part that all requests have.
    assert!(gone < 400.0, "{gone}");
    assert!(old < 400.0, "{old}");
}

// Guards against a setting that is wrong about the engines: observed times must end its effect. They must
// also restore it.
#[test]
fn first_events_that_show_no_saving_end_the_expectation() {
    let mut cluster = cluster(1);
    let at = |n: u64| millis(1_000 * n);
    let run = |cluster: &mut TestCluster, requests: std::ops::Range<u64>, took: f64| {
        for n in requests {
            // Every other document is new, so that there is something to compare with.
            cluster.complete(at(2 * n), prompt(at(2 * n), 1, 2 * n), took);
            let other = prompt(at(2 * n + 1), 100 + n, 2 * n + 1);
            cluster.complete(at(2 * n + 1), other, 1.0);
        }
    };
    run(&mut cluster, 0..100, 1.0);
    let disproved = cluster.saved_tokens(at(200), prompt(at(200), 1, 200));
    run(&mut cluster, 101..300, 0.45);
    let shown = cluster.saved_tokens(at(600), prompt(at(600), 1, 600));

    // All upstreams are assumed to hold the part of 300 tokens that all requests have, which changes no order.
    assert!(disproved < 300.0, "{disproved}");
    assert!(shown > 1_400.0, "{shown}");
}

// Guards against hits that hide that an engine is slow: all prompts that it does not hold would go there.
#[test]
fn hits_at_a_slow_engine_do_not_count_as_speed() {
    let mut cluster = cluster(1);
    let at = |n: u64| millis(300 * n);
    let plain = |now| RequestRequirements {
        first_event_deadline: now + millis(2_000),
        ..engine_request(now)
    };
    let twice = |selected: &SelectedUpstream| 2.0 * selected.nominal_ms;
    for n in 0..40 {
        cluster.complete_after(at(n), plain(at(n)), twice);
    }
    cluster.complete_after(at(40), prompt(at(40), 1, 40), twice);
    let found_ms = 1_800.0 / model().prefill_tokens_per_ms;

    for n in 41..60 {
        let request = prompt(at(n), 1, n);
        cluster.complete_after(at(n), request, |s| 2.0 * (s.nominal_ms - found_ms));
    }

    let selected = cluster.complete_after(at(60), plain(at(60)), twice);
    let slowdown = selected.expected_ms / selected.nominal_ms;
    assert!(slowdown > 1.4, "{slowdown}");
}

// Guards against a saving that outweighs the queue of an engine whose slots are all in use.
#[test]
fn a_full_engine_saves_nothing() {
    let mut upstream = CachingUpstream::new();
    let first = upstream.serve(millis(0), 1, 0);
    let saving = |requests| upstream.saving(millis(200), 1, requests).ms;

    assert_eq!(first, Observation::None);
    assert!(saving(0.0) > 50.0);
    assert_eq!(saving(8.0), saving(0.0));
    assert!(saving(12.0) < 0.6 * saving(0.0));
    assert_eq!(saving(16.0), 0.0);
    assert_eq!(saving(40.0), 0.0);
}

#[test]
fn prefixes_are_bounded_and_depend_on_all_parts_before_them() {
    let many = prefixes(Some(MODEL), 1e9, (0..1_000).map(|n| (n, 10)));
    let long = prefixes(Some(MODEL), 100.0, [(1, 60), (2, 60)]).expect("one part fits");
    let hash = |model, parts: [(u64, u32); 2]| prefixes(model, 1e3, parts).map(|p| p[1].hash);

    assert_eq!(many.map(|p| p.len()), Some(MAX_PREFIXES));
    assert_eq!(long.len(), 1);
    assert_eq!(prefixes(Some(MODEL), 10.0, []), None);
    let reference = hash(Some(MODEL), [(1, 5), (2, 5)]);
    assert_ne!(reference, hash(Some(MODEL), [(3, 5), (2, 5)]));
    assert_ne!(reference, hash(Some("other"), [(1, 5), (2, 5)]));
}

/// One step of a random history.
#[derive(Clone, Debug)]
enum Step {
    Send { document: u64, tokens: u32 },
    FirstEvent { took_ms: f64 },
    End(AttemptOutcome),
    Load { engine: usize, requests: u32 },
    Leaving { engine: usize },
    BackOff { engine: usize },
    Restart { engine: usize },
    Version { engine: usize, version: u64 },
    Pause { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        8 => Just(AttemptOutcome::Served),
        1 => Just(AttemptOutcome::Failed),
        1 => Just(AttemptOutcome::Rejected),
        1 => Just(AttemptOutcome::Unreachable),
        1 => Just(AttemptOutcome::Cancelled),
    ];
    let engine = 0_usize..5;
    let step = prop_oneof![
        12 => (0_u64..6, 1_u32..4_000).prop_map(|(document, tokens)| Step::Send { document, tokens }),
        10 => (1.0_f64..900.0).prop_map(|took_ms| Step::FirstEvent { took_ms }),
        6 => outcome.prop_map(Step::End),
        4 => (engine.clone(), 0_u32..24).prop_map(|(engine, requests)| Step::Load { engine, requests }),
        1 => engine.clone().prop_map(|engine| Step::Leaving { engine }),
        1 => engine.clone().prop_map(|engine| Step::BackOff { engine }),
        1 => engine.clone().prop_map(|engine| Step::Restart { engine }),
        1 => (engine, 1_u64..4).prop_map(|(engine, version)| Step::Version { engine, version }),
        6 => (1_u64..400).prop_map(|ms| Step::Pause { ms }),
    ];
    prop::collection::vec(step, 1..150)
}

/// A cluster with the requests in progress of a random history.
struct History {
    cluster: TestCluster,
    now: Moment,
    in_progress: VecDeque<(SelectedUpstream, RequestRequirements)>,
    records: Vec<UpstreamRecord>,
}

impl History {
    /// Five engines, one of them in another data centre.
    fn new(kept: HashMap<SmolStr, u32>) -> Self {
        let mut cluster = TestCluster::with_prompt_cache(Moment::ZERO, kept);
        let data_centre = |n| ["addis-a", "mekelle-a"][usize::from(n == 4)];
        let records: Vec<_> = (0..5)
            .map(|n| engine_record(&format!("e{n}"), data_centre(n)))
            .collect();
        for record in &records {
            cluster.register(millis(0), record.clone());
        }
        Self {
            cluster,
            now: millis(0),
            in_progress: VecDeque::new(),
            records,
        }
    }

    fn request(&self, document: u64, tokens: u32, stated: bool) -> RequestRequirements {
        let parts = [
            (1, 100),
            (10 + document, tokens),
            (100 + u64::from(tokens), 50),
        ];
        let prompt_tokens = f64::from(tokens) + 150.0;
        RequestRequirements {
            prompt_tokens,
            prefixes: prefixes(Some(MODEL), prompt_tokens, parts).filter(|_| stated),
            ..engine_request(self.now)
        }
    }

    fn key_of(&self, engine: usize) -> Option<UpstreamKey> {
        let id = &self.records[engine].id;
        let mut keys = self
            .in_progress
            .iter()
            .map(|(selected, _)| selected.upstream);
        keys.find(|key| self.cluster.upstream_id(*key) == *id)
    }

    /// Applies a step; returns what was selected if it sends a request.
    fn apply(&mut self, step: &Step, stated: bool) -> Option<DispatchDecision> {
        let now = self.now;
        match step {
            Step::Send { document, tokens } => {
                let request = self.request(*document, *tokens, stated);
                let decision = self.cluster.submit(now, request.clone());
                match &decision {
                    DispatchDecision::Send(selected) => {
                        self.in_progress.push_back((selected.clone(), request));
                    }
                    DispatchDecision::Wait(key) => self.cluster.dispatcher.cancel_wait(*key),
                    DispatchDecision::Refuse(_) => {}
                }
                return Some(decision);
            }
            Step::FirstEvent { took_ms } => {
                if let Some((selected, request)) = self.in_progress.front() {
                    let unread = selected.unread_tokens(request.prompt_tokens);
                    let dispatcher = &mut self.cluster.dispatcher;
                    dispatcher.record_first_event(now, selected, unread, *took_ms);
                }
            }
            Step::End(outcome) => {
                if let Some((selected, _)) = self.in_progress.pop_front() {
                    let dispatcher = &mut self.cluster.dispatcher;
                    dispatcher.record_outcome(now, selected.upstream, 0.0, *outcome);
                }
            }
            Step::Load { engine, requests } => {
                if let Some(key) = self.key_of(*engine) {
                    self.cluster.dispatcher.record_load(
                        now,
                        key,
                        LoadReport {
                            running: *requests,
                            ..LoadReport::default()
                        },
                    );
                }
            }
            Step::Leaving { engine } => {
                if let Some(key) = self.key_of(*engine) {
                    self.cluster.dispatcher.mark_leaving(key, false);
                }
            }
            Step::BackOff { engine } => {
                if let Some(key) = self.key_of(*engine) {
                    let dispatcher = &mut self.cluster.dispatcher;
                    dispatcher.back_off(now, key, Some(millis(500)));
                }
            }
            Step::Restart { engine } => {
                self.records[*engine].started_at_ms += 1;
                self.cluster.register(now, self.records[*engine].clone());
            }
            Step::Version { engine, version } => {
                let name = MODEL.into();
                let version = *version;
                self.records[*engine].models = Some(vec![LoadedModel { name, version }]);
                self.cluster.register(now, self.records[*engine].clone());
            }
            Step::Pause { ms } => self.now += millis(*ms),
        }
        None
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// With the feature off, no decision depends on the parts that callers state, and all estimates are the
    /// same; a setting for another service changes nothing either.
    #[test]
    fn decisions_without_the_setting_are_untouched(steps in steps()) {
        let other = HashMap::from([("other-model".into(), KEPT_TOKENS)]);
        let mut reference = History::new(HashMap::new());
        let mut off = History::new(HashMap::new());
        let mut elsewhere = History::new(other);
        for step in &steps {
            let expected = reference.apply(step, false);

            prop_assert_eq!(&expected, &off.apply(step, true));
            prop_assert_eq!(&expected, &elsewhere.apply(step, true));
            if let Some(DispatchDecision::Send(selected)) = expected {
                prop_assert!(selected.prompt.is_none());
            }
        }
    }

    /// An upstream that may not serve is never selected, and whether a request is sent, waits or is refused
    /// does not depend on its prompt.
    #[test]
    fn savings_change_the_order_only(steps in steps(), document in 0_u64..6, tokens in 1_u32..4_000) {
        let kept = HashMap::from([("deck-model".into(), KEPT_TOKENS)]);
        let mut stated = History::new(kept.clone());
        let mut unstated = History::new(kept);
        for step in &steps {
            let now = stated.now;
            if let Some(DispatchDecision::Send(selected)) = stated.apply(step, true) {
                let request = stated.request(0, 1, true);
                let dispatcher = &stated.cluster.dispatcher;
                prop_assert!(dispatcher.may_serve(now, selected.upstream, &request));
                let saving = selected.prompt.expect("the service keeps prompts").saving;
                prop_assert!((0.0..=MAX_SAVING_MS).contains(&saving.ms));
                prop_assert!((0.0..=4_150.0).contains(&saving.tokens));
            }
            unstated.apply(step, true);
        }
        // Both have the same history, and only the last request differs.
        let with = stated.apply(&Step::Send { document, tokens }, true);
        let without = unstated.apply(&Step::Send { document, tokens }, false);
        match (with, without) {
            (Some(DispatchDecision::Refuse(with)), Some(DispatchDecision::Refuse(without))) => {
                prop_assert_eq!(with, without);
            }
            (with, without) => prop_assert_eq!(
                with.map(|d| std::mem::discriminant(&d)),
                without.map(|d| std::mem::discriminant(&d))
            ),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Callers choose the parts, so whatever they state, what is remembered stays bounded.
    #[test]
    fn what_is_remembered_is_bounded(
        prompts in prop::collection::vec((0_usize..3, any::<u64>(), 0_u32..5_000), 1..400),
    ) {
        let mut slots = slotmap::SlotMap::<UpstreamKey, ()>::with_key();
        let keys: Vec<UpstreamKey> = (0..3).map(|_| slots.insert(())).collect();
        let service: SmolStr = "deck-model".into();
        let mut cache = PromptCache::new(&HashMap::from([(service.clone(), KEPT_TOKENS)]));
        for (n, (upstream, seed, tokens)) in prompts.into_iter().enumerate() {
            let now = millis(n as u64);
            let target = CacheTarget {
                key: keys[upstream],
                version: 1,
                occupancy: Occupancy { requests: 1.0, pending_prompt_tokens: 0.0, slowdown: 1.0 },
                own_requests: 0,
                slots: 16,
                cold: false,
            };
            let parts = (0..64).map(|part| (seed.wrapping_add(part), tokens));
            let Some(prefixes) = prefixes(None, 1e9, parts) else { continue };
            let sent = {
                let lookup = cache.lookup(&service, &model(), 1e9, &prefixes, Vec::new).map(|lookup| {
                    lookup.sent(&target, lookup.saving(now, &target))
                });
                lookup.expect("the service keeps prompts")
            };
            cache.record_send(now, target.key, &sent);
            cache.record_first_event(now, target.key, &sent, 100.0, 100.0);

            prop_assert!(cache.entry_count(&service) <= 3 * MAX_ENTRIES_PER_UPSTREAM);
        }
        cache.retain(|_| false);
        prop_assert_eq!(cache.entry_count(&service), 0);
    }
}
