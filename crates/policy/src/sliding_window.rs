//! Counts events in a sliding window.

use std::collections::VecDeque;

use crate::Moment;

/// Counts the events of a sliding window. Memory grows with the number of events in the window.
#[derive(Clone, Debug)]
pub struct SlidingWindowCounter {
    window: Moment,
    events: VecDeque<Moment>,
}

impl SlidingWindowCounter {
    /// Creates a counter for windows of length `window`.
    pub fn new(window: Moment) -> Self {
        Self {
            window,
            events: VecDeque::new(),
        }
    }

    /// Adds an event at `now`.
    pub fn add(&mut self, now: Moment) {
        self.expire(now);
        self.events.push_back(now);
    }

    /// Moves an event that was added for the time `from` to `now`; adds one if that has expired.
    pub fn postpone(&mut self, from: Moment, now: Moment) {
        if let Some(index) = self.events.iter().rposition(|at| *at == from) {
            self.events.remove(index);
        }
        self.add(now);
    }

    /// Number of events in the window that ends at `now`.
    pub fn count(&mut self, now: Moment) -> usize {
        self.expire(now);
        self.events.len()
    }

    fn expire(&mut self, now: Moment) {
        while self
            .events
            .front()
            .is_some_and(|at| *at + self.window <= now)
        {
            self.events.pop_front();
        }
    }
}
