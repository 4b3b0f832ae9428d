//! When parts are requested, and from whom.

use std::net::SocketAddr;

use balsamjunction_policy::{
    relay::{
        Transfer, TransferAction, MAX_PART_BYTES, MAX_TIMEOUT, MIN_PART_BYTES, PART_TIMEOUT,
        PENDING_LIMIT,
    },
    Moment,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn ms(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn source(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7000))
}

fn transfer(sources: usize) -> Transfer {
    Transfer::new(Moment::ZERO, (0..sources).map(source).collect())
}

/// Waits as long as `transfer` says from `now` on; returns the time and the request that follows.
fn next_request(transfer: &mut Transfer, mut now: Moment) -> (Moment, SocketAddr, usize, Moment) {
    loop {
        match transfer.next(now) {
            TransferAction::Request {
                source,
                max_bytes,
                timeout,
            } => return (now, source, max_bytes, timeout),
            TransferAction::Wait { until } => {
                assert!(until > now, "waits until {until:?}, which is past");
                now = until;
            }
        }
    }
}

#[test]
fn after_a_part_it_pauses_for_as_long_as_the_part_took() {
    let mut transfer = transfer(1);
    next_request(&mut transfer, ms(0));

    transfer.record_part(ms(8), ms(8), MAX_PART_BYTES);

    assert_eq!(transfer.next(ms(8)), TransferAction::Wait { until: ms(16) });
    assert_eq!(next_request(&mut transfer, ms(8)).0, ms(16));
}

#[test]
fn after_a_part_that_took_less_than_a_millisecond_it_does_not_pause() {
    let mut transfer = transfer(1);
    next_request(&mut transfer, ms(0));

    transfer.record_part(ms(1), Moment::from_micros(900), MAX_PART_BYTES);

    assert_eq!(next_request(&mut transfer, ms(1)).0, ms(1));
}

#[test]
fn while_a_request_is_under_way_there_is_no_other() {
    let mut transfer = transfer(3);
    next_request(&mut transfer, ms(0));

    let meanwhile = transfer.next(ms(5));

    let until = PART_TIMEOUT;
    assert_eq!(meanwhile, TransferAction::Wait { until });
}

#[test]
fn parts_halve_at_timeouts_and_grow_back() {
    let mut transfer = transfer(1);
    let mut now = ms(0);
    let mut sizes = Vec::new();

    for _ in 0..6 {
        let (at, source, bytes, timeout) = next_request(&mut transfer, now);
        sizes.push(bytes);
        now = at + timeout;
        transfer.record_timeout(now, source);
    }
    let mut last = 0;
    for _ in 0..20 {
        let (at, _, bytes, _) = next_request(&mut transfer, now);
        last = bytes;
        now = at + ms(2);
        transfer.record_part(now, ms(2), bytes);
    }

    assert_eq!(sizes, [16, 8, 4, 2, 1, 1].map(|kib| kib * MIN_PART_BYTES));
    assert_eq!(last, MAX_PART_BYTES);
}

// Guards against a path so slow that no part ever arrives within a fixed time limit.
#[test]
fn the_time_limit_grows_until_parts_arrive_on_a_path_with_a_long_queue() {
    let mut transfer = transfer(2);
    let queue = ms(1_500);
    let mut now = ms(0);
    let mut parts = 0;

    while now < Moment::from_secs(60) {
        let (at, source, bytes, timeout) = next_request(&mut transfer, now);
        now = at + timeout.min(queue);
        match timeout >= queue {
            true => {
                parts += 1;
                transfer.record_part(now, queue, bytes);
            }
            false => transfer.record_timeout(now, source),
        }
    }

    // Each part takes the queue and as long a pause; the first ones come after the time limit has grown.
    assert!(parts >= 15, "{parts} parts in 60 s");
    assert!(queue < MAX_TIMEOUT);
}

#[test]
fn a_source_that_fails_is_passed_over_at_once() {
    let mut transfer = transfer(3);
    let (_, first, ..) = next_request(&mut transfer, ms(0));

    transfer.record_failure(ms(1), first);

    let (at, second, ..) = next_request(&mut transfer, ms(1));
    assert_eq!((at, second), (ms(1), source(1)));
}

// Guards against gateways that all move up the tree where parts are lost now and then.
#[test]
fn one_timeout_of_a_source_that_has_sent_parts_leaves_it_in_use_and_two_do_not() {
    let mut transfer = transfer(2);
    let (mut now, first, bytes, _) = next_request(&mut transfer, ms(0));
    now += ms(4);
    transfer.record_part(now, ms(4), bytes);
    let mut asked = Vec::new();

    for _ in 0..3 {
        let (at, source, _, timeout) = next_request(&mut transfer, now);
        asked.push(source);
        now = at + timeout;
        transfer.record_timeout(now, source);
    }

    assert_eq!(asked, [first, first, source(1)]);
}

#[test]
fn a_source_that_never_responds_is_passed_over_at_its_first_timeout() {
    let mut transfer = transfer(2);
    let (at, first, _, timeout) = next_request(&mut transfer, ms(0));

    transfer.record_timeout(at + timeout, first);

    assert_eq!(next_request(&mut transfer, at + timeout).1, source(1));
}

#[test]
fn a_source_without_the_next_part_is_passed_over_in_time_but_not_before() {
    let mut transfer = transfer(2);
    let mut now = ms(0);

    let passed_over_at = loop {
        let (at, asked, ..) = next_request(&mut transfer, now);
        if asked != source(0) {
            break at;
        }
        now = at + ms(4);
        transfer.record_pending(now, asked);
    };

    assert!(passed_over_at >= PENDING_LIMIT);
    assert!(
        passed_over_at <= PENDING_LIMIT + ms(60),
        "{passed_over_at:?}"
    );
}

#[test]
fn the_only_source_is_asked_again_however_long_it_lacks_the_next_part() {
    let mut transfer = transfer(1);
    let mut now = ms(0);
    let mut requests = 0;

    while now < Moment::from_secs(4) {
        let (at, asked, ..) = next_request(&mut transfer, now);
        requests += 1;
        now = at + ms(4);
        transfer.record_pending(now, asked);
    }

    assert!(requests >= 80, "{requests} requests in 4 s");
}

#[test]
fn after_the_last_source_it_begins_again_with_the_first_after_a_backoff() {
    let mut transfer = transfer(2);
    let mut now = ms(0);
    let mut starts = Vec::new();

    for _ in 0..6 {
        let (at, asked, ..) = next_request(&mut transfer, now);
        starts.push((at, asked));
        now = at;
        transfer.record_failure(now, asked);
    }

    assert_eq!(starts[2], (ms(100), source(0)));
    assert_eq!(starts[4], (ms(300), source(0)));
}

#[test]
fn a_source_that_was_passed_over_is_tried_again_while_another_serves() {
    let mut transfer = transfer(2);
    let (mut now, first, ..) = next_request(&mut transfer, ms(0));
    transfer.record_failure(now, first);

    let returned_at = loop {
        let (at, asked, bytes, _) = next_request(&mut transfer, now);
        if asked == source(0) {
            break at;
        }
        now = at + ms(4);
        transfer.record_part(now, ms(4), bytes);
    };

    assert!(returned_at <= ms(1_050), "{returned_at:?}");
}

#[test]
fn a_trial_of_a_source_that_lacks_the_next_part_ends_at_once() {
    let mut transfer = transfer(2);
    let (mut now, first, ..) = next_request(&mut transfer, ms(0));
    transfer.record_failure(now, first);
    loop {
        let (at, asked, bytes, _) = next_request(&mut transfer, now);
        now = at + ms(4);
        if asked == source(0) {
            break;
        }
        transfer.record_part(now, ms(4), bytes);
    }

    transfer.record_pending(now, source(0));

    let (at, asked, ..) = next_request(&mut transfer, now);
    assert_eq!((at, asked), (now, source(1)));
}

#[test]
fn responses_of_other_sources_than_the_one_asked_are_ignored() {
    let mut transfer = transfer(2);
    next_request(&mut transfer, ms(0));

    transfer.record_failure(ms(1), source(1));
    transfer.record_pending(ms(1), source(1));
    transfer.record_timeout(ms(1), source(1));

    assert!(matches!(transfer.next(ms(2)), TransferAction::Wait { .. }));
}

#[test]
fn new_sources_leave_the_one_in_use_and_its_request() {
    let mut transfer = transfer(2);
    let (_, first, ..) = next_request(&mut transfer, ms(0));

    transfer.set_sources(ms(1), vec![source(5), first]);
    assert!(matches!(transfer.next(ms(2)), TransferAction::Wait { .. }));
    transfer.record_part(ms(4), ms(4), MAX_PART_BYTES);

    assert_eq!(next_request(&mut transfer, ms(4)).1, first);
}

#[test]
fn a_transfer_without_sources_begins_when_it_gets_some() {
    let mut transfer = transfer(0);
    assert!(matches!(transfer.next(ms(0)), TransferAction::Wait { .. }));

    transfer.set_sources(ms(10), vec![source(1)]);

    assert_eq!(next_request(&mut transfer, ms(10)).1, source(1));
}

/// Virtual time after which a random history is taken to be endless.
const LIMIT: Moment = Moment::from_secs(24 * 3_600);

/// How a source behaves in a random history.
#[derive(Clone, Debug)]
enum Behaviour {
    Serves,
    Silent,
    Fails,
    /// It has only the first bytes.
    HasUntil(usize),
    /// It does not respond until this time, in milliseconds.
    SilentUntil(u64),
}

fn behaviour() -> impl Strategy<Value = Behaviour> {
    prop_oneof![
        Just(Behaviour::Serves),
        Just(Behaviour::Silent),
        Just(Behaviour::Fails),
        (0..(1usize << 20)).prop_map(Behaviour::HasUntil),
        (0..20_000u64).prop_map(Behaviour::SilentUntil),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(52), ..ProptestConfig::default() })]

    // The history ends by itself only if the document is whole: one source always has it, and losses are below one half.
    #[test]
    fn a_document_arrives_if_one_source_that_has_it_responds(
        others in proptest::collection::vec(behaviour(), 0..8),
        position in 0..8usize,
        loss_percent in 0..50u32,
        seed in any::<u64>(),
        bytes in 1..(1usize << 20),
        changes in proptest::collection::vec(0..4_000u64, 0..4),
    ) {
        let mut behaviours = others;
        behaviours.insert(position % (behaviours.len() + 1), Behaviour::Serves);
        let mut list: Vec<SocketAddr> = (0..behaviours.len()).map(source).collect();
        let mut transfer = Transfer::new(Moment::ZERO, list.clone());
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut now, mut offset) = (Moment::ZERO, 0);
        let mut changes = changes;
        while offset < bytes {
            prop_assert!(now < LIMIT, "{offset} of {bytes} bytes after {now:?}");
            if changes.last().is_some_and(|at| ms(*at) <= now) {
                changes.pop();
                list.rotate_left(1);
                transfer.set_sources(now, list.clone());
            }
            let (at, asked, max_bytes, timeout) = next_request(&mut transfer, now);
            prop_assert!(matches!(transfer.next(at), TransferAction::Wait { .. }), "asks two at a time");
            prop_assert!((MIN_PART_BYTES..=MAX_PART_BYTES).contains(&max_bytes));
            let n = (0..behaviours.len()).find(|n| source(*n) == asked).expect("a source");
            let is_lost = rng.random_ratio(loss_percent, 100);
            let silent = match behaviours[n] {
                Behaviour::Silent => true,
                Behaviour::SilentUntil(until) => at < ms(until),
                _ => is_lost,
            };
            let has = match behaviours[n] {
                Behaviour::HasUntil(has) => has.min(bytes),
                _ => bytes,
            };
            if silent {
                now = at + timeout;
                transfer.record_timeout(now, asked);
            } else if matches!(behaviours[n], Behaviour::Fails) {
                now = at + ms(1);
                transfer.record_failure(now, asked);
            } else if has <= offset {
                now = at + ms(4);
                transfer.record_pending(now, asked);
            } else {
                now = at + ms(9);
                let part = max_bytes.min(has - offset);
                offset += part;
                transfer.record_part(now, ms(9), part);
            }
        }
    }
}
