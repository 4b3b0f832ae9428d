//! Upstreams that state a limit on the requests from all entries together.

use balsamjunction_policy::stated_limits::{StatedLimit, StatedLimits};

use super::*;

/// A time after which an entry that started at zero knows all others.
const SETTLED: Moment = Moment::from_secs(10);

/// A plain upstream in the other data centre, which is selected only if no nearby one can be used.
fn remote_record(id: &str) -> UpstreamRecord {
    UpstreamRecord {
        data_centre: "mekelle-a".into(),
        ..plain_record(id)
    }
}

/// Registers a plain upstream with a limit of `per_s`, which is preferred, and others without one.
fn cluster_with_limit(others: &[&str], per_s: f64, entries: usize) -> TestCluster {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), plain_record("limited"));
    for id in others {
        cluster.register(millis(0), remote_record(id));
    }
    cluster.configure(&[], entries);
    state_limit(&mut cluster, SETTLED, "limited", Some(per_s));
    cluster
}

fn state_limit(cluster: &mut TestCluster, now: Moment, id: &str, per_s: Option<f64>) {
    let mut limits = StatedLimits::default();
    limits.record_response(now, now, &(id.into(), 1), per_s);
    cluster.dispatcher.set_limits(now, &limits);
}

/// Sends a request every `pause_ms` milliseconds for `duration`, each of which is served at once; returns
/// the ids of the upstreams, and the number of requests that were refused or had to wait.
fn send_steadily(
    cluster: &mut TestCluster,
    from: Moment,
    duration: Moment,
    pause_ms: u64,
) -> (Vec<SmolStr>, usize) {
    let mut now = from;
    let (mut ids, mut not_sent) = (Vec::new(), 0);
    while now < from + duration {
        match cluster.try_send(now, plain_request(now)) {
            Some(selected) => {
                ids.push(cluster.upstream_id(selected.upstream));
                let key = selected.upstream;
                let served = AttemptOutcome::Served;
                cluster.dispatcher.record_outcome(now, key, 0.0, served);
            }
            None => not_sent += 1,
        }
        now += millis(pause_ms);
    }
    (ids, not_sent)
}

fn count(ids: &[SmolStr], id: &str) -> usize {
    ids.iter().filter(|sent| *sent == id).count()
}

// Guards against requests beyond the limit of an upstream, and against a limit that slows down the others.
#[test]
fn the_only_entry_sends_an_upstream_its_limit_and_the_rest_elsewhere() {
    let mut cluster = cluster_with_limit(&["free"], 2.0, 1);

    let (ids, not_sent) = send_steadily(&mut cluster, SETTLED, Moment::from_secs(8), 10);

    assert_eq!(not_sent, 0);
    let limited = count(&ids, "limited");
    assert!((14..=17).contains(&limited), "{limited} in 8 s");
    assert_eq!(ids.len(), 800);
}

// Guards against requests that wait for an upstream whose limit is used up although no other can serve them.
#[test]
fn with_every_limit_used_up_a_request_is_refused_at_once_until_the_next_one_is_allowed() {
    let mut cluster = cluster_with_limit(&[], 0.5, 1);

    let now = SETTLED + millis(500);
    let decision = cluster.submit(now, plain_request(now));

    let DispatchDecision::Refuse(refusal) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Limited);
    assert_eq!(refusal.retry_after, millis(1_500));
    let limited = refusal.limited.map(|key| cluster.upstream_id(key));
    assert_eq!(limited.as_deref(), Some("limited"));
}

// Guards against a decision about a limit that no log line explains.
#[test]
fn a_request_that_a_limit_sends_elsewhere_names_the_limited_upstream() {
    let mut cluster = cluster_with_limit(&["free"], 1.0, 1);

    let selected = cluster.try_send(SETTLED, plain_request(SETTLED));

    let selected = selected.expect("the free upstream has capacity");

    assert_eq!(cluster.upstream_id(selected.upstream), "free");
    let instead_of = selected.instead_of.map(|key| cluster.upstream_id(key));
    assert_eq!(instead_of.as_deref(), Some("limited"));
}

// Guards against requests that were assigned before a limit was learned and are sent after it, when their
// connections are established.
#[test]
fn a_request_that_waits_for_its_connection_when_a_limit_is_learned_needs_a_place_in_it() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), plain_record("limited"));
    let before: Vec<_> = (0..5)
        .filter_map(|_| cluster.try_send(SETTLED, plain_request(SETTLED)))
        .collect();
    state_limit(&mut cluster, SETTLED + millis(1), "limited", Some(1.0));

    let confirmed = |cluster: &mut TestCluster, now: Moment| {
        let selected = before.iter();
        let allowed = selected.filter(|s| cluster.dispatcher.confirm_send(now, s));
        allowed.count()
    };
    let at_once = confirmed(&mut cluster, SETTLED + millis(2));
    let later = confirmed(&mut cluster, SETTLED + millis(1_200));

    assert_eq!(before.len(), 5);
    assert_eq!(at_once, 0);
    assert_eq!(later, 1);
}

// Guards against a place in the limit that is taken twice: at the selection and at the connection.
#[test]
fn a_request_assigned_under_the_limit_is_confirmed_without_another_place() {
    let mut cluster = cluster_with_limit(&[], 1.0, 1);
    let now = SETTLED + millis(1_100);

    let selected = cluster
        .try_send(now, plain_request(now))
        .expect("there is a place");
    let confirmed = cluster.dispatcher.confirm_send(now + millis(5), &selected);

    assert!(confirmed);
}

// Guards against a raised or ended limit that is still kept.
#[test]
fn a_raised_limit_and_the_end_of_a_limit_take_effect_at_once() {
    let mut cluster = cluster_with_limit(&[], 1.0, 1);
    let (low, _) = send_steadily(&mut cluster, SETTLED, Moment::from_secs(4), 10);

    let raised_at = SETTLED + Moment::from_secs(4);
    state_limit(&mut cluster, raised_at, "limited", Some(20.0));
    let (raised, _) = send_steadily(&mut cluster, raised_at, Moment::from_secs(4), 10);
    let ended_at = raised_at + Moment::from_secs(4);
    state_limit(&mut cluster, ended_at, "limited", None);
    let (ended, not_sent) = send_steadily(&mut cluster, ended_at, Moment::from_secs(4), 10);

    assert!((3..=4).contains(&low.len()), "{}", low.len());
    assert!((75..=85).contains(&raised.len()), "{}", raised.len());
    assert_eq!((ended.len(), not_sent), (400, 0));
}

// Guards against a limit of zero that can never be seen to end, since no request reaches the upstream.
#[test]
fn an_upstream_with_a_limit_of_zero_still_receives_a_request_at_times() {
    let mut cluster = cluster_with_limit(&[], 0.0, 1);

    let (ids, _) = send_steadily(&mut cluster, SETTLED, Moment::from_secs(30), 10);

    assert!((1..=3).contains(&ids.len()), "{}", ids.len());
}

// Guards against a gateway that has just started, knows no other, and uses the whole limit.
#[test]
fn an_entry_that_has_just_started_sends_nothing_to_a_limited_upstream() {
    let mut cluster = TestCluster::started_at(SETTLED);
    cluster.register(SETTLED, plain_record("limited"));
    cluster.register(SETTLED, remote_record("free"));
    state_limit(&mut cluster, SETTLED, "limited", Some(40.0));

    let (ids, not_sent) = send_steadily(&mut cluster, SETTLED, Moment::from_secs(2), 10);

    assert_eq!(count(&ids, "limited"), 0);
    assert_eq!(not_sent, 0);
}

// Guards against limits that are kept for first sends only: retries and resumed streams are submitted again.
#[test]
fn retries_take_places_in_the_limit_like_first_sends() {
    let mut cluster = cluster_with_limit(&["free-1", "free-2"], 1.0, 1);
    let mut sent = 0;

    for n in 0..400 {
        let now = SETTLED + millis(10 * n);
        let mut request = plain_request(now);
        // The first attempt was at another upstream, which failed.
        let failed = cluster.dispatcher.submit(now, request.clone());
        if let DispatchDecision::Send(selected) = failed {
            let outcome = AttemptOutcome::Failed;
            let key = selected.upstream;
            cluster.dispatcher.record_outcome(now, key, 0.0, outcome);
            sent += usize::from(cluster.upstream_id(key) == "limited");
            request.tried.push(key);
        }
        if let Some(selected) = cluster.try_send(now, request) {
            let key = selected.upstream;
            let outcome = AttemptOutcome::Served;
            cluster.dispatcher.record_outcome(now, key, 0.0, outcome);
            sent += usize::from(cluster.upstream_id(key) == "limited");
        }
    }

    assert!((1..=5).contains(&sent), "{sent} in 4 s");
}

// Guards against a limit that lifts the bound on requests to a cold upstream, or the other way round.
#[test]
fn a_cold_upstream_with_a_limit_keeps_the_lower_of_the_two_bounds() {
    for (per_s, most) in [(2.0, 3), (100.0, 28)] {
        let mut cluster = TestCluster::new();
        let mut cold = engine_record("limited", "addis-a");
        cold.cold_remaining_ms = 3_000;
        cluster.register(SETTLED, cold);
        state_limit(&mut cluster, SETTLED, "limited", Some(per_s));

        let mut sent = 0;
        for n in 0..200 {
            let now = SETTLED + millis(5 * n);
            if let Some(selected) = cluster.try_send(now, engine_request(now)) {
                let key = selected.upstream;
                let outcome = AttemptOutcome::Served;
                cluster.dispatcher.record_outcome(now, key, 900.0, outcome);
                sent += 1;
            }
        }

        assert!(sent >= 1 && sent <= most, "{sent} at a limit of {per_s}");
    }
}

// Guards against a refusal that promises a place at an upstream that is leaving.
#[test]
fn a_limited_upstream_that_leaves_gets_nothing_and_is_not_waited_for() {
    let mut cluster = cluster_with_limit(&[], 1.0, 1);
    let now = SETTLED + millis(1_100);
    let selected = cluster
        .try_send(now, plain_request(now))
        .expect("there is a place");
    cluster.dispatcher.mark_leaving(selected.upstream, false);

    let later = now + Moment::from_secs(4);
    let decision = cluster.submit(later, plain_request(later));

    assert!(
        matches!(&decision, DispatchDecision::Refuse(r) if r.reason == RefusalReason::NoUpstream),
        "{decision:?}"
    );
}

// Guards against a wait for capacity that ignores a limit learned meanwhile.
#[test]
fn a_waiting_request_is_refused_when_the_last_upstream_states_a_limit() {
    let mut cluster = TestCluster::new();
    cluster.register(millis(0), plain_record("limited"));
    while cluster.try_send(SETTLED, plain_request(SETTLED)).is_some() {}
    let DispatchDecision::Wait(wait_key) = cluster.submit(SETTLED, plain_request(SETTLED)) else {
        panic!("the request does not wait");
    };

    state_limit(&mut cluster, SETTLED + millis(5), "limited", Some(1.0));
    let decisions = cluster.dispatcher.poll(SETTLED + millis(5));

    assert_eq!(decisions.len(), 1);
    let (key, decision) = &decisions[0];
    assert_eq!(*key, wait_key);
    assert!(matches!(decision, DispatchDecision::Refuse(r) if r.reason == RefusalReason::Limited));
}

// Guards against status pages that show a limited upstream as one in full use.
#[test]
fn a_limited_upstream_is_counted_as_limited() {
    let mut cluster = cluster_with_limit(&["free"], 1.0, 1);

    let counts = cluster.dispatcher.count_by_condition(SETTLED);
    state_limit(&mut cluster, SETTLED, "limited", None);
    let counts_after = cluster.dispatcher.count_by_condition(SETTLED);

    assert_eq!(counts.get(&UpstreamCondition::Limited), Some(&1));
    assert_eq!(counts_after.get(&UpstreamCondition::Limited), None);
}

/// A limit that the upstream has just stated.
fn confirmed(per_s: f64) -> StatedLimit {
    StatedLimit {
        per_s,
        confirmed_at: SETTLED,
    }
}

fn share_of(own: &Entries, per_s: f64) -> f64 {
    own.limit_share("limited", "addis-a", confirmed(per_s), SETTLED)
}

/// Requests that the platform allows in 4 s at a limit: one and a half times the limit, and five.
fn allowed(per_s: f64) -> f64 {
    6.0 * per_s + 5.0
}

/// The most requests that all entries can send in 4 s: their shares, and one request of each that holds one.
fn most_sent(entries: &[Entries], per_s: f64) -> f64 {
    let shares = entries.iter().map(|own| share_of(own, per_s));
    let sent = shares.filter(|share| *share > 0.0);
    sent.map(|share| 4.0 * share + (0.25 * share).max(1.0))
        .sum()
}

// Guards against shares that add up to more than the limit, and against a limit that nobody may use. An even
// part of a low limit is less than one request in 4 s; with one request of each entry, hundreds of them send
// hundreds.
#[test]
fn the_shares_of_any_number_of_entries_add_up_to_the_limit() {
    for count in [1, 2, 4, 35, 100, 570] {
        for per_s in [0.1, 0.5, 1.0, 1.3, 3.7, 20.0, 400.0] {
            let entries: Vec<_> = (0..count).map(|own| test_entries(own, count)).collect();

            let shares = entries.iter().map(|own| share_of(own, per_s));
            let total: f64 = shares.sum();

            assert!(
                (total - per_s).abs() < 1e-6,
                "{total} of {per_s}, {count} entries"
            );
            let most = most_sent(&entries, per_s);
            assert!(most <= allowed(per_s), "{most} of {per_s}, {count} entries");
        }
    }
}

// Guards against shares that are held by entries which never send to the upstream: those far from it, or whose
// callers' requests may not leave their region.
#[test]
fn entries_in_the_data_centre_of_a_limited_upstream_hold_its_shares_first() {
    let mut entries: Vec<_> = (0..30).map(|own| test_entries(own, 30)).collect();
    for own in &mut entries {
        for (n, entry) in own.all.iter_mut().enumerate() {
            entry.data_centre = format!("dc{}", n % 6).into();
        }
    }

    let holders = |per_s: f64| -> Vec<usize> {
        let share =
            |n: &usize| entries[*n].limit_share("limited", "dc2", confirmed(per_s), SETTLED);
        (0..entries.len()).filter(|n| share(n) > 0.0).collect()
    };
    let low = holders(1.0);
    let high = holders(10.0);

    assert_eq!(low.len(), 3);
    assert!(low.iter().all(|n| n % 6 == 2), "{low:?}");
    assert_eq!(high.len(), 12);
    assert_eq!(high.iter().filter(|n| *n % 6 == 2).count(), 5, "{high:?}");
}

// Guards against a limit that is kept for ever because its holders have no requests for the upstream.
#[test]
fn while_no_response_confirms_a_limit_every_entry_gets_a_turn_within_the_allowance() {
    for (count, per_s) in [(1, 1.0), (4, 1.0), (35, 0.2), (35, 10.0)] {
        let entries: Vec<_> = (0..count).map(|own| test_entries(own, count)).collect();
        let mut had_share = vec![false; count];

        for tens in 0..=count as u64 {
            let now = SETTLED + Moment::from_secs(10 * tens);
            let shares = entries
                .iter()
                .map(|own| own.limit_share("limited", "addis-a", confirmed(per_s), now));
            let shares: Vec<f64> = shares.collect();
            let sent = shares.iter().filter(|share| **share > 0.0);
            let most: f64 = sent
                .map(|share| 4.0 * share + (0.25 * share).max(1.0))
                .sum();
            assert!(most <= allowed(per_s), "{most} of {per_s}, {count} entries");
            for (had, share) in had_share.iter_mut().zip(&shares) {
                *had |= *share > 0.0;
            }
        }

        assert!(had_share.iter().all(|had| *had), "{count} entries");
    }
}

// Guards against views that differ by a few entries, after which too many entries take themselves for holders.
#[test]
fn entries_whose_views_lack_some_others_stay_within_the_allowance() {
    for count in [4, 35, 300] {
        for per_s in [0.5, 1.0, 1.3, 5.0, 20.0] {
            let mut entries: Vec<_> = (0..count).map(|own| test_entries(own, count)).collect();
            for (n, own) in entries.iter_mut().enumerate() {
                let name = own.own.clone();
                // Each entry lacks another tenth of the others.
                let mut index = 0;
                own.all.retain(|entry| {
                    index += 1;
                    entry.host == name || (index + n) % 10 != 0
                });
            }

            let most = most_sent(&entries, per_s);

            assert!(most <= allowed(per_s), "{most} of {per_s}, {count} entries");
        }
    }
}
