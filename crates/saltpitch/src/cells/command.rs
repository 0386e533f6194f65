//! The command `saltpitch cells`, which lists delegated jobs and takes jobs back from a peer cell that is lost.
//! It accesses the state service directly, so that it works without a controller.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use clap::Subcommand;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use saltpitch_cells::ids::{sent_id, MAX_DELEGATION_NUMBER};
use saltpitch_core::job::JobState;
use saltpitch_core::records::{
    job_key, Delegation, DelegationState, JobRecord, RecordCache, UnreadableRecord,
    DEFAULT_MAX_ENDED_JOBS,
};
use saltpitch_core::scheduler::{Precondition, Transaction, TransactionOutcome, Write};

use crate::backoff::Backoff;
use crate::clock::Clock;
use crate::http::Client;
use crate::settings::Settings;
use crate::store::{Listing, ListingError, Role, StoreClient};

const TRANSACTION_TIMEOUT: Duration = Duration::from_secs(3);
/// The most addresses to which the command keeps connections open.
const MAX_CONNECTED_ADDRESSES: usize = 4;
/// After this many consecutive failed attempts that read no further page, the command gives up.
const MAX_FAILED_ATTEMPTS: u32 = 5;
/// Mean pauses between two attempts: the first one, and the longest.
const FIRST_READ_PAUSE: Duration = Duration::from_millis(200);
const MAX_READ_PAUSE: Duration = Duration::from_secs(2);

/// A command on delegated jobs.
#[derive(Subcommand)]
pub enum CellsCommand {
    /// Lists the jobs that other cells may own and the jobs that this cell runs for other cells.
    List,
    /// Takes a job back from a peer cell that has permanently lost its records.
    GiveUp {
        /// The id of the job.
        #[arg(long)]
        job: String,
        /// The name of the peer cell. Empty if the delegation cannot be read.
        #[arg(long, default_value = "")]
        cell: String,
        /// Confirms that no task of the job runs at the peer cell and that none can be started there any
        /// more.
        #[arg(long)]
        nothing_runs_there: bool,
    },
}

/// The reason why the command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The settings cannot be used.
    #[error("{0:#}")]
    Settings(anyhow::Error),
    /// The state service does not answer.
    #[error("the state service does not answer; no change is confirmed; try again")]
    Unreachable,
    /// The command does not apply to the job, or not with these arguments.
    #[error("refused: {0}")]
    Refused(Refusal),
}

/// The reason why a job is not taken back.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// The operator has not confirmed that the job runs nowhere.
    #[error("pass --nothing-runs-there only if you know that no task of the job runs at the peer cell and that none can be started there")]
    NotConfirmed,
    /// The job is not delegated or not known.
    #[error("{job} is not delegated to another cell")]
    NotDelegated {
        /// The job.
        job: String,
    },
    /// The job is delegated to another cell than the one named.
    #[error("the job is delegated to cell {cell:?}")]
    OtherCell {
        /// The host cell.
        cell: String,
    },
    /// The job's record has changed since the command read it.
    #[error("the job's record has changed since it was read; list the jobs again")]
    RecordChanged,
}

// Written by hand instead of `#[from]`, which would make the refusal the error's source and print its reason
// twice.
impl From<Refusal> for CommandError {
    fn from(refusal: Refusal) -> CommandError {
        CommandError::Refused(refusal)
    }
}

impl CommandError {
    /// Returns the exit code, which is different for each kind of failure.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Settings(_) => 1,
            CommandError::Refused(_) => 2,
            CommandError::Unreachable => 3,
        }
    }
}

/// Runs the command with the settings file `config`.
pub async fn run(config: &Path, command: &CellsCommand) -> Result<(), CommandError> {
    let clock = Clock::start();
    let store = connect(config, clock)?;
    let records = read_records(&store, clock).await?;
    match command {
        CellsCommand::List => {
            print_delegations(&records);
            Ok(())
        }
        CellsCommand::GiveUp {
            job,
            cell,
            nothing_runs_there,
        } => {
            if !nothing_runs_there {
                return Err(Refusal::NotConfirmed.into());
            }
            give_up(&store, &records, job, cell).await
        }
    }
}

/// Returns a client of the state service that the settings name.
fn connect(config: &Path, clock: Clock) -> Result<StoreClient, CommandError> {
    let settings =
        Settings::load(config, None, None).map_err(|error| CommandError::Settings(error.into()))?;
    Ok(StoreClient::new(
        Arc::new(Client::new(MAX_CONNECTED_ADDRESSES)),
        settings.store_addr,
        clock,
        settings.store,
        settings.controller_count,
        Role::Command,
    ))
}

/// Reads all records. Prints the keys of unreadable records to standard error.
async fn read_records(store: &StoreClient, clock: Clock) -> Result<RecordCache, CommandError> {
    let new_listing = || Listing::new(clock, DEFAULT_MAX_ENDED_JOBS, print_unreadable);
    let mut listing = new_listing();
    let mut backoff = Backoff::new(FIRST_READ_PAUSE, MAX_READ_PAUSE);
    let mut rng = SmallRng::from_os_rng();
    let mut failed_attempts = 0;
    loop {
        let pages_before = listing.page_count();
        let Err(error) = listing.read_to_end(store).await else {
            return Ok(listing.into_records());
        };
        if listing.page_count() > pages_before {
            failed_attempts = 0;
            backoff.reset();
        }
        failed_attempts += 1;
        if failed_attempts == MAX_FAILED_ATTEMPTS {
            return Err(CommandError::Unreachable);
        }
        if let ListingError::Outdated(_) = error {
            listing = new_listing();
        }
        tokio::time::sleep(backoff.next_pause(rng.random())).await;
    }
}

fn print_unreadable(record: &UnreadableRecord) {
    eprintln!("record {} is unreadable: {}", record.key, record.error);
}

fn print_delegations(records: &RecordCache) {
    for job in records.delegated_jobs() {
        let entry = records.jobs.get(job).map(|entry| &entry.record);
        if let Some(delegation) = entry.and_then(|record| record.delegation.as_ref()) {
            println!("{}", describe(job, delegation));
        }
    }
    for id in records.guest_jobs() {
        let (running, done) = records.task_counts(id);
        println!("guest {id}: {running} tasks placed, {done} done");
    }
}

/// Describes a delegation in one line.
fn describe(job: &str, delegation: &Delegation) -> String {
    let Delegation {
        cell,
        number,
        state,
        cancel_requested,
    } = delegation;
    let state = match state {
        DelegationState::Offered => "offered",
        DelegationState::Accepted => "accepted",
        DelegationState::Running => "running",
        DelegationState::Returned => "returned",
        DelegationState::Damaged => return format!("{job}: its delegation cannot be read"),
    };
    let id = sent_id(job, *number).unwrap_or_default();
    let cancellation = if *cancel_requested {
        ", its user waits for the cancellation"
    } else {
        ""
    };
    format!("{job}: at cell {cell} as {id}, {state}{cancellation}")
}

/// Writes the record of a job that is taken back, on condition that it has not changed since it was read.
async fn give_up(
    store: &StoreClient,
    records: &RecordCache,
    job: &str,
    cell: &str,
) -> Result<(), CommandError> {
    let entry = records.jobs.get(job);
    let delegated = entry.filter(|entry| entry.record.is_delegated());
    let not_delegated = || Refusal::NotDelegated {
        job: job.to_owned(),
    };
    let entry = delegated.ok_or_else(not_delegated)?;
    let delegation = entry.record.delegation.clone().ok_or_else(not_delegated)?;
    let key = job_key(job);
    let record = taken_back_record(&entry.record, delegation, cell)?;
    let transaction = Transaction {
        preconditions: vec![Precondition::new(key.clone(), entry.revision)],
        writes: vec![Write {
            key,
            value: serde_json::to_string(&record).ok(),
        }],
    };
    match store.commit(&transaction, TRANSACTION_TIMEOUT).await {
        TransactionOutcome::Committed(_) => {
            println!("{job} is taken back");
            Ok(())
        }
        TransactionOutcome::Conflict(_) => Err(Refusal::RecordChanged.into()),
        _ => Err(CommandError::Unreachable),
    }
}

/// Returns the record of a job that is taken back. The job is cancelled if its user has requested that.
fn taken_back_record(
    record: &JobRecord,
    mut delegation: Box<Delegation>,
    cell: &str,
) -> Result<JobRecord, Refusal> {
    if delegation.cell != cell {
        return Err(Refusal::OtherCell {
            cell: delegation.cell,
        });
    }
    if delegation.state == DelegationState::Damaged {
        // The delegation's number is unknown, and no number may be used twice: the highest one prevents further
        // delegations.
        delegation.cell = "unknown".to_owned();
        delegation.number = MAX_DELEGATION_NUMBER;
    }
    delegation.state = DelegationState::Returned;
    let mut record = record.clone();
    if delegation.cancel_requested {
        record.state = JobState::Cancelled;
    }
    record.delegation = Some(delegation);
    Ok(record)
}

#[cfg(test)]
mod tests;
