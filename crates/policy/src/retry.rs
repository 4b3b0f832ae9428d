//! Decision whether a request is retried after an attempt.

use balsamjunction_protocol::{Outcome, Refusal};

use crate::Moment;

/// Maximum number of attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 4;
/// Maximum number of retries that a budget accumulates while nothing fails.
const MAX_BALANCE: f64 = 20.0;
/// Remaining time at or below which a retry cannot complete.
const MIN_REMAINING: Moment = Moment::from_millis(5);

/// Budget that limits retries to a fraction of first attempts, so that retries do not amplify an
/// overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt, which adds `percent` hundredths of a retry to the budget.
    pub fn deposit(&mut self, percent: u64) {
        self.balance = (self.balance + percent as f64 / 100.0).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns whether one remained.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// State of a request after an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Number of the attempt, from one.
    pub number: u32,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Reason why it did not run, if the sidecar reported one.
    pub refusal: Option<Refusal>,
    /// Whether requests of the route may run more than once.
    pub repeatable: bool,
    /// Whether the request carries an idempotency key, which ties it to the key's owner.
    pub keyed: bool,
    /// Whether the complete body is buffered and can be sent again.
    pub body_buffered: bool,
    /// Time until the caller's deadline.
    pub remaining: Moment,
}

/// Next step after an attempt without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another upstream.
    Retry,
    /// Report the failure to the caller now.
    Abort,
}

/// Decides the next step after an attempt without a response; takes a retry from `budget` for
/// [`NextStep::Retry`].
pub fn next_step(attempt: &Attempt, budget: &mut RetryBudget) -> NextStep {
    let repeat_allowed = match attempt.outcome {
        Outcome::Ran => false,
        Outcome::NotRun => !attempt.keyed && may_succeed_elsewhere(attempt.refusal),
        Outcome::Unknown => attempt.repeatable && !attempt.keyed,
    };
    let possible =
        attempt.body_buffered && attempt.number < MAX_ATTEMPTS && attempt.remaining > MIN_REMAINING;
    if repeat_allowed && possible && budget.try_withdraw() {
        return NextStep::Retry;
    }
    NextStep::Abort
}

/// Returns whether another upstream may accept a request that was refused for this reason.
fn may_succeed_elsewhere(refusal: Option<Refusal>) -> bool {
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
