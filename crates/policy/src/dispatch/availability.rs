//! Whether an upstream takes work, by the list, by its sidecar and by its own answers.
//!
//! Everything that keeps requests from an upstream for good or for a time is asked here, when it is
//! chosen and again once a connection is made. See docs/ROUTING.md, "Upstreams that leave or rest".

use crate::Moment;

/// Why an upstream takes no work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The list does not name it, or names it as about to stop, or its data centre is evacuated.
    Unlisted,
    /// Another upstream, or another start of it, has its address.
    Replaced,
    /// It has said that it leaves.
    Leaving,
    /// It wants nothing until then.
    BackingOff(Moment),
}

/// What is known about whether an upstream takes work.
#[derive(Debug, Default)]
pub struct Availability {
    /// Whether the list names it ready, and its data centre is in service.
    pub listed: bool,
    /// Whether its sidecar reports a newer start of it.
    pub started_again: bool,
    replaced: bool,
    leaving: bool,
    rests_until: Moment,
}

impl Availability {
    /// What keeps requests from the upstream, if anything does.
    pub fn closed(&self, now: Moment) -> Option<Unavailable> {
        if self.leaving {
            return Some(Unavailable::Leaving);
        }
        if self.replaced || self.started_again {
            return Some(Unavailable::Replaced);
        }
        if !self.listed {
            return Some(Unavailable::Unlisted);
        }
        (now < self.rests_until).then_some(Unavailable::BackingOff(self.rests_until))
    }

    /// Another upstream has answered at its address.
    pub fn replace(&mut self) {
        self.replaced = true;
    }

    /// It has said that it leaves, which no later news takes back; tells whether that is news.
    pub fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// It has said that it wants nothing until then; of several times the latest holds.
    pub fn rest(&mut self, until: Moment) {
        self.rests_until = self.rests_until.max(until);
    }
}
