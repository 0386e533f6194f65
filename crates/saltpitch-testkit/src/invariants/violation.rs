//! What a broken invariant is reported as.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

use saltpitch_core::Micros;

/// Simulations begin at this time of day; reports count from it.
const START_OF_DAY: Micros = Micros::from_secs(60);

/// An invariant of the protocol or of a whole history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// At most one machine has a task at a time, in one cell or two.
    DuplicateExecution,
    /// Machines have tasks of submitted jobs only.
    UnknownJob,
    /// Tasks run on the machine types and in the zones that their job allows.
    PlacementConstraint,
    /// A cancelled job leaves all machines within the cancellation time.
    RunsAfterCancellation,
    /// A task starts after all jobs that its job depends on are done.
    StartBeforeDependencies,
    /// No team uses more than its limit.
    QuotaExceeded,
    /// A job that depends on a cancelled one is cancelled.
    DependentNotCancelled,
    /// A job that can never run is not accepted.
    ImpossibleJobAccepted,
    /// In calm no job waits for long while machines have room for it.
    Starvation,
    /// Every controller in service knows every accepted job.
    JobLost,
    /// Records can be read.
    UnreadableRecord,
    /// A job that is done has a result of each task.
    DoneWithoutResults,
    /// A job that is done or cancelled remains so.
    StateReverted,
    /// At most one cell may start a job's tasks.
    DuplicateOwnership,
    /// A job completes in one cell only.
    DuplicateCompletion,
    /// A history as a whole serves its users.
    Unserved,
    /// At the end of a history every accepted job is done or cancelled.
    Unfinished,
}

impl Invariant {
    /// The name that reports use.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::DuplicateExecution => "ran_twice",
            Invariant::UnknownJob => "invented",
            Invariant::PlacementConstraint => "wrong_place",
            Invariant::RunsAfterCancellation => "ran_cancelled",
            Invariant::StartBeforeDependencies => "too_early",
            Invariant::QuotaExceeded => "quota",
            Invariant::DependentNotCancelled => "orphaned",
            Invariant::ImpossibleJobAccepted => "accepted",
            Invariant::Starvation => "waits",
            Invariant::JobLost => "forgotten",
            Invariant::UnreadableRecord => "unreadable",
            Invariant::DoneWithoutResults => "not_done",
            Invariant::StateReverted => "went_back",
            Invariant::DuplicateOwnership => "owned_twice",
            Invariant::DuplicateCompletion => "completed_twice",
            Invariant::Unserved => "unserved",
            Invariant::Unfinished => "unfinished",
        }
    }

    /// Whether a report begins with the name; the others are sentences of their own.
    fn is_named_in_reports(self) -> bool {
        !matches!(
            self,
            Invariant::UnreadableRecord | Invariant::Unserved | Invariant::Unfinished
        )
    }
}

/// A broken invariant: which one, and by what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// The invariant.
    pub invariant: Invariant,
    /// What was found.
    pub text: String,
    /// The job concerned, if it is one.
    pub job: Option<String>,
    /// The machine concerned, if it is one.
    pub machine: Option<String>,
    /// The cell, in a history of two cells.
    pub cell: Option<&'static str>,
    /// When it was found, in the simulation's time. A single step leaves this to its caller, which has the
    /// time; a run fills it in.
    pub at: Option<Micros>,
}

impl InvariantViolation {
    /// A violation without a job, machine, cell or time.
    pub fn new(invariant: Invariant, text: String) -> InvariantViolation {
        InvariantViolation {
            invariant,
            text,
            job: None,
            machine: None,
            cell: None,
            at: None,
        }
    }

    /// The same, of this job.
    pub fn of_job(self, job: &str) -> InvariantViolation {
        InvariantViolation {
            job: Some(job.to_owned()),
            ..self
        }
    }

    /// The same, on this machine.
    pub fn on_machine(self, machine: &str) -> InvariantViolation {
        InvariantViolation {
            machine: Some(machine.to_owned()),
            ..self
        }
    }

    /// The same, in this cell.
    pub fn in_cell(self, cell: &'static str) -> InvariantViolation {
        InvariantViolation {
            cell: Some(cell),
            ..self
        }
    }

    /// The same, found at this time.
    pub fn found_at(self, at: Micros) -> InvariantViolation {
        InvariantViolation {
            at: Some(at),
            ..self
        }
    }
}

impl Display for InvariantViolation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if let Some(at) = self.at {
            let since_start = at.as_secs_f64() - START_OF_DAY.as_secs_f64();
            write!(formatter, "at {since_start:.1} s: ")?;
        }
        if let Some(cell) = self.cell {
            write!(formatter, "{cell}: ")?;
        }
        if self.invariant.is_named_in_reports() {
            write!(formatter, "{}: ", self.invariant.name())?;
        }
        formatter.write_str(&self.text)
    }
}

impl Error for InvariantViolation {}
