//! The ids of a delegated job at the origin, on the link and at the host.
//!
//! The origin's id is `job-` followed by digits. The id sent over the link appends the delegation's number in
//! six digits, so that the host treats two delegations of one job as two jobs. The host stores the job as
//! `CELL.ID`, an id that none of its own users can submit or query.

/// The number of digits that encode the delegation's number.
const NUMBER_DIGITS: usize = 6;
/// The highest delegation number, and so the most delegations of one job.
pub const MAX_DELEGATION_NUMBER: u32 = 999_999;
/// The most digits in a job id that a cell accepts.
const MAX_ID_DIGITS: usize = 40;
const JOB_ID_PREFIX: &str = "job-";

/// Returns the id that is sent to the host for delegation `number` of `job`, or `None` if the result would not
/// be a valid job id.
pub fn sent_id(job: &str, number: u32) -> Option<String> {
    let digits = job.strip_prefix(JOB_ID_PREFIX)?;
    let is_decimal = digits.bytes().all(|byte| byte.is_ascii_digit());
    let has_valid_length = (1..=MAX_ID_DIGITS - NUMBER_DIGITS).contains(&digits.len());
    if !is_decimal || !has_valid_length || number > MAX_DELEGATION_NUMBER {
        return None;
    }
    Some(format!("{JOB_ID_PREFIX}{digits}{number:0NUMBER_DIGITS$}"))
}

/// Returns the id under which the host's records hold the job that `cell` submitted with the id `sent`.
pub fn hosted_job_id(cell: &str, sent: &str) -> String {
    format!("{cell}.{sent}")
}

/// Returns the origin's id of the job that was submitted to the host with the id `sent_id`.
pub fn origin_job_id(sent_id: &str) -> Option<&str> {
    let end = sent_id.len().checked_sub(NUMBER_DIGITS)?;
    sent_id
        .get(..end)
        .filter(|id| id.len() > JOB_ID_PREFIX.len())
}
