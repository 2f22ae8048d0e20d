//! Counting of open requests for engines that limit them.

use std::sync::Arc;

use reelreel_core::fleet::EngineName;

use crate::host::SharedState;

/// Counts a request as open at its engine while it exists.
pub struct OpenRequest {
    shared: Arc<SharedState>,
    engine: EngineName,
}

impl OpenRequest {
    /// Begins to count a request that is about to be sent.
    pub fn new(shared: &Arc<SharedState>, engine: &EngineName) -> Self {
        shared.limits().begin_request(engine);
        Self { shared: Arc::clone(shared), engine: Arc::clone(engine) }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.shared.limits().end_request(&self.engine) {
            self.shared.wake_control.notify_one();
        }
    }
}
