//! The loads that requests at one host wait for, and what the host was told about them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::ModelKey,
    placement::{ActiveLoads, DemandEntry, LoadSchedule, PlacementPlanner},
};

/// Minimum interval at which the schedules of awaited loads are checked for changes. A fraction of
/// the time for which a request waits for a schedule.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of these checks, multiplied by the number of hosts that are told, so that the placer's
/// work does not grow with the square of the fleet. 74 ms at 370 hosts.
const CHECK_INTERVAL_PER_HOST: Duration = Duration::from_micros(200);

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

    /// Returns whether the loads that are followed for all of `hosts` hosts are due for a check,
    /// which then begins.
    pub fn begin_check(&mut self, hosts: u32, now: ClockMillis) -> bool {
        let interval = MIN_CHECK_INTERVAL.max(CHECK_INTERVAL_PER_HOST * hosts);
        let due = now.since(self.checked_at) >= interval;
        if due {
            self.checked_at = now;
        }
        due
    }

    /// Returns whether demand was reported since the last update.
    pub const fn has_reported(&self) -> bool {
        !self.reported.is_empty()
    }

    /// Returns the expected load times of the keys for which demand was reported, at most `limit`;
    /// the others are dropped. No load is marked as queued.
    pub fn take_estimates(
        &mut self,
        planner: &PlacementPlanner,
        limit: usize,
        now: ClockMillis,
    ) -> Vec<(ModelKey, LoadSchedule)> {
        let estimates = self.reported.drain(..).filter_map(|key| {
            let due = now + planner.estimated_load_delay(&key, now)?;
            Some((key, LoadSchedule::Loading { due }))
        });
        estimates.take(limit).collect()
    }

    /// Returns the schedules of keys for which demand was reported, at most `limit` of them, and
    /// follows these loads. With `check_due`, also returns the schedules that have changed.
    pub fn take_schedules(
        &mut self,
        loads: &PlannedLoads<'_>,
        check_due: bool,
        limit: usize,
        now: ClockMillis,
    ) -> Vec<(ModelKey, LoadSchedule)> {
        let mut updates = if check_due { self.take_changes(loads, now) } else { Vec::new() };
        let mut reported = std::mem::take(&mut self.reported);
        reported.sort();
        reported.dedup();
        self.reported = reported.split_off(limit.min(reported.len()));
        for key in reported {
            let schedule = loads.schedule(&key, now);
            if schedule != LoadSchedule::Unknown {
                updates.push((Arc::clone(&key), schedule));
            }
            if self.followed.len() < MAX_FOLLOWED_LOADS || self.followed.contains_key(&key) {
                self.followed.insert(key, FollowedLoad { sent: schedule, wanted_at: now });
            }
        }
        updates
    }

    /// Returns the changed schedules of loads that are followed.
    ///
    /// The due time of a queued load is not updated until it has passed or the host reports demand
    /// for it again: the positions of all queued loads change with every order.
    fn take_changes(
        &mut self,
        loads: &PlannedLoads<'_>,
        now: ClockMillis,
    ) -> Vec<(ModelKey, LoadSchedule)> {
        let mut changes = Vec::new();
        self.followed.retain(|_, load| now.since(load.wanted_at) < FOLLOW_TIME);
        for (key, load) in &mut self.followed {
            let schedule = match (loads.active.get(&**key), load.sent) {
                (Some(due), _) => LoadSchedule::Loading { due: *due },
                (None, LoadSchedule::Loading { .. }) => loads.schedule(key, now),
                (None, LoadSchedule::Queued { due }) if now >= due => loads.schedule(key, now),
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

/// A planner with the loads that it has ordered.
pub struct PlannedLoads<'planner> {
    planner: &'planner PlacementPlanner,
    active: ActiveLoads<'planner>,
}

impl<'planner> PlannedLoads<'planner> {
    /// Collects the loads of a planner.
    pub fn collect(planner: &'planner PlacementPlanner, now: ClockMillis) -> Self {
        Self { planner, active: planner.active_loads(now) }
    }

    fn schedule(&self, key: &str, now: ClockMillis) -> LoadSchedule {
        self.planner.load_schedule_among(&self.active, key, now)
    }
}
