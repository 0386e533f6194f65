//! The records in a state service with all changes to them, drawn from a seed.

use std::ops::Bound;

use crate::harness::{self, BTreeMap, BTreeSet, JobKind, JobRecord, JobState, RecordCache};
use crate::{raw, START};
use saltpitch_core::records::{RecordChange, RecordChanges, RecordPage};

/// The number of records in a page of a listing.
const PAGE_SIZE: usize = 7;

/// Returns the record of a job in this state that is not final yet.
pub fn live_job(state: JobState) -> String {
    let record = JobRecord {
        state,
        ..JobRecord::accepted(START, harness::spec(JobKind::Array, 1, 1).into())
    };
    serde_json::to_string(&record).expect("the record is serialisable")
}

/// A linear congruential generator, so that a seed always produces the same history.
pub struct RandomNumbers(pub u64);

impl RandomNumbers {
    /// Returns the next number, which is below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) % bound
    }
}

/// The records in a state service, with all changes to them.
#[derive(Default)]
pub struct History {
    /// The revision and value of each key.
    pub keys: BTreeMap<String, (u64, String)>,
    pub changes: Vec<RecordChange>,
    /// Whether only tasks of active jobs are written, as a leader does.
    pub places_only_active_jobs: bool,
}

impl History {
    pub fn revision(&self) -> u64 {
        // The controllers of these tests begin at revision 1.
        self.changes.last().map_or(1, |change| change.revision)
    }

    pub fn write(&mut self, key: &str, value: Option<String>) {
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

    pub fn has_ended(&self, key: &str) -> bool {
        let value = self.keys.get(key).map(|(_, value)| value.as_str());
        value.is_some_and(|value| value == self.job(0) || value == self.job(1))
    }

    fn is_active(&self, key: &str) -> bool {
        let value = self.keys.get(key).map(|(_, value)| value.as_str());
        value.is_some_and(|value| value.contains("active"))
    }

    /// Makes a random change that a leader or a user could make: a job that has ended stays so, only checkpoints of
    /// ended jobs are deleted, and no segment is overwritten that is still needed.
    pub fn make_random_change(&mut self, random: &mut RandomNumbers) {
        let (job, machine) = (random.below(30), random.below(40));
        let job_key = format!("salt/j/job-{job:06}");
        let has_ended = self.has_ended(&job_key);
        let is_active = self.is_active(&job_key);
        let is_cancelled = self.keys.contains_key(&job_key) && !is_active;
        let kind = random.below(6);
        if matches!(kind, 1 | 4) && self.places_only_active_jobs && !is_active {
            return;
        }
        match kind {
            0 if has_ended => {}
            0 if is_cancelled => self.write(&job_key, Some(self.job(1))),
            0 => self.write(&job_key, Some(self.job(random.below(8)))),
            1 => {
                let number = self.revision() + 1;
                let entry = format!(r#"[0,{number},"vm-{machine:06}",1,{}]"#, random.below(2));
                let value = format!(r#"{{"n":{number},"e":[["job-{job:06}",[{entry}]]]}}"#);
                self.write(&format!("salt/l/{number}"), Some(value));
            }
            2 => {
                let rows = format!(r#"["vm-{machine:06}","10.1.0.1:9000",false,5]"#);
                let value = format!(r#"{{"t":"plain","z":"east","s":true,"m":[{rows}]}}"#);
                self.write(&format!("salt/b/{}", machine % 8), Some(value));
            }
            3 => self.write(&format!("salt/b/{}", machine % 8), None),
            4 => {
                let up_to_segment = self.revision() + 1;
                let value = format!(r#"{{"l":{up_to_segment},"a":[1],"r":[[0,1]]}}"#);
                self.write(&format!("salt/c/job-{job:06}/0"), Some(value));
            }
            _ if has_ended => self.write(&format!("salt/c/job-{job:06}/0"), None),
            _ => {}
        }
    }

    /// Returns the value of a job's record: 0 is done, 1 cancelled, and every other number active.
    fn job(&self, state: u64) -> String {
        match state {
            0 => r#"{"s":"done","t":0}"#.to_owned(),
            1 => r#"{"s":"cancelled","t":0}"#.to_owned(),
            _ => live_job(JobState::Active),
        }
    }

    /// Returns what the state service answers now to a read of the changes after this revision.
    pub fn read_changes(&self, from: u64) -> RecordChanges {
        RecordChanges {
            changes: self.since(from),
            revision: self.revision(),
        }
    }

    /// Returns what it answers to a request for the page of records that follow this key.
    pub fn read_page(&self, after: &str) -> RecordPage {
        let following = (Bound::Excluded(after), Bound::Unbounded);
        let rows = self.keys.range::<str, _>(following);
        let record = |(key, (revision, value)): (&String, &(u64, String))| RecordChange {
            key: key.clone(),
            value: Some(raw(value)),
            revision: *revision,
        };
        let mut records: Vec<RecordChange> = rows.take(PAGE_SIZE + 1).map(record).collect();
        let has_next = records.len() > PAGE_SIZE;
        records.truncate(PAGE_SIZE);
        RecordPage {
            records,
            has_next,
            revision: self.revision(),
        }
    }

    /// Returns the changes after this revision.
    pub fn since(&self, revision: u64) -> Vec<RecordChange> {
        let newer = self
            .changes
            .iter()
            .filter(|change| change.revision > revision);
        newer.cloned().collect()
    }
}

/// Returns what a controller derives from the records for users and for a new leader, in a fixed order.
pub fn summary(records: &RecordCache) -> Vec<String> {
    let live = records.jobs.keys().map(String::as_str);
    let ended = records.ended_jobs().iter().map(|(id, _)| id);
    let jobs = live.chain(ended).map(|id| {
        let (state, counts) = (records.job_state(id), records.task_counts(id));
        format!("{id} {state:?} {counts:?}")
    });
    let machine_blocks = records
        .machine_blocks
        .iter()
        .map(|block| format!("{block:?}"));
    let segments = records
        .segments
        .iter()
        .map(|(slot, segment)| format!("{slot} {}", segment.number));
    let mut all: Vec<String> = jobs.chain(machine_blocks).chain(segments).collect();
    all.sort();
    all.push(format!("segment {}", records.last_segment));
    let tasks: BTreeSet<&String> = records.tasks.keys().collect();
    all.push(format!("tasks of {tasks:?}"));
    all
}
