//! The crashes that interrupted requests with one trait.

use std::time::Duration;

use crate::{
    clock::ClockMillis,
    fleet::quarantine::{EngineIncarnationId, RequestMark, TraitKind},
};

/// The most crashes that are remembered of one trait: enough for the longest quarantine.
const MAX_CRASHES: usize = 8;

/// The most different requests that are remembered of one crash.
const MAX_SAMPLED_REQUESTS: usize = 4;

/// The least time that an engine takes to restart. It has to exceed the inaccuracy of reported ages, which is the
/// transit time of a report.
const MIN_RESTART_TIME: Duration = Duration::from_millis(200);

/// The least time between crashes that have no common cause other than the requests, such as a power failure.
const MIN_INDEPENDENT_GAP: Duration = Duration::from_millis(200);

/// Identifies a request among those that one crash interrupted.
pub(super) type SampledRequest = u64;

/// A crash of an engine while it ran requests with one trait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TraitCrash {
    /// The incarnation that crashed.
    pub(super) incarnation: EngineIncarnationId,
    /// When the last of the requests was sent there.
    pub(super) began: ClockMillis,
    /// When the engine crashed.
    pub(super) at: ClockMillis,
    /// The requests, sorted; the first few where there were more. Empty for the trait of one request.
    pub(super) requests: Vec<SampledRequest>,
}

impl TraitCrash {
    /// Returns whether two hosts report the same crash.
    ///
    /// An engine may restart before its new entry is listed: a run that began well after the crash ran in the next
    /// incarnation, even if its host took it for the earlier one.
    fn is_same_crash(&self, other: &Self) -> bool {
        let (first, second) = if self.at <= other.at { (self, other) } else { (other, self) };
        self.incarnation == other.incarnation && second.began < first.at + MIN_RESTART_TIME
    }

    /// Adds what another host or run saw of the same crash; returns whether anything was new.
    fn merge(&mut self, other: &Self) -> bool {
        let previous = self.clone();
        self.began = self.began.max(other.began);
        self.at = self.at.max(other.at);
        self.requests.extend_from_slice(&other.requests);
        self.requests.sort_unstable();
        self.requests.dedup();
        self.requests.truncate(MAX_SAMPLED_REQUESTS);
        *self != previous
    }
}

/// Returns what stands for a request in a crash.
pub(super) fn sampled_request(mark: RequestMark) -> SampledRequest {
    // The digest is uniform, so that its lower half identifies the request too.
    let bytes = mark.to_le_bytes();
    SampledRequest::from_le_bytes([
        bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7],
    ])
}

/// The crashes that interrupted requests with one trait since it last succeeded, by time.
#[derive(Debug, Clone)]
pub(super) struct CrashHistory {
    is_shared: bool,
    crashes: Vec<TraitCrash>,
}

impl CrashHistory {
    pub(super) const fn new(kind: TraitKind) -> Self {
        Self { is_shared: !matches!(kind, TraitKind::Request), crashes: Vec::new() }
    }

    pub(super) fn iter(&self) -> std::slice::Iter<'_, TraitCrash> {
        self.crashes.iter()
    }

    /// Returns the number of crashes, consecutive or not.
    pub(super) fn total(&self) -> usize {
        self.crashes.len()
    }

    pub(super) fn first_at(&self) -> Option<ClockMillis> {
        self.crashes.first().map(|crash| crash.at)
    }

    pub(super) fn last_at(&self) -> Option<ClockMillis> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// Returns the number of consecutive crashes.
    ///
    /// A crash counts if a request was sent to the engine after the one that was counted before. Engines that crash
    /// together, as in a power failure of a rack, count as one, however many of them ran requests with the trait.
    ///
    /// Requests that share a part may be sent faster than crashes are noticed, so that crashes well apart count too.
    /// A part is not held responsible for crashes that one of the requests explains.
    pub(super) fn consecutive(&self) -> usize {
        let mut count = 0;
        let mut last_counted = None;
        for crash in &self.crashes {
            let is_later = |last: ClockMillis| {
                crash.began >= last || (self.is_shared && crash.at >= last + MIN_INDEPENDENT_GAP)
            };
            if last_counted.is_none_or(is_later) {
                count += 1;
                last_counted = Some(crash.at);
            }
        }
        if self.is_shared && self.is_explained_by_one_request() { count.min(1) } else { count }
    }

    fn is_explained_by_one_request(&self) -> bool {
        let Some((first, others)) = self.crashes.split_first() else { return false };
        let is_in_all =
            |request: &SampledRequest| others.iter().all(|crash| crash.requests.contains(request));
        first.requests.iter().any(is_in_all)
    }

    /// Adds a crash; returns whether anything was new.
    pub(super) fn add(&mut self, crash: TraitCrash) -> bool {
        if let Some(index) = self.crashes.iter().position(|other| other.is_same_crash(&crash)) {
            if !self.is_shared {
                return false;
            }
            let mut known = self.crashes.remove(index);
            let changed = known.merge(&crash);
            self.insert(known);
            return changed;
        }
        self.insert(crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    fn insert(&mut self, crash: TraitCrash) {
        let index = self.crashes.partition_point(|other| other.at <= crash.at);
        self.crashes.insert(index, crash);
    }

    /// Drops the crashes up to a success.
    pub(super) fn clear_until(&mut self, success: ClockMillis) {
        self.crashes.retain(|crash| crash.at > success);
    }
}
