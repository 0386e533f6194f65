//! Pairs of concurrent faults, each forced at the moment at which the combination broke an invariant or
//! could break one: one test for each line of the table in docs/failures.md. The invariants are checked
//! after each step.

mod cancellations;
mod common;
mod leaders;
mod machines;
mod messages;
