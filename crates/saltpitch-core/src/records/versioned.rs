//! A value with the revision of its key.

/// A value and the revision of its key at which the value was written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The revision, or 0 if the key was never written.
    pub revision: u64,
    /// The value.
    pub value: T,
}

impl<T> Versioned<T> {
    /// Creates a value that was written at this revision.
    pub fn new(revision: u64, value: T) -> Versioned<T> {
        Versioned { revision, value }
    }

    /// Returns whether the value already reflects a change at this revision: the change is older than the value or
    /// is the one that wrote it.
    pub(super) fn covers(&self, revision: u64) -> bool {
        revision <= self.revision
    }
}
