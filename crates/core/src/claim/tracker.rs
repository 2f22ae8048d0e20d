//! The claims of one host's own requests, from arrival to the log's decision.

use std::{collections::BTreeMap, time::Duration};

use super::table::{ClaimItem, ClaimRecord, DecidedClaim};
use crate::{
    chart::{ClaimEvent, ClaimState},
    clock::ClockMillis,
    id::{KeyHash, RequestId},
};

/// The maximum number of claims in an append.
const CLAIMS_PER_APPEND: usize = 512;

/// A claim of this host.
#[derive(Debug, Clone)]
pub struct TrackedClaim {
    /// The key.
    pub key: KeyHash,
    /// When the caller created the key, in milliseconds since the Unix epoch.
    pub created_millis: Option<u64>,
    /// The state of the claim.
    pub state: ClaimState,
    /// The ticket of the append that carries it.
    pub ticket: u64,
}

/// The log's decision on a claim of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The request may run.
    Won(RequestId),
    /// Another request holds the key.
    Lost(RequestId),
    /// The key was already older than the claim window when the claim was written.
    Expired(RequestId),
}

/// Tracks the claims of one host's own requests.
#[derive(Debug)]
pub struct ClaimTracker {
    claims: BTreeMap<RequestId, TrackedClaim>,
    /// Claims that the log may have lost and that are to be appended again.
    lost_claims: Vec<ClaimItem>,
    releases: Vec<ClaimItem>,
    sent_releases: Vec<ClaimItem>,
    last_ticket: u64,
    in_flight: Option<u64>,
    next_append: ClockMillis,
    interval: Duration,
}

impl ClaimTracker {
    /// Creates an empty tracker that appends at most once per `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            claims: BTreeMap::new(),
            lost_claims: Vec::new(),
            releases: Vec::new(),
            sent_releases: Vec::new(),
            last_ticket: 0,
            in_flight: None,
            next_append: ClockMillis::default(),
            interval,
        }
    }

    /// Adds a request's claim.
    pub fn track(&mut self, request: RequestId, key: KeyHash, created_millis: Option<u64>) {
        let state = ClaimState::initial();
        self.claims.insert(request, TrackedClaim { key, created_millis, state, ticket: 0 });
    }

    /// Returns the number of claims that are pending or held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Batches pending claims and releases into an append if one is due; returns its ticket and
    /// record.
    pub fn next_append(&mut self, now: ClockMillis) -> Option<(u64, ClaimRecord)> {
        if self.in_flight.is_some() || now < self.next_append {
            return None;
        }
        let ticket = self.last_ticket + 1;
        let pending =
            self.claims.iter_mut().filter(|(_, claim)| claim.state == ClaimState::Pending);
        let mut items = Vec::new();
        for (request, claim) in pending.take(CLAIMS_PER_APPEND) {
            claim.state = claim.state.after(ClaimEvent::Appended);
            claim.ticket = ticket;
            items.push(ClaimItem::new(claim.key, *request));
        }
        let room = CLAIMS_PER_APPEND.saturating_sub(items.len()).min(self.lost_claims.len());
        items.extend(self.lost_claims.drain(..room));
        if items.is_empty() && self.releases.is_empty() {
            return None;
        }
        self.last_ticket = ticket;
        self.in_flight = Some(ticket);
        self.next_append = now + self.interval;
        self.sent_releases = std::mem::take(&mut self.releases);
        Some((ticket, ClaimRecord::new(items, self.sent_releases.clone())))
    }

    /// Schedules claims to be appended again that a restored log may have lost.
    pub fn rewrite_lost(&mut self, holders: impl Iterator<Item = (KeyHash, RequestId)>) {
        self.lost_claims = holders.map(|(key, request)| ClaimItem::new(key, request)).collect();
    }

    /// Handles the end of an append; `refused` means that nothing was written.
    ///
    /// If the answer was lost, the claims remain sent: the log shows whether they were written.
    pub fn append_ended(&mut self, ticket: u64, refused: bool) {
        if self.in_flight != Some(ticket) {
            return;
        }
        self.in_flight = None;
        let sent = std::mem::take(&mut self.sent_releases);
        if !refused {
            return;
        }
        // Releases are idempotent, so they are added to the next append.
        self.releases.extend(sent);
        for claim in self.claims.values_mut().filter(|claim| claim.ticket == ticket) {
            claim.state = claim.state.after(ClaimEvent::AppendRefused);
        }
    }

    /// Applies the log's decision on a claim; returns the verdict if a request of this host waits
    /// for it.
    pub fn apply_decision(
        &mut self,
        decided: DecidedClaim,
        window_millis: u64,
    ) -> Option<ClaimVerdict> {
        let DecidedClaim { request, holder, .. } = decided;
        let claim = self.claims.get_mut(&request)?;
        if holder != request {
            claim.state = claim.state.after(ClaimEvent::SeenLater);
            self.claims.remove(&request);
            return Some(ClaimVerdict::Lost(request));
        }
        if claim.state == ClaimState::Abandoned {
            let key = claim.key;
            self.claims.remove(&request);
            self.releases.push(ClaimItem::new(key, request));
            return None;
        }
        if claim.state == ClaimState::Won {
            return None;
        }
        claim.state = claim.state.after(ClaimEvent::SeenFirst);
        let created = claim.created_millis.unwrap_or(decided.written_millis);
        if decided.written_millis.saturating_sub(created) > window_millis {
            self.abandon(request);
            return Some(ClaimVerdict::Expired(request));
        }
        Some(ClaimVerdict::Won(request))
    }

    /// Abandons the claim of a request that did not run and never will.
    ///
    /// A claim that the log holds is released at once; one in flight is released when it appears in
    /// the log.
    pub fn abandon(&mut self, request: RequestId) {
        let Some(claim) = self.claims.get_mut(&request) else { return };
        match claim.state {
            ClaimState::Pending => {
                self.claims.remove(&request);
            }
            ClaimState::Won => {
                let key = claim.key;
                self.claims.remove(&request);
                self.releases.push(ClaimItem::new(key, request));
            }
            _ => claim.state = claim.state.after(ClaimEvent::Abandoned),
        }
    }

    /// Stops tracking the claim of a request that ran or may have run; its key stays claimed in the
    /// log.
    pub fn finish(&mut self, request: RequestId) {
        self.claims.remove(&request);
    }
}
