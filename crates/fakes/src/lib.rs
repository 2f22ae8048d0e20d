//! Fakes of everything around the decision core, driven by simulated time.
//!
//! A [`FakeSite`] runs several [`NodeCore`](reelreel_core::NodeCore)s against fakes that execute
//! their actions: engines, a weight store, a log, a host list and callers. It does not simulate
//! hosts or networks: a message is an event in a queue with a time. The fakes record what happens
//! as [`Evidence`], on which [`check_promises`] relies instead of the state of the cores. Only the
//! settings that the cores have applied are compared directly.

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
