//! Whether an upstream accepts work, according to the registry, its sidecar and its own responses.
//!
//! Each upstream is checked when it is selected and again once a connection is established. See
//! docs/ROUTING.md, "Upstreams that leave or back off".

use crate::Moment;

/// Why an upstream accepts no work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// It is missing from the registry or not listed as ready, or its data centre is evacuated.
    Unlisted,
    /// Another upstream, or a later start of this one, uses its address.
    Replaced,
    /// It has reported that it is leaving.
    Leaving,
    /// It asked for a backoff (Retry-After) that ends at this time.
    BackingOff(Moment),
}

/// The conditions that decide whether an upstream accepts work.
#[derive(Debug, Default)]
pub struct Availability {
    /// Whether the registry lists it as ready and its data centre is in service.
    pub listed: bool,
    /// Whether its sidecar reports a later start than the registry.
    pub restarted: bool,
    replaced: bool,
    leaving: bool,
    backoff_until: Moment,
}

impl Availability {
    /// Why the upstream accepts no work at `now`, or `None` if it accepts work.
    pub fn unavailable(&self, now: Moment) -> Option<Unavailable> {
        if self.leaving {
            return Some(Unavailable::Leaving);
        }
        if self.replaced || self.restarted {
            return Some(Unavailable::Replaced);
        }
        if !self.listed {
            return Some(Unavailable::Unlisted);
        }
        (now < self.backoff_until).then_some(Unavailable::BackingOff(self.backoff_until))
    }

    /// Records that another upstream responded at its address.
    pub fn mark_replaced(&mut self) {
        self.replaced = true;
    }

    /// Records that the upstream has another address, at which nothing else has responded.
    pub fn mark_moved(&mut self) {
        self.replaced = false;
    }

    /// Records that the upstream is leaving, which later registry updates do not revoke. Returns whether
    /// this was not known before.
    pub fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Starts a backoff that ends at `until`; a backoff that ends later stays in effect.
    pub fn back_off_until(&mut self, until: Moment) {
        self.backoff_until = self.backoff_until.max(until);
    }
}
