//! Health of the store: its last response and its last outage.

use std::time::Duration;

use reelreel_core::ClockMillis;

/// How long store data counts as fresh after the store's last response.
const FRESHNESS_WINDOW: Duration = Duration::from_millis(1100);

/// Minimum outage in which entries of live engines may expire.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_millis(1500);

/// Time after an outage within which live engines register again.
const REREGISTRATION_WINDOW: Duration = Duration::from_millis(2200);

/// Health of the store, derived from the results of calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreHealth {
    responded_at: Option<ClockMillis>,
    /// When a followed reader last sent an update.
    reader_update_at: Option<ClockMillis>,
    failing_since: Option<ClockMillis>,
    recovered_at: Option<ClockMillis>,
}

impl StoreHealth {
    /// Records a response; returns whether calls had failed since the last one.
    pub fn record_response(&mut self, now: ClockMillis) -> bool {
        self.responded_at = Some(now);
        self.end_outage(now)
    }

    /// Records an update from a followed reader, which ends an outage.
    ///
    /// Otherwise a host that follows for some time and then calls the store itself would take that time for an outage,
    /// and keep engines that left in the meantime.
    pub fn record_reader_update(&mut self, now: ClockMillis) {
        self.reader_update_at = Some(now);
        self.end_outage(now);
    }

    /// Ends an outage; returns whether calls had failed.
    fn end_outage(&mut self, now: ClockMillis) -> bool {
        let failing_since = self.failing_since.take();
        if failing_since.is_some_and(|since| now.since(since) >= MIN_EXPIRY_OUTAGE) {
            self.recovered_at = Some(now);
        }
        failing_since.is_some()
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: ClockMillis) {
        // The outage may have begun right after the last response, before it was noticed.
        self.failing_since
            .get_or_insert(self.responded_at.max(self.reader_update_at).unwrap_or(now));
    }

    /// Returns whether the store data is recent enough to relay as the store's current state.
    pub fn is_fresh(&self, now: ClockMillis) -> bool {
        self.responded_at.is_some_and(|at| now.since(at) < FRESHNESS_WINDOW)
    }

    /// Returns until when engines with expired entries are kept: live engines whose entries expired in
    /// an outage register again soon after it.
    pub fn reregistration_until(&self, now: ClockMillis) -> Option<ClockMillis> {
        let until = self.recovered_at? + REREGISTRATION_WINDOW;
        (now < until).then_some(until)
    }
}
