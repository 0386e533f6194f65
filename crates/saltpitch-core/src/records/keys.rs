//! The keys in the state service. They are a published format: samples of each version are tested.

/// The prefix of all keys.
pub const PREFIX: &str = "salt/";
/// The key of the term.
pub const TERM_KEY: &str = "salt/term";
/// The key of the leader, attached to the leadership lease.
pub const LEADER_KEY: &str = "salt/leader";
/// The key of the machine types; read where it is there, written by no version in production.
pub const CATALOG_KEY: &str = "salt/catalog";
/// Tasks in one chunk record: a full one stays below the smallest value limit.
pub const CHUNK: u32 = 128;
/// The most machines in one block record.
pub const BLOCK: usize = 64;

/// The key of a job.
pub fn job_key(id: &str) -> String {
    format!("salt/j/{id}")
}
/// The job whose record is stored at `key`, if it is a job's.
pub fn job_id(key: &str) -> Option<&str> {
    key.strip_prefix("salt/j/")
}
/// The key of a checkpoint of one chunk of a job's tasks.
pub fn chunk_key(id: &str, chunk: u32) -> String {
    format!("salt/c/{id}/{chunk}")
}
/// The key of a slot of the placement log.
pub fn log_key(slot: u32) -> String {
    format!("salt/l/{slot}")
}
/// The key of a block of machines.
pub fn block_key(block: u32) -> String {
    format!("salt/b/{block}")
}
/// The key of a controller's incarnation.
pub fn node_key(name: &str) -> String {
    format!("salt/n/{name}")
}

pub(super) enum Key<'a> {
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

pub(super) fn split(key: &str) -> Key<'_> {
    match key {
        TERM_KEY => return Key::Term,
        LEADER_KEY => return Key::Leader,
        CATALOG_KEY => return Key::Catalog,
        _ => {}
    }
    if let Some(id) = key.strip_prefix("salt/j/") {
        return Key::Job(id);
    }
    if let Some(number) = key.strip_prefix("salt/b/") {
        return number.parse().map_or(Key::Other, Key::Block);
    }
    if let Some(number) = key.strip_prefix("salt/l/") {
        return number.parse().map_or(Key::Other, Key::Log);
    }
    if key.starts_with("salt/m/") || key.starts_with("salt/p/") {
        return Key::Old;
    }
    if let Some(name) = key.strip_prefix("salt/n/") {
        return Key::Node(name);
    }
    if let Some((id, number)) = key
        .strip_prefix("salt/c/")
        .and_then(|rest| rest.rsplit_once('/'))
    {
        if let Ok(number) = number.parse() {
            return Key::Chunk(id, number);
        }
    }
    Key::Other
}
