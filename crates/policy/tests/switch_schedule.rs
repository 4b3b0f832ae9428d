//! When engines switch to a version.

use balsamjunction_policy::{switch_schedule::SwitchTurn, Moment};

const ENGINES: usize = 57;
/// Time that a switch takes.
const SWITCH_TIME: Moment = Moment::from_millis(800);

fn millis(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn turn(rank: usize, staged_at: Moment) -> SwitchTurn {
    SwitchTurn {
        since: Moment::ZERO,
        within: millis(9_700),
        staged_at,
        rank,
        engines: ENGINES,
    }
}

/// When each engine starts to switch, if all have the version staged at `staged_at`.
fn starts(staged_at: Moment, running: u32) -> Vec<Moment> {
    let mut starts: Vec<Option<Moment>> = vec![None; ENGINES];
    let mut now = Moment::ZERO;
    while starts.iter().any(Option::is_none) {
        for rank in 0..ENGINES {
            let started = starts.iter().flatten();
            let switching = started.filter(|at| now.saturating_sub(**at) < SWITCH_TIME);
            let switching = switching.count();
            if starts[rank].is_none() && turn(rank, staged_at).may_start(now, switching, running) {
                starts[rank] = Some(now);
            }
        }
        now += millis(50);
    }
    starts.into_iter().flatten().collect()
}

/// Most engines that switch at the same time.
fn most_at_once(starts: &[Moment]) -> usize {
    let at = |now: &Moment| {
        let running = starts
            .iter()
            .filter(|s| **s <= *now && *now < **s + SWITCH_TIME);
        running.count()
    };
    starts.iter().map(at).max().unwrap_or(0)
}

// Guards against a quarter of the engines breaking off their streams at the same time, where a version arrives late in the
// interval.
#[test]
fn at_most_an_eighth_of_the_engines_switch_at_once_before_the_end_of_the_interval() {
    for staged_at in [2_000, 3_000, 4_000] {
        let starts = starts(millis(staged_at), 3);
        let regular: Vec<Moment> = starts
            .into_iter()
            .filter(|at| *at < millis(8_342))
            .collect();

        assert!(
            most_at_once(&regular) <= ENGINES / 8,
            "staged at {staged_at}"
        );
    }
}

#[test]
fn the_first_engine_switches_when_the_version_is_staged() {
    assert_eq!(turn(0, millis(3_400)).starts_at(), millis(3_400));
}

#[test]
fn switches_are_spread_evenly_over_the_interval() {
    let first = turn(0, millis(3_000)).starts_at();
    let half = turn(ENGINES / 2, millis(3_000)).starts_at();
    let last = turn(ENGINES - 1, millis(3_000)).starts_at();

    let share = (half - first).as_secs_f64() / (last - first).as_secs_f64();

    assert!((0.45..0.55).contains(&share), "{share}");
    assert!(last < millis(8_342));
}

// Guards against engines with the version that wait for their turn while the others are overdue and serve nobody.
#[test]
fn idle_engines_switch_at_once_if_the_version_arrives_late() {
    let now = millis(9_000);

    assert!(turn(50, now).may_start(now, ENGINES, 0));
    assert!(!turn(50, now).may_start(now, ENGINES, 1));
}

#[test]
fn overdue_engines_switch_at_once() {
    let now = millis(9_700);

    assert!(turn(50, now).may_start(now, ENGINES, 1));
}
