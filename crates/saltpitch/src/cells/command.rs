//! `saltpitch cells`: lists what is delegated, and takes jobs back from a peer cell that is lost. Both use
//! the state service itself, so that they work without a controller.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use clap::Subcommand;
use saltpitch_cells::ids::{sent_id, MAX_DELEGATION_NUMBER};
use saltpitch_core::job::JobState;
use saltpitch_core::records::{job_key, Delegation, DelegationState, JobRecord, RecordCache};
use saltpitch_core::scheduler::{Precondition, Transaction, TransactionOutcome, Write};

use crate::clock::Clock;
use crate::http::Client;
use crate::settings::Settings;
use crate::store::StoreClient;

const TRANSACTION_TIMEOUT: Duration = Duration::from_secs(3);
/// Addresses to which connections are kept while the command runs.
const KEPT_ADDRESSES: usize = 4;

/// What to do with delegated jobs.
#[derive(Subcommand)]
pub enum CellsCommand {
    /// Lists the jobs that other cells may own, and those run for other cells.
    List,
    /// Takes a job back from a peer cell that has lost its records for good.
    GiveUp {
        /// The job.
        #[arg(long)]
        job: String,
        /// The peer cell; empty if the delegation cannot be read.
        #[arg(long, default_value = "")]
        cell: String,
        /// You vouch that no task of the job runs at the peer cell, and that none can be started there
        /// any more.
        #[arg(long)]
        nothing_runs_there: bool,
    },
}

/// Why the command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The settings cannot be used.
    #[error("{0:#}")]
    Settings(anyhow::Error),
    /// The state service does not answer.
    #[error("the state service does not answer: nothing is known to have changed; try again")]
    Unreachable,
    /// The command does not apply to the job, or not with these arguments.
    #[error("refused: {0}")]
    Refused(Refusal),
}

/// Why a job is not taken back.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// The operator has not vouched that it runs nowhere.
    #[error("pass --nothing-runs-there only if you know that no task of the job runs at the peer cell and that none can be started there")]
    NotVouchedFor,
    /// It is not delegated, or not known.
    #[error("{job} is with no other cell")]
    NotDelegated {
        /// The job.
        job: String,
    },
    /// It is delegated to another cell than the one named.
    #[error("the job is with cell {cell:?}")]
    OtherCell {
        /// The cell that has it.
        cell: String,
    },
    /// Its record has changed since it was read.
    #[error("the job's record has changed meanwhile; list again")]
    RecordChanged,
}

// Not a source, which would print the reason twice.
impl From<Refusal> for CommandError {
    fn from(refusal: Refusal) -> CommandError {
        CommandError::Refused(refusal)
    }
}

impl CommandError {
    /// The exit code, which tells the failures apart.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Settings(_) => 1,
            CommandError::Refused(_) => 2,
            CommandError::Unreachable => 3,
        }
    }
}

/// Executes a command.
pub async fn run(config: &Path, command: &CellsCommand) -> Result<(), CommandError> {
    let store = connect(config)?;
    let records = read_records(&store).await?;
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
                return Err(Refusal::NotVouchedFor.into());
            }
            give_up(&store, &records, job, cell).await
        }
    }
}

/// A client of the state service that the settings name.
fn connect(config: &Path) -> Result<StoreClient, CommandError> {
    let settings =
        Settings::load(config, None, None).map_err(|error| CommandError::Settings(error.into()))?;
    Ok(StoreClient::new(
        Arc::new(Client::new(KEPT_ADDRESSES)),
        settings.store_addr,
        Clock::start(),
        settings.store,
        settings.controller_count,
    ))
}

/// Reads all records; those that cannot be read are named on standard error.
async fn read_records(store: &StoreClient) -> Result<RecordCache, CommandError> {
    let mut records = RecordCache::default();
    let listed = store.list_records(|rows| {
        for row in rows {
            let Some(value) = &row.value else { continue };
            if let Err(error) = records.put(&row.key, value, row.revision) {
                eprintln!("record {} is unreadable: {error}", row.key);
            }
        }
    });
    listed.await.ok_or(CommandError::Unreachable)?;
    Ok(records)
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

/// One line on a delegation.
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
    let sent = sent_id(job, *number).unwrap_or_default();
    let cancel = if *cancel_requested {
        ", its user waits for the cancellation"
    } else {
        ""
    };
    format!("{job}: at cell {cell} as {sent}, {state}{cancel}")
}

/// Takes a job back on record, on condition that its record has not changed since it was read.
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
    let record = taken_back(&entry.record, delegation, cell)?;
    let transaction = Transaction {
        preconditions: vec![Precondition::new(key.clone(), entry.revision)],
        writes: vec![Write {
            key,
            value: serde_json::to_string(&record).ok(),
        }],
    };
    match store.commit(&transaction, TRANSACTION_TIMEOUT).await {
        TransactionOutcome::Committed(_) => {
            println!("{job} is this cell's own again");
            Ok(())
        }
        TransactionOutcome::Conflict(_) => Err(Refusal::RecordChanged.into()),
        _ => Err(CommandError::Unreachable),
    }
}

/// A job's record once it is this cell's own again; cancelled, if its user asked for that.
fn taken_back(
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
        // Its number is not known: none may be used again.
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
