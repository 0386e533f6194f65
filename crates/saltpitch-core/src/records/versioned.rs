//! A record with the revision of its key.

/// A value as of one revision of its key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The revision; 0 if the key was never written.
    pub revision: u64,
    /// The value.
    pub value: T,
}

impl<T> Versioned<T> {
    /// A value as of this revision.
    pub fn new(revision: u64, value: T) -> Versioned<T> {
        Versioned { revision, value }
    }

    /// Whether a change of this revision is older than the value, or is the one that wrote it.
    pub(super) fn covers(&self, revision: u64) -> bool {
        revision <= self.revision
    }
}
