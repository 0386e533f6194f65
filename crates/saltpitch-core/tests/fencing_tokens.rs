//! Tests of the fencing tokens of messages to agents: a copy of an earlier direct call must be refused by an agent that
//! was told to forget an attempt.

mod harness;

use harness::{
    contains_forget, put, secs, spec, start_count, task_status, Command, CommandOutcome, ExitCause,
    JobKind, Micros, RecordCache, SchedulerHarness, TaskState, TaskStatus, TermRecord, DONE,
    TERM_KEY, TOKENS_PER_TERM,
};
use saltpitch_core::leadership::{campaign, has_earlier_term, next_term, TokenRange};
use saltpitch_core::scheduler::{CommandLogEntry, Delivery};

const JOB: &str = "job-1";

/// Returns a leader that has sent a direct call to `vm-1` with the start of the job's only task.
fn leader_with_started_task() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(|_| {}, secs(0));
    harness.heartbeat("vm-1", "east", 1, &[]);
    harness.submit(JOB, spec(JobKind::Array, 1, 8));
    harness.advance(secs(1));
    let (machine, commands) = harness.commands.last().expect("a direct call");
    assert_eq!(&**machine, "vm-1");
    assert_eq!(start_count(commands), 1);
    harness
}

/// Returns the answer to a heartbeat as its token and whether it tells the agent to forget something.
fn answer(harness: &mut SchedulerHarness, sequence: u64, tasks: &[TaskStatus]) -> (u64, bool) {
    let heartbeat = harness::heartbeat("vm-1", "east", sequence, tasks);
    let answer = harness.send_heartbeat(heartbeat).expect("an answer");
    (answer.fencing_token, contains_forget(&answer.commands))
}

/// Lets the task end in this state, and returns the token of the answer that tells the agent to forget it.
fn token_of_forget(harness: &mut SchedulerHarness, ended: TaskState) -> u64 {
    for sequence in 2..8 {
        let (token, forgets) = answer(harness, sequence, &[task_status(JOB, ended)]);
        if forgets {
            return token;
        }
        harness.advance(secs(1));
    }
    panic!("the attempt is never forgotten");
}

#[test]
fn an_answer_that_forgets_carries_a_token_above_those_of_all_earlier_calls() {
    let refused = |cause| TaskState::Exited {
        cause,
        saved: false,
    };
    for ended in [
        DONE,
        refused(ExitCause::Error),
        refused(ExitCause::NoRoom),
        refused(ExitCause::Busy),
        refused(ExitCause::NotFound),
    ] {
        let mut harness = leader_with_started_task();
        let highest_before = harness.call_tokens.iter().copied().max();
        let token = token_of_forget(&mut harness, ended);
        assert!(Some(token) > highest_before, "{ended:?}");
        let calls = harness.call_tokens.len();
        harness.submit("job-2", spec(JobKind::Array, 1, 1));
        harness.advance(secs(3));
        let later_calls = &harness.call_tokens[calls..];
        assert!(later_calls.iter().all(|later| *later >= token), "{ended:?}");
    }
}

#[test]
fn messages_that_forget_nothing_keep_their_token() {
    let mut harness = leader_with_started_task();
    let running = [task_status(JOB, TaskState::Running)];
    let tokens: Vec<u64> = (2..12)
        .map(|sequence| answer(&mut harness, sequence, &running).0)
        .collect();
    assert!(tokens.iter().all(|token| *token == harness.call_tokens[0]));
}

#[test]
fn a_direct_call_forgets_only_attempts_of_the_tasks_that_it_starts() {
    let mut harness = leader_with_started_task();
    token_of_forget(&mut harness, DONE);
    harness.submit("job-2", spec(JobKind::Array, 1, 8));
    harness.advance(secs(2));
    let error = TaskState::Exited {
        cause: ExitCause::PeerLost,
        saved: false,
    };
    let ended = task_status("job-2", error);
    answer(&mut harness, 20, &[ended, task_status("job-9", DONE)]);
    harness.commands.clear();
    harness.advance(secs(6));
    let mut calls = harness.commands.iter().map(|(_, commands)| commands);
    let commands = calls.find(|commands| contains_forget(commands));
    let commands = commands.expect("the task is started again");
    let first = commands.first().expect("a command");
    assert!(
        matches!(first, Command::Forget { job, attempt: 1, .. } if **job == *"job-2"),
        "{commands:?}"
    );
    assert_eq!(start_count(commands), 1, "{commands:?}");
    assert_eq!(commands.len(), 2, "{commands:?}");
}

#[test]
fn an_unanswered_start_is_invalidated_by_the_next_answer() {
    let mut harness = SchedulerHarness::new(|_| {}, secs(0));
    harness.call_outcome = CommandOutcome::Unknown;
    harness.heartbeat("vm-1", "east", 1, &[]);
    harness.submit(JOB, spec(JobKind::Array, 1, 8));
    harness.advance(Micros::from_millis(900));
    let call = *harness.call_tokens.last().expect("a direct call");
    let (token, _) = answer(&mut harness, 2, &[]);
    assert!(token > call, "the call with token {call} may still arrive");
}

#[test]
fn the_command_log_names_token_delivery_and_reason() {
    let mut harness = leader_with_started_task();
    let token = token_of_forget(&mut harness, DONE);
    let (entries, dropped) = harness.scheduler.take_command_log();
    assert_eq!(dropped, 0);
    let lines: Vec<String> = entries.iter().map(CommandLogEntry::to_string).collect();
    let start = "call to vm-1 token 1 epoch 1 status 1: start job-1/0@1";
    assert!(lines.iter().any(|line| line == start), "{lines:?}");
    let forget = format!("token {token} epoch 1 status");
    let last = lines.last().expect("an entry");
    assert!(last.starts_with("answer to vm-1 "), "{lines:?}");
    assert!(last.contains(&forget), "{lines:?}");
    assert!(
        last.ends_with("forget job-1/0@1 (exited: Done)"),
        "{lines:?}"
    );
    let is_answer = |entry: &CommandLogEntry| {
        let delivery = Delivery::HeartbeatAnswer;
        matches!(entry, CommandLogEntry::Sent { delivery: known, .. } if *known == delivery)
    };
    assert!(entries.last().is_some_and(is_answer));
    assert!(harness.scheduler.take_command_log().0.is_empty());
}

/// Returns the term that a controller takes when the records show this term.
fn term_after(recorded: u64) -> u64 {
    let mut records = RecordCache::default();
    let record = TermRecord {
        term: recorded,
        node: "n1".to_owned(),
        incarnation: 1,
        earlier_leaders_fenced_at: Micros::ZERO,
    };
    put(&mut records, TERM_KEY, &record, 1);
    let attempt = campaign(&records, "n0", 2, secs(20), secs(1_000), secs(900));
    attempt.expect("there is no leader").term
}

#[test]
fn tokens_rise_from_term_to_term_also_beside_a_version_with_one_token_for_each_term() {
    let old_term = 7;
    let term = term_after(old_term);
    let tokens = TokenRange::of_term(term);
    assert_eq!((tokens.first(), tokens.last()), (old_term + 1, term));
    let old_term = term + 1;
    let tokens = TokenRange::of_term(term_after(old_term));
    assert!(tokens.first() > old_term);
}

#[test]
fn only_the_first_term_of_either_version_has_no_earlier_one() {
    assert!(!has_earlier_term(0));
    assert!(!has_earlier_term(1));
    assert!(!has_earlier_term(TOKENS_PER_TERM));
    assert!(has_earlier_term(2));
    assert!(has_earlier_term(next_term(1)));
    assert!(has_earlier_term(next_term(TOKENS_PER_TERM)));
}
