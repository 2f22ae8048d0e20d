//! Limits: fair queues between organisations and budgets for retries.

mod fair_queue;
mod retry_budget;

pub use fair_queue::{FairQueue, QueueFull, QueuedItem};
pub use retry_budget::RetryBudget;
