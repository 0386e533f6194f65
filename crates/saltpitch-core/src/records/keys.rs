//! The keys in the state service. They are a published format: tests compare them with samples of each version.

/// The prefix of all keys.
pub const PREFIX: &str = "salt/";
/// The key of the term's record.
pub const TERM_KEY: &str = "salt/term";
/// The key of the leader's record, which is attached to the leadership lease.
pub const LEADER_KEY: &str = "salt/leader";
/// The key of the machine types. It is read if it exists; no version in production writes it.
pub const CATALOG_KEY: &str = "salt/catalog";
/// Number of tasks in one checkpoint; a full checkpoint stays below the smallest value limit of the store.
pub const TASKS_PER_CHECKPOINT: u32 = 128;
/// Maximum number of machines in the record of one block.
pub const MACHINES_PER_BLOCK: usize = 64;

const JOB_PREFIX: &str = "salt/j/";
const CHECKPOINT_PREFIX: &str = "salt/c/";
const SEGMENT_PREFIX: &str = "salt/l/";
const MACHINE_BLOCK_PREFIX: &str = "salt/b/";
const NODE_PREFIX: &str = "salt/n/";
/// Prefixes of keys that only earlier versions wrote.
const EARLIER_PREFIXES: [&str; 2] = ["salt/m/", "salt/p/"];

/// Returns the key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the id of the job whose record is stored at `key`, or `None` if it is not the key of a job.
pub fn job_id(key: &str) -> Option<&str> {
    key.strip_prefix(JOB_PREFIX)
}

/// Returns the key of the checkpoint of one range of a job's tasks.
pub fn checkpoint_key(id: &str, index: u32) -> String {
    format!("{CHECKPOINT_PREFIX}{id}/{index}")
}

/// Returns the key of a slot of the placement log.
pub fn segment_key(slot: u32) -> String {
    format!("{SEGMENT_PREFIX}{slot}")
}

/// Returns the key of a block of machines.
pub fn machine_block_key(number: u32) -> String {
    format!("{MACHINE_BLOCK_PREFIX}{number}")
}

/// Returns the key of the record with a controller's incarnation.
pub fn node_key(name: &str) -> String {
    format!("{NODE_PREFIX}{name}")
}

/// The kind of record that is stored at a key.
pub(super) enum Key<'a> {
    /// The term.
    Term,
    /// The leader.
    Leader,
    /// The machine types.
    Catalog,
    /// A controller's incarnation, by the controller's name.
    Node(&'a str),
    /// A job, by its id.
    Job(&'a str),
    /// A checkpoint, by the job's id and the index of the range of tasks.
    Checkpoint(&'a str, u32),
    /// A block of machines, by its number.
    MachineBlock(u32),
    /// A segment of the placement log, by the slot that it is stored in.
    Segment(u32),
    /// A record in the layout of an earlier version, which this version does not read.
    EarlierLayout,
    /// A key that this version does not use.
    Other,
}

/// Returns what kind of record is stored at a key.
pub(super) fn parse_key(key: &str) -> Key<'_> {
    match key {
        TERM_KEY => return Key::Term,
        LEADER_KEY => return Key::Leader,
        CATALOG_KEY => return Key::Catalog,
        _ => {}
    }
    if let Some(id) = job_id(key) {
        return Key::Job(id);
    }
    if let Some(number) = key.strip_prefix(MACHINE_BLOCK_PREFIX) {
        return number.parse().map_or(Key::Other, Key::MachineBlock);
    }
    if let Some(slot) = key.strip_prefix(SEGMENT_PREFIX) {
        return slot.parse().map_or(Key::Other, Key::Segment);
    }
    if EARLIER_PREFIXES
        .iter()
        .any(|prefix| key.starts_with(prefix))
    {
        return Key::EarlierLayout;
    }
    if let Some(name) = key.strip_prefix(NODE_PREFIX) {
        return Key::Node(name);
    }
    parse_checkpoint_key(key).unwrap_or(Key::Other)
}

fn parse_checkpoint_key(key: &str) -> Option<Key<'_>> {
    let (id, index) = key.strip_prefix(CHECKPOINT_PREFIX)?.rsplit_once('/')?;
    Some(Key::Checkpoint(id, index.parse().ok()?))
}
