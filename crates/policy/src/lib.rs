//! Decision logic of the system, free of I/O.
//!
//! Each module is a state machine that takes typed events together with the current time and returns
//! typed actions or decisions. Sockets, clocks and global random sources stay outside, so that tests
//! exercise the same code that the daemon runs. See docs/DESIGN.md, "Decisions".

pub mod caller_account;
pub mod crash;
pub mod crash_suspects;
pub mod declaration;
pub mod dispatch;
pub mod dissemination;
pub mod election;
pub mod estimate;
pub mod fence;
pub mod fetch;
pub mod gate;
pub mod limit;
pub mod membership;
pub mod once;
pub mod owner;
pub mod pace;
pub mod pause;
pub mod prompt_cache;
pub mod queue;
pub mod relay;
pub mod rendezvous;
pub mod retry;
pub mod retry_window;
pub mod router;
pub mod shutdown;
pub mod silence;
pub mod sliding_window;
pub mod staged_check;
pub mod stated_limits;
pub mod switch_schedule;
pub mod upgrade;
pub mod version_queue;

/// Time since the process started, on a monotonic clock.
pub type Moment = std::time::Duration;
