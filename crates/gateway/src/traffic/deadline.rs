//! Deadline of a request.

use std::{sync::Arc, time::Duration};

use reelreel_core::{ClockMillis, ClockSource};

use crate::timer::sleep_until;

/// Deadline of a request, by a clock that advances while the host is suspended.
#[derive(Clone)]
pub struct RequestDeadline {
    clock: Arc<dyn ClockSource>,
    expires_at: ClockMillis,
}

impl RequestDeadline {
    /// Creates the deadline of a request that arrived at `arrived` and may take `time_limit`.
    pub fn new(clock: &Arc<dyn ClockSource>, arrived: ClockMillis, time_limit: Duration) -> Self {
        Self { clock: Arc::clone(clock), expires_at: arrived + time_limit }
    }

    /// Returns the remaining time.
    pub fn remaining(&self) -> Duration {
        self.expires_at.since(self.clock.now())
    }

    /// Returns whether the time until `slack` after the deadline has passed.
    pub fn has_expired(&self, slack: Duration) -> bool {
        self.clock.now() >= self.expires_at + slack
    }

    /// Waits until `slack` after the deadline.
    pub async fn expired(self, slack: Duration) {
        sleep_until(&*self.clock, self.expires_at + slack).await;
    }
}
