//! Detection of inbound partitions: a machine's heartbeats arrive, but answers and commands don't reach it.
//!
//! Such a machine looks alive, but its lease expires and no command has an effect. The only evidence is how
//! the agent reacts to earlier answers and calls: the fencing token in its heartbeats, whether it stays with
//! this controller, and whether it answers direct calls.

use crate::time::Micros;

/// The number of consecutive signs that raise the suspicion of a partition. A single lost answer or call
/// proves nothing.
const SUSPICION_THRESHOLD: u32 = 2;

/// The evidence that one heartbeat gives of the answers to earlier ones.
#[derive(Clone, Copy, Debug)]
pub struct AnswerEvidence {
    /// The heartbeat's sequence number.
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    pub fencing_token: u64,
    /// Whether the agent sent this heartbeat right after one that was answered here. Without that answer it
    /// would have tried another controller first.
    pub follows_answer: bool,
}

/// A fencing token that an answer carried.
#[derive(Clone, Copy, Debug)]
struct AnsweredToken {
    fencing_token: u64,
    /// The sequence number of the heartbeat that was answered.
    sequence: u64,
}

/// The signs that a machine does not receive this leader's answers and commands.
#[derive(Clone, Copy, Debug, Default)]
pub struct InboundPartition {
    /// The first answer with a fencing token that the agent has not shown since.
    unseen_token: Option<AnsweredToken>,
    /// The number of consecutive heartbeats that don't show the fencing token of an earlier answer.
    ignored_answers: u32,
    /// The number of consecutive direct calls that got no answer.
    failed_calls: u32,
    /// When the agent last showed that an answer reached it.
    answer_seen_at: Option<Micros>,
    /// Since when a partition has been suspected.
    suspected_since: Option<Micros>,
    /// The number of heartbeats received since the suspicion began. They distinguish an inbound partition
    /// from one in both directions: during the latter none arrive, and after it calls get through soon after
    /// the delayed heartbeats.
    heartbeats_since_suspected: u32,
    /// When the first of these heartbeats arrived.
    first_heartbeat_at: Option<Micros>,
}

impl InboundPartition {
    /// Records that the heartbeat is answered with this fencing token.
    pub fn answer_sent(&mut self, fencing_token: u64, heartbeat: AnswerEvidence) {
        let is_higher = |answered: AnsweredToken| answered.fencing_token < fencing_token;
        let is_new_to_agent = heartbeat.fencing_token < fencing_token;
        if is_new_to_agent && self.unseen_token.is_none_or(is_higher) {
            self.unseen_token = Some(AnsweredToken {
                fencing_token,
                sequence: heartbeat.sequence,
            });
        }
    }

    /// Records a heartbeat and its evidence of earlier answers.
    pub fn heartbeat_received(
        &mut self,
        heartbeat: AnswerEvidence,
        heartbeat_freshness: Micros,
        now: Micros,
    ) {
        let is_earlier = |answered: &AnsweredToken| answered.sequence < heartbeat.sequence;
        if let Some(answered) = self.unseen_token.filter(is_earlier) {
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
            self.heartbeats_since_suspected += 1;
            self.first_heartbeat_at.get_or_insert(now);
        }
    }

    /// Records that the agent began a new epoch.
    ///
    /// `was_answered` says whether the lease of the previous epoch expired although its heartbeats were
    /// answered, which is reason enough to suspect a partition.
    pub fn epoch_started(&mut self, was_answered: bool, heartbeat_freshness: Micros, now: Micros) {
        self.unseen_token = None;
        if was_answered {
            self.answer_seen_at = None;
            self.ignored_answers += SUSPICION_THRESHOLD;
        }
        self.reassess(heartbeat_freshness, now);
        if was_answered {
            self.heartbeats_since_suspected += 1;
            self.first_heartbeat_at.get_or_insert(now);
        }
    }

    /// Records whether a direct call was answered.
    pub fn direct_call_ended(
        &mut self,
        is_answered: bool,
        heartbeat_freshness: Micros,
        now: Micros,
    ) {
        if is_answered {
            self.ignored_answers = 0;
            self.failed_calls = 0;
        } else {
            self.failed_calls += 1;
        }
        self.reassess(heartbeat_freshness, now);
    }

    /// Begins or ends the suspicion of a partition, depending on the present signs.
    fn reassess(&mut self, heartbeat_freshness: Micros, now: Micros) {
        let has_recent_answer = self
            .answer_seen_at
            .is_some_and(|at| now.since(at) < heartbeat_freshness);
        if self.ignored_answers >= SUSPICION_THRESHOLD
            || (self.failed_calls >= SUSPICION_THRESHOLD && !has_recent_answer)
        {
            self.suspected_since.get_or_insert(now);
        } else {
            self.suspected_since = None;
            self.heartbeats_since_suspected = 0;
            self.first_heartbeat_at = None;
        }
    }

    /// Returns whether heartbeats have continued to arrive for longer than `wait` since the suspicion began,
    /// which confirms the partition.
    pub fn is_confirmed(&self, wait: Micros, now: Micros) -> bool {
        self.heartbeats_since_suspected >= SUSPICION_THRESHOLD
            && self
                .first_heartbeat_at
                .is_some_and(|at| now.since(at) > wait)
    }

    /// Returns whether a partition is suspected.
    pub fn is_suspected(&self) -> bool {
        self.suspected_since.is_some()
    }

    /// Returns since when a partition has been suspected, or `None` if it is not.
    pub fn suspected_since(&self) -> Option<Micros> {
        self.suspected_since
    }
}
