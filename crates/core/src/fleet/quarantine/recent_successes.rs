//! The traits of requests that succeeded recently.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::quarantine::{RequestTrait, TraitKind},
};

/// How long the completion of a request is remembered: longer than it takes to collect crashes that are some seconds
/// apart.
const REQUEST_RETENTION: Duration = Duration::from_secs(20);

/// How long the success of a shared trait is remembered.
pub(super) const SHARED_RETENTION: Duration = Duration::from_mins(10);

/// The most traits of each kind that are remembered: what a host of a fleet of 370 answers within the retention of
/// requests at the peak of 81 a second, with room. Each takes some 100 bytes.
const MAX_TRAITS: usize = 2048;

/// When requests with a trait last succeeded at this host.
///
/// A trait that many requests have succeeds at most hosts while it is interrupted at a few. A host that saw no
/// crash clears it by its own runs when it receives a report on it.
#[derive(Debug)]
pub(super) struct RecentSuccesses {
    requests: SuccessTable,
    shared: SuccessTable,
}

impl Default for RecentSuccesses {
    fn default() -> Self {
        Self {
            requests: SuccessTable::new(REQUEST_RETENTION),
            shared: SuccessTable::new(SHARED_RETENTION),
        }
    }
}

impl RecentSuccesses {
    /// Records that a request with a trait succeeded.
    pub(super) fn record(&mut self, request_trait: RequestTrait, now: ClockMillis) {
        match request_trait.kind {
            TraitKind::Request => self.requests.record(request_trait, now),
            TraitKind::PromptPart => self.shared.record(request_trait, now),
        }
    }

    /// Returns when a request with a trait last succeeded, if that is remembered.
    pub(super) fn last(&self, request_trait: RequestTrait) -> Option<ClockMillis> {
        let table = match request_trait.kind {
            TraitKind::Request => &self.requests,
            TraitKind::PromptPart => &self.shared,
        };
        table.last.get(&request_trait).copied()
    }
}

#[derive(Debug)]
struct SuccessTable {
    retention: Duration,
    last: HashMap<RequestTrait, ClockMillis>,
    /// Each trait once, by a time that may be earlier than its last success.
    order: VecDeque<(ClockMillis, RequestTrait)>,
}

impl SuccessTable {
    fn new(retention: Duration) -> Self {
        Self { retention, last: HashMap::new(), order: VecDeque::new() }
    }

    fn record(&mut self, request_trait: RequestTrait, now: ClockMillis) {
        if self.last.insert(request_trait, now).is_none() {
            self.order.push_back((now, request_trait));
        }
        while self.order.front().is_some_and(|(at, _)| now.since(*at) >= self.retention)
            || self.order.len() > MAX_TRAITS
        {
            self.remove_oldest();
        }
    }

    /// Removes the first trait, or moves it back if it succeeded since it was put there.
    fn remove_oldest(&mut self) {
        let Some((at, request_trait)) = self.order.pop_front() else { return };
        match self.last.get(&request_trait) {
            Some(last) if *last > at => self.order.push_back((*last, request_trait)),
            _ => {
                self.last.remove(&request_trait);
            }
        }
    }
}
