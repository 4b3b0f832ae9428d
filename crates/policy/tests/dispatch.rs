//! Where requests go, which wait and which are refused, by pattern of load.

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
        Chosen, Demand, DispatchSettings, Dispatcher, Ending, Entries, RefusalReason, UpstreamKey,
        Verdict,
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
            old_version_for: OLD_VERSION_FOR,
            begin_within: BEGIN_WITHIN,
            started,
            begin_within_at_start: BEGIN_WITHIN_AT_START,
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

    fn offer(&mut self, now: Moment, demand: Demand) -> Verdict {
        self.dispatcher.offer(now, demand)
    }

    /// The id of the upstream that a request is sent to; it stays there.
    fn sent_to(&mut self, now: Moment, demand: Demand) -> Option<SmolStr> {
        let chosen = self.sent(now, demand)?;
        Some(self.id(chosen.upstream))
    }

    /// Where a request is sent; one that would have to wait is withdrawn.
    fn sent(&mut self, now: Moment, demand: Demand) -> Option<Chosen> {
        match self.offer(now, demand) {
            Verdict::Send(chosen) => Some(chosen),
            Verdict::Wait(key) => {
                self.dispatcher.withdraw(key);
                None
            }
            Verdict::Refuse(_) => None,
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
        near: all.clone(),
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

fn generation(now: Moment) -> Demand {
    Demand {
        service: "deck-model".into(),
        model: Some(MODEL.into()),
        prompt_tokens: 900.0,
        wanted_by: now + at(400),
        ..Demand::default()
    }
}

fn order(now: Moment) -> Demand {
    Demand {
        service: "order-desk".into(),
        model: None,
        prompt_tokens: 0.0,
        wanted_by: now + at(100),
        ..Demand::default()
    }
}

mod steady_load {
    use super::*;

    #[test]
    fn requests_spread_over_engines_instead_of_piling_up() {
        let mut world = World::new();
        for n in 0..4 {
            world.put(at(0), engine(&format!("e{n}"), "addis-a"));
        }

        let mut counts = HashMap::new();
        for _ in 0..16 {
            let id = world
                .sent_to(at(10), generation(at(10)))
                .expect("there is room");
            *counts.entry(id).or_insert(0) += 1;
        }

        assert!(counts.values().all(|count| *count == 4), "{counts:?}");
    }

    #[test]
    fn an_engine_nearby_is_preferred_until_it_is_clearly_busier() {
        let mut world = World::new();
        world.put(at(0), engine("near", "addis-a"));
        world.put(at(0), engine("far", "mekelle-a"));

        let first = world.sent_to(at(10), generation(at(10)));
        let second = world.sent_to(at(10), generation(at(10)));

        assert_eq!(first.as_deref(), Some("near"));
        assert_eq!(second.as_deref(), Some("far"));
    }

    #[test]
    fn a_request_stays_in_its_home_regions() {
        let mut world = World::new();
        world.put(at(0), engine("near", "addis-a"));
        world.put(at(0), engine("far", "mekelle-a"));
        let mut demand = generation(at(10));
        demand.route_homes = vec!["mekelle".into()];
        let mut nowhere = demand.clone();
        nowhere.workspace_homes = vec!["addis".into()];

        assert_eq!(world.sent_to(at(10), demand).as_deref(), Some("far"));
        assert!(matches!(
            world.offer(at(10), nowhere),
            Verdict::Refuse(refused) if refused.reason == RefusalReason::NoUpstream
        ));
    }
}

mod parts {
    use super::*;

    /// Which engine each of `entries` sends each of `requests` to, while none of them has ended; nothing
    /// is told of load.
    fn sends(entries: usize, engines: usize, requests: usize) -> Vec<Vec<SmolStr>> {
        (0..entries)
            .map(|own| {
                let mut world = World::new();
                for n in 0..engines {
                    world.put(at(0), engine(&format!("e{n:03}"), "addis-a"));
                }
                world.configure_among(&[], entries_among(own, entries));
                (0..requests)
                    .filter_map(|_| world.sent_to(at(10), generation(at(10))))
                    .collect()
            })
            .collect()
    }

    // On a quiet day of the large fleet a third of the answers were late: entries that knew nothing of
    // each other's load chose the same engines.
    #[test]
    fn entries_that_know_nothing_of_each_other_do_not_choose_the_same_engines() {
        let sends = sends(7, 28, 4);

        let mut counts: HashMap<SmolStr, usize> = HashMap::new();
        for id in sends.iter().flatten() {
            *counts.entry(id.clone()).or_default() += 1;
        }
        // As many requests as engines, and each entry has its own part.
        assert_eq!(counts.len(), 28, "{counts:?}");
    }

    #[test]
    fn an_entry_whose_part_is_busy_sends_to_its_neighbours_engines() {
        let sends = sends(7, 28, 24);

        for own in sends {
            let used: BTreeSet<_> = own.iter().collect();
            assert!(used.len() > 8, "{used:?}");
        }
    }

    #[test]
    fn an_entry_without_a_part_serves_all_the_same() {
        let sends = sends(12, 3, 1);

        assert!(sends.iter().all(|own| own.len() == 1));
    }
}

mod overload {
    use super::*;

    /// Sends until nothing more fits, and gives how many were sent.
    fn fill(world: &mut World, now: Moment) -> usize {
        let mut sent = 0;
        while world.sent(now, generation(now)).is_some() {
            sent += 1;
            assert!(sent < 200, "an engine never fills up");
        }
        sent
    }

    #[test]
    fn no_more_is_sent_than_can_begin_in_the_wanted_time() {
        let mut world = World::new();
        world.put(at(0), engine("e1", "addis-a"));

        let sent = fill(&mut world, at(10));

        // 400 ms at 20.7 prompt tokens a millisecond read nine prompts of 900 tokens.
        assert!((4..=9).contains(&sent), "{sent} were sent");
    }

    #[test]
    fn what_finds_no_room_is_refused_within_an_eighth_of_its_wanted_time() {
        let mut world = World::new();
        world.put(at(0), engine("e1", "addis-a"));
        fill(&mut world, at(10));

        let Verdict::Wait(key) = world.offer(at(10), generation(at(10))) else {
            panic!("it is neither sent nor refused at once");
        };
        let verdicts = world.dispatcher.poll(at(10 + 50));

        let refused = verdicts
            .into_iter()
            .find(|(k, _)| *k == key)
            .map(|(_, v)| v);
        assert!(matches!(
            refused,
            Some(Verdict::Refuse(refused))
                if refused.reason == RefusalReason::Overload && refused.retry_after >= at(100)
        ));
        assert!(!world.dispatcher.any_waiting());
    }

    #[test]
    fn what_waits_is_sent_when_room_is_made() {
        let mut world = World::new();
        world.put(at(0), engine("e1", "addis-a"));
        let mut running = Vec::new();
        while let Some(chosen) = world.sent(at(10), generation(at(10))) {
            running.push(chosen);
        }
        let waits = world.offer(at(10), generation(at(10)));
        assert!(matches!(waits, Verdict::Wait(_)));

        for chosen in &running {
            world.dispatcher.first_event(at(20), chosen, 900.0, 100.0);
            world
                .dispatcher
                .end(at(20), chosen.upstream, 0.0, Ending::Served);
        }
        let verdicts = world.dispatcher.poll(at(20));

        assert!(matches!(verdicts[..], [(_, Verdict::Send(_))]));
    }

    #[test]
    fn a_caller_that_leaves_gives_up_its_place_in_the_queue() {
        let mut world = World::new();
        world.put(at(0), engine("e1", "addis-a"));
        fill(&mut world, at(10));
        let Verdict::Wait(key) = world.offer(at(10), generation(at(10))) else {
            panic!("it does not wait");
        };

        world.dispatcher.withdraw(key);

        assert!(!world.dispatcher.any_waiting());
        assert!(world.dispatcher.poll(at(100)).is_empty());
    }

    #[test]
    fn the_more_urgent_of_those_that_wait_goes_first() {
        let mut world = World::new();
        world.put(at(0), engine("e1", "addis-a"));
        let mut running = Vec::new();
        while let Some(chosen) = world.sent(at(10), generation(at(10))) {
            running.push(chosen);
        }
        let mut later = generation(at(10));
        later.priority = 1;
        let mut urgent = generation(at(11));
        urgent.priority = 0;
        let Verdict::Wait(_) = world.offer(at(10), later) else {
            panic!("it does not wait");
        };
        let Verdict::Wait(urgent) = world.offer(at(11), urgent) else {
            panic!("it does not wait");
        };

        let one = running.pop().expect("something runs");
        world
            .dispatcher
            .end(at(20), one.upstream, 900.0, Ending::Served);
        let verdicts = world.dispatcher.poll(at(20));

        assert_eq!(verdicts.first().map(|(key, _)| *key), Some(urgent));
    }

    /// The engine of which least is known must not seem the emptiest.
    #[test]
    fn load_by_other_entries_is_believed_until_it_is_surely_old() {
        let mut world = World::new();
        world.put(at(0), engine("known", "addis-a"));
        world.put(at(0), engine("idle", "addis-a"));
        let chosen = world.sent(at(0), generation(at(0))).expect("there is room");
        let busy = world.id(chosen.upstream);

        world.dispatcher.load(at(50), chosen.upstream, 16, 6);
        world
            .dispatcher
            .end(at(60), chosen.upstream, 900.0, Ending::Served);
        let mut later = Vec::new();
        for n in 0..4 {
            let now = at(800 + n);
            later.extend(world.sent_to(now, generation(now)));
        }

        assert!(
            !later.is_empty() && !later.contains(&busy),
            "{later:?} after {busy}"
        );
    }
}

mod sick_upstreams {
    use super::*;

    #[test]
    fn one_that_fails_again_and_again_is_left_out_and_tried_later() {
        let mut world = World::new();
        world.put(at(0), plain("d1"));
        world.put(at(0), plain("d2"));
        let mut bad = None;
        for n in 0..8 {
            let now = at(10 * n);
            let chosen = world.sent(now, order(now)).expect("there is room");
            let bad = *bad.get_or_insert(chosen.upstream);
            let ending = match chosen.upstream == bad {
                true => Ending::Failed,
                false => Ending::Served,
            };
            world.dispatcher.end(now, chosen.upstream, 0.0, ending);
        }
        let bad = world.id(bad.expect("something was sent"));

        let soon: Vec<_> = (0..4)
            .filter_map(|_| world.sent_to(at(200), order(at(200))))
            .collect();
        let mut later = Vec::new();
        for _ in 0..4 {
            later.extend(world.sent_to(at(9_000), order(at(9_000))));
        }

        assert!(!soon.contains(&bad));
        assert!(later.contains(&bad));
    }

    #[test]
    fn the_only_one_is_tried_even_while_it_fails() {
        let mut world = World::new();
        world.put(at(0), plain("d1"));
        let chosen = world.sent(at(0), order(at(0))).expect("there is room");
        world
            .dispatcher
            .end(at(0), chosen.upstream, 0.0, Ending::Unreachable);

        assert!(world.sent(at(10), order(at(10))).is_some());
    }

    #[test]
    fn an_engine_that_has_started_again_gets_nothing_until_the_list_says_so() {
        let mut world = World::new();
        let old = engine("old", "addis-a");
        world.put(at(0), old.clone());
        let status = EngineStatus {
            address: old.address,
            service: old.service.clone(),
            born_ms: 2,
            serving: Some((MODEL.into(), 1)),
            turning: false,
            pace_percent: 100,
        };

        world.configure(std::slice::from_ref(&status), 1);
        let before = world.offer(at(2), generation(at(2)));
        let again = UpstreamRecord {
            id: "new".into(),
            born_ms: 2,
            ..old.clone()
        };
        world.put(at(3), again);
        world.change(at(3), Subject::Upstream(old.id), None);
        world.configure(&[status], 1);
        let after = world.sent_to(at(4), generation(at(4)));

        assert!(matches!(
            before,
            Verdict::Refuse(refused) if refused.reason == RefusalReason::NoUpstream
        ));
        assert_eq!(after.as_deref(), Some("new"));
    }

    #[test]
    fn one_whose_address_another_has_gets_nothing_more() {
        let mut world = World::new();
        world.put(at(0), plain("gone"));
        let sent = world.sent(at(1), order(at(1))).expect("it looks well");

        world
            .dispatcher
            .end(at(2), sent.upstream, 0.0, Ending::Misdirected);
        let soon = world.sent(at(3), order(at(3)));
        world.configure(&[], 1);
        let later = world.sent(at(5_000), order(at(5_000)));
        let again = UpstreamRecord {
            born_ms: 2,
            ..plain("gone")
        };
        world.put(at(5_001), again);
        let new = world.sent(at(5_002), order(at(5_002)));

        assert_eq!((soon, later), (None, None));
        assert!(new.is_some());
    }

    #[test]
    fn a_slow_engine_gets_less_by_its_own_report() {
        let mut world = World::new();
        let mut slow = engine("slow", "addis-a");
        slow.address = "10.0.0.2:80".parse().expect("an address");
        world.put(at(0), slow.clone());
        world.put(at(0), engine("usual", "addis-a"));
        let status = EngineStatus {
            address: slow.address,
            service: slow.service,
            born_ms: 1,
            serving: Some((MODEL.into(), 1)),
            turning: false,
            pace_percent: 400,
        };
        world.configure(&[status], 1);

        let ids: Vec<_> = (0..3)
            .filter_map(|_| world.sent_to(at(2), generation(at(2))))
            .collect();

        assert_eq!(ids, ["usual", "usual", "usual"]);
    }
}

mod cold_upstreams {
    use super::*;

    #[test]
    fn entries_share_what_a_cold_engine_bears_in_a_second() {
        let mut world = World::new();
        let mut cold = engine("cold", "addis-a");
        cold.cold_remaining_ms = 3_000;
        world.put(at(10_000), cold);
        world.configure(&[], 4);

        let mut sent = 0;
        for n in 0..200 {
            let now = at(10_000 + 5 * n);
            if let Some(chosen) = world.sent(now, generation(now)) {
                world
                    .dispatcher
                    .end(now, chosen.upstream, 900.0, Ending::Served);
                sent += 1;
            }
        }

        // 28 in a second for all four entries together.
        assert_eq!(sent, 7);
    }

    /// Requests that each of `entries` sends to each cold engine within a second, together, while each
    /// has 40 to send; an entry knows `known` of them.
    fn sends_to_each(entries: usize, known: usize, engines: usize, now: Moment) -> Vec<usize> {
        let mut sends = vec![0; engines];
        for own in 0..entries {
            let mut world = World::new();
            for n in 0..engines {
                let mut cold = engine(&format!("cold{n:03}"), "addis-a");
                cold.cold_remaining_ms = 3_000;
                world.put(now, cold);
            }
            let mut among = entries_among(own, entries);
            for names in [&mut among.all, &mut among.near] {
                names.retain(|name| *name == among.own || known == entries);
            }
            world.configure_among(&[], among);
            for n in 0..40 {
                let at = now + at(25 * n);
                let Some(chosen) = world.sent(at, generation(at)) else {
                    continue;
                };
                let id = world.id(chosen.upstream);
                let number: usize = id.trim_start_matches("cold").parse().expect("a number");
                sends[number] += 1;
                world
                    .dispatcher
                    .end(at, chosen.upstream, 900.0, Ending::Served);
            }
        }
        sends
    }

    /// What a cold engine bears in a second by the platform's rule, at 28 a second.
    const BORNE: usize = 28 * 3 / 2 + 5;

    // FAILBACK after a loss of power: entries that had just started took the whole of what a cold engine
    // bears, since each knew itself only, and all chose the same engine.
    #[test]
    fn entries_that_all_start_again_do_not_flood_a_cold_engine() {
        for (entries, engines) in [(13, 38), (35, 24)] {
            let sends = sends_to_each(entries, 1, engines, at(100));

            let most = sends.iter().max().copied().unwrap_or(0);
            assert!(most <= BORNE, "{entries} entries: {sends:?}");
        }
    }

    // FAILBACK at a large fleet: each entry might send one request, however many entries there are.
    #[test]
    fn more_entries_than_a_cold_engine_bears_requests_do_not_send_one_each() {
        let sends = sends_to_each(100, 100, 1, at(10_000));

        assert!(sends[0] > 0 && sends[0] <= 28, "{sends:?}");
    }
}

mod versions {
    use super::*;

    fn name(world: &mut World, now: Moment, version: u64) {
        world.change(
            now,
            Subject::Version(MODEL.into()),
            Some(Fact::Version(version)),
        );
    }

    #[test]
    fn an_engine_without_the_model_gets_nothing() {
        let mut world = World::new();
        let mut empty = engine("empty", "addis-a");
        empty.models = Some(Vec::new());
        world.put(at(0), empty);

        assert!(world.sent(at(10), generation(at(10))).is_none());
    }

    #[test]
    fn the_version_before_serves_until_its_time_is_over() {
        let mut world = World::new();
        world.put(at(0), engine("old", "addis-a"));
        name(&mut world, at(1_000), 2);

        let early = world.sent(at(2_000), generation(at(2_000)));
        world.configure(&[], 1);
        let late = world.sent(at(8_100), generation(at(8_100)));

        assert!(early.is_some() && late.is_none());
    }

    // Guards against requests that are sent to engines of an overdue version until the next news or tick.
    #[test]
    fn the_time_of_the_version_before_ends_without_any_news() {
        let mut world = World::new();
        world.put(at(0), engine("old", "addis-a"));
        name(&mut world, at(1_000), 2);

        let early = world.sent(at(7_999), generation(at(7_999)));
        let late = world.sent(at(8_000), generation(at(8_000)));

        assert!(early.is_some() && late.is_none());
    }

    // Guards against requests that are sent in time to a busy engine and begin there on an overdue version.
    #[test]
    fn what_is_expected_to_begin_after_the_time_of_its_version_is_not_sent() {
        let mut world = World::new();
        world.put(at(0), engine("old", "addis-a"));
        name(&mut world, at(1_000), 2);
        let patient = |now| Demand {
            wanted_by: now + Moment::from_secs(3),
            prompt_tokens: 8_000.0,
            ..generation(now)
        };

        let idle = world.sent(at(7_000), patient(at(7_000)));
        for _ in 0..3 {
            world.sent(at(7_990), patient(at(7_990)));
        }
        let behind_others = world.sent(at(7_990), patient(at(7_990)));

        assert!(idle.is_some_and(|chosen| chosen.expected_ms < 600.0));
        assert_eq!(behind_others, None);
    }

    // Guards against a version that gets all of its time from a late learning on.
    #[test]
    fn a_version_that_is_learned_late_gives_no_more_time() {
        let mut world = World::new();
        world.put(at(900), engine("old", "addis-a"));
        let change = Change {
            subject: Subject::Version(MODEL.into()),
            revision: 9,
            fact: Some(Fact::Version(2)),
            known_ms: 0,
        };
        let proof = Proof {
            at: 9,
            asked: at(2_190),
        };

        world.replica.apply(at(2_200), vec![change], proof);
        world.configure(&[], 1);
        let early = world.sent(at(7_899), generation(at(7_899)));
        let late = world.sent(at(7_900), generation(at(7_900)));

        assert!(early.is_some() && late.is_none());
    }

    /// Makes what a process knows that finds version 2 by its first look at the facts, at `now`; whoever
    /// told it has known the version for `known_ms`.
    fn find_version(world: &mut World, now: Moment, known_ms: u64) {
        let table = world.directory.table.clone().expect("it is configured");
        let found = |revision, subject, fact| Change {
            subject,
            revision,
            fact: Some(fact),
            known_ms,
        };
        let old = engine("old", "addis-a");
        let facts = vec![
            found(
                1,
                Subject::Declaration,
                Fact::Declaration(table.declaration.clone()),
            ),
            found(2, Subject::Version(MODEL.into()), Fact::Version(2)),
            found(3, Subject::Upstream(old.id.clone()), Fact::Upstream(old)),
        ];
        let proof = Proof {
            at: 3,
            asked: now - at(10),
        };
        world.replica = Replica::default();
        world.replica.apply(now, facts, proof);
        world.configure(&[], 1);
    }

    /// By when requests must begin on the version before the found one.
    fn begin_by(world: &mut World, now: Moment) -> Option<Moment> {
        let chosen = world.sent(now, generation(now));
        let upstream = chosen.expect("it is sent").upstream;
        world.dispatcher.served_version(upstream, MODEL)?.begin_by
    }

    // VERSION on plume-nominale-grown: a first look that came late moved the time that counts from the start.
    #[test]
    fn a_version_that_is_found_at_the_start_binds_from_the_start_however_late_it_is_found() {
        for found_at in [60_100, 60_900, 61_500] {
            let mut world = World::started_at(at(60_000));

            find_version(&mut world, at(found_at), 0);

            let begin_by = begin_by(&mut world, at(found_at + 10));
            assert_eq!(begin_by, Some(at(60_000) + BEGIN_WITHIN_AT_START));
        }
    }

    // Guards against a process that is held to times before it has given up what it found overdue.
    #[test]
    fn a_version_that_somebody_has_known_for_long_binds_at_once() {
        let mut world = World::started_at(at(60_000));

        find_version(&mut world, at(60_100), BEGIN_WITHIN.as_millis() as u64);

        let sent = world.sent(at(60_110), generation(at(60_110)));
        assert_eq!(sent, None);
    }

    // Guards against requests that are written to an upstream which closed while a connection was made.
    #[test]
    fn what_closes_between_choice_and_connection_gets_nothing() {
        let mut world = World::new();
        world.put(at(0), engine("old", "addis-a"));
        world.put(at(0), engine("leaves", "mekelle-a"));
        name(&mut world, at(1_000), 2);
        let demand = generation(at(7_950));
        let chosen = [(); 2].map(|()| {
            let chosen = world.sent(at(7_950), demand.clone());
            chosen.expect("it is sent").upstream
        });

        let before = chosen.map(|key| world.dispatcher.may_serve(at(7_960), key, &demand));
        let overdue = chosen.map(|key| world.dispatcher.may_serve(at(8_000), key, &demand));
        let mut leaves = engine("leaves", "mekelle-a");
        leaves.state = UpstreamState::Draining;
        world.put(at(7_970), leaves);
        let drained: Vec<_> = chosen
            .into_iter()
            .filter(|key| !world.dispatcher.may_serve(at(7_980), *key, &demand))
            .map(|key| world.id(key))
            .collect();

        assert_eq!((before, overdue), ([true; 2], [false; 2]));
        assert_eq!(drained, ["leaves"]);
    }

    #[test]
    fn a_version_that_overtakes_another_does_not_give_more_time() {
        let mut world = World::new();
        world.put(at(0), engine("old", "addis-a"));
        name(&mut world, at(1_000), 2);
        name(&mut world, at(4_000), 3);

        world.configure(&[], 1);

        assert!(world.sent(at(8_100), generation(at(8_100))).is_none());
    }

    #[test]
    fn what_was_broken_off_once_goes_to_an_engine_that_has_turned() {
        let mut world = World::new();
        world.put(at(0), engine("old", "addis-a"));
        let mut turned = engine("turned", "mekelle-a");
        turned.models = Some(vec![HeldModel {
            name: MODEL.into(),
            version: 2,
        }]);
        world.put(at(0), turned);
        name(&mut world, at(1_000), 2);
        let mut demand = generation(at(1_100));
        demand.tried = vec![UpstreamKey::default()];

        assert_eq!(world.sent_to(at(1_100), demand).as_deref(), Some("turned"));
    }

    #[test]
    fn streams_that_break_at_a_turn_are_no_failures_of_the_engine() {
        let mut world = World::new();
        world.put(at(0), engine("e1", "addis-a"));
        let status = |turning| EngineStatus {
            address: engine("e1", "addis-a").address,
            service: "deck-model".into(),
            born_ms: 1,
            serving: Some((MODEL.into(), 1)),
            turning,
            pace_percent: 100,
        };
        let sent: Vec<_> = (0..4)
            .filter_map(|_| world.sent(at(0), generation(at(0))))
            .collect();

        world.configure(&[status(true)], 1);
        let while_turning = world.sent(at(11), generation(at(11)));
        for chosen in sent {
            world
                .dispatcher
                .end(at(20), chosen.upstream, 900.0, Ending::Failed);
        }
        world.configure(&[status(false)], 1);
        world.put(at(400), engine("e2", "mekelle-a"));
        world.configure(&[status(false)], 1);

        assert!(while_turning.is_none());
        assert_eq!(
            world.sent_to(at(410), generation(at(410))).as_deref(),
            Some("e1")
        );
    }
}

mod upstreams_that_leave_or_rest {
    use super::*;

    /// Two plain services of which the first has one request; gives its key and its id.
    fn one_at_work(world: &mut World) -> (UpstreamKey, SmolStr) {
        world.put(at(0), plain("d1"));
        world.put(at(0), plain("d2"));
        let chosen = world.sent(at(1), order(at(1))).expect("there is room");
        (chosen.upstream, world.id(chosen.upstream))
    }

    fn ids_of_sends(world: &mut World, now: Moment, count: usize) -> Vec<SmolStr> {
        (0..count)
            .filter_map(|_| world.sent_to(now, order(now)))
            .collect()
    }

    // DRAIN by an answer: the list still names the upstream ready.
    #[test]
    fn one_that_has_said_that_it_leaves_is_closed_whatever_the_list_says() {
        let mut world = World::new();
        let (key, id) = one_at_work(&mut world);

        let news = [(); 2].map(|()| world.dispatcher.leaves(key, false));
        let waiting_for_a_connection = world.dispatcher.may_serve(at(3), key, &order(at(1)));
        let sends = ids_of_sends(&mut world, at(4), 12);
        world.put(at(5), plain(&id));
        let sends_after_news = ids_of_sends(&mut world, at(6_000), 12);

        assert_eq!(news, [true, false]);
        assert!(!waiting_for_a_connection);
        assert!(!sends.is_empty() && !sends.contains(&id));
        assert!(!sends_after_news.contains(&id));
    }

    // DRAIN after a lapse: an entry that goes and comes back made an upstream a new one.
    #[test]
    fn one_that_lapses_from_the_list_comes_back_as_it_was() {
        let mut world = World::new();
        let (key, id) = one_at_work(&mut world);
        world.dispatcher.leaves(key, false);

        world.change(at(10), Subject::Upstream(id.clone()), None);
        world.put(at(900), plain(&id));
        let lapsed = ids_of_sends(&mut world, at(901), 8);
        let started_again = UpstreamRecord {
            born_ms: 2,
            ..plain(&id)
        };
        world.put(at(5_000), started_again);
        let new = ids_of_sends(&mut world, at(5_001), 8);

        assert!(!lapsed.contains(&id));
        assert!(new.contains(&id));
    }

    // Guards against memory that grows with every upstream that was ever listed.
    #[test]
    fn upstreams_that_left_the_list_are_forgotten_in_the_end() {
        let mut world = World::new();
        for n in 0..1_200 {
            let id = format!("d{n}");
            world.put(at(n), plain(&id));
            world.change(at(n), Subject::Upstream(id.into()), None);
        }
        world.put(at(2_000), plain("d1150"));

        let sent = world.sent(at(2_001), order(at(2_001)));
        let census = world.dispatcher.census(at(2_001));

        assert!(sent.is_some());
        assert_eq!(census.values().sum::<usize>(), 1);
    }

    // The upstream that was asked has gone, and the one that has its address now is the one that leaves.
    #[test]
    fn a_misdirected_answer_closes_the_one_that_gave_it() {
        let mut world = World::new();
        let (key, id) = one_at_work(&mut world);
        let other = match id.as_str() {
            "d1" => "d2",
            _ => "d1",
        };

        let news = world.dispatcher.leaves(key, true);
        let sends = ids_of_sends(&mut world, at(4), 12);

        assert!(news);
        assert!(sends.contains(&id) && !sends.iter().any(|sent| sent == other));
    }

    // BUDGET by Retry-After: also for what was chosen before, and has no connection yet.
    #[test]
    fn one_that_rests_gets_nothing_until_its_time_is_over() {
        let mut world = World::new();
        let (key, id) = one_at_work(&mut world);

        let pause = world.dispatcher.rests(at(10), key, Some(at(2_000)));
        // A shorter time does not end a longer one.
        world.dispatcher.rests(at(20), key, Some(at(100)));
        let waiting_for_a_connection = world.dispatcher.may_serve(at(12), key, &order(at(1)));
        let in_time = ids_of_sends(&mut world, at(2_009), 12);
        world
            .dispatcher
            .end(at(2_009), key, 0.0, Ending::TurnedAway);
        let after = ids_of_sends(&mut world, at(9_000), 12);

        assert_eq!(pause, at(2_000));
        assert!(!waiting_for_a_connection);
        assert!(!in_time.is_empty() && !in_time.contains(&id));
        assert!(after.contains(&id));
    }

    // Callers waited for room that could not come, or came back before it could.
    #[test]
    fn with_all_at_rest_a_request_is_refused_at_once_until_the_first_is_back() {
        let mut world = World::new();
        world.put(at(0), plain("d1"));
        world.put(at(0), plain("d2"));
        // Enough to reach both.
        let sent = (0..12).filter_map(|_| world.sent(at(1), order(at(1))));
        let keys: BTreeSet<_> = sent.map(|chosen| chosen.upstream).collect();

        for (key, pause) in keys.iter().zip([3_000, 1_500]) {
            world.dispatcher.rests(at(10), *key, Some(at(pause)));
        }
        let verdict = world.offer(at(100), order(at(100)));

        let Verdict::Refuse(refused) = verdict else {
            panic!("{verdict:?}");
        };
        assert_eq!(refused.reason, RefusalReason::Resting);
        assert_eq!(refused.retry_after, at(1_410));
    }

    #[test]
    fn what_waits_for_room_is_refused_when_the_last_begins_to_rest() {
        let mut world = World::new();
        world.put(at(0), plain("d1"));
        let first = world.sent(at(1), order(at(1))).expect("there is room");
        while world.sent(at(1), order(at(1))).is_some() {}
        let Verdict::Wait(waits) = world.offer(at(2), order(at(2))) else {
            panic!("nothing waits");
        };

        world
            .dispatcher
            .rests(at(5), first.upstream, Some(at(2_000)));
        let verdicts = world.dispatcher.poll(at(5));

        assert_eq!(verdicts.len(), 1);
        let (key, verdict) = &verdicts[0];
        assert_eq!(*key, waits);
        assert!(matches!(verdict, Verdict::Refuse(r) if r.reason == RefusalReason::Resting));
    }

    #[test]
    fn times_that_are_absurd_or_cannot_be_read_are_bounded() {
        let mut world = World::new();
        let (key, _) = one_at_work(&mut world);

        let unreadable = world.dispatcher.rests(at(10), key, None);
        let endless = world.dispatcher.rests(at(10), key, Some(Moment::MAX));

        assert_eq!(unreadable, at(1_000));
        assert_eq!(endless, Moment::from_secs(24 * 3_600));
    }
}
