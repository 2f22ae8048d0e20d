//! Whether the store has answered lately, and how it went before.

use std::time::Duration;

use reelreel_core::ClockMillis;

/// How long the store's last answer makes what was read count as fresh.
const FRESHNESS_WINDOW: Duration = Duration::from_millis(1100);

/// The shortest outage in which engines' entries may lapse although the engines live.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_millis(1500);

/// Within which time after an outage living engines have listed themselves again.
const REREGISTRATION_WINDOW: Duration = Duration::from_millis(2200);

/// What calls to the store tell of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreHealth {
    responded_at: Option<ClockMillis>,
    /// When another host that reads the store last said how it is.
    reader_update_at: Option<ClockMillis>,
    failing_since: Option<ClockMillis>,
    recovered_at: Option<ClockMillis>,
}

impl StoreHealth {
    /// Takes that a call was answered; returns whether one had failed since the last answer.
    pub fn record_response(&mut self, now: ClockMillis) -> bool {
        self.responded_at = Some(now);
        self.end_outage(now)
    }

    /// Takes that a host that reads the store said how it is: whatever failed here before is over.
    ///
    /// Without this a host that follows for ten seconds and then calls the store itself would take the ten seconds
    /// for an outage, and go on counting engines that left meanwhile.
    pub fn record_reader_update(&mut self, now: ClockMillis) {
        self.reader_update_at = Some(now);
        self.end_outage(now);
    }

    /// Takes that the store is there; returns whether a call had failed.
    fn end_outage(&mut self, now: ClockMillis) -> bool {
        let failing_since = self.failing_since.take();
        if failing_since.is_some_and(|since| now.since(since) >= MIN_EXPIRY_OUTAGE) {
            self.recovered_at = Some(now);
        }
        failing_since.is_some()
    }

    /// Takes that a call got no useful answer.
    pub fn record_failure(&mut self, now: ClockMillis) {
        // The outage began after the last answer at the earliest, and was seen later.
        self.failing_since
            .get_or_insert(self.responded_at.max(self.reader_update_at).unwrap_or(now));
    }

    /// Returns whether what was read from the store can be passed on as its present state.
    pub fn is_fresh(&self, now: ClockMillis) -> bool {
        self.responded_at.is_some_and(|at| now.since(at) < FRESHNESS_WINDOW)
    }

    /// Returns until when an engine counts whose entry has gone: engines whose entries lapsed in an
    /// outage list themselves again soon after it.
    pub fn reregistration_until(&self, now: ClockMillis) -> Option<ClockMillis> {
        let until = self.recovered_at? + REREGISTRATION_WINDOW;
        (now < until).then_some(until)
    }
}
