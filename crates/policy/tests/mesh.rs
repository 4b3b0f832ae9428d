//! Gossip membership, election of store readers, and retry budgets that entries share.

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

fn ms(ms: u64) -> Moment {
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
        heartbeat: 0,
        leaving: false,
        reads_store: true,
        engine: None,
    }
}

/// Exchanges views between process `n` and `peer`; returns the numbers of records and of heartbeats that
/// were sent.
fn exchange(views: &mut [Membership], n: usize, peer: usize, now: Moment) -> (usize, usize) {
    let heartbeats = views[n].heartbeats(now);
    let own = views[n].own().clone();
    views[peer].merge_records(now, vec![own]);
    let unknown_keys = views[peer].merge_heartbeats(now, &heartbeats);
    let (records, newer) = views[peer].updates_for(now, &heartbeats);
    let requested = views[n].records_by_key(now, &unknown_keys);
    let sent = (
        1 + records.len() + requested.len(),
        heartbeats.len() + newer.len(),
    );
    views[n].merge_records(now, records);
    assert!(views[n].merge_heartbeats(now, &newer).is_empty());
    views[peer].merge_records(now, requested);
    sent
}

// Guards against exchanges that send every record: at 240 hosts that was about 40 KB, twice per
// exchange.
#[test]
fn processes_that_know_each_other_send_only_their_own_records() {
    let mut views: Vec<_> = (0..35).map(|n| Membership::new(entry(n))).collect();
    let all: Vec<_> = (0..240).map(entry).collect();
    for view in &mut views {
        view.merge_records(ms(0), all.clone());
    }
    let mut rng = Pcg64Mcg::seed_from_u64(3);

    let mut max_sent = (0, 0);
    for round in 1..6 {
        let now = ms(400 * round);
        for n in 0..views.len() {
            views[n].increment_heartbeat();
            let target = views[n].exchange_target(now, ProcessRole::Entry, &[], &mut rng);
            let peer = (0..35).find(|m| Some(entry(*m).address) == target);
            let Some(peer) = peer else { continue };
            let (records, newer) = exchange(&mut views, n, peer, now);
            max_sent = (max_sent.0.max(records), max_sent.1.max(newer));
        }
    }

    assert_eq!(max_sent.0, 1);
    assert!(max_sent.1 <= 2 * 240);
}

// Guards against members that are suspected because only their heartbeats, not their records, are
// sent.
#[test]
fn heartbeats_alone_keep_members_live_and_without_them_members_expire() {
    let mut views: Vec<_> = (0..6).map(|n| Membership::new(entry(n))).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let seeds = [entry(0).address];
    let stopped = 4;

    for round in 0..40 {
        let now = ms(400 * round);
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

    let now = ms(400 * 40);
    for (n, view) in views.iter().enumerate().filter(|(n, _)| *n != stopped) {
        let live = view.live(now, ProcessRole::Entry);
        let live: Vec<_> = live.map(|record| record.host.clone()).collect();
        assert_eq!(live.len(), 4, "entry {n} considers {live:?} live");
        assert!(!live.contains(&entry(stopped).host));
    }
}

// Guards against peers that receive only the heartbeat of a changed record. A sidecar's record changes
// when its engine switches versions.
#[test]
fn a_changed_record_is_sent_completely() {
    let mut views: Vec<_> = (0..2).map(|n| Membership::new(entry(n))).collect();
    exchange(&mut views, 0, 1, ms(0));

    views[0].set_reads_store(false);
    exchange(&mut views, 1, 0, ms(10));

    let known = views[1].live(ms(20), ProcessRole::Entry).next();
    assert_eq!(known.map(|record| record.reads_store), Some(false));
}

#[test]
fn processes_that_know_one_seed_find_each_other() {
    let mut views: Vec<_> = (0..20).map(|n| Membership::new(entry(n))).collect();
    let seeds = [entry(0).address];
    let mut rng = Pcg64Mcg::seed_from_u64(7);

    for round in 0..12 {
        let now = ms(400 * round);
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

    let now = ms(400 * 12);
    assert!(views
        .iter()
        .all(|view| view.share_count(now, ProcessRole::Entry) == 20));
}

#[test]
fn a_suspected_process_gets_no_calls_but_still_counts_in_shares() {
    let mut view = Membership::new(entry(0));
    view.merge_records(ms(0), vec![entry(1)]);

    assert_eq!(view.live(ms(2_000), ProcessRole::Entry).count(), 1);
    assert_eq!(view.live(ms(3_000), ProcessRole::Entry).count(), 0);
    assert_eq!(view.share_count(ms(3_000), ProcessRole::Entry), 2);
    assert_eq!(view.share_count(ms(7_199_000), ProcessRole::Entry), 2);
    assert_eq!(view.share_count(ms(7_200_000), ProcessRole::Entry), 1);
}

// Guards against parts of a partitioned fleet that divide a common limit among themselves only, and against
// shares of entries that have stopped as planned.
#[test]
fn a_silent_entry_counts_in_shares_for_two_hours_and_a_stopped_one_does_not() {
    let mut view = Membership::new(entry(0));
    let mut leaving = entry(2);
    leaving.leaving = true;
    view.merge_records(ms(0), vec![entry(1), leaving]);
    let sharing_at = |view: &mut Membership, now: Moment| {
        view.expire(now);
        let entries = view.entries(now);
        let hosts = entries.all.into_iter().map(|entry| entry.host);
        hosts.map(|host| host.to_string()).collect::<Vec<_>>()
    };

    let at_first = sharing_at(&mut view, ms(1_000));
    let after_a_minute = sharing_at(&mut view, ms(60_000));
    let after_two_hours = sharing_at(&mut view, ms(2 * 3_600_000));

    assert_eq!(at_first, ["edge-0", "edge-1", "edge-2"]);
    assert_eq!(after_a_minute, ["edge-0", "edge-1"]);
    assert_eq!(after_two_hours, ["edge-0"]);
}

/// The views of `count` entries that knew each other, after `silence` in two partitions.
fn partitioned_views(count: usize, silence: Moment) -> Vec<Membership> {
    let records: Vec<_> = (0..count).map(entry).collect();
    let mut views: Vec<_> = records.iter().cloned().map(Membership::new).collect();
    for (n, view) in views.iter_mut().enumerate() {
        view.merge_records(ms(0), records.clone());
        let mut own_part: Vec<_> = records.iter().skip(n % 2).step_by(2).cloned().collect();
        for record in &mut own_part {
            record.heartbeat = 9;
        }
        view.merge_records(silence, own_part);
        view.expire(silence);
    }
    views
}

// Guards against bounds that are summed over all entries and that each part of a partitioned fleet uses in full: a
// cold upstream, or the retries to a service, are reached from both parts.
#[test]
fn parts_of_a_partitioned_fleet_do_not_use_a_common_bound_twice() {
    let cold_per_s = 28.0;
    let settings = RetryWindowSettings {
        window: ms(10_000),
        ratio: 0.0,
        slack: 132.0,
    };
    for (count, silence) in [(4, 7_000), (14, 60_000), (100, 3_600_000)] {
        let now = ms(silence);
        let views = partitioned_views(count, now);

        let cold_shares = views.iter().map(|view| {
            let entries = view.entries(now);
            entries.rate_share("cold", cold_per_s)
        });
        let cold: f64 = cold_shares.sum();
        let retries = views.iter().map(|view| {
            let entries = view.share_count(now, ProcessRole::Entry);
            let mut budget = WindowedRetryBudget::new(settings, ms(0));
            budget.remaining(now, entries)
        });
        let retries: usize = retries.sum();

        assert!(
            cold <= 1.5 * cold_per_s + 5.0,
            "{cold} a second, {count} entries"
        );
        assert!(
            retries as f64 <= settings.slack,
            "{retries} retries, {count} entries"
        );
    }
}

#[test]
fn stale_records_that_still_circulate_do_not_keep_a_member_live() {
    let mut view = Membership::new(entry(0));
    view.merge_records(ms(0), vec![entry(1)]);

    view.merge_records(ms(2_400), vec![entry(1)]);

    assert_eq!(view.live(ms(2_600), ProcessRole::Entry).count(), 0);
}

/// Returns the store readers among `count` entries that all know each other; `change` modifies the
/// entries' records.
fn readers(count: usize, change: impl Fn(&mut MemberRecord)) -> Vec<MemberRecord> {
    let mut records: Vec<_> = (0..count).map(entry).collect();
    records.iter_mut().for_each(change);
    let views = records.iter().map(|own| {
        let mut view = Membership::new(own.clone());
        view.merge_records(ms(0), records.clone());
        view
    });
    let selected = views.filter(|view| view.is_store_reader(ms(10)));
    selected.map(|view| view.own().clone()).collect()
}

#[test]
fn two_entries_of_different_data_centres_read_the_store() {
    for count in [2, 4, 14] {
        let selected = readers(count, |_| {});

        assert_eq!(selected.len(), 2, "of {count}");
        assert_ne!(selected[0].data_centre, selected[1].data_centre);
    }
}

#[test]
fn an_entry_that_the_store_rejects_does_not_read_for_others() {
    let default_readers: Vec<_> = readers(14, |_| {}).into_iter().map(|r| r.host).collect();

    let selected = readers(14, |record| {
        record.reads_store = !default_readers.contains(&record.host)
    });

    assert_eq!(selected.len(), 2);
    assert!(selected
        .iter()
        .all(|record| !default_readers.contains(&record.host)));
}

// Guards against a fleet in which nobody sees the end of an outage soon.
#[test]
fn two_entries_go_on_reading_if_the_store_responds_to_none() {
    let selected = readers(14, |record| record.reads_store = false);

    assert_eq!(selected.len(), 2);
    assert_ne!(selected[0].data_centre, selected[1].data_centre);
}

// Guards against entries that all read the store at once where the readers are late (zvh-vorbestell-grown).
#[test]
fn entries_take_turns_where_the_readers_provide_nothing() {
    let records: Vec<_> = (0..24).map(entry).collect();
    let views = records.iter().map(|own| {
        let mut view = Membership::new(own.clone());
        view.merge_records(ms(0), records.clone());
        view
    });

    let (readers, others): (Vec<_>, Vec<_>) = views.partition(|view| view.is_store_reader(ms(10)));
    let mut ranks: Vec<usize> = others
        .iter()
        .map(|view| view.reading_rank(ms(10)))
        .collect();

    ranks.sort_unstable();
    assert_eq!(readers.len(), 2);
    assert_eq!(ranks, [0, 1].into_iter().chain(4..24).collect::<Vec<_>>());
}

#[test]
fn a_process_without_peers_is_the_next_to_read() {
    let mut view = Membership::new(entry(7));
    view.merge_records(ms(0), (0..7).map(entry).collect());

    let rank = view.reading_rank(ms(10_000));

    assert_eq!(rank, 0);
}

#[test]
fn a_leaving_process_gets_no_calls_until_it_restarts() {
    let mut view = Membership::new(entry(0));
    let mut leaving = entry(1);
    leaving.heartbeat = 9;
    leaving.leaving = true;
    view.merge_records(ms(0), vec![leaving]);
    let while_leaving = view.live(ms(1), ProcessRole::Entry).count();

    let mut restarted = entry(1);
    restarted.incarnation = 2;
    view.merge_records(ms(100), vec![restarted]);

    assert_eq!(while_leaving, 0);
    assert_eq!(view.live(ms(101), ProcessRole::Entry).count(), 1);
}

#[test]
fn entries_that_all_restart_do_not_use_the_slack_twice() {
    let settings = RetryWindowSettings {
        window: ms(10_000),
        ratio: 0.2,
        slack: 132.0,
    };
    let withdraw_all = |shares: &mut Vec<WindowedRetryBudget>, now: Moment, entries: usize| {
        let mut withdrawn = 0;
        for share in shares {
            while share.try_withdraw(now, entries) {
                withdrawn += 1;
            }
        }
        withdrawn
    };
    let mut shares: Vec<_> = (0..14)
        .map(|_| WindowedRetryBudget::new(settings, ms(0)))
        .collect();

    let before = withdraw_all(&mut shares, ms(20_000), 14);
    let restarted = ms(24_000);
    let mut shares: Vec<_> = (0..14)
        .map(|_| WindowedRetryBudget::new(settings, restarted + settings.window))
        .collect();
    // After a restart, each entry at first knows only itself.
    let after = withdraw_all(&mut shares, restarted, 1);
    let later = withdraw_all(&mut shares, restarted + settings.window, 14);

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

    /// For any order of requests, the retries of all entries stay within the limit in every window.
    #[test]
    fn retries_of_all_shares_stay_within_the_limit(
        events in prop::collection::vec((0usize..4, any::<bool>(), 0u64..40), 1..600)
    ) {
        let settings = RetryWindowSettings { window: ms(10_000), ratio: 0.2, slack: 20.0 };
        let mut shares: Vec<_> = (0..4).map(|_| WindowedRetryBudget::new(settings, ms(0))).collect();
        let mut requests = SlidingWindowCounter::new(settings.window);
        let mut retries = SlidingWindowCounter::new(settings.window);
        let mut now = ms(0);
        for (entry, retry, pause_ms) in events {
            now += ms(pause_ms);
            if !retry {
                shares[entry].record_request(now);
                requests.add(now);
            } else if shares[entry].try_withdraw(now, 4) {
                retries.add(now);
            }
            let max_retries = settings.ratio * requests.count(now) as f64 + settings.slack;
            prop_assert!(retries.count(now) as f64 <= max_retries);
        }
    }
}
