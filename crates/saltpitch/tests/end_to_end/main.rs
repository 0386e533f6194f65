//! The real program on loopback, against stand-ins for the store, the cloud and the agents, met by
//! their published protocol. Waits are bounds against hanging, not assertions.

mod one_cell;
mod site;
mod two_cells;
