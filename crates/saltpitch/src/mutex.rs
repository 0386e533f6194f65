//! Locks shared state.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if it is poisoned. Nothing in this process panics in the middle of a change to a
/// value that a mutex protects, so the value of a poisoned mutex is consistent, and a controller that
/// keeps serving is better than one that stops.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
