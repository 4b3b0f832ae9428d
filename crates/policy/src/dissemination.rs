//! Dissemination of updates among peers: targets of change notifications and sources of pulls.

use balsamjunction_protocol::{MemberDocument, MemberState};
use rand::{seq::IndexedRandom, Rng};
use rand_pcg::Pcg64Mcg;

use crate::Moment;

/// Number of peers in the same data centre that are notified of an update.
pub const LOCAL_FANOUT: usize = 4;
/// Number of peers in other data centres that are notified of an update.
pub const REMOTE_FANOUT: usize = 2;
/// Mean time between pulls, which deliver the updates that notifications missed.
pub const PULL_INTERVAL: Moment = Moment::from_secs(1);
/// Percentage of pulls that go to another data centre.
const REMOTE_PULL_PERCENT: u32 = 20;

fn other_live_members<'m>(
    members: &'m [MemberDocument],
    host: &str,
    filter: impl Fn(&MemberDocument) -> bool,
) -> Vec<&'m MemberDocument> {
    let live = members.iter().filter(|m| m.state == MemberState::Live);
    live.filter(|m| m.host != host && filter(m)).collect()
}

/// Selects the peers to notify of an update, at random: some in the same data centre, fewer in
/// others.
pub fn notification_targets<'m>(
    members: &'m [MemberDocument],
    host: &str,
    data_centre: &str,
    rng: &mut Pcg64Mcg,
) -> Vec<&'m MemberDocument> {
    let local = other_live_members(members, host, |m| m.data_centre == data_centre);
    let remote = other_live_members(members, host, |m| m.data_centre != data_centre);
    let mut targets: Vec<_> = local.choose_multiple(rng, LOCAL_FANOUT).copied().collect();
    targets.extend(remote.choose_multiple(rng, REMOTE_FANOUT).copied());
    targets
}

/// Selects the peer from which to pull next.
pub fn pull_target<'m>(
    members: &'m [MemberDocument],
    host: &str,
    data_centre: &str,
    rng: &mut Pcg64Mcg,
) -> Option<&'m MemberDocument> {
    let remote = rng.random_range(0..100) < REMOTE_PULL_PERCENT;
    let preferred = other_live_members(members, host, |m| (m.data_centre != data_centre) == remote);
    match preferred.choose(rng) {
        Some(target) => Some(target),
        None => other_live_members(members, host, |_| true)
            .choose(rng)
            .copied(),
    }
}
