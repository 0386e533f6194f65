//! A machine whose heartbeats arrive while answers and commands don't reach it.
//!
//! It looks alive, yet its lease expires and no command has an effect. Only what the agent shows of earlier
//! answers tells: the fencing token in its heartbeats, whether it stays with this controller, and whether
//! direct calls are answered.

use crate::time::Micros;

/// So many signs in a row are taken for a partition: any one answer or call may be lost.
const SIGNS: u32 = 2;

/// What one heartbeat shows of the answers to earlier ones.
#[derive(Clone, Copy, Debug)]
pub struct AnswerEvidence {
    /// The heartbeat's place among the statuses of its epoch.
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    pub fencing_token: u64,
    /// It is the next that the agent sent after one that was answered here; without that answer it would
    /// have tried another controller.
    pub follows_answer: bool,
}

/// A fencing token that an answer carried.
#[derive(Clone, Copy, Debug)]
struct AnsweredToken {
    fencing_token: u64,
    /// The heartbeat that was answered.
    sequence: u64,
}

/// Signs that a machine does not receive this leader's answers and commands.
#[derive(Clone, Copy, Debug, Default)]
pub struct InboundPartition {
    /// The first answer with a fencing token that the agent has not shown since.
    unseen_token: Option<AnsweredToken>,
    /// Heartbeats in a row that show nothing of the answers before them.
    ignored_answers: u32,
    /// Direct calls in a row that got no answer.
    failed_calls: u32,
    /// When it last showed that an answer reached it.
    answer_seen_at: Option<Micros>,
    /// Since when it is suspected: two signs in a row, since any one answer or call may be lost.
    suspected_since: Option<Micros>,
    /// Heartbeats that came since then, and when the first did. A machine behind a partition in both
    /// directions sends none, and when that ends, calls get through soon after the delayed heartbeats.
    heartbeats: u32,
    first_heartbeat_at: Option<Micros>,
}

impl InboundPartition {
    /// The heartbeat is answered with this fencing token.
    pub fn answer_sent(&mut self, fencing_token: u64, heartbeat: AnswerEvidence) {
        let is_higher = |answered: AnsweredToken| answered.fencing_token < fencing_token;
        let is_news = heartbeat.fencing_token < fencing_token;
        if is_news && self.unseen_token.is_none_or(is_higher) {
            self.unseen_token = Some(AnsweredToken {
                fencing_token,
                sequence: heartbeat.sequence,
            });
        }
    }

    /// A heartbeat arrived.
    pub fn heartbeat_received(
        &mut self,
        heartbeat: AnswerEvidence,
        heartbeat_freshness: Micros,
        now: Micros,
    ) {
        let earlier = |answered: &AnsweredToken| answered.sequence < heartbeat.sequence;
        if let Some(answered) = self.unseen_token.filter(earlier) {
            if heartbeat.fencing_token >= answered.fencing_token {
                self.unseen_token = None;
                self.ignored_answers = 0;
                self.answer_seen_at = Some(now);
            } else {
                self.ignored_answers += 1;
            }
        }
        if heartbeat.follows_answer {
            self.answer_seen_at = Some(now);
        }
        self.reassess(heartbeat_freshness, now);
        if self.suspected_since.is_some() {
            self.heartbeats += 1;
            self.first_heartbeat_at.get_or_insert(now);
        }
    }

    /// The agent began a new epoch. `answered`: its lease expired although its heartbeats were answered.
    pub fn epoch_started(&mut self, answered: bool, heartbeat_freshness: Micros, now: Micros) {
        self.unseen_token = None;
        if answered {
            self.answer_seen_at = None;
            self.ignored_answers += SIGNS;
        }
        self.reassess(heartbeat_freshness, now);
        if answered {
            self.heartbeats += 1;
            self.first_heartbeat_at.get_or_insert(now);
        }
    }

    /// A direct call was answered, or was not.
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
        let answer_seen = self
            .answer_seen_at
            .is_some_and(|at| now.since(at) < heartbeat_freshness);
        if self.ignored_answers >= SIGNS || (self.failed_calls >= SIGNS && !answer_seen) {
            self.suspected_since.get_or_insert(now);
        } else {
            self.suspected_since = None;
            self.heartbeats = 0;
            self.first_heartbeat_at = None;
        }
    }

    /// Whether its heartbeats have come without any sign of an answer for longer than `wait`.
    pub fn is_confirmed(&self, wait: Micros, now: Micros) -> bool {
        self.heartbeats >= SIGNS
            && self
                .first_heartbeat_at
                .is_some_and(|at| now.since(at) > wait)
    }

    /// Whether there are signs that answers don't reach it.
    pub fn is_suspected(&self) -> bool {
        self.suspected_since.is_some()
    }

    /// Since when there are signs that answers don't reach it.
    pub fn suspected_since(&self) -> Option<Micros> {
        self.suspected_since
    }
}
