//! The planner against engines that lose answers, carry orders out late, restart and leave.

mod candidacy;
mod choices;
mod deadly_loads;
mod faults;
mod lateness;
mod limits;
mod world;
