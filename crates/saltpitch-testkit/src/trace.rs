//! A fingerprint of a simulated history, which shows whether a change of the code changed its behaviour.
//!
//! Every effect of a scheduler, every transaction and every answer is added to one hash together with
//! its time. Fields are written one by one under the names that they have on the wire, never with
//! `Debug`, so that renaming a type or a field in the code does not change the hash. Two runs of one
//! seed have the same hash, and so do two versions of the code that behave alike. `examples/trace_hashes.rs` prints the
//! hashes of whole ranges of seeds.

use saltpitch_core::agent::Command;
use saltpitch_core::controller::HeartbeatAnswer;
use saltpitch_core::messages::PeerStatus;
use saltpitch_core::scheduler::{Effect, Precondition, TransactionOutcome, Write};
use saltpitch_core::Micros;

/// The parameters of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A running hash over the events so far.
#[derive(Clone, Copy, Debug)]
pub struct Trace {
    hash: u64,
    events: u64,
}

impl Default for Trace {
    fn default() -> Trace {
        Trace {
            hash: FNV_OFFSET,
            events: 0,
        }
    }
}

impl Trace {
    /// Returns the hash of all recorded events.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns how many events were recorded.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Starts an event of this kind.
    pub fn event(&mut self, kind: &str, at: Micros) -> &mut Trace {
        self.events += 1;
        self.text(kind).number(at.0)
    }

    /// Adds a text field to the current event.
    pub fn text(&mut self, text: &str) -> &mut Trace {
        // The length comes first, so that the texts of two adjacent fields can't be confused.
        self.number(text.len() as u64).bytes(text.as_bytes())
    }

    /// Adds a number field to the current event.
    pub fn number(&mut self, number: u64) -> &mut Trace {
        self.bytes(&number.to_le_bytes())
    }

    fn bytes(&mut self, bytes: &[u8]) -> &mut Trace {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        self
    }

    /// Records an effect of a scheduler.
    pub fn effect(&mut self, node: usize, effect: &Effect, at: Micros) {
        self.event("effect", at).number(node as u64);
        match effect {
            Effect::Commit(transaction) => {
                self.transaction(&transaction.preconditions, &transaction.writes);
            }
            Effect::ReloadRecords => {
                self.text("refresh");
            }
            Effect::SendCommands {
                machine,
                addr,
                agent_epoch,
                fencing_token,
                commands,
            } => {
                self.text("orders").text(machine).text(addr);
                self.number(*agent_epoch).number(*fencing_token);
                self.commands(commands);
            }
            Effect::Probe { machine, addr } => {
                self.text("show").text(machine).text(addr);
            }
            Effect::ScaleOut {
                request,
                type_name,
                zone,
                spot,
                count,
            } => {
                self.text("charter").text(request).text(type_name);
                self.text(zone).number(u64::from(*spot));
                self.number(u64::from(*count));
            }
            Effect::ScaleIn { names } => {
                self.text("return");
                for name in names {
                    self.text(name);
                }
            }
            Effect::RaiseTerm => {
                self.text("raise");
            }
        }
    }

    /// Records a transaction with its preconditions.
    pub fn transaction(&mut self, preconditions: &[Precondition], writes: &[Write]) {
        self.text("txn");
        for Precondition { key, revision } in preconditions {
            self.text(key).number(*revision);
        }
        for write in writes {
            self.text(&write.key);
            self.text(write.value.as_deref().unwrap_or("delete"));
        }
    }

    /// Records the outcome of a transaction.
    pub fn outcome(&mut self, outcome: &TransactionOutcome) {
        match outcome {
            TransactionOutcome::Committed(revision) => self.text("done").number(*revision),
            TransactionOutcome::Conflict(keys) => keys
                .iter()
                .fold(self.text("failed"), |trace, key| trace.text(key)),
            TransactionOutcome::Unavailable => self.text("refused"),
            TransactionOutcome::RateLimited => self.text("throttled"),
            TransactionOutcome::TooLarge => self.text("rejected"),
            TransactionOutcome::Unknown => self.text("unknown"),
        };
    }

    /// Records the answer to an agent's heartbeat.
    pub fn report_answer(&mut self, node: usize, answer: &HeartbeatAnswer, at: Micros) {
        self.event("report", at).number(node as u64);
        match answer {
            HeartbeatAnswer::Commands {
                fencing_token,
                commands,
            } => {
                self.number(200).number(*fencing_token);
                self.commands(commands);
            }
            HeartbeatAnswer::Redirect { leader } => {
                self.number(421).text(leader.as_deref().unwrap_or_default());
            }
        }
    }

    /// Records the answer to a controller's heartbeat.
    pub fn heartbeat_answer(&mut self, answer: &PeerStatus, at: Micros) {
        self.event("hello", at).text(&answer.node);
        self.number(answer.term).text(&answer.term_owner);
        self.number(answer.term_incarnation);
        self.number(u64::from(answer.is_leader));
        self.number(u64::from(answer.store_reachable));
        self.number(u64::from(answer.redirected_agents));
        for job in answer.ack.iter().flat_map(|ack| &ack.cancelled) {
            self.text(job);
        }
    }

    fn commands(&mut self, commands: &[Command]) {
        self.number(commands.len() as u64);
        for command in commands {
            let (kind, job, task, attempt, grace) = match command {
                Command::Start { job, task, attempt } => ("launch", job, task, attempt, None),
                Command::Stop {
                    job,
                    task,
                    attempt,
                    grace,
                } => ("kill", job, task, attempt, Some(*grace)),
                Command::Forget { job, task, attempt } => ("reap", job, task, attempt, None),
            };
            self.text(kind).text(job);
            self.number(u64::from(*task)).number(u64::from(*attempt));
            self.number(grace.map_or(u64::MAX, |grace| grace.0));
        }
    }
}
