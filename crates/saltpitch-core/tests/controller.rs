//! The controller's state machine: what heartbeats prove, what peers of either version are told, and
//! until when a leader may answer agents.

mod harness;

use std::sync::Arc;

use harness::{catalog, config, job_key, secs, JobRecord, JobSpec, JobState, SchedulerConfig};
use harness::{JobKind, Micros, RawValue, RecordCache};
use saltpitch_core::controller::{
    Candidacy, Controller, ControllerConfig, LossReason, Notice, PeerIdentity, StoreHealth,
};
use saltpitch_core::leadership::answer_bound;
use saltpitch_core::messages::{PeerStatus, PROTOCOL_VERSION};
use saltpitch_core::records::RecordChange;

const START: Micros = Micros::from_secs(100);
const DOWN: StoreHealth = StoreHealth {
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

/// A controller "n0" in the east with one peer "n1" in the west, and the revision of its records.
fn controller(stored: &[(&str, &str)]) -> Controller {
    let config = ControllerConfig {
        knows_delegations: false,
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
        records.put(key, &raw(value), 1).expect("readable");
    }
    records.revision = 1;
    controller
        .replace_records(records, START, START)
        .expect("the present layout");
    controller.set_catalog(catalog());
    let announcement = controller.announcement().expect("not announced");
    assert!(controller.confirm_announcement(announcement.incarnation, true));
    controller
}

/// The same, elected at [`START`].
fn leader() -> Controller {
    let mut controller = controller(&[]);
    let campaign = controller
        .campaign(START)
        .expect("the leadership is vacant");
    let writes = campaign.transaction.writes.clone();
    let changes = writes.into_iter().map(|write| RecordChange {
        value: write.value.as_deref().map(raw),
        key: write.key,
        revision: 2,
    });
    controller.apply_changes(1, changes, 2, START, START);
    assert!(controller.election_won(campaign, 5, 2, START, START, START));
    controller
}

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).expect("JSON")
}

fn status_of_peer() -> PeerStatus {
    PeerStatus {
        node: "n1".to_owned(),
        term: 1,
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
    let leader = controller.scheduler().expect("leads");
    leader.reachable_zones().iter().cloned().collect()
}

/// What lay in this process's sockets while it stood still is read late: an answer is as old as its
/// request, and a heartbeat tells nothing of the time.
#[test]
fn an_answer_is_as_old_as_its_request() {
    let mut controller = leader();
    let epoch = controller.epoch();
    let woke = START.plus(secs(12));
    controller.peer_heartbeat_answered(status_of_peer(), START, epoch, woke);
    assert_eq!(reachable_zones(&mut controller, woke), ["east"]);
    // Nor does the peer's own heartbeat, which may have waited as long.
    controller.peer_heartbeat_received(status_of_peer(), DOWN, woke);
    assert_eq!(reachable_zones(&mut controller, woke), ["east"]);
    controller.peer_heartbeat_answered(status_of_peer(), woke, epoch, woke);
    assert_eq!(reachable_zones(&mut controller, woke), ["east", "west"]);
    // An older answer that comes late takes nothing back.
    let later = woke.plus(secs(1));
    controller.peer_heartbeat_received(status_of_peer(), DOWN, later);
    assert_eq!(reachable_zones(&mut controller, later), ["east", "west"]);
}

/// An acknowledgement counts from its request, for the leadership that asked for it, and only if it comes
/// from every peer's own list.
#[test]
fn acknowledgements_extend_the_answers_of_the_leadership_that_asked() {
    let bound = answer_bound(secs(44), secs(14));
    let mut peer = self::controller(&[]);
    let mut controller = leader();
    let epoch = controller.epoch();
    let end = START.plus(bound);
    assert!(controller.may_answer(end.since(Micros(1))));
    assert!(!controller.may_answer(end));
    let asked_at = START.plus(secs(10));
    let peer_heartbeat = controller.peer_heartbeat("n1", DOWN, asked_at);
    assert!(peer_heartbeat.ack_request.is_some());
    let mut answer = peer.peer_heartbeat_received(peer_heartbeat, DOWN, asked_at);
    answer.node = "n1".to_owned();
    answer.term = 0;
    assert!(answer.ack.is_some());
    let read_at = asked_at.plus(secs(9));
    let other_epoch = epoch + 1;
    controller.peer_heartbeat_answered(answer.clone(), asked_at, other_epoch, read_at);
    assert!(!controller.may_answer(end));
    controller.peer_heartbeat_answered(answer, asked_at, epoch, read_at);
    assert!(controller.may_answer(asked_at.plus(bound).since(Micros(1))));
    assert!(!controller.may_answer(asked_at.plus(bound)));
}

/// A process that has not read the records since it started acknowledges nothing.
#[test]
fn only_a_process_that_has_read_the_records_acknowledges() {
    let config = controller(&[]).config().clone();
    let mut restarted = Controller::new(config, 8, 2);
    let request = leader().peer_heartbeat("n1", DOWN, START);
    let answer = restarted.peer_heartbeat_received(request, DOWN, START);
    assert_eq!(answer.ack, None);
    assert_eq!(restarted.candidacy(START, 0), Candidacy::No);
}

fn one_task() -> JobSpec {
    harness::spec(JobKind::Array, 1, 1)
}

fn cancelled_job(revision: u64) -> RecordChange {
    let record = JobRecord {
        state: JobState::Cancelled,
        ..JobRecord::accepted(START, Arc::new(one_task()))
    };
    RecordChange {
        key: job_key("job-000001"),
        value: Some(raw(&serde_json::to_string(&record).expect("serialisable"))),
        revision,
    }
}

/// A leader of protocol version 0 answers beyond its bound while all peers say that they cannot reach the
/// state service. A peer that may know of a cancellation which that leader missed does not say so.
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
    // Reading the records may have brought cancellations; long after that, nothing is fresh.
    let now = START.plus(secs(30));
    let told = controller.peer_heartbeat_received(peer_heartbeat(0), store(START), now);
    assert!(told.store_reachable);
    let told = controller.peer_heartbeat_received(peer_heartbeat(0), store(now), now);
    assert!(!told.store_reachable);
    controller.apply_own_write(&cancelled_job(2), now, now);
    let told = controller.peer_heartbeat_received(peer_heartbeat(0), store(now), now);
    assert!(told.store_reachable);
    // A peer of the present version is told the truth, and the cancellation itself.
    let told = controller.peer_heartbeat_received(peer_heartbeat(1), store(now), now);
    assert!(!told.store_reachable);
}

#[test]
fn a_newer_term_ends_the_leadership_and_is_told() {
    let mut controller = leader();
    let newer = PeerStatus {
        term: 2,
        term_owner: "n1".to_owned(),
        ..status_of_peer()
    };
    let epoch = controller.epoch();
    controller.peer_heartbeat_received(newer, DOWN, START);
    assert!(!controller.may_answer(START));
    assert!(controller.scheduler_in_epoch(epoch).is_none());
    let lost = Notice::LeadershipLost {
        term: 1,
        reason: LossReason::NewerTerm,
    };
    assert_eq!(controller.take_notices(), [lost]);
}

/// A record that this version cannot read is named once and changes nothing.
#[test]
fn an_unreadable_record_is_named_and_skipped() {
    let mut controller = controller(&[]);
    let change = RecordChange {
        key: job_key("job-000009"),
        value: Some(raw(r#"{"s":"suspended","t":0}"#)),
        revision: 2,
    };
    controller.apply_changes(1, [change], 2, START, START);
    assert!(!controller.records().jobs.contains_key("job-000009"));
    assert_eq!(controller.records().revision, 2);
    let notices = controller.take_notices();
    assert!(
        matches!(&notices[..], [Notice::UnreadableRecord { key, .. }] if key == "salt/j/job-000009"),
        "{notices:?}"
    );
}

/// A small linear generator: the history has to be the same in each run.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) % bound
    }
}

/// A state service with a history of changes.
#[derive(Default)]
struct History {
    keys: std::collections::BTreeMap<String, (u64, String)>,
    changes: Vec<RecordChange>,
}

impl History {
    fn revision(&self) -> u64 {
        // The records of `controller` are as of revision 1.
        self.changes.last().map_or(1, |c| c.revision)
    }

    fn write(&mut self, key: &str, value: Option<String>) {
        let revision = self.revision() + 1;
        match &value {
            Some(value) => self.keys.insert(key.to_owned(), (revision, value.clone())),
            None => self.keys.remove(key),
        };
        self.changes.push(RecordChange {
            key: key.to_owned(),
            value: value.as_deref().map(raw),
            revision,
        });
    }

    fn is_over(&self, key: &str) -> bool {
        let value = self.keys.get(key).map(|(_, value)| value.as_str());
        value.is_some_and(|v| !v.contains("active"))
    }

    /// A change as a leader or a user makes them: what is over stays so, a checkpoint is deleted only of
    /// a job that is over, and no segment is overwritten that is still needed.
    fn change(&mut self, draw: &mut Draw) {
        let (job, machine) = (draw.below(30), draw.below(40));
        let job_key = format!("salt/j/job-{job:06}");
        let over = self.is_over(&job_key);
        match draw.below(6) {
            0 if over => {}
            0 => self.write(&job_key, Some(self.job(draw.below(8)))),
            1 => {
                let no = self.revision() + 1;
                let entry = format!(r#"[0,{no},"vm-{machine:06}",1,{}]"#, draw.below(2));
                let value = format!(r#"{{"n":{no},"e":[["job-{job:06}",[{entry}]]]}}"#);
                self.write(&format!("salt/l/{no}"), Some(value));
            }
            2 => {
                let rows = format!(r#"["vm-{machine:06}","10.1.0.1:9000",false,5]"#);
                let value = format!(r#"{{"t":"plain","z":"east","s":true,"m":[{rows}]}}"#);
                self.write(&format!("salt/b/{}", machine % 8), Some(value));
            }
            3 => self.write(&format!("salt/b/{}", machine % 8), None),
            4 => {
                let upto = self.revision() + 1;
                let value = format!(r#"{{"l":{upto},"a":[1],"r":[[0,1]]}}"#);
                self.write(&format!("salt/c/job-{job:06}/0"), Some(value));
            }
            _ if over => self.write(&format!("salt/c/job-{job:06}/0"), None),
            _ => {}
        }
    }

    fn job(&self, state: u64) -> String {
        match state {
            0 => r#"{"s":"done","t":0}"#.to_owned(),
            1 => r#"{"s":"cancelled","t":0}"#.to_owned(),
            _ => {
                let change = cancelled_job(1);
                let value = change.value.expect("a value").get().to_owned();
                value.replace("cancelled", "active")
            }
        }
    }

    fn since(&self, revision: u64) -> Vec<RecordChange> {
        let newer = self.changes.iter().filter(|c| c.revision > revision);
        newer.cloned().collect()
    }
}

/// What a controller answers users and takes over from the records, in a command of its own.
fn summary(records: &RecordCache) -> Vec<String> {
    let jobs = records.jobs.keys().map(|id| {
        let (state, counts) = (records.job_state(id), records.task_counts(id));
        format!("{id} {state:?} {counts:?}")
    });
    let machine_blocks = records
        .machine_blocks
        .iter()
        .map(|block| format!("{block:?}"));
    let log = records
        .segments
        .iter()
        .map(|(slot, s)| format!("{slot} {}", s.number));
    let mut all: Vec<String> = jobs.chain(machine_blocks).chain(log).collect();
    all.sort();
    all.push(format!("segment {}", records.last_segment));
    all
}

/// After too many changes the records are listed page by page while they go on changing. With the changes
/// since the first page, the copy is the same as that of a controller that followed all along.
#[test]
fn a_listing_in_pages_catches_up_with_changes_in_between() {
    for seed in 0..40 {
        let mut draw = Draw(seed);
        let mut history = History::default();
        let mut follower = controller(&[]);
        for _ in 0..300 {
            history.change(&mut draw);
        }
        follower.apply_changes(1, history.since(1), history.revision(), START, START);
        let mut records = RecordCache::default();
        let first_page = history.revision();
        let mut after = String::new();
        loop {
            let later = (
                std::ops::Bound::Excluded(after.clone()),
                std::ops::Bound::Unbounded,
            );
            let rows = history.keys.range::<String, _>(later).take(7);
            let page: Vec<(String, (u64, String))> =
                rows.map(|(k, v)| (k.clone(), v.clone())).collect();
            let Some((last, _)) = page.last() else { break };
            after.clone_from(last);
            for (key, (revision, value)) in &page {
                records.put(key, &raw(value), *revision).expect("readable");
            }
            for _ in 0..draw.below(6) {
                history.change(&mut draw);
            }
        }
        records.revision = first_page;
        let mut late = controller(&[]);
        late.replace_records(records, START, START)
            .expect("the present layout");
        let from = late.records().revision;
        late.apply_changes(from, history.since(from), history.revision(), START, START);
        let from = follower.records().revision;
        follower.apply_changes(from, history.since(from), history.revision(), START, START);
        assert_eq!(
            late.records().revision,
            follower.records().revision,
            "seed {seed}"
        );
        assert_eq!(
            summary(late.records()),
            summary(follower.records()),
            "seed {seed}"
        );
    }
}

/// A cancelled job's record changes again when the last of its tasks is gone, and every change may come
/// twice: the log says once that the job ended. Found in incidents, where it stood there up to three times.
#[test]
fn the_end_of_a_job_is_told_once() {
    let mut controller = leader();
    let job = JobRecord::accepted(START, Arc::new(one_task()));
    let cancelled = JobRecord {
        state: JobState::Cancelled,
        ..job.clone()
    };
    let change = |record: &JobRecord, revision| RecordChange {
        key: job_key("job-1"),
        value: Some(raw(&serde_json::to_string(record).expect("JSON"))),
        revision,
    };
    let shortened = JobRecord::final_record(JobState::Cancelled, None);
    let history = [
        change(&job, 3),
        change(&cancelled, 4),
        change(&cancelled, 4),
        change(&shortened, 5),
    ];
    for one in history {
        let revision = one.revision;
        controller.apply_changes(revision - 1, vec![one], revision, START, START);
    }
    let notices = controller.take_notices();
    let ends = notices.iter().filter(|n| matches!(n, Notice::JobEnded(_)));
    assert_eq!(ends.count(), 1, "{notices:?}");
}
