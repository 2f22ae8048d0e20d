//! Whether the store has answered lately, and how it went before.

use std::time::Duration;

use reelreel_core::ClockMillis;

/// How long the store's last answer makes what was read count as fresh.
const FRESH: Duration = Duration::from_millis(1100);

/// The shortest outage in which engines' entries may lapse although the engines live.
const LAPSE_OUTAGE: Duration = Duration::from_millis(1500);

/// Within which time after an outage living engines have listed themselves again.
const RELISTING: Duration = Duration::from_millis(2200);

/// What calls to the store tell of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreHealth {
    heard: Option<ClockMillis>,
    /// When another host that reads the store last said how it is.
    told: Option<ClockMillis>,
    failing_since: Option<ClockMillis>,
    returned: Option<ClockMillis>,
}

impl StoreHealth {
    /// Takes that a call was answered; returns whether one had failed since the last answer.
    pub fn answered(&mut self, now: ClockMillis) -> bool {
        self.heard = Some(now);
        self.ended(now)
    }

    /// Takes that a host that reads the store said how it is: whatever failed here before is over.
    ///
    /// Without this a host that follows for ten seconds and then calls the store itself would take the ten seconds
    /// for an outage, and go on counting engines that left meanwhile.
    pub fn told_by_reader(&mut self, now: ClockMillis) {
        self.told = Some(now);
        self.ended(now);
    }

    /// Takes that the store is there; returns whether a call had failed.
    fn ended(&mut self, now: ClockMillis) -> bool {
        let failing_since = self.failing_since.take();
        if failing_since.is_some_and(|since| now.since(since) >= LAPSE_OUTAGE) {
            self.returned = Some(now);
        }
        failing_since.is_some()
    }

    /// Takes that a call got no useful answer.
    pub fn failed(&mut self, now: ClockMillis) {
        // The outage began after the last answer at the earliest, and was seen later.
        self.failing_since.get_or_insert(self.heard.max(self.told).unwrap_or(now));
    }

    /// Returns whether what was read from the store can be passed on as its present state.
    pub fn is_fresh(&self, now: ClockMillis) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < FRESH)
    }

    /// Returns until when an engine counts whose entry has gone: engines whose entries lapsed in an
    /// outage list themselves again soon after it.
    pub fn relisting_until(&self, now: ClockMillis) -> Option<ClockMillis> {
        let until = self.returned? + RELISTING;
        (now < until).then_some(until)
    }
}
