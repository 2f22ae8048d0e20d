//! The fold over the claims stream, alike on every host that has read it.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    id::{KeyHash, LogOffset, RequestId},
    settings::fold::LogRecord,
};

/// The format of [`ClaimRecord`] that this program writes and understands.
const CLAIM_FORMAT: u32 = 1;

/// One key and the request it is for, in hexadecimal as JSON has no 128-bit numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimItem {
    /// The key's hash.
    pub key: String,
    /// The request.
    pub request: String,
}

impl ClaimItem {
    /// Writes down a key and a request.
    pub fn new(key: KeyHash, request: RequestId) -> Self {
        Self { key: format!("{key:x}"), request: format!("{request:x}") }
    }

    /// Reads them back.
    pub fn parse(&self) -> Option<(KeyHash, RequestId)> {
        let hex = |text: &str| u128::from_str_radix(text, 16).ok();
        Some((hex(&self.key)?, hex(&self.request)?))
    }
}

/// One append: the claims and releases that one host had gathered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The format's number.
    pub format: u32,
    /// Keys claimed.
    #[serde(default)]
    pub claims: Vec<ClaimItem>,
    /// Claims given up by requests that did not run and never will.
    #[serde(default)]
    pub releases: Vec<ClaimItem>,
}

impl ClaimRecord {
    /// Makes a record of the present format.
    pub const fn new(claims: Vec<ClaimItem>, releases: Vec<ClaimItem>) -> Self {
        Self { format: CLAIM_FORMAT, claims, releases }
    }

    /// Returns the record as JSON.
    ///
    /// # Panics
    /// Never: a record holds nothing that JSON can not.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim record can be written as JSON")
    }
}

#[derive(Debug, Clone, Copy)]
struct FirstClaim {
    request: RequestId,
    written_millis: u64,
}

/// Which request holds each key that is still remembered.
#[derive(Debug, Default)]
pub struct ClaimTable {
    next_offset: LogOffset,
    first_claims: HashMap<KeyHash, FirstClaim>,
    keys_by_age: VecDeque<(u64, KeyHash)>,
    /// Requests that gave their claim up; an append that comes late or twice must not revive it.
    released: HashSet<RequestId>,
    released_by_age: VecDeque<(u64, RequestId)>,
}

/// One claim that a record decided: its key, its request, and who holds the key now.
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
    /// Returns the offset of the first record not yet folded.
    pub const fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Takes that the log came back from an older copy: it is read from the start again, and what it has lost stays remembered.
    pub const fn rewind(&mut self) {
        self.next_offset = 0;
    }

    /// Returns the requests that hold keys, with these.
    pub fn holders(&self) -> impl Iterator<Item = (KeyHash, RequestId)> {
        self.first_claims.iter().map(|(key, first)| (*key, first.request))
    }

    /// Counts the keys remembered.
    pub fn len(&self) -> usize {
        self.first_claims.len()
    }

    /// Says whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.first_claims.is_empty()
    }

    /// Folds one record and returns the claims it decided.
    ///
    /// Records that the log no longer has are older than any key is remembered, so a gap at the
    /// start is passed over; a record seen before is ignored.
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
        // A claim that loses keeps the key remembered too. Without that, a host that began to read
        // after the first claim had expired could let a third one win beside the second.
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
            // A key that was claimed again since has a later entry of its own.
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
