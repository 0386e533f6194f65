//! Reports of broken invariants.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

use saltpitch_core::Micros;

/// Histories begin at this time; reports count from it.
const HISTORY_START: Micros = Micros::from_secs(60);

/// An invariant of the protocol or of a whole history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// At most one machine runs a task at a time, in one cell or in two.
    DuplicateExecution,
    /// Machines run tasks of submitted jobs only.
    UnknownJob,
    /// Tasks run on the machine types and in the zones that their job allows.
    PlacementConstraint,
    /// No task of a cancelled job runs later than the cancellation timeout.
    RunsAfterCancellation,
    /// An agent does not start an attempt again that it was told to forget.
    StartAfterForget,
    /// A task starts after all jobs that its job depends on are done.
    StartBeforeDependencies,
    /// No team uses more than its limit.
    QuotaExceeded,
    /// A job that depends on a cancelled one is cancelled.
    DependentNotCancelled,
    /// No job that can never run is accepted.
    ImpossibleJobAccepted,
    /// Without any fault, no job waits for long while machines have room for it.
    Starvation,
    /// Every accepted job has a record, and every controller in service knows it.
    JobLost,
    /// Every job's record can be read.
    UnreadableRecord,
    /// A controller keeps no record of a job that has ended, and few outcomes of such jobs.
    EndedJobKept,
    /// All tasks of a job that is done have completed.
    DoneWithoutResults,
    /// A job that is done or cancelled stays so, and no job is cancelled that nobody cancelled.
    StateReverted,
    /// At most one cell may start a job's tasks.
    DuplicateOwnership,
    /// A job completes in one cell only.
    DuplicateCompletion,
    /// A whole history serves its users: at least half of the jobs are served, and the largest start in time.
    Unserved,
    /// At the end of a history every accepted job is done or cancelled.
    Unfinished,
}

impl Invariant {
    /// Returns the name that reports use.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::DuplicateExecution => "ran_twice",
            Invariant::UnknownJob => "invented",
            Invariant::PlacementConstraint => "wrong_place",
            Invariant::RunsAfterCancellation => "ran_cancelled",
            Invariant::StartAfterForget => "started_again",
            Invariant::StartBeforeDependencies => "too_early",
            Invariant::QuotaExceeded => "quota",
            Invariant::DependentNotCancelled => "orphaned",
            Invariant::ImpossibleJobAccepted => "accepted",
            Invariant::Starvation => "waits",
            Invariant::JobLost => "forgotten",
            Invariant::UnreadableRecord => "unreadable",
            Invariant::EndedJobKept => "kept",
            Invariant::DoneWithoutResults => "not_done",
            Invariant::StateReverted => "went_back",
            Invariant::DuplicateOwnership => "owned_twice",
            Invariant::DuplicateCompletion => "completed_twice",
            Invariant::Unserved => "unserved",
            Invariant::Unfinished => "unfinished",
        }
    }

    /// Returns whether a report begins with the name; the other reports are sentences of their own.
    fn is_named_in_reports(self) -> bool {
        !matches!(
            self,
            Invariant::UnreadableRecord | Invariant::Unserved | Invariant::Unfinished
        )
    }
}

/// A broken invariant: which one, what was found, and where and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// The invariant.
    pub invariant: Invariant,
    /// What was found.
    pub text: String,
    /// The job concerned, if there is one.
    pub job: Option<String>,
    /// The machine concerned, if there is one.
    pub machine: Option<String>,
    /// The cell, in a history of two cells.
    pub cell: Option<&'static str>,
    /// When it was found, in the simulation's time. A run sets it; a single step leaves it to its caller.
    pub at: Option<Micros>,
}

impl InvariantViolation {
    /// Returns a violation without a job, machine, cell or time.
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

    /// Sets the job concerned.
    pub fn of_job(self, job: &str) -> InvariantViolation {
        InvariantViolation {
            job: Some(job.to_owned()),
            ..self
        }
    }

    /// Sets the machine concerned.
    pub fn on_machine(self, machine: &str) -> InvariantViolation {
        InvariantViolation {
            machine: Some(machine.to_owned()),
            ..self
        }
    }

    /// Sets the cell.
    pub fn in_cell(self, cell: &'static str) -> InvariantViolation {
        InvariantViolation {
            cell: Some(cell),
            ..self
        }
    }

    /// Sets the time at which it was found.
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
            let since_start = at.as_secs_f64() - HISTORY_START.as_secs_f64();
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
