//! What the state service holds, and a node's copy of it.
//!
//! All keys share one prefix and every node follows them with one watch, so that whoever sees a
//! job has also seen each earlier change of term.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::catalog::Catalog;
use crate::images::ImageEvidence;
use crate::job::{JobSpec, JobState, Kind, MAX_TASKS};
use crate::messages::AckRequest;
use crate::time::Micros;

pub const PREFIX: &str = "salt/";
pub const TERM_KEY: &str = "salt/term";
pub const LEADER_KEY: &str = "salt/leader";
pub const CATALOG_KEY: &str = "salt/catalog";
/// Tasks in one chunk record: a full one stays below the smallest value limit.
pub const CHUNK: u32 = 128;
/// The most machines in one block record.
pub const BLOCK: usize = 64;
/// The most returned machines whose names are remembered.
const MAX_GONE: usize = 50_000;

pub fn job_key(id: &str) -> String {
    format!("salt/j/{id}")
}
/// The job whose record is stored at `key`, if it is a job's.
pub fn job_id(key: &str) -> Option<&str> {
    key.strip_prefix("salt/j/")
}
pub fn chunk_key(id: &str, chunk: u32) -> String {
    format!("salt/c/{id}/{chunk}")
}
pub fn log_key(slot: u32) -> String {
    format!("salt/l/{slot}")
}
pub fn block_key(block: u32) -> String {
    format!("salt/b/{block}")
}
pub fn node_key(name: &str) -> String {
    format!("salt/n/{name}")
}

/// The token's counter. Its revision is the condition of every write of a leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    pub term: u64,
    /// Who took this term, and in which life of its process.
    pub node: String,
    pub life: u64,
    /// Time of day from which no leader before this one can answer a worker. It is handed on, so
    /// that a leader who was cut off is still waited for when two others came after it.
    #[serde(default)]
    pub quiet: Micros,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    pub life: u64,
    pub term: u64,
}

/// Written by each process when it starts, and by a leader that resigns: a newer life proves that
/// the older one answers nobody.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    pub life: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    #[serde(rename = "s")]
    pub state: JobState,
    /// Time of day of the submission.
    #[serde(rename = "t", default)]
    pub submitted: Micros,
    /// Gone once the job is over and none of its tasks is left.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Arc<JobSpec>>,
    /// Time of day at which a job was found done, from which the times of jobs that need it count.
    /// Left out otherwise; earlier versions don't know the field.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub finished: Option<Micros>,
}

impl JobRecord {
    /// An accepted job.
    pub fn accepted(submitted: Micros, spec: Arc<JobSpec>) -> JobRecord {
        JobRecord {
            state: JobState::Active,
            submitted,
            spec: Some(spec),
            finished: None,
        }
    }

    /// Leaves out what is of no use any more once the job is cancelled: where it might have run, and
    /// what it needed.
    pub fn shorten(&mut self) {
        if let Some(spec) = &mut self.spec {
            let spec = Arc::make_mut(spec);
            spec.types = None;
            spec.needs = Vec::new();
        }
    }

    /// A job that is over, with none of its tasks left.
    pub fn over(state: JobState, finished: Option<Micros>) -> JobRecord {
        JobRecord {
            state,
            submitted: Micros::ZERO,
            spec: None,
            finished,
        }
    }
}

/// Where one task may be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRecord(pub u32, pub String, pub u64);

/// The state of up to [`CHUNK`] tasks of a job: a checkpoint of what the log says of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// The log's segment up to which this holds.
    #[serde(rename = "l", default)]
    pub upto: u64,
    /// Highest attempt used, per task.
    #[serde(rename = "a")]
    pub attempts: Vec<u32>,
    /// Completed tasks, as runs: first task and how many.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// (task within the chunk, machine, session)
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub places: Vec<PlaceRecord>,
}

impl ChunkRecord {
    /// Adds a completed task; tasks come in order.
    pub fn add_done(&mut self, task: u32) {
        match self.done.last_mut() {
            Some((first, n)) if *first + *n == task => *n += 1,
            _ => self.done.push((task, 1)),
        }
    }

    pub fn done_tasks(&self) -> impl Iterator<Item = u32> + '_ {
        self.done
            .iter()
            .flat_map(|(first, n)| *first..first.saturating_add((*n).min(CHUNK)))
    }
}

/// What became of one task: its number, attempt, machine and session (empty: nowhere), and whether
/// it has completed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry(pub u32, pub u32, pub String, pub u64, pub u8);

/// A segment of the log: changes of any number of jobs in one value, since changes of keys are
/// scarce. Segments are written to a ring of keys; one is overwritten only when checkpoints hold
/// whatever it said of jobs that are not over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    #[serde(rename = "n")]
    pub no: u64,
    #[serde(rename = "e")]
    pub entries: Vec<(String, Vec<Entry>)>,
}

/// A task as the newest record of it says.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// The segment that said so.
    seg: u64,
    pub attempt: u32,
    pub done: bool,
    /// Machine and session.
    pub place: Option<Box<(String, u64)>>,
}

/// The tasks of a job, as far as anything is on record of them.
#[derive(Clone, Debug, Default)]
pub struct TaskStates {
    pub tasks: Vec<TaskState>,
    running: u32,
    done: u32,
}

impl TaskStates {
    /// Whatever comes late or twice, the newest segment's entry stays. Returns the machine and
    /// the session in which the task has just completed.
    fn set(&mut self, task: u32, new: TaskState) -> Option<(String, u64)> {
        let at = task as usize;
        if at >= self.tasks.len() {
            if task >= MAX_TASKS {
                return None;
            }
            self.tasks.resize(at + 1, TaskState::default());
        }
        let old = &mut self.tasks[at];
        if new.seg < old.seg {
            return None;
        }
        self.running =
            self.running + u32::from(new.place.is_some()) - u32::from(old.place.is_some());
        self.done = self.done + u32::from(new.done) - u32::from(old.done);
        let completed = new.done && !old.done;
        let before = std::mem::replace(old, new);
        before.place.filter(|_| completed).map(|place| *place)
    }

    /// The machines and sessions in which tasks are placed.
    fn places(&self) -> impl Iterator<Item = &(String, u64)> {
        self.tasks.iter().filter_map(|t| t.place.as_deref())
    }
}

/// What a view keeps of a segment: its revision, its number, and the chunks that it speaks of.
#[derive(Clone, Debug)]
pub struct Segment {
    pub rev: u64,
    pub no: u64,
    pub chunks: Vec<(String, u32)>,
}

/// What a view keeps of a chunk's record: its revision, and up to which segment it holds.
#[derive(Clone, Copy, Debug)]
pub struct Checkpoint {
    pub rev: u64,
    pub upto: u64,
}

/// One machine of a block: name, address, and whether its return to the cloud is intended (nothing
/// is placed on it again), and the time of day at which it was rented or first seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord(pub String, pub String, pub bool, pub Micros);

/// Machines of one type, zone and kind. Thousands of machines come and go while changes are scarce,
/// so many share a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockRecord {
    #[serde(rename = "t")]
    pub type_name: String,
    #[serde(rename = "z")]
    pub zone: String,
    #[serde(rename = "s", default)]
    pub spot: bool,
    #[serde(rename = "m")]
    pub machines: Vec<MachineRecord>,
}

/// Names of machines that were returned: late sightings of them mean nothing. Bounded, the oldest
/// fall out: by then nothing of them can be under way any more.
#[derive(Clone, Debug, Default)]
pub struct Gone {
    names: HashSet<String>,
    order: VecDeque<String>,
}

impl Gone {
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    fn remove(&mut self, name: &str) {
        if self.names.remove(name) {
            self.order.retain(|n| n != name);
        }
    }

    pub fn insert(&mut self, name: &str) {
        if self.names.insert(name.to_owned()) {
            self.order.push_back(name.to_owned());
            if self.order.len() > MAX_GONE {
                if let Some(old) = self.order.pop_front() {
                    self.names.remove(&old);
                }
            }
        }
    }
}

/// A position in a controller's list of cancellations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AckCursor {
    /// The process that keeps the list; a restarted controller starts a new one.
    pub process: u64,
    /// How many entries of the list are known.
    pub entries: u64,
}

/// A controller's acknowledgement to a leader that cannot reach the state service: one page of the
/// jobs that the controller knows to be cancelled and that the leader's records do not show.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancellationAck {
    /// Where the next page starts.
    pub upto: AckCursor,
    /// Whether there is another page. Only the last one completes the acknowledgement.
    pub more: bool,
    /// The ids of the cancelled jobs.
    pub cancelled: Vec<String>,
}

/// Cancellations in the order in which a node learned of them, which need not be that of their
/// revisions. Bounded: the oldest fall out, and a leader whose records are older than those gets no
/// word.
#[derive(Clone, Debug, Default)]
pub struct Cancellations {
    first: u64,
    list: VecDeque<(u64, String)>,
    forgotten: u64,
}

/// The most cancellations that a node remembers for a leader without the store, and the most that
/// one word carries.
const MAX_CANCELLATIONS: usize = 10_000;
const MAX_CANCELLATIONS_PER_ACK: usize = 1_000;

impl Cancellations {
    fn note(&mut self, rev: u64, id: &str) {
        self.list.push_back((rev, id.to_owned()));
    }

    /// Forgets what is above the bound.
    pub fn trim(&mut self) {
        while self.list.len() > MAX_CANCELLATIONS {
            if let Some((rev, _)) = self.list.pop_front() {
                self.first += 1;
                self.forgotten = self.forgotten.max(rev);
            }
        }
    }

    /// What a leader with records as of `rev` has not seen, from `cursor` on. None: too much was
    /// forgotten to say.
    pub fn acknowledge(&self, process: u64, request: AckRequest) -> Option<CancellationAck> {
        let AckRequest { revision, cursor } = request;
        if revision < self.forgotten {
            return None;
        }
        let known = if cursor.process == process {
            cursor.entries
        } else {
            0
        };
        let skip = known.saturating_sub(self.first) as usize;
        let mut entries = self.first.max(known);
        let mut cancelled = Vec::new();
        for (at, id) in self.list.iter().skip(skip) {
            if cancelled.len() >= MAX_CANCELLATIONS_PER_ACK {
                break;
            }
            entries += 1;
            if *at > revision {
                cancelled.push(id.clone());
            }
        }
        Some(CancellationAck {
            upto: AckCursor { process, entries },
            more: entries < self.first + self.list.len() as u64,
            cancelled,
        })
    }
}

/// A change of one key in the state service, or one row of a listing.
#[derive(Clone, Debug)]
pub struct RecordChange {
    /// The key that changed.
    pub key: String,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Box<RawValue>>,
    /// The revision of the change.
    pub revision: u64,
}

#[derive(Clone, Debug)]
pub struct JobEntry {
    pub rev: u64,
    pub record: JobRecord,
}

/// What changed in a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    None,
    Term,
    Leader,
    Catalog,
    Node(String),
    Job(String),
    Chunk,
    Machine,
}

/// A node's copy of the records, as of revision `rev`.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub rev: u64,
    pub jobs: HashMap<String, JobEntry>,
    /// The tasks of jobs that are not over.
    pub tasks: HashMap<String, TaskStates>,
    pub chunks: HashMap<String, BTreeMap<u32, Checkpoint>>,
    /// The log's segments by their key.
    pub log: BTreeMap<u32, Segment>,
    /// The highest segment heard of.
    pub last_segment: u64,
    pub blocks: BTreeMap<u32, (u64, BlockRecord)>,
    pub nodes: BTreeMap<String, (u64, NodeRecord)>,
    pub term: (u64, TermRecord),
    pub leader: Option<(u64, LeaderRecord)>,
    pub catalog: Option<(u64, Arc<Catalog>)>,
    pub gone: Gone,
    /// Which machines hold which images.
    pub images: ImageEvidence,
    /// Jobs that wait for others, by those that they need.
    dependents: HashMap<String, Vec<String>>,
    /// Jobs not yet cancelled on record that need a cancelled one, directly or through others. None of
    /// them has ever started a task, since what it needs was never done; none of them ever will.
    withdrawn: HashSet<String>,
    pub cancellations: Cancellations,
    /// A record of an earlier version's layout was seen: this one must not lead on half the truth.
    pub old_layout: bool,
}

fn parse<'a, T: Deserialize<'a>>(raw: &'a RawValue) -> Result<T, String> {
    serde_json::from_str(raw.get()).map_err(|e| e.to_string())
}

impl View {
    /// Applies one key's change, unless a newer one is already there. A record that cannot be read
    /// is refused and leaves the view as it was.
    pub fn put(&mut self, key: &str, raw: &RawValue, rev: u64) -> Result<Change, String> {
        match split(key) {
            Key::Term => {
                if rev <= self.term.0 {
                    return Ok(Change::None);
                }
                self.term = (rev, parse(raw)?);
                Ok(Change::Term)
            }
            Key::Leader => {
                if self.leader.as_ref().is_some_and(|l| rev <= l.0) {
                    return Ok(Change::None);
                }
                self.leader = Some((rev, parse(raw)?));
                Ok(Change::Leader)
            }
            Key::Catalog => {
                if self.catalog.as_ref().is_some_and(|c| rev <= c.0) {
                    return Ok(Change::None);
                }
                self.catalog = Some((rev, Arc::new(parse(raw)?)));
                Ok(Change::Catalog)
            }
            Key::Node(n) => {
                if self.nodes.get(n).is_some_and(|x| rev <= x.0) {
                    return Ok(Change::None);
                }
                self.nodes.insert(n.to_owned(), (rev, parse(raw)?));
                Ok(Change::Node(n.to_owned()))
            }
            Key::Job(id) => {
                if self.jobs.get(id).is_some_and(|x| rev <= x.rev) {
                    return Ok(Change::None);
                }
                let record: JobRecord = parse(raw)?;
                if record.spec.is_none() {
                    self.note_images_at_end(id, record.state);
                    self.tasks.remove(id);
                }
                let was = self.jobs.get(id).map(|j| j.record.state);
                if record.state == JobState::Cancelled && was != Some(JobState::Cancelled) {
                    self.cancellations.note(rev, id);
                }
                let needs = record.spec.clone().filter(|s| !s.needs.is_empty());
                let state = record.state;
                self.jobs.insert(id.to_owned(), JobEntry { rev, record });
                self.take_needs(id, state, needs);
                Ok(Change::Job(id.to_owned()))
            }
            Key::Chunk(id, no) => {
                let known = self.chunks.get(id).and_then(|chunks| chunks.get(&no));
                if known.is_some_and(|x| rev <= x.rev) {
                    return Ok(Change::None);
                }
                let record: ChunkRecord = parse(raw)?;
                let upto = record.upto;
                let chunks = self.chunks.entry(id.to_owned()).or_default();
                chunks.insert(no, Checkpoint { rev, upto });
                self.last_segment = self.last_segment.max(upto);
                if !self.is_over(id) {
                    self.take_checkpoint(id, no, record);
                }
                Ok(Change::Chunk)
            }
            Key::Block(no) => {
                let old = self.blocks.get(&no);
                if old.is_some_and(|x| rev <= x.0) {
                    return Ok(Change::None);
                }
                let new: BlockRecord = parse(raw)?;
                let old = old.map(|o| o.1.machines.clone()).unwrap_or_default();
                // A block that was split leaves its machines to others.
                for m in &new.machines {
                    self.gone.remove(&m.0);
                }
                let stays: HashSet<&str> = new.machines.iter().map(|m| m.0.as_str()).collect();
                let left = old.iter().filter(|m| !stays.contains(&*m.0));
                let left: Vec<&str> = left.map(|m| m.0.as_str()).collect();
                for name in left {
                    let mut others = self.blocks.iter().filter(|b| *b.0 != no);
                    if !others.any(|(_, b)| b.1.machines.iter().any(|m| m.0 == name)) {
                        self.gone.insert(name);
                        self.images.forget(name);
                    }
                }
                self.blocks.insert(no, (rev, new));
                Ok(Change::Machine)
            }
            Key::Log(slot) => {
                if self.log.get(&slot).is_some_and(|x| rev <= x.rev) {
                    return Ok(Change::None);
                }
                let record: LogRecord = parse(raw)?;
                let no = record.no;
                self.last_segment = self.last_segment.max(no);
                let chunks = self.take_segment(record);
                self.log.insert(slot, Segment { rev, no, chunks });
                Ok(Change::Chunk)
            }
            Key::Old => {
                self.old_layout = true;
                Err("it is laid out by an earlier version; see CHANGELOG.md".to_owned())
            }
            Key::Other => Ok(Change::None),
        }
    }

    /// Applies the deletion of a key, unless a newer write of it is already there.
    pub fn delete(&mut self, key: &str, rev: u64) -> Change {
        match split(key) {
            Key::Leader if self.leader.as_ref().is_some_and(|l| l.0 < rev) => {
                self.leader = None;
                return Change::Leader;
            }
            Key::Chunk(id, no) => {
                if let Some(chunks) = self.chunks.get_mut(id) {
                    if chunks.get(&no).is_some_and(|c| c.rev < rev) {
                        chunks.remove(&no);
                    }
                    if chunks.is_empty() {
                        self.chunks.remove(id);
                    }
                }
            }
            Key::Block(no) if self.blocks.get(&no).is_some_and(|b| b.0 < rev) => {
                if let Some((_, old)) = self.blocks.remove(&no) {
                    for m in &old.machines {
                        self.machine_gone(&m.0);
                    }
                }
                return Change::Machine;
            }
            _ => {}
        }
        Change::None
    }

    /// Running and completed tasks of a job, for display.
    pub fn counts(&self, id: &str) -> (u64, u64) {
        let all = self.tasks.get(id);
        all.map_or((0, 0), |t| (u64::from(t.running), u64::from(t.done)))
    }

    /// The final record was written: what is said of its tasks means nothing any more.
    fn is_over(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|j| j.record.spec.is_none())
    }

    fn take_checkpoint(&mut self, id: &str, chunk: u32, record: ChunkRecord) {
        let mut new: Vec<TaskState> = (record.attempts.iter())
            .take(CHUNK as usize)
            .map(|a| TaskState {
                seg: record.upto,
                attempt: *a,
                ..TaskState::default()
            })
            .collect();
        for i in record.done_tasks() {
            if let Some(t) = new.get_mut(i as usize) {
                t.done = true;
            }
        }
        for PlaceRecord(i, machine, session) in record.places {
            if let Some(t) = new.get_mut(i as usize) {
                t.place = Some(Box::new((machine, session)));
            }
        }
        let states = self.tasks.entry(id.to_owned()).or_default();
        for (i, t) in new.into_iter().enumerate() {
            states.set(chunk.saturating_mul(CHUNK).saturating_add(i as u32), t);
        }
    }

    /// Takes in a segment; says which chunks it speaks of.
    fn take_segment(&mut self, record: LogRecord) -> Vec<(String, u32)> {
        let mut chunks = Vec::new();
        for (id, entries) in record.entries {
            let mut of_job: Vec<u32> = entries.iter().map(|e| e.0 / CHUNK).collect();
            of_job.sort_unstable();
            of_job.dedup();
            chunks.extend(of_job.into_iter().map(|c| (id.clone(), c)));
            if self.is_over(&id) {
                continue;
            }
            let job = self.jobs.get(&id);
            let spec = job.and_then(|job| job.record.spec.as_deref());
            let states = self.tasks.entry(id).or_default();
            for Entry(task, attempt, machine, session, done) in entries {
                let place = (!machine.is_empty()).then(|| Box::new((machine, session)));
                let state = TaskState {
                    seg: record.no,
                    attempt,
                    done: done > 0,
                    place,
                };
                let completed_on = states.set(task, state);
                if let (Some((machine, session)), Some(spec)) = (completed_on, spec) {
                    let images = &mut self.images;
                    images.used(&machine, session, &spec.image, spec.image_mb);
                }
            }
        }
        chunks
    }

    /// A job's final record leaves out its tasks. Those of a job that is done completed where they were
    /// placed; the replicas of a cancelled service ran there.
    fn note_images_at_end(&mut self, id: &str, state: JobState) {
        let Some(spec) = self.jobs.get(id).and_then(|j| j.record.spec.as_deref()) else {
            return;
        };
        let used = state == JobState::Done || spec.kind == Kind::Service;
        let tasks = self.tasks.get(id).filter(|_| used);
        for (machine, session) in tasks.into_iter().flat_map(TaskStates::places) {
            let images = &mut self.images;
            images.used(machine, *session, &spec.image, spec.image_mb);
        }
    }

    /// The machine was returned: late sightings of it mean nothing.
    fn machine_gone(&mut self, name: &str) {
        self.gone.insert(name);
        self.images.forget(name);
    }

    /// Takes over the names of returned machines from an older copy: what that one knew and this one
    /// does not have is gone as well.
    pub fn succeed(&mut self, old: View) {
        self.gone = old.gone;
        self.images = old.images;
        // The list that leaders have been told from goes on: what the older copy had is in it.
        let new = std::mem::replace(&mut self.cancellations, old.cancellations);
        let mut new: Vec<(u64, String)> = new.list.into_iter().collect();
        // Read in the order of keys: of a long history the newest are kept.
        new.sort_unstable();
        for (rev, id) in new {
            let knew = old.jobs.get(&id).map(|j| j.record.state);
            if knew != Some(JobState::Cancelled) {
                self.cancellations.note(rev, &id);
            }
        }
        self.cancellations.trim();
        let here: HashSet<&str> = (self.blocks.values())
            .flat_map(|b| b.1.machines.iter().map(|m| m.0.as_str()))
            .collect();
        for m in old.blocks.values().flat_map(|b| &b.1.machines) {
            if !here.contains(m.0.as_str()) {
                self.gone.insert(&m.0);
                self.images.forget(&m.0);
            }
        }
    }

    /// A job's state, as users are told: on record, or cancelled with one that it needs.
    pub fn state(&self, id: &str) -> Option<JobState> {
        let state = self.jobs.get(id)?.record.state;
        Some(if self.withdrawn.contains(id) {
            JobState::Cancelled
        } else {
            state
        })
    }

    /// Notes what a job needs, and what its cancellation does to those that need it. Whether a job
    /// comes before or after those that it needs, as in a list by keys, makes no difference.
    fn take_needs(&mut self, id: &str, state: JobState, needs: Option<Arc<JobSpec>>) {
        let mut off = state == JobState::Cancelled;
        for need in needs.iter().flat_map(|s| &s.needs) {
            if state != JobState::Active {
                break;
            }
            match self.state(need) {
                Some(JobState::Done) => continue,
                Some(JobState::Cancelled) => {
                    self.withdrawn.insert(id.to_owned());
                    off = true;
                }
                _ => {
                    let list = self.dependents.entry(need.clone()).or_default();
                    if !list.iter().any(|x| x == id) {
                        list.push(id.to_owned());
                    }
                }
            }
        }
        if state != JobState::Active {
            self.withdrawn.remove(id);
        }
        let mut next = if off { vec![id.to_owned()] } else { Vec::new() };
        while let Some(id) = next.pop() {
            for d in self.dependents.get(&id).into_iter().flatten() {
                let active = self.jobs.get(d).map(|j| j.record.state) == Some(JobState::Active);
                if active && self.withdrawn.insert(d.clone()) {
                    next.push(d.clone());
                }
            }
        }
        if state != JobState::Active {
            // Those that needed it have been told, or never ask again.
            self.dependents.remove(id);
        }
    }

    /// The jobs withdrawn with others that are not cancelled on record yet.
    pub fn withdrawn(&self) -> impl Iterator<Item = &str> {
        self.withdrawn.iter().map(String::as_str)
    }

    /// The highest life known of a node.
    pub fn life(&self, node: &str) -> u64 {
        self.nodes.get(node).map_or(0, |n| n.1.life)
    }
}

enum Key<'a> {
    Term,
    Leader,
    Catalog,
    Node(&'a str),
    Job(&'a str),
    Chunk(&'a str, u32),
    Block(u32),
    Log(u32),
    /// A kind of record that this version does not read.
    Old,
    Other,
}

fn split(key: &str) -> Key<'_> {
    match key {
        TERM_KEY => return Key::Term,
        LEADER_KEY => return Key::Leader,
        CATALOG_KEY => return Key::Catalog,
        _ => {}
    }
    if let Some(id) = key.strip_prefix("salt/j/") {
        return Key::Job(id);
    }
    if let Some(no) = key.strip_prefix("salt/b/") {
        return no.parse().map_or(Key::Other, Key::Block);
    }
    if let Some(no) = key.strip_prefix("salt/l/") {
        return no.parse().map_or(Key::Other, Key::Log);
    }
    if key.starts_with("salt/m/") || key.starts_with("salt/p/") {
        return Key::Old;
    }
    if let Some(name) = key.strip_prefix("salt/n/") {
        return Key::Node(name);
    }
    if let Some((id, no)) = key
        .strip_prefix("salt/c/")
        .and_then(|rest| rest.rsplit_once('/'))
    {
        if let Ok(no) = no.parse() {
            return Key::Chunk(id, no);
        }
    }
    Key::Other
}
