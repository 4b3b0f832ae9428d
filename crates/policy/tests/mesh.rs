//! Membership from seeds, and bounds that entries share.

use balsamjunction_policy::{
    membership::Membership,
    retry_window::{RetryWindowSettings, WindowedRetryBudget},
    sliding_window::SlidingWindowCounter,
    Moment,
};
use balsamjunction_protocol::mesh::{MemberRecord, ProcessRole};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn entry(n: usize) -> MemberRecord {
    MemberRecord {
        host: format!("edge-{n}").into(),
        role: ProcessRole::Entry,
        data_centre: format!("dc{}", n % 3).into(),
        address: format!("10.0.0.{}:7000", n + 1)
            .parse()
            .expect("an address"),
        incarnation: 1,
        beat: 0,
        leaving: false,
        reads_store: true,
        engine: None,
    }
}

/// What process `n` and its peer tell each other; gives the records and the pulses that were told.
fn exchange(views: &mut [Membership], n: usize, peer: usize, now: Moment) -> (usize, usize) {
    let mine = views[n].heartbeats(now);
    let own = views[n].own().clone();
    views[peer].merge_records(now, vec![own]);
    let lacks = views[peer].merge_heartbeats(now, &mine);
    let (records, pulses) = views[peer].updates_for(now, &mine);
    let asked_for = views[n].records_by_key(now, &lacks);
    let told = (
        1 + records.len() + asked_for.len(),
        mine.len() + pulses.len(),
    );
    views[n].merge_records(now, records);
    assert!(views[n].merge_heartbeats(now, &pulses).is_empty());
    views[peer].merge_records(now, asked_for);
    told
}

// At 240 hosts every exchange carried every record, some 40 KB, twice.
#[test]
fn processes_that_know_each_other_tell_no_records_but_their_own() {
    let mut views: Vec<_> = (0..35).map(|n| Membership::new(entry(n))).collect();
    let everybody: Vec<_> = (0..240).map(entry).collect();
    for view in &mut views {
        view.merge_records(at(0), everybody.clone());
    }
    let mut rng = Pcg64Mcg::seed_from_u64(3);

    let mut most = (0, 0);
    for round in 1..6 {
        let now = at(400 * round);
        for n in 0..views.len() {
            views[n].increment_heartbeat();
            let target = views[n].exchange_target(now, ProcessRole::Entry, &[], &mut rng);
            let peer = (0..35).find(|m| Some(entry(*m).address) == target);
            let Some(peer) = peer else { continue };
            let (records, pulses) = exchange(&mut views, n, peer, now);
            most = (most.0.max(records), most.1.max(pulses));
        }
    }

    assert_eq!(most.0, 1);
    assert!(most.1 <= 2 * 240);
}

// Beats that are told without records must keep their members alive as records did.
#[test]
fn beats_alone_keep_members_up_and_their_absence_does_not() {
    let mut views: Vec<_> = (0..6).map(|n| Membership::new(entry(n))).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let seeds = [entry(0).address];
    let stopped = 4;

    for round in 0..40 {
        let now = at(400 * round);
        for n in 0..views.len() {
            if n == stopped && round > 20 {
                continue;
            }
            views[n].increment_heartbeat();
            let target = views[n].exchange_target(now, ProcessRole::Entry, &seeds, &mut rng);
            let peer = (0..6).find(|m| Some(entry(*m).address) == target);
            let Some(peer) = peer.filter(|peer| *peer != stopped || round <= 20) else {
                continue;
            };
            exchange(&mut views, n, peer, now);
        }
    }

    let now = at(400 * 40);
    for (n, view) in views.iter().enumerate().filter(|(n, _)| *n != stopped) {
        let live = view.live(now, ProcessRole::Entry);
        let live: Vec<_> = live.map(|record| record.host.clone()).collect();
        assert_eq!(live.len(), 4, "entry {n} believes {live:?}");
        assert!(!live.contains(&entry(stopped).host));
    }
}

// A record that changes, as a sidecar's does when its engine turns, must pass whole.
#[test]
fn a_record_that_changes_is_told_whole() {
    let mut views: Vec<_> = (0..2).map(|n| Membership::new(entry(n))).collect();
    exchange(&mut views, 0, 1, at(0));

    views[0].set_reads_store(false);
    exchange(&mut views, 1, 0, at(10));

    let known = views[1].live(at(20), ProcessRole::Entry).next();
    assert_eq!(known.map(|record| record.reads_store), Some(false));
}

#[test]
fn processes_that_know_one_seed_find_each_other() {
    let mut views: Vec<_> = (0..20).map(|n| Membership::new(entry(n))).collect();
    let seeds = [entry(0).address];
    let mut rng = Pcg64Mcg::seed_from_u64(7);

    for round in 0..12 {
        let now = at(400 * round);
        for n in 0..views.len() {
            views[n].increment_heartbeat();
            let target = views[n].exchange_target(now, ProcessRole::Entry, &seeds, &mut rng);
            let Some(target) = target else { continue };
            let peer = (0..20)
                .find(|m| entry(*m).address == target)
                .expect("a known address");
            exchange(&mut views, n, peer, now);
        }
    }

    let now = at(400 * 12);
    assert!(views
        .iter()
        .all(|view| view.share_count(now, ProcessRole::Entry) == 20));
}

#[test]
fn a_silent_process_gets_no_calls_but_counts_until_it_is_surely_gone() {
    let mut view = Membership::new(entry(0));
    view.merge_records(at(0), vec![entry(1)]);

    assert_eq!(view.live(at(2_000), ProcessRole::Entry).count(), 1);
    assert_eq!(view.live(at(3_000), ProcessRole::Entry).count(), 0);
    assert_eq!(view.share_count(at(3_000), ProcessRole::Entry), 2);
    assert_eq!(view.share_count(at(6_500), ProcessRole::Entry), 1);
}

#[test]
fn news_of_the_dead_that_goes_round_does_not_keep_them_alive() {
    let mut view = Membership::new(entry(0));
    view.merge_records(at(0), vec![entry(1)]);

    view.merge_records(at(2_400), vec![entry(1)]);

    assert_eq!(view.live(at(2_600), ProcessRole::Entry).count(), 0);
}

/// Of `count` entries that all know each other, those that read the store; `change` alters records.
fn readers(count: usize, change: impl Fn(&mut MemberRecord)) -> Vec<MemberRecord> {
    let mut records: Vec<_> = (0..count).map(entry).collect();
    records.iter_mut().for_each(change);
    let views = records.iter().map(|own| {
        let mut view = Membership::new(own.clone());
        view.merge_records(at(0), records.clone());
        view
    });
    let reading = views.filter(|view| view.is_store_reader(at(10)));
    reading.map(|view| view.own().clone()).collect()
}

#[test]
fn two_entries_of_different_data_centres_read_the_store_for_all() {
    for count in [2, 4, 14] {
        let reading = readers(count, |_| {});

        assert_eq!(reading.len(), 2, "of {count}");
        assert_ne!(reading[0].data_centre, reading[1].data_centre);
    }
}

#[test]
fn an_entry_that_the_store_turns_away_does_not_read_for_others() {
    let usual: Vec<_> = readers(14, |_| {}).into_iter().map(|r| r.host).collect();

    let reading = readers(14, |record| {
        record.reads_store = !usual.contains(&record.host)
    });

    assert_eq!(reading.len(), 2);
    assert!(reading.iter().all(|record| !usual.contains(&record.host)));
}

#[test]
fn a_process_that_leaves_gets_no_calls_and_a_restart_brings_it_back() {
    let mut view = Membership::new(entry(0));
    let mut leaving = entry(1);
    leaving.beat = 9;
    leaving.leaving = true;
    view.merge_records(at(0), vec![leaving]);
    let gone = view.live(at(1), ProcessRole::Entry).count();

    let mut again = entry(1);
    again.incarnation = 2;
    view.merge_records(at(100), vec![again]);

    assert_eq!(gone, 0);
    assert_eq!(view.live(at(101), ProcessRole::Entry).count(), 1);
}

#[test]
fn entries_that_all_start_again_do_not_spend_the_slack_a_second_time() {
    let bound = RetryWindowSettings {
        window: at(10_000),
        ratio: 0.2,
        slack: 132.0,
    };
    let spend_all = |shares: &mut Vec<WindowedRetryBudget>, now: Moment, entries: usize| {
        let mut spent = 0;
        for share in shares {
            while share.try_withdraw(now, entries) {
                spent += 1;
            }
        }
        spent
    };
    let mut shares: Vec<_> = (0..14)
        .map(|_| WindowedRetryBudget::new(bound, at(0)))
        .collect();

    let before = spend_all(&mut shares, at(20_000), 14);
    let restarted = at(24_000);
    let mut shares: Vec<_> = (0..14)
        .map(|_| WindowedRetryBudget::new(bound, restarted + bound.window))
        .collect();
    // Each sees only itself at first.
    let after = spend_all(&mut shares, restarted, 1);
    let later = spend_all(&mut shares, restarted + bound.window, 14);

    assert!(before > 0);
    assert!(before + after <= 132, "{before} and {after}");
    assert!(later > 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Whatever the order of requests, the retries of all entries stay within the bound in every
    /// window.
    #[test]
    fn shares_of_retries_never_add_up_to_more_than_the_bound(
        events in prop::collection::vec((0usize..4, any::<bool>(), 0u64..40), 1..600)
    ) {
        let bound = RetryWindowSettings { window: at(10_000), ratio: 0.2, slack: 20.0 };
        let mut shares: Vec<_> = (0..4).map(|_| WindowedRetryBudget::new(bound, at(0))).collect();
        let mut requests = SlidingWindowCounter::new(bound.window);
        let mut retries = SlidingWindowCounter::new(bound.window);
        let mut now = at(0);
        for (entry, retry, pause) in events {
            now += at(pause);
            if !retry {
                shares[entry].record_request(now);
                requests.add(now);
            } else if shares[entry].try_withdraw(now, 4) {
                retries.add(now);
            }
            let most = bound.ratio * requests.count(now) as f64 + bound.slack;
            prop_assert!(retries.count(now) as f64 <= most);
        }
    }
}
