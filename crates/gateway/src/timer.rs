//! Waiting by the host's clock.
//!
//! The timers of the runtime stand still while the host is suspended, and the host's clock does not: what waits here looks at the
//! clock every so often, so that a deadline which passed meanwhile is seen soon after the host is back.

use std::time::Duration;

use reelreel_core::{ClockMillis, ClockSource};

/// How often a wait looks at the clock: a quarter of the second after which most who wait would do something else.
const CLOCK_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Waits until the clock has reached a moment.
pub async fn sleep_until(clock: &dyn ClockSource, deadline: ClockMillis) {
    loop {
        let remaining = deadline.since(clock.now());
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(CLOCK_POLL_INTERVAL)).await;
    }
}
