//! Until when an answer to a request is worth anything.

use std::{sync::Arc, time::Duration};

use reelreel_core::{ClockMillis, ClockSource};

use crate::timer::sleep_until;

/// Until when an answer to a request is worth anything, by the clock that goes on while the host is suspended.
#[derive(Clone)]
pub struct RequestDeadline {
    clock: Arc<dyn ClockSource>,
    until: ClockMillis,
}

impl RequestDeadline {
    /// Sets the deadline of a request that arrived at `arrived` and is worth so much time.
    pub fn new(clock: &Arc<dyn ClockSource>, arrived: ClockMillis, allowed: Duration) -> Self {
        Self { clock: Arc::clone(clock), until: arrived + allowed }
    }

    /// Returns what is left of the time.
    pub fn remaining(&self) -> Duration {
        self.until.since(self.clock.now())
    }

    /// Waits until the time is over by `slack`.
    pub async fn over(self, slack: Duration) {
        sleep_until(&*self.clock, self.until + slack).await;
    }
}
