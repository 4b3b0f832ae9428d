//! Decisions of an entry: selection and ejection of upstreams, and retries.

use std::collections::BTreeMap;

use balsamjunction_policy::{
    retry::{next_step, Attempt, NextStep, RetryBudget, MAX_ATTEMPTS},
    router::{Feedback, Router, SelectionConstraints, SelectionPolicy, UpstreamKey, SUBSET_SIZE},
    Moment,
};
use balsamjunction_protocol::{LoadReport, Outcome, Refusal};
use balsamjunction_settings::{read_fleet, Fleet};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;

fn fleet(hosts: usize, out: bool) -> Fleet {
    let upstreams: Vec<String> = (0..hosts)
        .map(|n| {
            let data_centre = if n % 2 == 0 { "near" } else { "away" };
            format!(
                r#"{{"host": "h{n}", "data_centre": "{data_centre}", "sidecar": "10.0.{}.{}:7000"}}"#,
                n / 250,
                n % 250
            )
        })
        .collect();
    let text = format!(
        r#"{{
            "data_centres": {{
                "near": {{"region": "r1"}},
                "away": {{"region": "r1", "in_service": {}}}
            }},
            "pools": {{"p": {{"kind": "service", "upstreams": [{}]}}}}
        }}"#,
        !out,
        upstreams.join(",")
    );
    read_fleet(text.as_bytes()).expect("the fixture is valid")
}

fn router(choice: SelectionPolicy) -> Router {
    let rng = Pcg64Mcg::seed_from_u64(3);
    Router::new("entry".into(), "near".into(), choice, rng)
}

fn ms(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn responded(running: u32, limit: u32) -> Feedback {
    Feedback::Responded {
        load: LoadReport {
            running,
            waiting: 0,
            limit,
        },
        elapsed: ms(10),
        upstream_time: ms(9),
    }
}

fn choose(router: &mut Router, now: Moment) -> Option<UpstreamKey> {
    let chosen = router.choose(now, "p", &SelectionConstraints::default())?;
    router.end_attempt(chosen);
    Some(chosen)
}

fn host(router: &Router, key: UpstreamKey) -> SmolStr {
    router
        .get(key)
        .expect("the key was just returned")
        .host
        .clone()
}

#[test]
fn an_upstream_out_of_service_is_never_chosen() {
    let mut router = router(SelectionPolicy::TwoChoices);
    router.configure(ms(0), &fleet(6, true), &[]);

    let chosen: Vec<UpstreamKey> = (0..200)
        .filter_map(|n| choose(&mut router, ms(n)))
        .collect();
    let chosen: Vec<SmolStr> = chosen.into_iter().map(|key| host(&router, key)).collect();

    assert_eq!(chosen.len(), 200);
    assert!(chosen
        .iter()
        .all(|name| ["h0", "h2", "h4"].contains(&name.as_str())));
}

#[test]
fn a_leaving_upstream_is_never_chosen() {
    let mut router = router(SelectionPolicy::TwoChoices);
    router.configure(ms(0), &fleet(2, false), &["h0".into()]);

    let chosen = (0..50).filter_map(|n| choose(&mut router, ms(n)));
    let names: Vec<UpstreamKey> = chosen.collect();

    assert!(names.iter().all(|key| host(&router, *key) == "h1"));
}

#[test]
fn the_less_loaded_of_two_is_chosen() {
    let mut router = router(SelectionPolicy::TwoChoices);
    router.configure(ms(0), &fleet(2, false), &[]);
    let busy = router.on_host("h0").expect("h0 is declared");
    router.record_feedback(ms(0), busy, responded(8, 8));

    let idle = (0..100).filter_map(|_| choose(&mut router, ms(1)));
    let idle = idle.filter(|key| *key != busy).count();

    // Both random choices hit the busy upstream in a quarter of the cases.
    assert!(idle > 60, "{idle} of 100 went to the idle upstream");
}

#[test]
fn an_old_load_report_loses_its_weight() {
    let mut router = router(SelectionPolicy::TwoChoices);
    router.configure(ms(0), &fleet(2, false), &[]);
    let was_busy = router.on_host("h0").expect("h0 is declared");
    router.record_feedback(ms(0), was_busy, responded(8, 8));

    let later = ms(10_000);
    let chosen = (0..100).filter_map(|_| choose(&mut router, later));

    assert!(chosen.filter(|key| *key == was_busy).count() > 20);
}

#[test]
fn a_failing_upstream_is_ejected_and_probed_later() {
    let mut router = router(SelectionPolicy::TwoChoices);
    router.configure(ms(0), &fleet(2, false), &[]);
    let failing = router.on_host("h0").expect("h0 is declared");

    let first = router.record_feedback(ms(0), failing, Feedback::Failed);
    let second = router.record_feedback(ms(0), failing, Feedback::Failed);
    let while_ejected = (0..50).filter_map(|_| choose(&mut router, ms(100)));
    let while_ejected = while_ejected.filter(|key| *key == failing).count();
    let after = (0..50).filter_map(|_| choose(&mut router, ms(300)));
    let after = after.filter(|key| *key == failing).count();
    let probe_failed = router.record_feedback(ms(300), failing, Feedback::Failed);

    assert_eq!((first, second, probe_failed), (false, true, true));
    assert_eq!(while_ejected, 0);
    assert!(after > 0);
}

#[test]
fn with_all_upstreams_ejected_one_is_still_probed() {
    let mut router = router(SelectionPolicy::TwoChoices);
    router.configure(ms(0), &fleet(1, false), &[]);
    let only = router.on_host("h0").expect("h0 is declared");
    router.record_feedback(ms(0), only, Feedback::Failed);
    router.record_feedback(ms(0), only, Feedback::Failed);

    assert_eq!(choose(&mut router, ms(1)), Some(only));
}

#[test]
fn a_prefix_keeps_its_upstream_until_the_load_is_unbalanced() {
    let mut router = router(SelectionPolicy::TwoChoices);
    router.configure(ms(0), &fleet(8, false), &[]);
    let constraints = SelectionConstraints {
        affinity: Some(42),
        ..SelectionConstraints::default()
    };
    let preferred = router
        .choose(ms(0), "p", &constraints)
        .expect("upstreams are free");
    router.end_attempt(preferred);
    let again = router
        .choose(ms(0), "p", &constraints)
        .expect("upstreams are free");
    router.end_attempt(again);

    router.record_feedback(ms(0), preferred, responded(8, 8));
    let elsewhere = router
        .choose(ms(0), "p", &constraints)
        .expect("upstreams are free");

    assert_eq!(preferred, again);
    assert_ne!(preferred, elsewhere);
}

#[test]
fn each_entry_uses_a_bounded_subset_and_all_entries_together_cover_the_pool() {
    let fleet = fleet(400, false);
    let mut used: BTreeMap<SmolStr, u32> = BTreeMap::new();

    for n in 0..100 {
        let rng = Pcg64Mcg::seed_from_u64(n);
        let name = SmolStr::new(format!("entry-{n}"));
        let mut router = Router::new(name, "near".into(), SelectionPolicy::TwoChoices, rng);
        router.configure(ms(0), &fleet, &[]);
        let subset = (0..400).filter(|n| router.on_host(&format!("h{n}")).is_some());
        let subset: Vec<usize> = subset.collect();
        assert_eq!(subset.len(), SUBSET_SIZE);
        for n in subset {
            *used.entry(format!("h{n}").into()).or_default() += 1;
        }
    }

    assert!(
        used.len() > 390,
        "only {} of 400 upstreams are used",
        used.len()
    );
}

fn attempt(outcome: Outcome) -> Attempt {
    Attempt {
        number: 1,
        outcome,
        refusal: None,
        repeatable: false,
        keyed: false,
        body_buffered: true,
        remaining: Moment::from_secs(1),
    }
}

fn step(attempt: &Attempt) -> NextStep {
    next_step(attempt, &mut RetryBudget::default())
}

#[test]
fn a_request_that_did_not_run_is_retried() {
    assert_eq!(step(&attempt(Outcome::NotRun)), NextStep::Retry);
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_it_is_repeatable() {
    let once = attempt(Outcome::Unknown);
    let repeatable = Attempt {
        repeatable: true,
        ..once
    };

    assert_eq!(step(&once), NextStep::Abort);
    assert_eq!(step(&repeatable), NextStep::Retry);
}

#[test]
fn a_keyed_request_never_goes_to_another_upstream() {
    for outcome in [Outcome::NotRun, Outcome::Unknown] {
        let keyed = Attempt {
            keyed: true,
            ..attempt(outcome)
        };
        assert_eq!(step(&keyed), NextStep::Abort);
    }
}

#[test]
fn nothing_is_retried_without_body_time_or_attempts() {
    let base = attempt(Outcome::NotRun);
    let no_body = Attempt {
        body_buffered: false,
        ..base
    };
    let no_time = Attempt {
        remaining: Moment::ZERO,
        ..base
    };
    let no_attempts = Attempt {
        number: MAX_ATTEMPTS,
        ..base
    };

    for attempt in [no_body, no_time, no_attempts] {
        assert_eq!(step(&attempt), NextStep::Abort);
    }
}

#[test]
fn a_request_that_crashes_upstreams_is_not_retried() {
    let crashing = Attempt {
        refusal: Some(Refusal::CrashesUpstreams),
        ..attempt(Outcome::NotRun)
    };

    assert_eq!(step(&crashing), NextStep::Abort);
}

#[test]
fn retries_stay_in_proportion_to_first_attempts() {
    let mut budget = RetryBudget::default();
    let failing = attempt(Outcome::NotRun);

    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit(20);
        retries += u32::from(next_step(&failing, &mut budget) == NextStep::Retry);
    }

    assert!(
        (200..=221).contains(&retries),
        "{retries} retries of 1000 requests"
    );
}
