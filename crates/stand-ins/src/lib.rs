//! Stand-in servers for the systems around reelreel: the platform, model engines and a plain
//! service.
//!
//! They implement only the specified behaviour of the real systems. Each fault that reelreel must
//! tolerate can be switched on, and each stand-in records what happened, so that tests need not rely
//! on the system under test.

pub mod connection;
pub mod engine;
pub mod fault;
pub mod http;
pub mod platform;
pub mod service;

pub use engine::{EngineOptions, EngineStandIn};
pub use fault::{FaultKind, FaultSwitch};
pub use platform::{PlatformOptions, PlatformStandIn};
pub use service::{ServiceOptions, ServiceStandIn};
