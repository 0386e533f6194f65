//! Machines: what they last said, what is assumed on them, and what proves that a task is gone.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::agent::{TaskState, TaskStatus};
use crate::catalog::{MachineType, Resources};
use crate::job::JobNumber;
use crate::machine_index::{GroupNumber, IndexEntry};
use crate::time::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachinePhase {
    /// Rented or read from the records, not heard of by this leader.
    Unregistered,
    Up,
    /// Its return is intended; `true` once that is on record.
    Returning(bool),
}

#[derive(Debug)]
pub struct Machine {
    pub name: Arc<str>,
    pub kind: Arc<MachineType>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub addr: String,
    pub phase: MachinePhase,
    /// The machine's record is in the store, so that a later leader asks it.
    pub recorded: bool,
    pub created_at: Micros,
    pub up_since: Micros,
    pub agent_epoch: u64,
    pub sequence: u64,
    /// Sequence number of the newest heartbeat proper: only the next heartbeat proves that a start in
    /// the answer to this one was lost.
    pub last_heartbeat_sequence: u64,
    /// The last heartbeat whose answer carried a start.
    pub last_start_sequence: u64,
    pub fencing_token: u64,
    pub fenced_at: Option<Micros>,
    pub last_heard: Micros,
    pub last_answer: Micros,
    /// When the present epoch was first heard of: its lease counts from its beginning, which is
    /// not later than this, even if no heartbeat of it was ever answered.
    pub agent_epoch_started_at: Micros,
    pub spot_notice: Option<Micros>,
    /// Tasks that are or may be here, assumed ones included.
    pub allocations: BTreeSet<(JobNumber, u32)>,
    pub used: Resources,
    /// Listed by the agent, but not ours to keep: to be stopped or forgotten.
    pub unowned_tasks: Vec<TaskStatus>,
    /// A direct start was sent and not answered: token at the time, and since when.
    pub unacknowledged_start: Option<(u64, Micros)>,
    pub command_in_flight: bool,
    pub next_command_at: Micros,
    pub next_probe_at: Micros,
    /// When the last probe was sent, and when the last one that got no answer was.
    pub probe_sent_at: Micros,
    pub last_unanswered_probe_at: Micros,
    /// Probes without an answer since the machine was last heard.
    pub failed_probes: u32,
    pub return_after: Micros,
    pub idle_since: Micros,
    /// When a task that needs what this machine is rented for was last here.
    pub wanted_at: Micros,
    /// Nothing new is placed here, and it goes back once it is empty.
    pub cordoned: bool,
    /// Jobs that failed here and seem to work elsewhere.
    pub failed_jobs: BTreeSet<JobNumber>,
    /// Its group in the index, and what the index has of it.
    pub group: GroupNumber,
    pub indexed: IndexEntry,
    /// Processors used by work that is not batch.
    pub steady_cpu: u64,
    /// Not heard of for so long that nothing new is placed on it.
    pub unresponsive: bool,
    /// Its heartbeats have not come for a while although it answers direct calls: its lease runs on to its
    /// end, so nothing new is placed on it; `evicted`: what can be moved was told to go.
    pub outbound_partition: bool,
    /// Since when it has answered direct calls without reporting.
    pub outbound_partition_since: Option<Micros>,
    pub evicted: bool,
    /// Signs that our answers don't reach it although its heartbeats reach us.
    pub inbound_partition: InboundPartition,
    /// When it is looked after next.
    pub next_check_at: Micros,
    /// The record block that it is in.
    pub block: Option<u32>,
    images: BTreeMap<String, (u64, Micros)>,
    /// The epoch for which its images were recalled from the records, until it is heard.
    pub recorded_epoch: Option<u64>,
}

/// A machine whose heartbeats arrive while answers and commands don't reach it looks alive, yet its
/// lease runs out and nothing that it is told happens. Only what it shows of our words tells: the
/// token in its heartbeats, whether it stays with this node, and whether direct calls get through.
#[derive(Clone, Copy, Debug, Default)]
pub struct InboundPartition {
    /// The highest token told in an answer, and the heartbeat that was answered.
    answered_with: Option<(u64, u64)>,
    /// Heartbeats in a row that show nothing of the answers before them.
    ignored_answers: u32,
    /// Direct calls in a row that did not get through.
    failed_calls: u32,
    /// When it last showed that an answer reached it.
    heard_at: Option<Micros>,
    /// Since when it is suspected: two signs in a row, since any one answer or call may be lost.
    pub since: Option<Micros>,
    /// Heartbeats that came since then, and when the first did: a machine behind a cut sends none, and
    /// when the cut ends the calls get through soon after the heartbeats that it held back.
    heartbeats: u32,
    reported_at: Option<Micros>,
}

impl InboundPartition {
    /// An answer with this token was sent to the heartbeat `sequence`, which showed the fencing token `observed`.
    pub fn answered_with(&mut self, fencing_token: u64, observed: u64, sequence: u64) {
        if observed < fencing_token && self.answered_with.is_none_or(|t| t.0 < fencing_token) {
            self.answered_with = Some((fencing_token, sequence));
        }
    }

    /// What a heartbeat shows of the answers to earlier ones. `stays`: it is the next that the agent
    /// sent after one that was answered here; without that answer it would have asked another node.
    pub fn heartbeat_received(
        &mut self,
        fencing_token: u64,
        sequence: u64,
        stays: bool,
        heartbeat_freshness: Micros,
        now: Micros,
    ) {
        if let Some((answered_with, _)) = self.answered_with.filter(|t| t.1 < sequence) {
            if fencing_token >= answered_with {
                self.answered_with = None;
                self.ignored_answers = 0;
                self.heard_at = Some(now);
            } else {
                self.ignored_answers += 1;
            }
        }
        if stays {
            self.heard_at = Some(now);
        }
        self.reassess(heartbeat_freshness, now);
        if self.since.is_some() {
            self.heartbeats += 1;
            self.reported_at.get_or_insert(now);
        }
    }

    /// A new epoch began. `answered`: although heartbeats of the one before were answered.
    pub fn epoch_started(&mut self, answered: bool, heartbeat_freshness: Micros, now: Micros) {
        self.answered_with = None;
        if answered {
            self.heard_at = None;
            self.ignored_answers += 2;
        }
        self.reassess(heartbeat_freshness, now);
        if answered {
            self.heartbeats += 1;
            self.reported_at.get_or_insert(now);
        }
    }

    /// A direct call got through, or did not.
    pub fn direct_call_ended(&mut self, reached: bool, heartbeat_freshness: Micros, now: Micros) {
        if reached {
            self.ignored_answers = 0;
            self.failed_calls = 0;
        } else {
            self.failed_calls += 1;
        }
        self.reassess(heartbeat_freshness, now);
    }

    fn reassess(&mut self, heartbeat_freshness: Micros, now: Micros) {
        let heard = self
            .heard_at
            .is_some_and(|at| now.since(at) < heartbeat_freshness);
        if self.ignored_answers >= 2 || (self.failed_calls >= 2 && !heard) {
            self.since.get_or_insert(now);
        } else {
            self.since = None;
            self.heartbeats = 0;
            self.reported_at = None;
        }
    }

    /// It is heard, and has not heard us, for this long.
    pub fn is_certain(&self, wait: Micros, now: Micros) -> bool {
        self.heartbeats >= 2 && self.reported_at.is_some_and(|at| now.since(at) > wait)
    }

    pub fn is_suspected(&self) -> bool {
        self.since.is_some()
    }
}

impl Machine {
    pub fn new(
        name: &str,
        kind: Arc<MachineType>,
        zone: Arc<str>,
        spot: bool,
        addr: &str,
        now: Micros,
    ) -> Machine {
        Machine {
            name: name.into(),
            kind,
            zone,
            spot,
            addr: addr.to_owned(),
            phase: MachinePhase::Unregistered,
            recorded: false,
            created_at: now,
            up_since: Micros::ZERO,
            agent_epoch: 0,
            sequence: 0,
            last_heartbeat_sequence: 0,
            last_start_sequence: 0,
            fencing_token: 0,
            fenced_at: None,
            last_heard: Micros::ZERO,
            last_answer: Micros::ZERO,
            agent_epoch_started_at: Micros::ZERO,
            spot_notice: None,
            allocations: BTreeSet::new(),
            used: Resources::default(),
            unowned_tasks: Vec::new(),
            unacknowledged_start: None,
            command_in_flight: false,
            next_command_at: Micros::ZERO,
            next_probe_at: Micros::ZERO,
            probe_sent_at: Micros::ZERO,
            last_unanswered_probe_at: Micros::ZERO,
            failed_probes: 0,
            return_after: Micros::ZERO,
            idle_since: now,
            wanted_at: now,
            cordoned: false,
            failed_jobs: BTreeSet::new(),
            group: 0,
            indexed: IndexEntry::default(),
            steady_cpu: 0,
            unresponsive: false,
            outbound_partition: false,
            outbound_partition_since: None,
            evicted: false,
            inbound_partition: InboundPartition::default(),
            next_check_at: Micros::ZERO,
            block: None,
            images: BTreeMap::new(),
            recorded_epoch: None,
        }
    }

    pub fn free(&self) -> Resources {
        self.kind.size.minus(&self.used)
    }

    pub fn is_up(&self) -> bool {
        self.phase == MachinePhase::Up
    }

    /// A unowned task is here that has not exited: its need is unknown, so nothing is added.
    pub fn has_running_unowned_tasks(&self) -> bool {
        self.unowned_tasks
            .iter()
            .any(|t| !matches!(t.state, TaskState::Exited { .. }))
    }

    /// Whether new tasks may be placed here now.
    pub fn takes_tasks(&self) -> bool {
        self.is_up()
            && self.recorded
            && self.fenced_at.is_some()
            && !self.cordoned
            && self.spot_notice.is_none()
            && !self.unresponsive
            && !self.outbound_partition
            && !self.inbound_partition.is_suspected()
            && !self.has_running_unowned_tasks()
    }

    /// How long it would take to have the largest of its images elsewhere.
    pub fn image_worth(&self) -> Micros {
        let largest = self.images.values().map(|i| i.0).max();
        self.kind.fetch_time(largest.unwrap_or(0))
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.contains_key(image)
    }

    /// Notes the use of an image; the least recently used ones fall out of the cache. Says which came
    /// and which went.
    pub fn use_image(&mut self, image: &str, mb: u64, now: Micros) -> (Vec<String>, Vec<String>) {
        if let Some(i) = self.images.get_mut(image) {
            i.1 = now;
            return (Vec::new(), Vec::new());
        }
        let mut went = Vec::new();
        self.images.insert(image.to_owned(), (mb, now));
        while self.images.values().map(|i| i.0).sum::<u64>() > self.kind.cache_mb {
            let oldest = self
                .images
                .iter()
                .min_by_key(|(_, v)| v.1)
                .map(|(k, _)| k.clone());
            match oldest {
                Some(k) => {
                    self.images.remove(&k);
                    went.push(k);
                }
                None => break,
            };
        }
        (vec![image.to_owned()], went)
    }

    pub fn forget_images(&mut self) -> Vec<String> {
        std::mem::take(&mut self.images).into_keys().collect()
    }
}
