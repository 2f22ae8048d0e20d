//! A timeline of events across processes.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{clock::HybridTimestamp, id::HostId};

/// Maximum number of events that a host retains.
pub const MAX_EVENTS: usize = 4096;

/// An event of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Hybrid logical wall time, in milliseconds since the Unix epoch.
    pub wall_millis: u64,
    /// Orders events within a millisecond.
    pub counter: u32,
    /// The host of the process.
    pub host: HostId,
    /// The subject, such as `engine 3` or `request 1f`.
    pub subject: String,
    /// Description of the event.
    pub text: String,
}

impl TimelineEvent {
    /// Returns the sort key, which orders events of all processes consistently with causality.
    pub const fn order(&self) -> (u64, u32, HostId) {
        (self.wall_millis, self.counter, self.host)
    }
}

/// A ring buffer of the most recent events of one host.
#[derive(Debug, Default)]
pub struct TimelineBuffer {
    host: HostId,
    stamp: HybridTimestamp,
    events: VecDeque<TimelineEvent>,
}

impl TimelineBuffer {
    /// Creates an empty timeline.
    pub fn new(host: HostId) -> Self {
        Self { host, ..Self::default() }
    }

    /// Returns the timestamp of the latest event or message.
    pub const fn stamp(&self) -> HybridTimestamp {
        self.stamp
    }

    /// Advances the timestamp, for a message about to be sent.
    pub fn tick(&mut self, wall_millis: u64) -> HybridTimestamp {
        self.stamp = self.stamp.next(wall_millis);
        self.stamp
    }

    /// Merges the timestamp of a received message.
    pub fn receive(&mut self, stamp: HybridTimestamp, wall_millis: u64) {
        self.stamp = self.stamp.merge(stamp, wall_millis);
    }

    /// Records an event.
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

    /// Iterates over the events, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &TimelineEvent> {
        self.events.iter()
    }
}

/// Merges the events of several processes into causal order.
pub fn merge_timelines(unordered: impl IntoIterator<Item = TimelineEvent>) -> Vec<TimelineEvent> {
    let mut events: Vec<TimelineEvent> = unordered.into_iter().collect();
    events.sort_by_key(TimelineEvent::order);
    events
}
