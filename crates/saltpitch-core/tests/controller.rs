//! Tests of the controller's state machine: what heartbeats between controllers prove, what the answers to peers
//! of both protocol versions say, and until when a leader may answer agents.

mod harness;

use std::sync::Arc;

use harness::{catalog, config, job_key, secs, JobRecord, JobSpec, JobState, SchedulerConfig};
use harness::{JobKind, Micros, RawValue, RecordCache};
use saltpitch_core::controller::{
    Candidacy, Controller, ControllerConfig, LossReason, Notice, PeerIdentity, StoreHealth,
};
use saltpitch_core::leadership::{answer_bound, TOKENS_PER_TERM};
use saltpitch_core::messages::{PeerStatus, PROTOCOL_VERSION};
use saltpitch_core::records::{JobRead, JobWrite, RecordChange, DEFAULT_MAX_ENDED_JOBS, TERM_KEY};

/// The number of the first term on record.
const FIRST_TERM: u64 = TOKENS_PER_TERM;
/// The time at which each test begins.
const START: Micros = Micros::from_secs(100);
/// The state service has been unreachable since [`START`].
const STORE_UNREACHABLE: StoreHealth = StoreHealth {
    reachable: false,
    last_success_at: Some(START),
};

fn scheduler_config() -> SchedulerConfig {
    SchedulerConfig {
        max_transaction_writes: 8,
        controller_count: 2,
        log_segments: 64,
        teams: Vec::new(),
        objectives: Vec::new(),
        ..config()
    }
}

/// Returns the controller `n0` in the zone `east`, with one peer `n1` in `west`. It has read these records at
/// revision 1 and announced itself.
fn controller(stored: &[(&str, &str)]) -> Controller {
    controller_that_keeps(DEFAULT_MAX_ENDED_JOBS, stored)
}

/// Returns the same controller, which keeps up to `max_ended_jobs` recently ended jobs.
fn controller_that_keeps(max_ended_jobs: usize, stored: &[(&str, &str)]) -> Controller {
    let config = ControllerConfig {
        knows_delegations: false,
        max_ended_jobs,
        name: "n0".to_owned(),
        zone: "east".to_owned(),
        peers: vec![PeerIdentity {
            name: "n1".to_owned(),
            zone: "west".to_owned(),
        }],
        scheduler: scheduler_config(),
    };
    let mut controller = Controller::new(config, 7, 1);
    let mut records = RecordCache::default();
    for (key, value) in stored {
        records
            .put(key, &raw(value), 1)
            .expect("the record is readable");
    }
    records.advance_to(1);
    controller
        .replace_records(records, START, START)
        .expect("the records have the present layout");
    controller.set_catalog(catalog());
    let announcement = controller
        .announcement()
        .expect("the controller is not announced yet");
    assert!(controller.confirm_announcement(announcement.incarnation, true));
    controller
}

/// Returns the same controller after it was elected at [`START`], without any records.
fn leader() -> Controller {
    leader_that_keeps(DEFAULT_MAX_ENDED_JOBS)
}

/// Returns the same leader, which keeps up to `max_ended_jobs` recently ended jobs.
fn leader_that_keeps(max_ended_jobs: usize) -> Controller {
    let mut controller = controller_that_keeps(max_ended_jobs, &[]);
    let campaign = controller
        .campaign(START)
        .expect("the leadership is vacant");
    let writes = campaign.transaction.writes.clone();
    let changes = writes.into_iter().map(|write| RecordChange {
        value: write.value.as_deref().map(raw),
        key: write.key,
        revision: 2,
    });
    controller
        .apply_changes(1, changes, 2, START, START)
        .expect("no change is missing");
    assert!(controller.election_won(campaign, 5, 2, START, START, START));
    controller
}

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).expect("the value is JSON")
}

fn status_of_peer() -> PeerStatus {
    PeerStatus {
        node: "n1".to_owned(),
        term: FIRST_TERM,
        term_owner: "n0".to_owned(),
        term_incarnation: 1,
        is_leader: false,
        store_reachable: false,
        redirected_agents: 0,
        protocol_version: PROTOCOL_VERSION,
        ack_request: None,
        ack: None,
    }
}

fn reachable_zones(controller: &mut Controller, now: Micros) -> Vec<String> {
    controller.poll(now);
    let scheduler = controller.scheduler().expect("the controller leads");
    scheduler.reachable_zones().iter().cloned().collect()
}

/// Guards against a controller that takes the leader's share of a rate limit beside a leader that it could have heard of.
#[test]
fn a_controller_sees_no_leader_only_while_it_hears_from_peers_that_do_not_lead() {
    let mut controller = controller(&[]);
    assert!(!controller.sees_no_leader(START), "it hears from nobody");
    controller.peer_heartbeat_received(status_of_peer(), STORE_UNREACHABLE, START);
    assert!(controller.sees_no_leader(START));
    let status_of_leader = PeerStatus {
        is_leader: true,
        ..status_of_peer()
    };
    controller.peer_heartbeat_received(status_of_leader, STORE_UNREACHABLE, START);
    assert!(!controller.sees_no_leader(START), "its peer leads");
    let later = START.plus(secs(60));
    assert!(!controller.sees_no_leader(later), "the status is too old");
    assert!(!leader().sees_no_leader(START), "it leads itself");
}

/// A process that was paused reads messages late that have waited in its sockets. An answer therefore counts from
/// the time of its request, and a peer's own heartbeat proves nothing about the present.
#[test]
fn an_answer_is_as_old_as_its_request() {
    let mut controller = leader();
    let epoch = controller.epoch();
    let resumed_at = START.plus(secs(12));
    controller.peer_heartbeat_answered(status_of_peer(), START, epoch, resumed_at);
    assert_eq!(reachable_zones(&mut controller, resumed_at), ["east"]);
    // The peer's own heartbeat may have waited as long.
    controller.peer_heartbeat_received(status_of_peer(), STORE_UNREACHABLE, resumed_at);
    assert_eq!(reachable_zones(&mut controller, resumed_at), ["east"]);
    controller.peer_heartbeat_answered(status_of_peer(), resumed_at, epoch, resumed_at);
    assert_eq!(
        reachable_zones(&mut controller, resumed_at),
        ["east", "west"]
    );
    // A delayed message does not revoke what the answer has proven.
    let later = resumed_at.plus(secs(1));
    controller.peer_heartbeat_received(status_of_peer(), STORE_UNREACHABLE, later);
    assert_eq!(reachable_zones(&mut controller, later), ["east", "west"]);
}

/// An acknowledgement extends the time for answering agents from the time of its request, and only in the leadership
/// that requested it. Every peer must acknowledge, each from its own list of cancellations.
#[test]
fn acknowledgements_extend_the_time_for_answers_of_the_leadership_that_requested_them() {
    let bound = answer_bound(secs(44), secs(14));
    let mut peer = self::controller(&[]);
    let mut controller = leader();
    let epoch = controller.epoch();
    let bound_ends_at = START.plus(bound);
    assert!(controller.may_answer(bound_ends_at.since(Micros(1))));
    assert!(!controller.may_answer(bound_ends_at));
    let requested_at = START.plus(secs(10));
    let peer_heartbeat = controller.peer_heartbeat("n1", STORE_UNREACHABLE, requested_at);
    assert!(peer_heartbeat.ack_request.is_some());
    let mut answer = peer.peer_heartbeat_received(peer_heartbeat, STORE_UNREACHABLE, requested_at);
    answer.node = "n1".to_owned();
    answer.term = 0;
    assert!(answer.ack.is_some());
    let read_at = requested_at.plus(secs(9));
    let other_epoch = epoch + 1;
    controller.peer_heartbeat_answered(answer.clone(), requested_at, other_epoch, read_at);
    assert!(!controller.may_answer(bound_ends_at));
    controller.peer_heartbeat_answered(answer, requested_at, epoch, read_at);
    assert!(controller.may_answer(requested_at.plus(bound).since(Micros(1))));
    assert!(!controller.may_answer(requested_at.plus(bound)));
}

/// A process that has not read the records since its start sends no acknowledgement and is no candidate. It could
/// not list the cancellations that the leader may have missed.
#[test]
fn only_a_process_that_has_read_the_records_acknowledges() {
    let config = controller(&[]).config().clone();
    let mut restarted = Controller::new(config, 8, 2);
    let request = leader().peer_heartbeat("n1", STORE_UNREACHABLE, START);
    let answer = restarted.peer_heartbeat_received(request, STORE_UNREACHABLE, START);
    assert_eq!(answer.ack, None);
    assert_eq!(restarted.candidacy(START, 0), Candidacy::No);
}

fn one_task_spec() -> JobSpec {
    harness::spec(JobKind::Array, 1, 1)
}

fn cancelled_job(revision: u64) -> JobWrite {
    let record = JobRecord {
        state: JobState::Cancelled,
        ..JobRecord::accepted(START, Arc::new(one_task_spec()))
    };
    JobWrite {
        id: "job-000001".to_owned(),
        record: raw(&serde_json::to_string(&record).expect("the record is serialisable")),
        revision,
    }
}

/// A leader of protocol version 0 answers agents beyond its bound while all peers report that they cannot reach the
/// state service. A controller that may know a cancellation which that leader missed must not report this, or the
/// cancelled job's tasks would continue to run.
#[test]
fn a_fresh_cancellation_is_not_hidden_from_a_leader_of_version_0() {
    let mut controller = controller(&[]);
    let peer_heartbeat = |version| PeerStatus {
        protocol_version: version,
        ..status_of_peer()
    };
    let store = |last_success_at| StoreHealth {
        reachable: false,
        last_success_at: Some(last_success_at),
    };
    // The initial read of the records may have included cancellations, which count as fresh until the state
    // service has been reached long enough after it.
    let now = START.plus(secs(30));
    let answer = controller.peer_heartbeat_received(peer_heartbeat(0), store(START), now);
    assert!(answer.store_reachable);
    let answer = controller.peer_heartbeat_received(peer_heartbeat(0), store(now), now);
    assert!(!answer.store_reachable);
    controller.apply_own_write(cancelled_job(2), now, now);
    let answer = controller.peer_heartbeat_received(peer_heartbeat(0), store(now), now);
    assert!(answer.store_reachable);
    // A peer of the present version is told that the state service is unreachable, and receives the cancellation
    // itself.
    let answer = controller.peer_heartbeat_received(peer_heartbeat(1), store(now), now);
    assert!(!answer.store_reachable);
}

#[test]
fn a_newer_term_ends_the_leadership_with_a_notice() {
    let mut controller = leader();
    // A version that uses one fencing token for each term takes the next number.
    let newer = PeerStatus {
        term: FIRST_TERM + 1,
        term_owner: "n1".to_owned(),
        ..status_of_peer()
    };
    let epoch = controller.epoch();
    controller.peer_heartbeat_received(newer, STORE_UNREACHABLE, START);
    assert!(!controller.may_answer(START));
    assert!(controller.scheduler_in_epoch(epoch).is_none());
    let lost = Notice::LeadershipLost {
        term: FIRST_TERM,
        reason: LossReason::NewerTerm,
    };
    assert_eq!(controller.take_notices(), [lost]);
}

/// A record that this version cannot read produces one notice and changes nothing else in the records.
#[test]
fn an_unreadable_record_produces_a_notice_and_is_skipped() {
    let mut controller = controller(&[]);
    let change = RecordChange {
        key: job_key("job-000009"),
        value: Some(raw(r#"{"s":"suspended","t":0}"#)),
        revision: 2,
    };
    controller
        .apply_changes(1, [change], 2, START, START)
        .expect("no change is missing");
    assert!(!controller.records().jobs.contains_key("job-000009"));
    assert_eq!(controller.records().revision(), 2);
    let notices = controller.take_notices();
    assert!(
        matches!(&notices[..], [Notice::UnreadableRecord { key, .. }] if key == "salt/j/job-000009"),
        "{notices:?}"
    );
}

/// Guards against a job that waits forever because its dependency ended while the leader listed the records, and left
/// memory before the listing replaced the leader's copy.
#[test]
fn a_leader_learns_from_a_listing_which_of_its_jobs_have_ended() {
    let mut leader = leader_that_keeps(0);
    let first = JobRecord::accepted(START, Arc::new(one_task_spec()));
    let mut spec = one_task_spec();
    spec.dependencies = vec!["job-000001".to_owned()];
    let second = JobRecord::accepted(START, Arc::new(spec));
    let text = |record: &JobRecord| serde_json::to_string(record).expect("the value is JSON");
    let change = |id: &str, record: &JobRecord, revision| RecordChange {
        key: job_key(id),
        value: Some(raw(&text(record))),
        revision,
    };
    let changes = [
        change("job-000001", &first, 3),
        change("job-000002", &second, 4),
        change("job-000003", &first, 5),
    ];
    leader
        .apply_changes(2, changes, 5, START, START)
        .expect("no change is missing");
    let ended = JobRecord::final_record(JobState::Done, None);
    let mut listed = RecordCache::new(0);
    listed.advance_to(9);
    for (id, record, revision) in [
        ("job-000001", &ended, 7),
        ("job-000003", &ended, 8),
        ("job-000002", &second, 4),
    ] {
        let value = raw(&text(record));
        listed
            .put(&job_key(id), &value, revision)
            .expect("the record is readable");
        listed.trim_listing();
    }
    let term = leader.records().term.clone();
    let term_text = serde_json::to_string(&term.value).expect("the value is JSON");
    listed
        .put(TERM_KEY, &raw(&term_text), term.revision)
        .expect("the term is readable");
    let unknown = leader.unknown_outcomes(&listed, &[]);
    assert_eq!(Vec::from_iter(unknown), ["job-000001", "job-000003"]);
    for (id, revision) in [("job-000001", 7), ("job-000003", 8)] {
        let record = Some((raw(&text(&ended)), revision));
        let id = id.to_owned();
        listed
            .put_job_read(&JobRead { id, record })
            .expect("the record is readable");
    }
    assert!(leader.unknown_outcomes(&listed, &[]).is_empty());
    let now = START.plus(secs(10));
    leader
        .replace_records(listed, now, now)
        .expect("the present layout");
    let scheduler = leader.scheduler().expect("the controller still leads");
    let timeline = scheduler.timeline("job-000002").expect("the job waits");
    assert_eq!(timeline.released, secs(10), "the second job is released");
}

/// The record of a cancelled job changes again when the last of its tasks is gone, and every change may arrive
/// twice. The controller must give notice of the job's end only once; in incidents the log had it up to three times.
#[test]
fn the_end_of_a_job_produces_one_notice() {
    let mut controller = leader();
    let job = JobRecord::accepted(START, Arc::new(one_task_spec()));
    let cancelled = JobRecord {
        state: JobState::Cancelled,
        ..job.clone()
    };
    let change = |record: &JobRecord, revision| RecordChange {
        key: job_key("job-1"),
        value: Some(raw(
            &serde_json::to_string(record).expect("the value is JSON")
        )),
        revision,
    };
    let shortened = JobRecord::final_record(JobState::Cancelled, None);
    let history = [
        change(&job, 3),
        change(&cancelled, 4),
        change(&cancelled, 4),
        change(&shortened, 5),
    ];
    for change in history {
        let revision = change.revision;
        controller
            .apply_changes(revision - 1, vec![change], revision, START, START)
            .expect("no change is missing");
    }
    let notices = controller.take_notices();
    let ends = notices.iter().filter(|n| matches!(n, Notice::JobEnded(_)));
    assert_eq!(ends.count(), 1, "{notices:?}");
}
