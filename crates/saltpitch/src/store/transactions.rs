//! Transactions on the records.

use std::time::Duration;

use hyper::Method;
use saltpitch_core::scheduler::{Precondition, Transaction, TransactionOutcome, Write};

use super::StoreClient;
use crate::http::{CallError, Reply};
use crate::wire::store::{self as wire, LeaseAttachment};

/// Returns a transaction that writes one record if the record still has the given revision. Revision 0
/// requires that the record does not exist yet.
pub fn conditional_write(key: &str, value: &str, revision: u64) -> Transaction {
    Transaction {
        preconditions: vec![Precondition::new(key, revision)],
        writes: vec![Write {
            key: key.to_owned(),
            value: Some(value.to_owned()),
        }],
    }
}

impl StoreClient {
    /// Commits a transaction within this controller's budgets of requests and changes.
    pub async fn commit(&self, transaction: &Transaction, timeout: Duration) -> TransactionOutcome {
        self.commit_with_lease(transaction, None, timeout).await
    }

    /// Commits a transaction within this controller's budgets of requests and changes. With `lease`, the
    /// service deletes the attached key when the lease ends.
    pub async fn commit_with_lease(
        &self,
        transaction: &Transaction,
        lease: Option<LeaseAttachment<'_>>,
        timeout: Duration,
    ) -> TransactionOutcome {
        if !self.try_changes(transaction.writes.len()) {
            return TransactionOutcome::Unavailable;
        }
        self.send_transaction(transaction, lease, timeout).await
    }

    /// Commits a transaction of the leader's scheduler. It is only taken from the request budget,
    /// because the scheduler paces its changes itself.
    pub async fn commit_as_leader(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> TransactionOutcome {
        if !self.try_request() {
            return TransactionOutcome::Unavailable;
        }
        self.send_transaction(transaction, None, timeout).await
    }

    pub(super) async fn send_transaction(
        &self,
        transaction: &Transaction,
        lease: Option<LeaseAttachment<'_>>,
        timeout: Duration,
    ) -> TransactionOutcome {
        let body = wire::encode_transaction(transaction, lease);
        match self.call(Method::POST, "/txn", body, timeout).await {
            Ok(reply) => self.transaction_outcome(transaction, &reply),
            Err(CallError::NotSent) => TransactionOutcome::Unavailable,
            Err(CallError::Unknown) => TransactionOutcome::Unknown,
        }
    }

    fn transaction_outcome(&self, transaction: &Transaction, reply: &Reply) -> TransactionOutcome {
        match reply.status {
            200 => wire::decode_transaction_reply(&reply.body)
                .map_or(TransactionOutcome::Unknown, |decoded| {
                    TransactionOutcome::Committed(decoded.revision)
                }),
            409 => wire::decode_transaction_reply(&reply.body)
                .map_or(TransactionOutcome::Unknown, |decoded| {
                    TransactionOutcome::Conflict(decoded.failed_keys)
                }),
            429 => {
                self.record_refusal();
                TransactionOutcome::RateLimited
            }
            503 => TransactionOutcome::Unavailable,
            400 => {
                tracing::error!(
                    "store: a transaction of {} writes was turned down: {}",
                    transaction.writes.len(),
                    String::from_utf8_lossy(&reply.body)
                );
                TransactionOutcome::TooLarge
            }
            status => {
                tracing::error!(
                    "store: unexpected status {status} for a transaction, its outcome is unknown: {}",
                    String::from_utf8_lossy(&reply.body)
                );
                TransactionOutcome::Unknown
            }
        }
    }
}
