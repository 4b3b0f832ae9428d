//! To whom news is announced and from whom it is pulled.

use balsamjunction_protocol::{MemberDocument, MemberState};
use rand::{seq::IndexedRandom, Rng};
use rand_pcg::Pcg64Mcg;

use crate::Moment;

/// Peers in the own data centre to which news is announced.
pub const LOCAL_FANOUT: usize = 4;
/// Peers in other data centres to which news is announced.
pub const REMOTE_FANOUT: usize = 2;
/// Mean time between pulls, which repair what announcements missed.
pub const PULL_INTERVAL: Moment = Moment::from_secs(1);
/// Pulls per hundred that go to another data centre.
const FAR_PULL_PERCENT: u32 = 20;

fn others<'m>(
    members: &'m [MemberDocument],
    host: &str,
    keep: impl Fn(&MemberDocument) -> bool,
) -> Vec<&'m MemberDocument> {
    let alive = members.iter().filter(|m| m.state == MemberState::Live);
    alive.filter(|m| m.host != host && keep(m)).collect()
}

/// The peers to which news is announced: a few near, fewer far.
pub fn notification_targets<'m>(
    members: &'m [MemberDocument],
    host: &str,
    data_centre: &str,
    rng: &mut Pcg64Mcg,
) -> Vec<&'m MemberDocument> {
    let near = others(members, host, |m| m.data_centre == data_centre);
    let far = others(members, host, |m| m.data_centre != data_centre);
    let mut targets: Vec<_> = near.choose_multiple(rng, LOCAL_FANOUT).copied().collect();
    targets.extend(far.choose_multiple(rng, REMOTE_FANOUT).copied());
    targets
}

/// The peer from which to pull next.
pub fn pull_target<'m>(
    members: &'m [MemberDocument],
    host: &str,
    data_centre: &str,
    rng: &mut Pcg64Mcg,
) -> Option<&'m MemberDocument> {
    let far = rng.random_range(0..100) < FAR_PULL_PERCENT;
    let preferred = others(members, host, |m| (m.data_centre != data_centre) == far);
    match preferred.choose(rng) {
        Some(target) => Some(target),
        None => others(members, host, |_| true).choose(rng).copied(),
    }
}
