//! The account of what callers hold, over random histories.

use balsamjunction_policy::{
    caller_account::{
        AccountLimits, CallerAccount, CallerTimeouts, CloseReason, ConnectionKey, ConnectionPhase,
    },
    Moment,
};
use proptest::{prelude::*, sample::Index};
use strum::IntoEnumIterator;

const TIMEOUTS: CallerTimeouts = CallerTimeouts {
    head: Moment::from_millis(3_000),
    idle: Moment::from_millis(15_000),
};

fn small_limits() -> AccountLimits {
    AccountLimits {
        connections: 8,
        total_bytes: 2_000_000,
        body_bytes: 1_000_000,
        long_body_bytes: 750_000,
    }
}

fn account() -> CallerAccount {
    CallerAccount::new(small_limits(), TIMEOUTS)
}

fn connect(account: &mut CallerAccount, now: Moment) -> ConnectionKey {
    account.connect(now).connection.expect("there is room")
}

fn ms(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

#[derive(Clone, Debug)]
enum Step {
    Connect,
    Disconnect(Index),
    Enter(Index, usize),
    Reserve(Index, u8, u64),
    Release(Index),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Connect),
        1 => any::<Index>().prop_map(Step::Disconnect),
        3 => (any::<Index>(), 0..6_usize).prop_map(|(at, phase)| Step::Enter(at, phase)),
        3 => (any::<Index>(), 0..3_u8, 1..400_000_u64).prop_map(|(at, w, n)| Step::Reserve(at, w, n)),
        1 => any::<Index>().prop_map(Step::Release),
        2 => (1..4_000_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    // Bodies of many callers together exceeded the memory of the host; what was released must count at once.
    #[test]
    fn the_shares_hold_and_nothing_is_leaked(steps in prop::collection::vec(step(), 1..200)) {
        let mut account = account();
        let mut open: Vec<ConnectionKey> = Vec::new();
        let mut now = Moment::ZERO;

        for step in steps {
            match step {
                Step::Connect => {
                    let admission = account.connect(now);
                    if let Some(key) = admission.evicted {
                        prop_assert!(admission.connection.is_some());
                        account.disconnect(key);
                        open.retain(|other| *other != key);
                    }
                    open.extend(admission.connection);
                }
                Step::Disconnect(at) if !open.is_empty() => {
                    account.disconnect(open.swap_remove(at.index(open.len())));
                }
                Step::Enter(at, phase) if !open.is_empty() => {
                    let phase = ConnectionPhase::iter().nth(phase).expect("six phases");
                    account.enter(now, open[at.index(open.len())], phase);
                }
                Step::Reserve(at, workspace, length) if !open.is_empty() => {
                    let workspace = format!("w{workspace}").into();
                    account.reserve_body(open[at.index(open.len())], &workspace, length);
                }
                Step::Release(at) if !open.is_empty() => {
                    account.release_body(open[at.index(open.len())]);
                }
                Step::Wait(wait) => {
                    now += ms(wait);
                    for (key, reason) in account.expire(now) {
                        if reason != CloseReason::SlowBody {
                            account.disconnect(key);
                            open.retain(|other| *other != key);
                        }
                    }
                }
                _ => {}
            }
            let held = ConnectionPhase::iter().map(|phase| account.held(phase));
            let (connections, bytes) = held.fold((0, 0), |sum, held| {
                (sum.0 + held.connections, sum.1 + held.bytes)
            });
            prop_assert!(account.body_bytes() <= small_limits().body_bytes);
            prop_assert!(connections <= small_limits().connections);
            prop_assert_eq!(connections, open.len());
            prop_assert_eq!(bytes, account.total_bytes());
        }
        for key in open {
            account.disconnect(key);
        }
        prop_assert_eq!((account.total_bytes(), account.body_bytes()), (0, 0));
    }

    // Clients reuse connections that were idle for up to four fifths of the time limit.
    #[test]
    fn an_idle_connection_stays_for_its_time_unless_connections_run_short(idle in 0..15_000_u64) {
        let mut account = account();
        connect(&mut account, Moment::ZERO);

        prop_assert!(account.expire(ms(idle)).is_empty());
    }
}

// Accepting stopped while idle connections held all descriptors.
#[test]
fn the_longest_idle_connection_is_closed_for_a_new_one() {
    let mut account = account();
    let keys: Vec<_> = (0..8).map(|n| connect(&mut account, ms(n))).collect();
    account.enter(ms(10), keys[0], ConnectionPhase::Request);

    let admission = account.connect(ms(20));

    assert_eq!(admission.evicted, Some(keys[1]));
    assert!(admission.connection.is_some());
}

#[test]
fn a_new_connection_is_refused_while_all_others_are_in_use() {
    let mut account = account();
    for n in 0..8 {
        let key = connect(&mut account, ms(n));
        account.enter(ms(n), key, ConnectionPhase::Request);
    }

    let admission = account.connect(ms(20));

    assert_eq!((admission.connection, admission.evicted), (None, None));
}

// A few long bodies must not keep out ordinary requests.
#[test]
fn a_small_body_fits_beside_as_many_long_ones_as_are_admitted() {
    let mut account = account();
    let workspace = "selam".into();
    for n in 0..7 {
        let key = connect(&mut account, ms(n));
        account.reserve_body(key, &workspace, 250_000);
    }
    let key = connect(&mut account, ms(10));

    assert!(!account.reserve_body(key, &workspace, 250_000));
    assert!(account.reserve_body(key, &"gondar".into(), 600));
}

// The bodies of one workspace must not use up the share of all others.
#[test]
fn a_workspace_leaves_room_for_bodies_of_another() {
    let mut account = account();
    for n in 0..7 {
        let key = connect(&mut account, ms(n));
        account.reserve_body(key, &"selam".into(), 100_000);
    }
    let key = connect(&mut account, ms(40));

    assert!(!account.reserve_body(key, &"selam".into(), 100_000));
    assert!(account.reserve_body(key, &"gondar".into(), 200_000));
}

#[test]
fn stalled_bodies_end_sooner_while_memory_is_short_the_largest_first() {
    let mut account = account();
    let bodies = [("selam", 100_000), ("gondar", 480_000)];
    let keys = bodies.map(|(workspace, length)| {
        let key = connect(&mut account, Moment::ZERO);
        account.enter(Moment::ZERO, key, ConnectionPhase::Body);
        assert!(account.reserve_body(key, &workspace.into(), length));
        key
    });

    let expired = account.expire(ms(600));

    let slow = CloseReason::SlowBody;
    assert_eq!(expired, [(keys[1], slow), (keys[0], slow)]);
}

#[test]
fn a_stalled_body_has_its_full_time_while_memory_is_plentiful() {
    let mut account = account();
    let key = connect(&mut account, Moment::ZERO);
    account.enter(Moment::ZERO, key, ConnectionPhase::Body);

    assert!(account.expire(ms(2_900)).is_empty());
    assert_eq!(account.expire(ms(3_000)), [(key, CloseReason::SlowBody)]);
}

#[test]
fn limits_without_settings_suit_the_smallest_host() {
    let limits = AccountLimits::new(None, None);

    assert_eq!(limits, AccountLimits::new(Some(112), Some(2_870)));
    assert!(limits.connections >= 500 && limits.long_body_bytes >= 4 * 4_194_304);
}
