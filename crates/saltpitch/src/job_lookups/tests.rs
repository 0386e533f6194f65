//! Tests of the order of lookups and of what they share.

use super::queue::LookupRequest;
use super::*;

const MAX_COMPARISONS: usize = 8;

fn ids(numbers: std::ops::Range<usize>) -> Vec<Arc<str>> {
    numbers
        .map(|number| format!("job-{number:06}").into())
        .collect()
}

/// Returns a queue in which these jobs wait to be looked up.
fn queue_with(ids: &[Arc<str>]) -> LookupQueue {
    let mut queue = LookupQueue::new(MAX_COMPARISONS);
    for id in ids {
        assert!(queue.join(id).is_ok(), "{id}");
    }
    queue
}

/// Guards against a read for each question when many users ask about the same ended job at once.
#[test]
fn questions_about_the_same_job_share_one_read() {
    let id = &ids(0..1)[0];
    let mut queue = queue_with(std::slice::from_ref(id));
    let mut joined = queue.join(id).expect("a place in the queue");
    assert!(!joined.was_sent);
    assert_eq!(queue.next_request(), Some(LookupRequest::Read(id.clone())));
    assert_eq!(queue.next_request(), None);
    let ended = Ok(JobLookup::Ended(JobState::Done));
    queue.finish(id, ended);
    assert_eq!(*joined.result.borrow_and_update(), Some(ended));
    // A later question needs no read at all.
    let later = queue.join(id).expect("a place in the queue");
    assert_eq!(*later.result.borrow(), Some(ended));
    assert_eq!(queue.next_request(), None);
}

/// Guards against a 404 from a read that was sent before the job was accepted.
#[test]
fn a_question_that_joins_a_sent_read_knows_it() {
    let id = &ids(0..1)[0];
    let mut queue = queue_with(std::slice::from_ref(id));
    queue.next_request();
    let joined = queue.join(id).expect("a place in the queue");
    assert!(joined.was_sent);
    queue.finish(id, Ok(JobLookup::NeverAccepted));
    let next = queue.join(id).expect("a place in the queue");
    assert!(!next.was_sent, "that nobody submitted a job is not kept");
    assert_eq!(queue.next_request(), Some(LookupRequest::Read(id.clone())));
}

/// Guards against a flood of questions about jobs that nobody submitted that delays those about ended jobs.
#[test]
fn jobs_that_nobody_submitted_share_one_request() {
    let all = ids(0..5);
    let mut queue = queue_with(&all);
    assert_eq!(
        queue.next_request(),
        Some(LookupRequest::Compare(all.clone()))
    );
    queue.compared(&all, &all[2..3]);
    let others = [&all[..2], &all[3..]].concat();
    let read = LookupRequest::Read(all[2].clone());
    assert_eq!(
        queue.next_request(),
        Some(read),
        "reads and comparisons take turns"
    );
    assert_eq!(
        queue.next_request(),
        Some(LookupRequest::Compare(others.clone()))
    );
    queue.compared(&others, &[]);
    assert_eq!(queue.next_request(), None);
    for id in &others {
        let again = queue.join(id).expect("a place in the queue");
        assert_eq!(
            *again.result.borrow(),
            None,
            "{id} has to be looked up again"
        );
    }
}

/// Guards against memory that grows with the number of jobs that are asked about.
#[test]
fn the_number_of_waiting_lookups_is_bounded() {
    let mut queue = LookupQueue::new(MAX_COMPARISONS);
    let many = ids(0..20_000);
    let accepted = many.iter().filter(|id| queue.join(id).is_ok()).count();
    assert!((100..5_000).contains(&accepted), "{accepted} lookups wait");
    assert_eq!(
        queue.join(&many[19_999]).err(),
        Some(LookupError::Overloaded)
    );
    assert!(
        queue.join(&many[0]).is_ok(),
        "a waiting lookup can be joined"
    );
    let Some(LookupRequest::Compare(first)) = queue.next_request() else {
        panic!("several lookups wait");
    };
    assert_eq!(first, many[..MAX_COMPARISONS]);
}

/// Guards against questions that wait for their timeout although the state service refuses all reads.
#[test]
fn a_failure_of_the_store_fails_all_waiting_lookups() {
    let all = ids(0..5);
    let mut queue = queue_with(&all);
    let waiting = queue.join(&all[4]).expect("a place in the queue");
    queue.next_request();
    queue.fail_all();
    assert_eq!(
        *waiting.result.borrow(),
        Some(Err(LookupError::Unavailable))
    );
    assert_eq!(queue.next_request(), None);
}

fn read(value: &str) -> JobRead {
    let value = serde_json::value::RawValue::from_string(value.to_owned());
    JobRead {
        id: "job-000001".to_owned(),
        record: Some((value.expect("the value is JSON"), 7)),
    }
}

/// Guards against a 404 for a job whose record cannot be read.
#[test]
fn an_unreadable_record_is_an_error_for_its_job() {
    let unreadable = read(r#"{"s":"suspended"}"#);
    assert_eq!(job_lookup(&unreadable), Err(LookupError::Unavailable));
    let done = read(r#"{"s":"done","t":0,"f":7}"#);
    assert_eq!(job_lookup(&done), Ok(JobLookup::Ended(JobState::Done)));
    let active = read(r#"{"s":"active","t":0}"#);
    assert_eq!(job_lookup(&active), Ok(JobLookup::Live));
    let missing = JobRead {
        record: None,
        ..done
    };
    assert_eq!(job_lookup(&missing), Ok(JobLookup::NeverAccepted));
}
