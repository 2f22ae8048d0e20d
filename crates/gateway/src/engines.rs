//! Connections to engines and the exchange of requests and responses.

pub mod end_detection;
pub mod open_request;
pub mod pool;
pub mod send;
pub mod sent_ids;
pub mod tunnel;

pub use open_request::OpenRequest;
pub use pool::{ConnectOptions, EngineConnection, EnginePool};
pub use send::{EngineResponse, SendError, send_request};
