//! An append-only log of streams with offsets and limited retention.

use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// The maximum number of records in a read.
const MAX_READ_RECORDS: usize = 256;

/// A record as returned by a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRecord {
    /// The offset in the stream.
    pub offset: u64,
    /// When the record was appended, in milliseconds since the Unix epoch.
    pub written_millis: u64,
    /// The payload.
    pub payload: String,
}

/// The result of a read.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReadResult {
    /// How often the log has been restored from an older copy.
    #[serde(default)]
    pub era: u64,
    /// The first retained offset.
    pub first: u64,
    /// The offset after the last record.
    pub end: u64,
    /// The records from the requested offset on, or from `first` if that is higher.
    pub records: Vec<ReadRecord>,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: Vec<ReadRecord>,
}

#[derive(Debug)]
struct Streams {
    era: u64,
    by_name: BTreeMap<String, Stream>,
    append_tokens: f64,
    refilled_at: Instant,
}

/// The log service.
#[derive(Debug)]
pub struct LogService {
    state: Mutex<Streams>,
    appended: Condvar,
    retained: usize,
    appends_per_second: f64,
}

impl LogService {
    /// Creates an empty log.
    pub fn new(retained: usize, appends_per_second: u32) -> Self {
        let appends_per_second = f64::from(appends_per_second);
        let state = Streams {
            era: 0,
            by_name: BTreeMap::new(),
            append_tokens: appends_per_second,
            refilled_at: Instant::now(),
        };
        Self { state: Mutex::new(state), appended: Condvar::new(), retained, appends_per_second }
    }

    fn lock(&self) -> MutexGuard<'_, Streams> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record and returns its offset, or `None` if the rate limit is exceeded and nothing
    /// was written.
    pub fn append(&self, stream: &str, payload: String) -> Option<u64> {
        let mut state = self.lock();
        let seconds = state.refilled_at.elapsed().as_secs_f64();
        state.refilled_at = Instant::now();
        state.append_tokens =
            (state.append_tokens + seconds * self.appends_per_second).min(self.appends_per_second);
        if state.append_tokens < 1.0 {
            return None;
        }
        state.append_tokens -= 1.0;
        let stream = state.by_name.entry(stream.to_owned()).or_default();
        let offset = stream.first + stream.records.len() as u64;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let written_millis = u64::try_from(since_epoch.as_millis()).unwrap_or_default();
        stream.records.push(ReadRecord { offset, written_millis, payload });
        if stream.records.len() > self.retained {
            stream.records.remove(0);
            stream.first += 1;
        }
        self.appended.notify_all();
        Some(offset)
    }

    /// Reads records from an offset on; waits up to `wait` for the first one.
    pub fn read(&self, stream: &str, from: u64, wait: Duration) -> ReadResult {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let result = Self::read_now(&state, stream, from);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !result.records.is_empty() || result.end < from || remaining.is_zero() {
                return result;
            }
            state = self
                .appended
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn read_now(state: &Streams, stream: &str, from: u64) -> ReadResult {
        let era = state.era;
        let Some(stream) = state.by_name.get(stream) else {
            return ReadResult { era, ..ReadResult::default() };
        };
        let skip = usize::try_from(from.saturating_sub(stream.first)).unwrap_or(usize::MAX);
        let records = stream.records.iter().skip(skip).take(MAX_READ_RECORDS).cloned().collect();
        let end = stream.first + stream.records.len() as u64;
        ReadResult { era, first: stream.first, end, records }
    }

    /// Restores the log from a copy that lacks the last `lost_records` records of each stream; their
    /// offsets are assigned again.
    pub fn restore_older_copy(&self, lost_records: usize) {
        let mut state = self.lock();
        state.era += 1;
        for stream in state.by_name.values_mut() {
            let retained_count = stream.records.len().saturating_sub(lost_records);
            stream.records.truncate(retained_count);
        }
        self.appended.notify_all();
    }

    /// Expires all but the last `retained` records of a stream.
    pub fn expire(&self, stream: &str, retained: usize) {
        let mut state = self.lock();
        let Some(stream) = state.by_name.get_mut(stream) else { return };
        let expired_count = stream.records.len().saturating_sub(retained);
        stream.records.drain(..expired_count);
        stream.first += expired_count as u64;
    }
}
