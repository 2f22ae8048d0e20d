//! Tests of the planner with engines that lose answers, execute orders late, restart and leave.

mod candidacy;
mod planning;
mod crashing_loads;
mod duplicate_answers;
mod faults;
mod graded_group;
mod late_loads;
mod limited_engines;
mod load_schedule;
mod residency;
mod simulation;
mod software;
