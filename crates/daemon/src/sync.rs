//! Locks that ignore poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic of another holder. Every holder must leave the contents consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
