//! Writes the commands that the leader sends to agents to the log, several messages on a line.

use std::fmt::Write;

use saltpitch_core::scheduler::Scheduler;
use saltpitch_core::Micros;

/// The longest time for which messages are gathered on one line.
const MAX_DELAY: Micros = Micros::from_millis(250);
/// A line ends with the message that makes it as long as this.
const LINE_BYTES: usize = 8 * 1024;

/// The messages that are gathered for the next line.
#[derive(Default)]
pub struct CommandLogWriter {
    line: String,
    /// When the first message of the line was added.
    begun_at: Micros,
}

impl CommandLogWriter {
    /// Adds the messages that the scheduler sent since the last call, and writes what is due.
    pub fn write(&mut self, scheduler: &mut Scheduler, now: Micros) {
        let (entries, dropped) = scheduler.take_command_log();
        if !tracing::enabled!(tracing::Level::INFO) {
            return;
        }
        for entry in entries {
            self.add(&entry, now);
        }
        if dropped > 0 {
            self.add(&format_args!("{dropped} messages are left out"), now);
        }
        if now.since(self.begun_at) >= MAX_DELAY {
            self.flush();
        }
    }

    /// Returns when the line is written at the latest, if it has a message.
    pub fn due_at(&self) -> Option<Micros> {
        (!self.line.is_empty()).then(|| self.begun_at.plus(MAX_DELAY))
    }

    /// Writes the line if it has a message.
    pub fn flush(&mut self) {
        if !self.line.is_empty() {
            tracing::info!("commands: {}", self.line);
            self.line.clear();
        }
    }

    fn add(&mut self, message: &dyn std::fmt::Display, now: Micros) {
        if self.line.is_empty() {
            self.begun_at = now;
        } else {
            self.line.push_str("; ");
        }
        // Writing to a string cannot fail.
        let _ = write!(self.line, "{message}");
        if self.line.len() >= LINE_BYTES {
            self.flush();
        }
    }
}
