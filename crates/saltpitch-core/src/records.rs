//! What the state service holds, and a node's copy of it.
//!
//! All keys share one prefix and every node follows them with one watch, so that whoever sees a
//! job has also seen each earlier change of term.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::catalog::Catalog;
use crate::job::{JobSpec, JobState};
use crate::time::Micros;

pub const PREFIX: &str = "salt/";
pub const TERM_KEY: &str = "salt/term";
pub const LEADER_KEY: &str = "salt/leader";
pub const CATALOG_KEY: &str = "salt/catalog";
/// Tasks in one chunk record: a full one stays below the smallest value limit.
pub const CHUNK: u32 = 64;

pub fn job_key(id: &str) -> String {
    format!("salt/j/{id}")
}
pub fn chunk_key(id: &str, chunk: u32) -> String {
    format!("salt/p/{id}/{chunk}")
}
pub fn machine_key(name: &str) -> String {
    format!("salt/m/{name}")
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
}

/// Where one task may be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRecord(pub u32, pub String, pub u64);

/// The state of up to [`CHUNK`] tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Highest attempt used, per task.
    #[serde(rename = "a")]
    pub attempts: Vec<u32>,
    /// Bit set of completed tasks.
    #[serde(rename = "d", default)]
    pub done: u64,
    /// (task within the chunk, machine, session)
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub places: Vec<PlaceRecord>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    #[serde(rename = "t")]
    pub type_name: String,
    #[serde(rename = "z")]
    pub zone: String,
    #[serde(rename = "s", default)]
    pub spot: bool,
    #[serde(rename = "a", default)]
    pub addr: String,
    /// Its return to the cloud is intended: nothing is placed on it again.
    #[serde(rename = "r", default)]
    pub returning: bool,
    /// Time of day at which it was rented or first seen.
    #[serde(rename = "b", default)]
    pub born: Micros,
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
    pub chunks: HashMap<String, BTreeMap<u32, (u64, ChunkRecord)>>,
    pub machines: BTreeMap<String, (u64, MachineRecord)>,
    pub nodes: BTreeMap<String, (u64, NodeRecord)>,
    pub term: (u64, TermRecord),
    pub leader: Option<(u64, LeaderRecord)>,
    pub catalog: Option<(u64, Arc<Catalog>)>,
    /// Machines that were returned: late sightings of them mean nothing.
    pub gone: HashSet<String>,
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
                let record = parse(raw)?;
                self.jobs.insert(id.to_owned(), JobEntry { rev, record });
                Ok(Change::Job(id.to_owned()))
            }
            Key::Chunk(id, no) => {
                let chunks = self.chunks.entry(id.to_owned()).or_default();
                if chunks.get(&no).is_some_and(|x| rev <= x.0) {
                    return Ok(Change::None);
                }
                chunks.insert(no, (rev, parse(raw)?));
                Ok(Change::Chunk)
            }
            Key::Machine(name) => {
                if self.machines.get(name).is_some_and(|x| rev <= x.0) {
                    return Ok(Change::None);
                }
                self.machines.insert(name.to_owned(), (rev, parse(raw)?));
                Ok(Change::Machine)
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
                    if chunks.get(&no).is_some_and(|c| c.0 < rev) {
                        chunks.remove(&no);
                    }
                    if chunks.is_empty() {
                        self.chunks.remove(id);
                    }
                }
            }
            Key::Machine(name) if self.machines.get(name).is_none_or(|m| m.0 < rev) => {
                self.machines.remove(name);
                self.gone.insert(name.to_owned());
                return Change::Machine;
            }
            _ => {}
        }
        Change::None
    }

    /// Running and completed tasks of a job, for display.
    pub fn counts(&self, id: &str) -> (u64, u64) {
        let Some(chunks) = self.chunks.get(id) else {
            return (0, 0);
        };
        chunks.values().fold((0, 0), |(run, done), (_, c)| {
            (
                run + c.places.len() as u64,
                done + u64::from(c.done.count_ones()),
            )
        })
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
    Machine(&'a str),
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
    if let Some(name) = key.strip_prefix("salt/m/") {
        return Key::Machine(name);
    }
    if let Some(name) = key.strip_prefix("salt/n/") {
        return Key::Node(name);
    }
    if let Some((id, no)) = key
        .strip_prefix("salt/p/")
        .and_then(|rest| rest.rsplit_once('/'))
    {
        if let Ok(no) = no.parse() {
            return Key::Chunk(id, no);
        }
    }
    Key::Other
}
