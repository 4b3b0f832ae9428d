//! Whether a request is sent again after an attempt.

use balsamjunction_protocol::{Outcome, Refusal};

use crate::Moment;

/// Attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 4;
/// Retries that may be saved up while nothing fails.
const MAX_SAVED: f64 = 20.0;
/// A retry that has less time than this cannot be answered.
const LEAST_REMAINING: Moment = Moment::from_millis(5);

/// Lets retries grow only in proportion to first attempts, so that trouble does not feed itself.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Notes a first attempt, which earns `percent` hundredths of a retry.
    pub fn deposit(&mut self, percent: u64) {
        self.saved = (self.saved + percent as f64 / 100.0).min(MAX_SAVED);
    }

    /// Takes one retry out, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// What is known after an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Counts from one.
    pub number: u32,
    /// The request's fate.
    pub outcome: Outcome,
    /// Why it did not run, if the sidecar said so.
    pub refusal: Option<Refusal>,
    /// Whether the route may run more than once.
    pub repeatable: bool,
    /// Whether the request carries an idempotency key, which binds it to one owner.
    pub keyed: bool,
    /// Whether the body is still at hand.
    pub body_buffered: bool,
    /// Time until the caller's deadline.
    pub remaining: Moment,
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Choose another upstream.
    Retry,
    /// Tell the caller now.
    Abort,
}

/// Decides what follows an attempt that brought no answer.
pub fn next_step(attempt: &Attempt, budget: &mut RetryBudget) -> NextStep {
    let safe = match attempt.outcome {
        Outcome::Ran => false,
        Outcome::NotRun => !attempt.keyed && refusal_is_local(attempt.refusal),
        Outcome::Unknown => attempt.repeatable && !attempt.keyed,
    };
    let possible = attempt.body_buffered
        && attempt.number < MAX_ATTEMPTS
        && attempt.remaining > LEAST_REMAINING;
    if safe && possible && budget.try_withdraw() {
        return NextStep::Retry;
    }
    NextStep::Abort
}

/// Whether another upstream may decide otherwise.
fn refusal_is_local(refusal: Option<Refusal>) -> bool {
    !matches!(
        refusal,
        Some(
            Refusal::DeadlinePassed
                | Refusal::CrashesUpstreams
                | Refusal::KeyInProgress
                | Refusal::KeyUnknown
                | Refusal::AnswerNotKept
                | Refusal::BodyTooLarge
                | Refusal::UnknownPool
                | Refusal::BadRequest
        )
    )
}
