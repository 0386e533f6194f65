//! Tests of an election during which the store refuses requests.

use poem::http::Method;
use saltpitch_core::job::JobKind;
use saltpitch_core::records::LEADER_KEY;

use crate::site::{
    self, lock, submit, wait_for_status, ControllerProcesses, StoreFault, StoreRequest,
};

/// The number of reads that are refused after an election.
const REFUSED_READS: u32 = 2;

/// Answers the first reads that follow an election with 429.
fn refuse_reads_after_an_election() -> impl FnMut(&StoreRequest) -> Option<StoreFault> {
    let mut reads_to_refuse = None;
    move |request| {
        if reads_to_refuse.is_none() && request.writes_key(LEADER_KEY) {
            reads_to_refuse = Some(REFUSED_READS);
            return None;
        }
        let left = reads_to_refuse.as_mut()?;
        if *left == 0 || request.watch_wait_ms() != Some(0) {
            return None;
        }
        *left -= 1;
        Some(StoreFault::Status(429))
    }
}

/// Guards against a controller that gives up an election that it has won, and begins with a new lease, because the
/// store refused to give it the latest records once.
#[tokio::test]
async fn an_elected_controller_repeats_a_refused_read_and_keeps_its_lease() {
    let (site, addresses) = site::start(1);
    lock(&site).store_conditions.choose_fault = Some(Box::new(refuse_reads_after_an_election()));
    let mut controllers = ControllerProcesses::new("election", &addresses, None);
    controllers.start(0);
    submit(&site, addresses.api[0], "job-000001", JobKind::Array, 1).await;
    wait_for_status(addresses.api[0], "job-000001", "done").await;
    let requests = lock(&site).store_conditions.requests.clone();
    let is_grant = |request: &&StoreRequest| request.uri == "/holds";
    let is_revocation = |request: &&StoreRequest| request.method == Method::DELETE;
    assert_eq!(
        requests.iter().filter(is_grant).count(),
        1,
        "leases granted"
    );
    assert_eq!(
        requests.iter().filter(is_revocation).count(),
        0,
        "leases revoked"
    );
    let is_refused_read = |request: &&StoreRequest| request.status == 429;
    assert_eq!(
        requests.iter().filter(is_refused_read).count(),
        REFUSED_READS as usize
    );
}
