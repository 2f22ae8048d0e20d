//! How all hosts together keep the limits that engines name, without sockets.

mod faults;
mod fleet;
mod hearing;
mod play;
mod telling;
mod ways;
