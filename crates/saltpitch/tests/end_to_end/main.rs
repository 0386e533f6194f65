//! Runs the real program on loopback against stand-ins for the store, the cloud and the agents, which speak
//! the published protocols. The wait bounds only keep a test from hanging; they assert no response time.

mod election;
mod ended_jobs;
mod late_copies;
mod one_cell;
mod restart;
mod site;
mod two_cells;
