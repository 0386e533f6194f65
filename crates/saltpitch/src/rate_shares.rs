//! How the rate limits of the external services are divided between controllers and kinds of requests.

/// The share of the state service's rate of changes that the leader's scheduler may use when the leader
/// is the only controller, and when there are others.
const ONLY_CONTROLLER_SHARE: f64 = 0.9;
const LEADER_SHARE: f64 = 0.7;

/// The fraction of the cloud's request rate up to which the scheduler requests machines. Requests that
/// return machines have the rest of the share that [`crate::cloud`] uses.
pub const SCALE_OUT_SHARE: f64 = 0.65;

/// Returns the fraction of the state service's rate of changes up to which the leader's scheduler paces
/// itself, in a site with `controller_count` controllers. The rest is for changes that users request
/// from any controller.
pub fn leader_change_share(controller_count: usize) -> f64 {
    if controller_count == 1 {
        ONLY_CONTROLLER_SHARE
    } else {
        LEADER_SHARE
    }
}
