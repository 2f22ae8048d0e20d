//! The planner against engines that lose answers, carry orders out late, restart and leave.

mod candidacy;
mod planning;
mod crashing_loads;
mod faults;
mod late_loads;
mod limited_engines;
mod simulation;
