//! How all hosts together keep the limits that engines declare, without sockets.

mod declarations;
mod faults;
mod fleet;
mod herds;
mod host_ledger;
mod open_room;
mod simulation;
mod strategies;
