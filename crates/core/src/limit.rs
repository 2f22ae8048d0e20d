//! Fair queues between organisations, and retry budgets.

mod fair_queue;
mod retry_budget;

pub use fair_queue::{FairQueue, QueueFull, QueuedItem};
pub use retry_budget::RetryBudget;
