//! Silence of upstreams: when all are slow at once, and when one is dead.

use balsamjunction_policy::{silence::ResponseTimes, Moment};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

const FLOOR: Moment = Moment::from_millis(1_500);

fn ms(n: u64) -> Moment {
    Moment::from_millis(n)
}

/// Counts the requests that are still silent at the limit in force when they were sent, among `count` requests that
/// arrive every 20 ms and take `took_ms(n)`.
fn count_silent(count: u64, mut took_ms: impl FnMut(u64) -> u64) -> u64 {
    let mut times = ResponseTimes::default();
    let mut pending: Vec<(Moment, Moment)> = Vec::new();
    let mut silent = 0;
    for n in 0..count {
        let now = ms(n * 20);
        pending.retain(|(done_at, took)| {
            let done = *done_at <= now;
            if done {
                times.record(*done_at, *took);
            }
            !done
        });
        let took = ms(took_ms(n));
        silent += u64::from(took > times.silence_limit(now, FLOOR));
        pending.push((now + took, took));
        pending.sort();
    }
    silent
}

#[test]
fn without_samples_the_limit_is_the_floor() {
    assert_eq!(ResponseTimes::default().silence_limit(ms(5), FLOOR), FLOOR);
}

#[test]
fn while_upstreams_are_fast_the_limit_is_the_floor() {
    let mut times = ResponseTimes::default();
    for n in 0..100 {
        times.record(ms(n * 20), ms(150 + n % 100));
    }

    assert_eq!(times.silence_limit(ms(2_000), FLOOR), FLOOR);
}

// Guards against requests that are sent twice because all queues are long, which lengthens the queues.
#[test]
fn upstreams_that_are_all_slow_at_once_are_rarely_silent() {
    let mut rng = Pcg64Mcg::new(33);

    let silent = count_silent(1_000, |n| match n < 200 {
        true => rng.random_range(100..300),
        false => rng.random_range(800..2_600),
    });

    // The limit follows within the time that the first slow responses take.
    assert!(silent <= 150, "{silent} of 1000 requests");
    let mut rng = Pcg64Mcg::new(33);
    let fixed = (200..1_000)
        .filter(|_| rng.random_range(800..2_600) > 1_500)
        .count();
    assert!(fixed > 400, "a fixed limit would have repeated {fixed}");
}

// Guards against a dead upstream that is waited for as long as the slowest of the others.
#[test]
fn a_dead_upstream_among_fast_ones_is_silent_at_the_floor() {
    let silent = count_silent(1_000, |n| match n % 10 {
        0 => 60_000,
        _ => 200,
    });

    assert_eq!(silent, 100);
}

#[test]
fn slow_responses_are_forgotten_when_no_further_one_follows() {
    let mut times = ResponseTimes::default();
    for n in 0..50 {
        times.record(ms(n * 20), ms(2_500));
    }
    assert!(times.silence_limit(ms(1_000), FLOOR) > FLOOR);

    assert_eq!(times.silence_limit(ms(5_000), FLOOR), FLOOR);
}

// Guards against a few long responses after which every other one counts as usual.
#[test]
fn the_usual_time_follows_most_responses_and_not_the_longest() {
    let mut times = ResponseTimes::default();
    let usual = |times: &ResponseTimes| times.usual().expect("there are samples");
    assert_eq!(times.usual(), None);

    for n in 0..200 {
        let took = match n % 10 {
            9 => ms(1_000),
            _ => ms(20),
        };
        times.record(ms(n * 20), took);
    }
    let with_outliers = usual(&times);
    for n in 200..300 {
        times.record(ms(n * 20), ms(100));
    }

    assert!((ms(15)..=ms(30)).contains(&with_outliers));
    assert!((ms(85)..=ms(120)).contains(&usual(&times)));
}
