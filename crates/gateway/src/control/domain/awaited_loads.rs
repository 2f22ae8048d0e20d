//! The loads that requests at one host wait for, and what the host was told about them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::ModelKey,
    placement::{ActiveLoads, DemandEntry, LoadSchedule, PlacementPlanner},
};

/// Interval at which the schedules of awaited loads are checked for changes. A fraction of the time
/// for which a request waits for a schedule.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Change of a due time from which a host is told. Smaller ones change no decision: a load counts
/// as on its way for longer than this after it was due.
const DUE_TOLERANCE: Duration = Duration::from_millis(40);

/// How long a load is followed after demand for it was last reported. Longer than the interval at
/// which hosts renew their demand.
const FOLLOW_TIME: Duration = Duration::from_secs(2);

/// Limit on the loads that are followed for one host, which bounds the placer's work.
const MAX_FOLLOWED_LOADS: usize = 1024;

/// A load about which a host was told.
#[derive(Debug)]
struct FollowedLoad {
    /// The schedule as last sent.
    sent: LoadSchedule,
    /// When demand for it was last reported.
    wanted_at: ClockMillis,
}

/// The models and adapters that requests at one host wait for.
#[derive(Debug, Default)]
pub struct AwaitedLoads {
    /// Keys for which demand was reported since the last update.
    reported: Vec<ModelKey>,
    /// Loads about which the host is told again if they change.
    followed: HashMap<ModelKey, FollowedLoad>,
    checked_at: ClockMillis,
}

impl AwaitedLoads {
    /// Records demand that the host reported.
    pub fn record(&mut self, entries: &[DemandEntry]) {
        for entry in entries {
            if entry.waiting > 0 {
                self.reported.push(Arc::clone(&entry.key));
            } else {
                self.followed.remove(&entry.key);
            }
        }
    }

    /// Returns whether the loads that are followed are due for a check, which then begins.
    pub fn begin_check(&mut self, now: ClockMillis) -> bool {
        let due = now.since(self.checked_at) >= CHECK_INTERVAL;
        if due {
            self.checked_at = now;
        }
        due
    }

    /// Returns the schedules to send, at most `limit` of those that were just reported.
    ///
    /// Without `follows_changes`, the others are dropped, and no load is marked as queued.
    /// With `follows_changes` they are followed; `active` is set if the ones followed so far are
    /// checked now.
    pub fn take_updates(
        &mut self,
        planner: &PlacementPlanner,
        follows_changes: bool,
        active: Option<&ActiveLoads<'_>>,
        limit: usize,
        now: ClockMillis,
    ) -> Vec<(ModelKey, LoadSchedule)> {
        let mut updates = Vec::new();
        if let Some(active) = active {
            updates = self.take_changes(planner, active, now);
        }
        let mut reported = std::mem::take(&mut self.reported);
        if follows_changes {
            reported.sort();
            reported.dedup();
            self.reported = reported.split_off(limit.min(reported.len()));
        }
        for key in reported {
            let schedule = if follows_changes {
                planner.load_schedule(&key, now)
            } else {
                let delay = planner.estimated_load_delay(&key, now);
                delay.map(|delay| LoadSchedule::Loading { due: now + delay }).unwrap_or_default()
            };
            if schedule != LoadSchedule::Unknown {
                updates.push((Arc::clone(&key), schedule));
                if !follows_changes && updates.len() == limit {
                    break;
                }
            }
            if follows_changes && self.followed.len() < MAX_FOLLOWED_LOADS {
                self.followed.insert(key, FollowedLoad { sent: schedule, wanted_at: now });
            }
        }
        updates
    }

    /// Returns the changed schedules of loads that are followed.
    ///
    /// The due time of a queued load is not updated until the host reports demand for it again:
    /// the positions of all queued loads change with every order.
    fn take_changes(
        &mut self,
        planner: &PlacementPlanner,
        active: &ActiveLoads<'_>,
        now: ClockMillis,
    ) -> Vec<(ModelKey, LoadSchedule)> {
        let mut changes = Vec::new();
        self.followed.retain(|_, load| now.since(load.wanted_at) < FOLLOW_TIME);
        for (key, load) in &mut self.followed {
            let schedule = match (active.get(key), load.sent) {
                (Some(due), _) => LoadSchedule::Loading { due: *due },
                (None, LoadSchedule::Loading { .. }) => planner.load_schedule(key, now),
                (None, sent) => sent,
            };
            if schedule.differs_from(load.sent, DUE_TOLERANCE) {
                load.sent = schedule;
                if schedule != LoadSchedule::Unknown {
                    changes.push((Arc::clone(key), schedule));
                }
            }
        }
        changes
    }
}
