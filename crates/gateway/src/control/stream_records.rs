//! Saves the software versions that began streams to the store, and reads them when this host starts.
//!
//! Hosts keep origins in memory for each other. The store has them for the case that all hosts are
//! killed, and only while a stream could go on at a wrong version.

use std::{collections::BTreeMap, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::stream_origins::{ORIGIN_TTL, WINDOW_COUNT, WindowNumber},
};

use crate::{
    control::{SharedControl, backoff, store_client},
    store::{
        StoreClient, StoreError,
        stream_records::{StreamRecordKey, read_stream_records, write_stream_record},
    },
};

/// Minimum interval at which this host saves its new streams.
const MIN_SAVE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval at which all hosts together write records: a tenth of the writes that a store of 400
/// writes per second takes.
const SHARED_WRITE_INTERVAL: Duration = Duration::from_millis(25);

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
                backoff.jitter(save_interval(&state))
            }
            Err(error) => {
                log::debug!("failed to save the records of streams: {error}");
                backoff.next_delay()
            }
        };
        tokio::time::sleep(delay).await;
    }
}

/// Returns the interval at which this host saves its new streams.
fn save_interval(state: &SharedControl) -> Duration {
    let hosts = state.borrow().shared().stream_origins().host_count();
    let shared = SHARED_WRITE_INTERVAL * u32::try_from(hosts).unwrap_or(u32::MAX);
    shared.max(MIN_SAVE_INTERVAL)
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

impl OwnRecords {
    /// Saves the windows that have new streams, and removes records whose streams are no longer known.
    async fn save(
        &mut self,
        state: &SharedControl,
        client: &mut StoreClient,
    ) -> Result<(), StoreError> {
        let now = state.borrow().shared().clock.now();
        let windows = state.borrow().shared().stream_origins().own_windows(now);
        let is_needed = state.borrow().had_several_versions(now);
        for (number, length) in windows.iter().rev().copied().filter(|_| is_needed) {
            let slot = number % WINDOW_COUNT;
            if self.saved.get(&slot) != Some(&(number, length)) {
                let streams = state.borrow().shared().stream_origins().window_streams(number);
                write_stream_record(client, &self.key(state, slot), &streams).await?;
                self.saved.insert(slot, (number, length));
            }
        }
        let oldest = windows.first().map_or(WindowNumber::MAX, |(number, _)| *number);
        let expired = |(_, (number, _)): &(&u64, &(WindowNumber, usize))| *number < oldest;
        while let Some((slot, _)) =
            self.saved.iter().find(expired).map(|(slot, saved)| (*slot, *saved))
        {
            write_stream_record(client, &self.key(state, slot), &[]).await?;
            self.saved.remove(&slot);
        }
        while let Some((key, _)) = self.earlier.last().filter(|(_, expires_at)| now >= *expires_at)
        {
            write_stream_record(client, key, &[]).await?;
            self.earlier.pop();
        }
        Ok(())
    }

    fn key(&self, state: &SharedControl, slot: u64) -> StreamRecordKey {
        let host = state.borrow().shared().profile.name.to_string();
        StreamRecordKey { host, start: self.start, slot }
    }
}
