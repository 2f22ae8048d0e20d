//! Small fakes at the borders of the decision core, in handed-in time.
//!
//! A [`FakeSite`] runs several [`NodeCore`](reelreel_core::NodeCore)s against fakes that answer
//! their orders: engines, a weight store, a log, a host list, callers. It is no simulator of hosts
//! or networks: a message is an entry in a queue with a time. What the fakes saw is kept as
//! [`Evidence`], and [`check_promises`] judges by that alone, never by what a core believes.

mod actions;
mod check;
mod engine;
mod evidence;
mod exchange;
mod fault;
mod host;
mod log;
mod orders;
mod script;
mod site;
mod store;
mod inject;

pub use check::{Promise, PromiseViolation, check_promises};
pub use engine::{EngineConfig, FakeEngine};
pub use evidence::{CallerRecord, Evidence, RunRecord};
pub use fault::{FaultKind, FaultPlan, PlannedFault, StepKind};
pub use log::FakeLog;
pub use script::{SiteScript, standard_site, standard_tree};
pub use site::{CallerRequest, FakeSite, SiteAction, SiteConfig, SiteMutation};
pub use store::FakeStore;
