//! Saves the software versions that began streams to the store, and reads them when this host starts.
//!
//! Hosts keep the versions in memory for each other. The store has them for the case that all hosts
//! are killed, and only while a stream could go on at a wrong version.

use std::{collections::BTreeMap, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::stream_origins::{ORIGIN_TTL, WINDOW_COUNT, WindowNumber, save_interval},
};

use crate::{
    control::{SharedControl, backoff, state::ControlState, store_client},
    store::{
        StoreClient, StoreError,
        stream_records::{StreamRecordKey, read_stream_records, write_stream_record},
    },
};

/// Maximum number of records written at once: the newest one, and one that was left over, such as when
/// a second software version appears.
const WRITES_PER_SAVE: usize = 2;

/// Maximum delay after a failed call, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// This host's records.
struct OwnRecords {
    /// Number of this host's starts before this one.
    start: u64,
    /// The saved windows with their lengths, by slot.
    saved: BTreeMap<u64, (WindowNumber, usize)>,
    /// Records of earlier starts, and when they expire.
    earlier: Vec<(StreamRecordKey, ClockMillis)>,
}

/// Reads the records of all hosts unless the system starts for the first time, and then saves this
/// host's. Never returns.
pub async fn maintain_stream_records(state: SharedControl) {
    let mut client = store_client(&state);
    let mut backoff = backoff(state.borrow().shared(), 0x7373).with_max_delay(MAX_BACKOFF);
    let mut records = loop {
        match load_records(&state, &mut client).await {
            Ok(records) => break records,
            Err(error) => {
                log::debug!("failed to read the records of streams: {error}");
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    };
    backoff.reset();
    loop {
        let delay = match records.save(&state, &mut client).await {
            Ok(()) => {
                backoff.reset();
                backoff.jitter(save_interval(state.borrow().hosts()))
            }
            Err(error) => {
                log::debug!("failed to save the records of streams: {error}");
                backoff.next_delay()
            }
        };
        tokio::time::sleep(delay).await;
    }
}

/// Reads the records of all hosts, so that this host knows the streams that were begun before it started.
async fn load_records(
    state: &SharedControl,
    client: &mut StoreClient,
) -> Result<OwnRecords, StoreError> {
    let mut own = OwnRecords { start: 0, saved: BTreeMap::new(), earlier: Vec::new() };
    if state.borrow().shared().profile.first_start {
        return Ok(own);
    }
    let records = read_stream_records(client).await?;
    let state = state.borrow();
    let shared = state.shared();
    let now = shared.clock.now();
    let mut origins = shared.stream_origins();
    for (key, streams) in records {
        for (stream, software) in streams {
            origins.receive(stream, &software, now);
        }
        if key.host == *shared.profile.name {
            own.start = own.start.max(key.start + 1);
            own.earlier.push((key, now + ORIGIN_TTL));
        }
    }
    Ok(own)
}

/// A write that is due.
#[derive(Debug, Clone, Copy)]
enum DueWrite {
    /// Saves a window of this length.
    Save(WindowNumber, usize),
    /// Removes the record in a slot.
    Remove(u64),
    /// Removes the last record of earlier starts.
    RemoveEarlier,
}

impl OwnRecords {
    /// Saves windows that have new streams, and removes records whose streams are no longer known.
    async fn save(
        &mut self,
        state: &SharedControl,
        client: &mut StoreClient,
    ) -> Result<(), StoreError> {
        let due_writes = self.due_writes(&state.borrow());
        for due_write in due_writes.into_iter().take(WRITES_PER_SAVE) {
            match due_write {
                DueWrite::Save(number, length) => {
                    let slot = number % WINDOW_COUNT;
                    let streams = state.borrow().shared().stream_origins().window_streams(number);
                    write_stream_record(client, &self.key(state, slot), &streams).await?;
                    self.saved.insert(slot, (number, length));
                }
                DueWrite::Remove(slot) => {
                    write_stream_record(client, &self.key(state, slot), &[]).await?;
                    self.saved.remove(&slot);
                }
                DueWrite::RemoveEarlier => {
                    let Some((key, _)) = self.earlier.last() else { continue };
                    write_stream_record(client, key, &[]).await?;
                    self.earlier.pop();
                }
            }
        }
        Ok(())
    }

    /// Returns the writes that are due: windows first, the newest ones before others.
    fn due_writes(&self, state: &ControlState) -> Vec<DueWrite> {
        let now = state.shared().clock.now();
        let windows = state.shared().stream_origins().own_windows(now);
        let oldest = windows.first().map_or(WindowNumber::MAX, |(number, _)| *number);
        let mut due_writes = Vec::new();
        if state.had_several_versions(now) {
            let unsaved = windows.iter().rev().filter(|(number, length)| {
                self.saved.get(&(number % WINDOW_COUNT)) != Some(&(*number, *length))
            });
            due_writes.extend(unsaved.map(|(number, length)| DueWrite::Save(*number, *length)));
        }
        let expired = self.saved.iter().filter(|(_, (number, _))| *number < oldest);
        due_writes.extend(expired.map(|(slot, _)| DueWrite::Remove(*slot)));
        if self.earlier.last().is_some_and(|(_, expires_at)| now >= *expires_at) {
            due_writes.push(DueWrite::RemoveEarlier);
        }
        due_writes
    }

    fn key(&self, state: &SharedControl, slot: u64) -> StreamRecordKey {
        let host = state.borrow().shared().profile.name.to_string();
        StreamRecordKey { host, start: self.start, slot }
    }
}
