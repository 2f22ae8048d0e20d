//! Until when an answer to a request is worth anything.

use std::{sync::Arc, time::Duration};

use reelreel_core::{ClockMillis, ClockSource};

use crate::timer::reached;

/// Until when an answer to a request is worth anything, by the clock that goes on while the host is suspended.
#[derive(Clone)]
pub struct RequestDeadline {
    clock: Arc<dyn ClockSource>,
    expires_at: ClockMillis,
}

impl RequestDeadline {
    /// Sets the deadline of a request that arrived at `arrived` and is worth so much time.
    pub fn new(clock: &Arc<dyn ClockSource>, arrived: ClockMillis, time_limit: Duration) -> Self {
        Self { clock: Arc::clone(clock), expires_at: arrived + time_limit }
    }

    /// Returns what is left of the time.
    pub fn remaining(&self) -> Duration {
        self.expires_at.since(self.clock.now())
    }

    /// Waits until the time is over by `slack`.
    pub async fn expired(self, slack: Duration) {
        reached(&*self.clock, self.expires_at + slack).await;
    }
}
