//! Counts of events in the last while.

use std::collections::VecDeque;

use crate::Moment;

/// Counts events in a window that slides.
#[derive(Clone, Debug)]
pub struct SlidingWindowCounter {
    window: Moment,
    events: VecDeque<Moment>,
}

impl SlidingWindowCounter {
    /// Counts over the last `window`.
    pub fn new(window: Moment) -> Self {
        Self {
            window,
            events: VecDeque::new(),
        }
    }

    /// Notes an event.
    pub fn add(&mut self, now: Moment) {
        self.expire(now);
        self.events.push_back(now);
    }

    /// Events within the window that ends now.
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
