//! Sleeping by the host's clock.
//!
//! The runtime's timers stop while the host is suspended, but the host's clock does not. Waits here poll the clock, so that a
//! deadline which passed during a suspension is noticed soon after the host resumes.

use std::time::Duration;

use reelreel_core::{ClockMillis, ClockSource};

/// Interval at which a wait polls the clock.
const CLOCK_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Sleeps until the clock reaches `deadline`.
pub async fn sleep_until(clock: &dyn ClockSource, deadline: ClockMillis) {
    loop {
        let remaining = deadline.since(clock.now());
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(CLOCK_POLL_INTERVAL)).await;
    }
}
