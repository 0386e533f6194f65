//! Two troubles that meet, both forced at the moment at which the meeting has broken rules or could:
//! one test for each line of the table in docs/failures.md. The rules are checked after each step.

mod cancellations;
mod common;
mod leaders;
mod machines;
mod messages;
