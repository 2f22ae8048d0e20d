//! Connections to engines, and what their answers say.

pub mod end_detection;
pub mod pool;
pub mod send;

pub use pool::{ConnectOptions, EngineConnection, EnginePool};
pub use send::{EngineResponse, SendError, send_request};
