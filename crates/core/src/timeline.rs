//! The time line of events over all processes.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{clock::HybridTimestamp, id::HostId};

/// How many events a host keeps.
pub const MAX_EVENTS: usize = 4096;

/// One event of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Milliseconds since the Unix epoch, hybrid clock.
    pub wall_millis: u64,
    /// Order within the millisecond.
    pub counter: u32,
    /// The process.
    pub host: HostId,
    /// What it is about, such as `engine 3` or `request 1f`.
    pub subject: String,
    /// What happened.
    pub text: String,
}

impl TimelineEvent {
    /// Returns what orders events over all processes, cause before effect.
    pub const fn order(&self) -> (u64, u32, HostId) {
        (self.wall_millis, self.counter, self.host)
    }
}

/// The last events of one host.
#[derive(Debug, Default)]
pub struct TimelineBuffer {
    host: HostId,
    stamp: HybridTimestamp,
    events: VecDeque<TimelineEvent>,
}

impl TimelineBuffer {
    /// Starts an empty time line.
    pub fn new(host: HostId) -> Self {
        Self { host, ..Self::default() }
    }

    /// Returns the stamp of the latest event or message.
    pub const fn stamp(&self) -> HybridTimestamp {
        self.stamp
    }

    /// Moves the stamp on, as for a message about to be sent.
    pub fn tick(&mut self, wall_millis: u64) -> HybridTimestamp {
        self.stamp = self.stamp.next(wall_millis);
        self.stamp
    }

    /// Takes the stamp of a message that came in.
    pub fn receive(&mut self, stamp: HybridTimestamp, wall_millis: u64) {
        self.stamp = self.stamp.merge(stamp, wall_millis);
    }

    /// Notes an event.
    pub fn record(&mut self, wall_millis: u64, subject: String, text: String) {
        let HybridTimestamp { wall_millis, counter } = self.tick(wall_millis);
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(TimelineEvent {
            wall_millis,
            counter,
            host: self.host,
            subject,
            text,
        });
    }

    /// Looks at the events, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &TimelineEvent> {
        self.events.iter()
    }
}

/// Merges the time lines of several processes into one order.
pub fn merge_timelines(unordered: impl IntoIterator<Item = TimelineEvent>) -> Vec<TimelineEvent> {
    let mut events: Vec<TimelineEvent> = unordered.into_iter().collect();
    events.sort_by_key(TimelineEvent::order);
    events
}
