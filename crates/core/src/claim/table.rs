//! The table of claims built from the claims stream, identical on every host that has read it.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    id::{KeyHash, LogOffset, RequestId},
    settings::fold::LogRecord,
};

/// The format of [`ClaimRecord`] that this version writes.
const CLAIM_FORMAT: u32 = 1;

/// A key and its request, in hexadecimal as JSON has no 128-bit numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimItem {
    /// The key's hash.
    pub key: String,
    /// The request.
    pub request: String,
}

impl ClaimItem {
    /// Encodes a key and a request.
    pub fn new(key: KeyHash, request: RequestId) -> Self {
        Self { key: format!("{key:x}"), request: format!("{request:x}") }
    }

    /// Decodes the key and the request; `None` if either is malformed.
    pub fn parse(&self) -> Option<(KeyHash, RequestId)> {
        let hex = |text: &str| u128::from_str_radix(text, 16).ok();
        Some((hex(&self.key)?, hex(&self.request)?))
    }
}

/// A record of the claims stream: the claims and releases that a host appended together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The format version.
    pub format: u32,
    /// The claimed keys.
    #[serde(default)]
    pub claims: Vec<ClaimItem>,
    /// The claims released by requests that did not run and never will.
    #[serde(default)]
    pub releases: Vec<ClaimItem>,
}

impl ClaimRecord {
    /// Creates a record of the current format.
    pub const fn new(claims: Vec<ClaimItem>, releases: Vec<ClaimItem>) -> Self {
        Self { format: CLAIM_FORMAT, claims, releases }
    }

    /// Returns the record as JSON.
    ///
    /// # Panics
    /// Never: every record can be encoded as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("claim record serializes as JSON")
    }
}

#[derive(Debug, Clone, Copy)]
struct FirstClaim {
    request: RequestId,
    written_millis: u64,
}

/// The request that holds each key within the claim window.
#[derive(Debug, Default)]
pub struct ClaimTable {
    next_offset: LogOffset,
    first_claims: HashMap<KeyHash, FirstClaim>,
    keys_by_age: VecDeque<(u64, KeyHash)>,
    /// Requests that released their claims; a late or duplicate append must not restore them.
    released: HashSet<RequestId>,
    released_by_age: VecDeque<(u64, RequestId)>,
}

/// The decision on one claim of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecidedClaim {
    /// The key.
    pub key: KeyHash,
    /// The request that claimed it.
    pub request: RequestId,
    /// The request that holds it.
    pub holder: RequestId,
    /// When the platform wrote the claim, in milliseconds since the Unix epoch.
    pub written_millis: u64,
}

impl ClaimTable {
    /// Returns the offset of the first record not yet applied.
    pub const fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Restarts at the beginning of the log after it was restored from an older copy. Claims that
    /// the log has lost are kept.
    pub const fn rewind(&mut self) {
        self.next_offset = 0;
    }

    /// Returns the claimed keys and the requests that hold them.
    pub fn holders(&self) -> impl Iterator<Item = (KeyHash, RequestId)> {
        self.first_claims.iter().map(|(key, first)| (*key, first.request))
    }

    /// Returns the number of claimed keys.
    pub fn len(&self) -> usize {
        self.first_claims.len()
    }

    /// Returns whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.first_claims.is_empty()
    }

    /// Applies a record and returns the decisions on its claims.
    ///
    /// Records that the log no longer retains are older than the claim window, so a gap is skipped.
    /// A record that was applied before is ignored.
    pub fn apply(&mut self, record: &LogRecord, window_millis: u64) -> Vec<DecidedClaim> {
        if record.offset < self.next_offset {
            return Vec::new();
        }
        self.next_offset = record.offset + 1;
        self.expire(record.written_millis.saturating_sub(window_millis));
        let Ok(read) = serde_json::from_slice::<ClaimRecord>(&record.payload) else {
            return Vec::new();
        };
        for (key, request) in read.releases.iter().filter_map(ClaimItem::parse) {
            self.release(key, request, record.written_millis);
        }
        let claims = read.claims.iter().filter_map(ClaimItem::parse);
        claims.map(|(key, request)| self.claim(key, request, record.written_millis)).collect()
    }

    fn claim(&mut self, key: KeyHash, request: RequestId, written_millis: u64) -> DecidedClaim {
        if self.released.contains(&request) {
            let holder = self.first_claims.get(&key).map_or(request, |first| first.request);
            return DecidedClaim { key, request, holder, written_millis };
        }
        // A lost claim also extends the lifetime of the key. Otherwise a host that started reading
        // after the first claim had expired would decide for the second claim, and the other hosts
        // for a third.
        self.keys_by_age.push_back((written_millis, key));
        let first = self.first_claims.entry(key).or_insert(FirstClaim { request, written_millis });
        first.written_millis = written_millis;
        DecidedClaim { key, request, holder: first.request, written_millis }
    }

    fn release(&mut self, key: KeyHash, request: RequestId, written_millis: u64) {
        if self.released.insert(request) {
            self.released_by_age.push_back((written_millis, request));
        }
        if self.first_claims.get(&key).is_some_and(|first| first.request == request) {
            self.first_claims.remove(&key);
        }
    }

    fn expire(&mut self, before_millis: u64) {
        while let Some((written_millis, request)) = self.released_by_age.front().copied() {
            if written_millis >= before_millis {
                break;
            }
            self.released_by_age.pop_front();
            self.released.remove(&request);
        }
        while let Some((written_millis, key)) = self.keys_by_age.front().copied() {
            if written_millis >= before_millis {
                break;
            }
            self.keys_by_age.pop_front();
            // A key that was claimed again since has a later entry in the queue.
            if self
                .first_claims
                .get(&key)
                .is_some_and(|first| first.written_millis == written_millis)
            {
                self.first_claims.remove(&key);
            }
        }
    }
}
