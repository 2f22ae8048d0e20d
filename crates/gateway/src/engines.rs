//! Connections to engines, and what their answers say.

pub mod end_detection;
pub mod pool;
pub mod send;

pub use pool::{ConnectTerms, EngineLease, EnginePool};
pub use send::{EngineAnswer, SendFailure, send_request};
