//! Parts of prompts that crash upstreams: what one entry concludes from its observations and those of others, and
//! what a fleet of entries lets reach the upstreams.

mod conclusions;
mod exchange;
mod fleet;
mod fleet_model;
mod requests;

use balsamjunction_policy::{
    crash_suspects::{CrashSuspects, RefusedPart},
    stated_limits::UpstreamId,
    Moment,
};
use balsamjunction_protocol::mesh::PromptPart;

/// Time after which an entry must act on what the others know.
const CONTACT_AFTER: Moment = Moment::from_secs(3);
/// The part that crashes upstreams.
const DEADLY: PromptPart = PromptPart(0xdead);
/// The first part of prompts, which requests with [`DEADLY`] share with sound ones.
const FIRST: PromptPart = PromptPart(0xf0);

fn ms(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn new_suspects() -> CrashSuspects {
    CrashSuspects::new(CONTACT_AFTER / 2)
}

fn new_request_suspects() -> CrashSuspects {
    CrashSuspects::of_requests(CONTACT_AFTER / 2)
}

fn upstream(n: u64) -> UpstreamId {
    (format!("e{n}").into(), 1)
}

/// Admits at an entry that tests no verdicts.
fn admit(
    suspects: &mut CrashSuspects,
    now: Moment,
    parts: &[PromptPart],
) -> Result<(), RefusedPart> {
    suspects.admit(now, parts, |_, _| false)
}

/// Records sound responses to requests with other parts, which show that the upstreams work.
fn record_others(suspects: &mut CrashSuspects, now: Moment) {
    for n in 0..10 {
        suspects.record_sound(now, &[PromptPart(0x1000 + n)]);
    }
}

/// Records that `count` upstreams broke under requests with `parts`, `interval` apart; returns the end.
fn crash_upstreams(
    suspects: &mut CrashSuspects,
    from: Moment,
    interval: Moment,
    count: u64,
    parts: &[PromptPart],
) -> Moment {
    let mut now = from;
    for n in 0..count {
        suspects.record_break(now, &upstream(n), parts, true);
        now += interval;
    }
    now
}
