//! Which machines are to be sent commands directly, and how many such calls are under way.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::time::Micros;

/// Direct calls to machines, due and under way.
#[derive(Default)]
pub(super) struct Dispatch {
    /// Machines that are to be called at the next poll.
    pub(super) pending: BTreeSet<Arc<str>>,
    /// Machines that are to be called again, and when.
    pub(super) delayed: BTreeSet<(Micros, Arc<str>)>,
    /// Direct commands under way.
    pub(super) commands_in_flight: usize,
    /// Probes under way.
    pub(super) probes_in_flight: usize,
    /// Machines with stops or starts that have not shown any effect yet.
    pub(super) awaiting_effect: BTreeSet<Arc<str>>,
}
