//! The ids under which a delegated job is known.
//!
//! The origin's id is `job-` and digits. The id sent adds the delegation's number in six digits, so that two
//! delegations of one job are two jobs to the host. The host keeps it as `CELL.ID`, which no user of its
//! own can name.

/// Digits that the delegation's number takes.
const NUMBER_DIGITS: usize = 6;
/// The most delegations of one job.
pub const MAX_DELEGATION_NUMBER: u32 = 999_999;
/// The most digits of an id that any cell accepts.
const MAX_ID_DIGITS: usize = 40;
const PREFIX: &str = "job-";

/// The id that a host is sent for a delegation of `job`. `None` if the result would be no valid id.
pub fn sent_id(job: &str, number: u32) -> Option<String> {
    let digits = job.strip_prefix(PREFIX)?;
    let decimal = digits.bytes().all(|byte| byte.is_ascii_digit());
    let fits = (1..=MAX_ID_DIGITS - NUMBER_DIGITS).contains(&digits.len());
    if !decimal || !fits || number > MAX_DELEGATION_NUMBER {
        return None;
    }
    Some(format!("{PREFIX}{digits}{number:0NUMBER_DIGITS$}"))
}

/// The id under which the host's records hold what `cell` sent as `sent`.
pub fn hosted_job_id(cell: &str, sent: &str) -> String {
    format!("{cell}.{sent}")
}

/// The origin's id of a job that was sent as `sent`.
pub fn origin_job_id(sent: &str) -> Option<&str> {
    let end = sent.len().checked_sub(NUMBER_DIGITS)?;
    sent.get(..end).filter(|id| id.len() > PREFIX.len())
}
