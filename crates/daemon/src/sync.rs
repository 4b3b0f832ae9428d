//! Locks that outlive a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whose contents every holder leaves whole, so a panic elsewhere does not matter.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
