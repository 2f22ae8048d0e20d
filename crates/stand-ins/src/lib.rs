//! Small stand-ins for what reelreel meets: the platform, model engines and a plain service.
//!
//! They keep to what the users say of the real ones and no more. Each fault that the project must
//! stand is a switch on them, and each keeps evidence of what really happened, so that tests need
//! not believe the system under test.

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
