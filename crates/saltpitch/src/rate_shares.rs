//! How the rates of the outside systems are divided between controllers and kinds of requests.

/// The leader's part of the state service's rate of changes when it is the only controller, and with
/// others.
const ONLY_NODE_LEADER_SHARE: f64 = 0.9;
const LEADER_SHARE: f64 = 0.7;

/// The fraction of the cloud's rate up to which the scheduler asks for machines. Returns have the rest of
/// what [`crate::cloud`] allows itself.
pub const SCALE_OUT_SHARE: f64 = 0.65;

/// The fraction of the state service's rate of changes that the leader's scheduler paces by itself, in a
/// site of so many controllers. The rest is for what users ask of all controllers.
pub fn leader_change_share(controllers: usize) -> f64 {
    if controllers == 1 {
        ONLY_NODE_LEADER_SHARE
    } else {
        LEADER_SHARE
    }
}
