//! Decides when an engine switches to a version, so that most engines serve at any time.

use crate::Moment;

/// Start of the interval in which serving engines start to switch, as a fraction of the time allowed for
/// a change of version. Chunks take about that long to arrive.
const INTERVAL_START: f64 = 0.28;
/// End of that interval, by which the last engine has started to switch.
const INTERVAL_END: f64 = 0.86;
/// At most one engine of this many switches at a time: what the others can take over without rejecting requests.
const ENGINES_PER_SWITCH: usize = 8;

/// The place of an engine among those that switch to a version.
#[derive(Clone, Copy, Debug)]
pub struct SwitchTurn {
    /// When the version was announced.
    pub since: Moment,
    /// Time within which all engines have to serve it.
    pub within: Moment,
    /// When this engine had all its chunks staged.
    pub staged_at: Moment,
    /// Rank of the engine in the order of all `engines`, from zero.
    pub rank: usize,
    /// Number of engines.
    pub engines: usize,
}

impl SwitchTurn {
    /// Whether the version arrived too late for the regular interval.
    fn is_late(&self) -> bool {
        self.staged_at > self.since + self.within.mul_f64(INTERVAL_END)
    }

    /// When the engine is to switch, unless too many others are switching then.
    ///
    /// Chunks that arrive after the interval leave no time to spread the switches: an engine with an overdue version
    /// serves nobody, so that the first engines with the version are to serve at once.
    pub fn starts_at(&self) -> Moment {
        if self.is_late() {
            return self.staged_at;
        }
        let start = (self.since + self.within.mul_f64(INTERVAL_START)).max(self.staged_at);
        let end = (self.since + self.within.mul_f64(INTERVAL_END)).max(start);
        let fraction = self.rank as f64 / self.engines.max(1) as f64;
        start + (end - start).mul_f64(fraction)
    }

    /// Whether the engine may switch now, while `switching` others do. `running` is the number of requests that it runs.
    ///
    /// The limit is lifted at the end of the regular interval, except that of late engines those go first whose switch
    /// breaks off no request.
    pub fn may_start(&self, now: Moment, switching: usize, running: u32) -> bool {
        let overdue_at = self.since + self.within;
        if now < self.starts_at() {
            return false;
        }
        let limit = (self.engines / ENGINES_PER_SWITCH).max(1);
        switching < limit
            || now >= overdue_at
            || (running == 0 && self.is_late())
            || (!self.is_late() && now >= self.since + self.within.mul_f64(INTERVAL_END))
    }
}
