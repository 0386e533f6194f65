//! Locking of shared state.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex that may be poisoned. Nothing in this process panics halfway through a change of what
/// its mutexes protect, so the value behind a poisoned one is whole, and a controller that serves on is
/// worth more than one that stops.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
