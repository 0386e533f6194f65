//! Machines: what they last said, what is assumed on them, and what proves that a task is gone.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::catalog::{MachineType, Res};
use crate::time::Micros;

/// A job's number within one leader's memory.
pub type JobNo = u32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    Done,
    Stopped,
    /// Another task of the gang is gone.
    Peers,
    /// The gang was not complete in time.
    Incomplete,
    Error,
    NoRoom,
    Busy,
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    Fetching,
    Waiting,
    Running,
    Saving,
    Exited { cause: Cause, saved: bool },
}

/// One task in a worker's report.
#[derive(Clone, Debug, PartialEq)]
pub struct SeenTask {
    pub job: String,
    pub task: u32,
    pub attempt: u32,
    pub state: TaskState,
}

/// What a worker says of itself, in a report or in answer to direct orders.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub machine: String,
    pub addr: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub notice: Option<Micros>,
    pub tasks: Vec<SeenTask>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Start {
        job: Arc<str>,
        task: u32,
        attempt: u32,
    },
    Stop {
        job: Arc<str>,
        task: u32,
        attempt: u32,
        grace: Micros,
    },
    Forget {
        job: Arc<str>,
        task: u32,
        attempt: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Rented or read from the records, not heard of by this leader.
    Unheard,
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
    pub phase: Phase,
    /// The machine's record is in the store, so that a later leader asks it.
    pub recorded: bool,
    pub born: Micros,
    pub up_since: Micros,
    pub session: u64,
    pub seq: u64,
    /// Sequence number of the newest report proper: only the next report proves that a start in
    /// the answer to this one was lost.
    pub report_seq: u64,
    /// The last report whose answer carried a start.
    pub start_seq: u64,
    pub token: u64,
    pub fenced_at: Option<Micros>,
    pub last_heard: Micros,
    pub last_answer: Micros,
    pub notice: Option<Micros>,
    /// Tasks that are or may be here, assumed ones included.
    pub holds: BTreeSet<(JobNo, u32)>,
    pub used: Res,
    /// Listed by the worker, but not ours to keep: to be stopped or forgotten.
    pub strays: Vec<SeenTask>,
    /// A direct start was sent and not answered: token at the time, and since when.
    pub doubt: Option<(u64, Micros)>,
    pub orders_out: bool,
    pub orders_after: Micros,
    pub probe_after: Micros,
    /// Probes without an answer since the machine was last heard.
    pub probes_failed: u32,
    pub return_after: Micros,
    pub idle_since: Micros,
    /// When a task that needs what this machine is rented for was last here.
    pub wanted_at: Micros,
    /// How long it is kept when empty.
    pub keep: Micros,
    pub condemned: bool,
    pub strikes: BTreeSet<JobNo>,
    images: BTreeMap<String, (u64, Micros)>,
}

impl Machine {
    pub fn new(
        name: &str,
        kind: Arc<MachineType>,
        zone: &str,
        spot: bool,
        addr: &str,
        now: Micros,
    ) -> Machine {
        Machine {
            name: name.into(),
            kind,
            zone: zone.into(),
            spot,
            addr: addr.to_owned(),
            phase: Phase::Unheard,
            recorded: false,
            born: now,
            up_since: Micros::ZERO,
            session: 0,
            seq: 0,
            report_seq: 0,
            start_seq: 0,
            token: 0,
            fenced_at: None,
            last_heard: Micros::ZERO,
            last_answer: Micros::ZERO,
            notice: None,
            holds: BTreeSet::new(),
            used: Res::default(),
            strays: Vec::new(),
            doubt: None,
            orders_out: false,
            orders_after: Micros::ZERO,
            probe_after: Micros::ZERO,
            probes_failed: 0,
            return_after: Micros::ZERO,
            idle_since: now,
            wanted_at: now,
            keep: Micros::from_secs(60),
            condemned: false,
            strikes: BTreeSet::new(),
            images: BTreeMap::new(),
        }
    }

    pub fn free(&self) -> Res {
        self.kind.size.minus(&self.used)
    }

    pub fn is_up(&self) -> bool {
        self.phase == Phase::Up
    }

    /// A stray task is here that has not exited: its need is unknown, so nothing is added.
    pub fn has_live_strays(&self) -> bool {
        self.strays
            .iter()
            .any(|t| !matches!(t.state, TaskState::Exited { .. }))
    }

    /// Whether new tasks may be placed here now.
    pub fn takes_tasks(&self, now: Micros, quiet: Micros) -> bool {
        self.is_up()
            && self.recorded
            && self.fenced_at.is_some()
            && !self.condemned
            && self.notice.is_none()
            && !self.has_live_strays()
            && now.since(self.last_heard) < quiet
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.contains_key(image)
    }

    /// Notes the use of an image; the least recently used ones fall out of the cache.
    pub fn use_image(&mut self, image: &str, mb: u64, now: Micros) {
        self.images.insert(image.to_owned(), (mb, now));
        while self.images.values().map(|i| i.0).sum::<u64>() > self.kind.cache_mb {
            let oldest = self
                .images
                .iter()
                .min_by_key(|(_, v)| v.1)
                .map(|(k, _)| k.clone());
            match oldest {
                Some(k) => self.images.remove(&k),
                None => break,
            };
        }
    }

    pub fn forget_images(&mut self) {
        self.images.clear();
    }
}
