//! The leadership lease: its grant, renewal and revocation.

use std::time::Duration;

use hyper::Method;
use saltpitch_core::Micros;

use super::StoreClient;
use crate::wire::store as wire;

const LEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// The outcome of a renewal of the leadership lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The lease is renewed.
    Renewed,
    /// The lease has expired.
    Expired,
    /// The service did not respond, or with an unexpected status: the lease may or may not be renewed.
    Unknown,
}

impl StoreClient {
    /// Requests a lease that expires unless it is renewed within `ttl`. Returns its id.
    pub async fn grant_lease(&self, ttl: Micros) -> Option<u64> {
        self.spend_request();
        let body = wire::encode_grant_lease(ttl.0 / 1_000);
        let reply = self
            .call(Method::POST, "/holds", body, LEASE_TIMEOUT)
            .await
            .ok()?;
        if reply.status != 200 {
            return None;
        }
        wire::decode_lease(&reply.body).ok()
    }

    /// Renews a lease.
    pub async fn keep_alive(&self, lease: u64) -> KeepAlive {
        self.spend_request();
        let path = format!("/holds/{lease}/touch");
        let reply = self
            .call(Method::POST, &path, Vec::new(), LEASE_TIMEOUT)
            .await;
        match reply.map(|reply| reply.status) {
            Ok(200) => KeepAlive::Renewed,
            Ok(404) => KeepAlive::Expired,
            _ => KeepAlive::Unknown,
        }
    }

    /// Revokes a lease, which deletes the key attached to it. If the request fails, the lease expires
    /// after its time to live.
    pub async fn revoke_lease(&self, lease: u64) {
        self.spend_request();
        let path = format!("/holds/{lease}");
        let _ = self
            .call(Method::DELETE, &path, Vec::new(), LEASE_TIMEOUT)
            .await;
    }
}
